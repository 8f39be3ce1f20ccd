#pragma once

#include "stand_ins/platform_defs.h"

/* Serves /faults and /calls; returns FALSE for other paths. Takes the lock. */
gboolean jd_platform_handle_faults (jd_platform_t *platform, jd_http_request_t *request);
/* Reads in the last second, with waiting watches; needs the lock. */
uint64_t jd_platform_read_rate (const jd_platform_t *platform, int64_t now_us);
