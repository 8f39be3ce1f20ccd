#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "support/test_main.h"

/* Returns the output of a program's --help; free with g_free. */
static char *
help_of (const char *program)
{
  const char *folder = g_getenv ("JACKDAW_BUILD_DIR");
  char *command = g_strdup_printf ("%s/%s --help", folder ? folder : "build", program);
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

/* Guards against settings that docs/operators.md does not list. Runs from the source
 * folder. */
static void
every_setting_is_listed (void)
{
  const char *const programs[] = { "jackdaw-entry", "jackdaw-broker" };
  char *page = NULL;
  CU_ASSERT_FATAL (g_file_get_contents ("docs/operators.md", &page, NULL, NULL));
  uint32_t flags = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (programs); i++)
    {
      char *help = help_of (programs[i]);
      char **words = g_strsplit_set (help, " =\n,[]", -1);
      for (char **word = words; *word; word++)
        {
          if (!g_str_has_prefix (*word, "--"))
            continue;
          char *listed = g_strdup_printf ("`%s`", *word);
          if (!strstr (page, listed))
            printf ("%s of %s is not listed ", *word, programs[i]);
          CU_ASSERT (strstr (page, listed) != NULL);
          g_free (listed);
          flags++;
        }
      g_strfreev (words);
      g_free (help);
    }
  CU_ASSERT (flags >= 20);
  g_free (page);
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "every setting is listed", every_setting_is_listed },
  };
  return JD_TEST_RUN ("operators_page", cases);
}
