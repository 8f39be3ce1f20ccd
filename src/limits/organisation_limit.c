#include "limits/organisation_limit.h"

#include <glib.h>

#include "base/clock.h"

/* Demand of this long is not given away, so that a peer's ask does not make the next
 * local request wait for a round trip. */
#define KEPT_DEMAND_US 20000

/* While requests wait, peers that were blocked are looked at again this often. */
#define RETRY_TICK_US 5000

/* Creates the state of one organisation, without tokens. */
jd_organisation_limit_t *
jd_organisation_limit_new (const char *name, const jd_rate_settings_t *settings,
                           jd_share_rate_t rate, int64_t now_us)
{
  jd_organisation_limit_t *organisation = g_new0 (jd_organisation_limit_t, 1);
  g_strlcpy (organisation->name, name, sizeof (organisation->name));
  organisation->settings = settings;
  organisation->prefetched_at_us = now_us;
  jd_rate_share_init (&organisation->share, now_us, rate);
  jd_token_exchange_init (&organisation->exchange, settings, now_us);
  jd_admission_queue_init (&organisation->queue, settings->queue_limit);
  return organisation;
}

/* Frees the state; a GDestroyNotify. */
void
jd_organisation_limit_free (void *organisation)
{
  jd_organisation_limit_t *freed = organisation;
  jd_token_exchange_clear (&freed->exchange);
  jd_admission_queue_clear (&freed->queue);
  g_free (freed);
}

/* Takes one request: admitted at once, or waiting, or refused because it is too late or
 * too many wait. Requests of one organisation are admitted in order of arrival. */
jd_admission_t
jd_organisation_limit_request (jd_organisation_limit_t *organisation, int64_t now_us,
                               uint64_t request_id, int64_t deadline_us)
{
  const jd_rate_settings_t *settings = organisation->settings;
  jd_rate_share_advance (&organisation->share, now_us);
  jd_demand_estimate_add (&organisation->demand, now_us, settings->demand_window_us);
  if (organisation->queue.count == 0 && deadline_us > now_us &&
      jd_rate_share_spend (&organisation->share, JD_MICROTOKENS))
    {
      organisation->admitted++;
      return JD_ADMISSION_ADMITTED;
    }
  int64_t expires_at_us = MIN (deadline_us, now_us + settings->admission_wait_us);
  jd_waiting_request_t request = { request_id, expires_at_us };
  if (expires_at_us <= now_us || !jd_admission_queue_push (&organisation->queue, request))
    {
      organisation->refused++;
      return JD_ADMISSION_REFUSED;
    }
  return JD_ADMISSION_WAITING;
}

/* Decides one waiting request. Returns false when none can be decided now. */
bool
jd_organisation_limit_serve (jd_organisation_limit_t *organisation, int64_t now_us,
                             jd_waiting_request_t *request, jd_admission_t *result)
{
  if (organisation->queue.count == 0)
    return false;
  jd_rate_share_advance (&organisation->share, now_us);
  if (jd_admission_queue_pop_expired (&organisation->queue, now_us, request))
    {
      organisation->refused++;
      *result = JD_ADMISSION_REFUSED;
    }
  else if (jd_rate_share_spend (&organisation->share, JD_MICROTOKENS))
    {
      jd_admission_queue_pop (&organisation->queue, request);
      organisation->admitted++;
      *result = JD_ADMISSION_ADMITTED;
    }
  else
    return false;
  organisation->waited++;
  return true;
}

/* Returns how many tokens should be kept ahead of requests: the full capacity when
 * local demand exceeds local generation, so that idle peers do not stand at their
 * capacity, where they stop generating; none otherwise. */
static int64_t
reserve_target (const jd_organisation_limit_t *organisation, int64_t now_us)
{
  const jd_rate_settings_t *settings = organisation->settings;
  int64_t demand = jd_demand_estimate_per_s (&organisation->demand, now_us,
                                             settings->demand_window_us);
  if (demand <= jd_rate_share_generation (&organisation->share))
    return 0;
  int64_t ahead = (int64_t)((__int128)demand * settings->reserve_window_us / JD_US_PER_S);
  return MAX (jd_rate_share_capacity (&organisation->share), ahead);
}

