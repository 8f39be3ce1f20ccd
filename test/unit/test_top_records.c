#include "routing/top_records.h"

#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "support/test_main.h"

static int
compare_descending (const void *left, const void *right)
{
  return memcmp (right, left, JD_RECORD_BYTES);
}

/* Guards against lost, duplicated or misplaced records: the kept records equal the first
 * ones of a full sort, including equal records, and a remainder shorter than a record is
 * ignored. */
static void
kept_records_equal_a_full_sort (void)
{
  jd_philox_t state = { .seed = 3 };
  jd_rng_t rng = jd_philox_rng (&state);
  for (int round = 0; round < 300; round++)
    {
      uint32_t limit = (uint32_t)jd_rng_below (&rng, 30);
      uint32_t parts = (uint32_t)jd_rng_below (&rng, 20);
      jd_top_records_t *top = jd_top_records_new (limit);
      GString *all = g_string_new (NULL);
      for (uint32_t part = 0; part < parts; part++)
        {
          GString *text = g_string_new (NULL);
          uint32_t count = (uint32_t)jd_rng_below (&rng, 12);
          for (uint32_t i = 0; i < count * JD_RECORD_BYTES; i++)
            g_string_append_c (
                text, (char)(i % JD_RECORD_BYTES < 14 ? 200 : jd_rng_below (&rng, 256)));
          g_string_append_len (all, text->str, (gssize)text->len);
          g_string_append_len (text, "remainder", (gssize)jd_rng_below (&rng, 9));
          jd_top_records_add (top, text->str, text->len);
          g_string_free (text, TRUE);
        }
      size_t total = all->len / JD_RECORD_BYTES;
      qsort (all->str, total, JD_RECORD_BYTES, compare_descending);
      GString *body = g_string_new (NULL);
      jd_top_records_render (top, body);
      CU_ASSERT_EQUAL (body->len, MIN (total, limit) * JD_RECORD_BYTES);
      CU_ASSERT_EQUAL (memcmp (body->str, all->str, body->len), 0);
      g_string_free (body, TRUE);
      g_string_free (all, TRUE);
      jd_top_records_free (top);
    }
}

int
main (void)
{
  static const jd_test_case_t cases[] = { { "kept records equal a full sort",
                                            kept_records_equal_a_full_sort } };
  return JD_TEST_RUN ("top_records", cases);
}
