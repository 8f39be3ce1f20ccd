#include "limits/rate_settings.h"

#include <stddef.h>

/* Returns the default settings. They suit round trips of 1 ms to 2 ms between zones and
 * configuration changes that every process applies within 4 s. */
jd_rate_settings_t
jd_rate_settings_default (void)
{
  return (jd_rate_settings_t){
    .admission_wait_us = 20000,
    .transfer_ttl_us = 40000,
    .token_request_timeout_us = 5000,
    .min_backoff_us = 10000,
    .max_backoff_us = 640000,
    .demand_window_us = 500000,
    .reserve_window_us = 30000,
    .rebalance_interval_us = 20000,
    .raise_delay_us = 5000000,
    .token_requests_per_s = 120,
    .token_request_burst = 48,
    .rebalance_divisor = 4,
    .shares_per_zone = 12,
    .entries_per_zone = 3,
    .queue_limit = 256,
  };
}

/* Returns why the settings would break the rate bound or make the limiter useless, or
 * NULL if they are valid. work_bound_us is the work bound of the lease: a successor
 * starts to generate tokens this long after the lease ended. */
const char *
jd_rate_settings_problem (const jd_rate_settings_t *settings, int64_t work_bound_us)
{
  if (settings->transfer_ttl_us <= 0 || settings->token_request_timeout_us <= 0)
    return "transfer TTL and token request timeout must be positive";
  if (settings->transfer_ttl_us * 2 > work_bound_us)
    return "transfer TTL must be at most half of the work bound, otherwise granted "
           "tokens outlive the takeover gap";
  if (settings->token_request_timeout_us > settings->transfer_ttl_us)
    return "token request timeout must be at most the transfer TTL";
  if (settings->admission_wait_us < 0 || settings->demand_window_us <= 0 ||
      settings->min_backoff_us <= 0 ||
      settings->max_backoff_us < settings->min_backoff_us)
    return "admission wait must be at least 0, demand window and minimum retry backoff "
           "must be positive, maximum retry backoff must be at least the minimum";
  if (settings->shares_per_zone < 1 || settings->entries_per_zone < 1 ||
      settings->rebalance_divisor < 1)
    return "shares per zone, entries per zone and the rebalancing divisor must be at "
           "least 1";
  return NULL;
}
