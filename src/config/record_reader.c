#include "config/record_reader.h"

#include <arpa/inet.h>
#include <string.h>

#include "base/name.h"

/* Fields of the head, which every record may have. */
static const char *const head_fields[] = { "schema_version", "record_version", "deleted",
                                           NULL };

/* Starts reading a record, whose name begins every error message. Unknown fields are
 * refused in schema version 1 only. */
void
jd_record_reader_init (jd_record_reader_t *reader, const char *name,
                       const jd_record_head_t *head)
{
  reader->path = g_string_new (name);
  g_string_append (reader->path, ": ");
  reader->prefix_length = reader->path->len;
  reader->refuses_unknown_fields = head->schema_version == 1;
  reader->error = NULL;
}

/* Frees the members of the reader. Returns TRUE if all fields were valid, else FALSE with
 * the first error. */
gboolean
jd_record_reader_finish (jd_record_reader_t *reader, GError **error)
{
  g_string_free (reader->path, TRUE);
  reader->path = NULL;
  if (!reader->error)
    return TRUE;
  g_propagate_error (error, reader->error);
  reader->error = NULL;
  return FALSE;
}

/* Makes an element of an array field the current object, by adding it to the path.
 * Returns the position to pass to jd_record_reader_leave (). */
jd_reader_mark_t
jd_record_reader_enter (jd_record_reader_t *reader, const char *field, size_t index)
{
  jd_reader_mark_t mark = reader->path->len;
  g_string_append_printf (reader->path, "%s%s[%zu]",
                          mark > reader->prefix_length ? "." : "", field, index);
  return mark;
}

/* Makes the object that contains the element the current object again. */
void
jd_record_reader_leave (jd_record_reader_t *reader, jd_reader_mark_t mark)
{
  g_string_truncate (reader->path, mark);
}

/* Sets an error at a field of the current object, or at the object itself if field is
 * NULL. Does nothing if there is an error already. */
void
jd_record_reader_set_error (jd_record_reader_t *reader, const char *field,
                            const char *format, ...)
{
  if (reader->error)
    return;
  va_list arguments;
  va_start (arguments, format);
  char *reason = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  gboolean nested = reader->path->len > reader->prefix_length;
  g_set_error (&reader->error, JD_RECORD_ERROR, JD_RECORD_ERROR_FIELD, "%s%s%s%s%s",
               reader->path->str, nested && field ? "." : "", field ? field : "",
               nested || field ? ": " : "", reason);
  g_free (reason);
}

/* Sets an error if the value is not an object or, in schema version 1, if it has a
 * field that is not listed. The top level may also have the fields of the head. */
void
jd_record_reader_check_fields (jd_record_reader_t *reader, json_t *object,
                               const char *const *fields)
{
  if (!json_is_object (object))
    {
      jd_record_reader_set_error (reader, NULL, "must be an object");
      return;
    }
  if (!reader->refuses_unknown_fields)
    return;
  gboolean is_top_level = reader->path->len == reader->prefix_length;
  const char *key;
  json_t *value;
  json_object_foreach (object, key, value)
  {
    if (g_strv_contains (fields, key) ||
        (is_top_level && g_strv_contains (head_fields, key)))
      continue;
    jd_record_reader_set_error (reader, key, "unknown field");
  }
}

/* Returns a field, or NULL if it is missing; sets an error if it is missing and required.
 */
static json_t *
get_field (jd_record_reader_t *reader, json_t *object, const char *field,
           gboolean required)
{
  json_t *value = json_object_get (object, field);
  if (!value && required)
    jd_record_reader_set_error (reader, field, "is missing");
  return value;
}

/* Returns an array field with min to max elements; it belongs to the object. The field is
 * optional if min is 0. Returns NULL for a missing or invalid one. */
json_t *
jd_record_reader_array (jd_record_reader_t *reader, json_t *object, const char *field,
                        size_t min, size_t max)
{
  json_t *value = get_field (reader, object, field, min > 0);
  if (!value)
    return NULL;
  if (!json_is_array (value))
    {
      jd_record_reader_set_error (reader, field, "must be an array");
      return NULL;
    }
  size_t size = json_array_size (value);
  if (size < min || size > max)
    {
      jd_record_reader_set_error (reader, field, "must have %zu to %zu elements, has %zu",
                                  min, max, size);
      return NULL;
    }
  return value;
}

/* Returns a required string field, which belongs to the object; "" if it is invalid. */
static const char *
read_string (jd_record_reader_t *reader, json_t *object, const char *field)
{
  json_t *value = get_field (reader, object, field, TRUE);
  const char *text = json_string_value (value);
  if (value && !text)
    jd_record_reader_set_error (reader, field, "must be a string");
  return text ? text : "";
}

/* Returns TRUE if a text fits into jd_name_t and has only characters that are safe in
 * paths and log lines. */
gboolean
jd_record_is_name (const char *text)
{
  size_t length = strlen (text);
  if (length == 0 || length >= JD_NAME_SIZE)
    return FALSE;
  for (size_t i = 0; i < length; i++)
    {
      if (!g_ascii_isalnum (text[i]) && !strchr ("-_.", text[i]))
        return FALSE;
    }
  return TRUE;
}

