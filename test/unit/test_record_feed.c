#include "membership/record_feed.h"

#include <string.h>

#include "support/test_main.h"

typedef struct event_counts
{
  uint32_t changes;
  uint32_t removals;
} event_counts_t;

/* Treats values that start with the same letter as equivalent. */
static bool
has_same_first_letter (void *context, const char *key, GBytes *old_value,
                       GBytes *new_value)
{
  const char *left = g_bytes_get_data (old_value, NULL);
  const char *right = g_bytes_get_data (new_value, NULL);
  return left[0] == right[0];
}

static void
count_change (void *context, const char *key, GBytes *value)
{
  event_counts_t *counts = context;
  if (value)
    counts->changes++;
  else
    counts->removals++;
}

static jd_record_feed_t *
new_feed (event_counts_t *counts)
{
  jd_feed_events_t events = { .is_same = has_same_first_letter,
                              .on_change = count_change,
                              .context = counts };
  return jd_record_feed_new (&events);
}

/* Puts a record that a whole read of the store lists. */
static void
put_listed (jd_record_feed_t *feed, const char *key, const char *text, int64_t revision)
{
  GBytes *value = g_bytes_new (text, strlen (text) + 1);
  jd_record_feed_put (feed, key, value, revision, JD_RECORD_LISTED);
  g_bytes_unref (value);
}

/* Puts a record as the next change. */
static void
put_record (jd_record_feed_t *feed, const char *key, const char *text, int64_t revision)
{
  GBytes *value = g_bytes_new (text, strlen (text) + 1);
  jd_record_feed_put (feed, key, value, revision, JD_RECORD_WRITTEN);
  g_bytes_unref (value);
}

/* Guards against changes of a heartbeat counter that are copied to all hosts, and against
 * an older record that replaces a newer one. */
static void
only_newer_changes_that_matter_are_applied (void)
{
  event_counts_t counts = { 0 };
  jd_record_feed_t *feed = new_feed (&counts);
  put_record (feed, "k", "a1", 5);
  put_record (feed, "k", "a2", 6);
  CU_ASSERT_EQUAL (jd_record_feed_changed_revision (feed), 5);
  put_record (feed, "k", "b", 8);
  put_record (feed, "k", "c", 7);
  CU_ASSERT_EQUAL (counts.changes, 2);
  CU_ASSERT_EQUAL (jd_record_feed_changed_revision (feed), 8);
  jd_record_feed_free (feed);
}

/* Guards against a host that copies from one that has just read the whole store and
 * misses a record that was removed in between. In signfold-search-grown scale-1 a request
 * went to a target that had left 5.4 s before. */
static void
full_read_counts_as_a_change (void)
{
  event_counts_t counts = { 0 };
  jd_record_feed_t *feed = new_feed (&counts);
  GHashTable *keys = g_hash_table_new (g_str_hash, g_str_equal);
  g_hash_table_add (keys, "kept");
  put_record (feed, "kept", "a", 5);
  /* "removed" existed up to revision 6 and was removed at 7, before this read. */
  jd_record_feed_retain (feed, keys, 7);
  jd_record_feed_advance (feed, 7, 1);
  CU_ASSERT_TRUE (jd_record_feed_changed_revision (feed) >= 7);
  CU_ASSERT_FALSE (jd_record_feed_has_changes_since (feed, 6));
  CU_ASSERT_TRUE (jd_record_feed_has_changes_since (feed, 7));
  g_hash_table_destroy (keys);
  jd_record_feed_free (feed);
}

/* Applies a record or tombstone of one feed to another, as hosts do. */
static void
copy_item (void *context, const jd_feed_item_t *item)
{
  if (item->value)
    jd_record_feed_put (context, item->key, item->value, item->revision,
                        JD_RECORD_COPIED);
  else
    jd_record_feed_remove (context, item->key, item->revision);
}

/* Adds the key of a record that is not removed to a set. */
static void
collect_key (void *context, const jd_feed_item_t *item)
{
  if (item->value)
    g_hash_table_add (context, g_strdup (item->key));
}

