#include "daemons/broker_targets.h"

#include <string.h>

#include "base/clock.h"
#include "base/log_event.h"

/* Ownership expires by itself, so a late renewal is safe: the target is only without a
 * broker until then. */
#define RENEWAL_INTERVAL_US (50 * JD_US_PER_MS)
#define PROBE_INTERVAL_US (500 * JD_US_PER_MS)
#define PROBE_TIMEOUT_US (400 * JD_US_PER_MS)
#define SERVICE_PREFIX "service."

/* One target that is assigned to the broker's own group. */
typedef struct zone_target
{
  jd_name_t name;
  char *address;
  uint32_t connections;
  gboolean is_published;
  gboolean is_owned;
  int64_t next_probe_us;
} zone_target_t;

struct jd_broker_targets
{
  jd_broker_targets_options_t options;
  GHashTable *by_name; /* Target name -> zone_target_t. */
  uint32_t owned_targets;
  int64_t next_tick_us;
  jd_counter_t *owned_targets_counter;
  jd_counter_t *failed_probes_counter;
};

/* The broker groups among which the targets of the zone are distributed. */
typedef struct zone_groups
{
  const char *own_name; /* NULL if this member is in no group of the zone. */
  GPtrArray *names;     /* Owned by the fleet record. */
} zone_groups_t;

/* Frees a target; the destroy callback of by_name. */
static void
free_target (gpointer data)
{
  zone_target_t *target = data;
  g_free (target->address);
  g_free (target);
}

/* Creates an empty table. */
jd_broker_targets_t *
jd_broker_targets_new (const jd_broker_targets_options_t *options)
{
  jd_broker_targets_t *targets = g_new0 (jd_broker_targets_t, 1);
  targets->options = *options;
  targets->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_target);
  targets->owned_targets_counter =
      jd_counters_get (options->counters, "broker.targets_owned");
  targets->failed_probes_counter =
      jd_counters_get (options->counters, "broker.probes_failed");
  return targets;
}

/* Frees the table; NULL is allowed. */
void
jd_broker_targets_free (jd_broker_targets_t *targets)
{
  if (!targets)
    return;
  g_hash_table_destroy (targets->by_name);
  g_free (targets);
}

/* Returns TRUE if a target is assigned to the broker's own group. All other targets are
 * ignored: at the design size a zone has 1,260 targets, and a group about 50 of them. */
static gboolean
is_in_own_group (const zone_groups_t *groups, const char *target)
{
  return groups->own_name &&
         g_strcmp0 (jd_ownership_choose ((const char *const *)groups->names->pdata,
                                         groups->names->len, target),
                    groups->own_name) == 0;
}

/* Returns the broker groups of the zone; free the names with g_ptr_array_unref. They are
 * valid as long as fleet. */
static zone_groups_t
find_groups (const jd_broker_targets_t *targets, const jd_fleet_record_t *fleet)
{
  const char *zone = targets->options.zone;
  zone_groups_t groups = { .names = g_ptr_array_new () };
  if (!fleet)
    return groups;
  for (uint32_t i = 0; i < fleet->group_count; i++)
    {
      if (fleet->groups[i].role == JD_ROLE_BROKER &&
          strcmp (fleet->groups[i].zone, zone) == 0)
        g_ptr_array_add (groups.names, fleet->groups[i].name);
    }
  const jd_group_record_t *own =
      jd_fleet_record_group_of_member (fleet, targets->options.member);
  if (own && own->role == JD_ROLE_BROKER && strcmp (own->zone, zone) == 0)
    groups.own_name = own->name;
  return groups;
}

/* Adds or updates one published target of the group. The target client has connections
 * to owned targets only. */
static void
add_target (jd_broker_targets_t *targets, const jd_target_record_t *record,
            int64_t now_us)
{
  const jd_broker_targets_options_t *options = &targets->options;
  zone_target_t *target = g_hash_table_lookup (targets->by_name, record->id);
  if (!target)
    {
      target = g_new0 (zone_target_t, 1);
      g_strlcpy (target->name, record->id, sizeof (target->name));
      g_hash_table_insert (targets->by_name, target->name, target);
    }
  target->is_published = TRUE;
  target->connections = record->connections;
  g_free (target->address);
  target->address = g_strdup (record->address);
  jd_broker_core_set_target (options->core, record->id, record->slots,
                             record->connections, now_us);
  if (target->is_owned)
    jd_target_client_set_target (options->client, target->name, target->address,
                                 target->connections);
}

