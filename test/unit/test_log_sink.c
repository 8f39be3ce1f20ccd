#include "base/log_sink.h"

#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "support/test_main.h"

/* Guards against a host that blocks on the reader of its log: with a reader that has
 * stopped, 100,000 lines take under a second, the lines beyond the bounded buffer are
 * lost and counted. */
static void
stopped_reader_does_not_block_writes (void)
{
  int pipe_fds[2];
  CU_ASSERT_EQUAL (pipe (pipe_fds), 0);
  jd_log_sink_t *sink = jd_log_sink_new (pipe_fds[1]);
  char line[200];
  memset (line, 'x', sizeof (line));
  line[sizeof (line) - 1] = '\n';
  int64_t start_us = jd_monotonic_us ();
  for (int i = 0; i < 100000; i++)
    jd_log_sink_write (sink, line, sizeof (line));
  CU_ASSERT_TRUE (jd_monotonic_us () - start_us < JD_US_PER_S);
  CU_ASSERT_TRUE (jd_log_sink_lost_lines (sink) > 98000);
  CU_ASSERT_TRUE (jd_log_sink_lost_lines (sink) < 100000);
  jd_log_sink_free (sink);
  close (pipe_fds[0]);
  close (pipe_fds[1]);
}

/* Guards against one event that floods the log or suppresses other events, and against
 * suppressed lines that are not counted. */
static void
each_event_has_its_own_rate_limit (void)
{
  jd_log_sink_t *sink = jd_log_sink_new (open ("/dev/null", O_WRONLY));
  uint32_t admitted = 0, suppressed = 0;
  for (int i = 0; i < 10000; i++)
    admitted += jd_log_sink_admit (sink, "flood", 1, &suppressed);
  CU_ASSERT_TRUE (admitted >= 100 && admitted <= 1000);
  CU_ASSERT_TRUE (jd_log_sink_admit (sink, "other", 1, &suppressed));
  CU_ASSERT_TRUE (jd_log_sink_admit (sink, "flood", 60 * JD_US_PER_S, &suppressed));
  CU_ASSERT_EQUAL (suppressed, 10000 - admitted);
  jd_log_sink_free (sink);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "stopped reader does not block writes", stopped_reader_does_not_block_writes },
    { "each event has its own rate limit", each_event_has_its_own_rate_limit },
  };
  return JD_TEST_RUN ("log_sink", cases);
}
