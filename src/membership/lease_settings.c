#include "membership/lease_settings.h"

#include "base/clock.h"

/* Returns the times that docs/design.md states. */
jd_lease_settings_t
jd_lease_settings_default (void)
{
  const int64_t duration_us = 800 * JD_US_PER_MS;
  const int64_t margin_us = 100 * JD_US_PER_MS;
  const int64_t work_us = 500 * JD_US_PER_MS;
  return (jd_lease_settings_t){
    .heartbeat_interval_us = 200 * JD_US_PER_MS,
    .lease_duration_us = duration_us,
    .takeover_margin_us = margin_us,
    .work_bound_us = work_us,
    .takeover_threshold_us = 2 * duration_us + margin_us + work_us,
    .takeover_wait_us = duration_us + margin_us + work_us,
    .vote_memory_us = 2 * duration_us + margin_us,
    .vote_silence_us = duration_us + margin_us,
  };
}
