#pragma once

#include "routing/query_defs.h"
#include "routing/result_merge.h"

/* Attempts of one shard that may run at the same time. */
#define JD_SHARD_ATTEMPTS 2

typedef struct jd_query jd_query_t;

/* One attempt that was handed to the transport and has no outcome yet. */
typedef struct jd_query_attempt
{
  uint64_t id;
  jd_query_t *query;
  uint32_t shard;
  uint32_t replica;
  jd_entry_target_t *target;
  jd_broker_view_t *broker;
  int64_t sent_us;
} jd_query_attempt_t;

/* The part of a query that concerns one shard. */
typedef struct jd_query_shard
{
  jd_query_attempt_t *attempts[JD_SHARD_ATTEMPTS];
  uint32_t bounces;    /* Times that a busy target sent the work back. */
  uint32_t tried;      /* Bit per replica index. */
  int64_t hedge_at_us; /* INT64_MAX: no hedged request any more. */
  gboolean resolved;   /* Covered, or given up. */
} jd_query_shard_t;

/* One search, fetch or edit at its entry. */
struct jd_query
{
  uint64_t id;
  jd_query_env_t *env;
  jd_service_view_t *service;
  jd_shard_map_t *map; /* Kept from start to end. */
  jd_work_kind_t kind;
  jd_name_t organisation;
  char *text;
  char *body;
  uint32_t body_bytes;
  uint32_t limit;
  void *user;
  int64_t deadline_us;
  jd_result_merge_t merge;
  jd_query_shard_t *shards;
  uint32_t waiting; /* Shards that are not resolved. */
  uint64_t given_up_weight;
  uint32_t extra_requests;
  uint32_t replans;
  int64_t started_us;
  uint32_t overload_signs;  /* Attempts that were refused for load or waited long. */
  gboolean snapshot_missed; /* A shard was given up for lack of the snapshot. */
  uint32_t bounce_at;       /* Of the attempts being sent; see jd_work_t. */
  gboolean handed;          /* Edit: an attempt was handed to the transport. */
  jd_ran_t ran;             /* Worst case over ended attempts. */
  jd_result_code_t failure; /* Last reason for giving up a shard. */
  int64_t next_hedge_us;
  gboolean finished;
  jd_result_code_t code; /* Result of a finished fetch or edit. */
  GSequenceIter *timer;  /* Of the entry core. */
  int64_t timer_us;
};

jd_query_t *jd_query_new (jd_query_env_t *env, jd_service_view_t *service, uint64_t id,
                          const jd_request_t *request, int64_t now_us);
void jd_query_free (jd_query_t *query);
void jd_query_start (jd_query_t *query, int64_t now_us);
/* Takes the outcome of a known attempt, which is freed. */
void jd_query_on_outcome (jd_query_t *query, jd_query_attempt_t *attempt,
                          jd_work_outcome_t *outcome, int64_t now_us);
/* The broker of an attempt is gone; the attempt is freed. */
void jd_query_on_lost (jd_query_t *query, jd_query_attempt_t *attempt, int64_t now_us);
/* Stops the query for the given reason. An edit that was handed over stays open until
 * its outcome is known. */
void jd_query_cancel (jd_query_t *query, jd_result_code_t code, int64_t now_us);
/* Sends hedged requests and ends the query at its deadline. */
void jd_query_tick (jd_query_t *query, int64_t now_us);
int64_t jd_query_wake_us (const jd_query_t *query);
/* Fraction of the shards at which an attempt was refused for load or waited long. */
double jd_query_overload (const jd_query_t *query);
/* Fills in the answer of a finished query; the hits stay with the query. */
void jd_query_answer (jd_query_t *query, jd_answer_t *answer);