static void
copy_changes (const jd_record_feed_t *from, jd_record_feed_t *to, int64_t as_of_us)
{
  jd_record_feed_hold_removals (to, jd_record_feed_removals_held_until_us (from));
  jd_record_feed_each_after (from, jd_record_feed_revision (to), copy_item, to);
  jd_record_feed_advance (to, jd_record_feed_revision (from), as_of_us);
}

/* Guards against dropping targets because their records expired during an outage of the
 * store, and against keeping them for ever. */
static void
held_removals_wait_for_records_to_return (void)
{
  event_counts_t counts = { 0 };
  jd_record_feed_t *feed = new_feed (&counts);
  put_record (feed, "returns", "a", 1);
  put_record (feed, "restarted", "a", 2);
  put_record (feed, "gone", "a", 2);
  jd_record_feed_advance (feed, 2, 100);
  jd_record_feed_hold_removals (feed, 1100);
  jd_record_feed_remove (feed, "returns", 3);
  jd_record_feed_remove (feed, "gone", 4);
  jd_record_feed_remove (feed, "restarted", 5);
  jd_record_feed_advance (feed, 5, 700);
  CU_ASSERT_EQUAL (counts.removals, 0);
  put_record (feed, "returns", "a", 6);
  CU_ASSERT_EQUAL (counts.changes, 3);
  put_record (feed, "restarted", "b", 7);
  CU_ASSERT_EQUAL (counts.changes, 4);
  jd_record_feed_release_removals (feed, 1099);
  CU_ASSERT_EQUAL (counts.removals, 0);
  jd_record_feed_release_removals (feed, 1100);
  CU_ASSERT_EQUAL (counts.removals, 1);
  jd_record_feed_remove (feed, "returns", 8);
  CU_ASSERT_EQUAL (counts.removals, 2);
  jd_record_feed_free (feed);
}

/* Guards against a host that copies its records from another one and, after an outage of
 * the store, drops targets that have returned or keeps targets that have not. In
 * signfold-search-grown trouble-3 160 of 296 targets were dropped for 4 s. */
static void
copying_hosts_get_returned_records (void)
{
  event_counts_t counts[2] = { { 0 } };
  jd_record_feed_t *reader = new_feed (&counts[0]), *copying = new_feed (&counts[1]);
  put_record (reader, "returns", "a", 1);
  put_record (reader, "gone", "a", 2);
  jd_record_feed_advance (reader, 2, 100);
  copy_changes (reader, copying, 100);
  /* Both get the removals; then only one reads the store. */
  jd_record_feed_hold_removals (reader, 1200);
  jd_record_feed_remove (reader, "returns", 3);
  jd_record_feed_remove (reader, "gone", 4);
  jd_record_feed_advance (reader, 4, 700);
  copy_changes (reader, copying, 700);
  put_record (reader, "returns", "a", 5);
  jd_record_feed_advance (reader, 5, 800);
  CU_ASSERT_EQUAL (jd_record_feed_changed_revision (reader), 5);
  copy_changes (reader, copying, 800);
  jd_record_feed_release_removals (reader, 1200);
  jd_record_feed_release_removals (copying, 1200);
  for (int i = 0; i < 2; i++)
    {
      CU_ASSERT_EQUAL (counts[i].removals, 1);
      CU_ASSERT_EQUAL (counts[i].changes, 2);
    }
  /* Without an outage, removals take effect at once. */
  jd_record_feed_remove (reader, "returns", 6);
  jd_record_feed_advance (reader, 6, 1250);
  copy_changes (reader, copying, 1250);
  CU_ASSERT_EQUAL (counts[0].removals, 2);
  CU_ASSERT_EQUAL (counts[1].removals, 2);
  jd_record_feed_free (reader);
  jd_record_feed_free (copying);
}

