#include "stand_ins/platform_faults.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "stand_ins/platform_watch.h"

static const char *const down_names[] = { "", "refuse", "hang", "close", NULL };
static const char *const view_names[] = { "", "frozen", "older", NULL };

/* Sends a JSON body and frees it. */
static void
reply_json (jd_http_request_t *request, uint32_t status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);
  jd_http_request_reply (request, status, NULL, 0, text);
  free (text);
  json_decref (body);
}

/* Returns the reads of the last second; watches from before it count as well. */
uint64_t
jd_platform_read_rate (const jd_platform_t *platform, int64_t now_us)
{
  return jd_call_meter_rate (&platform->meter, now_us) +
         jd_platform_waiting (platform, now_us - JD_US_PER_S);
}

/* GET /calls. */
static json_t *
calls_to_json (const jd_platform_t *platform)
{
  int64_t now_us = g_get_monotonic_time ();
  return json_pack ("{s:I, s:I, s:I, s:I, s:I}", "total",
                    (json_int_t)platform->meter.total, "rate_per_s",
                    (json_int_t)jd_platform_read_rate (platform, now_us), "peak_per_s",
                    (json_int_t)platform->meter.peak_per_s, "waiting",
                    (json_int_t)jd_platform_waiting (platform, INT64_MAX), "refused",
                    (json_int_t)platform->refused);
}

/* GET /faults. */
static json_t *
faults_to_json (const jd_platform_t *platform)
{
  return json_pack ("{s:s, s:s, s:I, s:I, s:I}", "down", down_names[platform->down],
                    "stale", view_names[platform->view], "slow_ms",
                    (json_int_t)platform->slow_ms, "hosts_lag_ms",
                    (json_int_t)platform->hosts_lag_ms, "max_reads_per_second",
                    (json_int_t)platform->max_reads_per_second);
}

/* Reads one of a list of words into an index; returns FALSE for other values. */
static gboolean
read_word (json_t *object, const char *key, const char *const *words, int *index)
{
  const json_t *value = json_object_get (object, key);
  if (!value)
    return TRUE;
  for (int i = 0; words[i]; i++)
    {
      if (g_strcmp0 (json_string_value (value), words[i]) == 0)
        {
          *index = i;
          return TRUE;
        }
    }
  return FALSE;
}

/* Reads a number; returns FALSE for other values. */
static gboolean
read_number (json_t *object, const char *key, int64_t *number)
{
  const json_t *value = json_object_get (object, key);
  if (value && (!json_is_integer (value) || json_integer_value (value) < 0))
    return FALSE;
  if (value)
    *number = json_integer_value (value);
  return TRUE;
}

/* Ends requests that the new state no longer keeps waiting. */
static void
release_requests (jd_platform_t *platform)
{
  if (platform->down != JD_PLATFORM_HANGS)
    {
      for (GList *item = platform->hanging; item; item = item->next)
        jd_http_request_close (item->data);
      g_clear_pointer (&platform->hanging, g_list_free);
    }
  if (platform->down == JD_PLATFORM_REFUSES || platform->down == JD_PLATFORM_CLOSES)
    jd_platform_close_watches (platform);
  jd_platform_wake_watches (platform);
}

/* POST /faults; changes nothing when a field is not valid. */
static gboolean
apply_faults (jd_platform_t *platform, json_t *object)
{
  int down = platform->down;
  int view = platform->view;
  int64_t slow_ms = platform->slow_ms;
  int64_t lag_ms = platform->hosts_lag_ms;
  int64_t max_reads = platform->max_reads_per_second;
  if (!json_is_object (object) || !read_word (object, "down", down_names, &down) ||
      !read_word (object, "stale", view_names, &view) ||
      !read_number (object, "slow_ms", &slow_ms) ||
      !read_number (object, "hosts_lag_ms", &lag_ms) ||
      !read_number (object, "max_reads_per_second", &max_reads))
    return FALSE;
  platform->down = (jd_platform_down_t)down;
  platform->view = (jd_platform_view_t)view;
  platform->slow_ms = slow_ms;
  platform->hosts_lag_ms = lag_ms;
  platform->max_reads_per_second = max_reads;
  jd_platform_records_set_view (platform->records, platform->view);
  release_requests (platform);
  return TRUE;
}

/* Routes of the test interface. */
gboolean
jd_platform_handle_faults (jd_platform_t *platform, jd_http_request_t *request)
{
  const char *path = jd_http_request_path (request);
  gboolean post = strcmp (jd_http_request_method (request), "POST") == 0;
  gboolean faults = strcmp (path, "/faults") == 0;
  if (!faults && strcmp (path, "/calls") != 0)
    return FALSE;
  g_mutex_lock (&platform->lock);
  json_t *object = NULL;
  if (faults && post)
    object = json_loads (jd_http_request_body (request, NULL), 0, NULL);
  if (faults && post && !apply_faults (platform, object))
    reply_json (request, 400, json_pack ("{s:s}", "error", "not a valid fault"));
  else
    reply_json (request, 200,
                faults ? faults_to_json (platform) : calls_to_json (platform));
  json_decref (object);
  g_mutex_unlock (&platform->lock);
  return TRUE;
}
