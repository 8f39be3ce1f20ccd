#pragma once

#include <glib.h>
#include <stdint.h>

/* Blocking GETs over one keep-alive connection that another thread can interrupt. */
typedef struct jd_platform_http jd_platform_http_t;

jd_platform_http_t *jd_platform_http_new (uint32_t connect_timeout_ms);
void jd_platform_http_free (jd_platform_http_t *http);
/* Replaces the content of body by the body of the reply and returns the HTTP status.
 * Returns 0 without a complete reply within timeout_ms or after an interruption. Bytes
 * beyond limit_bytes are dropped. */
long jd_platform_http_get (jd_platform_http_t *http, const char *url, uint32_t timeout_ms,
                           size_t limit_bytes, GString *body);
/* Sleeps; returns early after an interruption and, if is_wakeable, after a wake-up. */
void jd_platform_http_sleep (jd_platform_http_t *http, int64_t duration_us,
                             gboolean is_wakeable);
/* Makes the running and all later requests and sleeps end at once. May be called from any
 * thread. */
void jd_platform_http_interrupt (jd_platform_http_t *http);
/* Ends the running or else the next wakeable sleep. May be called from any thread. */
void jd_platform_http_wake (jd_platform_http_t *http);
