#include "routing/target_load.h"

#include <glib.h>
#include <math.h>

#include "base/clock.h"

/* Weight of a new report in the mean load. */
#define BUSY_SMOOTHING 0.3
/* The mean load decays with this half-life without reports, so that a target that was
 * busy is tried again. */
#define BUSY_HALF_LIFE_US (3 * JD_US_PER_S)
/* The speed of a shared machine changes many times a second: the last report counts most,
 * and not for long. */
#define WORK_SMOOTHING 0.7
#define WORK_HALF_LIFE_US (300 * JD_US_PER_MS)
/* Speeds beyond this range are not told apart. */
#define WORK_FACTOR_MIN 0.2
#define WORK_FACTOR_MAX 20.0
/* Above this share of its slots a target counts as no busier. */
#define BUSY_SHARE_MAX 0.9

/* Returns a value that decays with its age. */
static double
decayed (double value, const jd_target_load_t *load, int64_t half_life_us, int64_t now_us)
{
  return value *
         exp2 (-(double)MAX (now_us - load->updated_us, 0) / (double)half_life_us);
}

/* Updates the load from a report. A report without a speed, as targets on machines of
 * their own send it, changes nothing. */
void
jd_target_load_record (jd_target_load_t *load, const jd_load_report_t *report,
                       int64_t now_us)
{
  if (report->work_percent == 0)
    return;
  double busy_share = ((double)report->running + (double)report->waiting) /
                      (double)MAX (report->slots, 1);
  double work_factor =
      CLAMP (report->work_percent / 100.0, WORK_FACTOR_MIN, WORK_FACTOR_MAX);
  double mean_share = load->updated_us > 0
                          ? decayed (load->busy_share, load, BUSY_HALF_LIFE_US, now_us)
                          : 0.0;
  double current_factor = jd_target_load_work_factor (load, now_us);
  load->busy_share = mean_share + BUSY_SMOOTHING * (busy_share - mean_share);
  load->work_factor = current_factor + WORK_SMOOTHING * (work_factor - current_factor);
  load->updated_us = now_us;
}

/* Returns the expected duration of work at the target, relative to the usual one. */
double
jd_target_load_work_factor (const jd_target_load_t *load, int64_t now_us)
{
  if (load->updated_us == 0)
    return 1.0;
  return 1.0 + decayed (load->work_factor - 1.0, load, WORK_HALF_LIFE_US, now_us);
}

/* Returns the expected wait of a request at the target, in microseconds, if requests take
 * service_us there: that of a queue with two servers and random arrivals (M/M/2), which
 * is the number of slots of search targets. It grows smoothly with the mean load, so that
 * hosts with slightly different estimates spread their requests. */
double
jd_target_load_wait_us (const jd_target_load_t *load, double service_us, int64_t now_us)
{
  if (load->updated_us == 0)
    return 0.0;
  double share =
      MIN (decayed (load->busy_share, load, BUSY_HALF_LIFE_US, now_us), BUSY_SHARE_MAX);
  return service_us * share * share / (1.0 - share * share);
}
