#include <math.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "support/rate_fleet.h"
#include "support/test_main.h"

#define RUN_US (20 * JD_US_PER_S)
#define FIXED_SEEDS 12
#define MAX_SEEDS_PER_MECHANISM 40

static const char *const mechanism_names[JD_FLEET_MECHANISM_COUNT] = {
  "none",
  "sender counts grants in flight",
  "late grants are dropped",
  "duplicate grants are dropped",
  "successor waits for the takeover gap",
  "tokens are discarded at the end of the lease",
  "raises are delayed",
};

/* Returns a random number between two bounds, distributed uniformly in its logarithm. */
static int64_t
random_log_uniform (const jd_rng_t *rng, int64_t low, int64_t high)
{
  double factor = (double)high / (double)low;
  return (int64_t)((double)low * pow (factor, jd_rng_unit (rng)));
}

/* Schedules requests at a rate per second. Each goes to a random member and is skipped if
 * that member is not in member_mask. */
static void
schedule_phase (jd_rate_fleet_t *fleet, double rate, uint32_t members,
                uint64_t member_mask, int64_t from_us, int64_t until_us,
                uint32_t organisation, uint64_t *id, const jd_rng_t *rng)
{
  for (int64_t at_us = from_us; at_us < until_us; at_us += (int64_t)(1e6 / rate))
    {
      uint32_t member = (uint32_t)jd_rng_below (rng, members);
      if (member_mask >> member & 1)
        jd_rate_fleet_request (fleet, at_us, member, organisation, ++*id);
    }
}

/* Schedules phases without requests, in which buckets fill, phases of demand at one
 * member, which makes it request tokens in advance, and overload at random members. */
static void
schedule_traffic (jd_rate_fleet_t *fleet, const jd_rate_fleet_options_t *options,
                  uint32_t organisation, const jd_rng_t *rng)
{
  uint32_t members = options->zones * options->members_per_zone;
  double rate = options->organisations[organisation].rate_per_s;
  uint64_t id = 0;
  int64_t at_us = 0;
  while (at_us < RUN_US)
    {
      at_us += random_log_uniform (rng, 20000, 2000000);
      int64_t overload_start_us = at_us + random_log_uniform (rng, 20000, 500000);
      double local_rate_per_s = rate * members * (0.2 + 1.8 * jd_rng_unit (rng));
      if (jd_rng_below (rng, 2))
        schedule_phase (fleet, local_rate_per_s, members,
                        UINT64_C (1) << jd_rng_below (rng, members), at_us,
                        overload_start_us, organisation, &id, rng);
      at_us = overload_start_us + random_log_uniform (rng, 20000, 1000000);
      uint64_t member_mask = jd_rng_below (rng, 3) ? UINT64_MAX : jd_rng_next (rng);
      schedule_phase (fleet, rate * (2 + 18 * jd_rng_unit (rng)), members, member_mask,
                      overload_start_us, at_us, organisation, &id, rng);
    }
}

/* Returns random probabilities of faults; each kind is rare in some runs. */
static jd_fleet_faults_t
random_faults (const jd_rng_t *rng)
{
  return (jd_fleet_faults_t){
    .loss_probability = 0.1 * pow (jd_rng_unit (rng), 4),
    .duplicate_probability = pow (jd_rng_unit (rng), 2),
    .slow_probability = jd_rng_unit (rng),
    .late_probability = 0.3 * pow (jd_rng_unit (rng), 2),
    .pause_probability = 0.05 * pow (jd_rng_unit (rng), 2),
    .restart_probability = 0.02 * pow (jd_rng_unit (rng), 2),
    .partition_probability = 0.01 * jd_rng_unit (rng),
    .max_pause_us = random_log_uniform (rng, 200000, 4000000),
    .changes_config = jd_rng_below (rng, 2),
  };
}

/* Makes conditions likely in which a mechanism is needed. Removes other faults, because
 * they lose tokens and so hide an excess. */
