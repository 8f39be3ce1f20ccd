#include "transport/platform_client.h"

#include <jansson.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <string.h>

#include "base/log_event.h"
#include "config/record.h"
#include "transport/platform_http.h"

#define DEFAULT_CONNECT_TIMEOUT_MS 500
#define DEFAULT_TOTAL_TIMEOUT_MS 2000
#define DEFAULT_WATCH_WAIT_MS 1000
#define DEFAULT_MIN_BACKOFF_MS 1000
#define DEFAULT_MAX_BACKOFF_MS 8000
/* Pause between rounds; limits the request rate of a client if records change all the
 * time. */
#define ROUND_INTERVAL_MS 100
/* One byte more than a record may have, so that the receiver detects a record that is too
 * long. */
#define RECORD_LIMIT_BYTES (JD_RECORD_MAX_BYTES + 1)
#define LIST_LIMIT_BYTES ((size_t)16 * 1024 * 1024)

struct jd_platform_client
{
  jd_platform_client_options_t options;
  char *base_url;
  jd_platform_http_t *http;
  GThread *thread;
  atomic_bool is_stopping;
  atomic_bool is_watching;
  _Atomic int64_t confirmed_us;
  jd_counter_t *read_count;
  jd_counter_t *error_count;

  /* Used by the thread only. */
  GString *body;
  GHashTable *last_revisions; /* Record name -> revision passed to on_record, as text. */
  uint64_t list_revision;     /* 0: the next round compares all records. */
  char *hosts_text;           /* Last text passed to on_hosts. */
  uint32_t consecutive_failures; /* Failed rounds since the last success. */
};

/* GETs a path into client->body and counts the request. Returns the HTTP status, or 0
 * without a complete reply within total_timeout_ms + wait_ms. */
static long
read_path (jd_platform_client_t *client, const char *path, uint32_t wait_ms,
           size_t limit_bytes)
{
  char *url = g_strconcat (client->base_url, path, NULL);
  long status =
      jd_platform_http_get (client->http, url, client->options.total_timeout_ms + wait_ms,
                            limit_bytes, client->body);
  g_free (url);
  if (client->read_count)
    jd_counter_add (client->read_count, 1);
  return status;
}

/* Reads one record and passes it to on_record; returns FALSE if the read failed. */
static gboolean
read_record (jd_platform_client_t *client, const char *name, const char *revision)
{
  char *escaped = g_uri_escape_string (name, NULL, FALSE);
  char *path = g_strdup_printf ("/v1/records/%s", escaped);
  long status = read_path (client, path, 0, RECORD_LIMIT_BYTES);
  g_free (path);
  g_free (escaped);
  if (status != 200 || atomic_load (&client->is_stopping))
    return FALSE;
  client->options.on_record (client->options.context, name, client->body->str,
                             client->body->len);
  g_hash_table_replace (client->last_revisions, g_strdup (name), g_strdup (revision));
  return TRUE;
}

/* Reads each record of a list whose revision differs from the one that was last
 * passed to on_record. Continues after a failure, so that one unreadable record does not
 * delay the others. Returns TRUE if the list is valid and all of these records were
 * read. */
static gboolean
read_changed (jd_platform_client_t *client, const json_t *list)
{
  const json_t *array = json_object_get (list, "records");
  gboolean is_complete = json_is_array (array);
  for (size_t i = 0; i < json_array_size (array); i++)
    {
      const json_t *item = json_array_get (array, i);
      const char *name = json_string_value (json_object_get (item, "name"));
      const json_t *version = json_object_get (item, "version");
      if (!name || !json_is_integer (version))
        {
          is_complete = FALSE;
          continue;
        }
      char *revision =
          g_strdup_printf ("%" JSON_INTEGER_FORMAT, json_integer_value (version));
      if (g_strcmp0 (g_hash_table_lookup (client->last_revisions, name), revision) != 0)
        is_complete = read_record (client, name, revision) && is_complete;
      g_free (revision);
    }
  return is_complete;
}

/* Applies the list of records in client->body. Returns FALSE if a record could not be
 * read; the same list is then requested again. */
static gboolean
apply_list (jd_platform_client_t *client)
{
  json_t *list = json_loadb (client->body->str, client->body->len, 0, NULL);
  gboolean is_complete = read_changed (client, list);
  json_int_t revision = json_integer_value (json_object_get (list, "version"));
  if (is_complete)
    client->list_revision = (uint64_t)MAX (revision, 0);
  json_decref (list);
  return is_complete;
}

/* Reads the list of records and the changed records. If a complete list was read before,
 * the request waits for a change. Returns FALSE on failure. */
static gboolean
sync_records (jd_platform_client_t *client)
{
  uint32_t wait_ms = client->list_revision ? client->options.watch_wait_ms : 0;
  char *path =
      client->list_revision
          ? g_strdup_printf ("/v1/records?watch_after=%" G_GUINT64_FORMAT "&wait_ms=%u",
                             client->list_revision, wait_ms)
          : g_strdup ("/v1/records");
  int64_t sent_us = jd_clock_now_us (&client->options.clock);
  long status = read_path (client, path, wait_ms, LIST_LIMIT_BYTES);
  g_free (path);
  gboolean is_unchanged = status == 304 && client->list_revision;
  if (!is_unchanged && !(status == 200 && apply_list (client)))
    return FALSE;
  atomic_store (&client->confirmed_us, sent_us);
  if (client->options.on_confirmed)
    client->options.on_confirmed (client->options.context, sent_us);
  return TRUE;
}

