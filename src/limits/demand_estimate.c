#include "limits/demand_estimate.h"

#include "base/clock.h"
#include "limits/token_defs.h"

/* Returns the decayed number of requests at now_us, in microtokens. The factor window /
 * (window + elapsed) approximates exponential decay without floating point. */
static int64_t
weight_at (const jd_demand_estimate_t *demand, int64_t now_us, int64_t window_us)
{
  int64_t elapsed_us = now_us - demand->updated_at_us;
  if (elapsed_us <= 0)
    return demand->weight_microtokens;
  return (int64_t)((__int128)demand->weight_microtokens * window_us /
                   (window_us + elapsed_us));
}

/* Adds one request to the estimate. */
void
jd_demand_estimate_add (jd_demand_estimate_t *demand, int64_t now_us, int64_t window_us)
{
  demand->weight_microtokens = weight_at (demand, now_us, window_us) + JD_MICROTOKENS;
  demand->updated_at_us = now_us;
}

/* Returns the demand in microtokens per second. */
int64_t
jd_demand_estimate_per_s (const jd_demand_estimate_t *demand, int64_t now_us,
                          int64_t window_us)
{
  return (int64_t)((__int128)weight_at (demand, now_us, window_us) * JD_US_PER_S /
                   window_us);
}
