#pragma once

#include "base/counters.h"
#include "limits/rate_limiter.h"

void jd_rate_counters_update (jd_rate_limiter_t *limiter, int64_t now_us,
                              jd_counters_t *counters);
