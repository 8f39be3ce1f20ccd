#include <signal.h>

#include "support/broker_lab.h"
#include "support/child.h"
#include "support/http_call.h"
#include "support/test_main.h"

/* Checks that an ended edit was executed as often as its outcome says: never for "no",
 * once for "yes", and at most once for "unknown". */
static void
check_executions (jd_broker_fixture_t *fixture, uint64_t id)
{
  const jd_broker_fixture_attempt_t *attempt = &fixture->attempts[id];
  if (attempt->kind != JD_WORK_EDIT || !attempt->has_ended)
    return;
  int executions = jd_broker_fixture_execution_count (fixture, id);
  if (attempt->ran == JD_RAN_NO)
    CU_ASSERT_EQUAL (executions, 0);
  if (attempt->ran == JD_RAN_YES)
    CU_ASSERT_EQUAL (executions, 1);
  CU_ASSERT (executions <= 1);
}

/* Guards against a graceful stop that aborts attempts: each one sent before the broker
 * announces the stop must end with a known outcome, and the exit status must be 0. */
static void
graceful_stop_completes_accepted_work (void)
{
  static jd_broker_fixture_t fixture;
  CU_ASSERT_FATAL (jd_broker_fixture_start (&fixture, 1));
  for (int i = 0; i < 600 && !fixture.is_draining[0]; i++)
    {
      if (i == 200)
        kill (fixture.brokers[0], SIGTERM);
      jd_work_kind_t kind = i % 4 == 0 ? JD_WORK_EDIT : JD_WORK_SEARCH;
      jd_broker_fixture_send_attempt (&fixture, 0,
                                      (uint32_t)i % JD_BROKER_FIXTURE_TARGETS, kind, 200);
      jd_broker_fixture_run (&fixture, 2);
    }
  CU_ASSERT (fixture.is_draining[0]);
  uint64_t sent_before_stop = fixture.attempt_count;
  int status = -1;
  for (int i = 0; i < 500 && status < 0; i++)
    {
      jd_broker_fixture_send_attempt (&fixture, 0, 0, JD_WORK_EDIT, 200);
      jd_broker_fixture_run (&fixture, 5);
      status = jd_child_wait (fixture.brokers[0], 0);
    }
  CU_ASSERT_EQUAL (status, 0);
  CU_ASSERT_EQUAL (fixture.owned_targets[0], 0);
  fixture.brokers[0] = 0;
  uint64_t refused = 0;
  for (uint64_t id = sent_before_stop + 1; id <= fixture.attempt_count; id++)
    {
      CU_ASSERT (fixture.attempts[id].code == JD_OK ||
                 fixture.attempts[id].code == JD_SHUTTING_DOWN);
      refused += fixture.attempts[id].code == JD_SHUTTING_DOWN;
      check_executions (&fixture, id);
    }
  CU_ASSERT (refused > 0);
  uint64_t served = 0;
  for (uint64_t id = 1; id <= sent_before_stop; id++)
    {
      CU_ASSERT (fixture.attempts[id].has_ended || !fixture.attempts[id].is_sent);
      CU_ASSERT (fixture.attempts[id].ran != JD_RAN_UNKNOWN);
      served += fixture.attempts[id].code == JD_OK;
      check_executions (&fixture, id);
    }
  CU_ASSERT (served > sent_before_stop / 2);
  CU_ASSERT_EQUAL (fixture.duplicate_outcomes, 0);
  jd_broker_fixture_stop (&fixture);
}

/* Guards against a broker process that was stopped by SIGSTOP and, after SIGCONT, sends
 * expired work to a target, and against "not run" as the outcome of an edit that the
 * target executed during the pause. */
static void
paused_broker_sends_no_expired_work (void)
{
  static jd_broker_fixture_t fixture;
  CU_ASSERT_FATAL (jd_broker_fixture_start (&fixture, 1));
  uint64_t first = jd_broker_fixture_send_attempt (&fixture, 0, 0, JD_WORK_EDIT, 500);
  CU_ASSERT (jd_broker_fixture_wait_for_attempt (&fixture, first));
  CU_ASSERT_EQUAL (fixture.attempts[first].ran, JD_RAN_YES);
  const int64_t pauses_ms[] = { 400, 700, 2500 };
  for (size_t i = 0; i < G_N_ELEMENTS (pauses_ms); i++)
    {
      kill (fixture.brokers[0], SIGSTOP);
      uint64_t id = jd_broker_fixture_send_attempt (&fixture, 0, 0, JD_WORK_EDIT, 200);
      jd_broker_fixture_run (&fixture, pauses_ms[i]);
      kill (fixture.brokers[0], SIGCONT);
      jd_broker_fixture_run (&fixture, 700);
      CU_ASSERT_EQUAL (jd_broker_fixture_execution_count (&fixture, id), 0);
      if (fixture.attempts[id].has_ended)
        CU_ASSERT_EQUAL (fixture.attempts[id].ran, JD_RAN_NO);
      for (int j = 0; j < 500 && jd_broker_fixture_owner (&fixture, 0) < 0; j++)
        jd_broker_fixture_run (&fixture, 10);
    }
  jd_broker_fixture_set_target_faults (
      &fixture, 0, "{\"latency_median_us\":150000,\"latency_sigma\":0}");
  uint64_t running = jd_broker_fixture_send_attempt (&fixture, 0, 0, JD_WORK_EDIT, 400);
  jd_broker_fixture_run (&fixture, 60);
  kill (fixture.brokers[0], SIGSTOP);
  jd_broker_fixture_run (&fixture, 600);
  kill (fixture.brokers[0], SIGCONT);
  CU_ASSERT (jd_broker_fixture_wait_for_attempt (&fixture, running));
  CU_ASSERT (fixture.attempts[running].ran != JD_RAN_NO);
  CU_ASSERT_EQUAL (jd_broker_fixture_execution_count (&fixture, running), 1);
  jd_broker_fixture_stop (&fixture);
}

