#include "routing/admission_gate.h"

#include <glib.h>

#include "base/clock.h"
#include "support/test_main.h"

#define OBJECTIVE_US (120 * JD_US_PER_MS)
#define SERVICE_US (15 * JD_US_PER_MS)
#define STEP_US (10 * JD_US_PER_MS)

/* Decides about a request by the gate's own share. */
static bool
admits (jd_admission_gate_t *gate, int64_t now_us)
{
  return jd_admission_gate_admits (gate, jd_admission_gate_share (gate, now_us));
}

/* Lets a gate learn from a second of answers, one each 10 ms, some in a hundred of them
 * from targets with 12 requests in their queue. Returns how many of the requests that
 * came in this time were rejected. */
static uint32_t
play_second (jd_admission_gate_t *gate, uint32_t pressed_percent, int64_t *now_us)
{
  uint32_t rejected = 0;
  for (uint32_t i = 0; i < 100; i++)
    {
      bool is_pressed = (i * 37) % 100 < pressed_percent;
      jd_admission_sign_t sign = {
        .waiting = is_pressed ? 12 : 0,
        .elsewhere = UINT32_MAX,
        .slots = 2,
        .elapsed_us = is_pressed ? 7 * SERVICE_US : SERVICE_US,
        .objective_us = OBJECTIVE_US,
      };
      *now_us += STEP_US;
      rejected += !admits (gate, *now_us);
      jd_admission_gate_learn (gate, &sign, *now_us);
    }
  return rejected;
}

/* Guards against requests that are rejected because a few targets are in trouble. */
static void
few_busy_targets_reject_nothing (void)
{
  jd_admission_gate_t gate = { 0 };
  int64_t now_us = JD_US_PER_S;
  for (uint32_t percent = 0; percent <= 20; percent += 5)
    CU_ASSERT_EQUAL (play_second (&gate, percent, &now_us), 0);
}

/* Guards against overload that is not noticed, and against rejections that go on after
 * it. */
static void
overload_is_rejected_while_it_lasts (void)
{
  jd_admission_gate_t gate = { 0 };
  int64_t now_us = JD_US_PER_S;
  play_second (&gate, 0, &now_us);
  play_second (&gate, 90, &now_us);
  uint32_t rejected = play_second (&gate, 90, &now_us);
  CU_ASSERT_TRUE (rejected >= 80);
  /* Some are let in, or the end of the overload would not be seen. */
  CU_ASSERT_TRUE (rejected < 100);
  play_second (&gate, 0, &now_us);
  play_second (&gate, 0, &now_us);
  play_second (&gate, 0, &now_us);
  CU_ASSERT_EQUAL (play_second (&gate, 0, &now_us), 0);
}

/* Guards against rejections because of a load that was seen long ago. */
static void
old_load_does_not_count (void)
{
  jd_admission_gate_t gate = { 0 };
  int64_t now_us = JD_US_PER_S;
  play_second (&gate, 0, &now_us);
  play_second (&gate, 100, &now_us);
  CU_ASSERT_TRUE (gate.rejected_share > 0.5);
  /* Some answers more, which are not judged before the load ends. */
  jd_admission_sign_t sign = {
    .waiting = 12,
    .elsewhere = 12,
    .slots = 2,
    .elapsed_us = SERVICE_US,
    .objective_us = OBJECTIVE_US,
  };
  for (uint32_t i = 0; i < 5; i++)
    jd_admission_gate_learn (&gate, &sign, now_us);
  now_us += JD_US_PER_S + STEP_US;
  for (uint32_t i = 0; i < 100; i++)
    CU_ASSERT_TRUE (admits (&gate, now_us));
  CU_ASSERT_EQUAL (play_second (&gate, 0, &now_us), 0);
}

/* Guards against short queues that count as overload: at a target that answers in 5 ms,
 * 12 requests wait 30 ms. */
static void
short_waits_are_no_overload (void)
{
  jd_admission_gate_t gate = { 0 };
  int64_t now_us = JD_US_PER_S;
  for (uint32_t i = 0; i < 200; i++)
    {
      jd_admission_sign_t sign = {
        .waiting = i % 4 ? 12 : 0,
        .elsewhere = UINT32_MAX,
        .slots = 2,
        .elapsed_us = 5 * JD_US_PER_MS,
        .objective_us = OBJECTIVE_US,
      };
      now_us += STEP_US;
      CU_ASSERT_TRUE (admits (&gate, now_us));
      jd_admission_gate_learn (&gate, &sign, now_us);
    }
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "few busy targets reject nothing", few_busy_targets_reject_nothing },
    { "overload is rejected while it lasts", overload_is_rejected_while_it_lasts },
    { "old load does not count", old_load_does_not_count },
    { "short waits are no overload", short_waits_are_no_overload },
  };
  return JD_TEST_RUN ("admission_gate", cases);
}
