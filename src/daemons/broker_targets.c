#include "daemons/broker_targets.h"

#include <string.h>

#include "base/clock.h"
#include "base/log_event.h"

/* Ownership ends by itself at its given time, so renewing it late only costs service. */
#define OWNERSHIP_INTERVAL_US (50 * JD_US_PER_MS)
#define PROBE_INTERVAL_US (500 * JD_US_PER_MS)
#define PROBE_TIMEOUT_US (400 * JD_US_PER_MS)
#define SERVICE_PREFIX "service."

/* One target of the zone. */
typedef struct zone_target
{
  jd_name_t name;
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

/* Creates an empty list. */
jd_broker_targets_t *
jd_broker_targets_new (const jd_broker_targets_options_t *options)
{
  jd_broker_targets_t *targets = g_new0 (jd_broker_targets_t, 1);
  targets->options = *options;
  targets->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
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

/* Takes one published target of the zone. */
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
  jd_broker_core_set_target (options->core, record->id, record->slots,
                             record->connections, now_us);
  jd_target_client_set_target (options->client, record->id, record->address,
                               record->connections);
}

/* Takes the targets of one service that are in the own zone. */
static void
publish_service (jd_broker_targets_t *targets, const jd_service_record_t *service,
                 int64_t now_us)
{
  for (uint32_t i = 0; i < service->shard_count; i++)
    {
      const jd_shard_record_t *shard = &service->shards[i];
      for (uint32_t j = 0; j < shard->target_count; j++)
        {
          if (strcmp (shard->targets[j].zone, targets->options.zone) == 0)
            publish (targets, &shard->targets[j], now_us);
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
      if (!target->is_published)
        jd_target_client_drop_target (targets->options.client, target->name);
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
  char **names = jd_config_store_names (targets->options.store);
  for (uint32_t i = 0; names[i]; i++)
    {
      if (!g_str_has_prefix (names[i], SERVICE_PREFIX))
        continue;
      jd_service_record_t *service = jd_config_store_service (
          targets->options.store, names[i] + strlen (SERVICE_PREFIX));
      if (!service)
        continue;
      publish_service (targets, service, now_us);
      jd_service_record_unref (service);
    }
  g_strfreev (names);
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
  jd_broker_core_on_owned (targets->options.core, target->name, is_owned, until_us,
                           now_us);
  if (is_owned == target->is_owned)
    return;
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
