#include "stand_ins/target_model.h"

#include <math.h>

#include "base/clock.h"
#include "stand_ins/target_reply.h"

#define SAMPLE_INTERVAL_US (10 * JD_US_PER_MS)
#define SAMPLE_KEEP_US (60 * JD_US_PER_S)
/* Length of a cold start that a fault asks for when no flag gave one. */
#define DEFAULT_COLD_MS 2000

static void start_waiting (jd_target_t *target, int64_t now_us);

/* Frees the content of a job. */
static void
job_clear (gpointer data)
{
  jd_target_job_t *job = data;
  g_free (job->request_id);
  g_free (job->shard);
  g_free (job->text);
  g_free (job->body);
}

/* Gives up one reference of a job. */
static void
job_unref (jd_target_job_t *job)
{
  g_rc_box_release_full (job, job_clear);
}

/* Calls back at a time; the timer holds a reference of the job. */
static void
job_wait (jd_target_job_t *job, int64_t due_us, jd_timer_callback_t callback)
{
  jd_timer_queue_add (job->target->timers, due_us, callback, g_rc_box_acquire (job));
}

/* Takes a job out of the target, with its slot or its place in the queue. The caller
 * has answered or is about to answer the request. */
static void
job_end (jd_target_job_t *job, int64_t now_us)
{
  jd_target_t *target = job->target;
  jd_target_job_state_t state = job->state;
  job->state = JD_TARGET_JOB_ENDED;
  if (state == JD_TARGET_JOB_WAITING)
    g_queue_remove (&target->waiting, job);
  if (g_hash_table_lookup (target->jobs, job->request_id) == job)
    g_hash_table_remove (target->jobs, job->request_id);
  if (state == JD_TARGET_JOB_RUNNING)
    {
      target->running--;
      start_waiting (target, now_us);
    }
  job_unref (job);
}

/* Answers with an error and ends the job. */
static void
job_refuse (jd_target_job_t *job, uint32_t status, const char *reason, int64_t now_us)
{
  jd_target_reply_refusal (job, status, reason);
  job_end (job, now_us);
}

/* Closes the connection and ends the job. */
static void
job_close (jd_target_job_t *job, int64_t now_us)
{
  job->target->counts.closed++;
  jd_http_request_close (job->request);
  job_end (job, now_us);
}

/* Returns TRUE during a cold start. */
gboolean
jd_target_is_cold (const jd_target_t *target, int64_t now_us)
{
  return now_us < target->cold_until_us || target->cold_left > 0;
}

/* Begins a cold start. */
void
jd_target_make_cold (jd_target_t *target, int64_t now_us)
{
  int64_t cold_ms = target->conditions.cold_ms;
  if (cold_ms == 0 && target->conditions.cold_requests == 0)
    cold_ms = DEFAULT_COLD_MS;
  target->cold_until_us = now_us + cold_ms * JD_US_PER_MS;
  target->cold_left = target->conditions.cold_requests;
}

/* Ends a cold start. */
void
jd_target_make_warm (jd_target_t *target)
{
  target->cold_until_us = 0;
  target->cold_left = 0;
}

/* Draws a new boot id and restarts the uptime. */
void
jd_target_reboot (jd_target_t *target, int64_t now_us)
{
  target->boot_id = jd_entropy () >> 1;
  target->boot_us = now_us;
  jd_target_make_warm (target);
  if (target->conditions.cold_ms > 0 || target->conditions.cold_requests > 0)
    jd_target_make_cold (target, now_us);
}

/* Draws a standard normal number (Box-Muller). */
static double
draw_normal (const jd_rng_t *rng)
{
  double u = 1.0 - jd_rng_unit (rng);
  double v = jd_rng_unit (rng);
  return sqrt (-2.0 * log (u)) * cos (2.0 * G_PI * v);
}

/* Draws the service time of one request. */
static int64_t
draw_service_us (jd_target_t *target, int64_t now_us)
{
  const jd_target_conditions_t *conditions = &target->conditions;
  jd_rng_t rng = jd_philox_rng (&target->random);
  double spread = exp (conditions->latency_sigma * draw_normal (&rng));
  double service_us = conditions->latency_median_us * spread;
  if (jd_rng_unit (&rng) < conditions->straggle_probability)
    service_us += conditions->straggle_ms * (double)JD_US_PER_MS * spread;
  service_us *= conditions->latency_factor;
  if (jd_target_is_cold (target, now_us))
    service_us *= conditions->cold_slowdown;
  return (int64_t)service_us;
}

/* Timer callback: the service time is over; works and replies. A frozen process does
 * so when it goes on. */
