#include "routing/replica_registry.h"

#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log_event.h"
#include "routing/connection_share.h"

/* Messages between hosts identify targets and services by hashes with this seed. */
#define ID_HASH_SEED UINT64_C (0x74)
/* The notice of a removed target is kept for this long, in case its record returns. A
 * leaving target may serve for many seconds after its record was removed, and a store
 * that was down lists live targets again later. */
#define NOTICE_RETENTION_US (600 * JD_US_PER_S)
/* A cold start that seems to end up to this much later is the one that is known. Hosts
 * read the entries of a target with different delays. */
#define COLD_TOLERANCE_US (500 * JD_US_PER_MS)
/* Until the settings are known. */
#define DEFAULT_DRAIN_LIMIT_US (3 * JD_US_PER_S)

struct jd_replica_registry
{
  char *local_zone;
  jd_replica_events_t events;
  GHashTable *by_id;          /* id -> jd_replica_t */
  GHashTable *by_service;     /* service -> jd_replica_pool_t */
  GHashTable *drained_zones;  /* set of zones */
  GHashTable *former_notices; /* id -> jd_target_notice_t of a removed target */
  int64_t drain_limit_us;
  bool learns_rejections;
  bool uses_mean_load;
  uint32_t hosts;
  uint32_t rank;
  guint next[JD_REGISTRY_REPORT_COUNT]; /* See jd_table_turn_visit (). */
};

/* Hash table callback: drops the table's reference to a pool. */
static void
free_pool (gpointer data)
{
  jd_replica_pool_unref (data);
}

/* Hash table callback: drops the table's reference to a replica. */
static void
free_replica (gpointer data)
{
  jd_replica_unref (data);
}

/* Hash table callback: drops the table's reference to a notice. */
static void
free_notice (gpointer data)
{
  jd_target_notice_unref (data);
}

/* Creates an empty registry for a host in local_zone. Copies local_zone and events. */
jd_replica_registry_t *
jd_replica_registry_new (const char *local_zone, const jd_replica_events_t *events)
{
  jd_replica_registry_t *registry = g_new0 (jd_replica_registry_t, 1);
  registry->local_zone = g_strdup (local_zone);
  registry->events = *events;
  registry->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_replica);
  registry->by_service = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_pool);
  registry->drained_zones = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  registry->former_notices =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_notice);
  registry->drain_limit_us = DEFAULT_DRAIN_LIMIT_US;
  registry->hosts = 1;
  return registry;
}

/* Frees a registry. Replicas and pools that are still referenced remain valid. */
void
jd_replica_registry_free (jd_replica_registry_t *registry)
{
  g_hash_table_destroy (registry->by_id);
  g_hash_table_destroy (registry->by_service);
  g_hash_table_destroy (registry->drained_zones);
  g_hash_table_destroy (registry->former_notices);
  g_free (registry->local_zone);
  g_free (registry);
}

/* Returns a new reference to the pool of a service, which is created if necessary. */
jd_replica_pool_t *
jd_replica_registry_pool (jd_replica_registry_t *registry, const char *service)
{
  jd_replica_pool_t *pool = g_hash_table_lookup (registry->by_service, service);
  if (!pool)
    {
      pool = g_new0 (jd_replica_pool_t, 1);
      pool->references = 1;
      pool->service = g_strdup (service);
      pool->service_hash = (uint32_t)jd_hash_text (service, ID_HASH_SEED);
      pool->replicas = g_ptr_array_new ();
      pool->learns_rejections = registry->learns_rejections;
      pool->uses_mean_load = registry->uses_mean_load;
      g_hash_table_insert (registry->by_service, pool->service, pool);
    }
  pool->references++;
  return pool;
}

/* Returns how many replicas of a pool the published records allow to be used. */
static uint32_t
count_published_for_use (const jd_replica_pool_t *pool)
{
  uint32_t count = 0;
  for (guint i = 0; i < pool->replicas->len; i++)
    {
      const jd_replica_t *replica = pool->replicas->pdata[i];
      count += !replica->draining && !replica->zone_drained;
    }
  return count;
}

/* Decides whether this host may keep idle connections to the targets of a pool. */
static void
update_keeps_idle (const jd_replica_registry_t *registry, jd_replica_pool_t *pool)
{
  pool->keeps_idle = jd_connection_quota_keeps_idle (
      pool->max_connections, registry->hosts, MAX (count_published_for_use (pool), 1),
      registry->rank + pool->service_hash % registry->hosts);
}

