#include "routing/replica_choice.h"

#include "base/clock.h"
#include "routing/replica_registry.h"
#include "support/test_main.h"

#define NOW (100 * JD_US_PER_S)
#define USUAL (15 * JD_US_PER_MS)

static uint32_t added_count, removed_count;

static void
on_added (void *context, jd_replica_t *replica)
{
  added_count++;
}

static void
on_removed (void *context, jd_replica_t *replica)
{
  removed_count++;
}

static jd_replica_registry_t *
new_registry (void)
{
  jd_replica_events_t events = { on_added, on_removed, NULL };
  added_count = removed_count = 0;
  return jd_replica_registry_new ("a", &events);
}

static jd_replica_t *
put (jd_replica_registry_t *registry, const char *id, const char *zone, int64_t born_ms)
{
  jd_replica_spec_t spec = {
    .id = id, .service = "desk", .zone = zone, .slots = 2, .born_ms = born_ms
  };
  jd_replica_registry_put (registry, &spec, NOW);
  jd_replica_pool_t *pool = jd_replica_registry_pool (registry, "desk");
  jd_replica_t *found = NULL;
  for (guint i = 0; i < pool->replicas->len; i++)
    {
      jd_replica_t *replica = pool->replicas->pdata[i];
      if (g_strcmp0 (replica->id, id) == 0)
        found = replica;
    }
  jd_replica_pool_unref (pool);
  CU_ASSERT_PTR_NOT_NULL_FATAL (found);
  g_assert (found != NULL);
  found->idle_connections = 1;
  return found;
}

static jd_replica_t *
choose (jd_replica_registry_t *registry, const jd_replica_t *tried)
{
  const jd_replica_t *tried_list[] = { tried };
  jd_replica_need_t need = { .usual_us = USUAL,
                             .tried = tried_list,
                             .tried_count = tried ? 1 : 0 };
  jd_replica_pool_t *pool = jd_replica_registry_pool (registry, "desk");
  jd_replica_t *chosen = jd_replica_choose (pool, &need, NOW);
  jd_replica_pool_unref (pool);
  return chosen;
}

/* Guards against traffic between zones that is not needed, and against a near replica
 * that is chosen although it is paused, slow, full or failing. */
static void
near_replica_unless_it_is_worse (void)
{
  jd_replica_registry_t *registry = new_registry ();
  jd_replica_t *near = put (registry, "n", "a", 1);
  jd_replica_t *far = put (registry, "f", "b", 1);
  CU_ASSERT_PTR_EQUAL (choose (registry, NULL), near);
  near->oldest_sent_us = NOW - 80 * JD_US_PER_MS;
  CU_ASSERT_PTR_EQUAL (choose (registry, NULL), far);
  near->oldest_sent_us = 0;
  near->slowness = 4.0;
  CU_ASSERT_PTR_EQUAL (choose (registry, NULL), far);
  near->slowness = 1.0;
  near->in_flight = 6;
  CU_ASSERT_PTR_EQUAL (choose (registry, NULL), far);
  near->in_flight = 0;
  near->failure_share = 0.5;
  CU_ASSERT_PTR_EQUAL (choose (registry, NULL), far);
  CU_ASSERT_PTR_EQUAL (choose (registry, far), near);
  jd_replica_registry_free (registry);
}

/* Guards against connections beyond what targets take, and against a search that fails
 * while a replica outside the host's share is well. Seen with half of the targets slow or
 * dead (trouble-3 of the grown sites). */
static void
replica_beyond_the_share_is_the_last_choice (void)
{
  jd_replica_registry_t *registry = new_registry ();
  jd_replica_t *near = put (registry, "n", "a", 1);
  jd_replica_t *beyond = put (registry, "x", "a", 1);
  beyond->in_share = false;
  near->in_flight = 2;
  CU_ASSERT_PTR_EQUAL (choose (registry, NULL), near);
  near->slowness = 5.0;
  CU_ASSERT_PTR_EQUAL (choose (registry, NULL), beyond);
  jd_replica_registry_free (registry);
}

