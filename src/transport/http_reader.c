#include "transport/http_reader.h"

#include <string.h>

/* Fits the head of a response with few header fields. */
#define INITIAL_TEXT_BYTES 256
/* A reader keeps this much memory for the next message of its connection. */
#define RETAINED_BYTES ((size_t)64 * 1024)

/* Appends bytes of the head to the text. Returns 1, which stops the parser, if the head
 * exceeds its limit. */
static int
append_text (jd_http_reader_t *reader, const char *data, size_t size)
{
  if (reader->text->len + size > reader->head_limit_bytes)
    {
      reader->error = JD_HTTP_HEAD_TOO_LARGE;
      return 1;
    }
  g_string_append_len (reader->text, data, (gssize)size);
  return 0;
}

/* Parser callback: stores a part of the request target. */
static int
on_url (http_parser *parser, const char *data, size_t size)
{
  jd_http_reader_t *reader = parser->data;
  if (append_text (reader, data, size) != 0)
    return 1;
  reader->request_target_len = (uint32_t)reader->text->len;
  return 0;
}

/* Parser callback: stores a part of a header name. */
static int
on_header_field (http_parser *parser, const char *data, size_t size)
{
  jd_http_reader_t *reader = parser->data;
  if (reader->head_complete) /* Trailer fields apply to one connection only. */
    return 0;
  /* The parser accepts spaces in a name. Reject them, because another HTTP implementation
   * may treat a space as the end of the name. */
  if (memchr (data, ' ', size))
    return 1;
  if (reader->in_value || reader->fields->len == 0)
    {
      g_string_append_c (reader->text, '\0');
      jd_http_field_t field = { .name_at = (uint32_t)reader->text->len };
      g_array_append_val (reader->fields, field);
      reader->in_value = false;
    }
  g_array_index (reader->fields, jd_http_field_t, reader->fields->len - 1).name_len +=
      (uint32_t)size;
  return append_text (reader, data, size);
}

/* Parser callback: stores a part of a header value. */
static int
on_header_value (http_parser *parser, const char *data, size_t size)
{
  jd_http_reader_t *reader = parser->data;
  if (reader->head_complete)
    return 0;
  jd_http_field_t *field =
      &g_array_index (reader->fields, jd_http_field_t, reader->fields->len - 1);
  if (!reader->in_value)
    {
      g_string_append_c (reader->text, '\0');
      field->value_at = (uint32_t)reader->text->len;
      reader->in_value = true;
    }
  field->value_len += (uint32_t)size;
  return append_text (reader, data, size);
}

/* Parser callback: checks the Content-Length of a complete head against the body limit.
 * Returns 1, which makes the parser expect no body, for a response to HEAD, or -1 on
 * error. */
static int
on_headers_complete (http_parser *parser)
{
  jd_http_reader_t *reader = parser->data;
  reader->head_complete = true;
  if (parser->type == HTTP_RESPONSE &&
      parser->status_code == HTTP_STATUS_SWITCHING_PROTOCOLS)
    return -1;
  if (parser->content_length != UINT64_MAX &&
      parser->content_length > reader->body_limit_bytes && !reader->answers_head_request)
    {
      reader->error = JD_HTTP_BODY_TOO_LARGE;
      return -1;
    }
  return reader->answers_head_request ? 1 : 0;
}

/* Parser callback: stores a part of the decoded body. */
static int
on_body (http_parser *parser, const char *data, size_t size)
{
  jd_http_reader_t *reader = parser->data;
  if (reader->body->len + size > reader->body_limit_bytes)
    {
      reader->error = JD_HTTP_BODY_TOO_LARGE;
      return 1;
    }
  g_string_append_len (reader->body, data, (gssize)size);
  return 0;
}

/* Parser callback: pauses the parser at the end of the message, because later bytes
 * belong to the next one. */
static int
on_message_complete (http_parser *parser)
{
  jd_http_reader_t *reader = parser->data;
  reader->complete = true;
  reader->keep_alive = http_should_keep_alive (parser) != 0;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_url = on_url,
  .on_header_field = on_header_field,
  .on_header_value = on_header_value,
  .on_headers_complete = on_headers_complete,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};

