#pragma once

#include <jansson.h>
#include <stdint.h>

/* The reply to one HTTP call. */
typedef struct jd_http_reply
{
  long status; /* 0: no complete reply. */
  char *headers;
  char *body;
  json_t *json;   /* The parsed body; NULL if it is not JSON. */
  double seconds; /* Duration of the call. */
} jd_http_reply_t;

/* Sends one request on a new connection and waits up to timeout_ms for the reply. A NULL
 * method stands for POST with a body and for GET without one; header and body may be
 * NULL. */
jd_http_reply_t jd_http_call (const char *method, const char *url, const char *header,
                              const char *body, long timeout_ms);
/* Sends a GET to a printf-style URL with a timeout of 5 s. */
jd_http_reply_t jd_http_get (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
void jd_http_reply_clear (jd_http_reply_t *reply);
