#include "routing/target_hints.h"

#include "base/clock.h"
#include "support/test_main.h"

#define USUAL_US (15 * JD_US_PER_MS)
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

/* Lets a host see an answer that took some time and ended now. */
static void
answer (jd_replica_t *replica, int64_t elapsed_us, int64_t now_us)
{
  jd_replica_observe (replica, JD_REPLICA_OK, elapsed_us, USUAL_US, now_us);
}

/* Tells what one host has to tell to another; returns the number of hints. */
static uint32_t
tell (jd_replica_registry_t *from, jd_replica_registry_t *to, int64_t now_us)
{
  jd_target_hint_t hints[HINTS_MAX];
  uint32_t count = jd_target_hints_collect (from, hints, HINTS_MAX, now_us);
  jd_target_hints_take (to, hints, count, now_us);
  return count;
}

/* Guards against targets that are avoided by all hosts because they paused once, and
 * against slow ones that are told of late or for good. */
static void
slow_targets_are_told_pauses_are_not (void)
{
  jd_replica_t *here, *there;
  jd_replica_registry_t *seer = new_registry (&here), *hearer = new_registry (&there);
  int64_t now_us = 10 * JD_US_PER_S;
  /* Two requests that met the same pause. */
  answer (here, SLOW_US, now_us);
  answer (here, SLOW_US, now_us + 20 * JD_US_PER_MS);
  CU_ASSERT_EQUAL (tell (seer, hearer, now_us), 0);
  /* One that was sent 300 ms later. */
  now_us += 300 * JD_US_PER_MS;
  answer (here, SLOW_US, now_us);
  CU_ASSERT_EQUAL (tell (seer, hearer, now_us), 1);
  CU_ASSERT_EQUAL (tell (seer, hearer, now_us), 0);
  CU_ASSERT_DOUBLE_EQUAL (jd_replica_slowness (there, now_us), 10.0, 0.2);
  CU_ASSERT_TRUE (jd_replica_slowness (there, now_us + 10 * JD_US_PER_S) < 1.5);
  jd_replica_registry_free (seer);
  jd_replica_registry_free (hearer);
}

/* Guards against dead targets that each host has to find by itself: one attempt without
 * an answer for longer than a pause is enough. */
static void
one_attempt_without_answer_is_told (void)
{
  jd_replica_t *here, *there;
  jd_replica_registry_t *seer = new_registry (&here), *hearer = new_registry (&there);
  int64_t now_us = 10 * JD_US_PER_S;
  jd_replica_observe (here, JD_REPLICA_ABANDONED, 300 * JD_US_PER_MS, USUAL_US, now_us);
  CU_ASSERT_EQUAL (tell (seer, hearer, now_us), 1);
  CU_ASSERT_TRUE (jd_replica_slowness (there, now_us) > 10.0);
  jd_replica_registry_free (seer);
  jd_replica_registry_free (hearer);
}

/* Guards against sound targets that all hosts avoid because one long request took longer
 * than a pause, as 3 in 100 fetches of 120 ms do. */
static void
one_long_request_is_not_told (void)
{
  const int64_t usual_us = 120 * JD_US_PER_MS;
  jd_replica_t *here, *there;
  jd_replica_registry_t *seer = new_registry (&here), *hearer = new_registry (&there);
  int64_t now_us = 10 * JD_US_PER_S;
  jd_replica_observe (here, JD_REPLICA_OK, 3 * usual_us, usual_us, now_us);
  CU_ASSERT_EQUAL (tell (seer, hearer, now_us), 0);
  /* A caller left it. */
  now_us += 5 * JD_US_PER_S;
  jd_replica_observe (here, JD_REPLICA_ABANDONED, 3 * usual_us, usual_us, now_us);
  CU_ASSERT_EQUAL (tell (seer, hearer, now_us), 0);
  now_us += 5 * JD_US_PER_S;
  jd_replica_observe (here, JD_REPLICA_ABANDONED, 7 * usual_us, usual_us, now_us);
  CU_ASSERT_EQUAL (tell (seer, hearer, now_us), 1);
  jd_replica_registry_free (seer);
  jd_replica_registry_free (hearer);
}

/* Guards against hosts that go on to avoid a target after one has found it well, and
 * against answers from before the trouble that count as such. */
static void
targets_that_are_well_again_are_told (void)
{
  jd_replica_t *here, *there;
  jd_replica_registry_t *seer = new_registry (&here), *hearer = new_registry (&there);
  int64_t now_us = 10 * JD_US_PER_S;
  jd_replica_observe (here, JD_REPLICA_ABANDONED, 300 * JD_US_PER_MS, USUAL_US, now_us);
  tell (seer, hearer, now_us);
  /* Sent before the hint came. */
  answer (there, USUAL_US, now_us + JD_US_PER_MS);
  CU_ASSERT_TRUE (jd_replica_slowness (there, now_us) > 10.0);
  CU_ASSERT_EQUAL (tell (hearer, seer, now_us), 0);
  now_us += 100 * JD_US_PER_MS;
  answer (there, USUAL_US, now_us);
  CU_ASSERT_DOUBLE_EQUAL (jd_replica_slowness (there, now_us), 1.0, 0.1);
  CU_ASSERT_EQUAL (tell (hearer, seer, now_us), 1);
  CU_ASSERT_EQUAL (here->told_us, 0);
  jd_replica_registry_free (seer);
  jd_replica_registry_free (hearer);
}

/* Guards against a host that cannot reach targets, or is answered badly by them alone,
 * and takes them away from hosts that are served well. */
static void
own_sight_goes_before_hints (void)
{
  jd_replica_t *here, *there;
  jd_replica_registry_t *seer = new_registry (&here), *hearer = new_registry (&there);
  int64_t now_us = 10 * JD_US_PER_S;
  answer (there, USUAL_US, now_us - JD_US_PER_S / 2);
  jd_replica_observe (here, JD_REPLICA_TIMED_OUT, 300 * JD_US_PER_MS, USUAL_US, now_us);
  CU_ASSERT_EQUAL (tell (seer, hearer, now_us), 1);
  CU_ASSERT_DOUBLE_EQUAL (jd_replica_slowness (there, now_us), 1.0, 0.1);
  /* A target that cannot be reached may be cut off from this host only. */
  jd_replica_observe (here, JD_REPLICA_UNREACHABLE, 0, 0, now_us + JD_US_PER_S);
  CU_ASSERT_EQUAL (tell (seer, hearer, now_us + JD_US_PER_S), 0);
  jd_replica_registry_free (seer);
  jd_replica_registry_free (hearer);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "slow targets are told, pauses are not", slow_targets_are_told_pauses_are_not },
    { "one attempt without answer is told", one_attempt_without_answer_is_told },
    { "one long request is not told", one_long_request_is_not_told },
    { "targets that are well again are told", targets_that_are_well_again_are_told },
    { "own sight goes before hints", own_sight_goes_before_hints },
  };
  return JD_TEST_RUN ("target_hints", cases);
}
