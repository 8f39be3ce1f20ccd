#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "support/host_lab.h"
#include "support/scripted_target.h"
#include "support/test_main.h"
#include "transport/socket_address.h"

#define SHARDS 8U
#define STUDIO (size_t) (2U * SHARDS) /* Index of the first target of service studio. */
#define TARGETS (STUDIO + 2)
#define MEMORY_MB 160U
#define FIELDS "X-Attempt-Id: $ID\r\nX-Server-Stamp: s.$ID\r\n"
#define BODY "0123456789abcdef0123456789abcdefABCDEFGHIJKLMNOP"
#define BODY_BYTES 48
#define GOOD_ANSWER "HTTP/1.1 200 OK\r\n" FIELDS "Content-Length: 48\r\n\r\n" BODY

typedef struct jd_faulty_fixture
{
  jd_host_fixture_t hosts;
  jd_scripted_target_t *targets[TARGETS];
  uint32_t call_count;
} jd_faulty_fixture_t;

/* Gives all targets the same answer. */
static void
set_answers (jd_faulty_fixture_t *fixture, const jd_scripted_answer_t *answer)
{
  for (size_t i = 0; i < TARGETS; i++)
    jd_scripted_target_set_answer (fixture->targets[i], answer);
}

static const jd_scripted_answer_t good_answer = { .text = GOOD_ANSWER,
                                                  .cut_at = SIZE_MAX };

/* Returns the text of a request with a deadline of 800 ms; free with g_free. */
static char *
request_text (jd_faulty_fixture_t *fixture, const char *target)
{
  return g_strdup_printf (
      "GET %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: r%06u\r\n"
      "X-Deadline-Ms: 800\r\n" JD_HOST_FIXTURE_KEY "\r\n",
      target, fixture->call_count++);
}

static jd_host_fixture_reply_t *
call (jd_faulty_fixture_t *fixture, const char *target)
{
  char *text = request_text (fixture, target);
  jd_host_fixture_reply_t *reply = jd_host_fixture_call (&fixture->hosts, 0, text);
  g_free (text);
  return reply;
}

/* Repeats a call until it is answered with 200; returns FALSE after 5 s. */
static bool
wait_served (jd_faulty_fixture_t *fixture, const char *target)
{
  int64_t end_us = jd_monotonic_us () + 5 * JD_US_PER_S;
  uint32_t status = 0;
  while (status != 200 && jd_monotonic_us () < end_us)
    {
      jd_host_fixture_run (&fixture->hosts, 0.02);
      jd_host_fixture_reply_t *reply = call (fixture, target);
      status = reply->status;
      jd_host_fixture_reply_free (reply);
    }
  return status == 200;
}

/* Starts a host whose targets are scripted ones with good answers. */
static void
fixture_open (jd_faulty_fixture_t *fixture)
{
  *fixture = (jd_faulty_fixture_t){ .hosts = { .memory_mb = MEMORY_MB } };
  jd_host_fixture_open (&fixture->hosts, 1, SHARDS);
  for (size_t i = 0; i < TARGETS; i++)
    {
      jd_host_fixture_target_t *target = &fixture->hosts.targets[i];
      fixture->targets[i] = jd_scripted_target_new (fixture->hosts.loop);
      g_snprintf (target->published_address, sizeof (target->published_address),
                  "127.0.0.1:%u", jd_scripted_target_port (fixture->targets[i]));
      jd_host_fixture_publish_target (&fixture->hosts, (uint32_t)i, "ready");
    }
  set_answers (fixture, &good_answer);
  CU_ASSERT_TRUE_FATAL (jd_host_fixture_wait_ready (&fixture->hosts, 0, 5.0));
  jd_host_fixture_run (&fixture->hosts, 2.5); /* The records of the stand-ins pass. */
  CU_ASSERT_TRUE (wait_served (fixture, "/search/1"));
  CU_ASSERT_TRUE (wait_served (fixture, "/fetch/1"));
}

static void
fixture_close (jd_faulty_fixture_t *fixture)
{
  CU_ASSERT_EQUAL (jd_host_fixture_stop_host (&fixture->hosts, 0, SIGTERM), 0);
  for (size_t i = 0; i < TARGETS; i++)
    jd_scripted_target_free (fixture->targets[i]);
  jd_host_fixture_close (&fixture->hosts);
}

/* Checks what callers get when all targets cut their answer at a byte offset. A search
 * and a fetch are answered with success only if the answer was whole. */
