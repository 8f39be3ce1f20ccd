#pragma once

#include "config/record.h"

/* Reads the fields of one record and keeps the first error with its path. A read of an
 * invalid field returns a usable value, so that parsers need one check at the end. */
typedef struct jd_record_reader
{
  GString *path;       /* Path of the current object, such as "name: shards[2]". */
  gsize prefix_length; /* Bytes of "name: " in path. */
  gboolean refuses_unknown_fields; /* TRUE if unknown fields are refused. */
  GError *error;                   /* The first error, or NULL. */
} jd_record_reader_t;

/* Length of the path of a reader before it entered an array element. */
typedef gsize jd_reader_mark_t;

void jd_record_reader_init (jd_record_reader_t *reader, const char *name,
                            const jd_record_head_t *head);
gboolean jd_record_reader_finish (jd_record_reader_t *reader, GError **error);

jd_reader_mark_t jd_record_reader_enter (jd_record_reader_t *reader, const char *field,
                                         size_t index);
void jd_record_reader_leave (jd_record_reader_t *reader, jd_reader_mark_t mark);
void jd_record_reader_set_error (jd_record_reader_t *reader, const char *field,
                                 const char *format, ...) G_GNUC_PRINTF (3, 4);

void jd_record_reader_check_fields (jd_record_reader_t *reader, json_t *object,
                                    const char *const *fields);
json_t *jd_record_reader_array (jd_record_reader_t *reader, json_t *object,
                                const char *field, size_t min, size_t max);
char *jd_record_reader_name (jd_record_reader_t *reader, json_t *object,
                             const char *field);
char *jd_record_reader_address (jd_record_reader_t *reader, json_t *object,
                                const char *field);
int jd_record_reader_choice (jd_record_reader_t *reader, json_t *object,
                             const char *field, const char *const *choices,
                             int default_choice);
gboolean jd_record_reader_flag (jd_record_reader_t *reader, json_t *object,
                                const char *field);
uint64_t jd_record_reader_integer (jd_record_reader_t *reader, json_t *object,
                                   const char *field, uint64_t min, uint64_t max);
uint64_t jd_record_reader_integer_or (jd_record_reader_t *reader, json_t *object,
                                      const char *field, uint64_t min, uint64_t max,
                                      uint64_t default_value);
double jd_record_reader_number (jd_record_reader_t *reader, json_t *object,
                                const char *field, double min, double max);
double jd_record_reader_number_or (jd_record_reader_t *reader, json_t *object,
                                   const char *field, double min, double max,
                                   double default_value);
void jd_record_reader_check_unique (jd_record_reader_t *reader, GHashTable *seen,
                                    const char *field, const char *value);

gboolean jd_record_is_name (const char *text);
gboolean jd_record_is_address (const char *text);
