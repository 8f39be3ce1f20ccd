#include "routing/target_notice.h"

#include <arpa/inet.h>

#include "base/clock.h"
#include "routing/fanout.h"
#include "support/test_main.h"

#define NOW_US (100 * JD_US_PER_S)
#define DRAIN_LIMIT_US (3 * JD_US_PER_S)

static void
ignore_replica (void *context, jd_replica_t *replica)
{
}

static jd_replica_registry_t *
new_registry (void)
{
  jd_replica_events_t events = { ignore_replica, ignore_replica, NULL };
  jd_replica_registry_t *registry = jd_replica_registry_new ("a", &events);
  jd_replica_registry_set_drain_limit (registry, DRAIN_LIMIT_US);
  return registry;
}

/* Publishes the record of a target of service "desk"; returns its replica. */
static jd_replica_t *
put_replica (jd_replica_registry_t *registry, const char *id, int64_t born_ms)
{
  jd_replica_spec_t spec = { .id = id,
                             .service = "desk",
                             .zone = "a",
                             .slots = 2,
                             .born_ms = born_ms,
                             .address = { .sin_port = htons (9000) } };
  jd_replica_registry_put (registry, &spec, NOW_US);
  jd_replica_t *found = jd_replica_registry_find (registry, id);
  CU_ASSERT_PTR_NOT_NULL_FATAL (found);
  g_assert (found != NULL);
  found->idle_connections = 1;
  return found;
}

static jd_replica_t *
choose (jd_replica_registry_t *registry, int64_t now_us)
{
  jd_replica_criteria_t criteria = { .typical_latency_us = 15 * JD_US_PER_MS };
  jd_replica_pool_t *pool = jd_replica_registry_pool (registry, "desk");
  jd_replica_t *chosen = jd_replica_choose (pool, &criteria, now_us);
  jd_replica_pool_unref (pool);
  return chosen;
}

/* Guards against requests to a target that said that it is leaving: others are preferred
 * at once, and after the drain limit it gets none, not even as the last one. */
static void
leaving_target_is_a_last_resort_until_the_drain_limit (void)
{
  jd_replica_registry_t *registry = new_registry ();
  jd_replica_t *leaving = put_replica (registry, "x", 5);
  jd_replica_t *other = put_replica (registry, "y", 5);
  other->in_flight = 40;
  CU_ASSERT_PTR_EQUAL (choose (registry, NOW_US), leaving);
  CU_ASSERT_TRUE (jd_target_notice_set_leaving (leaving->notice, NOW_US));
  CU_ASSERT_FALSE (jd_target_notice_set_leaving (leaving->notice, NOW_US + 5));
  CU_ASSERT_PTR_EQUAL (choose (registry, NOW_US), other);
  jd_replica_registry_remove (registry, "y", NOW_US);
  CU_ASSERT_PTR_EQUAL (choose (registry, NOW_US + DRAIN_LIMIT_US - 1), leaving);
  CU_ASSERT_PTR_NULL (choose (registry, NOW_US + DRAIN_LIMIT_US));
  CU_ASSERT_EQUAL (jd_replica_open_in_us (leaving, NOW_US + DRAIN_LIMIT_US), INT64_MAX);
  jd_replica_registry_free (registry);
}

/* Guards against a leaving target that is used again because its record was removed and
 * returned, or because an older record arrived; and against a new process under the same
 * id that is not used. */
static void
only_a_later_process_ends_leaving (void)
{
  jd_replica_registry_t *registry = new_registry ();
  const int64_t later_us = NOW_US + 2 * DRAIN_LIMIT_US;
  jd_replica_t *replica = put_replica (registry, "x", 5);
  jd_target_notice_set_leaving (replica->notice, NOW_US);
  jd_replica_registry_remove (registry, "x", NOW_US);
  put_replica (registry, "x", 5);
  CU_ASSERT_PTR_NULL (choose (registry, later_us));
  put_replica (registry, "x", 4);
  CU_ASSERT_PTR_NULL (choose (registry, later_us));
  put_replica (registry, "x", 5);
  CU_ASSERT_PTR_NULL (choose (registry, later_us));
  jd_replica_t *successor = put_replica (registry, "x", 6);
  CU_ASSERT_PTR_EQUAL (choose (registry, later_us), successor);
  jd_replica_registry_free (registry);
}

