#include "routing/query.h"

#include "base/clock.h"
#include "base/invariant.h"
#include "routing/query_dispatch.h"

/* A target that failed is used after the other replicas for this long. */
#define AVOID_US (200 * JD_US_PER_MS)

/* A hedged request that was denied is considered again after this time. */
#define HEDGE_RECHECK_US JD_US_PER_MS

/* A hedged request that a busy target sent back is sent again after this time. */
#define HEDGE_BUSY_US (3 * JD_US_PER_MS)

/* A first attempt is sent back where it would wait for the end of this many others. 1
 * sends back more, and gave longer tails at 85% load: work on its way leaves slots idle.
 */
#define FIRST_MAX_WAIT 2

/* A hedged request goes to the front of the queue, as its deadline is near. Where more
 * attempts than this wait, the shard has too much work, and hedging all of its requests
 * would double that. 2 leaves stragglers in place at 60% load, 100 overloads the shard.
 */
#define HEDGE_MAX_WAIT 6

/* The demand for hedged requests is kept below the budget, so that the budget is there
 * for the slowest attempts and for retries. */
#define HEDGE_DEMAND 0.8

/* Hedged requests help against single stragglers; when a larger part of the shards is
 * late, all targets are busy and more requests make it worse. */
#define HEDGE_WAITING_FRACTION 0.25

/* Assumed latency while none is known. */
#define UNKNOWN_LATENCY_US (10 * JD_US_PER_MS)

/* Work that waits at a broker for this fraction of the service's time shows overload. */
#define OVERLOAD_WAIT 0.25

/* A query is planned anew on another snapshot when more than this fraction of the
 * weight was lost for lack of the first one. */
#define REPLAN_FRACTION 0.1

/* Makes a query; the caller's texts are copied. */
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
  query->user = request->user;
  query->started_us = now_us;
  query->deadline_us =
      request->deadline_us ? request->deadline_us : now_us + query->map->deadline_us;
  query->shards = g_new0 (jd_query_shard_t, query->map->shard_count);
  query->waiting = query->map->shard_count;
  query->failure = JD_NO_TARGET;
  query->next_hedge_us = INT64_MAX;
  jd_result_merge_init (&query->merge, query->map->shard_count, query->map->total_weight,
                        query->limit);
  return query;
}

/* Frees a query; its attempts are forgotten without a message. */
void
jd_query_free (jd_query_t *query)
{
  for (uint32_t s = 0; s < query->map->shard_count; s++)
    {
      for (uint32_t i = 0; i < JD_SHARD_ATTEMPTS; i++)
        {
          if (query->shards[s].attempts[i])
            jd_query_drop_attempt (query->shards[s].attempts[i]);
        }
    }
  jd_result_merge_clear (&query->merge);
  jd_shard_map_unref (query->map);
  g_free (query->shards);
  g_free (query->text);
  g_free (query->body);
  g_free (query);
}

/* Ends the query. */
static void
finish (jd_query_t *query, jd_result_code_t code, int64_t now_us)
{
  if (query->finished)
    return;
  query->finished = TRUE;
  query->code = code;
  if (query->kind != JD_WORK_EDIT)
    jd_query_cancel_all (query, now_us);
}

/* Returns the result of a search from what was collected. */
static jd_result_code_t
search_code (const jd_query_t *query, jd_result_code_t failure)
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

/* Ends a search or fetch when no shard is waiting. */
static void
finish_if_resolved (jd_query_t *query, int64_t now_us)
{
  if (query->waiting == 0 && !query->finished)
    finish (query, search_code (query, query->failure), now_us);
}

/* Gives up a shard; the reason counts when nothing else is collected. */
static void
give_up_shard (jd_query_t *query, uint32_t shard, jd_result_code_t reason)
{
  jd_query_shard_t *state = &query->shards[shard];
  if (state->resolved)
    return;
  state->resolved = TRUE;
  query->waiting--;
  query->given_up_weight += query->map->shards[shard].weight;
  query->failure = reason;
  query->snapshot_missed |= reason == JD_SNAPSHOT_UNAVAILABLE;
}

