#include "base/latency_histogram.h"

#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <math.h>

#include "base/rng.h"
#include "support/test_main.h"

/* Guards against a bucket error that shifts hedge delays: quantiles stay within 1/8
 * above the exact ones. */
static void
quantiles_match_exact_ones (void)
{
  enum
  {
    COUNT = 20000
  };
  static double exact[COUNT];
  jd_philox_t state = { .seed = 7 };
  jd_rng_t rng = jd_philox_rng (&state);
  jd_latency_histogram_t histogram = { 0 };
  for (int i = 0; i < COUNT; i++)
    {
      int64_t duration_us = (int64_t)(500.0 * exp (4.0 * jd_rng_unit (&rng)));
      exact[i] = (double)duration_us;
      jd_latency_histogram_record (&histogram, duration_us);
    }
  gsl_sort (exact, 1, COUNT);
  const double quantiles[] = { 0.01, 0.5, 0.9, 0.99, 0.999 };
  for (unsigned i = 0; i < sizeof (quantiles) / sizeof (quantiles[0]); i++)
    {
      double want = exact[(int)ceil (quantiles[i] * COUNT) - 1];
      double got = (double)jd_latency_histogram_quantile_us (&histogram, quantiles[i]);
      CU_ASSERT (got >= want);
      CU_ASSERT (got <= want * 1.125 + 1);
    }
}

/* Guards against reading a quantile out of nothing. */
static void
empty_histogram_has_no_quantile (void)
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
    { "quantiles match exact ones", quantiles_match_exact_ones },
    { "empty histogram has no quantile", empty_histogram_has_no_quantile },
  };
  return JD_TEST_RUN ("latency_histogram", cases);
}
