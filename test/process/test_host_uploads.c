#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "support/host_lab.h"
#include "support/test_main.h"

#define SHARDS 2U
#define STUDIO (size_t) (2U * SHARDS) /* Index of the first target of service studio. */
#define MEMORY_MB 64U
#define UPLOADS 300U
#define UPLOAD_BYTES 60000U
#define WORK_US (500 * JD_US_PER_MS)
/* Uploads that are small enough to start while long ones take most of the memory. */
#define SHORT_UPLOAD_BYTES 16000U
#define LONG_UPLOADS 100U
#define DEADLINE_MS 3000U /* Of requests that may expire. */
#define BATCH_UPLOADS 20U
#define PATIENT_DEADLINE_MS 9000U /* All edits that start are answered within it. */

typedef struct jd_upload_counts
{
  uint32_t running;
  uint32_t served;
  uint32_t rejected; /* With 503: not run. */
  uint32_t expired;  /* With 504, at their deadline. */
  uint32_t cut;      /* Without an answer. */
} jd_upload_counts_t;

static void
count_reply (void *context, const jd_host_fixture_reply_t *reply)
{
  jd_upload_counts_t *counts = context;
  counts->running--;
  counts->served += reply->status == 200;
  counts->rejected += reply->status == 503;
  counts->expired += reply->status == 504;
  counts->cut += reply->status == 0;
  CU_ASSERT_TRUE (reply->status != 503 || reply->retry_after);
}

/* Starts an edit with a body of some bytes. */
static void
start_upload (jd_host_fixture_t *fixture, uint32_t number, uint32_t bytes,
              uint32_t deadline_ms, jd_upload_counts_t *counts)
{
  char *body = g_strnfill (bytes, 'b');
  char *text = g_strdup_printf (
      "POST /edit/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: upload-%u\r\n"
      "X-Deadline-Ms: %u\r\n" JD_HOST_FIXTURE_KEY "Content-Length: %u\r\n\r\n%s",
      number, deadline_ms, bytes, body);
  counts->running++;
  jd_host_fixture_call_async (fixture, 0, text, 9.0, count_reply, counts);
  g_free (text);
  g_free (body);
}

/* Starts a host with little memory whose targets for edits take some time. */
static void
open_small_host (jd_host_fixture_t *fixture, int64_t work_us)
{
  *fixture = (jd_host_fixture_t){ .route_timeout_ms = 10000, .memory_mb = MEMORY_MB };
  jd_host_fixture_open (fixture, 1, SHARDS);
  CU_ASSERT_TRUE_FATAL (jd_host_fixture_wait_ready (fixture, 0, 5.0));
  jd_host_fixture_run (fixture, 1.0);
  jd_shard_faults_t faults = { .delay_us = work_us };
  for (size_t i = STUDIO; i < STUDIO + 2; i++)
    jd_shard_target_set_faults (fixture->targets[i].target, &faults);
}

/* Waits until all UPLOADS requests have ended and checks that each got an answer. */
static void
await_answers (jd_host_fixture_t *fixture, const jd_upload_counts_t *counts)
{
  int64_t end_us = jd_monotonic_us () + 9 * JD_US_PER_S;
  while (counts->running > 0 && jd_monotonic_us () < end_us)
    jd_host_fixture_run (fixture, 0.05);
  printf ("served %u, rejected %u, expired %u, cut %u ", counts->served, counts->rejected,
          counts->expired, counts->cut);
  CU_ASSERT_EQUAL (counts->running, 0);
  CU_ASSERT_EQUAL (counts->cut, 0);
  CU_ASSERT_TRUE (counts->served > 0);
  CU_ASSERT_EQUAL (counts->served + counts->rejected + counts->expired, UPLOADS);
}

/* Starts UPLOADS edits at a host with little memory, first long ones and then short ones,
 * and checks that each is answered and that a rejected one has not run. */
static void
check_uploads (uint32_t long_uploads, int64_t work_us, uint32_t deadline_ms)
{
  static jd_host_fixture_t fixture;
  jd_upload_counts_t counts = { 0 };
  open_small_host (&fixture, work_us);
  for (uint32_t i = 0; i < UPLOADS; i++)
    {
      start_upload (&fixture, i, i < long_uploads ? UPLOAD_BYTES : SHORT_UPLOAD_BYTES,
                    deadline_ms, &counts);
      /* Short ones arrive while the long ones run. */
      if (i + 1 >= long_uploads && i % BATCH_UPLOADS == 0)
        jd_host_fixture_run (&fixture, 0.05);
    }
  await_answers (&fixture, &counts);
  CU_ASSERT_TRUE (counts.rejected > 0);
  CU_ASSERT_TRUE (counts.expired == 0 || deadline_ms < PATIENT_DEADLINE_MS);
  uint32_t runs = jd_shard_target_total_run_count (fixture.targets[STUDIO].target) +
                  jd_shard_target_total_run_count (fixture.targets[STUDIO + 1].target);
  CU_ASSERT_TRUE (runs >= counts.served && runs <= UPLOADS - counts.rejected);
  CU_ASSERT_EQUAL (jd_host_fixture_stop_host (&fixture, 0, SIGTERM), 0);
  jd_host_fixture_close (&fixture);
}

/* Guards against edits whose callers lose their connection because the uploads of others
 * fill the memory (review/3). */
static void
running_edits_survive_many_uploads (void)
{
  check_uploads (UPLOADS, WORK_US, PATIENT_DEADLINE_MS);
}

/* Guards against long running edits that are cut because short ones start without a limit
 * on what all of them hold together (review/8). */
static void
running_edits_survive_short_uploads (void)
{
  check_uploads (LONG_UPLOADS, 4 * WORK_US, DEADLINE_MS);
}

/* Guards against running requests that are cut without an answer, because their callers
 * send another one behind them, whose bytes counted as those of the running one
 * (review/14). */
static void
running_requests_survive_bytes_behind_them (void)
{
  static jd_host_fixture_t fixture;
  jd_upload_counts_t counts = { 0 };
  open_small_host (&fixture, WORK_US);
  char *body = g_strnfill (UPLOAD_BYTES, 'b');
  for (uint32_t i = 0; i < UPLOADS; i++)
    {
      char *text = g_strdup_printf (
          "GET /fetch/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: long-%u\r\n"
          "X-Deadline-Ms: %u\r\n" JD_HOST_FIXTURE_KEY "\r\n"
          "POST /edit/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: behind-%u\r\n"
          "X-Deadline-Ms: %u\r\n" JD_HOST_FIXTURE_KEY "Content-Length: %u\r\n\r\n%s",
          i, DEADLINE_MS, i, DEADLINE_MS, UPLOAD_BYTES, body);
      counts.running++;
      jd_host_fixture_call_async (&fixture, 0, text, 9.0, count_reply, &counts);
      g_free (text);
    }
  g_free (body);
  await_answers (&fixture, &counts);
  CU_ASSERT_EQUAL (jd_host_fixture_stop_host (&fixture, 0, SIGTERM), 0);
  jd_host_fixture_close (&fixture);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "running edits survive many uploads", running_edits_survive_many_uploads },
    { "running edits survive short uploads", running_edits_survive_short_uploads },
    { "running requests survive bytes behind them",
      running_requests_survive_bytes_behind_them },
  };
  return JD_TEST_RUN ("host_uploads", cases);
}