static void
check_cut (jd_faulty_fixture_t *fixture, const char *text, size_t cut_at,
           jd_scripted_end_t end, bool is_whole)
{
  const jd_scripted_answer_t answer = { .text = text, .cut_at = cut_at, .end = end };
  set_answers (fixture, &answer);
  const char *const targets[] = { "/fetch/1", "/search/1" };
  for (size_t i = 0; i < G_N_ELEMENTS (targets); i++)
    {
      jd_host_fixture_reply_t *reply = call (fixture, targets[i]);
      bool is_success = reply->status >= 200 && reply->status < 300;
      if (is_success && !is_whole)
        printf ("%s cut at %zu of \"%.40s\": status %u ", targets[i], cut_at, text,
                reply->status);
      CU_ASSERT_TRUE (!is_success || is_whole);
      CU_ASSERT_FALSE (reply->timed_out);
      if (is_success && i == 0)
        CU_ASSERT_EQUAL (reply->body->len, BODY_BYTES);
      jd_host_fixture_reply_free (reply);
    }
}

/* Guards against a success for an answer that its target cut: at each byte of the head
 * and of the body, with a length, in chunks and until the close, by an orderly close and
 * by a reset. */
static void
cut_answers_are_no_success (void)
{
  static const char *const texts[] = {
    GOOD_ANSWER,
    "HTTP/1.1 200 OK\r\n" FIELDS
    "Transfer-Encoding: chunked\r\n\r\n10\r\n0123456789abcdef"
    "\r\n20;x=1\r\n0123456789abcdefABCDEFGHIJKLMNOP\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\n" FIELDS "\r\n" BODY,
  };
  static jd_faulty_fixture_t fixture;
  fixture_open (&fixture);
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      bool until_close = i == 2;
      /* The id of a request has four bytes more than "$ID", which occurs twice. */
      size_t size = strlen (texts[i]) + 2 * strlen ("r000000") - 2 * strlen ("$ID");
      size_t head_size = (size_t)(strstr (texts[i], "\r\n\r\n") - texts[i]) + 4 +
                         (size - strlen (texts[i]));
      for (size_t cut_at = 0; cut_at < size; cut_at++)
        {
          /* An orderly close is the end of a body without a length: nobody can tell. */
          if (!until_close || cut_at < head_size)
            check_cut (&fixture, texts[i], cut_at, JD_SCRIPTED_CLOSE, false);
          check_cut (&fixture, texts[i], cut_at, JD_SCRIPTED_RESET, false);
        }
      check_cut (&fixture, texts[i], SIZE_MAX, JD_SCRIPTED_CLOSE, true);
    }
  set_answers (&fixture, &good_answer);
  CU_ASSERT_TRUE (wait_served (&fixture, "/search/1"));
  fixture_close (&fixture);
}

/* Returns the peak resident memory of the host in MB. */
static double
peak_mb (const jd_faulty_fixture_t *fixture)
{
  char *path = g_strdup_printf ("/proc/%d/status", (int)fixture->hosts.hosts[0].pid);
  char *text = NULL;
  double peak = 0.0;
  if (g_file_get_contents (path, &text, NULL, NULL) && strstr (text, "VmHWM:"))
    peak = g_ascii_strtod (strstr (text, "VmHWM:") + strlen ("VmHWM:"), NULL) / 1024.0;
  g_free (text);
  g_free (path);
  return peak;
}

/* Calls whose targets answer without end. */
typedef struct jd_endless_calls
{
  uint32_t open_count;
  bool may_succeed; /* The bytes hold a whole answer. */
} jd_endless_calls_t;

static void
on_endless_call_end (void *context, const jd_host_fixture_reply_t *reply)
{
  jd_endless_calls_t *calls = context;
  calls->open_count--;
  CU_ASSERT_TRUE (calls->may_succeed || reply->status < 200 || reply->status >= 300);
}

/* Returns the limit for the peak memory: half of the host's limit. The sanitizer keeps
 * freed memory and pads each block, so its build has no such figure. */
static double
peak_limit_mb (void)
{
#ifdef __SANITIZE_ADDRESS__
  return 1e9;
#else
  return MEMORY_MB / 2.0;
#endif
}

/* Guards against targets that send bytes without end, all at once and in all places of an
 * answer: the host stays within half of its memory, callers get an answer by their
 * deadline and no success, and the host serves as soon as targets are sound. */
