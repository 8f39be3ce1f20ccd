#pragma once

#include "routing/hedge_budget.h"
#include "routing/overload_guard.h"
#include "routing/planner.h"

/* A request of a caller whose key and rate limit were already checked. */
typedef struct jd_request
{
  jd_work_kind_t kind;
  const char *service;
  const char *organisation; /* Empty on open routes. */
  const char *text;         /* Query text, or entry id. */
  const char *body;         /* Body of an edit, else NULL. */
  uint32_t body_bytes;
  uint32_t limit;      /* Maximum number of hits. */
  int64_t deadline_us; /* Clock of the entry; 0: the default deadline of the service. */
  void *user_data;     /* Opaque pointer that the answer returns. */
} jd_request_t;

/* The answer to a request. */
typedef struct jd_answer
{
  uint64_t query_id;
  void *user_data;
  jd_result_code_t code;
  jd_ran_t ran;
  double coverage; /* Covered weight / total weight of the map. */
  uint64_t snapshot;
  uint64_t map_version;
  uint32_t hit_count;
  jd_hit_t *hits;          /* Best first; valid during the callback. */
  uint32_t extra_attempts; /* Hedges and retries of this request. */
} jd_answer_t;

/* When an attempt gets a hedge. JD_HEDGE_QUANTILE is the default: after a quantile of
 * the latency, within the budget of extra attempts. */
typedef enum jd_hedge_mode
{
  JD_HEDGE_QUANTILE,
  JD_HEDGE_NONE,
  JD_HEDGE_FIXED, /* After hedge_fixed_delay_us, without a budget; only for benchmarks. */
} jd_hedge_mode_t;

typedef struct jd_entry_settings
{
  const char *zone;
  jd_replica_policy_t replica_policy;
  jd_replica_chooser_t chooser; /* Overrides the policy in benchmarks; NULL: none. */
  void *chooser_context;
  gboolean
      allow_busy_refusal; /* Brokers may refuse work that would wait (JD_TARGET_BUSY). */
  gboolean shed_early;    /* Reject whole queries under overload; see overload_guard.h. */
  jd_hedge_mode_t hedge_mode;
  int64_t hedge_fixed_delay_us; /* Delay of JD_HEDGE_FIXED. */
  int64_t hedge_min_delay_us;
  int64_t status_ttl_us;   /* A target with an older last report gets no work. */
  int64_t zone_ramp_up_us; /* Time until a restored zone gets its full load. */
  gboolean check_snapshot; /* FALSE only in tests that show what the check prevents. */
  gboolean retry_edits; /* TRUE only in tests, to show that checks find repeated edits. */
} jd_entry_settings_t;

typedef struct jd_entry_callbacks
{
  /* Hands work to the transport, which copies what it keeps. Returns FALSE only if
   * nothing was sent and nothing will be sent. */
  gboolean (*send_work) (void *context, const char *broker, const jd_work_t *work);
  /* Sends a cancel for the attempts. The array is valid only during the call. */
  void (*send_cancel) (void *context, const char *broker, const uint64_t *attempt_ids,
                       uint32_t count);
  /* Delivers the answer of a request, exactly once per request. The answer and its hits
   * are valid only during the call. */
  void (*finish) (void *context, const jd_answer_t *answer);
  void *context;
} jd_entry_callbacks_t;

/* Counts since the start of the process. */
typedef struct jd_entry_counts
{
  uint64_t queries;
  uint64_t attempts;
  uint64_t hedges;
  uint64_t retries;
  uint64_t busy_refusals; /* Attempts refused as busy, without undone hedges. */
  uint64_t replans;       /* Queries that restarted on another snapshot. */
  uint64_t messages;
  uint64_t unknown_outcomes;  /* Late, repeated, or of an attempt never sent. */
  uint64_t crossed_outcomes;  /* Known attempt, but another query, target or shard. */
  uint64_t foreign_snapshots; /* Search outcomes of another snapshot than requested. */
} jd_entry_counts_t;

/* A service as seen by an entry. */
typedef struct jd_service_view
{
  jd_name_t name;
  jd_shard_map_t *map; /* Of the last record; NULL if that record deletes the service. */
  jd_latency_tracker_t latency;
  jd_hedge_budget_t budget;
  jd_overload_guard_t guard;
} jd_service_view_t;

/* State that all queries of an entry share. */
typedef struct jd_query_env
{
  jd_entry_settings_t settings;
  jd_entry_callbacks_t callbacks;
  jd_entry_counts_t counts;
  jd_planner_t planner;
  jd_target_table_t targets;
  GHashTable *attempts; /* attempt id -> jd_query_attempt_t */
  uint64_t next_attempt_id;
} jd_query_env_t;
