#include "routing/fanout.h"

#include "base/clock.h"
#include "support/test_main.h"

#define NOW (50 * JD_US_PER_S)

typedef struct jd_fanout_lab
{
  jd_replica_registry_t *registry;
  jd_route_table_t *table;
  jd_route_t *route;
  jd_fanout_t *fanout;
  uint32_t sent;
  bool finished;
  jd_fanout_verdict_t verdict;
} jd_fanout_lab_t;

static void
ignore_replica (void *context, jd_replica_t *replica)
{
}

static bool
count_send (void *context, uint32_t part, uint32_t number, jd_replica_t *replica)
{
  jd_fanout_lab_t *lab = context;
  lab->sent++;
  return true;
}

static void
note_finish (void *context, jd_fanout_verdict_t verdict)
{
  jd_fanout_lab_t *lab = context;
  lab->finished = true;
  lab->verdict = verdict;
}

/* Opens a lab with a route to one service of two targets. */
static void
open_lab (jd_fanout_lab_t *lab, bool idempotent)
{
  *lab = (jd_fanout_lab_t){ 0 };
  jd_replica_events_t events = { ignore_replica, ignore_replica, NULL };
  lab->registry = jd_replica_registry_new ("a", &events);
  lab->table = jd_route_table_new (1);
  lab->route = jd_route_table_add_route (lab->table, "edit", "h", "/");
  lab->route->idempotent = idempotent;
  lab->route->max_attempts = 2;
  lab->route->objective_us = 500 * JD_US_PER_MS;
  const char *ids[] = { "x", "y" };
  for (int i = 0; i < 2; i++)
    {
      jd_replica_spec_t spec = { .id = ids[i], .service = "s", .zone = "a", .slots = 2 };
      jd_replica_registry_put (lab->registry, &spec, NOW);
    }
  jd_replica_pool_t *pool = jd_replica_registry_pool (lab->registry, "s");
  pool->extra.tokens = 5.0;
  jd_route_add_part (lab->route, pool, 1.0);
  jd_route_table_finish (lab->table, NULL);
  jd_fanout_request_t request = {
    .route = lab->route,
    .parts = (jd_route_part_t *)(void *)lab->route->parts->data,
    .part_count = 1,
    .deadline_us = NOW + 3 * JD_US_PER_S,
  };
  jd_fanout_actions_t actions = { .send = count_send,
                                  .finish = note_finish,
                                  .context = lab };
  lab->fanout = jd_fanout_new (&request, &actions, NOW);
  jd_fanout_start (lab->fanout, NOW);
}

static void
close_lab (jd_fanout_lab_t *lab)
{
  jd_fanout_free (lab->fanout);
  jd_route_table_unref (lab->table);
  jd_replica_registry_free (lab->registry);
}

/* Guards against an edit that runs twice: it is never hedged, and not sent again once an
 * attempt may have run. */
static void
edit_that_may_have_run_is_not_sent_again (void)
{
  jd_fanout_lab_t lab;
  open_lab (&lab, false);
  jd_fanout_tick (lab.fanout, NOW + 2 * JD_US_PER_S);
  CU_ASSERT_EQUAL (lab.sent, 1);
  jd_fanout_settle (lab.fanout, 0, 0, JD_REPLICA_BROKEN, true, NOW + 2 * JD_US_PER_S);
  CU_ASSERT_EQUAL (lab.sent, 1);
  CU_ASSERT_TRUE (lab.finished);
  CU_ASSERT_EQUAL (lab.verdict, JD_FANOUT_FAILED);
  close_lab (&lab);
}

/* Guards against an edit that is given up although its target did not run it, and against
 * "not run" being said when it is not true. */
static void
refused_edit_goes_to_another_target (void)
{
  jd_fanout_lab_t lab;
  open_lab (&lab, false);
  jd_fanout_settle (lab.fanout, 0, 0, JD_REPLICA_SHED, false, NOW);
  CU_ASSERT_EQUAL (lab.sent, 2);
  jd_fanout_settle (lab.fanout, 0, 1, JD_REPLICA_SHED, false, NOW);
  CU_ASSERT_EQUAL (lab.verdict, JD_FANOUT_NOT_RUN);
  close_lab (&lab);
  open_lab (&lab, false);
  jd_fanout_settle (lab.fanout, 0, 0, JD_REPLICA_SHED, false, NOW);
  jd_fanout_settle (lab.fanout, 0, 1, JD_REPLICA_TIMED_OUT, true, NOW);
  CU_ASSERT_EQUAL (lab.verdict, JD_FANOUT_FAILED);
  close_lab (&lab);
}

/* Guards against a read that waits for a stuck target, against more replicas than the
 * route allows, and against extra attempts beyond the budget. */
static void
slow_read_is_hedged_within_limits (void)
{
  jd_fanout_lab_t lab;
  open_lab (&lab, true);
  int64_t wake_us = jd_fanout_tick (lab.fanout, NOW);
  CU_ASSERT_TRUE (wake_us < NOW + 250 * JD_US_PER_MS);
  jd_fanout_tick (lab.fanout, wake_us);
  CU_ASSERT_EQUAL (lab.sent, 2);
  jd_fanout_tick (lab.fanout, NOW + JD_US_PER_S);
  CU_ASSERT_EQUAL (lab.sent, 2);
  jd_fanout_settle (lab.fanout, 0, 1, JD_REPLICA_OK, true, NOW + JD_US_PER_S);
  CU_ASSERT_EQUAL (lab.verdict, JD_FANOUT_COMPLETE);
  close_lab (&lab);
  open_lab (&lab, true);
  g_array_index (lab.route->parts, jd_route_part_t, 0).pool->extra.tokens = 0.0;
  jd_fanout_tick (lab.fanout, NOW + JD_US_PER_S);
  CU_ASSERT_EQUAL (lab.sent, 1);
  jd_fanout_tick (lab.fanout, NOW + 3 * JD_US_PER_S);
  CU_ASSERT_EQUAL (lab.verdict, JD_FANOUT_TIMED_OUT);
  close_lab (&lab);
}

/* Guards against callers that wait for a request which no target can take. */
static void
no_target_is_known_at_once (void)
{
  jd_fanout_lab_t lab;
  open_lab (&lab, true);
  jd_replica_registry_evacuate (lab.registry, "a", true);
  CU_ASSERT_FALSE (jd_fanout_can_succeed (lab.fanout, NOW));
  close_lab (&lab);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "edit that may have run", edit_that_may_have_run_is_not_sent_again },
    { "refused edit", refused_edit_goes_to_another_target },
    { "slow read is hedged", slow_read_is_hedged_within_limits },
    { "no target", no_target_is_known_at_once },
  };
  return JD_TEST_RUN ("fanout", cases);
}
