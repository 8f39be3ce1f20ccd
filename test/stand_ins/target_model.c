#include "stand_ins/target_model.h"

#include <math.h>

#include "base/clock.h"
#include "stand_ins/target_reply.h"

#define REPORT_INTERVAL_US (10 * JD_US_PER_MS)
#define REPORT_RETENTION_US (60 * JD_US_PER_S)
/* Length of a cold start that POST /faults requests when the conditions set no length. */
#define DEFAULT_COLD_MS 2000

static void start_waiting_jobs (jd_target_t *target, int64_t now_us);

static void
job_clear (gpointer data)
{
  jd_target_job_t *job = data;
  g_free (job->request_id);
  g_free (job->shard);
  g_free (job->text);
  g_free (job->body);
}

static void
job_unref (jd_target_job_t *job)
{
  g_rc_box_release_full (job, job_clear);
}

/* Calls the callback at due_us; the timer holds a reference to the job. */
static void
job_schedule (jd_target_job_t *job, int64_t due_us, jd_timer_callback_t callback)
{
  jd_timer_queue_add (job->target->timers, due_us, callback, g_rc_box_acquire (job));
}

/* Removes a job from the target, frees its slot or its place in the queue, and drops the
 * target's reference. The caller has answered the request or closed its connection. */
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
      start_waiting_jobs (target, now_us);
    }
  job_unref (job);
}

static void
job_refuse (jd_target_job_t *job, uint32_t status, const char *reason, int64_t now_us)
{
  jd_target_reply_refusal (job, status, reason);
  job_end (job, now_us);
}

/* Closes the connection of a job without a reply and ends the job. */
static void
job_close (jd_target_job_t *job, int64_t now_us)
{
  job->target->counts.closed++;
  jd_http_request_close (job->request);
  job_end (job, now_us);
}

gboolean
jd_target_is_cold (const jd_target_t *target, int64_t now_us)
{
  return now_us < target->cold_until_us || target->cold_requests_left > 0;
}

void
jd_target_begin_cold_start (jd_target_t *target, int64_t now_us)
{
  int64_t cold_ms = target->conditions.cold_ms;
  if (cold_ms == 0 && target->conditions.cold_requests == 0)
    cold_ms = DEFAULT_COLD_MS;
  target->cold_until_us = now_us + cold_ms * JD_US_PER_MS;
  target->cold_requests_left = target->conditions.cold_requests;
}

void
jd_target_end_cold_start (jd_target_t *target)
{
  target->cold_until_us = 0;
  target->cold_requests_left = 0;
}

void
jd_target_restart (jd_target_t *target, int64_t now_us)
{
  target->boot_id = jd_entropy () >> 1;
  target->boot_us = now_us;
  jd_target_end_cold_start (target);
  if (target->conditions.cold_ms > 0 || target->conditions.cold_requests > 0)
    jd_target_begin_cold_start (target, now_us);
}

/* Draws a standard normal number (Box-Muller). */
static double
draw_standard_normal (const jd_rng_t *rng)
{
  double u = 1.0 - jd_rng_unit (rng);
  double v = jd_rng_unit (rng);
  return sqrt (-2.0 * log (u)) * cos (2.0 * G_PI * v);
}

/* Draws the service time of one request from the conditions. */
static int64_t
draw_service_us (jd_target_t *target, int64_t now_us)
{
  const jd_target_conditions_t *conditions = &target->conditions;
  jd_rng_t rng = jd_philox_rng (&target->random);
  double lognormal_factor = exp (conditions->latency_sigma * draw_standard_normal (&rng));
  double service_us = conditions->latency_median_us * lognormal_factor;
  if (jd_rng_unit (&rng) < conditions->straggle_probability)
    service_us += conditions->straggle_ms * (double)JD_US_PER_MS * lognormal_factor;
  service_us *= conditions->latency_factor;
  if (jd_target_is_cold (target, now_us))
    service_us *= conditions->cold_slowdown;
  return (int64_t)service_us;
}

/* Timer callback at the end of the service time: runs the request and replies. While the
 * process is frozen, this is delayed until the end of the freeze. */
