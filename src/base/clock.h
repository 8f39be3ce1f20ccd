#pragma once

#include <stdint.h>

#define JD_US_PER_MS INT64_C (1000)
#define JD_US_PER_S INT64_C (1000000)

/* Source of monotonic time in microseconds. */
typedef struct jd_clock
{
  int64_t (*now_us) (void *context);
  void *context;
} jd_clock_t;

int64_t jd_clock_now_us (const jd_clock_t *clock);
jd_clock_t jd_clock_system (void);
int64_t jd_monotonic_us (void);
int64_t jd_wall_time_us (void);
