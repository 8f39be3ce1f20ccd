#include "support/load_scenario.h"

#include <glib/gstdio.h>
#include <string.h>

#include "support/test_main.h"

#define VALID_TEXT                                                                       \
  "[tier]\nshards=20\nreplicas=2\n[search]\nwork-ms=15\nobjective-ms=120\n"              \
  "deadline-ms=800\n[callers]\nsearches-per-s=90\nduration-ms=8000\n"

/* Reads a scenario from a text. Returns the error message, to be freed with g_free, or
 * NULL if the scenario is valid. */
static char *
read_text (const char *text, jd_search_load_t *load)
{
  char *path = g_build_filename (g_get_tmp_dir (), "jackdaw-scenario-XXXXXX", NULL);
  int fd = g_mkstemp (path);
  CU_ASSERT_TRUE_FATAL (fd >= 0);
  g_close (fd, NULL);
  g_file_set_contents (path, text, -1, NULL);
  GError *error = NULL;
  bool ok = jd_load_scenario_read (path, load, &error);
  CU_ASSERT_TRUE (ok == (error == NULL));
  char *message = error ? g_strdup (error->message) : NULL;
  g_clear_error (&error);
  g_unlink (path);
  g_free (path);
  return message;
}

/* Guards against a value that is not stored or is stored in the member of another key. */
static void
values_are_stored_in_their_members (void)
{
  jd_search_load_t load;
  CU_ASSERT_PTR_NULL (read_text (VALID_TEXT "wave=0.25\nburst-factor=3\n", &load));
  CU_ASSERT_EQUAL (load.shards, 20);
  CU_ASSERT_EQUAL (load.slots, 2); /* Default value. */
  CU_ASSERT_EQUAL (load.deadline_ms, 800);
  CU_ASSERT_DOUBLE_EQUAL (load.wave_amplitude, 0.25, 0.0);
  CU_ASSERT_DOUBLE_EQUAL (load.burst_factor, 3.0, 0.0);
}

/* Guards against an invalid file that runs as a different scenario. */
static void
invalid_files_are_refused_with_the_key (void)
{
  static const struct
  {
    const char *text;
    const char *expected_text;
  } cases[] = {
    { VALID_TEXT "wawe=0.2\n", "[callers] wawe" },
    { VALID_TEXT "[teir]\nshards=3\n", "[teir] shards" },
    { VALID_TEXT "retries=1.5\n", "[callers] retries" },
    { VALID_TEXT "retries=two\n", "[callers] retries" },
    { VALID_TEXT "retries=\n", "[callers] retries" },
    { VALID_TEXT "wave=1.5\n", "from 0 to 1" },
    { VALID_TEXT "[trouble]\npause-ms=150\n", "pause-every-ms" },
    { "[tier]\nshards=20\nreplicas=2\n", "[search] work-ms" },
    { "shards=20\n", "" },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      jd_search_load_t load;
      char *message = read_text (cases[i].text, &load);
      CU_ASSERT_PTR_NOT_NULL (message);
      CU_ASSERT_TRUE (message && strstr (message, cases[i].expected_text));
      if (message && !strstr (message, cases[i].expected_text))
        printf ("expected an error with \"%s\", got: %s\n", cases[i].expected_text,
                message);
      g_free (message);
    }
}

/* Guards against a scenario of the bench report that cannot be run. */
static void
scenarios_of_the_report_are_valid (void)
{
  uint32_t count = 0;
  const char *name;
  GDir *dir = g_dir_open ("bench/scenarios", 0, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (dir);
  while ((name = g_dir_read_name (dir)))
    {
      char *path = g_build_filename ("bench/scenarios", name, NULL);
      jd_search_load_t load;
      CU_ASSERT_TRUE (jd_load_scenario_read (path, &load, NULL));
      g_free (path);
      count++;
    }
  g_dir_close (dir);
  CU_ASSERT_TRUE (count > 0);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "values are stored in their members", values_are_stored_in_their_members },
    { "invalid files are refused with an error that names the key",
      invalid_files_are_refused_with_the_key },
    { "scenarios of the report are valid", scenarios_of_the_report_are_valid },
  };
  return JD_TEST_RUN ("load_scenario", cases);
}
