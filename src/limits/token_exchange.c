#include "limits/token_exchange.h"

#include <glib.h>

#include "base/clock.h"

/* Microrequests per token request in the rate budget. */
#define MICROREQUESTS INT64_C (1000000)

/* Longest time over which generation at a peer is extrapolated; every bucket is full
 * after it. */
#define MAX_REFILL_US (3600 * JD_US_PER_S)

/* A peer that is estimated to have no tokens gets a token request again after this long,
 * because shares may have moved to it. */
#define STALE_VIEW_US 500000

/* Minimum backoff for a peer that did not reply, because it may be down or
 * partitioned. */
#define NO_REPLY_BACKOFF_US 80000

/* Initializes the exchange of one organisation, without peers. */
void
jd_token_exchange_init (jd_token_exchange_t *exchange, const jd_rate_settings_t *settings,
                        int64_t now_us)
{
  *exchange = (jd_token_exchange_t){ .settings = settings, .budget_at_us = now_us };
  exchange->budget_microrequests = settings->token_request_burst * MICROREQUESTS;
}

/* Frees the memory of the exchange. */
void
jd_token_exchange_clear (jd_token_exchange_t *exchange)
{
  g_clear_pointer (&exchange->views, g_free);
  exchange->peer_count = 0;
}

/* Recomputes which peers have an open request and how many tokens are pending. */
static void
recompute_pending (jd_token_exchange_t *exchange)
{
  exchange->pending_microtokens = 0;
  for (uint32_t i = 0; i < exchange->peer_count; i++)
    exchange->views[i].has_open_request = false;
  for (uint32_t i = 0; i < exchange->open_count; i++)
    {
      const jd_open_token_request_t *token_request = &exchange->open[i];
      if (token_request->is_overdue)
        continue;
      exchange->views[token_request->peer].has_open_request = true;
      exchange->pending_microtokens += token_request->amount_microtokens;
    }
}

/* Replaces the peers. Views of remaining peers are kept. Open requests to removed peers
 * are deleted, so their grants will be dropped. */
void
jd_token_exchange_set_peers (jd_token_exchange_t *exchange,
                             const jd_token_peers_t *before,
                             const jd_token_peers_t *after, int64_t now_us)
{
  jd_peer_view_t *views = g_new0 (jd_peer_view_t, after->count + 1);
  for (uint32_t i = 0; i < after->count; i++)
    {
      int32_t old = jd_token_peers_find (before, after->items[i].name);
      views[i] = old >= 0 && (uint32_t)old < exchange->peer_count
                     ? exchange->views[old]
                     : (jd_peer_view_t){ .last_known_at_us = now_us - MAX_REFILL_US };
    }
  uint32_t kept = 0;
  for (uint32_t i = 0; i < exchange->open_count; i++)
    {
      jd_open_token_request_t token_request = exchange->open[i];
      int32_t at = jd_token_peers_find (after, before->items[token_request.peer].name);
      if (at < 0)
        continue;
      token_request.peer = (uint32_t)at;
      exchange->open[kept++] = token_request;
    }
  exchange->open_count = kept;
  g_free (exchange->views);
  exchange->views = views;
  exchange->peer_count = after->count;
  recompute_pending (exchange);
}

/* Computes the capacity and generation of each peer from the shares that it is known to
 * own, or else from an equal part of its zone. */
void
jd_token_exchange_set_rate (jd_token_exchange_t *exchange, const jd_token_peers_t *peers,
                            jd_share_rate_t share)
{
  int64_t entries = exchange->settings->entries_per_zone;
  int64_t shares = exchange->settings->shares_per_zone;
  exchange->mean_capacity = share.burst * shares / entries;
  for (uint32_t i = 0; i < exchange->peer_count; i++)
    {
      jd_peer_view_t *view = &exchange->views[i];
      int64_t owned = peers->items[i].owned_shares;
      view->capacity = owned >= 0 ? share.burst * owned : exchange->mean_capacity;
      view->generation =
          owned >= 0 ? share.rate_per_s * owned : share.rate_per_s * shares / entries;
    }
}

/* Blocks a peer that granted no tokens for a backoff of at least minimum_us. The backoff
 * doubles, so that an organisation without tokens anywhere costs few messages. */
static void
back_off_peer (jd_token_exchange_t *exchange, uint32_t peer, int64_t min_expires_at_us,
               int64_t now_us)
{
  jd_peer_view_t *view = &exchange->views[peer];
  int64_t backoff_us = MAX (view->backoff_us * 2, min_expires_at_us);
  view->backoff_us = MIN (backoff_us, exchange->settings->max_backoff_us);
  view->blocked_until_us = now_us + view->backoff_us;
  view->last_known_microtokens = 0;
  view->last_known_at_us = now_us;
}

/* Marks requests without a reply as overdue, so that other peers get a request instead,
 * and removes requests whose grant can no longer be credited. */
