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

/* Runs one attempt with the load that the limit allows. */
static void
reply (fixture_t *fixture, jd_gate_event_t event, int64_t service_us, int32_t reported)
{
  jd_target_gate_t *gate = &fixture->gate;
  fixture->now_us = MAX (fixture->now_us, gate->blocked_until_us) + 100;
  uint32_t peak = jd_target_gate_limit (gate, fixture->now_us);
  jd_target_gate_start (gate, fixture->now_us);
  jd_gate_sample_t sample = {
    .event = event,
    .started_us = fixture->now_us,
    .service_us = service_us,
    .peak_in_flight = peak,
    .boot_id = fixture->boot_id,
    .uptime_us = -1,
    .reported_in_flight = reported,
  };
  fixture->now_us += service_us;
  jd_target_gate_sample (gate, &sample, fixture->now_us);
  jd_target_gate_release (gate);
}

static void
replies (fixture_t *fixture, uint32_t count, int64_t service_us)
{
  for (uint32_t i = 0; i < count; i++)
    reply (fixture, JD_GATE_OK, service_us, -1);
}

static uint32_t
limit_of (const fixture_t *fixture)
{
  return jd_target_gate_limit (&fixture->gate, fixture->now_us);
}

/* Guards against full load at first contact, and against a ramp that never ends. */
static void
first_contact_ramps_up (void)
{
  fixture_t fixture = cold_gate (6);
  CU_ASSERT_EQUAL (limit_of (&fixture), 1);
  replies (&fixture, JD_GATE_WINDOW, 4000);
  CU_ASSERT_EQUAL (limit_of (&fixture), 1);
  replies (&fixture, 10 * JD_GATE_WINDOW, 4000);
  CU_ASSERT_EQUAL (limit_of (&fixture), 6);
  CU_ASSERT_FALSE (fixture.gate.cold);
}

/* Guards against an unannounced cold start that is not noticed: each sign sets the limit
 * to one. */
static void
signs_of_a_cold_start_count (void)
{
  fixture_t warm = cold_gate (2);
  replies (&warm, 5 * JD_GATE_WINDOW, 4000);
  CU_ASSERT_EQUAL (limit_of (&warm), 2);

  fixture_t fixture = warm;
  fixture.boot_id = 2;
  replies (&fixture, 1, 4000);
  CU_ASSERT_EQUAL (limit_of (&fixture), 1);

  const jd_gate_event_t events[] = { JD_GATE_SHED, JD_GATE_FAILED, JD_GATE_TIMEOUT };
  for (unsigned i = 0; i < 3; i++)
    {
      fixture = warm;
      reply (&fixture, events[i], 4000, -1);
      CU_ASSERT_EQUAL (limit_of (&fixture), 1);
      /* The slot of a timeout is held by the broker instead of a pause. */
      CU_ASSERT_EQUAL (jd_target_gate_admits (&fixture.gate, fixture.now_us),
                       events[i] == JD_GATE_TIMEOUT);
    }

  fixture = warm;
  replies (&fixture, 4, 30000);
  CU_ASSERT_EQUAL (limit_of (&fixture), 1);
  replies (&fixture, 5 * JD_GATE_WINDOW, 30000);
  CU_ASSERT_EQUAL (limit_of (&fixture), 1);

  fixture = warm;
  jd_target_gate_set_health (&fixture.gate, TRUE, fixture.now_us);
  CU_ASSERT_EQUAL (limit_of (&fixture), 1);
}

/* Guards against two attempts at once after a silent time in which the target may have
 * restarted, and against a needless ramp when it has not. */
static void
silence_is_checked_with_one_attempt (void)
{
  fixture_t fixture = cold_gate (2);
  replies (&fixture, 5 * JD_GATE_WINDOW, 4000);
  fixture.now_us += 10 * JD_US_PER_S;
  CU_ASSERT_EQUAL (limit_of (&fixture), 1);
  replies (&fixture, 1, 4000);
  CU_ASSERT_EQUAL (limit_of (&fixture), 2);
}

/* Guards against a cold target that is taken for warm by replies without work, which
 * are fast, or by replies from before a silent time (seeds 10954 and 10338 of
 * test_query_rules). */
static void
only_work_of_one_boot_counts_as_warm (void)
{
  fixture_t fixture = cold_gate (2);
  for (int i = 0; i < 10 * JD_GATE_WINDOW; i++)
    reply (&fixture, JD_GATE_ALIVE, 200, -1);
  CU_ASSERT_EQUAL (limit_of (&fixture), 1);

  fixture.boot_id = 0;
  replies (&fixture, 3 * JD_GATE_WINDOW - 1, 4000);
  fixture.now_us += JD_US_PER_S;
  replies (&fixture, JD_GATE_WINDOW, 4000);
  CU_ASSERT_EQUAL (limit_of (&fixture), 1);
}

/* Guards against overload by a target's other users: their load lowers the limit, one
 * odd report does not, and one attempt always stays possible. */
static void
foreign_load_lowers_the_limit (void)
{
  fixture_t fixture = cold_gate (6);
  replies (&fixture, 12 * JD_GATE_WINDOW, 4000);
  reply (&fixture, JD_GATE_OK, 4000, 9);
  CU_ASSERT_EQUAL (limit_of (&fixture), 6);
  reply (&fixture, JD_GATE_OK, 4000, 9);
  reply (&fixture, JD_GATE_OK, 4000, 9);
  CU_ASSERT_EQUAL (limit_of (&fixture), 3);
  for (int i = 0; i < 3; i++)
    reply (&fixture, JD_GATE_OK, 4000, 100);
  CU_ASSERT_EQUAL (limit_of (&fixture), 1);
}

/* Guards against a cold target that is given only work that it cannot end in time: each
 * stopped attempt raises the expected time, and without attempts it falls again, so that
 * the target is tried. */
static void
stopped_attempts_raise_the_expected_time (void)
{
  fixture_t fixture = cold_gate (2);
  replies (&fixture, 5 * JD_GATE_WINDOW, 4000);
  fixture.boot_id = 2;
  replies (&fixture, 1, 4000);
  for (int i = 0; i < 6; i++)
    jd_target_gate_stopped (&fixture.gate,
                            jd_target_gate_expected_us (&fixture.gate, fixture.now_us),
                            fixture.now_us);
  CU_ASSERT (jd_target_gate_expected_us (&fixture.gate, fixture.now_us) > 30000);
  fixture.now_us += JD_US_PER_S;
  CU_ASSERT (jd_target_gate_expected_us (&fixture.gate, fixture.now_us) < 5000);
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "first contact ramps up", first_contact_ramps_up },
    { "signs of a cold start count", signs_of_a_cold_start_count },
    { "silence is checked with one attempt", silence_is_checked_with_one_attempt },
    { "stopped attempts raise the expected time",
      stopped_attempts_raise_the_expected_time },
    { "only work of one boot counts as warm", only_work_of_one_boot_counts_as_warm },
    { "foreign load lowers the limit", foreign_load_lowers_the_limit },
  };
  return JD_TEST_RUN ("target_gate", cases);
}
