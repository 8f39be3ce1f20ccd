#include "routing/query.h"

#include "base/clock.h"
#include "base/invariant.h"
#include "routing/query_dispatch.h"

/* A target whose attempt failed ranks below the other replicas for this long. */
#define FAILED_TARGET_AVOID_US (200 * JD_US_PER_MS)

/* Delay until a hedge that was not sent is considered again. */
#define HEDGE_RECHECK_US JD_US_PER_MS

/* Delay until a hedge that was refused as busy is sent again. */
#define HEDGE_BUSY_RETRY_US (3 * JD_US_PER_MS)

/* A broker refuses a first attempt as busy (JD_TARGET_BUSY) if it would wait for this
 * many other attempts or more to end. With 1, brokers refuse more attempts and the tail
 * latency at 85% load is longer, because slots stay idle while refused attempts are
 * redirected to another broker. */
#define FIRST_ATTEMPT_BUSY_WAIT_COUNT 2

/* A broker refuses a hedge as busy if it would wait for this many other attempts or more.
 * A hedge goes to the front of the queue, because its deadline is near. A longer queue
 * means that the shard is overloaded, and hedging all of its requests would double that
 * load. With 2, stragglers remain at 60% load; with 100, hedges overload the shard. */
#define HEDGE_BUSY_WAIT_COUNT 6

/* Hedges may demand at most this fraction of the budget of extra attempts, so that the
 * rest is available for the slowest attempts and for retries. */
#define HEDGE_DEMAND_FRACTION 0.8

/* A query sends hedges only while one shard or at most this fraction of its shards is
 * unresolved. Hedges help against single stragglers; when more shards are late, all
 * targets are busy and more requests make it worse. */
#define HEDGE_MAX_WAITING_FRACTION 0.25

/* Assumed latency of a service while too few latencies are recorded. */
#define DEFAULT_LATENCY_US (10 * JD_US_PER_MS)

/* An attempt that waits at its broker for longer than this fraction of the default
 * deadline of the service is a sign of overload. */
#define OVERLOAD_WAIT_FRACTION 0.25

/* A query restarts on another snapshot if the given-up shards have more than this
 * fraction of the total weight and one of them lacked the first snapshot. */
#define REPLAN_LOST_FRACTION 0.1

/* Creates a query on the current shard map of the service. Copies the strings and the
 * body of the request; env and service must outlive the query. Free it with
 * jd_query_free. */
jd_query_t *
jd_query_new (jd_query_env_t *env, jd_service_view_t *service, uint64_t id,
              const jd_request_t *request, int64_t now_us)
{
  jd_query_t *query = g_new0 (jd_query_t, 1);
  query->id = id;
  query->env = env;
  query->service = service;
  query->map = jd_shard_map_ref (service->map);
  query->kind = request->kind;
  g_strlcpy (query->organisation, request->organisation ? request->organisation : "",
             sizeof (query->organisation));
  query->text = g_strdup (request->text);
  query->body = request->body ? g_memdup2 (request->body, request->body_bytes) : NULL;
  query->body_bytes = request->body ? request->body_bytes : 0;
  query->limit = request->limit;
  query->user_data = request->user_data;
  query->started_us = now_us;
  query->deadline_us =
      request->deadline_us ? request->deadline_us : now_us + query->map->deadline_us;
  query->shards = g_new0 (jd_query_shard_t, query->map->shard_count);
  query->unresolved_shards = query->map->shard_count;
  query->last_failure = JD_NO_TARGET;
  query->next_hedge_us = INT64_MAX;
  jd_result_merge_init (&query->merge, query->map->shard_count, query->map->total_weight,
                        query->limit);
  return query;
}

/* Frees a query and its attempts without sending cancels. */
void
jd_query_free (jd_query_t *query)
{
  for (uint32_t s = 0; s < query->map->shard_count; s++)
    {
      for (uint32_t i = 0; i < JD_SHARD_MAX_ATTEMPTS; i++)
        {
          if (query->shards[s].attempts[i])
            jd_query_free_attempt (query->shards[s].attempts[i]);
        }
    }
  jd_result_merge_clear (&query->merge);
  jd_shard_map_unref (query->map);
  g_free (query->shards);
  g_free (query->text);
  g_free (query->body);
  g_free (query);
}

/* Finishes the query with the given code, unless it is already finished, and cancels the
 * attempts of a search or fetch. The entry core delivers the answer. */