static void
endless_answers_do_not_fill_the_memory (void)
{
  char *filler = g_strnfill (4096, 'a');
  char *chunk = g_strdup_printf ("1000\r\n%s\r\n", filler);
  const struct
  {
    const char *name, *text, *endless;
    bool may_succeed;
  } kinds[] = {
    { "header value", "HTTP/1.1 200 OK\r\nX-Filler: ", "aaaaaaaaaaaaaaaa" },
    { "header lines", "HTTP/1.1 200 OK\r\n", "X-Filler: aaaa\r\n" },
    { "body with length", "HTTP/1.1 200 OK\r\n" FIELDS "Content-Length: 4100000\r\n\r\n",
      chunk, .may_succeed = true },
    { "body with a huge length",
      "HTTP/1.1 200 OK\r\n" FIELDS "Content-Length: 18446744073709551615\r\n\r\n",
      chunk },
    { "chunks", "HTTP/1.1 200 OK\r\n" FIELDS "Transfer-Encoding: chunked\r\n\r\n",
      chunk },
    { "body until close", "HTTP/1.1 200 OK\r\n" FIELDS "\r\n", chunk },
    { "chunk size", "HTTP/1.1 200 OK\r\n" FIELDS "Transfer-Encoding: chunked\r\n\r\n",
      "00000000" },
    { "chunk extension",
      "HTTP/1.1 200 OK\r\n" FIELDS "Transfer-Encoding: chunked\r\n\r\n10;x=",
      "aaaaaaaa" },
    { "trailers", "HTTP/1.1 200 OK\r\n" FIELDS "Transfer-Encoding: chunked\r\n\r\n0\r\n",
      "X-Trailer: aaaa\r\n" },
    { "interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "bytes that are no answer", "", "garbage\n" },
    { "answers to others", "",
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 1\r\n\r\na" },
  };
  static jd_faulty_fixture_t fixture;
  fixture_open (&fixture);
  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      const jd_scripted_answer_t answer = { .text = kinds[i].text,
                                            .cut_at = SIZE_MAX,
                                            .endless = kinds[i].endless };
      jd_endless_calls_t calls = { .may_succeed = kinds[i].may_succeed };
      set_answers (&fixture, &answer);
      for (int k = 0; k < 60; k++)
        {
          char *text = request_text (&fixture, k % 4 ? "/search/1" : "/fetch/1");
          calls.open_count++;
          jd_host_fixture_call_async (&fixture.hosts, 0, text, 3.0, on_endless_call_end,
                                      &calls);
          g_free (text);
          jd_host_fixture_run (&fixture.hosts, 0.005);
        }
      jd_host_fixture_run (&fixture.hosts, 1.1);
      CU_ASSERT_EQUAL (calls.open_count, 0);
      if (peak_mb (&fixture) >= peak_limit_mb () || calls.open_count > 0)
        printf ("%s: peak %.1f MB, %u open ", kinds[i].name, peak_mb (&fixture),
                calls.open_count);
      CU_ASSERT_TRUE (peak_mb (&fixture) < peak_limit_mb ());
      set_answers (&fixture, &good_answer);
      CU_ASSERT_TRUE (wait_served (&fixture, "/search/1"));
    }
  printf ("peak %.1f MB ", peak_mb (&fixture));
  fixture_close (&fixture);
  g_free (chunk);
  g_free (filler);
}

/* Guards against bytes without end behind a whole answer: the answer is delivered, and
 * the connection is not used again. */
static void
endless_bytes_after_an_answer_are_discarded (void)
{
  static jd_faulty_fixture_t fixture;
  fixture_open (&fixture);
  const jd_scripted_answer_t answer = { .text = GOOD_ANSWER,
                                        .cut_at = SIZE_MAX,
                                        .endless = "aaaaaaaaaaaaaaaa" };
  set_answers (&fixture, &answer);
  for (int i = 0; i < 20; i++)
    {
      jd_host_fixture_reply_t *reply = call (&fixture, "/search/1");
      CU_ASSERT_EQUAL (reply->status, 200);
      CU_ASSERT_FALSE (reply->has_extra_bytes);
      CU_ASSERT_EQUAL (reply->body->len, (size_t)4 * 16);
      jd_host_fixture_reply_free (reply);
    }
  CU_ASSERT_TRUE (peak_mb (&fixture) < peak_limit_mb ());
  fixture_close (&fixture);
}

/* Opens a connection to the host, sends a fetch and reads nothing. */
static int
open_slow_caller (jd_faulty_fixture_t *fixture)
{
  char *address = g_strdup_printf ("%s:%u", fixture->hosts.hosts[0].ip,
                                   fixture->hosts.hosts[0].callers_port);
  struct sockaddr_in host;
  CU_ASSERT_TRUE (jd_socket_parse_address (address, &host));
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int bytes = 4096;
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof (bytes));
  CU_ASSERT_EQUAL (connect (fd, (struct sockaddr *)&host, sizeof (host)), 0);
  char *text = request_text (fixture, "/fetch/1");
  CU_ASSERT_EQUAL (send (fd, text, strlen (text), MSG_NOSIGNAL), (ssize_t)strlen (text));
  g_free (text);
  g_free (address);
  return fd;
}

