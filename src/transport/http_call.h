#pragma once

#include <ev.h>
#include <netinet/in.h>

#include "transport/http_reader.h"

/* A client that makes one GET call at a time to one server over a kept connection. */
typedef struct jd_http_caller jd_http_caller_t;

typedef enum jd_http_call_outcome
{
  JD_HTTP_CALL_ANSWERED,
  JD_HTTP_CALL_UNREACHABLE, /* The connection failed or ended. */
  JD_HTTP_CALL_TIMED_OUT,
  JD_HTTP_CALL_MALFORMED,
} jd_http_call_outcome_t;

/* reply is NULL unless the outcome is JD_HTTP_CALL_ANSWERED. */
typedef void (*jd_http_call_done_t) (void *context, jd_http_call_outcome_t outcome,
                                     const jd_http_reader_t *reply);

jd_http_caller_t *jd_http_caller_new (struct ev_loop *loop, uint32_t body_limit_bytes);
void jd_http_caller_free (jd_http_caller_t *caller);
void jd_http_caller_set_address (jd_http_caller_t *caller,
                                 const struct sockaddr_in *address);
void jd_http_caller_get (jd_http_caller_t *caller, const char *target, int64_t timeout_us,
                         jd_http_call_done_t done, void *context);
bool jd_http_caller_is_busy (const jd_http_caller_t *caller);
const char *jd_http_call_outcome_name (jd_http_call_outcome_t outcome);