static void
on_finish (void *data)
{
  jd_target_job_t *job = data;
  jd_target_t *target = job->target;
  g_mutex_lock (&target->lock);
  int64_t now_us = g_get_monotonic_time ();
  if (job->state == JD_TARGET_JOB_RUNNING && now_us < target->frozen_until_us)
    job_schedule (job, target->frozen_until_us, on_finish);
  else if (job->state == JD_TARGET_JOB_RUNNING)
    {
      target->counts.finished++;
      if (target->cold_requests_left > 0)
        target->cold_requests_left--;
      /* X-In-Flight in a reply does not include the request itself. */
      target->running--;
      jd_target_run_and_reply (job);
      target->running++;
      job_end (job, now_us);
    }
  job_unref (job);
  g_mutex_unlock (&target->lock);
}

/* Timer callback: answers a job with 504 if it has not ended by its deadline. */
static void
on_deadline (void *data)
{
  jd_target_job_t *job = data;
  jd_target_t *target = job->target;
  g_mutex_lock (&target->lock);
  int64_t now_us = g_get_monotonic_time ();
  if (job->state != JD_TARGET_JOB_ENDED && now_us < target->frozen_until_us)
    job_schedule (job, target->frozen_until_us, on_deadline);
  else if (job->state != JD_TARGET_JOB_ENDED)
    {
      target->counts.dropped++;
      job_refuse (job, 504, "deadline exceeded", now_us);
    }
  job_unref (job);
  g_mutex_unlock (&target->lock);
}

/* Starts a job in a slot. */
static void
job_start (jd_target_job_t *job, int64_t now_us)
{
  jd_target_t *target = job->target;
  job->state = JD_TARGET_JOB_RUNNING;
  target->running++;
  target->counts.peak_running = MAX (target->counts.peak_running, target->running);
  job_schedule (job, now_us + draw_service_us (target, now_us), on_finish);
}

static gboolean
has_free_slot (const jd_target_t *target)
{
  return (int64_t)target->running + target->conditions.other_load <
         target->conditions.slots;
}

static void
start_waiting_jobs (jd_target_t *target, int64_t now_us)
{
  while (has_free_slot (target) && !g_queue_is_empty (&target->waiting))
    job_start (g_queue_pop_head (&target->waiting), now_us);
}

/* Answers the jobs of a list that are in the given state with 500. */
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

/* Handles more load than cold_capacity in a cold start: fails all jobs in the target,
 * fails requests for cold_fail_ms, and starts another cold start after that. */
static void
handle_cold_overload (jd_target_t *target, int64_t now_us)
{
  target->counts.overloads++;
  target->failing_until_us = now_us + target->conditions.cold_fail_ms * JD_US_PER_MS;
  jd_target_begin_cold_start (target, target->failing_until_us);
  GList *jobs = g_hash_table_get_values (target->jobs);
  for (GList *item = jobs; item; item = item->next)
    g_rc_box_acquire (item->data);
  /* Fail waiting jobs first, so that none of them starts in a slot that a running job
   * frees. */
  fail_jobs (jobs, JD_TARGET_JOB_WAITING, now_us);
  fail_jobs (jobs, JD_TARGET_JOB_RUNNING, now_us);
  for (GList *item = jobs; item; item = item->next)
    job_unref (item->data);
  g_list_free (jobs);
}

static void
count_arrival (jd_target_t *target, int64_t now_us)
{
  target->counts.arrived++;
  if (target->conditions.draining)
    target->counts.arrived_draining++;
  if (jd_target_is_cold (target, now_us))
    target->counts.arrived_cold++;
}

/* Answers and ends a job that a fault or a limit refuses. Returns FALSE if the job is to
 * be admitted. */
