#pragma once

#include "base/latency_histogram.h"

/* Latency distribution of one target or service at an entry. A latency is the time from
 * passing the work to the transport until its outcome arrives. */
typedef struct jd_latency_tracker
{
  jd_latency_histogram_t histogram;
  double recent_mean_us; /* Exponentially weighted mean; 0 while unknown. */
  int64_t median_us;
  int64_t quantile_us; /* Latency at quantile, as of the last refresh. */
  double quantile;     /* Last requested quantile, 0 to 1. */
  uint32_t samples_since_refresh;
  int64_t updated_us; /* Time of the newest latency. */
} jd_latency_tracker_t;

void jd_latency_tracker_record (jd_latency_tracker_t *tracker, int64_t latency_us,
                                int64_t now_us);
double jd_latency_tracker_decay (const jd_latency_tracker_t *tracker, int64_t now_us);
/* Returns -1 while fewer than 20 latencies are known. */
int64_t jd_latency_tracker_quantile_us (jd_latency_tracker_t *tracker, double quantile);
int64_t jd_latency_tracker_median_us (const jd_latency_tracker_t *tracker);
