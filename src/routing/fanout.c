#include "routing/fanout.h"

#include <stdlib.h>

#include "base/clock.h"
#include "base/invariant.h"

/* Ratio of extra attempts to first attempts. The platform allows 0.2, counted over all
 * hosts in a window; the margin covers the difference between its count and ours. */
#define EXTRA_SHARE 0.17
/* The hedge delay is this multiple of the 90th percentile of the latency, within
 * HEDGE_FACTOR_MIN and HEDGE_FACTOR_MAX times the median. The distance between the two
 * differs by site: on a 20 Mbit/s link the answers of 90 shards arrive one after the
 * other. */
#define HEDGE_HIGH_FACTOR 1.1
#define HEDGE_FACTOR_MIN 1.3
#define HEDGE_FACTOR_MAX 2.2
#define HEDGE_MIN_US (6 * JD_US_PER_MS)
/* Longest hedge delay, as a share of the latency objective, so that the second attempt
 * can still be answered within the objective. */
#define HEDGE_LATEST_SHARE 0.45
/* Assumed latency of an attempt, as a share of the objective, while none is recorded. */
#define UNKNOWN_LATENCY_SHARE 0.2
/* A partial answer is not sent before this share of the objective. */
#define EARLY_SHARE_MIN 0.5
/* A caller need not wait for the end of an ejection, because another host may reach the
 * replica. */
#define EJECTED_WAIT_MAX_US (500 * JD_US_PER_MS)
/* No further attempt is made with less time than this until the deadline. */
#define ATTEMPT_MIN_US (3 * JD_US_PER_MS)
#define NEVER_US INT64_MAX

/* Returns the typical latency of the route's attempts, or an assumption. */
static int64_t
typical_latency_us (const jd_fanout_t *fanout)
{
  const jd_route_t *route = fanout->route;
  if (route->latency && route->latency->median_us > 0.0)
    return (int64_t)route->latency->median_us;
  return (int64_t)((double)route->objective_us * UNKNOWN_LATENCY_SHARE);
}

/* Returns how long an attempt runs before it is hedged. */
static int64_t
hedge_delay_us (const jd_fanout_t *fanout)
{
  double median_us = (double)typical_latency_us (fanout);
  double high_us = fanout->route->latency ? fanout->route->latency->high_us : 0.0;
  double delay_us = CLAMP (high_us * HEDGE_HIGH_FACTOR, median_us * HEDGE_FACTOR_MIN,
                           median_us * HEDGE_FACTOR_MAX);
  if (high_us <= 0.0)
    delay_us = median_us * HEDGE_FACTOR_MAX;
  delay_us = MIN (delay_us, (double)fanout->route->objective_us * HEDGE_LATEST_SHARE);
  return (int64_t)MAX (delay_us, (double)HEDGE_MIN_US);
}

/* Creates a fanout; jd_fanout_start() sends the first attempts. The route and the pools
 * of the parts must outlive it. */
jd_fanout_t *
jd_fanout_new (const jd_fanout_request_t *request, const jd_fanout_actions_t *actions,
               int64_t now_us)
{
  uint32_t count = request->part_count;
  jd_fanout_t *fanout =
      g_malloc0 (sizeof (jd_fanout_t) + count * sizeof (jd_fanout_part_t));
  fanout->actions = *actions;
  fanout->route = request->route;
  fanout->start_us = now_us;
  fanout->deadline_us = request->deadline_us;
  fanout->part_count = count;
  fanout->salt = request->salt;
  fanout->rank = request->rank;
  fanout->needed_parts = jd_route_needed_parts (request->route, count);
  int64_t objective_us = request->route->objective_us;
  int64_t early_us = MAX (objective_us - jd_answer_margin_us (&request->caller_path),
                          (int64_t)((double)objective_us * EARLY_SHARE_MIN));
  fanout->early_us = now_us + early_us;
  for (uint32_t i = 0; i < count; i++)
    {
      fanout->parts[i].pool = request->parts[i].pool;
      jd_extra_budget_count_request (&fanout->parts[i].pool->shared_budget, now_us);
    }
  return fanout;
}