void
jd_token_exchange_expire (jd_token_exchange_t *exchange, int64_t now_us)
{
  const jd_rate_settings_t *settings = exchange->settings;
  uint32_t kept = 0;
  bool changed = false;
  for (uint32_t i = 0; i < exchange->open_count; i++)
    {
      jd_open_token_request_t *token_request = &exchange->open[i];
      if (!token_request->is_overdue &&
          now_us - token_request->sent_at_us >= settings->token_request_timeout_us)
        {
          token_request->is_overdue = true;
          changed = true;
          back_off_peer (exchange, token_request->peer, NO_REPLY_BACKOFF_US, now_us);
        }
      if (now_us - token_request->sent_at_us < settings->transfer_ttl_us)
        exchange->open[kept++] = *token_request;
    }
  changed = changed || kept != exchange->open_count;
  exchange->open_count = kept;
  if (changed)
    recompute_pending (exchange);
}

/* Refills the budget of token requests. The budget of the process is divided between the
 * organisations that send requests, so that one of them cannot use it up for all. */
void
jd_token_exchange_refill_budget (jd_token_exchange_t *exchange, int64_t now_us,
                                 uint32_t requesting_organisations)
{
  int64_t elapsed_us = MIN (now_us - exchange->budget_at_us, 60 * JD_US_PER_S);
  int64_t refilled = elapsed_us * exchange->settings->token_requests_per_s /
                     MAX (requesting_organisations, 1);
  exchange->budget_at_us = now_us;
  exchange->budget_microrequests =
      MIN (exchange->budget_microrequests + refilled,
           exchange->settings->token_request_burst * MICROREQUESTS);
}

/* Returns the estimated tokens of a peer, extrapolated by its generation to now_us. */
static int64_t
estimated_microtokens (const jd_peer_view_t *view, int64_t now_us)
{
  int64_t elapsed_us = CLAMP (now_us - view->last_known_at_us, 0, MAX_REFILL_US);
  __int128 generated = (__int128)view->generation * elapsed_us / JD_US_PER_S;
  __int128 total = generated + view->last_known_microtokens;
  return (int64_t)MIN (total, MAX (view->capacity, view->last_known_microtokens));
}

/* Returns TRUE if the budget and the list of open requests allow one more request. */
static bool
can_send_request (const jd_token_exchange_t *exchange)
{
  return exchange->budget_microrequests >= MICROREQUESTS &&
         exchange->open_count < JD_OPEN_TOKEN_REQUESTS_MAX;
}

/* Returns the unblocked peer whose view is oldest, or -1 if all views are newer than
 * STALE_VIEW_US. */
static int32_t
choose_least_recent (const jd_token_exchange_t *exchange, int64_t now_us)
{
  int64_t oldest_us = now_us - STALE_VIEW_US;
  int32_t chosen = -1;
  for (uint32_t i = 0; i < exchange->peer_count; i++)
    {
      const jd_peer_view_t *view = &exchange->views[i];
      if (view->has_open_request || view->blocked_until_us > now_us ||
          view->last_known_at_us >= oldest_us)
        continue;
      oldest_us = view->last_known_at_us;
      chosen = (int32_t)i;
    }
  return chosen;
}

/* Chooses the peer to request tokens from because requests wait, and sets *amount to the
 * tokens to request. Prefers a peer in the own zone that can supply all wanted tokens,
 * else the peer with the most estimated tokens. Returns -1 if no peer qualifies. */
int32_t
jd_token_exchange_choose (const jd_token_exchange_t *exchange,
                          const jd_token_peers_t *peers, int64_t now_us, int64_t wanted,
                          int64_t *amount)
{
  if (!can_send_request (exchange))
    return -1;
  int64_t best_score = 0;
  int32_t best = -1;
  for (uint32_t i = 0; i < exchange->peer_count; i++)
    {
      const jd_peer_view_t *view = &exchange->views[i];
      if (view->has_open_request || view->blocked_until_us > now_us)
        continue;
      int64_t estimated = estimated_microtokens (view, now_us);
      if (estimated < MIN (JD_MICROTOKENS, view->capacity / 2))
        continue;
      bool can_supply_locally = peers->items[i].same_zone && estimated >= wanted;
      int64_t score = estimated + (can_supply_locally ? INT64_MAX / 4 : 0);
      if (score <= best_score)
        continue;
      best_score = score;
      best = (int32_t)i;
      *amount = MIN (wanted, estimated);
    }
  if (best >= 0)
    return best;
  *amount = MIN (wanted, JD_MICROTOKENS);
  return choose_least_recent (exchange, now_us);
}

/* Returns how many tokens the fuller of two processes has to grant so that both are
 * filled to the same part of their capacity. The result is 0 or less if the first process
 * is not the fuller one. */
int64_t
jd_token_rebalance_amount (int64_t donor, int64_t donor_capacity, int64_t receiver,
                           int64_t receiver_capacity)
{
  __int128 sum = (__int128)donor_capacity + receiver_capacity;
  __int128 difference =
      (__int128)donor * receiver_capacity - (__int128)receiver * donor_capacity;
  return sum > 0 ? (int64_t)(difference / sum) : 0;
}

/* Chooses a peer to rebalance with while no request waits, and sets *amount to the tokens
 * to request. Rebalancing is needed because generation stops in a process whose tokens
 * are at capacity while another runs low. Returns -1 if no peer is estimated to hold
 * sufficiently more. */
