#include "base/clock.h"

#include <time.h>

/* Returns the current time of a system clock in microseconds. */
static int64_t
read_clock_us (clockid_t id)
{
  struct timespec now;
  clock_gettime (id, &now);
  return (int64_t)now.tv_sec * JD_US_PER_S + now.tv_nsec / 1000;
}

/* Returns CLOCK_BOOTTIME in microseconds. This clock never steps and also runs while the
 * host is suspended, so timeouts and leases expire during a suspend. */
int64_t
jd_monotonic_us (void)
{
  return read_clock_us (CLOCK_BOOTTIME);
}

/* Clock callback of jd_clock_system. */
static int64_t
system_now_us (void *context)
{
  return jd_monotonic_us ();
}

/* Returns the current time of a clock in microseconds. */
int64_t
jd_clock_now_us (const jd_clock_t *clock)
{
  return clock->now_us (clock->context);
}

/* Returns a clock that reads jd_monotonic_us. */
jd_clock_t
jd_clock_system (void)
{
  return (jd_clock_t){ .now_us = system_now_us };
}

/* Returns the wall-clock time in microseconds since the epoch. This clock can step, so it
 * is used for incarnations, seeds and logs only, never for durations. */
int64_t
jd_wall_time_us (void)
{
  return read_clock_us (CLOCK_REALTIME);
}
