#include "daemons/host_request.h"

#include <string.h>

/* Returns TRUE if a field of the caller is not passed on: it belongs to the connection,
 * or this host sets its own value. */
static bool
is_replaced_field (const jd_host_t *host, const char *name, const char *connection)
{
  const jd_host_fields_t *fields = &host->platform.fields;
  const char *const replaced[] = {
    fields->target.deadline_ms,
    fields->target.expected_target_id,
    fields->tenant,
  };
  for (size_t i = 0; i < G_N_ELEMENTS (replaced); i++)
    {
      if (g_ascii_strcasecmp (name, replaced[i]) == 0)
        return true;
    }
  return jd_http_is_hop_header (name) || jd_http_list_contains (connection, name);
}

/* Returns TRUE if a field carries the caller's key, which is never sent to targets. With
 * tenants in the configuration, every field of that name counts, whatever its scheme. */
static bool
is_key_field (const jd_host_t *host, const jd_route_table_t *table, const char *name,
              const char *value)
{
  const jd_host_fields_t *fields = &host->platform.fields;
  if (g_ascii_strcasecmp (name, fields->key) != 0)
    return false;
  size_t length = strlen (fields->key_scheme);
  return table->has_tenants ||
         g_ascii_strncasecmp (value, fields->key_scheme, length) == 0;
}

/* Appends one header field and its line end. */
static void
append_field (GString *head, const char *name, size_t name_len, const char *value,
              size_t value_len)
{
  g_string_append_len (head, name, (gssize)name_len);
  g_string_append_len (head, ": ", 2);
  g_string_append_len (head, value, (gssize)value_len);
  g_string_append_len (head, "\r\n", 2);
}

/* Builds the request for targets from the request of a caller. Method, request target,
 * body and fields stay as they are, except the fields of the connection, the key and the
 * fields that this host sets. `tenant` is NULL without a key. Returns a
 * reference to drop with jd_outgoing_request_unref. */
jd_outgoing_request_t *
jd_request_build_outgoing (const jd_host_t *host, const jd_http_reader_t *reader,
                           const jd_route_table_t *table, const char *tenant)
{
  const jd_host_fields_t *fields = &host->platform.fields;
  jd_outgoing_request_t *outgoing =
      jd_outgoing_request_new (jd_http_reader_value (reader, fields->request_id));
  GString *head = outgoing->head;
  const char *text = reader->text->str;
  outgoing->is_head_method = reader->parser.method == HTTP_HEAD;
  g_string_append (head, http_method_str (reader->parser.method));
  g_string_append_c (head, ' ');
  g_string_append_len (head, text, reader->request_target_len);
  g_string_append (head, " HTTP/1.1\r\n");
  const char *connection = jd_http_reader_value (reader, "Connection");
  for (guint i = 0; i < reader->fields->len; i++)
    {
      const jd_http_field_t *field = &g_array_index (reader->fields, jd_http_field_t, i);
      const char *name = text + field->name_at;
      const char *value = field->value_at ? text + field->value_at : "";
      if (is_replaced_field (host, name, connection) ||
          is_key_field (host, table, name, value))
        continue;
      append_field (head, name, field->name_len, value, field->value_len);
    }
  if (tenant)
    append_field (head, fields->tenant, strlen (fields->tenant), tenant, strlen (tenant));
  bool had_body = reader->body->len > 0 ||
                  jd_http_reader_value (reader, "Content-Length") ||
                  jd_http_reader_value (reader, "Transfer-Encoding");
  if (had_body)
    {
      g_string_append_printf (head, "Content-Length: %zu\r\n", reader->body->len);
      g_string_append_len (outgoing->body, reader->body->str, (gssize)reader->body->len);
    }
  return outgoing;
}

/* Returns the fields of a target's response that are passed on to the caller, each with
 * its line end. Free with g_string_free. */
GString *
jd_request_forwarded_fields (const jd_http_reader_t *reply)
{
  GString *fields = g_string_new (NULL);
  const char *connection = jd_http_reader_value (reply, "Connection");
  for (guint i = 0; i < reply->fields->len; i++)
    {
      const jd_http_field_t *field = &g_array_index (reply->fields, jd_http_field_t, i);
      const char *name = reply->text->str + field->name_at;
      const char *value = field->value_at ? reply->text->str + field->value_at : "";
      if (jd_http_is_hop_header (name) || jd_http_list_contains (connection, name))
        continue;
      append_field (fields, name, field->name_len, value, field->value_len);
    }
  return fields;
}
