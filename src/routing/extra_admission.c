#include "routing/extra_admission.h"

/* A shard is scarce above this number of extra attempts for each part: the bound of the
 * platform then does not cover them and the hedges. */
#define SCARCE_EXTRA_ATTEMPTS 0.2
/* Shares of the attempts that can be borrowed, by rank. The rest is left for more urgent
 * searches, and for what other hosts have not reported yet. */
#define NORMAL_LIMIT_SHARE 0.8
#define OPTIONAL_LIMIT_SHARE 0.5

/* Returns TRUE if a shard whose parts need this many extra attempts is scarce. */
bool
jd_extra_admission_is_scarce (double extra_attempts)
{
  return extra_attempts > SCARCE_EXTRA_ATTEMPTS;
}

/* Returns the share of the attempts that can be borrowed that a rank may use up. */
double
jd_extra_admission_limit_share (jd_extra_rank_t rank)
{
  switch (rank)
    {
    case JD_EXTRA_RANK_URGENT:
      return 1.0;
    case JD_EXTRA_RANK_NORMAL:
      return NORMAL_LIMIT_SHARE;
    case JD_EXTRA_RANK_OPTIONAL:
      return OPTIONAL_LIMIT_SHARE;
    }
  return 0.0;
}

/* Returns how many parts can be expected to be answered with the extra attempts that are
 * available for them. A part that needs more than are available is answered by its first
 * attempt or not at all. */
double
jd_extra_admission_expected_parts (const jd_part_need_t *parts, uint32_t part_count)
{
  double expected = 0.0;
  for (uint32_t i = 0; i < part_count; i++)
    {
      double extra = parts[i].extra_attempts;
      if (!jd_extra_admission_is_scarce (extra) || parts[i].available >= extra)
        {
          expected += 1.0;
          continue;
        }
      double rejected_share = extra / (1.0 + extra);
      double available = parts[i].available > 0.0 ? parts[i].available : 0.0;
      expected += 1.0 - rejected_share * (1.0 - available / extra);
    }
  return expected;
}
