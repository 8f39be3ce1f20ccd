#pragma once

#include <glib.h>
#include <msgpack.h>
#include <stdint.h>

#include "base/name.h"

/* Reads the values of one msgpack message in order. The first value of an unexpected type
 * or range sets failure; every later read returns 0 or NULL. The caller therefore checks
 * failure once, after the last read. */
typedef struct jd_wire_reader
{
  const char *bytes;
  size_t length_bytes;
  size_t offset_bytes;
  msgpack_zone zone;
  const char *failure; /* Describes the first bad value; NULL if there was none. */
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
/* Returns NULL for nil; free the text with g_free. */
char *jd_wire_read_text (jd_wire_reader_t *reader);
/* Returns the bytes followed by a zero byte that length_bytes does not count, or NULL for
 * nil; free them with g_free. */
char *jd_wire_read_bytes (jd_wire_reader_t *reader, uint32_t *length_bytes);

/* Returns the number of elements of the array, at most max. */
uint32_t jd_wire_read_array (jd_wire_reader_t *reader, uint32_t max);
/* Sets failure unless the array has exactly this number of elements. */
void jd_wire_read_tuple (jd_wire_reader_t *reader, uint32_t elements);
/* Reads the length of a list and allocates that many zeroed items of item_size_bytes. The
 * caller reads the items, of which each takes at least min_bytes of the message. Returns
 * NULL for an empty list; free the items with g_free. */
void *jd_wire_read_list (jd_wire_reader_t *reader, uint32_t max, uint32_t min_bytes,
                         size_t item_size_bytes, uint32_t *count);
