#include <math.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "support/rate_fleet.h"
#include "support/test_main.h"

#define RUN_US (20 * JD_US_PER_S)
#define FIXED_SEEDS 12
#define SEEDS_PER_MECHANISM 40

static const char *const fault_names[JD_FLEET_FAULTS] = {
  "nothing",
  "sender counts grants in flight",
  "late grants are dropped",
  "repeated grants are dropped",
  "takeover gap",
  "lease end",
  "raises are delayed",
};

/* Returns a number between two bounds with a uniform logarithm. */
static int64_t
log_between (const jd_rng_t *rng, int64_t low, int64_t high)
{
  double factor = (double)high / (double)low;
  return (int64_t)((double)low * pow (factor, jd_rng_unit (rng)));
}

/* Schedules requests at the seats of a mask at a multiple of the organisation's rate. */
static void
schedule_phase (jd_rate_fleet_t *fleet, double rate, uint32_t seats, uint64_t mask,
                int64_t from_us, int64_t until_us, uint32_t organisation, uint64_t *id,
                const jd_rng_t *rng)
{
  for (int64_t at_us = from_us; at_us < until_us; at_us += (int64_t)(1e6 / rate))
    {
      uint32_t seat = (uint32_t)jd_rng_below (rng, seats);
      if (mask >> seat & 1)
        jd_rate_fleet_request (fleet, at_us, seat, organisation, ++*id);
    }
}

/* Schedules quiet phases, in which buckets fill, some demand at one seat, which makes it
 * fetch tokens ahead, and floods at random seats. */
static void
schedule_traffic (jd_rate_fleet_t *fleet, const jd_rate_fleet_options_t *options,
                  uint32_t organisation, const jd_rng_t *rng)
{
  uint32_t seats = options->zones * options->seats_per_zone;
  double rate = options->organisations[organisation].rate_per_s;
  uint64_t id = 0;
  int64_t at_us = 0;
  while (at_us < RUN_US)
    {
      at_us += log_between (rng, 20000, 2000000);
      int64_t flood_us = at_us + log_between (rng, 20000, 500000);
      double trickle = rate * seats * (0.2 + 1.8 * jd_rng_unit (rng));
      if (jd_rng_below (rng, 2))
        schedule_phase (fleet, trickle, seats, UINT64_C (1) << jd_rng_below (rng, seats),
                        at_us, flood_us, organisation, &id, rng);
      at_us = flood_us + log_between (rng, 20000, 1000000);
      uint64_t mask = jd_rng_below (rng, 3) ? UINT64_MAX : jd_rng_next (rng);
      schedule_phase (fleet, rate * (2 + 18 * jd_rng_unit (rng)), seats, mask, flood_us,
                      at_us, organisation, &id, rng);
    }
}

/* Returns how often what goes wrong; each kind is rare in some runs. */
static jd_fleet_trouble_t
random_trouble (const jd_rng_t *rng)
{
  return (jd_fleet_trouble_t){
    .lost = 0.1 * pow (jd_rng_unit (rng), 4),
    .repeated = pow (jd_rng_unit (rng), 2),
    .slow = jd_rng_unit (rng),
    .late = 0.3 * pow (jd_rng_unit (rng), 2),
    .paused = 0.05 * pow (jd_rng_unit (rng), 2),
    .restarted = 0.02 * pow (jd_rng_unit (rng), 2),
    .partitioned = 0.01 * jd_rng_unit (rng),
    .longest_pause_us = log_between (rng, 200000, 4000000),
    .reconfigured = jd_rng_below (rng, 2),
  };
}

/* Makes the conditions likely under which a mechanism matters. Other troubles lose
 * tokens, which hides an excess. */
static void
focus_on (jd_rate_fleet_options_t *options, jd_fleet_fault_t mechanism,
          const jd_rng_t *rng)
{
  jd_fleet_trouble_t *trouble = &options->trouble;
  jd_rate_settings_t *settings = &options->settings;
  if (mechanism == JD_FLEET_SENDER_DOES_NOT_COUNT)
    {
      *trouble = (jd_fleet_trouble_t){ .slow = trouble->slow };
      settings->transfer_lifetime_us = log_between (rng, 200000, 500000);
    }
  if (mechanism == JD_FLEET_NO_TAKEOVER_GAP)
    *trouble = (jd_fleet_trouble_t){ .restarted = 0.02, .partitioned = 0.02 };
  if (mechanism == JD_FLEET_RAISE_AT_ONCE)
    {
      *trouble = (jd_fleet_trouble_t){ .slow = trouble->slow, .reconfigured = true };
      options->zones = 2;
    }
}

/* Runs one seed; returns whether all bounds held. Sizes, limits and settings depend on
 * the seed. */