/* Adds or updates the targets of one service that belong to the own zone and group. */
static void
add_service (jd_broker_targets_t *targets, const zone_groups_t *groups,
             const jd_service_record_t *service, int64_t now_us)
{
  for (uint32_t i = 0; i < service->shard_count; i++)
    {
      const jd_shard_record_t *shard = &service->shards[i];
      for (uint32_t j = 0; j < shard->target_count; j++)
        {
          const jd_target_record_t *record = &shard->targets[j];
          if (strcmp (record->zone, targets->options.zone) == 0 &&
              is_in_own_group (groups, record->id))
            add_target (targets, record, now_us);
        }
    }
}

/* Marks as leaving the targets that the hosts record lists as leaving or that are no
 * longer published, and clears the mark of all others. */
static void
update_leaving (jd_broker_targets_t *targets, int64_t now_us)
{
  jd_host_state_record_t *hosts = jd_config_store_hosts (targets->options.store);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, targets->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const zone_target_t *target = value;
      gboolean is_leaving =
          !target->is_published ||
          (hosts && g_hash_table_contains (hosts->leaving_targets, target->name));
      jd_broker_core_set_leaving (targets->options.core, target->name, is_leaving,
                                  now_us);
    }
  if (hosts)
    jd_host_state_record_unref (hosts);
}

/* Applies the current service and host records. */
void
jd_broker_targets_reload (jd_broker_targets_t *targets, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, targets->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((zone_target_t *)value)->is_published = FALSE;
  jd_fleet_record_t *fleet = jd_config_store_fleet (targets->options.store);
  zone_groups_t groups = find_groups (targets, fleet);
  char **names = jd_config_store_names (targets->options.store);
  for (uint32_t i = 0; names[i]; i++)
    {
      if (!g_str_has_prefix (names[i], SERVICE_PREFIX))
        continue;
      jd_service_record_t *service = jd_config_store_service (
          targets->options.store, names[i] + strlen (SERVICE_PREFIX));
      if (!service)
        continue;
      add_service (targets, &groups, service, now_us);
      jd_service_record_unref (service);
    }
  g_strfreev (names);
  g_ptr_array_unref (groups.names);
  if (fleet)
    jd_fleet_record_unref (fleet);
  update_leaving (targets, now_us);
  targets->next_tick_us = now_us;
}

/* Renews, gains or gives up the ownership of one target, as the lease allows. */
static void
renew_ownership (jd_broker_targets_t *targets, zone_target_t *target, int64_t now_us)
{
  int64_t until_us = JD_LEASE_NEVER;
  if (target->is_published)
    until_us = jd_node_owned_until_us (targets->options.node, target->name);
  gboolean is_owned = now_us < until_us;
  /* The core may start work at once, so the client must have the target's address. */
  if (is_owned && !target->is_owned)
    jd_target_client_set_target (targets->options.client, target->name, target->address,
                                 target->connections);
  jd_broker_core_on_owned (targets->options.core, target->name, is_owned, until_us,
                           now_us);
  if (is_owned == target->is_owned)
    return;
  if (!is_owned)
    jd_target_client_drop_target (targets->options.client, target->name);
  target->is_owned = is_owned;
  target->next_probe_us = now_us;
  targets->owned_targets += is_owned ? 1 : -1;
  jd_counter_set (targets->owned_targets_counter, targets->owned_targets);
  jd_log_event (G_LOG_LEVEL_INFO, is_owned ? "target_owned" : "target_released",
                "target=%s", target->name);
}

/* Renews the ownership of every target and probes the owned ones that are due for it. */
void
jd_broker_targets_tick (jd_broker_targets_t *targets, int64_t now_us)
{
  if (now_us < targets->next_tick_us)
    return;
  targets->next_tick_us = now_us + RENEWAL_INTERVAL_US;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, targets->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      zone_target_t *target = value;
      renew_ownership (targets, target, now_us);
      if (!target->is_owned || now_us < target->next_probe_us)
        continue;
      target->next_probe_us = now_us + PROBE_INTERVAL_US;
      jd_target_client_probe (targets->options.client, target->name, PROBE_TIMEOUT_US);
    }
}

/* Returns the time when the next tick is due. */
int64_t
jd_broker_targets_next_tick_us (const jd_broker_targets_t *targets)
{
  return targets->next_tick_us;
}

/* Passes the health that a target reported to the core. A failed probe is only counted:
 * health endpoints can be wrong, and the attempts show whether the target serves. */
void
jd_broker_targets_on_health (jd_broker_targets_t *targets, const char *name,
                             const jd_target_health_t *health, int64_t now_us)
{
  if (health)
    jd_broker_core_on_health (targets->options.core, name, health, now_us);
  else
    jd_counter_add (targets->failed_probes_counter, 1);
}

/* Returns how many targets this broker owns. */
uint32_t
jd_broker_targets_owned_count (const jd_broker_targets_t *targets)
{
  return targets->owned_targets;
}
