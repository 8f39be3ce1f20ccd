#include "membership/quorum.h"

/* Returns TRUE if more than half of the members are marked, or exactly half including the
 * first one. Any two such sets have a member in common. */
gboolean
jd_quorum_is_reached (const gboolean *is_marked, uint32_t count)
{
  uint32_t marked_count = 0;
  for (uint32_t i = 0; i < count; i++)
    marked_count += is_marked[i] ? 1 : 0;
  return marked_count * 2 > count ||
         (count > 0 && marked_count * 2 == count && is_marked[0]);
}

/* Returns the latest time until which the votes of a quorum are valid, given the time
 * until which the vote of each member is; JD_QUORUM_NEVER if there is no quorum. count is
 * at most JD_GROUP_MAX_MEMBERS. */
int64_t
jd_quorum_until_us (const int64_t *until_us, uint32_t count)
{
  int64_t best_us = JD_QUORUM_NEVER;
  gboolean is_marked[JD_GROUP_MAX_MEMBERS];
  for (uint32_t i = 0; i < count; i++)
    {
      if (until_us[i] <= best_us)
        continue;
      for (uint32_t j = 0; j < count; j++)
        is_marked[j] = until_us[j] >= until_us[i];
      if (jd_quorum_is_reached (is_marked, count))
        best_us = until_us[i];
    }
  return best_us;
}
