#include "routing/route_table.h"

#include <string.h>

#include "base/clock.h"
#include "support/test_main.h"

static const jd_route_t *
match (const jd_route_table_t *table, const char *host, const char *path)
{
  return jd_route_table_match (table, host, path, strlen (path));
}

/* Guards against a request that is sent to the wrong service: the route with the longest
 * prefix of the request's host applies, whatever the order of the routes and the case of
 * the host's name. */
static void
longest_prefix_of_the_host_applies (void)
{
  jd_route_table_t *table = jd_route_table_new (3);
  jd_route_table_add_route (table, "root", "shop.example", "/");
  jd_route_table_add_route (table, "long", "shop.example", "/a/b/");
  jd_route_table_add_route (table, "short", "shop.example", "/a/");
  jd_route_table_add_route (table, "other", "other.example", "/a/");
  jd_route_table_finish (table, NULL);
  CU_ASSERT_STRING_EQUAL (match (table, "Shop.Example:8080", "/a/b/c")->name, "long");
  CU_ASSERT_STRING_EQUAL (match (table, "shop.example", "/a/bc")->name, "short");
  CU_ASSERT_STRING_EQUAL (match (table, "shop.example", "/x")->name, "root");
  CU_ASSERT_STRING_EQUAL (match (table, "other.example", "/a/b/")->name, "other");
  CU_ASSERT_PTR_NULL (match (table, "other.example", "/b/"));
  CU_ASSERT_PTR_NULL (match (table, "unknown.example", "/a/"));
  jd_route_table_unref (table);
}

/* Guards against a removed key that is still accepted, and against latencies that are
 * lost with a new version. */
static void
newer_version_replaces_keys_and_keeps_latency (void)
{
  jd_route_table_t *old = jd_route_table_new (1);
  jd_route_t *route = jd_route_table_add_route (old, "search", "h", "/");
  jd_tenant_t *tenant = jd_route_table_add_tenant (old, "school");
  g_ptr_array_add (tenant->keys, g_strdup ("key-1"));
  jd_route_table_finish (old, NULL);
  jd_route_latency_record (route->latency, 20000);
  CU_ASSERT_STRING_EQUAL (jd_route_table_tenant (old, "key-1")->name, "school");
  jd_route_table_t *next = jd_route_table_new (2);
  route = jd_route_table_add_route (next, "search", "h", "/");
  jd_route_table_add_tenant (next, "school");
  jd_route_table_finish (next, old);
  jd_route_table_unref (old);
  CU_ASSERT_PTR_NULL (jd_route_table_tenant (next, "key-1"));
  CU_ASSERT_DOUBLE_EQUAL (route->latency->median_us, 20000.0, 1.0);
  jd_route_table_unref (next);
}

/* Guards against outliers that shift the median: one attempt in ten takes 50 times as
 * long. */
static void
median_ignores_outliers (void)
{
  jd_route_latency_t latency = { 0 };
  for (int i = 0; i < 2000; i++)
    jd_route_latency_record (&latency, i % 10 == 0 ? 750000 : 14000 + (i * 7919) % 2000);
  CU_ASSERT_TRUE (latency.median_us > 13000.0 && latency.median_us < 18000.0);
}

static void
ignore_replica (void *context, jd_replica_t *replica)
{
}

/* Guards against a host that stays ready although it cannot reach the targets of most of
 * its requests, and against a host that is not ready because of a route without requests
 * or a service without targets. */
