#include "transport/target_client.h"

#include <string.h>

#include "support/bad_target.h"
#include "support/free_port.h"
#include "support/test_main.h"

#define CONNECTIONS 3

/* The client under test, its target and the results that it reported. */
typedef struct fixture
{
  jd_faulty_target_t target;
  jd_event_poll_t *poll;
  jd_target_client_t *client;
  uint64_t next_handle;
  gboolean refuses_writes;
  _Atomic int may_write_calls;
  _Atomic int reply_count;
  _Atomic int probe_count;
  jd_reply_kind_t reply_kinds[64]; /* By handle. */
  _Atomic int end_counts[64];      /* By handle. */
  char first_hit[8];
  uint64_t snapshot;
  int32_t in_flight;
  jd_target_health_t health;
} fixture_t;

static gboolean
may_write (void *context, uint64_t handle)
{
  fixture_t *fixture = context;
  fixture->may_write_calls++;
  return !fixture->refuses_writes;
}

static void
on_reply (void *context, uint64_t handle, jd_target_reply_t *reply)
{
  fixture_t *fixture = context;
  fixture->reply_count++;
  fixture->reply_kinds[handle] = reply->kind;
  fixture->end_counts[handle]++;
  fixture->snapshot = reply->snapshot;
  fixture->in_flight = reply->in_flight;
  g_strlcpy (fixture->first_hit, reply->hit_count > 0 ? reply->hits[0].id : "",
             sizeof (fixture->first_hit));
}

static void
on_health (void *context, const char *target, const jd_target_health_t *health)
{
  fixture_t *fixture = context;
  fixture->probe_count++;
  fixture->health = health ? *health : (jd_target_health_t){ 0 };
}

/* Starts a target "t0" and a client that is configured with it. */
static void
set_up (fixture_t *fixture)
{
  *fixture = (fixture_t){ .poll = jd_event_poll_new () };
  jd_faulty_target_start (&fixture->target);
  const jd_target_client_options_t options = {
    .poll = fixture->poll,
    .clock = jd_clock_system (),
    .id_prefix = "test",
    .may_write = may_write,
    .on_reply = on_reply,
    .on_health = on_health,
    .context = fixture,
  };
  fixture->client = jd_target_client_new (&options);
  char address[64];
  g_snprintf (address, sizeof (address), "127.0.0.1:%u", fixture->target.port);
  jd_target_client_set_target (fixture->client, "t0", address, CONNECTIONS);
}

static void
tear_down (fixture_t *fixture)
{
  jd_target_client_free (fixture->client);
  jd_event_poll_free (fixture->poll);
  jd_faulty_target_stop (&fixture->target);
}

/* Starts an attempt with a deadline in timeout_ms; returns its handle. */
static uint64_t
start_attempt (fixture_t *fixture, jd_work_kind_t kind, int64_t timeout_ms)
{
  const jd_clock_t clock = jd_clock_system ();
  const jd_work_t work = { .kind = kind,
                           .organisation = "hospital",
                           .limit = 10,
                           .text = (char *)"a/../b c",
                           .body = (char *)"{}",
                           .body_bytes = 2 };
  const jd_broker_start_t start = {
    .handle = ++fixture->next_handle,
    .target = "t0",
    .shard = "s0",
    .work = &work,
    .deadline_us = jd_clock_now_us (&clock) + timeout_ms * JD_US_PER_MS,
  };
  jd_target_client_start (fixture->client, &start);
  return start.handle;
}

/* Runs the client, waits up to 2 ms for events, and runs it again. */
static void
run_once (fixture_t *fixture)
{
  jd_target_client_run (fixture->client);
  jd_event_poll_wait (fixture->poll, 2);
  jd_target_client_run (fixture->client);
}

