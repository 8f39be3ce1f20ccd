#include "routing/latency_tracker.h"

#include <glib.h>
#include <math.h>

#include "base/clock.h"

/* The histogram is halved at this many samples, so that older latencies lose weight. High
 * quantiles need many samples: of 2,000, only 40 lie above the 98th percentile. */
#define WINDOW_SAMPLES 2000

/* Quantiles of fewer samples are too unreliable to use. */
#define MIN_SAMPLES 20

/* Quantiles are recomputed after this many samples, because a scan of the histogram per
 * request costs more than the accuracy is worth. */
#define REFRESH_SAMPLES 16

/* Weight of a new sample in the recent mean: it follows a change in about 10 samples. */
#define RECENT_WEIGHT 0.1

/* Time in which latencies lose half of their weight while no new ones arrive. A target
 * that was ten times slower than its peers is tried again after about 3 s. */
#define HALF_LIFE_US JD_US_PER_S

/* A full window of WINDOW_SAMPLES is empty after this many halvings. */
#define MAX_HALVINGS 12

/* Recomputes the stored median and quantile. */
static void
refresh (jd_latency_tracker_t *tracker)
{
  tracker->samples_since_refresh = 0;
  tracker->median_us = jd_latency_histogram_quantile_us (&tracker->histogram, 0.5);
  tracker->quantile_us =
      jd_latency_histogram_quantile_us (&tracker->histogram, tracker->quantile);
}

/* Returns the weight that the recorded latencies still have at now_us: 1 at the time of
 * the last one, halved every HALF_LIFE_US. Without this decay, a target that gets no
 * requests would keep the latency that it had while it was slow, and so would never get
 * requests again. */
double
jd_latency_tracker_decay (const jd_latency_tracker_t *tracker, int64_t now_us)
{
  int64_t age_us = MAX (now_us - tracker->updated_us, 0);
  return exp2 (-(double)age_us / (double)HALF_LIFE_US);
}

/* Halves the histogram once for each full HALF_LIFE_US since the last latency. Returns
 * the remaining weight of the recent mean, 0 to 1. */
static double
decay (jd_latency_tracker_t *tracker, int64_t now_us)
{
  double kept = jd_latency_tracker_decay (tracker, now_us);
  int64_t halvings = MAX (now_us - tracker->updated_us, 0) / HALF_LIFE_US;
  for (int64_t i = 0; i < MIN (halvings, MAX_HALVINGS); i++)
    jd_latency_histogram_halve (&tracker->histogram);
  if (halvings > 0)
    tracker->samples_since_refresh = REFRESH_SAMPLES;
  tracker->updated_us = MAX (now_us, tracker->updated_us);
  return kept;
}

/* Records one latency, which was observed at now_us. */
void
jd_latency_tracker_record (jd_latency_tracker_t *tracker, int64_t latency_us,
                           int64_t now_us)
{
  double kept = decay (tracker, now_us);
  jd_latency_histogram_record (&tracker->histogram, latency_us);
  if (tracker->histogram.total >= WINDOW_SAMPLES)
    jd_latency_histogram_halve (&tracker->histogram);
  double weight = tracker->recent_mean_us > 0 ? 1.0 - (1.0 - RECENT_WEIGHT) * kept : 1.0;
  tracker->recent_mean_us += weight * ((double)latency_us - tracker->recent_mean_us);
  if (++tracker->samples_since_refresh >= REFRESH_SAMPLES ||
      tracker->histogram.total <= MIN_SAMPLES)
    refresh (tracker);
}

/* Returns the latency in microseconds at a quantile from 0 to 1, at most REFRESH_SAMPLES
 * samples old, or -1 while fewer than MIN_SAMPLES are known. A change of quantile costs a
 * scan of the histogram. */
int64_t
jd_latency_tracker_quantile_us (jd_latency_tracker_t *tracker, double quantile)
{
  if (tracker->histogram.total < MIN_SAMPLES)
    return -1;
  if (tracker->quantile != quantile)
    {
      tracker->quantile = quantile;
      refresh (tracker);
    }
  return tracker->quantile_us;
}

/* Returns the median in microseconds, or 0 while no latency is known. */
int64_t
jd_latency_tracker_median_us (const jd_latency_tracker_t *tracker)
{
  return tracker->median_us;
}
