#include "routing/entry_core.h"

#include "base/clock.h"
#include "base/rng.h"
#include "support/test_main.h"

#define MAX_SENT_ATTEMPTS 64

/* An attempt that the core has sent. */
typedef struct sent_attempt
{
  uint64_t query_id;
  jd_work_item_t item;
  uint64_t snapshot;
  uint32_t bounce_at;
  int64_t deadline_us;
} sent_attempt_t;

typedef struct fixture
{
  jd_entry_core_t *core;
  jd_philox_t philox;
  sent_attempt_t sent[MAX_SENT_ATTEMPTS];
  uint32_t sent_count;
  uint32_t cancel_count;
  uint32_t answer_count;
  jd_answer_t answer;
  const char *unreachable_broker; /* The transport sends nothing to this broker. */
} fixture_t;

static gboolean
on_send (void *context, const char *broker, const jd_work_t *work)
{
  fixture_t *fixture = context;
  if (g_strcmp0 (broker, fixture->unreachable_broker) == 0)
    return FALSE;
  for (uint32_t i = 0; i < work->item_count; i++)
    {
      sent_attempt_t *sent = &fixture->sent[fixture->sent_count++ % MAX_SENT_ATTEMPTS];
      *sent = (sent_attempt_t){ .query_id = work->query_id,
                                .item = work->items[i],
                                .snapshot = work->snapshot,
                                .bounce_at = work->busy_wait_count,
                                .deadline_us = work->deadline_us };
    }
  return TRUE;
}

static void
on_cancel (void *context, const char *broker, const uint64_t *ids, uint32_t count)
{
  ((fixture_t *)context)->cancel_count += count;
}

static void
on_finish (void *context, const jd_answer_t *answer)
{
  fixture_t *fixture = context;
  fixture->answer_count++;
  fixture->answer = *answer;
}

/* Publishes a shard map; shard i has the targets 2i in zone a and 2i + 1 in zone b. */
static void
publish_map (fixture_t *fixture, uint32_t shards, uint64_t map_version)
{
  static char ids[8][4];
  jd_target_record_t targets[4][2] = { 0 };
  jd_shard_record_t records[4] = { 0 };
  for (uint32_t s = 0; s < shards; s++)
    {
      for (uint32_t r = 0; r < 2; r++)
        {
          g_snprintf (ids[2 * s + r], sizeof (ids[0]), "t%u", 2 * s + r);
          targets[s][r].id = ids[2 * s + r];
          targets[s][r].zone = (char *)(r ? "b" : "a");
        }
      records[s] = (jd_shard_record_t){ .id = (char *)(s ? "s1" : "s0"),
                                        .weight = 1,
                                        .targets = targets[s],
                                        .target_count = 2 };
    }
  jd_service_record_t record = { .name = (char *)"desk",
                                 .deadline_ms = 60,
                                 .hedge_quantile = 0.95,
                                 .hedge_budget = 1.0,
                                 .map_version = map_version,
                                 .shards = records,
                                 .shard_count = shards };
  jd_entry_core_on_service (fixture->core, &record);
}

/* Reports both replicas of two shards: broker ba owns the targets in zone a, and broker
 * bb those in zone b. */
static void
report_targets (fixture_t *fixture, uint64_t snapshot_a, uint64_t snapshot_b,
                int64_t now_us)
{
  for (uint32_t b = 0; b < 2; b++)
    {
      jd_target_status_t list[2] = { 0 };
      for (uint32_t s = 0; s < 2; s++)
        {
          g_snprintf (list[s].target, JD_NAME_SIZE, "t%u", 2 * s + b);
          list[s].limit = 2;
          list[s].snapshot_count = 1;
          list[s].snapshots[0] = b ? snapshot_b : snapshot_a;
        }
      jd_entry_core_on_target_state (fixture->core, b ? "bb" : "ba", now_us + 500, list,
                                     2, now_us);
    }
}

static void
set_up (fixture_t *fixture, uint32_t shards)
{
  *fixture = (fixture_t){ 0 };
  jd_entry_callbacks_t callbacks = { on_send, on_cancel, on_finish, fixture };
  jd_entry_settings_t settings = jd_entry_settings_default ("a");
  fixture->core =
      jd_entry_core_new (&settings, &callbacks, jd_philox_rng (&fixture->philox), 100);
  publish_map (fixture, shards, 1);
  report_targets (fixture, 7, 7, 1000);
}

