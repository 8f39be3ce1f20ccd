#pragma once

#include <glib.h>

#include "routing/latency_tracker.h"
#include "routing/work_defs.h"

/* State of an availability zone at an entry. */
typedef struct jd_zone_view
{
  jd_name_t name;
  gboolean drained;
  int64_t restored_us; /* Time of the restore, for the ramp-up; 0: never drained. */
} jd_zone_view_t;

/* State of a broker at an entry. */
typedef struct jd_broker_view
{
  jd_name_t name;
  gboolean connected;
  int64_t clock_us;            /* Last clock value received from the broker; 0: none. */
  int64_t clock_received_us;   /* Receipt of clock_us, by the clock of this entry. */
  GPtrArray *reported_targets; /* jd_entry_target_t of its last report. */
  GArray *outbox;              /* jd_work_item_t of the message being assembled. */
  GArray *cancels;             /* uint64_t attempt ids of the message being assembled. */
} jd_broker_view_t;

/* State of a target at an entry. */
typedef struct jd_entry_target
{
  jd_name_t id;
  jd_zone_view_t *zone;
  jd_broker_view_t *owner; /* NULL: unknown. */
  gboolean leaving;
  jd_target_status_t status; /* As last reported by the owner. */
  int64_t status_received_us;
  uint64_t last_report;     /* Number of the last report that listed the target. */
  int64_t load_received_us; /* Receipt of load, by a report or an outcome. */
  uint32_t load;            /* In flight and queued at the broker at load_received_us. */
  uint32_t own_in_flight_at_load; /* own_in_flight at load_received_us. */
  uint32_t own_in_flight;         /* Attempts of this entry. */
  int64_t avoid_until_us;         /* After a failure, other replicas are preferred. */
  jd_latency_tracker_t latency;
} jd_entry_target_t;

/* All targets, zones and brokers in the state of an entry. Elements are never removed, so
 * queries may point to them as long as the table exists. */
typedef struct jd_target_table
{
  GHashTable *targets;   /* id -> jd_entry_target_t */
  GHashTable *zones;     /* name -> jd_zone_view_t */
  GHashTable *brokers;   /* name -> jd_broker_view_t */
  uint64_t report_count; /* Number of reports so far. */
} jd_target_table_t;

void jd_target_table_init (jd_target_table_t *table);
void jd_target_table_clear (jd_target_table_t *table);
jd_entry_target_t *jd_target_table_add (jd_target_table_t *table, const char *id,
                                        const char *zone);
jd_entry_target_t *jd_target_table_find (const jd_target_table_t *table, const char *id);
jd_zone_view_t *jd_target_table_zone (jd_target_table_t *table, const char *name);
jd_broker_view_t *jd_target_table_broker (jd_target_table_t *table, const char *name);

/* Replaces the report of a broker on the targets that it owns. */
void jd_target_table_report (jd_target_table_t *table, jd_broker_view_t *broker,
                             const jd_target_status_t *list, uint32_t count,
                             int64_t now_us);
/* Updates the limit and the load of a target, which its broker sent with an outcome. */
void jd_entry_target_set_load (jd_entry_target_t *target, uint32_t limit, uint32_t load,
                               int64_t now_us);
void jd_target_table_disconnect_broker (jd_target_table_t *table,
                                        jd_broker_view_t *broker);
void jd_broker_view_set_clock (jd_broker_view_t *broker, int64_t clock_us,
                               int64_t now_us);
/* Converts a deadline from the clock of this entry to that of the broker; never later
 * than the exact value. Returns -1 while the clock of the broker is unknown. */
int64_t jd_broker_view_deadline (const jd_broker_view_t *broker, int64_t deadline_us,
                                 int64_t now_us);
