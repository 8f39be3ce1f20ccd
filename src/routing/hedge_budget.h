#pragma once

#include <glib.h>
#include <stdint.h>

/* Token bucket for extra requests (hedged requests and retries), filled by a fraction
 * of the first requests sent. */
typedef struct jd_hedge_budget
{
  double tokens;
  uint64_t first_requests;
  uint64_t extra_requests;
  uint64_t denied;
  double max_tokens;  /* Most saved tokens; 0 for the default. */
  double slack_per_s; /* Tokens that come without any request. */
  int64_t refilled_us;
} jd_hedge_budget_t;

void jd_hedge_budget_add (jd_hedge_budget_t *budget, uint32_t requests, double fraction);
void jd_hedge_budget_set_slack (jd_hedge_budget_t *budget, double slack_per_s,
                                double reserve);
void jd_hedge_budget_refill (jd_hedge_budget_t *budget, int64_t now_us);
gboolean jd_hedge_budget_take (jd_hedge_budget_t *budget);
/* Gives back the token of an extra request that did not run. */
void jd_hedge_budget_return (jd_hedge_budget_t *budget);
