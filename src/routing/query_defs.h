#pragma once

#include "routing/hedge_budget.h"
#include "routing/overload_guard.h"
#include "routing/planner.h"

/* A caller's request after its key and rate were checked. */
typedef struct jd_request
{
  jd_work_kind_t kind;
  const char *service;
  const char *organisation; /* Empty on open routes. */
  const char *text;         /* Query text, or entry id. */
  const char *body;         /* Body of an edit, else NULL. */
  uint32_t body_bytes;
  uint32_t limit;      /* Most hits wanted. */
  int64_t deadline_us; /* Own clock; 0: the service's default time from now. */
  void *user;          /* Returned with the answer. */
} jd_request_t;

/* The end of a request. */
typedef struct jd_answer
{
  uint64_t query_id;
  void *user;
  jd_result_code_t code;
  jd_ran_t ran;
  double coverage; /* Covered weight / total weight of the map. */
  uint64_t snapshot;
  uint64_t map_version;
  uint32_t hit_count;
  jd_hit_t *hits; /* Best first; valid during the callback. */
  uint32_t extra_requests;
} jd_answer_t;

/* When an attempt gets a hedged request; the first is the default. */
typedef enum jd_hedge_mode
{
  JD_HEDGE_QUANTILE,
  JD_HEDGE_NONE,
  JD_HEDGE_FIXED, /* After a fixed delay, without a budget; for comparison only. */
} jd_hedge_mode_t;

typedef struct jd_entry_settings
{
  const char *zone;
  jd_replica_policy_t replica_policy;
  jd_replica_chooser_t chooser; /* For benchmarks; NULL: the policy. */
  void *chooser_context;
  gboolean bounce;     /* Let brokers send back what cannot start at once. */
  gboolean shed_early; /* Refuse whole queries under overload; see overload_guard. */
  jd_hedge_mode_t hedge_mode;
  int64_t hedge_fixed_us;
  int64_t hedge_min_us;
  int64_t status_limit_us;
  int64_t zone_ramp_us;
  gboolean check_snapshot; /* FALSE only in tests that show what the check prevents. */
  gboolean retry_edits;    /* TRUE only in tests, likewise. */
} jd_entry_settings_t;

typedef struct jd_entry_callbacks
{
  /* Hands work to the transport, which copies what it keeps. FALSE: certainly nothing
   * was or will be sent. */
  gboolean (*send_work) (void *context, const char *broker, const jd_work_t *work);
  void (*send_cancel) (void *context, const char *broker, const uint64_t *attempt_ids,
                       uint32_t count);
  /* The end of a request, exactly once per request. */
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
  uint64_t bounces; /* Sent to another replica because the first was busy. */
  uint64_t replans;
  uint64_t messages;
  uint64_t unknown_outcomes;  /* Late, repeated or never asked for. */
  uint64_t crossed_outcomes;  /* Known attempt, but another query, target or shard. */
  uint64_t foreign_snapshots; /* Outcomes of another snapshot than asked for. */
} jd_entry_counts_t;

/* A service as an entry uses it. */
typedef struct jd_service_view
{
  jd_name_t name;
  jd_shard_map_t *map; /* Of the newest record; NULL when deleted. */
  jd_latency_tracker_t latency;
  jd_hedge_budget_t budget;
  jd_overload_guard_t guard;
} jd_service_view_t;

/* What all queries of an entry share. */
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
