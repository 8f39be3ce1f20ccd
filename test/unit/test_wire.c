#include "transport/wire.h"

#include <string.h>

#include "base/rng.h"
#include "support/test_main.h"

/* Returns a message of the type with its lists, strings and extreme numbers set. Pointers
 * refer to static memory, so the samples must not be cleared. */
static jd_message_t
sample_message (jd_message_type_t type)
{
  static jd_work_item_t items[] = { { 1, "t0", "s0" }, { UINT64_MAX, "t1", "s1" } };
  static jd_hit_t hits[] = { { "a", 1.5, "{}" }, { "b", -2.0, NULL } };
  static jd_work_outcome_t outcomes[] = {
    { .attempt_id = 9,
      .target = "t0",
      .shard = "s0",
      .snapshot = 3,
      .target_limit = 2,
      .target_load = 70000,
      .hit_count = 2,
      .hits = hits },
    { .attempt_id = 10, .code = JD_TARGET_SHED, .ran = JD_RAN_UNKNOWN, .queue_us = -1 },
  };
  static uint64_t attempt_ids[] = { 1, 200, 70000, UINT64_MAX };
  static jd_target_status_t targets[] = {
    { "t0", 2, 1, 70000, 1, 0, 4, { 9, 8, 7, UINT64_MAX } }, { .draining = 1 }
  };
  static jd_digest_entry_t entries[] = { { "keys", 3, UINT64_MAX } };
  jd_message_t message = { .type = type, .sender = "a-entry-0" };
  switch (type)
    {
    case JD_MESSAGE_HELLO:
      message.hello = (jd_hello_t){ "a-entry-0", UINT64_MAX };
      break;
    case JD_MESSAGE_HELLO_ACK:
      message.hello_ack = (jd_hello_ack_t){ "a-broker-0", 7, INT64_MAX, 1 };
      break;
    case JD_MESSAGE_WORK:
      message.work = (jd_work_t){ .query_id = 5,
                                  .kind = JD_WORK_EDIT,
                                  .organisation = "hospital",
                                  .deadline_us = INT64_MIN,
                                  .receiver_incarnation = UINT64_MAX,
                                  .limit = 4,
                                  .busy_wait_count = 6,
                                  .text = (char *)"id",
                                  .body = (char *)"{\0}",
                                  .body_bytes = 3,
                                  .item_count = 2,
                                  .items = items };
      break;
    case JD_MESSAGE_WORK_RESULT:
      message.work_result = (jd_work_result_t){ 5, -3, 2, outcomes };
      break;
    case JD_MESSAGE_CANCEL:
      message.cancel = (jd_cancel_t){ 4, attempt_ids };
      break;
    case JD_MESSAGE_TARGET_STATE:
      message.target_state = (jd_target_state_t){ 12, 2, targets };
      break;
    case JD_MESSAGE_HEARTBEAT:
      message.heartbeat = (jd_heartbeat_t){ "x", 1, -1, JD_MEMBER_RELEASED };
      break;
    case JD_MESSAGE_HEARTBEAT_ACK:
      message.heartbeat_ack = (jd_heartbeat_ack_t){
        "x",
        1,
        "y",
        2,
        3,
        2,
        { { "x", 5, JD_MEMBER_DRAINING }, { "y", 0, JD_MEMBER_ACTIVE } }
      };
      break;
    case JD_MESSAGE_TOKEN_REQUEST:
      message.token_request = (jd_token_request_t){ "hospital", 4, JD_MICROTOKENS, 6, 7 };
      break;
    case JD_MESSAGE_TOKEN_GRANT:
      message.token_grant = (jd_token_grant_t){ "hospital", 4, JD_MICROTOKENS, 6, 8 };
      break;
    case JD_MESSAGE_DIGEST:
      message.digest = (jd_digest_t){ -1, 1, entries };
      break;
    case JD_MESSAGE_RECORD_PUSH:
      message.record_push = (jd_record_push_t){ "keys", (char *)"{ }", 3 };
      break;
    case JD_MESSAGE_RECORD_REQUEST:
      message.record_request = (jd_record_request_t){ "keys" };
      break;
    }
  return message;
}

