#include "config/fleet_record.h"

#include "config/record_reader.h"

#define MAX_ZONES 64
#define MAX_CELLS 4096
/* The lease exchange carries one view per seat in a fixed array of this size
 * (JD_CELL_MAX_SEATS of membership/lease_defs.h). */
#define MAX_SEATS_PER_CELL 9
#define MAX_SHARES_PER_ZONE 1024
#define DEFAULT_SHARES_PER_ZONE 12
/* Allows for the rounding of weights such as three times 1/3. */
#define WEIGHT_SUM_SLACK 1e-9

static const char *const top_fields[] = { "zones", "shares_per_zone", "cells", NULL };
static const char *const zone_fields[] = { "name", "weight", NULL };
static const char *const cell_fields[] = { "name", "zone", "role", "seats", NULL };
static const char *const seat_fields[] = { "name", "address", "witness", NULL };
static const char *const roles[] = { "entry", "broker", NULL };

/* Names that may occur once in a fleet. */
typedef struct seen_names
{
  GHashTable *zones;
  GHashTable *cells;
  GHashTable *seats;
  GHashTable *addresses;
} seen_names_t;

/* Reads one zone; a missing weight becomes -1. */
static void
read_zone (jd_record_reader_t *reader, json_t *object, seen_names_t *seen,
           jd_zone_record_t *zone)
{
  jd_record_reader_only (reader, object, zone_fields);
  zone->name = jd_record_reader_name (reader, object, "name");
  zone->weight = jd_record_reader_number_or (reader, object, "weight", 0, 1, -1);
  jd_record_reader_unique (reader, seen->zones, "name", zone->name);
}

/* Checks the sum of the zone weights, or gives all zones an equal weight when none has
 * one. */
static void
settle_weights (jd_record_reader_t *reader, jd_fleet_record_t *record)
{
  double sum = 0;
  uint32_t missing = 0;
  for (uint32_t i = 0; i < record->zone_count; i++)
    {
      if (record->zones[i].weight < 0)
        missing++;
      else
        sum += record->zones[i].weight;
    }
  if (missing > 0 && missing < record->zone_count)
    jd_record_reader_fail (reader, "zones", "must have a weight in all zones or in none");
  if (sum > 1 + WEIGHT_SUM_SLACK)
    jd_record_reader_fail (reader, "zones", "sum of weights must be at most 1, is %g",
                           sum);
  for (uint32_t i = 0; missing > 0 && i < record->zone_count; i++)
    record->zones[i].weight = 1.0 / record->zone_count;
}

/* Reads all zones. */
static void
read_zones (jd_record_reader_t *reader, json_t *object, seen_names_t *seen,
            jd_fleet_record_t *record)
{
  json_t *array = jd_record_reader_array (reader, object, "zones", 1, MAX_ZONES);
  record->zone_count = (uint32_t)json_array_size (array);
  record->zones = g_new0 (jd_zone_record_t, record->zone_count);
  for (uint32_t i = 0; i < record->zone_count; i++)
    {
      jd_reader_mark_t mark = jd_record_reader_enter (reader, "zones", i);
      read_zone (reader, json_array_get (array, i), seen, &record->zones[i]);
      jd_record_reader_leave (reader, mark);
    }
  settle_weights (reader, record);
}

/* Reads one seat. */
static void
read_seat (jd_record_reader_t *reader, json_t *object, seen_names_t *seen,
           jd_seat_record_t *seat)
{
  jd_record_reader_only (reader, object, seat_fields);
  seat->name = jd_record_reader_name (reader, object, "name");
  seat->address = jd_record_reader_address (reader, object, "address");
  jd_record_reader_unique (reader, seen->seats, "name", seat->name);
  seat->witness = jd_record_reader_flag (reader, object, "witness");
  if (!seat->witness)
    jd_record_reader_unique (reader, seen->addresses, "address", seat->address);
}

/* Reads one cell with its seats. */
static void
read_cell (jd_record_reader_t *reader, json_t *object, seen_names_t *seen,
           jd_cell_record_t *cell)
{
  jd_record_reader_only (reader, object, cell_fields);
  cell->name = jd_record_reader_name (reader, object, "name");
  cell->zone = jd_record_reader_name (reader, object, "zone");
  cell->role = (jd_role_t)jd_record_reader_choice (reader, object, "role", roles, -1);
  jd_record_reader_unique (reader, seen->cells, "name", cell->name);
  if (!g_hash_table_contains (seen->zones, cell->zone))
    jd_record_reader_fail (reader, "zone", "no zone is named \"%s\"", cell->zone);
  json_t *seats = jd_record_reader_array (reader, object, "seats", 1, MAX_SEATS_PER_CELL);
  cell->seat_count = (uint32_t)json_array_size (seats);
  cell->seats = g_new0 (jd_seat_record_t, cell->seat_count);
  for (uint32_t i = 0; i < cell->seat_count; i++)
    {
      jd_reader_mark_t mark = jd_record_reader_enter (reader, "seats", i);
      read_seat (reader, json_array_get (seats, i), seen, &cell->seats[i]);
      jd_record_reader_leave (reader, mark);
    }
}

/* Checks that a witness is served by a seat of another cell and that it is not the
 * first of its cell, which breaks ties. */
