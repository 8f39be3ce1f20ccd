#include "cli/record_references.h"

#include <string.h>

#define SERVICE_PREFIX "service."

/* The records that list the zones and the organisations, NULL if the store has none, and
 * the callback for unresolved references. */
typedef struct reference_check
{
  jd_fleet_record_t *fleet;
  jd_organisation_record_t *organisations;
  cli_reference_report_t report;
  void *context;
} reference_check_t;

/* Formats and reports one unresolved reference. */
static void
report_unresolved (const reference_check_t *check, const char *record, const char *kind,
                   const char *name)
{
  char *message = g_strdup_printf ("%s: %s \"%s\" is not published", record, kind, name);
  check->report (check->context, message);
  g_free (message);
}

/* Reports the organisation with this id if the organisations record does not list it. */
static void
check_organisation (const reference_check_t *check, const char *record, const char *id)
{
  if (check->organisations && !jd_organisation_record_find (check->organisations, id))
    report_unresolved (check, record, "organisation", id);
}

/* Reports the zone with this name if the fleet record does not list it. */
static void
check_zone (const reference_check_t *check, const char *record, const char *zone)
{
  if (check->fleet && !jd_fleet_record_zone (check->fleet, zone))
    report_unresolved (check, record, "zone", zone);
}

/* Checks the organisations that the keys record names. */
static void
check_keys (const reference_check_t *check, jd_config_store_t *store)
{
  jd_key_record_t *keys = jd_config_store_keys (store);
  if (!keys)
    return;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, keys->by_digest);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    check_organisation (check, "keys", ((const jd_key_t *)value)->organisation);
  jd_key_record_unref (keys);
}

/* Checks the zones that the zones record drains. */
static void
check_zones (const reference_check_t *check, jd_config_store_t *store)
{
  jd_zone_state_record_t *zones = jd_config_store_zones (store);
  if (!zones)
    return;
  GHashTableIter iter;
  gpointer zone;
  g_hash_table_iter_init (&iter, zones->drained_zones);
  while (g_hash_table_iter_next (&iter, &zone, NULL))
    check_zone (check, "zones", zone);
  jd_zone_state_record_unref (zones);
}

/* Checks the organisations and the zones of targets that a service record names. */
static void
check_service (const reference_check_t *check, jd_config_store_t *store,
               const char *record)
{
  jd_service_record_t *service =
      jd_config_store_service (store, record + strlen (SERVICE_PREFIX));
  if (!service)
    return;
  for (char **id = service->organisations; id && *id; id++)
    check_organisation (check, record, *id);
  for (uint32_t s = 0; s < service->shard_count; s++)
    {
      for (uint32_t t = 0; t < service->shards[s].target_count; t++)
        check_zone (check, record, service->shards[s].targets[t].zone);
    }
  jd_service_record_unref (service);
}

/* Checks the references of the keys, zones and service records in the store. */
void
cli_record_references_check (jd_config_store_t *store, cli_reference_report_t report,
                             void *context)
{
  reference_check_t check = {
    .fleet = jd_config_store_fleet (store),
    .organisations = jd_config_store_organisations (store),
    .report = report,
    .context = context,
  };
  check_keys (&check, store);
  check_zones (&check, store);
  char **names = jd_config_store_names (store);
  for (char **name = names; *name; name++)
    {
      if (g_str_has_prefix (*name, SERVICE_PREFIX))
        check_service (&check, store, *name);
    }
  g_strfreev (names);
  if (check.fleet)
    jd_fleet_record_unref (check.fleet);
  if (check.organisations)
    jd_organisation_record_unref (check.organisations);
}
