#pragma once

#include "routing/replica_choice.h"
#include "routing/route_table.h"

/* Attempts at one part of a request, those that did not run included. */
#define JD_FANOUT_TRIES_MAX 4

typedef enum jd_fanout_verdict
{
  JD_FANOUT_COMPLETE,  /* All parts are in. */
  JD_FANOUT_PARTIAL,   /* Enough parts are in; the rest would come too late. */
  JD_FANOUT_FAILED,    /* Too few parts can still come; some attempt may have run. */
  JD_FANOUT_NOT_RUN,   /* Too few parts can still come, and no attempt ran. */
  JD_FANOUT_TIMED_OUT, /* The time of the request is over. */
} jd_fanout_verdict_t;

/* What the caller of the decisions does for them. */
typedef struct jd_fanout_actions
{
  /* Sends an attempt. FALSE if it cannot be sent at all. */
  bool (*send) (void *context, uint32_t part, uint32_t attempt, jd_replica_t *replica);
  /* The request is over; the fanout may be freed after it. */
  void (*finish) (void *context, jd_fanout_verdict_t verdict);
  void *context;
} jd_fanout_actions_t;

typedef struct jd_fanout_attempt
{
  jd_replica_t *replica;
  int64_t started_us;
  bool running;
} jd_fanout_attempt_t;

typedef struct jd_fanout_part
{
  jd_replica_pool_t *pool;
  jd_fanout_attempt_t attempts[JD_FANOUT_TRIES_MAX];
  uint8_t attempt_count;
  uint8_t running;      /* Attempts whose outcome is open. */
  uint8_t may_have_run; /* Replicas that ran the request, or may have. */
  bool done;
  bool lost; /* No further attempt will be made and none is running. */
} jd_fanout_part_t;

/* Decides for one request which replicas get it, when another one is asked as well, and
 * when the answer goes out. A request to one service has one part; a scattered one has a
 * part for each shard. */
typedef struct jd_fanout
{
  jd_fanout_actions_t actions;
  const jd_route_t *route;
  int64_t start_us;
  int64_t early_us;    /* From here on enough parts are an answer. */
  int64_t deadline_us; /* When the caller or the route stops waiting. */
  uint32_t part_count;
  uint32_t done_count;
  uint32_t lost_count;
  uint32_t needed; /* Parts without which there is no answer. */
  uint32_t salt;
  uint32_t hedges;
  uint32_t retries;
  bool any_may_have_run;
  bool finished;
  jd_fanout_part_t parts[];
} jd_fanout_t;

typedef struct jd_fanout_request
{
  const jd_route_t *route;
  const jd_route_part_t *parts;
  uint32_t part_count;
  int64_t deadline_us;
  uint32_t salt;
} jd_fanout_request_t;

jd_fanout_t *jd_fanout_new (const jd_fanout_request_t *request,
                            const jd_fanout_actions_t *actions, int64_t now_us);
void jd_fanout_free (jd_fanout_t *fanout);
bool jd_fanout_can_succeed (const jd_fanout_t *fanout, int64_t now_us);
int64_t jd_fanout_servable_in_us (const jd_fanout_t *fanout, int64_t now_us);
void jd_fanout_start (jd_fanout_t *fanout, int64_t now_us);
bool jd_fanout_wants (const jd_fanout_t *fanout, uint32_t part);
void jd_fanout_settle (jd_fanout_t *fanout, uint32_t part, uint32_t attempt,
                       jd_replica_outcome_t outcome, bool may_have_run, int64_t now_us);
int64_t jd_fanout_tick (jd_fanout_t *fanout, int64_t now_us);
