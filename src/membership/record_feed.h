#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A published record, or the tombstone of a removed one. */
typedef struct jd_feed_item
{
  char *key;
  GBytes *value;    /* NULL for a removed record. */
  int64_t revision; /* Revision of the last change that matters to hosts. */
} jd_feed_item_t;

/* The published records that this host has, and the time at which they were current.
 * Hosts copy the changes after a revision from each other. */
typedef struct jd_record_feed jd_record_feed_t;

typedef struct jd_feed_events
{
  /* Returns TRUE if two values of a key are equivalent for hosts, for example because
   * they differ only in a heartbeat counter. */
  bool (*is_same) (void *context, const char *key, GBytes *before, GBytes *after);
  /* Called when a record is added, changed or removed (value is NULL). */
  void (*on_change) (void *context, const char *key, GBytes *value);
  void *context;
} jd_feed_events_t;

jd_record_feed_t *jd_record_feed_new (const jd_feed_events_t *events);
void jd_record_feed_free (jd_record_feed_t *feed);
bool jd_record_feed_put (jd_record_feed_t *feed, const char *key, GBytes *value,
                         int64_t revision);
void jd_record_feed_remove (jd_record_feed_t *feed, const char *key, int64_t revision);
void jd_record_feed_hold_removals (jd_record_feed_t *feed, int64_t until_us);
int64_t jd_record_feed_removals_held_until_us (const jd_record_feed_t *feed);
void jd_record_feed_release_removals (jd_record_feed_t *feed, int64_t now_us);
void jd_record_feed_retain (jd_record_feed_t *feed, GHashTable *keys, int64_t revision);
void jd_record_feed_advance (jd_record_feed_t *feed, int64_t revision, int64_t as_of_us);
int64_t jd_record_feed_revision (const jd_record_feed_t *feed);
int64_t jd_record_feed_changed_revision (const jd_record_feed_t *feed);
int64_t jd_record_feed_tombstones_since (const jd_record_feed_t *feed);
int64_t jd_record_feed_as_of_us (const jd_record_feed_t *feed);
bool jd_record_feed_has_changes_since (const jd_record_feed_t *feed, int64_t revision);
void jd_record_feed_each_after (const jd_record_feed_t *feed, int64_t revision,
                                void (*visit) (void *context, const jd_feed_item_t *item),
                                void *context);
