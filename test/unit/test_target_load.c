#include "routing/target_load.h"

#include "base/clock.h"
#include "support/test_main.h"

#define SERVICE_US 10000.0

static void
record (jd_target_load_t *load, uint32_t requests, uint32_t work_percent, int64_t now_us)
{
  jd_load_report_t report = { .running = requests,
                              .slots = 2,
                              .work_percent = work_percent };
  jd_target_load_record (load, &report, now_us);
}

/* Guards against a choice that changes on deployments whose targets report no speed. */
static void
reports_without_a_speed_change_nothing (void)
{
  jd_target_load_t load = { 0 };
  for (int i = 0; i < 20; i++)
    record (&load, 2, 0, 1000 + i);
  CU_ASSERT_EQUAL (jd_target_load_wait_us (&load, SERVICE_US, 2000), 0.0);
  CU_ASSERT_EQUAL (jd_target_load_work_factor (&load, 2000), 1.0);
}

/* Guards against an estimate that follows a single report: all hosts that got it would
 * leave the target at once, and return together. */
static void
wait_grows_with_the_mean_load (void)
{
  jd_target_load_t load = { 0 };
  int64_t now_us = 10 * JD_US_PER_S;
  record (&load, 2, 100, now_us);
  double once_us = jd_target_load_wait_us (&load, SERVICE_US, now_us);
  CU_ASSERT_TRUE (once_us > 0.0 && once_us < 0.2 * SERVICE_US);
  for (int i = 0; i < 20; i++)
    record (&load, 2, 100, now_us);
  double often_us = jd_target_load_wait_us (&load, SERVICE_US, now_us);
  CU_ASSERT_TRUE (often_us > 2.0 * SERVICE_US && often_us < 5.0 * SERVICE_US);
  for (int i = 0; i < 20; i++)
    record (&load, 0, 100, now_us);
  CU_ASSERT_TRUE (jd_target_load_wait_us (&load, SERVICE_US, now_us) < 0.01 * SERVICE_US);
}

/* Guards against a busy or slowed target that is avoided for ever. */
static void
load_decays_without_reports (void)
{
  jd_target_load_t load = { 0 };
  int64_t now_us = 10 * JD_US_PER_S;
  for (int i = 0; i < 20; i++)
    record (&load, 2, 300, now_us);
  CU_ASSERT_DOUBLE_EQUAL (jd_target_load_work_factor (&load, now_us), 3.0, 0.05);
  CU_ASSERT_TRUE (jd_target_load_work_factor (&load, now_us + JD_US_PER_S) < 1.3);
  CU_ASSERT_TRUE (jd_target_load_wait_us (&load, SERVICE_US, now_us + 10 * JD_US_PER_S) <
                  0.05 * SERVICE_US);
}

/* Guards against odd reports: no slots, and a speed that no machine has. */
static void
odd_reports_stay_in_range (void)
{
  jd_target_load_t load = { 0 };
  jd_load_report_t report = {
    .running = UINT32_MAX, .waiting = 1, .slots = 0, .work_percent = UINT32_MAX
  };
  for (int i = 0; i < 50; i++)
    jd_target_load_record (&load, &report, 1000);
  CU_ASSERT_TRUE (jd_target_load_work_factor (&load, 1000) <= 20.0);
  CU_ASSERT_TRUE (jd_target_load_wait_us (&load, SERVICE_US, 1000) <= 5.0 * SERVICE_US);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "reports without a speed change nothing", reports_without_a_speed_change_nothing },
    { "wait grows with the mean load", wait_grows_with_the_mean_load },
    { "load decays without reports", load_decays_without_reports },
    { "odd reports stay in range", odd_reports_stay_in_range },
  };
  return JD_TEST_RUN ("target_load", cases);
}