/* Initializes a reader for requests or for responses. The reader must stay at its
 * address, which the parser holds; free its memory with jd_http_reader_clear (). */
void
jd_http_reader_init (jd_http_reader_t *reader, enum http_parser_type type,
                     uint32_t head_limit_bytes, uint32_t body_limit_bytes)
{
  *reader = (jd_http_reader_t){
    .text = g_string_sized_new (INITIAL_TEXT_BYTES),
    .body = g_string_new (NULL),
    .fields = g_array_new (FALSE, FALSE, sizeof (jd_http_field_t)),
    .head_limit_bytes = head_limit_bytes,
    .body_limit_bytes = body_limit_bytes,
  };
  http_parser_init (&reader->parser, type);
  reader->parser.data = reader;
}

/* Frees the memory of the reader; has no effect on a cleared one. */
void
jd_http_reader_clear (jd_http_reader_t *reader)
{
  if (!reader->text)
    return;
  g_string_free (reader->text, TRUE);
  g_string_free (reader->body, TRUE);
  g_array_free (reader->fields, TRUE);
  reader->text = NULL;
}

/* Empties a string; frees its memory if a large message has grown it. */
static GString *
empty_text (GString *text)
{
  if (text->allocated_len <= RETAINED_BYTES)
    return g_string_truncate (text, 0);
  g_string_free (text, TRUE);
  return g_string_sized_new (INITIAL_TEXT_BYTES);
}

/* Returns the memory that the message takes. */
uint64_t
jd_http_reader_held_bytes (const jd_http_reader_t *reader)
{
  return reader->text->allocated_len + reader->body->allocated_len;
}

/* Discards the message and prepares the reader for the next one of the connection. The
 * limits stay as they are. */
void
jd_http_reader_restart (jd_http_reader_t *reader)
{
  http_parser_init (&reader->parser, reader->parser.type);
  reader->parser.data = reader;
  reader->text = empty_text (reader->text);
  reader->body = empty_text (reader->body);
  g_array_set_size (reader->fields, 0);
  reader->request_target_len = 0;
  reader->status_line_bytes = 0;
  reader->answers_head_request = false;
  reader->in_value = false;
  reader->head_complete = false;
  reader->complete = false;
  reader->keep_alive = false;
  reader->started = false;
  reader->error = JD_HTTP_MORE;
}

/* Checks the start of a response, "HTTP/1.D DDD" and the end of the status, which the
 * parser reads with less care: it accepts other versions, any number of digits and status
 * codes that the protocol does not have (RFC 9110, 15). An upgrade (101) is never asked
 * for. Returns FALSE if the bytes are no start of a response. */
static bool
check_status_line (jd_http_reader_t *reader, const char *data, size_t size)
{
  static const char pattern[] = "HTTP/1.d sdd ";
  size_t length = strlen (pattern);
  for (size_t i = 0; i < size && reader->status_line_bytes < length; i++)
    {
      bool is_line_end = data[i] == '\r' || data[i] == '\n';
      if (reader->status_line_bytes == 0 && is_line_end)
        continue; /* The parser skips empty lines before a response. */
      char expected = pattern[reader->status_line_bytes];
      bool is_last = reader->status_line_bytes + 1U == length;
      bool matches = expected == 's'   ? data[i] >= '1' && data[i] <= '5'
                     : expected == 'd' ? g_ascii_isdigit (data[i])
                                       : data[i] == expected || (is_last && is_line_end);
      if (!matches)
        return false;
      reader->status_line_bytes++;
    }
  return true;
}

/* Parses data up to the end of the message. Stores in used how many bytes belonged to it;
 * the rest belongs to the next message. */