/* Guards against a broker that keeps using connections on which the target never answers
 * again, although new connections work. */
static void
silent_connections_are_replaced (void)
{
  static jd_broker_fixture_t fixture;
  CU_ASSERT_FATAL (jd_broker_fixture_start (&fixture, 1));
  for (int i = 0; i < 20; i++)
    CU_ASSERT (jd_broker_fixture_wait_for_attempt (
        &fixture, jd_broker_fixture_send_attempt (&fixture, 0, 0, JD_WORK_SEARCH, 300)));
  jd_broker_fixture_set_target_faults (&fixture, 0, "{\"silent_connections\":true}");
  jd_result_code_t last_code = JD_INTERNAL;
  for (int i = 0; i < 12; i++)
    {
      uint64_t id = jd_broker_fixture_send_attempt (&fixture, 0, 0, JD_WORK_SEARCH, 300);
      CU_ASSERT (jd_broker_fixture_wait_for_attempt (&fixture, id));
      last_code = fixture.attempts[id].code;
      /* A timed-out attempt keeps its slot for a while; work is refused until then. */
      jd_broker_fixture_run (&fixture, 50);
    }
  CU_ASSERT_EQUAL (last_code, JD_OK);
  jd_broker_fixture_stop (&fixture);
}

/* Guards against a broker that starts work for a target that it does not own or after the
 * deadline, and against operator routes that lack its targets, lease or health. */
static void
unowned_or_expired_work_is_refused (void)
{
  static jd_broker_fixture_t fixture;
  CU_ASSERT_FATAL (jd_broker_fixture_start (&fixture, 1));
  uint64_t unowned = jd_broker_fixture_send_attempt (&fixture, 0, 7, JD_WORK_EDIT, 300);
  CU_ASSERT (jd_broker_fixture_wait_for_attempt (&fixture, unowned));
  CU_ASSERT_EQUAL (fixture.attempts[unowned].code, JD_NOT_OWNER);
  uint64_t expired = jd_broker_fixture_send_attempt (&fixture, 0, 0, JD_WORK_EDIT, -1);
  CU_ASSERT (jd_broker_fixture_wait_for_attempt (&fixture, expired));
  CU_ASSERT_EQUAL (fixture.attempts[expired].code, JD_DEADLINE_EXCEEDED);
  CU_ASSERT_EQUAL (fixture.attempts[expired].ran, JD_RAN_NO);
  CU_ASSERT_EQUAL (jd_broker_fixture_execution_count (&fixture, expired), 0);
  jd_http_reply_t status =
      jd_http_get ("http://127.0.0.1:%u/status", fixture.http_ports[0]);
  CU_ASSERT_EQUAL (json_array_size (json_object_get (status.json, "targets")), 2);
  CU_ASSERT (json_is_true (json_object_get (status.json, "lease_held")));
  jd_http_reply_clear (&status);
  jd_http_reply_t health =
      jd_http_get ("http://127.0.0.1:%u/healthz", fixture.http_ports[0]);
  CU_ASSERT_EQUAL (health.status, 200);
  jd_http_reply_clear (&health);
  jd_broker_fixture_stop (&fixture);
}

/* Guards against new work for a target that operators list as leaving, and against a
 * target that stays unused after it is no longer listed. */