/* Frees a fanout. The caller has to cancel attempts that still run. */
void
jd_fanout_free (jd_fanout_t *fanout)
{
  for (uint32_t i = 0; i < fanout->part_count; i++)
    {
      for (uint32_t k = 0; k < fanout->parts[i].attempt_count; k++)
        jd_replica_unref (fanout->parts[i].attempts[k].replica);
    }
  g_free (fanout);
}

/* Returns the best replica without an attempt at the part, or NULL. If there is none, one
 * that rejected it may be tried again: it is as likely to take the next attempt. */
static jd_replica_t *
choose_replica (const jd_fanout_t *fanout, const jd_fanout_part_t *part, int64_t now_us)
{
  const jd_replica_t *tried[JD_FANOUT_ATTEMPTS_MAX];
  for (uint32_t i = 0; i < part->attempt_count; i++)
    tried[i] = part->attempts[i].replica;
  jd_replica_criteria_t criteria = {
    .typical_latency_us = typical_latency_us (fanout),
    .tried = tried,
    .tried_count = part->attempt_count,
    .salt = fanout->salt,
  };
  jd_replica_t *replica = jd_replica_choose (part->pool, &criteria, now_us);
  if (replica || part->rejections == 0)
    return replica;
  criteria.tried_count = 0;
  for (uint32_t i = 0; i < part->attempt_count; i++)
    {
      if (!part->attempts[i].rejected)
        tried[criteria.tried_count++] = part->attempts[i].replica;
    }
  return jd_replica_choose (part->pool, &criteria, now_us);
}

/* Returns TRUE if enough parts have a replica that may get the request now. */
bool
jd_fanout_can_succeed (const jd_fanout_t *fanout, int64_t now_us)
{
  uint32_t servable = 0;
  for (uint32_t i = 0; i < fanout->part_count; i++)
    servable += choose_replica (fanout, &fanout->parts[i], now_us) != NULL;
  return servable >= fanout->needed_parts;
}

/* Returns the number of parts that can be expected to be answered with the extra attempts
 * that are left at their shards. */
double
jd_fanout_expected_parts (const jd_fanout_t *fanout, int64_t now_us)
{
  double limit_share = jd_extra_admission_limit_share (fanout->rank);
  double expected = 0.0;
  for (uint32_t i = 0; i < fanout->part_count; i++)
    {
      const jd_replica_pool_t *pool = fanout->parts[i].pool;
      jd_part_need_t need = {
        .extra_attempts = jd_replica_pool_extra_attempts (pool, now_us),
        .available = pool->host_budget.tokens +
                     jd_extra_budget_left (&pool->shared_budget, limit_share, now_us),
        .attempts_max = JD_FANOUT_ATTEMPTS_MAX,
      };
      expected += jd_extra_admission_expected_parts (&need, 1);
    }
  return expected;
}

/* Returns the time until a replica of a part may get a request; 0 if one may now,
 * INT64_MAX if all its replicas are removed, leaving or in a drained zone. */
static int64_t
part_servable_in_us (const jd_fanout_part_t *part, int64_t now_us)
{
  int64_t earliest_us = NEVER_US;
  for (guint i = 0; i < part->pool->replicas->len; i++)
    {
      const jd_replica_t *replica = part->pool->replicas->pdata[i];
      int64_t ejected_us = MAX (replica->ejected_until_us - now_us, 0);
      int64_t open_in_us = jd_replica_open_in_us (replica, now_us);
      earliest_us =
          MIN (earliest_us, MAX (open_in_us, MIN (ejected_us, EJECTED_WAIT_MAX_US)));
    }
  return earliest_us;
}

/* Sort callback: orders times. */
static int
compare_times (const void *a, const void *b)
{
  int64_t left = *(const int64_t *)a, right = *(const int64_t *)b;
  return (left > right) - (left < right);
}

