#include "routing/extra_pool.h"

#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/rng.h"
#include "routing/extra_reports.h"
#include "routing/hedge_budget.h"
#include "routing/replica_registry.h"
#include "support/test_main.h"

#define HOSTS_MAX 100
#define STEP_US (10 * JD_US_PER_MS)
#define STEPS_MAX 8000
#define WINDOW_US (10 * JD_US_PER_S)
#define WINDOW_STEPS (WINDOW_US / STEP_US)
/* Equals EXTRA_SHARE of src/routing/fanout.c. */
#define EXTRA_SHARE 0.17

/* Hosts with requests for one shard that report their extra attempts to each other. */
typedef struct jd_extra_fleet
{
  uint32_t hosts;
  uint32_t slack;
  double requests_per_s;
  uint32_t report_steps;   /* Steps between two reports of a host. */
  uint32_t partition_size; /* Hosts, from 0 on, in the smaller network partition. */
  bool partition_detected; /* The hosts count only those in their partition as live. */
  bool borrows;
  jd_hedge_budget_t budgets[HOSTS_MAX];
  jd_extra_budget_t shared_budgets[HOSTS_MAX];
  uint32_t requests[STEPS_MAX];
  uint32_t extras[STEPS_MAX];
  uint32_t wanted;
  uint32_t denied;
} jd_extra_fleet_t;

static void
update_host_budget (jd_extra_fleet_t *fleet, uint32_t host, int64_t now_us)
{
  uint32_t live_hosts = host < fleet->partition_size
                            ? fleet->partition_size
                            : fleet->hosts - fleet->partition_size;
  jd_extra_slack_t slack = {
    .slack = fleet->slack,
    .window_us = WINDOW_US,
    .hosts = fleet->hosts,
    .live_hosts = fleet->partition_detected ? live_hosts : fleet->hosts,
    .has_full_window = fleet->borrows,
  };
  jd_extra_shares_t shares = jd_extra_shares (&slack);
  jd_hedge_budget_set_slack (&fleet->budgets[host], shares.slack_per_s, shares.reserve);
  jd_hedge_budget_refill (&fleet->budgets[host], now_us);
  jd_extra_budget_set_limit (&fleet->shared_budgets[host], shares.borrow_limit,
                             WINDOW_US);
}

static void
send_report (jd_extra_fleet_t *fleet, uint32_t from, int64_t now_us)
{
  uint32_t count = jd_extra_budget_collect_report (&fleet->shared_budgets[from]);
  for (uint32_t to = 0; to < fleet->hosts; to++)
    {
      if (to != from && (from < fleet->partition_size) == (to < fleet->partition_size))
        jd_extra_budget_apply_report (&fleet->shared_budgets[to], count, now_us);
    }
}

/* Simulates requests in the steps from..to - 1; each needs an extra attempt with the
 * probability wanted_share. */
static void
simulate (jd_extra_fleet_t *fleet, const jd_rng_t *rng, uint32_t from, uint32_t to,
          double wanted_share)
{
  for (uint32_t step = from; step < to; step++)
    {
      int64_t now_us = (int64_t)(step + 1) * STEP_US;
      double expected = fleet->requests_per_s * (double)STEP_US / (double)JD_US_PER_S;
      uint32_t count =
          (uint32_t)expected + (jd_rng_unit (rng) < expected - (uint32_t)expected);
      fleet->requests[step] = count;
      for (uint32_t i = 0; i < count; i++)
        {
          uint32_t host = (uint32_t)jd_rng_below (rng, fleet->hosts);
          jd_hedge_budget_add_requests (&fleet->budgets[host], 1, EXTRA_SHARE);
          if (jd_rng_unit (rng) >= wanted_share)
            continue;
          fleet->wanted++;
          bool is_granted =
              jd_hedge_budget_take_token (&fleet->budgets[host]) ||
              jd_extra_budget_can_lend (&fleet->shared_budgets[host], now_us);
          fleet->extras[step] += is_granted;
          fleet->denied += !is_granted;
          if (is_granted)
            jd_extra_budget_count_own (&fleet->shared_budgets[host], now_us);
        }
      for (uint32_t host = 0; host < fleet->hosts; host++)
        {
          if ((step + host) % 25 == 0)
            update_host_budget (fleet, host, now_us);
          if ((step + host) % fleet->report_steps == 0)
            send_report (fleet, host, now_us);
        }
    }
}

/* Returns the largest excess of extra attempts in any window over a fifth of its requests
 * plus the slack; negative if no window exceeds that. Raises most to the largest number
 * of extra attempts in a window. */
static double
max_excess (const jd_extra_fleet_t *fleet, uint32_t steps, uint32_t *most)
{
  double largest_excess = -1e9;
  for (uint32_t start = 0; start + WINDOW_STEPS <= steps; start++)
    {
      uint32_t extras = 0, requests = 0;
      for (uint32_t i = 0; i < WINDOW_STEPS; i++)
        {
          extras += fleet->extras[start + i];
          requests += fleet->requests[start + i];
        }
      largest_excess =
          MAX (largest_excess, (double)extras - 0.2 * requests - fleet->slack);
      *most = MAX (*most, extras);
    }
  return largest_excess;
}