static uint64_t
submit (fixture_t *fixture, jd_work_kind_t kind, int64_t now_us)
{
  jd_request_t request = { .kind = kind, .service = "desk", .text = "x", .limit = 3 };
  return jd_entry_core_submit (fixture->core, &request, now_us);
}

/* Delivers the outcome of the attempt with the given index in fixture->sent. */
static void
complete_attempt (fixture_t *fixture, uint32_t index, jd_result_code_t code, jd_ran_t ran,
                  uint64_t snapshot, int64_t now_us)
{
  const sent_attempt_t *sent = &fixture->sent[index];
  jd_work_outcome_t work_outcome = { .attempt_id = sent->item.attempt_id,
                                     .code = code,
                                     .ran = ran,
                                     .snapshot = snapshot,
                                     .target_limit = 2,
                                     .target_load = 2 };
  g_strlcpy (work_outcome.target, sent->item.target, JD_NAME_SIZE);
  g_strlcpy (work_outcome.shard, sent->item.shard, JD_NAME_SIZE);
  jd_work_result_t result = { .query_id = sent->query_id,
                              .broker_clock_us = now_us + 500,
                              .outcome_count = 1,
                              .outcomes = &work_outcome };
  jd_entry_core_on_work_result (fixture->core, "ba", &result, now_us);
}

/* Guards against an edit that is sent twice, and against an answer with a wrong outcome:
 * after the edit is handed over, no outcome causes another attempt. */
static void
edits_are_sent_once (void)
{
  const struct
  {
    jd_result_code_t code;
    jd_ran_t ran;
    jd_result_code_t expected_code;
  } cases[] = { { JD_OK, JD_RAN_YES, JD_OK },
                { JD_OVERLOADED, JD_RAN_NO, JD_OVERLOADED },
                { JD_NOT_OWNER, JD_RAN_NO, JD_NOT_OWNER },
                { JD_TARGET_ERROR, JD_RAN_UNKNOWN, JD_OUTCOME_UNKNOWN } };
  for (unsigned i = 0; i < sizeof (cases) / sizeof (cases[0]); i++)
    {
      fixture_t fixture;
      set_up (&fixture, 1);
      submit (&fixture, JD_WORK_EDIT, 2000);
      complete_attempt (&fixture, 0, cases[i].code, cases[i].ran, 0, 3000);
      CU_ASSERT_EQUAL (fixture.sent_count, 1);
      CU_ASSERT_EQUAL (fixture.answer.code, cases[i].expected_code);
      CU_ASSERT_EQUAL (fixture.answer.ran, cases[i].ran);
      jd_entry_core_free (fixture.core);
    }
}

/* Guards against an edit that is reported as not run while it may still run, and against
 * a second answer when the outcome of the edit arrives after its deadline. */
static void
edits_without_outcome_are_unknown (void)
{
  fixture_t fixture;
  set_up (&fixture, 1);
  submit (&fixture, JD_WORK_EDIT, 2000);
  jd_entry_core_tick (fixture.core, 2000 + 60 * JD_US_PER_MS);
  CU_ASSERT_EQUAL (fixture.answer.code, JD_OUTCOME_UNKNOWN);
  CU_ASSERT_EQUAL (fixture.answer.ran, JD_RAN_UNKNOWN);
  complete_attempt (&fixture, 0, JD_OK, JD_RAN_YES, 0, 80000);
  CU_ASSERT_EQUAL (fixture.answer_count, 1);
  CU_ASSERT_EQUAL (jd_entry_core_counts (fixture.core)->unknown_outcomes, 1);
  submit (&fixture, JD_WORK_EDIT, 90000);
  jd_entry_core_on_broker_lost (fixture.core, "ba", 91000);
  CU_ASSERT_EQUAL (fixture.answer.code, JD_OUTCOME_UNKNOWN);
  jd_entry_core_free (fixture.core);
}

/* Guards against a rejected edit while another broker is reachable: an edit that was
 * certainly not sent goes to the other replica. If that one is unreachable too, the edit
 * is reported as not run. */
