#include "stand_ins/platform_faults.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "stand_ins/platform_watch.h"

static const char *const availability_names[] = { "", "refuse", "hang", "close", NULL };
static const char *const view_names[] = { "", "frozen", "older", NULL };

/* Replies with a JSON body and releases it. */
static void
reply_json (jd_http_request_t *request, uint32_t status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);
  jd_http_request_reply (request, status, NULL, 0, text);
  free (text);
  json_decref (body);
}

/* Returns the reads of the last second. A watch that started earlier and still waits
 * counts as one read. */
uint64_t
jd_platform_read_rate (const jd_platform_t *platform, int64_t now_us)
{
  return jd_call_meter_rate (&platform->read_meter, now_us) +
         jd_platform_waiting_watch_count (platform, now_us - JD_US_PER_S);
}

/* Returns the reply to GET /calls. */
static json_t *
calls_to_json (const jd_platform_t *platform)
{
  int64_t now_us = g_get_monotonic_time ();
  return json_pack ("{s:I, s:I, s:I, s:I, s:I}", "total",
                    (json_int_t)platform->read_meter.total, "rate_per_s",
                    (json_int_t)jd_platform_read_rate (platform, now_us), "peak_per_s",
                    (json_int_t)platform->read_meter.peak_per_s, "waiting",
                    (json_int_t)jd_platform_waiting_watch_count (platform, INT64_MAX),
                    "refused", (json_int_t)platform->refused_reads);
}

/* Returns the reply to GET /faults. */
static json_t *
faults_to_json (const jd_platform_t *platform)
{
  return json_pack (
      "{s:s, s:s, s:I, s:I, s:I}", "down", availability_names[platform->availability],
      "stale", view_names[platform->view], "slow_ms", (json_int_t)platform->read_delay_ms,
      "hosts_lag_ms", (json_int_t)platform->hosts_lag_ms, "max_reads_per_second",
      (json_int_t)platform->max_reads_per_second);
}

/* Sets the index of the word that a field holds. A missing field keeps the index. Returns
 * FALSE for a value that is not one of the words. */
static gboolean
parse_choice (json_t *object, const char *key, const char *const *choices, int *index)
{
  const json_t *value = json_object_get (object, key);
  if (!value)
    return TRUE;
  for (int i = 0; choices[i]; i++)
    {
      if (g_strcmp0 (json_string_value (value), choices[i]) == 0)
        {
          *index = i;
          return TRUE;
        }
    }
  return FALSE;
}

/* Sets a number from a field. A missing field keeps the number. Returns FALSE for a value
 * that is not a non-negative integer. */
static gboolean
parse_number (json_t *object, const char *key, int64_t *number)
{
  const json_t *value = json_object_get (object, key);
  if (value && (!json_is_integer (value) || json_integer_value (value) < 0))
    return FALSE;
  if (value)
    *number = json_integer_value (value);
  return TRUE;
}

/* Ends the hanging requests and watches that the new availability does not keep open. */
static void
release_requests (jd_platform_t *platform)
{
  if (platform->availability != JD_PLATFORM_HANGS)
    {
      for (GList *item = platform->hanging_requests; item; item = item->next)
        jd_http_request_close (item->data);
      g_clear_pointer (&platform->hanging_requests, g_list_free);
    }
  if (platform->availability == JD_PLATFORM_REFUSES ||
      platform->availability == JD_PLATFORM_CLOSES)
    jd_platform_close_watches (platform);
  jd_platform_answer_changed_watches (platform);
}

/* Applies POST /faults. Returns FALSE and changes nothing if a field is not valid. */
static gboolean
apply_faults (jd_platform_t *platform, json_t *object)
{
  int availability = platform->availability;
  int view = platform->view;
  int64_t read_delay_ms = platform->read_delay_ms;
  int64_t hosts_lag_ms = platform->hosts_lag_ms;
  int64_t max_reads_per_second = platform->max_reads_per_second;
  if (!json_is_object (object) ||
      !parse_choice (object, "down", availability_names, &availability) ||
      !parse_choice (object, "stale", view_names, &view) ||
      !parse_number (object, "slow_ms", &read_delay_ms) ||
      !parse_number (object, "hosts_lag_ms", &hosts_lag_ms) ||
      !parse_number (object, "max_reads_per_second", &max_reads_per_second))
    return FALSE;
  platform->availability = (jd_platform_availability_t)availability;
  platform->view = (jd_platform_view_t)view;
  platform->read_delay_ms = read_delay_ms;
  platform->hosts_lag_ms = hosts_lag_ms;
  platform->max_reads_per_second = max_reads_per_second;
  jd_platform_records_set_view (platform->records, platform->view);
  release_requests (platform);
  return TRUE;
}

/* Answers GET and POST /faults and GET /calls, which tests use. */
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
