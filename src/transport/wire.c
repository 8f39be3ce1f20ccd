#include "transport/wire.h"

#include <string.h>

#include "transport/wire_body.h"

/* Type, version and sender. */
#define HEAD_ELEMENTS 3

/* Returns the error domain of decoding. */
GQuark
jd_wire_error_quark (void)
{
  return g_quark_from_static_string ("jd-wire-error-quark");
}

/* Encodes [type, version, sender, elements]. */
void *
jd_wire_encode (const jd_message_t *message, size_t *length_bytes)
{
  msgpack_sbuffer buffer;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer packer;
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, HEAD_ELEMENTS + jd_wire_body_elements (message->type));
  msgpack_pack_uint32 (&packer, message->type);
  msgpack_pack_uint32 (&packer, JD_WIRE_VERSION);
  size_t sender_length = strlen (message->sender);
  msgpack_pack_str_with_body (&packer, message->sender, sender_length);
  jd_wire_write_body (&packer, message);
  *length_bytes = buffer.size;
  void *bytes = g_memdup2 (buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return bytes;
}

/* Sets the error of a message that is dropped; returns FALSE. */
static gboolean
refuse (jd_message_t *message, GError **error, jd_wire_error_t code, const char *reason)
{
  g_set_error (error, JD_WIRE_ERROR, code, "message type %d: %s", (int)message->type,
               reason);
  jd_message_clear (message);
  return FALSE;
}

/* Reads type, version, sender and size of the outer array, then the body. */
static gboolean
decode (jd_wire_reader_t *reader, jd_message_t *message, GError **error)
{
  uint32_t elements = jd_wire_read_array (reader, UINT32_MAX);
  uint64_t type = jd_wire_read_unsigned (reader, INT32_MAX);
  uint64_t version = jd_wire_read_unsigned (reader, UINT64_MAX);
  if (reader->failure)
    return refuse (message, error, JD_WIRE_ERROR_MALFORMED, reader->failure);
  if (version != JD_WIRE_VERSION)
    return refuse (message, error, JD_WIRE_ERROR_VERSION, "unknown version");
  uint32_t body_elements = jd_wire_body_elements ((jd_message_type_t)type);
  if (body_elements == 0)
    return refuse (message, error, JD_WIRE_ERROR_TYPE, "unknown type");
  message->type = (jd_message_type_t)type;
  jd_wire_read_name (reader, message->sender);
  if (elements != HEAD_ELEMENTS + body_elements)
    jd_wire_reader_fail (reader, "array has another number of elements");
  jd_wire_read_body (reader, message);
  if (!reader->failure && reader->offset_bytes != reader->length_bytes)
    jd_wire_reader_fail (reader, "bytes after the end");
  if (reader->failure)
    return refuse (message, error, JD_WIRE_ERROR_MALFORMED, reader->failure);
  return TRUE;
}

/* Decodes one message; anything but exactly the expected values is refused. */
gboolean
jd_wire_decode (const void *bytes, size_t length_bytes, jd_message_t *message,
                GError **error)
{
  *message = (jd_message_t){ 0 };
  jd_wire_reader_t reader;
  jd_wire_reader_init (&reader, bytes, length_bytes);
  gboolean decoded = decode (&reader, message, error);
  jd_wire_reader_clear (&reader);
  return decoded;
}

/* Frees what a message owns and makes it empty. */
void
jd_message_clear (jd_message_t *message)
{
  switch (message->type)
    {
    case JD_MESSAGE_WORK:
      jd_work_clear (&message->work);
      break;
    case JD_MESSAGE_WORK_RESULT:
      jd_work_result_clear (&message->work_result);
      break;
    case JD_MESSAGE_CANCEL:
      g_free (message->cancel.attempt_ids);
      break;
    case JD_MESSAGE_TARGET_STATE:
      g_free (message->target_state.targets);
      break;
    case JD_MESSAGE_DIGEST:
      g_free (message->digest.entries);
      break;
    case JD_MESSAGE_RECORD_PUSH:
      g_free (message->record_push.text);
      break;
    default: /* The other types own nothing. */
      break;
    }
  *message = (jd_message_t){ 0 };
}
