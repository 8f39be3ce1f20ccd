#include "routing/planner.h"

#include <math.h>

/* Different snapshots considered per query. Targets hold up to 4, of which successive
 * ones overlap between targets. */
#define MAX_CANDIDATES 16

/* Two replicas within this fraction count as equally fast. */
#define EQUAL_FRACTION 0.1

/* A reported load counts for 1/e of its value after this time. */
#define LOAD_MEMORY_US 10000.0

/* Replicas beyond this index of one shard are not tried twice in the same query. */
#define MAX_REPLICAS 32

/* Returns whether a target may get new work: its owner is known and has reported it
 * recently, it is not leaving, and its zone is in service. */
gboolean
jd_planner_is_usable (const jd_planner_t *planner, const jd_entry_target_t *target,
                      int64_t now_us)
{
  return target->owner && target->owner->connected && target->owner->clock_us &&
         now_us - target->status_us <= planner->status_limit_us &&
         !target->status.draining && !target->leaving && !target->zone->out;
}

/* Returns whether a target holds a snapshot; 0 stands for any. */
static gboolean
holds_snapshot (const jd_entry_target_t *target, uint64_t snapshot)
{
  if (!snapshot)
    return TRUE;
  for (uint32_t i = 0; i < target->status.snapshot_count; i++)
    {
      if (target->status.snapshots[i] == snapshot)
        return TRUE;
    }
  return FALSE;
}

/* Candidate snapshots with the last shard that counted for each. */
typedef struct candidate_set
{
  uint32_t count;
  jd_snapshot_choice_t choices[MAX_CANDIDATES];
  uint32_t last_shard[MAX_CANDIDATES];
} candidate_set_t;

/* Adds the weight of a shard to a snapshot, once per shard. */
static void
add_weight (candidate_set_t *set, uint64_t snapshot, uint32_t shard, uint64_t weight)
{
  uint32_t i = 0;
  while (i < set->count && set->choices[i].snapshot != snapshot)
    i++;
  if (i == set->count)
    {
      if (set->count == MAX_CANDIDATES)
        return;
      set->count++;
      set->choices[i] = (jd_snapshot_choice_t){ .snapshot = snapshot };
      set->last_shard[i] = UINT32_MAX;
    }
  if (set->last_shard[i] == shard)
    return;
  set->last_shard[i] = shard;
  set->choices[i].weight += weight;
}

/* Chooses the snapshot of a query from the reports of all usable replicas. */
jd_snapshot_choice_t
jd_planner_choose_snapshot (const jd_planner_t *planner, const jd_shard_map_t *map,
                            int64_t now_us)
{
  candidate_set_t set = { 0 };
  for (uint32_t s = 0; s < map->shard_count; s++)
    {
      const jd_shard_t *shard = &map->shards[s];
      for (uint32_t r = 0; r < shard->replica_count; r++)
        {
          const jd_entry_target_t *target = shard->replicas[r];
          if (!jd_planner_is_usable (planner, target, now_us))
            continue;
          for (uint32_t i = 0; i < target->status.snapshot_count; i++)
            add_weight (&set, target->status.snapshots[i], s, shard->weight);
        }
    }
  jd_snapshot_choice_t best = { 0 };
  for (uint32_t i = 0; i < set.count; i++)
    {
      const jd_snapshot_choice_t *choice = &set.choices[i];
      if (choice->weight > best.weight ||
          (choice->weight == best.weight && choice->snapshot > best.snapshot))
        best = *choice;
    }
  return best;
}

/* Returns the attempts at the target: those of other entries, as far as known, and the
 * own ones. What is known of others loses weight with its age, since queues change
 * within a few service times; without that, all entries would send to the replica that
 * was last reported as idle. */
static double
load_of (const jd_entry_target_t *target, int64_t now_us)
{
  double others =
      target->load > target->own_at_load ? target->load - target->own_at_load : 0;
  double age_us = (double)(now_us - target->load_us);
  return others * exp (-age_us / LOAD_MEMORY_US) + target->own_in_flight;
}

/* Returns the estimated time to an answer from a target. */
static double
estimate_us (const jd_entry_target_t *target, int64_t now_us)
{
  double limit = MAX (1, target->status.limit);
  double load = load_of (target, now_us);
  double fading = jd_latency_tracker_fading (&target->latency, now_us);
  double median_us =
      MAX (1.0, fading * (double)jd_latency_tracker_median_us (&target->latency));
  double wait_us = load >= limit ? (load + 1 - limit) / limit * median_us : 0;
  double recent_us = MAX (median_us, fading * target->latency.recent_us);
  double estimate = recent_us + wait_us + 0.1 * median_us * load / limit;
  /* A target that just failed goes last, but is still used when it is the only one. */
  return target->avoid_until_us > now_us ? estimate + 1e9 : estimate;
}

