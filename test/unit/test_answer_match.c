#include "routing/answer_match.h"

#include "base/invariant.h"
#include "support/test_main.h"

/* Counts the invariants that failed. */
static void
count_failure (void *context, const char *rule, const char *condition, const char *file,
               int line)
{
  (*(uint32_t *)context)++;
}

/* Guards against a late copy of a rejection that counts as the answer to the next attempt
 * of the same edit, which then runs twice (review/6): attempts of a request never share a
 * connection. */
static void
connection_carries_one_attempt_of_a_request (void)
{
  jd_answer_match_t first, second;
  uint32_t failures = 0;
  jd_invariant_set_handler (count_failure, &failures);
  jd_answer_match_init (&first, "r1");
  jd_answer_match_init (&second, "r2");
  jd_answer_match_use (&first, 7);
  jd_answer_match_use (&second, 7);
  jd_answer_match_use (&first, 8);
  CU_ASSERT_FALSE (jd_answer_match_may_use (&first, 7));
  CU_ASSERT_FALSE (jd_answer_match_may_use (&first, 8));
  CU_ASSERT_TRUE (jd_answer_match_may_use (&first, 9));
  CU_ASSERT_TRUE (jd_answer_match_may_use (&second, 8));
  CU_ASSERT_EQUAL (failures, 0);
  jd_answer_match_use (&first, 7);
  CU_ASSERT_EQUAL (failures, 1);
  jd_invariant_set_handler (NULL, NULL);
  jd_answer_match_clear (&first);
  jd_answer_match_clear (&second);
}

/* Guards against answers that are taken for those of another request. */
static void
answers_are_told_apart_by_their_id (void)
{
  jd_answer_match_t match;
  jd_answer_match_init (&match, "r1");
  CU_ASSERT_EQUAL (jd_answer_match_owner (&match, "r1"), JD_ANSWER_OWN);
  CU_ASSERT_EQUAL (jd_answer_match_owner (&match, "r2"), JD_ANSWER_OTHER);
  CU_ASSERT_EQUAL (jd_answer_match_owner (&match, "r12"), JD_ANSWER_OTHER);
  CU_ASSERT_EQUAL (jd_answer_match_owner (&match, ""), JD_ANSWER_OTHER);
  CU_ASSERT_EQUAL (jd_answer_match_owner (&match, NULL), JD_ANSWER_UNKNOWN);
  jd_answer_match_clear (&match);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "connection carries one attempt of a request",
      connection_carries_one_attempt_of_a_request },
    { "answers are told apart by their id", answers_are_told_apart_by_their_id },
  };
  return JD_TEST_RUN ("answer_match", cases);
}
