#pragma once

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

/* A stand-in of a target on the platform, in the event loop of a test. It answers each
 * request after a time, and counts for each request id how often it ran it. */
typedef struct jd_shard_target jd_shard_target_t;

/* Faults of a target. */
typedef struct jd_shard_faults
{
  double shed_share;  /* Requests that it does not run: 503 and says so. */
  double error_share; /* 500 after it ran the request. */
  double lose_share;  /* The connection ends after it ran the request. */
  double cut_share;   /* The answer breaks off. */
  double stray_share; /* An answer of another request goes ahead. */
  int64_t delay_us;   /* Time to an answer. */
  uint32_t waiting;   /* Length of the queue that it tells. */
  bool hangs;         /* Requests run and get no answer. */
} jd_shard_faults_t;

/* A request that has arrived for this target. */
typedef struct jd_shard_arrival
{
  const char *request_id;
  const char *tenant; /* NULL: none was named. */
  bool runs;          /* FALSE: the target refuses it. */
} jd_shard_arrival_t;

typedef void (*jd_shard_observer_t) (void *context, jd_shard_target_t *target,
                                     const jd_shard_arrival_t *arrival);

jd_shard_target_t *jd_shard_target_new (struct ev_loop *loop, const char *id,
                                        const char *address, uint64_t seed);
void jd_shard_target_free (jd_shard_target_t *target);
void jd_shard_target_set_faults (jd_shard_target_t *target,
                                 const jd_shard_faults_t *faults);
void jd_shard_target_observe (jd_shard_target_t *target, jd_shard_observer_t observer,
                              void *context);
void jd_shard_target_rename (jd_shard_target_t *target, const char *id);
uint32_t jd_shard_target_runs (const jd_shard_target_t *target, const char *request_id);
uint32_t jd_shard_target_total_runs (const jd_shard_target_t *target);
const char *jd_shard_target_last_tenant (const jd_shard_target_t *target);
bool jd_shard_target_saw_key (const jd_shard_target_t *target);
const char *jd_shard_target_last_target (const jd_shard_target_t *target);