/* Returns whether a zone that came back takes this request; the fraction of requests
 * that it takes grows over the ramp. */
static gboolean
zone_takes (jd_planner_t *planner, const jd_zone_view_t *zone, int64_t now_us)
{
  int64_t since_us = now_us - zone->in_since_us;
  if (!zone->in_since_us || since_us >= planner->zone_ramp_us)
    return TRUE;
  return jd_rng_unit (&planner->rng) * (double)planner->zone_ramp_us < (double)since_us;
}

/* Replicas of a shard that a request may go to. */
typedef struct replica_set
{
  uint32_t count;
  int32_t index[MAX_REPLICAS];
} replica_set_t;

/* Collects the replicas that a request may go to. A zone in its ramp is left out while
 * there is another replica. */
static void
collect (jd_planner_t *planner, const jd_shard_t *shard, uint64_t snapshot,
         uint32_t tried, int64_t now_us, replica_set_t *set)
{
  int32_t ramping = -1;
  for (uint32_t i = 0; i < shard->replica_count && i < MAX_REPLICAS; i++)
    {
      const jd_entry_target_t *target = shard->replicas[i];
      if ((tried & (UINT32_C (1) << i)) ||
          !jd_planner_is_usable (planner, target, now_us) ||
          !holds_snapshot (target, snapshot))
        continue;
      if (zone_takes (planner, target->zone, now_us))
        set->index[set->count++] = (int32_t)i;
      else
        ramping = (int32_t)i;
    }
  if (set->count == 0 && ramping >= 0)
    set->index[set->count++] = ramping;
}

/* Returns the better one of two replicas by the estimated completion time; the one in
 * the own zone when they are about equal, else a random one. */
static int32_t
better_of (jd_planner_t *planner, const jd_shard_t *shard, int32_t a, int32_t b,
           int64_t now_us)
{
  double first = estimate_us (shard->replicas[a], now_us);
  double second = estimate_us (shard->replicas[b], now_us);
  if (first < second * (1 - EQUAL_FRACTION))
    return a;
  if (second < first * (1 - EQUAL_FRACTION))
    return b;
  gboolean a_local = g_str_equal (shard->replicas[a]->zone->name, planner->zone);
  gboolean b_local = g_str_equal (shard->replicas[b]->zone->name, planner->zone);
  if (a_local != b_local)
    return a_local ? a : b;
  return jd_rng_below (&planner->rng, 2) ? a : b;
}

/* Returns the replica with the fewest own attempts in flight. */
static int32_t
least_in_flight (jd_planner_t *planner, const jd_shard_t *shard, const replica_set_t *set)
{
  uint32_t start = (uint32_t)jd_rng_below (&planner->rng, set->count);
  int32_t best = set->index[start];
  for (uint32_t i = 1; i < set->count; i++)
    {
      int32_t next = set->index[(start + i) % set->count];
      if (shard->replicas[next]->own_in_flight < shard->replicas[best]->own_in_flight)
        best = next;
    }
  return best;
}

/* Chooses among the collected replicas with the default policy: two at random when
 * there are more, then the better one. */
static int32_t
earliest (jd_planner_t *planner, const jd_shard_t *shard, replica_set_t *set,
          int64_t now_us)
{
  uint32_t first = 0;
  uint32_t second = 1;
  if (set->count > 2)
    {
      first = (uint32_t)jd_rng_below (&planner->rng, set->count);
      second = (uint32_t)jd_rng_below (&planner->rng, set->count - 1);
      if (second >= first)
        second++;
    }
  return better_of (planner, shard, set->index[first], set->index[second], now_us);
}

/* Chooses a replica for one attempt. */
int32_t
jd_planner_choose_replica (jd_planner_t *planner, const jd_shard_t *shard,
                           uint64_t snapshot, uint32_t tried, int64_t now_us)
{
  replica_set_t set = { 0 };
  collect (planner, shard, snapshot, tried, now_us, &set);
  if (set.count == 0)
    return -1;
  if (planner->chooser)
    return planner->chooser (planner->chooser_context, shard, set.index, set.count);
  if (set.count == 1)
    return set.index[0];
  switch (planner->policy)
    {
    case JD_REPLICA_RANDOM:
      return set.index[jd_rng_below (&planner->rng, set.count)];
    case JD_REPLICA_ROUND_ROBIN:
      return set.index[planner->rotation++ % set.count];
    case JD_REPLICA_LEAST_IN_FLIGHT:
      return least_in_flight (planner, shard, &set);
    case JD_REPLICA_EARLIEST:
    default:
      return earliest (planner, shard, &set, now_us);
    }
}
