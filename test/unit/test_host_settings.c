#include "config/host_settings.h"

#include <string.h>
#include <unistd.h>

#include "support/test_main.h"

static const char valid_text[] =
    "[host]\nname=front-a-1\nzone=a\nip=127.0.0.1\nfirst-start=true\n[listen]\n"
    "callers=127.0.0.1:8189\nreadiness=127.0.0.1:8182\npeer-port=7160\n[peers]\n"
    "seeds=127.0.0.1:1, 127.0.0.2:1\n[store]\naddress=127.0.0.1:8183\n[limits]\n"
    "stop-grace-s=6\n[other]\nkey=ignored\n";

/* Loads a text as a settings file; NULL with an error if it is invalid. */
static jd_host_settings_t *
load_text (const char *text, GError **error)
{
  char path[] = "/tmp/jackdaw-settings-XXXXXX";
  int fd = mkstemp (path);
  CU_ASSERT_EQUAL (write (fd, text, strlen (text)), (ssize_t)strlen (text));
  close (fd);
  jd_host_settings_t *settings = jd_host_settings_load (path, error);
  unlink (path);
  return settings;
}

/* Guards against a setting that is read with a wrong value or unit, and against an
 * unknown key that is refused. */
static void
loads_valid_file (void)
{
  GError *error = NULL;
  jd_host_settings_t *settings = load_text (valid_text, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (settings);
  g_assert (settings != NULL);
  CU_ASSERT_STRING_EQUAL (settings->name, "front-a-1");
  CU_ASSERT_EQUAL (settings->peer_port, 7160);
  CU_ASSERT_EQUAL (g_strv_length (settings->seeds), 2);
  CU_ASSERT_EQUAL (settings->stop_grace_us, 6000000);
  CU_ASSERT_TRUE (settings->first_start);
  CU_ASSERT_EQUAL (settings->store_stable_us, 4000000);
  CU_ASSERT_DOUBLE_EQUAL (settings->max_removed_share, 0.1, 0.0001);
  CU_ASSERT_TRUE (settings->learns_rejections);
  CU_ASSERT_TRUE (settings->uses_mean_load);
  CU_ASSERT_PTR_NULL (settings->metrics_address);
  jd_host_settings_free (settings);
}

/* Guards against an invalid value that is accepted, and against an error message that
 * does not name the key or its value. */
static void
refuses_invalid_value_and_names_it (void)
{
  static const struct
  {
    const char *from, *to, *expected_in_error;
  } cases[] = {
    { "peer-port=7160", "peer-port=70000", "70000" },
    { "peer-port=7160", "peer-port=x", "peer-port" },
    { "name=front-a-1", "name=", "name" },
    { "ip=127.0.0.1\n", "ip=localhost\n", "localhost" },
    { "address=127.0.0.1:8183", "address=127.0.0.1", "[store] address" },
    { "seeds=127.0.0.1:1,", "seeds=nowhere,", "seeds" },
    { "first-start=true", "first-start=maybe", "maybe" },
    { "stop-grace-s=6", "stop-grace-s=nan", "stop-grace-s" },
    { "stop-grace-s=6", "learn-rejections=1", "learn-rejections" },
    { "stop-grace-s=6", "use-mean-load=on", "use-mean-load" },
    { "address=127.0.0.1:8183", "address=127.0.0.1:8183\nstable-ms=-1", "stable-ms" },
    { "address=127.0.0.1:8183", "address=127.0.0.1:8183\nmax-removed-percent=101",
      "max-removed-percent" },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      GString *text = g_string_new (valid_text);
      g_string_replace (text, cases[i].from, cases[i].to, 1);
      GError *error = NULL;
      CU_ASSERT_PTR_NULL (load_text (text->str, &error));
      CU_ASSERT_PTR_NOT_NULL_FATAL (error);
      g_assert (error != NULL);
      CU_ASSERT_PTR_NOT_NULL (strstr (error->message, cases[i].expected_in_error));
      g_clear_error (&error);
      g_string_free (text, TRUE);
    }
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "loads a valid file", loads_valid_file },
    { "refuses an invalid value and names it", refuses_invalid_value_and_names_it },
  };
  return JD_TEST_RUN ("host_settings", cases);
}
