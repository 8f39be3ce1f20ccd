#include "membership/removal_doubt.h"

#include "base/clock.h"
#include "support/test_main.h"

#define NOW_US (100 * JD_US_PER_S)

static const jd_removal_doubt_t doubt = {
  .max_share = 0.1,
  .drain_limit_us = 5 * JD_US_PER_S,
};

/* Returns the hold time for removals of a fleet of 700 targets, whose records were last
 * current some time ago. */
static int64_t
hold_us (uint32_t removed, int64_t unread_ms)
{
  jd_removal_batch_t batch = { .removed = removed,
                               .records = 700,
                               .as_of_us = NOW_US - unread_ms * JD_US_PER_MS };
  int64_t until_us = jd_removal_doubt_hold_until_us (&doubt, &batch, NOW_US);
  return until_us > 0 ? until_us - NOW_US : 0;
}

/* Guards against targets that get requests for longer than they may because their
 * removals are held: single ones leave all the time, also while the reader of a zone is
 * slow. */
static void
few_removals_are_believed (void)
{
  CU_ASSERT_EQUAL (hold_us (1, 0), 0);
  CU_ASSERT_EQUAL (hold_us (70, 0), 0);
  CU_ASSERT_EQUAL (hold_us (70, 60000), 0);
}

/* Guards against the loss of all targets when their records vanish together. If the store
 * was read all the time, they may really have left, and must get no requests soon. */
static void
many_removals_are_held (void)
{
  CU_ASSERT_EQUAL (hold_us (71, 1000), 2 * JD_US_PER_S);
  CU_ASSERT_EQUAL (hold_us (700, 2400), 2 * JD_US_PER_S);
}

/* Guards against requests to targets that left long ago: the wait until the host read of
 * the removals and the hold were added up (review/12). */
static void
hold_and_wait_before_it_share_the_drain_limit (void)
{
  CU_ASSERT_EQUAL (hold_us (71, 3000), 1500 * JD_US_PER_MS);
  CU_ASSERT_EQUAL (hold_us (71, 4400), 100 * JD_US_PER_MS);
  CU_ASSERT_EQUAL (hold_us (71, 4500), 0);
  CU_ASSERT_EQUAL (hold_us (700, 60000), 0);
  for (int64_t unread_ms = 0; unread_ms < 10000; unread_ms += 10)
    CU_ASSERT_TRUE (unread_ms * JD_US_PER_MS + hold_us (700, unread_ms) <
                        doubt.drain_limit_us ||
                    hold_us (700, unread_ms) == 0);
}

/* Guards against removals that are held in a small fleet, where one target is more than
 * the share. */
static void
small_fleets_lose_single_targets (void)
{
  jd_removal_batch_t batch = { .removed = 4, .records = 6, .as_of_us = NOW_US };
  CU_ASSERT_EQUAL (jd_removal_doubt_hold_until_us (&doubt, &batch, NOW_US), 0);
  batch.removed = 5;
  CU_ASSERT_EQUAL (jd_removal_doubt_hold_until_us (&doubt, &batch, NOW_US),
                   NOW_US + 2 * JD_US_PER_S);
}

/* Guards against a switch that does not switch off. */
static void
share_of_one_believes_all (void)
{
  jd_removal_doubt_t off = doubt;
  off.max_share = 1.0;
  jd_removal_batch_t batch = { .removed = 700, .records = 700, .as_of_us = NOW_US };
  CU_ASSERT_EQUAL (jd_removal_doubt_hold_until_us (&off, &batch, NOW_US), 0);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "few removals are believed", few_removals_are_believed },
    { "many removals are held", many_removals_are_held },
    { "hold and wait before it share the drain limit",
      hold_and_wait_before_it_share_the_drain_limit },
    { "small fleets lose single targets", small_fleets_lose_single_targets },
    { "share of one believes all", share_of_one_believes_all },
  };
  return JD_TEST_RUN ("removal_doubt", cases);
}
