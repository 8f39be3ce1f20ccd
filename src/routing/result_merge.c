#include "routing/result_merge.h"

#include "base/invariant.h"

/* Initializes an empty merge for shard_count shards of total_weight in all, and at most
 * limit hits. */
void
jd_result_merge_init (jd_result_merge_t *merge, uint32_t shard_count,
                      uint64_t total_weight, uint32_t limit)
{
  *merge = (jd_result_merge_t){ .total_weight = total_weight,
                                .limit = limit,
                                .shard_count = shard_count };
  merge->covered = g_new0 (uint8_t, shard_count);
}

/* Frees all hits of the merge. */
static void
free_hits (jd_result_merge_t *merge)
{
  jd_work_outcome_t holder = { .hit_count = merge->hit_count, .hits = merge->hits };
  jd_work_outcome_clear (&holder);
  merge->hits = NULL;
  merge->hit_count = 0;
}

/* Frees the contents of the merge, but not the struct. */
void
jd_result_merge_clear (jd_result_merge_t *merge)
{
  free_hits (merge);
  g_free (merge->covered);
  merge->covered = NULL;
}

/* Removes all shards and hits, and accepts outcomes of the given snapshot from now on. */
void
jd_result_merge_restart (jd_result_merge_t *merge, uint64_t snapshot)
{
  free_hits (merge);
  for (uint32_t i = 0; i < merge->shard_count; i++)
    merge->covered[i] = 0;
  merge->covered_weight = 0;
  merge->covered_count = 0;
  merge->snapshot = snapshot;
}

/* Frees the contents of a hit, but not the struct. */
static void
free_hit (jd_hit_t *hit)
{
  g_free (hit->id);
  g_free (hit->body);
}

/* Merges the hits of an outcome, best first, into those of the merge and keeps the best
 * limit hits. Among equal scores, hits that were added earlier come first. */
static void
merge_hits (jd_result_merge_t *merge, jd_work_outcome_t *outcome)
{
  uint32_t total = merge->hit_count + outcome->hit_count;
  uint32_t kept = MIN (total, merge->limit);
  jd_hit_t *merged = g_new0 (jd_hit_t, MAX (kept, 1));
  uint32_t merge_index = 0;
  uint32_t outcome_index = 0;
  for (uint32_t i = 0; i < total; i++)
    {
      gboolean take_merged =
          outcome_index == outcome->hit_count ||
          (merge_index < merge->hit_count &&
           merge->hits[merge_index].score >= outcome->hits[outcome_index].score);
      jd_hit_t *hit =
          take_merged ? &merge->hits[merge_index++] : &outcome->hits[outcome_index++];
      if (i < kept)
        merged[i] = *hit;
      else
        free_hit (hit);
    }
  g_free (merge->hits);
  g_free (outcome->hits);
  merge->hits = merged;
  merge->hit_count = kept;
  outcome->hits = NULL;
  outcome->hit_count = 0;
}

/* Adds a shard of the given weight and takes ownership of the hits of its outcome.
 * Returns FALSE if the shard is already covered or the outcome is of another snapshot. */
gboolean
jd_result_merge_add (jd_result_merge_t *merge, uint32_t shard, uint64_t weight,
                     jd_work_outcome_t *outcome)
{
  if (merge->covered[shard] || outcome->snapshot != merge->snapshot)
    return FALSE;
  merge->covered[shard] = 1;
  merge->covered_count++;
  merge->covered_weight += weight;
  JD_INVARIANT (true_coverage, merge->covered_weight <= merge->total_weight);
  merge_hits (merge, outcome);
  return TRUE;
}

/* Returns the covered fraction of the total weight, 0 to 1. */
double
jd_result_merge_coverage (const jd_result_merge_t *merge)
{
  if (merge->total_weight == 0)
    return 0;
  return (double)merge->covered_weight / (double)merge->total_weight;
}
