#include "rate/arrivals.h"

#include <math.h>

#include "base/clock.h"
#include "base/rng.h"

/* Mean length of the phases with and without requests. Together with the load it makes
 * the reference bucket run low, so that lost tokens show. */
#define PHASE_MEAN_US 300000.0

/* Returns an exponentially distributed number. */
static double
exponential (const jd_rng_t *rng, double mean)
{
  return -mean * log (1.0 - jd_rng_unit (rng));
}

/* Returns the entry that a request reaches; requests for a lost entry reach the next. */
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

/* Adds the requests of one organisation: Poisson arrivals at twice the mean in on
 * phases, none in off phases. Unless it floods, only those that a bucket of its full
 * rate and burst admits are kept, so that all of them are within its rate. */
static void
add_arrivals (GArray *arrivals, const bench_site_t *site, const bench_traffic_t *traffic,
              uint16_t organisation)
{
  jd_philox_t philox = { .seed = traffic->seed, .stream = organisation };
  jd_rng_t rng = jd_philox_rng (&philox);
  double rate = site->rates[organisation];
  bool flooding = organisation == 0 && traffic->flooding > 0;
  double demand =
      (traffic->bursty ? 2 : 1) * rate * (flooding ? traffic->flooding : traffic->load);
  double burst = rate * site->burst_s;
  double level = burst;
  double at_us = (double)traffic->from_us;
  double level_at_us = at_us;
  while (at_us < (double)traffic->until_us)
    {
      double end_us = (double)traffic->until_us;
      if (traffic->bursty)
        end_us = fmin (end_us, at_us + exponential (&rng, PHASE_MEAN_US));
      while ((at_us += exponential (&rng, 1e6 / demand)) < end_us)
        {
          level = fmin (burst, level + rate * (at_us - level_at_us) / 1e6);
          level_at_us = at_us;
          if (level < 1 && !flooding)
            continue;
          level -= 1;
          bench_arrival_t arrival = { .at_us = (int64_t)at_us,
                                      .organisation = organisation };
          arrival.entry = choose_entry (traffic, organisation, arrival.at_us, &rng);
          g_array_append_val (arrivals, arrival);
        }
      at_us = end_us + (traffic->bursty ? exponential (&rng, PHASE_MEAN_US) : 0);
    }
}

/* Compares two arrivals by time. */
static gint
compare_arrivals (gconstpointer a, gconstpointer b)
{
  const bench_arrival_t *left = a;
  const bench_arrival_t *right = b;
  return (left->at_us > right->at_us) - (left->at_us < right->at_us);
}

/* Returns all requests in order of time. */
GArray *
bench_arrivals_new (const bench_site_t *site, const bench_traffic_t *traffic)
{
  GArray *arrivals = g_array_new (FALSE, FALSE, sizeof (bench_arrival_t));
  for (uint16_t i = 0; i < BENCH_ORGANISATIONS; i++)
    add_arrivals (arrivals, site, traffic, i);
  g_array_sort (arrivals, compare_arrivals);
  return arrivals;
}
