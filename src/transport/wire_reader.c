#include "transport/wire_reader.h"

#include <math.h>
#include <string.h>

/* Starts reading a message. The bytes must outlive the reader. */
void
jd_wire_reader_init (jd_wire_reader_t *reader, const void *bytes, size_t length_bytes)
{
  *reader = (jd_wire_reader_t){ .bytes = bytes, .length_bytes = length_bytes };
  msgpack_zone_init (&reader->zone, 64);
}

/* Frees what the reader holds. */
void
jd_wire_reader_clear (jd_wire_reader_t *reader)
{
  msgpack_zone_destroy (&reader->zone);
}

/* Records the first failure; later ones follow from it and are ignored. */
void
jd_wire_reader_fail (jd_wire_reader_t *reader, const char *failure)
{
  if (!reader->failure)
    reader->failure = failure;
}

/* Returns TRUE when the first byte of a msgpack value begins an array or a map. The
 * codec would allocate what such a header claims, before it checks that the message is
 * that long. */
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
      jd_wire_reader_fail (reader, "container in place of a scalar");
      return FALSE;
    }
  msgpack_unpack_return result = msgpack_unpack (
      reader->bytes, reader->length_bytes, &reader->offset_bytes, &reader->zone, value);
  if (result != MSGPACK_UNPACK_SUCCESS && result != MSGPACK_UNPACK_EXTRA_BYTES)
    {
      jd_wire_reader_fail (reader, "value is cut short or malformed");
      return FALSE;
    }
  return TRUE;
}

/* Reads an unsigned integer of at most max. */
uint64_t
jd_wire_read_unsigned (jd_wire_reader_t *reader, uint64_t max)
{
  msgpack_object value;
  if (!read_scalar (reader, &value))
    return 0;
  if (value.type != MSGPACK_OBJECT_POSITIVE_INTEGER || value.via.u64 > max)
    {
      jd_wire_reader_fail (reader, "unsigned integer expected or out of range");
      return 0;
    }
  return value.via.u64;
}

/* Reads a signed integer. */
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
  jd_wire_reader_fail (reader, "signed integer expected or out of range");
  return 0;
}

/* Reads a finite number; others would break the order of hits. */
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

/* Returns TRUE for a text without zero bytes. */
static gboolean
is_text (const msgpack_object *value)
{
  return value->type == MSGPACK_OBJECT_STR &&
         (value->via.str.size == 0 ||
          !memchr (value->via.str.ptr, '\0', value->via.str.size));
}

/* Reads a text without zero bytes that fits a name; it may be empty. */
void
jd_wire_read_name (jd_wire_reader_t *reader, jd_name_t name)
{
  msgpack_object value;
  name[0] = '\0';
  if (!read_scalar (reader, &value))
    return;
  if (!is_text (&value) || value.via.str.size >= JD_NAME_SIZE)
    {
      jd_wire_reader_fail (reader, "name expected or too long");
      return;
    }
  /* The codec gives a NULL pointer for an empty text. */
  if (value.via.str.size > 0)
    memcpy (name, value.via.str.ptr, value.via.str.size);
  name[value.via.str.size] = '\0';
}

/* Reads a text without zero bytes, or nil. */
char *
jd_wire_read_text (jd_wire_reader_t *reader)
{
  msgpack_object value;
  if (!read_scalar (reader, &value) || value.type == MSGPACK_OBJECT_NIL)
    return NULL;
  if (!is_text (&value))
    {
      jd_wire_reader_fail (reader, "text expected");
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

/* Reads a big-endian integer of some bytes that follow an array header. */
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

/* Reads an array header. It is read here and not by the codec because only its size is
 * wanted before anything is allocated. */
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
    jd_wire_reader_fail (reader, "array is too long");
  return reader->failure ? 0 : size;
}

/* Reads the header of an array whose size is fixed by the protocol version. */
void
jd_wire_read_tuple (jd_wire_reader_t *reader, uint32_t elements)
{
  if (jd_wire_read_array (reader, UINT32_MAX) != elements)
    jd_wire_reader_fail (reader, "array has another number of elements");
}

/* Reads the header of a list. Memory is bounded by the bytes that are really there. */
void *
jd_wire_read_list (jd_wire_reader_t *reader, uint32_t max, uint32_t min_bytes,
                   size_t item_size_bytes, uint32_t *count)
{
  *count = 0;
  uint32_t size = jd_wire_read_array (reader, max);
  size_t left_bytes = reader->length_bytes - reader->offset_bytes;
  if (!reader->failure && (uint64_t)size * min_bytes > left_bytes)
    jd_wire_reader_fail (reader, "message is too short");
  if (reader->failure || size == 0)
    return NULL;
  *count = size;
  return g_malloc0_n (size, item_size_bytes);
}
