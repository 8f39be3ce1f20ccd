#include "support/search_callers.h"

#include <glib.h>
#include <math.h>

#include "base/clock.h"
#include "base/rng.h"
#include "limits/fleet_quota.h"

#define REPORTS_MAX 64
#define NAME_BYTES 16

struct jd_search_callers
{
  const jd_search_load_t *load;
  uint32_t hosts;
  jd_fleet_quota_t **quotas; /* One for each host; NULL without rate limits. */
  jd_philox_t random;
};

static void
format_organisation_name (uint32_t organisation, char name[NAME_BYTES])
{
  g_snprintf (name, NAME_BYTES, "org-%u", organisation);
}

/* The load must outlive the callers; free with jd_search_callers_free. */
jd_search_callers_t *
jd_search_callers_new (const jd_search_load_t *load, uint32_t hosts)
{
  jd_search_callers_t *callers = g_new0 (jd_search_callers_t, 1);
  callers->load = load;
  callers->hosts = hosts;
  /* A stream apart from that of the targets: a load with other callers draws the same
   * targets. */
  callers->random = (jd_philox_t){ .seed = load->seed, .stream = 1 };
  if (load->rate_per_s <= 0.0)
    return callers;
  callers->quotas = g_new0 (jd_fleet_quota_t *, hosts);
  for (uint32_t h = 0; h < hosts; h++)
    {
      callers->quotas[h] = jd_fleet_quota_new (true);
      for (uint32_t i = 0; i < load->organisations; i++)
        {
          char name[NAME_BYTES];
          format_organisation_name (i, name);
          jd_fleet_quota_set (callers->quotas[h], name, load->rate_per_s,
                              load->rate_per_s, JD_US_PER_MS);
        }
    }
  return callers;
}

void
jd_search_callers_free (jd_search_callers_t *callers)
{
  for (uint32_t h = 0; callers->quotas && h < callers->hosts; h++)
    jd_fleet_quota_free (callers->quotas[h]);
  g_free (callers->quotas);
  g_free (callers);
}

/* Returns true while the first organisation sends hot_factor times its own load. */
static bool
is_hot (const jd_search_load_t *load, uint32_t ms)
{
  return load->organisations > 0 && ms >= load->hot_from_ms &&
         ms < load->hot_from_ms + load->hot_for_ms;
}

/* Returns the load that the first organisation sends above its own, as a fraction of the
 * load of all organisations. */
static double
hot_load_excess (const jd_search_load_t *load, uint32_t ms)
{
  return is_hot (load, ms) ? (load->hot_factor - 1.0) / load->organisations : 0.0;
}

/* Returns the searches per second that callers start at ms, without retries. */
double
jd_search_callers_searches_per_s (const jd_search_load_t *load, uint32_t ms)
{
  double factor = 1.0;
  if (load->wave_period_ms > 0)
    factor += load->wave_amplitude * sin (2.0 * G_PI * ms / load->wave_period_ms);
  if (ms >= load->burst_from_ms && ms < load->burst_from_ms + load->burst_for_ms)
    factor *= load->burst_factor;
  return load->searches_per_s * (factor + hot_load_excess (load, ms));
}

/* Draws the organisation of a new caller at ms. */
uint32_t
jd_search_callers_pick_organisation (jd_search_callers_t *callers, uint32_t ms)
{
  const jd_search_load_t *load = callers->load;
  if (load->organisations == 0)
    return 0;
  jd_rng_t rng = jd_philox_rng (&callers->random);
  double excess = hot_load_excess (load, ms);
  if (jd_rng_unit (&rng) * (1.0 + excess) < excess)
    return 0;
  return (uint32_t)jd_rng_below (&rng, load->organisations);
}

/* Draws whether a new caller abandons its search before the answer, see leave_share. */
bool
jd_search_callers_leaves_early (jd_search_callers_t *callers)
{
  jd_rng_t rng = jd_philox_rng (&callers->random);
  return callers->load->leave_share > 0.0 &&
         jd_rng_unit (&rng) < callers->load->leave_share;
}

/* Returns TRUE if a host admits a search under the rate limit of its organisation; if
 * not, sets retry_after_us. */
bool
jd_search_callers_admit (jd_search_callers_t *callers, uint32_t organisation,
                         uint32_t host, int64_t now_us, int64_t *retry_after_us)
{
  if (!callers->quotas)
    return true;
  char name[NAME_BYTES];
  format_organisation_name (organisation, name);
  return jd_fleet_quota_admit (callers->quotas[host], name, callers->hosts, now_us,
                               retry_after_us);
}

/* Delivers a report of the admissions of each host, and its heartbeat, to every other
 * host. */
void
jd_search_callers_exchange_reports (jd_search_callers_t *callers, int64_t now_us)
{
  for (uint32_t from = 0; callers->quotas && from < callers->hosts; from++)
    {
      jd_quota_report_t reports[REPORTS_MAX];
      uint32_t count =
          jd_fleet_quota_reports (callers->quotas[from], reports, REPORTS_MAX, now_us);
      for (uint32_t to = 0; to < callers->hosts; to++)
        {
          if (to == from)
            continue;
          for (uint32_t i = 0; i < count; i++)
            jd_fleet_quota_apply_report (callers->quotas[to], from + 1, 1, &reports[i],
                                         now_us);
          jd_fleet_quota_record_heartbeat (callers->quotas[to], from + 1, 1, now_us);
        }
    }
}
