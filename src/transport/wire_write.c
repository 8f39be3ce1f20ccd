#include <string.h>

#include "transport/wire_body.h"

/* Appends a string, or nil for NULL. */
static void
write_text (msgpack_packer *packer, const char *text)
{
  if (text)
    msgpack_pack_str_with_body (packer, text, strlen (text));
  else
    msgpack_pack_nil (packer);
}

/* Appends a byte string, or nil for NULL. */
static void
write_bytes (msgpack_packer *packer, const char *bytes, uint32_t length_bytes)
{
  if (bytes)
    msgpack_pack_bin_with_body (packer, bytes, length_bytes);
  else
    msgpack_pack_nil (packer);
}

/* Appends false for 0 and true for any other value. */
static void
write_boolean (msgpack_packer *packer, uint8_t value)
{
  if (value)
    msgpack_pack_true (packer);
  else
    msgpack_pack_false (packer);
}

/* Appends the request and its batch of attempts. */
static void
write_work (msgpack_packer *packer, const jd_work_t *work)
{
  msgpack_pack_uint64 (packer, work->query_id);
  msgpack_pack_uint32 (packer, work->kind);
  write_text (packer, work->organisation);
  write_text (packer, work->service);
  msgpack_pack_uint64 (packer, work->snapshot);
  msgpack_pack_uint64 (packer, work->map_version);
  msgpack_pack_int64 (packer, work->deadline_us);
  msgpack_pack_uint64 (packer, work->receiver_incarnation);
  msgpack_pack_uint32 (packer, work->limit);
  msgpack_pack_uint32 (packer, work->busy_wait_count);
  write_text (packer, work->text);
  write_bytes (packer, work->body, work->body_bytes);
  msgpack_pack_array (packer, work->item_count);
  for (uint32_t i = 0; i < work->item_count; i++)
    {
      msgpack_pack_array (packer, 3);
      msgpack_pack_uint64 (packer, work->items[i].attempt_id);
      write_text (packer, work->items[i].target);
      write_text (packer, work->items[i].shard);
    }
}

/* Appends the outcome of one attempt and its hits. */
static void
write_outcome (msgpack_packer *packer, const jd_work_outcome_t *outcome)
{
  msgpack_pack_array (packer, 11);
  msgpack_pack_uint64 (packer, outcome->attempt_id);
  write_text (packer, outcome->target);
  write_text (packer, outcome->shard);
  msgpack_pack_uint32 (packer, outcome->code);
  msgpack_pack_uint32 (packer, outcome->ran);
  msgpack_pack_uint64 (packer, outcome->snapshot);
  msgpack_pack_int64 (packer, outcome->service_us);
  msgpack_pack_int64 (packer, outcome->queue_us);
  msgpack_pack_uint32 (packer, outcome->target_limit);
  msgpack_pack_uint32 (packer, outcome->target_load);
  msgpack_pack_array (packer, outcome->hit_count);
  for (uint32_t i = 0; i < outcome->hit_count; i++)
    {
      msgpack_pack_array (packer, 3);
      write_text (packer, outcome->hits[i].id);
      msgpack_pack_double (packer, outcome->hits[i].score);
      write_text (packer, outcome->hits[i].body);
    }
}

/* Appends the outcomes of a batch of attempts. */
static void
write_work_result (msgpack_packer *packer, const jd_work_result_t *result)
{
  msgpack_pack_uint64 (packer, result->query_id);
  msgpack_pack_int64 (packer, result->broker_clock_us);
  msgpack_pack_array (packer, result->outcome_count);
  for (uint32_t i = 0; i < result->outcome_count; i++)
    write_outcome (packer, &result->outcomes[i]);
}

/* Appends the load, flags and snapshots of one target. */
static void
write_target_status (msgpack_packer *packer, const jd_target_status_t *target)
{
  msgpack_pack_array (packer, 7);
  write_text (packer, target->target);
  msgpack_pack_uint32 (packer, target->limit);
  msgpack_pack_uint32 (packer, target->in_flight);
  msgpack_pack_uint32 (packer, target->queued);
  write_boolean (packer, target->cold);
  write_boolean (packer, target->draining);
  msgpack_pack_array (packer, target->snapshot_count);
  for (uint32_t i = 0; i < target->snapshot_count; i++)
    msgpack_pack_uint64 (packer, target->snapshots[i]);
}

/* Appends the status of all targets that the sender owns. */
static void
write_target_state (msgpack_packer *packer, const jd_target_state_t *state)
{
  msgpack_pack_int64 (packer, state->broker_clock_us);
  msgpack_pack_array (packer, state->target_count);
  for (uint32_t i = 0; i < state->target_count; i++)
    write_target_status (packer, &state->targets[i]);
}