/* Decides which replicas of a pool this host connects to. */
static void
assign_connection_quotas (jd_replica_registry_t *registry, jd_replica_pool_t *pool)
{
  uint32_t count = pool->replicas->len;
  if (count == 0)
    return;
  uint32_t quota_replicas =
      jd_connection_quota_replicas (pool->max_connections, registry->hosts, count);
  bool *is_local = g_new0 (bool, count);
  bool *included = g_new0 (bool, count);
  for (uint32_t i = 0; i < count; i++)
    is_local[i] = ((jd_replica_t *)pool->replicas->pdata[i])->local_zone;
  jd_connection_quota_select (is_local, count, quota_replicas, registry->rank, included);
  /* A host that may connect to each replica keeps all those connections open. Otherwise
   * it keeps only the one to the replica that gets most of its requests. */
  bool keeps_all = quota_replicas >= count;
  jd_replica_t *preferred_replica = NULL;
  for (uint32_t i = 0; i < count; i++)
    {
      jd_replica_t *replica = pool->replicas->pdata[(i + registry->rank) % count];
      replica->in_connection_quota = included[(i + registry->rank) % count];
      replica->keeps_connection = replica->in_connection_quota && keeps_all;
      if (replica->in_connection_quota &&
          (!preferred_replica || (replica->local_zone && !preferred_replica->local_zone)))
        preferred_replica = replica;
    }
  if (preferred_replica)
    preferred_replica->keeps_connection = true;
  update_keeps_idle (registry, pool);
  g_free (is_local);
  g_free (included);
}

/* Sort callback: orders replicas by id, so that all hosts use the same order. */
static gint
compare_replicas (gconstpointer a, gconstpointer b)
{
  const jd_replica_t *const *left = a;
  const jd_replica_t *const *right = b;
  return strcmp ((*left)->id, (*right)->id);
}

/* Removes a replica that is in the registry and drops the registry's reference to it. Its
 * notice is kept. */
static void
remove_replica (jd_replica_registry_t *registry, jd_replica_t *replica, int64_t now_us)
{
  replica->removed = true;
  replica->notice->removed_us = now_us;
  g_hash_table_replace (registry->former_notices, g_strdup (replica->id),
                        jd_target_notice_ref (replica->notice));
  jd_replica_pool_t *pool = replica->pool;
  g_ptr_array_remove (pool->replicas, replica);
  assign_connection_quotas (registry, pool);
  registry->events.on_removed (registry->events.context, replica);
  g_hash_table_remove (registry->by_id, replica->id);
}

/* Returns TRUE if a published entry is of another process than the registered replica. */
static bool
is_other_process (const jd_replica_t *replica, const jd_replica_spec_t *spec)
{
  return replica->born_ms != spec->born_ms ||
         replica->address.sin_addr.s_addr != spec->address.sin_addr.s_addr ||
         replica->address.sin_port != spec->address.sin_port ||
         strcmp (replica->pool->service, spec->service) != 0;
}

/* Returns a new reference to the notice of the process that a record names: the one from
 * before the removal of the record if it still applies, or an empty one. */
static jd_target_notice_t *
find_notice (jd_replica_registry_t *registry, const jd_replica_spec_t *spec)
{
  const jd_target_process_t process = { .born_ms = spec->born_ms,
                                        .address = spec->address };
  jd_target_notice_t *former = g_hash_table_lookup (registry->former_notices, spec->id);
  if (!former)
    return jd_target_notice_new (&process);
  jd_target_notice_t *notice = NULL;
  if (jd_target_notice_applies (former, &process))
    {
      notice = jd_target_notice_ref (former);
      notice->removed_us = 0;
    }
  else
    {
      notice = jd_target_notice_new (&process);
      if (former->leaving_since_us != 0)
        jd_log_event (G_LOG_LEVEL_INFO, "target_leaving_ended",
                      "target=%s cause=replaced born_ms=%" G_GINT64_FORMAT, spec->id,
                      spec->born_ms);
    }
  g_hash_table_remove (registry->former_notices, spec->id);
  return notice;
}

