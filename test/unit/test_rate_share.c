#include "limits/rate_share.h"

#include "base/clock.h"
#include "limits/rate_settings.h"
#include "limits/token_defs.h"
#include "support/test_main.h"

#define TTL_US 40000

/* Returns one owned share of 100 tokens/s and a burst of 10, with a full bucket. */
static jd_rate_share_t
full_share (void)
{
  jd_rate_share_t share;
  jd_rate_share_init (&share, 0, jd_share_rate_of (100, 10, 1, 1));
  jd_rate_share_set_owned (&share, 0, 1);
  jd_rate_share_advance (&share, JD_US_PER_S);
  return share;
}

/* Guards against a process that starts with tokens, against tokens created by a fast
 * clock, and against an overflow after a long time without calls. */
static void
generates_slower_than_published (void)
{
  jd_rate_share_t share;
  jd_rate_share_init (&share, 0, jd_share_rate_of (1e6, 1e6, 1, 1));
  jd_rate_share_set_owned (&share, 0, 1);
  CU_ASSERT_EQUAL (jd_rate_share_available (&share), 0);
  jd_rate_share_advance (&share, 999700); /* 1 s less 300 ppm. */
  CU_ASSERT (share.held < 999700 * JD_MICROTOKENS);
  CU_ASSERT (share.held > 999000 * JD_MICROTOKENS);
  jd_rate_share_advance (&share, INT64_MAX / 2);
  CU_ASSERT_EQUAL (share.held, 1000000 * JD_MICROTOKENS);
}

/* Guards against making up for generation that a grant in flight has blocked: tokens
 * could then be spent twice within one window. */
static void
grant_in_flight_blocks_generation (void)
{
  jd_rate_share_t share = full_share ();
  CU_ASSERT_EQUAL (jd_rate_share_grant (&share, 6 * JD_MICROTOKENS, TTL_US),
                   6 * JD_MICROTOKENS);
  int64_t expiry_us = jd_token_transfers_first_expiry_us (&share.sent);
  CU_ASSERT (expiry_us >= JD_US_PER_S + TTL_US + TTL_US * 6 / 10000);
  jd_rate_share_advance (&share, expiry_us + 10000);
  CU_ASSERT (share.held > 4 * JD_MICROTOKENS);
  CU_ASSERT (share.held <= 5 * JD_MICROTOKENS);
}

/* Guards against received tokens that are still valid when their sender no longer counts
 * them, and against granting received tokens to another peer. */
static void
received_tokens_expire (void)
{
  jd_rate_share_t share = full_share ();
  CU_ASSERT (jd_rate_share_spend (&share, 2 * JD_MICROTOKENS));
  int64_t now_us = share.advanced_at_us;
  CU_ASSERT_FALSE (jd_rate_share_credit (&share, JD_MICROTOKENS, now_us));
  CU_ASSERT (jd_rate_share_credit (&share, 5 * JD_MICROTOKENS, now_us + 1));
  CU_ASSERT_EQUAL (jd_rate_share_available (&share), 13 * JD_MICROTOKENS);
  CU_ASSERT_EQUAL (jd_rate_share_grant (&share, 9 * JD_MICROTOKENS, TTL_US),
                   8 * JD_MICROTOKENS);
  jd_rate_share_advance (&share, now_us + 1);
  CU_ASSERT_EQUAL (jd_rate_share_available (&share), 2 * JD_MICROTOKENS);
}

/* Guards against a raise that applies before other zones have their reduction, and
 * against a reduction or a lost share that leaves tokens above the new capacity. */
static void
raises_are_delayed_and_reductions_apply_at_once (void)
{
  jd_rate_share_t share = full_share ();
  int64_t now_us = share.advanced_at_us;
  jd_rate_share_set_rate (&share, now_us, jd_share_rate_of (300, 30, 1, 1), 5000000);
  jd_rate_share_advance (&share, now_us + 4999999);
  CU_ASSERT_EQUAL (share.held, 10 * JD_MICROTOKENS);
  jd_rate_share_advance (&share, now_us + 6000000);
  CU_ASSERT_EQUAL (share.held, 30 * JD_MICROTOKENS);
  jd_rate_share_set_rate (&share, now_us, jd_share_rate_of (10, 3, 1, 1), 5000000);
  CU_ASSERT_EQUAL (share.held, 3 * JD_MICROTOKENS);
  jd_rate_share_set_owned (&share, now_us, 0);
  CU_ASSERT_EQUAL (jd_rate_share_available (&share), 0);
}

/* Guards against settings with which granted tokens are valid longer than the takeover
 * gap. */
static void
settings_are_checked (void)
{
  jd_rate_settings_t settings = jd_rate_settings_default ();
  CU_ASSERT_PTR_NULL (jd_rate_settings_problem (&settings, 500000));
  settings.transfer_ttl_us = 400000;
  CU_ASSERT_PTR_NOT_NULL (jd_rate_settings_problem (&settings, 500000));
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "generates slower than published", generates_slower_than_published },
    { "grant in flight blocks generation", grant_in_flight_blocks_generation },
    { "received tokens expire", received_tokens_expire },
    { "raises are delayed and reductions apply at once",
      raises_are_delayed_and_reductions_apply_at_once },
    { "settings are checked", settings_are_checked },
  };
  return JD_TEST_RUN ("rate_share", cases);
}
