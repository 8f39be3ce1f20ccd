#include "stand_ins/platform_watch.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

#define MAX_WAIT_MS 60000

/* A waiting watch; a g_rc_box with one reference of the list and one of its timer. */
typedef struct jd_platform_watch
{
  jd_platform_t *platform;
  jd_http_request_t *request; /* NULL after the answer. */
  char *name;                 /* NULL: the list. */
  uint64_t known_revision;
  int64_t since_us;
} jd_platform_watch_t;

/* Returns the revision of a record or, with name NULL, of the list. */
static uint64_t
revision_of (const jd_platform_t *platform, const char *name)
{
  return name ? jd_platform_records_revision (platform->records, name)
              : jd_platform_records_index (platform->records);
}

/* Sends a record, the list, or a reply without body. */
static void
send_state (jd_platform_t *platform, jd_http_request_t *request, const char *name,
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

/* Frees the content of a watch. */
static void
watch_clear (gpointer data)
{
  g_free (((jd_platform_watch_t *)data)->name);
}

/* Takes a watch off the list. */
static void
watch_remove (jd_platform_watch_t *watch)
{
  watch->platform->watches = g_list_remove (watch->platform->watches, watch);
  watch->request = NULL;
  g_rc_box_release_full (watch, watch_clear);
}

/* Timer callback: nothing changed in the time given. */
static void
on_watch_timeout (void *data)
{
  jd_platform_watch_t *watch = data;
  jd_platform_t *platform = watch->platform;
  g_mutex_lock (&platform->lock);
  if (watch->request && platform->down == JD_PLATFORM_HANGS)
    {
      platform->hanging = g_list_prepend (platform->hanging, watch->request);
      watch_remove (watch);
    }
  else if (watch->request)
    {
      send_state (platform, watch->request, watch->name, 304);
      watch_remove (watch);
    }
  g_rc_box_release_full (watch, watch_clear);
  g_mutex_unlock (&platform->lock);
}

/* Keeps a request until the record changes or the time is over. */
static void
watch_add (jd_platform_t *platform, jd_http_request_t *request, const char *name,
           uint64_t known_revision)
{
  int64_t wait_ms = jd_http_request_integer (request, "wait_ms", 0);
  int64_t now_us = g_get_monotonic_time ();
  jd_platform_watch_t *watch = g_rc_box_new0 (jd_platform_watch_t);
  watch->platform = platform;
  watch->request = request;
  watch->name = g_strdup (name);
  watch->known_revision = known_revision;
  watch->since_us = now_us;
  platform->watches = g_list_prepend (platform->watches, watch);
  jd_timer_queue_add (platform->timers,
                      now_us + CLAMP (wait_ms, 0, MAX_WAIT_MS) * JD_US_PER_MS,
                      on_watch_timeout, g_rc_box_acquire (watch));
}

/* Answers a read. */
void
jd_platform_read (jd_platform_t *platform, jd_http_request_t *request, const char *name)
{
  uint64_t revision = revision_of (platform, name);
  const char *watch_after = jd_http_request_argument (request, "watch_after");
  uint64_t known = watch_after ? g_ascii_strtoull (watch_after, NULL, 10) : 0;
  const char *tag = jd_http_request_header (request, "If-None-Match");
  if (watch_after && known == revision)
    watch_add (platform, request, name, known);
  else if (name && revision == 0)
    jd_http_request_reply (request, 404, NULL, 0, "{\"error\":\"no such record\"}");
  else if (tag && tag[0] == '"' && g_ascii_strtoull (tag + 1, NULL, 10) == revision)
    send_state (platform, request, name, 304);
  else
    send_state (platform, request, name, 200);
}

/* Answers the watches whose record is another one than they know. */
void
jd_platform_wake_watches (jd_platform_t *platform)
{
  if (platform->down != JD_PLATFORM_UP)
    return;
  GList *next = NULL;
  for (GList *item = platform->watches; item; item = next)
    {
      next = item->next;
      jd_platform_watch_t *watch = item->data;
      if (revision_of (platform, watch->name) == watch->known_revision)
        continue;
      send_state (platform, watch->request, watch->name, 200);
      watch_remove (watch);
    }
}

/* Closes all watches. */
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

/* Counts the watches that began before a time. */
uint64_t
jd_platform_waiting (const jd_platform_t *platform, int64_t older_than_us)
{
  uint64_t count = 0;
  for (const GList *item = platform->watches; item; item = item->next)
    {
      const jd_platform_watch_t *watch = item->data;
      count += watch->since_us < older_than_us ? 1 : 0;
    }
  return count;
}
