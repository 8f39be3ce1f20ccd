#pragma once

#include <jansson.h>
#include <stdint.h>

/* The reply to one HTTP call. */
typedef struct jd_http_reply
{
  long status; /* 0: no reply. */
  char *headers;
  char *body;
  json_t *json; /* The parsed body, or NULL. */
  double seconds;
} jd_http_reply_t;

/* Makes one call on a new connection, with a time limit. A body makes it a POST unless
 * method says otherwise; header may be NULL. */
jd_http_reply_t jd_http_call (const char *method, const char *url, const char *header,
                              const char *body, long timeout_ms);
/* GET of a printf-style URL with a limit of 5 s. */
jd_http_reply_t jd_http_get (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
void jd_http_reply_clear (jd_http_reply_t *reply);