/* Returns the time until enough parts for an answer have a replica that may get a
 * request; 0 if that is now, INT64_MAX if no such time is known. */
int64_t
jd_fanout_servable_in_us (const jd_fanout_t *fanout, int64_t now_us)
{
  int64_t *times_us = g_new (int64_t, fanout->part_count);
  for (uint32_t i = 0; i < fanout->part_count; i++)
    times_us[i] = part_servable_in_us (&fanout->parts[i], now_us);
  qsort (times_us, fanout->part_count, sizeof (*times_us), compare_times);
  int64_t servable_in_us =
      fanout->needed_parts > 0 ? times_us[fanout->needed_parts - 1] : 0;
  g_free (times_us);
  return servable_in_us;
}

/* Ends the request and invokes the finish callback. */
static void
finish (jd_fanout_t *fanout, jd_fanout_verdict_t verdict)
{
  JD_INVARIANT (one_answer, !fanout->finished);
  fanout->finished = true;
  fanout->actions.finish (fanout->actions.context, verdict);
}

/* Returns TRUE if a target ran the request, or may have. */
bool
jd_fanout_may_have_run (const jd_fanout_t *fanout)
{
  const jd_fanout_actions_t *actions = &fanout->actions;
  return fanout->any_may_have_run || !actions->is_sent ||
         actions->is_sent (actions->context);
}

/* Ends the request if the state of its parts or the time decides the result. Returns TRUE
 * once it has ended. */
static bool
finish_if_decided (jd_fanout_t *fanout, int64_t now_us)
{
  if (fanout->finished)
    return true;
  uint32_t ended_count = fanout->done_count + fanout->lost_count;
  if (fanout->done_count == fanout->part_count)
    finish (fanout, JD_FANOUT_COMPLETE);
  else if (fanout->part_count - fanout->lost_count < fanout->needed_parts)
    finish (fanout, fanout->any_may_have_run ? JD_FANOUT_FAILED : JD_FANOUT_NOT_RUN);
  else if (fanout->done_count >= fanout->needed_parts &&
           (ended_count == fanout->part_count || now_us >= fanout->early_us))
    finish (fanout, JD_FANOUT_PARTIAL);
  else if (now_us >= fanout->deadline_us)
    finish (fanout,
            jd_fanout_may_have_run (fanout) ? JD_FANOUT_TIMED_OUT : JD_FANOUT_NOT_RUN);
  return fanout->finished;
}

/* Starts an attempt at a part. Returns FALSE if it cannot be sent. */
static bool
start_attempt (jd_fanout_t *fanout, uint32_t index, jd_replica_t *replica, int64_t now_us)
{
  jd_fanout_part_t *part = &fanout->parts[index];
  uint32_t number = part->attempt_count;
  part->attempts[number] = (jd_fanout_attempt_t){
    .replica = jd_replica_ref (replica),
    .started_us = now_us,
    .running = true,
  };
  part->attempt_count++;
  part->running_attempts++;
  if (fanout->actions.send (fanout->actions.context, index, number, replica))
    return true;
  part->running_attempts--;
  part->attempts[number].running = false;
  return false;
}

/* Returns TRUE if one more replica may get the part: the part is below the limits of
 * attempts and of replicas that may run it, and enough time is left. A request that is
 * not idempotent runs on one replica only. */
static bool
may_start_attempt (const jd_fanout_t *fanout, const jd_fanout_part_t *part,
                   int64_t now_us)
{
  uint32_t runs = part->may_have_run + part->running_attempts;
  if (part->attempt_count >= JD_FANOUT_ATTEMPTS_MAX ||
      part->attempt_count - part->rejections >= JD_FANOUT_OTHER_ATTEMPTS_MAX ||
      runs >= fanout->route->max_attempts)
    return false;
  if (!fanout->route->idempotent && runs > 0)
    return false;
  return fanout->deadline_us - now_us >= ATTEMPT_MIN_US;
}

