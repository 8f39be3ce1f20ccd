#include "limits/rate_limiter.h"

#include <glib.h>

#include "base/clock.h"
#include "limits/token_inbox.h"

/* Maximum number of waiting requests decided per organisation and turn, so that a long
 * queue does not delay the decisions of other organisations. */
#define DECISIONS_PER_TURN 4

struct jd_rate_limiter
{
  jd_rate_settings_t settings;
  jd_rate_actions_t actions;
  jd_rng_t rng;
  GPtrArray *organisations;
  GPtrArray *waiting; /* Organisations that may have waiting requests. */
  GHashTable *by_name;
  jd_token_peers_t peers;
  jd_token_inbox_t inbox;
  uint32_t owned_shares;
  int64_t valid_until_us;
  int64_t now_us; /* Latest clock reading. */
  uint32_t first_turn_index;
  uint32_t requesting_organisation_count; /* With recent demand. */
  int64_t requesting_counted_at_us;
};

/* Returns the organisation at an index. */
static jd_organisation_limit_t *
organisation_at (const jd_rate_limiter_t *limiter, uint32_t index)
{
  return g_ptr_array_index (limiter->organisations, index);
}

/* Sets the number of owned shares for every organisation. */
static void
apply_shares (jd_rate_limiter_t *limiter, uint32_t owned_shares)
{
  limiter->owned_shares = owned_shares;
  for (uint32_t i = 0; i < limiter->organisations->len; i++)
    jd_rate_share_set_owned (&organisation_at (limiter, i)->share, limiter->now_us,
                             owned_shares);
}

/* Applies a clock reading, and discards all own tokens if the lease has ended. Returns
 * the latest reading, which is greater than now_us if an older reading was passed. */
static int64_t
update_clock (jd_rate_limiter_t *limiter, int64_t now_us)
{
  limiter->now_us = MAX (limiter->now_us, now_us);
  if (limiter->owned_shares > 0 && limiter->now_us > limiter->valid_until_us)
    apply_shares (limiter, 0);
  return limiter->now_us;
}

/* Creates a limiter without organisations, shares and peers. The settings are copied. rng
 * generates the nonces of token requests, so its numbers must differ between
 * processes. */
jd_rate_limiter_t *
jd_rate_limiter_new (const jd_rate_settings_t *settings, const jd_rate_actions_t *actions,
                     jd_rng_t rng)
{
  jd_rate_limiter_t *limiter = g_new0 (jd_rate_limiter_t, 1);
  limiter->settings = *settings;
  limiter->actions = *actions;
  limiter->rng = rng;
  limiter->organisations = g_ptr_array_new_with_free_func (jd_organisation_limit_free);
  limiter->waiting = g_ptr_array_new ();
  limiter->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  limiter->now_us = INT64_MIN;
  limiter->requesting_counted_at_us = INT64_MIN / 2;
  jd_token_inbox_init (&limiter->inbox);
  return limiter;
}

/* Frees a limiter. Waiting requests get no decision. */
void
jd_rate_limiter_free (jd_rate_limiter_t *limiter)
{
  g_hash_table_unref (limiter->by_name);
  g_ptr_array_unref (limiter->waiting);
  g_ptr_array_unref (limiter->organisations);
  jd_token_inbox_clear (&limiter->inbox);
  g_free (limiter->peers.items);
  g_free (limiter);
}

/* Adds an organisation that was not published before. */
static jd_organisation_limit_t *
add_organisation (jd_rate_limiter_t *limiter, const jd_organisation_rate_t *rate)
{
  jd_organisation_limit_t *added = jd_organisation_limit_new (
      rate->name, &limiter->settings, rate->share, limiter->now_us);
  jd_rate_share_set_owned (&added->share, limiter->now_us, limiter->owned_shares);
  jd_token_peers_t none = { 0 };
  jd_token_exchange_set_peers (&added->exchange, &none, &limiter->peers, limiter->now_us);
  g_ptr_array_add (limiter->organisations, added);
  g_hash_table_insert (limiter->by_name, added->name, added);
  return added;
}

