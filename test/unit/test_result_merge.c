#include "routing/result_merge.h"

#include "base/rng.h"
#include "support/test_main.h"

#define SHARDS 12
#define LIMIT 7

/* Returns an outcome with up to 5 hits of random scores, best first. */
static jd_work_outcome_t
random_outcome (const jd_rng_t *rng, uint64_t snapshot)
{
  jd_work_outcome_t outcome = { .snapshot = snapshot };
  outcome.hit_count = (uint32_t)jd_rng_below (rng, 6);
  outcome.hits = g_new0 (jd_hit_t, MAX (outcome.hit_count, 1));
  double score = 1000;
  for (uint32_t i = 0; i < outcome.hit_count; i++)
    {
      score -= (double)jd_rng_below (rng, 300);
      outcome.hits[i].score = score;
    }
  return outcome;
}

static gint
compare_scores (gconstpointer a, gconstpointer b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;
  return (left < right) - (left > right);
}

/* Guards against lost or duplicate hits: after outcomes of random shards, some of them
 * repeated, the merge holds the same best hits as a sort of all hits, and the weight of
 * each shard once. */
static void
merge_keeps_best_hits_and_counts_each_shard_once (void)
{
  jd_philox_t state = { .seed = 5 };
  jd_rng_t rng = jd_philox_rng (&state);
  for (int round = 0; round < 200; round++)
    {
      jd_result_merge_t merge;
      jd_result_merge_init (&merge, SHARDS, UINT64_C (2) * SHARDS, LIMIT);
      jd_result_merge_restart (&merge, 7);
      GArray *scores = g_array_new (FALSE, FALSE, sizeof (double));
      gboolean covered[SHARDS] = { FALSE };
      uint32_t count = 0;
      for (int i = 0; i < SHARDS; i++)
        {
          uint32_t shard = (uint32_t)jd_rng_below (&rng, SHARDS);
          jd_work_outcome_t outcome = random_outcome (&rng, 7);
          for (uint32_t h = 0; h < outcome.hit_count && !covered[shard]; h++)
            g_array_append_val (scores, outcome.hits[h].score);
          CU_ASSERT_EQUAL (jd_result_merge_add (&merge, shard, 2, &outcome),
                           !covered[shard]);
          count += !covered[shard];
          covered[shard] = TRUE;
          jd_work_outcome_clear (&outcome);
        }
      g_array_sort (scores, compare_scores);
      CU_ASSERT_EQUAL (merge.hit_count, MIN (scores->len, LIMIT));
      for (uint32_t i = 0; i < merge.hit_count; i++)
        CU_ASSERT_EQUAL (merge.hits[i].score, g_array_index (scores, double, i));
      CU_ASSERT_DOUBLE_EQUAL (jd_result_merge_coverage (&merge), count / (double)SHARDS,
                              1e-9);
      g_array_free (scores, TRUE);
      jd_result_merge_clear (&merge);
    }
}

/* Guards against an answer that mixes snapshots: outcomes of another snapshot are
 * refused, and a restart removes the collected hits and shards. */
static void
merge_accepts_one_snapshot_only (void)
{
  jd_philox_t state = { .seed = 6 };
  jd_rng_t rng = jd_philox_rng (&state);
  jd_result_merge_t merge;
  jd_result_merge_init (&merge, 2, 2, LIMIT);
  jd_result_merge_restart (&merge, 7);
  jd_work_outcome_t outcome = random_outcome (&rng, 8);
  CU_ASSERT_FALSE (jd_result_merge_add (&merge, 0, 1, &outcome));
  outcome.snapshot = 7;
  CU_ASSERT_TRUE (jd_result_merge_add (&merge, 0, 1, &outcome));
  jd_result_merge_restart (&merge, 8);
  CU_ASSERT_EQUAL (merge.hit_count, 0);
  CU_ASSERT_DOUBLE_EQUAL (jd_result_merge_coverage (&merge), 0.0, 1e-9);
  jd_result_merge_clear (&merge);
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "the merge keeps the best hits and counts each shard once",
      merge_keeps_best_hits_and_counts_each_shard_once },
    { "the merge accepts one snapshot only", merge_accepts_one_snapshot_only },
  };
  return JD_TEST_RUN ("result_merge", cases);
}
