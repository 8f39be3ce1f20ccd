#include "routing/stop_plan.h"

#include "base/clock.h"
#include "support/test_main.h"

#define START_US (100 * JD_US_PER_S)
#define GRACE_US (6 * JD_US_PER_S)

/* Returns a route with an objective of 500 ms whose attempts take up to high_ms. */
static jd_route_t
new_route (jd_route_latency_t *latency, bool idempotent, int64_t high_ms)
{
  latency->high_us = (double)(high_ms * JD_US_PER_MS);
  return (jd_route_t){ .idempotent = idempotent,
                       .objective_us = 500 * JD_US_PER_MS,
                       .latency = latency };
}

/* Guards against answers that leave after the process was killed, for grace periods from
 * the shortest setting to a long one. */
static void
answers_leave_within_the_grace_period (void)
{
  static const int64_t graces_ms[] = { 500, 1000, 6000, 3600000 };
  for (size_t i = 0; i < G_N_ELEMENTS (graces_ms); i++)
    {
      int64_t grace_us = graces_ms[i] * JD_US_PER_MS;
      jd_stop_plan_t plan = jd_stop_plan_new (START_US, grace_us);
      CU_ASSERT_TRUE (plan.answer_by_us > START_US);
      CU_ASSERT_TRUE (plan.exit_by_us > plan.answer_by_us);
      CU_ASSERT_TRUE (plan.exit_by_us < START_US + grace_us);
    }
}

/* Guards against requests that a stopping host sends to a target although the answer
 * cannot arrive before the process ends, and against rejections without need. */
static void
late_requests_are_not_sent (void)
{
  static const struct
  {
    bool idempotent;
    int64_t high_ms, limit_ms, left_ms;
    bool may_send;
  } cases[] = {
    { true, 20, 10000, 5000, true },    { true, 20, 10000, 600, true },
    { true, 20, 10000, 400, false },    { true, 900, 10000, 600, false },
    { false, 20, 10000, 1100, true },   { false, 20, 10000, 900, false },
    { false, 900, 10000, 1700, false }, { false, 20, 300, 400, true },
    { true, 20, 10000, -100, false },   { false, 20, 300, -100, false },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      jd_route_latency_t latency = { 0 };
      jd_route_t route = new_route (&latency, cases[i].idempotent, cases[i].high_ms);
      jd_stop_plan_t plan = jd_stop_plan_new (START_US, GRACE_US);
      int64_t now_us = plan.answer_by_us - cases[i].left_ms * JD_US_PER_MS;
      int64_t deadline_us = now_us + cases[i].limit_ms * JD_US_PER_MS;
      CU_ASSERT_EQUAL (jd_stop_plan_may_send (&plan, &route, deadline_us, now_us),
                       cases[i].may_send);
    }
}

/* Guards against requests that wait in a stopping host until the process ends, and
 * against running ones that are ended before it is necessary. */
static void
requests_end_before_the_exit (void)
{
  jd_route_latency_t latency = { 0 };
  jd_route_t route = new_route (&latency, false, 20);
  jd_stop_plan_t plan = jd_stop_plan_new (START_US, GRACE_US);
  int64_t deadline_us = START_US + 60 * JD_US_PER_S;
  int64_t late_us = plan.answer_by_us - 200 * JD_US_PER_MS;
  CU_ASSERT_FALSE (
      jd_stop_plan_ends_request (&plan, &route, deadline_us, false, START_US));
  CU_ASSERT_TRUE (jd_stop_plan_ends_request (&plan, &route, deadline_us, false, late_us));
  CU_ASSERT_FALSE (jd_stop_plan_ends_request (&plan, &route, deadline_us, true, late_us));
  CU_ASSERT_TRUE (
      jd_stop_plan_ends_request (&plan, &route, deadline_us, true, plan.answer_by_us));
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "answers leave within the grace period", answers_leave_within_the_grace_period },
    { "late requests are not sent", late_requests_are_not_sent },
    { "requests end before the exit", requests_end_before_the_exit },
  };
  return JD_TEST_RUN ("stop_plan", cases);
}
