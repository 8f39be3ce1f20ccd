#include "routing/hedge_budget.h"

/* Most saved tokens. At 2.5% it is reached by 2,000 requests, and bounds the extra
 * load that may follow a quiet time. */
#define MAX_TOKENS 50.0

/* Fills the budget by a fraction of first requests that are being sent. */
void
jd_hedge_budget_add (jd_hedge_budget_t *budget, uint32_t requests, double fraction)
{
  budget->first_requests += requests;
  budget->tokens = MIN (MAX_TOKENS, budget->tokens + requests * fraction);
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
