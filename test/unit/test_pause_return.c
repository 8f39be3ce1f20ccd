#include "model/pause_sim.h"
#include "support/test_main.h"

/* Guards against hosts that all return to a target when its pause ends, which overloads
 * it again: callers are refused, and come back all at the same time too. With the return
 * of jackdaw-host fewer than half as many are refused, and more are served in time, than
 * when all return at once, and no fewer than with a ramp. */
static void
hosts_do_not_return_together (void)
{
  for (uint32_t targets = 1; targets <= 3; targets += 2)
    for (uint64_t seed = 1; seed <= 2; seed++)
      {
        const jd_pause_load_t load = jd_pause_load (targets, 3000.0, 2000, seed);
        jd_pause_result_t at_once = jd_pause_sim_run (&load, JD_PAUSE_RETURN_AT_ONCE);
        jd_pause_result_t spread = jd_pause_sim_run (&load, JD_PAUSE_RETURN_SPREAD);
        jd_pause_result_t ramp = jd_pause_sim_run (&load, JD_PAUSE_RETURN_RAMP);
        CU_ASSERT_TRUE (2 * spread.refused < at_once.refused);
        CU_ASSERT_TRUE (spread.in_objective > at_once.in_objective);
        CU_ASSERT_TRUE (spread.in_objective >= ramp.in_objective);
        CU_ASSERT_TRUE (spread.shed < at_once.shed);
      }
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "hosts do not return together", hosts_do_not_return_together },
  };
  return JD_TEST_RUN ("pause_return", cases);
}