/* Refuses all waiting requests of an organisation. */
static void
refuse_waiting (jd_rate_limiter_t *limiter, jd_organisation_limit_t *organisation)
{
  jd_waiting_request_t request;
  while (jd_admission_queue_pop (&organisation->queue, &request))
    limiter->actions.decided (limiter->actions.context, request.request_id, false,
                              limiter->now_us);
}

/* Sets the rate of an organisation that is no longer published to 0. Its state is kept
 * while granted tokens are in flight. Returns TRUE if it may be removed. */
static bool
withdraw_organisation (jd_rate_limiter_t *limiter, jd_organisation_limit_t *organisation)
{
  refuse_waiting (limiter, organisation);
  if (organisation->in_waiting_list)
    g_ptr_array_remove_fast (limiter->waiting, organisation);
  organisation->in_waiting_list = false;
  jd_rate_share_set_rate (&organisation->share, limiter->now_us, (jd_share_rate_t){ 0 },
                          limiter->settings.raise_delay_us);
  return organisation->share.sent.count == 0;
}

/* Replaces the published organisations. Reductions of a rate apply at once, raises after
 * raise_delay_us. Requests of removed organisations are refused. */
void
jd_rate_limiter_set_organisations (jd_rate_limiter_t *limiter, int64_t now_us,
                                   const jd_organisation_rate_t *rates, uint32_t count)
{
  now_us = update_clock (limiter, now_us);
  for (uint32_t i = 0; i < limiter->organisations->len; i++)
    organisation_at (limiter, i)->published = false;
  for (uint32_t i = 0; i < count; i++)
    {
      jd_organisation_limit_t *limit =
          g_hash_table_lookup (limiter->by_name, rates[i].name);
      if (limit)
        jd_rate_share_set_rate (&limit->share, now_us, rates[i].share,
                                limiter->settings.raise_delay_us);
      else
        limit = add_organisation (limiter, &rates[i]);
      limit->published = true;
      jd_token_exchange_set_rate (&limit->exchange, &limiter->peers, rates[i].share);
    }
  for (uint32_t i = limiter->organisations->len; i > 0; i--)
    {
      jd_organisation_limit_t *organisation = organisation_at (limiter, i - 1);
      if (organisation->published || !withdraw_organisation (limiter, organisation))
        continue;
      g_hash_table_remove (limiter->by_name, organisation->name);
      g_ptr_array_remove_index (limiter->organisations, i - 1);
    }
}

/* Replaces the peers to which token requests are sent. */
void
jd_rate_limiter_set_peers (jd_rate_limiter_t *limiter, int64_t now_us,
                           const jd_token_peer_t *peers, uint32_t count)
{
  now_us = update_clock (limiter, now_us);
  jd_token_peers_t before = limiter->peers;
  limiter->peers = (jd_token_peers_t){ .count = count };
  limiter->peers.items = g_new0 (jd_token_peer_t, count + 1);
  for (uint32_t i = 0; i < count; i++)
    limiter->peers.items[i] = peers[i];
  for (uint32_t i = 0; i < limiter->organisations->len; i++)
    {
      jd_organisation_limit_t *organisation = organisation_at (limiter, i);
      jd_token_exchange_set_peers (&organisation->exchange, &before, &limiter->peers,
                                   now_us);
      jd_token_exchange_set_rate (&organisation->exchange, &limiter->peers,
                                  organisation->share.published);
    }
  g_free (before.items);
}

/* Sets how many shares of its zone this process owns, and until when its lease is valid
 * if it is not renewed. Must be called at each change of ownership and each renewal. */
void
jd_rate_limiter_set_shares (jd_rate_limiter_t *limiter, int64_t now_us,
                            uint32_t owned_shares, int64_t valid_until_us)
{
  update_clock (limiter, now_us);
  limiter->valid_until_us = valid_until_us;
  if (limiter->now_us > valid_until_us)
    owned_shares = 0;
  if (owned_shares != limiter->owned_shares)
    apply_shares (limiter, owned_shares);
}