static void
leaving_target_gets_no_work (void)
{
  static jd_broker_fixture_t fixture;
  static const char *const records[] = {
    "{\"schema_version\":1,\"record_version\":1,\"seats\":[],\"targets\":"
    "[{\"id\":\"t0\",\"state\":\"leaving\"}]}",
    "{\"schema_version\":1,\"record_version\":2,\"seats\":[],\"targets\":[]}",
  };
  const jd_result_code_t expected_codes[] = { JD_NO_TARGET, JD_OK };
  CU_ASSERT_FATAL (jd_broker_fixture_start (&fixture, 1));
  for (int i = 0; i < 2; i++)
    {
      jd_broker_fixture_publish (&fixture, "hosts", records[i]);
      /* docs/design.md section 4.10: at most 4 s from publication. */
      int64_t end_us = g_get_monotonic_time () + 4 * JD_US_PER_S;
      jd_result_code_t code = JD_INTERNAL;
      while (code != expected_codes[i] && g_get_monotonic_time () < end_us)
        {
          uint64_t id =
              jd_broker_fixture_send_attempt (&fixture, 0, 0, JD_WORK_SEARCH, 300);
          CU_ASSERT (jd_broker_fixture_wait_for_attempt (&fixture, id));
          code = fixture.attempts[id].code;
        }
      CU_ASSERT_EQUAL (code, expected_codes[i]);
    }
  jd_broker_fixture_stop (&fixture);
}

static void
publish_draining_members (jd_broker_fixture_t *fixture, int version, const char *members)
{
  char *url = g_strdup_printf ("http://127.0.0.1:%u/v1/records/hosts",
                               jd_platform_port (fixture->platform));
  char *text =
      g_strdup_printf ("{\"schema_version\":1,\"record_version\":%d,\"seats\":[%s],"
                       "\"targets\":[]}",
                       version, members);
  jd_http_reply_t reply = jd_http_call ("PUT", url, NULL, text, 3000);
  CU_ASSERT_EQUAL (reply.status / 100, 2);
  jd_http_reply_clear (&reply);
  g_free (text);
  g_free (url);
}

/* Guards against a draining member that keeps its targets or leaves them without a
 * broker, and against one that does not get them back after the drain. */
static void
drained_member_hands_over_and_regains_targets (void)
{
  static jd_broker_fixture_t fixture;
  CU_ASSERT_FATAL (jd_broker_fixture_start (&fixture, 3));
  int owner = jd_broker_fixture_owner (&fixture, 0);
  char *member = g_strdup_printf ("{\"name\":\"b%d\",\"state\":\"draining\"}", owner);
  publish_draining_members (&fixture, 1, member);
  g_free (member);
  /* docs/design.md section 4.10: at most 4 s from publication. */
  for (int i = 0; i < 400 && (jd_broker_fixture_owner (&fixture, 0) == owner ||
                              jd_broker_fixture_owner (&fixture, 0) < 0);
       i++)
    jd_broker_fixture_run (&fixture, 10);
  int new_owner = jd_broker_fixture_owner (&fixture, 0);
  CU_ASSERT_FATAL (new_owner >= 0 && new_owner != owner);
  uint64_t id = jd_broker_fixture_send_attempt (&fixture, (uint32_t)new_owner, 0,
                                                JD_WORK_EDIT, 500);
  CU_ASSERT (jd_broker_fixture_wait_for_attempt (&fixture, id));
  CU_ASSERT_EQUAL (fixture.attempts[id].code, JD_OK);
  uint64_t refused =
      jd_broker_fixture_send_attempt (&fixture, (uint32_t)owner, 0, JD_WORK_EDIT, 500);
  CU_ASSERT (jd_broker_fixture_wait_for_attempt (&fixture, refused));
  CU_ASSERT_EQUAL (fixture.attempts[refused].code, JD_SHUTTING_DOWN);
  CU_ASSERT_EQUAL (fixture.attempts[refused].ran, JD_RAN_NO);
  publish_draining_members (&fixture, 2, "");
  for (int i = 0; i < 600 && jd_broker_fixture_owner (&fixture, 0) != owner; i++)
    jd_broker_fixture_run (&fixture, 10);
  CU_ASSERT_EQUAL (jd_broker_fixture_owner (&fixture, 0), owner);
  jd_broker_fixture_stop (&fixture);
}

/* Guards against targets that stay without a broker after their owner is killed, and
 * against a new owner before the lease of the killed one has expired, which would let two
 * brokers use a target at one time. */
