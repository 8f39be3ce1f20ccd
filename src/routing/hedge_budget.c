#include "routing/hedge_budget.h"

/* Most saved tokens; bounds the extra load that may follow a quiet time. With 50, the
 * entries together could double the load of one shard for 0.3 s. */
#define MAX_TOKENS 10.0

/* Returns the bound on saved tokens. */
static double
max_tokens (const jd_hedge_budget_t *budget)
{
  return budget->max_tokens > 0.0 ? budget->max_tokens : MAX_TOKENS;
}

/* Fills the budget by a fraction of first requests that are being sent. */
void
jd_hedge_budget_add (jd_hedge_budget_t *budget, uint32_t requests, double fraction)
{
  budget->first_requests += requests;
  budget->tokens = MIN (max_tokens (budget), budget->tokens + requests * fraction);
}

/* Sets the tokens that come with time, and the bound on saved ones, which a new budget
 * starts with. */
void
jd_hedge_budget_set_slack (jd_hedge_budget_t *budget, double slack_per_s, double reserve)
{
  if (budget->max_tokens <= 0.0)
    budget->tokens = reserve;
  budget->slack_per_s = slack_per_s;
  budget->max_tokens = reserve;
}

/* Adds the tokens that came with time. */
void
jd_hedge_budget_refill (jd_hedge_budget_t *budget, int64_t now_us)
{
  double elapsed_s =
      budget->refilled_us > 0 ? (double)(now_us - budget->refilled_us) / 1e6 : 0.0;
  budget->refilled_us = now_us;
  budget->tokens = MIN (max_tokens (budget),
                        budget->tokens + MAX (elapsed_s, 0.0) * budget->slack_per_s);
}

/* Takes the token of one extra request; returns FALSE when there is none. */
gboolean
jd_hedge_budget_take (jd_hedge_budget_t *budget)
{
  if (budget->tokens < 1.0)
    {
      budget->denied++;
      return FALSE;
    }
  budget->tokens -= 1.0;
  budget->extra_requests++;
  return TRUE;
}

/* Gives back the token of an extra request that did not run. */
void
jd_hedge_budget_return (jd_hedge_budget_t *budget)
{
  budget->tokens = MIN (max_tokens (budget), budget->tokens + 1.0);
  budget->extra_requests--;
}
