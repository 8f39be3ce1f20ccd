#pragma once

#include <stdint.h>

/* 8 sub-buckets per power of two give a relative error of at most 1/8 for durations from
 * 1 us to about 134 s. */
#define JD_HISTOGRAM_SUB_BUCKETS 8
#define JD_HISTOGRAM_BUCKETS (8 + 24 * JD_HISTOGRAM_SUB_BUCKETS)

/* Histogram of durations in microseconds with logarithmic buckets. A zero-initialized
 * histogram is empty. */
typedef struct jd_latency_histogram
{
  uint32_t counts[JD_HISTOGRAM_BUCKETS];
  uint64_t total;
} jd_latency_histogram_t;

void jd_latency_histogram_record (jd_latency_histogram_t *histogram, int64_t duration_us);
int64_t jd_latency_histogram_quantile_us (const jd_latency_histogram_t *histogram,
                                          double quantile);
void jd_latency_histogram_halve (jd_latency_histogram_t *histogram);
