#include "daemons/broker_targets.h"

#include <string.h>

#include "base/clock.h"
#include "base/log_event.h"

/* Ownership ends by itself at its given time, so renewing it late only costs service. */
#define OWNERSHIP_INTERVAL_US (50 * JD_US_PER_MS)
#define PROBE_INTERVAL_US (500 * JD_US_PER_MS)
#define PROBE_TIMEOUT_US (400 * JD_US_PER_MS)
#define SERVICE_PREFIX "service."

/* One target that the ownership gives to the own cell. */
typedef struct zone_target
{
  jd_name_t name;
  char *address;
  uint32_t connections;
  gboolean is_published;
  gboolean is_owned;
  int64_t probe_at_us;
} zone_target_t;

struct jd_broker_targets
{
  jd_broker_targets_options_t options;
  GHashTable *by_name; /* name -> zone_target_t */
  uint32_t owned;
  int64_t next_tick_us;
  jd_counter_t *owned_count;
  jd_counter_t *failed_probes;
};

/* The cells that share the targets of the zone. */
typedef struct zone_cells
{
  const char *own;  /* NULL when the seat is in no cell of the zone. */
  GPtrArray *names; /* Texts of the fleet record. */
} zone_cells_t;

/* Frees a target; also the destroy callback of the table. */
static void
free_target (gpointer data)
{
  zone_target_t *target = data;
  g_free (target->address);
  g_free (target);
}

/* Creates an empty list. */
jd_broker_targets_t *
jd_broker_targets_new (const jd_broker_targets_options_t *options)
{
  jd_broker_targets_t *targets = g_new0 (jd_broker_targets_t, 1);
  targets->options = *options;
  targets->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_target);
  targets->owned_count = jd_counters_get (options->counters, "broker.targets_owned");
  targets->failed_probes = jd_counters_get (options->counters, "broker.probes_failed");
  return targets;
}

/* Frees the list; NULL is allowed. */
void
jd_broker_targets_free (jd_broker_targets_t *targets)
{
  if (!targets)
    return;
  g_hash_table_destroy (targets->by_name);
  g_free (targets);
}

/* Returns whether the ownership gives a target to the own cell. All others are left out:
 * at the design size a zone has 1,260 targets and a cell about 50 of them. */
static gboolean
is_in_own_cell (const zone_cells_t *cells, const char *target)
{
  return cells->own &&
         g_strcmp0 (jd_ownership_choose ((const char *const *)cells->names->pdata,
                                         cells->names->len, target),
                    cells->own) == 0;
}

/* Collects the broker cells of the zone; free the names with g_ptr_array_unref. */
static zone_cells_t
find_cells (const jd_broker_targets_t *targets, const jd_fleet_record_t *fleet)
{
  const char *zone = targets->options.zone;
  zone_cells_t cells = { .names = g_ptr_array_new () };
  if (!fleet)
    return cells;
  for (uint32_t i = 0; i < fleet->cell_count; i++)
    {
      if (fleet->cells[i].role == JD_ROLE_BROKER &&
          strcmp (fleet->cells[i].zone, zone) == 0)
        g_ptr_array_add (cells.names, fleet->cells[i].name);
    }
  const jd_cell_record_t *own =
      jd_fleet_record_cell_of_seat (fleet, targets->options.seat);
  if (own && own->role == JD_ROLE_BROKER && strcmp (own->zone, zone) == 0)
    cells.own = own->name;
  return cells;
}

/* Takes one published target of the cell. Only owned ones have connections. */
static void
publish (jd_broker_targets_t *targets, const jd_target_record_t *record, int64_t now_us)
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

/* Takes the targets of one service that are in the own zone and cell. */
static void
publish_service (jd_broker_targets_t *targets, const zone_cells_t *cells,
                 const jd_service_record_t *service, int64_t now_us)
{
  for (uint32_t i = 0; i < service->shard_count; i++)
    {
      const jd_shard_record_t *shard = &service->shards[i];
      for (uint32_t j = 0; j < shard->target_count; j++)
        {
          const jd_target_record_t *record = &shard->targets[j];
          if (strcmp (record->zone, targets->options.zone) == 0 &&
              is_in_own_cell (cells, record->id))
            publish (targets, record, now_us);
        }
    }
}

/* Marks targets as leaving that are listed so or no longer published. */
static void
mark_leaving (jd_broker_targets_t *targets, int64_t now_us)
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

/* Takes the records in force. */
void
jd_broker_targets_reload (jd_broker_targets_t *targets, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, targets->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((zone_target_t *)value)->is_published = FALSE;
  jd_fleet_record_t *fleet = jd_config_store_fleet (targets->options.store);
  zone_cells_t cells = find_cells (targets, fleet);
  char **names = jd_config_store_names (targets->options.store);
  for (uint32_t i = 0; names[i]; i++)
    {
      if (!g_str_has_prefix (names[i], SERVICE_PREFIX))
        continue;
      jd_service_record_t *service = jd_config_store_service (
          targets->options.store, names[i] + strlen (SERVICE_PREFIX));
      if (!service)
        continue;
      publish_service (targets, &cells, service, now_us);
      jd_service_record_unref (service);
    }
  g_strfreev (names);
  g_ptr_array_unref (cells.names);
  if (fleet)
    jd_fleet_record_unref (fleet);
  mark_leaving (targets, now_us);
  targets->next_tick_us = now_us;
}

/* Renews the ownership of one target. */
static void
renew (jd_broker_targets_t *targets, zone_target_t *target, int64_t now_us)
{
  int64_t until_us = JD_LEASE_NEVER;
  if (target->is_published)
    until_us = jd_node_owned_until_us (targets->options.node, target->name);
  gboolean is_owned = now_us < until_us;
  /* The core may start work at once, so the client must know the target before. */
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
  target->probe_at_us = now_us;
  targets->owned += is_owned ? 1 : -1;
  jd_counter_set (targets->owned_count, targets->owned);
  jd_log_event (G_LOG_LEVEL_INFO, is_owned ? "target_owned" : "target_released",
                "target=%s", target->name);
}

/* Renews and probes. */
void
jd_broker_targets_tick (jd_broker_targets_t *targets, int64_t now_us)
{
  if (now_us < targets->next_tick_us)
    return;
  targets->next_tick_us = now_us + OWNERSHIP_INTERVAL_US;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, targets->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      zone_target_t *target = value;
      renew (targets, target, now_us);
      if (!target->is_owned || now_us < target->probe_at_us)
        continue;
      target->probe_at_us = now_us + PROBE_INTERVAL_US;
      jd_target_client_probe (targets->options.client, target->name, PROBE_TIMEOUT_US);
    }
}

/* Returns when a tick is due. */
int64_t
jd_broker_targets_next_tick_us (const jd_broker_targets_t *targets)
{
  return targets->next_tick_us;
}

/* Gives a health reading to the core. A failed probe changes nothing there: health
 * endpoints mislead, and the attempts show whether the target serves. */
void
jd_broker_targets_on_health (jd_broker_targets_t *targets, const char *name,
                             const jd_target_health_t *health, int64_t now_us)
{
  if (health)
    jd_broker_core_on_health (targets->options.core, name, health, now_us);
  else
    jd_counter_add (targets->failed_probes, 1);
}

/* Returns how many targets this broker owns. */
uint32_t
jd_broker_targets_owned (const jd_broker_targets_t *targets)
{
  return targets->owned;
}
