#include "transport/wire_reader.h"

#include <math.h>
#include <string.h>

/* Starts at the first value of a message. The bytes must outlive the reader. */
void
jd_wire_reader_init (jd_wire_reader_t *reader, const void *bytes, size_t length_bytes)
{
  *reader = (jd_wire_reader_t){ .bytes = bytes, .length_bytes = length_bytes };
  msgpack_zone_init (&reader->zone, 64);
}

/* Frees the memory of the reader; the message bytes belong to the caller. */
void
jd_wire_reader_clear (jd_wire_reader_t *reader)
{
  msgpack_zone_destroy (&reader->zone);
}

/* Records the first failure; the text must outlive the reader. Later failures are ignored
 * because they result from the first. */
void
jd_wire_reader_fail (jd_wire_reader_t *reader, const char *failure)
{
  if (!reader->failure)
    reader->failure = failure;
}

/* Returns TRUE if the first byte of a msgpack value starts an array or a map. The codec
 * allocates memory for as many elements as the header claims before it checks that the
 * message is that long, so such values must not reach it. */
static gboolean
is_container (uint8_t first)
{
  return (first >= 0x80 && first <= 0x9f) || (first >= 0xdc && first <= 0xdf);
}

/* Reads the next scalar into value. Returns FALSE on failure. */
static gboolean
read_scalar (jd_wire_reader_t *reader, msgpack_object *value)
{
  if (reader->failure)
    return FALSE;
  if (reader->offset_bytes >= reader->length_bytes)
    {
      jd_wire_reader_fail (reader, "message is too short");
      return FALSE;
    }
  uint8_t first = (uint8_t)reader->bytes[reader->offset_bytes];
  if (is_container (first))
    {
      jd_wire_reader_fail (reader, "scalar expected, but the value is an array or a map");
      return FALSE;
    }
  msgpack_unpack_return result = msgpack_unpack (
      reader->bytes, reader->length_bytes, &reader->offset_bytes, &reader->zone, value);
  if (result != MSGPACK_UNPACK_SUCCESS && result != MSGPACK_UNPACK_EXTRA_BYTES)
    {
      jd_wire_reader_fail (reader, "value is truncated or malformed");
      return FALSE;
    }
  return TRUE;
}

/* Reads an unsigned integer; a value above max is a failure. */
uint64_t
jd_wire_read_unsigned (jd_wire_reader_t *reader, uint64_t max)
{
  msgpack_object value;
  if (!read_scalar (reader, &value))
    return 0;
  if (value.type != MSGPACK_OBJECT_POSITIVE_INTEGER || value.via.u64 > max)
    {
      jd_wire_reader_fail (reader, "unsigned integer expected, or value out of range");
      return 0;
    }
  return value.via.u64;
}