static void
killed_broker_is_replaced (void)
{
  static jd_broker_fixture_t fixture;
  CU_ASSERT_FATAL (jd_broker_fixture_start (&fixture, 3));
  int owner = jd_broker_fixture_owner (&fixture, 0);
  kill (fixture.brokers[owner], SIGKILL);
  CU_ASSERT_EQUAL (jd_child_wait (fixture.brokers[owner], 1000), 128 + SIGKILL);
  fixture.brokers[owner] = 0;
  fixture.owned_targets[owner] = 0;
  /* docs/design.md section 6: 2,200 ms plus one heartbeat interval of 200 ms; the rest of
   * the 4,000 ms is for the target reports and for a busy machine. */
  int64_t start_us = g_get_monotonic_time ();
  int64_t waited_ms = 0;
  while (jd_broker_fixture_owner (&fixture, 0) < 0 && waited_ms < 4000)
    {
      jd_broker_fixture_run (&fixture, 10);
      waited_ms = (g_get_monotonic_time () - start_us) / JD_US_PER_MS;
    }
  int new_owner = jd_broker_fixture_owner (&fixture, 0);
  CU_ASSERT_FATAL (new_owner >= 0);
  CU_ASSERT (waited_ms >= 800);
  g_print ("new owner after %d ms ", (int)waited_ms);
  uint64_t id = jd_broker_fixture_send_attempt (&fixture, (uint32_t)new_owner, 0,
                                                JD_WORK_EDIT, 500);
  CU_ASSERT (jd_broker_fixture_wait_for_attempt (&fixture, id));
  CU_ASSERT_EQUAL (fixture.attempts[id].code, JD_OK);
  jd_broker_fixture_stop (&fixture);
}

/* Guards against a graceful handover that takes as long as the failover from a killed
 * broker (2,200 ms), and against edits that run twice, or run although they were refused,
 * while the owner changes. */
static void
released_targets_are_handed_over_fast (void)
{
  static jd_broker_fixture_t fixture;
  CU_ASSERT_FATAL (jd_broker_fixture_start (&fixture, 3));
  int old_owner = jd_broker_fixture_owner (&fixture, 0);
  int64_t gap_start_us = 0;
  int64_t gap_us = -1;
  kill (fixture.brokers[old_owner], SIGTERM);
  for (int i = 0; i < 800 && gap_us < 0; i++)
    {
      int owner = jd_broker_fixture_owner (&fixture, 0);
      if (owner < 0 && gap_start_us == 0)
        gap_start_us = g_get_monotonic_time ();
      if (owner >= 0 && owner != old_owner)
        gap_us = g_get_monotonic_time () - gap_start_us;
      if (owner >= 0)
        jd_broker_fixture_send_attempt (&fixture, (uint32_t)owner, 0, JD_WORK_EDIT, 200);
      jd_broker_fixture_run (&fixture, 5);
    }
  CU_ASSERT (gap_us >= 0 && gap_us < 2200 * JD_US_PER_MS);
  g_print ("no owner for %d ms ", (int)(gap_us / JD_US_PER_MS));
  jd_broker_fixture_run (&fixture, 400);
  CU_ASSERT_EQUAL (jd_child_wait (fixture.brokers[old_owner], 3000), 0);
  fixture.brokers[old_owner] = 0;
  for (uint64_t id = 1; id <= fixture.attempt_count; id++)
    {
      CU_ASSERT (fixture.attempts[id].has_ended &&
                 fixture.attempts[id].ran != JD_RAN_UNKNOWN);
      check_executions (&fixture, id);
    }
  jd_broker_fixture_stop (&fixture);
}

/* Guards against a broker that stays unhealthy because it joined after it had adopted the
 * last record: a silent peer delays the join until its timeout. */
static void
broker_that_joins_late_becomes_healthy (void)
{
  static jd_broker_fixture_t fixture;
  CU_ASSERT_FATAL (jd_broker_fixture_start (&fixture, 3));
  kill (fixture.brokers[0], SIGKILL);
  CU_ASSERT_EQUAL (jd_child_wait (fixture.brokers[0], 1000), 128 + SIGKILL);
  kill (fixture.brokers[2], SIGSTOP);
  fixture.bootstrap_peers = fixture.addresses[2];
  jd_broker_fixture_start_broker (&fixture, 0);
  long status = 0;
  for (int i = 0; i < 100 && status != 200; i++)
    {
      jd_broker_fixture_run (&fixture, 100);
      jd_http_reply_t health =
          jd_http_get ("http://127.0.0.1:%u/healthz", fixture.http_ports[0]);
      status = health.status;
      jd_http_reply_clear (&health);
    }
  CU_ASSERT_EQUAL (status, 200);
  kill (fixture.brokers[2], SIGCONT);
  jd_broker_fixture_stop (&fixture);
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "graceful stop completes accepted work", graceful_stop_completes_accepted_work },
    { "paused broker sends no expired work", paused_broker_sends_no_expired_work },
    { "silent connections are replaced", silent_connections_are_replaced },
    { "unowned or expired work is refused", unowned_or_expired_work_is_refused },
    { "leaving target gets no work", leaving_target_gets_no_work },
    { "drained member hands over and regains targets",
      drained_member_hands_over_and_regains_targets },
    { "killed broker is replaced", killed_broker_is_replaced },
    { "broker that joins late becomes healthy", broker_that_joins_late_becomes_healthy },
    { "released targets are handed over fast", released_targets_are_handed_over_fast },
  };
  return JD_TEST_RUN ("broker_daemon", cases);
}
