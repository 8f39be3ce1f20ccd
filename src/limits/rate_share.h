#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "limits/token_parcels.h"

/* Rate and burst of one share of an organisation, in microtokens per second and
 * microtokens. */
typedef struct jd_share_rate
{
  int64_t rate_per_s;
  int64_t burst;
} jd_share_rate_t;

/* Cumulative token flows of one organisation in one process, in microtokens. */
typedef struct jd_token_totals
{
  int64_t generated;
  int64_t received;
  int64_t spent;
  int64_t granted;
  int64_t discarded;
} jd_token_totals_t;

/* Tokens of one organisation in one process. Tokens are generated for the owned shares.
 * Own tokens plus granted tokens that may still be in flight never exceed the owned
 * shares' part of the burst. Received tokens count towards the capacity of their sender
 * until they expire, so until then they do not count towards the capacity here. */
typedef struct jd_rate_share
{
  jd_share_rate_t current;   /* The rate that applies now. */
  jd_share_rate_t published; /* The published rate; applies from raise_at_us. */
  int64_t raise_at_us;
  uint32_t owned_shares;
  int64_t held; /* Own tokens, in microtokens. */
  int64_t
      remainder; /* Remainder of the last generation, in millionths of a microtoken. */
  int64_t advanced_at_us;
  jd_token_transfers_t sent;     /* Granted; the receiver may still credit them. */
  jd_token_transfers_t received; /* Credited and not yet expired. */
  jd_token_totals_t totals;
} jd_rate_share_t;

jd_share_rate_t jd_share_rate_of (double rate_per_s, double burst, double zone_weight,
                                  uint32_t shares_per_zone);
void jd_rate_share_init (jd_rate_share_t *share, int64_t now_us, jd_share_rate_t rate);
void jd_rate_share_set_rate (jd_rate_share_t *share, int64_t now_us,
                             jd_share_rate_t published, int64_t raise_delay_us);
void jd_rate_share_set_owned (jd_rate_share_t *share, int64_t now_us,
                              uint32_t owned_shares);
void jd_rate_share_advance (jd_rate_share_t *share, int64_t now_us);
int64_t jd_rate_share_capacity (const jd_rate_share_t *share);
int64_t jd_rate_share_available (const jd_rate_share_t *share);
int64_t jd_rate_share_generation (const jd_rate_share_t *share);
bool jd_rate_share_spend (jd_rate_share_t *share, int64_t amount);
int64_t jd_rate_share_grant (jd_rate_share_t *share, int64_t amount, int64_t ttl_us);
bool jd_rate_share_credit (jd_rate_share_t *share, int64_t amount, int64_t expires_at_us);
void jd_rate_share_check (const jd_rate_share_t *share);