/* The fleets of the sites: hosts, slack of a service, and searches per second. */
static const jd_extra_fleet_t fleets[] = {
  { .hosts = 86, .slack = 212, .requests_per_s = 45.0, .report_steps = 90 },
  { .hosts = 80, .slack = 200, .requests_per_s = 81.0, .report_steps = 83 },
  { .hosts = 9, .slack = 58, .requests_per_s = 90.0, .report_steps = 25 },
  { .hosts = 3, .slack = 50, .requests_per_s = 20.0, .report_steps = 25 },
};

/* Guards against second attempts that are denied although there is no fault and all hosts
 * together use a twentieth of what the platform allows. Hosts that do not borrow were
 * denied a third of the attempts needed because of paused targets, which caused 315 of
 * 430 missing parts (signfold-search-grown quiet-1). With borrowing at most one in twenty
 * is denied. */
static void
few_extra_attempts_are_denied_without_faults (void)
{
  for (uint64_t seed = 1; seed <= 4; seed++)
    {
      jd_extra_fleet_t without_borrowing = fleets[0], with_borrowing = fleets[0];
      jd_philox_t state = { .seed = seed };
      jd_rng_t rng = jd_philox_rng (&state);
      with_borrowing.borrows = true;
      simulate (&without_borrowing, &rng, 0, 5000, 0.08);
      simulate (&with_borrowing, &rng, 0, 5000, 0.08);
      CU_ASSERT_TRUE (with_borrowing.denied * 20 <= with_borrowing.wanted);
      CU_ASSERT_TRUE (without_borrowing.denied * 20 > without_borrowing.wanted);
    }
}

/* Guards against extra attempts beyond the platform's bound when all targets of a shard
 * are lost and each request for it needs a second attempt: suddenly, after a time without
 * faults, and during a network partition between the hosts. */
static void
lost_shards_stay_within_the_bound (void)
{
  for (size_t f = 0; f < G_N_ELEMENTS (fleets); f++)
    {
      for (uint64_t seed = 1; seed <= 6; seed++)
        {
          jd_extra_fleet_t fleet = fleets[f];
          jd_philox_t state = { .seed = seed };
          jd_rng_t rng = jd_philox_rng (&state);
          uint32_t most = 0;
          fleet.borrows = true;
          simulate (&fleet, &rng, 0, 2000, 0.05);
          simulate (&fleet, &rng, 2000, 2000 + 40 * (uint32_t)seed, 1.0);
          simulate (&fleet, &rng, 2000 + 40 * (uint32_t)seed, 4000, seed % 2 ? 1.0 : 0.5);
          fleet.partition_size = seed % 3 ? fleet.hosts / 3 : 0;
          simulate (&fleet, &rng, 4000, 4400, seed % 2 ? 0.3 : 1.0);
          /* A host without messages for 4 s no longer counts as live. */
          fleet.partition_detected = true;
          simulate (&fleet, &rng, 4400, 6000, seed % 2 ? 0.3 : 1.0);
          double excess = max_excess (&fleet, 6000, &most);
          CU_ASSERT_TRUE (excess <= 0.0);
          if (excess > 0.0)
            printf ("hosts %u seed %d: %u extra attempts in a window, %.0f more than "
                    "allowed\n",
                    fleet.hosts, (int)seed, most, excess);
        }
    }
}

/* Guards against a host that borrows after its restart, before it has received reports
 * for a window, and against one that borrows the part of hosts whose messages do not
 * arrive. */
static void
unreported_use_is_not_lent (void)
{
  jd_extra_slack_t slack = { .slack = 200,
                             .window_us = WINDOW_US,
                             .hosts = 80,
                             .live_hosts = 80,
                             .has_full_window = true };
  double full_limit = jd_extra_shares (&slack).borrow_limit;
  slack.live_hosts = 20;
  CU_ASSERT_DOUBLE_EQUAL (jd_extra_shares (&slack).borrow_limit, full_limit / 4.0, 1e-9);
  slack.has_full_window = false;
  CU_ASSERT_EQUAL (jd_extra_shares (&slack).borrow_limit, 0.0);
  CU_ASSERT_TRUE (jd_extra_shares (&slack).reserve >= 1.0);
}

/* Makes the extra attempts of one request, as many as the budgets allow of six. Returns
 * their number. */
static uint32_t
retry_request (jd_hedge_budget_t *own, jd_extra_budget_t *shared, int64_t now_us)
{
  uint32_t count = 0;
  jd_extra_budget_count_request (shared, now_us);
  jd_hedge_budget_add_requests (own, 1, EXTRA_SHARE);
  while (count < 6 && !jd_extra_budget_is_spent (shared, now_us) &&
         (jd_hedge_budget_take_token (own) ||
          jd_extra_budget_left (shared, 1.0, now_us) >= 1.0))
    {
      jd_extra_budget_count_own (shared, now_us);
      count++;
    }
  return count;
}

