#pragma once

#include <stdint.h>

/* Tuning of the rate limiter; the same on all processes of the fleet. */
typedef struct jd_rate_settings
{
  int64_t admission_wait_us;    /* Longest wait of a request for tokens. */
  int64_t transfer_lifetime_us; /* From the ask until granted tokens expire. */
  int64_t ask_timeout_us;       /* An ask without an answer for so long is overdue. */
  int64_t retry_min_us;         /* Pause after a peer had nothing; doubles up to the */
  int64_t retry_max_us;         /* highest pause. */
  int64_t demand_window_us;     /* Time constant of the demand estimate. */
  int64_t reserve_window_us;    /* Demand kept in reserve ahead of requests. */
  int64_t even_out_interval_us; /* Between two asks without waiting requests. */
  int64_t raise_delay_us;       /* A raised rate waits until all hosts know it. */
  uint32_t asks_per_s;          /* Per process, divided between asking organisations. */
  uint32_t ask_burst;           /* Per organisation. */
  uint32_t even_out_divisor;    /* Differences under this part of the capacity stay. */
  uint32_t shares_per_zone;
  uint32_t entries_per_zone; /* About; for what a peer is assumed to own. */
  uint32_t queue_limit;      /* Waiting requests per organisation. */
} jd_rate_settings_t;

jd_rate_settings_t jd_rate_settings_default (void);
const char *jd_rate_settings_problem (const jd_rate_settings_t *settings,
                                      int64_t work_bound_us);
