#include "limits/token_exchange.h"

#include <glib.h>

#include "base/clock.h"

/* A budget of one ask. */
#define MICROASKS INT64_C (1000000)

/* Long enough for any bucket to be full. */
#define LONG_AGO_US (3600 * JD_US_PER_S)

/* A peer without probable tokens is asked again after this long, because shares may have
 * moved to it. */
#define UNHEARD_US 500000

/* A peer that did not answer at all is left alone for at least this long; it may be
 * gone or cut off. */
#define SILENT_PAUSE_US 80000

/* Prepares the exchange of one organisation; it has no peers yet. */
void
jd_token_exchange_init (jd_token_exchange_t *exchange, const jd_rate_settings_t *settings,
                        int64_t now_us)
{
  *exchange = (jd_token_exchange_t){ .settings = settings, .budget_at_us = now_us };
  exchange->budget_microasks = settings->ask_burst * MICROASKS;
}

/* Frees the memory of the exchange. */
void
jd_token_exchange_clear (jd_token_exchange_t *exchange)
{
  g_clear_pointer (&exchange->views, g_free);
  exchange->peer_count = 0;
}

/* Recomputes which peers have an ask open and how much is pending. */
static void
recount (jd_token_exchange_t *exchange)
{
  exchange->pending_microtokens = 0;
  for (uint32_t i = 0; i < exchange->peer_count; i++)
    exchange->views[i].asked = false;
  for (uint32_t i = 0; i < exchange->open_count; i++)
    {
      const jd_open_ask_t *ask = &exchange->open[i];
      if (ask->overdue)
        continue;
      exchange->views[ask->peer].asked = true;
      exchange->pending_microtokens += ask->amount_microtokens;
    }
}

/* Replaces the peers. Views of remaining peers are kept; asks to others are forgotten,
 * and their grants will be dropped. */
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
                     : (jd_peer_view_t){ .estimated_at_us = now_us - LONG_AGO_US };
    }
  uint32_t kept = 0;
  for (uint32_t i = 0; i < exchange->open_count; i++)
    {
      jd_open_ask_t ask = exchange->open[i];
      int32_t at = jd_token_peers_find (after, before->items[ask.peer].name);
      if (at < 0)
        continue;
      ask.peer = (uint32_t)at;
      exchange->open[kept++] = ask;
    }
  exchange->open_count = kept;
  g_free (exchange->views);
  exchange->views = views;
  exchange->peer_count = after->count;
  recount (exchange);
}

/* Computes what each peer should hold at most: the part of the shares that it is said to
 * own, or else an equal part of its zone. */
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

/* Blocks a peer that gave nothing. The pause doubles, so that an organisation without
 * tokens anywhere costs few messages. */
static void
pause_peer (jd_token_exchange_t *exchange, uint32_t peer, int64_t least_us,
            int64_t now_us)
{
  jd_peer_view_t *view = &exchange->views[peer];
  int64_t pause_us = MAX (view->pause_us * 2, least_us);
  view->pause_us = MIN (pause_us, exchange->settings->retry_max_us);
  view->blocked_until_us = now_us + view->pause_us;
  view->estimate_microtokens = 0;
  view->estimated_at_us = now_us;
}

/* Marks unanswered asks as overdue, so that others are asked instead, and removes those
 * whose grant can no longer be credited. */
void
jd_token_exchange_expire (jd_token_exchange_t *exchange, int64_t now_us)
{
  const jd_rate_settings_t *settings = exchange->settings;
  uint32_t kept = 0;
  bool changed = false;
  for (uint32_t i = 0; i < exchange->open_count; i++)
    {
      jd_open_ask_t *ask = &exchange->open[i];
      if (!ask->overdue && now_us - ask->asked_at_us >= settings->ask_timeout_us)
        {
          ask->overdue = true;
          changed = true;
          pause_peer (exchange, ask->peer, SILENT_PAUSE_US, now_us);
        }
      if (now_us - ask->asked_at_us < settings->transfer_lifetime_us)
        exchange->open[kept++] = *ask;
    }
  changed = changed || kept != exchange->open_count;
  exchange->open_count = kept;
  if (changed)
    recount (exchange);
}

/* Refills the ask budget. The budget of the process is divided between the
 * organisations that ask, so that one of them cannot use it up for the others. */