/* Adds a replica that is not registered yet. The registry owns it. */
static jd_replica_t *
add_replica (jd_replica_registry_t *registry, const jd_replica_spec_t *spec,
             int64_t now_us)
{
  jd_replica_t *replica = g_new0 (jd_replica_t, 1);
  replica->references = 1;
  replica->id = g_strdup (spec->id);
  replica->zone = g_strdup (spec->zone);
  replica->address = spec->address;
  replica->born_ms = spec->born_ms;
  replica->notice = find_notice (registry, spec);
  replica->drain_limit_us = registry->drain_limit_us;
  replica->latency_ratio = 1.0;
  replica->id_hash = (uint32_t)jd_hash_text (spec->id, ID_HASH_SEED);
  replica->local_zone = strcmp (spec->zone, registry->local_zone) == 0;
  replica->zone_drained = g_hash_table_contains (registry->drained_zones, spec->zone);
  jd_replica_pool_t *pool = jd_replica_registry_pool (registry, spec->service);
  replica->pool = pool;
  if (pool->use.seen_us == 0)
    pool->use.seen_us = now_us;
  g_ptr_array_add (pool->replicas, replica);
  g_ptr_array_sort (pool->replicas, compare_replicas);
  g_hash_table_insert (registry->by_id, replica->id, replica);
  assign_connection_quotas (registry, pool);
  return replica;
}

/* Adds or updates the replica of a published entry. An entry of another process under the
 * same id replaces the replica, and the observations of the former one are discarded. */
void
jd_replica_registry_put (jd_replica_registry_t *registry, const jd_replica_spec_t *spec,
                         int64_t now_us)
{
  jd_replica_t *replica = g_hash_table_lookup (registry->by_id, spec->id);
  if (replica && is_other_process (replica, spec))
    {
      remove_replica (registry, replica, now_us);
      replica = NULL;
    }
  bool is_new = !replica;
  if (is_new)
    replica = add_replica (registry, spec, now_us);
  bool was_draining = replica->draining;
  replica->draining = spec->draining;
  update_keeps_idle (registry, replica->pool);
  replica->slots = spec->slots > 0 ? spec->slots : replica->slots;
  bool was_cold = replica->cold_until_us > now_us;
  if (spec->cold_left_us > 0)
    replica->cold_until_us = now_us + spec->cold_left_us;
  bool is_cold = replica->cold_until_us > now_us;
  if (is_new || was_draining != spec->draining || was_cold != is_cold)
    jd_log_event (G_LOG_LEVEL_INFO, "target_seen",
                  "target=%s service=%s zone=%s draining=%d cold_ms=%" G_GINT64_FORMAT,
                  replica->id, replica->pool->service, replica->zone, replica->draining,
                  spec->cold_left_us / JD_US_PER_MS);
  if (spec->draining && !was_draining && !is_new)
    registry->events.on_removed (registry->events.context, replica);
  else if (!spec->draining && (is_new || was_draining))
    registry->events.on_added (registry->events.context, replica);
}

/* Returns TRUE if a published entry would change nothing: this host has its replica, and
 * knows of its cold start. */
bool
jd_replica_registry_matches (const jd_replica_registry_t *registry,
                             const jd_replica_spec_t *spec, int64_t now_us)
{
  const jd_replica_t *replica = g_hash_table_lookup (registry->by_id, spec->id);
  return replica && !is_other_process (replica, spec) &&
         replica->draining == spec->draining &&
         (spec->slots == 0 || replica->slots == spec->slots) &&
         (spec->cold_left_us == 0 ||
          now_us + spec->cold_left_us <= replica->cold_until_us + COLD_TOLERANCE_US);
}

/* Removes the replica of an id that is no longer published, if it is registered. */
void
jd_replica_registry_remove (jd_replica_registry_t *registry, const char *id,
                            int64_t now_us)
{
  jd_replica_t *replica = g_hash_table_lookup (registry->by_id, id);
  if (!replica)
    return;
  jd_log_event (G_LOG_LEVEL_INFO, "target_gone", "target=%s service=%s", replica->id,
                replica->pool->service);
  remove_replica (registry, replica, now_us);
}

/* Sets the time for which a target may still be used, as a last resort, after it said
 * that it is leaving. */
void
jd_replica_registry_set_drain_limit (jd_replica_registry_t *registry,
                                     int64_t drain_limit_us)
{
  registry->drain_limit_us = drain_limit_us;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, registry->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((jd_replica_t *)value)->drain_limit_us = drain_limit_us;
}

