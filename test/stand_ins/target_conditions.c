#include "stand_ins/target_conditions.h"

#include <stddef.h>

#include "stand_ins/stand_in_run.h"

typedef enum field_type
{
  FIELD_REAL,
  FIELD_INTEGER,
  FIELD_BOOLEAN,
} field_type_t;

typedef struct field
{
  const char *name;
  field_type_t type;
  size_t offset_bytes;
} field_t;

#define FIELD(type, name)                                                                \
  {                                                                                      \
#name, type, offsetof(jd_target_conditions_t, name)                                  \
  }

static const field_t fields[] = {
  FIELD (FIELD_REAL, latency_median_us),
  FIELD (FIELD_REAL, latency_sigma),
  FIELD (FIELD_REAL, latency_factor),
  FIELD (FIELD_REAL, straggle_probability),
  FIELD (FIELD_REAL, straggle_ms),
  FIELD (FIELD_INTEGER, slots),
  FIELD (FIELD_INTEGER, queue),
  FIELD (FIELD_INTEGER, other_load),
  FIELD (FIELD_INTEGER, connections),
  FIELD (FIELD_INTEGER, connection_setup_us),
  FIELD (FIELD_INTEGER, cold_ms),
  FIELD (FIELD_INTEGER, cold_requests),
  FIELD (FIELD_INTEGER, cold_capacity),
  FIELD (FIELD_REAL, cold_slowdown),
  FIELD (FIELD_INTEGER, cold_fail_ms),
  FIELD (FIELD_BOOLEAN, crossed_reply),
  FIELD (FIELD_BOOLEAN, close_after_read),
  FIELD (FIELD_BOOLEAN, close_after_run),
  FIELD (FIELD_BOOLEAN, shed),
  FIELD (FIELD_BOOLEAN, fail),
  FIELD (FIELD_BOOLEAN, draining),
  FIELD (FIELD_BOOLEAN, health_lies),
  FIELD (FIELD_BOOLEAN, load_lies),
  FIELD (FIELD_INTEGER, report_lag_ms),
};

/* Returns the conditions of a healthy target with 2 slots and 25 connections. */
jd_target_conditions_t
jd_target_conditions_default (void)
{
  return (jd_target_conditions_t){
    .latency_median_us = 2000,
    .latency_sigma = 0.3,
    .latency_factor = 1,
    .straggle_ms = 80,
    .slots = 2,
    .queue = 16,
    .connections = 25,
    .cold_capacity = 1,
    .cold_slowdown = 5,
    .cold_fail_ms = 1000,
    .snapshots = { 1 },
  };
}

/* Sets one field. Returns FALSE if the value has another type. */
static gboolean
apply_field (jd_target_conditions_t *conditions, const field_t *field,
             const json_t *value)
{
  char *field_address = (char *)conditions + field->offset_bytes;
  if (field->type == FIELD_REAL && json_is_number (value))
    *(double *)(void *)field_address = json_number_value (value);
  else if (field->type == FIELD_INTEGER && json_is_integer (value))
    *(int64_t *)(void *)field_address = json_integer_value (value);
  else if (field->type == FIELD_BOOLEAN && json_is_boolean (value))
    *(gboolean *)(void *)field_address = json_is_true (value);
  else
    return FALSE;
  return TRUE;
}

/* Sets the snapshots from an array of positive integers, newest first. Returns FALSE,
 * with the conditions partly changed, if the value is invalid. */
static gboolean
apply_snapshots (jd_target_conditions_t *conditions, json_t *value)
{
  size_t count = json_array_size (value);
  if (!json_is_array (value) || count >= JD_TARGET_MAX_SNAPSHOTS)
    return FALSE;
  for (size_t i = 0; i < count; i++)
    {
      json_int_t snapshot = json_integer_value (json_array_get (value, i));
      if (snapshot <= 0)
        return FALSE;
      conditions->snapshots[i] = (uint64_t)snapshot;
    }
  conditions->snapshots[count] = 0;
  return TRUE;
}

/* Changes a copy, so that an invalid field leaves the conditions as they are. */
gboolean
jd_target_conditions_apply (jd_target_conditions_t *conditions, json_t *object,
                            GError **error)
{
  jd_target_conditions_t changed = *conditions;
  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    {
      const json_t *value = json_object_get (object, fields[i].name);
      if (value && !apply_field (&changed, &fields[i], value))
        {
          g_set_error (error, JD_STAND_IN_ERROR, 0, "%s: value has the wrong type",
                       fields[i].name);
          return FALSE;
        }
    }
  json_t *snapshots = json_object_get (object, "snapshots");
  if (snapshots && !apply_snapshots (&changed, snapshots))
    {
      g_set_error (error, JD_STAND_IN_ERROR, 0,
                   "snapshots: must be an array of up to %d positive integers",
                   JD_TARGET_MAX_SNAPSHOTS - 1);
      return FALSE;
    }
  *conditions = changed;
  return TRUE;
}

static json_t *
snapshots_to_json (const jd_target_conditions_t *conditions)
{
  json_t *array = json_array ();
  for (int i = 0; i < JD_TARGET_MAX_SNAPSHOTS && conditions->snapshots[i]; i++)
    json_array_append_new (array, json_integer ((json_int_t)conditions->snapshots[i]));
  return array;
}

/* Returns a new JSON object with all fields. */
json_t *
jd_target_conditions_to_json (const jd_target_conditions_t *conditions)
{
  json_t *object = json_object ();
  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    {
      const char *field_address = (const char *)conditions + fields[i].offset_bytes;
      json_t *value = NULL;
      if (fields[i].type == FIELD_REAL)
        value = json_real (*(const double *)(const void *)field_address);
      else if (fields[i].type == FIELD_INTEGER)
        value = json_integer (*(const int64_t *)(const void *)field_address);
      else
        value = json_boolean (*(const gboolean *)(const void *)field_address);
      json_object_set_new (object, fields[i].name, value);
    }
  json_object_set_new (object, "snapshots", snapshots_to_json (conditions));
  return object;
}

/* Returns TRUE if the target has the snapshot. */
gboolean
jd_target_conditions_has_snapshot (const jd_target_conditions_t *conditions,
                                   uint64_t snapshot)
{
  for (int i = 0; i < JD_TARGET_MAX_SNAPSHOTS && conditions->snapshots[i]; i++)
    {
      if (conditions->snapshots[i] == snapshot)
        return TRUE;
    }
  return FALSE;
}
