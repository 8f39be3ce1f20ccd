#pragma once

#include <stdbool.h>
#include <stdint.h>

/* A load of searches over shards whose targets pause now and then, played against the
 * decisions of one host or of several. Times are in milliseconds. */
typedef struct jd_search_load
{
  uint64_t seed;
  uint32_t hosts;  /* That the searches are spread over; 0: one. */
  bool tell_hints; /* Hosts tell each other of targets. */
  bool oracle;     /* Hosts know when each target would answer, for a bound. */
  uint32_t shards;
  uint32_t replicas;
  uint32_t slots;
  double searches_per_s;
  double work_ms;
  uint32_t pause_ms; /* Length of a pause; 0: none. */
  uint32_t pause_every_ms;
  uint32_t dead_shards;  /* Shards of which no target answers. */
  uint32_t slow_percent; /* Targets that take slow_factor times as long. */
  double slow_factor;
  uint32_t slow_from_ms; /* They are slow from here on. */
  double fail_share;     /* Share of attempts that fail at once. */
  double min_coverage;
  uint32_t objective_ms;
  uint32_t deadline_ms;
  uint32_t duration_ms;
} jd_search_load_t;

/* What callers got. */
typedef struct jd_search_result
{
  uint32_t searches;
  uint32_t answered; /* With enough parts. */
  uint32_t in_objective;
  uint32_t complete;
  uint32_t late_finals; /* Without a final answer by the deadline. */
  uint64_t first_attempts;
  uint64_t extra_attempts;
  uint32_t most_replicas; /* Of one part, that ran it. */
} jd_search_result_t;

jd_search_result_t jd_search_load_play (const jd_search_load_t *load);
