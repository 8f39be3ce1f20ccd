#include "limits/rate_settings.h"

/* Returns the settings for today's sizes: round trips of 1 ms to 2 ms between zones,
 * configuration in force everywhere within 4 s. */
jd_rate_settings_t
jd_rate_settings_default (void)
{
  return (jd_rate_settings_t){
    .admission_wait_us = 20000,
    .transfer_lifetime_us = 100000,
    .ask_timeout_us = 5000,
    .retry_min_us = 10000,
    .retry_max_us = 640000,
    .demand_window_us = 500000,
    .reserve_window_us = 50000,
    .prefetch_interval_us = 50000,
    .raise_delay_us = 5000000,
    .asks_per_s = 60,
    .ask_burst = 32,
    .queue_limit = 256,
    .shares_per_zone = 12,
  };
}
