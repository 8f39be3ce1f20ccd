#include "routing/route_table.h"

#include <math.h>
#include <string.h>

/* Under overload, less urgent requests are rejected this many times as often. */
#define LESS_URGENT_FACTOR 2.0
/* Relative change of the latency estimates by one observation. The high estimate rises
 * HIGH_RISE times as far as it falls, so it converges to the 90th percentile. */
#define LATENCY_STEP 0.03
#define HIGH_RISE 9.0
/* Each call of jd_route_table_unreachable_share() multiplies the recent requests by
 * RECENT_DECAY; routes with fewer than RECENT_MIN are ignored. */
#define RECENT_DECAY 0.95
#define RECENT_MIN 0.01

/* Array callback: frees a route. */
static void
free_route (gpointer data)
{
  jd_route_t *route = data;
  for (guint i = 0; i < route->parts->len; i++)
    jd_replica_pool_unref (g_array_index (route->parts, jd_route_part_t, i).pool);
  g_array_free (route->parts, TRUE);
  if (route->latency && --route->latency->references == 0)
    g_free (route->latency);
  g_free (route->name);
  g_free (route->host);
  g_free (route->prefix);
  g_free (route);
}

/* Array callback: frees a tenant. */
static void
free_tenant (gpointer data)
{
  jd_tenant_t *tenant = data;
  g_ptr_array_free (tenant->keys, TRUE);
  g_free (tenant->name);
  g_free (tenant);
}

/* Array callback: frees the limits of a service. */
static void
free_service (gpointer data)
{
  jd_service_limits_t *service = data;
  g_free (service->name);
  g_free (service);
}

/* Hash table callback: frees the index of one host name, but not its routes. */
static void
free_host_routes (gpointer data)
{
  g_ptr_array_free (data, TRUE);
}

/* Creates an empty table with one reference. */
jd_route_table_t *
jd_route_table_new (int64_t version)
{
  jd_route_table_t *table = g_new0 (jd_route_table_t, 1);
  table->references = 1;
  table->version = version;
  table->routes = g_ptr_array_new_with_free_func (free_route);
  table->tenants = g_ptr_array_new_with_free_func (free_tenant);
  table->services = g_ptr_array_new_with_free_func (free_service);
  table->by_host =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_host_routes);
  table->by_key = g_hash_table_new (g_str_hash, g_str_equal);
  return table;
}

/* Adds a reference and returns the table. */
jd_route_table_t *
jd_route_table_ref (jd_route_table_t *table)
{
  table->references++;
  return table;
}

/* Drops a reference, if table is not NULL; the last one frees the table. */
void
jd_route_table_unref (jd_route_table_t *table)
{
  if (!table || --table->references > 0)
    return;
  g_hash_table_destroy (table->by_host);
  g_hash_table_destroy (table->by_key);
  g_ptr_array_free (table->routes, TRUE);
  g_ptr_array_free (table->tenants, TRUE);
  g_ptr_array_free (table->services, TRUE);
  g_free (table);
}

/* Adds a route, which the table owns; the caller sets its other members. */
jd_route_t *
jd_route_table_add_route (jd_route_table_t *table, const char *name, const char *host,
                          const char *prefix)
{
  jd_route_t *route = g_new0 (jd_route_t, 1);
  route->name = g_strdup (name);
  route->host = g_ascii_strdown (host, -1);
  route->prefix = g_strdup (prefix);
  route->parts = g_array_new (FALSE, FALSE, sizeof (jd_route_part_t));
  g_ptr_array_add (table->routes, route);
  return route;
}

/* Adds a service to a route as one of its parts. The route takes ownership of the
 * reference to the pool. */
void
jd_route_add_part (jd_route_t *route, jd_replica_pool_t *pool, double weight)
{
  jd_route_part_t part = { .pool = pool, .weight = weight };
  g_array_append_val (route->parts, part);
}

/* Adds a tenant, which the table owns. The caller adds its keys before it calls
 * jd_route_table_finish(), which indexes them. */
jd_tenant_t *
jd_route_table_add_tenant (jd_route_table_t *table, const char *name)
{
  jd_tenant_t *tenant = g_new0 (jd_tenant_t, 1);
  tenant->name = g_strdup (name);
  tenant->keys = g_ptr_array_new_with_free_func (g_free);
  tenant->priority = JD_TENANT_NO_PRIORITY;
  g_ptr_array_add (table->tenants, tenant);
  return tenant;
}

/* Adds the limits of a service, which the table owns; the caller sets them. */
jd_service_limits_t *
jd_route_table_add_service (jd_route_table_t *table, const char *name)
{
  jd_service_limits_t *service = g_new0 (jd_service_limits_t, 1);
  service->name = g_strdup (name);
  g_ptr_array_add (table->services, service);
  return service;
}

