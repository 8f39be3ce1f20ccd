#include "transport/target_client.h"

#include <string.h>

#include "support/bad_target.h"
#include "support/free_port.h"
#include "support/test_main.h"

#define CONNECTIONS 3

/* The client under test and what it reported. */
typedef struct fixture
{
  jd_bad_target_t target;
  jd_event_poll_t *poll;
  jd_target_client_t *client;
  uint64_t next_handle;
  gboolean refuses_writes;
  _Atomic int asked_to_write;
  _Atomic int replies;
  _Atomic int health_reads;
  jd_reply_kind_t kinds[64]; /* By handle. */
  _Atomic int ends[64];      /* By handle. */
  char first_hit[8];
  uint64_t snapshot;
  int32_t in_flight;
  jd_target_health_t health;
} fixture_t;

/* Callback before a write. */
static gboolean
may_write (void *context, uint64_t handle)
{
  fixture_t *fixture = context;
  fixture->asked_to_write++;
  return !fixture->refuses_writes;
}

/* Callback at the end of an attempt. */
static void
on_reply (void *context, uint64_t handle, jd_target_reply_t *reply)
{
  fixture_t *fixture = context;
  fixture->replies++;
  fixture->kinds[handle] = reply->kind;
  fixture->ends[handle]++;
  fixture->snapshot = reply->snapshot;
  fixture->in_flight = reply->in_flight;
  g_strlcpy (fixture->first_hit, reply->hit_count > 0 ? reply->hits[0].id : "",
             sizeof (fixture->first_hit));
}

/* Callback of a health read. */
static void
on_health (void *context, const char *target, const jd_target_health_t *health)
{
  fixture_t *fixture = context;
  fixture->health_reads++;
  fixture->health = health ? *health : (jd_target_health_t){ 0 };
}