/* Applies a copy that one feed answers another: its changes, or all of its records. */
static void
follow (const jd_record_feed_t *from, jd_record_feed_t *to)
{
  int64_t after = jd_record_feed_revision (to);
  bool is_full = !jd_record_feed_has_changes_since (from, after);
  jd_record_feed_each_after (from, is_full ? -1 : after, copy_item, to);
  if (is_full)
    {
      GHashTable *keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      jd_record_feed_each_after (from, -1, collect_key, keys);
      jd_record_feed_retain (to, keys, jd_record_feed_revision (from));
      g_hash_table_destroy (keys);
    }
  jd_record_feed_advance (to, jd_record_feed_revision (from), 1);
}

/* Guards against copies that miss a removal because its tombstone is dropped at that
 * moment (review/5): whatever the number of removals, a host that follows another one
 * loses the same records. */
static void
copies_miss_no_removal (void)
{
  static const int64_t counts[] = { 1, 4095, 4096, 4097, 4098, 9000 };
  for (size_t i = 0; i < G_N_ELEMENTS (counts); i++)
    {
      event_counts_t reader_events = { 0 }, copy_events = { 0 };
      jd_record_feed_t *reader = new_feed (&reader_events);
      jd_record_feed_t *copy = new_feed (&copy_events);
      put_record (reader, "target", "a", 1);
      jd_record_feed_advance (reader, 1, 1);
      follow (reader, copy);
      int64_t revision = 1;
      for (int64_t k = 1; k < counts[i]; k++)
        {
          put_record (reader, "other", "b", ++revision);
          jd_record_feed_remove (reader, "other", ++revision);
          char *key = g_strdup_printf ("other-%" G_GINT64_FORMAT, k);
          put_record (reader, key, "b", ++revision);
          jd_record_feed_remove (reader, key, ++revision);
          g_free (key);
          jd_record_feed_advance (reader, revision, 1);
          if (k % 64 == 0 || k + 1 == counts[i])
            follow (reader, copy);
        }
      jd_record_feed_remove (reader, "target", ++revision);
      jd_record_feed_advance (reader, revision, 1);
      follow (reader, copy);
      CU_ASSERT_EQUAL (copy_events.changes, copy_events.removals);
      CU_ASSERT_EQUAL (jd_record_feed_revision (copy), revision);
      jd_record_feed_free (copy);
      jd_record_feed_free (reader);
    }
}

/* Guards against a removal that is lost on the way over a second host: one that never had
 * the record passes its removal on to a host that has it. */
static void
removals_of_unknown_records_are_passed_on (void)
{
  event_counts_t counts = { 0 };
  jd_record_feed_t *reader = new_feed (&counts);
  jd_record_feed_t *late = new_feed (&counts);
  event_counts_t early_events = { 0 };
  jd_record_feed_t *early = new_feed (&early_events);
  put_record (reader, "kept", "a", 1);
  jd_record_feed_advance (reader, 1, 1);
  follow (reader, early);
  follow (reader, late);
  put_record (reader, "target", "a", 2);
  jd_record_feed_advance (reader, 2, 1);
  follow (reader, early);
  jd_record_feed_remove (reader, "target", 3);
  jd_record_feed_advance (reader, 3, 1);
  follow (reader, late);
  follow (late, early);
  CU_ASSERT_EQUAL (early_events.removals, 1);
  jd_record_feed_free (early);
  jd_record_feed_free (late);
  jd_record_feed_free (reader);
}

/* Values of the tests with generations: a letter, then the write counter of the record.
 */
static bool
has_later_counter (void *context, const char *key, GBytes *known, GBytes *listed)
{
  const char *left = g_bytes_get_data (known, NULL);
  const char *right = g_bytes_get_data (listed, NULL);
  return right[1] > left[1];
}

static jd_removal_handling_t
keep_configuration (void *context, const char *key, GBytes *value)
{
  return strcmp (key, "configuration") == 0 ? JD_REMOVAL_IGNORE
         : strcmp (key, "leaving") == 0     ? JD_REMOVAL_APPLY
                                            : JD_REMOVAL_DOUBT;
}