jd_http_progress_t
jd_http_reader_feed (jd_http_reader_t *reader, const char *data, size_t size,
                     size_t *used)
{
  *used = 0;
  if (reader->complete)
    return JD_HTTP_COMPLETE;
  if (size == 0)
    return JD_HTTP_MORE;
  reader->started = true;
  if (reader->parser.type == HTTP_RESPONSE && !check_status_line (reader, data, size))
    return JD_HTTP_MALFORMED;
  *used = http_parser_execute (&reader->parser, &parser_settings, data, size);
  if (reader->complete)
    return JD_HTTP_COMPLETE;
  if (reader->error != JD_HTTP_MORE)
    return reader->error;
  enum http_errno code = HTTP_PARSER_ERRNO (&reader->parser);
  if (code == HPE_HEADER_OVERFLOW)
    return JD_HTTP_HEAD_TOO_LARGE;
  return code == HPE_OK ? JD_HTTP_MORE : JD_HTTP_MALFORMED;
}

/* Handles an orderly close of the connection by the peer. This completes a response whose
 * body has no stated length; any other incomplete message is malformed. */
jd_http_progress_t
jd_http_reader_on_close (jd_http_reader_t *reader)
{
  if (!reader->complete)
    http_parser_execute (&reader->parser, &parser_settings, NULL, 0);
  return reader->complete ? JD_HTTP_COMPLETE : JD_HTTP_MALFORMED;
}

/* Returns the value of the first field with this name, ignoring case, or NULL if there is
 * none. The reader owns the value until its next restart. */
const char *
jd_http_reader_value (const jd_http_reader_t *reader, const char *name)
{
  size_t length = strlen (name);
  for (guint i = 0; i < reader->fields->len; i++)
    {
      const jd_http_field_t *field = &g_array_index (reader->fields, jd_http_field_t, i);
      if (field->name_len == length &&
          g_ascii_strncasecmp (reader->text->str + field->name_at, name, length) == 0)
        return field->value_at ? reader->text->str + field->value_at : "";
    }
  return NULL;
}

/* Returns the number of fields with this name, ignoring case. */
uint32_t
jd_http_reader_count (const jd_http_reader_t *reader, const char *name)
{
  uint32_t count = 0;
  size_t length = strlen (name);
  for (guint i = 0; i < reader->fields->len; i++)
    {
      const jd_http_field_t *field = &g_array_index (reader->fields, jd_http_field_t, i);
      count +=
          field->name_len == length &&
          g_ascii_strncasecmp (reader->text->str + field->name_at, name, length) == 0;
    }
  return count;
}

/* Parses the value of a field as an integer of at least 0. Returns FALSE, with number
 * unchanged, if the field is absent or holds anything else. */
bool
jd_http_reader_number (const jd_http_reader_t *reader, const char *name, int64_t *number)
{
  const char *value = jd_http_reader_value (reader, name);
  guint64 parsed = 0;
  if (!value || !g_ascii_string_to_unsigned (value, 10, 0, G_MAXINT64, &parsed, NULL))
    return false;
  *number = (int64_t)parsed;
  return true;
}

/* Returns TRUE if a field must not be forwarded: it applies to one connection only
 * (RFC 9110, 7.6.1), or to the message framing, which each connection sets anew. */
bool
jd_http_is_hop_header (const char *name)
{
  static const char *const names[] = { "connection",
                                       "content-length",
                                       "transfer-encoding",
                                       "keep-alive",
                                       "te",
                                       "trailer",
                                       "upgrade",
                                       "proxy-connection",
                                       "expect",
                                       "proxy-authenticate",
                                       "proxy-authorization" };
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      if (g_ascii_strcasecmp (name, names[i]) == 0)
        return true;
    }
  return false;
}

/* Returns TRUE if a comma-separated list, such as the value of Connection, contains a
 * name, ignoring case. The list may be NULL. */
bool
jd_http_list_contains (const char *list, const char *name)
{
  size_t length = strlen (name);
  for (const char *cursor = list; cursor && *cursor;)
    {
      cursor += strspn (cursor, ", \t");
      size_t item_length = strcspn (cursor, ", \t");
      if (item_length == length && g_ascii_strncasecmp (cursor, name, length) == 0)
        return true;
      cursor += item_length;
    }
  return false;
}
