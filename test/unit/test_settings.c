#include "config/settings.h"

#include <stdlib.h>

#include "support/test_main.h"

/* Loads an integer setting, a required text setting and a flag from the given
 * arguments. */
static jd_settings_outcome_t
load_settings (int argc, char **argv, jd_setting_t settings[3])
{
  settings[0] = (jd_setting_t){ .name = "test-port",
                                .type = JD_SETTING_INTEGER,
                                .default_value = "80",
                                .min = 1,
                                .max = 99 };
  settings[1] = (jd_setting_t){ .name = "test-seat", .required = TRUE };
  settings[2] = (jd_setting_t){ .name = "test-quiet", .type = JD_SETTING_FLAG };
  jd_settings_program_t program = {
    .name = "program", .summary = "a test", .settings = settings, .setting_count = 3
  };
  return jd_settings_load (&program, argc, argv);
}

/* Guards against a wrong precedence of the flag, the environment variable and the
 * default. */
static void
flag_takes_precedence_over_environment (void)
{
  jd_setting_t settings[3];
  char *arguments[] = { "program", "--test-seat=a", "--test-port=7", "--test-quiet",
                        NULL };
  setenv ("JACKDAW_TEST_PORT", "9", 1);
  setenv ("JACKDAW_TEST_SEAT", "b", 1);
  CU_ASSERT_EQUAL (load_settings (4, arguments, settings), JD_SETTINGS_RUN);
  CU_ASSERT_EQUAL (settings[0].integer, 7);
  CU_ASSERT_STRING_EQUAL (settings[1].text, "a");
  CU_ASSERT_EQUAL (settings[2].integer, 1);
  CU_ASSERT_EQUAL (load_settings (1, arguments, settings), JD_SETTINGS_RUN);
  CU_ASSERT_EQUAL (settings[0].integer, 9);
  CU_ASSERT_STRING_EQUAL (settings[1].text, "b");
  CU_ASSERT_EQUAL (settings[2].integer, 0);
  unsetenv ("JACKDAW_TEST_PORT");
  CU_ASSERT_EQUAL (load_settings (1, arguments, settings), JD_SETTINGS_RUN);
  CU_ASSERT_EQUAL (settings[0].integer, 80);
  CU_ASSERT (!settings[0].given);
  unsetenv ("JACKDAW_TEST_SEAT");
}

/* Guards against a program that starts although a setting is missing, invalid or
 * unknown. */
static void
refuses_invalid_settings (void)
{
  jd_setting_t settings[3];
  char *invalid[][4] = {
    { "program", NULL },
    { "program", "--test-seat=a", "--test-port=100", NULL },
    { "program", "--test-seat=a", "--test-port=7x", NULL },
    { "program", "--test-seat=a", "--unknown", NULL },
    { "program", "--test-seat=", NULL },
  };
  for (unsigned i = 0; i < sizeof (invalid) / sizeof (invalid[0]); i++)
    {
      int count = 0;
      while (invalid[i][count])
        count++;
      CU_ASSERT_EQUAL (load_settings (count, invalid[i], settings),
                       JD_SETTINGS_EXIT_ERROR);
    }
  char *check[] = { "program", "--test-seat=a", "--check-settings", NULL };
  CU_ASSERT_EQUAL (load_settings (3, check, settings), JD_SETTINGS_EXIT_OK);
}

/* Guards against host names and incomplete addresses that are accepted at the start and
 * then fail when a socket is opened. */
static void
checks_addresses (void)
{
  CU_ASSERT (jd_settings_is_address ("127.0.0.1:80"));
  const char *invalid[] = {
    "localhost:80",    "127.0.0.1",    "127.0.0.1:", "127.0.0.1:0",
    "127.0.0.1:65536", "127.0.0.1:8x", ":80",        ""
  };
  for (unsigned i = 0; i < sizeof (invalid) / sizeof (invalid[0]); i++)
    CU_ASSERT (!jd_settings_is_address (invalid[i]));
  CU_ASSERT (!jd_settings_is_address (NULL));
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "flag takes precedence over environment", flag_takes_precedence_over_environment },
    { "refuses invalid settings", refuses_invalid_settings },
    { "checks addresses", checks_addresses },
  };
  return JD_TEST_RUN ("settings", cases);
}