static jd_record_feed_t *
new_guarded_feed (event_counts_t *counts)
{
  jd_feed_events_t events = { .is_same = has_same_first_letter,
                              .on_change = count_change,
                              .is_newer = has_later_counter,
                              .judge_removal = keep_configuration,
                              .context = counts };
  jd_record_feed_t *feed = jd_record_feed_new (&events);
  jd_removal_doubt_t doubt = { .max_share = 0.1, .drain_limit_us = 10000 };
  jd_record_feed_set_doubt (feed, &doubt);
  return feed;
}

static void
put_targets (jd_record_feed_t *feed, uint32_t count, int64_t first_revision)
{
  for (uint32_t i = 0; i < count; i++)
    {
      char *key = g_strdup_printf ("target-%u", i);
      put_record (feed, key, "a1", first_revision + i);
      g_free (key);
    }
}

static void
remove_targets (jd_record_feed_t *feed, uint32_t count, int64_t first_revision)
{
  for (uint32_t i = 0; i < count; i++)
    {
      char *key = g_strdup_printf ("target-%u", i);
      jd_record_feed_remove (feed, key, first_revision + i);
      g_free (key);
    }
}

/* Guards against hosts that drop all targets whose records expired together while the
 * store was away, and against ones that hold the removals of single targets. */
static void
removals_of_many_records_are_held (void)
{
  event_counts_t counts = { 0 };
  jd_record_feed_t *feed = new_guarded_feed (&counts);
  put_targets (feed, 100, 1);
  put_record (feed, "leaving", "a1", 101);
  jd_record_feed_advance (feed, 101, 1000);
  jd_record_feed_begin_batch (feed);
  remove_targets (feed, 5, 110);
  jd_record_feed_end_batch (feed, 2000);
  CU_ASSERT_EQUAL (counts.removals, 5);
  jd_record_feed_advance (feed, 114, 2000);
  /* Both batches are parts of one loss. */
  jd_record_feed_begin_batch (feed);
  remove_targets (feed, 60, 120);
  jd_record_feed_remove (feed, "leaving", 190);
  jd_record_feed_end_batch (feed, 7000);
  jd_record_feed_begin_batch (feed);
  remove_targets (feed, 90, 200);
  jd_record_feed_end_batch (feed, 7100);
  jd_record_feed_advance (feed, 300, 7100);
  CU_ASSERT_EQUAL (counts.removals, 6);
  CU_ASSERT_EQUAL (jd_record_feed_held_count (feed), 85);
  CU_ASSERT_EQUAL (jd_record_feed_removals_held_until_us (feed), 11000);
  put_record (feed, "target-7", "a2", 301);
  jd_record_feed_release_removals (feed, 10999);
  CU_ASSERT_EQUAL (counts.removals, 6);
  jd_record_feed_release_removals (feed, 11000);
  CU_ASSERT_EQUAL (counts.removals, 90);
  CU_ASSERT_EQUAL (jd_record_feed_held_count (feed), 0);
  jd_record_feed_free (feed);
}

/* Guards against a configuration that goes back, a key that works again after it was
 * withdrawn, and a target that is used after it left, when the store returns from an
 * older copy; and against hosts that follow no change any more, because the revisions of
 * the copy are lower. */
