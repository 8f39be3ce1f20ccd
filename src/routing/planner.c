#include "routing/planner.h"

#include <math.h>

/* Number of different snapshots that are considered per query. A target holds up to 4,
 * and those of different targets overlap. */
#define MAX_CANDIDATE_SNAPSHOTS 16

/* Two replicas count as equally fast if their estimates differ by less than this
 * fraction. */
#define EQUAL_ESTIMATE_FRACTION 0.1

/* A reported load decays to 1/e of its value in this time. */
#define LOAD_DECAY_US 10000.0

/* Maximum number of replicas of a shard that are considered: tried_mask has 32 bits. */
#define MAX_REPLICAS 32

/* Returns TRUE if a target may get new work: its owner is known, connected and has sent
 * its clock, the last report is recent enough, the target is neither draining nor
 * leaving, and its zone is not drained. */
gboolean
jd_planner_is_usable (const jd_planner_t *planner, const jd_entry_target_t *target,
                      int64_t now_us)
{
  return target->owner && target->owner->connected && target->owner->clock_us &&
         now_us - target->status_received_us <= planner->status_ttl_us &&
         !target->status.draining && !target->leaving && !target->zone->drained;
}

/* Returns TRUE if a target holds a snapshot; 0 stands for any snapshot. */
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

/* Candidate snapshots, each with the index of the last shard whose weight was added. */
typedef struct candidate_set
{
  uint32_t count;
  jd_snapshot_choice_t choices[MAX_CANDIDATE_SNAPSHOTS];
  uint32_t last_shard[MAX_CANDIDATE_SNAPSHOTS];
} candidate_set_t;

/* Adds the weight of a shard to a snapshot. A shard counts once, however many of its
 * replicas hold the snapshot. Ignores a new snapshot if the set is full. */
