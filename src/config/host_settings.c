#include "config/host_settings.h"

#include <arpa/inet.h>
#include <string.h>

#include "base/clock.h"
#include "base/log_event.h"
#include "base/name.h"
#include "config/settings.h"

/* Reads keys of a settings file and keeps the first error. */
typedef struct settings_reader
{
  GKeyFile *file;
  GError **error;
  bool failed;
} settings_reader_t;

/* Sets the error for an invalid value of a key, unless there is an error already. */
static void
report_invalid_value (settings_reader_t *reader, const char *group, const char *key,
                      const char *value, const char *expected)
{
  if (reader->failed)
    return;
  reader->failed = true;
  g_set_error (reader->error, JD_SETTINGS_ERROR, 0, "[%s] %s=\"%s\": expected %s", group,
               key, value ? value : "", expected);
}

/* Returns the value of a key without surrounding white space, NULL if it is absent or
 * empty; free with g_free. */
static char *
read_string (settings_reader_t *reader, const char *group, const char *key)
{
  char *value = g_key_file_get_string (reader->file, group, key, NULL);
  if (value && *g_strstrip (value) != '\0')
    return value;
  g_free (value);
  return NULL;
}

/* Returns a required name of 1 to JD_NAME_SIZE - 1 bytes without spaces, tabs and double
 * quotes; free with g_free. */
static char *
read_name (settings_reader_t *reader, const char *group, const char *key)
{
  char *value = read_string (reader, group, key);
  if (!value || strlen (value) >= JD_NAME_SIZE || strpbrk (value, " \t\""))
    report_invalid_value (reader, group, key, value,
                          "a name of 1 to 63 bytes without spaces");
  return value;
}

/* Returns an "IP:port" address, NULL if an optional one is absent; free with g_free. */
static char *
read_address (settings_reader_t *reader, const char *group, const char *key,
              bool required)
{
  char *value = read_string (reader, group, key);
  if (!value && !required)
    return NULL;
  if (!value || !jd_settings_is_address (value))
    report_invalid_value (reader, group, key, value, "IP:port");
  return value;
}

/* Returns a number from min to max, the default if the key is absent. A key with a
 * negative default is required. */
static double
read_number (settings_reader_t *reader, const char *group, const char *key,
             double default_value, double min, double max)
{
  char *value = read_string (reader, group, key);
  if (!value && default_value >= 0.0)
    return default_value;
  char *end = NULL;
  double number = value ? g_ascii_strtod (value, &end) : 0.0;
  if (!value || *end != '\0' || !(number >= min && number <= max))
    {
      char expected[96];
      g_snprintf (expected, sizeof (expected), "a number from %g to %g", min, max);
      report_invalid_value (reader, group, key, value, expected);
      number = min;
    }
  g_free (value);
  return number;
}

/* Returns "true" or "false" as a boolean, the default if the key is absent. */
static bool
read_boolean (settings_reader_t *reader, const char *group, const char *key,
              bool default_value)
{
  char *value = read_string (reader, group, key);
  bool is_true = value && strcmp (value, "true") == 0;
  if (value && !is_true && strcmp (value, "false") != 0)
    report_invalid_value (reader, group, key, value, "true or false");
  bool result = value ? is_true : default_value;
  g_free (value);
  return result;
}

/* Returns the NULL-terminated list of seed addresses; free with g_strfreev. */
static char **
read_seeds (settings_reader_t *reader)
{
  char *value = read_string (reader, "peers", "seeds");
  char **seeds = g_strsplit (value ? value : "", ",", -1);
  for (char **seed = seeds; *seed; seed++)
    {
      if (!jd_settings_is_address (g_strstrip (*seed)))
        report_invalid_value (reader, "peers", "seeds", value,
                              "a comma-separated list of IP:port");
    }
  g_free (value);
  return seeds;
}