/* Returns how many tokens to ask peers for now, 0 for none. */
int64_t
jd_organisation_limit_wanted (jd_organisation_limit_t *organisation, int64_t now_us)
{
  int64_t coming = jd_rate_share_available (&organisation->share) +
                   organisation->exchange.pending_microtokens;
  int64_t waiting = organisation->queue.count * JD_MICROTOKENS;
  int64_t target = reserve_target (organisation, now_us);
  if (waiting > coming)
    return waiting - coming + target;
  int64_t missing = target + waiting - coming;
  int64_t interval_us = organisation->settings->prefetch_interval_us;
  if (missing < MAX (JD_MICROTOKENS, target / 4) ||
      now_us - organisation->prefetched_at_us < interval_us)
    return 0;
  organisation->prefetched_at_us = now_us;
  return missing;
}

/* Takes tokens for a peer. Local waiting requests go first. */
int64_t
jd_organisation_limit_grant (jd_organisation_limit_t *organisation, int64_t now_us,
                             int64_t asked)
{
  const jd_rate_settings_t *settings = organisation->settings;
  jd_rate_share_advance (&organisation->share, now_us);
  if (organisation->queue.count > 0)
    return 0;
  int64_t demand = jd_demand_estimate_per_s (&organisation->demand, now_us,
                                             settings->demand_window_us);
  int64_t kept = (int64_t)((__int128)demand * KEPT_DEMAND_US / JD_US_PER_S);
  int64_t spare = organisation->share.held - kept;
  int64_t given = jd_rate_share_grant (&organisation->share, MIN (asked, spare),
                                       settings->transfer_lifetime_us);
  organisation->grants_sent += given > 0;
  return given;
}

/* Returns when waiting requests need the next tick: for an expiry, an overdue ask, the
 * next own token or another try with the peers. INT64_MAX when none waits. */
int64_t
jd_organisation_limit_next_wakeup_us (const jd_organisation_limit_t *organisation,
                                      int64_t now_us)
{
  if (organisation->queue.count == 0)
    return INT64_MAX;
  int64_t next_us = jd_admission_queue_first_expiry_us (&organisation->queue);
  next_us = MIN (next_us, jd_token_exchange_next_overdue_us (&organisation->exchange));
  next_us = MIN (next_us, now_us + RETRY_TICK_US);
  int64_t generation = jd_rate_share_generation (&organisation->share);
  int64_t missing = JD_MICROTOKENS - jd_rate_share_available (&organisation->share);
  if (generation > 0 && missing > 0 && missing < generation)
    next_us = MIN (next_us, now_us + missing * JD_US_PER_S / generation + 1);
  return next_us;
}

/* Fills in what operators see. */
void
jd_organisation_limit_status (const jd_organisation_limit_t *organisation, int64_t now_us,
                              jd_rate_status_t *status)
{
  const jd_rate_share_t *share = &organisation->share;
  *status = (jd_rate_status_t){
    .held = share->held,
    .received = share->received.total_microtokens,
    .in_flight = share->sent.total_microtokens,
    .capacity = jd_rate_share_capacity (share),
    .generation_per_s = jd_rate_share_generation (share),
    .demand_per_s = jd_demand_estimate_per_s (&organisation->demand, now_us,
                                              organisation->settings->demand_window_us),
    .waiting = organisation->queue.count,
    .admitted = organisation->admitted,
    .refused = organisation->refused,
    .waited = organisation->waited,
    .asks_sent = organisation->exchange.asks_sent,
    .grants_sent = organisation->grants_sent,
    .grants_dropped = organisation->exchange.grants_dropped,
    .totals = share->totals,
  };
  g_strlcpy (status->organisation, organisation->name, sizeof (status->organisation));
}
