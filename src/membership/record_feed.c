#include "membership/record_feed.h"

#include "base/clock.h"
#include "base/log_event.h"

/* If there are more tombstones of removed records, the older half is dropped, and a host
 * whose records are older than those copies all records. */
#define MAX_TOMBSTONES 4096
/* Removals of batches within this time count together, because a host reads what expired
 * during an outage in several answers of the store. */
#define REMOVALS_TOGETHER_US (2 * JD_US_PER_S)

struct jd_record_feed
{
  jd_feed_events_t events;
  GHashTable *by_key; /* key -> jd_feed_item_t */
  int64_t revision;
  int64_t as_of_us; /* Time at which the records were current; 0: none known. */
  uint32_t tombstone_count;
  int64_t changed_revision; /* Revision of the last change that matters to hosts. */
  int64_t hold_until_us;    /* Removals take effect at this time; 0: at once. */
  GHashTable *held;         /* key -> value of a removed record that is still in effect */
  jd_removal_doubt_t doubt;
  bool is_batch;            /* Removals are held until the end of the batch. */
  uint32_t recent_removals; /* Doubtful removals since recent_since_us. */
  int64_t recent_since_us;
  int64_t tombstones_since; /* All removals after this revision have tombstones. */
};

/* Frees an item; a GDestroyNotify. */
static void
free_item (gpointer data)
{
  jd_feed_item_t *item = data;
  g_free (item->key);
  g_clear_pointer (&item->value, g_bytes_unref);
  g_clear_pointer (&item->last_value, g_bytes_unref);
  g_free (item);
}

/* Creates an empty table of removed records that are still in effect. */
static GHashTable *
new_held_table (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                (GDestroyNotify)g_bytes_unref);
}

/* Creates an empty feed; events is copied. Free with jd_record_feed_free. */
jd_record_feed_t *
jd_record_feed_new (const jd_feed_events_t *events)
{
  jd_record_feed_t *feed = g_new0 (jd_record_feed_t, 1);
  feed->events = *events;
  feed->by_key = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_item);
  feed->held = new_held_table ();
  feed->doubt.max_share = 1.0;
  return feed;
}

/* Frees a feed; NULL is not allowed. */
void
jd_record_feed_free (jd_record_feed_t *feed)
{
  g_hash_table_destroy (feed->held);
  g_hash_table_destroy (feed->by_key);
  g_free (feed);
}

/* Returns the item of a key. Creates it, with revision -1, if there is none. */
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

/* Replaces a reference to a value by one to another value, which may be NULL. */
static void
set_value (GBytes **reference, GBytes *value)
{
  if (value)
    g_bytes_ref (value);
  if (*reference)
    g_bytes_unref (*reference);
  *reference = value;
}

/* Returns how the removal of a record with a value is handled. */
static jd_removal_handling_t
judge_removal (const jd_record_feed_t *feed, const char *key, GBytes *value)
{
  return feed->events.judge_removal
             ? feed->events.judge_removal (feed->events.context, key, value)
             : JD_REMOVAL_DOUBT;
}

/* Returns TRUE if a value stays in force when the store lacks its record. The writer's
 * order alone decides between such values, because hosts notice at different positions
 * that the record is missing. */
static bool
is_kept (const jd_record_feed_t *feed, const char *key, GBytes *value)
{
  return judge_removal (feed, key, value) == JD_REMOVAL_IGNORE;
}

/* Returns TRUE if another host knows more of a record although its revision is not newer
 * than the one at which this host knows a value. Two hosts differ at a revision only if
 * the store has returned from an older copy, and one of them knows what was written after
 * that copy was made. */
static bool
is_known_better (const jd_record_feed_t *feed, const jd_feed_item_t *item, GBytes *listed,
                 int64_t revision)
{
  return item->value && feed->events.is_newer &&
         (revision == item->revision || is_kept (feed, item->key, item->value)) &&
         feed->events.is_newer (feed->events.context, item->key, item->value, listed);
}

/* Returns TRUE if a revision is of a later generation of the store than another one. */
static bool
is_later_generation (int64_t revision, int64_t than)
{
  return jd_record_revision_generation (revision) > jd_record_revision_generation (than);
}

