#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/rng.h"
#include "limits/rate_settings.h"
#include "limits/rate_share.h"
#include "limits/token_defs.h"
#include "limits/token_peer.h"

#define JD_OPEN_ASKS_MAX 32

/* What one process believes about one organisation's tokens at a peer. */
typedef struct jd_peer_view
{
  int64_t capacity;   /* Assumed, microtokens. */
  int64_t generation; /* Assumed, microtokens per second. */
  int64_t estimate_microtokens;
  int64_t estimated_at_us;
  int64_t blocked_until_us; /* Not asked before this time. */
  int64_t pause_us;         /* Last pause after an answer without tokens. */
  int64_t even_until_us;    /* Not asked before this time unless requests wait. */
  int64_t even_pause_us;    /* Last pause after an answer that evened out nothing. */
  bool asked;               /* An ask is open and not overdue. */
} jd_peer_view_t;

/* An ask whose grant may still be credited. */
typedef struct jd_open_ask
{
  uint64_t nonce;
  uint32_t peer;
  bool overdue;
  bool urgent; /* Requests waited. */
  int64_t amount_microtokens;
  int64_t asked_at_us;
} jd_open_ask_t;

/* Asks of one organisation in one process. */
typedef struct jd_token_exchange
{
  const jd_rate_settings_t *settings;
  jd_peer_view_t *views; /* One per peer. */
  uint32_t peer_count;
  jd_open_ask_t open[JD_OPEN_ASKS_MAX];
  uint32_t open_count;
  int64_t pending_microtokens; /* Asked for and not overdue. */
  int64_t mean_capacity;       /* Per entry of a zone, microtokens. */
  int64_t budget_microasks;    /* Asks that may be sent now. */
  int64_t budget_at_us;
  uint64_t asks_sent;
  uint64_t grants_dropped; /* Late, repeated, or not asked for. */
} jd_token_exchange_t;

void jd_token_exchange_init (jd_token_exchange_t *exchange,
                             const jd_rate_settings_t *settings, int64_t now_us);
void jd_token_exchange_clear (jd_token_exchange_t *exchange);
void jd_token_exchange_set_peers (jd_token_exchange_t *exchange,
                                  const jd_token_peers_t *before,
                                  const jd_token_peers_t *after, int64_t now_us);
void jd_token_exchange_set_rate (jd_token_exchange_t *exchange,
                                 const jd_token_peers_t *peers, jd_share_rate_t share);
void jd_token_exchange_expire (jd_token_exchange_t *exchange, int64_t now_us);
void jd_token_exchange_refill_budget (jd_token_exchange_t *exchange, int64_t now_us,
                                      uint32_t asking_organisations);
int32_t jd_token_exchange_choose (const jd_token_exchange_t *exchange,
                                  const jd_token_peers_t *peers, int64_t now_us,
                                  int64_t wanted, int64_t *amount);
int32_t jd_token_exchange_choose_richer (const jd_token_exchange_t *exchange,
                                         int64_t now_us, int64_t held, int64_t capacity,
                                         int64_t *amount);
int64_t jd_token_even_amount (int64_t rich, int64_t rich_capacity, int64_t poor,
                              int64_t poor_capacity);
jd_token_ask_t jd_token_exchange_open (jd_token_exchange_t *exchange, uint32_t peer,
                                       int64_t amount, int64_t held, uint64_t nonce,
                                       int64_t now_us);
void jd_token_exchange_note_level (jd_token_exchange_t *exchange, int32_t peer,
                                   int64_t level, int64_t now_us);
bool jd_token_exchange_accept (jd_token_exchange_t *exchange, int32_t peer,
                               const jd_token_grant_t *grant, int64_t now_us);
int64_t jd_token_exchange_next_overdue_us (const jd_token_exchange_t *exchange);