/* Takes one extra attempt from this host's budget or, if that is used up, from the part
 * of the shared budget that the hosts leave unused. Returns FALSE if both are used up. A
 * retry may use more of the shared budget than a hedge, which only makes an answer
 * faster; at a scarce shard, hedges get what is left over. */
static bool
take_extra_attempt (const jd_fanout_t *fanout, jd_replica_pool_t *pool, bool is_hedge,
                    int64_t now_us)
{
  const jd_extra_budget_t *budget = &pool->shared_budget;
  bool is_scarce =
      jd_extra_admission_is_scarce (jd_replica_pool_extra_attempts (pool, now_us));
  jd_extra_rank_t rank = is_hedge ? JD_EXTRA_RANK_OPTIONAL : fanout->rank;
  bool may_use_left = pool->learns_rejections && (is_scarce || !is_hedge);
  bool may_use_own = !is_scarce || !is_hedge;
  if (pool->learns_rejections && jd_extra_budget_is_spent (budget, now_us))
    return false;
  bool is_taken =
      (may_use_own && (jd_hedge_budget_take_token (&pool->host_budget) ||
                       jd_extra_budget_can_lend (budget, now_us))) ||
      (may_use_left && jd_extra_budget_left (
                           budget, jd_extra_admission_limit_share (rank), now_us) >= 1.0);
  if (is_taken)
    jd_extra_budget_count_own (&pool->shared_budget, now_us);
  return is_taken;
}

/* Returns TRUE if a replica may get a hedge. It needs a free slot: in a queue the hedge
 * would delay first attempts, and under overload all requests would wait for hedges. A
 * leaving target is for requests that have no other. */
static bool
may_be_hedge (const jd_replica_t *replica, int64_t now_us)
{
  return jd_replica_access (replica, now_us) == JD_TARGET_ACCESS_OPEN &&
         jd_replica_has_free_slot (replica, now_us);
}

/* Sends the part to another replica if the limits and the budget allow it. Returns TRUE
 * if an attempt was started. An attempt after ones that reached no replica does not count
 * as extra. */
static bool
start_another_attempt (jd_fanout_t *fanout, uint32_t index, bool is_extra, bool is_hedge,
                       int64_t now_us)
{
  jd_fanout_part_t *part = &fanout->parts[index];
  if (!may_start_attempt (fanout, part, now_us))
    return false;
  jd_replica_t *replica = choose_replica (fanout, part, now_us);
  if (!replica || (is_hedge && !may_be_hedge (replica, now_us)))
    return false;
  if (is_extra && !take_extra_attempt (fanout, part->pool, is_hedge, now_us))
    return false;
  return start_attempt (fanout, index, replica, now_us);
}

/* Marks a part as lost if it is neither done nor has a running attempt. */
static void
lose_part (jd_fanout_t *fanout, jd_fanout_part_t *part)
{
  if (part->done || part->lost || part->running_attempts > 0)
    return;
  part->lost = true;
  fanout->lost_count++;
}

/* Sends the first attempt of each part. */
void
jd_fanout_start (jd_fanout_t *fanout, int64_t now_us)
{
  for (uint32_t i = 0; i < fanout->part_count && !fanout->finished; i++)
    {
      jd_fanout_part_t *part = &fanout->parts[i];
      jd_hedge_budget_add_requests (&part->pool->host_budget, 1, EXTRA_SHARE);
      jd_replica_t *replica = choose_replica (fanout, part, now_us);
      if (!replica || !start_attempt (fanout, i, replica, now_us))
        lose_part (fanout, part);
    }
  finish_if_decided (fanout, now_us);
}

/* Updates the route's admission gate with the load that a target reported with this
 * answer. */