/* Runs the client until *count reaches wanted; returns FALSE after 5 s. */
static gboolean
run_until (fixture_t *fixture, const _Atomic int *count, int wanted)
{
  const jd_clock_t clock = jd_clock_system ();
  int64_t end_us = jd_clock_now_us (&clock) + 5 * JD_US_PER_S;
  while (*count < wanted && jd_clock_now_us (&clock) < end_us)
    run_once (fixture);
  return *count >= wanted;
}

/* Runs one attempt until it ends; returns the kind of its reply. */
static jd_reply_kind_t
run_attempt (fixture_t *fixture, jd_work_kind_t kind)
{
  uint64_t handle = start_attempt (fixture, kind, 1000);
  CU_ASSERT (run_until (fixture, &fixture->end_counts[handle], 1));
  return fixture->reply_kinds[handle];
}

/* Guards against a new connection for each request, unsorted hits, and headers or a
 * request path that are incomplete or that the text of a query can alter. */
static void
requests_share_a_connection (void)
{
  fixture_t fixture;
  set_up (&fixture);
  for (int i = 0; i < 5; i++)
    CU_ASSERT_EQUAL (run_attempt (&fixture, JD_WORK_SEARCH), JD_REPLY_OK);
  CU_ASSERT_EQUAL (fixture.target.accepted_connections, 1);
  CU_ASSERT_STRING_EQUAL (fixture.first_hit, "b");
  CU_ASSERT_EQUAL (fixture.snapshot, 3);
  CU_ASSERT_EQUAL (fixture.in_flight, 2);
  const char *head = fixture.target.last_request_head;
  CU_ASSERT (strstr (head, "/search?shard=s0&q=a%2F..%2Fb%20c&limit=10 ") != NULL);
  CU_ASSERT (strstr (head, "X-Request-Id: test-5\r\n") != NULL);
  CU_ASSERT (strstr (head, "X-Organisation: hospital\r\n") != NULL);
  const char *deadline = strstr (head, "X-Deadline-Ms:");
  CU_ASSERT_FATAL (deadline != NULL);
  int remaining_ms = atoi (deadline + strlen ("X-Deadline-Ms:"));
  CU_ASSERT (remaining_ms > 0 && remaining_ms <= 1000);
  jd_target_client_probe (fixture.client, "t0", JD_US_PER_S);
  CU_ASSERT (run_until (&fixture, &fixture.probe_count, 1));
  CU_ASSERT (fixture.health.cold && fixture.health.draining);
  CU_ASSERT_EQUAL (fixture.health.snapshot_count, 2);
  CU_ASSERT_EQUAL (fixture.health.snapshots[0], 3);
  tear_down (&fixture);
}

/* Guards against an edit that runs twice because curl repeats it on its own when a
 * keep-alive connection breaks before the reply. The target reads the second fetch twice,
 * which shows that curl does so. */
static void
edit_is_never_repeated (void)
{
  fixture_t fixture;
  set_up (&fixture);
  CU_ASSERT_EQUAL (run_attempt (&fixture, JD_WORK_FETCH), JD_REPLY_OK);
  fixture.target.mode = JD_FAULTY_TARGET_CLOSE;
  CU_ASSERT_EQUAL (run_attempt (&fixture, JD_WORK_EDIT), JD_REPLY_BROKEN);
  CU_ASSERT_EQUAL (fixture.target.edits, 1);
  CU_ASSERT_EQUAL (run_attempt (&fixture, JD_WORK_FETCH), JD_REPLY_BROKEN);
  CU_ASSERT_EQUAL (fixture.target.reads, 3);
  fixture.target.mode = JD_FAULTY_TARGET_HEALTHY;
  CU_ASSERT_EQUAL (run_attempt (&fixture, JD_WORK_EDIT), JD_REPLY_OK);
  CU_ASSERT_EQUAL (fixture.target.edits, 2);
  tear_down (&fixture);
}

/* Guards against an attempt that was sent and is reported as not sent, and against an
 * unsent attempt that is reported as possibly sent. */