/* Returns the number of organisations with recent demand, which divide the budget of
 * token requests between them. The count is cached for 100 ms, because it iterates over
 * all organisations. */
static uint32_t
count_requesting (jd_rate_limiter_t *limiter)
{
  if (limiter->now_us - limiter->requesting_counted_at_us < 100000)
    return limiter->requesting_organisation_count;
  uint32_t requesting_organisation_count = 0;
  for (uint32_t i = 0; i < limiter->organisations->len; i++)
    {
      const jd_organisation_limit_t *organisation = organisation_at (limiter, i);
      requesting_organisation_count +=
          organisation->queue.count > 0 ||
          limiter->now_us - organisation->demand.updated_at_us < JD_US_PER_S;
    }
  limiter->requesting_organisation_count = requesting_organisation_count;
  limiter->requesting_counted_at_us = limiter->now_us;
  return requesting_organisation_count;
}

/* Sends one token request to a peer. */
static void
send_token_request (jd_rate_limiter_t *limiter, jd_organisation_limit_t *organisation,
                    uint32_t peer, int64_t amount, int64_t held)
{
  jd_token_request_t token_request =
      jd_token_exchange_open (&organisation->exchange, peer, amount, held,
                              jd_rng_next (&limiter->rng), limiter->now_us);
  g_strlcpy (token_request.organisation, organisation->name,
             sizeof (token_request.organisation));
  limiter->actions.send_token_request (limiter->actions.context,
                                       limiter->peers.items[peer].name, &token_request);
}

/* Sends token requests for the tokens that one organisation lacks, or to rebalance. */
static void
request_tokens (jd_rate_limiter_t *limiter, jd_organisation_limit_t *organisation)
{
  int64_t now_us = limiter->now_us;
  int64_t amount = 0;
  int64_t held = 0;
  jd_token_exchange_t *exchange = &organisation->exchange;
  jd_token_exchange_expire (exchange, now_us);
  int64_t wanted = jd_organisation_limit_tokens_to_request (organisation, now_us);
  bool rebalance_due =
      jd_organisation_limit_should_rebalance (organisation, now_us, &held);
  if (wanted <= 0 && !rebalance_due)
    return;
  jd_token_exchange_refill_budget (exchange, now_us, count_requesting (limiter));
  if (rebalance_due)
    {
      int32_t peer = jd_token_exchange_choose_rebalance (
          exchange, now_us, held, jd_rate_share_capacity (&organisation->share), &amount);
      if (peer >= 0)
        send_token_request (limiter, organisation, (uint32_t)peer, amount, held);
    }
  while (wanted > 0)
    {
      int32_t peer =
          jd_token_exchange_choose (exchange, &limiter->peers, now_us, wanted, &amount);
      if (peer < 0)
        return;
      send_token_request (limiter, organisation, (uint32_t)peer, amount, 0);
      wanted -= amount;
    }
}

/* Requests admission of one piece of work. After JD_ADMISSION_WAITING the decided
 * callback is called within the admission wait, unless the request is cancelled. */
jd_admission_t
jd_rate_limiter_request (jd_rate_limiter_t *limiter, int64_t now_us, uint64_t request_id,
                         const char *organisation, int64_t deadline_us)
{
  now_us = update_clock (limiter, now_us);
  jd_organisation_limit_t *limit = g_hash_table_lookup (limiter->by_name, organisation);
  if (!limit || !limit->published)
    return JD_ADMISSION_REFUSED;
  jd_admission_t result =
      jd_organisation_limit_request (limit, now_us, request_id, deadline_us);
  if (result == JD_ADMISSION_WAITING && !limit->in_waiting_list)
    {
      limit->in_waiting_list = true;
      g_ptr_array_add (limiter->waiting, limit);
    }
  if (result != JD_ADMISSION_REFUSED)
    request_tokens (limiter, limit);
  return result;
}

