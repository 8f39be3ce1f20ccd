#include "routing/target_table.h"

/* Maximum drift between the clocks of two hosts, in parts per million. */
#define DRIFT_PPM 500

/* GDestroyNotify for jd_broker_view_t. */
static void
free_broker (gpointer pointer)
{
  jd_broker_view_t *broker = pointer;
  g_ptr_array_free (broker->reported_targets, TRUE);
  g_array_free (broker->outbox, TRUE);
  g_array_free (broker->cancels, TRUE);
  g_free (broker);
}

/* Initializes an empty table; jd_target_table_clear frees its contents. */
void
jd_target_table_init (jd_target_table_t *table)
{
  table->targets = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  table->zones = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  table->report_count = 0;
  table->brokers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_broker);
}

/* Frees the contents of the table and so all of its elements. */
void
jd_target_table_clear (jd_target_table_t *table)
{
  g_hash_table_destroy (table->targets);
  g_hash_table_destroy (table->zones);
  g_hash_table_destroy (table->brokers);
}

/* Returns the zone with this name. Adds it as in service if it is new. */
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

/* Returns the broker with this name. Adds it as not connected if it is new. */
jd_broker_view_t *
jd_target_table_broker (jd_target_table_t *table, const char *name)
{
  jd_broker_view_t *broker = g_hash_table_lookup (table->brokers, name);
  if (broker)
    return broker;
  broker = g_new0 (jd_broker_view_t, 1);
  g_strlcpy (broker->name, name, sizeof (broker->name));
  broker->reported_targets = g_ptr_array_new ();
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

/* Returns the target with this id and moves it to the given zone. Adds it if new. */
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

/* Clears the owner of the targets that the last report of a broker listed and this report
 * does not. */
static void
clear_unlisted_owners (jd_broker_view_t *broker, uint64_t report)
{
  for (uint32_t i = 0; i < broker->reported_targets->len; i++)
    {
      jd_entry_target_t *target = g_ptr_array_index (broker->reported_targets, i);
      if (target->owner == broker && target->last_report != report)
        target->owner = NULL;
    }
  g_ptr_array_set_size (broker->reported_targets, 0);
}

/* Updates the limit and the load of a target as its broker reported them. */
void
jd_entry_target_set_load (jd_entry_target_t *target, uint32_t limit, uint32_t load,
                          int64_t now_us)
{
  target->status.limit = limit;
  target->load = load;
  target->load_received_us = now_us;
  target->own_in_flight_at_load = target->own_in_flight;
}

/* Applies the status of one target of a report. Unknown targets are ignored. */
static void
apply_status (jd_target_table_t *table, jd_broker_view_t *broker,
              const jd_target_status_t *status, int64_t now_us)
{
  jd_entry_target_t *target = jd_target_table_find (table, status->target);
  if (!target)
    return;
  target->owner = broker;
  target->last_report = table->report_count;
  target->status = *status;
  target->status.snapshot_count = MIN (status->snapshot_count, 4);
  target->status_received_us = now_us;
  jd_entry_target_set_load (target, status->limit, status->in_flight + status->queued,
                            now_us);
}

/* Applies a target_state message, which lists all targets that the broker owns. */
void
jd_target_table_report (jd_target_table_t *table, jd_broker_view_t *broker,
                        const jd_target_status_t *list, uint32_t count, int64_t now_us)
{
  table->report_count++;
  for (uint32_t i = 0; i < count; i++)
    apply_status (table, broker, &list[i], now_us);
  clear_unlisted_owners (broker, table->report_count);
  for (uint32_t i = 0; i < count; i++)
    {
      jd_entry_target_t *target = jd_target_table_find (table, list[i].target);
      if (target)
        g_ptr_array_add (broker->reported_targets, target);
    }
  broker->connected = TRUE;
}

/* Marks a broker as disconnected: it owns no targets, and its clock is unknown. */
void
jd_target_table_disconnect_broker (jd_target_table_t *table, jd_broker_view_t *broker)
{
  table->report_count++;
  clear_unlisted_owners (broker, table->report_count);
  broker->connected = FALSE;
  broker->clock_us = 0;
}

/* Stores a clock value of a broker that was received at now_us. */
void
jd_broker_view_set_clock (jd_broker_view_t *broker, int64_t clock_us, int64_t now_us)
{
  broker->clock_us = clock_us;
  broker->clock_received_us = now_us;
}

/* Converts a deadline to the clock of the broker. The broker sent its clock value before
 * the receipt, and the times since and until the deadline are shortened by the maximum
 * drift, so the result is never later than the exact value. */
int64_t
jd_broker_view_deadline (const jd_broker_view_t *broker, int64_t deadline_us,
                         int64_t now_us)
{
  if (!broker->clock_us)
    return -1;
  int64_t elapsed_us = now_us - broker->clock_received_us;
  int64_t remaining_us = deadline_us - now_us;
  elapsed_us -= (elapsed_us * DRIFT_PPM + 999999) / 1000000;
  remaining_us -= (remaining_us * DRIFT_PPM + 999999) / 1000000;
  return broker->clock_us + elapsed_us + remaining_us;
}