/* Guards against an answer that arrives after the record of its target was removed, and
 * is forgotten when the record returns; and against notices that are kept for ever. */
static void
late_answer_counts_after_a_removal (void)
{
  jd_replica_registry_t *registry = new_registry ();
  jd_replica_t *replica = jd_replica_ref (put_replica (registry, "x", 5));
  jd_replica_registry_remove (registry, "x", NOW_US);
  jd_target_notice_set_leaving (replica->notice, NOW_US);
  jd_replica_registry_expire_notices (registry, NOW_US + JD_US_PER_S);
  put_replica (registry, "x", 5);
  CU_ASSERT_PTR_NULL (choose (registry, NOW_US + DRAIN_LIMIT_US));
  jd_replica_registry_remove (registry, "x", NOW_US);
  jd_replica_registry_expire_notices (registry, NOW_US + 3600 * JD_US_PER_S);
  jd_replica_t *forgotten = put_replica (registry, "x", 5);
  CU_ASSERT_PTR_EQUAL (choose (registry, NOW_US), forgotten);
  jd_replica_unref (replica);
  jd_replica_registry_free (registry);
}

/* Guards against requests to a target during the pause that it asked for, also as the
 * last one and also if it was ejected, and against a pause that a shorter one cuts. */
static void
paused_target_gets_no_requests (void)
{
  jd_replica_registry_t *registry = new_registry ();
  jd_replica_t *replica = put_replica (registry, "x", 5);
  CU_ASSERT_TRUE (
      jd_target_notice_set_pause (replica->notice, 2 * JD_US_PER_S, 0.0, NOW_US));
  CU_ASSERT_FALSE (
      jd_target_notice_set_pause (replica->notice, JD_US_PER_S, 0.0, NOW_US + 1));
  replica->ejected_until_us = NOW_US + 60 * JD_US_PER_S;
  CU_ASSERT_PTR_NULL (choose (registry, NOW_US + 2 * JD_US_PER_S - 1));
  CU_ASSERT_PTR_EQUAL (choose (registry, NOW_US + 2 * JD_US_PER_S), replica);
  CU_ASSERT_FALSE (
      jd_target_notice_end_pause (replica->notice, NOW_US + 2 * JD_US_PER_S - 1));
  CU_ASSERT_TRUE (jd_target_notice_end_pause (replica->notice, NOW_US + 2 * JD_US_PER_S));
  CU_ASSERT_FALSE (
      jd_target_notice_end_pause (replica->notice, NOW_US + 3 * JD_US_PER_S));
  jd_replica_registry_free (registry);
}

/* Guards against hosts that all return at the end of a pause, and against a return before
 * its end. */
static void
hosts_return_at_different_times (void)
{
  uint32_t by_tenth[10] = { 0 };
  const int64_t pause_us = 2 * JD_US_PER_S;
  for (int host = 0; host < 300; host++)
    {
      const jd_target_process_t process = { .born_ms = 1 };
      jd_target_notice_t *notice = jd_target_notice_new (&process);
      jd_target_notice_set_pause (notice, pause_us, (host + 0.5) / 300.0, NOW_US);
      int64_t late_us = notice->return_at_us - NOW_US - pause_us;
      CU_ASSERT_TRUE (late_us >= 0 && late_us < pause_us);
      by_tenth[MIN (late_us * 20 / pause_us, 9)]++;
      jd_target_notice_unref (notice);
    }
  for (int i = 0; i < 10; i++)
    CU_ASSERT_TRUE (by_tenth[i] <= 60);
}

