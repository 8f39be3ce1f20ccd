#pragma once

#include "routing/broker_batch.h"
#include "routing/broker_defs.h"
#include "routing/broker_queue.h"
#include "routing/target_gate.h"

/* State of one target at its broker. */
typedef struct jd_broker_target
{
  jd_name_t name;
  jd_target_gate_t gate;
  jd_broker_queue_t *queue; /* jd_broker_attempt_t */
  gboolean owned;
  gboolean leaving;
  gboolean draining;
  int64_t owned_until_us; /* Expiry of the ownership. */
  jd_target_health_t health;
} jd_broker_target_t;

typedef enum jd_attempt_state
{
  JD_ATTEMPT_QUEUED,
  JD_ATTEMPT_STARTED, /* Passed to the target client, nothing written yet. */
  JD_ATTEMPT_WRITTEN,
  JD_ATTEMPT_HELD, /* Answered or cancelled, but the target may still work on it. */
} jd_attempt_state_t;

/* One attempt, from its arrival until its slot is released. */
typedef struct jd_broker_attempt
{
  uint64_t handle;
  uint64_t attempt_id; /* Unique among the attempts of one entry. */
  jd_attempt_state_t state;
  jd_broker_batch_t *batch;
  jd_broker_target_t *target;
  jd_name_t shard;
  int64_t arrived_us;
  int64_t started_us;
  int64_t deadline_us;
  uint32_t peak_in_flight; /* Maximum at the target during this attempt. */
  gboolean gate_recorded;  /* The end of the attempt was reported to the gate. */
} jd_broker_attempt_t;

jd_broker_target_t *jd_broker_target_new (const char *name,
                                          const jd_gate_settings_t *settings,
                                          uint32_t queue_length, int64_t now_us);
void jd_broker_target_free (jd_broker_target_t *target);
/* Returns JD_OK if the target accepts new work, else the reason. */
jd_result_code_t jd_broker_target_check_usable (const jd_broker_target_t *target,
                                                int64_t now_us);
/* Returns how many attempts must end before new work starts; 0: it starts at once. */
uint32_t jd_broker_target_wait_count (const jd_broker_target_t *target, int64_t now_us);
/* Returns the estimated time at which new work with this deadline would finish. */
int64_t jd_broker_target_estimate_us (const jd_broker_target_t *target,
                                      int64_t deadline_us, int64_t now_us);
void jd_broker_target_status (const jd_broker_target_t *target, int64_t now_us,
                              jd_target_status_t *status);