static void
older_copy_takes_nothing_back (void)
{
  event_counts_t counts = { 0 };
  jd_record_feed_t *feed = new_guarded_feed (&counts);
  int64_t before = jd_record_revision (1, 500), copy = jd_record_revision (2, 300);
  put_record (feed, "configuration", "c3", before);
  put_record (feed, "left", "a7", before);
  put_record (feed, "kept", "a3", before);
  jd_record_feed_remove (feed, "left", before + 1);
  jd_record_feed_advance (feed, before + 1, 1000);
  counts = (event_counts_t){ 0 };
  /* The copy was made before the last write of each. */
  jd_record_feed_hold_removals (feed, 9000);
  put_record (feed, "configuration", "b2", copy);
  put_record (feed, "left", "a7", copy);
  GHashTable *keys = g_hash_table_new (g_str_hash, g_str_equal);
  g_hash_table_add (keys, "configuration");
  g_hash_table_add (keys, "left");
  jd_record_feed_retain (feed, keys, copy);
  jd_record_feed_advance (feed, copy, 2000);
  CU_ASSERT_EQUAL (counts.changes, 0);
  CU_ASSERT_EQUAL (counts.removals, 0);
  CU_ASSERT_EQUAL (jd_record_feed_revision (feed), copy);
  /* Their writers write them again. */
  put_record (feed, "kept", "a4", copy + 1);
  put_record (feed, "left", "a8", copy + 2);
  put_record (feed, "configuration", "d4", copy + 3);
  CU_ASSERT_EQUAL (counts.changes, 2);
  jd_record_feed_release_removals (feed, 9000);
  CU_ASSERT_EQUAL (counts.removals, 0);
  g_hash_table_destroy (keys);
  jd_record_feed_free (feed);
}

/* Guards against a host that takes over the older copy from the store and keeps it,
 * although another host knows what was written after the copy was made. */
static void
hosts_learn_what_the_older_copy_lacks (void)
{
  event_counts_t known_counts = { 0 }, started_counts = { 0 };
  jd_record_feed_t *known = new_guarded_feed (&known_counts);
  jd_record_feed_t *started = new_guarded_feed (&started_counts);
  int64_t copy = jd_record_revision (2, 300);
  put_record (known, "configuration", "c3", jd_record_revision (1, 500));
  put_record (known, "left", "a7", jd_record_revision (1, 400));
  jd_record_feed_remove (known, "left", jd_record_revision (1, 501));
  put_record (known, "configuration", "b2", copy);
  put_record (known, "left", "a7", copy);
  jd_record_feed_advance (known, copy, 10);
  put_record (started, "configuration", "b2", copy);
  put_record (started, "left", "a7", copy);
  jd_record_feed_advance (started, copy, 10);
  jd_record_feed_each_after (known, -1, copy_item, started);
  CU_ASSERT_EQUAL (started_counts.changes, 3);
  CU_ASSERT_EQUAL (started_counts.removals, 1);
  /* The other way round nothing changes. */
  known_counts = (event_counts_t){ 0 };
  put_record (known, "configuration", "b2", copy);
  CU_ASSERT_EQUAL (known_counts.changes, 0);
  jd_record_feed_free (started);
  jd_record_feed_free (known);
}

/* Guards against a withdrawn key that works again on a host that started: the host that
 * it copied from had itself copied the configuration, and had it at a revision of the
 * generation before (process_test_record_source, once in CI). */
static void
copied_values_belong_to_the_later_generation (void)
{
  event_counts_t copied_counts = { 0 }, started_counts = { 0 };
  jd_record_feed_t *copied = new_guarded_feed (&copied_counts);
  jd_record_feed_t *started = new_guarded_feed (&started_counts);
  int64_t copy = jd_record_revision (2, 300);
  put_record (copied, "configuration", "c3", jd_record_revision (1, 500));
  jd_record_feed_advance (copied, jd_record_revision (1, 500), 10);
  /* From a host that kept its value over the older copy. */
  put_listed (copied, "configuration", "c3", copy);
  jd_record_feed_advance (copied, copy, 20);
  CU_ASSERT_EQUAL (copied_counts.changes, 1);
  put_record (started, "configuration", "b2", copy);
  jd_record_feed_advance (started, copy, 20);
  jd_record_feed_each_after (copied, -1, copy_item, started);
  CU_ASSERT_EQUAL (started_counts.changes, 2);
  jd_record_feed_free (started);
  jd_record_feed_free (copied);
}

/* Guards against hosts that keep a target removed, or in an old state, for good: they
 * copy from one that missed the changes in between, and knew the same value before. */
