#include "routing/cold_share.h"

#include <glib.h>
#include <math.h>

#include "base/clock.h"

/* A grant may be used for this long at least; a request rarely comes at its moment. */
#define GRANT_LIFE_MIN_US (100 * JD_US_PER_MS)

/* Returns the position at a time. */
static double
position_at (const jd_cold_share_t *share, int64_t now_us)
{
  return share->position + share->rate_per_us * (double)(now_us - share->updated_us);
}

/* Returns the number of the oldest grant that may be used, which may lie ahead. Grant N
 * is given when the position reaches N, and lapses when it is a window further. */
static int64_t
next_grant (const jd_cold_share_t *share, double position)
{
  return MAX (share->used + 1, (int64_t)floor (position - share->window) + 1);
}

/* Takes the terms of a target that is cold. Hosts take turns: each begins at another
 * place between two grants, so that together they send at the rate of the target and not
 * all at the same moment. A grant lapses after the time in which the slack is granted:
 * what hosts leave unused does not add up to more than the slack. */
void
jd_cold_share_update (jd_cold_share_t *share, const jd_cold_terms_t *terms,
                      int64_t now_us)
{
  uint32_t hosts = MAX (terms->hosts, 1);
  double per_us = terms->per_s / (double)JD_US_PER_S;
  double life_us = MAX (terms->slack / per_us, (double)GRANT_LIFE_MIN_US);
  if (!share->started)
    *share = (jd_cold_share_t){
      .started = true,
      .position = (double)(terms->turn % hosts) / (double)hosts,
    };
  else
    share->position = position_at (share, now_us);
  share->updated_us = now_us;
  share->rate_per_us = per_us / (double)hosts;
  share->window = life_us * share->rate_per_us;
}

/* Forgets the grants of a target that is not cold. */
void
jd_cold_share_stop (jd_cold_share_t *share)
{
  share->started = false;
}

/* TRUE when this host may send a request to the cold target. */
bool
jd_cold_share_allows (const jd_cold_share_t *share, int64_t now_us)
{
  if (!share->started)
    return false;
  double position = position_at (share, now_us);
  return (double)next_grant (share, position) <= position;
}

/* Uses a grant for a request to the cold target. */
void
jd_cold_share_use (jd_cold_share_t *share, int64_t now_us)
{
  share->used = next_grant (share, position_at (share, now_us));
}
