#include "base/latency_histogram.h"

#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <math.h>

#include "base/rng.h"
#include "support/test_main.h"

/* Guards against a bucket error that shifts hedge delays: each quantile is at least the
 * exact value and at most 1/8 above it. */
static void
quantiles_are_at_most_an_eighth_above_exact_values (void)
{
  enum
  {
    DURATION_COUNT = 20000
  };
  static double sorted_us[DURATION_COUNT];
  jd_philox_t state = { .seed = 7 };
  jd_rng_t rng = jd_philox_rng (&state);
  jd_latency_histogram_t histogram = { 0 };
  for (int i = 0; i < DURATION_COUNT; i++)
    {
      int64_t duration_us = (int64_t)(500.0 * exp (4.0 * jd_rng_unit (&rng)));
      sorted_us[i] = (double)duration_us;
      jd_latency_histogram_record (&histogram, duration_us);
    }
  gsl_sort (sorted_us, 1, DURATION_COUNT);
  const double quantiles[] = { 0.01, 0.5, 0.9, 0.99, 0.999 };
  for (unsigned i = 0; i < sizeof (quantiles) / sizeof (quantiles[0]); i++)
    {
      double exact_us = sorted_us[(int)ceil (quantiles[i] * DURATION_COUNT) - 1];
      double estimate_us =
          (double)jd_latency_histogram_quantile_us (&histogram, quantiles[i]);
      CU_ASSERT (estimate_us >= exact_us);
      CU_ASSERT (estimate_us <= exact_us * 1.125 + 1);
    }
}

/* Guards against a quantile of an empty histogram, and against negative and huge
 * durations that are counted outside of the buckets. */
static void
empty_histogram_and_extreme_durations (void)
{
  jd_latency_histogram_t histogram = { 0 };
  CU_ASSERT_EQUAL (jd_latency_histogram_quantile_us (&histogram, 0.5), -1);
  jd_latency_histogram_record (&histogram, -5);
  CU_ASSERT_EQUAL (jd_latency_histogram_quantile_us (&histogram, 0.5), 0);
  jd_latency_histogram_record (&histogram, INT64_MAX);
  CU_ASSERT (jd_latency_histogram_quantile_us (&histogram, 1.0) > INT64_C (100000000));
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "quantiles are at most 1/8 above exact values",
      quantiles_are_at_most_an_eighth_above_exact_values },
    { "empty histogram and extreme durations", empty_histogram_and_extreme_durations },
  };
  return JD_TEST_RUN ("latency_histogram", cases);
}