static void
set_conditions_for (jd_rate_fleet_options_t *options, jd_fleet_mechanism_t mechanism,
                    const jd_rng_t *rng)
{
  jd_fleet_faults_t *faults = &options->faults;
  jd_rate_settings_t *settings = &options->settings;
  if (mechanism == JD_FLEET_MECHANISM_SENT_GRANT_COUNTING)
    {
      *faults = (jd_fleet_faults_t){ .slow_probability = faults->slow_probability };
      settings->transfer_ttl_us = random_log_uniform (rng, 200000, 500000);
    }
  if (mechanism == JD_FLEET_MECHANISM_TAKEOVER_GAP)
    *faults =
        (jd_fleet_faults_t){ .restart_probability = 0.02, .partition_probability = 0.02 };
  if (mechanism == JD_FLEET_MECHANISM_RAISE_DELAY)
    {
      *faults = (jd_fleet_faults_t){ .slow_probability = faults->slow_probability,
                                     .changes_config = true };
      options->zones = 2;
    }
}

/* Runs one seed and returns TRUE if all bounds held. Sizes, limits and settings depend on
 * the seed; the faults make needed_mechanism necessary to keep the bound. */
static bool
run_seed (uint64_t seed, jd_fleet_mechanism_t needed_mechanism,
          jd_fleet_mechanism_t disabled, bool print)
{
  jd_philox_t philox = { .seed = seed, .stream = UINT64_MAX };
  jd_rng_t rng = jd_philox_rng (&philox);
  jd_rate_fleet_options_t options = {
    .seed = seed,
    .zones = 1 + (uint32_t)jd_rng_below (&rng, 3),
    .members_per_zone = 2 + (uint32_t)jd_rng_below (&rng, 2),
    .organisation_count = 2,
    .settings = jd_rate_settings_default (),
    .cross_zone_delay_us = 1000,
    .takeover_gap_us = 600000,
    .max_drift_ppm = 300,
    .disabled_mechanism = disabled,
  };
  options.settings.shares_per_zone = 6;
  options.settings.entries_per_zone = options.members_per_zone;
  options.faults = random_faults (&rng);
  options.settings.transfer_ttl_us = random_log_uniform (&rng, 30000, 500000);
  for (uint32_t i = 0; i < options.organisation_count; i++)
    {
      double rate = 30 + 70 * jd_rng_unit (&rng);
      options.organisations[i] = (jd_fleet_organisation_t){
        rate, rate * (double)random_log_uniform (&rng, 50000, 1000000) / 1e6
      };
    }
  set_conditions_for (&options, needed_mechanism, &rng);
  jd_rate_fleet_t *fleet = jd_rate_fleet_new (&options);
  for (uint32_t i = 0; i < options.organisation_count; i++)
    schedule_traffic (fleet, &options, i, &rng);
  jd_rate_fleet_run (fleet, RUN_US);
  bool all_bounds_held = true;
  for (uint32_t i = 0; i < options.organisation_count; i++)
    {
      jd_rate_check_result_t admitted = jd_rate_fleet_check (fleet, i, false);
      jd_rate_check_result_t started = jd_rate_fleet_check (fleet, i, true);
      all_bounds_held =
          all_bounds_held && admitted.is_within_bound && started.is_within_bound;
      if (print && !(admitted.is_within_bound && started.is_within_bound))
        printf (
            "\nseed %llu organisation %u: admissions exceed the bound by %.3f at %.6f s, "
            "starts by %.3f\n",
            (unsigned long long)seed, i, (double)admitted.max_excess_microtokens / 1e6,
            (double)admitted.first_violation_us / 1e6,
            (double)started.max_excess_microtokens / 1e6);
    }
  jd_rate_fleet_free (fleet);
  return all_bounds_held;
}

/* Guards against admitting more than rate times window plus burst with lost, late,
 * duplicate and reordered messages, pauses, restarts, two processes with one identity,
 * shares that move between members, partitions and changes of the configuration. */
