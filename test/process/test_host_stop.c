#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "support/host_lab.h"
#include "support/test_main.h"
#include "transport/socket_address.h"

#define SHARDS 2U
#define STUDIO (size_t) (2U * SHARDS) /* Index of the first target of service studio. */
#define EDITS 100U
#define EDIT_HEAD                                                                        \
  "POST /edit/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\n"                  \
  "X-Deadline-Ms: 9000\r\n" JD_HOST_FIXTURE_KEY "Content-Length: 4\r\n\r\n"

typedef struct jd_stop_counts
{
  uint32_t running;
  uint32_t served;
  uint32_t rejected; /* With 503: not run. */
  uint32_t unknown;  /* With 504: a target may have run the request. */
  uint32_t cut;      /* Without an answer. */
} jd_stop_counts_t;

static void
count_status (jd_stop_counts_t *counts, uint32_t status)
{
  counts->served += status == 200;
  counts->rejected += status == 503;
  counts->unknown += status == 504;
  counts->cut += status == 0;
}

static void
count_reply (void *context, const jd_host_fixture_reply_t *reply)
{
  jd_stop_counts_t *counts = context;
  counts->running--;
  count_status (counts, reply->status);
}

/* Starts a host whose routes have a time limit beyond the grace period. */
static void
open_fixture (jd_host_fixture_t *fixture)
{
  *fixture = (jd_host_fixture_t){ .route_timeout_ms = 10000 };
  jd_host_fixture_open (fixture, 1, SHARDS);
  CU_ASSERT_TRUE_FATAL (jd_host_fixture_wait_ready (fixture, 0, 5.0));
  jd_host_fixture_run (fixture, 1.0);
}

static void
set_studio_delay (jd_host_fixture_t *fixture, int64_t delay_ms)
{
  jd_shard_faults_t faults = { .delay_us = delay_ms * JD_US_PER_MS };
  for (size_t i = STUDIO; i < STUDIO + 2; i++)
    jd_shard_target_set_faults (fixture->targets[i].target, &faults);
}

/* Returns how often the targets ran an edit. */
static uint32_t
run_count (const jd_host_fixture_t *fixture, const char *id)
{
  return jd_shard_target_run_count (fixture->targets[STUDIO].target, id) +
         jd_shard_target_run_count (fixture->targets[STUDIO + 1].target, id);
}

/* Guards against requests that a stopping host has read and cuts without an answer: those
 * that wait for a connection to a target, and those that run at the end (review/4). */
static void
waiting_requests_are_answered (void)
{
  static jd_host_fixture_t fixture;
  jd_stop_counts_t counts = { 0 };
  open_fixture (&fixture);
  set_studio_delay (&fixture, 1500);
  for (uint32_t i = 0; i < EDITS; i++)
    {
      char id[16];
      g_snprintf (id, sizeof (id), "edit-%u", i);
      char *text = g_strdup_printf (EDIT_HEAD "text", id);
      jd_host_fixture_call_async (&fixture, 0, text, 9.0, count_reply, &counts);
      counts.running++;
      g_free (text);
    }
  jd_host_fixture_run (&fixture, 0.3);
  CU_ASSERT_EQUAL (jd_host_fixture_stop_host (&fixture, 0, SIGTERM), 0);
  jd_host_fixture_run (&fixture, 0.1);
  CU_ASSERT_EQUAL (counts.running, 0);
  CU_ASSERT_EQUAL (counts.cut, 0);
  CU_ASSERT_TRUE (counts.served > 0);
  CU_ASSERT_TRUE (counts.rejected > 0);
  CU_ASSERT_EQUAL (counts.served + counts.rejected + counts.unknown, EDITS);
  uint32_t runs = 0;
  for (uint32_t i = 0; i < EDITS; i++)
    {
      char id[16];
      g_snprintf (id, sizeof (id), "edit-%u", i);
      runs += run_count (&fixture, id);
    }
  /* A rejected request has not run. */
  CU_ASSERT_EQUAL (runs, counts.served + counts.unknown);
  jd_host_fixture_close (&fixture);
}

/* An edit whose body is sent in two pieces. */
typedef struct jd_slow_upload
{
  const char *id;
  int fd;
} jd_slow_upload_t;

/* Returns a new connection to the host. */
static int
open_connection (const jd_host_fixture_t *fixture)
{
  struct sockaddr_in address;
  char text[64];
  g_snprintf (text, sizeof (text), "%s:%u", fixture->hosts[0].ip,
              fixture->hosts[0].callers_port);
  jd_socket_parse_address (text, &address);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  CU_ASSERT_EQUAL_FATAL (connect (fd, (struct sockaddr *)&address, sizeof (address)), 0);
  return fd;
}

/* Sends the head and the first half of the body of an edit. */
static jd_slow_upload_t
start_upload (jd_host_fixture_t *fixture, const char *id)
{
  jd_slow_upload_t upload = { .id = id, .fd = open_connection (fixture) };
  char *head = g_strdup_printf (EDIT_HEAD "te", id);
  CU_ASSERT_EQUAL (send (upload.fd, head, strlen (head), MSG_NOSIGNAL),
                   (ssize_t)strlen (head));
  g_free (head);
  return upload;
}

