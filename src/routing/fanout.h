#pragma once

#include "routing/answer_margin.h"
#include "routing/extra_admission.h"
#include "routing/replica_choice.h"
#include "routing/route_table.h"

/* Most attempts at one part of a request, including those that did not run. */
#define JD_FANOUT_ATTEMPTS_MAX 7
/* Most of them without those that targets with free slots rejected. */
#define JD_FANOUT_OTHER_ATTEMPTS_MAX 4

typedef enum jd_fanout_verdict
{
  JD_FANOUT_COMPLETE,  /* All parts are answered. */
  JD_FANOUT_PARTIAL,   /* Enough parts are answered; the others would be too late. */
  JD_FANOUT_FAILED,    /* Too few parts can still be answered; an attempt may have run. */
  JD_FANOUT_NOT_RUN,   /* Too few parts can still be answered, and no attempt ran. */
  JD_FANOUT_TIMED_OUT, /* The deadline has passed; an attempt may have run. */
  JD_FANOUT_STOPPED,   /* The host stops; an attempt may have run. */
} jd_fanout_verdict_t;

/* Callbacks that carry out the decisions of a fanout. */
typedef struct jd_fanout_actions
{
  /* Sends an attempt. Returns FALSE if it cannot be sent. */
  bool (*send) (void *context, uint32_t part, uint32_t attempt, jd_replica_t *replica);
  /* Returns TRUE if a running attempt left this host; FALSE while all of them wait for a
   * connection. NULL: attempts do not wait. */
  bool (*is_sent) (void *context);
  /* Called once, when the request has ended. The callback must not free the fanout; its
   * caller may free it after the call that invoked the callback has returned. */
  void (*finish) (void *context, jd_fanout_verdict_t verdict);
  void *context;
} jd_fanout_actions_t;

typedef struct jd_fanout_attempt
{
  jd_replica_t *replica;
  int64_t started_us;
  bool running;
  bool rejected; /* The replica rejected it although it had a free slot. */
} jd_fanout_attempt_t;

typedef struct jd_fanout_part
{
  jd_replica_pool_t *pool;
  jd_fanout_attempt_t attempts[JD_FANOUT_ATTEMPTS_MAX];
  uint8_t attempt_count;
  uint8_t running_attempts; /* Attempts without an outcome yet. */
  uint8_t rejections;       /* Attempts that were rejected, see jd_fanout_attempt_t. */
  uint8_t may_have_run;     /* Replicas that ran the request, or may have. */
  bool done;
  bool lost; /* No further attempt will be made and none is running. */
} jd_fanout_part_t;

/* Decides for one request which replicas it is sent to, when it is hedged or retried, and
 * when the answer is sent. A request to one service has one part; a scattered request has
 * a part for each shard. */
typedef struct jd_fanout
{
  jd_fanout_actions_t actions;
  const jd_route_t *route;
  int64_t start_us;
  int64_t early_us;    /* From then on, needed parts suffice for an answer. */
  int64_t deadline_us; /* Time at which the caller or the route stops waiting. */
  uint32_t part_count;
  uint32_t done_count;
  uint32_t lost_count;
  uint32_t needed_parts; /* Fewest parts that make an answer. */
  uint32_t salt;         /* See jd_replica_criteria_t. */
  jd_extra_rank_t rank;
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
  jd_caller_path_t caller_path;
  uint32_t salt;
  jd_extra_rank_t rank; /* Among the requests that need extra attempts at its shards. */
} jd_fanout_request_t;

jd_fanout_t *jd_fanout_new (const jd_fanout_request_t *request,
                            const jd_fanout_actions_t *actions, int64_t now_us);
void jd_fanout_free (jd_fanout_t *fanout);
bool jd_fanout_can_succeed (const jd_fanout_t *fanout, int64_t now_us);
double jd_fanout_expected_parts (const jd_fanout_t *fanout, int64_t now_us);
int64_t jd_fanout_servable_in_us (const jd_fanout_t *fanout, int64_t now_us);
void jd_fanout_start (jd_fanout_t *fanout, int64_t now_us);
bool jd_fanout_needs_part (const jd_fanout_t *fanout, uint32_t part);
void jd_fanout_end_attempt (jd_fanout_t *fanout, uint32_t part, uint32_t attempt,
                            jd_replica_outcome_t outcome, bool may_have_run,
                            int64_t now_us);
int64_t jd_fanout_tick (jd_fanout_t *fanout, int64_t now_us);
void jd_fanout_stop (jd_fanout_t *fanout);
bool jd_fanout_may_have_run (const jd_fanout_t *fanout);
