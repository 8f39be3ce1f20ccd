#include "limits/organisation_limit.h"

#include <glib.h>

#include "base/clock.h"

/* Tokens for the local demand of this period are not granted to peers, so that a grant
 * does not make the next local request wait for a round trip. */
#define RESERVED_DEMAND_US 20000

/* Interval at which blocked peers are reconsidered while requests wait. */
#define PEER_RECHECK_INTERVAL_US 5000

/* Creates the state of one organisation, without tokens. settings must outlive it. */
jd_organisation_limit_t *
jd_organisation_limit_new (const char *name, const jd_rate_settings_t *settings,
                           jd_share_rate_t rate, int64_t now_us)
{
  jd_organisation_limit_t *organisation = g_new0 (jd_organisation_limit_t, 1);
  g_strlcpy (organisation->name, name, sizeof (organisation->name));
  organisation->settings = settings;
  organisation->rebalanced_at_us = now_us;
  jd_rate_share_init (&organisation->share, now_us, rate);
  jd_token_exchange_init (&organisation->exchange, settings, now_us);
  jd_admission_queue_init (&organisation->queue, settings->queue_limit);
  return organisation;
}

/* Frees the state. Has the signature of a GDestroyNotify. */
void
jd_organisation_limit_free (void *organisation)
{
  jd_organisation_limit_t *limit = organisation;
  jd_token_exchange_clear (&limit->exchange);
  jd_admission_queue_clear (&limit->queue);
  g_free (limit);
}

/* Admits one request at once, enqueues it, or refuses it because its deadline has passed
 * or the queue is full. Requests of one organisation are admitted in order of arrival. */
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

/* Admits or refuses one waiting request. Returns FALSE if none can be decided now. */
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

/* Returns the demand over a period, in microtokens. */
static int64_t
demand_over (const jd_organisation_limit_t *organisation, int64_t now_us,
             int64_t period_us)
{
  int64_t demand = jd_demand_estimate_per_s (&organisation->demand, now_us,
                                             organisation->settings->demand_window_us);
  return (int64_t)((__int128)demand * period_us / JD_US_PER_S);
}

/* Returns the available tokens plus the tokens of pending requests to peers. */
static int64_t
expected_microtokens (const jd_organisation_limit_t *organisation)
{
  return jd_rate_share_available (&organisation->share) +
         organisation->exchange.pending_microtokens;
}

/* Returns how many microtokens to request from peers for waiting requests, 0 for none.
 * Demand beyond local generation is covered for reserve_window_us in advance, which saves
 * messages. */
int64_t
jd_organisation_limit_tokens_to_request (const jd_organisation_limit_t *organisation,
                                         int64_t now_us)
{
  int64_t missing =
      organisation->queue.count * JD_MICROTOKENS - expected_microtokens (organisation);
  if (organisation->queue.count == 0 || missing <= 0)
    return 0;
  int64_t period_us = organisation->settings->reserve_window_us;
  int64_t generated =
      (int64_t)((__int128)jd_rate_share_generation (&organisation->share) * period_us /
                JD_US_PER_S);
  int64_t in_advance = demand_over (organisation, now_us, period_us) - generated;
  return missing + MAX (in_advance, 0);
}

/* Returns TRUE if tokens should be rebalanced with peers now, and then sets *held to the
 * available and pending tokens. */
bool
jd_organisation_limit_should_rebalance (jd_organisation_limit_t *organisation,
                                        int64_t now_us, int64_t *held)
{
  int64_t interval_us = organisation->settings->rebalance_interval_us;
  if (organisation->queue.count > 0 ||
      now_us - organisation->rebalanced_at_us < interval_us)
    return false;
  *held = MAX (expected_microtokens (organisation), 1);
  organisation->rebalanced_at_us = now_us;
  return true;
}

/* Grants tokens for a peer's request and returns their amount in microtokens. Local
 * waiting requests have priority. A peer without waiting requests gets at most the amount
 * that fills both processes to the same part of their capacity. */
int64_t
jd_organisation_limit_grant (jd_organisation_limit_t *organisation, int64_t now_us,
                             int32_t peer, const jd_token_request_t *token_request)
{
  jd_rate_share_advance (&organisation->share, now_us);
  if (organisation->queue.count > 0)
    return 0;
  int64_t held = organisation->share.held;
  int64_t capacity = jd_rate_share_capacity (&organisation->share);
  int64_t peer_capacity =
      peer >= 0 ? organisation->exchange.views[peer].capacity : capacity;
  int64_t spare = held - demand_over (organisation, now_us, RESERVED_DEMAND_US);
  if (token_request->held_microtokens > 0)
    spare = jd_token_rebalance_amount (held, capacity, token_request->held_microtokens,
                                       peer_capacity);
  int64_t granted = jd_rate_share_grant (&organisation->share,
                                         MIN (token_request->amount_microtokens, spare),
                                         organisation->settings->transfer_ttl_us);
  organisation->grants_sent += granted > 0;
  return granted;
}

/* Returns when waiting requests need the next tick: at an expiry, when a token request
 * becomes overdue, when the next own token is generated, or when blocked peers are
 * reconsidered. INT64_MAX if no request waits. */
int64_t
jd_organisation_limit_next_wakeup_us (const jd_organisation_limit_t *organisation,
                                      int64_t now_us)
{
  if (organisation->queue.count == 0)
    return INT64_MAX;
  int64_t next_us = jd_admission_queue_first_expiry_us (&organisation->queue);
  next_us = MIN (next_us, jd_token_exchange_next_overdue_us (&organisation->exchange));
  next_us = MIN (next_us, now_us + PEER_RECHECK_INTERVAL_US);
  int64_t generation = jd_rate_share_generation (&organisation->share);
  int64_t missing = JD_MICROTOKENS - jd_rate_share_available (&organisation->share);
  if (generation > 0 && missing > 0 && missing < generation)
    next_us = MIN (next_us, now_us + missing * JD_US_PER_S / generation + 1);
  return next_us;
}

/* Fills in the status for operators. */
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
    .token_requests_sent = organisation->exchange.requests_sent,
    .grants_sent = organisation->grants_sent,
    .grants_dropped = organisation->exchange.grants_dropped,
    .totals = share->totals,
  };
  g_strlcpy (status->organisation, organisation->name, sizeof (status->organisation));
}