static void
check_witnesses (jd_record_reader_t *reader, const jd_cell_record_t *cell,
                 const seen_names_t *seen)
{
  uint32_t witnesses = 0;
  for (uint32_t i = 0; i < cell->seat_count; i++)
    {
      const jd_seat_record_t *seat = &cell->seats[i];
      if (!seat->witness)
        continue;
      witnesses++;
      if (i == 0 || witnesses > 1)
        jd_record_reader_fail (reader, "seats",
                               "may have one witness, which is not the first seat");
      if (seat->address && !g_hash_table_contains (seen->addresses, seat->address))
        jd_record_reader_fail (reader, "seats", "witness \"%s\" has no seat at %s",
                               seat->name, seat->address);
      for (uint32_t j = 0; j < cell->seat_count; j++)
        {
          if (j != i && g_strcmp0 (seat->address, cell->seats[j].address) == 0)
            jd_record_reader_fail (reader, "seats", "witness \"%s\" is in its own cell",
                                   seat->name);
        }
    }
}

/* Reads all fields after the head. */
static void
read_fleet (jd_record_reader_t *reader, json_t *object, jd_fleet_record_t *record)
{
  seen_names_t seen = {
    .zones = g_hash_table_new (g_str_hash, g_str_equal),
    .cells = g_hash_table_new (g_str_hash, g_str_equal),
    .seats = g_hash_table_new (g_str_hash, g_str_equal),
    .addresses = g_hash_table_new (g_str_hash, g_str_equal),
  };
  record->shares_per_zone = (uint32_t)jd_record_reader_integer_or (
      reader, object, "shares_per_zone", 1, MAX_SHARES_PER_ZONE, DEFAULT_SHARES_PER_ZONE);
  read_zones (reader, object, &seen, record);
  json_t *cells = jd_record_reader_array (reader, object, "cells", 1, MAX_CELLS);
  record->cell_count = (uint32_t)json_array_size (cells);
  record->cells = g_new0 (jd_cell_record_t, record->cell_count);
  for (uint32_t i = 0; i < record->cell_count; i++)
    {
      jd_reader_mark_t mark = jd_record_reader_enter (reader, "cells", i);
      read_cell (reader, json_array_get (cells, i), &seen, &record->cells[i]);
      jd_record_reader_leave (reader, mark);
    }
  for (uint32_t i = 0; i < record->cell_count; i++)
    {
      jd_reader_mark_t mark = jd_record_reader_enter (reader, "cells", i);
      check_witnesses (reader, &record->cells[i], &seen);
      jd_record_reader_leave (reader, mark);
    }
  g_hash_table_unref (seen.zones);
  g_hash_table_unref (seen.cells);
  g_hash_table_unref (seen.seats);
  g_hash_table_unref (seen.addresses);
}

/* Parses a fleet record; a deleted one has no zones and no cells. */
jd_fleet_record_t *
jd_fleet_record_parse (const char *name, const char *text, size_t length, GError **error)
{
  static const char *const none[] = { NULL };
  jd_record_head_t head;
  jd_record_reader_t reader;
  json_t *object = jd_record_parse (name, text, length, &head, error);
  if (!object)
    return NULL;
  jd_fleet_record_t *record = g_atomic_rc_box_new0 (jd_fleet_record_t);
  record->head = head;
  jd_record_reader_init (&reader, name, &head);
  jd_record_reader_only (&reader, object, head.deleted ? none : top_fields);
  if (!head.deleted)
    read_fleet (&reader, object, record);
  json_decref (object);
  if (jd_record_reader_finish (&reader, error))
    return record;
  jd_fleet_record_unref (record);
  return NULL;
}

/* Returns a new reference. */
jd_fleet_record_t *
jd_fleet_record_ref (jd_fleet_record_t *record)
{
  return g_atomic_rc_box_acquire (record);
}

/* Frees the content of one cell. */
static void
clear_cell (jd_cell_record_t *cell)
{
  for (uint32_t i = 0; i < cell->seat_count; i++)
    {
      g_free (cell->seats[i].name);
      g_free (cell->seats[i].address);
    }
  g_free (cell->seats);
  g_free (cell->name);
  g_free (cell->zone);
}

/* Frees the content of a record. */
static void
clear_record (gpointer data)
{
  jd_fleet_record_t *record = data;
  for (uint32_t i = 0; i < record->zone_count; i++)
    g_free (record->zones[i].name);
  for (uint32_t i = 0; i < record->cell_count; i++)
    clear_cell (&record->cells[i]);
  g_free (record->zones);
  g_free (record->cells);
}

/* Drops a reference; NULL is allowed. */
void
jd_fleet_record_unref (jd_fleet_record_t *record)
{
  if (record)
    g_atomic_rc_box_release_full (record, clear_record);
}

/* Returns the cell that lists a seat, or NULL. */
const jd_cell_record_t *
jd_fleet_record_cell_of_seat (const jd_fleet_record_t *record, const char *seat)
{
  for (uint32_t i = 0; i < record->cell_count; i++)
    {
      const jd_cell_record_t *cell = &record->cells[i];
      for (uint32_t j = 0; j < cell->seat_count; j++)
        {
          if (g_str_equal (cell->seats[j].name, seat))
            return cell;
        }
    }
  return NULL;
}

/* Returns a zone by its name, or NULL. */
const jd_zone_record_t *
jd_fleet_record_zone (const jd_fleet_record_t *record, const char *zone)
{
  for (uint32_t i = 0; i < record->zone_count; i++)
    {
      if (g_str_equal (record->zones[i].name, zone))
        return &record->zones[i];
    }
  return NULL;
}
