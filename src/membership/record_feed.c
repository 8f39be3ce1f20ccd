#include "membership/record_feed.h"

/* Traces of removed records beyond this number are dropped, oldest first by revision, and
 * hosts that are further behind copy everything. */
#define TRACES_MAX 4096

struct jd_record_feed
{
  jd_feed_events_t events;
  GHashTable *by_key; /* key -> jd_feed_item_t */
  int64_t revision;
  int64_t as_of_us; /* When the records were current; 0 while nothing is known. */
  uint32_t traces;
  int64_t changed_revision; /* Of the last change that matters. */
  int64_t hold_until_us;    /* Removals take effect then; 0 if they do at once. */
  GHashTable *held;         /* key -> value of a removed record */
  int64_t traces_since;     /* Removals after this revision have traces. */
};

/* Frees an item. */
static void
free_item (gpointer data)
{
  jd_feed_item_t *item = data;
  g_free (item->key);
  if (item->value)
    g_bytes_unref (item->value);
  g_free (item);
}

/* Creates the table of removed records that are still in effect. */
static GHashTable *
new_held (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                (GDestroyNotify)g_bytes_unref);
}

/* Creates an empty feed. */
jd_record_feed_t *
jd_record_feed_new (const jd_feed_events_t *events)
{
  jd_record_feed_t *feed = g_new0 (jd_record_feed_t, 1);
  feed->events = *events;
  feed->by_key = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_item);
  feed->held = new_held ();
  return feed;
}

/* Frees a feed. */
void
jd_record_feed_free (jd_record_feed_t *feed)
{
  g_hash_table_destroy (feed->held);
  g_hash_table_destroy (feed->by_key);
  g_free (feed);
}

/* Returns the item of a key, created when needed. */
static jd_feed_item_t *
find_item (jd_record_feed_t *feed, const char *key)
{
  jd_feed_item_t *item = g_hash_table_lookup (feed->by_key, key);
  if (item)
    return item;
  item = g_new0 (jd_feed_item_t, 1);
  item->key = g_strdup (key);
  item->revision = -1;
  g_hash_table_insert (feed->by_key, item->key, item);
  return item;
}

/* Takes a record as it was at a revision. Returns TRUE when hosts have to know. Older
 * revisions than the known one are ignored. A record that comes back after its removal
 * is news to other hosts even if this one still holds it. */
bool
jd_record_feed_put (jd_record_feed_t *feed, const char *key, GBytes *value,
                    int64_t revision)
{
  jd_feed_item_t *item = find_item (feed, key);
  if (revision <= item->revision)
    return false;
  GBytes *held = g_hash_table_lookup (feed->held, key);
  GBytes *before = held ? held : item->value;
  bool is_same =
      before && feed->events.is_same (feed->events.context, key, before, value);
  if (is_same && !held)
    return false;
  if (!item->value && item->revision >= 0)
    feed->traces--;
  g_bytes_ref (value);
  if (item->value)
    g_bytes_unref (item->value);
  item->value = value;
  item->revision = revision;
  feed->changed_revision = MAX (feed->changed_revision, revision);
  g_hash_table_remove (feed->held, key);
  if (!is_same)
    feed->events.on_change (feed->events.context, key, value);
  return true;
}

/* Drops the traces of all removed records when there are too many. */
static void
trim_traces (jd_record_feed_t *feed)
{
  if (feed->traces <= TRACES_MAX)
    return;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, feed->by_key);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (!((jd_feed_item_t *)value)->value)
        g_hash_table_iter_remove (&iter);
    }
  feed->traces = 0;
  feed->traces_since = feed->revision;
}

/* Takes the removal of a record at a revision. Other hosts hear of it at once; while
 * removals are held, it takes effect on this host later. */
