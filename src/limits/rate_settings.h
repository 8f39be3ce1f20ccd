#pragma once

#include <stdint.h>

/* Settings of the rate limiter, the same in all processes of the fleet. */
typedef struct jd_rate_settings
{
  int64_t admission_wait_us; /* Longest time that a request waits for tokens. */
  int64_t transfer_ttl_us;   /* From token request to expiry of the granted tokens. */
  int64_t token_request_timeout_us; /* Time after which an unanswered token request is
                                       overdue. */
  int64_t min_backoff_us;    /* First backoff after a peer granted no tokens; doubles */
  int64_t max_backoff_us;    /* up to this maximum. */
  int64_t demand_window_us;  /* Time constant of the demand estimate. */
  int64_t reserve_window_us; /* Demand of this period is requested in advance. */
  int64_t
      rebalance_interval_us; /* Between rebalancing requests while no request waits. */
  int64_t raise_delay_us;    /* Delay of a raise until all hosts have the record. */
  uint32_t token_requests_per_s; /* Budget per process, divided among organisations. */
  uint32_t token_request_burst;  /* Budget per organisation. */
  uint32_t rebalance_divisor;    /* Differences below capacity / divisor are ignored. */
  uint32_t shares_per_zone;
  uint32_t entries_per_zone; /* Approximate; for the estimated capacity of a peer. */
  uint32_t queue_limit;      /* Maximum waiting requests per organisation. */
} jd_rate_settings_t;

jd_rate_settings_t jd_rate_settings_default (void);
const char *jd_rate_settings_problem (const jd_rate_settings_t *settings,
                                      int64_t work_bound_us);