/* Returns TRUE if a listed value is one that the store had before what this host knows of
 * the record: the store returned from an older copy, and the writer of the record has not
 * written it again yet. */
static bool
is_from_older_copy (const jd_record_feed_t *feed, const jd_feed_item_t *item,
                    GBytes *listed, int64_t revision)
{
  GBytes *known = item->value ? item->value : item->last_value;
  return known && feed->events.is_newer &&
         (is_later_generation (revision, item->revision) ||
          is_kept (feed, item->key, known)) &&
         !feed->events.is_newer (feed->events.context, item->key, known, listed);
}

/* Returns TRUE if a record is unknown because it was removed: this host is complete up to
 * its revision. Another host may not have heard of the removal, or it ignores it, as this
 * host would have done if it had known the record. */
static bool
is_known_removed (const jd_record_feed_t *feed, const char *key, GBytes *value,
                  int64_t revision)
{
  return revision <= feed->revision && !g_hash_table_contains (feed->by_key, key) &&
         !is_kept (feed, key, value);
}

/* Applies the value of a record at a revision and adds a reference to it. Returns TRUE
 * if the change matters to other hosts. Ignores a revision that is not newer than the
 * stored one. An equal value is a heartbeat, and does not matter, if it and the one
 * before were heard as changes of the store. One that was listed or copied may follow
 * changes that this host missed, or may be from an older copy of the store. A record that
 * returns after its removal matters to other hosts even if its removal has not taken
 * effect on this one. A value from an older copy of the store changes nothing but the
 * revision, so that other hosts copy what this one knows. */
bool
jd_record_feed_put (jd_record_feed_t *feed, const char *key, GBytes *value,
                    int64_t revision, jd_record_origin_t origin)
{
  if (is_known_removed (feed, key, value, revision))
    return false;
  jd_feed_item_t *item = find_item (feed, key);
  if (revision <= item->revision && !is_known_better (feed, item, value, revision))
    return false;
  bool may_be_heartbeat = origin == JD_RECORD_WRITTEN && item->is_written;
  item->is_written = origin == JD_RECORD_WRITTEN;
  GBytes *held_value = g_hash_table_lookup (feed->held, key);
  GBytes *old_value = held_value ? held_value : item->value;
  bool is_same =
      old_value && feed->events.is_same (feed->events.context, key, old_value, value);
  if (is_same && !held_value)
    {
      /* Later comparisons need the newest heartbeat counter. */
      set_value (&item->value, value);
      if (may_be_heartbeat)
        return false;
      item->revision = revision;
      feed->changed_revision = MAX (feed->changed_revision, revision);
      return true;
    }
  if (is_from_older_copy (feed, item, value, revision))
    {
      item->revision = revision;
      feed->changed_revision = MAX (feed->changed_revision, revision);
      return true;
    }
  if (!item->value && item->revision >= 0)
    feed->tombstone_count--;
  set_value (&item->value, value);
  set_value (&item->last_value, NULL);
  item->revision = MAX (item->revision, revision);
  feed->changed_revision = MAX (feed->changed_revision, revision);
  g_hash_table_remove (feed->held, key);
  if (!is_same)
    feed->events.on_change (feed->events.context, key, value);
  return true;
}

/* Sort callback: orders revisions. */
static gint
compare_revisions (gconstpointer a, gconstpointer b)
{
  int64_t left = *(const int64_t *)a, right = *(const int64_t *)b;
  return (left > right) - (left < right);
}

/* Returns the revision of the newest tombstone in the older half. */
static int64_t
median_tombstone_revision (const jd_record_feed_t *feed)
{
  GArray *revisions =
      g_array_sized_new (FALSE, FALSE, sizeof (int64_t), feed->tombstone_count);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, feed->by_key);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const jd_feed_item_t *item = value;
      if (!item->value)
        g_array_append_val (revisions, item->revision);
    }
  g_array_sort (revisions, compare_revisions);
  int64_t median = g_array_index (revisions, int64_t, revisions->len / 2);
  g_array_free (revisions, TRUE);
  return median;
}