static void
not_sent_is_reported_for_unsent_attempts_only (void)
{
  fixture_t fixture;
  set_up (&fixture);
  fixture.refuses_writes = TRUE;
  start_attempt (&fixture, JD_WORK_EDIT, 1000);
  CU_ASSERT (run_until (&fixture, &fixture.may_write_calls, 1));
  uint64_t cancelled = start_attempt (&fixture, JD_WORK_EDIT, 1000);
  jd_target_client_cancel (fixture.client, cancelled);
  CU_ASSERT (run_until (&fixture, &fixture.reply_count, 1));
  CU_ASSERT_EQUAL (fixture.reply_kinds[cancelled], JD_REPLY_NOT_SENT);
  CU_ASSERT_EQUAL (fixture.end_counts[1], 0);
  CU_ASSERT_EQUAL (fixture.target.edits, 0);
  char address[64];
  g_snprintf (address, sizeof (address), "127.0.0.1:%u", jd_test_free_port ());
  jd_target_client_set_target (fixture.client, "t0", address, CONNECTIONS);
  int calls_before = fixture.may_write_calls;
  CU_ASSERT_EQUAL (run_attempt (&fixture, JD_WORK_EDIT), JD_REPLY_NOT_SENT);
  CU_ASSERT_EQUAL (fixture.may_write_calls, calls_before);
  jd_target_client_drop_target (fixture.client, "t0");
  CU_ASSERT_EQUAL (run_attempt (&fixture, JD_WORK_EDIT), JD_REPLY_NOT_SENT);
  tear_down (&fixture);
}

/* Guards against using the reply to another request, directly or by reusing the
 * connection that it arrived on. */
static void
wrong_request_id_closes_the_connection (void)
{
  fixture_t fixture;
  set_up (&fixture);
  fixture.target.mode = JD_FAULTY_TARGET_WRONG_REQUEST_ID;
  CU_ASSERT_EQUAL (run_attempt (&fixture, JD_WORK_SEARCH), JD_REPLY_WRONG_REQUEST_ID);
  CU_ASSERT_STRING_EQUAL (fixture.first_hit, "");
  CU_ASSERT_EQUAL (fixture.snapshot, 0);
  CU_ASSERT_EQUAL (run_attempt (&fixture, JD_WORK_EDIT), JD_REPLY_WRONG_REQUEST_ID);
  fixture.target.mode = JD_FAULTY_TARGET_HEALTHY;
  CU_ASSERT_EQUAL (run_attempt (&fixture, JD_WORK_SEARCH), JD_REPLY_OK);
  CU_ASSERT_EQUAL (fixture.target.accepted_connections, 3);
  tear_down (&fixture);
}

/* Guards against attempts that wait for a reply on a silent connection beyond their
 * deadline or for a free connection, and against reuse of a silent connection. */
static void
silent_connections_do_not_delay_other_attempts (void)
{
  fixture_t fixture;
  set_up (&fixture);
  CU_ASSERT_EQUAL (run_attempt (&fixture, JD_WORK_SEARCH), JD_REPLY_OK);
  fixture.target.mode = JD_FAULTY_TARGET_SILENT;
  uint64_t silent_handles[CONNECTIONS];
  for (int i = 0; i < CONNECTIONS; i++)
    silent_handles[i] = start_attempt (&fixture, JD_WORK_SEARCH, 300);
  CU_ASSERT (run_until (&fixture, &fixture.target.reads, 1 + CONNECTIONS));
  CU_ASSERT_EQUAL (run_attempt (&fixture, JD_WORK_SEARCH), JD_REPLY_NOT_SENT);
  CU_ASSERT_EQUAL (fixture.end_counts[silent_handles[0]], 0);
  CU_ASSERT (run_until (&fixture, &fixture.reply_count, 2 + CONNECTIONS));
  for (int i = 0; i < CONNECTIONS; i++)
    CU_ASSERT_EQUAL (fixture.reply_kinds[silent_handles[i]], JD_REPLY_TIMEOUT);
  uint64_t last_handle = start_attempt (&fixture, JD_WORK_SEARCH, 300);
  CU_ASSERT (run_until (&fixture, &fixture.target.reads, 2 + CONNECTIONS));
  fixture.target.mode = JD_FAULTY_TARGET_HEALTHY;
  CU_ASSERT_EQUAL (run_attempt (&fixture, JD_WORK_SEARCH), JD_REPLY_OK);
  CU_ASSERT_EQUAL (fixture.end_counts[last_handle], 0);
  tear_down (&fixture);
}

