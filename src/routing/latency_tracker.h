#pragma once

#include "base/latency_histogram.h"

/* Latency distribution of one target or service as an entry sees it: from handing the
 * work to the transport to its outcome. */
typedef struct jd_latency_tracker
{
  jd_latency_histogram_t histogram;
  double recent_us; /* Exponentially weighted mean; 0 while unknown. */
  int64_t median_us;
  int64_t hedge_us; /* Quantile of the last query; see quantile. */
  double quantile;
  uint32_t since_refresh;
  int64_t updated_us; /* Time of the newest latency. */
} jd_latency_tracker_t;

void jd_latency_tracker_record (jd_latency_tracker_t *tracker, int64_t latency_us,
                                int64_t now_us);
double jd_latency_tracker_fading (const jd_latency_tracker_t *tracker, int64_t now_us);
/* -1 while fewer than 20 latencies are known. */
int64_t jd_latency_tracker_quantile_us (jd_latency_tracker_t *tracker, double quantile);
int64_t jd_latency_tracker_median_us (const jd_latency_tracker_t *tracker);
