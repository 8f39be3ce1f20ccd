#pragma once

#include "base/rng.h"
#include "routing/shard_map.h"

/* How replicas are chosen; all but the first are for comparison in benchmarks. */
typedef enum jd_replica_policy
{
  JD_REPLICA_EARLIEST, /* Lowest estimated completion time. */
  JD_REPLICA_RANDOM,
  JD_REPLICA_ROUND_ROBIN,
  JD_REPLICA_LEAST_IN_FLIGHT,
} jd_replica_policy_t;

/* Chooses one of the replicas with the given indexes, for comparison in benchmarks. */
typedef int32_t (*jd_replica_chooser_t) (void *context, const jd_shard_t *shard,
                                         const int32_t *index, uint32_t count);

typedef struct jd_planner
{
  jd_replica_policy_t policy;
  jd_replica_chooser_t chooser; /* Goes before the policy; NULL: none. */
  void *chooser_context;
  jd_rng_t rng;
  jd_name_t zone;          /* Own zone. */
  int64_t status_limit_us; /* Older reports of a target do not count. */
  int64_t zone_ramp_us;
  uint64_t rotation; /* Of round robin. */
} jd_planner_t;

/* The snapshot with the largest covered weight; the newest of several. */
typedef struct jd_snapshot_choice
{
  uint64_t snapshot; /* 0: no replica of any shard is usable. */
  uint64_t weight;
} jd_snapshot_choice_t;

gboolean jd_planner_is_usable (const jd_planner_t *planner,
                               const jd_entry_target_t *target, int64_t now_us);
jd_snapshot_choice_t jd_planner_choose_snapshot (const jd_planner_t *planner,
                                                 const jd_shard_map_t *map,
                                                 int64_t now_us);
/* Returns the index of a replica that holds the snapshot (0: any) and is not in the set
 * of tried ones (bit per index), or -1. */
int32_t jd_planner_choose_replica (jd_planner_t *planner, const jd_shard_t *shard,
                                   uint64_t snapshot, uint32_t tried, int64_t now_us);
