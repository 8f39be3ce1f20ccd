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
#define DEFAULT_RETRY_MIN_MS 1000
#define DEFAULT_RETRY_MAX_MS 8000
/* Bounds the reads of one client when records change all the time. */
#define ROUND_MIN_MS 100
/* One byte more than a record may have, so that the reader sees that it is too long. */
#define BODY_LIMIT_BYTES (JD_RECORD_MAX_BYTES + 1)
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
  jd_counter_t *reads;
  jd_counter_t *errors;

  /* Used by the thread only. */
  GString *body;
  GHashTable *known;      /* Record name -> revision handed to on_record, as text. */
  uint64_t list_revision; /* 0: compare the whole list. */
  char *hosts;            /* Last text handed to on_hosts. */
  uint32_t failures;      /* Rounds that failed since the last good one. */
};

/* Makes one call with the path and counts it. */
static long
read_path (jd_platform_client_t *client, const char *path, uint32_t wait_ms,
           size_t limit_bytes)
{
  char *url = g_strconcat (client->base_url, path, NULL);
  long status =
      jd_platform_http_get (client->http, url, client->options.total_timeout_ms + wait_ms,
                            limit_bytes, client->body);
  g_free (url);
  if (client->reads)
    jd_counter_add (client->reads, 1);
  return status;
}

/* Reads one record and hands it over; returns FALSE when it could not be read. */
static gboolean
read_record (jd_platform_client_t *client, const char *name, const char *revision)
{
  char *escaped = g_uri_escape_string (name, NULL, FALSE);
  char *path = g_strdup_printf ("/v1/records/%s", escaped);
  long status = read_path (client, path, 0, BODY_LIMIT_BYTES);
  g_free (path);
  g_free (escaped);
  if (status != 200 || atomic_load (&client->is_stopping))
    return FALSE;
  client->options.on_record (client->options.context, name, client->body->str,
                             client->body->len);
  g_hash_table_replace (client->known, g_strdup (name), g_strdup (revision));
  return TRUE;
}

/* Reads the records of a list whose revision is not the known one; goes on after a
 * failure, so that one bad record does not hold up the others. */
static gboolean
read_changed (jd_platform_client_t *client, const json_t *list)
{
  const json_t *array = json_object_get (list, "records");
  gboolean good = json_is_array (array);
  for (size_t i = 0; i < json_array_size (array); i++)
    {
      const json_t *item = json_array_get (array, i);
      const char *name = json_string_value (json_object_get (item, "name"));
      const json_t *version = json_object_get (item, "version");
      if (!name || !json_is_integer (version))
        {
          good = FALSE;
          continue;
        }
      char *revision =
          g_strdup_printf ("%" JSON_INTEGER_FORMAT, json_integer_value (version));
      if (g_strcmp0 (g_hash_table_lookup (client->known, name), revision) != 0)
        good = read_record (client, name, revision) && good;
      g_free (revision);
    }
  return good;
}

/* Handles a list of records; returns FALSE when a record could not be read. */
static gboolean
take_list (jd_platform_client_t *client)
{
  json_t *list = json_loadb (client->body->str, client->body->len, 0, NULL);
  gboolean good = read_changed (client, list);
  json_int_t revision = json_integer_value (json_object_get (list, "version"));
  if (good)
    client->list_revision = (uint64_t)MAX (revision, 0);
  json_decref (list);
  return good;
}

/* Reads the list of records, waiting for a change when it is known. */
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
  if (!is_unchanged && !(status == 200 && take_list (client)))
    return FALSE;
  atomic_store (&client->confirmed_us, sent_us);
  if (client->options.on_confirmed)
    client->options.on_confirmed (client->options.context, sent_us);
  return TRUE;
}

/* Reads the list of hosts and hands over a new text. */
static gboolean
sync_hosts (jd_platform_client_t *client)
{
  if (!client->options.on_hosts)
    return TRUE;
  if (read_path (client, "/v1/hosts", 0, LIST_LIMIT_BYTES) != 200)
    return FALSE;
  if (g_strcmp0 (client->hosts, client->body->str) == 0)
    return TRUE;
  g_free (client->hosts);
  client->hosts = g_strdup (client->body->str);
  client->options.on_hosts (client->options.context, client->body->str,
                            client->body->len);
  return TRUE;
}