int32_t
jd_token_exchange_choose_rebalance (const jd_token_exchange_t *exchange, int64_t now_us,
                                    int64_t held, int64_t capacity, int64_t *amount)
{
  if (!can_send_request (exchange))
    return -1;
  int32_t best = -1;
  int64_t minimum = exchange->mean_capacity / exchange->settings->rebalance_divisor / 2;
  *amount = MAX (MIN (JD_MICROTOKENS, exchange->mean_capacity / 4), minimum) - 1;
  for (uint32_t i = 0; i < exchange->peer_count; i++)
    {
      const jd_peer_view_t *view = &exchange->views[i];
      if (view->has_open_request ||
          MAX (view->blocked_until_us, view->no_rebalance_until_us) > now_us)
        continue;
      int64_t excess = jd_token_rebalance_amount (estimated_microtokens (view, now_us),
                                                  view->capacity, held, capacity);
      if (excess <= *amount)
        continue;
      *amount = excess;
      best = (int32_t)i;
    }
  return best;
}

/* Adds an open request and returns the message to send. held is 0 if requests wait. */
jd_token_request_t
jd_token_exchange_open (jd_token_exchange_t *exchange, uint32_t peer, int64_t amount,
                        int64_t held, uint64_t nonce, int64_t now_us)
{
  exchange->open[exchange->open_count++] =
      (jd_open_token_request_t){ .nonce = nonce,
                                 .peer = peer,
                                 .has_waiting_requests = held == 0,
                                 .amount_microtokens = amount,
                                 .sent_at_us = now_us };
  exchange->views[peer].has_open_request = true;
  exchange->pending_microtokens += amount;
  exchange->budget_microrequests -= MICROREQUESTS;
  exchange->requests_sent++;
  return (jd_token_request_t){ .nonce = nonce,
                               .amount_microtokens = amount,
                               .sent_at_us = now_us,
                               .held_microtokens = held };
}

/* Sets the last known tokens of a peer. A negative peer is ignored. */
void
jd_token_exchange_update_level (jd_token_exchange_t *exchange, int32_t peer,
                                int64_t level, int64_t now_us)
{
  if (peer < 0)
    return;
  exchange->views[peer].last_known_microtokens = level;
  exchange->views[peer].last_known_at_us = now_us;
}

/* Updates the view of a peer after its reply. A peer that grants nothing, or less than
 * half of the requested amount, gets an increasing backoff. */
static void
update_view (jd_token_exchange_t *exchange, const jd_open_token_request_t *token_request,
             const jd_token_grant_t *grant, int64_t now_us)
{
  const jd_rate_settings_t *settings = exchange->settings;
  jd_peer_view_t *view = &exchange->views[token_request->peer];
  int64_t granted = grant->amount_microtokens;
  if (granted == 0 && token_request->has_waiting_requests)
    {
      back_off_peer (exchange, token_request->peer, settings->min_backoff_us, now_us);
      return;
    }
  jd_token_exchange_update_level (exchange, (int32_t)token_request->peer,
                                  grant->remaining_microtokens, now_us);
  view->blocked_until_us = 0;
  view->backoff_us = 0;
  if (granted >= token_request->amount_microtokens / 2)
    view->rebalance_backoff_us = 0;
  else
    view->rebalance_backoff_us =
        CLAMP (view->rebalance_backoff_us * 2, settings->rebalance_interval_us * 4,
               settings->max_backoff_us);
  view->no_rebalance_until_us = now_us + view->rebalance_backoff_us;
}

/* Matches a grant with its open request and removes the request. Returns TRUE if the
 * grant is in time and may be credited. A duplicate grant matches no open request and is
 * dropped. */
bool
jd_token_exchange_accept (jd_token_exchange_t *exchange, int32_t peer,
                          const jd_token_grant_t *grant, int64_t now_us)
{
  for (uint32_t i = 0; i < exchange->open_count; i++)
    {
      jd_open_token_request_t token_request = exchange->open[i];
      if (token_request.nonce != grant->nonce || (int32_t)token_request.peer != peer ||
          token_request.sent_at_us != grant->echoed_sent_at_us ||
          grant->amount_microtokens < 0 ||
          grant->amount_microtokens > token_request.amount_microtokens)
        continue;
      exchange->open[i] = exchange->open[--exchange->open_count];
      recompute_pending (exchange);
      update_view (exchange, &token_request, grant, now_us);
      return now_us - token_request.sent_at_us < exchange->settings->transfer_ttl_us;
    }
  exchange->grants_dropped++;
  return false;
}

/* Returns when the next open request becomes overdue, or INT64_MAX if there is none. */
int64_t
jd_token_exchange_next_overdue_us (const jd_token_exchange_t *exchange)
{
  int64_t next_us = INT64_MAX;
  for (uint32_t i = 0; i < exchange->open_count; i++)
    {
      const jd_open_token_request_t *token_request = &exchange->open[i];
      if (!token_request->is_overdue)
        next_us = MIN (next_us, token_request->sent_at_us +
                                    exchange->settings->token_request_timeout_us);
    }
  return next_us;
}
