#pragma once

#include <stdbool.h>
#include <stdint.h>

/* How one search of a caller ended. */
typedef struct jd_search_end
{
  uint32_t first_sent_ms; /* When its caller first sent it. */
  uint32_t latency_ms;    /* From then to the end. */
  uint32_t organisation;
  uint32_t parts;
  uint32_t answered_parts;
  bool refused; /* By the rate limit of the organisation or the admission gate. */
  bool answered;
  bool in_objective; /* Answered within the objective, counted from first_sent_ms. */
  bool abandoned;    /* The caller left before the answer. */
  bool is_last;      /* The caller does not retry it. */
} jd_search_end_t;

/* A load of searches over shards whose targets may pause, fail or be slow, simulated with
 * the routing code of one host or of several. */
typedef struct jd_search_load
{
  uint64_t seed;
  uint32_t hosts;  /* Hosts that share the searches; 0: one. */
  bool send_hints; /* Hosts exchange target hints. */
  bool oracle;     /* Hosts have the true latency of each target, as an upper bound. */
  bool ignore_target_state; /* Hosts choose targets without any state of them. */
  bool single_attempt;      /* One attempt for each part. */
  bool admit_all;           /* Hosts admit searches although targets are overloaded. */
  uint32_t shards;
  uint32_t replicas;         /* Targets of each shard. */
  uint32_t slots;            /* Attempts that a target runs at a time. */
  uint32_t max_queue_length; /* Attempts that may wait at a target; 0: no limit. */
  double searches_per_s;
  double work_ms;
  uint32_t pause_ms;          /* Length of a pause; 0: none. */
  uint32_t pause_interval_ms; /* Interval between the starts of pauses. */
  uint32_t dead_shards;       /* Shards without a target that answers. */
  uint32_t slow_percent; /* Percentage of targets that take slow_factor times as long. */
  double slow_factor;
  uint32_t slow_from_ms;      /* Start of the slow period. */
  bool uneven_speed;          /* Targets take 0.8 to 1.3 times the work, and report it. */
  bool use_mean_load;         /* Hosts choose by the mean load of such targets. */
  uint32_t rejecting_percent; /* Percentage of targets that reject requests although they
                                 have free slots. */
  double reject_share;        /* Share of requests that they reject. */
  uint32_t reject_from_ms;
  uint32_t reject_for_ms;
  bool learn_rejections;    /* Hosts tell such targets apart. */
  uint32_t extra_slack;     /* Extra attempts of all hosts at a shard in 10 s. */
  double fail_share;        /* Share of attempts that fail when their work is done. */
  uint32_t leaving_percent; /* Percentage of targets, at most one of a shard, that say in
                               their answers that they are leaving. */
  uint32_t leaving_from_ms; /* From then on. */
  uint32_t pause_asked_ms;  /* Pause that a target asks for when its queue is full. */
  double min_coverage;
  uint32_t objective_ms;
  uint32_t round_trip_us; /* Between callers and hosts; 0: results are as of the host. */
  bool new_connections;   /* Each caller opens a connection for its search. */
  uint32_t deadline_ms;
  uint32_t duration_ms;

  double wave_amplitude;   /* Amplitude of a sine of the load, as a share of it. */
  uint32_t wave_period_ms; /* Period of the sine; 0: none. */
  uint32_t burst_from_ms;
  uint32_t burst_for_ms;
  double burst_factor;
  uint32_t organisations; /* Organisations of equal load; 0: searches have none. */
  double rate_per_s;      /* Rate limit of each organisation; 0: none. */
  uint32_t hot_from_ms;   /* The first organisation sends hot_factor times its load. */
  uint32_t hot_for_ms;
  double hot_factor;
  uint32_t retries;   /* Retries of a caller whose search was refused or failed. */
  double leave_share; /* Share of callers that leave without waiting for the end. */
  uint32_t leave_ms;  /* Time from the first sending until they leave. */

  void (*on_end) (void *context, const jd_search_end_t *end); /* May be NULL. */
  void *context;
} jd_search_load_t;

/* Counts of a simulated load. Retries count as searches of their own. */
typedef struct jd_search_result
{
  uint32_t searches;
  uint32_t answered;          /* With at least the minimum coverage. */
  uint32_t in_objective;      /* As the caller measures it. */
  uint32_t complete;          /* Answered with all parts. */
  uint32_t refused_by_gate;   /* By the admission gate of a host. */
  uint32_t refused_as_scarce; /* Because their shards are scarce. */
  double busiest_over_mean; /* First attempts at the busiest replica of a shard in 200 ms,
                               over the mean of its replicas. */
  uint32_t waits_beside_idle;  /* Attempts that wait while another replica of their shard
                                  is idle. */
  uint32_t max_extra_attempts; /* Most extra attempts at a shard within 10 s. */
  uint32_t missed_deadlines;   /* Not ended by the deadline. */
  uint64_t first_attempts;
  uint64_t extra_attempts;
  uint32_t attempts_after_leaving; /* At a target, later than the drain limit after it has
                                      told the host that it is leaving. */
  uint32_t attempts_in_pauses;     /* At a target that has asked the host for a pause. */
  uint32_t max_attempts_per_part;  /* Highest number of attempts for one part. */
} jd_search_result_t;

jd_search_result_t jd_search_load_run (const jd_search_load_t *load);