void
jd_token_exchange_refill_budget (jd_token_exchange_t *exchange, int64_t now_us,
                                 uint32_t asking_organisations)
{
  int64_t elapsed_us = MIN (now_us - exchange->budget_at_us, 60 * JD_US_PER_S);
  int64_t gained =
      elapsed_us * exchange->settings->asks_per_s / MAX (asking_organisations, 1);
  exchange->budget_at_us = now_us;
  exchange->budget_microasks = MIN (exchange->budget_microasks + gained,
                                    exchange->settings->ask_burst * MICROASKS);
}

/* Returns what a peer probably holds now. */
static int64_t
estimate (const jd_peer_view_t *view, int64_t now_us)
{
  int64_t elapsed_us = CLAMP (now_us - view->estimated_at_us, 0, LONG_AGO_US);
  __int128 generated = (__int128)view->generation * elapsed_us / JD_US_PER_S;
  __int128 total = generated + view->estimate_microtokens;
  return (int64_t)MIN (total, MAX (view->capacity, view->estimate_microtokens));
}

/* Tells whether one more ask may be sent. */
static bool
may_ask (const jd_token_exchange_t *exchange)
{
  return exchange->budget_microasks >= MICROASKS &&
         exchange->open_count < JD_OPEN_ASKS_MAX;
}

/* Chooses the peer that is longest unheard of. Returns -1 when all were heard of lately.
 */
static int32_t
choose_unknown (const jd_token_exchange_t *exchange, int64_t now_us)
{
  int64_t oldest_us = now_us - UNHEARD_US;
  int32_t chosen = -1;
  for (uint32_t i = 0; i < exchange->peer_count; i++)
    {
      const jd_peer_view_t *view = &exchange->views[i];
      if (view->asked || view->blocked_until_us > now_us ||
          view->estimated_at_us >= oldest_us)
        continue;
      oldest_us = view->estimated_at_us;
      chosen = (int32_t)i;
    }
  return chosen;
}

/* Chooses the peer to ask for some of the wanted tokens because requests wait: in the
 * own zone if one there can give them all, else the one that probably holds most.
 * Returns -1 when nobody is worth asking. */
int32_t
jd_token_exchange_choose (const jd_token_exchange_t *exchange,
                          const jd_token_peers_t *peers, int64_t now_us, int64_t wanted,
                          int64_t *amount)
{
  if (!may_ask (exchange))
    return -1;
  int64_t best_score = 0;
  int32_t best = -1;
  for (uint32_t i = 0; i < exchange->peer_count; i++)
    {
      const jd_peer_view_t *view = &exchange->views[i];
      if (view->asked || view->blocked_until_us > now_us)
        continue;
      int64_t probable = estimate (view, now_us);
      if (probable < MIN (JD_MICROTOKENS, view->capacity / 2))
        continue;
      bool local = peers->items[i].same_zone && probable >= wanted;
      int64_t score = probable + (local ? INT64_MAX / 4 : 0);
      if (score <= best_score)
        continue;
      best_score = score;
      best = (int32_t)i;
      *amount = MIN (wanted, probable);
    }
  if (best >= 0)
    return best;
  *amount = MIN (wanted, JD_MICROTOKENS);
  return choose_unknown (exchange, now_us);
}

/* Returns how much the richer of two processes has to give so that both are filled to
 * the same part of their capacity; 0 or less when it is not richer. */
int64_t
jd_token_even_amount (int64_t rich, int64_t rich_capacity, int64_t poor,
                      int64_t poor_capacity)
{
  __int128 sum = (__int128)rich_capacity + poor_capacity;
  __int128 difference = (__int128)rich * poor_capacity - (__int128)poor * rich_capacity;
  return sum > 0 ? (int64_t)(difference / sum) : 0;
}

/* Chooses a peer to even out with, although no request waits: tokens that stand at the
 * capacity of one process while another runs low stop generation. Returns -1 when no
 * peer probably holds clearly more. */
