#include "stand_ins/platform_watch.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

#define MAX_WAIT_MS 60000

/* A read that waits for a change. A g_rc_box: the list has one reference and the timer
 * has one. */
typedef struct jd_platform_watch
{
  jd_platform_t *platform;
  jd_http_request_t *request; /* NULL after the watch has ended. */
  char *name;                 /* NULL: the list of records. */
  uint64_t client_revision;
  int64_t start_us;
} jd_platform_watch_t;

/* Returns the revision of a record or, if name is NULL, of the list. */
static uint64_t
revision_of (const jd_platform_t *platform, const char *name)
{
  return name ? jd_platform_records_revision (platform->records, name)
              : jd_platform_records_highest_revision (platform->records);
}

/* Replies with the revision and, for status 200, with a record or the list as body. */
static void
reply_record (jd_platform_t *platform, jd_http_request_t *request, const char *name,
              uint32_t status)
{
  char revision[32];
  char tag[40];
  g_snprintf (revision, sizeof (revision), "%" G_GUINT64_FORMAT,
              revision_of (platform, name));
  g_snprintf (tag, sizeof (tag), "\"%s\"", revision);
  const jd_http_header_t headers[] = { { "X-Version", revision }, { "ETag", tag } };
  char *list = NULL;
  if (status == 200 && !name)
    {
      json_t *object = jd_platform_records_list (platform->records);
      list = json_dumps (object, JSON_COMPACT);
      json_decref (object);
    }
  const char *text = list;
  if (status == 200 && name)
    text = jd_platform_records_text (platform->records, name);
  jd_http_request_reply (request, status, headers, G_N_ELEMENTS (headers), text);
  free (list);
}

/* Frees the members of a watch when its last reference is released. */
static void
watch_clear (gpointer data)
{
  g_free (((jd_platform_watch_t *)data)->name);
}

/* Removes a watch from the list and releases the list's reference. */
static void
watch_remove (jd_platform_watch_t *watch)
{
  watch->platform->watches = g_list_remove (watch->platform->watches, watch);
  watch->request = NULL;
  g_rc_box_release_full (watch, watch_clear);
}

/* Timer callback: the wait of a watch is over. Replies with 304 if it still waits, or
 * adds its request to the hanging ones. Releases the timer's reference. */
static void
on_watch_timeout (void *data)
{
  jd_platform_watch_t *watch = data;
  jd_platform_t *platform = watch->platform;
  g_mutex_lock (&platform->lock);
  if (watch->request && platform->availability == JD_PLATFORM_HANGS)
    {
      platform->hanging_requests =
          g_list_prepend (platform->hanging_requests, watch->request);
      watch_remove (watch);
    }
  else if (watch->request)
    {
      reply_record (platform, watch->request, watch->name, 304);
      watch_remove (watch);
    }
  g_rc_box_release_full (watch, watch_clear);
  g_mutex_unlock (&platform->lock);
}

/* Adds a watch that ends when the record changes, or after the requested wait but at most
 * MAX_WAIT_MS. */
static void
watch_add (jd_platform_t *platform, jd_http_request_t *request, const char *name,
           uint64_t client_revision)
{
  int64_t wait_ms = jd_http_request_integer_argument (request, "wait_ms", 0);
  int64_t now_us = g_get_monotonic_time ();
  jd_platform_watch_t *watch = g_rc_box_new0 (jd_platform_watch_t);
  watch->platform = platform;
  watch->request = request;
  watch->name = g_strdup (name);
  watch->client_revision = client_revision;
  watch->start_us = now_us;
  platform->watches = g_list_prepend (platform->watches, watch);
  jd_timer_queue_add (platform->timers,
                      now_us + CLAMP (wait_ms, 0, MAX_WAIT_MS) * JD_US_PER_MS,
                      on_watch_timeout, g_rc_box_acquire (watch));
}

/* Answers a read, or adds a watch if the client has the current revision. */
void
jd_platform_read (jd_platform_t *platform, jd_http_request_t *request, const char *name)
{
  uint64_t revision = revision_of (platform, name);
  const char *watch_after = jd_http_request_argument (request, "watch_after");
  uint64_t watched_revision = watch_after ? g_ascii_strtoull (watch_after, NULL, 10) : 0;
  const char *tag = jd_http_request_header (request, "If-None-Match");
  if (watch_after && watched_revision == revision)
    watch_add (platform, request, name, watched_revision);
  else if (name && revision == 0)
    jd_http_request_reply (request, 404, NULL, 0, "{\"error\":\"no such record\"}");
  else if (tag && tag[0] == '"' && g_ascii_strtoull (tag + 1, NULL, 10) == revision)
    reply_record (platform, request, name, 304);
  else
    reply_record (platform, request, name, 200);
}

/* Answers the watches whose record has another revision than the client has. Does nothing
 * while the platform is not available. */
void
jd_platform_answer_changed_watches (jd_platform_t *platform)
{
  if (platform->availability != JD_PLATFORM_UP)
    return;
  GList *next = NULL;
  for (GList *item = platform->watches; item; item = next)
    {
      next = item->next;
      jd_platform_watch_t *watch = item->data;
      if (revision_of (platform, watch->name) == watch->client_revision)
        continue;
      reply_record (platform, watch->request, watch->name, 200);
      watch_remove (watch);
    }
}

/* Closes the connections of all watches and removes the watches. */
void
jd_platform_close_watches (jd_platform_t *platform)
{
  while (platform->watches)
    {
      jd_platform_watch_t *watch = platform->watches->data;
      jd_http_request_close (watch->request);
      watch_remove (watch);
    }
}

/* Returns the number of waiting watches that started before a time of the monotonic
 * clock. */
uint64_t
jd_platform_waiting_watch_count (const jd_platform_t *platform, int64_t started_before_us)
{
  uint64_t count = 0;
  for (const GList *item = platform->watches; item; item = item->next)
    {
      const jd_platform_watch_t *watch = item->data;
      count += watch->start_us < started_before_us ? 1 : 0;
    }
  return count;
}