/* Reads the host list and passes a changed text to on_hosts. Returns FALSE if the read
 * failed. */
static gboolean
sync_hosts (jd_platform_client_t *client)
{
  if (!client->options.on_hosts)
    return TRUE;
  if (read_path (client, "/v1/hosts", 0, LIST_LIMIT_BYTES) != 200)
    return FALSE;
  if (g_strcmp0 (client->hosts_text, client->body->str) == 0)
    return TRUE;
  g_free (client->hosts_text);
  client->hosts_text = g_strdup (client->body->str);
  client->options.on_hosts (client->options.context, client->body->str,
                            client->body->len);
  return TRUE;
}

/* Waits after a failed round with exponential backoff between min_backoff_ms and
 * max_backoff_ms, plus a random jitter of up to 50 %, so that many clients do not retry
 * at the same time. */
static void
wait_after_failure (jd_platform_client_t *client)
{
  uint32_t doublings = MIN (client->consecutive_failures, 16);
  uint64_t wait_ms = (uint64_t)client->options.min_backoff_ms << doublings;
  wait_ms = MIN (wait_ms, client->options.max_backoff_ms);
  double jitter = 1.0 + 0.5 * jd_rng_unit (&client->options.rng);
  client->consecutive_failures++;
  if (client->error_count)
    jd_counter_add (client->error_count, 1);
  jd_log_event (G_LOG_LEVEL_WARNING, "platform_read_failed",
                "failures=%u wait_ms=%" G_GUINT64_FORMAT, client->consecutive_failures,
                wait_ms);
  jd_platform_http_sleep (client->http,
                          (int64_t)((double)wait_ms * jitter) * JD_US_PER_MS, FALSE);
}

/* Thread function: reads records and hosts in rounds until the client stops. */
static gpointer
run_client (gpointer data)
{
  jd_platform_client_t *client = data;
  gboolean has_read = FALSE;
  while (!atomic_load (&client->is_stopping))
    {
      if (has_read && !atomic_load (&client->is_watching))
        {
          /* The next watch has to compare all records. */
          client->list_revision = 0;
          jd_platform_http_sleep (client->http, JD_US_PER_S, TRUE);
        }
      else if (sync_records (client) && sync_hosts (client))
        {
          has_read = TRUE;
          client->consecutive_failures = 0;
          jd_platform_http_sleep (client->http, ROUND_INTERVAL_MS * JD_US_PER_MS, FALSE);
        }
      else if (!atomic_load (&client->is_stopping))
        wait_after_failure (client);
    }
  return NULL;
}

/* Replaces options that are 0 by their defaults. */
static void
set_defaults (jd_platform_client_options_t *options)
{
  const struct
  {
    uint32_t *value;
    uint32_t default_value;
  } defaults[] = {
    { &options->connect_timeout_ms, DEFAULT_CONNECT_TIMEOUT_MS },
    { &options->total_timeout_ms, DEFAULT_TOTAL_TIMEOUT_MS },
    { &options->watch_wait_ms, DEFAULT_WATCH_WAIT_MS },
    { &options->min_backoff_ms, DEFAULT_MIN_BACKOFF_MS },
    { &options->max_backoff_ms, DEFAULT_MAX_BACKOFF_MS },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (defaults); i++)
    {
      if (*defaults[i].value == 0)
        *defaults[i].value = defaults[i].default_value;
    }
}

/* Copies the options and starts the thread; the counters must outlive the client. */
jd_platform_client_t *
jd_platform_client_new (const jd_platform_client_options_t *options)
{
  jd_platform_client_t *client = g_new0 (jd_platform_client_t, 1);
  client->options = *options;
  set_defaults (&client->options);
  client->base_url = g_strdup (options->base_url);
  client->http = jd_platform_http_new (client->options.connect_timeout_ms);
  atomic_init (&client->is_watching, options->watch);
  atomic_init (&client->confirmed_us, -1);
  if (options->counters)
    {
      client->read_count = jd_counters_get (options->counters, "platform.reads");
      client->error_count = jd_counters_get (options->counters, "platform.errors");
    }
  client->body = g_string_new (NULL);
  client->last_revisions =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  client->thread = g_thread_new ("platform", run_client, client);
  return client;
}

/* Returns after the thread has ended, without waiting for a reply of the platform. */
void
jd_platform_client_free (jd_platform_client_t *client)
{
  if (!client)
    return;
  atomic_store (&client->is_stopping, true);
  jd_platform_http_interrupt (client->http);
  g_thread_join (client->thread);
  jd_platform_http_free (client->http);
  g_hash_table_destroy (client->last_revisions);
  g_string_free (client->body, TRUE);
  g_free (client->hosts_text);
  g_free (client->base_url);
  g_free (client);
}

/* Starts or stops the watch. A request that is running at the stop may still complete. */
void
jd_platform_client_set_watching (jd_platform_client_t *client, gboolean watching)
{
  bool was_watching = atomic_exchange (&client->is_watching, watching != FALSE);
  if (watching && !was_watching)
    jd_platform_http_wake (client->http);
}

/* Returns the time of the last confirmation, measured with the clock in the options, or
 * -1 if there was none. */
int64_t
jd_platform_client_confirmed_us (jd_platform_client_t *client)
{
  return atomic_load (&client->confirmed_us);
}
