#include "limits/rate_share.h"

#include <math.h>

#include "base/clock.h"
#include "base/invariant.h"
#include "limits/token_defs.h"

/* Generation is slower than the published rate by this much, because the clock of a
 * process may run fast by up to 300 ppm. */
#define GENERATION_SLOWDOWN_PPM 500

/* The sender counts granted tokens for 1/512 longer than their TTL, because two clocks
 * may differ by 600 ppm. */
#define SENT_TTL_MARGIN_DIVISOR 512

/* The expiry of a grant at the sender is rounded up to a multiple of this part of the
 * TTL, so that grants with the same expiry share one entry and their list cannot
 * overflow. */
#define SENT_EXPIRY_STEP_DIVISOR 32

/* Returns the smaller of two numbers. */
static int64_t
smaller (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

/* Returns the rate and burst of one share of a zone with the given weight, rounded
 * down. */
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

/* Returns the owned shares' part of the burst, in microtokens. */
int64_t
jd_rate_share_capacity (const jd_rate_share_t *share)
{
  return share->current.burst * share->owned_shares;
}

/* Returns the microtokens that may be spent now. */
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

/* Returns how many microtokens may be added to the own tokens. */
static int64_t
remaining_capacity (const jd_rate_share_t *share)
{
  int64_t limit = jd_rate_share_capacity (share) - share->sent.total_microtokens;
  return limit > share->held ? limit - share->held : 0;
}

/* Discards own tokens that exceed the capacity. */
static void
discard_excess (jd_rate_share_t *share)
{
  int64_t limit = jd_rate_share_capacity (share) - share->sent.total_microtokens;
  if (limit < 0)
    limit = 0;
  if (share->held > limit)
    {
      share->totals.discarded += share->held - limit;
      share->held = limit;
      share->remainder = 0;
    }
}

/* Generates tokens for the time until until_us, in which no expiry or raise may lie. */
static void
generate_until (jd_rate_share_t *share, int64_t until_us)
{
  int64_t elapsed_us = until_us - share->advanced_at_us;
  if (elapsed_us <= 0)
    return;
  share->advanced_at_us = until_us;
  __int128 exact =
      (__int128)jd_rate_share_generation (share) * elapsed_us + share->remainder;
  int64_t free_capacity = remaining_capacity (share);
  if (exact / JD_US_PER_S >= free_capacity)
    {
      share->held += free_capacity;
      share->totals.generated += free_capacity;
      share->remainder = 0;
      return;
    }
  int64_t amount = (int64_t)(exact / JD_US_PER_S);
  share->held += amount;
  share->totals.generated += amount;
  share->remainder = (int64_t)(exact % JD_US_PER_S);
}

/* Converts the received transfer that expires first into own tokens, up to the capacity.
 * From now on its sender no longer counts it. */
static void
convert_received (jd_rate_share_t *share)
{
  int64_t amount = jd_token_transfers_pop (&share->received);
  int64_t kept = smaller (amount, remaining_capacity (share));
  share->held += kept;
  share->totals.discarded += amount - kept;
}

/* Applies generation, expiries and raises up to now_us. Expiries are applied in order of
 * time, because generation that was blocked by a grant in flight must not be made up for
 * afterwards. */
void
jd_rate_share_advance (jd_rate_share_t *share, int64_t now_us)
{
  for (;;)
    {
      int64_t sent_us = jd_token_transfers_first_expiry_us (&share->sent);
      int64_t received_us = jd_token_transfers_first_expiry_us (&share->received);
      int64_t next_us = smaller (smaller (sent_us, received_us), share->raise_at_us);
      if (next_us > now_us)
        break;
      generate_until (share, next_us);
      if (next_us == received_us)
        convert_received (share);
      else if (next_us == sent_us)
        jd_token_transfers_pop (&share->sent);
      else
        {
          share->current = share->published;
          share->raise_at_us = INT64_MAX;
        }
    }
  generate_until (share, now_us);
  jd_rate_share_check (share);
}

/* Initializes the state of a new organisation. Its rate applies at once, and it has
 * no tokens. */
void
jd_rate_share_init (jd_rate_share_t *share, int64_t now_us, jd_share_rate_t rate)
{
  *share = (jd_rate_share_t){
    .current = rate, .published = rate, .raise_at_us = INT64_MAX, .advanced_at_us = now_us
  };
}

/* Sets a new published rate and burst. A reduction applies at once, a raise only after
 * raise_delay_us: when zone weights change, the zones with a reduced weight must have it
 * before the zones with a raised weight use theirs. */
void
jd_rate_share_set_rate (jd_rate_share_t *share, int64_t now_us, jd_share_rate_t published,
                        int64_t raise_delay_us)
{
  jd_rate_share_advance (share, now_us);
  if (share->published.rate_per_s == published.rate_per_s &&
      share->published.burst == published.burst)
    return;
  share->published = published;
  share->current.rate_per_s = smaller (share->current.rate_per_s, published.rate_per_s);
  share->current.burst = smaller (share->current.burst, published.burst);
  bool raised = share->current.rate_per_s < published.rate_per_s ||
                share->current.burst < published.burst;
  share->raise_at_us = raised ? now_us + raise_delay_us : INT64_MAX;
  discard_excess (share);
  jd_rate_share_advance (share, now_us);
}

/* Sets the number of owned shares and discards tokens that exceed the new capacity. */
void
jd_rate_share_set_owned (jd_rate_share_t *share, int64_t now_us, uint32_t owned_shares)
{
  jd_rate_share_advance (share, now_us);
  share->owned_shares = owned_shares;
  discard_excess (share);
  jd_rate_share_check (share);
}

/* Spends amount microtokens, received ones first because they expire. Returns FALSE and
 * changes nothing if too few are available. */
bool
jd_rate_share_spend (jd_rate_share_t *share, int64_t amount)
{
  if (jd_rate_share_available (share) < amount)
    return false;
  int64_t rest = amount - jd_token_transfers_consume (&share->received, amount);
  share->held -= rest;
  share->totals.spent += amount;
  jd_rate_share_check (share);
  return true;
}

/* Grants up to amount own microtokens to a peer and returns the granted amount. Received
 * tokens are not passed on, because their first sender counts them for one TTL only. The
 * clock reading of the last advance must be later than the receipt of the token
 * request. */
int64_t
jd_rate_share_grant (jd_rate_share_t *share, int64_t amount, int64_t ttl_us)
{
  int64_t granted = smaller (amount, share->held);
  if (granted <= 0)
    return 0;
  int64_t step_us = ttl_us / SENT_EXPIRY_STEP_DIVISOR + 1;
  int64_t min_expires_at_us =
      share->advanced_at_us + ttl_us + ttl_us / SENT_TTL_MARGIN_DIVISOR + 1;
  int64_t expires_at_us = (min_expires_at_us / step_us + 1) * step_us;
  if (!jd_token_transfers_add (&share->sent, granted, expires_at_us))
    return 0;
  share->held -= granted;
  share->totals.granted += granted;
  jd_rate_share_check (share);
  return granted;
}

/* Credits granted tokens, which are usable at once. expires_at_us is the time at which
 * the token request was sent plus the TTL; tokens left then become own tokens up to the
 * capacity. Returns FALSE if the tokens can no longer be credited. */
bool
jd_rate_share_credit (jd_rate_share_t *share, int64_t amount, int64_t expires_at_us)
{
  if (amount <= 0 || expires_at_us <= share->advanced_at_us ||
      !jd_token_transfers_add (&share->received, amount, expires_at_us))
    return false;
  share->totals.received += amount;
  jd_rate_share_check (share);
  return true;
}

/* Asserts that no token was created or lost by a calculation, and that own tokens plus
 * grants in flight are within the owned part of the burst. Grants made before a share was
 * lost or the burst was reduced may exceed that part; then no own token is left. */
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