static void
equal_value_after_a_gap_reaches_other_hosts (void)
{
  event_counts_t late_counts = { 0 }, known_counts = { 0 };
  jd_record_feed_t *late = new_guarded_feed (&late_counts);
  jd_record_feed_t *known = new_guarded_feed (&known_counts);
  put_record (late, "gone", "a1", 5);
  put_record (late, "changed", "a1", 6);
  jd_record_feed_each_after (late, -1, copy_item, known);
  jd_record_feed_remove (known, "gone", 10);
  put_record (known, "changed", "b2", 11);
  jd_record_feed_advance (known, 11, 10);
  put_listed (late, "gone", "a2", 14);
  put_listed (late, "changed", "a3", 15);
  jd_record_feed_advance (late, 15, 20);
  CU_ASSERT_EQUAL (late_counts.changes, 2);
  CU_ASSERT_EQUAL (jd_record_feed_changed_revision (late), 15);
  known_counts = (event_counts_t){ 0 };
  jd_record_feed_each_after (late, 11, copy_item, known);
  CU_ASSERT_EQUAL (known_counts.changes, 2);
  /* The list may have been an older copy, so that the next write matters to other hosts;
   * then heartbeats are no changes. */
  put_record (late, "changed", "a4", 16);
  CU_ASSERT_EQUAL (jd_record_feed_changed_revision (late), 16);
  put_record (late, "changed", "a5", 17);
  CU_ASSERT_EQUAL (jd_record_feed_changed_revision (late), 16);
  jd_record_feed_free (known);
  jd_record_feed_free (late);
}

/* Guards against a host that starts without any configuration because the older copy of
 * the store has none, although other hosts have kept theirs. */
static void
configuration_that_the_older_copy_lacks_is_copied (void)
{
  event_counts_t known_counts = { 0 }, started_counts = { 0 };
  jd_record_feed_t *known = new_guarded_feed (&known_counts);
  jd_record_feed_t *started = new_guarded_feed (&started_counts);
  int64_t copy = jd_record_revision (2, 300);
  put_record (known, "configuration", "c3", jd_record_revision (1, 500));
  put_record (known, "target", "a1", jd_record_revision (1, 400));
  GHashTable *keys = g_hash_table_new (g_str_hash, g_str_equal);
  jd_record_feed_retain (known, keys, copy);
  jd_record_feed_advance (known, copy, 10);
  CU_ASSERT_EQUAL (known_counts.removals, 1);
  jd_record_feed_advance (started, copy + 5, 20);
  jd_record_feed_each_after (known, -1, copy_item, started);
  CU_ASSERT_EQUAL (started_counts.changes, 1);
  g_hash_table_destroy (keys);
  jd_record_feed_free (started);
  jd_record_feed_free (known);
}

/* Guards against records that seem to be current because a host says so that has not
 * heard of the new generation. */
static void
earlier_generation_says_nothing (void)
{
  event_counts_t counts = { 0 };
  jd_record_feed_t *feed = new_guarded_feed (&counts);
  jd_record_feed_advance (feed, jd_record_revision (2, 10), 1000);
  jd_record_feed_advance (feed, jd_record_revision (1, 900), 5000);
  CU_ASSERT_EQUAL (jd_record_feed_as_of_us (feed), 1000);
  CU_ASSERT_EQUAL (jd_record_feed_revision (feed), jd_record_revision (2, 10));
  put_record (feed, "k", "a1", jd_record_revision (2, 11));
  put_record (feed, "k", "b9", jd_record_revision (1, 901));
  CU_ASSERT_EQUAL (counts.changes, 1);
  jd_record_feed_free (feed);
}

/* Guards against a target that stays in use for ever: a host that started read the store
 * after the target was removed, and then copied all records from a host that had not
 * heard of the removal (soak seed 138). */
