#include "limits/rate_limiter.h"

#include "base/clock.h"
#include "support/test_main.h"

typedef struct fixture
{
  jd_rate_limiter_t *limiter;
  jd_philox_t philox;
  jd_token_request_t token_request;
  jd_token_grant_t grant;
  uint32_t token_requests;
  uint32_t grants;
  uint32_t admitted;
  uint32_t refused;
  uint64_t last_admitted;
} fixture_t;

static void
on_send_token_request (void *context, const char *peer,
                       const jd_token_request_t *token_request)
{
  fixture_t *fixture = context;
  fixture->token_request = *token_request;
  fixture->token_requests++;
}

static void
on_send_grant (void *context, const char *peer, const jd_token_grant_t *grant)
{
  fixture_t *fixture = context;
  fixture->grant = *grant;
  fixture->grants++;
}

static void
on_decided (void *context, uint64_t request_id, bool admitted, int64_t decided_at_us)
{
  fixture_t *fixture = context;
  fixture->admitted += admitted;
  fixture->refused += !admitted;
  if (admitted)
    fixture->last_admitted = request_id;
}

/* Starts a limiter with two organisations of 120 tokens/s and a burst of 12, one peer,
 * and all 12 shares. It has run until 1 s and its buckets are full. */
static void
start_limiter (fixture_t *fixture)
{
  *fixture = (fixture_t){ .philox = { .seed = 1 } };
  jd_rate_settings_t settings = jd_rate_settings_default ();
  jd_rate_actions_t actions = { on_send_token_request, on_send_grant, on_decided,
                                fixture };
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

/* Requests count admissions at now_us. Returns how many are admitted without waiting. */
static uint32_t
request_admissions (fixture_t *fixture, const char *organisation, int64_t now_us,
                    uint32_t count)
{
  uint32_t admitted = 0;
  for (uint32_t i = 1; i <= count; i++)
    admitted += jd_rate_limiter_request (fixture->limiter, now_us, i, organisation,
                                         now_us + JD_US_PER_S) == JD_ADMISSION_ADMITTED;
  return admitted;
}

/* Guards against an organisation whose flood of requests delays another one, against an
 * unbounded queue, and against requests that wait longer than the admission wait. */
static void
flood_does_not_delay_other_organisations (void)
{
  fixture_t fixture;
  start_limiter (&fixture);
  CU_ASSERT_EQUAL (request_admissions (&fixture, "a", JD_US_PER_S, 1000), 12);
  CU_ASSERT_EQUAL (request_admissions (&fixture, "b", JD_US_PER_S, 12), 12);
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

/* Guards against crediting a grant that is a duplicate, that is late, that has the nonce
 * of another request, or that comes from another peer. */
static void
grant_is_credited_once_and_in_time (void)
{
  fixture_t fixture;
  start_limiter (&fixture);
  request_admissions (&fixture, "a", JD_US_PER_S, 14);
  CU_ASSERT_EQUAL (fixture.token_requests, 1);
  jd_token_grant_t grant = { .organisation = "a",
                             .nonce = fixture.token_request.nonce,
                             .amount_microtokens = JD_MICROTOKENS,
                             .echoed_sent_at_us = fixture.token_request.sent_at_us };
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
  request_admissions (&fixture, "b", JD_US_PER_S + 30000, 14);
  grant.nonce = fixture.token_request.nonce;
  grant.echoed_sent_at_us = fixture.token_request.sent_at_us;
  grant.organisation[0] = 'b';
  jd_rate_limiter_on_token_grant (fixture.limiter, "peer", &grant);
  jd_rate_limiter_tick (fixture.limiter, JD_US_PER_S + 70000);
  jd_rate_status_t status;
  CU_ASSERT (jd_rate_limiter_status (fixture.limiter, JD_US_PER_S + 70000, 1, &status));
  CU_ASSERT_EQUAL (status.totals.received, 0);
  jd_rate_limiter_free (fixture.limiter);
}

/* Guards against tokens that are spent or granted after the end of the lease or the
 * removal of an organisation, and against state that is freed while granted tokens are in
 * flight. */
static void
lease_end_discards_tokens (void)
{
  fixture_t fixture;
  start_limiter (&fixture);
  const jd_token_request_t token_request = { "a", 7, 5 * JD_MICROTOKENS, 123, 0 };
  jd_rate_limiter_on_token_request (fixture.limiter, "peer", &token_request);
  CU_ASSERT_EQUAL (fixture.grants, 0);
  jd_rate_limiter_tick (fixture.limiter, JD_US_PER_S);
  CU_ASSERT_EQUAL (fixture.grant.amount_microtokens, 5 * JD_MICROTOKENS);
  CU_ASSERT_EQUAL (fixture.grant.nonce, 7);
  CU_ASSERT_EQUAL (fixture.grant.echoed_sent_at_us, 123);
  CU_ASSERT (jd_rate_limiter_release_at_us (fixture.limiter) > JD_US_PER_S + 40000);
  jd_rate_limiter_set_organisations (fixture.limiter, JD_US_PER_S, NULL, 0);
  CU_ASSERT_EQUAL (request_admissions (&fixture, "a", JD_US_PER_S, 1), 0);
  CU_ASSERT (jd_rate_limiter_release_at_us (fixture.limiter) > JD_US_PER_S + 40000);
  jd_rate_limiter_on_token_request (fixture.limiter, "peer", &token_request);
  jd_rate_limiter_tick (fixture.limiter, 2 * JD_US_PER_S + 1);
  CU_ASSERT_EQUAL (fixture.grant.amount_microtokens, 0);
  CU_ASSERT_EQUAL (jd_rate_limiter_release_at_us (fixture.limiter), INT64_MIN);
  CU_ASSERT_EQUAL (request_admissions (&fixture, "a", 2 * JD_US_PER_S, 1), 0);
  jd_rate_limiter_free (fixture.limiter);
}

/* Guards against a clock reading made before the receipt of a message (rate_limiter.h).
 * The peer spends all its tokens at one time. A process that read its clock then, and was
 * paused, receives a grant of tokens generated later. Only a new reading shows that the
 * grant is late. */
static void
clock_is_read_after_receipt (void)
{
  for (int fresh = 0; fresh < 2; fresh++)
    {
      const int64_t read_us = JD_US_PER_S;
      const int64_t later_us = read_us + 500000;
      fixture_t peer;
      fixture_t paused;
      start_limiter (&peer);
      start_limiter (&paused);
      jd_rate_limiter_set_shares (paused.limiter, read_us, 0, read_us);
      CU_ASSERT_EQUAL (request_admissions (&peer, "a", read_us, 12), 12);
      request_admissions (&paused, "a", read_us, 12);
      jd_rate_limiter_on_token_request (peer.limiter, "p", &paused.token_request);
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
    { "flood does not delay other organisations",
      flood_does_not_delay_other_organisations },
    { "grant is credited once and in time", grant_is_credited_once_and_in_time },
    { "lease end discards tokens", lease_end_discards_tokens },
    { "clock is read after receipt", clock_is_read_after_receipt },
  };
  return JD_TEST_RUN ("rate_limiter", cases);
}
