#pragma once

#include <glib.h>
#include <stdint.h>

/* Blocking GETs over one kept connection that another thread can interrupt. */
typedef struct jd_platform_http jd_platform_http_t;

jd_platform_http_t *jd_platform_http_new (uint32_t connect_timeout_ms);
void jd_platform_http_free (jd_platform_http_t *http);
/* Returns the HTTP status with the body in place of its old content; 0 without a whole
 * reply in time or after an interruption. Bytes beyond limit_bytes are dropped. */
long jd_platform_http_get (jd_platform_http_t *http, const char *url, uint32_t timeout_ms,
                           size_t limit_bytes, GString *body);
/* Waits; returns earlier after an interruption and, if is_wakeable, after a wake-up. */
void jd_platform_http_sleep (jd_platform_http_t *http, int64_t duration_us,
                             gboolean is_wakeable);
/* Ends the running call and the next ones at once; any thread. */
void jd_platform_http_interrupt (jd_platform_http_t *http);
/* Ends a wakeable sleep, or the next one; any thread. */
void jd_platform_http_wake (jd_platform_http_t *http);
