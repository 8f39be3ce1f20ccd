#include "limits/byte_budget.h"

#include <string.h>

#include "base/rng.h"
#include "support/test_main.h"

/* Guards against a total that does not follow its holders, against a cut within the
 * limit, and against the cut of a holder that holds less than another. */
static void
largest_holder_is_cut_first (void)
{
  jd_byte_budget_t budget;
  jd_byte_holder_t small = { .bytes = 0 }, large = { .bytes = 0 }, grows = { .bytes = 0 };
  jd_byte_budget_init (&budget, 100);
  jd_byte_budget_set (&budget, &small, 10);
  jd_byte_budget_set (&budget, &large, 60);
  jd_byte_budget_set (&budget, &grows, 30);
  CU_ASSERT_EQUAL (budget.held_bytes, 100);
  CU_ASSERT_PTR_NULL (jd_byte_budget_excess (&budget));
  jd_byte_budget_set (&budget, &grows, 31);
  CU_ASSERT_PTR_EQUAL (jd_byte_budget_excess (&budget), &large);
  jd_byte_budget_set (&budget, &large, 0);
  CU_ASSERT_PTR_NULL (jd_byte_budget_excess (&budget));
  jd_byte_budget_set (&budget, &grows, 95);
  CU_ASSERT_PTR_EQUAL (jd_byte_budget_excess (&budget), &grows);
  jd_byte_budget_set (&budget, &grows, 0);
  jd_byte_budget_set (&budget, &small, 0);
  CU_ASSERT_EQUAL (budget.held_bytes, 0);
  CU_ASSERT_EQUAL (budget.holders.length, 0);
}

/* Guards against cutting a request that a target may have run while an unfinished upload
 * or an answer that may be repeated can give way (review/3). */
static void
protected_holders_are_cut_last (void)
{
  jd_byte_budget_t budget;
  jd_byte_holder_t running = { .is_protected = true }, upload = { .bytes = 0 };
  jd_byte_holder_t running_too = { .is_protected = true };
  jd_byte_budget_init (&budget, 100);
  jd_byte_budget_set (&budget, &running, 60);
  jd_byte_budget_set (&budget, &upload, 20);
  jd_byte_budget_set (&budget, &running_too, 70);
  CU_ASSERT_PTR_EQUAL (jd_byte_budget_excess (&budget), &upload);
  jd_byte_budget_set (&budget, &upload, 0);
  CU_ASSERT_PTR_EQUAL (jd_byte_budget_excess (&budget), &running_too);
  jd_byte_budget_set (&budget, &running_too, 0);
  CU_ASSERT_PTR_NULL (jd_byte_budget_excess (&budget));
}

/* Guards against requests that start while little of the budget is left, so that others
 * have to be cut, and against small ones that are rejected for large ones. */
static void
large_requests_start_with_room_only (void)
{
  static const struct
  {
    uint64_t protected_bytes, bytes;
    bool admitted;
  } cases[] = {
    { 0, 1000, true },  { 1, 750, false },  { 550, 200, true }, { 551, 200, false },
    { 751, 10, true },  { 751, 11, false }, { 890, 10, true },  { 891, 10, false },
    { 990, 10, false }, { 990, 11, false },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      jd_byte_budget_t budget = { .limit_bytes = 1000,
                                  .held_bytes = 1000,
                                  .protected_bytes = cases[i].protected_bytes };
      CU_ASSERT_EQUAL (jd_byte_budget_admits (&budget, cases[i].bytes, 100),
                       cases[i].admitted);
    }
}

#define RUNNING_MAX 2000

/* Guards against a running request that is cut because large and small ones, each within
 * its own limit, exceed the budget together (review/8). */
static void
admitted_requests_fit_whatever_their_sizes (void)
{
  for (uint64_t seed = 1; seed <= 50; seed++)
    {
      jd_philox_t philox = { .seed = seed };
      jd_rng_t rng = jd_philox_rng (&philox);
      static jd_byte_holder_t running[RUNNING_MAX];
      memset (running, 0, sizeof (running));
      jd_byte_budget_t budget;
      jd_byte_budget_init (&budget, 1000000);
      double large_share = jd_rng_unit (&rng);
      uint32_t admitted = 0;
      for (uint32_t i = 0; i < RUNNING_MAX; i++)
        {
          uint64_t bytes = jd_rng_unit (&rng) < large_share
                               ? 2000 + jd_rng_below (&rng, 20000)
                               : 1 + jd_rng_below (&rng, 1000);
          if (jd_rng_unit (&rng) < 0.1)
            jd_byte_budget_set (&budget, &running[jd_rng_below (&rng, i + 1)], 0);
          if (!jd_byte_budget_admits (&budget, bytes, 1000))
            continue;
          admitted++;
          jd_byte_budget_set (&budget, &running[i], bytes);
          jd_byte_budget_protect (&budget, &running[i], true);
          CU_ASSERT_PTR_NULL (jd_byte_budget_excess (&budget));
        }
      CU_ASSERT_TRUE (admitted > 50);
    }
}

/* Guards against a running request that is cut because of the bytes that callers send
 * behind their requests (review/14). */
static void
bytes_behind_requests_fit_too (void)
{
  for (uint64_t seed = 1; seed <= 50; seed++)
    {
      jd_philox_t philox = { .seed = seed };
      jd_rng_t rng = jd_philox_rng (&philox);
      static jd_byte_holder_t running[RUNNING_MAX];
      memset (running, 0, sizeof (running));
      jd_byte_budget_t budget;
      jd_byte_budget_init (&budget, 1000000);
      uint32_t admitted = 0, read = 0;
      for (uint32_t i = 0; i < 4 * RUNNING_MAX; i++)
        {
          jd_byte_holder_t *holder = &running[jd_rng_below (&rng, RUNNING_MAX)];
          uint64_t bytes = 1 + jd_rng_below (&rng, holder->is_protected ? 30000 : 2000);
          if (holder->is_protected && jd_rng_unit (&rng) < 0.1)
            {
              jd_byte_budget_protect (&budget, holder, false);
              jd_byte_budget_set (&budget, holder, 0);
            }
          else if (holder->is_protected && jd_byte_budget_reads_behind (&budget, bytes))
            {
              read++;
              jd_byte_budget_set (&budget, holder, holder->bytes + bytes);
            }
          else if (!holder->is_protected &&
                   jd_byte_budget_admits (&budget, bytes, RUNNING_MAX))
            {
              admitted++;
              jd_byte_budget_set (&budget, holder, bytes);
              jd_byte_budget_protect (&budget, holder, true);
            }
          CU_ASSERT_PTR_NULL (jd_byte_budget_excess (&budget));
        }
      CU_ASSERT_TRUE (admitted > RUNNING_MAX / 10);
      CU_ASSERT_TRUE (read > 0);
    }
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "largest holder is cut first", largest_holder_is_cut_first },
    { "protected holders are cut last", protected_holders_are_cut_last },
    { "large requests start with room only", large_requests_start_with_room_only },
    { "admitted requests fit whatever their sizes",
      admitted_requests_fit_whatever_their_sizes },
    { "bytes behind requests fit too", bytes_behind_requests_fit_too },
  };
  return JD_TEST_RUN ("byte_budget", cases);
}
