#pragma once

#include <glib.h>
#include <stdint.h>

#include "base/counters.h"
#include "base/result_code.h"

/* HTTP routes for operators on the loopback address: /healthz, /counters and /status. For
 * a process that serves no callers over HTTP. The event loop sets the texts; the HTTP
 * threads serve them. */
typedef struct jd_operator_http jd_operator_http_t;

jd_operator_http_t *jd_operator_http_start (uint16_t port, jd_counters_t *counters,
                                            GError **error);
void jd_operator_http_stop (jd_operator_http_t *http);
/* Sets what /healthz answers: JD_OK or the reason why the process takes no new work. */
void jd_operator_http_set_health (jd_operator_http_t *http, jd_result_code_t code);
/* Sets the JSON text of /status. Takes ownership of text. */
void jd_operator_http_set_status (jd_operator_http_t *http, char *text);