/* Guards against a cancellation that the target does not receive, that ends the wrong
 * request, or whose late reply is read by a later request. */
static void
cancellation_reaches_the_target (void)
{
  fixture_t fixture;
  set_up (&fixture);
  CU_ASSERT_EQUAL (run_attempt (&fixture, JD_WORK_SEARCH), JD_REPLY_OK);
  fixture.target.mode = JD_FAULTY_TARGET_UNTIL_CANCEL;
  uint64_t handle = start_attempt (&fixture, JD_WORK_SEARCH, 2000);
  CU_ASSERT (run_until (&fixture, &fixture.target.reads, 2));
  jd_target_client_cancel (fixture.client, handle);
  CU_ASSERT (run_until (&fixture, &fixture.end_counts[handle], 1));
  CU_ASSERT_EQUAL (fixture.target.cancels, 1);
  fixture.target.mode = JD_FAULTY_TARGET_HEALTHY;
  int connections = fixture.target.accepted_connections;
  for (int i = 0; i < 3; i++)
    CU_ASSERT_EQUAL (run_attempt (&fixture, JD_WORK_FETCH), JD_REPLY_OK);
  CU_ASSERT_EQUAL (fixture.target.accepted_connections, connections);
  CU_ASSERT (connections <= 2);
  CU_ASSERT_EQUAL (fixture.end_counts[handle], 1);
  tear_down (&fixture);
}

/* Guards against an edit that waits for a connection although all of them are idle: its
 * new connection must replace an idle one. */
static void
edit_replaces_an_idle_connection (void)
{
  fixture_t fixture;
  set_up (&fixture);
  for (int i = 0; i < CONNECTIONS; i++)
    start_attempt (&fixture, JD_WORK_SEARCH, 1000);
  CU_ASSERT (run_until (&fixture, &fixture.reply_count, CONNECTIONS));
  CU_ASSERT_EQUAL (fixture.target.accepted_connections, CONNECTIONS);
  for (int i = 0; i < 2; i++)
    CU_ASSERT_EQUAL (run_attempt (&fixture, JD_WORK_EDIT), JD_REPLY_OK);
  CU_ASSERT_EQUAL (run_attempt (&fixture, JD_WORK_SEARCH), JD_REPLY_OK);
  for (int i = 0; i < 1000 && fixture.target.open_connections > CONNECTIONS; i++)
    g_usleep (1000);
  CU_ASSERT (fixture.target.open_connections <= CONNECTIONS);
  CU_ASSERT_EQUAL (fixture.target.accepted_connections, CONNECTIONS + 2);
  tear_down (&fixture);
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "requests share a connection", requests_share_a_connection },
    { "edit is never repeated", edit_is_never_repeated },
    { "not sent is reported for unsent attempts only",
      not_sent_is_reported_for_unsent_attempts_only },
    { "wrong request id closes the connection", wrong_request_id_closes_the_connection },
    { "silent connections do not delay other attempts",
      silent_connections_do_not_delay_other_attempts },
    { "edit replaces an idle connection", edit_replaces_an_idle_connection },
    { "cancellation reaches the target", cancellation_reaches_the_target },
  };
  return JD_TEST_RUN ("target_client", cases);
}
