#include "transport/wire_body.h"

/* Maximum lengths of the lists of a message. The targets and hits of one batch stay far
 * below them in a fleet of the design size, 6,300 targets. A digest contains the deleted
 * records of two years, up to 800,000. */
#define MAX_LIST_ITEMS 65536
#define MAX_HITS 10000
#define MAX_DIGEST_ENTRIES (1024 * 1024)

/* Reads a request and the batch of its attempts. */
static void
read_work (jd_wire_reader_t *reader, jd_work_t *work)
{
  work->query_id = jd_wire_read_unsigned (reader, UINT64_MAX);
  work->kind = (jd_work_kind_t)jd_wire_read_unsigned (reader, JD_WORK_EDIT);
  jd_wire_read_name (reader, work->organisation);
  jd_wire_read_name (reader, work->service);
  work->snapshot = jd_wire_read_unsigned (reader, UINT64_MAX);
  work->map_version = jd_wire_read_unsigned (reader, UINT64_MAX);
  work->deadline_us = jd_wire_read_signed (reader);
  work->receiver_incarnation = jd_wire_read_unsigned (reader, UINT64_MAX);
  work->limit = (uint32_t)jd_wire_read_unsigned (reader, UINT32_MAX);
  work->busy_wait_count = (uint32_t)jd_wire_read_unsigned (reader, UINT32_MAX);
  work->text = jd_wire_read_text (reader);
  work->body = jd_wire_read_bytes (reader, &work->body_bytes);
  work->items = jd_wire_read_list (reader, MAX_LIST_ITEMS, 4, sizeof (*work->items),
                                   &work->item_count);
  for (uint32_t i = 0; i < work->item_count && !reader->failure; i++)
    {
      jd_wire_read_tuple (reader, 3);
      work->items[i].attempt_id = jd_wire_read_unsigned (reader, UINT64_MAX);
      jd_wire_read_name (reader, work->items[i].target);
      jd_wire_read_name (reader, work->items[i].shard);
    }
}

/* Reads one hit. Only the body may be nil. */
static void
read_hit (jd_wire_reader_t *reader, jd_hit_t *hit)
{
  jd_wire_read_tuple (reader, 3);
  hit->id = jd_wire_read_text (reader);
  hit->score = jd_wire_read_double (reader);
  hit->body = jd_wire_read_text (reader);
  if (!hit->id)
    jd_wire_reader_fail (reader, "hit has no id");
}

/* Reads a result code; an unknown code is a failure. */
static jd_result_code_t
read_result_code (jd_wire_reader_t *reader)
{
  jd_result_code_t code = (jd_result_code_t)jd_wire_read_unsigned (reader, JD_INTERNAL);
  if (jd_result_info (code)->code != code)
    jd_wire_reader_fail (reader, "unknown result code");
  return code;
}

/* Reads the outcome of one attempt and its hits. */
static void
read_outcome (jd_wire_reader_t *reader, jd_work_outcome_t *outcome)
{
  jd_wire_read_tuple (reader, 11);
  outcome->attempt_id = jd_wire_read_unsigned (reader, UINT64_MAX);
  jd_wire_read_name (reader, outcome->target);
  jd_wire_read_name (reader, outcome->shard);
  outcome->code = read_result_code (reader);
  outcome->ran = (jd_ran_t)jd_wire_read_unsigned (reader, JD_RAN_UNKNOWN);
  outcome->snapshot = jd_wire_read_unsigned (reader, UINT64_MAX);
  outcome->service_us = jd_wire_read_signed (reader);
  outcome->queue_us = jd_wire_read_signed (reader);
  outcome->target_limit = (uint32_t)jd_wire_read_unsigned (reader, UINT32_MAX);
  outcome->target_load = (uint32_t)jd_wire_read_unsigned (reader, UINT32_MAX);
  outcome->hits = jd_wire_read_list (reader, MAX_HITS, 12, sizeof (*outcome->hits),
                                     &outcome->hit_count);
  for (uint32_t i = 0; i < outcome->hit_count && !reader->failure; i++)
    read_hit (reader, &outcome->hits[i]);
}

/* Reads the outcomes of a batch of attempts. */
static void
read_work_result (jd_wire_reader_t *reader, jd_work_result_t *result)
{
  result->query_id = jd_wire_read_unsigned (reader, UINT64_MAX);
  result->broker_clock_us = jd_wire_read_signed (reader);
  result->outcomes = jd_wire_read_list (
      reader, MAX_LIST_ITEMS, 12, sizeof (*result->outcomes), &result->outcome_count);
  for (uint32_t i = 0; i < result->outcome_count && !reader->failure; i++)
    read_outcome (reader, &result->outcomes[i]);
}