static void
finish_upload (const jd_slow_upload_t *upload)
{
  CU_ASSERT_EQUAL (send (upload->fd, "xt", 2, MSG_NOSIGNAL), 2);
}

/* Returns the status of the answer, 0 if the connection ends without one, or 1 if neither
 * arrives within the time. The event loop runs meanwhile. */
static uint32_t
wait_for_answer (jd_host_fixture_t *fixture, const jd_slow_upload_t *upload,
                 double seconds)
{
  char data[64] = "";
  int64_t end_us = jd_monotonic_us () + (int64_t)(seconds * (double)JD_US_PER_S);
  while (jd_monotonic_us () < end_us)
    {
      jd_host_fixture_run (fixture, 0.02);
      ssize_t size = recv (upload->fd, data, sizeof (data) - 1, MSG_DONTWAIT);
      if (size >= 0)
        return size == 0 ? 0 : (uint32_t)atoi (data + strlen ("HTTP/1.1 "));
    }
  return 1;
}

/* Guards against edits that arrive late in the grace period, run and are cut without an
 * answer: one that cannot be answered in time is rejected at once and does not run, and
 * one that still runs at the end is answered. */
static void
late_requests_are_answered (void)
{
  static jd_host_fixture_t fixture;
  open_fixture (&fixture);
  set_studio_delay (&fixture, 8000);
  jd_slow_upload_t early = start_upload (&fixture, "early");
  jd_slow_upload_t late = start_upload (&fixture, "late");
  jd_host_fixture_run (&fixture, 0.1);
  kill (fixture.hosts[0].pid, SIGTERM);
  jd_host_fixture_run (&fixture, 3.2);
  finish_upload (&early);
  jd_host_fixture_run (&fixture, 1.8);
  CU_ASSERT_EQUAL (run_count (&fixture, "early"), 1);
  finish_upload (&late);
  CU_ASSERT_EQUAL (wait_for_answer (&fixture, &late, 0.2), 503);
  CU_ASSERT_EQUAL (run_count (&fixture, "late"), 0);
  CU_ASSERT_EQUAL (wait_for_answer (&fixture, &early, 1.0), 504);
  CU_ASSERT_EQUAL (jd_host_fixture_stop_host (&fixture, 0, SIGTERM), 0);
  close (early.fd);
  close (late.fd);
  jd_host_fixture_close (&fixture);
}

/* Reads from a connection until it ends. Returns the number of answers. The event loop
 * runs meanwhile. */
static uint32_t
count_answers (jd_host_fixture_t *fixture, int fd, double seconds)
{
  GString *text = g_string_new (NULL);
  int64_t end_us = jd_monotonic_us () + (int64_t)(seconds * (double)JD_US_PER_S);
  while (jd_monotonic_us () < end_us)
    {
      char data[4096];
      jd_host_fixture_run (fixture, 0.02);
      ssize_t size = recv (fd, data, sizeof (data), MSG_DONTWAIT);
      if (size == 0)
        break;
      if (size > 0)
        g_string_append_len (text, data, size);
    }
  uint32_t count = 0;
  for (const char *at = text->str; (at = strstr (at, "HTTP/1.1 ")); at++)
    count++;
  CU_ASSERT_PTR_NOT_NULL (strstr (text->str, "Connection: close"));
  g_string_free (text, TRUE);
  return count;
}

#define PIPELINED 3U

/* Guards against requests that a stopping host has read behind a running one of their
 * connection and drops when that one is answered (review/9). */
static void
pipelined_requests_are_answered (void)
{
  static jd_host_fixture_t fixture;
  open_fixture (&fixture);
  set_studio_delay (&fixture, 300);
  GString *text = g_string_new (NULL);
  for (uint32_t i = 0; i < PIPELINED; i++)
    g_string_append_printf (
        text,
        "GET /fetch/1 HTTP/1.1\r\nHost: shop.example\r\n"
        "X-Attempt-Id: fetch-%u\r\nX-Deadline-Ms: 3000\r\n" JD_HOST_FIXTURE_KEY "\r\n",
        i);
  int fd = open_connection (&fixture);
  CU_ASSERT_EQUAL (send (fd, text->str, text->len, MSG_NOSIGNAL), (ssize_t)text->len);
  jd_host_fixture_run (&fixture, 0.1);
  kill (fixture.hosts[0].pid, SIGTERM);
  CU_ASSERT_EQUAL (count_answers (&fixture, fd, 3.0), PIPELINED);
  CU_ASSERT_EQUAL (jd_host_fixture_stop_host (&fixture, 0, SIGTERM), 0);
  g_string_free (text, TRUE);
  close (fd);
  jd_host_fixture_close (&fixture);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "waiting requests are answered", waiting_requests_are_answered },
    { "late requests are answered", late_requests_are_answered },
    { "pipelined requests are answered", pipelined_requests_are_answered },
  };
  return JD_TEST_RUN ("host_stop", cases);
}
