#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/rng.h"
#include "limits/rate_settings.h"
#include "limits/rate_share.h"
#include "limits/token_defs.h"
#include "limits/token_peer.h"

#define JD_OPEN_TOKEN_REQUESTS_MAX 32

/* Last known token state of one organisation at a peer. */
typedef struct jd_peer_view
{
  int64_t capacity;   /* Estimated, microtokens. */
  int64_t generation; /* Estimated, microtokens per second. */
  int64_t last_known_microtokens;
  int64_t last_known_at_us;
  int64_t blocked_until_us;      /* No token requests before this time. */
  int64_t backoff_us;            /* Last backoff after a reply without tokens. */
  int64_t no_rebalance_until_us; /* No rebalancing requests before this time. */
  int64_t rebalance_backoff_us;  /* Last backoff after less than half was granted. */
  bool has_open_request;         /* A token request is open and not overdue. */
} jd_peer_view_t;

/* A sent token request whose grant may still be credited. */
typedef struct jd_open_token_request
{
  uint64_t nonce;
  uint32_t peer;
  bool is_overdue;
  bool has_waiting_requests; /* Sent for waiting requests, not to rebalance. */
  int64_t amount_microtokens;
  int64_t sent_at_us;
} jd_open_token_request_t;

/* Token requests of one organisation in one process. */
typedef struct jd_token_exchange
{
  const jd_rate_settings_t *settings;
  jd_peer_view_t *views; /* One per peer. */
  uint32_t peer_count;
  jd_open_token_request_t open[JD_OPEN_TOKEN_REQUESTS_MAX];
  uint32_t open_count;
  int64_t pending_microtokens;  /* Requested and not overdue. */
  int64_t mean_capacity;        /* Per entry of a zone, microtokens. */
  int64_t budget_microrequests; /* Budget, in millionths of a token request. */
  int64_t budget_at_us;
  uint64_t requests_sent;
  uint64_t grants_dropped; /* Late, duplicate or unrequested grants. */
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
                                      uint32_t requesting_organisations);
int32_t jd_token_exchange_choose (const jd_token_exchange_t *exchange,
                                  const jd_token_peers_t *peers, int64_t now_us,
                                  int64_t wanted, int64_t *amount);
int32_t jd_token_exchange_choose_rebalance (const jd_token_exchange_t *exchange,
                                            int64_t now_us, int64_t held,
                                            int64_t capacity, int64_t *amount);
int64_t jd_token_rebalance_amount (int64_t donor, int64_t donor_capacity,
                                   int64_t receiver, int64_t receiver_capacity);
jd_token_request_t jd_token_exchange_open (jd_token_exchange_t *exchange, uint32_t peer,
                                           int64_t amount, int64_t held, uint64_t nonce,
                                           int64_t now_us);
void jd_token_exchange_update_level (jd_token_exchange_t *exchange, int32_t peer,
                                     int64_t level, int64_t now_us);
bool jd_token_exchange_accept (jd_token_exchange_t *exchange, int32_t peer,
                               const jd_token_grant_t *grant, int64_t now_us);
int64_t jd_token_exchange_next_overdue_us (const jd_token_exchange_t *exchange);
