#include "routing/fanout.h"

#include <string.h>

#include "base/clock.h"
#include "support/test_main.h"

#define NOW_US (50 * JD_US_PER_S)

typedef struct jd_fanout_fixture
{
  jd_replica_registry_t *registry;
  jd_route_table_t *table;
  jd_route_t *route;
  jd_fanout_t *fanout;
  uint32_t sent;
  bool is_sent; /* The running attempts left the host. */
  bool finished;
  jd_fanout_verdict_t verdict;
} jd_fanout_fixture_t;

static void
ignore_replica (void *context, jd_replica_t *replica)
{
}

static bool
count_send (void *context, uint32_t part, uint32_t number, jd_replica_t *replica)
{
  jd_fanout_fixture_t *fixture = context;
  fixture->sent++;
  return true;
}

static bool
is_sent (void *context)
{
  const jd_fanout_fixture_t *fixture = context;
  return fixture->is_sent;
}

static void
record_verdict (void *context, jd_fanout_verdict_t verdict)
{
  jd_fanout_fixture_t *fixture = context;
  fixture->finished = true;
  fixture->verdict = verdict;
}

/* Creates a route to one service with two targets and starts a request on it. */
static void
fixture_open (jd_fanout_fixture_t *fixture, bool idempotent)
{
  *fixture = (jd_fanout_fixture_t){ .is_sent = true };
  jd_replica_events_t events = { ignore_replica, ignore_replica, NULL };
  fixture->registry = jd_replica_registry_new ("a", &events);
  fixture->table = jd_route_table_new (1);
  fixture->route = jd_route_table_add_route (fixture->table, "edit", "h", "/");
  fixture->route->idempotent = idempotent;
  fixture->route->max_attempts = 2;
  fixture->route->objective_us = 500 * JD_US_PER_MS;
  const char *ids[] = { "x", "y" };
  for (int i = 0; i < 2; i++)
    {
      jd_replica_spec_t spec = { .id = ids[i], .service = "s", .zone = "a", .slots = 2 };
      jd_replica_registry_put (fixture->registry, &spec, NOW_US);
    }
  jd_replica_pool_t *pool = jd_replica_registry_pool (fixture->registry, "s");
  pool->host_budget.tokens = 5.0;
  jd_route_add_part (fixture->route, pool, 1.0);
  jd_route_table_finish (fixture->table, NULL);
  jd_fanout_request_t request = {
    .route = fixture->route,
    .parts = (jd_route_part_t *)(void *)fixture->route->parts->data,
    .part_count = 1,
    .deadline_us = NOW_US + 3 * JD_US_PER_S,
  };
  jd_fanout_actions_t actions = {
    .send = count_send, .is_sent = is_sent, .finish = record_verdict, .context = fixture
  };
  fixture->fanout = jd_fanout_new (&request, &actions, NOW_US);
  jd_fanout_start (fixture->fanout, NOW_US);
}

static void
fixture_close (jd_fanout_fixture_t *fixture)
{
  jd_fanout_free (fixture->fanout);
  jd_route_table_unref (fixture->table);
  jd_replica_registry_free (fixture->registry);
}

/* Guards against an edit that runs twice: an edit is never hedged, and it is not retried
 * after an attempt that may have run. */
static void
edit_that_may_have_run_is_not_retried (void)
{
  jd_fanout_fixture_t fixture;
  fixture_open (&fixture, false);
  jd_fanout_tick (fixture.fanout, NOW_US + 2 * JD_US_PER_S);
  CU_ASSERT_EQUAL (fixture.sent, 1);
  jd_fanout_end_attempt (fixture.fanout, 0, 0, JD_REPLICA_BROKEN, true,
                         NOW_US + 2 * JD_US_PER_S);
  CU_ASSERT_EQUAL (fixture.sent, 1);
  CU_ASSERT_TRUE (fixture.finished);
  CU_ASSERT_EQUAL (fixture.verdict, JD_FANOUT_FAILED);
  fixture_close (&fixture);
}

/* Guards against an edit that fails although its target did not run it, and against the
 * verdict JD_FANOUT_NOT_RUN if an attempt may have run. */
static void
refused_edit_is_sent_to_another_target (void)
{
  jd_fanout_fixture_t fixture;
  fixture_open (&fixture, false);
  jd_fanout_end_attempt (fixture.fanout, 0, 0, JD_REPLICA_SHED, false, NOW_US);
  CU_ASSERT_EQUAL (fixture.sent, 2);
  jd_fanout_end_attempt (fixture.fanout, 0, 1, JD_REPLICA_SHED, false, NOW_US);
  CU_ASSERT_EQUAL (fixture.verdict, JD_FANOUT_NOT_RUN);
  fixture_close (&fixture);
  fixture_open (&fixture, false);
  jd_fanout_end_attempt (fixture.fanout, 0, 0, JD_REPLICA_SHED, false, NOW_US);
  jd_fanout_end_attempt (fixture.fanout, 0, 1, JD_REPLICA_TIMED_OUT, true, NOW_US);
  CU_ASSERT_EQUAL (fixture.verdict, JD_FANOUT_FAILED);
  fixture_close (&fixture);
}