static gboolean
refuse_arrival (jd_target_job_t *job, int64_t now_us)
{
  jd_target_t *target = job->target;
  const jd_target_conditions_t *conditions = &target->conditions;
  int64_t jobs_in_target = (int64_t)target->running + target->waiting.length;
  if (jd_target_is_cold (target, now_us) && now_us >= target->failing_until_us &&
      jobs_in_target >= conditions->cold_capacity)
    handle_cold_overload (target, now_us);
  if (conditions->close_after_read)
    job_close (job, now_us);
  else if (conditions->fail || now_us < target->failing_until_us)
    {
      target->counts.failed++;
      job_refuse (job, 500, "failed", now_us);
    }
  else if (conditions->shed ||
           (!has_free_slot (target) && target->waiting.length >= conditions->queue))
    {
      target->counts.shed++;
      job_refuse (job, 503, "shed", now_us);
    }
  else if (job->snapshot &&
           !jd_target_conditions_has_snapshot (conditions, job->snapshot))
    {
      target->counts.wrong_snapshot++;
      job_refuse (job, 409, "snapshot not held", now_us);
    }
  else
    return FALSE;
  return TRUE;
}

/* Timer callback at the arrival of a request at the target: refuses or queues the job. */
static void
on_arrive (void *data)
{
  jd_target_job_t *job = data;
  jd_target_t *target = job->target;
  g_mutex_lock (&target->lock);
  int64_t now_us = g_get_monotonic_time ();
  if (job->state == JD_TARGET_JOB_ARRIVING && now_us < target->frozen_until_us)
    job_schedule (job, target->frozen_until_us, on_arrive);
  else if (job->state == JD_TARGET_JOB_ARRIVING)
    {
      jd_target_record_report (target, now_us);
      count_arrival (target, now_us);
      if (!refuse_arrival (job, now_us))
        {
          job->state = JD_TARGET_JOB_WAITING;
          g_queue_push_tail (&target->waiting, job);
          start_waiting_jobs (target, now_us);
        }
    }
  job_unref (job);
  g_mutex_unlock (&target->lock);
}

void
jd_target_submit (jd_target_job_t *job, gboolean new_connection)
{
  jd_target_t *target = job->target;
  g_mutex_lock (&target->lock);
  int64_t now_us = g_get_monotonic_time ();
  job->state = JD_TARGET_JOB_ARRIVING;
  g_rc_box_acquire (job); /* Released by on_arrive. */
  g_hash_table_replace (target->jobs, job->request_id, job);
  if (job->deadline_us > 0)
    job_schedule (job, job->deadline_us, on_deadline);
  int64_t setup_delay_us = new_connection ? target->conditions.connection_setup_us : 0;
  target->counts.connection_setups += new_connection ? 1 : 0;
  int64_t due_us = MAX (now_us + setup_delay_us, target->frozen_until_us);
  if (due_us > now_us)
    jd_timer_queue_add (target->timers, due_us, on_arrive, job);
  g_mutex_unlock (&target->lock);
  if (due_us <= now_us)
    on_arrive (job);
}

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

jd_target_report_t
jd_target_current_report (const jd_target_t *target, int64_t now_us)
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

/* Stores at most one report per REPORT_INTERVAL_US and removes reports older than
 * REPORT_RETENTION_US. */
void
jd_target_record_report (jd_target_t *target, int64_t now_us)
{
  const jd_target_report_t *newest = g_queue_peek_tail (&target->reports);
  if (newest && now_us - newest->time_us < REPORT_INTERVAL_US)
    return;
  jd_target_report_t *report = g_new (jd_target_report_t, 1);
  *report = jd_target_current_report (target, now_us);
  g_queue_push_tail (&target->reports, report);
  while (now_us - ((jd_target_report_t *)target->reports.head->data)->time_us >
         REPORT_RETENTION_US)
    g_free (g_queue_pop_head (&target->reports));
}

/* Returns the newest report that is at least as old as the lag, or else the oldest
 * report. */
jd_target_report_t
jd_target_visible_report (jd_target_t *target, int64_t now_us)
{
  int64_t lag_us = target->conditions.report_lag_ms * JD_US_PER_MS;
  jd_target_record_report (target, now_us);
  if (lag_us <= 0)
    return jd_target_current_report (target, now_us);
  const GList *item = target->reports.tail;
  while (item->prev && ((jd_target_report_t *)item->data)->time_us > now_us - lag_us)
    item = item->prev;
  return *(jd_target_report_t *)item->data;
}
