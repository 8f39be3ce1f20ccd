#pragma once

#include "stand_ins/target_defs.h"

/* Options of a target. The strings are copied; timers and executions are not owned. */
typedef struct jd_target_options
{
  const char *id;
  const char *zone;
  const char *ip;
  uint16_t port; /* 0: any free port. */
  uint64_t seed;
  uint64_t stream; /* Stream of the random numbers; unique per target. */
  jd_target_conditions_t conditions;
  jd_timer_queue_t *timers;
  jd_execution_log_t *executions;
} jd_target_options_t;

/* Starts a target, or returns NULL with the error set if it cannot listen. The target
 * serves the target HTTP interface of docs/design.md, section 5. It also serves, for
 * tests:
 *
 *   GET /faults, POST /faults   conditions of this target, JSON; POST also takes
 *                               "cold": bool, "restart": true, "freeze_ms": number,
 *                               "silent_connections": bool (all open ones, or none)
 *   GET /executions             edits that the process ran, counts of this target
 *
 * Replies to requests that did not run: 409 snapshot not held, 499 cancelled, 500 failed,
 * 503 shed, 504 deadline exceeded. */
jd_target_t *jd_target_new (const jd_target_options_t *options, GError **error);
uint16_t jd_target_port (const jd_target_t *target);
/* Closes the connections of further requests. Call it for every target before the timers
 * are freed. */
void jd_target_stop (jd_target_t *target);
void jd_target_free (jd_target_t *target);