/* Sets whether this host learns which targets reject requests although they have free
 * slots, and takes that into account. */
void
jd_replica_registry_set_learns_rejections (jd_replica_registry_t *registry,
                                           bool learns_rejections)
{
  registry->learns_rejections = learns_rejections;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, registry->by_service);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((jd_replica_pool_t *)value)->learns_rejections = learns_rejections;
  if (learns_rejections)
    return;
  g_hash_table_iter_init (&iter, registry->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((jd_replica_t *)value)->rejections = (jd_rejection_rate_t){ 0 };
}

/* Sets whether the mean load of targets that report their speed enters the choice of
 * targets. */
void
jd_replica_registry_set_uses_mean_load (jd_replica_registry_t *registry,
                                        bool uses_mean_load)
{
  registry->uses_mean_load = uses_mean_load;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, registry->by_service);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((jd_replica_pool_t *)value)->uses_mean_load = uses_mean_load;
  if (uses_mean_load)
    return;
  g_hash_table_iter_init (&iter, registry->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((jd_replica_t *)value)->mean_load = (jd_target_load_t){ 0 };
}

/* Forgets the notices of targets that were removed long ago. */
void
jd_replica_registry_expire_notices (jd_replica_registry_t *registry, int64_t now_us)
{
  GHashTableIter iter;
  gpointer key, value;
  g_hash_table_iter_init (&iter, registry->former_notices);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const jd_target_notice_t *notice = value;
      if (now_us - notice->removed_us < NOTICE_RETENTION_US)
        continue;
      if (notice->leaving_since_us != 0)
        jd_log_event (G_LOG_LEVEL_INFO, "target_leaving_ended", "target=%s cause=gone",
                      (const char *)key);
      g_hash_table_iter_remove (&iter);
    }
}

/* Stops new requests to the targets of a zone, or allows them again. */
void
jd_replica_registry_set_zone_drained (jd_replica_registry_t *registry, const char *zone,
                                      bool drained)
{
  if (drained == g_hash_table_contains (registry->drained_zones, zone))
    return;
  jd_log_event (G_LOG_LEVEL_INFO, "zone_evacuated", "zone=%s evacuated=%d", zone,
                drained);
  if (drained)
    g_hash_table_add (registry->drained_zones, g_strdup (zone));
  else
    g_hash_table_remove (registry->drained_zones, zone);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, registry->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      jd_replica_t *replica = value;
      if (strcmp (replica->zone, zone) == 0)
        replica->zone_drained = drained;
    }
  g_hash_table_iter_init (&iter, registry->by_service);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    update_keeps_idle (registry, value);
}

/* Sets how many hosts share the connections of each target, and the index of this host
 * among them. */
void
jd_replica_registry_set_hosts (jd_replica_registry_t *registry, uint32_t hosts,
                               uint32_t rank)
{
  registry->hosts = MAX (hosts, 1);
  registry->rank = rank;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, registry->by_service);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    assign_connection_quotas (registry, value);
}

/* Calls visit for each replica. */
void
jd_replica_registry_each (jd_replica_registry_t *registry,
                          void (*visit) (void *context, jd_replica_t *replica),
                          void *context)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, registry->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    visit (context, value);
}

/* Calls visit for the pool of each service. */
void
jd_replica_registry_each_pool (jd_replica_registry_t *registry,
                               void (*visit) (void *context, jd_replica_pool_t *pool),
                               void *context)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, registry->by_service);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    visit (context, value);
}

/* Calls visit for the services or targets, as the report demands, until it returns FALSE
 * because the message is full. The next call for this report starts there. */
void
jd_replica_registry_collect (jd_replica_registry_t *registry, jd_registry_report_t report,
                             jd_table_turn_visit_t visit, void *context)
{
  GHashTable *table =
      report == JD_REGISTRY_REPORT_EXTRAS ? registry->by_service : registry->by_id;
  registry->next[report] =
      jd_table_turn_visit (table, registry->next[report], visit, context);
}

/* Returns the published target with an id, or NULL. The registry owns it. */
jd_replica_t *
jd_replica_registry_find (const jd_replica_registry_t *registry, const char *id)
{
  return g_hash_table_lookup (registry->by_id, id);
}

/* Returns the number of published targets. */
uint32_t
jd_replica_registry_count (const jd_replica_registry_t *registry)
{
  return g_hash_table_size (registry->by_id);
}
