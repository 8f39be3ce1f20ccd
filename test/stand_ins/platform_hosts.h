#pragma once

#include <glib.h>
#include <stdint.h>

/* The published lists of hosts. Readers get a list after a delay. Not thread-safe. */
typedef struct jd_platform_hosts jd_platform_hosts_t;

jd_platform_hosts_t *jd_platform_hosts_new (const char *text);
void jd_platform_hosts_free (jd_platform_hosts_t *hosts);
void jd_platform_hosts_put (jd_platform_hosts_t *hosts, const char *text, int64_t now_us);
/* Returns the newest list that is at least lag_us old, or the oldest stored list if there
 * is none. */
const char *jd_platform_hosts_get (const jd_platform_hosts_t *hosts, int64_t now_us,
                                   int64_t lag_us);
