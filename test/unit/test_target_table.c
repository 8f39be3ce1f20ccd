#include "routing/target_table.h"

#include "base/clock.h"
#include "base/rng.h"
#include "support/test_main.h"

/* Guards against a broker that starts work after the actual deadline: with clocks that
 * drift by up to 250 ppm in either direction and clock values up to 5 s old, the
 * converted deadline is never later than the exact one, and earlier only by the delay of
 * the clock value and by the allowed drift. */
static void
converted_deadline_is_never_later (void)
{
  jd_philox_t state = { .seed = 9 };
  jd_rng_t rng = jd_philox_rng (&state);
  for (int i = 0; i < 10000; i++)
    {
      double entry_rate = 1.0 + 250e-6 * (2 * jd_rng_unit (&rng) - 1);
      double broker_rate = 1.0 + 250e-6 * (2 * jd_rng_unit (&rng) - 1);
      double sent_us = (double)jd_rng_below (&rng, JD_US_PER_S);
      double received_us = sent_us + (double)jd_rng_below (&rng, 5000);
      double now_us = received_us + (double)jd_rng_below (&rng, 5 * JD_US_PER_S);
      double deadline_us = now_us + (double)jd_rng_below (&rng, JD_US_PER_S);
      const double offset_us = 7e9;
      jd_broker_view_t broker = { 0 };
      jd_broker_view_set_clock (&broker, (int64_t)(offset_us + sent_us * broker_rate),
                                (int64_t)(received_us * entry_rate));
      int64_t converted_us = jd_broker_view_deadline (
          &broker, (int64_t)(deadline_us * entry_rate), (int64_t)(now_us * entry_rate));
      double exact_us = offset_us + deadline_us * broker_rate;
      CU_ASSERT ((double)converted_us <= exact_us + 2);
      CU_ASSERT ((double)converted_us >=
                 exact_us - 5000 - 0.001 * (deadline_us - sent_us) - 2);
    }
}

/* Guards against sending work to a broker that no longer owns the target, or whose clock
 * is unknown. */
static void
owner_follows_the_broker_reports (void)
{
  jd_target_table_t table;
  jd_target_table_init (&table);
  jd_entry_target_t *target = jd_target_table_add (&table, "t0", "a");
  jd_broker_view_t *first = jd_target_table_broker (&table, "b0");
  jd_broker_view_t *second = jd_target_table_broker (&table, "b1");
  jd_target_status_t status = { .target = "t0", .limit = 2, .in_flight = 1 };
  jd_target_table_report (&table, first, &status, 1, 100);
  CU_ASSERT_PTR_EQUAL (target->owner, first);
  jd_target_table_report (&table, second, &status, 1, 200);
  jd_target_table_report (&table, first, NULL, 0, 300);
  CU_ASSERT_PTR_EQUAL (target->owner, second);
  jd_target_table_report (&table, second, NULL, 0, 400);
  CU_ASSERT_PTR_NULL (target->owner);
  CU_ASSERT_EQUAL (jd_broker_view_deadline (first, 1000, 500), -1);
  jd_target_table_clear (&table);
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "a converted deadline is never later than the exact one",
      converted_deadline_is_never_later },
    { "the owner of a target follows the broker reports",
      owner_follows_the_broker_reports },
  };
  return JD_TEST_RUN ("target_table", cases);
}