/* Returns a copy of a required name field; sets an error if it is no valid name. */
char *
jd_record_reader_name (jd_record_reader_t *reader, json_t *object, const char *field)
{
  const char *text = read_string (reader, object, field);
  if (!jd_record_is_name (text))
    jd_record_reader_set_error (reader, field,
                                "must have 1 to %d letters, digits, '-', '_' or '.'",
                                JD_NAME_SIZE - 1);
  return g_strdup (text);
}

/* Returns TRUE if a text is "IP:port" with a numeric IPv4 address and a port from 1 to
 * 65535. */
gboolean
jd_record_is_address (const char *text)
{
  char host[INET_ADDRSTRLEN];
  struct in_addr parsed;
  guint64 port;
  const char *colon = strchr (text, ':');
  if (!colon || (size_t)(colon - text) >= sizeof (host))
    return FALSE;
  g_strlcpy (host, text, (gsize)(colon - text) + 1);
  return inet_pton (AF_INET, host, &parsed) == 1 &&
         g_ascii_string_to_unsigned (colon + 1, 10, 1, 65535, &port, NULL);
}

/* Returns a copy of a required address field; sets an error if it is no valid address. */
char *
jd_record_reader_address (jd_record_reader_t *reader, json_t *object, const char *field)
{
  const char *text = read_string (reader, object, field);
  if (!jd_record_is_address (text))
    jd_record_reader_set_error (reader, field,
                                "must be a numeric IPv4 address and a port");
  return g_strdup (text);
}

/* Returns the index of a string field in a NULL-terminated list of choices; the default
 * if it is missing, 0 if it is invalid. A field with a negative default is required. */
int
jd_record_reader_choice (jd_record_reader_t *reader, json_t *object, const char *field,
                         const char *const *choices, int default_choice)
{
  if (!json_object_get (object, field) && default_choice >= 0)
    return default_choice;
  const char *text = read_string (reader, object, field);
  for (int i = 0; choices[i]; i++)
    {
      if (g_str_equal (text, choices[i]))
        return i;
    }
  char *list = g_strjoinv (", ", (char **)choices);
  jd_record_reader_set_error (reader, field, "must be one of %s", list);
  g_free (list);
  return 0;
}

/* Returns a boolean field, FALSE if it is missing or invalid. */
gboolean
jd_record_reader_flag (jd_record_reader_t *reader, json_t *object, const char *field)
{
  json_t *value = json_object_get (object, field);
  if (value && !json_is_boolean (value))
    jd_record_reader_set_error (reader, field, "must be true or false");
  return json_is_true (value);
}

/* Returns a required integer field from min to max; min if it is invalid. */
uint64_t
jd_record_reader_integer (jd_record_reader_t *reader, json_t *object, const char *field,
                          uint64_t min, uint64_t max)
{
  json_t *value = get_field (reader, object, field, TRUE);
  if (!value)
    return min;
  if (!json_is_integer (value))
    {
      jd_record_reader_set_error (reader, field, "must be an integer");
      return min;
    }
  json_int_t number = json_integer_value (value);
  if (number >= 0 && (uint64_t)number >= min && (uint64_t)number <= max)
    return (uint64_t)number;
  jd_record_reader_set_error (
      reader, field, "must be %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT ", is %lld",
      min, max, (long long)number);
  return min;
}

/* Returns an integer field from min to max; the default if missing, min if invalid. */
uint64_t
jd_record_reader_integer_or (jd_record_reader_t *reader, json_t *object,
                             const char *field, uint64_t min, uint64_t max,
                             uint64_t default_value)
{
  if (!json_object_get (object, field))
    return default_value;
  return jd_record_reader_integer (reader, object, field, min, max);
}

/* Returns a required number field from min to max; min if it is invalid. */
double
jd_record_reader_number (jd_record_reader_t *reader, json_t *object, const char *field,
                         double min, double max)
{
  json_t *value = get_field (reader, object, field, TRUE);
  if (!value)
    return min;
  if (!json_is_number (value))
    {
      jd_record_reader_set_error (reader, field, "must be a number");
      return min;
    }
  double number = json_number_value (value);
  if (number >= min && number <= max)
    return number;
  jd_record_reader_set_error (reader, field, "must be %g to %g, is %g", min, max, number);
  return min;
}

/* Returns a number field from min to max; the default if missing, min if invalid. */
double
jd_record_reader_number_or (jd_record_reader_t *reader, json_t *object, const char *field,
                            double min, double max, double default_value)
{
  if (!json_object_get (object, field))
    return default_value;
  return jd_record_reader_number (reader, object, field, min, max);
}

/* Adds a value of a field to the set seen, or sets an error if the set has it already.
 * The set does not copy the value. */
void
jd_record_reader_check_unique (jd_record_reader_t *reader, GHashTable *seen,
                               const char *field, const char *value)
{
  if (!g_hash_table_add (seen, (gpointer)value))
    jd_record_reader_set_error (reader, field, "\"%s\" occurs twice", value);
}
