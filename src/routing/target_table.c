#include "routing/target_table.h"

/* Allowance for the drift between two clocks, in parts per million. */
#define DRIFT_PPM 500

/* Frees a broker view. */
static void
free_broker (gpointer pointer)
{
  jd_broker_view_t *broker = pointer;
  g_ptr_array_free (broker->reported, TRUE);
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
  table->reports = 0;
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
  broker->reported = g_ptr_array_new ();
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

/* Forgets the owner of the targets of a broker that are not in the given report. */
static void
forget_others (jd_broker_view_t *broker, uint64_t report)
{
  for (uint32_t i = 0; i < broker->reported->len; i++)
    {
      jd_entry_target_t *target = g_ptr_array_index (broker->reported, i);
      if (target->owner == broker && target->report != report)
        target->owner = NULL;
    }
  g_ptr_array_set_size (broker->reported, 0);
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

/* Takes one target of a report. */
static void
take_status (jd_target_table_t *table, jd_broker_view_t *broker,
             const jd_target_status_t *status, int64_t now_us)
{
  jd_entry_target_t *target = jd_target_table_find (table, status->target);
  if (!target)
    return;
  target->owner = broker;
  target->report = table->reports;
  target->status = *status;
  target->status.snapshot_count = MIN (status->snapshot_count, 4);
  target->status_us = now_us;
  jd_entry_target_set_load (target, status->limit, status->in_flight + status->queued,
                            now_us);
}

/* Takes a target_state message, which names all targets that the broker owns. */
void
jd_target_table_report (jd_target_table_t *table, jd_broker_view_t *broker,
                        const jd_target_status_t *list, uint32_t count, int64_t now_us)
{
  table->reports++;
  for (uint32_t i = 0; i < count; i++)
    take_status (table, broker, &list[i], now_us);
  forget_others (broker, table->reports);
  for (uint32_t i = 0; i < count; i++)
    {
      jd_entry_target_t *target = jd_target_table_find (table, list[i].target);
      if (target)
        g_ptr_array_add (broker->reported, target);
    }
  broker->connected = TRUE;
}

/* Forgets the targets and the clock of a broker. */
void
jd_target_table_drop_broker (jd_target_table_t *table, jd_broker_view_t *broker)
{
  table->reports++;
  forget_others (broker, table->reports);
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
