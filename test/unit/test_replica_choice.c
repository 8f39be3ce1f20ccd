#include "routing/replica_choice.h"

#include "base/clock.h"
#include "routing/replica_registry.h"
#include "support/test_main.h"

#define NOW_US (100 * JD_US_PER_S)
#define TYPICAL_LATENCY_US (15 * JD_US_PER_MS)

static uint32_t added_count, removed_count;

static void
count_added (void *context, jd_replica_t *replica)
{
  added_count++;
}

static void
count_removed (void *context, jd_replica_t *replica)
{
  removed_count++;
}

static jd_replica_registry_t *
new_registry (void)
{
  jd_replica_events_t events = { count_added, count_removed, NULL };
  added_count = removed_count = 0;
  return jd_replica_registry_new ("a", &events);
}

static jd_replica_t *
put_replica (jd_replica_registry_t *registry, const char *id, const char *zone,
             int64_t born_ms)
{
  jd_replica_spec_t spec = {
    .id = id, .service = "desk", .zone = zone, .slots = 2, .born_ms = born_ms
  };
  jd_replica_registry_put (registry, &spec, NOW_US);
  jd_replica_t *found = jd_replica_registry_find (registry, id);
  CU_ASSERT_PTR_NOT_NULL_FATAL (found);
  g_assert (found != NULL);
  found->idle_connections = 1;
  return found;
}

static jd_replica_t *
choose_replica (jd_replica_registry_t *registry, const jd_replica_t *tried)
{
  const jd_replica_t *tried_list[] = { tried };
  jd_replica_criteria_t criteria = { .typical_latency_us = TYPICAL_LATENCY_US,
                                     .tried = tried_list,
                                     .tried_count = tried ? 1 : 0 };
  jd_replica_pool_t *pool = jd_replica_registry_pool (registry, "desk");
  jd_replica_t *chosen = jd_replica_choose (pool, &criteria, NOW_US);
  jd_replica_pool_unref (pool);
  return chosen;
}

/* Guards against unnecessary traffic between zones, and against the choice of a replica
 * in the host's zone that is paused, slow, overloaded or failing. */
static void
local_replica_unless_it_is_worse (void)
{
  jd_replica_registry_t *registry = new_registry ();
  jd_replica_t *local = put_replica (registry, "n", "a", 1);
  jd_replica_t *remote = put_replica (registry, "f", "b", 1);
  CU_ASSERT_PTR_EQUAL (choose_replica (registry, NULL), local);
  local->oldest_sent_us = NOW_US - 80 * JD_US_PER_MS;
  CU_ASSERT_PTR_EQUAL (choose_replica (registry, NULL), remote);
  local->oldest_sent_us = 0;
  local->latency_ratio = 4.0;
  CU_ASSERT_PTR_EQUAL (choose_replica (registry, NULL), remote);
  local->latency_ratio = 1.0;
  local->in_flight = 6;
  CU_ASSERT_PTR_EQUAL (choose_replica (registry, NULL), remote);
  local->in_flight = 0;
  local->failure_share = 0.5;
  CU_ASSERT_PTR_EQUAL (choose_replica (registry, NULL), remote);
  CU_ASSERT_PTR_EQUAL (choose_replica (registry, remote), local);
  jd_replica_registry_free (registry);
}

/* Guards against connections beyond the limit of targets, and against a search that fails
 * although a replica without a connection quota for this host is healthy, as it happens
 * if half of the targets are slow or do not answer (load scenario trouble-3 of the sites
 * *-search-grown). */
static void
replica_without_a_quota_is_the_last_choice (void)
{
  jd_replica_registry_t *registry = new_registry ();
  jd_replica_t *local = put_replica (registry, "n", "a", 1);
  jd_replica_t *without_quota = put_replica (registry, "x", "a", 1);
  without_quota->in_connection_quota = false;
  local->in_flight = 2;
  CU_ASSERT_PTR_EQUAL (choose_replica (registry, NULL), local);
  local->latency_ratio = 5.0;
  CU_ASSERT_PTR_EQUAL (choose_replica (registry, NULL), without_quota);
  jd_replica_registry_free (registry);
}

/* Guards against requests to targets that are draining, are removed or are in a
 * drained zone. */
