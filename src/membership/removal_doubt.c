#include "membership/removal_doubt.h"

#include <glib.h>

#include "base/invariant.h"

/* Fewer removals are always believed, whatever their share: in a small fleet one target
 * is a large share. */
#define REMOVED_MIN 5
/* Longest hold from the time at which a host learns of removals, in percent of the drain
 * limit. It leaves the writers time to publish their records again. */
#define HOLD_PERCENT 40
/* Age of a removal at which it takes effect at the latest, in percent of the drain limit.
 * The rest is for requests that have been sent but not arrived. */
#define EFFECT_PERCENT 90

/* Returns the time until which the removals of a batch are held, 0 if they take effect at
 * once. Single targets leave or crash all the time; their removals are not delayed. The
 * wait until the host has learned of the removals and the hold share the drain limit. */
int64_t
jd_removal_doubt_hold_until_us (const jd_removal_doubt_t *doubt,
                                const jd_removal_batch_t *batch, int64_t now_us)
{
  if (batch->removed < REMOVED_MIN ||
      (double)batch->removed <= doubt->max_share * (double)batch->records)
    return 0;
  int64_t removed_us = batch->as_of_us > 0 ? batch->as_of_us : now_us;
  int64_t effect_us = removed_us + doubt->drain_limit_us / 100 * EFFECT_PERCENT;
  int64_t until_us = MIN (now_us + doubt->drain_limit_us / 100 * HOLD_PERCENT, effect_us);
  if (until_us <= now_us)
    return 0;
  JD_INVARIANT (removals_in_time, until_us <= removed_us + doubt->drain_limit_us);
  return until_us;
}