static void
finish_query (jd_query_t *query, jd_result_code_t code, int64_t now_us)
{
  if (query->finished)
    return;
  query->finished = TRUE;
  query->code = code;
  if (query->kind != JD_WORK_EDIT)
    jd_query_cancel_all (query, now_us);
}

/* Returns the result code of a search from the shards covered so far; failure is the
 * code for a search that covers no shard. */
static jd_result_code_t
search_result_code (const jd_query_t *query, jd_result_code_t failure)
{
  if (query->merge.covered_count == query->merge.shard_count)
    return JD_OK;
  if (query->merge.covered_count > 0)
    return JD_PARTIAL;
  /* Codes with HTTP status 503 promise that nothing ran. */
  if (query->ran != JD_RAN_NO && jd_result_info (failure)->http_status == 503)
    return JD_TARGET_ERROR;
  return failure;
}

/* Finishes a search or fetch if all of its shards are resolved. */
static void
finish_if_resolved (jd_query_t *query, int64_t now_us)
{
  if (query->unresolved_shards == 0 && !query->finished)
    finish_query (query, search_result_code (query, query->last_failure), now_us);
}

/* Marks a shard as resolved without a result. The reason becomes the result code of the
 * query if no shard is covered. */
static void
give_up_shard (jd_query_t *query, uint32_t shard, jd_result_code_t reason)
{
  jd_query_shard_t *state = &query->shards[shard];
  if (state->resolved)
    return;
  state->resolved = TRUE;
  query->unresolved_shards--;
  query->given_up_weight += query->map->shards[shard].weight;
  query->last_failure = reason;
  query->shard_lacked_snapshot |= reason == JD_SNAPSHOT_UNAVAILABLE;
}

/* Returns the time from the start of an attempt to its hedge. If the target is slower
 * than its service, the latency of the service sets the delay. */
static int64_t
hedge_delay_us (jd_query_t *query, jd_entry_target_t *target)
{
  const jd_entry_settings_t *settings = &query->env->settings;
  if (settings->hedge_mode == JD_HEDGE_FIXED)
    return settings->hedge_fixed_delay_us;
  double quantile = MAX (query->map->hedge_quantile,
                         1.0 - HEDGE_DEMAND_FRACTION * query->map->hedge_budget);
  int64_t target_us = jd_latency_tracker_quantile_us (&target->latency, quantile);
  int64_t service_us =
      jd_latency_tracker_quantile_us (&query->service->latency, quantile);
  int64_t delay_us = service_us < 0 ? DEFAULT_LATENCY_US : service_us;
  if (target_us >= 0)
    delay_us = MIN (delay_us, target_us);
  return MAX (delay_us, settings->hedge_min_delay_us);
}

/* Schedules the hedge of an attempt that was just added. A shard with a second attempt,
 * an edit, and a query with hedging off get none. */
static void
schedule_hedge (jd_query_t *query, uint32_t shard, int64_t now_us)
{
  jd_query_shard_t *state = &query->shards[shard];
  state->hedge_at_us = INT64_MAX;
  if (query->kind == JD_WORK_EDIT || query->env->settings.hedge_mode == JD_HEDGE_NONE ||
      !state->attempts[0] || state->attempts[1])
    return;
  state->hedge_at_us = now_us + hedge_delay_us (query, state->attempts[0]->target);
  query->next_hedge_us = MIN (query->next_hedge_us, state->hedge_at_us);
}

/* Adds an attempt for a shard at a replica that is not in its tried_mask. Returns FALSE
 * if no such replica is usable. */
static gboolean
try_replica (jd_query_t *query, uint32_t shard, int64_t now_us)
{
  jd_query_shard_t *state = &query->shards[shard];
  int32_t replica =
      jd_planner_choose_replica (&query->env->planner, &query->map->shards[shard],
                                 query->merge.snapshot, state->tried_mask, now_us);
  if (replica < 0)
    return FALSE;
  jd_query_add_attempt (query, shard, (uint32_t)replica, now_us);
  schedule_hedge (query, shard, now_us);
  return TRUE;
}

/* Sends the attempts that were added. Attempts that the transport certainly did not send
 * go to other replicas at once and need no budget, because they put no load on any
 * target. */
