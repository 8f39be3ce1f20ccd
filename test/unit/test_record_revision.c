#include "membership/record_revision.h"

#include "support/test_main.h"

/* Guards against hosts that stay on the records of an earlier generation because their
 * revision numbers are higher. */
static void
later_generations_are_greater (void)
{
  int64_t last = jd_record_revision (1, JD_REVISION_NUMBER_MAX);
  int64_t first = jd_record_revision (2, 1);
  CU_ASSERT_TRUE (first > last);
  CU_ASSERT_TRUE (jd_record_revision (2, 2) > first);
  CU_ASSERT_TRUE (
      jd_record_revision (JD_REVISION_GENERATION_MAX, JD_REVISION_NUMBER_MAX) > first);
}

/* Guards against a request for the changes after a revision that the store never gave
 * out. A store without generations has the revisions as they are. */
static void
positions_give_back_their_parts (void)
{
  static const uint32_t generations[] = { 0, 1, 7, JD_REVISION_GENERATION_MAX };
  static const int64_t numbers[] = { 0, 1, 12345, JD_REVISION_NUMBER_MAX };
  for (size_t i = 0; i < G_N_ELEMENTS (generations); i++)
    {
      for (size_t k = 0; k < G_N_ELEMENTS (numbers); k++)
        {
          int64_t revision = jd_record_revision (generations[i], numbers[k]);
          CU_ASSERT_EQUAL (jd_record_revision_generation (revision), generations[i]);
          CU_ASSERT_EQUAL (jd_record_revision_number (revision), numbers[k]);
        }
    }
  CU_ASSERT_EQUAL (jd_record_revision (0, 99), 99);
  CU_ASSERT_EQUAL (jd_record_revision_generation (-1), 0);
  CU_ASSERT_EQUAL (jd_record_revision_number (-1), -1);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "later generations are greater", later_generations_are_greater },
    { "positions give back their parts", positions_give_back_their_parts },
  };
  return JD_TEST_RUN ("record_revision", cases);
}