/* Sort callback: orders routes by prefix length, longest first. */
static gint
compare_prefixes (gconstpointer a, gconstpointer b)
{
  const jd_route_t *const *left = a;
  const jd_route_t *const *right = b;
  size_t left_len = strlen ((*left)->prefix);
  size_t right_len = strlen ((*right)->prefix);
  return (left_len < right_len) - (left_len > right_len);
}

/* Shares the latency record of the route with the same name in the previous table, or
 * creates one. previous may be NULL. */
static void
inherit_latency (jd_route_t *route, const jd_route_table_t *previous)
{
  for (guint i = 0; previous && i < previous->routes->len; i++)
    {
      const jd_route_t *old = previous->routes->pdata[i];
      if (strcmp (old->name, route->name) != 0 || !old->latency)
        continue;
      route->latency = old->latency;
      route->latency->references++;
      return;
    }
  route->latency = g_new0 (jd_route_latency_t, 1);
  route->latency->references = 1;
}

/* Builds the indexes after all records are added. Routes keep the latency records of
 * previous, which may be NULL. */
void
jd_route_table_finish (jd_route_table_t *table, const jd_route_table_t *previous)
{
  for (guint i = 0; i < table->routes->len; i++)
    {
      jd_route_t *route = table->routes->pdata[i];
      inherit_latency (route, previous);
      GPtrArray *routes = g_hash_table_lookup (table->by_host, route->host);
      if (!routes)
        {
          routes = g_ptr_array_new ();
          g_hash_table_insert (table->by_host, g_strdup (route->host), routes);
        }
      g_ptr_array_add (routes, route);
    }
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->by_host);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_sort (value, compare_prefixes);
  for (guint i = 0; i < table->tenants->len; i++)
    {
      jd_tenant_t *tenant = table->tenants->pdata[i];
      for (guint k = 0; k < tenant->keys->len; k++)
        g_hash_table_insert (table->by_key, tenant->keys->pdata[k], tenant);
    }
}

/* Returns the route of a request target under a host name, or NULL. A port in the host
 * name is ignored. */
const jd_route_t *
jd_route_table_match (const jd_route_table_t *table, const char *host, const char *target,
                      size_t target_len)
{
  char name[256];
  size_t length = strcspn (host, ":");
  if (length >= sizeof (name))
    return NULL;
  for (size_t i = 0; i < length; i++)
    name[i] = g_ascii_tolower (host[i]);
  name[length] = '\0';
  GPtrArray *routes = g_hash_table_lookup (table->by_host, name);
  for (guint i = 0; routes && i < routes->len; i++)
    {
      const jd_route_t *route = routes->pdata[i];
      size_t prefix_len = strlen (route->prefix);
      if (prefix_len <= target_len && memcmp (route->prefix, target, prefix_len) == 0)
        return route;
    }
  return NULL;
}

/* Returns the tenant that owns a key, or NULL. */
const jd_tenant_t *
jd_route_table_tenant (const jd_route_table_t *table, const char *key)
{
  return g_hash_table_lookup (table->by_key, key);
}

/* Returns TRUE if this host can reach none of the service's targets that it connects to.
 * FALSE for a service without targets, because that is not a fault of this host. */
static bool
is_unreachable (const jd_replica_pool_t *pool)
{
  uint32_t wanted_count = 0, unreachable_count = 0;
  for (guint i = 0; i < pool->replicas->len; i++)
    {
      const jd_replica_t *replica = pool->replicas->pdata[i];
      bool is_wanted =
          replica->in_connection_quota && !replica->draining && !replica->zone_drained;
      wanted_count += is_wanted;
      unreachable_count += is_wanted && replica->unreachable;
    }
  return wanted_count > 0 && unreachable_count == wanted_count;
}

/* Sets when the service of each part of a route was named, unless it is named already. */
static void
set_named (const jd_route_t *route, int64_t named_us)
{
  for (guint i = 0; i < route->parts->len; i++)
    {
      jd_service_use_t *use = &g_array_index (route->parts, jd_route_part_t, i).pool->use;
      if (use->named_us == 0)
        use->named_us = named_us;
    }
}

/* Records which services the routes of a table name, and that those which only the
 * previous one named are no longer named. */
void
jd_route_table_name_services (const jd_route_table_t *table,
                              const jd_route_table_t *previous, int64_t now_us)
{
  GHashTable *named_before = g_hash_table_new (NULL, NULL);
  for (guint i = 0; previous && i < previous->routes->len; i++)
    {
      const jd_route_t *route = previous->routes->pdata[i];
      for (guint k = 0; k < route->parts->len; k++)
        g_hash_table_add (named_before,
                          g_array_index (route->parts, jd_route_part_t, k).pool);
    }
  for (guint i = 0; i < table->routes->len; i++)
    {
      const jd_route_t *route = table->routes->pdata[i];
      set_named (route, now_us);
      for (guint k = 0; k < route->parts->len; k++)
        g_hash_table_remove (named_before,
                             g_array_index (route->parts, jd_route_part_t, k).pool);
    }
  GHashTableIter iter;
  gpointer pool;
  g_hash_table_iter_init (&iter, named_before);
  while (g_hash_table_iter_next (&iter, &pool, NULL))
    ((jd_replica_pool_t *)pool)->use.named_us = 0;
  g_hash_table_destroy (named_before);
}