/* Reads an integer that fits 64 bits with a sign. */
int64_t
jd_wire_read_signed (jd_wire_reader_t *reader)
{
  msgpack_object value;
  if (!read_scalar (reader, &value))
    return 0;
  if (value.type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    return value.via.i64;
  if (value.type == MSGPACK_OBJECT_POSITIVE_INTEGER && value.via.u64 <= INT64_MAX)
    return (int64_t)value.via.u64;
  jd_wire_reader_fail (reader, "signed integer expected, or value out of range");
  return 0;
}

/* Reads a 64-bit float. NaN and infinity are failures because hits are sorted by such
 * values. */
double
jd_wire_read_double (jd_wire_reader_t *reader)
{
  msgpack_object value;
  if (!read_scalar (reader, &value))
    return 0.0;
  if (value.type != MSGPACK_OBJECT_FLOAT64 || !isfinite (value.via.f64))
    {
      jd_wire_reader_fail (reader, "finite number expected");
      return 0.0;
    }
  return value.via.f64;
}

/* Reads a boolean as 0 or 1. */
uint8_t
jd_wire_read_boolean (jd_wire_reader_t *reader)
{
  msgpack_object value;
  if (!read_scalar (reader, &value))
    return 0;
  if (value.type != MSGPACK_OBJECT_BOOLEAN)
    {
      jd_wire_reader_fail (reader, "boolean expected");
      return 0;
    }
  return value.via.boolean ? 1 : 0;
}

/* Returns TRUE if the value is a string without zero bytes. */
static gboolean
is_text (const msgpack_object *value)
{
  return value->type == MSGPACK_OBJECT_STR &&
         (value->via.str.size == 0 ||
          !memchr (value->via.str.ptr, '\0', value->via.str.size));
}

/* Reads a string without zero bytes that fits jd_name_t; it may be empty. On failure the
 * name is empty. */
void
jd_wire_read_name (jd_wire_reader_t *reader, jd_name_t name)
{
  msgpack_object value;
  name[0] = '\0';
  if (!read_scalar (reader, &value))
    return;
  if (!is_text (&value) || value.via.str.size >= JD_NAME_SIZE)
    {
      jd_wire_reader_fail (reader, "name expected, or name too long");
      return;
    }
  /* The codec returns a NULL pointer for an empty string. */
  if (value.via.str.size > 0)
    memcpy (name, value.via.str.ptr, value.via.str.size);
  name[value.via.str.size] = '\0';
}

/* Reads a string without zero bytes, or nil. */
char *
jd_wire_read_text (jd_wire_reader_t *reader)
{
  msgpack_object value;
  if (!read_scalar (reader, &value) || value.type == MSGPACK_OBJECT_NIL)
    return NULL;
  if (!is_text (&value))
    {
      jd_wire_reader_fail (reader, "text without zero bytes expected");
      return NULL;
    }
  return value.via.str.size == 0 ? g_strdup ("")
                                 : g_strndup (value.via.str.ptr, value.via.str.size);
}

/* Reads a byte string of any content, or nil. */
char *
jd_wire_read_bytes (jd_wire_reader_t *reader, uint32_t *length_bytes)
{
  msgpack_object value;
  *length_bytes = 0;
  if (!read_scalar (reader, &value) || value.type == MSGPACK_OBJECT_NIL)
    return NULL;
  if (value.type != MSGPACK_OBJECT_BIN)
    {
      jd_wire_reader_fail (reader, "byte string expected");
      return NULL;
    }
  char *bytes = g_malloc ((gsize)value.via.bin.size + 1);
  if (value.via.bin.size > 0)
    memcpy (bytes, value.via.bin.ptr, value.via.bin.size);
  bytes[value.via.bin.size] = '\0';
  *length_bytes = value.via.bin.size;
  return bytes;
}

/* Reads the element count of an array: a big-endian integer of size_bytes after the first
 * byte of the header. */
static uint32_t
read_array_size (jd_wire_reader_t *reader, uint32_t size_bytes)
{
  if (reader->length_bytes - reader->offset_bytes < size_bytes)
    {
      jd_wire_reader_fail (reader, "message is too short");
      return 0;
    }
  uint32_t size = 0;
  for (uint32_t i = 0; i < size_bytes; i++)
    size = size << 8 | (uint8_t)reader->bytes[reader->offset_bytes++];
  return size;
}

/* Reads an array header without the codec, which would allocate memory for as many
 * elements as the header claims. */
uint32_t
jd_wire_read_array (jd_wire_reader_t *reader, uint32_t max)
{
  if (reader->failure)
    return 0;
  if (reader->offset_bytes >= reader->length_bytes)
    {
      jd_wire_reader_fail (reader, "message is too short");
      return 0;
    }
  uint8_t first = (uint8_t)reader->bytes[reader->offset_bytes++];
  uint32_t size = 0;
  if (first >= 0x90 && first <= 0x9f)
    size = first & 0x0f;
  else if (first == 0xdc)
    size = read_array_size (reader, 2);
  else if (first == 0xdd)
    size = read_array_size (reader, 4);
  else
    jd_wire_reader_fail (reader, "array expected");
  if (size > max)
    jd_wire_reader_fail (reader, "array has more elements than allowed");
  return reader->failure ? 0 : size;
}

/* Reads the header of an array whose number of elements the protocol version fixes. */
void
jd_wire_read_tuple (jd_wire_reader_t *reader, uint32_t elements)
{
  if (jd_wire_read_array (reader, UINT32_MAX) != elements)
    jd_wire_reader_fail (reader, "array has an unexpected number of elements");
}

/* Reads the header of a list. A list whose items cannot fit the rest of the message is a
 * failure, so a short message cannot cause a large allocation. */
void *
jd_wire_read_list (jd_wire_reader_t *reader, uint32_t max, uint32_t min_bytes,
                   size_t item_size_bytes, uint32_t *count)
{
  *count = 0;
  uint32_t size = jd_wire_read_array (reader, max);
  size_t remaining_bytes = reader->length_bytes - reader->offset_bytes;
  if (!reader->failure && (uint64_t)size * min_bytes > remaining_bytes)
    jd_wire_reader_fail (reader, "message is too short");
  if (reader->failure || size == 0)
    return NULL;
  *count = size;
  return g_malloc0_n (size, item_size_bytes);
}