void
jd_record_feed_remove (jd_record_feed_t *feed, const char *key, int64_t revision)
{
  jd_feed_item_t *item = g_hash_table_lookup (feed->by_key, key);
  if (!item || !item->value || revision <= item->revision)
    return;
  GBytes *value = item->value;
  item->value = NULL;
  item->revision = revision;
  feed->changed_revision = MAX (feed->changed_revision, revision);
  feed->traces++;
  if (feed->hold_until_us > 0)
    {
      g_hash_table_insert (feed->held, g_strdup (key), value);
    }
  else
    {
      feed->events.on_change (feed->events.context, item->key, NULL);
      g_bytes_unref (value);
    }
  trim_traces (feed);
}

/* Keeps removed records in effect for a while: after an outage of their store, records
 * whose writers could not refresh them come back. */
void
jd_record_feed_hold_removals (jd_record_feed_t *feed, int64_t until_us)
{
  feed->hold_until_us = MAX (feed->hold_until_us, until_us);
}

/* Returns until when removals are held; 0 when they take effect at once. */
int64_t
jd_record_feed_held_until_us (const jd_record_feed_t *feed)
{
  return feed->hold_until_us;
}

/* Lets the removals that were held take effect, unless the records have come back. */
void
jd_record_feed_release_removals (jd_record_feed_t *feed, int64_t now_us)
{
  if (feed->hold_until_us == 0 || now_us < feed->hold_until_us)
    return;
  feed->hold_until_us = 0;
  GHashTable *held = feed->held;
  feed->held = new_held ();
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, held);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    feed->events.on_change (feed->events.context, key, NULL);
  g_hash_table_destroy (held);
}

/* Removes all records whose keys are not in the set, after a full read. Records that
 * changed after the revision of that read stay. The full read itself counts as a change:
 * records may have been removed that this host never knew. */
void
jd_record_feed_retain (jd_record_feed_t *feed, GHashTable *keys, int64_t revision)
{
  GPtrArray *missing = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, feed->by_key);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const jd_feed_item_t *item = value;
      if (item->value && item->revision < revision &&
          !g_hash_table_contains (keys, item->key))
        g_ptr_array_add (missing, g_strdup (item->key));
    }
  for (guint i = 0; i < missing->len; i++)
    jd_record_feed_remove (feed, missing->pdata[i], revision);
  g_ptr_array_free (missing, TRUE);
  feed->traces_since = MAX (feed->traces_since, revision);
  feed->changed_revision = MAX (feed->changed_revision, revision);
}

/* Says that the records are complete up to a revision and were current at a time. */
void
jd_record_feed_advance (jd_record_feed_t *feed, int64_t revision, int64_t as_of_us)
{
  feed->revision = MAX (feed->revision, revision);
  feed->as_of_us = MAX (feed->as_of_us, as_of_us);
}

/* Returns the revision up to which the records are complete; 0 while none is known. */
int64_t
jd_record_feed_revision (const jd_record_feed_t *feed)
{
  return feed->revision;
}

/* Returns when the records were last known to be current; 0 for never. */
int64_t
jd_record_feed_as_of_us (const jd_record_feed_t *feed)
{
  return feed->as_of_us;
}

/* Returns the revision of the last change that matters to hosts. */
int64_t
jd_record_feed_changed_revision (const jd_record_feed_t *feed)
{
  return feed->changed_revision;
}

/* Returns the revision after which all removals have traces. */
int64_t
jd_record_feed_traces_since (const jd_record_feed_t *feed)
{
  return feed->traces_since;
}

/* TRUE when a host that knows everything up to a revision may get just the changes. */
bool
jd_record_feed_has_changes_since (const jd_record_feed_t *feed, int64_t revision)
{
  return revision > 0 && revision >= feed->traces_since;
}

/* Visits the records and traces that changed after a revision. */
void
jd_record_feed_each_after (const jd_record_feed_t *feed, int64_t revision,
                           void (*visit) (void *context, const jd_feed_item_t *item),
                           void *context)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, feed->by_key);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const jd_feed_item_t *item = value;
      if (item->revision > revision)
        visit (context, item);
    }
}