/* Guards against a bound on extra attempts that grows with requests of hosts that have
 * none: after a start the fleet is assumed to have some hosts, and a lost host is counted
 * for a while, and all of them were taken to send as many requests as this one. */
static void
silent_hosts_allow_no_extra_attempts (void)
{
  static const struct
  {
    uint32_t hosts, live_hosts;
  } fleets[] = { { 12, 1 }, { 12, 4 }, { 12, 12 }, { 90, 3 }, { 2, 1 } };
  for (size_t k = 0; k < G_N_ELEMENTS (fleets); k++)
    {
      static jd_hedge_budget_t own[HOSTS_MAX];
      static jd_extra_budget_t shared[HOSTS_MAX];
      static uint32_t extras[STEPS_MAX];
      memset (own, 0, sizeof (own));
      memset (shared, 0, sizeof (shared));
      jd_extra_slack_t slack = { .slack = 58,
                                 .window_us = WINDOW_US,
                                 .hosts = fleets[k].hosts,
                                 .live_hosts = fleets[k].live_hosts,
                                 .has_full_window = true };
      uint32_t in_window = 0, most = 0;
      for (uint32_t step = 0; step < 3 * WINDOW_STEPS; step++)
        {
          int64_t now_us = 100 * JD_US_PER_S + step * STEP_US;
          extras[step] = 0;
          for (uint32_t host = 0; host < fleets[k].live_hosts; host++)
            {
              if (step % 25 == host % 25)
                {
                  jd_extra_shares_t shares = jd_extra_shares (&slack);
                  jd_hedge_budget_set_slack (&own[host], shares.slack_per_s,
                                             shares.reserve);
                  jd_hedge_budget_refill (&own[host], now_us);
                  jd_extra_budget_set_limit (&shared[host], shares.borrow_limit,
                                             WINDOW_US);
                  jd_extra_budget_set_window (&shared[host], shares.window_slack,
                                              shares.requesting_hosts);
                  uint32_t report = jd_extra_budget_collect_report (&shared[host]);
                  for (uint32_t to = 0; to < fleets[k].live_hosts; to++)
                    {
                      if (to != host)
                        jd_extra_budget_apply_report (&shared[to], report, now_us);
                    }
                }
              /* Ten requests a second at each live host. */
              if (step % 10 == host % 10)
                extras[step] += retry_request (&own[host], &shared[host], now_us);
            }
          in_window += extras[step];
          if (step >= WINDOW_STEPS)
            in_window -= extras[step - WINDOW_STEPS];
          most = MAX (most, in_window);
        }
      uint32_t allowed = 58 + fleets[k].live_hosts * 100 / 5;
      printf ("%u of %u ", most, allowed);
      CU_ASSERT_TRUE (most <= allowed);
    }
}

#define SERVICES 100U
#define REPORTS_MAX 64U

/* Guards against services whose extra attempts other hosts never hear of: all services
 * have some before each message, which has room for a part of them, and it always held
 * those of the first services. */
static void
all_services_are_reported_in_turn (void)
{
  jd_replica_events_t events = { 0 };
  jd_replica_registry_t *registry = jd_replica_registry_new ("a", &events);
  jd_replica_pool_t *pools[SERVICES];
  for (uint32_t i = 0; i < SERVICES; i++)
    {
      char name[16];
      g_snprintf (name, sizeof (name), "shard-%u", i);
      pools[i] = jd_replica_registry_pool (registry, name);
    }
  uint32_t collected = 0;
  for (int message = 0; message < 4; message++)
    {
      jd_extra_report_t reports[REPORTS_MAX];
      for (uint32_t i = 0; i < SERVICES; i++)
        jd_extra_budget_count_own (&pools[i]->shared_budget, JD_US_PER_S);
      uint32_t count = jd_extra_reports_collect (registry, reports, REPORTS_MAX);
      CU_ASSERT_EQUAL (count, REPORTS_MAX);
      for (uint32_t i = 0; i < count; i++)
        collected += reports[i].count;
    }
  uint32_t most_unreported = 0, unreported = 0;
  for (uint32_t i = 0; i < SERVICES; i++)
    {
      unreported += pools[i]->shared_budget.unreported;
      most_unreported = MAX (most_unreported, pools[i]->shared_budget.unreported);
      jd_replica_pool_unref (pools[i]);
    }
  CU_ASSERT_EQUAL (collected + unreported, 4 * SERVICES);
  CU_ASSERT_TRUE (most_unreported <= 1);
  jd_replica_registry_free (registry);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "few extra attempts are denied without faults",
      few_extra_attempts_are_denied_without_faults },
    { "lost shards stay within the bound", lost_shards_stay_within_the_bound },
    { "unreported use is not lent", unreported_use_is_not_lent },
    { "silent hosts allow no extra attempts", silent_hosts_allow_no_extra_attempts },
    { "all services are reported in turn", all_services_are_reported_in_turn },
  };
  return JD_TEST_RUN ("extra_pool", cases);
}