static void
send_attempts (jd_query_t *query, int64_t now_us)
{
  g_autoptr (GPtrArray) unsent = g_ptr_array_new ();
  jd_query_send_attempts (query, unsent, now_us);
  while (unsent->len > 0)
    {
      g_autoptr (GPtrArray) unsent_again = g_ptr_array_new ();
      for (uint32_t i = 0; i < unsent->len; i++)
        {
          jd_query_attempt_t *attempt = g_ptr_array_index (unsent, i);
          uint32_t shard = attempt->shard;
          jd_query_free_attempt (attempt);
          const jd_query_shard_t *state = &query->shards[shard];
          if (!try_replica (query, shard, now_us) && !state->attempts[0] &&
              !state->attempts[1])
            give_up_shard (query, shard, JD_NO_TARGET);
        }
      jd_query_send_attempts (query, unsent_again, now_us);
      g_ptr_array_set_size (unsent, 0);
      g_ptr_array_extend (unsent, unsent_again, NULL, NULL);
    }
}

/* Sends the first attempt of every shard, which fill the budget of extra attempts. A
 * shard without a usable replica is given up. */
static void
plan_shards (jd_query_t *query, int64_t now_us)
{
  uint32_t planned_count = 0;
  /* With an even number of shards, round robin over all attempts would give each shard
   * the same replica in every query. */
  query->env->planner.round_robin_position += 1 - query->map->shard_count % 2;
  for (uint32_t s = 0; s < query->map->shard_count; s++)
    {
      if (try_replica (query, s, now_us))
        planned_count++;
      else
        give_up_shard (query, s, JD_NO_TARGET);
    }
  jd_hedge_budget_add_requests (&query->service->budget, planned_count,
                                query->map->hedge_budget);
  gboolean allow_refusal = query->env->settings.allow_busy_refusal;
  query->busy_wait_count = allow_refusal && query->map->shards[0].replica_count > 1
                               ? FIRST_ATTEMPT_BUSY_WAIT_COUNT
                               : 0;
  send_attempts (query, now_us);
  query->busy_wait_count = 0;
  finish_if_resolved (query, now_us);
}

/* Sends the attempt of an edit. The edit goes to another replica only while the
 * transport has certainly sent nothing, so that it runs at most once. */
static void
start_edit (jd_query_t *query, int64_t now_us)
{
  if (!try_replica (query, 0, now_us))
    {
      finish_query (query, JD_NO_TARGET, now_us);
      return;
    }
  send_attempts (query, now_us);
  if (!query->shards[0].attempts[0])
    finish_query (query, JD_NO_TARGET, now_us);
}

/* Starts the query. The query may be finished on return; the caller must then deliver
 * its answer. */
void
jd_query_start (jd_query_t *query, int64_t now_us)
{
  if (query->kind == JD_WORK_EDIT)
    {
      start_edit (query, now_us);
      return;
    }
  if (query->kind == JD_WORK_SEARCH)
    {
      jd_snapshot_choice_t choice =
          jd_planner_choose_snapshot (&query->env->planner, query->map, now_us);
      if (!choice.snapshot)
        {
          finish_query (query, JD_NO_TARGET, now_us);
          return;
        }
      query->merge.snapshot = choice.snapshot;
    }
  plan_shards (query, now_us);
}

/* Returns whether at least one of two attempts ran: YES goes before UNKNOWN, and UNKNOWN
 * before NO. */
static jd_ran_t
combine_ran (jd_ran_t a, jd_ran_t b)
{
  if (a == JD_RAN_YES || b == JD_RAN_YES)
    return JD_RAN_YES;
  return a == JD_RAN_UNKNOWN || b == JD_RAN_UNKNOWN ? JD_RAN_UNKNOWN : JD_RAN_NO;
}

/* Removes a snapshot from the last known state of a target; the next report of its
 * broker replaces that state. */
static void
remove_snapshot (jd_entry_target_t *target, uint64_t snapshot)
{
  jd_target_status_t *status = &target->status;
  uint32_t kept = 0;
  for (uint32_t i = 0; i < status->snapshot_count; i++)
    {
      if (status->snapshots[i] != snapshot)
        status->snapshots[kept++] = status->snapshots[i];
    }
  status->snapshot_count = kept;
}

/* Updates the target of a failed attempt so that later choices of replicas take the
 * failure into account. */
