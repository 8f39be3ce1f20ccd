#include "store_page.h"

#include <string.h>

#include "support/damage.h"
#include "support/test_main.h"

#define NESTED_DEPTH 100000

/* Parses a page of items; returns whether that succeeded. */
static bool
parse (jd_store_page_t *page, const GString *text)
{
  return jd_store_page_parse (page, text->str, text->len, "items");
}

/* Returns a page of two good items with an odd one between them; free it. */
static GString *
page_around (const char *odd, size_t odd_size, const char *as_of)
{
  GString *text =
      g_string_new ("{\"items\":[{\"key\":\"a\",\"value\":\"eA==\",\"revision\":3},");
  g_string_append_len (text, odd, (gssize)odd_size);
  g_string_append_printf (text,
                          ", {\"key\":\"b\",\"value\":\"eA==\",\"revision\":5}],"
                          "\"truncated\":true,\"asOf\":%s}",
                          as_of);
  return text;
}

/* Returns an item whose value is nested deeper than any parser follows; free it. */
static GString *
nested_item (void)
{
  GString *text = g_string_new ("{\"key\":\"n\",\"revision\":4,\"value\":");
  for (int i = 0; i < NESTED_DEPTH; i++)
    g_string_append (text, i % 2 ? "{\"x\":" : "[");
  g_string_append (text, "1");
  for (int i = NESTED_DEPTH; i > 0; i--)
    g_string_append (text, i % 2 ? "]" : "}");
  return g_string_append_c (text, '}');
}

/* Checks that only the odd item is left out. */
static void
check_left_out (const char *odd, size_t odd_size)
{
  GString *text = page_around (odd, odd_size, "9");
  jd_store_page_t page;
  CU_ASSERT_TRUE (parse (&page, text));
  CU_ASSERT_EQUAL_FATAL (page.items->len, 2);
  CU_ASSERT_STRING_EQUAL (
      json_string_value (json_object_get (page.items->pdata[0], "key")), "a");
  CU_ASSERT_STRING_EQUAL (
      json_string_value (json_object_get (page.items->pdata[1], "key")), "b");
  CU_ASSERT_EQUAL (page.skipped, 1);
  CU_ASSERT_EQUAL (page.as_of, 9);
  CU_ASSERT_TRUE (page.is_truncated);
  jd_store_page_clear (&page);
  g_string_free (text, TRUE);
}

/* Guards against one odd item that hides the others of its page: numbers that are too
 * large, nesting that is too deep, zero bytes and invalid UTF-8, wrong types. */
static void
odd_items_are_left_out_alone (void)
{
  static const char *const odd[] = {
    "{\"key\":\"n\",\"value\":\"eA==\",\"revision\":1e300}",
    "{\"key\":\"n\",\"value\":\"eA==\",\"revision\":1e400}",
    "{\"key\":\"n\",\"value\":\"eA==\",\"revision\":9223372036854775808}",
    "{\"key\":\"n\",\"value\":\"eA==\",\"revision\":9223372036854775807}",
    "{\"key\":\"n\",\"value\":\"eA==\",\"revision\":-1}",
    "{\"key\":\"n\",\"value\":\"eA==\",\"revision\":10}",
    "{\"key\":\"n\",\"value\":\"eA==\",\"revision\":\"4\"}",
    "{\"key\":\"n\",\"value\":\"eA==\",\"revision\":4,\"extra\":1e999}",
    "{\"key\":\"n\\u0000m\",\"value\":\"eA==\",\"revision\":4}",
    "{\"key\":\"n\xff\xfe\",\"value\":\"eA==\",\"revision\":4}",
    "{\"key\":\"]}\\\"\\\\\",\"value\":[\"]\",{}],\"revision\":4e}",
    "{\"key\":\"n\",\"value\":\"eA==\"}",
    "{}",
    "[]",
    "null",
    "7",
    "\"text\"",
    "nonsense",
  };
  for (size_t i = 0; i < G_N_ELEMENTS (odd); i++)
    check_left_out (odd[i], strlen (odd[i]));
  static const char zero[] = "{\"key\":\"n\0m\",\"value\":\"eA==\",\"revision\":4}";
  check_left_out (zero, sizeof (zero) - 1);
  GString *nested = nested_item ();
  check_left_out (nested->str, nested->len);
  g_string_free (nested, TRUE);
}

/* Guards against a page that is lost, or taken as complete up to a revision that the
 * store never reaches, because its own revision is odd. */
static void
odd_revision_of_a_page_is_replaced (void)
{
  static const char *const odd[] = {
    "1e300", "1e400", "9223372036854775808", "9223372036854775807", "-1", "\"9\"",
    "null",  "[]"
  };
  static const char good[] = "{\"key\":\"n\",\"value\":\"eA==\",\"revision\":4}";
  for (size_t i = 0; i < G_N_ELEMENTS (odd); i++)
    {
      GString *text = page_around (good, strlen (good), odd[i]);
      jd_store_page_t page;
      CU_ASSERT_TRUE (parse (&page, text));
      CU_ASSERT_EQUAL (page.as_of, 5);
      CU_ASSERT_EQUAL (page.items->len, 3);
      jd_store_page_clear (&page);
      g_string_free (text, TRUE);
    }
}

/* Guards against texts that are taken for a page although they are none. */
static void
other_texts_are_no_pages (void)
{
  static const char *const texts[] = { "",
                                       " ",
                                       "[]",
                                       "nonsense",
                                       "{",
                                       "{}",
                                       "{\"items\":[]}",
                                       "{\"asOf\":1e400}",
                                       "{\"items\":[1e400]}",
                                       "\"" };
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      jd_store_page_t page;
      CU_ASSERT_FALSE (jd_store_page_parse (&page, texts[i], strlen (texts[i]), "items"));
      jd_store_page_clear (&page);
    }
}

/* Guards against a crash on corrupt pages, and against items with a revision that the
 * page does not reach. */
static void
corrupt_pages_are_read_without_crash (void)
{
  jd_philox_t state = { .seed = 5 };
  jd_rng_t rng = jd_philox_rng (&state);
  static const char good[] = "{\"key\":\"n\",\"value\":[\"\\u00e9\",{}],\"revision\":4}";
  GString *text = page_around (good, strlen (good), "9");
  uint64_t rounds = jd_corruption_rounds (3000);
  for (uint64_t round = 0; round < rounds; round++)
    {
      char *copy = g_memdup2 (text->str, text->len);
      jd_corrupt_bytes (copy, text->len, 1 + jd_rng_below (&rng, 6),
                        round % 2 ? NULL : "0123456789{}[]\",:e-.\\ ", &rng);
      size_t size = text->len - jd_rng_below (&rng, 1 + round % 3 * 40);
      jd_store_page_t page;
      if (jd_store_page_parse (&page, copy, size, "items"))
        for (guint i = 0; i < page.items->len; i++)
          CU_ASSERT_TRUE (json_integer_value (json_object_get (
                              page.items->pdata[i], "revision")) <= page.as_of);
      jd_store_page_clear (&page);
      g_free (copy);
    }
  g_string_free (text, TRUE);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "odd items are left out alone", odd_items_are_left_out_alone },
    { "odd revision of a page is replaced", odd_revision_of_a_page_is_replaced },
    { "other texts are no pages", other_texts_are_no_pages },
    { "corrupt pages are read without a crash", corrupt_pages_are_read_without_crash },
  };
  return JD_TEST_RUN ("store_page", cases);
}