/* Guards against callers that do not read their answers and fill the memory of the host,
 * and against others that are not served meanwhile. */
static void
slow_callers_do_not_fill_the_memory (void)
{
  static jd_faulty_fixture_t fixture;
  int callers[120];
  fixture_open (&fixture);
  GString *large =
      g_string_new ("HTTP/1.1 200 OK\r\n" FIELDS "Content-Length: 3000000\r\n\r\n");
  size_t head_bytes = large->len;
  g_string_set_size (large, head_bytes + 3000000);
  memset (large->str + head_bytes, 'a', 3000000);
  const jd_scripted_answer_t answer = { .text = large->str, .cut_at = SIZE_MAX };
  set_answers (&fixture, &answer);
  for (size_t i = 0; i < G_N_ELEMENTS (callers); i++)
    {
      callers[i] = open_slow_caller (&fixture);
      jd_host_fixture_run (&fixture.hosts, 0.02);
    }
  set_answers (&fixture, &good_answer);
  CU_ASSERT_TRUE (wait_served (&fixture, "/search/1"));
  CU_ASSERT_TRUE (wait_served (&fixture, "/fetch/1"));
  printf ("peak %.1f MB ", peak_mb (&fixture));
  CU_ASSERT_TRUE (peak_mb (&fixture) < peak_limit_mb ());
  for (size_t i = 0; i < G_N_ELEMENTS (callers); i++)
    close (callers[i]);
  fixture_close (&fixture);
  g_string_free (large, TRUE);
}

/* Guards against a store that sends bytes without end: the host stays within half of its
 * memory, and serves with the records that it copies from another host. */
static void
endless_store_answers_do_not_fill_the_memory (void)
{
  static const char *const texts[] = {
    "HTTP/1.1 200 OK\r\nX-Filler: ",
    "HTTP/1.1 200 OK\r\n\r\n{\"items\":[",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
  };
  static char block[8192 + 1];
  static jd_faulty_fixture_t fixture;
  memset (block, '[', 8192);
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      fixture = (jd_faulty_fixture_t){ .hosts = { .memory_mb = MEMORY_MB } };
      jd_host_fixture_open (&fixture.hosts, 2, 2);
      CU_ASSERT_TRUE_FATAL (jd_host_fixture_wait_ready (&fixture.hosts, 1, 5.0));
      jd_scripted_target_t *store = jd_scripted_target_new (fixture.hosts.loop);
      const jd_scripted_answer_t answer = { .text = texts[i],
                                            .cut_at = SIZE_MAX,
                                            .endless = block };
      jd_scripted_target_set_answer (store, &answer);
      jd_host_fixture_stop_host (&fixture.hosts, 0, SIGKILL);
      g_snprintf (fixture.hosts.store_address, sizeof (fixture.hosts.store_address),
                  "127.0.0.1:%u", jd_scripted_target_port (store));
      jd_host_fixture_start_host (&fixture.hosts, 0);
      CU_ASSERT_TRUE (jd_host_fixture_wait_ready (&fixture.hosts, 0, 6.0));
      CU_ASSERT_TRUE (wait_served (&fixture, "/search/1"));
      jd_host_fixture_run (&fixture.hosts, 1.2);
      CU_ASSERT_TRUE (jd_scripted_target_request_count (store) > 0);
      CU_ASSERT_TRUE (peak_mb (&fixture) < peak_limit_mb ());
      CU_ASSERT_EQUAL (jd_host_fixture_stop_host (&fixture.hosts, 0, SIGTERM), 0);
      jd_scripted_target_free (store);
      jd_host_fixture_close (&fixture.hosts);
    }
}