/* Drops the older half of the tombstones if there are too many. The removals since the
 * last complete revision are among them, so it is the revision of the dropped tombstones
 * that tells whose copies must be full. */
static void
trim_tombstones (jd_record_feed_t *feed)
{
  if (feed->tombstone_count <= MAX_TOMBSTONES)
    return;
  int64_t dropped_revision = median_tombstone_revision (feed);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, feed->by_key);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const jd_feed_item_t *item = value;
      if (item->value || item->revision > dropped_revision)
        continue;
      g_hash_table_iter_remove (&iter);
      feed->tombstone_count--;
    }
  feed->tombstones_since = MAX (feed->tombstones_since, dropped_revision);
}

/* Returns the number of records that are not removed. */
static uint32_t
count_records (const jd_record_feed_t *feed)
{
  return g_hash_table_size (feed->by_key) - feed->tombstone_count;
}

/* Applies the removal of a record at a revision. Other hosts can copy it at once; on this
 * host it takes effect when removals are no longer held. The removal of an unknown record
 * is kept for other hosts, which may have the record. */
void
jd_record_feed_remove (jd_record_feed_t *feed, const char *key, int64_t revision)
{
  jd_feed_item_t *item = find_item (feed, key);
  /* A removal at the revision of a value is that of a host that knows more, see
   * is_known_better (). */
  bool is_known_by_other = revision == item->revision && item->value;
  if (revision <= item->revision && !is_known_by_other)
    return;
  jd_removal_handling_t handling =
      item->value ? judge_removal (feed, key, item->value) : JD_REMOVAL_APPLY;
  feed->changed_revision = MAX (feed->changed_revision, revision);
  if (handling == JD_REMOVAL_IGNORE)
    {
      item->revision = revision;
      return;
    }
  bool is_known_removal = !item->value && item->revision >= 0;
  GBytes *value = item->value;
  item->value = NULL;
  item->revision = revision;
  if (!is_known_removal)
    feed->tombstone_count++;
  if (value)
    set_value (&item->last_value, value);
  if (value && handling == JD_REMOVAL_DOUBT &&
      (feed->is_batch || feed->hold_until_us > 0))
    {
      feed->recent_removals += feed->is_batch;
      g_hash_table_insert (feed->held, g_strdup (key), value);
    }
  else if (value)
    {
      feed->events.on_change (feed->events.context, item->key, NULL);
      g_bytes_unref (value);
    }
  trim_tombstones (feed);
}

/* Sets how many removals at a time are believed, and how long others are held. */
void
jd_record_feed_set_doubt (jd_record_feed_t *feed, const jd_removal_doubt_t *doubt)
{
  feed->doubt = *doubt;
}

/* Starts a batch: removals take effect, or are held, at its end, when their number is
 * known. A batch that was not ended goes on. */
void
jd_record_feed_begin_batch (jd_record_feed_t *feed)
{
  feed->is_batch = true;
}

/* Applies the held removals that need not be held any longer: all of them, or those of
 * records whose removal is no longer doubted. */
static void
apply_held_removals (jd_record_feed_t *feed, bool all)
{
  GPtrArray *keys = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer key, value;
  g_hash_table_iter_init (&iter, feed->held);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      if (!all && judge_removal (feed, key, value) == JD_REMOVAL_DOUBT)
        continue;
      g_ptr_array_add (keys, g_strdup (key));
      g_hash_table_iter_remove (&iter);
    }
  for (guint i = 0; i < keys->len; i++)
    feed->events.on_change (feed->events.context, keys->pdata[i], NULL);
  g_ptr_array_free (keys, TRUE);
}

/* Ends a batch. Its removals take effect unless removals are held already, or so many
 * records have been removed that an error of the store is more likely; those are held.
 * Call before jd_record_feed_advance, so that the age of the records is known. */
