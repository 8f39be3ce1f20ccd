#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "membership/record_revision.h"
#include "membership/removal_doubt.h"

/* A published record, or the tombstone of a removed one. */
typedef struct jd_feed_item
{
  char *key;
  GBytes *value;      /* NULL for a removed record. */
  GBytes *last_value; /* Value before the removal; NULL: unknown, or not removed. */
  int64_t revision;   /* Position of the last change that matters to hosts. */
  bool is_written;    /* Heard as a change of the store, not listed or copied. */
} jd_feed_item_t;

/* Where a host has the value of a record from. */
typedef enum jd_record_origin
{
  JD_RECORD_WRITTEN, /* It heard of each change of the record before this one. */
  JD_RECORD_LISTED,  /* A whole read of the store, which may have returned from an older
                        copy. */
  JD_RECORD_COPIED,  /* Another host. */
} jd_record_origin_t;

/* The published records that this host has, and the time at which they were current.
 * Hosts copy the changes after a revision from each other. */
typedef struct jd_record_feed jd_record_feed_t;

/* How the removal of a record is handled. */
typedef enum jd_removal_handling
{
  JD_REMOVAL_APPLY,  /* It takes effect at once. */
  JD_REMOVAL_DOUBT,  /* It may be an error of the store, and is held if that is likely. */
  JD_REMOVAL_IGNORE, /* The record stays in force. */
} jd_removal_handling_t;

typedef struct jd_feed_events
{
  /* Returns TRUE if two values of a key are equivalent for hosts, for example because
   * they differ only in a heartbeat counter. */
  bool (*is_same) (void *context, const char *key, GBytes *before, GBytes *after);
  /* Called when a record is added, changed or removed (value is NULL). */
  void (*on_change) (void *context, const char *key, GBytes *value);
  /* Returns FALSE if the writer of a record wrote `listed` before `known`, or if both are
   * the same write. Used when the store has returned from an older copy. NULL: listed
   * values are newer. */
  bool (*is_newer) (void *context, const char *key, GBytes *known, GBytes *listed);
  /* Returns how the removal of a record with a value is handled now; called again while
   * the removal is held. NULL: JD_REMOVAL_DOUBT for all records. */
  jd_removal_handling_t (*judge_removal) (void *context, const char *key, GBytes *value);
  void *context;
} jd_feed_events_t;

jd_record_feed_t *jd_record_feed_new (const jd_feed_events_t *events);
void jd_record_feed_free (jd_record_feed_t *feed);
bool jd_record_feed_put (jd_record_feed_t *feed, const char *key, GBytes *value,
                         int64_t revision, jd_record_origin_t origin);
void jd_record_feed_remove (jd_record_feed_t *feed, const char *key, int64_t revision);
void jd_record_feed_set_doubt (jd_record_feed_t *feed, const jd_removal_doubt_t *doubt);
void jd_record_feed_begin_batch (jd_record_feed_t *feed);
void jd_record_feed_end_batch (jd_record_feed_t *feed, int64_t now_us);
void jd_record_feed_hold_removals (jd_record_feed_t *feed, int64_t until_us);
int64_t jd_record_feed_removals_held_until_us (const jd_record_feed_t *feed);
uint32_t jd_record_feed_held_count (const jd_record_feed_t *feed);
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