/* Guards against requests to targets that leave, are gone or whose zone is evacuated. */
static void
leaving_targets_get_nothing (void)
{
  jd_replica_registry_t *registry = new_registry ();
  put (registry, "n", "a", 1);
  put (registry, "f", "b", 1);
  jd_replica_spec_t draining = {
    .id = "n", .service = "desk", .zone = "a", .born_ms = 1, .draining = true
  };
  jd_replica_registry_put (registry, &draining, NOW);
  CU_ASSERT_STRING_EQUAL (choose (registry, NULL)->id, "f");
  jd_replica_registry_evacuate (registry, "b", true);
  CU_ASSERT_PTR_NULL (choose (registry, NULL));
  jd_replica_registry_evacuate (registry, "b", false);
  CU_ASSERT_STRING_EQUAL (choose (registry, NULL)->id, "f");
  jd_replica_registry_remove (registry, "f");
  CU_ASSERT_PTR_NULL (choose (registry, NULL));
  CU_ASSERT_EQUAL (removed_count, 2);
  jd_replica_registry_free (registry);
}

/* Guards against what was learned of a process being held against its successor under the
 * same id. */
static void
restarted_target_starts_anew (void)
{
  jd_replica_registry_t *registry = new_registry ();
  jd_replica_t *old = put (registry, "n", "a", 1);
  old->slowness = 9.0;
  jd_replica_t *fresh = put (registry, "n", "a", 2);
  CU_ASSERT_TRUE (fresh->slowness < 2.0);
  CU_ASSERT_EQUAL (added_count, 2);
  CU_ASSERT_EQUAL (jd_replica_registry_count (registry), 1);
  jd_replica_registry_free (registry);
}

/* Guards against failing targets that stay in use, and against ones that are left out for
 * good: a replica is left out after failures in a row and returns by itself; failed
 * answers are better than no target, an unreachable one is not. */
static void
failing_target_is_left_out_for_a_while (void)
{
  jd_replica_registry_t *registry = new_registry ();
  jd_replica_t *replica = put (registry, "n", "a", 1);
  for (int i = 0; i < 3; i++)
    jd_replica_observe (replica, JD_REPLICA_BROKEN, 1000, USUAL, NOW);
  CU_ASSERT_FALSE (jd_replica_is_usable (replica, NOW));
  CU_ASSERT_TRUE (jd_replica_is_usable (replica, NOW + 3 * JD_US_PER_S));
  CU_ASSERT_PTR_EQUAL (choose (registry, NULL), replica);
  jd_replica_observe (replica, JD_REPLICA_UNREACHABLE, 0, 0, NOW);
  CU_ASSERT_PTR_NULL (choose (registry, NULL));
  jd_replica_registry_free (registry);
}

/* Guards against a cold target that gets more than it bears. */
static void
cold_target_gets_its_share_only (void)
{
  jd_replica_registry_t *registry = new_registry ();
  jd_replica_t *replica = put (registry, "n", "a", 1);
  replica->pool->cold_per_s = 4.0;
  replica->cold_until_us = NOW + JD_US_PER_S;
  CU_ASSERT_PTR_NULL (choose (registry, NULL));
  jd_cold_terms_t terms = { .per_s = 4.0, .slack = 2.0, .hosts = 1, .turn = 0 };
  jd_cold_share_update (&replica->cold, &terms, NOW - 300 * JD_US_PER_MS);
  CU_ASSERT_PTR_EQUAL (choose (registry, NULL), replica);
  jd_cold_share_use (&replica->cold, NOW);
  CU_ASSERT_PTR_NULL (choose (registry, NULL));
  jd_replica_registry_free (registry);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "near replica unless it is worse", near_replica_unless_it_is_worse },
    { "replica beyond the share", replica_beyond_the_share_is_the_last_choice },
    { "leaving targets get nothing", leaving_targets_get_nothing },
    { "restarted target starts anew", restarted_target_starts_anew },
    { "failing target is left out", failing_target_is_left_out_for_a_while },
    { "cold target", cold_target_gets_its_share_only },
  };
  return JD_TEST_RUN ("replica_choice", cases);
}