/* Decodes a heap copy of exactly the given length, so that AddressSanitizer detects a
 * read past the end, and encodes the result again. Returns FALSE if decoding fails. */
static gboolean
decode_copy (const uint8_t *bytes, size_t length, void **reencoded,
             size_t *reencoded_length)
{
  uint8_t *copy = g_memdup2 (bytes, length);
  jd_message_t message;
  GError *error = NULL;
  gboolean decoded = jd_wire_decode (copy, length, &message, &error);
  g_free (copy);
  CU_ASSERT_EQUAL (decoded, error == NULL);
  g_clear_error (&error);
  if (decoded && reencoded && reencoded_length)
    *reencoded = jd_wire_encode (&message, reencoded_length);
  jd_message_clear (&message);
  return decoded;
}

/* Guards against a field that the encoder writes and the decoder does not read, against
 * out-of-bounds reads, and against truncated messages that are accepted. */
static void
every_type_round_trips_and_no_prefix_is_accepted (void)
{
  for (int type = JD_MESSAGE_HELLO; type <= JD_MESSAGE_RECORD_REQUEST; type++)
    {
      jd_message_t message = sample_message ((jd_message_type_t)type);
      size_t length;
      size_t reencoded_length = 0;
      void *reencoded = NULL;
      uint8_t *bytes = jd_wire_encode (&message, &length);
      CU_ASSERT (decode_copy (bytes, length, &reencoded, &reencoded_length));
      CU_ASSERT (reencoded && length == reencoded_length &&
                 memcmp (bytes, reencoded, length) == 0);
      for (size_t prefix_length = 0; prefix_length < length; prefix_length++)
        CU_ASSERT_FALSE (decode_copy (bytes, prefix_length, NULL, NULL));
      g_free (reencoded);
      g_free (bytes);
    }
}

/* Returns an encoded and decoded sample; clear with jd_message_clear. */
static jd_message_t
decoded_sample (jd_message_type_t type)
{
  jd_message_t sent = sample_message (type);
  jd_message_t message;
  size_t length;
  void *bytes = jd_wire_encode (&sent, &length);
  CU_ASSERT (jd_wire_decode (bytes, length, &message, NULL));
  g_free (bytes);
  return message;
}

/* Guards against a field that both the encoder and the decoder omit, for example the
 * token balances in token messages: it would arrive as zero. */
static void
no_field_is_omitted (void)
{
  const struct
  {
    jd_message_type_t type;
    size_t size;
  } flat_types[] = {
    { JD_MESSAGE_HELLO, sizeof (jd_hello_t) },
    { JD_MESSAGE_HELLO_ACK, sizeof (jd_hello_ack_t) },
    { JD_MESSAGE_HEARTBEAT, sizeof (jd_heartbeat_t) },
    { JD_MESSAGE_HEARTBEAT_ACK, sizeof (jd_heartbeat_ack_t) },
    { JD_MESSAGE_TOKEN_REQUEST, sizeof (jd_token_request_t) },
    { JD_MESSAGE_TOKEN_GRANT, sizeof (jd_token_grant_t) },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (flat_types); i++)
    {
      jd_message_t sent = sample_message (flat_types[i].type);
      jd_message_t message = decoded_sample (flat_types[i].type);
      CU_ASSERT (memcmp (&message.hello, &sent.hello, flat_types[i].size) == 0);
    }
  jd_message_t work = decoded_sample (JD_MESSAGE_WORK);
  CU_ASSERT_EQUAL (work.work.receiver_incarnation, UINT64_MAX);
  CU_ASSERT_EQUAL (work.work.limit, 4);
  CU_ASSERT_EQUAL (work.work.busy_wait_count, 6);
  jd_message_clear (&work);
  jd_message_t result = decoded_sample (JD_MESSAGE_WORK_RESULT);
  CU_ASSERT_EQUAL (result.work_result.outcomes[0].target_limit, 2);
  CU_ASSERT_EQUAL (result.work_result.outcomes[0].target_load, 70000);
  jd_message_clear (&result);
}

