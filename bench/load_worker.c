#include "load_worker.h"

#include <math.h>

#include "base/clock.h"
#include "load_request.h"

/* Shorter waits are sleeps, because curl_multi_poll has a resolution of 1 ms. */
#define MIN_POLL_WAIT_US 1000
#define MAX_SLEEP_US 50 /* Answers that arrive in a sleep are handled after it. */

/* State of a running worker. */
typedef struct worker_run
{
  load_worker_t *worker;
  const load_plan_t *plan;
  CURLM *multi;
  GPtrArray *idle_requests; /* load_request_t, to reuse. */
  uint32_t in_flight;
  jd_philox_t random;
  jd_rng_t rng;
  int64_t next_us;      /* Scheduled time of the next request. */
  uint64_t next_number; /* Of the next request. */
} worker_run_t;

/* Returns the random time to the next request: exponential, so that arrivals form a
 * Poisson process. */
static int64_t
draw_gap_us (worker_run_t *run)
{
  double rate = run->plan->rate_per_s / run->plan->worker_count;
  return (int64_t)(-log (1.0 - jd_rng_unit (&run->rng)) / rate * (double)JD_US_PER_S);
}

/* Starts the next request, or counts it as not sent if the in-flight limit is reached. */
static void
start_request (worker_run_t *run)
{
  load_worker_t *worker = run->worker;
  if (run->in_flight >= run->plan->in_flight_max)
    {
      worker->not_sent++;
      return;
    }
  load_request_t *request = run->idle_requests->len > 0
                                ? g_ptr_array_steal_index_fast (run->idle_requests, 0)
                                : load_request_new ();
  load_request_draw (request, run->plan, &run->rng, worker->index, run->next_number++);
  request->scheduled_us = run->next_us;
  request->call_us = g_get_monotonic_time ();
  double lag_us = (double)(request->call_us - request->scheduled_us);
  g_array_append_val (worker->start_lags_us, lag_us);
  worker->tallies[request->organisation].sent++;
  curl_multi_add_handle (run->multi, request->easy);
  run->in_flight++;
}

/* Adds an ended request to the tally of its organisation. */
static void
record_result (worker_run_t *run, const load_request_t *request)
{
  load_tally_t *tally = &run->worker->tallies[request->organisation];
  tally->outcomes[request->outcome]++;
  gboolean answered = request->outcome == LOAD_OK || request->outcome == LOAD_PARTIAL;
  if (request->kind == JD_WORK_EDIT && request->outcome == LOAD_FAILED)
    tally->unknown_edits++;
  if (!answered)
    return;
  double latency_us = (double)(request->return_us - request->scheduled_us);
  g_array_append_val (tally->latencies_us, latency_us);
  if (request->kind != JD_WORK_SEARCH)
    return;
  tally->coverage_sum += request->coverage;
  tally->coverage_count++;
}

/* Records the results of all finished transfers and moves their requests to
 * idle_requests. */
static void
process_answers (worker_run_t *run)
{
  const CURLMsg *message;
  int messages_left = 0;
  while ((message = curl_multi_info_read (run->multi, &messages_left)))
    {
      load_request_t *request = NULL;
      CURLcode result = message->data.result;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &request);
      curl_multi_remove_handle (run->multi, request->easy);
      request->return_us = g_get_monotonic_time ();
      load_request_finish (request, result);
      record_result (run, request);
      if (run->worker->history)
        load_history_add (run->worker->history,
                          load_request_to_json (request, run->plan));
      g_ptr_array_add (run->idle_requests, request);
      run->in_flight--;
    }
}

/* Starts all requests whose scheduled time has come. */
static void
start_due_requests (worker_run_t *run, int64_t end_us)
{
  while (run->next_us <= g_get_monotonic_time () && run->next_us < end_us)
    {
      start_request (run);
      run->next_us += draw_gap_us (run);
    }
}

/* Waits for network activity or for the scheduled time of the next request, 100 ms at
 * most if no request is left to send. */
static void
wait_for_work (worker_run_t *run, int64_t end_us)
{
  int64_t wait_us = 100 * JD_US_PER_MS;
  if (run->next_us < end_us)
    wait_us = run->next_us - g_get_monotonic_time ();
  if (wait_us >= MIN_POLL_WAIT_US)
    curl_multi_poll (run->multi, NULL, 0, (int)(wait_us / JD_US_PER_MS), NULL);
  else if (wait_us > 0)
    g_usleep (MIN (MAX_SLEEP_US, (gulong)wait_us));
}

/* Sends requests until the end of the plan, then waits for the outstanding answers; the
 * curl timeout of each request bounds that wait. */
static void
run_plan (worker_run_t *run)
{
  int64_t end_us = run->plan->begin_us + run->plan->duration_us;
  run->next_us = run->plan->begin_us + draw_gap_us (run);
  while (run->next_us < end_us || run->in_flight > 0)
    {
      int running = 0;
      start_due_requests (run, end_us);
      curl_multi_perform (run->multi, &running);
      process_answers (run);
      wait_for_work (run, end_us);
    }
}

/* Thread function; data is the worker. */
static gpointer
run_worker (gpointer data)
{
  load_worker_t *worker = data;
  worker_run_t run = { .worker = worker, .plan = worker->plan };
  run.random = (jd_philox_t){ .seed = worker->plan->seed, .stream = worker->index };
  run.rng = jd_philox_rng (&run.random);
  run.multi = curl_multi_init ();
  curl_multi_setopt (run.multi, CURLMOPT_MAXCONNECTS, (long)worker->plan->in_flight_max);
  run.idle_requests = g_ptr_array_new ();
  run_plan (&run);
  for (guint i = 0; i < run.idle_requests->len; i++)
    load_request_free (g_ptr_array_index (run.idle_requests, i));
  g_ptr_array_free (run.idle_requests, TRUE);
  curl_multi_cleanup (run.multi);
  return NULL;
}

/* Creates the tallies and starts the thread. The caller sets plan, history and index
 * first. */
void
load_worker_start (load_worker_t *worker)
{
  uint32_t count = worker->plan->organisations->len;
  worker->tallies = g_new0 (load_tally_t, count);
  for (uint32_t i = 0; i < count; i++)
    worker->tallies[i].latencies_us = g_array_new (FALSE, FALSE, sizeof (double));
  worker->start_lags_us = g_array_new (FALSE, FALSE, sizeof (double));
  worker->thread = g_thread_new ("load", run_worker, worker);
}

void
load_worker_join (load_worker_t *worker)
{
  g_thread_join (worker->thread);
}

/* Frees the results of a worker whose thread has ended. */
void
load_worker_clear (load_worker_t *worker)
{
  for (uint32_t i = 0; i < worker->plan->organisations->len; i++)
    g_array_free (worker->tallies[i].latencies_us, TRUE);
  g_free (worker->tallies);
  g_array_free (worker->start_lags_us, TRUE);
}