/* Reads the ids of the attempts to cancel. */
static void
read_cancel (jd_wire_reader_t *reader, jd_cancel_t *cancel)
{
  cancel->attempt_ids = jd_wire_read_list (
      reader, MAX_LIST_ITEMS, 1, sizeof (*cancel->attempt_ids), &cancel->attempt_count);
  for (uint32_t i = 0; i < cancel->attempt_count && !reader->failure; i++)
    cancel->attempt_ids[i] = jd_wire_read_unsigned (reader, UINT64_MAX);
}

/* Reads the load, flags and snapshots of one target. */
static void
read_target_status (jd_wire_reader_t *reader, jd_target_status_t *target)
{
  jd_wire_read_tuple (reader, 7);
  jd_wire_read_name (reader, target->target);
  target->limit = (uint32_t)jd_wire_read_unsigned (reader, UINT32_MAX);
  target->in_flight = (uint32_t)jd_wire_read_unsigned (reader, UINT32_MAX);
  target->queued = (uint32_t)jd_wire_read_unsigned (reader, UINT32_MAX);
  target->cold = jd_wire_read_boolean (reader);
  target->draining = jd_wire_read_boolean (reader);
  target->snapshot_count = jd_wire_read_array (reader, G_N_ELEMENTS (target->snapshots));
  for (uint32_t i = 0; i < target->snapshot_count; i++)
    target->snapshots[i] = jd_wire_read_unsigned (reader, UINT64_MAX);
}

/* Reads the status of all targets that the sender owns. */
static void
read_target_state (jd_wire_reader_t *reader, jd_target_state_t *state)
{
  state->broker_clock_us = jd_wire_read_signed (reader);
  state->targets = jd_wire_read_list (reader, MAX_LIST_ITEMS, 8, sizeof (*state->targets),
                                      &state->target_count);
  for (uint32_t i = 0; i < state->target_count && !reader->failure; i++)
    read_target_status (reader, &state->targets[i]);
}

/* Reads a heartbeat of a group member. */
static void
read_heartbeat (jd_wire_reader_t *reader, jd_heartbeat_t *heartbeat)
{
  jd_wire_read_name (reader, heartbeat->member);
  heartbeat->incarnation = jd_wire_read_unsigned (reader, UINT64_MAX);
  heartbeat->sent_at_us = jd_wire_read_signed (reader);
  heartbeat->state =
      (jd_member_state_t)jd_wire_read_unsigned (reader, JD_MEMBER_RELEASED);
}

/* Reads an acknowledgement with the sender's view of all group members. */
static void
read_heartbeat_ack (jd_wire_reader_t *reader, jd_heartbeat_ack_t *ack)
{
  jd_wire_read_name (reader, ack->from_member);
  ack->from_incarnation = jd_wire_read_unsigned (reader, UINT64_MAX);
  jd_wire_read_name (reader, ack->to_member);
  ack->to_incarnation = jd_wire_read_unsigned (reader, UINT64_MAX);
  ack->echoed_sent_at_us = jd_wire_read_signed (reader);
  ack->view_count = jd_wire_read_array (reader, JD_GROUP_MAX_MEMBERS);
  for (uint32_t i = 0; i < ack->view_count; i++)
    {
      jd_wire_read_tuple (reader, 3);
      jd_wire_read_name (reader, ack->views[i].member);
      ack->views[i].unacknowledged_us = jd_wire_read_signed (reader);
      ack->views[i].state =
          (jd_member_state_t)jd_wire_read_unsigned (reader, JD_MEMBER_RELEASED);
    }
}

/* Reads a request for tokens. */
static void
read_token_request (jd_wire_reader_t *reader, jd_token_request_t *request)
{
  jd_wire_read_name (reader, request->organisation);
  request->nonce = jd_wire_read_unsigned (reader, UINT64_MAX);
  request->amount_microtokens = jd_wire_read_signed (reader);
  request->sent_at_us = jd_wire_read_signed (reader);
  request->held_microtokens = jd_wire_read_signed (reader);
}