/* Guards against crashes, leaks and large allocations on hostile input. An accepted
 * message must encode to a message that is accepted again. */
static void
random_mutations_are_safe (void)
{
  jd_philox_t state = { .seed = 11 };
  jd_rng_t rng = jd_philox_rng (&state);
  for (int round = 0; round < 40000; round++)
    {
      jd_message_t message = sample_message ((jd_message_type_t)(1 + round % 13));
      size_t length;
      uint8_t *bytes = jd_wire_encode (&message, &length);
      for (uint64_t i = 1 + jd_rng_below (&rng, 4); i > 0; i--)
        bytes[jd_rng_below (&rng, length)] = (uint8_t)jd_rng_next (&rng);
      void *reencoded = NULL;
      size_t reencoded_length = 0;
      if (decode_copy (bytes, length, &reencoded, &reencoded_length))
        CU_ASSERT (decode_copy (reencoded, reencoded_length, NULL, NULL));
      g_free (reencoded);
      g_free (bytes);
    }
}

/* Returns the error code of decoding the bytes, or -1 if they are accepted. */
static int
decode_error_code (const char *bytes, size_t length)
{
  jd_message_t message;
  GError *error = NULL;
  jd_wire_decode (bytes, length, &message, &error);
  int code = error ? error->code : -1;
  g_clear_error (&error);
  jd_message_clear (&message);
  return code;
}

/* Guards against decoding unknown versions and types, names that overflow their buffer,
 * huge declared sizes and trailing bytes. */
static void
unknown_and_oversized_input_is_rejected (void)
{
  CU_ASSERT_EQUAL (decode_error_code ("\x94\x0d\x02\xa1s\xa1x", 7),
                   JD_WIRE_ERROR_VERSION);
  CU_ASSERT_EQUAL (decode_error_code ("\x94\x0e\x01\xa1s\xa1x", 7), JD_WIRE_ERROR_TYPE);
  CU_ASSERT_EQUAL (decode_error_code ("\x94\x00\x01\xa1s\xa1x", 7), JD_WIRE_ERROR_TYPE);
  CU_ASSERT_EQUAL (decode_error_code ("\x94\x0d\x01\xa1s\xa1x", 7), -1);
  CU_ASSERT_EQUAL (decode_error_code ("\x94\x0d\x01\xa1s\xa1x\xc0", 8),
                   JD_WIRE_ERROR_MALFORMED);
  CU_ASSERT_EQUAL (decode_error_code ("\x94\x0d\x01\xa1s\xa1\0", 7),
                   JD_WIRE_ERROR_MALFORMED);
  CU_ASSERT_EQUAL (decode_error_code ("\x94\x05\x01\xa1s\xdd\xff\xff\xff\xff", 10),
                   JD_WIRE_ERROR_MALFORMED);
  CU_ASSERT_EQUAL (decode_error_code ("\x94\x0d\x01\xa1s\xdf\xff\xff\xff\xff", 10),
                   JD_WIRE_ERROR_MALFORMED);
  char long_name[7 + JD_NAME_SIZE] = "\x94\x0d\x01\xa1s\xd9\x40";
  memset (long_name + 7, 'n', JD_NAME_SIZE);
  CU_ASSERT_EQUAL (decode_error_code (long_name, sizeof (long_name)),
                   JD_WIRE_ERROR_MALFORMED);
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "every type round-trips and no prefix is accepted",
      every_type_round_trips_and_no_prefix_is_accepted },
    { "no field is omitted", no_field_is_omitted },
    { "random mutations are safe", random_mutations_are_safe },
    { "unknown and oversized input is rejected",
      unknown_and_oversized_input_is_rejected },
  };
  return JD_TEST_RUN ("wire", cases);
}