/* Guards against pauses from texts that are not a number of seconds. */
static void
pause_is_read_from_seconds_only (void)
{
  int64_t duration_us = -1;
  static const char *const unreadable[] = {
    "",    " ",   "soon", "-1",  "1s",    ".5",
    "1.",  "1e3", "0x10", "1,5", "1.5.2", "Sat, 05 Dec 2026 10:00:00 GMT",
    "inf", "nan", "+1",   " 1",  "1 ",    "99999999999999999999999999999999999",
  };
  for (size_t i = 0; i < G_N_ELEMENTS (unreadable); i++)
    CU_ASSERT_FALSE (jd_target_notice_parse_pause (unreadable[i], &duration_us));
  CU_ASSERT_EQUAL (duration_us, -1);
  CU_ASSERT_TRUE (jd_target_notice_parse_pause ("2", &duration_us));
  CU_ASSERT_EQUAL (duration_us, 2 * JD_US_PER_S);
  CU_ASSERT_TRUE (jd_target_notice_parse_pause ("0.25", &duration_us));
  CU_ASSERT_EQUAL (duration_us, 250 * JD_US_PER_MS);
  CU_ASSERT_TRUE (jd_target_notice_parse_pause ("99999999999", &duration_us));
  CU_ASSERT_EQUAL (duration_us, 3600 * JD_US_PER_S);
}

static bool
send_nothing (void *context, uint32_t part, uint32_t attempt, jd_replica_t *replica)
{
  return true;
}

static void
ignore_verdict (void *context, jd_fanout_verdict_t verdict)
{
}

/* Guards against a request that waits although all targets of too many shards are paused
 * or have left, and against a wrong time until it can be served: that is when enough
 * shards are open, not all of them. */
static void
unservable_request_names_the_shortest_wait (void)
{
  jd_replica_events_t events = { ignore_replica, ignore_replica, NULL };
  jd_replica_registry_t *registry = jd_replica_registry_new ("a", &events);
  jd_route_table_t *table = jd_route_table_new (1);
  jd_route_t *route = jd_route_table_add_route (table, "search", "h", "/");
  route->kind = JD_ROUTE_SCATTER;
  route->idempotent = true;
  route->max_attempts = 2;
  route->min_coverage = 0.5;
  route->objective_us = 100 * JD_US_PER_MS;
  for (int i = 0; i < 4; i++)
    {
      char name[8];
      g_snprintf (name, sizeof (name), "s%d", i);
      jd_replica_spec_t spec = { .id = name, .service = name, .zone = "a", .slots = 2 };
      jd_replica_registry_put (registry, &spec, NOW_US);
      jd_route_add_part (route, jd_replica_registry_pool (registry, name), 1.0);
      jd_replica_t *replica =
          g_array_index (route->parts, jd_route_part_t, i).pool->replicas->pdata[0];
      if (i == 3)
        jd_target_notice_set_leaving (replica->notice, NOW_US - DRAIN_LIMIT_US);
      else
        jd_target_notice_set_pause (replica->notice, (i + 1) * JD_US_PER_S, 0.0, NOW_US);
    }
  jd_route_table_finish (table, NULL);
  jd_fanout_request_t request = { .route = route,
                                  .parts = (jd_route_part_t *)(void *)route->parts->data,
                                  .part_count = 4,
                                  .deadline_us = NOW_US + 10 * JD_US_PER_S };
  jd_fanout_actions_t actions = { .send = send_nothing, .finish = ignore_verdict };
  jd_fanout_t *fanout = jd_fanout_new (&request, &actions, NOW_US);
  CU_ASSERT_FALSE (jd_fanout_can_succeed (fanout, NOW_US));
  CU_ASSERT_EQUAL (jd_fanout_servable_in_us (fanout, NOW_US), 2 * JD_US_PER_S);
  CU_ASSERT_TRUE (jd_fanout_can_succeed (fanout, NOW_US + 2 * JD_US_PER_S));
  fanout->needed_parts = 4;
  CU_ASSERT_EQUAL (jd_fanout_servable_in_us (fanout, NOW_US), INT64_MAX);
  jd_fanout_free (fanout);
  jd_route_table_unref (table);
  jd_replica_registry_free (registry);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "leaving target is a last resort until the drain limit",
      leaving_target_is_a_last_resort_until_the_drain_limit },
    { "only a later process ends leaving", only_a_later_process_ends_leaving },
    { "late answer counts after a removal", late_answer_counts_after_a_removal },
    { "paused target gets no requests", paused_target_gets_no_requests },
    { "hosts return at different times", hosts_return_at_different_times },
    { "pause is read from seconds only", pause_is_read_from_seconds_only },
    { "unservable request names the shortest wait",
      unservable_request_names_the_shortest_wait },
  };
  return JD_TEST_RUN ("target_notice", cases);
}
