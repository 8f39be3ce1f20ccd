#include "base/clock.h"
#include "base/rng.h"
#include "routing/hedge_budget.h"
#include "routing/overload_guard.h"
#include "support/test_main.h"

/* Guards against more extra attempts than the given fraction of the first requests, at
 * any time. */
static void
extra_attempts_stay_within_the_fraction (void)
{
  jd_philox_t state = { .seed = 3 };
  jd_rng_t rng = jd_philox_rng (&state);
  jd_hedge_budget_t budget = { 0 };
  for (int i = 0; i < 20000; i++)
    {
      jd_hedge_budget_add_requests (&budget, (uint32_t)jd_rng_below (&rng, 30), 0.025);
      for (uint64_t wanted = jd_rng_below (&rng, 5); wanted > 0; wanted--)
        jd_hedge_budget_take_token (&budget);
      CU_ASSERT ((double)budget.extra_attempts <=
                 0.025 * (double)budget.first_requests + 1e-6);
    }
  CU_ASSERT ((double)budget.extra_attempts > 0.024 * (double)budget.first_requests);
  CU_ASSERT (budget.denied > 0);
}

/* Simulates queries, one of which ends each millisecond with the given overload. */
static void
simulate_queries (jd_overload_guard_t *guard, uint32_t count, double overload,
                  int64_t *now_us)
{
  for (uint32_t i = 0; i < count; i++)
    {
      while (guard->running < 40 && jd_overload_guard_enter (guard))
        ;
      *now_us += JD_US_PER_MS;
      jd_overload_guard_leave (guard, overload, 20 * JD_US_PER_MS, *now_us);
    }
}

/* Guards against queries that are not limited under overload, that are limited because of
 * one slow shard, or that stay limited after the overload. */
static void
limit_falls_under_overload_and_rises_after_it (void)
{
  jd_overload_guard_t guard = { 0 };
  int64_t now_us = JD_US_PER_S;
  simulate_queries (&guard, 500, 0.05, &now_us);
  CU_ASSERT_EQUAL (guard.refused, 0);
  simulate_queries (&guard, 500, 1.0, &now_us);
  CU_ASSERT (guard.limit < 5);
  CU_ASSERT (guard.refused > 0);
  simulate_queries (&guard, 8000, 0.0, &now_us);
  CU_ASSERT (guard.limit > 40);
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "extra attempts stay within the fraction",
      extra_attempts_stay_within_the_fraction },
    { "limit falls under overload and rises after it",
      limit_falls_under_overload_and_rises_after_it },
  };
  return JD_TEST_RUN ("extra_load", cases);
}
