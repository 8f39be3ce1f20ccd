#include "routing/extra_admission.h"

#include "support/test_main.h"

/* Guards against searches that are rejected because of shards that need no extra
 * attempts, or few. */
static void
shards_without_need_are_expected (void)
{
  jd_part_need_t parts[] = { { .extra_attempts = 0.0 },
                             { .extra_attempts = 0.1 },
                             { .extra_attempts = 1.5, .available = 1.5 } };
  CU_ASSERT_DOUBLE_EQUAL (jd_extra_admission_expected_parts (parts, 3), 3.0, 0.001);
}

/* Guards against searches that are admitted although their shards cannot complete them:
 * of a shard whose targets reject 0.6 of the requests, a part without extra attempts is
 * answered in 0.4 of the cases. */
static void
scarce_shards_are_expected_by_share (void)
{
  jd_part_need_t parts[] = { { .extra_attempts = 1.5 },
                             { .extra_attempts = 1.5, .available = 0.75 },
                             { .extra_attempts = 1.5, .available = -1.0 } };
  CU_ASSERT_DOUBLE_EQUAL (jd_extra_admission_expected_parts (parts, 1), 0.4, 0.001);
  CU_ASSERT_DOUBLE_EQUAL (jd_extra_admission_expected_parts (parts + 1, 1), 0.7, 0.001);
  CU_ASSERT_DOUBLE_EQUAL (jd_extra_admission_expected_parts (parts + 2, 1), 0.4, 0.001);
}

/* Guards against searches that are admitted although a part gets too few attempts. */
static void
attempts_of_a_part_are_limited (void)
{
  jd_part_need_t part = { .extra_attempts = 4.0, .available = 9.0, .attempts_max = 7 };
  CU_ASSERT_DOUBLE_EQUAL (jd_extra_admission_expected_parts (&part, 1), 0.79, 0.01);
}

/* Guards against an order of ranks by which less urgent searches take what urgent ones
 * need. */
static void
urgent_searches_may_use_most (void)
{
  CU_ASSERT_EQUAL (jd_extra_admission_limit_share (JD_EXTRA_RANK_URGENT), 1.0);
  CU_ASSERT_TRUE (jd_extra_admission_limit_share (JD_EXTRA_RANK_NORMAL) < 1.0);
  CU_ASSERT_TRUE (jd_extra_admission_limit_share (JD_EXTRA_RANK_OPTIONAL) <
                  jd_extra_admission_limit_share (JD_EXTRA_RANK_NORMAL));
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "shards without need are expected", shards_without_need_are_expected },
    { "scarce shards are expected by share", scarce_shards_are_expected_by_share },
    { "attempts of a part are limited", attempts_of_a_part_are_limited },
    { "urgent searches may use most", urgent_searches_may_use_most },
  };
  return JD_TEST_RUN ("extra_admission", cases);
}
