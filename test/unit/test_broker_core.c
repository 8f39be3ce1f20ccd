#include "routing/broker_core.h"

#include "base/clock.h"
#include "support/test_main.h"

#define MAX_STARTS 64

/* A core, and what it passed to its callbacks. */
typedef struct fixture
{
  jd_broker_core_t *core;
  uint64_t started[MAX_STARTS];
  uint32_t start_count;
  uint32_t cancel_count;
  uint32_t message_count;
  uint32_t outcome_count;
  uint32_t hit_count;
  jd_result_code_t last_code;
  jd_ran_t last_ran;
} fixture_t;

static void
on_start (void *context, const jd_broker_start_t *start)
{
  fixture_t *fixture = context;
  fixture->started[fixture->start_count++ % MAX_STARTS] = start->handle;
}

static void
on_cancel (void *context, uint64_t handle)
{
  ((fixture_t *)context)->cancel_count++;
}

static void
on_outcomes (void *context, uint64_t entry, const jd_work_result_t *result)
{
  fixture_t *fixture = context;
  fixture->message_count++;
  for (uint32_t i = 0; i < result->outcome_count; i++)
    {
      fixture->outcome_count++;
      fixture->hit_count += result->outcomes[i].hit_count;
      fixture->last_code = result->outcomes[i].code;
      fixture->last_ran = result->outcomes[i].ran;
    }
}

/* Creates a core that owns targets t0 and t1, with one slot each, until 10 s. */
static void
set_up (fixture_t *fixture)
{
  *fixture = (fixture_t){ 0 };
  jd_broker_callbacks_t callbacks = { on_start, on_cancel, on_outcomes, fixture };
  jd_broker_settings_t settings = jd_broker_settings_default ();
  fixture->core = jd_broker_core_new (&settings, &callbacks);
  const char *const names[] = { "t0", "t1" };
  for (int i = 0; i < 2; i++)
    {
      jd_broker_core_set_target (fixture->core, names[i], 1, 25, 1);
      jd_broker_core_on_owned (fixture->core, names[i], TRUE, 10 * JD_US_PER_S, 1);
    }
}

/* Sends a work message with one item per target, t0 first. */
static void
send_work (fixture_t *fixture, jd_work_kind_t kind, uint64_t attempt_id, uint32_t items,
           int64_t deadline_us, int64_t now_us)
{
  jd_work_t message = { .query_id = attempt_id,
                        .kind = kind,
                        .snapshot = 7,
                        .limit = 3,
                        .deadline_us = deadline_us,
                        .item_count = items };
  message.text = g_strdup ("text");
  message.items = g_new0 (jd_work_item_t, items);
  for (uint32_t i = 0; i < items; i++)
    {
      message.items[i].attempt_id = attempt_id + i;
      g_snprintf (message.items[i].target, JD_NAME_SIZE, "t%u", i);
      g_snprintf (message.items[i].shard, JD_NAME_SIZE, "s%u", i);
    }
  jd_broker_core_on_work (fixture->core, 1, &message, now_us);
}

static void
send_reply (fixture_t *fixture, uint64_t handle, jd_reply_kind_t kind, double score,
            int64_t now_us)
{
  jd_target_reply_t reply = {
    .kind = kind, .snapshot = 7, .boot_id = 1, .uptime_us = -1, .in_flight = -1
  };
  if (score > 0)
    {
      reply.hit_count = 3;
      reply.hits = g_new0 (jd_hit_t, 3);
      for (int i = 0; i < 3; i++)
        reply.hits[i].score = score - i;
    }
  jd_broker_core_on_reply (fixture->core, handle, &reply, now_us);
}

/* Runs attempts of 10 ms each at t0 until the core has measured this service time. */
static void
measure_service_time (fixture_t *fixture, int64_t *now_us)
{
  for (uint32_t i = 0; i < 5 * JD_US_PER_MS / 100; i++)
    {
      send_work (fixture, JD_WORK_SEARCH, 1000 + i, 1, *now_us + 100000, *now_us);
      uint64_t handle = fixture->started[(fixture->start_count - 1) % MAX_STARTS];
      jd_broker_core_may_write (fixture->core, handle, *now_us);
      *now_us += 10 * JD_US_PER_MS;
      send_reply (fixture, handle, JD_REPLY_OK, 0, *now_us);
    }
  jd_broker_core_flush (fixture->core, *now_us);
}