/* Returns how long after its start an attempt gets a hedged request. A target that is
 * slower than its service is judged by the service. */
static int64_t
hedge_delay_us (jd_query_t *query, jd_entry_target_t *target)
{
  const jd_entry_settings_t *settings = &query->env->settings;
  if (settings->hedge_mode == JD_HEDGE_FIXED)
    return settings->hedge_fixed_us;
  double quantile =
      MAX (query->map->hedge_quantile, 1.0 - HEDGE_DEMAND * query->map->hedge_budget);
  int64_t own_us = jd_latency_tracker_quantile_us (&target->latency, quantile);
  int64_t service_us =
      jd_latency_tracker_quantile_us (&query->service->latency, quantile);
  int64_t delay_us = service_us < 0 ? UNKNOWN_LATENCY_US : service_us;
  if (own_us >= 0)
    delay_us = MIN (delay_us, own_us);
  return MAX (delay_us, settings->hedge_min_us);
}

/* Sets the time of the hedged request of an attempt that was just made. */
static void
set_hedge_time (jd_query_t *query, uint32_t shard, int64_t now_us)
{
  jd_query_shard_t *state = &query->shards[shard];
  state->hedge_at_us = INT64_MAX;
  if (query->kind == JD_WORK_EDIT || query->env->settings.hedge_mode == JD_HEDGE_NONE ||
      !state->attempts[0] || state->attempts[1])
    return;
  state->hedge_at_us = now_us + hedge_delay_us (query, state->attempts[0]->target);
  query->next_hedge_us = MIN (query->next_hedge_us, state->hedge_at_us);
}

/* Makes an attempt of a shard at a replica not tried before. Returns FALSE when there is
 * none. */
static gboolean
try_replica (jd_query_t *query, uint32_t shard, int64_t now_us)
{
  jd_query_shard_t *state = &query->shards[shard];
  int32_t replica =
      jd_planner_choose_replica (&query->env->planner, &query->map->shards[shard],
                                 query->merge.snapshot, state->tried, now_us);
  if (replica < 0)
    return FALSE;
  jd_query_add_attempt (query, shard, (uint32_t)replica, now_us);
  set_hedge_time (query, shard, now_us);
  return TRUE;
}

/* Sends the collected attempts. Those that were certainly not sent go to other replicas
 * at once: they put no load on any target. */
static void
dispatch (jd_query_t *query, int64_t now_us)
{
  g_autoptr (GPtrArray) unsent = g_ptr_array_new ();
  jd_query_dispatch (query, unsent, now_us);
  while (unsent->len > 0)
    {
      g_autoptr (GPtrArray) again = g_ptr_array_new ();
      for (uint32_t i = 0; i < unsent->len; i++)
        {
          jd_query_attempt_t *attempt = g_ptr_array_index (unsent, i);
          uint32_t shard = attempt->shard;
          jd_query_drop_attempt (attempt);
          const jd_query_shard_t *state = &query->shards[shard];
          if (!try_replica (query, shard, now_us) && !state->attempts[0] &&
              !state->attempts[1])
            give_up_shard (query, shard, JD_NO_TARGET);
        }
      jd_query_dispatch (query, again, now_us);
      g_ptr_array_set_size (unsent, 0);
      g_ptr_array_extend (unsent, again, NULL, NULL);
    }
}

