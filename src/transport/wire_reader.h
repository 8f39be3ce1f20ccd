#pragma once

#include <glib.h>
#include <msgpack.h>
#include <stdint.h>

#include "base/name.h"

/* Reads the values of one msgpack message in order. After the first value that is not
 * as expected every read returns zero and failure is set, so that a caller checks once
 * at the end. */
typedef struct jd_wire_reader
{
  const char *bytes;
  size_t length_bytes;
  size_t offset_bytes;
  msgpack_zone zone;
  const char *failure; /* NULL while all values were good; else what was wrong. */
} jd_wire_reader_t;

void jd_wire_reader_init (jd_wire_reader_t *reader, const void *bytes,
                          size_t length_bytes);
void jd_wire_reader_clear (jd_wire_reader_t *reader);
void jd_wire_reader_fail (jd_wire_reader_t *reader, const char *failure);

uint64_t jd_wire_read_unsigned (jd_wire_reader_t *reader, uint64_t max);
int64_t jd_wire_read_signed (jd_wire_reader_t *reader);
double jd_wire_read_double (jd_wire_reader_t *reader);
uint8_t jd_wire_read_boolean (jd_wire_reader_t *reader);
void jd_wire_read_name (jd_wire_reader_t *reader, jd_name_t name);
/* The text is NULL for nil; free with g_free. */
char *jd_wire_read_text (jd_wire_reader_t *reader);
/* Bytes with a final zero that is not counted; NULL for nil; free with g_free. */
char *jd_wire_read_bytes (jd_wire_reader_t *reader, uint32_t *length_bytes);

/* The number of elements of an array. */
uint32_t jd_wire_read_array (jd_wire_reader_t *reader, uint32_t max);
/* Fails unless an array has exactly this number of elements. */
void jd_wire_read_tuple (jd_wire_reader_t *reader, uint32_t elements);
/* Reads the length of a list and allocates its zeroed items; each item takes at least
 * min_bytes of the message. Returns NULL for an empty list. */
void *jd_wire_read_list (jd_wire_reader_t *reader, uint32_t max, uint32_t min_bytes,
                         size_t item_size_bytes, uint32_t *count);
