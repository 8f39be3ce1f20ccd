#include "stand_ins/platform_server.h"

#include <string.h>

#include "base/clock.h"
#include "stand_ins/platform_defs.h"
#include "stand_ins/platform_faults.h"
#include "stand_ins/platform_watch.h"

#define RECORDS_PATH "/v1/records"
#define HOSTS_PATH "/v1/hosts"

/* A read that the platform answers after the read delay. */
typedef struct delayed_read
{
  jd_platform_t *platform;
  jd_http_request_t *request;
} delayed_read_t;

/* Returns the name after "/v1/records/" in a path, or NULL for other paths. */
static const char *
path_record_name (const char *path)
{
  const char *prefix = RECORDS_PATH "/";
  if (!g_str_has_prefix (path, prefix) || !path[strlen (prefix)])
    return NULL;
  return path + strlen (prefix);
}

/* Answers GET /v1/hosts. */
static void
reply_hosts (jd_platform_t *platform, jd_http_request_t *request)
{
  const char *text = jd_platform_hosts_get (platform->hosts, g_get_monotonic_time (),
                                            platform->hosts_lag_ms * JD_US_PER_MS);
  jd_http_request_reply (request, 200, NULL, 0, text);
}

/* Answers, closes or holds a read according to the availability. The caller holds the
 * lock. */
static void
answer_read (jd_platform_t *platform, jd_http_request_t *request)
{
  const char *path = jd_http_request_path (request);
  if (platform->availability == JD_PLATFORM_HANGS)
    platform->hanging_requests = g_list_prepend (platform->hanging_requests, request);
  else if (platform->availability == JD_PLATFORM_CLOSES)
    jd_http_request_close (request);
  else if (platform->availability == JD_PLATFORM_REFUSES)
    jd_http_request_reply (request, 503, NULL, 0, "{\"error\":\"unavailable\"}");
  else if (strcmp (path, HOSTS_PATH) == 0)
    reply_hosts (platform, request);
  else if (strcmp (path, RECORDS_PATH) == 0)
    jd_platform_read (platform, request, NULL);
  else if (path_record_name (path))
    jd_platform_read (platform, request, path_record_name (path));
  else
    jd_http_request_reply (request, 404, NULL, 0, "{\"error\":\"no such route\"}");
}

/* Timer callback: the delay of a read is over. Frees the delayed read. */
static void
on_read_delay_end (void *data)
{
  delayed_read_t *read = data;
  g_mutex_lock (&read->platform->lock);
  answer_read (read->platform, read->request);
  g_mutex_unlock (&read->platform->lock);
  g_free (read);
}

/* Counts a read, and answers, delays or refuses it. The caller holds the lock. */
static void
handle_read (jd_platform_t *platform, jd_http_request_t *request)
{
  int64_t now_us = g_get_monotonic_time ();
  jd_call_meter_add (&platform->read_meter, now_us);
  if ((int64_t)jd_platform_read_rate (platform, now_us) > platform->max_reads_per_second)
    {
      platform->refused_reads++;
      jd_http_request_reply (request, 429, NULL, 0, "{\"error\":\"too many reads\"}");
    }
  else if (platform->read_delay_ms > 0)
    {
      delayed_read_t *read = g_new (delayed_read_t, 1);
      *read = (delayed_read_t){ .platform = platform, .request = request };
      jd_timer_queue_add (platform->timers,
                          now_us + platform->read_delay_ms * JD_US_PER_MS,
                          on_read_delay_end, read);
    }
  else
    answer_read (platform, request);
}

/* Publishes a record or the list of hosts. The caller holds the lock. */
static void
handle_put (jd_platform_t *platform, jd_http_request_t *request)
{
  const char *path = jd_http_request_path (request);
  const char *body = jd_http_request_body (request, NULL);
  if (strcmp (path, HOSTS_PATH) == 0)
    {
      jd_platform_hosts_put (platform->hosts, body, g_get_monotonic_time ());
      jd_http_request_reply (request, 200, NULL, 0, "{}");
    }
  else if (path_record_name (path))
    {
      uint64_t revision =
          jd_platform_records_put (platform->records, path_record_name (path), body);
      char *reply = g_strdup_printf ("{\"version\":%" G_GUINT64_FORMAT "}", revision);
      jd_http_request_reply (request, 200, NULL, 0, reply);
      g_free (reply);
      jd_platform_answer_changed_watches (platform);
    }
  else
    jd_http_request_reply (request, 404, NULL, 0, "{\"error\":\"no such route\"}");
}

/* Handles every request in the thread of the HTTP server. Acquires the lock. */
static void
handle_request (void *context, jd_http_request_t *request)
{
  jd_platform_t *platform = context;
  if (jd_platform_handle_faults (platform, request))
    return;
  g_mutex_lock (&platform->lock);
  if (strcmp (jd_http_request_method (request), "GET") == 0)
    handle_read (platform, request);
  else if (strcmp (jd_http_request_method (request), "PUT") == 0)
    handle_put (platform, request);
  else
    jd_http_request_reply (request, 405, NULL, 0, "{\"error\":\"no such method\"}");
  g_mutex_unlock (&platform->lock);
}

/* Creates a platform, loads its records and starts the HTTP server. Returns NULL with an
 * error if a record cannot be read or the server cannot listen. */
jd_platform_t *
jd_platform_new (const jd_platform_options_t *options, GError **error)
{
  jd_platform_t *platform = g_new0 (jd_platform_t, 1);
  platform->timers = options->timers;
  platform->hosts_lag_ms = options->hosts_lag_ms;
  platform->max_reads_per_second = options->max_reads_per_second;
  g_mutex_init (&platform->lock);
  platform->records = jd_platform_records_new ();
  platform->hosts = jd_platform_hosts_new (options->initial_hosts ? options->initial_hosts
                                                                  : "{\"hosts\":[]}");
  if (!options->records_directory ||
      jd_platform_records_load (platform->records, options->records_directory, error))
    platform->server =
        jd_http_server_new (options->ip, options->port, handle_request, platform, error);
  if (platform->server)
    return platform;
  jd_platform_free (platform);
  return NULL;
}

uint16_t
jd_platform_port (const jd_platform_t *platform)
{
  return jd_http_server_port (platform->server);
}

/* Refuses further requests and closes the connections of the waiting watches. Delayed
 * reads are closed when their timers run. */
void
jd_platform_stop (jd_platform_t *platform)
{
  jd_http_server_stop (platform->server);
  g_mutex_lock (&platform->lock);
  platform->availability = JD_PLATFORM_CLOSES;
  jd_platform_close_watches (platform);
  g_mutex_unlock (&platform->lock);
}

/* Frees a platform. The caller must have freed the timer queue before, because timer
 * callbacks use the platform. */
void
jd_platform_free (jd_platform_t *platform)
{
  if (!platform)
    return;
  jd_http_server_free (platform->server);
  g_list_free (platform->hanging_requests);
  jd_platform_records_free (platform->records);
  jd_platform_hosts_free (platform->hosts);
  g_mutex_clear (&platform->lock);
  g_free (platform);
}
