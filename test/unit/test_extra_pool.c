#include "routing/extra_pool.h"

#include <stdio.h>

#include "base/clock.h"
#include "base/rng.h"
#include "routing/hedge_budget.h"
#include "support/test_main.h"

#define HOSTS_MAX 100
#define STEP_US (10 * JD_US_PER_MS)
#define STEPS_MAX 8000
#define WINDOW_US (10 * JD_US_PER_S)
#define WINDOW_STEPS (WINDOW_US / STEP_US)
/* As src/routing/fanout.c fills the budget. */
#define EXTRA_SHARE 0.17

/* Requests for one shard at hosts that tell each other of their extra attempts. */
typedef struct jd_extra_fleet
{
  uint32_t hosts;
  uint32_t slack;
  double requests_per_s;
  uint32_t tell_steps; /* Between two messages of a host. */
  uint32_t cut_hosts;  /* The first of the hosts, which do not hear the others. */
  bool cut_noticed;
  bool borrows;
  jd_hedge_budget_t budgets[HOSTS_MAX];
  jd_extra_pool_t pools[HOSTS_MAX];
  uint32_t requests[STEPS_MAX];
  uint32_t extras[STEPS_MAX];
  uint32_t wanted;
  uint32_t denied;
} jd_extra_fleet_t;

static void
refill_host (jd_extra_fleet_t *fleet, uint32_t host, int64_t now_us)
{
  uint32_t side =
      host < fleet->cut_hosts ? fleet->cut_hosts : fleet->hosts - fleet->cut_hosts;
  jd_extra_slack_t slack = {
    .slack = fleet->slack,
    .window_us = WINDOW_US,
    .hosts = fleet->hosts,
    .live = fleet->cut_noticed ? side : fleet->hosts,
    .knows_window = fleet->borrows,
  };
  jd_extra_shares_t shares = jd_extra_shares (&slack);
  jd_hedge_budget_set_slack (&fleet->budgets[host], shares.slack_per_s, shares.reserve);
  jd_hedge_budget_refill (&fleet->budgets[host], now_us);
  jd_extra_pool_set_limit (&fleet->pools[host], shares.borrow_limit, WINDOW_US);
}

static void
tell (jd_extra_fleet_t *fleet, uint32_t from, int64_t now_us)
{
  uint32_t count = jd_extra_pool_tell (&fleet->pools[from]);
  for (uint32_t to = 0; to < fleet->hosts; to++)
    {
      if (to != from && (from < fleet->cut_hosts) == (to < fleet->cut_hosts))
        jd_extra_pool_hear (&fleet->pools[to], count, now_us);
    }
}

/* Plays requests from one step to another; each wants an extra attempt with a chance. */
static void
play (jd_extra_fleet_t *fleet, const jd_rng_t *rng, uint32_t from, uint32_t to,
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
          jd_hedge_budget_add (&fleet->budgets[host], 1, EXTRA_SHARE);
          if (jd_rng_unit (rng) >= wanted_share)
            continue;
          fleet->wanted++;
          bool given = jd_hedge_budget_take (&fleet->budgets[host]) ||
                       jd_extra_pool_lends (&fleet->pools[host], now_us);
          fleet->extras[step] += given;
          fleet->denied += !given;
          if (given)
            jd_extra_pool_note_own (&fleet->pools[host], now_us);
        }
      for (uint32_t host = 0; host < fleet->hosts; host++)
        {
          if ((step + host) % 25 == 0)
            refill_host (fleet, host, now_us);
          if ((step + host) % fleet->tell_steps == 0)
            tell (fleet, host, now_us);
        }
    }
}

/* Returns by how much the worst window exceeds a fifth of its requests and the slack;
 * negative while it does not. */
static double
worst_excess (const jd_extra_fleet_t *fleet, uint32_t steps, uint32_t *most)
{
  double worst = -1e9;
  for (uint32_t start = 0; start + WINDOW_STEPS <= steps; start++)
    {
      uint32_t extras = 0, requests = 0;
      for (uint32_t i = 0; i < WINDOW_STEPS; i++)
        {
          extras += fleet->extras[start + i];
          requests += fleet->requests[start + i];
        }
      worst = MAX (worst, (double)extras - 0.2 * requests - fleet->slack);
      *most = MAX (*most, extras);
    }
  return worst;
}