static bool
run_seed (uint64_t seed, jd_fleet_fault_t focus, jd_fleet_fault_t off, bool print)
{
  jd_philox_t philox = { .seed = seed, .stream = UINT64_MAX };
  jd_rng_t rng = jd_philox_rng (&philox);
  jd_rate_fleet_options_t options = {
    .seed = seed,
    .zones = 1 + (uint32_t)jd_rng_below (&rng, 3),
    .seats_per_zone = 2 + (uint32_t)jd_rng_below (&rng, 2),
    .organisation_count = 2,
    .settings = jd_rate_settings_default (),
    .one_way_us = 1000,
    .takeover_gap_us = 600000,
    .drift_ppm = 300,
    .off = off,
  };
  options.settings.shares_per_zone = 6;
  options.settings.entries_per_zone = options.seats_per_zone;
  options.trouble = random_trouble (&rng);
  options.settings.transfer_lifetime_us = log_between (&rng, 30000, 500000);
  for (uint32_t i = 0; i < options.organisation_count; i++)
    {
      double rate = 30 + 70 * jd_rng_unit (&rng);
      options.organisations[i] = (jd_fleet_organisation_t){
        rate, rate * (double)log_between (&rng, 50000, 1000000) / 1e6
      };
    }
  focus_on (&options, focus, &rng);
  jd_rate_fleet_t *fleet = jd_rate_fleet_new (&options);
  for (uint32_t i = 0; i < options.organisation_count; i++)
    schedule_traffic (fleet, &options, i, &rng);
  jd_rate_fleet_run (fleet, RUN_US);
  bool kept = true;
  for (uint32_t i = 0; i < options.organisation_count; i++)
    {
      jd_rate_verdict_t admitted = jd_rate_fleet_check (fleet, i, false);
      jd_rate_verdict_t started = jd_rate_fleet_check (fleet, i, true);
      kept = kept && admitted.kept && started.kept;
      if (print && !(admitted.kept && started.kept))
        printf ("\nseed %llu organisation %u: excess %.3f at %.6f s, of starts %.3f\n",
                (unsigned long long)seed, i, (double)admitted.worst_excess / 1e6,
                (double)admitted.violated_at_us / 1e6,
                (double)started.worst_excess / 1e6);
    }
  jd_rate_fleet_free (fleet);
  return kept;
}

/* Guards against admitting more than rate times window plus burst under lost, late,
 * repeated and reordered messages, pauses, restarts, double identities, moving shares,
 * partitions and changing configuration. */
static void
bound_holds_under_faults (void)
{
  for (uint64_t seed = 1; seed <= FIXED_SEEDS; seed++)
    CU_ASSERT (run_seed (seed, seed % JD_FLEET_FAULTS, JD_FLEET_SOUND, true));
}

/* Guards against a check that cannot fail: without any one mechanism, some seed must
 * break the bound. */
static void
each_mechanism_is_needed (void)
{
  for (int off = JD_FLEET_SOUND + 1; off < JD_FLEET_FAULTS; off++)
    {
      uint64_t seed = 1;
      while (seed <= SEEDS_PER_MECHANISM && run_seed (seed, off, off, false))
        seed++;
      printf ("\n    without \"%s\": seed %d", fault_names[off], (int)seed);
      CU_ASSERT (seed <= SEEDS_PER_MECHANISM);
    }
}

/* Fills a history with a burst at the start and then one admission per 10 ms. */
static void
fill_exactly (jd_rate_history_t *history)
{
  jd_rate_history_init (history);
  jd_rate_history_bound (
      history, (jd_rate_bound_t){ 0, 100 * JD_MICROTOKENS, 20 * JD_MICROTOKENS });
  for (int i = 0; i < 20; i++)
    jd_rate_history_add (history, 1000000);
  for (int i = 1; i <= 100; i++)
    jd_rate_history_add (history, 1000000 + i * INT64_C (10000));
}

/* Guards against a checker that misses a violation by one admission, or by one
 * microsecond, in any place, or that reports a history which uses the bound up. */
static void
checker_finds_planted_violations (void)
{
  jd_rate_history_t history;
  fill_exactly (&history);
  CU_ASSERT (jd_rate_history_check (&history).kept);
  const int64_t planted_us[] = { 999999, 1000000, 1500000, 2000000, 2009999 };
  for (unsigned i = 0; i < G_N_ELEMENTS (planted_us); i++)
    {
      jd_rate_history_clear (&history);
      fill_exactly (&history);
      jd_rate_history_add (&history, planted_us[i]);
      CU_ASSERT_FALSE (jd_rate_history_check (&history).kept);
    }
  jd_rate_history_add (&history, 2010000);
  CU_ASSERT_EQUAL (jd_rate_history_check (&history).worst_excess, JD_MICROTOKENS);
  jd_rate_history_clear (&history);
  fill_exactly (&history);
  jd_rate_history_bound (
      &history, (jd_rate_bound_t){ 1500000, 99 * JD_MICROTOKENS, 20 * JD_MICROTOKENS });
  CU_ASSERT_FALSE (jd_rate_history_check (&history).kept);
  jd_rate_history_clear (&history);
}

/* Runs the cases, or seeds given as FIRST_SEED COUNT. */
int
main (int argc, char **argv)
{
  if (argc == 3)
    {
      uint64_t first = g_ascii_strtoull (argv[1], NULL, 10);
      uint64_t count = g_ascii_strtoull (argv[2], NULL, 10);
      uint64_t failed = 0;
      for (uint64_t seed = first; seed < first + count; seed++)
        failed += !run_seed (seed, seed % JD_FLEET_FAULTS, JD_FLEET_SOUND, true);
      printf ("%llu seeds, %llu failed\n", (unsigned long long)count,
              (unsigned long long)failed);
      return failed ? EXIT_FAILURE : EXIT_SUCCESS;
    }
  const jd_test_case_t cases[] = {
    { "checker finds planted violations", checker_finds_planted_violations },
    { "bound holds under faults", bound_holds_under_faults },
    { "each mechanism is needed", each_mechanism_is_needed },
  };
  return JD_TEST_RUN ("rate_limit", cases);
}
