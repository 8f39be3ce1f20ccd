#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "support/test_main.h"

#define OPERATORS_PAGE "docs/OPERATIONS.md"

/* Returns what a program prints for --help; free with g_free. */
static char *
read_help (const char *program)
{
  const char *directory = g_getenv ("JACKDAW_BUILD_DIR");
  char *command =
      g_strdup_printf ("%s/%s --help", directory ? directory : "build", program);
  GString *text = g_string_new (NULL);
  char line[1024];
  FILE *output = popen (command, "r");
  CU_ASSERT_FATAL (output != NULL);
  while (fgets (line, sizeof (line), output))
    g_string_append (text, line);
  CU_ASSERT_EQUAL (pclose (output), 0);
  g_free (command);
  return g_string_free (text, FALSE);
}

/* Guards against settings that the operators' page does not list. Runs in the source
 * directory. */
static void
every_setting_is_listed (void)
{
  const char *const programs[] = { "jackdaw-entry", "jackdaw-broker" };
  char *page = NULL;
  CU_ASSERT_FATAL (g_file_get_contents (OPERATORS_PAGE, &page, NULL, NULL));
  uint32_t flag_count = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (programs); i++)
    {
      char *help = read_help (programs[i]);
      char **help_words = g_strsplit_set (help, " =\n,[]", -1);
      for (char **word = help_words; *word; word++)
        {
          if (!g_str_has_prefix (*word, "--"))
            continue;
          char *listed_name = g_strdup_printf ("`%s`", *word);
          if (!strstr (page, listed_name))
            printf ("%s of %s is not listed ", *word, programs[i]);
          CU_ASSERT (strstr (page, listed_name) != NULL);
          g_free (listed_name);
          flag_count++;
        }
      g_strfreev (help_words);
      g_free (help);
    }
  CU_ASSERT (flag_count >= 20);
  g_free (page);
}

/* Checks that the page lists each name that the pattern captures in the text, and returns
 * the number of names. */
static uint32_t
check_names (const char *page, const char *path, const char *text, const char *pattern)
{
  uint32_t count = 0;
  GMatchInfo *match = NULL;
  GRegex *regex = g_regex_new (pattern, 0, 0, NULL);
  CU_ASSERT_FATAL (regex != NULL);
  g_regex_match (regex, text, 0, &match);
  while (g_match_info_matches (match))
    {
      char *name = g_match_info_fetch (match, 1);
      char *listed_name = g_strdup_printf ("`%s`", name);
      char *with_labels = g_strdup_printf ("`%s{", name);
      gboolean is_listed = strstr (page, listed_name) || strstr (page, with_labels);
      if (!is_listed)
        printf ("%s of %s is not listed ", name, path);
      CU_ASSERT (is_listed);
      g_free (listed_name);
      g_free (with_labels);
      g_free (name);
      count++;
      g_match_info_next (match, NULL);
    }
  g_match_info_free (match);
  g_regex_unref (regex);
  return count;
}

/* Checks the names that the pattern captures in the .c files of a directory and returns
 * their number. */
static uint32_t
check_directory (const char *page, const char *directory, const char *pattern)
{
  uint32_t count = 0;
  const char *name;
  GDir *dir = g_dir_open (directory, 0, NULL);
  CU_ASSERT_FATAL (dir != NULL);
  while ((name = g_dir_read_name (dir)))
    {
      char *path = g_build_filename (directory, name, NULL);
      char *text = NULL;
      if (g_str_has_suffix (name, ".c") && g_file_get_contents (path, &text, NULL, NULL))
        count += check_names (page, path, text, pattern);
      g_free (text);
      g_free (path);
    }
  g_dir_close (dir);
  return count;
}

/* Checks the names that the pattern captures in all sources and returns their number. */
static uint32_t
check_sources (const char *page, const char *pattern)
{
  static const char *const directories[] = {
    "platform",       "src/base",   "src/cli",       "src/config",  "src/daemons",
    "src/membership", "src/limits", "src/transport", "src/routing",
  };
  uint32_t count = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (directories); i++)
    count += check_directory (page, directories[i], pattern);
  return count;
}

/* Guards against log events and metrics that the operators' page does not list. */
static void
every_event_and_metric_is_listed (void)
{
  char *page = NULL;
  CU_ASSERT_FATAL (g_file_get_contents (OPERATORS_PAGE, &page, NULL, NULL));
  /* A pattern without a match would check nothing, so each count must be above 0. */
  CU_ASSERT (check_sources (page, "jd_log_event\\s*\\([^,]+,\\s*\"([a-z_]+)\"") > 0);
  CU_ASSERT (check_sources (page, "\\bevent=([a-z_]+)") > 0);
  CU_ASSERT (check_sources (page, "\\b(jackdaw_[a-z_]*[a-z])\\b") > 0);
  g_free (page);
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "every setting is listed", every_setting_is_listed },
    { "every event and metric is listed", every_event_and_metric_is_listed },
  };
  return JD_TEST_RUN ("operators_page", cases);
}
