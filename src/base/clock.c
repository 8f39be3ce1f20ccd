#include "base/clock.h"

#include <time.h>

/* Reads one system clock in microseconds. */
static int64_t
read_clock_us (clockid_t id)
{
  struct timespec now;
  clock_gettime (id, &now);
  return (int64_t)now.tv_sec * JD_US_PER_S + now.tv_nsec / 1000;
}

/* Returns CLOCK_BOOTTIME, which never steps and also counts while the host is suspended,
 * so that time limits pass during a suspend. */
int64_t
jd_monotonic_us (void)
{
  return read_clock_us (CLOCK_BOOTTIME);
}

/* Clock callback; as jd_monotonic_us. Leases expire during a suspend. */
static int64_t
system_now_us (void *context)
{
  return jd_monotonic_us ();
}

/* Returns the time of a clock in microseconds. */
int64_t
jd_clock_now_us (const jd_clock_t *clock)
{
  return clock->now_us (clock->context);
}

/* Returns the clock of the operating system. */
jd_clock_t
jd_clock_system (void)
{
  return (jd_clock_t){ .now_us = system_now_us };
}

/* Returns wall-clock time in microseconds since the epoch; used for incarnations and
 * logs only, never for durations. */
int64_t
jd_wall_time_us (void)
{
  return read_clock_us (CLOCK_REALTIME);
}