/* Reads a transfer of tokens. */
static void
read_token_grant (jd_wire_reader_t *reader, jd_token_grant_t *grant)
{
  jd_wire_read_name (reader, grant->organisation);
  grant->nonce = jd_wire_read_unsigned (reader, UINT64_MAX);
  grant->amount_microtokens = jd_wire_read_signed (reader);
  grant->echoed_sent_at_us = jd_wire_read_signed (reader);
  grant->remaining_microtokens = jd_wire_read_signed (reader);
}

/* Reads the versions and content hashes of the sender's records. */
static void
read_digest (jd_wire_reader_t *reader, jd_digest_t *digest)
{
  digest->platform_age_us = jd_wire_read_signed (reader);
  digest->entries = jd_wire_read_list (reader, MAX_DIGEST_ENTRIES, 4,
                                       sizeof (*digest->entries), &digest->entry_count);
  for (uint32_t i = 0; i < digest->entry_count && !reader->failure; i++)
    {
      jd_wire_read_tuple (reader, 3);
      jd_wire_read_name (reader, digest->entries[i].record);
      digest->entries[i].version = jd_wire_read_unsigned (reader, UINT64_MAX);
      digest->entries[i].content_hash = jd_wire_read_unsigned (reader, UINT64_MAX);
    }
}

/* Returns the number of msgpack elements in the body of a message, 0 for an unknown type.
 * The numbers must match what jd_wire_write_body appends and jd_wire_read_body reads. */
uint32_t
jd_wire_body_elements (jd_message_type_t type)
{
  static const uint8_t elements[] = {
    [JD_MESSAGE_HELLO] = 2,          [JD_MESSAGE_HELLO_ACK] = 4,
    [JD_MESSAGE_WORK] = 13,          [JD_MESSAGE_WORK_RESULT] = 3,
    [JD_MESSAGE_CANCEL] = 1,         [JD_MESSAGE_TARGET_STATE] = 2,
    [JD_MESSAGE_HEARTBEAT] = 4,      [JD_MESSAGE_HEARTBEAT_ACK] = 6,
    [JD_MESSAGE_TOKEN_REQUEST] = 5,  [JD_MESSAGE_TOKEN_GRANT] = 5,
    [JD_MESSAGE_DIGEST] = 2,         [JD_MESSAGE_RECORD_PUSH] = 2,
    [JD_MESSAGE_RECORD_REQUEST] = 1,
  };
  return (uint32_t)type < G_N_ELEMENTS (elements) ? elements[type] : 0;
}

/* Reads the elements of the body for the type of the message. */
void
jd_wire_read_body (jd_wire_reader_t *reader, jd_message_t *message)
{
  switch (message->type)
    {
    case JD_MESSAGE_HELLO:
      jd_wire_read_name (reader, message->hello.member);
      message->hello.incarnation = jd_wire_read_unsigned (reader, UINT64_MAX);
      break;
    case JD_MESSAGE_HELLO_ACK:
      jd_wire_read_name (reader, message->hello_ack.member);
      message->hello_ack.incarnation = jd_wire_read_unsigned (reader, UINT64_MAX);
      message->hello_ack.broker_clock_us = jd_wire_read_signed (reader);
      message->hello_ack.draining = jd_wire_read_boolean (reader);
      break;
    case JD_MESSAGE_WORK:
      read_work (reader, &message->work);
      break;
    case JD_MESSAGE_WORK_RESULT:
      read_work_result (reader, &message->work_result);
      break;
    case JD_MESSAGE_CANCEL:
      read_cancel (reader, &message->cancel);
      break;
    case JD_MESSAGE_TARGET_STATE:
      read_target_state (reader, &message->target_state);
      break;
    case JD_MESSAGE_HEARTBEAT:
      read_heartbeat (reader, &message->heartbeat);
      break;
    case JD_MESSAGE_HEARTBEAT_ACK:
      read_heartbeat_ack (reader, &message->heartbeat_ack);
      break;
    case JD_MESSAGE_TOKEN_REQUEST:
      read_token_request (reader, &message->token_request);
      break;
    case JD_MESSAGE_TOKEN_GRANT:
      read_token_grant (reader, &message->token_grant);
      break;
    case JD_MESSAGE_DIGEST:
      read_digest (reader, &message->digest);
      break;
    case JD_MESSAGE_RECORD_PUSH:
      jd_wire_read_name (reader, message->record_push.record);
      message->record_push.text =
          jd_wire_read_bytes (reader, &message->record_push.length_bytes);
      break;
    case JD_MESSAGE_RECORD_REQUEST:
      jd_wire_read_name (reader, message->record_request.record);
      break;
    }
}