static void
apply_failure_to_target (jd_query_t *query, jd_query_attempt_t *attempt,
                         jd_result_code_t code, int64_t now_us)
{
  jd_entry_target_t *target = attempt->target;
  switch (code)
    {
    case JD_NOT_OWNER:
      if (target->owner == attempt->broker)
        target->owner = NULL;
      break;
    case JD_SNAPSHOT_UNAVAILABLE:
      remove_snapshot (target, query->merge.snapshot);
      break;
    case JD_TARGET_SHED:
    case JD_TARGET_ERROR:
    case JD_TARGET_UNREACHABLE:
    case JD_CROSSED_REPLY:
    case JD_DEADLINE_EXCEEDED:
      target->avoid_until_us = now_us + FAILED_TARGET_AVOID_US;
      break;
    default:
      break;
    }
}

/* Restarts the query on another snapshot, at most once per query, if the given-up shards
 * have too much weight and one of them lacked the first snapshot. The new snapshot must
 * cover more weight than the shards that are not given up, and the median latency must
 * fit before the deadline. Returns TRUE if the query was restarted. */
static gboolean
replan (jd_query_t *query, int64_t now_us)
{
  if (!query->shard_lacked_snapshot || query->replans > 0)
    return FALSE;
  double lost_fraction =
      (double)query->given_up_weight / (double)query->map->total_weight;
  int64_t median_us = jd_latency_tracker_median_us (&query->service->latency);
  if (lost_fraction <= REPLAN_LOST_FRACTION || now_us + median_us >= query->deadline_us)
    return FALSE;
  jd_snapshot_choice_t choice =
      jd_planner_choose_snapshot (&query->env->planner, query->map, now_us);
  if (!choice.snapshot || choice.snapshot == query->merge.snapshot ||
      choice.weight <= query->map->total_weight - query->given_up_weight)
    return FALSE;
  query->replans++;
  query->env->counts.replans++;
  jd_query_cancel_all (query, now_us);
  jd_result_merge_restart (&query->merge, choice.snapshot);
  for (uint32_t s = 0; s < query->map->shard_count; s++)
    query->shards[s] = (jd_query_shard_t){ 0 };
  query->unresolved_shards = query->map->shard_count;
  query->given_up_weight = 0;
  query->shard_lacked_snapshot = FALSE;
  query->next_hedge_us = INT64_MAX;
  plan_shards (query, now_us);
  return TRUE;
}

/* Sends one more attempt for a shard. Returns FALSE if the median latency exceeds the
 * time left, no untried replica is usable, or the budget of extra attempts is empty. */
static gboolean
retry_shard (jd_query_t *query, uint32_t shard, int64_t now_us)
{
  int64_t median_us = jd_latency_tracker_median_us (&query->service->latency);
  if (now_us + median_us >= query->deadline_us)
    return FALSE;
  if (jd_planner_choose_replica (&query->env->planner, &query->map->shards[shard],
                                 query->merge.snapshot, query->shards[shard].tried_mask,
                                 now_us) < 0)
    return FALSE;
  if (!jd_hedge_budget_take_token (&query->service->budget))
    return FALSE;
  query->extra_attempts++;
  query->env->counts.retries++;
  try_replica (query, shard, now_us);
  send_attempts (query, now_us);
  return TRUE;
}

/* Returns how many attempts must end before a new one starts at a target, by the load
 * that the target just reported. */
static uint32_t
reported_wait_count (const jd_entry_target_t *target)
{
  uint32_t limit = MAX (1, target->status.limit);
  return target->load >= limit ? target->load - limit + 1 : 1;
}

/* Redirects an attempt that was refused as busy to another replica, which refuses it
 * again only if the wait is longer there. After the second refusal, or if there is no
 * other replica, the attempt waits in the queue of the replica that it is sent to, so
 * that it is not redirected without end. A refused attempt did not run, so it needs no
 * budget. Returns FALSE if no replica is usable. */
