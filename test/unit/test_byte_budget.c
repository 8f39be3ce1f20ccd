#include "limits/byte_budget.h"

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

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "largest holder is cut first", largest_holder_is_cut_first },
  };
  return JD_TEST_RUN ("byte_budget", cases);
}