/* Makes the first attempt of every shard. */
static void
plan_shards (jd_query_t *query, int64_t now_us)
{
  uint32_t planned = 0;
  /* With an even number of shards, a rotation over all attempts would give each shard the
   * same replica in every query. */
  query->env->planner.rotation += 1 - query->map->shard_count % 2;
  for (uint32_t s = 0; s < query->map->shard_count; s++)
    {
      if (try_replica (query, s, now_us))
        planned++;
      else
        give_up_shard (query, s, JD_NO_TARGET);
    }
  jd_hedge_budget_add (&query->service->budget, planned, query->map->hedge_budget);
  gboolean bounce = query->env->settings.bounce;
  query->bounce_at =
      bounce && query->map->shards[0].replica_count > 1 ? FIRST_MAX_WAIT : 0;
  dispatch (query, now_us);
  query->bounce_at = 0;
  finish_if_resolved (query, now_us);
}

/* Makes the attempt of an edit. Another replica is tried only while nothing was handed
 * to the transport. */
static void
start_edit (jd_query_t *query, int64_t now_us)
{
  if (!try_replica (query, 0, now_us))
    {
      finish (query, JD_NO_TARGET, now_us);
      return;
    }
  dispatch (query, now_us);
  if (!query->shards[0].attempts[0])
    finish (query, JD_NO_TARGET, now_us);
}

/* Starts the query; it may be finished at once. */
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
          finish (query, JD_NO_TARGET, now_us);
          return;
        }
      query->merge.snapshot = choice.snapshot;
    }
  plan_shards (query, now_us);
}

/* Combines what is known about the execution of two attempts. */
static jd_ran_t
worse_ran (jd_ran_t a, jd_ran_t b)
{
  if (a == JD_RAN_YES || b == JD_RAN_YES)
    return JD_RAN_YES;
  return a == JD_RAN_UNKNOWN || b == JD_RAN_UNKNOWN ? JD_RAN_UNKNOWN : JD_RAN_NO;
}

/* Forgets that a target holds a snapshot, until its next report. */
static void
forget_snapshot (jd_entry_target_t *target, uint64_t snapshot)
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

/* Learns from a failed attempt for later choices. */
static void
learn_failure (jd_query_t *query, jd_query_attempt_t *attempt, jd_result_code_t code,
               int64_t now_us)
{
  jd_entry_target_t *target = attempt->target;
  switch (code)
    {
    case JD_NOT_OWNER:
      if (target->owner == attempt->broker)
        target->owner = NULL;
      break;
    case JD_SNAPSHOT_UNAVAILABLE:
      forget_snapshot (target, query->merge.snapshot);
      break;
    case JD_TARGET_SHED:
    case JD_TARGET_ERROR:
    case JD_TARGET_UNREACHABLE:
    case JD_CROSSED_REPLY:
    case JD_DEADLINE_EXCEEDED:
      target->avoid_until_us = now_us + AVOID_US;
      break;
    default:
      break;
    }
}

/* Starts over on another snapshot when too much of the first one is missing, at most
 * once per query. Returns whether it did. */
static gboolean
replan (jd_query_t *query, int64_t now_us)
{
  if (!query->snapshot_missed || query->replans > 0)
    return FALSE;
  double lost = (double)query->given_up_weight / (double)query->map->total_weight;
  int64_t median_us = jd_latency_tracker_median_us (&query->service->latency);
  if (lost <= REPLAN_FRACTION || now_us + median_us >= query->deadline_us)
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
  query->waiting = query->map->shard_count;
  query->given_up_weight = 0;
  query->snapshot_missed = FALSE;
  query->next_hedge_us = INT64_MAX;
  plan_shards (query, now_us);
  return TRUE;
}

/* Sends one more attempt of a shard within the budget. */
static gboolean
retry_shard (jd_query_t *query, uint32_t shard, int64_t now_us)
{
  int64_t median_us = jd_latency_tracker_median_us (&query->service->latency);
  if (now_us + median_us >= query->deadline_us)
    return FALSE;
  if (jd_planner_choose_replica (&query->env->planner, &query->map->shards[shard],
                                 query->merge.snapshot, query->shards[shard].tried,
                                 now_us) < 0)
    return FALSE;
  if (!jd_hedge_budget_take (&query->service->budget))
    return FALSE;
  query->extra_requests++;
  query->env->counts.retries++;
  try_replica (query, shard, now_us);
  dispatch (query, now_us);
  return TRUE;
}

