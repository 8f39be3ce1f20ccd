#pragma once

#include <glib.h>

#include "routing/work_defs.h"

/* Partial result of one search: the best hits so far, and the weight of the shards that
 * they come from. All covered shards are of one snapshot and one map version. */
typedef struct jd_result_merge
{
  uint64_t snapshot;
  uint64_t total_weight;
  uint64_t covered_weight;
  uint32_t limit;
  uint32_t shard_count;
  uint32_t covered_count;
  uint8_t *covered; /* Per shard index: 1 if the shard is in the result. */
  uint32_t hit_count;
  jd_hit_t *hits; /* Best first, at most limit. */
} jd_result_merge_t;

void jd_result_merge_init (jd_result_merge_t *merge, uint32_t shard_count,
                           uint64_t total_weight, uint32_t limit);
void jd_result_merge_clear (jd_result_merge_t *merge);
/* Removes all shards and hits, and starts over with another snapshot. */
void jd_result_merge_restart (jd_result_merge_t *merge, uint64_t snapshot);
/* Adds a shard and takes ownership of the hits of its outcome. Returns FALSE, and leaves
 * the hits in the outcome, if the shard is already covered or the outcome is of another
 * snapshot. */
gboolean jd_result_merge_add (jd_result_merge_t *merge, uint32_t shard, uint64_t weight,
                              jd_work_outcome_t *outcome);
double jd_result_merge_coverage (const jd_result_merge_t *merge);
