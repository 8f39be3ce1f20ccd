#include "config/drain_record.h"

#include "config/record_reader.h"

#define MAX_ZONES 64
#define MAX_STATES 20000

static const char *const zones_fields[] = { "zones", NULL };
static const char *const zone_fields[] = { "name", "state", NULL };
static const char *const zone_states[] = { "in", "out", NULL };
static const char *const hosts_fields[] = { "seats", "targets", NULL };
static const char *const member_fields[] = { "name", "state", NULL };
static const char *const member_states[] = { "draining", NULL };
static const char *const target_fields[] = { "id", "state", NULL };
static const char *const target_states[] = { "leaving", NULL };
static const char *const no_fields[] = { NULL };

/* Describes an array field whose elements have a name and a state. */
typedef struct state_list
{
  const char *array;
  const char *const *fields; /* Fields of an element; the first one holds its name. */
  const char *const *states;
  int wanted_state; /* Index in states. */
  size_t max_length;
} state_list_t;

/* Reads an array of names with states and returns the set of names that have the wanted
 * state. */
static GHashTable *
read_names_in_state (jd_record_reader_t *reader, json_t *object, const state_list_t *list)
{
  const char *key = list->fields[0];
  GHashTable *names = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTable *seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  json_t *array =
      jd_record_reader_array (reader, object, list->array, 0, list->max_length);
  for (size_t i = 0; i < json_array_size (array); i++)
    {
      json_t *element = json_array_get (array, i);
      jd_reader_mark_t mark = jd_record_reader_enter (reader, list->array, i);
      jd_record_reader_check_fields (reader, element, list->fields);
      char *name = jd_record_reader_name (reader, element, key);
      if (jd_record_reader_choice (reader, element, "state", list->states, -1) ==
          list->wanted_state)
        g_hash_table_add (names, g_strdup (name));
      jd_record_reader_check_unique (reader, seen, key, name);
      jd_record_reader_leave (reader, mark);
    }
  g_hash_table_unref (seen);
  return names;
}

/* Frees the set of a zones record. */
static void
clear_zones (gpointer data)
{
  jd_zone_state_record_t *record = data;
  g_clear_pointer (&record->drained_zones, g_hash_table_unref);
}

/* Parses a zones record; a deleted one has no drained zones. Returns NULL with an error
 * for an invalid one. */
jd_zone_state_record_t *
jd_zone_state_record_parse (const char *name, const char *text, size_t length,
                            GError **error)
{
  static const state_list_t zones = { "zones", zone_fields, zone_states, 1, MAX_ZONES };
  jd_record_head_t head;
  jd_record_reader_t reader;
  json_t *object = jd_record_parse (name, text, length, &head, error);
  if (!object)
    return NULL;
  jd_zone_state_record_t *record = g_atomic_rc_box_new0 (jd_zone_state_record_t);
  record->head = head;
  jd_record_reader_init (&reader, name, &head);
  jd_record_reader_check_fields (&reader, object,
                                 head.deleted ? no_fields : zones_fields);
  record->drained_zones =
      read_names_in_state (&reader, head.deleted ? NULL : object, &zones);
  json_decref (object);
  if (jd_record_reader_finish (&reader, error))
    return record;
  jd_zone_state_record_unref (record);
  return NULL;
}

/* Returns a new reference. */
jd_zone_state_record_t *
jd_zone_state_record_ref (jd_zone_state_record_t *record)
{
  return g_atomic_rc_box_acquire (record);
}

/* Drops a reference; NULL is allowed. */
void
jd_zone_state_record_unref (jd_zone_state_record_t *record)
{
  if (record)
    g_atomic_rc_box_release_full (record, clear_zones);
}

/* Frees the sets of a hosts record. */
static void
clear_hosts (gpointer data)
{
  jd_host_state_record_t *record = data;
  g_clear_pointer (&record->draining_members, g_hash_table_unref);
  g_clear_pointer (&record->leaving_targets, g_hash_table_unref);
}

/* Parses a hosts record; a deleted one has no draining group members and no leaving
 * targets. Returns NULL with an error for an invalid one. */
jd_host_state_record_t *
jd_host_state_record_parse (const char *name, const char *text, size_t length,
                            GError **error)
{
  static const state_list_t members = { "seats", member_fields, member_states, 0,
                                        MAX_STATES };
  static const state_list_t targets = { "targets", target_fields, target_states, 0,
                                        MAX_STATES };
  jd_record_head_t head;
  jd_record_reader_t reader;
  json_t *object = jd_record_parse (name, text, length, &head, error);
  if (!object)
    return NULL;
  jd_host_state_record_t *record = g_atomic_rc_box_new0 (jd_host_state_record_t);
  record->head = head;
  jd_record_reader_init (&reader, name, &head);
  jd_record_reader_check_fields (&reader, object,
                                 head.deleted ? no_fields : hosts_fields);
  json_t *fields = head.deleted ? NULL : object;
  record->draining_members = read_names_in_state (&reader, fields, &members);
  record->leaving_targets = read_names_in_state (&reader, fields, &targets);
  json_decref (object);
  if (jd_record_reader_finish (&reader, error))
    return record;
  jd_host_state_record_unref (record);
  return NULL;
}

/* Returns a new reference. */
jd_host_state_record_t *
jd_host_state_record_ref (jd_host_state_record_t *record)
{
  return g_atomic_rc_box_acquire (record);
}

/* Drops a reference; NULL is allowed. */
void
jd_host_state_record_unref (jd_host_state_record_t *record)
{
  if (record)
    g_atomic_rc_box_release_full (record, clear_hosts);
}