int32_t
jd_token_exchange_choose_richer (const jd_token_exchange_t *exchange, int64_t now_us,
                                 int64_t held, int64_t capacity, int64_t *amount)
{
  if (!may_ask (exchange))
    return -1;
  int32_t best = -1;
  int64_t least = exchange->mean_capacity / exchange->settings->even_out_divisor / 2;
  *amount = MAX (MIN (JD_MICROTOKENS, exchange->mean_capacity / 4), least) - 1;
  for (uint32_t i = 0; i < exchange->peer_count; i++)
    {
      const jd_peer_view_t *view = &exchange->views[i];
      if (view->asked || MAX (view->blocked_until_us, view->even_until_us) > now_us)
        continue;
      int64_t even =
          jd_token_even_amount (estimate (view, now_us), view->capacity, held, capacity);
      if (even <= *amount)
        continue;
      *amount = even;
      best = (int32_t)i;
    }
  return best;
}

/* Records an ask and returns the message. Nothing is held when requests wait. */
jd_token_ask_t
jd_token_exchange_open (jd_token_exchange_t *exchange, uint32_t peer, int64_t amount,
                        int64_t held, uint64_t nonce, int64_t now_us)
{
  exchange->open[exchange->open_count++] = (jd_open_ask_t){ .nonce = nonce,
                                                            .peer = peer,
                                                            .urgent = held == 0,
                                                            .amount_microtokens = amount,
                                                            .asked_at_us = now_us };
  exchange->views[peer].asked = true;
  exchange->pending_microtokens += amount;
  exchange->budget_microasks -= MICROASKS;
  exchange->asks_sent++;
  return (jd_token_ask_t){ .nonce = nonce,
                           .amount_microtokens = amount,
                           .asked_at_us = now_us,
                           .held_microtokens = held };
}

/* Notes what a peer holds. */
void
jd_token_exchange_note_level (jd_token_exchange_t *exchange, int32_t peer, int64_t level,
                              int64_t now_us)
{
  if (peer < 0)
    return;
  exchange->views[peer].estimate_microtokens = level;
  exchange->views[peer].estimated_at_us = now_us;
}

/* Updates the view of a peer by its answer. Peers that disappoint are asked less and
 * less often. */
static void
learn (jd_token_exchange_t *exchange, const jd_open_ask_t *ask,
       const jd_token_grant_t *grant, int64_t now_us)
{
  const jd_rate_settings_t *settings = exchange->settings;
  jd_peer_view_t *view = &exchange->views[ask->peer];
  int64_t given = grant->amount_microtokens;
  if (given == 0 && ask->urgent)
    {
      pause_peer (exchange, ask->peer, settings->retry_min_us, now_us);
      return;
    }
  jd_token_exchange_note_level (exchange, (int32_t)ask->peer, grant->left_microtokens,
                                now_us);
  view->blocked_until_us = 0;
  view->pause_us = 0;
  if (given >= ask->amount_microtokens / 2)
    view->even_pause_us = 0;
  else
    view->even_pause_us =
        CLAMP (view->even_pause_us * 2, settings->even_out_interval_us * 4,
               settings->retry_max_us);
  view->even_until_us = now_us + view->even_pause_us;
}

/* Matches a grant with its ask and closes the ask. Returns whether the grant is in time
 * and may be credited; a second copy finds no ask. */
bool
jd_token_exchange_accept (jd_token_exchange_t *exchange, int32_t peer,
                          const jd_token_grant_t *grant, int64_t now_us)
{
  for (uint32_t i = 0; i < exchange->open_count; i++)
    {
      jd_open_ask_t ask = exchange->open[i];
      if (ask.nonce != grant->nonce || (int32_t)ask.peer != peer ||
          ask.asked_at_us != grant->echoed_asked_at_us || grant->amount_microtokens < 0 ||
          grant->amount_microtokens > ask.amount_microtokens)
        continue;
      exchange->open[i] = exchange->open[--exchange->open_count];
      recount (exchange);
      learn (exchange, &ask, grant, now_us);
      return now_us - ask.asked_at_us < exchange->settings->transfer_lifetime_us;
    }
  exchange->grants_dropped++;
  return false;
}

/* Returns when the next open ask becomes overdue, INT64_MAX without one. */
int64_t
jd_token_exchange_next_overdue_us (const jd_token_exchange_t *exchange)
{
  int64_t next_us = INT64_MAX;
  for (uint32_t i = 0; i < exchange->open_count; i++)
    {
      const jd_open_ask_t *ask = &exchange->open[i];
      if (!ask->overdue)
        next_us = MIN (next_us, ask->asked_at_us + exchange->settings->ask_timeout_us);
    }
  return next_us;
}