/* Returns how many of count parts an answer of the route needs at least. */
uint32_t
jd_route_needed_parts (const jd_route_t *route, uint32_t count)
{
  if (route->kind != JD_ROUTE_SCATTER)
    return count;
  /* The small term keeps 0.9 x 10 from rounding up to 10. */
  double needed = ceil (route->min_coverage * count - 1e-9);
  return (uint32_t)CLAMP (needed, 1.0, (double)count);
}

/* Returns the share of recent requests, 0 to 1, whose routes this host cannot serve
 * because it reaches too few of their targets. Each call decays the recent requests. */
double
jd_route_table_unreachable_share (jd_route_table_t *table)
{
  double total = 0.0, unreachable = 0.0;
  for (guint i = 0; i < table->routes->len; i++)
    {
      jd_route_t *route = table->routes->pdata[i];
      double weight = route->latency->recent_requests;
      route->latency->recent_requests *= RECENT_DECAY;
      if (weight < RECENT_MIN)
        continue;
      uint32_t unreachable_count = 0;
      for (guint p = 0; p < route->parts->len; p++)
        unreachable_count +=
            is_unreachable (g_array_index (route->parts, jd_route_part_t, p).pool);
      total += weight;
      if (route->parts->len - unreachable_count <
          jd_route_needed_parts (route, route->parts->len))
        unreachable += weight;
    }
  return total > 0.0 ? unreachable / total : 0.0;
}

/* Returns TRUE if two routes have a service in common. */
static bool
share_service (const jd_route_t *route, const jd_route_t *other)
{
  for (guint i = 0; i < route->parts->len; i++)
    {
      const jd_route_part_t *part = &g_array_index (route->parts, jd_route_part_t, i);
      for (guint k = 0; k < other->parts->len; k++)
        {
          if (g_array_index (other->parts, jd_route_part_t, k).pool == part->pool)
            return true;
        }
    }
  return false;
}

/* Returns the priority of a tenant's requests on a route; 0 is the most urgent. tenant
 * may be NULL. */
int32_t
jd_route_priority (const jd_route_t *route, const jd_tenant_t *tenant)
{
  bool has_own_priority = tenant && tenant->priority != JD_TENANT_NO_PRIORITY;
  return has_own_priority ? tenant->priority : route->priority;
}

/* Returns the priority of the most urgent routes for searches. */
int32_t
jd_route_table_search_priority (const jd_route_table_t *table)
{
  int32_t lowest = INT32_MAX;
  for (guint i = 0; i < table->routes->len; i++)
    {
      const jd_route_t *route = table->routes->pdata[i];
      if (route->kind == JD_ROUTE_SCATTER)
        lowest = MIN (lowest, route->priority);
    }
  return lowest;
}

/* Returns the share of a tenant's requests on a route, 0 to 1, to reject because targets
 * are overloaded. Less urgent requests (a higher priority number) are rejected more,
 * so that the targets have capacity for more urgent ones. tenant may be NULL. */
double
jd_route_table_rejected_share (const jd_route_table_t *table, const jd_route_t *route,
                               const jd_tenant_t *tenant, int64_t now_us)
{
  int32_t priority = jd_route_priority (route, tenant);
  double share = jd_admission_gate_share (&route->latency->gate, now_us);
  if (priority > route->priority)
    share *= LESS_URGENT_FACTOR;
  else if (priority < route->priority)
    share /= LESS_URGENT_FACTOR;
  for (guint i = 0; i < table->routes->len; i++)
    {
      const jd_route_t *other = table->routes->pdata[i];
      double other_share = jd_admission_gate_share (&other->latency->gate, now_us);
      if (other_share > 0.0 && other->priority < priority && share_service (route, other))
        share = MAX (share, LESS_URGENT_FACTOR * other_share);
    }
  return MIN (share, 1.0);
}

/* Updates the latency estimates with the latency of one successful attempt. */
void
jd_route_latency_record (jd_route_latency_t *latency, int64_t elapsed_us)
{
  double value = (double)elapsed_us;
  if (latency->median_us <= 0.0)
    {
      latency->median_us = value;
      latency->high_us = value * 2.0;
      return;
    }
  latency->median_us *=
      value > latency->median_us ? 1.0 + LATENCY_STEP : 1.0 - LATENCY_STEP;
  latency->high_us *=
      value > latency->high_us ? 1.0 + LATENCY_STEP : 1.0 - LATENCY_STEP / HIGH_RISE;
}