/* Returns how many attempts must end before new work starts at a target, as just
 * reported. */
static uint32_t
reported_wait (const jd_entry_target_t *target)
{
  uint32_t limit = MAX (1, target->status.limit);
  return target->load >= limit ? target->load - limit + 1 : 1;
}

/* Sends work on that a busy target sent back: first to another replica, which takes it
 * unless the wait is longer there, then back to wait at the better one. Nothing ran, so
 * this is no extra request. Returns FALSE when no replica is usable. */
static gboolean
send_on (jd_query_t *query, uint32_t shard, uint32_t replica, int64_t now_us)
{
  jd_query_shard_t *state = &query->shards[shard];
  const jd_entry_target_t *busy = query->map->shards[shard].replicas[replica];
  query->env->counts.bounces++;
  state->bounces++;
  state->tried = UINT32_C (1) << replica;
  query->bounce_at = state->bounces == 1 ? reported_wait (busy) + 1 : 0;
  gboolean found = try_replica (query, shard, now_us);
  if (!found)
    {
      state->tried = 0;
      query->bounce_at = 0;
      found = try_replica (query, shard, now_us);
    }
  if (found)
    dispatch (query, now_us);
  query->bounce_at = 0;
  /* The busy target has not run it, so a hedged request may still go there. */
  if (state->attempts[0] && state->attempts[0]->replica != replica)
    state->tried &= ~(UINT32_C (1) << replica);
  return found;
}

/* Takes back a hedged request that a busy target sent back while the first attempt is
 * still running. It may be sent again later. */
static void
withdraw_hedge (jd_query_t *query, uint32_t shard, uint32_t replica, int64_t now_us)
{
  jd_query_shard_t *state = &query->shards[shard];
  state->tried &= ~(UINT32_C (1) << replica);
  state->hedge_at_us = now_us + HEDGE_BUSY_US;
  query->next_hedge_us = MIN (query->next_hedge_us, state->hedge_at_us);
  query->extra_requests--;
  query->env->counts.hedges--;
  jd_hedge_budget_return (&query->service->budget);
}

/* Handles the failure of an attempt of a search or fetch, which is already dropped. */
static void
on_failure (jd_query_t *query, uint32_t shard, uint32_t replica, jd_result_code_t code,
            int64_t now_us)
{
  jd_query_shard_t *state = &query->shards[shard];
  gboolean other_runs = state->attempts[0] || state->attempts[1];
  if (other_runs && !state->resolved && code == JD_TARGET_BUSY)
    withdraw_hedge (query, shard, replica, now_us);
  if (state->resolved || other_runs)
    return;
  if (code == JD_TARGET_BUSY && send_on (query, shard, replica, now_us))
    return;
  if (!retry_shard (query, shard, now_us))
    give_up_shard (query, shard, code);
  if (!replan (query, now_us))
    finish_if_resolved (query, now_us);
}

/* Takes the only outcome of an edit. */
static void
end_edit (jd_query_t *query, const jd_work_outcome_t *outcome, int64_t now_us)
{
  query->ran = outcome->ran;
  gboolean unclear = outcome->ran == JD_RAN_UNKNOWN;
  finish (query, unclear ? JD_OUTCOME_UNKNOWN : outcome->code, now_us);
}

/* Takes the hits of a fetch. */
static void
end_fetch (jd_query_t *query, jd_work_outcome_t *outcome, int64_t now_us)
{
  query->merge.snapshot = outcome->snapshot;
  if (outcome->code == JD_OK)
    jd_result_merge_add (&query->merge, 0, query->map->shards[0].weight, outcome);
  finish (query, outcome->code, now_us);
}

