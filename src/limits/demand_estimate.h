#pragma once

#include <stdint.h>

/* Exponentially decaying estimate of one organisation's requests per second in one
 * process. A zeroed struct means no demand. */
typedef struct jd_demand_estimate
{
  int64_t weight_microtokens; /* Decayed number of requests; one counts 1 token. */
  int64_t updated_at_us;
} jd_demand_estimate_t;

void jd_demand_estimate_add (jd_demand_estimate_t *demand, int64_t now_us,
                             int64_t window_us);
int64_t jd_demand_estimate_per_s (const jd_demand_estimate_t *demand, int64_t now_us,
                                  int64_t window_us);