void
jd_record_feed_end_batch (jd_record_feed_t *feed, int64_t now_us)
{
  feed->is_batch = false;
  uint32_t held_count = g_hash_table_size (feed->held);
  if (now_us - feed->recent_since_us > REMOVALS_TOGETHER_US)
    {
      feed->recent_since_us = now_us;
      feed->recent_removals = feed->hold_until_us > 0 ? 0 : held_count;
    }
  if (feed->hold_until_us > 0 || held_count == 0)
    return;
  jd_removal_batch_t batch = {
    .removed = feed->recent_removals,
    .records = count_records (feed) + feed->recent_removals,
    .as_of_us = feed->as_of_us,
  };
  int64_t until_us = jd_removal_doubt_hold_until_us (&feed->doubt, &batch, now_us);
  if (until_us == 0)
    {
      apply_held_removals (feed, true);
      return;
    }
  feed->hold_until_us = until_us;
  jd_log_event (G_LOG_LEVEL_WARNING, "removals_doubted",
                "removed=%u records=%u unread_ms=%" G_GINT64_FORMAT
                " hold_ms=%" G_GINT64_FORMAT,
                batch.removed, batch.records, (now_us - batch.as_of_us) / JD_US_PER_MS,
                (until_us - now_us) / JD_US_PER_MS);
}

/* Keeps removed records in effect until a time, because records that expired during an
 * outage of the store return when their writers can refresh them again. */
void
jd_record_feed_hold_removals (jd_record_feed_t *feed, int64_t until_us)
{
  feed->hold_until_us = MAX (feed->hold_until_us, until_us);
}

/* Returns the time until which removals are held; 0 if they take effect at once. */
int64_t
jd_record_feed_removals_held_until_us (const jd_record_feed_t *feed)
{
  return feed->hold_until_us;
}

/* Returns the number of removed records that are still in effect. */
uint32_t
jd_record_feed_held_count (const jd_record_feed_t *feed)
{
  return g_hash_table_size (feed->held);
}

/* Applies the held removals of records that have not returned, if their hold time is
 * over; before that, those whose removal is no longer doubted. */
void
jd_record_feed_release_removals (jd_record_feed_t *feed, int64_t now_us)
{
  if (feed->hold_until_us == 0)
    return;
  bool is_over = now_us >= feed->hold_until_us;
  if (is_over)
    {
      feed->hold_until_us = 0;
      if (g_hash_table_size (feed->held) > 0)
        jd_log_event (G_LOG_LEVEL_INFO, "removals_applied", "removed=%u",
                      g_hash_table_size (feed->held));
    }
  apply_held_removals (feed, is_over);
}

/* Removes all records whose keys are not in a set, after a full read at a revision.
 * Records that changed at or after this revision stay. The full read itself counts as a
 * change, because records that this host never had may have been removed. */
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
  feed->tombstones_since = MAX (feed->tombstones_since, revision);
  feed->changed_revision = MAX (feed->changed_revision, revision);
}

/* Records that the feed is complete up to a revision and was current at a time. Neither
 * goes back. A revision of an earlier generation than the feed's says nothing about its
 * records. */
void
jd_record_feed_advance (jd_record_feed_t *feed, int64_t revision, int64_t as_of_us)
{
  if (jd_record_revision_generation (revision) <
      jd_record_revision_generation (feed->revision))
    return;
  feed->revision = MAX (feed->revision, revision);
  feed->as_of_us = MAX (feed->as_of_us, as_of_us);
}

/* Returns the revision up to which the records are complete; 0 before the first read. */
int64_t
jd_record_feed_revision (const jd_record_feed_t *feed)
{
  return feed->revision;
}

/* Returns the time at which the records were last known to be current; 0: never. */
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

/* Returns the revision after which all removals have tombstones. */
int64_t
jd_record_feed_tombstones_since (const jd_record_feed_t *feed)
{
  return feed->tombstones_since;
}

/* Returns TRUE if a host whose records are complete up to a revision can copy only the
 * changes after it. */
bool
jd_record_feed_has_changes_since (const jd_record_feed_t *feed, int64_t revision)
{
  return revision > 0 && revision >= feed->tombstones_since;
}

/* Calls visit for the records and tombstones that changed after a revision. visit must
 * not change the feed. */
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