/* Starts the server and a client that knows it. */
static void
set_up (fixture_t *fixture)
{
  *fixture = (fixture_t){ .poll = jd_event_poll_new () };
  jd_bad_target_start (&fixture->target);
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

/* Frees everything. */
static void
tear_down (fixture_t *fixture)
{
  jd_target_client_free (fixture->client);
  jd_event_poll_free (fixture->poll);
  jd_bad_target_stop (&fixture->target);
}

/* Starts an attempt; returns its handle. */
static uint64_t
start (fixture_t *fixture, jd_work_kind_t kind, int64_t timeout_ms)
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

/* Runs the client once. */
static void
step (fixture_t *fixture)
{
  jd_target_client_run (fixture->client);
  jd_event_poll_wait (fixture->poll, 2);
  jd_target_client_run (fixture->client);
}

/* Runs the client until a count reaches a value; FALSE after 5 s. */
static gboolean
run_until (fixture_t *fixture, const _Atomic int *count, int wanted)
{
  const jd_clock_t clock = jd_clock_system ();
  int64_t end_us = jd_clock_now_us (&clock) + 5 * JD_US_PER_S;
  while (*count < wanted && jd_clock_now_us (&clock) < end_us)
    step (fixture);
  return *count >= wanted;
}

/* Runs one attempt to its end and returns how it ended. */
static jd_reply_kind_t
run_one (fixture_t *fixture, jd_work_kind_t kind)
{
  uint64_t handle = start (fixture, kind, 1000);
  CU_ASSERT (run_until (fixture, &fixture->ends[handle], 1));
  return fixture->kinds[handle];
}

/* Guards against a connection per request, hits out of order, and headers that are
 * missing or can be forged by the text of a query. */
static void
requests_share_a_connection (void)
{
  fixture_t fixture;
  set_up (&fixture);
  for (int i = 0; i < 5; i++)
    CU_ASSERT_EQUAL (run_one (&fixture, JD_WORK_SEARCH), JD_REPLY_OK);
  CU_ASSERT_EQUAL (fixture.target.connections, 1);
  CU_ASSERT_STRING_EQUAL (fixture.first_hit, "b");
  CU_ASSERT_EQUAL (fixture.snapshot, 3);
  CU_ASSERT_EQUAL (fixture.in_flight, 2);
  const char *head = fixture.target.last_head;
  CU_ASSERT (strstr (head, "/search?shard=s0&q=a%2F..%2Fb%20c&limit=10 ") != NULL);
  CU_ASSERT (strstr (head, "X-Request-Id: test-5\r\n") != NULL);
  CU_ASSERT (strstr (head, "X-Organisation: hospital\r\n") != NULL);
  const char *deadline = strstr (head, "X-Deadline-Ms:");
  CU_ASSERT_FATAL (deadline != NULL);
  int left_ms = atoi (deadline + strlen ("X-Deadline-Ms:"));
  CU_ASSERT (left_ms > 0 && left_ms <= 1000);
  jd_target_client_probe (fixture.client, "t0", JD_US_PER_S);
  CU_ASSERT (run_until (&fixture, &fixture.health_reads, 1));
  CU_ASSERT (fixture.health.cold && fixture.health.draining);
  CU_ASSERT_EQUAL (fixture.health.snapshot_count, 2);
  CU_ASSERT_EQUAL (fixture.health.snapshots[0], 3);
  tear_down (&fixture);
}

/* Guards against an edit that runs twice because curl repeats it by itself when a kept
 * connection dies before the reply. The fetch shows that curl does so. */
static void
edit_is_never_repeated (void)
{
  fixture_t fixture;
  set_up (&fixture);
  CU_ASSERT_EQUAL (run_one (&fixture, JD_WORK_FETCH), JD_REPLY_OK);
  fixture.target.mode = JD_BAD_CLOSE;
  CU_ASSERT_EQUAL (run_one (&fixture, JD_WORK_EDIT), JD_REPLY_BROKEN);
  CU_ASSERT_EQUAL (fixture.target.edits, 1);
  CU_ASSERT_EQUAL (run_one (&fixture, JD_WORK_FETCH), JD_REPLY_BROKEN);
  CU_ASSERT_EQUAL (fixture.target.reads, 3);
  fixture.target.mode = JD_BAD_NOTHING;
  CU_ASSERT_EQUAL (run_one (&fixture, JD_WORK_EDIT), JD_REPLY_OK);
  CU_ASSERT_EQUAL (fixture.target.edits, 2);
  tear_down (&fixture);
}

/* Guards against "not run" that is not true, and against an unsent attempt that is
 * reported as perhaps sent. */
static void
not_sent_is_certain (void)
{
  fixture_t fixture;
  set_up (&fixture);
  fixture.refuses_writes = TRUE;
  start (&fixture, JD_WORK_EDIT, 1000);
  CU_ASSERT (run_until (&fixture, &fixture.asked_to_write, 1));
  uint64_t cancelled = start (&fixture, JD_WORK_EDIT, 1000);
  jd_target_client_cancel (fixture.client, cancelled);
  CU_ASSERT (run_until (&fixture, &fixture.replies, 1));
  CU_ASSERT_EQUAL (fixture.kinds[cancelled], JD_REPLY_NOT_SENT);
  CU_ASSERT_EQUAL (fixture.ends[1], 0);
  CU_ASSERT_EQUAL (fixture.target.edits, 0);
  char address[64];
  g_snprintf (address, sizeof (address), "127.0.0.1:%u", jd_test_free_port ());
  jd_target_client_set_target (fixture.client, "t0", address, CONNECTIONS);
  int asked = fixture.asked_to_write;
  CU_ASSERT_EQUAL (run_one (&fixture, JD_WORK_EDIT), JD_REPLY_NOT_SENT);
  CU_ASSERT_EQUAL (fixture.asked_to_write, asked);
  jd_target_client_drop_target (fixture.client, "t0");
  CU_ASSERT_EQUAL (run_one (&fixture, JD_WORK_EDIT), JD_REPLY_NOT_SENT);
  tear_down (&fixture);
}

/* Guards against the reply to another request being taken for the own one, also through
 * later use of the same connection. */
static void
crossed_reply_closes_the_connection (void)
{
  fixture_t fixture;
  set_up (&fixture);
  fixture.target.mode = JD_BAD_CROSSED;
  CU_ASSERT_EQUAL (run_one (&fixture, JD_WORK_SEARCH), JD_REPLY_CROSSED);
  CU_ASSERT_STRING_EQUAL (fixture.first_hit, "");
  CU_ASSERT_EQUAL (fixture.snapshot, 0);
  CU_ASSERT_EQUAL (run_one (&fixture, JD_WORK_EDIT), JD_REPLY_CROSSED);
  fixture.target.mode = JD_BAD_NOTHING;
  CU_ASSERT_EQUAL (run_one (&fixture, JD_WORK_SEARCH), JD_REPLY_OK);
  CU_ASSERT_EQUAL (fixture.target.connections, 3);
  tear_down (&fixture);
}

/* Guards against attempts that wait behind a silent connection, for a reply or for a free
 * connection, and against a silent connection that is used again. */
static void
silent_connections_hold_nobody_up (void)
{
  fixture_t fixture;
  set_up (&fixture);
  CU_ASSERT_EQUAL (run_one (&fixture, JD_WORK_SEARCH), JD_REPLY_OK);
  fixture.target.mode = JD_BAD_SILENT;
  uint64_t silent[CONNECTIONS];
  for (int i = 0; i < CONNECTIONS; i++)
    silent[i] = start (&fixture, JD_WORK_SEARCH, 300);
  CU_ASSERT (run_until (&fixture, &fixture.target.reads, 1 + CONNECTIONS));
  CU_ASSERT_EQUAL (run_one (&fixture, JD_WORK_SEARCH), JD_REPLY_NOT_SENT);
  CU_ASSERT_EQUAL (fixture.ends[silent[0]], 0);
  CU_ASSERT (run_until (&fixture, &fixture.replies, 2 + CONNECTIONS));
  for (int i = 0; i < CONNECTIONS; i++)
    CU_ASSERT_EQUAL (fixture.kinds[silent[i]], JD_REPLY_TIMEOUT);
  uint64_t last = start (&fixture, JD_WORK_SEARCH, 300);
  CU_ASSERT (run_until (&fixture, &fixture.target.reads, 2 + CONNECTIONS));
  fixture.target.mode = JD_BAD_NOTHING;
  CU_ASSERT_EQUAL (run_one (&fixture, JD_WORK_SEARCH), JD_REPLY_OK);
  CU_ASSERT_EQUAL (fixture.ends[last], 0);
  tear_down (&fixture);
}

/* Guards against a cancellation that the target does not get, that ends the wrong
 * request, or whose late reply is read by a later request. */
static void
cancellation_reaches_the_target (void)
{
  fixture_t fixture;
  set_up (&fixture);
  CU_ASSERT_EQUAL (run_one (&fixture, JD_WORK_SEARCH), JD_REPLY_OK);
  fixture.target.mode = JD_BAD_UNTIL_CANCEL;
  uint64_t handle = start (&fixture, JD_WORK_SEARCH, 2000);
  CU_ASSERT (run_until (&fixture, &fixture.target.reads, 2));
  jd_target_client_cancel (fixture.client, handle);
  CU_ASSERT (run_until (&fixture, &fixture.ends[handle], 1));
  CU_ASSERT_EQUAL (fixture.target.cancels, 1);
  fixture.target.mode = JD_BAD_NOTHING;
  int connections = fixture.target.connections;
  for (int i = 0; i < 3; i++)
    CU_ASSERT_EQUAL (run_one (&fixture, JD_WORK_FETCH), JD_REPLY_OK);
  CU_ASSERT_EQUAL (fixture.target.connections, connections);
  CU_ASSERT (connections <= 2);
  CU_ASSERT_EQUAL (fixture.ends[handle], 1);
  tear_down (&fixture);
}

/* Guards against an edit that waits for a connection although all of them are idle: its
 * new connection must replace a kept one. */
static void
edit_replaces_an_idle_connection (void)
{
  fixture_t fixture;
  set_up (&fixture);
  for (int i = 0; i < CONNECTIONS; i++)
    start (&fixture, JD_WORK_SEARCH, 1000);
  CU_ASSERT (run_until (&fixture, &fixture.replies, CONNECTIONS));
  CU_ASSERT_EQUAL (fixture.target.connections, CONNECTIONS);
  for (int i = 0; i < 2; i++)
    CU_ASSERT_EQUAL (run_one (&fixture, JD_WORK_EDIT), JD_REPLY_OK);
  CU_ASSERT_EQUAL (run_one (&fixture, JD_WORK_SEARCH), JD_REPLY_OK);
  for (int i = 0; i < 1000 && fixture.target.open > CONNECTIONS; i++)
    g_usleep (1000);
  CU_ASSERT (fixture.target.open <= CONNECTIONS);
  CU_ASSERT_EQUAL (fixture.target.connections, CONNECTIONS + 2);
  tear_down (&fixture);
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "requests share a connection", requests_share_a_connection },
    { "edit is never repeated", edit_is_never_repeated },
    { "not sent is certain", not_sent_is_certain },
    { "crossed reply closes the connection", crossed_reply_closes_the_connection },
    { "silent connections hold nobody up", silent_connections_hold_nobody_up },
    { "edit replaces an idle connection", edit_replaces_an_idle_connection },
    { "cancellation reaches the target", cancellation_reaches_the_target },
  };
  return JD_TEST_RUN ("target_client", cases);
}
