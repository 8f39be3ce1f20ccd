#include "base/latency_histogram.h"

#include <math.h>

/* Returns the index of the bucket that counts a duration. Negative durations count as 0,
 * durations above the range count in the last bucket. */
static uint32_t
bucket_index (int64_t duration_us)
{
  if (duration_us < 0)
    duration_us = 0;
  if (duration_us < JD_HISTOGRAM_SUB_BUCKETS)
    return (uint32_t)duration_us;
  uint32_t exponent = 63 - (uint32_t)__builtin_clzll ((uint64_t)duration_us);
  uint32_t sub_bucket =
      (uint32_t)(duration_us >> (exponent - 3)) & (JD_HISTOGRAM_SUB_BUCKETS - 1);
  uint32_t bucket = (exponent - 2) * JD_HISTOGRAM_SUB_BUCKETS + sub_bucket;
  return bucket < JD_HISTOGRAM_BUCKETS ? bucket : JD_HISTOGRAM_BUCKETS - 1;
}

/* Returns the longest duration in the range of a bucket, in microseconds. The last bucket
 * also counts the durations above its range. */
static int64_t
bucket_upper_us (uint32_t bucket)
{
  if (bucket < JD_HISTOGRAM_SUB_BUCKETS)
    return bucket;
  uint32_t exponent = bucket / JD_HISTOGRAM_SUB_BUCKETS + 2;
  int64_t sub_bucket = bucket % JD_HISTOGRAM_SUB_BUCKETS;
  return ((JD_HISTOGRAM_SUB_BUCKETS + sub_bucket + 1) << (exponent - 3)) - 1;
}

/* Adds one duration; a negative duration counts as 0. */
void
jd_latency_histogram_record (jd_latency_histogram_t *histogram, int64_t duration_us)
{
  histogram->counts[bucket_index (duration_us)]++;
  histogram->total++;
}

/* Returns an upper bound of the given quantile (0 to 1) in microseconds, at most 1/8
 * above the exact value, or -1 for an empty histogram. For a quantile above the range of
 * the histogram, returns the end of the range, about 134 s. */
int64_t
jd_latency_histogram_quantile_us (const jd_latency_histogram_t *histogram,
                                  double quantile)
{
  if (histogram->total == 0)
    return -1;
  uint64_t rank = (uint64_t)ceil (quantile * (double)histogram->total);
  if (rank < 1)
    rank = 1;
  uint64_t cumulative_count = 0;
  for (uint32_t i = 0; i < JD_HISTOGRAM_BUCKETS; i++)
    {
      cumulative_count += histogram->counts[i];
      if (cumulative_count >= rank)
        return bucket_upper_us (i);
    }
  return bucket_upper_us (JD_HISTOGRAM_BUCKETS - 1);
}

/* Halves all counts, so that older durations weigh less than new ones. */
void
jd_latency_histogram_halve (jd_latency_histogram_t *histogram)
{
  histogram->total = 0;
  for (uint32_t i = 0; i < JD_HISTOGRAM_BUCKETS; i++)
    {
      histogram->counts[i] /= 2;
      histogram->total += histogram->counts[i];
    }
}
