#include <stdio.h>
#include <string.h>

#include "base/rng.h"
#include "membership/record_feed.h"
#include "support/test_main.h"

/* Plays the feeds of several hosts, without a network, that read a store and copy from
 * each other while the store loses its history, returns from older copies of its records,
 * and hosts restart. */

#define SEEDS 2000
#define STEPS 150
#define HOSTS 5U
#define KEYS 6U /* The first one is the configuration, the others are targets. */
#define CONFIGURATION 0U
#define EVENTS_MAX (STEPS + 2 * KEYS)

/* A record, or its removal. Its writer counts its writes and never counts back. */
typedef struct jd_sim_record
{
  bool is_present;
  char letter; /* What matters to hosts. */
  uint32_t counter;
  int64_t revision;
} jd_sim_record_t;

typedef struct jd_sim_event
{
  uint32_t key;
  jd_sim_record_t record;
} jd_sim_event_t;

typedef struct jd_sim_host
{
  jd_record_feed_t *feed;
  bool needs_full_copy;
  bool has_read;       /* It read the store since its start, and may be copied from. */
  char letters[KEYS];  /* In force on this host; 0 for a record that it does not have. */
  uint32_t configured; /* Counter of the configuration in force. */
} jd_sim_host_t;

typedef struct jd_sim
{
  jd_philox_t random;
  jd_sim_record_t records[KEYS];
  uint32_t counters[KEYS]; /* Of the writers, which the store does not take back. */
  char letters[KEYS];      /* Last written. */
  int64_t revision;
  uint32_t generation;
  jd_sim_event_t events[EVENTS_MAX];
  uint32_t event_count;
  int64_t discarded_revision;
  bool has_copy;
  jd_sim_record_t copied[KEYS];
  int64_t copied_revision;
  jd_sim_host_t hosts[HOSTS];
  int64_t now_us;
  uint32_t restart_count;
  uint32_t return_count;
} jd_sim_t;

static uint32_t
draw_below (jd_sim_t *sim, uint32_t bound)
{
  jd_rng_t rng = jd_philox_rng (&sim->random);
  return (uint32_t)jd_rng_below (&rng, bound);
}

/* Values are a letter and the counter of the write, "a17". */
static uint32_t
value_counter (GBytes *value)
{
  return (uint32_t)g_ascii_strtoull ((const char *)g_bytes_get_data (value, NULL) + 1,
                                     NULL, 10);
}

static bool
has_same_letter (void *context, const char *key, GBytes *before, GBytes *after)
{
  const char *left = g_bytes_get_data (before, NULL);
  const char *right = g_bytes_get_data (after, NULL);
  return key[0] == '0' ? strcmp (left, right) == 0 : left[0] == right[0];
}

static bool
has_later_counter (void *context, const char *key, GBytes *known, GBytes *listed)
{
  return value_counter (listed) > value_counter (known);
}

static jd_removal_handling_t
keep_configuration (void *context, const char *key, GBytes *value)
{
  return key[0] == '0' ? JD_REMOVAL_IGNORE : JD_REMOVAL_DOUBT;
}

static void
apply_change (void *context, const char *key, GBytes *value)
{
  jd_sim_host_t *host = context;
  uint32_t index = (uint32_t)(key[0] - '0');
  host->letters[index] = value ? *(const char *)g_bytes_get_data (value, NULL) : 0;
  if (index != CONFIGURATION)
    return;
  CU_ASSERT_PTR_NOT_NULL_FATAL (value);
  CU_ASSERT_TRUE (value_counter (value) > host->configured);
  host->configured = value_counter (value);
}

static void
start_host (jd_sim_host_t *host, bool needs_full_copy)
{
  if (host->feed)
    jd_record_feed_free (host->feed);
  *host = (jd_sim_host_t){ .needs_full_copy = needs_full_copy };
  jd_feed_events_t events = { .is_same = has_same_letter,
                              .on_change = apply_change,
                              .is_newer = has_later_counter,
                              .judge_removal = keep_configuration,
                              .context = host };
  host->feed = jd_record_feed_new (&events);
}

/* Writes a record, or removes it if letter is 0. */
static void
write_record (jd_sim_t *sim, uint32_t key, char letter)
{
  jd_sim_record_t *record = &sim->records[key];
  if (letter == 0 && !record->is_present)
    return;
  sim->revision++;
  record->is_present = letter != 0;
  record->letter = letter;
  record->revision = sim->revision;
  if (letter)
    {
      record->counter = ++sim->counters[key];
      sim->letters[key] = letter;
    }
  g_assert (sim->event_count < EVENTS_MAX);
  sim->events[sim->event_count++] = (jd_sim_event_t){ .key = key, .record = *record };
}