/* Removes a waiting request whose caller has disconnected. Returns FALSE if it was not
 * waiting. */
bool
jd_rate_limiter_cancel (jd_rate_limiter_t *limiter, uint64_t request_id,
                        const char *organisation)
{
  jd_organisation_limit_t *limit = g_hash_table_lookup (limiter->by_name, organisation);
  return limit && jd_admission_queue_remove (&limit->queue, request_id);
}

/* Stores a token request for the next tick. */
void
jd_rate_limiter_on_token_request (jd_rate_limiter_t *limiter, const char *from,
                                  const jd_token_request_t *token_request)
{
  jd_token_inbox_put_request (&limiter->inbox, from, token_request);
}

/* Stores a grant for the next tick. */
void
jd_rate_limiter_on_token_grant (jd_rate_limiter_t *limiter, const char *from,
                                const jd_token_grant_t *grant)
{
  jd_token_inbox_put_grant (&limiter->inbox, from, grant);
}

/* Credits a grant if it arrived in time. */
static void
apply_grant (jd_rate_limiter_t *limiter, const char *from, const jd_token_grant_t *grant)
{
  jd_organisation_limit_t *limit =
      g_hash_table_lookup (limiter->by_name, grant->organisation);
  if (!limit)
    return;
  jd_rate_share_advance (&limit->share, limiter->now_us);
  int32_t peer = jd_token_peers_find (&limiter->peers, from);
  if (jd_token_exchange_accept (&limit->exchange, peer, grant, limiter->now_us))
    jd_rate_share_credit (&limit->share, grant->amount_microtokens,
                          grant->echoed_sent_at_us + limiter->settings.transfer_ttl_us);
}

/* Replies to a token request, also if there are no tokens to grant, so that the requester
 * tries other peers at once. */
static void
answer_token_request (jd_rate_limiter_t *limiter, const char *from,
                      const jd_token_request_t *token_request)
{
  jd_organisation_limit_t *limit =
      g_hash_table_lookup (limiter->by_name, token_request->organisation);
  if (!limit || token_request->amount_microtokens <= 0)
    return;
  jd_token_grant_t grant = { .nonce = token_request->nonce,
                             .echoed_sent_at_us = token_request->sent_at_us };
  int32_t peer = jd_token_peers_find (&limiter->peers, from);
  grant.amount_microtokens =
      jd_organisation_limit_grant (limit, limiter->now_us, peer, token_request);
  grant.remaining_microtokens = limit->share.held;
  if (token_request->held_microtokens > 0)
    jd_token_exchange_update_level (
        &limit->exchange, jd_token_peers_find (&limiter->peers, from),
        token_request->held_microtokens + grant.amount_microtokens, limiter->now_us);
  g_strlcpy (grant.organisation, limit->name, sizeof (grant.organisation));
  limiter->actions.send_grant (limiter->actions.context, from, &grant);
}

/* Removes organisations without waiting requests from the list of waiting ones. */
static void
remove_idle (jd_rate_limiter_t *limiter)
{
  for (uint32_t i = limiter->waiting->len; i > 0; i--)
    {
      jd_organisation_limit_t *organisation = limiter->waiting->pdata[i - 1];
      organisation->in_waiting_list = organisation->queue.count > 0;
      if (!organisation->in_waiting_list)
        g_ptr_array_remove_index_fast (limiter->waiting, i - 1);
    }
}

/* Decides waiting requests, round-robin over the organisations. */
static void
serve_waiting (jd_rate_limiter_t *limiter)
{
  uint32_t count = limiter->waiting->len;
  bool decided = true;
  while (decided)
    {
      decided = false;
      for (uint32_t turn = 0; turn < count * DECISIONS_PER_TURN; turn++)
        {
          uint32_t index =
              (limiter->first_turn_index + turn / DECISIONS_PER_TURN) % count;
          jd_waiting_request_t request;
          jd_admission_t result;
          if (!jd_organisation_limit_serve (limiter->waiting->pdata[index],
                                            limiter->now_us, &request, &result))
            continue;
          decided = true;
          limiter->actions.decided (limiter->actions.context, request.request_id,
                                    result == JD_ADMISSION_ADMITTED, limiter->now_us);
        }
    }
  limiter->first_turn_index = count ? (limiter->first_turn_index + 1) % count : 0;
  remove_idle (limiter);
}

