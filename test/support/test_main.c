#include "support/test_main.h"

/* Returns EXIT_FAILURE if an assertion or CUnit itself fails, or without any cases. */
int
jd_test_run (const char *suite, const jd_test_case_t *cases, uint32_t count)
{
  if (CU_initialize_registry () != CUE_SUCCESS)
    return EXIT_FAILURE;
  CU_pSuite cunit_suite = CU_add_suite (suite, NULL, NULL);
  for (uint32_t i = 0; cunit_suite && i < count; i++)
    {
      if (!CU_add_test (cunit_suite, cases[i].name, cases[i].run))
        return EXIT_FAILURE;
    }
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_ErrorCode run_result = CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return run_result == CUE_SUCCESS && failures == 0 && count > 0 ? EXIT_SUCCESS
                                                                 : EXIT_FAILURE;
}
