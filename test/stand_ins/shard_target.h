#pragma once

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

/* A stand-in for a target of the platform, in the event loop of a test. It answers each
 * request after a delay, and counts for each request id how often it ran the request. */
typedef struct jd_shard_target jd_shard_target_t;

/* Faults that a target injects. Shares are fractions of the requests, 0 to 1. */
typedef struct jd_shard_faults
{
  double shed_share;                 /* Refused with 503 and X-Not-Executed, not run. */
  bool sheds_while_free;             /* Refusals report free slots. */
  double error_share;                /* Run, then answered with 500. */
  double close_without_answer_share; /* Run, then the connection is closed without an
                                        answer. */
  double
      truncate_share; /* Run, then the connection is closed in the middle of an answer. */
  double extra_answer_share;      /* An answer to another request precedes the answer. */
  int64_t delay_us;               /* From the arrival of a request to its answer. */
  uint32_t reported_queue_length; /* Queue length that X-Server-Load reports. */
  bool never_answers;             /* Requests run but get no answer. */
} jd_shard_faults_t;

/* What a target says about itself in its answers. */
typedef struct jd_shard_notice
{
  bool says_leaving; /* In each answer. */
  const char *pause; /* Retry-After of refusals with 503, a static string; NULL: none. */
  bool is_paused;    /* Each request is refused. */
} jd_shard_notice_t;

/* A request that arrived at a target. */
typedef struct jd_shard_arrival
{
  const char *request_id;
  const char *tenant; /* NULL: the request names none. */
  bool will_run;      /* FALSE: the target refuses it. */
} jd_shard_arrival_t;

/* Called for each arrival, before the request runs or is refused. */
typedef void (*jd_shard_observer_t) (void *context, jd_shard_target_t *target,
                                     const jd_shard_arrival_t *arrival);

jd_shard_target_t *jd_shard_target_new (struct ev_loop *loop, const char *id,
                                        const char *address, uint64_t seed);
void jd_shard_target_free (jd_shard_target_t *target);
void jd_shard_target_set_faults (jd_shard_target_t *target,
                                 const jd_shard_faults_t *faults);
void jd_shard_target_set_notice (jd_shard_target_t *target,
                                 const jd_shard_notice_t *notice);
void jd_shard_target_set_observer (jd_shard_target_t *target,
                                   jd_shard_observer_t observer, void *context);
void jd_shard_target_set_id (jd_shard_target_t *target, const char *id);
uint32_t jd_shard_target_run_count (const jd_shard_target_t *target,
                                    const char *request_id);
uint32_t jd_shard_target_total_run_count (const jd_shard_target_t *target);
const char *jd_shard_target_last_tenant (const jd_shard_target_t *target);
bool jd_shard_target_received_key (const jd_shard_target_t *target);
const char *jd_shard_target_last_request_target (const jd_shard_target_t *target);