static gboolean
redirect_refused_attempt (jd_query_t *query, uint32_t shard, uint32_t replica,
                          int64_t now_us)
{
  jd_query_shard_t *state = &query->shards[shard];
  const jd_entry_target_t *busy_target = query->map->shards[shard].replicas[replica];
  query->env->counts.busy_refusals++;
  state->busy_refusals++;
  state->tried_mask = UINT32_C (1) << replica;
  query->busy_wait_count =
      state->busy_refusals == 1 ? reported_wait_count (busy_target) + 1 : 0;
  gboolean found = try_replica (query, shard, now_us);
  if (!found)
    {
      state->tried_mask = 0;
      query->busy_wait_count = 0;
      found = try_replica (query, shard, now_us);
    }
  if (found)
    send_attempts (query, now_us);
  query->busy_wait_count = 0;
  /* The busy target did not run the attempt, so a hedge may still go there. */
  if (state->attempts[0] && state->attempts[0]->replica != replica)
    state->tried_mask &= ~(UINT32_C (1) << replica);
  return found;
}

/* Undoes a hedge that was refused as busy while the first attempt is still running:
 * returns its token to the budget and schedules the hedge again. */
static void
undo_refused_hedge (jd_query_t *query, uint32_t shard, uint32_t replica, int64_t now_us)
{
  jd_query_shard_t *state = &query->shards[shard];
  state->tried_mask &= ~(UINT32_C (1) << replica);
  state->hedge_at_us = now_us + HEDGE_BUSY_RETRY_US;
  query->next_hedge_us = MIN (query->next_hedge_us, state->hedge_at_us);
  query->extra_attempts--;
  query->env->counts.hedges--;
  jd_hedge_budget_return_token (&query->service->budget);
}

/* Handles the failure of an attempt of a search or fetch, which is already freed. An
 * attempt that was refused as busy is redirected, another failure is retried within the
 * budget, and a shard without an attempt left is given up. */
static void
handle_failure (jd_query_t *query, uint32_t shard, uint32_t replica,
                jd_result_code_t code, int64_t now_us)
{
  jd_query_shard_t *state = &query->shards[shard];
  gboolean other_attempt_in_flight = state->attempts[0] || state->attempts[1];
  if (other_attempt_in_flight && !state->resolved && code == JD_TARGET_BUSY)
    undo_refused_hedge (query, shard, replica, now_us);
  if (state->resolved || other_attempt_in_flight)
    return;
  if (code == JD_TARGET_BUSY && redirect_refused_attempt (query, shard, replica, now_us))
    return;
  if (!retry_shard (query, shard, now_us))
    give_up_shard (query, shard, code);
  if (!replan (query, now_us))
    finish_if_resolved (query, now_us);
}

/* Finishes an edit with the outcome of its only attempt. */
static void
finish_edit (jd_query_t *query, const jd_work_outcome_t *outcome, int64_t now_us)
{
  query->ran = outcome->ran;
  gboolean outcome_unknown = outcome->ran == JD_RAN_UNKNOWN;
  finish_query (query, outcome_unknown ? JD_OUTCOME_UNKNOWN : outcome->code, now_us);
}

/* Finishes a fetch and moves the hits out of the outcome. */
static void
finish_fetch (jd_query_t *query, jd_work_outcome_t *outcome, int64_t now_us)
{
  query->merge.snapshot = outcome->snapshot;
  if (outcome->code == JD_OK)
    jd_result_merge_add (&query->merge, 0, query->map->shards[0].weight, outcome);
  finish_query (query, outcome->code, now_us);
}

/* Merges the successful outcome of a search attempt, moves its hits into the answer and
 * cancels the other attempt of the shard. Returns FALSE, and counts the outcome, if it
 * is of another snapshot. */
static gboolean
merge_shard_outcome (jd_query_t *query, uint32_t shard, jd_work_outcome_t *outcome,
                     int64_t now_us)
{
  if (!query->env->settings.check_snapshot)
    outcome->snapshot = query->merge.snapshot;
  if (outcome->snapshot != query->merge.snapshot)
    {
      query->env->counts.foreign_snapshots++;
      return FALSE;
    }
  jd_query_shard_t *state = &query->shards[shard];
  if (state->resolved)
    return TRUE;
  jd_result_merge_add (&query->merge, shard, query->map->shards[shard].weight, outcome);
  state->resolved = TRUE;
  query->unresolved_shards--;
  jd_query_cancel_shard (query, shard, now_us);
  return TRUE;
}

/* Records the latency of a successful attempt for its target and its service. */
static void
record_latency (jd_query_t *query, jd_query_attempt_t *attempt, int64_t now_us)
{
  int64_t latency_us = now_us - attempt->sent_us;
  jd_latency_tracker_record (&attempt->target->latency, latency_us, now_us);
  jd_latency_tracker_record (&query->service->latency, latency_us, now_us);
}

