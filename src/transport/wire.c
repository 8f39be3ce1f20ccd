#include "transport/wire.h"

#include <string.h>

#include "transport/wire_body.h"

/* Type, version and sender. */
#define HEADER_ELEMENTS 3

/* Error domain of jd_wire_decode. */
GQuark
jd_wire_error_quark (void)
{
  return g_quark_from_static_string ("jd-wire-error-quark");
}

/* Encodes [type, version, sender, element, ...] with the elements of the type. */
void *
jd_wire_encode (const jd_message_t *message, size_t *length_bytes)
{
  msgpack_sbuffer buffer;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer packer;
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, HEADER_ELEMENTS + jd_wire_body_elements (message->type));
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

/* Sets the error, clears the message and returns FALSE. */
static gboolean
reject_message (jd_message_t *message, GError **error, jd_wire_error_t code,
                const char *reason)
{
  g_set_error (error, JD_WIRE_ERROR, code, "message type %d: %s", (int)message->type,
               reason);
  jd_message_clear (message);
  return FALSE;
}

/* Reads the outer array: type, version and sender, then the elements of the body. */
static gboolean
decode_message (jd_wire_reader_t *reader, jd_message_t *message, GError **error)
{
  uint32_t elements = jd_wire_read_array (reader, UINT32_MAX);
  uint64_t type = jd_wire_read_unsigned (reader, INT32_MAX);
  uint64_t version = jd_wire_read_unsigned (reader, UINT64_MAX);
  if (reader->failure)
    return reject_message (message, error, JD_WIRE_ERROR_MALFORMED, reader->failure);
  if (version != JD_WIRE_VERSION)
    return reject_message (message, error, JD_WIRE_ERROR_VERSION,
                           "unsupported wire version");
  uint32_t body_elements = jd_wire_body_elements ((jd_message_type_t)type);
  if (body_elements == 0)
    return reject_message (message, error, JD_WIRE_ERROR_TYPE, "unknown message type");
  message->type = (jd_message_type_t)type;
  jd_wire_read_name (reader, message->sender);
  if (elements != HEADER_ELEMENTS + body_elements)
    jd_wire_reader_fail (reader, "unexpected number of elements in the message");
  jd_wire_read_body (reader, message);
  if (!reader->failure && reader->offset_bytes != reader->length_bytes)
    jd_wire_reader_fail (reader, "trailing bytes after the message");
  if (reader->failure)
    return reject_message (message, error, JD_WIRE_ERROR_MALFORMED, reader->failure);
  return TRUE;
}

/* Accepts only exactly one message of the expected form. */
gboolean
jd_wire_decode (const void *bytes, size_t length_bytes, jd_message_t *message,
                GError **error)
{
  *message = (jd_message_t){ 0 };
  jd_wire_reader_t reader;
  jd_wire_reader_init (&reader, bytes, length_bytes);
  gboolean decoded = decode_message (&reader, message, error);
  jd_wire_reader_clear (&reader);
  return decoded;
}

/* Frees the contents of the message and zeroes it. */
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
    default: /* The other types own no memory. */
      break;
    }
  *message = (jd_message_t){ 0 };
}