static void
unsent_edits_go_to_the_other_replica (void)
{
  fixture_t fixture;
  set_up (&fixture, 1);
  fixture.unreachable_broker = "ba";
  submit (&fixture, JD_WORK_EDIT, 2000);
  CU_ASSERT_EQUAL (fixture.sent_count, 1);
  CU_ASSERT_STRING_EQUAL (fixture.sent[0].item.target, "t1");
  CU_ASSERT (fixture.sent[0].deadline_us <= 2000 + 500 + 60 * JD_US_PER_MS);
  fixture.unreachable_broker = "bb";
  submit (&fixture, JD_WORK_EDIT, 3000);
  CU_ASSERT_EQUAL (fixture.answer.code, JD_NO_TARGET);
  CU_ASSERT_EQUAL (fixture.answer.ran, JD_RAN_NO);
  jd_entry_core_free (fixture.core);
}

/* Guards against mixed snapshots and wrong coverage: an outcome of another snapshot
 * leaves its shard uncovered, and an answer has the map version that its query started
 * with. */
static void
foreign_snapshots_count_as_missing (void)
{
  fixture_t fixture;
  set_up (&fixture, 2);
  submit (&fixture, JD_WORK_SEARCH, 2000);
  CU_ASSERT_EQUAL (fixture.sent_count, 2);
  publish_map (&fixture, 1, 2);
  complete_attempt (&fixture, 0, JD_OK, JD_RAN_YES, 7, 3000);
  complete_attempt (&fixture, 1, JD_OK, JD_RAN_YES, 6, 3000);
  complete_attempt (&fixture, 2, JD_OK, JD_RAN_YES, 6, 4000);
  CU_ASSERT_EQUAL (fixture.answer.code, JD_PARTIAL);
  CU_ASSERT_EQUAL (fixture.answer.map_version, 1);
  CU_ASSERT_EQUAL (fixture.answer.snapshot, 7);
  CU_ASSERT (fixture.answer.coverage > 0.49 && fixture.answer.coverage < 0.51);
  jd_entry_core_free (fixture.core);
}

/* Guards against an answer from a snapshot that few shards hold, and against a query
 * that stays on its snapshot after the targets dropped it. */
static void
queries_replan_on_a_better_snapshot (void)
{
  fixture_t fixture;
  set_up (&fixture, 2);
  report_targets (&fixture, 8, 7, 1500);
  submit (&fixture, JD_WORK_SEARCH, 2000);
  CU_ASSERT_EQUAL (fixture.sent[0].snapshot, 8);
  report_targets (&fixture, 9, 9, 2500);
  complete_attempt (&fixture, 0, JD_SNAPSHOT_UNAVAILABLE, JD_RAN_NO, 0, 3000);
  CU_ASSERT_EQUAL (fixture.sent_count, 4);
  CU_ASSERT_EQUAL (fixture.sent[3].snapshot, 9);
  complete_attempt (&fixture, 2, JD_OK, JD_RAN_YES, 9, 4000);
  complete_attempt (&fixture, 3, JD_OK, JD_RAN_YES, 9, 4000);
  CU_ASSERT_EQUAL (fixture.answer.code, JD_OK);
  CU_ASSERT_EQUAL (fixture.answer.snapshot, 9);
  jd_entry_core_free (fixture.core);
}

/* Guards against work that waits at a busy target while the other replica is free, and
 * against work that is redirected without end: after the second refusal it returns to the
 * first replica and waits there. */
static void
busy_refusal_redirects_to_the_other_replica (void)
{
  fixture_t fixture;
  set_up (&fixture, 1);
  submit (&fixture, JD_WORK_SEARCH, 2000);
  CU_ASSERT (fixture.sent[0].bounce_at > 0);
  complete_attempt (&fixture, 0, JD_TARGET_BUSY, JD_RAN_NO, 0, 2500);
  CU_ASSERT_STRING_EQUAL (fixture.sent[1].item.target, "t1");
  complete_attempt (&fixture, 1, JD_TARGET_BUSY, JD_RAN_NO, 0, 3000);
  CU_ASSERT_STRING_EQUAL (fixture.sent[2].item.target, "t0");
  CU_ASSERT_EQUAL (fixture.sent[2].bounce_at, 0);
  complete_attempt (&fixture, 2, JD_OK, JD_RAN_YES, 7, 4000);
  CU_ASSERT_EQUAL (fixture.answer.code, JD_OK);
  CU_ASSERT_EQUAL (fixture.answer.extra_attempts, 0);
  jd_entry_core_free (fixture.core);
}

