#pragma once

#include "stand_ins/target_defs.h"

/* What a target is made of. */
typedef struct jd_target_options
{
  const char *id;
  const char *zone;
  const char *ip;
  uint16_t port; /* 0: any free port. */
  uint64_t seed;
  uint64_t stream; /* Of the random numbers; one per target. */
  jd_target_conditions_t conditions;
  jd_timer_queue_t *timers;
  jd_execution_log_t *executions;
} jd_target_options_t;

/* Target HTTP of docs/design.md section 5, and for tests:
 *   GET /faults, POST /faults   conditions of this target, JSON; POST also takes
 *                               "cold": bool, "restart": true, "freeze_ms": number,
 *                               "silent_connections": bool (those open now, or none)
 *   GET /executions             executed edits of the process, counts of this target
 * Replies to work that did not run: 409 snapshot not held, 499 cancelled, 500 failed,
 * 503 shed, 504 past its deadline. */
jd_target_t *jd_target_new (const jd_target_options_t *options, GError **error);
uint16_t jd_target_port (const jd_target_t *target);
/* Refuses further requests; call it for every target before the timers are freed. */
void jd_target_stop (jd_target_t *target);
void jd_target_free (jd_target_t *target);
