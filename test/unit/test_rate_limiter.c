#include "limits/rate_limiter.h"

#include "base/clock.h"
#include "support/test_main.h"

typedef struct fixture
{
  jd_rate_limiter_t *limiter;
  jd_philox_t philox;
  jd_token_ask_t ask;
  jd_token_grant_t grant;
  uint32_t asks;
  uint32_t grants;
  uint32_t admitted;
  uint32_t refused;
  uint64_t last_admitted;
} fixture_t;

/* Callback of the limiter. */
static void
note_ask (void *context, const char *peer, const jd_token_ask_t *ask)
{
  fixture_t *fixture = context;
  fixture->ask = *ask;
  fixture->asks++;
}

/* Callback of the limiter. */
static void
note_grant (void *context, const char *peer, const jd_token_grant_t *grant)
{
  fixture_t *fixture = context;
  fixture->grant = *grant;
  fixture->grants++;
}

/* Callback of the limiter. */
static void
note_decision (void *context, uint64_t request_id, bool admitted, int64_t decided_at_us)
{
  fixture_t *fixture = context;
  fixture->admitted += admitted;
  fixture->refused += !admitted;
  if (admitted)
    fixture->last_admitted = request_id;
}

/* Starts a limiter with two organisations of 120 tokens/s and a burst of 12, one peer
 * and all 12 shares, at the time 1 s, when it is full. */
static void
start (fixture_t *fixture)
{
  *fixture = (fixture_t){ .philox = { .seed = 1 } };
  jd_rate_settings_t settings = jd_rate_settings_default ();
  jd_rate_actions_t actions = { note_ask, note_grant, note_decision, fixture };
  fixture->limiter =
      jd_rate_limiter_new (&settings, &actions, jd_philox_rng (&fixture->philox));
  jd_share_rate_t share = jd_share_rate_of (120, 12, 1, 12);
  const jd_organisation_rate_t rates[] = { { "a", share }, { "b", share } };
  const jd_token_peer_t peer = { .name = "peer", .same_zone = true, .owned_shares = 12 };
  jd_rate_limiter_set_organisations (fixture->limiter, 0, rates, 2);
  jd_rate_limiter_set_peers (fixture->limiter, 0, &peer, 1);
  jd_rate_limiter_set_shares (fixture->limiter, 0, 12, 2 * JD_US_PER_S);
  jd_rate_limiter_tick (fixture->limiter, JD_US_PER_S);
}

/* Requests a number of admissions at one time. Returns how many were admitted at once. */
static uint32_t
request (fixture_t *fixture, const char *organisation, int64_t now_us, uint32_t count)
{
  uint32_t admitted = 0;
  for (uint32_t i = 1; i <= count; i++)
    admitted += jd_rate_limiter_request (fixture->limiter, now_us, i, organisation,
                                         now_us + JD_US_PER_S) == JD_ADMISSION_ADMITTED;
  return admitted;
}

/* Guards against an organisation that floods and delays another, against an unbounded
 * queue, and against requests that wait longer than the admission wait. */
static void
flood_stays_with_its_organisation (void)
{
  fixture_t fixture;
  start (&fixture);
  CU_ASSERT_EQUAL (request (&fixture, "a", JD_US_PER_S, 1000), 12);
  CU_ASSERT_EQUAL (request (&fixture, "b", JD_US_PER_S, 12), 12);
  jd_rate_status_t status;
  CU_ASSERT (jd_rate_limiter_status (fixture.limiter, JD_US_PER_S, 0, &status));
  CU_ASSERT_EQUAL (status.waiting, 256);
  CU_ASSERT_EQUAL (status.refused, 1000 - 12 - 256);
  CU_ASSERT (jd_rate_limiter_next_wakeup_us (fixture.limiter) <= JD_US_PER_S + 20000);
  jd_rate_limiter_tick (fixture.limiter, JD_US_PER_S + 10000);
  CU_ASSERT_EQUAL (fixture.last_admitted, 13);
  CU_ASSERT (jd_rate_limiter_cancel (fixture.limiter, 14, "a"));
  jd_rate_limiter_tick (fixture.limiter, JD_US_PER_S + 20000);
  CU_ASSERT_EQUAL (fixture.admitted + fixture.refused, 255);
  CU_ASSERT_EQUAL (jd_rate_limiter_next_wakeup_us (fixture.limiter), INT64_MAX);
  jd_rate_limiter_free (fixture.limiter);
}