/* Takes a good outcome of a search. Returns FALSE when it is of another snapshot. */
static gboolean
take_shard (jd_query_t *query, uint32_t shard, jd_work_outcome_t *outcome, int64_t now_us)
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
  query->waiting--;
  jd_query_cancel_shard (query, shard, now_us);
  return TRUE;
}

/* Records the latency of an attempt that a target has worked on. */
static void
record_latency (jd_query_t *query, jd_query_attempt_t *attempt, int64_t now_us)
{
  int64_t latency_us = now_us - attempt->sent_us;
  jd_latency_tracker_record (&attempt->target->latency, latency_us, now_us);
  jd_latency_tracker_record (&query->service->latency, latency_us, now_us);
}

/* Returns whether an outcome shows that its target has too much work. */
static gboolean
shows_overload (const jd_query_t *query, const jd_work_outcome_t *outcome)
{
  int64_t bound_us = (int64_t)(OVERLOAD_WAIT * (double)query->map->deadline_us);
  gboolean expired = outcome->code == JD_DEADLINE_EXCEEDED && outcome->ran == JD_RAN_NO;
  return outcome->code == JD_OVERLOADED || expired || outcome->queue_us > bound_us;
}

/* Takes the outcome of an attempt. */
void
jd_query_on_outcome (jd_query_t *query, jd_query_attempt_t *attempt,
                     jd_work_outcome_t *outcome, int64_t now_us)
{
  uint32_t shard = attempt->shard;
  uint32_t replica = attempt->replica;
  jd_result_code_t code = outcome->code;
  gboolean good = code == JD_OK || (code == JD_ENTRY_NOT_FOUND && shard == 0);
  query->ran = worse_ran (query->ran, outcome->ran);
  query->overload_signs += shows_overload (query, outcome) ? 1 : 0;
  if (outcome->target_limit)
    jd_entry_target_set_load (attempt->target, outcome->target_limit,
                              outcome->target_load, now_us);
  if (good)
    record_latency (query, attempt, now_us);
  if (good && query->kind == JD_WORK_SEARCH && query->env->settings.check_snapshot &&
      outcome->snapshot != query->merge.snapshot)
    code = JD_SNAPSHOT_UNAVAILABLE;
  learn_failure (query, attempt, code, now_us);
  jd_query_drop_attempt (attempt);
  if (query->kind == JD_WORK_EDIT)
    end_edit (query, outcome, now_us);
  else if (good && query->kind == JD_WORK_FETCH)
    end_fetch (query, outcome, now_us);
  else if (good && take_shard (query, shard, outcome, now_us))
    finish_if_resolved (query, now_us);
  else
    on_failure (query, shard, replica, code, now_us);
}

/* Handles an attempt whose broker is gone; whether it ran is not known. */
void
jd_query_on_lost (jd_query_t *query, jd_query_attempt_t *attempt, int64_t now_us)
{
  jd_work_outcome_t outcome = { .code = JD_TARGET_ERROR, .ran = JD_RAN_UNKNOWN };
  attempt->target->owner = NULL;
  jd_query_on_outcome (query, attempt, &outcome, now_us);
}

/* Stops the query for the given reason. */
void
jd_query_cancel (jd_query_t *query, jd_result_code_t code, int64_t now_us)
{
  jd_query_attempt_t *attempt = query->shards[0].attempts[0];
  if (query->kind != JD_WORK_EDIT)
    {
      jd_query_cancel_all (query, now_us);
      finish (query, code, now_us);
    }
  else if (attempt)
    {
      const jd_entry_callbacks_t *callbacks = &query->env->callbacks;
      callbacks->send_cancel (callbacks->context, attempt->broker->name, &attempt->id, 1);
    }
}

/* Sends an edit again after a timeout. It breaks at_most_once and exists so that the
 * tests can show that their checks find it. */