/* Returns the letter of the next write: often the same, as in a heartbeat. Each
 * configuration differs from the one before. */
static char
draw_letter (jd_sim_t *sim, uint32_t key)
{
  if (key == CONFIGURATION)
    return (char)('a' + (sim->counters[key] + 1) % 26);
  bool is_heartbeat = sim->records[key].is_present && draw_below (sim, 2) == 0;
  return is_heartbeat ? sim->letters[key] : (char)('a' + draw_below (sim, 3));
}

static void
keep_copy (jd_sim_t *sim)
{
  memcpy (sim->copied, sim->records, sizeof (sim->copied));
  sim->copied_revision = sim->revision;
  sim->has_copy = true;
}

/* Returns from the copy; its revisions are given out again. */
static void
restore_copy (jd_sim_t *sim)
{
  if (!sim->has_copy)
    return;
  memcpy (sim->records, sim->copied, sizeof (sim->copied));
  sim->revision = sim->copied_revision;
  sim->discarded_revision = sim->revision;
  sim->event_count = 0;
  sim->generation++;
  sim->return_count++;
}

static void
apply_record (jd_sim_t *sim, jd_sim_host_t *host, uint32_t key,
              const jd_sim_record_t *record, jd_record_origin_t origin)
{
  char name[2] = { (char)('0' + key), 0 };
  int64_t position = jd_record_revision (sim->generation, record->revision);
  if (!record->is_present)
    {
      jd_record_feed_remove (host->feed, name, position);
      return;
    }
  char *text = g_strdup_printf ("%c%u", record->letter, record->counter);
  GBytes *value = g_bytes_new_take (text, strlen (text) + 1);
  jd_record_feed_put (host->feed, name, value, position, origin);
  g_bytes_unref (value);
}

static void
read_in_full (jd_sim_t *sim, jd_sim_host_t *host)
{
  GHashTable *keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (uint32_t key = 0; key < KEYS; key++)
    {
      if (!sim->records[key].is_present)
        continue;
      apply_record (sim, host, key, &sim->records[key], JD_RECORD_LISTED);
      g_hash_table_add (keys, g_strdup_printf ("%u", key));
    }
  int64_t position = jd_record_revision (sim->generation, sim->revision);
  jd_record_feed_begin_batch (host->feed);
  jd_record_feed_retain (host->feed, keys, position);
  jd_record_feed_end_batch (host->feed, sim->now_us);
  jd_record_feed_advance (host->feed, position, sim->now_us);
  g_hash_table_destroy (keys);
}

static void
read_store (jd_sim_t *sim, jd_sim_host_t *host)
{
  int64_t known = jd_record_feed_revision (host->feed);
  int64_t after = jd_record_revision_number (known);
  host->has_read = true;
  if (known == 0 || jd_record_revision_generation (known) < sim->generation ||
      after < sim->discarded_revision)
    {
      read_in_full (sim, host);
      return;
    }
  jd_record_feed_begin_batch (host->feed);
  for (uint32_t i = 0; i < sim->event_count; i++)
    {
      if (sim->events[i].record.revision > after)
        apply_record (sim, host, sim->events[i].key, &sim->events[i].record,
                      JD_RECORD_WRITTEN);
    }
  jd_record_feed_end_batch (host->feed, sim->now_us);
  jd_record_feed_advance (host->feed, jd_record_revision (sim->generation, sim->revision),
                          sim->now_us);
}

typedef struct jd_sim_copy
{
  jd_record_feed_t *feed;
  GHashTable *keys;
} jd_sim_copy_t;

static void
copy_item (void *context, const jd_feed_item_t *item)
{
  jd_sim_copy_t *copy = context;
  if (!item->value)
    {
      jd_record_feed_remove (copy->feed, item->key, item->revision);
      return;
    }
  jd_record_feed_put (copy->feed, item->key, item->value, item->revision,
                      JD_RECORD_COPIED);
  g_hash_table_add (copy->keys, g_strdup (item->key));
}