/* Guards against crediting a grant twice, late, for another ask, or from another peer. */
static void
grant_is_credited_once_and_in_time (void)
{
  fixture_t fixture;
  start (&fixture);
  request (&fixture, "a", JD_US_PER_S, 14);
  CU_ASSERT_EQUAL (fixture.asks, 1);
  jd_token_grant_t grant = { .organisation = "a",
                             .nonce = fixture.ask.nonce,
                             .amount_microtokens = JD_MICROTOKENS,
                             .echoed_asked_at_us = fixture.ask.asked_at_us };
  jd_token_grant_t other = grant;
  other.nonce++;
  jd_rate_limiter_on_token_grant (fixture.limiter, "peer", &other);
  jd_rate_limiter_on_token_grant (fixture.limiter, "stranger", &grant);
  jd_rate_limiter_tick (fixture.limiter, JD_US_PER_S);
  CU_ASSERT_EQUAL (fixture.admitted, 0);
  for (int i = 0; i < 2; i++)
    jd_rate_limiter_on_token_grant (fixture.limiter, "peer", &grant);
  jd_rate_limiter_tick (fixture.limiter, JD_US_PER_S);
  CU_ASSERT_EQUAL (fixture.admitted, 1);
  jd_rate_limiter_tick (fixture.limiter, JD_US_PER_S + 30000);
  request (&fixture, "b", JD_US_PER_S + 30000, 14);
  grant.nonce = fixture.ask.nonce;
  grant.echoed_asked_at_us = fixture.ask.asked_at_us;
  grant.organisation[0] = 'b';
  jd_rate_limiter_on_token_grant (fixture.limiter, "peer", &grant);
  jd_rate_limiter_tick (fixture.limiter, JD_US_PER_S + 70000);
  jd_rate_status_t status;
  CU_ASSERT (jd_rate_limiter_status (fixture.limiter, JD_US_PER_S + 70000, 1, &status));
  CU_ASSERT_EQUAL (status.totals.received, 0);
  jd_rate_limiter_free (fixture.limiter);
}

/* Guards against tokens that are used or given after the lease or the withdrawal of an
 * organisation, and against forgetting granted tokens that are in flight. */
static void
lease_end_discards_tokens (void)
{
  fixture_t fixture;
  start (&fixture);
  const jd_token_ask_t ask = { "a", 7, 5 * JD_MICROTOKENS, 123, 0 };
  jd_rate_limiter_on_token_ask (fixture.limiter, "peer", &ask);
  CU_ASSERT_EQUAL (fixture.grants, 0);
  jd_rate_limiter_tick (fixture.limiter, JD_US_PER_S);
  CU_ASSERT_EQUAL (fixture.grant.amount_microtokens, 5 * JD_MICROTOKENS);
  CU_ASSERT_EQUAL (fixture.grant.nonce, 7);
  CU_ASSERT_EQUAL (fixture.grant.echoed_asked_at_us, 123);
  CU_ASSERT (jd_rate_limiter_release_at_us (fixture.limiter) > JD_US_PER_S + 40000);
  jd_rate_limiter_set_organisations (fixture.limiter, JD_US_PER_S, NULL, 0);
  CU_ASSERT_EQUAL (request (&fixture, "a", JD_US_PER_S, 1), 0);
  CU_ASSERT (jd_rate_limiter_release_at_us (fixture.limiter) > JD_US_PER_S + 40000);
  jd_rate_limiter_on_token_ask (fixture.limiter, "peer", &ask);
  jd_rate_limiter_tick (fixture.limiter, 2 * JD_US_PER_S + 1);
  CU_ASSERT_EQUAL (fixture.grant.amount_microtokens, 0);
  CU_ASSERT_EQUAL (jd_rate_limiter_release_at_us (fixture.limiter), INT64_MIN);
  CU_ASSERT_EQUAL (request (&fixture, "a", 2 * JD_US_PER_S, 1), 0);
  jd_rate_limiter_free (fixture.limiter);
}

/* Guards against the wrong order of receipt and clock reading (rate_limiter.h). The peer
 * spends all at one time; a process that read its clock then, and paused, gets a grant of
 * later tokens. Only with a new reading is that grant late. */
static void
clock_is_read_after_receipt (void)
{
  for (int fresh = 0; fresh < 2; fresh++)
    {
      const int64_t read_us = JD_US_PER_S;
      const int64_t later_us = read_us + 500000;
      fixture_t peer;
      fixture_t paused;
      start (&peer);
      start (&paused);
      jd_rate_limiter_set_shares (paused.limiter, read_us, 0, read_us);
      CU_ASSERT_EQUAL (request (&peer, "a", read_us, 12), 12);
      request (&paused, "a", read_us, 12);
      jd_rate_limiter_on_token_ask (peer.limiter, "p", &paused.ask);
      jd_rate_limiter_tick (peer.limiter, later_us);
      CU_ASSERT (peer.grant.amount_microtokens >= JD_MICROTOKENS);
      jd_rate_limiter_on_token_grant (paused.limiter, "peer", &peer.grant);
      jd_rate_limiter_tick (paused.limiter, fresh ? later_us : read_us);
      CU_ASSERT_EQUAL (paused.admitted == 0, fresh);
      jd_rate_limiter_free (peer.limiter);
      jd_rate_limiter_free (paused.limiter);
    }
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "flood stays with its organisation", flood_stays_with_its_organisation },
    { "grant is credited once and in time", grant_is_credited_once_and_in_time },
    { "lease end discards tokens", lease_end_discards_tokens },
    { "clock is read after receipt", clock_is_read_after_receipt },
  };
  return JD_TEST_RUN ("rate_limiter", cases);
}