static void
draining_or_removed_targets_get_no_requests (void)
{
  jd_replica_registry_t *registry = new_registry ();
  put_replica (registry, "n", "a", 1);
  put_replica (registry, "f", "b", 1);
  jd_replica_spec_t draining = {
    .id = "n", .service = "desk", .zone = "a", .born_ms = 1, .draining = true
  };
  jd_replica_registry_put (registry, &draining, NOW_US);
  CU_ASSERT_STRING_EQUAL (choose_replica (registry, NULL)->id, "f");
  jd_replica_registry_set_zone_drained (registry, "b", true);
  CU_ASSERT_PTR_NULL (choose_replica (registry, NULL));
  jd_replica_registry_set_zone_drained (registry, "b", false);
  CU_ASSERT_STRING_EQUAL (choose_replica (registry, NULL)->id, "f");
  jd_replica_registry_remove (registry, "f", NOW_US);
  CU_ASSERT_PTR_NULL (choose_replica (registry, NULL));
  CU_ASSERT_EQUAL (removed_count, 2);
  jd_replica_registry_free (registry);
}

/* Guards against observations of a process that are applied to its successor under the
 * same id. */
static void
restarted_target_has_no_observations (void)
{
  jd_replica_registry_t *registry = new_registry ();
  jd_replica_t *former = put_replica (registry, "n", "a", 1);
  former->latency_ratio = 9.0;
  jd_replica_t *successor = put_replica (registry, "n", "a", 2);
  CU_ASSERT_TRUE (successor->latency_ratio < 2.0);
  CU_ASSERT_EQUAL (added_count, 2);
  CU_ASSERT_EQUAL (jd_replica_registry_count (registry), 1);
  jd_replica_registry_free (registry);
}

/* Guards against failing targets that stay in use, and against ejections that do not
 * end: a replica is ejected after three failures in a row and is usable again within 3 s.
 * An ejected replica is chosen if there is no other; an unreachable one is not. */
static void
failing_target_is_ejected_for_a_limited_time (void)
{
  jd_replica_registry_t *registry = new_registry ();
  jd_replica_t *replica = put_replica (registry, "n", "a", 1);
  for (int i = 0; i < 3; i++)
    jd_replica_observe (replica, JD_REPLICA_BROKEN, 1000, TYPICAL_LATENCY_US, NOW_US);
  CU_ASSERT_FALSE (jd_replica_is_usable (replica, NOW_US));
  CU_ASSERT_TRUE (jd_replica_is_usable (replica, NOW_US + 3 * JD_US_PER_S));
  CU_ASSERT_PTR_EQUAL (choose_replica (registry, NULL), replica);
  jd_replica_observe (replica, JD_REPLICA_UNREACHABLE, 0, 0, NOW_US);
  CU_ASSERT_PTR_NULL (choose_replica (registry, NULL));
  jd_replica_registry_free (registry);
}

/* Guards against a cold target that gets more requests than it can serve. */
static void
cold_target_stays_within_its_quota (void)
{
  jd_replica_registry_t *registry = new_registry ();
  jd_replica_t *replica = put_replica (registry, "n", "a", 1);
  replica->pool->cold_per_s = 4.0;
  replica->cold_until_us = NOW_US + JD_US_PER_S;
  CU_ASSERT_PTR_NULL (choose_replica (registry, NULL));
  jd_cold_limit_t limit = {
    .requests_per_s = 4.0, .burst = 2.0, .hosts = 1, .host_index = 0
  };
  jd_cold_quota_set_limit (&replica->cold_quota, &limit, NOW_US - 300 * JD_US_PER_MS);
  CU_ASSERT_PTR_EQUAL (choose_replica (registry, NULL), replica);
  jd_cold_quota_use_grant (&replica->cold_quota, NOW_US);
  CU_ASSERT_PTR_NULL (choose_replica (registry, NULL));
  jd_replica_registry_free (registry);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "replica in the host's zone unless it is worse", local_replica_unless_it_is_worse },
    { "replica without a quota is the last choice",
      replica_without_a_quota_is_the_last_choice },
    { "draining or removed targets get no requests",
      draining_or_removed_targets_get_no_requests },
    { "restarted target has no observations", restarted_target_has_no_observations },
    { "failing target is ejected for a limited time",
      failing_target_is_ejected_for_a_limited_time },
    { "cold target stays within its quota", cold_target_stays_within_its_quota },
  };
  return JD_TEST_RUN ("replica_choice", cases);
}
