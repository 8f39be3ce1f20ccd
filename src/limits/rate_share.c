#include "limits/rate_share.h"

#include <math.h>

#include "base/clock.h"
#include "base/invariant.h"
#include "limits/token_defs.h"

/* Generation is slower than published by this much, because the clock of a process may
 * run fast by up to 300 ppm. */
#define GENERATION_SLOWDOWN_PPM 500

/* The sender counts granted tokens 1/512 longer than the lifetime, because two clocks
 * may differ by 600 ppm. */
#define SENT_EXTRA_DIVISOR 512

/* The time until which a grant counts is rounded up to this part of the lifetime, so
 * that grants share parcels and their list cannot overflow. */
#define SENT_STEP_DIVISOR 32

/* Returns the smaller of two numbers. */
static int64_t
smaller (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

/* Returns the rate and burst of one share, rounded down. */
jd_share_rate_t
jd_share_rate_of (double rate_per_s, double burst, double zone_weight,
                  uint32_t shares_per_zone)
{
  double part = zone_weight / (shares_per_zone ? shares_per_zone : 1);
  return (jd_share_rate_t){
    .rate_per_s = (int64_t)floor (rate_per_s * part * (double)JD_MICROTOKENS),
    .burst = (int64_t)floor (burst * part * (double)JD_MICROTOKENS),
  };
}

/* Returns the owned shares' part of the burst. */
int64_t
jd_rate_share_capacity (const jd_rate_share_t *share)
{
  return share->current.burst * share->owned_shares;
}

/* Returns what may be spent now. */
int64_t
jd_rate_share_available (const jd_rate_share_t *share)
{
  return share->held + share->received.total_microtokens;
}

/* Returns the generation in microtokens per second. */
int64_t
jd_rate_share_generation (const jd_rate_share_t *share)
{
  int64_t rate = share->current.rate_per_s * share->owned_shares;
  return rate - (rate / (JD_US_PER_S / GENERATION_SLOWDOWN_PPM) + (rate > 0));
}

/* Returns how many more own tokens fit. */
static int64_t
room (const jd_rate_share_t *share)
{
  int64_t left = jd_rate_share_capacity (share) - share->sent.total_microtokens;
  return left > share->held ? left - share->held : 0;
}

/* Discards own tokens that no longer fit. */
static void
trim (jd_rate_share_t *share)
{
  int64_t left = jd_rate_share_capacity (share) - share->sent.total_microtokens;
  if (left < 0)
    left = 0;
  if (share->held > left)
    {
      share->totals.discarded += share->held - left;
      share->held = left;
      share->remainder = 0;
    }
}

/* Generates tokens up to a time at which nothing else changes. */
static void
generate_until (jd_rate_share_t *share, int64_t until_us)
{
  int64_t elapsed_us = until_us - share->advanced_at_us;
  if (elapsed_us <= 0)
    return;
  share->advanced_at_us = until_us;
  __int128 exact =
      (__int128)jd_rate_share_generation (share) * elapsed_us + share->remainder;
  int64_t free_room = room (share);
  if (exact / JD_US_PER_S >= free_room)
    {
      share->held += free_room;
      share->totals.generated += free_room;
      share->remainder = 0;
      return;
    }
  int64_t amount = (int64_t)(exact / JD_US_PER_S);
  share->held += amount;
  share->totals.generated += amount;
  share->remainder = (int64_t)(exact % JD_US_PER_S);
}

/* Turns the earliest received parcel into own tokens as far as they fit; its sender
 * stops counting it from now on. */
static void
settle_received (jd_rate_share_t *share)
{
  int64_t amount = jd_token_parcels_pop (&share->received);
  int64_t kept = smaller (amount, room (share));
  share->held += kept;
  share->totals.discarded += amount - kept;
}

/* Moves to now_us. Expiries in between are applied in order of time: generation that
 * was blocked by a grant in flight must not be made up for afterwards. */
void
jd_rate_share_advance (jd_rate_share_t *share, int64_t now_us)
{
  for (;;)
    {
      int64_t sent_us = jd_token_parcels_first_expiry_us (&share->sent);
      int64_t received_us = jd_token_parcels_first_expiry_us (&share->received);
      int64_t next_us = smaller (smaller (sent_us, received_us), share->raise_at_us);
      if (next_us > now_us)
        break;
      generate_until (share, next_us);
      if (next_us == received_us)
        settle_received (share);
      else if (next_us == sent_us)
        jd_token_parcels_pop (&share->sent);
      else
        {
          share->current = share->wanted;
          share->raise_at_us = INT64_MAX;
        }
    }
  generate_until (share, now_us);
  jd_rate_share_check (share);
}

/* Prepares the state of an organisation that was not known before; its rate is in force
 * at once, and there are no tokens. */
void
jd_rate_share_init (jd_rate_share_t *share, int64_t now_us, jd_share_rate_t rate)
{
  *share = (jd_rate_share_t){
    .current = rate, .wanted = rate, .raise_at_us = INT64_MAX, .advanced_at_us = now_us
  };
}

/* Publishes another rate and burst. A reduction is in force at once, a raise only after
 * raise_delay_us: when zone weights change, the zones that lose must know it before
 * those that gain use it. */
void
jd_rate_share_set_rate (jd_rate_share_t *share, int64_t now_us, jd_share_rate_t wanted,
                        int64_t raise_delay_us)
{
  jd_rate_share_advance (share, now_us);
  if (share->wanted.rate_per_s == wanted.rate_per_s &&
      share->wanted.burst == wanted.burst)
    return;
  share->wanted = wanted;
  share->current.rate_per_s = smaller (share->current.rate_per_s, wanted.rate_per_s);
  share->current.burst = smaller (share->current.burst, wanted.burst);
  bool raised = share->current.rate_per_s < wanted.rate_per_s ||
                share->current.burst < wanted.burst;
  share->raise_at_us = raised ? now_us + raise_delay_us : INT64_MAX;
  trim (share);
  jd_rate_share_advance (share, now_us);
}

/* Sets the number of owned shares; tokens beyond the remaining part are discarded. */
void
jd_rate_share_set_owned (jd_rate_share_t *share, int64_t now_us, uint32_t owned_shares)
{
  jd_rate_share_advance (share, now_us);
  share->owned_shares = owned_shares;
  trim (share);
  jd_rate_share_check (share);
}

/* Spends tokens, received ones first because they expire. Returns false and changes
 * nothing when there are too few. */
bool
jd_rate_share_spend (jd_rate_share_t *share, int64_t amount)
{
  if (jd_rate_share_available (share) < amount)
    return false;
  int64_t rest = amount - jd_token_parcels_take (&share->received, amount);
  share->held -= rest;
  share->totals.spent += amount;
  jd_rate_share_check (share);
  return true;
}

/* Takes up to an amount of own tokens for a peer and returns it. Received tokens are
 * not passed on: their first sender counts them for one lifetime only. The clock
 * reading of the last advance must be later than the receipt of the ask. */
int64_t
jd_rate_share_grant (jd_rate_share_t *share, int64_t amount, int64_t lifetime_us)
{
  int64_t given = smaller (amount, share->held);
  if (given <= 0)
    return 0;
  int64_t step_us = lifetime_us / SENT_STEP_DIVISOR + 1;
  int64_t least_us =
      share->advanced_at_us + lifetime_us + lifetime_us / SENT_EXTRA_DIVISOR + 1;
  int64_t expires_at_us = (least_us / step_us + 1) * step_us;
  if (!jd_token_parcels_add (&share->sent, given, expires_at_us))
    return 0;
  share->held -= given;
  share->totals.granted += given;
  jd_rate_share_check (share);
  return given;
}

/* Credits granted tokens, usable at once. expires_at_us is the time of the ask plus the
 * lifetime; what is left then becomes own tokens as far as they fit. Returns false when
 * the tokens cannot be credited any more. */
bool
jd_rate_share_credit (jd_rate_share_t *share, int64_t amount, int64_t expires_at_us)
{
  if (amount <= 0 || expires_at_us <= share->advanced_at_us ||
      !jd_token_parcels_add (&share->received, amount, expires_at_us))
    return false;
  share->totals.received += amount;
  jd_rate_share_check (share);
  return true;
}

/* Asserts that no token was created or lost by a calculation, and that own tokens and
 * grants in flight are within the owned part of the burst. Grants made before a share
 * was lost or a burst reduced may exceed it alone; then no own token is left. */
void
jd_rate_share_check (const jd_rate_share_t *share)
{
  const jd_token_totals_t *totals = &share->totals;
  JD_INVARIANT (rate_limit, share->held >= 0);
  JD_INVARIANT (rate_limit, totals->generated + totals->received ==
                                jd_rate_share_available (share) + totals->spent +
                                    totals->granted + totals->discarded);
  JD_INVARIANT (rate_limit,
                share->held == 0 || share->held + share->sent.total_microtokens <=
                                        jd_rate_share_capacity (share));
}
