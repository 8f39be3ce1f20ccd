#include <stdio.h>

#include "model/pause_sim.h"

/* Compares ways to return after a pause that a target asked for, by what callers get:
 * 300 hosts, and a target that is overloaded for 6 of 15 s, alone or with two others. */

#define SEEDS 5

/* Prints a row for each way to return; the load is that of one target. */
static void
print_load (uint32_t targets, int64_t pause_ms, double requests_per_s)
{
  static const char *const names[JD_PAUSE_RETURN_COUNT] = {
    [JD_PAUSE_RETURN_AT_ONCE] = "at once",
    [JD_PAUSE_RETURN_SPREAD] = "spread",
    [JD_PAUSE_RETURN_RAMP] = "ramp",
  };
  for (int policy = 0; policy < JD_PAUSE_RETURN_COUNT; policy++)
    {
      double requests = 0, in_time = 0, late = 0, refused = 0, shed = 0, peak = 0;
      for (uint64_t seed = 1; seed <= SEEDS; seed++)
        {
          const jd_pause_load_t load =
              jd_pause_load (targets, requests_per_s, pause_ms, seed);
          jd_pause_result_t result = jd_pause_sim_run (&load, (jd_pause_return_t)policy);
          requests += result.requests;
          in_time += result.in_objective;
          late += result.late;
          refused += result.refused;
          shed += result.shed;
          peak += result.peak_per_100_ms;
        }
      printf ("%7u  %8d  %10.0f  %-8s  %7.4f  %6.4f   %6.4f  %5.0f  %11.0f\n", targets,
              (int)pause_ms, requests_per_s, names[policy], in_time / requests,
              late / requests, refused / requests, shed / SEEDS, peak / SEEDS);
    }
}

int
main (void)
{
  static const int64_t pauses_ms[] = { 500, 2000 };
  static const double loads[] = { 2000.0, 3000.0, 3600.0 };
  static const uint32_t targets[] = { 1, 3 };
  printf ("targets serve 4,000 requests/s, the first one 1,000 for 6 s; mean of %d "
          "seeds; requests/s are of each target\n",
          SEEDS);
  printf ("targets  pause ms  requests/s  return    in time    late  refused    503  "
          "peak/100 ms\n");
  for (size_t t = 0; t < sizeof (targets) / sizeof (targets[0]); t++)
    for (size_t p = 0; p < sizeof (pauses_ms) / sizeof (pauses_ms[0]); p++)
      for (size_t l = 0; l < sizeof (loads) / sizeof (loads[0]); l++)
        print_load (targets[t], pauses_ms[p], loads[l]);
  return 0;
}
