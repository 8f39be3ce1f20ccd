#pragma once

#include <glib.h>

#include "routing/latency_tracker.h"
#include "routing/work_defs.h"

/* An availability zone as routing sees it. */
typedef struct jd_zone_view
{
  jd_name_t name;
  gboolean out;
  int64_t in_since_us; /* Return to service, for the ramp; 0: always in. */
} jd_zone_view_t;

/* A broker as an entry sees it. */
typedef struct jd_broker_view
{
  jd_name_t name;
  gboolean connected;
  int64_t clock_us;    /* Last clock value received; 0: none. */
  int64_t clock_at_us; /* Own time of its receipt. */
  GPtrArray *reported; /* Targets of its last report. */
  GArray *outbox;      /* jd_work_item_t, while a message is being put together. */
  GArray *cancels;     /* uint64_t attempt ids, likewise. */
} jd_broker_view_t;

/* A target as an entry sees it. */
typedef struct jd_entry_target
{
  jd_name_t id;
  jd_zone_view_t *zone;
  jd_broker_view_t *owner; /* NULL: not known. */
  gboolean leaving;
  jd_target_status_t status; /* As last reported by the owner. */
  int64_t status_us;
  uint64_t report;      /* Number of the report that named it last. */
  int64_t load_us;      /* Time of the newest load, by report or outcome. */
  uint32_t load;        /* In flight and queued at the broker at that time. */
  uint32_t own_at_load; /* Own attempts in flight at that time. */
  uint32_t own_in_flight;
  int64_t avoid_until_us; /* After a failure, other replicas go first. */
  jd_latency_tracker_t latency;
} jd_entry_target_t;

/* All targets, zones and brokers that an entry has heard of. Elements live as long as
 * the table, so queries may point to them. */
typedef struct jd_target_table
{
  GHashTable *targets; /* id -> jd_entry_target_t */
  GHashTable *zones;   /* name -> jd_zone_view_t */
  GHashTable *brokers; /* name -> jd_broker_view_t */
  uint64_t reports;    /* Number of reports so far. */
} jd_target_table_t;

void jd_target_table_init (jd_target_table_t *table);
void jd_target_table_clear (jd_target_table_t *table);
jd_entry_target_t *jd_target_table_add (jd_target_table_t *table, const char *id,
                                        const char *zone);
jd_entry_target_t *jd_target_table_find (const jd_target_table_t *table, const char *id);
jd_zone_view_t *jd_target_table_zone (jd_target_table_t *table, const char *name);
jd_broker_view_t *jd_target_table_broker (jd_target_table_t *table, const char *name);

/* Replaces what a broker says about the targets it owns. */
void jd_target_table_report (jd_target_table_t *table, jd_broker_view_t *broker,
                             const jd_target_status_t *list, uint32_t count,
                             int64_t now_us);
/* Takes the load that came with an outcome. */
void jd_entry_target_set_load (jd_entry_target_t *target, uint32_t limit, uint32_t load,
                               int64_t now_us);
void jd_target_table_drop_broker (jd_target_table_t *table, jd_broker_view_t *broker);
void jd_broker_view_set_clock (jd_broker_view_t *broker, int64_t clock_us,
                               int64_t now_us);
/* A deadline of the own clock in the clock of the broker, never later than the true
 * one; -1 while the clock of the broker is unknown. */
int64_t jd_broker_view_deadline (const jd_broker_view_t *broker, int64_t deadline_us,
                                 int64_t now_us);
