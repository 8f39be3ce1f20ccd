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
/* Share of the slack, and extra attempts for each first request, that hosts may use up in
 * a window for retries. The platform allows all of the slack and 0.2; the rest is for the
 * shares that hosts have of their own, for the attempts of the last second, which other
 * hosts have not reported yet, and for the error of the estimated number of requests. */
#define WINDOW_SLACK_SHARE 0.8
#define REQUEST_SHARE 0.12
/* The same, beyond which hosts may not use their own shares either. */
#define SPENT_SLACK_SHARE 0.9
#define SPENT_REQUEST_SHARE 0.17

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
    .window_slack = slack->has_full_window
                        ? (double)slack->slack * WINDOW_SLACK_SHARE * live_share
                        : 0.0,
    .requesting_hosts = MAX (MIN (slack->live_hosts, slack->hosts), 1),
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

/* Returns the slot of a time. */
static int64_t
slot_of (const jd_extra_budget_t *budget, int64_t now_us)
{
  return now_us / MAX (budget->window_us / JD_EXTRA_SLOTS, 1);
}

/* Adds count extra attempts made at about now_us to their slot. Attempts that are
 * reported late count in the newest slot. */
static void
add_to_slot (jd_extra_budget_t *budget, uint32_t count, int64_t now_us)
{
  int64_t slot = slot_of (budget, now_us);
  for (int64_t cleared = MAX (budget->newest_slot + 1, slot - JD_EXTRA_SLOTS + 1);
       cleared <= slot; cleared++)
    budget->slots[cleared % JD_EXTRA_SLOTS] = 0;
  budget->newest_slot = MAX (budget->newest_slot, slot);
  budget->slots[budget->newest_slot % JD_EXTRA_SLOTS] += count;
}

/* Adds count extra attempts made at about now_us. */
static void
add_used (jd_extra_budget_t *budget, uint32_t count, int64_t now_us)
{
  budget->used = decayed_used (budget, now_us) + count;
  budget->used_updated_us = MAX (now_us, budget->used_updated_us);
  if (budget->window_us > 0)
    add_to_slot (budget, count, now_us);
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

/* Sets the part of the slack that all hosts together may use up in a window for retries,
 * and the number of hosts by whose requests the bound grows. Hosts that are silent share
 * the slack, because they may be serving, but do not add to the requests, because they
 * may have no callers. */
void
jd_extra_budget_set_window (jd_extra_budget_t *budget, double window_slack,
                            uint32_t requesting_hosts)
{
  budget->window_slack = window_slack;
  budget->requesting_hosts = requesting_hosts;
}

/* Counts a first request of this host, for which the platform allows a fraction of an
 * extra attempt. */
void
jd_extra_budget_count_request (jd_extra_budget_t *budget, int64_t now_us)
{
  double window_us = (double)MAX (budget->window_us, 1);
  budget->own_requests =
      1.0 + budget->own_requests *
                exp (-(double)MAX (now_us - budget->own_updated_us, 0) / window_us);
  budget->own_updated_us = now_us;
}

/* Returns how many extra attempts all hosts made in the window, as far as reported. */
static double
count_window (const jd_extra_budget_t *budget, int64_t now_us)
{
  int64_t oldest_slot = slot_of (budget, now_us) - JD_EXTRA_SLOTS + 1;
  double used = 0.0;
  for (int64_t slot = MAX (oldest_slot, 0); slot <= budget->newest_slot; slot++)
    used += budget->slots[slot % JD_EXTRA_SLOTS];
  return used;
}

/* Returns how many first requests the hosts that surely send some had in the window,
 * estimated from those of this host. */
static double
estimate_requests (const jd_extra_budget_t *budget, int64_t now_us)
{
  double keep =
      exp (-(double)MAX (now_us - budget->own_updated_us, 0) / (double)budget->window_us);
  return budget->own_requests * keep * budget->requesting_hosts;
}

/* Returns how many extra attempts all hosts together may still make for retries, if only
 * a share of them may be used up. */
double
jd_extra_budget_left (const jd_extra_budget_t *budget, double limit_share, int64_t now_us)
{
  if (budget->window_slack <= 0.0 || budget->window_us <= 0)
    return 0.0;
  double limit =
      budget->window_slack + REQUEST_SHARE * estimate_requests (budget, now_us);
  return MAX (limit * limit_share - count_window (budget, now_us), 0.0);
}

/* Returns TRUE if all hosts together have used up what the platform allows but for a
 * reserve, so that this host may not even use its own share. */
bool
jd_extra_budget_is_spent (const jd_extra_budget_t *budget, int64_t now_us)
{
  if (budget->window_slack <= 0.0 || budget->window_us <= 0)
    return false;
  double limit = budget->window_slack / WINDOW_SLACK_SHARE * SPENT_SLACK_SHARE +
                 SPENT_REQUEST_SHARE * estimate_requests (budget, now_us);
  return count_window (budget, now_us) >= limit;
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
