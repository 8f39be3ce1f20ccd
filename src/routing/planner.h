#pragma once

#include "base/rng.h"
#include "routing/shard_map.h"

/* How a replica is chosen. JD_REPLICA_EARLIEST is the default; the others exist for
 * comparison in benchmarks. */
typedef enum jd_replica_policy
{
  JD_REPLICA_EARLIEST, /* The lowest estimated completion time. */
  JD_REPLICA_RANDOM,
  JD_REPLICA_ROUND_ROBIN,
  JD_REPLICA_LEAST_IN_FLIGHT,
} jd_replica_policy_t;

/* Returns one of the count replica indexes in index, for comparison in benchmarks. */
typedef int32_t (*jd_replica_chooser_t) (void *context, const jd_shard_t *shard,
                                         const int32_t *index, uint32_t count);

typedef struct jd_planner
{
  jd_replica_policy_t policy;
  jd_replica_chooser_t chooser; /* Overrides the policy; NULL: none. */
  void *chooser_context;
  jd_rng_t rng;
  jd_name_t zone;          /* Zone of this entry. */
  int64_t status_ttl_us;   /* A target with an older last report is not usable. */
  int64_t zone_ramp_up_us; /* Time until a restored zone gets its full load. */
  uint64_t round_robin_position;
} jd_planner_t;

/* A snapshot and the total weight of the shards that have a usable replica with it. */
typedef struct jd_snapshot_choice
{
  uint64_t snapshot; /* 0: no usable replica reports a snapshot. */
  uint64_t weight;
} jd_snapshot_choice_t;

gboolean jd_planner_is_usable (const jd_planner_t *planner,
                               const jd_entry_target_t *target, int64_t now_us);
jd_snapshot_choice_t jd_planner_choose_snapshot (const jd_planner_t *planner,
                                                 const jd_shard_map_t *map,
                                                 int64_t now_us);
/* Returns the index of a usable replica that holds the snapshot (0: any), or -1 if there
 * is none. Bit r of tried_mask excludes replica r. */
int32_t jd_planner_choose_replica (jd_planner_t *planner, const jd_shard_t *shard,
                                   uint64_t snapshot, uint32_t tried_mask,
                                   int64_t now_us);
