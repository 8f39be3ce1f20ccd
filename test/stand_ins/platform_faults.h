#pragma once

#include "stand_ins/platform_defs.h"

/* Answers requests for /faults and /calls; returns FALSE for other paths. Acquires the
 * lock. */
gboolean jd_platform_handle_faults (jd_platform_t *platform, jd_http_request_t *request);
/* Returns the reads of the last second, including waiting watches. The caller holds the
 * lock. */
uint64_t jd_platform_read_rate (const jd_platform_t *platform, int64_t now_us);
