#pragma once

#include <stdbool.h>
#include <stdint.h>

/* How one search of a caller ended. */
typedef struct jd_search_end
{
  uint32_t first_ms; /* When its caller first sent it. */
  uint32_t took_ms;  /* Since then. */
  uint32_t organisation;
  uint32_t parts;
  uint32_t parts_in;
  bool refused; /* Beyond the rate of its organisation. */
  bool answered;
  bool in_objective; /* Counted from the caller's first attempt. */
  bool left;         /* The caller left first. */
  bool is_last;      /* The caller does not send it again. */
} jd_search_end_t;

/* A load of searches over shards whose targets pause now and then, played against the
 * decisions of one host or of several. Times are in milliseconds. */
typedef struct jd_search_load
{
  uint64_t seed;
  uint32_t hosts;  /* That the searches are spread over; 0: one. */
  bool tell_hints; /* Hosts tell each other of targets. */
  bool oracle;     /* Hosts know when each target would answer, for a bound. */
  bool blind;      /* Hosts choose targets without knowing anything of them. */
  bool single;     /* No second attempts. */
  bool unguarded;  /* Hosts take searches that targets are too busy for. */
  uint32_t shards;
  uint32_t replicas;
  uint32_t slots;
  uint32_t queue; /* Requests that wait at a target; more are shed. 0: no bound. */
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

  double wave;      /* Swing of the load, as a share of it. */
  uint32_t wave_ms; /* Length of a wave; 0: none. */
  uint32_t burst_from_ms;
  uint32_t burst_for_ms;
  double burst_factor;
  uint32_t organisations; /* Of equal size; 0: none are told apart. */
  double rate_per_s;      /* Of each organisation; 0: no limit. */
  uint32_t hot_from_ms;   /* The first organisation sends hot_factor times its usual. */
  uint32_t hot_for_ms;
  double hot_factor;
  uint32_t retries;   /* Of a caller whose search was refused or failed. */
  double leave_share; /* Callers that leave. */
  uint32_t leave_ms;  /* After this time. */

  void (*on_end) (void *context, const jd_search_end_t *end); /* NULL: nobody listens. */
  void *context;
} jd_search_load_t;

/* What callers got. */
typedef struct jd_search_result
{
  uint32_t searches;
  uint32_t answered; /* With enough parts. */
  uint32_t in_objective;
  uint32_t complete;
  uint32_t rejected;    /* For load. */
  uint32_t late_finals; /* Without a final answer by the deadline. */
  uint64_t first_attempts;
  uint64_t extra_attempts;
  uint32_t most_replicas; /* Of one part, that ran it. */
} jd_search_result_t;

jd_search_result_t jd_search_load_play (const jd_search_load_t *load);
