#include "rate/schemes.h"

#include "base/clock.h"
#include "support/rate_fleet.h"

/* Returns the name of a scheme in the table. */
const char *
bench_scheme_name (bench_scheme_t scheme)
{
  static const char *const names[BENCH_SCHEMES] = { "static", "full", "owner", "chosen" };
  return names[scheme];
}

/* Runs a scheme without messages: each entry has a bucket per organisation with the given
 * fraction of the rate and burst. */
void
bench_run_buckets (bench_run_t *run, const bench_site_t *site, const GArray *arrivals,
                   double fraction)
{
  double levels[BENCH_ENTRIES][BENCH_ORGANISATIONS];
  int64_t refilled_us[BENCH_ENTRIES][BENCH_ORGANISATIONS] = { 0 };
  for (int entry = 0; entry < BENCH_ENTRIES; entry++)
    for (int i = 0; i < BENCH_ORGANISATIONS; i++)
      levels[entry][i] = site->rates[i] * site->burst_s * fraction;
  for (guint i = 0; i < arrivals->len; i++)
    {
      const bench_arrival_t *arrival = &g_array_index (arrivals, bench_arrival_t, i);
      double *level = &levels[arrival->entry][arrival->organisation];
      int64_t *refilled_at_us = &refilled_us[arrival->entry][arrival->organisation];
      double rate_per_s = site->rates[arrival->organisation] * fraction;
      *level =
          MIN (*level + rate_per_s * (double)(arrival->at_us - *refilled_at_us) / 1e6,
               rate_per_s * site->burst_s);
      *refilled_at_us = arrival->at_us;
      run->results[i] = *level >= 1 ? BENCH_ADMITTED : BENCH_REFUSED;
      run->decided_at_us[i] = arrival->at_us;
      *level -= *level >= 1;
    }
}

/* Fleet callback: stores the result of a request. */
static void
record_decision (void *context, uint64_t request_id, bool admitted, int64_t at_us)
{
  bench_run_t *run = context;
  run->results[request_id - 1] = admitted ? BENCH_ADMITTED : BENCH_REFUSED;
  run->decided_at_us[request_id - 1] = at_us;
}

/* Runs the rate limiter of src/limits at every entry of a simulated fleet. */
void
bench_run_rate_limiter (bench_run_t *run, const bench_site_t *site,
                        const bench_traffic_t *traffic, const GArray *arrivals)
{
  jd_rate_fleet_options_t options = {
    .seed = traffic->seed,
    .zones = BENCH_ENTRIES / BENCH_ENTRIES_PER_ZONE,
    .members_per_zone = BENCH_ENTRIES_PER_ZONE,
    .organisation_count = BENCH_ORGANISATIONS,
    .settings = jd_rate_settings_default (),
    .cross_zone_delay_us = site->one_way_us,
    .takeover_gap_us = 1400000,
    .max_drift_ppm = 300,
    .on_decision = record_decision,
    .context = run,
  };
  for (int i = 0; i < BENCH_ORGANISATIONS; i++)
    options.organisations[i] =
        (jd_fleet_organisation_t){ site->rates[i], site->rates[i] * site->burst_s };
  jd_rate_fleet_t *fleet = jd_rate_fleet_new (&options);
  for (guint i = 0; i < arrivals->len; i++)
    {
      const bench_arrival_t *arrival = &g_array_index (arrivals, bench_arrival_t, i);
      jd_rate_fleet_request (fleet, arrival->at_us, arrival->entry, arrival->organisation,
                             i + 1);
    }
  if (traffic->loss_at_us < traffic->until_us)
    {
      jd_rate_fleet_run (fleet, traffic->loss_at_us);
      jd_rate_fleet_end_member (fleet, 0);
    }
  jd_rate_fleet_run (fleet, traffic->until_us + JD_US_PER_S);
  run->messages = jd_rate_fleet_message_count (fleet);
  jd_rate_fleet_free (fleet);
}

/* Runs one scheme over all arrivals; the caller frees the run with bench_run_clear. */
bench_run_t
bench_run_scheme (bench_scheme_t scheme, const bench_site_t *site,
                  const bench_traffic_t *traffic, const GArray *arrivals)
{
  bench_run_t run = { .results = g_new0 (uint8_t, arrivals->len + 1),
                      .decided_at_us = g_new0 (int64_t, arrivals->len + 1) };
  if (scheme == BENCH_STATIC)
    bench_run_buckets (&run, site, arrivals, 1.0 / BENCH_ENTRIES);
  else if (scheme == BENCH_FULL)
    bench_run_buckets (&run, site, arrivals, 1);
  else if (scheme == BENCH_ONE_OWNER)
    bench_run_one_owner (&run, site, traffic, arrivals);
  else
    bench_run_rate_limiter (&run, site, traffic, arrivals);
  return run;
}

/* Frees the results of a run. */
void
bench_run_clear (bench_run_t *run)
{
  g_free (run->results);
  g_free (run->decided_at_us);
}
