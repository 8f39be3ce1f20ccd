#include "routing/target_gate.h"

#include "base/clock.h"
#include "support/test_main.h"

typedef struct fixture
{
  jd_target_gate_t gate;
  int64_t now_us;
  uint64_t boot_id;
} fixture_t;

static fixture_t
cold_gate (uint32_t slots)
{
  fixture_t fixture = { .now_us = JD_US_PER_S, .boot_id = 1 };
  jd_gate_settings_t settings = jd_gate_settings_default (slots, 25);
  jd_target_gate_init (&fixture.gate, &settings, fixture.now_us);
  return fixture;
}

/* Simulates one attempt while as many attempts are in flight as the limit allows. A
 * reported_in_flight of -1 stands for a reply without this value. */
static void
run_attempt (fixture_t *fixture, jd_gate_event_t event, int64_t service_us,
             int32_t reported_in_flight)
{
  jd_target_gate_t *gate = &fixture->gate;
  fixture->now_us = MAX (fixture->now_us, gate->blocked_until_us) + 100;
  uint32_t limit = jd_target_gate_limit (gate, fixture->now_us);
  jd_target_gate_start (gate, fixture->now_us);
  jd_gate_sample_t sample = {
    .event = event,
    .started_us = fixture->now_us,
    .service_us = service_us,
    .peak_in_flight = limit,
    .boot_id = fixture->boot_id,
    .uptime_us = -1,
    .reported_in_flight = reported_in_flight,
  };
  fixture->now_us += service_us;
  jd_target_gate_record (gate, &sample, fixture->now_us);
  jd_target_gate_release (gate);
}

static void
run_attempts (fixture_t *fixture, uint32_t count, int64_t service_us)
{
  for (uint32_t i = 0; i < count; i++)
    run_attempt (fixture, JD_GATE_OK, service_us, -1);
}

static uint32_t
limit_of (const fixture_t *fixture)
{
  return jd_target_gate_limit (&fixture->gate, fixture->now_us);
}

/* Guards against full load on a target that was never used before, and against a ramp-up
 * that never ends. */
static void
new_target_ramps_up_from_one_attempt (void)
{
  fixture_t fixture = cold_gate (6);
  CU_ASSERT_EQUAL (limit_of (&fixture), 1);
  run_attempts (&fixture, JD_GATE_WINDOW_REPLIES, 4000);
  CU_ASSERT_EQUAL (limit_of (&fixture), 1);
  run_attempts (&fixture, 10 * JD_GATE_WINDOW_REPLIES, 4000);
  CU_ASSERT_EQUAL (limit_of (&fixture), 6);
  CU_ASSERT_FALSE (fixture.gate.cold);
}

/* Guards against full load on a target that restarted without reporting it: each
 * indication of a cold start sets the limit to 1. */
static void
each_indication_of_a_cold_start_sets_the_limit_to_one (void)
{
  fixture_t warm = cold_gate (2);
  run_attempts (&warm, 5 * JD_GATE_WINDOW_REPLIES, 4000);
  CU_ASSERT_EQUAL (limit_of (&warm), 2);

  fixture_t fixture = warm;
  fixture.boot_id = 2;
  run_attempts (&fixture, 1, 4000);
  CU_ASSERT_EQUAL (limit_of (&fixture), 1);

  const jd_gate_event_t events[] = { JD_GATE_SHED, JD_GATE_FAILED, JD_GATE_TIMEOUT };
  for (unsigned i = 0; i < 3; i++)
    {
      fixture = warm;
      run_attempt (&fixture, events[i], 4000, -1);
      CU_ASSERT_EQUAL (limit_of (&fixture), 1);
      /* After a timeout there is no backoff, because the broker holds the slot. */
      CU_ASSERT_EQUAL (jd_target_gate_admits (&fixture.gate, fixture.now_us),
                       events[i] == JD_GATE_TIMEOUT);
    }

  fixture = warm;
  run_attempts (&fixture, 4, 30000);
  CU_ASSERT_EQUAL (limit_of (&fixture), 1);
  run_attempts (&fixture, 5 * JD_GATE_WINDOW_REPLIES, 30000);
  CU_ASSERT_EQUAL (limit_of (&fixture), 1);

  fixture = warm;
  jd_target_gate_set_health (&fixture.gate, TRUE, fixture.now_us);
  CU_ASSERT_EQUAL (limit_of (&fixture), 1);
}

