#include "routing/extra_pool.h"

#include <glib.h>
#include <math.h>

#include "base/clock.h"

/* Extra attempts fade with this multiple of the window. They then count for half at the
 * end of the window, and steady use counts for more than it is. */
#define FADING_WINDOWS 1.5

/* Part of the slack that hosts divide among them. */
#define DIVIDED_SHARE 0.8
/* Part of a host's share that may be used at once. */
#define RESERVE_SHARE 0.4
/* Hosts whose share is used up go on while all together have used less than this part of
 * the slack. Others hear of it up to a second later. */
#define BORROW_SHARE 0.5

/* Returns a host's shares: some to save, the rest over the window in which the platform
 * counts. A host that has just been restarted does not know what was used before, so it
 * borrows nothing; one that hears only some of the others borrows from their part. */
jd_extra_shares_t
jd_extra_shares (const jd_extra_slack_t *slack)
{
  double hosts = MAX (slack->hosts, 1);
  double own = (double)slack->slack * DIVIDED_SHARE / hosts;
  double window_s = (double)slack->window_us / (double)JD_US_PER_S;
  double heard = MIN ((double)slack->live / hosts, 1.0);
  return (jd_extra_shares_t){
    .slack_per_s = own * (1.0 - RESERVE_SHARE) / window_s,
    .reserve = MAX (own * RESERVE_SHARE, 1.0),
    .borrow_limit =
        slack->knows_window ? (double)slack->slack * BORROW_SHARE * heard : 0.0,
  };
}

/* Returns how many extra attempts count now. */
static double
used_now (const jd_extra_pool_t *pool, int64_t now_us)
{
  if (pool->window_us <= 0)
    return pool->used;
  double fading_us = (double)pool->window_us * FADING_WINDOWS;
  return pool->used * exp (-(double)MAX (now_us - pool->used_us, 0) / fading_us);
}

/* Adds extra attempts that were made about now. */
static void
add (jd_extra_pool_t *pool, uint32_t count, int64_t now_us)
{
  pool->used = used_now (pool, now_us) + count;
  pool->used_us = MAX (now_us, pool->used_us);
}

/* Sets up to how many used attempts in a window more are lent; 0 lends nothing. */
void
jd_extra_pool_set_limit (jd_extra_pool_t *pool, double borrow_limit, int64_t window_us)
{
  pool->borrow_limit = borrow_limit;
  pool->window_us = window_us;
}

/* TRUE when a host may make one more extra attempt than its own share allows. */
bool
jd_extra_pool_lends (const jd_extra_pool_t *pool, int64_t now_us)
{
  return used_now (pool, now_us) + 1.0 <= pool->borrow_limit;
}

/* Counts an extra attempt of this host. */
void
jd_extra_pool_note_own (jd_extra_pool_t *pool, int64_t now_us)
{
  add (pool, 1, now_us);
  pool->untold++;
}

/* Counts extra attempts of another host. */
void
jd_extra_pool_hear (jd_extra_pool_t *pool, uint32_t count, int64_t now_us)
{
  add (pool, count, now_us);
}

/* Returns the extra attempts that the others have to be told of, once. */
uint32_t
jd_extra_pool_tell (jd_extra_pool_t *pool)
{
  uint32_t untold = pool->untold;
  pool->untold = 0;
  return untold;
}
