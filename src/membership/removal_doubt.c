#include "membership/removal_doubt.h"

/* Fewer removals are always believed, whatever their share: in a small fleet one target
 * is a large share. */
#define REMOVED_MIN 5

/* Returns the time for which the removals of a batch are held, 0 if they take effect at
 * once. Single targets leave or crash all the time; their removals are not delayed. */
int64_t
jd_removal_doubt_hold_us (const jd_removal_doubt_t *doubt,
                          const jd_removal_batch_t *batch)
{
  if (batch->removed < REMOVED_MIN ||
      (double)batch->removed <= doubt->max_share * (double)batch->records)
    return 0;
  return batch->unread_us > doubt->unread_max_us ? doubt->hold_us : doubt->short_hold_us;
}
