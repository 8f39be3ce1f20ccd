#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "support/host_lab.h"

/* Measures one jackdaw-host on loopback: its CPU time per target request of a search,
 * including all other work of the process, its peak memory, and its calls to the store.
 * Objectives: 25 us, 30 MB and 2 calls per second. */

#define SHARDS 20U
#define WARM_UP 100
#define SEARCHES 1000
#define OBJECTIVE_CPU_US 25.0
#define OBJECTIVE_PEAK_MB 30.0
#define OBJECTIVE_CALLS_PER_S 2.0

/* Returns the CPU time of a process since its start in microseconds. */
static double
process_cpu_us (pid_t pid)
{
  clockid_t clock;
  struct timespec time = { 0 };
  if (clock_getcpuclockid (pid, &clock) != 0 || clock_gettime (clock, &time) != 0)
    g_error ("cannot read the CPU clock of process %d", (int)pid);
  return (double)time.tv_sec * 1e6 + (double)time.tv_nsec / 1e3;
}

/* Returns the peak resident memory of a process in MB; 0 if the kernel reports none. */
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

/* Sends searches one after the other. Aborts if one of them is not answered by all
 * shards. */
static void
run_searches (jd_host_fixture_t *fixture, uint32_t first, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      char *text = g_strdup_printf ("GET /search/1 HTTP/1.1\r\nHost: shop.example\r\n"
                                    "X-Attempt-Id: bench-%u\r\nX-Deadline-Ms: 1500\r\n"
                                    "%s\r\n",
                                    first + i, JD_HOST_FIXTURE_KEY);
      jd_host_fixture_reply_t *reply = jd_host_fixture_call (fixture, 0, text);
      if (reply->status != 200)
        g_error ("a search returned status %u, expected 200", reply->status);
      jd_host_fixture_reply_free (reply);
      g_free (text);
    }
}

/* Prints a value with its objective. */
static void
print_result (const char *name, double value, const char *unit, double objective)
{
  printf ("%-40s %8.1f %-10s objective %5.1f %s\n", name, value, unit, objective,
          value <= objective ? "met" : "missed");
}

int
main (void)
{
  jd_host_fixture_t fixture = { .first_start = true };
  jd_host_fixture_open (&fixture, 1, SHARDS);
  if (!jd_host_fixture_wait_ready (&fixture, 0, 5.0))
    g_error ("the host is not ready after 5 s");
  run_searches (&fixture, 0, WARM_UP);
  pid_t pid = fixture.hosts[0].pid;
  int64_t begin_us = jd_monotonic_us ();
  uint32_t store_calls = jd_published_store_call_count (fixture.store);
  double cpu_us = process_cpu_us (pid);
  run_searches (&fixture, WARM_UP, SEARCHES);
  cpu_us = process_cpu_us (pid) - cpu_us;
  double elapsed_s = (double)(jd_monotonic_us () - begin_us) / (double)JD_US_PER_S;
  store_calls = jd_published_store_call_count (fixture.store) - store_calls;
  print_result ("CPU time per target request", cpu_us / (SEARCHES * SHARDS), "us",
                OBJECTIVE_CPU_US);
  print_result ("peak memory of a host", peak_mb (pid), "MB", OBJECTIVE_PEAK_MB);
  print_result ("store calls of a host", (double)store_calls / elapsed_s, "per second",
                OBJECTIVE_CALLS_PER_S);
  jd_host_fixture_close (&fixture);
  return 0;
}