/* Calls the host and checks that its caller gets no success and soon, and no status that
 * the protocol does not have. */
static void
check_no_answer (jd_faulty_fixture_t *fixture, const char *target, const char *name)
{
  int64_t start_us = jd_monotonic_us ();
  jd_host_fixture_reply_t *reply = call (fixture, target);
  int64_t elapsed_us = jd_monotonic_us () - start_us;
  bool is_failure = reply->status == 502 || reply->status == 503;
  /* Half of the deadline: the attempts end at once, not at the deadline. */
  bool is_soon = elapsed_us < 400 * JD_US_PER_MS;
  if (!is_failure || !is_soon)
    printf ("%s \"%.24s\": status %u after %.0f ms ", target, name, reply->status,
            (double)elapsed_us / (double)JD_US_PER_MS);
  CU_ASSERT_TRUE (is_failure && is_soon);
  jd_host_fixture_reply_free (reply);
}

/* Guards against an answer with a status that the protocol does not have, such as 000 or
 * 999, that is passed on to the caller or holds it until its deadline; with and without
 * the signature, before and after the true answer, from all targets and from one. */
static void
odd_statuses_are_no_answers (void)
{
  static const char *const lines[] = {
    "HTTP/1.1 000 OK",  "HTTP/1.1 001 OK",  "HTTP/1.1 099 OK", "HTTP/1.1 101 OK",
    "HTTP/1.1 600 OK",  "HTTP/1.1 999 OK",  "HTTP/1.1 2 OK",   "HTTP/1.1 20 OK",
    "HTTP/1.1 0200 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 +200 OK",
    "HTTP/1.1  200 OK", "HTTP/3.1 200 OK",  "HTTP/1.1 000",    "HTTP/1.1 600",
  };
  static const char *const fields[] = { FIELDS, "X-Attempt-Id: $ID\r\n", "" };
  static jd_faulty_fixture_t fixture;
  fixture_open (&fixture);
  for (size_t i = 0; i < G_N_ELEMENTS (lines); i++)
    {
      for (size_t k = 0; k < G_N_ELEMENTS (fields); k++)
        {
          char *text = g_strdup_printf ("%s\r\n%sContent-Length: 48\r\n\r\n" BODY,
                                        lines[i], fields[k]);
          jd_scripted_answer_t answer = { .text = text, .cut_at = SIZE_MAX };
          set_answers (&fixture, &answer);
          check_no_answer (&fixture, "/fetch/1", lines[i]);
          check_no_answer (&fixture, "/search/1", lines[i]);
          char *before = g_strconcat (text, GOOD_ANSWER, NULL);
          answer.text = before;
          set_answers (&fixture, &answer);
          check_no_answer (&fixture, "/fetch/1", lines[i]);
          /* One target only: the other one serves the caller. */
          answer.text = text;
          set_answers (&fixture, &good_answer);
          jd_scripted_target_set_answer (fixture.targets[STUDIO], &answer);
          CU_ASSERT_TRUE (wait_served (&fixture, "/fetch/1"));
          /* After the true answer, its caller gets the true one alone. */
          char *after = g_strconcat (GOOD_ANSWER, text, NULL);
          answer.text = after;
          set_answers (&fixture, &answer);
          CU_ASSERT_TRUE (wait_served (&fixture, "/fetch/1"));
          jd_host_fixture_reply_t *reply = call (&fixture, "/fetch/1");
          CU_ASSERT_TRUE (reply->status != 200 || reply->body->len == BODY_BYTES);
          CU_ASSERT_FALSE (reply->has_extra_bytes);
          jd_host_fixture_reply_free (reply);
          g_free (before);
          g_free (after);
          g_free (text);
        }
    }
  set_answers (&fixture, &good_answer);
  CU_ASSERT_TRUE (wait_served (&fixture, "/search/1"));
  fixture_close (&fixture);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "odd statuses are no answers", odd_statuses_are_no_answers },
    { "cut answers are no success", cut_answers_are_no_success },
    { "endless answers do not fill the memory", endless_answers_do_not_fill_the_memory },
    { "endless bytes after an answer are discarded",
      endless_bytes_after_an_answer_are_discarded },
    { "slow callers do not fill the memory", slow_callers_do_not_fill_the_memory },
    { "endless store answers do not fill the memory",
      endless_store_answers_do_not_fill_the_memory },
  };
  return JD_TEST_RUN ("faulty_answers", cases);
}