/* Copies changes, or all records if the host needs them and the source has them. */
static void
copy_records (jd_sim_t *sim, jd_sim_host_t *host, const jd_sim_host_t *source)
{
  bool is_full_copy = host->needs_full_copy && !source->needs_full_copy;
  int64_t known = jd_record_feed_revision (host->feed);
  int64_t offered = jd_record_feed_revision (source->feed);
  if (host == source || offered == 0 || (!is_full_copy && !source->has_read) ||
      jd_record_revision_generation (offered) < jd_record_revision_generation (known))
    return;
  int64_t after = is_full_copy ? 0 : known;
  if (after > 0 && jd_record_feed_changed_revision (source->feed) <= after)
    {
      jd_record_feed_advance (host->feed, offered, sim->now_us);
      return;
    }
  bool has_changes = jd_record_feed_has_changes_since (source->feed, after);
  jd_sim_copy_t copy = { .feed = host->feed,
                         .keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                                        NULL) };
  jd_record_feed_begin_batch (host->feed);
  jd_record_feed_each_after (source->feed, has_changes ? after : -1, copy_item, &copy);
  if (!has_changes)
    jd_record_feed_retain (host->feed, copy.keys, offered);
  jd_record_feed_end_batch (host->feed, sim->now_us);
  jd_record_feed_advance (host->feed, offered, sim->now_us);
  g_hash_table_destroy (copy.keys);
  if (!is_full_copy)
    return;
  host->needs_full_copy = false;
  CU_ASSERT_TRUE (host->configured >= source->configured);
}

static void
take_step (jd_sim_t *sim)
{
  sim->now_us += 1000;
  uint32_t key = draw_below (sim, KEYS);
  jd_sim_host_t *host = &sim->hosts[draw_below (sim, HOSTS)];
  uint32_t what = draw_below (sim, 100);
  if (what < 30)
    write_record (sim, key, draw_letter (sim, key));
  else if (what < 40 && key != CONFIGURATION)
    write_record (sim, key, 0);
  else if (what < 62)
    read_store (sim, host);
  else if (what < 88)
    copy_records (sim, host, &sim->hosts[draw_below (sim, HOSTS)]);
  else if (what < 92)
    sim->discarded_revision = sim->revision;
  else if (what < 94)
    keep_copy (sim);
  else if (what < 96)
    restore_copy (sim);
  else if (what < 98)
    {
      start_host (host, true);
      sim->restart_count++;
    }
}

/* Has every writer write again, one host read the store and all others copy from it, and
 * compares what is in force with the store. Returns the number of differences. */
static uint32_t
settle (jd_sim_t *sim)
{
  for (uint32_t key = 0; key < KEYS; key++)
    write_record (sim, key,
                  key == CONFIGURATION || draw_below (sim, 3) > 0 ? draw_letter (sim, key)
                                                                  : 0);
  uint32_t difference_count = 0;
  jd_sim_host_t *reader = &sim->hosts[draw_below (sim, HOSTS)];
  reader->needs_full_copy = false;
  read_store (sim, reader);
  for (uint32_t i = 0; i < HOSTS; i++)
    {
      jd_sim_host_t *host = &sim->hosts[i];
      copy_records (sim, host, reader);
      for (uint32_t key = 0; key < KEYS; key++)
        {
          const jd_sim_record_t *record = &sim->records[key];
          difference_count +=
              host->letters[key] != (record->is_present ? record->letter : 0);
        }
    }
  return difference_count;
}

/* Guards against a configuration that goes back, a starting host that does not learn what
 * an established one knows, and hosts that keep a record removed, or a removed one in
 * force, after all writers have written again. */
static void
hosts_agree_after_the_store_returned (void)
{
  uint32_t restart_count = 0, return_count = 0;
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      static jd_sim_t sim;
      memset (&sim, 0, sizeof (sim));
      sim.random.seed = seed;
      sim.generation = 1;
      for (uint32_t i = 0; i < HOSTS; i++)
        start_host (&sim.hosts[i], false);
      for (uint32_t i = 0; i < STEPS; i++)
        take_step (&sim);
      uint32_t difference_count = settle (&sim);
      if (difference_count > 0)
        printf ("seed %u: %u differences\n", seed, difference_count);
      CU_ASSERT_EQUAL (difference_count, 0);
      restart_count += sim.restart_count;
      return_count += sim.return_count;
      for (uint32_t i = 0; i < HOSTS; i++)
        jd_record_feed_free (sim.hosts[i].feed);
    }
  printf ("%u restarts, %u older copies ", restart_count, return_count);
  CU_ASSERT_TRUE (restart_count > SEEDS && return_count > SEEDS / 2);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "hosts agree after the store returned", hosts_agree_after_the_store_returned },
  };
  return JD_TEST_RUN ("record_copies", cases);
}