/* Guards against a straggler that determines the latency of the query, and against a
 * slower attempt that keeps its slot: the other replica gets a hedge, and its success
 * cancels the first attempt. */
static void
stragglers_are_hedged_and_cancelled (void)
{
  fixture_t fixture;
  set_up (&fixture, 1);
  submit (&fixture, JD_WORK_SEARCH, 2000);
  int64_t wake_us = jd_entry_core_next_wake_us (fixture.core);
  CU_ASSERT (wake_us < 2000 + 30 * JD_US_PER_MS);
  jd_entry_core_tick (fixture.core, wake_us);
  CU_ASSERT_EQUAL (fixture.sent_count, 2);
  complete_attempt (&fixture, 1, JD_OK, JD_RAN_YES, 7, wake_us + 3000);
  CU_ASSERT_EQUAL (fixture.answer.code, JD_OK);
  CU_ASSERT_EQUAL (fixture.answer.extra_attempts, 1);
  CU_ASSERT_EQUAL (fixture.cancel_count, 1);
  jd_entry_core_free (fixture.core);
}

/* Guards against a target that gets no work any more because it was slow once, although
 * it is now as fast as the other replica. This happened after a broker was killed: 40
 * searches of an idle entry all went to the targets of the other zone. */
static void
formerly_slow_targets_get_work_again (void)
{
  fixture_t fixture;
  set_up (&fixture, 1);
  submit (&fixture, JD_WORK_SEARCH, 2000);
  CU_ASSERT_STRING_EQUAL (fixture.sent[0].item.target, "t0");
  complete_attempt (&fixture, 0, JD_OK, JD_RAN_YES, 7, 42000);
  int64_t now_us = 42000;
  uint32_t formerly_slow_count = 0;
  for (uint32_t i = 1; i <= 40; i++)
    {
      now_us += 200 * JD_US_PER_MS;
      report_targets (&fixture, 7, 7, now_us);
      submit (&fixture, JD_WORK_SEARCH, now_us);
      CU_ASSERT_EQUAL_FATAL (fixture.sent_count, i + 1);
      gboolean is_formerly_slow = g_strcmp0 (fixture.sent[i].item.target, "t0") == 0;
      CU_ASSERT_TRUE (i > 5 || !is_formerly_slow);
      formerly_slow_count += is_formerly_slow;
      complete_attempt (&fixture, i, JD_OK, JD_RAN_YES, 7, now_us + 5 * JD_US_PER_MS);
    }
  CU_ASSERT_TRUE (formerly_slow_count >= 10);
  jd_entry_core_free (fixture.core);
}

/* Guards against new work for a drained zone or a leaving target. */
static void
drained_zones_and_leaving_targets_get_no_work (void)
{
  fixture_t fixture;
  set_up (&fixture, 1);
  jd_entry_core_on_zone_state (fixture.core, "a", TRUE, 1500);
  submit (&fixture, JD_WORK_SEARCH, 2000);
  CU_ASSERT_STRING_EQUAL (fixture.sent[0].item.target, "t1");
  jd_entry_core_set_leaving (fixture.core, "t1", TRUE);
  submit (&fixture, JD_WORK_SEARCH, 2000);
  CU_ASSERT_EQUAL (fixture.sent_count, 1);
  CU_ASSERT_EQUAL (fixture.answer.code, JD_NO_TARGET);
  CU_ASSERT_EQUAL (fixture.answer.ran, JD_RAN_NO);
  jd_entry_core_free (fixture.core);
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "edits are sent once", edits_are_sent_once },
    { "edits without outcome are unknown", edits_without_outcome_are_unknown },
    { "unsent edits go to the other replica", unsent_edits_go_to_the_other_replica },
    { "foreign snapshots count as missing", foreign_snapshots_count_as_missing },
    { "queries replan on a better snapshot", queries_replan_on_a_better_snapshot },
    { "busy refusal redirects to the other replica",
      busy_refusal_redirects_to_the_other_replica },
    { "stragglers are hedged and cancelled", stragglers_are_hedged_and_cancelled },
    { "formerly slow targets get work again", formerly_slow_targets_get_work_again },
    { "drained zones and leaving targets get no work",
      drained_zones_and_leaving_targets_get_no_work },
  };
  return JD_TEST_RUN ("entry_core", cases);
}
