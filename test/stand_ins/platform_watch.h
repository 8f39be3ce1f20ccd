#pragma once

#include "stand_ins/platform_defs.h"

/* Reads and watches of records. The caller of each function holds the platform's lock. */

/* Answers a read of one record or, if name is NULL, of the list, or adds a watch. */
void jd_platform_read (jd_platform_t *platform, jd_http_request_t *request,
                       const char *name);
/* Answers the watches whose record has changed. */
void jd_platform_answer_changed_watches (jd_platform_t *platform);
/* Closes the connections of all watches. */
void jd_platform_close_watches (jd_platform_t *platform);
/* Returns the number of waiting watches that started before a time. */
uint64_t jd_platform_waiting_watch_count (const jd_platform_t *platform,
                                          int64_t started_before_us);
