#include "base/log_sink.h"

#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "support/test_main.h"

/* Guards against a host that waits for the reader of its log: with one that has stopped,
 * 100,000 lines take under a second, are counted, and the sink's memory stays bounded. */
static void
stopped_reader_delays_nothing (void)
{
  int ends[2];
  CU_ASSERT_EQUAL (pipe (ends), 0);
  jd_log_sink_t *sink = jd_log_sink_new (ends[1]);
  char line[200];
  memset (line, 'x', sizeof (line));
  line[sizeof (line) - 1] = '\n';
  int64_t start_us = jd_monotonic_us ();
  for (int i = 0; i < 100000; i++)
    jd_log_sink_write (sink, line, sizeof (line));
  CU_ASSERT_TRUE (jd_monotonic_us () - start_us < JD_US_PER_S);
  CU_ASSERT_TRUE (jd_log_sink_lost (sink) > 98000);
  CU_ASSERT_TRUE (jd_log_sink_lost (sink) < 100000);
  jd_log_sink_free (sink);
  close (ends[0]);
  close (ends[1]);
}

/* Guards against one event that floods the log, and against lines that vanish without a
 * count. */
static void
each_event_has_a_rate (void)
{
  jd_log_sink_t *sink = jd_log_sink_new (open ("/dev/null", O_WRONLY));
  uint32_t written = 0, left_out = 0;
  for (int i = 0; i < 10000; i++)
    written += jd_log_sink_admit (sink, "flood", 1, &left_out);
  CU_ASSERT_TRUE (written >= 100 && written <= 1000);
  CU_ASSERT_TRUE (jd_log_sink_admit (sink, "other", 1, &left_out));
  CU_ASSERT_TRUE (jd_log_sink_admit (sink, "flood", 60 * JD_US_PER_S, &left_out));
  CU_ASSERT_EQUAL (left_out, 10000 - written);
  jd_log_sink_free (sink);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "stopped reader delays nothing", stopped_reader_delays_nothing },
    { "each event has a rate", each_event_has_a_rate },
  };
  return JD_TEST_RUN ("log_sink", cases);
}
