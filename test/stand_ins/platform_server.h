#pragma once

#include <glib.h>
#include <stdint.h>

#include "stand_ins/timer_queue.h"

/* A configuration service with reads and watches; docs/design.md section 5 describes the
 * service. It also has:
 *   GET /v1/records/{name}           X-Version and ETag are the platform's revision;
 *                                    If-None-Match gives 304
 *     ?watch_after=V&wait_ms=W       answers at once if the revision is not V, else at
 *                                    the next change, or with 304 after W milliseconds
 *   GET /v1/records                  accepts the same two arguments; its revision is the
 *                                    highest one of all records, so one call watches all
 *   PUT /v1/records/{name}, PUT /v1/hosts   publish (tests and operators of the demo)
 *   GET /calls                       reads: total, last second, peak, waiting, refused
 *   GET /faults, POST /faults        {"down": "" | "refuse" | "hang" | "close",
 *                                     "stale": "" | "frozen" | "older", "slow_ms": N,
 *                                     "hosts_lag_ms": N, "max_reads_per_second": N}
 * Reads above the limit get 429. A waiting watch counts as one read in every second. */
typedef struct jd_platform jd_platform_t;

typedef struct jd_platform_options
{
  const char *ip;
  uint16_t port;                 /* 0: any free port. */
  const char *records_directory; /* Directory of NAME.json files, or NULL. */
  const char
      *initial_hosts; /* Initial list of hosts as JSON, or NULL for an empty list. */
  int64_t hosts_lag_ms;
  int64_t max_reads_per_second;
  jd_timer_queue_t *timers;
} jd_platform_options_t;

jd_platform_t *jd_platform_new (const jd_platform_options_t *options, GError **error);
uint16_t jd_platform_port (const jd_platform_t *platform);
/* Refuses further requests; must be called before the timers are freed. */
void jd_platform_stop (jd_platform_t *platform);
void jd_platform_free (jd_platform_t *platform);
