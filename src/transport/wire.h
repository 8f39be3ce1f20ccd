#pragma once

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "limits/token_defs.h"
#include "membership/gossip_defs.h"
#include "membership/lease_defs.h"
#include "routing/work_defs.h"

#define JD_WIRE_VERSION 1

#define JD_WIRE_ERROR (jd_wire_error_quark ())
GQuark jd_wire_error_quark (void);

typedef enum jd_wire_error
{
  JD_WIRE_ERROR_MALFORMED,
  JD_WIRE_ERROR_VERSION,
  JD_WIRE_ERROR_TYPE,
} jd_wire_error_t;

typedef enum jd_message_type
{
  JD_MESSAGE_HELLO = 1,
  JD_MESSAGE_HELLO_ACK = 2,
  JD_MESSAGE_WORK = 3,
  JD_MESSAGE_WORK_RESULT = 4,
  JD_MESSAGE_CANCEL = 5,
  JD_MESSAGE_TARGET_STATE = 6,
  JD_MESSAGE_HEARTBEAT = 7,
  JD_MESSAGE_HEARTBEAT_ACK = 8,
  JD_MESSAGE_TOKEN_REQUEST = 9,
  JD_MESSAGE_TOKEN_GRANT = 10,
  JD_MESSAGE_DIGEST = 11,
  JD_MESSAGE_RECORD_PUSH = 12,
  JD_MESSAGE_RECORD_REQUEST = 13,
} jd_message_type_t;

typedef struct jd_hello
{
  jd_name_t member;
  uint64_t incarnation;
} jd_hello_t;

typedef struct jd_hello_ack
{
  jd_name_t member;
  uint64_t incarnation;
  int64_t broker_clock_us;
  uint8_t draining;
} jd_hello_ack_t;

typedef struct jd_cancel
{
  uint32_t attempt_count;
  uint64_t *attempt_ids;
} jd_cancel_t;

typedef struct jd_target_state
{
  int64_t broker_clock_us;
  uint32_t target_count;
  jd_target_status_t *targets; /* Targets that the sender owns. */
} jd_target_state_t;

/* A message between two processes of the system; type selects the member of the union. */
typedef struct jd_message
{
  jd_message_type_t type;
  jd_name_t sender; /* Member name; set by the sender's peer link. */
  union
  {
    jd_hello_t hello;
    jd_hello_ack_t hello_ack;
    jd_work_t work;
    jd_work_result_t work_result;
    jd_cancel_t cancel;
    jd_target_state_t target_state;
    jd_heartbeat_t heartbeat;
    jd_heartbeat_ack_t heartbeat_ack;
    jd_token_request_t token_request;
    jd_token_grant_t token_grant;
    jd_digest_t digest;
    jd_record_push_t record_push;
    jd_record_request_t record_request;
  };
} jd_message_t;

/* Encodes a message as a msgpack array; free the bytes with g_free. */
void *jd_wire_encode (const jd_message_t *message, size_t *length_bytes);

/* Decodes a message, which the caller frees with jd_message_clear. Returns FALSE with an
 * error if the input is malformed or has an unknown version or type; the message is then
 * empty. */
gboolean jd_wire_decode (const void *bytes, size_t length_bytes, jd_message_t *message,
                         GError **error);
void jd_message_clear (jd_message_t *message);
