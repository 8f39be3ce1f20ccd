#include "membership/removal_doubt.h"

#include "base/clock.h"
#include "support/test_main.h"

static const jd_removal_doubt_t doubt = {
  .max_share = 0.1,
  .unread_max_us = 2400 * JD_US_PER_MS,
  .hold_us = 5000 * JD_US_PER_MS,
  .short_hold_us = 2000 * JD_US_PER_MS,
};

/* Returns the hold time for removals of a fleet of 700 targets. */
static int64_t
hold_us (uint32_t removed, int64_t unread_ms)
{
  jd_removal_batch_t batch = { .removed = removed,
                               .records = 700,
                               .unread_us = unread_ms * JD_US_PER_MS };
  return jd_removal_doubt_hold_us (&doubt, &batch);
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

/* Guards against the loss of all targets when their records expire together. If the store
 * was read all the time, they may really have left, and must get no requests soon. */
static void
many_removals_are_held (void)
{
  CU_ASSERT_EQUAL (hold_us (71, 1000), doubt.short_hold_us);
  CU_ASSERT_EQUAL (hold_us (71, 2400), doubt.short_hold_us);
  CU_ASSERT_EQUAL (hold_us (71, 2401), doubt.hold_us);
  CU_ASSERT_EQUAL (hold_us (700, 3000), doubt.hold_us);
}

/* Guards against removals that are held in a small fleet, where one target is more than
 * the share. */
static void
small_fleets_lose_single_targets (void)
{
  jd_removal_batch_t batch = { .removed = 4, .records = 6 };
  CU_ASSERT_EQUAL (jd_removal_doubt_hold_us (&doubt, &batch), 0);
  batch.removed = 5;
  CU_ASSERT_EQUAL (jd_removal_doubt_hold_us (&doubt, &batch), doubt.short_hold_us);
}

/* Guards against a switch that does not switch off. */
static void
share_of_one_believes_all (void)
{
  jd_removal_doubt_t off = doubt;
  off.max_share = 1.0;
  jd_removal_batch_t batch = { .removed = 700, .records = 700, .unread_us = 9000000 };
  CU_ASSERT_EQUAL (jd_removal_doubt_hold_us (&off, &batch), 0);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "few removals are believed", few_removals_are_believed },
    { "many removals are held", many_removals_are_held },
    { "small fleets lose single targets", small_fleets_lose_single_targets },
    { "share of one believes all", share_of_one_believes_all },
  };
  return JD_TEST_RUN ("removal_doubt", cases);
}
