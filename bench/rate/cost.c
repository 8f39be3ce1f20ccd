#include "rate/cost.h"

#include <stdio.h>

#include "base/clock.h"
#include "limits/rate_limiter.h"

#define PEERS 14
#define ROUNDS 20000

static void
ignore_token_request (void *context, const char *peer, const jd_token_request_t *request)
{
}

static void
ignore_grant (void *context, const char *peer, const jd_token_grant_t *grant)
{
}

static void
ignore_decision (void *context, uint64_t request_id, bool admitted, int64_t decided_at_us)
{
}

/* Returns a limiter for a number of organisations whose buckets are full at 10 s. */
static jd_rate_limiter_t *
new_full_limiter (uint32_t organisations, jd_philox_t *philox)
{
  jd_rate_settings_t settings = jd_rate_settings_default ();
  jd_rate_actions_t actions = { ignore_token_request, ignore_grant, ignore_decision,
                                NULL };
  jd_rate_limiter_t *limiter =
      jd_rate_limiter_new (&settings, &actions, jd_philox_rng (philox));
  jd_token_peer_t peers[PEERS] = { 0 };
  for (int i = 0; i < PEERS; i++)
    {
      g_snprintf (peers[i].name, sizeof (peers[i].name), "entry-%d", i);
      peers[i].owned_shares = -1;
    }
  jd_organisation_rate_t *rates = g_new0 (jd_organisation_rate_t, organisations);
  for (uint32_t i = 0; i < organisations; i++)
    rates[i] = (jd_organisation_rate_t){ g_strdup_printf ("organisation-%u", i),
                                         jd_share_rate_of (1e4, 1e4, 1, 12) };
  jd_rate_limiter_set_peers (limiter, 0, peers, PEERS);
  jd_rate_limiter_set_organisations (limiter, 0, rates, organisations);
  jd_rate_limiter_set_shares (limiter, 0, 12, INT64_MAX);
  jd_rate_limiter_tick (limiter, 10 * JD_US_PER_S);
  for (uint32_t i = 0; i < organisations; i++)
    g_free ((char *)rates[i].name);
  g_free (rates);
  return limiter;
}

/* Prints the time of a request that is admitted at once and of a tick after one token
 * request from a peer, for growing numbers of organisations, as multiples of the time of
 * a request with the fewest organisations. */
void
bench_print_cost (void)
{
  const jd_clock_t clock = jd_clock_system ();
  const uint32_t sizes[] = { 8, 80, 800 };
  double base_us = 0;
  printf ("%13s %16s %16s\n", "organisations", "request", "tick, token req.");
  for (unsigned i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      jd_philox_t philox = { .seed = 1 };
      jd_rate_limiter_t *limiter = new_full_limiter (sizes[i], &philox);
      const jd_token_request_t token_request = { "organisation-0", 1, 1000, 1, 0 };
      int64_t started_us = jd_clock_now_us (&clock);
      for (int round = 0; round < ROUNDS; round++)
        jd_rate_limiter_request (limiter, 10 * JD_US_PER_S + round * INT64_C (100),
                                 (uint64_t)round, "organisation-1", INT64_MAX);
      int64_t requested_us = jd_clock_now_us (&clock);
      for (int round = 0; round < ROUNDS; round++)
        {
          jd_rate_limiter_on_token_request (limiter, "entry-0", &token_request);
          jd_rate_limiter_tick (limiter, 13 * JD_US_PER_S + round * INT64_C (100));
        }
      int64_t ticked_us = jd_clock_now_us (&clock);
      if (i == 0)
        base_us = (double)(requested_us - started_us);
      printf ("%13u %16.1f %16.1f\n", sizes[i],
              (double)(requested_us - started_us) / base_us,
              (double)(ticked_us - requested_us) / base_us);
      jd_rate_limiter_free (limiter);
    }
}
