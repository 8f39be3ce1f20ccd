#pragma once

#include <stdint.h>

/* Decides whether a host believes at once that records were removed. Records of live
 * targets can vanish together by an error of the store; their writers publish them again
 * within seconds. Without an outage the targets may also have left, and must get no
 * requests after the drain limit, which counts from the removal. */

typedef struct jd_removal_doubt
{
  double
      max_share; /* Share of the records whose removal at a time is believed, 0 to 1. */
  int64_t drain_limit_us; /* Time within which a removal must take effect. */
} jd_removal_doubt_t;

/* Removals that a host learns of at about the same time. */
typedef struct jd_removal_batch
{
  uint32_t removed; /* Removed records whose removal can be doubted. */
  uint32_t records; /* Records before the removals. */
  int64_t as_of_us; /* Time at which the records were last current, so that the removals
                       are not older; 0: unknown. */
} jd_removal_batch_t;

int64_t jd_removal_doubt_hold_until_us (const jd_removal_doubt_t *doubt,
                                        const jd_removal_batch_t *batch, int64_t now_us);
