#include <signal.h>
#include <stdlib.h>

#include "base/rng.h"
#include "support/broker_lab.h"
#include "support/child.h"
#include "support/test_main.h"

#define RUN_MS 10000

/* What a broker process is going through. */
typedef struct trouble
{
  enum
  {
    NONE,
    PAUSED,
    DOWN,
    STOPPING,
  } state;
  int64_t until_us;
} trouble_t;

/* One run: the lab, its random numbers and the present faults. */
typedef struct run
{
  jd_lab_t lab;
  jd_rng_t rng;
  trouble_t troubles[JD_LAB_BROKERS];
  int64_t fault_until_us[JD_LAB_TARGETS];
} run_t;

/* Returns a random time in the future. */
static int64_t
soon_us (run_t *run, uint64_t min_ms, uint64_t max_ms)
{
  uint64_t ms = min_ms + jd_rng_below (&run->rng, max_ms - min_ms);
  return g_get_monotonic_time () + (int64_t)ms * JD_US_PER_MS;
}

/* Pauses, kills or stops a broker, unless another one is already in trouble: two of three
 * must be there for a quorum. */
static void
trouble_broker (run_t *run, uint32_t broker)
{
  for (uint32_t i = 0; i < JD_LAB_BROKERS; i++)
    if (run->troubles[i].state != NONE)
      return;
  trouble_t *trouble = &run->troubles[broker];
  pid_t pid = run->lab.brokers[broker];
  switch (jd_rng_below (&run->rng, 3))
    {
    case 0:
      kill (pid, SIGSTOP);
      *trouble = (trouble_t){ PAUSED, soon_us (run, 50, 2500) };
      break;
    case 1:
      kill (pid, SIGKILL);
      CU_ASSERT_EQUAL (jd_child_wait (pid, 2000), 128 + SIGKILL);
      *trouble = (trouble_t){ DOWN, soon_us (run, 1, 1000) };
      break;
    default:
      kill (pid, SIGTERM);
      *trouble = (trouble_t){ STOPPING, soon_us (run, 4000, 4001) };
      break;
    }
}

/* Ends troubles whose time has come. A stopped broker must exit with 0 in time. */
static void
end_trouble (run_t *run, uint32_t broker)
{
  trouble_t *trouble = &run->troubles[broker];
  gboolean is_due = g_get_monotonic_time () >= trouble->until_us;
  if (trouble->state == PAUSED && is_due)
    {
      kill (run->lab.brokers[broker], SIGCONT);
      trouble->state = NONE;
    }
  else if (trouble->state == DOWN && is_due)
    {
      jd_lab_restart (&run->lab, broker);
      trouble->state = NONE;
    }
  else if (trouble->state == STOPPING)
    {
      int status = jd_child_wait (run->lab.brokers[broker], 0);
      CU_ASSERT (status == 0 || (status < 0 && !is_due));
      if (status == 0)
        *trouble = (trouble_t){ DOWN, soon_us (run, 1, 300) };
    }
}

/* Switches one fault of a target on, or all of them off. */
static void
trouble_target (run_t *run, uint32_t target)
{
  static const char *const faults[] = {
    "{\"crossed_reply\":true}",
    "{\"close_after_read\":true}",
    "{\"close_after_run\":true}",
    "{\"shed\":true}",
    "{\"fail\":true}",
    "{\"silent_connections\":true}",
    "{\"freeze_ms\":300}",
    "{\"latency_median_us\":60000}",
  };
  int64_t *until_us = &run->fault_until_us[target];
  if (*until_us != 0 && g_get_monotonic_time () >= *until_us)
    {
      jd_lab_fault (&run->lab, target,
                    "{\"crossed_reply\":false,\"close_after_read\":false,"
                    "\"close_after_run\":false,\"shed\":false,\"fail\":false,"
                    "\"silent_connections\":false,\"latency_median_us\":2000}");
      *until_us = 0;
    }
  else if (*until_us == 0 && jd_rng_below (&run->rng, 150) == 0)
    {
      jd_lab_fault (&run->lab, target, faults[jd_rng_below (&run->rng, 8)]);
      *until_us = soon_us (run, 50, 400);
    }
}