/* Returns TRUE if an outcome is a sign that its target is overloaded: the target refused
 * the attempt for load, the attempt expired before it ran, or it waited too long in the
 * queue. */
static gboolean
is_overload_sign (const jd_query_t *query, const jd_work_outcome_t *outcome)
{
  int64_t overload_wait_us =
      (int64_t)(OVERLOAD_WAIT_FRACTION * (double)query->map->deadline_us);
  gboolean expired = outcome->code == JD_DEADLINE_EXCEEDED && outcome->ran == JD_RAN_NO;
  return outcome->code == JD_OVERLOADED || expired ||
         outcome->queue_us > overload_wait_us;
}

/* Handles the outcome of an attempt, frees the attempt and moves the hits out of the
 * outcome if they are used. */
void
jd_query_on_outcome (jd_query_t *query, jd_query_attempt_t *attempt,
                     jd_work_outcome_t *outcome, int64_t now_us)
{
  uint32_t shard = attempt->shard;
  uint32_t replica = attempt->replica;
  jd_result_code_t code = outcome->code;
  gboolean succeeded = code == JD_OK || (code == JD_ENTRY_NOT_FOUND && shard == 0);
  query->ran = combine_ran (query->ran, outcome->ran);
  query->overloaded_attempt_count += is_overload_sign (query, outcome) ? 1 : 0;
  if (outcome->target_limit)
    jd_entry_target_set_load (attempt->target, outcome->target_limit,
                              outcome->target_load, now_us);
  if (succeeded)
    record_latency (query, attempt, now_us);
  if (succeeded && query->kind == JD_WORK_SEARCH && query->env->settings.check_snapshot &&
      outcome->snapshot != query->merge.snapshot)
    code = JD_SNAPSHOT_UNAVAILABLE;
  apply_failure_to_target (query, attempt, code, now_us);
  jd_query_free_attempt (attempt);
  if (query->kind == JD_WORK_EDIT)
    finish_edit (query, outcome, now_us);
  else if (succeeded && query->kind == JD_WORK_FETCH)
    finish_fetch (query, outcome, now_us);
  else if (succeeded && merge_shard_outcome (query, shard, outcome, now_us))
    finish_if_resolved (query, now_us);
  else
    handle_failure (query, shard, replica, code, now_us);
}

/* Handles an attempt whose broker has disconnected as a failure that may have run. Frees
 * the attempt. */
void
jd_query_on_broker_lost (jd_query_t *query, jd_query_attempt_t *attempt, int64_t now_us)
{
  jd_work_outcome_t outcome = { .code = JD_TARGET_ERROR, .ran = JD_RAN_UNKNOWN };
  attempt->target->owner = NULL;
  jd_query_on_outcome (query, attempt, &outcome, now_us);
}

/* Cancels the attempts of a search or fetch and finishes it with the given code. For an
 * edit, only a cancel message goes out, because the edit may already have run: it stays
 * open until its outcome or its deadline. */
void
jd_query_cancel (jd_query_t *query, jd_result_code_t code, int64_t now_us)
{
  jd_query_attempt_t *attempt = query->shards[0].attempts[0];
  if (query->kind != JD_WORK_EDIT)
    {
      jd_query_cancel_all (query, now_us);
      finish_query (query, code, now_us);
    }
  else if (attempt)
    {
      const jd_entry_callbacks_t *callbacks = &query->env->callbacks;
      callbacks->send_cancel (callbacks->context, attempt->broker->name, &attempt->id, 1);
    }
}

/* Sends an edit again after its deadline. This breaks at_most_once; it exists so that
 * tests can show that their checks find the violation. */
static void
resend_edit (jd_query_t *query, int64_t now_us)
{
  jd_query_free_attempt (query->shards[0].attempts[0]);
  query->shards[0].tried_mask = 0;
  query->deadline_us = now_us + query->map->deadline_us;
  query->replans++;
  try_replica (query, 0, now_us);
  send_attempts (query, now_us);
}

/* Finishes the query at its deadline: a search or fetch with the shards covered so far,
 * an edit with an unknown outcome. */