static void
repeat_edit (jd_query_t *query, int64_t now_us)
{
  jd_query_drop_attempt (query->shards[0].attempts[0]);
  query->shards[0].tried = 0;
  query->deadline_us = now_us + query->map->deadline_us;
  query->replans++;
  try_replica (query, 0, now_us);
  dispatch (query, now_us);
}

/* Ends the query at its deadline with what it has. */
static void
end_at_deadline (jd_query_t *query, int64_t now_us)
{
  if (query->kind == JD_WORK_EDIT)
    {
      if (query->env->settings.retry_edits && query->replans == 0)
        {
          repeat_edit (query, now_us);
          return;
        }
      query->ran = JD_RAN_UNKNOWN;
      finish (query, JD_OUTCOME_UNKNOWN, now_us);
      return;
    }
  jd_query_cancel_all (query, now_us);
  finish (query, search_code (query, JD_DEADLINE_EXCEEDED), now_us);
}

/* Sends a hedged request for a shard if it is useful and within the budget; else sets
 * when to look again. */
static void
hedge_shard (jd_query_t *query, uint32_t shard, int64_t now_us)
{
  jd_query_shard_t *state = &query->shards[shard];
  jd_query_env_t *env = query->env;
  gboolean fixed = env->settings.hedge_mode == JD_HEDGE_FIXED;
  double bound = HEDGE_WAITING_FRACTION * query->map->shard_count;
  state->hedge_at_us = now_us + HEDGE_RECHECK_US;
  if (!fixed && query->waiting > MAX (1.0, bound))
    return;
  if (jd_planner_choose_replica (&env->planner, &query->map->shards[shard],
                                 query->merge.snapshot, state->tried, now_us) < 0)
    return;
  if (fixed)
    query->service->budget.extra_requests++;
  else if (!jd_hedge_budget_take (&query->service->budget))
    return;
  query->extra_requests++;
  env->counts.hedges++;
  try_replica (query, shard, now_us);
}

/* Looks at every shard whose hedged request is due. */
static void
hedge_due (jd_query_t *query, int64_t now_us)
{
  uint32_t before = query->extra_requests;
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
  if (query->extra_requests == before)
    return;
  query->bounce_at = query->env->settings.bounce ? HEDGE_MAX_WAIT : 0;
  dispatch (query, now_us);
  query->bounce_at = 0;
}

/* Acts on the time. */
void
jd_query_tick (jd_query_t *query, int64_t now_us)
{
  if (query->finished)
    return;
  if (now_us >= query->deadline_us)
    end_at_deadline (query, now_us);
  else if (now_us >= query->next_hedge_us)
    hedge_due (query, now_us);
  if (!query->finished && query->kind != JD_WORK_EDIT)
    finish_if_resolved (query, now_us);
}

/* Returns when jd_query_tick must be called. */
int64_t
jd_query_wake_us (const jd_query_t *query)
{
  return MIN (query->deadline_us, query->next_hedge_us);
}

/* Returns the fraction of the shards that showed overload. */
double
jd_query_overload (const jd_query_t *query)
{
  return (double)query->overload_signs / (double)query->map->shard_count;
}

/* Fills in the answer of a finished query. */
void
jd_query_answer (jd_query_t *query, jd_answer_t *answer)
{
  gboolean covered = query->merge.covered_count > 0;
  *answer = (jd_answer_t){
    .query_id = query->id,
    .user = query->user,
    .code = query->code,
    .ran = covered ? JD_RAN_YES : query->ran,
    .coverage = jd_result_merge_coverage (&query->merge),
    .snapshot = query->merge.snapshot,
    .map_version = query->map->map_version,
    .hit_count = query->merge.hit_count,
    .hits = query->merge.hits,
    .extra_requests = query->extra_requests,
  };
  JD_INVARIANT (whole_answer, query->code != JD_OK || query->kind == JD_WORK_EDIT ||
                                  query->merge.covered_count == query->merge.shard_count);
}