static void
rate_bound_holds_under_faults (void)
{
  for (uint64_t seed = 1; seed <= FIXED_SEEDS; seed++)
    CU_ASSERT (
        run_seed (seed, seed % JD_FLEET_MECHANISM_COUNT, JD_FLEET_MECHANISM_NONE, true));
}

/* Guards against a check that cannot fail: with any one mechanism disabled, some seed
 * must exceed the bound. */
static void
disabling_any_mechanism_breaks_the_bound (void)
{
  for (int disabled = JD_FLEET_MECHANISM_NONE + 1; disabled < JD_FLEET_MECHANISM_COUNT;
       disabled++)
    {
      uint64_t seed = 1;
      while (seed <= MAX_SEEDS_PER_MECHANISM &&
             run_seed (seed, disabled, disabled, false))
        seed++;
      printf ("\n    disabled \"%s\": stopped at seed %d", mechanism_names[disabled],
              (int)seed);
      CU_ASSERT (seed <= MAX_SEEDS_PER_MECHANISM);
    }
}

/* Fills a history exactly to its bound: a burst at the start, then one admission per 10
 * ms. */
static void
fill_to_bound (jd_rate_history_t *history)
{
  jd_rate_history_init (history);
  jd_rate_history_add_bound (
      history, (jd_rate_bound_t){ 0, 100 * JD_MICROTOKENS, 20 * JD_MICROTOKENS });
  for (int i = 0; i < 20; i++)
    jd_rate_history_add (history, 1000000);
  for (int i = 1; i <= 100; i++)
    jd_rate_history_add (history, 1000000 + i * INT64_C (10000));
}

/* Guards against a checker that misses an excess of one admission or one microsecond, at
 * any place, or that rejects a history exactly at the bound. */
static void
checker_finds_single_violations (void)
{
  jd_rate_history_t history;
  fill_to_bound (&history);
  CU_ASSERT (jd_rate_history_check (&history).is_within_bound);
  const int64_t extra_admission_us[] = { 999999, 1000000, 1500000, 2000000, 2009999 };
  for (unsigned i = 0; i < G_N_ELEMENTS (extra_admission_us); i++)
    {
      jd_rate_history_clear (&history);
      fill_to_bound (&history);
      jd_rate_history_add (&history, extra_admission_us[i]);
      CU_ASSERT_FALSE (jd_rate_history_check (&history).is_within_bound);
    }
  jd_rate_history_add (&history, 2010000);
  CU_ASSERT_EQUAL (jd_rate_history_check (&history).max_excess_microtokens,
                   JD_MICROTOKENS);
  jd_rate_history_clear (&history);
  fill_to_bound (&history);
  jd_rate_history_add_bound (
      &history, (jd_rate_bound_t){ 1500000, 99 * JD_MICROTOKENS, 20 * JD_MICROTOKENS });
  CU_ASSERT_FALSE (jd_rate_history_check (&history).is_within_bound);
  jd_rate_history_clear (&history);
}

/* Runs the test cases, or with the arguments FIRST_SEED COUNT only those seeds. */
int
main (int argc, char **argv)
{
  if (argc == 3)
    {
      uint64_t first = g_ascii_strtoull (argv[1], NULL, 10);
      uint64_t count = g_ascii_strtoull (argv[2], NULL, 10);
      uint64_t failed = 0;
      for (uint64_t seed = first; seed < first + count; seed++)
        failed += !run_seed (seed, seed % JD_FLEET_MECHANISM_COUNT,
                             JD_FLEET_MECHANISM_NONE, true);
      printf ("%llu seeds, %llu failed\n", (unsigned long long)count,
              (unsigned long long)failed);
      return failed ? EXIT_FAILURE : EXIT_SUCCESS;
    }
  const jd_test_case_t cases[] = {
    { "checker finds single violations", checker_finds_single_violations },
    { "rate bound holds under faults", rate_bound_holds_under_faults },
    { "disabling any mechanism breaks the bound",
      disabling_any_mechanism_breaks_the_bound },
  };
  return JD_TEST_RUN ("rate_limit", cases);
}
