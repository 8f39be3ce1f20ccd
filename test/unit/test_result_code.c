#include "base/result_code.h"

#include <glib.h>
#include <string.h>

#include "support/test_main.h"

/* Guards against a client library that retries a request which may have run: a result
 * with an unknown outcome needs a status that client libraries do not retry for POST. A
 * code that the table lacks is reported as JD_INTERNAL. */
static void
unknown_outcome_is_not_retried (void)
{
  CU_ASSERT_EQUAL (jd_result_info (JD_OUTCOME_UNKNOWN)->http_status, 504);
  CU_ASSERT_EQUAL (jd_result_info (JD_DEADLINE_EXCEEDED)->http_status, 504);
  CU_ASSERT_EQUAL (jd_result_info ((jd_result_code_t)9999)->code, JD_INTERNAL);
}

/* Guards against two results that share a number or a name. */
static void
codes_and_names_are_unique (void)
{
  uint32_t count;
  const jd_result_info_t *table = jd_result_table (&count);
  CU_ASSERT (count > 0);
  for (uint32_t i = 0; i < count; i++)
    {
      for (uint32_t j = i + 1; j < count; j++)
        {
          CU_ASSERT_NOT_EQUAL (table[i].code, table[j].code);
          CU_ASSERT (strcmp (table[i].name, table[j].name) != 0);
        }
    }
}

/* Guards against rows of the result table that are missing in docs/errors.md. Runs in the
 * source directory. */
static void
documentation_has_every_code (void)
{
  char *page = NULL;
  CU_ASSERT_FATAL (g_file_get_contents ("docs/errors.md", &page, NULL, NULL));
  uint32_t count;
  const jd_result_info_t *table = jd_result_table (&count);
  for (uint32_t i = 0; i < count; i++)
    {
      char *row = g_strdup_printf ("| %d | `%s` | %u | %s |\n", table[i].code,
                                   table[i].name, table[i].http_status,
                                   *table[i].advice ? table[i].advice : "-");
      CU_ASSERT (strstr (page, row) != NULL);
      g_free (row);
    }
  g_free (page);
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "unknown outcome is not retried", unknown_outcome_is_not_retried },
    { "codes and names are unique", codes_and_names_are_unique },
    { "documentation has every code", documentation_has_every_code },
  };
  return JD_TEST_RUN ("result_code", cases);
}
