#include "rate/arrivals.h"

#include <math.h>

#include "base/clock.h"
#include "base/rng.h"

/* Mean length of the on and off phases. With this length and the loads of the bench, the
 * reference bucket runs low, so that a scheme that loses tokens refuses requests. */
#define PHASE_MEAN_US 300000.0

/* Returns a random number with an exponential distribution. */
static double
draw_exponential (const jd_rng_t *rng, double mean)
{
  return -mean * log (1.0 - jd_rng_unit (rng));
}

/* Returns the entry that a request reaches. Once entry 0 has failed, its requests reach
 * entry 1 if the traffic is skewed, else a random other entry. */
static uint16_t
choose_entry (const bench_traffic_t *traffic, uint16_t organisation, int64_t at_us,
              const jd_rng_t *rng)
{
  uint64_t random = jd_rng_below (rng, BENCH_ENTRIES);
  uint64_t entry = traffic->skewed ? organisation % BENCH_ENTRIES : random;
  if (entry == 0 && at_us >= traffic->loss_at_us)
    entry = traffic->skewed ? 1 : 1 + jd_rng_below (rng, BENCH_ENTRIES - 1);
  return (uint16_t)entry;
}

/* Adds the requests of one organisation: Poisson arrivals, in bursty traffic at twice the
 * mean rate in on phases and none in off phases. Unless the organisation floods, drops
 * the requests that a reference bucket of its full rate and burst refuses, so that all
 * others are within its rate. */
static void
add_arrivals (GArray *arrivals, const bench_site_t *site, const bench_traffic_t *traffic,
              uint16_t organisation)
{
  jd_philox_t philox = { .seed = traffic->seed, .stream = organisation };
  jd_rng_t rng = jd_philox_rng (&philox);
  double rate_per_s = site->rates[organisation];
  bool is_flooding = organisation == 0 && traffic->flood_factor > 0;
  double demand_per_s = (traffic->bursty ? 2 : 1) * rate_per_s *
                        (is_flooding ? traffic->flood_factor : traffic->load);
  double burst = rate_per_s * site->burst_s;
  double level = burst;
  double at_us = (double)traffic->from_us;
  double refilled_at_us = at_us;
  while (at_us < (double)traffic->until_us)
    {
      double end_us = (double)traffic->until_us;
      if (traffic->bursty)
        end_us = fmin (end_us, at_us + draw_exponential (&rng, PHASE_MEAN_US));
      while ((at_us += draw_exponential (&rng, 1e6 / demand_per_s)) < end_us)
        {
          level = fmin (burst, level + rate_per_s * (at_us - refilled_at_us) / 1e6);
          refilled_at_us = at_us;
          if (level < 1 && !is_flooding)
            continue;
          level -= 1;
          bench_arrival_t arrival = { .at_us = (int64_t)at_us,
                                      .organisation = organisation };
          arrival.entry = choose_entry (traffic, organisation, arrival.at_us, &rng);
          g_array_append_val (arrivals, arrival);
        }
      at_us = end_us + (traffic->bursty ? draw_exponential (&rng, PHASE_MEAN_US) : 0);
    }
}

static gint
compare_arrivals (gconstpointer a, gconstpointer b)
{
  const bench_arrival_t *left = a;
  const bench_arrival_t *right = b;
  return (left->at_us > right->at_us) - (left->at_us < right->at_us);
}

/* Returns the requests of all organisations in order of time as bench_arrival_t; the
 * caller frees the array. */
GArray *
bench_arrivals_new (const bench_site_t *site, const bench_traffic_t *traffic)
{
  GArray *arrivals = g_array_new (FALSE, FALSE, sizeof (bench_arrival_t));
  for (uint16_t i = 0; i < BENCH_ORGANISATIONS; i++)
    add_arrivals (arrivals, site, traffic, i);
  g_array_sort (arrivals, compare_arrivals);
  return arrivals;
}
