#include "routing/target_table.h"

/* Allowance for the drift between two clocks, in parts per million. */
#define DRIFT_PPM 500

/* Frees a broker view. */
static void
free_broker (gpointer pointer)
{
  jd_broker_view_t *broker = pointer;
  g_array_free (broker->outbox, TRUE);
  g_array_free (broker->cancels, TRUE);
  g_free (broker);
}

/* Makes an empty table. */
void
jd_target_table_init (jd_target_table_t *table)
{
  table->targets = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  table->zones = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  table->brokers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_broker);
}

/* Frees everything in the table. */
void
jd_target_table_clear (jd_target_table_t *table)
{
  g_hash_table_destroy (table->targets);
  g_hash_table_destroy (table->zones);
  g_hash_table_destroy (table->brokers);
}

/* Returns the zone with this name; adds it as in service when it is new. */
jd_zone_view_t *
jd_target_table_zone (jd_target_table_t *table, const char *name)
{
  jd_zone_view_t *zone = g_hash_table_lookup (table->zones, name);
  if (zone)
    return zone;
  zone = g_new0 (jd_zone_view_t, 1);
  g_strlcpy (zone->name, name, sizeof (zone->name));
  g_hash_table_insert (table->zones, zone->name, zone);
  return zone;
}

/* Returns the broker with this name; adds it when it is new. */
jd_broker_view_t *
jd_target_table_broker (jd_target_table_t *table, const char *name)
{
  jd_broker_view_t *broker = g_hash_table_lookup (table->brokers, name);
  if (broker)
    return broker;
  broker = g_new0 (jd_broker_view_t, 1);
  g_strlcpy (broker->name, name, sizeof (broker->name));
  broker->outbox = g_array_new (FALSE, FALSE, sizeof (jd_work_item_t));
  broker->cancels = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_hash_table_insert (table->brokers, broker->name, broker);
  return broker;
}

/* Returns the target with this id, or NULL. */
jd_entry_target_t *
jd_target_table_find (const jd_target_table_t *table, const char *id)
{
  return g_hash_table_lookup (table->targets, id);
}

/* Returns the target with this id, in the given zone; adds it when it is new. */
jd_entry_target_t *
jd_target_table_add (jd_target_table_t *table, const char *id, const char *zone)
{
  jd_entry_target_t *target = jd_target_table_find (table, id);
  if (!target)
    {
      target = g_new0 (jd_entry_target_t, 1);
      g_strlcpy (target->id, id, sizeof (target->id));
      g_hash_table_insert (table->targets, target->id, target);
    }
  target->zone = jd_target_table_zone (table, zone);
  return target;
}

/* Forgets the owner of all targets of a broker that the last report did not name. */
static void
forget_owned_before (jd_target_table_t *table, const jd_broker_view_t *broker,
                     int64_t reported_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      jd_entry_target_t *target = value;
      if (target->owner == broker && target->status_us < reported_us)
        target->owner = NULL;
    }
}

/* Takes the load of a target as its broker sees it. */
void
jd_entry_target_set_load (jd_entry_target_t *target, uint32_t limit, uint32_t load,
                          int64_t now_us)
{
  target->status.limit = limit;
  target->load = load;
  target->load_us = now_us;
  target->own_at_load = target->own_in_flight;
}

/* Takes a target_state message, which names all targets that the broker owns. */
void
jd_target_table_report (jd_target_table_t *table, jd_broker_view_t *broker,
                        const jd_target_status_t *list, uint32_t count, int64_t now_us)
{
  for (uint32_t i = 0; i < count; i++)
    {
      jd_entry_target_t *target = jd_target_table_find (table, list[i].target);
      if (!target)
        continue;
      target->owner = broker;
      target->status = list[i];
      target->status.snapshot_count = MIN (list[i].snapshot_count, 4);
      target->status_us = now_us;
      jd_entry_target_set_load (target, list[i].limit, list[i].in_flight + list[i].queued,
                                now_us);
    }
  forget_owned_before (table, broker, now_us);
  broker->connected = TRUE;
}

/* Forgets the targets and the clock of a broker. */
void
jd_target_table_drop_broker (jd_target_table_t *table, jd_broker_view_t *broker)
{
  forget_owned_before (table, broker, INT64_MAX);
  broker->connected = FALSE;
  broker->clock_us = 0;
}

/* Takes a clock value of a broker. */
void
jd_broker_view_set_clock (jd_broker_view_t *broker, int64_t clock_us, int64_t now_us)
{
  broker->clock_us = clock_us;
  broker->clock_at_us = now_us;
}

/* Converts a deadline. The clock value was older than its receipt, and the time since
 * then counts less by the drift, so the result is never later than the deadline. */
int64_t
jd_broker_view_deadline (const jd_broker_view_t *broker, int64_t deadline_us,
                         int64_t now_us)
{
  if (!broker->clock_us)
    return -1;
  int64_t elapsed_us = now_us - broker->clock_at_us;
  int64_t remaining_us = deadline_us - now_us;
  elapsed_us -= (elapsed_us * DRIFT_PPM + 999999) / 1000000;
  remaining_us -= (remaining_us * DRIFT_PPM + 999999) / 1000000;
  return broker->clock_us + elapsed_us + remaining_us;
}