static void
copy_brings_no_removed_record_back (void)
{
  event_counts_t late_counts = { 0 }, started_counts = { 0 };
  jd_record_feed_t *late = new_guarded_feed (&late_counts);
  jd_record_feed_t *started = new_guarded_feed (&started_counts);
  put_record (late, "kept", "a1", 4);
  put_record (late, "left", "a1", 5);
  jd_record_feed_advance (late, 6, 10);
  /* The removal of "left" has revision 8. */
  put_record (started, "kept", "a1", 4);
  jd_record_feed_advance (started, 9, 20);
  jd_record_feed_each_after (late, -1, copy_item, started);
  jd_record_feed_advance (started, 6, 10);
  CU_ASSERT_EQUAL (started_counts.changes, 1);
  GHashTable *keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  jd_record_feed_each_after (started, -1, collect_key, keys);
  CU_ASSERT_FALSE (g_hash_table_contains (keys, "left"));
  CU_ASSERT_TRUE (g_hash_table_contains (keys, "kept"));
  g_hash_table_destroy (keys);
  jd_record_feed_free (started);
  jd_record_feed_free (late);
}

/* Guards against a configuration that goes back when a host copies from one that knows
 * less but noticed later that the store has none any more. */
static void
configuration_never_goes_back_between_hosts (void)
{
  event_counts_t newer_counts = { 0 }, older_counts = { 0 };
  jd_record_feed_t *newer = new_guarded_feed (&newer_counts);
  jd_record_feed_t *older = new_guarded_feed (&older_counts);
  put_record (newer, "configuration", "c3", jd_record_revision (1, 6));
  put_record (older, "configuration", "b2", jd_record_revision (1, 3));
  GHashTable *keys = g_hash_table_new (g_str_hash, g_str_equal);
  jd_record_feed_retain (newer, keys, jd_record_revision (2, 2));
  jd_record_feed_retain (older, keys, jd_record_revision (2, 3));
  jd_record_feed_each_after (older, -1, copy_item, newer);
  CU_ASSERT_EQUAL (newer_counts.changes, 1);
  jd_record_feed_each_after (newer, -1, copy_item, older);
  CU_ASSERT_EQUAL (older_counts.changes, 2);
  g_hash_table_destroy (keys);
  jd_record_feed_free (older);
  jd_record_feed_free (newer);
}

/* Guards against hosts without a configuration because the store returned empty. */
static void
configuration_stays_without_a_record (void)
{
  event_counts_t counts = { 0 };
  jd_record_feed_t *feed = new_guarded_feed (&counts);
  put_record (feed, "configuration", "c3", 5);
  jd_record_feed_remove (feed, "configuration", 6);
  CU_ASSERT_EQUAL (counts.removals, 0);
  GHashTable *keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  jd_record_feed_each_after (feed, 5, collect_key, keys);
  CU_ASSERT_TRUE (g_hash_table_contains (keys, "configuration"));
  g_hash_table_destroy (keys);
  jd_record_feed_free (feed);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "only newer changes that matter are applied",
      only_newer_changes_that_matter_are_applied },
    { "full read counts as a change", full_read_counts_as_a_change },
    { "held removals wait for records to return",
      held_removals_wait_for_records_to_return },
    { "copying hosts get returned records", copying_hosts_get_returned_records },
    { "copies miss no removal", copies_miss_no_removal },
    { "removals of unknown records are passed on",
      removals_of_unknown_records_are_passed_on },
    { "removals of many records are held", removals_of_many_records_are_held },
    { "older copy takes nothing back", older_copy_takes_nothing_back },
    { "hosts learn what the older copy lacks", hosts_learn_what_the_older_copy_lacks },
    { "copied values belong to the later generation",
      copied_values_belong_to_the_later_generation },
    { "equal value after a gap reaches other hosts",
      equal_value_after_a_gap_reaches_other_hosts },
    { "configuration that the older copy lacks is copied",
      configuration_that_the_older_copy_lacks_is_copied },
    { "earlier generation says nothing", earlier_generation_says_nothing },
    { "copy brings no removed record back", copy_brings_no_removed_record_back },
    { "configuration never goes back between hosts",
      configuration_never_goes_back_between_hosts },
    { "configuration stays without a record", configuration_stays_without_a_record },
  };
  return JD_TEST_RUN ("record_feed", cases);
}
