#include "routing/hedge_budget.h"

/* Default capacity. It bounds the extra load after a period with few requests: with 50,
 * the entries together could double the load of one shard for 0.3 s. */
#define DEFAULT_MAX_TOKENS 10.0

/* Returns the capacity of the bucket in tokens. */
static double
capacity (const jd_hedge_budget_t *budget)
{
  return budget->max_tokens > 0.0 ? budget->max_tokens : DEFAULT_MAX_TOKENS;
}

/* Adds fraction tokens for each of the first requests that are being sent. */
void
jd_hedge_budget_add_requests (jd_hedge_budget_t *budget, uint32_t requests,
                              double fraction)
{
  budget->first_requests += requests;
  budget->tokens = MIN (capacity (budget), budget->tokens + requests * fraction);
}

/* Sets the rate of tokens that are added without requests, and the capacity. A budget
 * without a capacity so far starts with a full bucket. */
void
jd_hedge_budget_set_slack (jd_hedge_budget_t *budget, double slack_per_s, double reserve)
{
  if (budget->max_tokens <= 0.0)
    budget->tokens = reserve;
  budget->slack_per_s = slack_per_s;
  budget->max_tokens = reserve;
}

/* Adds the tokens due since the last refill at the rate of slack_per_s. */
void
jd_hedge_budget_refill (jd_hedge_budget_t *budget, int64_t now_us)
{
  double elapsed_s =
      budget->refilled_us > 0 ? (double)(now_us - budget->refilled_us) / 1e6 : 0.0;
  budget->refilled_us = now_us;
  budget->tokens = MIN (capacity (budget),
                        budget->tokens + MAX (elapsed_s, 0.0) * budget->slack_per_s);
}

/* Removes the token for one extra request from the bucket; returns FALSE if there is
 * none. */
gboolean
jd_hedge_budget_take_token (jd_hedge_budget_t *budget)
{
  if (budget->tokens < 1.0)
    {
      budget->denied++;
      return FALSE;
    }
  budget->tokens -= 1.0;
  budget->extra_attempts++;
  return TRUE;
}

/* Returns the token of an extra request that did not run to the bucket. */
void
jd_hedge_budget_return_token (jd_hedge_budget_t *budget)
{
  budget->tokens = MIN (capacity (budget), budget->tokens + 1.0);
  budget->extra_attempts--;
}
