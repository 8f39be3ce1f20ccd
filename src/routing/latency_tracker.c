#include "routing/latency_tracker.h"

#include <glib.h>
#include <math.h>

#include "base/clock.h"

/* Older latencies lose half of their weight each time this many are held. High
 * quantiles need many samples: at 2,000 the 98th is set by 40 of them. */
#define WINDOW 2000

/* Quantiles of fewer samples are not used. */
#define MIN_SAMPLES 20

/* Quantiles are recomputed after this many samples, since a scan of the histogram per
 * request would cost more than it tells. */
#define REFRESH_SAMPLES 16

/* Weight of a new sample in the recent mean: it follows a change in about 10 samples. */
#define RECENT_WEIGHT 0.1

/* Without new latencies, the old ones lose half of their weight in this time. A target
 * that was ten times slower than its peers is tried again after 3 s. */
#define HALF_LIFE_US JD_US_PER_S

/* Halvings after which nothing is left of a full window. */
#define HALVINGS_MAX 12

/* Recomputes the stored quantiles. */
static void
refresh (jd_latency_tracker_t *tracker)
{
  tracker->since_refresh = 0;
  tracker->median_us = jd_latency_histogram_quantile_us (&tracker->histogram, 0.5);
  tracker->hedge_us =
      jd_latency_histogram_quantile_us (&tracker->histogram, tracker->quantile);
}

/* Returns the factor, 1 at most, by which the latencies count for less because they are
 * old. A target that gets no requests would otherwise keep the latency that it had when
 * it was slow, and so never get any again. */
double
jd_latency_tracker_fading (const jd_latency_tracker_t *tracker, int64_t now_us)
{
  int64_t age_us = MAX (now_us - tracker->updated_us, 0);
  return exp2 (-(double)age_us / (double)HALF_LIFE_US);
}

/* Lets latencies from before a time without any count for less. Returns the part of its
 * weight that the recent mean keeps. */
static double
fade (jd_latency_tracker_t *tracker, int64_t now_us)
{
  double kept = jd_latency_tracker_fading (tracker, now_us);
  int64_t halvings = MAX (now_us - tracker->updated_us, 0) / HALF_LIFE_US;
  for (int64_t i = 0; i < MIN (halvings, HALVINGS_MAX); i++)
    jd_latency_histogram_halve (&tracker->histogram);
  if (halvings > 0)
    tracker->since_refresh = REFRESH_SAMPLES;
  tracker->updated_us = MAX (now_us, tracker->updated_us);
  return kept;
}

/* Adds one latency. */
void
jd_latency_tracker_record (jd_latency_tracker_t *tracker, int64_t latency_us,
                           int64_t now_us)
{
  double kept = fade (tracker, now_us);
  jd_latency_histogram_record (&tracker->histogram, latency_us);
  if (tracker->histogram.total >= WINDOW)
    jd_latency_histogram_halve (&tracker->histogram);
  double weight = tracker->recent_us > 0 ? 1.0 - (1.0 - RECENT_WEIGHT) * kept : 1.0;
  tracker->recent_us += weight * ((double)latency_us - tracker->recent_us);
  if (++tracker->since_refresh >= REFRESH_SAMPLES ||
      tracker->histogram.total <= MIN_SAMPLES)
    refresh (tracker);
}

/* Returns a quantile, at most 16 samples old, or -1 while too little is known. */
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
  return tracker->hedge_us;
}

/* Returns the median, or 0 while nothing is known. */
int64_t
jd_latency_tracker_median_us (const jd_latency_tracker_t *tracker)
{
  return tracker->median_us;
}
