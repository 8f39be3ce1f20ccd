#pragma once

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum jd_http_progress
{
  JD_HTTP_MORE,     /* The message is incomplete; more bytes are needed. */
  JD_HTTP_COMPLETE, /* The message was read to its end. */
  JD_HTTP_HEAD_TOO_LARGE,
  JD_HTTP_BODY_TOO_LARGE,
  JD_HTTP_MALFORMED,
} jd_http_progress_t;

/* One header field, as offsets into the text of the reader. Names and values end with a
 * zero byte that their lengths do not count. */
typedef struct jd_http_field
{
  uint32_t name_at;
  uint32_t name_len;
  uint32_t value_at;
  uint32_t value_len;
} jd_http_field_t;

/* Parses one HTTP/1 message incrementally. Used for requests of callers and for responses
 * of targets and of the platform. Header bytes are stored as they were sent; a chunked
 * body is decoded. */
typedef struct jd_http_reader
{
  http_parser parser;
  GString *text; /* Request target, then header names and values. */
  GString *body;
  GArray *fields;              /* jd_http_field_t */
  uint32_t request_target_len; /* Length of the request target, at the start of text. */
  uint32_t head_limit_bytes;
  uint32_t body_limit_bytes;
  uint8_t status_line_bytes; /* Bytes of a response's status line that were checked. */
  bool answers_head_request; /* The message answers a HEAD request and has no body. */
  bool in_value;             /* The last header callback was for a value. */
  bool head_complete;
  bool complete;
  bool keep_alive;
  bool started; /* At least one byte of the message has been received. */
  jd_http_progress_t error;
} jd_http_reader_t;

void jd_http_reader_init (jd_http_reader_t *reader, enum http_parser_type type,
                          uint32_t head_limit_bytes, uint32_t body_limit_bytes);
void jd_http_reader_clear (jd_http_reader_t *reader);
void jd_http_reader_restart (jd_http_reader_t *reader);
uint64_t jd_http_reader_held_bytes (const jd_http_reader_t *reader);
jd_http_progress_t jd_http_reader_feed (jd_http_reader_t *reader, const char *data,
                                        size_t size, size_t *used);
jd_http_progress_t jd_http_reader_on_close (jd_http_reader_t *reader);
const char *jd_http_reader_value (const jd_http_reader_t *reader, const char *name);
bool jd_http_reader_number (const jd_http_reader_t *reader, const char *name,
                            int64_t *number);
uint32_t jd_http_reader_count (const jd_http_reader_t *reader, const char *name);
bool jd_http_is_hop_header (const char *name);
bool jd_http_list_contains (const char *list, const char *name);
