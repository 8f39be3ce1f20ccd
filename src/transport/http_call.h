#pragma once

#include <ev.h>
#include <netinet/in.h>

#include "transport/http_reader.h"

/* An HTTP client that sends one GET request at a time to one server and reuses its
 * connection. */
typedef struct jd_http_client jd_http_client_t;

typedef enum jd_http_call_outcome
{
  JD_HTTP_CALL_ANSWERED,
  JD_HTTP_CALL_UNREACHABLE, /* The connection failed or ended without a whole answer. */
  JD_HTTP_CALL_TIMED_OUT,
  JD_HTTP_CALL_MALFORMED,
} jd_http_call_outcome_t;

/* Reports the end of a call. reply is NULL unless the outcome is JD_HTTP_CALL_ANSWERED;
 * it is valid until the next call. */
typedef void (*jd_http_call_done_t) (void *context, jd_http_call_outcome_t outcome,
                                     const jd_http_reader_t *reply);

jd_http_client_t *jd_http_client_new (struct ev_loop *loop, uint32_t body_limit_bytes);
void jd_http_client_free (jd_http_client_t *client);
void jd_http_client_set_address (jd_http_client_t *client,
                                 const struct sockaddr_in *address);
void jd_http_client_get (jd_http_client_t *client, const char *target, int64_t timeout_us,
                         jd_http_call_done_t done, void *context);
bool jd_http_client_is_busy (const jd_http_client_t *client);
const char *jd_http_call_outcome_name (jd_http_call_outcome_t outcome);