/* Waits after a failed round: doubled for each failure up to a bound, and up to half as
 * long again at random, so that many clients do not call at the same time. */
static void
wait_after_failure (jd_platform_client_t *client)
{
  uint32_t doublings = MIN (client->failures, 16);
  uint64_t wait_ms = (uint64_t)client->options.retry_min_ms << doublings;
  wait_ms = MIN (wait_ms, client->options.retry_max_ms);
  double jitter = 1.0 + 0.5 * jd_rng_unit (&client->options.rng);
  client->failures++;
  if (client->errors)
    jd_counter_add (client->errors, 1);
  jd_log_event (G_LOG_LEVEL_WARNING, "platform_read_failed",
                "failures=%u wait_ms=%" G_GUINT64_FORMAT, client->failures, wait_ms);
  jd_platform_http_sleep (client->http,
                          (int64_t)((double)wait_ms * jitter) * JD_US_PER_MS, FALSE);
}

/* Thread function: one round of calls after the other. */
static gpointer
run_client (gpointer data)
{
  jd_platform_client_t *client = data;
  gboolean has_read = FALSE;
  while (!atomic_load (&client->is_stopping))
    {
      if (has_read && !atomic_load (&client->is_watching))
        {
          /* A later watch compares the whole list again. */
          client->list_revision = 0;
          jd_platform_http_sleep (client->http, JD_US_PER_S, TRUE);
        }
      else if (sync_records (client) && sync_hosts (client))
        {
          has_read = TRUE;
          client->failures = 0;
          jd_platform_http_sleep (client->http, ROUND_MIN_MS * JD_US_PER_MS, FALSE);
        }
      else if (!atomic_load (&client->is_stopping))
        wait_after_failure (client);
    }
  return NULL;
}

/* Replaces zero options by their defaults. */
static void
set_defaults (jd_platform_client_options_t *options)
{
  const struct
  {
    uint32_t *value;
    uint32_t fallback;
  } rows[] = {
    { &options->connect_timeout_ms, DEFAULT_CONNECT_TIMEOUT_MS },
    { &options->total_timeout_ms, DEFAULT_TOTAL_TIMEOUT_MS },
    { &options->watch_wait_ms, DEFAULT_WATCH_WAIT_MS },
    { &options->retry_min_ms, DEFAULT_RETRY_MIN_MS },
    { &options->retry_max_ms, DEFAULT_RETRY_MAX_MS },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      if (*rows[i].value == 0)
        *rows[i].value = rows[i].fallback;
    }
}

/* Creates a client and starts its thread. */
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
      client->reads = jd_counters_get (options->counters, "platform.reads");
      client->errors = jd_counters_get (options->counters, "platform.errors");
    }
  client->body = g_string_new (NULL);
  client->known = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  client->thread = g_thread_new ("platform", run_client, client);
  return client;
}

/* Stops and frees a client. */
void
jd_platform_client_free (jd_platform_client_t *client)
{
  if (!client)
    return;
  atomic_store (&client->is_stopping, true);
  jd_platform_http_interrupt (client->http);
  g_thread_join (client->thread);
  jd_platform_http_free (client->http);
  g_hash_table_destroy (client->known);
  g_string_free (client->body, TRUE);
  g_free (client->hosts);
  g_free (client->base_url);
  g_free (client);
}

/* Switches the watch. */
void
jd_platform_client_set_watching (jd_platform_client_t *client, gboolean watching)
{
  bool before = atomic_exchange (&client->is_watching, watching != FALSE);
  if (watching && !before)
    jd_platform_http_wake (client->http);
}

/* Returns the time of the last confirmation. */
int64_t
jd_platform_client_confirmed_us (jd_platform_client_t *client)
{
  return atomic_load (&client->confirmed_us);
}
