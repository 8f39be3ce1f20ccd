#include <signal.h>
#include <stdlib.h>

#include "base/rng.h"
#include "support/broker_lab.h"
#include "support/child.h"
#include "support/test_main.h"

#define RUN_MS 10000

/* The fault of a broker process that is injected at present. */
typedef struct broker_fault
{
  enum
  {
    NONE,
    PAUSED,
    DOWN,
    STOPPING,
  } state;
  int64_t until_us;
} broker_fault_t;

/* One run: the fixture, its random numbers and the faults injected at present. */
typedef struct run
{
  jd_broker_fixture_t fixture;
  jd_rng_t rng;
  broker_fault_t broker_faults[JD_BROKER_FIXTURE_MAX_BROKERS];
  int64_t fault_until_us[JD_BROKER_FIXTURE_TARGETS]; /* 0: the target has no fault. */
} run_t;

/* Returns a random time from min_ms up to max_ms (exclusive) after now. */
static int64_t
random_time_us (run_t *run, uint64_t min_ms, uint64_t max_ms)
{
  uint64_t ms = min_ms + jd_rng_below (&run->rng, max_ms - min_ms);
  return g_get_monotonic_time () + (int64_t)ms * JD_US_PER_MS;
}

/* Pauses, kills or stops a broker, unless some broker has a fault already: two of the
 * three are needed for a quorum. */
static void
inject_broker_fault (run_t *run, uint32_t broker)
{
  for (uint32_t i = 0; i < JD_BROKER_FIXTURE_MAX_BROKERS; i++)
    if (run->broker_faults[i].state != NONE)
      return;
  broker_fault_t *fault = &run->broker_faults[broker];
  pid_t pid = run->fixture.brokers[broker];
  switch (jd_rng_below (&run->rng, 3))
    {
    case 0:
      kill (pid, SIGSTOP);
      *fault = (broker_fault_t){ PAUSED, random_time_us (run, 50, 2500) };
      break;
    case 1:
      kill (pid, SIGKILL);
      CU_ASSERT_EQUAL (jd_child_wait (pid, 2000), 128 + SIGKILL);
      *fault = (broker_fault_t){ DOWN, random_time_us (run, 1, 1000) };
      break;
    default:
      kill (pid, SIGTERM);
      *fault = (broker_fault_t){ STOPPING, random_time_us (run, 4000, 4001) };
      break;
    }
}

/* Ends the fault of a broker when it is due. A broker that was stopped must exit with
 * status 0 within 4 s. */
static void
end_broker_fault (run_t *run, uint32_t broker)
{
  broker_fault_t *fault = &run->broker_faults[broker];
  gboolean is_due = g_get_monotonic_time () >= fault->until_us;
  if (fault->state == PAUSED && is_due)
    {
      kill (run->fixture.brokers[broker], SIGCONT);
      fault->state = NONE;
    }
  else if (fault->state == DOWN && is_due)
    {
      jd_broker_fixture_start_broker (&run->fixture, broker);
      fault->state = NONE;
    }
  else if (fault->state == STOPPING)
    {
      int status = jd_child_wait (run->fixture.brokers[broker], 0);
      CU_ASSERT (status == 0 || (status < 0 && !is_due));
      if (status == 0)
        *fault = (broker_fault_t){ DOWN, random_time_us (run, 1, 300) };
    }
}

/* Sets one random fault of a target at random times, and clears all its faults when that
 * one is due to end. */
static void
update_target_fault (run_t *run, uint32_t target)
{
  static const char *const fault_requests[] = {
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
      jd_broker_fixture_set_target_faults (
          &run->fixture, target,
          "{\"crossed_reply\":false,\"close_after_read\":false,"
          "\"close_after_run\":false,\"shed\":false,\"fail\":false,"
          "\"silent_connections\":false,\"latency_median_us\":2000}");
      *until_us = 0;
    }
  else if (*until_us == 0 && jd_rng_below (&run->rng, 150) == 0)
    {
      jd_broker_fixture_set_target_faults (&run->fixture, target,
                                           fault_requests[jd_rng_below (&run->rng, 8)]);
      *until_us = random_time_us (run, 50, 400);
    }
}

/* Sends an edit for a random target to the broker that reports to own it, and once in ten
 * times to a random broker. */
