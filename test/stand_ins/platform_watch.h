#pragma once

#include "stand_ins/platform_defs.h"

/* Reads and watches of records; all functions need the platform's lock. */

/* Answers a read of one record or, with name NULL, of the list; or keeps it as a watch.
 */
void jd_platform_read (jd_platform_t *platform, jd_http_request_t *request,
                       const char *name);
/* Answers the watches whose record has changed. */
void jd_platform_wake_watches (jd_platform_t *platform);
/* Closes the connections of all watches. */
void jd_platform_close_watches (jd_platform_t *platform);
/* Number of waiting watches that began before a time. */
uint64_t jd_platform_waiting (const jd_platform_t *platform, int64_t older_than_us);
