#include "daemons/platform_feed.h"

/* The callback of the platform client that queued an item. */
typedef enum feed_kind
{
  FEED_RECORD,
  FEED_CONFIRMED,
  FEED_HOSTS,
} feed_kind_t;

typedef struct feed_item
{
  feed_kind_t kind;
  char *name;      /* Record name; NULL unless the kind is FEED_RECORD. */
  char *text;      /* Record or host list; NULL for FEED_CONFIRMED. */
  size_t length;   /* Of text, in bytes. */
  int64_t sent_us; /* Send time of the confirming request; see on_confirmed. */
} feed_item_t;

struct jd_platform_feed
{
  jd_platform_feed_options_t options;
  jd_philox_t random;
  GAsyncQueue *items;
  jd_platform_client_t *client;
};

/* Frees one item; the destroy callback of the queue. */
static void
free_item (gpointer data)
{
  feed_item_t *item = data;
  g_free (item->name);
  g_free (item->text);
  g_free (item);
}

/* Queues a copy of item, which takes over its strings, and wakes the event loop. */
static void
push (jd_platform_feed_t *feed, feed_item_t item)
{
  g_async_queue_push (feed->items, g_memdup2 (&item, sizeof (item)));
  feed->options.wake (feed->options.wake_context);
}

/* Record callback of the platform client, in its thread. */
static void
on_record (void *context, const char *name, const char *text, size_t length)
{
  push (context, (feed_item_t){ .kind = FEED_RECORD,
                                .name = g_strdup (name),
                                .text = g_strndup (text, length),
                                .length = length });
}

/* Confirmation callback of the platform client, in its thread: the records that were
 * passed on were the newest ones at sent_us. */
static void
on_confirmed (void *context, int64_t sent_us)
{
  push (context, (feed_item_t){ .kind = FEED_CONFIRMED, .sent_us = sent_us });
}

/* Host list callback of the platform client, in its thread. */
static void
on_hosts (void *context, const char *text, size_t length)
{
  push (context, (feed_item_t){ .kind = FEED_HOSTS,
                                .text = g_strndup (text, length),
                                .length = length });
}

/* Starts to read and watch the platform. The URL and the counters must outlive the
 * feed. */
jd_platform_feed_t *
jd_platform_feed_new (const jd_platform_feed_options_t *options)
{
  jd_platform_feed_t *feed = g_new0 (jd_platform_feed_t, 1);
  feed->options = *options;
  feed->random.seed = jd_entropy ();
  feed->items = g_async_queue_new_full (free_item);
  jd_platform_client_options_t client = {
    .base_url = options->url,
    .watch = TRUE,
    .clock = options->clock,
    .rng = jd_philox_rng (&feed->random),
    .counters = options->counters,
    .on_record = on_record,
    .on_confirmed = on_confirmed,
    .on_hosts = on_hosts,
    .context = feed,
  };
  feed->client = jd_platform_client_new (&client);
  return feed;
}

/* Stops the client and frees the queued items; NULL is allowed. */
void
jd_platform_feed_free (jd_platform_feed_t *feed)
{
  if (!feed)
    return;
  jd_platform_client_free (feed->client);
  g_async_queue_unref (feed->items);
  g_free (feed);
}

/* Calls the callback of the feed's owner for one item. */
static void
deliver (const jd_platform_feed_options_t *options, const feed_item_t *item)
{
  switch (item->kind)
    {
    case FEED_RECORD:
      options->on_record (options->context, item->name, item->text, item->length);
      break;
    case FEED_CONFIRMED:
      options->on_confirmed (options->context, item->sent_us);
      break;
    case FEED_HOSTS:
      options->on_hosts (options->context, item->text, item->length);
      break;
    }
}

/* Calls the callbacks for all queued items, in order. */
void
jd_platform_feed_drain (jd_platform_feed_t *feed)
{
  feed_item_t *item;
  while ((item = g_async_queue_try_pop (feed->items)))
    {
      deliver (&feed->options, item);
      free_item (item);
    }
}

/* Starts or stops the watch of the platform. */
void
jd_platform_feed_set_watching (jd_platform_feed_t *feed, gboolean watching)
{
  jd_platform_client_set_watching (feed->client, watching);
}
