#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "support/host_lab.h"

/* Measures one jackdaw-host on loopback: its processor time for each target request of a
 * search, with everything else that it does, its peak memory, and its calls to the store.
 * The objectives were stated before the first run: 25 us, 30 MB and 2 calls a second. */

#define SHARDS 20U
#define WARM_UP 100
#define SEARCHES 1000
#define OBJECTIVE_US 25.0
#define OBJECTIVE_MB 30.0
#define OBJECTIVE_CALLS_PER_S 2.0

/* Returns the processor time of a process so far. */
static double
processor_us (pid_t pid)
{
  clockid_t clock;
  struct timespec time = { 0 };
  if (clock_getcpuclockid (pid, &clock) != 0 || clock_gettime (clock, &time) != 0)
    g_error ("no processor clock of process %d", (int)pid);
  return (double)time.tv_sec * 1e6 + (double)time.tv_nsec / 1e3;
}

/* Returns the peak memory of a process. */
static double
peak_mb (pid_t pid)
{
  char *path = g_strdup_printf ("/proc/%d/status", (int)pid);
  char *text = NULL;
  if (!g_file_get_contents (path, &text, NULL, NULL))
    g_error ("cannot read %s", path);
  const char *line = strstr (text, "VmHWM:");
  double peak = line ? g_ascii_strtod (line + strlen ("VmHWM:"), NULL) / 1024.0 : 0.0;
  g_free (text);
  g_free (path);
  return peak;
}

/* Sends searches one after the other; each has to be answered by all shards. */
static void
search (jd_host_lab_t *lab, uint32_t first, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      char *text = g_strdup_printf ("GET /search/1 HTTP/1.1\r\nHost: shop.example\r\n"
                                    "X-Attempt-Id: bench-%u\r\nX-Deadline-Ms: 1500\r\n"
                                    "%s\r\n",
                                    first + i, JD_LAB_KEY);
      jd_lab_reply_t *reply = jd_host_lab_call (lab, 0, text);
      if (reply->status != 200)
        g_error ("a search was answered with status %u", reply->status);
      jd_lab_reply_free (reply);
      g_free (text);
    }
}

/* Prints one figure beside its objective. */
static void
print_figure (const char *name, double value, const char *unit, double objective)
{
  printf ("%-40s %8.1f %-10s objective %5.1f %s\n", name, value, unit, objective,
          value <= objective ? "met" : "missed");
}

int
main (void)
{
  jd_host_lab_t lab = { .first_start = true };
  jd_host_lab_open (&lab, 1, SHARDS);
  if (!jd_host_lab_wait_ready (&lab, 0, 5.0))
    g_error ("the host is not ready after 5 s");
  search (&lab, 0, WARM_UP);
  pid_t pid = lab.hosts[0].pid;
  int64_t begin_us = jd_monotonic_us ();
  uint32_t calls = jd_published_store_calls (lab.store);
  double processor = processor_us (pid);
  search (&lab, WARM_UP, SEARCHES);
  processor = processor_us (pid) - processor;
  double elapsed_s = (double)(jd_monotonic_us () - begin_us) / (double)JD_US_PER_S;
  calls = jd_published_store_calls (lab.store) - calls;
  print_figure ("processor time a target request", processor / (SEARCHES * SHARDS), "us",
                OBJECTIVE_US);
  print_figure ("peak memory of a host", peak_mb (pid), "MB", OBJECTIVE_MB);
  print_figure ("calls of a host to the store", (double)calls / elapsed_s, "a second",
                OBJECTIVE_CALLS_PER_S);
  jd_host_lab_close (&lab);
  return 0;
}
