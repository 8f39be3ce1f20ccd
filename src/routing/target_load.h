#pragma once

#include <stdint.h>

/* The load of a target whose machine is shared with others, estimated from its reports.
 * A report is old when it is used: a host of a large fleet hears of a target every few
 * seconds, and many hosts choose by the same reports at the same time. The estimate is
 * therefore a mean over seconds, which changes slowly, and not the queue of the last
 * report. A zeroed load is that of a target that reports no speed. */
typedef struct jd_target_load
{
  double busy_share;  /* Requests at the target, as a multiple of its slots. */
  double work_factor; /* Duration of its work relative to the usual one. */
  int64_t updated_us; /* Time of the last report; 0: none. */
} jd_target_load_t;

/* The load that a target reports in an answer. */
typedef struct jd_load_report
{
  uint32_t running;
  uint32_t waiting;
  uint32_t slots;        /* 0: unknown. */
  uint32_t work_percent; /* Duration of work, 100: as usual; 0: not reported. */
} jd_load_report_t;

void jd_target_load_record (jd_target_load_t *load, const jd_load_report_t *report,
                            int64_t now_us);
double jd_target_load_work_factor (const jd_target_load_t *load, int64_t now_us);
double jd_target_load_wait_us (const jd_target_load_t *load, double service_us,
                               int64_t now_us);
