#include "rate/growth.h"

#include <math.h>
#include <stdio.h>

#include "base/clock.h"
#include "support/rate_fleet.h"

#define ORGANISATIONS 8
#define REQUESTS_PER_S_PER_ENTRY 110.0 /* Current total rate limit per entry. */
#define FROM_US (3 * JD_US_PER_S)
#define UNTIL_US (9 * JD_US_PER_S)
#define MESSAGE_BYTES 100

typedef struct growth_counts
{
  uint64_t requests;
  uint64_t refused;
} growth_counts_t;

/* Fleet callback: counts a decided request. */
static void
count_decision (void *context, uint64_t request_id, bool admitted, int64_t at_us)
{
  growth_counts_t *counts = context;
  counts->requests++;
  counts->refused += !admitted;
}

/* Sets the size of the fleet and rates in proportion to its number of entries; two of the
 * organisations have three quarters of the total rate. */
static void
fill_options (jd_rate_fleet_options_t *options, uint32_t entries)
{
  const double rate_shares[ORGANISATIONS] = { 0.45, 0.3,  0.05, 0.05,
                                              0.05, 0.04, 0.03, 0.03 };
  options->members_per_zone = entries / options->zones;
  options->settings.entries_per_zone = options->members_per_zone;
  options->settings.shares_per_zone = MAX (12, options->members_per_zone);
  for (uint32_t i = 0; i < ORGANISATIONS; i++)
    {
      double rate_per_s = REQUESTS_PER_S_PER_ENTRY * entries * rate_shares[i];
      options->organisations[i] = (jd_fleet_organisation_t){ rate_per_s, 2 * rate_per_s };
    }
}

/* Schedules Poisson arrivals at random entries. The mean demand of an organisation is its
 * rate limit times the load. */
static void
schedule_requests (jd_rate_fleet_t *fleet, const jd_rate_fleet_options_t *options,
                   double load)
{
  uint32_t entries = options->zones * options->members_per_zone;
  uint64_t id = 0;
  for (uint32_t i = 0; i < ORGANISATIONS; i++)
    {
      jd_philox_t philox = { .seed = options->seed, .stream = i };
      jd_rng_t rng = jd_philox_rng (&philox);
      double mean_us = 1e6 / (options->organisations[i].rate_per_s * load);
      int64_t at_us = FROM_US;
      while (at_us < UNTIL_US)
        {
          uint32_t entry = (uint32_t)jd_rng_below (&rng, entries);
          jd_rate_fleet_request (fleet, at_us, entry, i, ++id);
          at_us += (int64_t)(-mean_us * log (1.0 - jd_rng_unit (&rng))) + 1;
        }
    }
}

/* Prints the refused requests and the messages per entry for growing fleets of 5 zones
 * and 8 organisations, in which an entry sends token requests to at most 3 peers per
 * zone. */
void
bench_print_growth (void)
{
  printf ("%7s %5s %7s %9s %8s %8s\n", "entries", "load", "peers", "refused", "msg/s",
          "bytes/s");
  const uint32_t sizes[] = { 15, 30, 60, 120, 240 };
  const double loads[] = { 0.8, 0.95 };
  for (unsigned i = 0; i < G_N_ELEMENTS (sizes) * G_N_ELEMENTS (loads); i++)
    {
      uint32_t entries = sizes[i / G_N_ELEMENTS (loads)];
      double load = loads[i % G_N_ELEMENTS (loads)];
      growth_counts_t counts = { 0 };
      jd_rate_fleet_options_t options = { .seed = 1,
                                          .zones = 5,
                                          .peers_per_zone = 3,
                                          .organisation_count = ORGANISATIONS,
                                          .settings = jd_rate_settings_default (),
                                          .cross_zone_delay_us = 1000,
                                          .takeover_gap_us = 1400000,
                                          .max_drift_ppm = 300,
                                          .on_decision = count_decision,
                                          .context = &counts };
      fill_options (&options, entries);
      jd_rate_fleet_t *fleet = jd_rate_fleet_new (&options);
      schedule_requests (fleet, &options, load);
      jd_rate_fleet_run (fleet, UNTIL_US);
      double messages = (double)jd_rate_fleet_message_count (fleet) / entries /
                        ((UNTIL_US - FROM_US) / 1e6);
      printf ("%7u %4.0f%% %7u %8.3f%% %8.1f %8.0f\n", entries, load * 100,
              options.zones * options.peers_per_zone - 1,
              100.0 * (double)counts.refused / (double)counts.requests, messages,
              messages * MESSAGE_BYTES);
      jd_rate_fleet_free (fleet);
    }
}