static void
add_weight (candidate_set_t *set, uint64_t snapshot, uint32_t shard, uint64_t weight)
{
  uint32_t i = 0;
  while (i < set->count && set->choices[i].snapshot != snapshot)
    i++;
  if (i == set->count)
    {
      if (set->count == MAX_CANDIDATE_SNAPSHOTS)
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

/* Returns the snapshot with the largest total weight of shards that have a usable
 * replica with it, and the newest one if several are equal. */
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

/* Returns the estimated number of attempts at a target: those of this entry, and those
 * of other entries by the last known state. The load of other entries decays with the
 * age of that state, because queues change within a few service times; without the
 * decay, all entries would send to the replica that was last reported as idle. */
static double
estimated_load (const jd_entry_target_t *target, int64_t now_us)
{
  double others_load = target->load > target->own_in_flight_at_load
                           ? target->load - target->own_in_flight_at_load
                           : 0;
  double age_us = (double)(now_us - target->load_received_us);
  return others_load * exp (-age_us / LOAD_DECAY_US) + target->own_in_flight;
}

/* Returns the estimated time until a target answers a new attempt. */
static double
estimated_completion_us (const jd_entry_target_t *target, int64_t now_us)
{
  double limit = MAX (1, target->status.limit);
  double load = estimated_load (target, now_us);
  double decay_factor = jd_latency_tracker_decay (&target->latency, now_us);
  double median_us =
      MAX (1.0, decay_factor * (double)jd_latency_tracker_median_us (&target->latency));
  double wait_us = load >= limit ? (load + 1 - limit) / limit * median_us : 0;
  double recent_us = MAX (median_us, decay_factor * target->latency.recent_mean_us);
  double estimate = recent_us + wait_us + 0.1 * median_us * load / limit;
  /* A target that failed recently ranks last, but the only replica is still chosen. */
  return target->avoid_until_us > now_us ? estimate + 1e9 : estimate;
}

/* Returns TRUE if a zone may get this request. In the time after a zone is restored, the
 * accepted fraction of requests grows linearly over zone_ramp_up_us. */
static gboolean
zone_accepts_request (jd_planner_t *planner, const jd_zone_view_t *zone, int64_t now_us)
{
  int64_t since_us = now_us - zone->restored_us;
  if (!zone->restored_us || since_us >= planner->zone_ramp_up_us)
    return TRUE;
  return jd_rng_unit (&planner->rng) * (double)planner->zone_ramp_up_us <
         (double)since_us;
}

/* Indexes of the replicas of a shard that may get a request. */
typedef struct replica_set
{
  uint32_t count;
  int32_t index[MAX_REPLICAS];
} replica_set_t;

/* Collects the replicas of a shard that may get a request. If the only ones are in a
 * zone that ramps up and does not accept this request, collects the last of these. */
static void
collect_replicas (jd_planner_t *planner, const jd_shard_t *shard, uint64_t snapshot,
                  uint32_t tried_mask, int64_t now_us, replica_set_t *set)
{
  int32_t ramping_index = -1;
  for (uint32_t i = 0; i < shard->replica_count && i < MAX_REPLICAS; i++)
    {
      const jd_entry_target_t *target = shard->replicas[i];
      if ((tried_mask & (UINT32_C (1) << i)) ||
          !jd_planner_is_usable (planner, target, now_us) ||
          !holds_snapshot (target, snapshot))
        continue;
      if (zone_accepts_request (planner, target->zone, now_us))
        set->index[set->count++] = (int32_t)i;
      else
        ramping_index = (int32_t)i;
    }
  if (set->count == 0 && ramping_index >= 0)
    set->index[set->count++] = ramping_index;
}

/* Returns the replica with the lower estimated completion time. If both are about equal,
 * returns the one in the zone of this entry, or a random one if that does not decide. */
static int32_t
choose_faster_replica (jd_planner_t *planner, const jd_shard_t *shard, int32_t a,
                       int32_t b, int64_t now_us)
{
  double a_us = estimated_completion_us (shard->replicas[a], now_us);
  double b_us = estimated_completion_us (shard->replicas[b], now_us);
  if (a_us < b_us * (1 - EQUAL_ESTIMATE_FRACTION))
    return a;
  if (b_us < a_us * (1 - EQUAL_ESTIMATE_FRACTION))
    return b;
  gboolean a_in_own_zone = g_str_equal (shard->replicas[a]->zone->name, planner->zone);
  gboolean b_in_own_zone = g_str_equal (shard->replicas[b]->zone->name, planner->zone);
  if (a_in_own_zone != b_in_own_zone)
    return a_in_own_zone ? a : b;
  return jd_rng_below (&planner->rng, 2) ? a : b;
}

/* Returns the replica with the fewest attempts of this entry in flight; a random start
 * breaks ties. */
static int32_t
choose_least_in_flight (jd_planner_t *planner, const jd_shard_t *shard,
                        const replica_set_t *set)
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

/* Returns the faster one of two replicas, which are picked at random if there are more
 * than two. The set must hold at least two. */
static int32_t
choose_earliest (jd_planner_t *planner, const jd_shard_t *shard, replica_set_t *set,
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
  return choose_faster_replica (planner, shard, set->index[first], set->index[second],
                                now_us);
}

/* Returns the index of the replica for one attempt, or -1 if no usable replica holds the
 * snapshot and is not in tried_mask. The chooser goes before the policy. */
int32_t
jd_planner_choose_replica (jd_planner_t *planner, const jd_shard_t *shard,
                           uint64_t snapshot, uint32_t tried_mask, int64_t now_us)
{
  replica_set_t set = { 0 };
  collect_replicas (planner, shard, snapshot, tried_mask, now_us, &set);
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
      return set.index[planner->round_robin_position++ % set.count];
    case JD_REPLICA_LEAST_IN_FLIGHT:
      return choose_least_in_flight (planner, shard, &set);
    case JD_REPLICA_EARLIEST:
    default:
      return choose_earliest (planner, shard, &set, now_us);
    }
}