/* Sends an edit to the broker that reports to own a target, sometimes to another one. */
static void
send_edit (run_t *run)
{
  uint32_t target = (uint32_t)jd_rng_below (&run->rng, JD_LAB_TARGETS);
  int owner = jd_lab_owner (&run->lab, target);
  if (owner < 0 || jd_rng_below (&run->rng, 10) == 0)
    owner = (int)jd_rng_below (&run->rng, JD_LAB_BROKERS);
  int64_t timeout_ms = 5 + (int64_t)jd_rng_below (&run->rng, 200);
  jd_lab_send (&run->lab, (uint32_t)owner, target, JD_WORK_EDIT, timeout_ms);
}

/* Guards against an edit that runs twice, that runs in spite of "not run", or that did
 * not run in spite of "executed", under pauses, kills, restarts and target faults
 * together. */
static void
edits_run_as_reported (void)
{
  static run_t run;
  const char *seed = g_getenv ("JACKDAW_TEST_SEED");
  jd_philox_t state = { .seed = seed ? strtoull (seed, NULL, 10) : 1 };
  run.rng = jd_philox_rng (&state);
  CU_ASSERT_FATAL (jd_lab_start (&run.lab, JD_LAB_BROKERS));
  int64_t end_us = g_get_monotonic_time () + RUN_MS * JD_US_PER_MS;
  while (g_get_monotonic_time () < end_us && run.lab.work_count < JD_LAB_MAX_WORK - 1)
    {
      send_edit (&run);
      jd_lab_run (&run.lab, 4);
      if (jd_rng_below (&run.rng, 400) == 0)
        trouble_broker (&run, (uint32_t)jd_rng_below (&run.rng, JD_LAB_BROKERS));
      for (uint32_t i = 0; i < JD_LAB_BROKERS; i++)
        end_trouble (&run, i);
      for (uint32_t i = 0; i < JD_LAB_TARGETS; i++)
        trouble_target (&run, i);
    }
  for (uint32_t i = 0; i < JD_LAB_BROKERS; i++)
    if (run.troubles[i].state == PAUSED)
      kill (run.lab.brokers[i], SIGCONT);
    else if (run.troubles[i].state == DOWN)
      run.lab.brokers[i] = 0;
  jd_lab_run (&run.lab, 1500);
  int counts[3] = { 0 };
  for (uint64_t id = 1; id <= run.lab.work_count; id++)
    {
      const jd_lab_work_t *work = &run.lab.work[id];
      int executions = jd_lab_executions (&run.lab, id);
      gboolean holds = executions <= 1;
      if (work->has_ended && work->ran == JD_RAN_NO)
        holds = executions == 0;
      if (work->has_ended && work->ran == JD_RAN_YES)
        holds = executions == 1;
      if (!work->is_sent)
        holds = executions == 0 && !work->has_ended;
      if (!holds)
        g_print ("edit %d: sent=%d ended=%d ran=%s code=%s executions=%d\n", (int)id,
                 work->is_sent, work->has_ended, jd_ran_name (work->ran),
                 jd_result_name (work->code), executions);
      CU_ASSERT (holds);
      counts[work->has_ended ? work->ran : JD_RAN_UNKNOWN]++;
    }
  g_print ("edits: %d executed, %d not run, %d unknown ", counts[JD_RAN_YES],
           counts[JD_RAN_NO], counts[JD_RAN_UNKNOWN]);
  CU_ASSERT (counts[JD_RAN_YES] > 100);
  CU_ASSERT_EQUAL (run.lab.duplicate_ends, 0);
  jd_lab_stop (&run.lab);
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "edits run as reported", edits_run_as_reported },
  };
  return JD_TEST_RUN ("broker_faults", cases);
}
