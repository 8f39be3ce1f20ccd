#include "support/load_scenario.h"

#include <stddef.h>
#include <stdlib.h>

#include "config/settings.h"

typedef enum jd_field_kind
{
  FIELD_COUNT, /* uint32_t */
  FIELD_REAL,  /* double */
} jd_field_kind_t;

/* One key of a scenario: the member of jd_search_load_t that it sets and its range. */
typedef struct jd_field
{
  const char *group;
  const char *key;
  jd_field_kind_t kind;
  size_t offset;
  double default_value; /* Negative: the key is required. */
  double min;
  double max;
} jd_field_t;

#define COUNT(group, key, member, default_value, min, max)                               \
  {                                                                                      \
    group, key, FIELD_COUNT, offsetof (jd_search_load_t, member), default_value, min,    \
        max                                                                              \
  }
#define REAL(group, key, member, default_value, min, max)                                \
  {                                                                                      \
    group, key, FIELD_REAL, offsetof (jd_search_load_t, member), default_value, min, max \
  }

static const jd_field_t fields[] = {
  COUNT ("tier", "hosts", hosts, 1, 1, 32),
  COUNT ("tier", "shards", shards, -1, 1, 135),
  COUNT ("tier", "replicas", replicas, -1, 1, 4),
  COUNT ("tier", "slots", slots, 2, 1, 64),
  COUNT ("tier", "queue", max_queue_length, 0, 0, 10000),
  REAL ("search", "work-ms", work_ms, -1, 0.1, 1000),
  REAL ("search", "min-coverage", min_coverage, 0.9, 0, 1),
  COUNT ("search", "objective-ms", objective_ms, -1, 1, 10000),
  COUNT ("search", "deadline-ms", deadline_ms, -1, 1, 10000),
  REAL ("callers", "searches-per-s", searches_per_s, -1, 0.1, 500),
  COUNT ("callers", "duration-ms", duration_ms, -1, 1000, 60000),
  REAL ("callers", "wave", wave_amplitude, 0, 0, 1),
  COUNT ("callers", "wave-ms", wave_period_ms, 0, 0, 60000),
  COUNT ("callers", "burst-from-ms", burst_from_ms, 0, 0, 60000),
  COUNT ("callers", "burst-for-ms", burst_for_ms, 0, 0, 60000),
  REAL ("callers", "burst-factor", burst_factor, 1, 0, 100),
  COUNT ("callers", "retries", retries, 0, 0, 10),
  REAL ("callers", "leave-share", leave_share, 0, 0, 1),
  COUNT ("callers", "leave-ms", leave_ms, 0, 0, 10000),
  COUNT ("organisations", "count", organisations, 1, 1, 64),
  REAL ("organisations", "rate-per-s", rate_per_s, 0, 0, 10000),
  COUNT ("organisations", "hot-from-ms", hot_from_ms, 0, 0, 60000),
  COUNT ("organisations", "hot-for-ms", hot_for_ms, 0, 0, 60000),
  REAL ("organisations", "hot-factor", hot_factor, 1, 1, 100),
  COUNT ("trouble", "pause-ms", pause_ms, 0, 0, 10000),
  COUNT ("trouble", "pause-every-ms", pause_interval_ms, 0, 0, 60000),
  COUNT ("trouble", "dead-shards", dead_shards, 0, 0, 135),
  COUNT ("trouble", "slow-percent", slow_percent, 0, 0, 100),
  REAL ("trouble", "slow-factor", slow_factor, 1, 1, 100),
  COUNT ("trouble", "slow-from-ms", slow_from_ms, 0, 0, 60000),
  REAL ("trouble", "fail-share", fail_share, 0, 0, 1),
  COUNT ("trouble", "leaving-percent", leaving_percent, 0, 0, 100),
  COUNT ("trouble", "leaving-from-ms", leaving_from_ms, 0, 0, 60000),
  COUNT ("trouble", "pause-asked-ms", pause_asked_ms, 0, 0, 10000),
};

/* Returns false and sets error if the file has a key that is not in fields. */
static bool
check_keys (GKeyFile *file, GError **error)
{
  char **groups = g_key_file_get_groups (file, NULL);
  bool ok = true;
  for (char **group = groups; *group && ok; group++)
    {
      char **keys = g_key_file_get_keys (file, *group, NULL, NULL);
      for (char **key = keys; key && *key && ok; key++)
        {
          ok = false;
          for (size_t i = 0; i < G_N_ELEMENTS (fields) && !ok; i++)
            ok = g_strcmp0 (fields[i].group, *group) == 0 &&
                 g_strcmp0 (fields[i].key, *key) == 0;
          if (!ok)
            g_set_error (error, JD_SETTINGS_ERROR, 0, "[%s] %s: unknown key", *group,
                         *key);
        }
      g_strfreev (keys);
    }
  g_strfreev (groups);
  return ok;
}

/* Reads one field into load. Returns false and sets error if the key is missing, not a
 * number or out of range. */
static bool
read_field (GKeyFile *file, const jd_field_t *field, jd_search_load_t *load,
            GError **error)
{
  char *text = g_key_file_get_string (file, field->group, field->key, NULL);
  char *end = NULL;
  double value = text ? g_ascii_strtod (text, &end) : field->default_value;
  bool has_valid_kind = field->kind == FIELD_REAL || value == (double)(uint32_t)value;
  bool ok = value >= field->min && value <= field->max && has_valid_kind &&
            (!text || (end != text && *end == '\0'));
  if (!ok)
    g_set_error (error, JD_SETTINGS_ERROR, 0,
                 "[%s] %s=\"%s\": expected a %snumber from %g to %g", field->group,
                 field->key, text ? text : "", field->kind == FIELD_COUNT ? "whole " : "",
                 field->min, field->max);
  else if (field->kind == FIELD_COUNT)
    G_STRUCT_MEMBER (uint32_t, load, field->offset) = (uint32_t)value;
  else
    G_STRUCT_MEMBER (double, load, field->offset) = value;
  g_free (text);
  return ok;
}

/* Members of load without a key in the file get their default value. */
bool
jd_load_scenario_read (const char *path, jd_search_load_t *load, GError **error)
{
  GKeyFile *file = g_key_file_new ();
  bool ok = g_key_file_load_from_file (file, path, G_KEY_FILE_NONE, error) &&
            check_keys (file, error);
  *load = (jd_search_load_t){ 0 };
  for (size_t i = 0; i < G_N_ELEMENTS (fields) && ok; i++)
    ok = read_field (file, &fields[i], load, error);
  if (ok && load->pause_ms > 0 && load->pause_interval_ms <= load->pause_ms)
    {
      ok = false;
      g_set_error (error, JD_SETTINGS_ERROR, 0,
                   "[trouble] pause-every-ms must be greater than pause-ms");
    }
  if (ok && load->deadline_ms < load->objective_ms)
    {
      ok = false;
      g_set_error (error, JD_SETTINGS_ERROR, 0,
                   "[search] deadline-ms must not be less than objective-ms");
    }
  g_key_file_free (file);
  return ok;
}
