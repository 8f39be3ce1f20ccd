#include "routing/rejection_rate.h"

#include "base/clock.h"
#include "support/test_main.h"

/* Guards against a target that is avoided because of one rejection, which may be a race
 * for its last slot, and against one that rejects most requests and is not known for it.
 */
static void
share_follows_the_evidence (void)
{
  jd_rejection_rate_t rate = { 0 };
  int64_t now_us = 10 * JD_US_PER_S;
  CU_ASSERT_EQUAL (jd_rejection_rate_share (&rate, now_us), 0.0);
  jd_rejection_rate_record (&rate, true, now_us);
  CU_ASSERT_TRUE (jd_rejection_rate_share (&rate, now_us) < 0.35);
  for (int i = 0; i < 50; i++)
    jd_rejection_rate_record (&rate, i % 5 < 3, now_us);
  double share = jd_rejection_rate_share (&rate, now_us);
  CU_ASSERT_TRUE (share > 0.55 && share < 0.62);
}

/* Guards against a target that is avoided for ever: without requests nobody learns that
 * it has recovered. */
static void
evidence_decays (void)
{
  jd_rejection_rate_t rate = { 0 };
  int64_t now_us = 10 * JD_US_PER_S;
  for (int i = 0; i < 40; i++)
    jd_rejection_rate_record (&rate, true, now_us);
  CU_ASSERT_TRUE (jd_rejection_rate_share (&rate, now_us + JD_US_PER_S) > 0.8);
  CU_ASSERT_TRUE (jd_rejection_rate_share (&rate, now_us + 12 * JD_US_PER_S) < 0.05);
}

/* Guards against answers that are counted twice, and against reports of targets that
 * reject nothing, which would be sent all the time. */
static void
reports_tell_of_rejecting_targets_only (void)
{
  jd_rejection_rate_t rate = { 0 }, other = { 0 };
  jd_rejection_count_t count;
  jd_rejection_rate_record (&rate, false, 1);
  CU_ASSERT_FALSE (jd_rejection_rate_collect_report (&rate, &count));
  for (int i = 0; i < 10; i++)
    jd_rejection_rate_record (&rate, true, 1);
  CU_ASSERT_TRUE (jd_rejection_rate_collect_report (&rate, &count));
  CU_ASSERT_EQUAL (count.rejections, 10);
  jd_rejection_rate_apply_report (&other, &count, 1);
  CU_ASSERT_DOUBLE_EQUAL (jd_rejection_rate_share (&other, 1), 10.0 / 12.0, 0.01);
  CU_ASSERT_FALSE (jd_rejection_rate_collect_report (&rate, &count));
  CU_ASSERT_FALSE (jd_rejection_rate_collect_report (&other, &count));
}

/* Guards against a report with more rejections than answers. */
static void
bad_reports_stay_in_range (void)
{
  jd_rejection_rate_t rate = { 0 };
  jd_rejection_count_t count = { .answers = 3, .rejections = 60000 };
  jd_rejection_rate_apply_report (&rate, &count, 1);
  CU_ASSERT_TRUE (jd_rejection_rate_share (&rate, 1) <= 0.9);
  CU_ASSERT_TRUE (jd_rejection_rate_extra_attempts (5.0) <= 9.01);
  CU_ASSERT_DOUBLE_EQUAL (jd_rejection_rate_extra_attempts (0.6), 1.5, 0.001);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "share follows the evidence", share_follows_the_evidence },
    { "evidence decays", evidence_decays },
    { "reports tell of rejecting targets only", reports_tell_of_rejecting_targets_only },
    { "bad reports stay in range", bad_reports_stay_in_range },
  };
  return JD_TEST_RUN ("rejection_rate", cases);
}
