#include "routing/extra_admission.h"

#include <glib.h>
#include <math.h>

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

/* Returns the probability that a part is answered. One that needs more extra attempts
 * than are available is answered by its first attempt or not at all. */
static double
answer_probability (const jd_part_need_t *part)
{
  double extra = part->extra_attempts;
  if (!jd_extra_admission_is_scarce (extra))
    return 1.0;
  double rejected_share = extra / (1.0 + extra);
  if (part->available < extra)
    return 1.0 - rejected_share * (1.0 - MAX (part->available, 0.0) / extra);
  return part->attempts_max > 0 ? 1.0 - pow (rejected_share, part->attempts_max) : 1.0;
}

/* Returns how many parts can be expected to be answered with the extra attempts that are
 * available for them. */
double
jd_extra_admission_expected_parts (const jd_part_need_t *parts, uint32_t part_count)
{
  double expected = 0.0;
  for (uint32_t i = 0; i < part_count; i++)
    expected += answer_probability (&parts[i]);
  return expected;
}
