#include "routing/cold_share.h"

#include <glib.h>

#include "base/clock.h"
#include "support/test_main.h"

#define REQUESTS_PER_S 10.0
#define SLACK 5.0
/* Requests that the platform allows in any second: 1.5 times the rate, plus the slack. */
#define REQUESTS_PER_S_MAX 20U
#define HOSTS_MAX 300
#define STEP_US (5 * JD_US_PER_MS)
#define UPDATE_US (250 * JD_US_PER_MS)
#define COLD_US (3 * JD_US_PER_S)
#define STEPS (uint32_t) (COLD_US / STEP_US)
#define STEPS_PER_SECOND (uint32_t) (JD_US_PER_S / STEP_US)

typedef struct jd_cold_simulation
{
  jd_cold_quota_t quotas[HOSTS_MAX];
  uint32_t hosts;
  uint32_t sent[STEPS];
} jd_cold_simulation_t;

/* Simulates a cold start in which all hosts have requests from demand_from_us on. Each
 * host updates its rate limit at different times. Returns the number of requests that are
 * sent to the target. */
static uint32_t
simulate (jd_cold_simulation_t *simulation, int64_t demand_from_us)
{
  uint32_t total = 0;
  for (int64_t now_us = 0; now_us < COLD_US; now_us += STEP_US)
    {
      uint32_t *sent = &simulation->sent[now_us / STEP_US];
      *sent = 0;
      for (uint32_t i = 0; i < simulation->hosts; i++)
        {
          jd_cold_limit_t limit = { .requests_per_s = REQUESTS_PER_S,
                                    .burst = SLACK,
                                    .hosts = simulation->hosts,
                                    .host_index = i + 7 };
          if ((now_us + STEP_US * (int64_t)i) % UPDATE_US == 0)
            jd_cold_quota_set_limit (&simulation->quotas[i], &limit, now_us);
          if (now_us < demand_from_us ||
              !jd_cold_quota_has_grant (&simulation->quotas[i], now_us))
            continue;
          jd_cold_quota_use_grant (&simulation->quotas[i], now_us);
          (*sent)++;
        }
      total += *sent;
    }
  return total;
}

/* Returns the largest number of requests in any second. */
static uint32_t
max_requests_in_a_second (const jd_cold_simulation_t *simulation)
{
  uint32_t max_count = 0, count = 0;
  for (uint32_t i = 0; i < STEPS; i++)
    {
      count += simulation->sent[i];
      if (i >= STEPS_PER_SECOND)
        count -= simulation->sent[i - STEPS_PER_SECOND];
      max_count = MAX (max_count, count);
    }
  return max_count;
}

/* Guards against hosts that each send one request to a target as soon as it is published:
 * 230 hosts then send 230 requests at the same time. */
static void
many_hosts_stay_within_the_limit (void)
{
  static const uint32_t sizes[] = { 1, 3, 4, 9, 20, 86, 230, 300 };
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      jd_cold_simulation_t *simulation = g_new0 (jd_cold_simulation_t, 1);
      simulation->hosts = sizes[i];
      uint32_t total = simulate (simulation, 0);
      CU_ASSERT (max_requests_in_a_second (simulation) <= REQUESTS_PER_S_MAX);
      /* The hosts use at least 80 % of the target's rate. */
      CU_ASSERT ((double)total >=
                 0.8 * REQUESTS_PER_S * (double)COLD_US / (double)JD_US_PER_S);
      g_free (simulation);
    }
}

/* Guards against a burst from grants that the hosts left unused, such as when the other
 * targets of the service are lost. */
static void
late_demand_stays_within_the_limit (void)
{
  static const uint32_t sizes[] = { 1, 4, 20, 86 };
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      jd_cold_simulation_t *simulation = g_new0 (jd_cold_simulation_t, 1);
      simulation->hosts = sizes[i];
      CU_ASSERT (simulate (simulation, 2 * JD_US_PER_S) > 0);
      CU_ASSERT (max_requests_in_a_second (simulation) <= REQUESTS_PER_S_MAX);
      g_free (simulation);
    }
}

/* Guards against the use of grants from an earlier cold start, and against requests
 * before the rate limit is known. */
static void
grants_expire_with_the_cold_start (void)
{
  jd_cold_quota_t quota = { 0 };
  jd_cold_limit_t limit = {
    .requests_per_s = REQUESTS_PER_S, .burst = SLACK, .hosts = 20, .host_index = 0
  };
  CU_ASSERT_FALSE (jd_cold_quota_has_grant (&quota, JD_US_PER_S));
  jd_cold_quota_set_limit (&quota, &limit, 0);
  CU_ASSERT_FALSE (jd_cold_quota_has_grant (&quota, JD_US_PER_S));
  CU_ASSERT_TRUE (jd_cold_quota_has_grant (&quota, 2 * JD_US_PER_S + STEP_US));
  CU_ASSERT_FALSE (jd_cold_quota_has_grant (&quota, 3 * JD_US_PER_S));
  jd_cold_quota_reset (&quota);
  CU_ASSERT_FALSE (jd_cold_quota_has_grant (&quota, 4 * JD_US_PER_S + STEP_US));
  jd_cold_quota_set_limit (&quota, &limit, 5 * JD_US_PER_S);
  CU_ASSERT_FALSE (jd_cold_quota_has_grant (&quota, 6 * JD_US_PER_S));
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "many hosts stay within the limit", many_hosts_stay_within_the_limit },
    { "late demand stays within the limit", late_demand_stays_within_the_limit },
    { "grants expire with the cold start", grants_expire_with_the_cold_start },
  };
  return JD_TEST_RUN ("cold_share", cases);
}
