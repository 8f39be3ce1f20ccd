#include "membership/quorum.h"

/* Returns TRUE when the marked members are more than half of all, or exactly half with
 * the first one. Any two such sets have a member in common. */
gboolean
jd_quorum_is_reached (const gboolean *members, uint32_t count)
{
  uint32_t marked = 0;
  for (uint32_t i = 0; i < count; i++)
    marked += members[i] ? 1 : 0;
  return marked * 2 > count || (count > 0 && marked * 2 == count && members[0]);
}

/* Returns the time until which a quorum supports something, given the time until which
 * each member does; JD_QUORUM_NEVER without a quorum. */
int64_t
jd_quorum_until_us (const int64_t *until_us, uint32_t count)
{
  int64_t best_us = JD_QUORUM_NEVER;
  gboolean members[JD_CELL_MAX_SEATS];
  for (uint32_t i = 0; i < count; i++)
    {
      if (until_us[i] <= best_us)
        continue;
      for (uint32_t j = 0; j < count; j++)
        members[j] = until_us[j] >= until_us[i];
      if (jd_quorum_is_reached (members, count))
        best_us = until_us[i];
    }
  return best_us;
}
