#include "load_worker.h"

#include <math.h>

#include "base/clock.h"
#include "load_request.h"

/* A wait shorter than this is slept through without poll, whose unit is 1 ms. */
#define SHORT_WAIT_US 1000
#define SHORT_SLEEP_US 50

/* State of a running worker. */
typedef struct worker_run
{
  load_worker_t *worker;
  const load_plan_t *plan;
  CURLM *multi;
  GPtrArray *idle; /* load_request_t */
  uint32_t in_flight;
  jd_philox_t random;
  jd_rng_t rng;
  int64_t next_us; /* Scheduled time of the next request. */
  uint64_t number;
} worker_run_t;

/* Draws the time to the next request: exponential, so that arrivals form a Poisson
 * process. */
static int64_t
draw_gap_us (worker_run_t *run)
{
  double rate = run->plan->rate_per_s / run->plan->worker_count;
  return (int64_t)(-log (1.0 - jd_rng_unit (&run->rng)) / rate * (double)JD_US_PER_S);
}

/* Starts one request, or counts it as not sent. */
static void
start_request (worker_run_t *run)
{
  load_worker_t *worker = run->worker;
  if (run->in_flight >= run->plan->in_flight_max)
    {
      worker->not_sent++;
      return;
    }
  load_request_t *request = run->idle->len > 0
                                ? g_ptr_array_steal_index_fast (run->idle, 0)
                                : load_request_new ();
  load_request_draw (request, run->plan, &run->rng, worker->index, run->number++);
  request->scheduled_us = run->next_us;
  request->call_us = g_get_monotonic_time ();
  double lag_us = (double)(request->call_us - request->scheduled_us);
  g_array_append_val (worker->start_lags_us, lag_us);
  worker->tallies[request->organisation].sent++;
  curl_multi_add_handle (run->multi, request->easy);
  run->in_flight++;
}

/* Adds an answered request to the tally of its organisation. */
static void
count_request (worker_run_t *run, const load_request_t *request)
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

/* Takes in all finished transfers. */
static void
take_answers (worker_run_t *run)
{
  const CURLMsg *message;
  int left = 0;
  while ((message = curl_multi_info_read (run->multi, &left)))
    {
      load_request_t *request = NULL;
      CURLcode result = message->data.result;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &request);
      curl_multi_remove_handle (run->multi, request->easy);
      request->return_us = g_get_monotonic_time ();
      load_request_finish (request, result);
      count_request (run, request);
      if (run->worker->history)
        load_history_add (run->worker->history,
                          load_request_to_json (request, run->plan));
      g_ptr_array_add (run->idle, request);
      run->in_flight--;
    }
}

/* Starts all requests that are due. */
static void
start_due (worker_run_t *run, int64_t end_us)
{
  while (run->next_us <= g_get_monotonic_time () && run->next_us < end_us)
    {
      start_request (run);
      run->next_us += draw_gap_us (run);
    }
}

/* Waits for answers or for the time of the next request. */
static void
wait_for_work (worker_run_t *run, int64_t end_us)
{
  int64_t wait_us = 100 * JD_US_PER_MS;
  if (run->next_us < end_us)
    wait_us = run->next_us - g_get_monotonic_time ();
  if (wait_us >= SHORT_WAIT_US)
    curl_multi_poll (run->multi, NULL, 0, (int)(wait_us / JD_US_PER_MS), NULL);
  else if (wait_us > 0)
    g_usleep (MIN (SHORT_SLEEP_US, (gulong)wait_us));
}

/* Sends until the end of the plan and waits for the last answers, which curl's time
 * limit bounds. */
static void
run_plan (worker_run_t *run)
{
  int64_t end_us = run->plan->begin_us + run->plan->duration_us;
  run->next_us = run->plan->begin_us + draw_gap_us (run);
  while (run->next_us < end_us || run->in_flight > 0)
    {
      int running = 0;
      start_due (run, end_us);
      curl_multi_perform (run->multi, &running);
      take_answers (run);
      wait_for_work (run, end_us);
    }
}

/* Thread function. */
static gpointer
run_worker (gpointer data)
{
  load_worker_t *worker = data;
  worker_run_t run = { .worker = worker, .plan = worker->plan };
  run.random = (jd_philox_t){ .seed = worker->plan->seed, .stream = worker->index };
  run.rng = jd_philox_rng (&run.random);
  run.multi = curl_multi_init ();
  curl_multi_setopt (run.multi, CURLMOPT_MAXCONNECTS, (long)worker->plan->in_flight_max);
  run.idle = g_ptr_array_new ();
  run_plan (&run);
  for (guint i = 0; i < run.idle->len; i++)
    load_request_free (g_ptr_array_index (run.idle, i));
  g_ptr_array_free (run.idle, TRUE);
  curl_multi_cleanup (run.multi);
  return NULL;
}

/* Creates the tallies and starts the thread; plan, history and index are set. */
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

/* Waits for the end of the thread. */
void
load_worker_join (load_worker_t *worker)
{
  g_thread_join (worker->thread);
}

/* Frees the tallies. */
void
load_worker_clear (load_worker_t *worker)
{
  for (uint32_t i = 0; i < worker->plan->organisations->len; i++)
    g_array_free (worker->tallies[i].latencies_us, TRUE);
  g_free (worker->tallies);
  g_array_free (worker->start_lags_us, TRUE);
}
