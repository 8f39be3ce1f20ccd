#pragma once

#include <glib.h>
#include <stdint.h>

/* Token bucket for extra requests (hedged requests and retries). Each first request adds
 * a fraction of a token. */
typedef struct jd_hedge_budget
{
  double tokens;
  uint64_t first_requests;
  uint64_t extra_attempts;
  uint64_t denied;
  double max_tokens;   /* Capacity of the bucket; 0: the default. */
  double slack_per_s;  /* Tokens added per second without any request. */
  int64_t refilled_us; /* Time of the last refill; 0: none yet. */
} jd_hedge_budget_t;

void jd_hedge_budget_add_requests (jd_hedge_budget_t *budget, uint32_t requests,
                                   double fraction);
void jd_hedge_budget_set_slack (jd_hedge_budget_t *budget, double slack_per_s,
                                double reserve);
void jd_hedge_budget_refill (jd_hedge_budget_t *budget, int64_t now_us);
gboolean jd_hedge_budget_take_token (jd_hedge_budget_t *budget);
void jd_hedge_budget_return_token (jd_hedge_budget_t *budget);