static void
on_finish (void *data)
{
  jd_target_job_t *job = data;
  jd_target_t *target = job->target;
  g_mutex_lock (&target->lock);
  int64_t now_us = g_get_monotonic_time ();
  if (job->state == JD_TARGET_JOB_RUNNING && now_us < target->frozen_until_us)
    job_wait (job, target->frozen_until_us, on_finish);
  else if (job->state == JD_TARGET_JOB_RUNNING)
    {
      target->counts.finished++;
      if (target->cold_left > 0)
        target->cold_left--;
      /* A reply's X-In-Flight does not count the request itself. */
      target->running--;
      jd_target_reply_work (job);
      target->running++;
      job_end (job, now_us);
    }
  job_unref (job);
  g_mutex_unlock (&target->lock);
}

/* Timer callback: drops work whose deadline has passed. */
static void
on_deadline (void *data)
{
  jd_target_job_t *job = data;
  jd_target_t *target = job->target;
  g_mutex_lock (&target->lock);
  int64_t now_us = g_get_monotonic_time ();
  if (job->state != JD_TARGET_JOB_ENDED && now_us < target->frozen_until_us)
    job_wait (job, target->frozen_until_us, on_deadline);
  else if (job->state != JD_TARGET_JOB_ENDED)
    {
      target->counts.dropped++;
      job_refuse (job, 504, "deadline exceeded", now_us);
    }
  job_unref (job);
  g_mutex_unlock (&target->lock);
}

/* Gives a job a slot. */
static void
job_start (jd_target_job_t *job, int64_t now_us)
{
  jd_target_t *target = job->target;
  job->state = JD_TARGET_JOB_RUNNING;
  target->running++;
  target->counts.peak_running = MAX (target->counts.peak_running, target->running);
  job_wait (job, now_us + draw_service_us (target, now_us), on_finish);
}

/* Returns TRUE when a slot is free. */
static gboolean
has_slot (const jd_target_t *target)
{
  return (int64_t)target->running + target->conditions.other_load <
         target->conditions.slots;
}

/* Starts waiting jobs while there are free slots. */
static void
start_waiting (jd_target_t *target, int64_t now_us)
{
  while (has_slot (target) && !g_queue_is_empty (&target->waiting))
    job_start (g_queue_pop_head (&target->waiting), now_us);
}

/* Fails the jobs of a list that are in one state. */
static void
fail_jobs (GList *jobs, jd_target_job_state_t state, int64_t now_us)
{
  for (GList *item = jobs; item; item = item->next)
    {
      jd_target_job_t *job = item->data;
      if (job->state != state)
        continue;
      job->target->counts.failed++;
      job_refuse (job, 500, "overloaded in a cold start", now_us);
    }
}

/* Fails all work in the target: a cold start got more than it can bear. The target is
 * cold again afterwards. */
static void
overload (jd_target_t *target, int64_t now_us)
{
  target->counts.overloads++;
  target->failing_until_us = now_us + target->conditions.cold_fail_ms * JD_US_PER_MS;
  jd_target_make_cold (target, target->failing_until_us);
  GList *jobs = g_hash_table_get_values (target->jobs);
  for (GList *item = jobs; item; item = item->next)
    g_rc_box_acquire (item->data);
  /* Waiting jobs first, so that none of them gets a slot that becomes free. */
  fail_jobs (jobs, JD_TARGET_JOB_WAITING, now_us);
  fail_jobs (jobs, JD_TARGET_JOB_RUNNING, now_us);
  for (GList *item = jobs; item; item = item->next)
    job_unref (item->data);
  g_list_free (jobs);
}

/* Counts an arrival. */
static void
count_arrival (jd_target_t *target, int64_t now_us)
{
  target->counts.arrived++;
  if (target->conditions.draining)
    target->counts.arrived_draining++;
  if (jd_target_is_cold (target, now_us))
    target->counts.arrived_cold++;
}

/* Ends a job that a fault or a limit refuses; returns FALSE when it may be admitted. */
static gboolean
refuse_arrival (jd_target_job_t *job, int64_t now_us)
{
  jd_target_t *target = job->target;
  const jd_target_conditions_t *conditions = &target->conditions;
  int64_t inside = (int64_t)target->running + target->waiting.length;
  if (jd_target_is_cold (target, now_us) && now_us >= target->failing_until_us &&
      inside >= conditions->cold_capacity)
    overload (target, now_us);
  if (conditions->close_after_read)
    job_close (job, now_us);
  else if (conditions->fail || now_us < target->failing_until_us)
    {
      target->counts.failed++;
      job_refuse (job, 500, "failed", now_us);
    }
  else if (conditions->shed ||
           (!has_slot (target) && target->waiting.length >= conditions->queue))
    {
      target->counts.shed++;
      job_refuse (job, 503, "shed", now_us);
    }
  else if (job->snapshot && !jd_target_conditions_holds (conditions, job->snapshot))
    {
      target->counts.wrong_snapshot++;
      job_refuse (job, 409, "snapshot not held", now_us);
    }
  else
    return FALSE;
  return TRUE;
}