static void
record_load (const jd_fanout_t *fanout, const jd_fanout_attempt_t *attempt,
             int64_t now_us)
{
  const jd_replica_t *replica = attempt->replica;
  if (!fanout->route->latency || replica->reported_at_us < attempt->started_us)
    return;
  jd_admission_sample_t sample = {
    .queue_length = jd_replica_queue_length (replica, now_us),
    .shortest_other_queue = jd_replica_shortest_queue (replica, now_us),
    .slots = replica->slots,
    .elapsed_us = now_us - attempt->started_us,
    .objective_us = fanout->route->objective_us,
  };
  jd_admission_gate_record (&fanout->route->latency->gate, &sample, now_us);
}

/* Returns TRUE while an answer to the part can still be used. */
bool
jd_fanout_needs_part (const jd_fanout_t *fanout, uint32_t part)
{
  return !fanout->finished && !fanout->parts[part].done;
}

/* Records the outcome of an attempt. JD_REPLICA_OK ends the part; after any other outcome
 * the part is sent to another replica if that is allowed. may_have_run is TRUE if the
 * replica may have run the request. */
void
jd_fanout_end_attempt (jd_fanout_t *fanout, uint32_t index, uint32_t number,
                       jd_replica_outcome_t outcome, bool may_have_run, int64_t now_us)
{
  jd_fanout_part_t *part = &fanout->parts[index];
  JD_INVARIANT (attempt_settled_once, part->attempts[number].running);
  part->attempts[number].running = false;
  part->running_attempts--;
  if (outcome == JD_REPLICA_OK || outcome == JD_REPLICA_SHED)
    record_load (fanout, &part->attempts[number], now_us);
  if (may_have_run)
    {
      part->may_have_run++;
      fanout->any_may_have_run = true;
    }
  if (outcome == JD_REPLICA_REJECTED)
    {
      part->attempts[number].rejected = true;
      part->rejections++;
    }
  if (fanout->finished || part->done)
    return;
  if (outcome == JD_REPLICA_OK)
    {
      part->done = true;
      fanout->done_count++;
      finish_if_decided (fanout, now_us);
      return;
    }
  bool arrived =
      may_have_run || outcome == JD_REPLICA_SHED || outcome == JD_REPLICA_REJECTED;
  if (part->running_attempts == 0 &&
      start_another_attempt (fanout, index, arrived, false, now_us))
    fanout->retries++;
  lose_part (fanout, part);
  finish_if_decided (fanout, now_us);
}

/* Hedges parts whose attempt takes too long, and ends the request at its deadline.
 * Returns the time at which to call again, INT64_MAX once the request has ended. */
int64_t
jd_fanout_tick (jd_fanout_t *fanout, int64_t now_us)
{
  if (finish_if_decided (fanout, now_us))
    return NEVER_US;
  int64_t wake_us = fanout->deadline_us;
  if (fanout->early_us > now_us && fanout->needed_parts < fanout->part_count)
    wake_us = MIN (wake_us, fanout->early_us);
  if (!fanout->route->idempotent)
    return wake_us;
  int64_t delay_us = hedge_delay_us (fanout);
  for (uint32_t i = 0; i < fanout->part_count; i++)
    {
      jd_fanout_part_t *part = &fanout->parts[i];
      if (part->done || part->lost || part->running_attempts != 1)
        continue;
      int64_t due_us = part->attempts[part->attempt_count - 1].started_us + delay_us;
      if (due_us > now_us)
        {
          wake_us = MIN (wake_us, due_us);
          continue;
        }
      if (!may_start_attempt (fanout, part, now_us))
        continue;
      if (start_another_attempt (fanout, i, true, true, now_us))
        fanout->hedges++;
      else
        wake_us = MIN (wake_us, now_us + delay_us);
    }
  return wake_us;
}

/* Ends the request now, because the host stops. Parts that make an answer are used. */
void
jd_fanout_stop (jd_fanout_t *fanout)
{
  if (fanout->done_count >= fanout->needed_parts)
    finish (fanout, JD_FANOUT_PARTIAL);
  else
    finish (fanout,
            jd_fanout_may_have_run (fanout) ? JD_FANOUT_STOPPED : JD_FANOUT_NOT_RUN);
}
