#pragma once

#include <stdint.h>

#include "base/name.h"
#include "base/result_code.h"

typedef enum jd_work_kind
{
  JD_WORK_SEARCH = 0,
  JD_WORK_FETCH = 1,
  JD_WORK_EDIT = 2, /* Not idempotent: must not be repeated. */
} jd_work_kind_t;

/* One attempt at one target. */
typedef struct jd_work_item
{
  uint64_t attempt_id; /* Unique over all attempts of one entry incarnation. */
  jd_name_t target;
  jd_name_t shard;
} jd_work_item_t;

/* Attempts of one query at targets of one broker, sent as one message. */
typedef struct jd_work
{
  uint64_t query_id;
  jd_work_kind_t kind;
  jd_name_t organisation; /* Empty on open routes. */
  jd_name_t service;
  uint64_t snapshot; /* 0: any. */
  uint64_t map_version;
  int64_t deadline_us; /* Clock of the receiving broker. */
  /* Incarnation of the broker whose clock deadline_us uses: another host under the same
   * member name has another clock. 0: unknown. */
  uint64_t receiver_incarnation;
  uint32_t limit;           /* Maximum number of hits. */
  uint32_t busy_wait_count; /* The broker refuses an attempt as JD_TARGET_BUSY if at least
                         this many attempts must end before it starts; 0: never. */
  char *text;               /* Query text of a search, entry id of a fetch or an edit. */
  char *body;               /* Body of an edit, else NULL. */
  uint32_t body_bytes;
  uint32_t item_count;
  jd_work_item_t *items;
} jd_work_t;

typedef struct jd_hit
{
  char *id;
  double score;
  char *body; /* JSON text. */
} jd_hit_t;

/* Result of one attempt. */
typedef struct jd_work_outcome
{
  uint64_t attempt_id;
  jd_name_t target;
  jd_name_t shard;
  jd_result_code_t code;
  jd_ran_t ran;
  uint64_t snapshot;
  int64_t service_us;    /* From the start at the target to the end; 0: not started. */
  int64_t queue_us;      /* Time in the queue of the broker. */
  uint32_t target_limit; /* Attempts that the target may have in flight; 0: unknown. */
  uint32_t target_load;  /* In flight and queued at the broker, without this attempt. */
  uint32_t hit_count;
  jd_hit_t *hits; /* Best first. */
} jd_work_outcome_t;

typedef struct jd_work_result
{
  uint64_t query_id;
  int64_t broker_clock_us;
  uint32_t outcome_count;
  jd_work_outcome_t *outcomes;
} jd_work_result_t;

/* State of a target that its broker reports to entries. */
typedef struct jd_target_status
{
  jd_name_t target;
  uint32_t limit; /* Attempts that the target may have in flight now. */
  uint32_t in_flight;
  uint32_t queued;
  uint8_t cold;
  uint8_t draining;
  uint32_t snapshot_count;
  uint64_t snapshots[4]; /* Newest first. */
} jd_target_status_t;

void jd_work_clear (jd_work_t *work);
void jd_work_result_clear (jd_work_result_t *result);
void jd_work_outcome_clear (jd_work_outcome_t *outcome);
