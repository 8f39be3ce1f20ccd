#include "config/record.h"

#include "config/record_reader.h"

/* Returns the error domain of record parsing. */
GQuark
jd_record_error_quark (void)
{
  return g_quark_from_static_string ("jd-record-error");
}

/* Reads the fields of the head, which are the same in all schema versions. Returns FALSE
 * with an error if one is invalid. */
static gboolean
read_head (const char *name, json_t *object, jd_record_head_t *head, GError **error)
{
  jd_record_reader_t reader;
  *head = (jd_record_head_t){ 0 };
  jd_record_reader_init (&reader, name, head);
  head->schema_version = (uint32_t)jd_record_reader_integer (
      &reader, object, "schema_version", 0, UINT32_MAX);
  head->record_version =
      jd_record_reader_integer (&reader, object, "record_version", 1, INT64_MAX);
  head->deleted = jd_record_reader_flag (&reader, object, "deleted");
  return jd_record_reader_finish (&reader, error);
}

/* Parses the text of a record and reads its head, but not the fields of its type. Refuses
 * objects with a duplicate field, because parsers differ in which value they use. Returns
 * a new reference, or NULL with an error. */
json_t *
jd_record_parse (const char *name, const char *text, size_t length,
                 jd_record_head_t *head, GError **error)
{
  if (length > JD_RECORD_MAX_BYTES)
    {
      g_set_error (error, JD_RECORD_ERROR, JD_RECORD_ERROR_TOO_LARGE,
                   "%s: has %zu bytes, at most %zu are allowed", name, length,
                   JD_RECORD_MAX_BYTES);
      return NULL;
    }
  json_error_t json_error;
  json_t *object = json_loadb (text, length, JSON_REJECT_DUPLICATES, &json_error);
  if (!json_is_object (object))
    {
      g_set_error (error, JD_RECORD_ERROR, JD_RECORD_ERROR_JSON, "%s: line %d: %s", name,
                   object ? 1 : json_error.line,
                   object ? "must be an object" : json_error.text);
      json_decref (object);
      return NULL;
    }
  if (!read_head (name, object, head, error))
    {
      json_decref (object);
      return NULL;
    }
  if (head->schema_version < JD_RECORD_SCHEMA_MIN ||
      head->schema_version > JD_RECORD_SCHEMA_MAX)
    {
      g_set_error (error, JD_RECORD_ERROR, JD_RECORD_ERROR_SCHEMA_VERSION,
                   "%s: schema_version: must be %d to %d, is %u", name,
                   JD_RECORD_SCHEMA_MIN, JD_RECORD_SCHEMA_MAX, head->schema_version);
      json_decref (object);
      return NULL;
    }
  return object;
}
