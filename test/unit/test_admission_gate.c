#include "routing/admission_gate.h"

#include <glib.h>

#include "base/clock.h"
#include "support/test_main.h"

#define OBJECTIVE_US (120 * JD_US_PER_MS)
#define SERVICE_US (15 * JD_US_PER_MS)
#define STEP_US (10 * JD_US_PER_MS)

/* Returns TRUE if the gate admits a request at its current share. */
static bool
admits (jd_admission_gate_t *gate, int64_t now_us)
{
  return jd_admission_gate_admits (gate, jd_admission_gate_share (gate, now_us));
}

/* Simulates one second with a request and an answer each 10 ms. long_queue_percent of the
 * answers come from targets with 12 queued requests. Returns the number of rejected
 * requests. */
static uint32_t
simulate_second (jd_admission_gate_t *gate, uint32_t long_queue_percent, int64_t *now_us)
{
  uint32_t rejected = 0;
  for (uint32_t i = 0; i < 100; i++)
    {
      bool has_long_queue = (i * 37) % 100 < long_queue_percent;
      jd_admission_sample_t sample = {
        .queue_length = has_long_queue ? 12 : 0,
        .shortest_other_queue = UINT32_MAX,
        .slots = 2,
        .elapsed_us = has_long_queue ? 7 * SERVICE_US : SERVICE_US,
        .objective_us = OBJECTIVE_US,
      };
      *now_us += STEP_US;
      rejected += !admits (gate, *now_us);
      jd_admission_gate_record (gate, &sample, *now_us);
    }
  return rejected;
}

/* Guards against rejections when only a few targets have a fault or a long queue. */
static void
few_busy_targets_cause_no_rejections (void)
{
  jd_admission_gate_t gate = { 0 };
  int64_t now_us = JD_US_PER_S;
  for (uint32_t percent = 0; percent <= 20; percent += 5)
    CU_ASSERT_EQUAL (simulate_second (&gate, percent, &now_us), 0);
}

/* Guards against overload that is not detected, and against rejections that continue
 * after it has ended. */
static void
requests_are_rejected_only_during_overload (void)
{
  jd_admission_gate_t gate = { 0 };
  int64_t now_us = JD_US_PER_S;
  simulate_second (&gate, 0, &now_us);
  simulate_second (&gate, 90, &now_us);
  uint32_t rejected = simulate_second (&gate, 90, &now_us);
  CU_ASSERT_TRUE (rejected >= 80);
  /* Some requests have to be admitted, or the end of the overload is not detected. */
  CU_ASSERT_TRUE (rejected < 100);
  simulate_second (&gate, 0, &now_us);
  simulate_second (&gate, 0, &now_us);
  simulate_second (&gate, 0, &now_us);
  CU_ASSERT_EQUAL (simulate_second (&gate, 0, &now_us), 0);
}

/* Guards against rejections because of an outdated load. */
static void
outdated_load_is_ignored (void)
{
  jd_admission_gate_t gate = { 0 };
  int64_t now_us = JD_US_PER_S;
  simulate_second (&gate, 0, &now_us);
  simulate_second (&gate, 100, &now_us);
  CU_ASSERT_TRUE (gate.rejected_share > 0.5);
  /* Five more answers are too few for an update before the load ends. */
  jd_admission_sample_t sample = {
    .queue_length = 12,
    .shortest_other_queue = 12,
    .slots = 2,
    .elapsed_us = SERVICE_US,
    .objective_us = OBJECTIVE_US,
  };
  for (uint32_t i = 0; i < 5; i++)
    jd_admission_gate_record (&gate, &sample, now_us);
  now_us += JD_US_PER_S + STEP_US;
  for (uint32_t i = 0; i < 100; i++)
    CU_ASSERT_TRUE (admits (&gate, now_us));
  CU_ASSERT_EQUAL (simulate_second (&gate, 0, &now_us), 0);
}

/* Guards against short waiting times that count as overload: at a target that answers in
 * 5 ms, the last of 12 queued requests waits 30 ms. */
static void
short_queues_do_not_count_as_overload (void)
{
  jd_admission_gate_t gate = { 0 };
  int64_t now_us = JD_US_PER_S;
  for (uint32_t i = 0; i < 200; i++)
    {
      jd_admission_sample_t sample = {
        .queue_length = i % 4 ? 12 : 0,
        .shortest_other_queue = UINT32_MAX,
        .slots = 2,
        .elapsed_us = 5 * JD_US_PER_MS,
        .objective_us = OBJECTIVE_US,
      };
      now_us += STEP_US;
      CU_ASSERT_TRUE (admits (&gate, now_us));
      jd_admission_gate_record (&gate, &sample, now_us);
    }
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "few busy targets cause no rejections", few_busy_targets_cause_no_rejections },
    { "requests are rejected only during overload",
      requests_are_rejected_only_during_overload },
    { "outdated load is ignored", outdated_load_is_ignored },
    { "short queues do not count as overload", short_queues_do_not_count_as_overload },
  };
  return JD_TEST_RUN ("admission_gate", cases);
}
