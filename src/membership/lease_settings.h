#pragma once

#include <stdint.h>

/* Time until every process that a new fleet record can reach has adopted it (4 s) and
 * the work begun under the old record has ended (500 ms), plus the margin (100 ms). */
#define JD_FLEET_CHANGE_WAIT_US INT64_C (4600000)

/* Times of the lease protocol. docs/decisions/0002-acknowledged-lease.md derives the
 * relations that must hold between them. */
typedef struct jd_lease_settings
{
  int64_t heartbeat_interval_us;
  int64_t lease_duration_us;
  int64_t takeover_margin_us;
  int64_t work_bound_us;
  int64_t takeover_threshold_us; /* Unacknowledged time until a member is down. */
  int64_t takeover_wait_us;      /* Time with a held lease before its first use. */
  int64_t vote_memory_us;        /* How long a member refuses lower incarnations. */
  int64_t vote_silence_us;       /* Uptime before which a member acknowledges nothing. */
} jd_lease_settings_t;

jd_lease_settings_t jd_lease_settings_default (void);