/* Guards against a process that was paused and then writes after its lease or the
 * deadline has expired: the check right before the write ends the attempt as not run. */
static void
lease_and_deadline_are_checked_right_before_the_write (void)
{
  for (int after_lease = 0; after_lease < 2; after_lease++)
    {
      fixture_t fixture;
      set_up (&fixture);
      send_work (&fixture, JD_WORK_EDIT, 1, 1, JD_US_PER_S, 100);
      CU_ASSERT_EQUAL (fixture.start_count, 1);
      int64_t write_us = after_lease ? 11 * JD_US_PER_S : JD_US_PER_S + 1;
      CU_ASSERT_FALSE (
          jd_broker_core_may_write (fixture.core, fixture.started[0], write_us));
      jd_broker_core_flush (fixture.core, write_us);
      CU_ASSERT_EQUAL (fixture.last_code,
                       after_lease ? JD_NOT_OWNER : JD_DEADLINE_EXCEEDED);
      CU_ASSERT_EQUAL (fixture.last_ran, JD_RAN_NO);
      CU_ASSERT_EQUAL (jd_broker_core_open_count (fixture.core), 0);
      jd_broker_core_free (fixture.core);
    }
}

/* Guards against running attempts in order of arrival instead of deadline, and against
 * sending expired work to a target. */
static void
nearest_deadline_runs_first_and_expired_work_is_not_run (void)
{
  fixture_t fixture;
  set_up (&fixture);
  send_work (&fixture, JD_WORK_SEARCH, 1, 1, 900000, 100);
  send_work (&fixture, JD_WORK_SEARCH, 2, 1, 800000, 100);
  send_work (&fixture, JD_WORK_SEARCH, 3, 1, 300000, 100);
  send_work (&fixture, JD_WORK_SEARCH, 4, 1, 200, 100);
  CU_ASSERT (jd_broker_core_may_write (fixture.core, fixture.started[0], 100));
  send_reply (&fixture, fixture.started[0], JD_REPLY_OK, 0, 10000);
  jd_broker_core_flush (fixture.core, 10000);
  CU_ASSERT_EQUAL (jd_broker_core_counts (fixture.core)->expired, 1);
  CU_ASSERT_EQUAL (fixture.start_count, 2);
  CU_ASSERT_EQUAL (fixture.started[1], fixture.started[0] + 2);
  jd_broker_core_free (fixture.core);
}

/* Guards against reusing a slot while the target may still work on a cancelled attempt:
 * the slot is held until the target confirms the cancellation, or until the release
 * margin after the deadline has passed. */
static void
cancelled_attempt_holds_its_slot_until_confirmed_or_overdue (void)
{
  for (int confirmed = 0; confirmed < 2; confirmed++)
    {
      fixture_t fixture;
      set_up (&fixture);
      send_work (&fixture, JD_WORK_SEARCH, 1, 1, 100000, 100);
      CU_ASSERT (jd_broker_core_may_write (fixture.core, fixture.started[0], 100));
      send_work (&fixture, JD_WORK_SEARCH, 2, 1, 400000, 200);
      const uint64_t id = 1;
      jd_broker_core_on_cancel (fixture.core, 1, &id, 1, 300);
      CU_ASSERT_EQUAL (fixture.cancel_count, 1);
      CU_ASSERT_EQUAL (fixture.start_count, 1);
      if (confirmed)
        send_reply (&fixture, fixture.started[0], JD_REPLY_CANCEL_CONFIRMED, 0, 400);
      jd_broker_core_tick (fixture.core, 110000);
      CU_ASSERT_EQUAL (fixture.start_count, confirmed ? 2 : 1);
      /* Without a confirmation, the slot is released 20 ms after the deadline. */
      jd_broker_core_tick (fixture.core, 150000);
      jd_broker_core_tick (fixture.core, 200000);
      CU_ASSERT_EQUAL (fixture.start_count, 2);
      jd_broker_core_free (fixture.core);
    }
}

/* Guards against queueing work that cannot finish by its deadline: at 10 ms per request
 * and one slot, the fourth request cannot finish within 30 ms and is refused, not run. */
