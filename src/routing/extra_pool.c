#include "routing/extra_pool.h"

#include <glib.h>
#include <math.h>

#include "base/clock.h"

/* The count of extra attempts decays exponentially with this multiple of the window as
 * time constant. An attempt then counts half at the end of the window, and a steady rate
 * of attempts is overestimated. */
#define DECAY_WINDOWS 1.5

/* Share of the slack that is divided among the hosts. */
#define DIVIDED_SHARE 0.8
/* Share of a host's own part that may be used at once. */
#define RESERVE_SHARE 0.4
/* A host that has used up its own part borrows while all hosts together have used less
 * than this share of the slack. The other hosts receive its report up to 1 s later, so
 * the rest of the slack covers attempts that are not reported yet. */
#define BORROW_SHARE 0.5

/* Returns the shares of one host: a reserve, and a rate that spreads the rest over the
 * window in which the platform counts. A host that was just restarted has no reports of
 * earlier attempts, so it borrows nothing; a host that receives messages from some of the
 * hosts only borrows from the part of those. */
jd_extra_shares_t
jd_extra_shares (const jd_extra_slack_t *slack)
{
  double hosts = MAX (slack->hosts, 1);
  double host_slack = (double)slack->slack * DIVIDED_SHARE / hosts;
  double window_s = (double)slack->window_us / (double)JD_US_PER_S;
  double live_share = MIN ((double)slack->live_hosts / hosts, 1.0);
  return (jd_extra_shares_t){
    .slack_per_s = host_slack * (1.0 - RESERVE_SHARE) / window_s,
    .reserve = MAX (host_slack * RESERVE_SHARE, 1.0),
    .borrow_limit =
        slack->has_full_window ? (double)slack->slack * BORROW_SHARE * live_share : 0.0,
  };
}

/* Returns the decayed number of extra attempts at now_us. */
static double
decayed_used (const jd_extra_budget_t *budget, int64_t now_us)
{
  if (budget->window_us <= 0)
    return budget->used;
  double decay_us = (double)budget->window_us * DECAY_WINDOWS;
  return budget->used *
         exp (-(double)MAX (now_us - budget->used_updated_us, 0) / decay_us);
}

/* Adds count extra attempts made at about now_us. */
static void
add_used (jd_extra_budget_t *budget, uint32_t count, int64_t now_us)
{
  budget->used = decayed_used (budget, now_us) + count;
  budget->used_updated_us = MAX (now_us, budget->used_updated_us);
}

/* Sets the number of extra attempts in a window from which on no more are lent; 0 lends
 * nothing. */
void
jd_extra_budget_set_limit (jd_extra_budget_t *budget, double borrow_limit,
                           int64_t window_us)
{
  budget->borrow_limit = borrow_limit;
  budget->window_us = window_us;
}

/* Returns TRUE if this host may make one more extra attempt than its own share allows. */
bool
jd_extra_budget_can_lend (const jd_extra_budget_t *budget, int64_t now_us)
{
  return decayed_used (budget, now_us) + 1.0 <= budget->borrow_limit;
}

/* Counts an extra attempt of this host, which is reported to the other hosts later. */
void
jd_extra_budget_count_own (jd_extra_budget_t *budget, int64_t now_us)
{
  add_used (budget, 1, now_us);
  budget->unreported++;
}

/* Counts extra attempts that another host has reported. */
void
jd_extra_budget_apply_report (jd_extra_budget_t *budget, uint32_t count, int64_t now_us)
{
  add_used (budget, count, now_us);
}

/* Returns the number of extra attempts to report to the other hosts, and resets it. */
uint32_t
jd_extra_budget_collect_report (jd_extra_budget_t *budget)
{
  uint32_t unreported = budget->unreported;
  budget->unreported = 0;
  return unreported;
}
