#include "routing/broker_target.h"

#include <string.h>

/* Creates a target that is not owned, with a queue of at most queue_length attempts. */
jd_broker_target_t *
jd_broker_target_new (const char *name, const jd_gate_settings_t *settings,
                      uint32_t queue_length, int64_t now_us)
{
  jd_broker_target_t *target = g_new0 (jd_broker_target_t, 1);
  g_strlcpy (target->name, name, sizeof (target->name));
  jd_target_gate_init (&target->gate, settings, now_us);
  target->queue = jd_broker_queue_new (queue_length);
  return target;
}

/* Frees the target, but not the attempts in its queue. */
void
jd_broker_target_free (jd_broker_target_t *target)
{
  jd_broker_queue_free (target->queue);
  g_free (target);
}

/* Returns JD_OK if the target accepts new work now, JD_NOT_OWNER if the ownership is
 * missing or has expired, JD_NO_TARGET if the target is leaving or draining. */
jd_result_code_t
jd_broker_target_check_usable (const jd_broker_target_t *target, int64_t now_us)
{
  if (!target->owned || now_us >= target->owned_until_us)
    return JD_NOT_OWNER;
  if (target->leaving || target->draining)
    return JD_NO_TARGET;
  return JD_OK;
}

/* Returns how many attempts must end before new work starts. A backoff of the gate counts
 * as one attempt. */
uint32_t
jd_broker_target_wait_count (const jd_broker_target_t *target, int64_t now_us)
{
  uint32_t load = target->gate.in_flight + jd_broker_queue_length (target->queue);
  uint32_t limit = jd_target_gate_limit (&target->gate, now_us);
  if (load >= limit)
    return load - limit + 1;
  return now_us < target->gate.blocked_until_us ? 1 : 0;
}

/* Estimates when new work would finish from the expected service time, the attempts that
 * would run first and the backoff of the gate. While the service time is unknown it
 * counts as 0, so that no work is refused without evidence. */
int64_t
jd_broker_target_estimate_us (const jd_broker_target_t *target, int64_t deadline_us,
                              int64_t now_us)
{
  const jd_target_gate_t *gate = &target->gate;
  int64_t expected_us = jd_target_gate_expected_us (gate, now_us);
  int64_t begin_us = MAX (now_us, gate->blocked_until_us);
  uint32_t limit = jd_target_gate_limit (gate, now_us);
  uint32_t before = gate->in_flight + jd_broker_queue_ahead (target->queue, deadline_us);
  if (before < limit)
    return begin_us + expected_us;
  /* Attempts in flight have half of their service time left on average, hence the count
   * of half rounds. */
  uint32_t rounds_twice = 2 * (before - limit) / limit + 1;
  return begin_us + expected_us * rounds_twice / 2 + expected_us;
}

/* Fills in the state of the target that the broker reports to entries. */
void
jd_broker_target_status (const jd_broker_target_t *target, int64_t now_us,
                         jd_target_status_t *status)
{
  *status = (jd_target_status_t){
    .limit = jd_target_gate_limit (&target->gate, now_us),
    .in_flight = target->gate.in_flight,
    .queued = jd_broker_queue_length (target->queue),
    .cold = target->gate.cold ? 1 : 0,
    .draining = target->draining || target->leaving ? 1 : 0,
    .snapshot_count = target->health.snapshot_count,
  };
  memcpy (status->target, target->name, sizeof (status->target));
  memcpy (status->snapshots, target->health.snapshots, sizeof (status->snapshots));
}