static void
work_that_cannot_finish_by_its_deadline_is_refused (void)
{
  fixture_t fixture;
  set_up (&fixture);
  int64_t now_us = 100;
  measure_service_time (&fixture, &now_us);
  for (uint64_t id = 1; id <= 4; id++)
    send_work (&fixture, JD_WORK_SEARCH, id, 1, now_us + 30 * JD_US_PER_MS, now_us);
  jd_broker_core_flush (fixture.core, now_us);
  CU_ASSERT (jd_broker_core_counts (fixture.core)->refused_overload >= 1);
  CU_ASSERT_EQUAL (fixture.last_code, JD_OVERLOADED);
  CU_ASSERT_EQUAL (fixture.last_ran, JD_RAN_NO);
  jd_broker_core_free (fixture.core);
}

/* Guards against a cold target that stays idle while work is queued: after a missed
 * deadline there is no backoff once the target has confirmed the cancellation. */
static void
timeout_causes_no_backoff (void)
{
  fixture_t fixture;
  set_up (&fixture);
  send_work (&fixture, JD_WORK_SEARCH, 1, 1, 60000, 100);
  CU_ASSERT (jd_broker_core_may_write (fixture.core, fixture.started[0], 100));
  jd_broker_core_tick (fixture.core, 60000);
  send_work (&fixture, JD_WORK_SEARCH, 2, 1, 400000, 60001);
  CU_ASSERT_EQUAL (fixture.start_count, 1);
  send_reply (&fixture, fixture.started[0], JD_REPLY_CANCEL_CONFIRMED, 0, 60002);
  CU_ASSERT_EQUAL (fixture.start_count, 2);
  jd_broker_core_free (fixture.core);
}

/* Guards against oversized messages and lost hits: two outcomes that are sent together
 * keep the best 3 of their 6 hits, and both shards. */
static void
outcomes_sent_together_keep_their_best_hits (void)
{
  fixture_t fixture;
  set_up (&fixture);
  send_work (&fixture, JD_WORK_SEARCH, 1, 2, 100000, 100);
  for (int i = 0; i < 2; i++)
    CU_ASSERT (jd_broker_core_may_write (fixture.core, fixture.started[i], 100));
  send_reply (&fixture, fixture.started[0], JD_REPLY_OK, 9, 5000);
  send_reply (&fixture, fixture.started[1], JD_REPLY_OK, 8, 5000);
  jd_broker_core_flush (fixture.core, 5000);
  CU_ASSERT_EQUAL (fixture.message_count, 1);
  CU_ASSERT_EQUAL (fixture.outcome_count, 2);
  CU_ASSERT_EQUAL (fixture.hit_count, 3);
  jd_broker_core_free (fixture.core);
}

/* Guards against a second execution of an edit because its message arrives twice. */
static void
duplicate_work_is_ignored (void)
{
  fixture_t fixture;
  set_up (&fixture);
  send_work (&fixture, JD_WORK_EDIT, 1, 1, 100000, 100);
  CU_ASSERT (jd_broker_core_may_write (fixture.core, fixture.started[0], 100));
  send_reply (&fixture, fixture.started[0], JD_REPLY_OK, 0, 5000);
  send_work (&fixture, JD_WORK_EDIT, 1, 1, 100000, 6000);
  CU_ASSERT_EQUAL (fixture.start_count, 1);
  CU_ASSERT_EQUAL (jd_broker_core_counts (fixture.core)->duplicates, 1);
  jd_broker_core_free (fixture.core);
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "lease and deadline are checked right before the write",
      lease_and_deadline_are_checked_right_before_the_write },
    { "the nearest deadline runs first and expired work is not run",
      nearest_deadline_runs_first_and_expired_work_is_not_run },
    { "a cancelled attempt holds its slot until it is confirmed or overdue",
      cancelled_attempt_holds_its_slot_until_confirmed_or_overdue },
    { "work that cannot finish by its deadline is refused",
      work_that_cannot_finish_by_its_deadline_is_refused },
    { "a timeout causes no backoff", timeout_causes_no_backoff },
    { "outcomes sent together keep their best hits",
      outcomes_sent_together_keep_their_best_hits },
    { "duplicate work is ignored", duplicate_work_is_ignored },
  };
  return JD_TEST_RUN ("broker_core", cases);
}
