#pragma once

#include "routing/query_defs.h"
#include "routing/result_merge.h"

/* Maximum number of attempts of one shard that run at the same time: the first one and a
 * hedge. */
#define JD_SHARD_MAX_ATTEMPTS 2

typedef struct jd_query jd_query_t;

/* An attempt that is being sent, or that was handed to the transport and has no outcome
 * yet. */
typedef struct jd_query_attempt
{
  uint64_t id;
  jd_query_t *query;
  uint32_t shard;   /* Index in the map. */
  uint32_t replica; /* Index in the shard. */
  jd_entry_target_t *target;
  jd_broker_view_t *broker;
  int64_t sent_us;
} jd_query_attempt_t;

/* State of one shard of a query. */
typedef struct jd_query_shard
{
  jd_query_attempt_t *attempts[JD_SHARD_MAX_ATTEMPTS];
  uint32_t busy_refusals; /* Number of attempts that were refused as busy. */
  uint32_t tried_mask;    /* Bit r is set if replica r must not get another attempt. */
  int64_t hedge_at_us;    /* INT64_MAX: no hedge is scheduled. */
  gboolean resolved;      /* The shard is covered or given up. */
} jd_query_shard_t;

/* A search, fetch or edit that an entry runs. */
struct jd_query
{
  uint64_t id;
  jd_query_env_t *env;
  jd_service_view_t *service;
  jd_shard_map_t *map; /* Own reference; the same map for the whole query. */
  jd_work_kind_t kind;
  jd_name_t organisation;
  char *text;
  char *body;
  uint32_t body_bytes;
  uint32_t limit; /* Maximum number of hits. */
  void *user_data;
  int64_t deadline_us;
  jd_result_merge_t merge;
  jd_query_shard_t *shards;
  uint32_t unresolved_shards;
  uint64_t given_up_weight;
  uint32_t extra_attempts; /* Hedges and retries. */
  uint32_t replans; /* Restarts on another snapshot; resends of an edit in tests. */
  int64_t started_us;
  uint32_t overloaded_attempt_count; /* Attempts that were signs of overload. */
  gboolean shard_lacked_snapshot;    /* A given-up shard lacked the snapshot. */
  uint32_t busy_wait_count;  /* For the attempts that are being sent; see jd_work_t. */
  gboolean edit_handed_over; /* The transport has the attempt of an edit. */
  jd_ran_t ran;              /* Whether an ended or cancelled attempt ran. */
  jd_result_code_t last_failure; /* Reason for the last given-up shard. */
  int64_t next_hedge_us;
  gboolean finished;
  jd_result_code_t code; /* Valid if finished. */
  GSequenceIter *timer;  /* Position in the timers of the entry core; NULL: none. */
  int64_t timer_us;      /* Time at which the entry core ticks the query. */
};

jd_query_t *jd_query_new (jd_query_env_t *env, jd_service_view_t *service, uint64_t id,
                          const jd_request_t *request, int64_t now_us);
void jd_query_free (jd_query_t *query);
void jd_query_start (jd_query_t *query, int64_t now_us);
/* Handles the outcome of an attempt, which is freed. Hits that are used move out of the
 * outcome. */
void jd_query_on_outcome (jd_query_t *query, jd_query_attempt_t *attempt,
                          jd_work_outcome_t *outcome, int64_t now_us);
/* Handles an attempt whose broker has disconnected; the attempt is freed. */
void jd_query_on_broker_lost (jd_query_t *query, jd_query_attempt_t *attempt,
                              int64_t now_us);
/* Stops the query with the given code. An edit that was handed over stays open until its
 * outcome or its deadline. */
void jd_query_cancel (jd_query_t *query, jd_result_code_t code, int64_t now_us);
/* Sends due hedges and finishes the query at its deadline. */
void jd_query_tick (jd_query_t *query, int64_t now_us);
int64_t jd_query_wake_us (const jd_query_t *query);
/* Returns the number of attempts that were signs of overload, divided by the number of
 * shards. */
double jd_query_overload_fraction (const jd_query_t *query);
/* Fills in the answer of a finished query; the query keeps ownership of the hits. */
void jd_query_fill_answer (jd_query_t *query, jd_answer_t *answer);
