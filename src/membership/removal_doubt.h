#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Decides whether a host believes at once that records were removed. Records of live
 * targets expire together while the store is away, are missing in an older copy of it,
 * and are all missing in an empty one; their writers publish them again when they reach
 * the store. */

typedef struct jd_removal_doubt
{
  double
      max_share; /* Share of the records whose removal at a time is believed, 0 to 1. */
  int64_t unread_max_us; /* Records that were read this long ago may have expired during
                            an outage. */
  int64_t hold_us; /* Time for which removals are held if the store may have been away. */
  int64_t short_hold_us; /* The same if the store was read all the time. */
} jd_removal_doubt_t;

/* Removals that a host learns of at about the same time. */
typedef struct jd_removal_batch
{
  uint32_t removed;  /* Removed records whose removal can be doubted. */
  uint32_t records;  /* Records before the removals. */
  int64_t unread_us; /* Time since the records were last current. */
} jd_removal_batch_t;

int64_t jd_removal_doubt_hold_us (const jd_removal_doubt_t *doubt,
                                  const jd_removal_batch_t *batch);