static void
unreachable_routes_count_by_their_requests (void)
{
  jd_replica_events_t events = { ignore_replica, ignore_replica, NULL };
  jd_replica_registry_t *registry = jd_replica_registry_new ("a", &events);
  jd_route_table_t *table = jd_route_table_new (1);
  jd_route_t *search = jd_route_table_add_route (table, "search", "h", "/s/");
  jd_route_t *fetch = jd_route_table_add_route (table, "fetch", "h", "/f/");
  search->kind = JD_ROUTE_SCATTER;
  search->min_coverage = 0.75;
  jd_replica_t *shards[4];
  for (int i = 0; i < 4; i++)
    {
      char name[8];
      g_snprintf (name, sizeof (name), "s%d", i);
      jd_replica_spec_t spec = { .id = name, .service = name, .zone = "b" };
      jd_replica_registry_put (registry, &spec, 1);
      jd_replica_pool_t *pool = jd_replica_registry_pool (registry, name);
      shards[i] = pool->replicas->pdata[0];
      jd_route_add_part (search, pool, 1.0);
    }
  jd_route_add_part (fetch, jd_replica_registry_pool (registry, "studio"), 1.0);
  jd_route_table_finish (table, NULL);
  search->latency->recent_requests = 8.0;
  fetch->latency->recent_requests = 2.0;
  shards[0]->unreachable = true;
  CU_ASSERT_DOUBLE_EQUAL (jd_route_table_unreachable_share (table), 0.0, 0.01);
  shards[1]->unreachable = true;
  CU_ASSERT_DOUBLE_EQUAL (jd_route_table_unreachable_share (table), 0.8, 0.01);
  search->latency->recent_requests = 0.0;
  CU_ASSERT_DOUBLE_EQUAL (jd_route_table_unreachable_share (table), 0.0, 0.01);
  jd_route_table_unref (table);
  jd_replica_registry_free (registry);
}

/* Guards against more urgent requests that are rejected for load while less urgent ones
 * to the same targets are admitted, and against rejections of requests to other
 * targets. */
static void
less_urgent_requests_are_rejected_first (void)
{
  jd_replica_events_t events = { ignore_replica, ignore_replica, NULL };
  jd_replica_registry_t *registry = jd_replica_registry_new ("a", &events);
  jd_route_table_t *table = jd_route_table_new (1);
  jd_route_t *urgent = jd_route_table_add_route (table, "urgent", "h", "/u/");
  jd_route_t *normal = jd_route_table_add_route (table, "normal", "h", "/s/");
  jd_route_t *other = jd_route_table_add_route (table, "other", "h", "/o/");
  urgent->priority = 1;
  normal->priority = other->priority = 2;
  jd_route_add_part (urgent, jd_replica_registry_pool (registry, "desk"), 1.0);
  jd_route_add_part (normal, jd_replica_registry_pool (registry, "desk"), 1.0);
  jd_route_add_part (other, jd_replica_registry_pool (registry, "studio"), 1.0);
  jd_route_table_finish (table, NULL);
  jd_tenant_t *tenant = jd_route_table_add_tenant (table, "school");
  int64_t now_us = JD_US_PER_S;
  urgent->latency->gate.share_updated_us = now_us;
  urgent->latency->gate.rejected_share = 0.2;
  CU_ASSERT_DOUBLE_EQUAL (jd_route_table_rejected_share (table, urgent, tenant, now_us),
                          0.2, 1e-9);
  CU_ASSERT_DOUBLE_EQUAL (jd_route_table_rejected_share (table, normal, tenant, now_us),
                          0.4, 1e-9);
  CU_ASSERT_EQUAL (jd_route_table_rejected_share (table, other, tenant, now_us), 0.0);
  /* The priority of a tenant overrides that of a route. */
  tenant->priority = 1;
  CU_ASSERT_EQUAL (jd_route_table_rejected_share (table, normal, tenant, now_us), 0.0);
  tenant->priority = 3;
  CU_ASSERT_DOUBLE_EQUAL (jd_route_table_rejected_share (table, urgent, tenant, now_us),
                          0.4, 1e-9);
  CU_ASSERT_EQUAL (
      jd_route_table_rejected_share (table, urgent, tenant, now_us + 2 * JD_US_PER_S),
      0.0);
  jd_route_table_unref (table);
  jd_replica_registry_free (registry);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "longest prefix of the host applies", longest_prefix_of_the_host_applies },
    { "newer version replaces keys and keeps latency",
      newer_version_replaces_keys_and_keeps_latency },
    { "median ignores outliers", median_ignores_outliers },
    { "less urgent requests are rejected first",
      less_urgent_requests_are_rejected_first },
    { "unreachable routes count by their requests",
      unreachable_routes_count_by_their_requests },
  };
  return JD_TEST_RUN ("route_table", cases);
}
