#include "routing/hedge_budget.h"

#include "support/test_main.h"

/* Adds requests at a rate to a budget for a time and takes each token as soon as it is
 * available. Returns the number of taken tokens. */
static uint32_t
take_all_tokens (jd_hedge_budget_t *budget, double seconds, double requests_per_s,
                 int64_t *now_us)
{
  uint32_t taken = 0;
  double due_requests = 0.0;
  for (int step = 0; step < (int)(seconds * 100.0); step++)
    {
      *now_us += 10000;
      due_requests += requests_per_s / 100.0;
      uint32_t requests = (uint32_t)due_requests;
      due_requests -= requests;
      jd_hedge_budget_add_requests (budget, requests, 0.17);
      jd_hedge_budget_refill (budget, *now_us);
      while (jd_hedge_budget_take_token (budget))
        taken++;
    }
  return taken;
}

/* Guards against a host with few requests that has no extra attempt for seconds, so that
 * searches of 135 shards fail without a retry (lamplight-search-grown trouble-1). With
 * half a request per second it may make one extra attempt immediately, and more within
 * its part of the slack. */
static void
slack_serves_hosts_with_few_requests (void)
{
  jd_hedge_budget_t budget = { 0 };
  int64_t now_us = 1;
  jd_hedge_budget_set_slack (&budget, 0.12, 1.0);
  CU_ASSERT_TRUE (jd_hedge_budget_take_token (&budget));
  uint32_t taken = take_all_tokens (&budget, 10.0, 0.5, &now_us);
  CU_ASSERT_TRUE (taken >= 1 && taken <= 3);
}

/* Guards against extra attempts beyond the platform's bound: in any window of 10 s, 9
 * hosts together may make a fifth of their requests plus the slack of 58, even after a
 * long time without requests. */
static void
window_stays_within_the_bound (void)
{
  const double slack = 58.0 * 0.85 / 9.0;
  jd_hedge_budget_t budget = { 0 };
  int64_t now_us = 1;
  jd_hedge_budget_set_slack (&budget, slack * 0.6 / 10.0, slack * 0.4);
  for (int i = 0; i < 600; i++)
    jd_hedge_budget_refill (&budget, now_us += 100000);
  uint32_t taken = take_all_tokens (&budget, 10.0, 11.0, &now_us);
  CU_ASSERT_TRUE (taken * 9.0 <= 0.2 * 11.0 * 10.0 * 9.0 + 58.0);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "slack serves hosts with few requests", slack_serves_hosts_with_few_requests },
    { "window stays within the bound", window_stays_within_the_bound },
  };
  return JD_TEST_RUN ("hedge_budget", cases);
}