/* Appends an acknowledgement with the sender's view of all group members. */
static void
write_heartbeat_ack (msgpack_packer *packer, const jd_heartbeat_ack_t *ack)
{
  write_text (packer, ack->from_member);
  msgpack_pack_uint64 (packer, ack->from_incarnation);
  write_text (packer, ack->to_member);
  msgpack_pack_uint64 (packer, ack->to_incarnation);
  msgpack_pack_int64 (packer, ack->echoed_sent_at_us);
  msgpack_pack_array (packer, ack->view_count);
  for (uint32_t i = 0; i < ack->view_count; i++)
    {
      msgpack_pack_array (packer, 3);
      write_text (packer, ack->views[i].member);
      msgpack_pack_int64 (packer, ack->views[i].unacknowledged_us);
      msgpack_pack_uint32 (packer, ack->views[i].state);
    }
}

/* Appends the versions and content hashes of the sender's records. */
static void
write_digest (msgpack_packer *packer, const jd_digest_t *digest)
{
  msgpack_pack_int64 (packer, digest->platform_age_us);
  msgpack_pack_array (packer, digest->entry_count);
  for (uint32_t i = 0; i < digest->entry_count; i++)
    {
      msgpack_pack_array (packer, 3);
      write_text (packer, digest->entries[i].record);
      msgpack_pack_uint64 (packer, digest->entries[i].version);
      msgpack_pack_uint64 (packer, digest->entries[i].content_hash);
    }
}

/* Appends the elements of the body for the type of the message. */
void
jd_wire_write_body (msgpack_packer *packer, const jd_message_t *message)
{
  switch (message->type)
    {
    case JD_MESSAGE_HELLO:
      write_text (packer, message->hello.member);
      msgpack_pack_uint64 (packer, message->hello.incarnation);
      break;
    case JD_MESSAGE_HELLO_ACK:
      write_text (packer, message->hello_ack.member);
      msgpack_pack_uint64 (packer, message->hello_ack.incarnation);
      msgpack_pack_int64 (packer, message->hello_ack.broker_clock_us);
      write_boolean (packer, message->hello_ack.draining);
      break;
    case JD_MESSAGE_WORK:
      write_work (packer, &message->work);
      break;
    case JD_MESSAGE_WORK_RESULT:
      write_work_result (packer, &message->work_result);
      break;
    case JD_MESSAGE_CANCEL:
      msgpack_pack_array (packer, message->cancel.attempt_count);
      for (uint32_t i = 0; i < message->cancel.attempt_count; i++)
        msgpack_pack_uint64 (packer, message->cancel.attempt_ids[i]);
      break;
    case JD_MESSAGE_TARGET_STATE:
      write_target_state (packer, &message->target_state);
      break;
    case JD_MESSAGE_HEARTBEAT:
      write_text (packer, message->heartbeat.member);
      msgpack_pack_uint64 (packer, message->heartbeat.incarnation);
      msgpack_pack_int64 (packer, message->heartbeat.sent_at_us);
      msgpack_pack_uint32 (packer, message->heartbeat.state);
      break;
    case JD_MESSAGE_HEARTBEAT_ACK:
      write_heartbeat_ack (packer, &message->heartbeat_ack);
      break;
    case JD_MESSAGE_TOKEN_REQUEST:
      write_text (packer, message->token_request.organisation);
      msgpack_pack_uint64 (packer, message->token_request.nonce);
      msgpack_pack_int64 (packer, message->token_request.amount_microtokens);
      msgpack_pack_int64 (packer, message->token_request.sent_at_us);
      msgpack_pack_int64 (packer, message->token_request.held_microtokens);
      break;
    case JD_MESSAGE_TOKEN_GRANT:
      write_text (packer, message->token_grant.organisation);
      msgpack_pack_uint64 (packer, message->token_grant.nonce);
      msgpack_pack_int64 (packer, message->token_grant.amount_microtokens);
      msgpack_pack_int64 (packer, message->token_grant.echoed_sent_at_us);
      msgpack_pack_int64 (packer, message->token_grant.remaining_microtokens);
      break;
    case JD_MESSAGE_DIGEST:
      write_digest (packer, &message->digest);
      break;
    case JD_MESSAGE_RECORD_PUSH:
      write_text (packer, message->record_push.record);
      write_bytes (packer, message->record_push.text, message->record_push.length_bytes);
      break;
    case JD_MESSAGE_RECORD_REQUEST:
      write_text (packer, message->record_request.record);
      break;
    }
}
