#pragma once

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#define JD_RECORD_SCHEMA_MIN 1
#define JD_RECORD_SCHEMA_MAX 2
#define JD_RECORD_MAX_BYTES ((size_t)1024 * 1024)

#define JD_RECORD_ERROR (jd_record_error_quark ())
GQuark jd_record_error_quark (void);

/* Errors of JD_RECORD_ERROR. Messages start with the path of the invalid value, such as
 * "service.desk: shards[2].weight: must be at least 1, is -3". */
typedef enum jd_record_error
{
  JD_RECORD_ERROR_JSON,
  JD_RECORD_ERROR_SCHEMA_VERSION,
  JD_RECORD_ERROR_FIELD,
  JD_RECORD_ERROR_TOO_LARGE,
} jd_record_error_t;

/* The fields that every published record has. */
typedef struct jd_record_head
{
  uint32_t schema_version;
  uint64_t record_version;
  gboolean deleted;
} jd_record_head_t;

/* Parses the text of a record and reads its head. Returns a new reference to the JSON
 * object, or NULL with an error. */
json_t *jd_record_parse (const char *name, const char *text, size_t length,
                         jd_record_head_t *head, GError **error);