/* The fleets of the sites: searches a second, hosts, and the slack of a service. */
static const jd_extra_fleet_t fleets[] = {
  { .hosts = 86, .slack = 212, .requests_per_s = 45.0, .tell_steps = 90 },
  { .hosts = 80, .slack = 200, .requests_per_s = 81.0, .tell_steps = 83 },
  { .hosts = 9, .slack = 58, .requests_per_s = 90.0, .tell_steps = 25 },
  { .hosts = 3, .slack = 50, .requests_per_s = 20.0, .tell_steps = 25 },
};

/* Guards against second attempts that are denied on a calm day although all hosts
 * together use a twentieth of what the platform bears: of those wanted for pauses of
 * targets, one in twenty at the most, where a third was denied to hosts that do not
 * borrow. Seen as 315 of 430 missing parts (signfold-search-grown quiet-1). */
static void
calm_days_have_enough (void)
{
  for (uint64_t seed = 1; seed <= 4; seed++)
    {
      jd_extra_fleet_t alone = fleets[0], together = fleets[0];
      jd_philox_t state = { .seed = seed };
      jd_rng_t rng = jd_philox_rng (&state);
      together.borrows = true;
      play (&alone, &rng, 0, 5000, 0.08);
      play (&together, &rng, 0, 5000, 0.08);
      CU_ASSERT_TRUE (together.denied * 20 <= together.wanted);
      CU_ASSERT_TRUE (alone.denied * 20 > alone.wanted);
    }
}

/* Guards against extra attempts beyond the platform's bound when all targets of a shard
 * are lost and each request for it wants a second attempt: at once, after a calm time,
 * and with a cut between the hosts. */
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
          play (&fleet, &rng, 0, 2000, 0.05);
          play (&fleet, &rng, 2000, 2000 + 40 * (uint32_t)seed, 1.0);
          play (&fleet, &rng, 2000 + 40 * (uint32_t)seed, 4000, seed % 2 ? 1.0 : 0.5);
          fleet.cut_hosts = seed % 3 ? fleet.hosts / 3 : 0;
          play (&fleet, &rng, 4000, 4400, seed % 2 ? 0.3 : 1.0);
          /* A host that was silent for 4 s counts as cut off. */
          fleet.cut_noticed = true;
          play (&fleet, &rng, 4400, 6000, seed % 2 ? 0.3 : 1.0);
          double excess = worst_excess (&fleet, 6000, &most);
          CU_ASSERT_TRUE (excess <= 0.0);
          if (excess > 0.0)
            printf ("hosts %u seed %d: %u extra attempts, %.0f too many\n", fleet.hosts,
                    (int)seed, most, excess);
        }
    }
}

/* Guards against a host that borrows after its restart, when it has not heard what was
 * used, and against one that takes the part of hosts that it does not hear. */
static void
unheard_use_is_not_lent (void)
{
  jd_extra_slack_t slack = {
    .slack = 200, .window_us = WINDOW_US, .hosts = 80, .live = 80, .knows_window = true
  };
  double whole = jd_extra_shares (&slack).borrow_limit;
  slack.live = 20;
  CU_ASSERT_DOUBLE_EQUAL (jd_extra_shares (&slack).borrow_limit, whole / 4.0, 1e-9);
  slack.knows_window = false;
  CU_ASSERT_EQUAL (jd_extra_shares (&slack).borrow_limit, 0.0);
  CU_ASSERT_TRUE (jd_extra_shares (&slack).reserve >= 1.0);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "calm days have enough", calm_days_have_enough },
    { "lost shards stay within the bound", lost_shards_stay_within_the_bound },
    { "unheard use is not lent", unheard_use_is_not_lent },
  };
  return JD_TEST_RUN ("extra_pool", cases);
}
