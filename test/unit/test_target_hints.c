#include "routing/target_hints.h"

#include "base/clock.h"
#include "support/test_main.h"

#define TYPICAL_LATENCY_US (15 * JD_US_PER_MS)
#define SLOW_US (150 * JD_US_PER_MS)
#define HINTS_MAX 8

static void
ignore_replica (void *context, jd_replica_t *replica)
{
}

/* Returns a registry with one target. */
static jd_replica_registry_t *
new_registry (jd_replica_t **replica)
{
  jd_replica_events_t events = { ignore_replica, ignore_replica, NULL };
  jd_replica_registry_t *registry = jd_replica_registry_new ("a", &events);
  jd_replica_spec_t spec = { .id = "t1", .service = "s", .zone = "a", .slots = 2 };
  jd_replica_registry_put (registry, &spec, 1);
  jd_replica_pool_t *pool = jd_replica_registry_pool (registry, "s");
  *replica = pool->replicas->pdata[0];
  jd_replica_pool_unref (pool);
  return registry;
}

/* Records an answer that took elapsed_us and arrived at now_us. */
static void
record_answer (jd_replica_t *replica, int64_t elapsed_us, int64_t now_us)
{
  jd_replica_observe (replica, JD_REPLICA_OK, elapsed_us, TYPICAL_LATENCY_US, now_us);
}

/* Sends the pending hints of one host to another; returns the number of hints. */
static uint32_t
send_hints (jd_replica_registry_t *from, jd_replica_registry_t *to, int64_t now_us)
{
  jd_target_hint_t hints[HINTS_MAX];
  uint32_t count = jd_target_hints_collect (from, hints, HINTS_MAX, now_us);
  jd_target_hints_apply (to, hints, count, now_us);
  return count;
}

/* Guards against targets that all hosts avoid because of a single pause, and against
 * hints about slow targets that are sent late or never expire. */
static void
hint_about_slow_target_not_about_pause (void)
{
  jd_replica_t *sender_replica, *receiver_replica;
  jd_replica_registry_t *sender = new_registry (&sender_replica),
                        *receiver = new_registry (&receiver_replica);
  int64_t now_us = 10 * JD_US_PER_S;
  /* Two requests that were delayed by the same pause. */
  record_answer (sender_replica, SLOW_US, now_us);
  record_answer (sender_replica, SLOW_US, now_us + 20 * JD_US_PER_MS);
  CU_ASSERT_EQUAL (send_hints (sender, receiver, now_us), 0);
  /* A request that was sent 300 ms later. */
  now_us += 300 * JD_US_PER_MS;
  record_answer (sender_replica, SLOW_US, now_us);
  CU_ASSERT_EQUAL (send_hints (sender, receiver, now_us), 1);
  CU_ASSERT_EQUAL (send_hints (sender, receiver, now_us), 0);
  CU_ASSERT_DOUBLE_EQUAL (jd_replica_latency_ratio (receiver_replica, now_us), 10.0, 0.2);
  CU_ASSERT_TRUE (jd_replica_latency_ratio (receiver_replica, now_us + 10 * JD_US_PER_S) <
                  1.5);
  jd_replica_registry_free (sender);
  jd_replica_registry_free (receiver);
}

/* Guards against unresponsive targets that each host has to detect on its own: one
 * attempt that gets no answer for longer than a pause leads to a hint. */
static void
hint_about_one_attempt_without_answer (void)
{
  jd_replica_t *sender_replica, *receiver_replica;
  jd_replica_registry_t *sender = new_registry (&sender_replica),
                        *receiver = new_registry (&receiver_replica);
  int64_t now_us = 10 * JD_US_PER_S;
  jd_replica_observe (sender_replica, JD_REPLICA_ABANDONED, 300 * JD_US_PER_MS,
                      TYPICAL_LATENCY_US, now_us);
  CU_ASSERT_EQUAL (send_hints (sender, receiver, now_us), 1);
  CU_ASSERT_TRUE (jd_replica_latency_ratio (receiver_replica, now_us) > 10.0);
  jd_replica_registry_free (sender);
  jd_replica_registry_free (receiver);
}

/* Guards against healthy targets that all hosts avoid because one long request took
 * longer than a pause, as 3 in 100 fetches of 120 ms do. */