/* Guards against two concurrent attempts after a time without replies, in which the
 * target may have restarted, and against a needless ramp-up if it has not. */
static void
target_without_recent_replies_gets_one_attempt (void)
{
  fixture_t fixture = cold_gate (2);
  run_attempts (&fixture, 5 * JD_GATE_WINDOW_REPLIES, 4000);
  fixture.now_us += 10 * JD_US_PER_S;
  CU_ASSERT_EQUAL (limit_of (&fixture), 1);
  run_attempts (&fixture, 1, 4000);
  CU_ASSERT_EQUAL (limit_of (&fixture), 2);
}

/* Guards against treating a cold target as warm because of fast replies without
 * execution, or because of replies before a time without replies (seeds 10954 and 10338
 * of test_query_rules). */
static void
only_executed_work_of_one_boot_ends_a_cold_start (void)
{
  fixture_t fixture = cold_gate (2);
  for (int i = 0; i < 10 * JD_GATE_WINDOW_REPLIES; i++)
    run_attempt (&fixture, JD_GATE_NOT_EXECUTED, 200, -1);
  CU_ASSERT_EQUAL (limit_of (&fixture), 1);

  fixture.boot_id = 0;
  run_attempts (&fixture, 3 * JD_GATE_WINDOW_REPLIES - 1, 4000);
  fixture.now_us += JD_US_PER_S;
  run_attempts (&fixture, JD_GATE_WINDOW_REPLIES, 4000);
  CU_ASSERT_EQUAL (limit_of (&fixture), 1);
}

/* Guards against overload of a target that other sources use as well: their load lowers
 * the limit, a single high report does not, and the limit stays at least 1. */
static void
load_from_other_sources_lowers_the_limit (void)
{
  fixture_t fixture = cold_gate (6);
  run_attempts (&fixture, 12 * JD_GATE_WINDOW_REPLIES, 4000);
  run_attempt (&fixture, JD_GATE_OK, 4000, 9);
  CU_ASSERT_EQUAL (limit_of (&fixture), 6);
  run_attempt (&fixture, JD_GATE_OK, 4000, 9);
  run_attempt (&fixture, JD_GATE_OK, 4000, 9);
  CU_ASSERT_EQUAL (limit_of (&fixture), 3);
  for (int i = 0; i < 3; i++)
    run_attempt (&fixture, JD_GATE_OK, 4000, 100);
  CU_ASSERT_EQUAL (limit_of (&fixture), 1);
}

/* Guards against a cold target that only gets work which it cannot finish in time: each
 * stopped attempt raises the expected service time. Without attempts it falls again, so
 * that the target gets work again. */
static void
stopped_attempts_raise_the_expected_service_time (void)
{
  fixture_t fixture = cold_gate (2);
  run_attempts (&fixture, 5 * JD_GATE_WINDOW_REPLIES, 4000);
  fixture.boot_id = 2;
  run_attempts (&fixture, 1, 4000);
  for (int i = 0; i < 6; i++)
    jd_target_gate_record_stopped (
        &fixture.gate, jd_target_gate_expected_us (&fixture.gate, fixture.now_us),
        fixture.now_us);
  CU_ASSERT (jd_target_gate_expected_us (&fixture.gate, fixture.now_us) > 30000);
  fixture.now_us += JD_US_PER_S;
  CU_ASSERT (jd_target_gate_expected_us (&fixture.gate, fixture.now_us) < 5000);
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "a new target ramps up from one attempt", new_target_ramps_up_from_one_attempt },
    { "each indication of a cold start sets the limit to one",
      each_indication_of_a_cold_start_sets_the_limit_to_one },
    { "a target without recent replies gets one attempt",
      target_without_recent_replies_gets_one_attempt },
    { "stopped attempts raise the expected service time",
      stopped_attempts_raise_the_expected_service_time },
    { "only executed work of one boot ends a cold start",
      only_executed_work_of_one_boot_ends_a_cold_start },
    { "load from other sources lowers the limit",
      load_from_other_sources_lowers_the_limit },
  };
  return JD_TEST_RUN ("target_gate", cases);
}