static void
finish_at_deadline (jd_query_t *query, int64_t now_us)
{
  if (query->kind == JD_WORK_EDIT)
    {
      if (query->env->settings.retry_edits && query->replans == 0)
        {
          resend_edit (query, now_us);
          return;
        }
      query->ran = JD_RAN_UNKNOWN;
      finish_query (query, JD_OUTCOME_UNKNOWN, now_us);
      return;
    }
  jd_query_cancel_all (query, now_us);
  finish_query (query, search_result_code (query, JD_DEADLINE_EXCEEDED), now_us);
}

/* Adds a hedge for a shard if few shards are unresolved, an untried replica is usable
 * and the budget allows it; otherwise the hedge is considered again after
 * HEDGE_RECHECK_US. */
static void
hedge_shard (jd_query_t *query, uint32_t shard, int64_t now_us)
{
  jd_query_shard_t *state = &query->shards[shard];
  jd_query_env_t *env = query->env;
  gboolean fixed_delay = env->settings.hedge_mode == JD_HEDGE_FIXED;
  double max_waiting = HEDGE_MAX_WAITING_FRACTION * query->map->shard_count;
  state->hedge_at_us = now_us + HEDGE_RECHECK_US;
  if (!fixed_delay && query->unresolved_shards > MAX (1.0, max_waiting))
    return;
  if (jd_planner_choose_replica (&env->planner, &query->map->shards[shard],
                                 query->merge.snapshot, state->tried_mask, now_us) < 0)
    return;
  if (fixed_delay)
    query->service->budget.extra_attempts++;
  else if (!jd_hedge_budget_take_token (&query->service->budget))
    return;
  query->extra_attempts++;
  env->counts.hedges++;
  try_replica (query, shard, now_us);
}

/* Sends the hedges that are due and updates the time of the next one. */
static void
hedge_due_shards (jd_query_t *query, int64_t now_us)
{
  uint32_t extra_attempts_before = query->extra_attempts;
  query->next_hedge_us = INT64_MAX;
  for (uint32_t s = 0; s < query->map->shard_count; s++)
    {
      jd_query_shard_t *state = &query->shards[s];
      if (state->resolved || state->hedge_at_us == INT64_MAX)
        continue;
      if (now_us >= state->hedge_at_us)
        hedge_shard (query, s, now_us);
      query->next_hedge_us = MIN (query->next_hedge_us, state->hedge_at_us);
    }
  if (query->extra_attempts == extra_attempts_before)
    return;
  query->busy_wait_count =
      query->env->settings.allow_busy_refusal ? HEDGE_BUSY_WAIT_COUNT : 0;
  send_attempts (query, now_us);
  query->busy_wait_count = 0;
}

/* Sends due hedges and finishes the query at its deadline. Call it at jd_query_wake_us
 * at the latest. */
void
jd_query_tick (jd_query_t *query, int64_t now_us)
{
  if (query->finished)
    return;
  if (now_us >= query->deadline_us)
    finish_at_deadline (query, now_us);
  else if (now_us >= query->next_hedge_us)
    hedge_due_shards (query, now_us);
  if (!query->finished && query->kind != JD_WORK_EDIT)
    finish_if_resolved (query, now_us);
}

/* Returns the earlier time of the deadline and the next hedge, at which jd_query_tick
 * must be called. */
int64_t
jd_query_wake_us (const jd_query_t *query)
{
  return MIN (query->deadline_us, query->next_hedge_us);
}

/* Returns the number of attempts that were signs of overload, divided by the number of
 * shards. Extra attempts may raise it above 1. */
double
jd_query_overload_fraction (const jd_query_t *query)
{
  return (double)query->overloaded_attempt_count / (double)query->map->shard_count;
}

/* Fills in the answer of a finished query. The query keeps ownership of the hits. */
void
jd_query_fill_answer (jd_query_t *query, jd_answer_t *answer)
{
  gboolean covered = query->merge.covered_count > 0;
  *answer = (jd_answer_t){
    .query_id = query->id,
    .user_data = query->user_data,
    .code = query->code,
    .ran = covered ? JD_RAN_YES : query->ran,
    .coverage = jd_result_merge_coverage (&query->merge),
    .snapshot = query->merge.snapshot,
    .map_version = query->map->map_version,
    .hit_count = query->merge.hit_count,
    .hits = query->merge.hits,
    .extra_attempts = query->extra_attempts,
  };
  JD_INVARIANT (whole_answer, query->code != JD_OK || query->kind == JD_WORK_EDIT ||
                                  query->merge.covered_count == query->merge.shard_count);
}