static void
send_edit (run_t *run)
{
  uint32_t target = (uint32_t)jd_rng_below (&run->rng, JD_BROKER_FIXTURE_TARGETS);
  int owner = jd_broker_fixture_owner (&run->fixture, target);
  if (owner < 0 || jd_rng_below (&run->rng, 10) == 0)
    owner = (int)jd_rng_below (&run->rng, JD_BROKER_FIXTURE_MAX_BROKERS);
  int64_t timeout_ms = 5 + (int64_t)jd_rng_below (&run->rng, 200);
  jd_broker_fixture_send_attempt (&run->fixture, (uint32_t)owner, target, JD_WORK_EDIT,
                                  timeout_ms);
}

/* Guards against an edit that is executed twice, that is executed although its outcome is
 * "not run", or that is not executed although its outcome is "executed". Such errors come
 * about when brokers are paused, killed or restarted while targets have faults. */
static void
edits_run_as_reported (void)
{
  static run_t run;
  const char *seed = g_getenv ("JACKDAW_TEST_SEED");
  jd_philox_t state = { .seed = seed ? strtoull (seed, NULL, 10) : 1 };
  run.rng = jd_philox_rng (&state);
  CU_ASSERT_FATAL (jd_broker_fixture_start (&run.fixture, JD_BROKER_FIXTURE_MAX_BROKERS));
  int64_t end_us = g_get_monotonic_time () + RUN_MS * JD_US_PER_MS;
  while (g_get_monotonic_time () < end_us &&
         run.fixture.attempt_count < JD_BROKER_FIXTURE_MAX_ATTEMPTS - 1)
    {
      send_edit (&run);
      jd_broker_fixture_run (&run.fixture, 4);
      if (jd_rng_below (&run.rng, 400) == 0)
        inject_broker_fault (
            &run, (uint32_t)jd_rng_below (&run.rng, JD_BROKER_FIXTURE_MAX_BROKERS));
      for (uint32_t i = 0; i < JD_BROKER_FIXTURE_MAX_BROKERS; i++)
        end_broker_fault (&run, i);
      for (uint32_t i = 0; i < JD_BROKER_FIXTURE_TARGETS; i++)
        update_target_fault (&run, i);
    }
  for (uint32_t i = 0; i < JD_BROKER_FIXTURE_MAX_BROKERS; i++)
    if (run.broker_faults[i].state == PAUSED)
      kill (run.fixture.brokers[i], SIGCONT);
    else if (run.broker_faults[i].state == DOWN)
      run.fixture.brokers[i] = 0; /* The fixture must not kill this pid. */
  jd_broker_fixture_run (&run.fixture, 1500);
  int counts[3] = { 0 };
  for (uint64_t id = 1; id <= run.fixture.attempt_count; id++)
    {
      const jd_broker_fixture_attempt_t *attempt = &run.fixture.attempts[id];
      int executions = jd_broker_fixture_execution_count (&run.fixture, id);
      gboolean is_as_reported = executions <= 1;
      if (attempt->has_ended && attempt->ran == JD_RAN_NO)
        is_as_reported = executions == 0;
      if (attempt->has_ended && attempt->ran == JD_RAN_YES)
        is_as_reported = executions == 1;
      if (!attempt->is_sent)
        is_as_reported = executions == 0 && !attempt->has_ended;
      if (!is_as_reported)
        g_print ("edit %d: sent=%d ended=%d ran=%s code=%s executions=%d\n", (int)id,
                 attempt->is_sent, attempt->has_ended, jd_ran_name (attempt->ran),
                 jd_result_name (attempt->code), executions);
      CU_ASSERT (is_as_reported);
      counts[attempt->has_ended ? attempt->ran : JD_RAN_UNKNOWN]++;
    }
  g_print ("edits: %d executed, %d not run, %d unknown ", counts[JD_RAN_YES],
           counts[JD_RAN_NO], counts[JD_RAN_UNKNOWN]);
  CU_ASSERT (counts[JD_RAN_YES] > 100);
  CU_ASSERT_EQUAL (run.fixture.duplicate_outcomes, 0);
  jd_broker_fixture_stop (&run.fixture);
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "edits run as reported", edits_run_as_reported },
  };
  return JD_TEST_RUN ("broker_faults", cases);
}
