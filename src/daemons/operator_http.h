#pragma once

#include <glib.h>
#include <stdint.h>

#include "base/counters.h"
#include "base/result_code.h"

/* The operator routes of a process without callers, on a loopback address: /healthz,
 * /counters and /status. The texts are set by the event loop and served by the HTTP
 * threads. */
typedef struct jd_operator_http jd_operator_http_t;

jd_operator_http_t *jd_operator_http_start (uint16_t port, jd_counters_t *counters,
                                            GError **error);
void jd_operator_http_stop (jd_operator_http_t *http);
/* JD_OK or the reason why this process takes no new work. */
void jd_operator_http_set_health (jd_operator_http_t *http, jd_result_code_t code);
/* Takes the JSON text of /status. */
void jd_operator_http_set_status (jd_operator_http_t *http, char *text);