/* Handles stored messages and expiries. now_us must be read after the last message was
 * passed in. Grants are credited first, then local requests are served, then peers are
 * granted the remaining tokens, then tokens are requested from peers. */
void
jd_rate_limiter_tick (jd_rate_limiter_t *limiter, int64_t now_us)
{
  update_clock (limiter, now_us);
  jd_token_inbox_t *inbox = &limiter->inbox;
  for (uint32_t i = 0; i < inbox->grants->len; i++)
    {
      const jd_inbox_grant_t *item = &g_array_index (inbox->grants, jd_inbox_grant_t, i);
      apply_grant (limiter, item->from, &item->grant);
    }
  serve_waiting (limiter);
  for (uint32_t i = 0; i < inbox->token_requests->len; i++)
    {
      const jd_inbox_token_request_t *item =
          &g_array_index (inbox->token_requests, jd_inbox_token_request_t, i);
      answer_token_request (limiter, item->from, &item->token_request);
    }
  jd_token_inbox_reset (inbox);
  for (uint32_t i = 0; i < limiter->waiting->len; i++)
    request_tokens (limiter, limiter->waiting->pdata[i]);
}

/* Returns when the next tick is due, computed with the latest reading. INT64_MAX if no
 * tick is needed before the next call. */
int64_t
jd_rate_limiter_next_wakeup_us (const jd_rate_limiter_t *limiter)
{
  if (jd_token_inbox_count (&limiter->inbox) > 0)
    return limiter->now_us;
  int64_t next_us = INT64_MAX;
  for (uint32_t i = 0; i < limiter->waiting->len; i++)
    next_us = MIN (next_us, jd_organisation_limit_next_wakeup_us (
                                limiter->waiting->pdata[i], limiter->now_us));
  return next_us;
}

/* Returns the time from which this process may announce the release of its shares. The
 * successor then starts at once, so no granted token may still be in flight. INT64_MIN if
 * none is. The owned shares must have been set to 0 before. */
int64_t
jd_rate_limiter_release_at_us (const jd_rate_limiter_t *limiter)
{
  int64_t last_us = INT64_MIN;
  for (uint32_t i = 0; i < limiter->organisations->len; i++)
    {
      const jd_token_transfers_t *sent = &organisation_at (limiter, i)->share.sent;
      if (sent->count > 0)
        last_us = MAX (last_us, sent->items[sent->count - 1].expires_at_us);
    }
  return last_us;
}

/* Returns the state of an organisation, or NULL if it is unknown. For status and tests.
 * The limiter owns the state, which is valid until the organisation is removed. */
jd_organisation_limit_t *
jd_rate_limiter_find (const jd_rate_limiter_t *limiter, const char *organisation)
{
  return g_hash_table_lookup (limiter->by_name, organisation);
}

/* Returns the number of organisations. */
uint32_t
jd_rate_limiter_organisation_count (const jd_rate_limiter_t *limiter)
{
  return limiter->organisations->len;
}

/* Fills in the status of the organisation at an index. Returns FALSE if the index is out
 * of range. */
bool
jd_rate_limiter_status (jd_rate_limiter_t *limiter, int64_t now_us, uint32_t index,
                        jd_rate_status_t *status)
{
  now_us = update_clock (limiter, now_us);
  if (index >= limiter->organisations->len)
    return false;
  jd_organisation_limit_t *organisation = organisation_at (limiter, index);
  jd_rate_share_advance (&organisation->share, now_us);
  jd_organisation_limit_status (organisation, now_us, status);
  return true;
}