/* Reads all settings of a loaded file. */
static void
read_settings (settings_reader_t *reader, jd_host_settings_t *settings)
{
  settings->name = read_name (reader, "host", "name");
  settings->zone = read_name (reader, "host", "zone");
  settings->ip = read_name (reader, "host", "ip");
  struct in_addr parsed;
  if (settings->ip && inet_pton (AF_INET, settings->ip, &parsed) != 1)
    report_invalid_value (reader, "host", "ip", settings->ip, "a numeric IPv4 address");
  settings->callers_address = read_address (reader, "listen", "callers", true);
  settings->readiness_address = read_address (reader, "listen", "readiness", true);
  settings->metrics_address = read_address (reader, "listen", "metrics", false);
  settings->peer_port =
      (uint16_t)read_number (reader, "listen", "peer-port", -1.0, 1.0, 65535.0);
  settings->seeds = read_seeds (reader);
  settings->store_address = read_address (reader, "store", "address", true);
  settings->store_stable_us =
      (int64_t)(read_number (reader, "store", "stable-ms", 4000.0, 0.0, 600000.0) *
                (double)JD_US_PER_MS);
  settings->max_removed_share =
      read_number (reader, "store", "max-removed-percent", 10.0, 0.0, 100.0) / 100.0;
  settings->stop_grace_us =
      (int64_t)(read_number (reader, "limits", "stop-grace-s", 6.0, 0.5, 3600.0) *
                (double)JD_US_PER_S);
  settings->drain_limit_us =
      (int64_t)(read_number (reader, "limits", "drain-ms", 3000.0, 100.0, 600000.0) *
                (double)JD_US_PER_MS);
  settings->config_limit_us =
      (int64_t)(read_number (reader, "limits", "config-ms", 3000.0, 100.0, 600000.0) *
                (double)JD_US_PER_MS);
  settings->heartbeat_interval_us =
      (int64_t)(read_number (reader, "limits", "heartbeat-ms", 1200.0, 10.0, 600000.0) *
                (double)JD_US_PER_MS);
  settings->retry_slack =
      (uint32_t)read_number (reader, "limits", "retry-slack", 0.0, 0.0, 1e6);
  settings->retry_window_us =
      (int64_t)(read_number (reader, "limits", "retry-window-s", 10.0, 0.1, 3600.0) *
                (double)JD_US_PER_S);
  settings->rate_slack = read_number (reader, "limits", "rate-slack", 0.0, 0.0, 1e6);
  settings->cold_slack =
      (uint32_t)read_number (reader, "limits", "cold-slack", 0.0, 0.0, 1e6);
  settings->memory_mb =
      (uint32_t)read_number (reader, "limits", "memory-mb", 256.0, 32.0, 1e7);
  settings->max_descriptors =
      (uint32_t)read_number (reader, "limits", "max-descriptors", 1024.0, 64.0, 1e7);
  settings->uses_mean_load = read_boolean (reader, "limits", "use-mean-load", true);
  settings->learns_rejections = read_boolean (reader, "limits", "learn-rejections", true);
  settings->first_start = read_boolean (reader, "host", "first-start", false);
  char *level_text = read_string (reader, "log", "level");
  settings->log_level = G_LOG_LEVEL_INFO;
  if (level_text && !jd_log_parse_level (level_text, &settings->log_level))
    report_invalid_value (reader, "log", "level", level_text,
                          "error, warning, info or debug");
  g_free (level_text);
}

/* Reads and checks a settings file. Returns NULL with an error; for an invalid value, it
 * names the key, the value and the expected values. Unknown keys are ignored. */
jd_host_settings_t *
jd_host_settings_load (const char *path, GError **error)
{
  GKeyFile *file = g_key_file_new ();
  if (!g_key_file_load_from_file (file, path, G_KEY_FILE_NONE, error))
    {
      g_key_file_free (file);
      return NULL;
    }
  jd_host_settings_t *settings = g_new0 (jd_host_settings_t, 1);
  settings_reader_t reader = { .file = file, .error = error };
  read_settings (&reader, settings);
  g_key_file_free (file);
  if (!reader.failed)
    return settings;
  jd_host_settings_free (settings);
  return NULL;
}

/* Frees settings; NULL is allowed. */
void
jd_host_settings_free (jd_host_settings_t *settings)
{
  if (!settings)
    return;
  g_free (settings->name);
  g_free (settings->zone);
  g_free (settings->ip);
  g_free (settings->callers_address);
  g_free (settings->readiness_address);
  g_free (settings->metrics_address);
  g_strfreev (settings->seeds);
  g_free (settings->store_address);
  g_free (settings);
}