/* Timer callback: the request has reached the target. */
static void
on_arrive (void *data)
{
  jd_target_job_t *job = data;
  jd_target_t *target = job->target;
  g_mutex_lock (&target->lock);
  int64_t now_us = g_get_monotonic_time ();
  if (job->state == JD_TARGET_JOB_ARRIVING && now_us < target->frozen_until_us)
    job_wait (job, target->frozen_until_us, on_arrive);
  else if (job->state == JD_TARGET_JOB_ARRIVING)
    {
      jd_target_sample (target, now_us);
      count_arrival (target, now_us);
      if (!refuse_arrival (job, now_us))
        {
          job->state = JD_TARGET_JOB_WAITING;
          g_queue_push_tail (&target->waiting, job);
          start_waiting (target, now_us);
        }
    }
  job_unref (job);
  g_mutex_unlock (&target->lock);
}

/* Takes a job with the caller's reference. */
void
jd_target_submit (jd_target_job_t *job, gboolean new_connection)
{
  jd_target_t *target = job->target;
  g_mutex_lock (&target->lock);
  int64_t now_us = g_get_monotonic_time ();
  job->state = JD_TARGET_JOB_ARRIVING;
  g_rc_box_acquire (job); /* For on_arrive. */
  g_hash_table_replace (target->jobs, job->request_id, job);
  if (job->deadline_us > 0)
    job_wait (job, job->deadline_us, on_deadline);
  int64_t setup_us = new_connection ? target->conditions.connection_setup_us : 0;
  target->counts.connection_setups += new_connection ? 1 : 0;
  int64_t due_us = MAX (now_us + setup_us, target->frozen_until_us);
  if (due_us > now_us)
    jd_timer_queue_add (target->timers, due_us, on_arrive, job);
  g_mutex_unlock (&target->lock);
  if (due_us <= now_us)
    on_arrive (job);
}

/* Drops a job that has not ended. */
gboolean
jd_target_cancel (jd_target_t *target, const char *request_id)
{
  jd_target_job_t *job = g_hash_table_lookup (target->jobs, request_id);
  if (!job)
    return FALSE;
  target->counts.cancelled++;
  job_refuse (job, 499, "cancelled", g_get_monotonic_time ());
  return TRUE;
}

/* Returns the present state. */
jd_target_report_t
jd_target_report_now (const jd_target_t *target, int64_t now_us)
{
  return (jd_target_report_t){
    .time_us = now_us,
    .running = target->running + (uint32_t)target->conditions.other_load,
    .waiting = target->waiting.length,
    .cold = jd_target_is_cold (target, now_us),
    .failing = now_us < target->failing_until_us,
    .draining = target->conditions.draining,
  };
}

/* Keeps the present state at most every SAMPLE_INTERVAL_US and forgets old ones. */
void
jd_target_sample (jd_target_t *target, int64_t now_us)
{
  const jd_target_report_t *newest = g_queue_peek_tail (&target->reports);
  if (newest && now_us - newest->time_us < SAMPLE_INTERVAL_US)
    return;
  jd_target_report_t *sample = g_new (jd_target_report_t, 1);
  *sample = jd_target_report_now (target, now_us);
  g_queue_push_tail (&target->reports, sample);
  while (now_us - ((jd_target_report_t *)target->reports.head->data)->time_us >
         SAMPLE_KEEP_US)
    g_free (g_queue_pop_head (&target->reports));
}

/* Returns the newest state that is at least as old as the configured lag. */
jd_target_report_t
jd_target_report_shown (jd_target_t *target, int64_t now_us)
{
  int64_t lag_us = target->conditions.report_lag_ms * JD_US_PER_MS;
  jd_target_sample (target, now_us);
  if (lag_us <= 0)
    return jd_target_report_now (target, now_us);
  const GList *item = target->reports.tail;
  while (item->prev && ((jd_target_report_t *)item->data)->time_us > now_us - lag_us)
    item = item->prev;
  return *(jd_target_report_t *)item->data;
}