/* Guards against a read that waits for a stuck target, against attempts at more replicas
 * than the route allows, and against extra attempts beyond the budget. */
static void
slow_read_is_hedged_within_limits (void)
{
  jd_fanout_fixture_t fixture;
  fixture_open (&fixture, true);
  int64_t wake_us = jd_fanout_tick (fixture.fanout, NOW_US);
  CU_ASSERT_TRUE (wake_us < NOW_US + 250 * JD_US_PER_MS);
  jd_fanout_tick (fixture.fanout, wake_us);
  CU_ASSERT_EQUAL (fixture.sent, 2);
  jd_fanout_tick (fixture.fanout, NOW_US + JD_US_PER_S);
  CU_ASSERT_EQUAL (fixture.sent, 2);
  jd_fanout_end_attempt (fixture.fanout, 0, 1, JD_REPLICA_OK, true, NOW_US + JD_US_PER_S);
  CU_ASSERT_EQUAL (fixture.verdict, JD_FANOUT_COMPLETE);
  fixture_close (&fixture);
  fixture_open (&fixture, true);
  g_array_index (fixture.route->parts, jd_route_part_t, 0).pool->host_budget.tokens = 0.0;
  jd_fanout_tick (fixture.fanout, NOW_US + JD_US_PER_S);
  CU_ASSERT_EQUAL (fixture.sent, 1);
  jd_fanout_tick (fixture.fanout, NOW_US + 3 * JD_US_PER_S);
  CU_ASSERT_EQUAL (fixture.verdict, JD_FANOUT_TIMED_OUT);
  fixture_close (&fixture);
}

/* Guards against callers that wait although no target can get their request. */
static void
request_without_a_target_is_detected_at_once (void)
{
  jd_fanout_fixture_t fixture;
  fixture_open (&fixture, true);
  jd_replica_registry_set_zone_drained (fixture.registry, "a", true);
  CU_ASSERT_FALSE (jd_fanout_can_succeed (fixture.fanout, NOW_US));
  fixture_close (&fixture);
}

/* Guards against a hedge to a target that said that it is leaving: it is a last resort
 * for requests that have no other, not a second chance for slow ones. */
static void
slow_read_is_not_hedged_to_leaving_target (void)
{
  jd_fanout_fixture_t fixture;
  fixture_open (&fixture, true);
  jd_replica_registry_set_drain_limit (fixture.registry, 60 * JD_US_PER_S);
  const jd_replica_t *first = fixture.fanout->parts[0].attempts[0].replica;
  const char *other = strcmp (first->id, "x") == 0 ? "y" : "x";
  jd_target_notice_set_leaving (
      jd_replica_registry_find (fixture.registry, other)->notice, NOW_US);
  jd_fanout_tick (fixture.fanout, NOW_US + JD_US_PER_S);
  CU_ASSERT_EQUAL (fixture.sent, 1);
  jd_fanout_end_attempt (fixture.fanout, 0, 0, JD_REPLICA_BROKEN, true,
                         NOW_US + JD_US_PER_S);
  CU_ASSERT_EQUAL (fixture.sent, 2);
  fixture_close (&fixture);
}

/* Guards against status 504 for a request that no target got, which its caller must not
 * repeat: neither at its deadline nor at the stop of the host. */
static void
request_that_was_not_sent_has_not_run (void)
{
  static const struct
  {
    bool is_sent, stops;
    jd_fanout_verdict_t verdict;
  } cases[] = {
    { false, false, JD_FANOUT_NOT_RUN },
    { true, false, JD_FANOUT_TIMED_OUT },
    { false, true, JD_FANOUT_NOT_RUN },
    { true, true, JD_FANOUT_STOPPED },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      jd_fanout_fixture_t fixture;
      fixture_open (&fixture, false);
      fixture.is_sent = cases[i].is_sent;
      if (cases[i].stops)
        jd_fanout_stop (fixture.fanout);
      else
        jd_fanout_tick (fixture.fanout, NOW_US + 3 * JD_US_PER_S);
      CU_ASSERT_TRUE (fixture.finished);
      CU_ASSERT_EQUAL (fixture.verdict, cases[i].verdict);
      fixture_close (&fixture);
    }
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "edit that may have run is not retried", edit_that_may_have_run_is_not_retried },
    { "refused edit is sent to another target", refused_edit_is_sent_to_another_target },
    { "slow read is hedged within limits", slow_read_is_hedged_within_limits },
    { "slow read is not hedged to leaving target",
      slow_read_is_not_hedged_to_leaving_target },
    { "request that was not sent has not run", request_that_was_not_sent_has_not_run },
    { "request without a target is detected at once",
      request_without_a_target_is_detected_at_once },
  };
  return JD_TEST_RUN ("fanout", cases);
}
