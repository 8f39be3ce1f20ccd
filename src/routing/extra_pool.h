#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Slots in which the extra attempts of a window are counted. */
#define JD_EXTRA_SLOTS 10

/* Extra attempts (hedges and retries) at one service by all hosts together, as far as
 * this host has received reports of them. The platform limits their sum in a time window.
 * A host that has used up its own share borrows while the other hosts leave most of
 * theirs unused. A zeroed budget lends nothing. */
typedef struct jd_extra_budget
{
  double used; /* Extra attempts by all hosts in the window; older ones count less. */
  int64_t used_updated_us; /* Time of the last update of used. */
  int64_t window_us;
  double borrow_limit; /* Nothing is lent once this many are used; 0: never. */
  uint32_t unreported; /* This host's attempts not yet reported to the other hosts. */

  /* For retries, the attempts of the window are counted exactly, in slots of equal
   * length. */
  uint32_t slots[JD_EXTRA_SLOTS];
  int64_t newest_slot; /* Time of the newest slot, in slots since time 0. */
  double window_slack; /* Part of the slack for retries; 0: it is unknown how much the
                          hosts have used. */
  uint32_t requesting_hosts; /* Hosts that surely send requests, this one included. */
  double own_requests;       /* First requests of this host; older ones count less. */
  int64_t own_updated_us;    /* Time of the last update of own_requests. */
} jd_extra_budget_t;

/* The extra attempts that the platform allows beyond a fraction of the requests, and the
 * hosts that share them. */
typedef struct jd_extra_slack
{
  uint32_t slack; /* Extra attempts of all hosts at a service in a window. */
  int64_t window_us;
  uint32_t hosts;       /* Hosts that may be serving. */
  uint32_t live_hosts;  /* Those whose messages arrive, and this host. */
  bool has_full_window; /* This host has received reports for a whole window. */
} jd_extra_slack_t;

/* One host's share of jd_extra_slack_t. */
typedef struct jd_extra_shares
{
  double slack_per_s; /* Extra attempts added to its budget per second. */
  double reserve;     /* Most unused extra attempts that are kept. */
  double borrow_limit;
  double window_slack;       /* See jd_extra_budget_t. */
  uint32_t requesting_hosts; /* See jd_extra_budget_t. */
} jd_extra_shares_t;

jd_extra_shares_t jd_extra_shares (const jd_extra_slack_t *slack);
void jd_extra_budget_set_limit (jd_extra_budget_t *budget, double borrow_limit,
                                int64_t window_us);
bool jd_extra_budget_can_lend (const jd_extra_budget_t *budget, int64_t now_us);
void jd_extra_budget_set_window (jd_extra_budget_t *budget, double window_slack,
                                 uint32_t requesting_hosts);
void jd_extra_budget_count_request (jd_extra_budget_t *budget, int64_t now_us);
bool jd_extra_budget_is_spent (const jd_extra_budget_t *budget, int64_t now_us);
double jd_extra_budget_left (const jd_extra_budget_t *budget, double limit_share,
                             int64_t now_us);
void jd_extra_budget_count_own (jd_extra_budget_t *budget, int64_t now_us);
void jd_extra_budget_apply_report (jd_extra_budget_t *budget, uint32_t count,
                                   int64_t now_us);
uint32_t jd_extra_budget_collect_report (jd_extra_budget_t *budget);