static void
no_hint_about_one_long_request (void)
{
  const int64_t typical_latency_us = 120 * JD_US_PER_MS;
  jd_replica_t *sender_replica, *receiver_replica;
  jd_replica_registry_t *sender = new_registry (&sender_replica),
                        *receiver = new_registry (&receiver_replica);
  int64_t now_us = 10 * JD_US_PER_S;
  jd_replica_observe (sender_replica, JD_REPLICA_OK, 3 * typical_latency_us,
                      typical_latency_us, now_us);
  CU_ASSERT_EQUAL (send_hints (sender, receiver, now_us), 0);
  /* The caller cancelled the request. */
  now_us += 5 * JD_US_PER_S;
  jd_replica_observe (sender_replica, JD_REPLICA_ABANDONED, 3 * typical_latency_us,
                      typical_latency_us, now_us);
  CU_ASSERT_EQUAL (send_hints (sender, receiver, now_us), 0);
  now_us += 5 * JD_US_PER_S;
  jd_replica_observe (sender_replica, JD_REPLICA_ABANDONED, 7 * typical_latency_us,
                      typical_latency_us, now_us);
  CU_ASSERT_EQUAL (send_hints (sender, receiver, now_us), 1);
  jd_replica_registry_free (sender);
  jd_replica_registry_free (receiver);
}

/* Guards against hosts that still avoid a target after another host has observed its
 * recovery, and against answers to requests from before the hint that count as
 * recovery. */
static void
hint_about_recovered_target (void)
{
  jd_replica_t *sender_replica, *receiver_replica;
  jd_replica_registry_t *sender = new_registry (&sender_replica),
                        *receiver = new_registry (&receiver_replica);
  int64_t now_us = 10 * JD_US_PER_S;
  jd_replica_observe (sender_replica, JD_REPLICA_ABANDONED, 300 * JD_US_PER_MS,
                      TYPICAL_LATENCY_US, now_us);
  send_hints (sender, receiver, now_us);
  /* The request was sent before the hint was received. */
  record_answer (receiver_replica, TYPICAL_LATENCY_US, now_us + JD_US_PER_MS);
  CU_ASSERT_TRUE (jd_replica_latency_ratio (receiver_replica, now_us) > 10.0);
  CU_ASSERT_EQUAL (send_hints (receiver, sender, now_us), 0);
  now_us += 100 * JD_US_PER_MS;
  record_answer (receiver_replica, TYPICAL_LATENCY_US, now_us);
  CU_ASSERT_DOUBLE_EQUAL (jd_replica_latency_ratio (receiver_replica, now_us), 1.0, 0.1);
  CU_ASSERT_EQUAL (send_hints (receiver, sender, now_us), 1);
  CU_ASSERT_EQUAL (sender_replica->hint_received_us, 0);
  jd_replica_registry_free (sender);
  jd_replica_registry_free (receiver);
}

/* Guards against a host that cannot reach targets, or is the only one with poor answers
 * from them, and makes other hosts with good answers avoid them. */
static void
local_observations_override_hints (void)
{
  jd_replica_t *sender_replica, *receiver_replica;
  jd_replica_registry_t *sender = new_registry (&sender_replica),
                        *receiver = new_registry (&receiver_replica);
  int64_t now_us = 10 * JD_US_PER_S;
  record_answer (receiver_replica, TYPICAL_LATENCY_US, now_us - JD_US_PER_S / 2);
  jd_replica_observe (sender_replica, JD_REPLICA_TIMED_OUT, 300 * JD_US_PER_MS,
                      TYPICAL_LATENCY_US, now_us);
  CU_ASSERT_EQUAL (send_hints (sender, receiver, now_us), 1);
  CU_ASSERT_DOUBLE_EQUAL (jd_replica_latency_ratio (receiver_replica, now_us), 1.0, 0.1);
  /* An unreachable target may be unreachable for this host only. */
  jd_replica_observe (sender_replica, JD_REPLICA_UNREACHABLE, 0, 0, now_us + JD_US_PER_S);
  CU_ASSERT_EQUAL (send_hints (sender, receiver, now_us + JD_US_PER_S), 0);
  jd_replica_registry_free (sender);
  jd_replica_registry_free (receiver);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "hint about a slow target, not about a pause",
      hint_about_slow_target_not_about_pause },
    { "hint about one attempt without an answer", hint_about_one_attempt_without_answer },
    { "no hint about one long request", no_hint_about_one_long_request },
    { "hint about a recovered target", hint_about_recovered_target },
    { "local observations override hints", local_observations_override_hints },
  };
  return JD_TEST_RUN ("target_hints", cases);
}
