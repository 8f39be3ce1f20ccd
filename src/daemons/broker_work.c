#include <string.h>

#include "base/log_event.h"
#include "daemons/broker_defs.h"

/* Returns the name of a kind of work for logs. */
static const char *
kind_name (jd_work_kind_t kind)
{
  static const char *const names[] = { "search", "fetch", "edit" };
  return names[kind <= JD_WORK_EDIT ? kind : JD_WORK_EDIT];
}

/* Core callback: logs that an attempt is placed at a target, and starts it there. */
static void
start_attempt (void *context, const jd_broker_start_t *start)
{
  jd_broker_daemon_t *broker = context;
  const jd_work_t *work = start->work;
  jd_log_event (G_LOG_LEVEL_INFO, "placement",
                "query=%016" G_GINT64_MODIFIER "x"
                " kind=%s target=%s shard=%s handle=%" G_GUINT64_FORMAT
                " organisation=%s left_us=%" G_GINT64_FORMAT,
                work->query_id, kind_name (work->kind), start->target, start->shard,
                start->handle, work->organisation[0] ? work->organisation : "-",
                start->deadline_us - jd_node_now_us (broker->node));
  jd_target_client_start (broker->client, start);
}

/* Core callback: cancels a started attempt. */
static void
cancel_attempt (void *context, uint64_t handle)
{
  jd_broker_daemon_t *broker = context;
  jd_target_client_cancel (broker->client, handle);
}

/* Logs how an attempt ended. A refusal is logged at info level like a placement, because
 * both are placement decisions. */
static void
log_outcome (uint64_t query_id, const jd_work_outcome_t *outcome)
{
  gboolean is_refusal = outcome->ran == JD_RAN_NO && outcome->service_us == 0;
  jd_log_event (is_refusal ? G_LOG_LEVEL_INFO : G_LOG_LEVEL_DEBUG,
                is_refusal ? "placement_refused" : "attempt_ended",
                "query=%016" G_GINT64_MODIFIER "x"
                " target=%s shard=%s code=%s ran=%s service_us=%" G_GINT64_FORMAT
                " queue_us=%" G_GINT64_FORMAT,
                query_id, outcome->target, outcome->shard, jd_result_name (outcome->code),
                jd_ran_name (outcome->ran), outcome->service_us, outcome->queue_us);
}

/* Core callback: sends outcomes to the entry that sent the work. */
static void
send_outcomes (void *context, uint64_t entry, const jd_work_result_t *result)
{
  jd_broker_daemon_t *broker = context;
  for (uint32_t i = 0; i < result->outcome_count; i++)
    log_outcome (result->query_id, &result->outcomes[i]);
  const jd_message_t message = { .type = JD_MESSAGE_WORK_RESULT, .work_result = *result };
  jd_counter_add (broker->counts.outcomes, result->outcome_count);
  if (!jd_broker_entries_send (broker->entries, entry, &message,
                               jd_node_now_us (broker->node)))
    jd_counter_add (broker->counts.lost_results, 1);
}

/* Client callback: returns TRUE if the first byte of an attempt may still be written. */
static gboolean
may_write (void *context, uint64_t handle)
{
  jd_broker_daemon_t *broker = context;
  return jd_broker_core_may_write (broker->core, handle, jd_node_now_us (broker->node));
}

/* Client callback: passes the end of an attempt to the core. */
static void
on_reply (void *context, uint64_t handle, jd_target_reply_t *reply)
{
  jd_broker_daemon_t *broker = context;
  jd_broker_core_on_reply (broker->core, handle, reply, jd_node_now_us (broker->node));
}

/* Client callback: passes the result of a probe on; health is NULL if it failed. */
static void
on_health (void *context, const char *target, const jd_target_health_t *health)
{
  jd_broker_daemon_t *broker = context;
  jd_broker_targets_on_health (broker->targets, target, health,
                               jd_node_now_us (broker->node));
}

/* Returns the callbacks that the core calls. */
jd_broker_callbacks_t
jd_broker_work_core_callbacks (jd_broker_daemon_t *broker)
{
  return (jd_broker_callbacks_t){ .start_attempt = start_attempt,
                                  .cancel_attempt = cancel_attempt,
                                  .send_outcomes = send_outcomes,
                                  .context = broker };
}

/* Sets the callbacks that the target client calls. */
void
jd_broker_work_client_callbacks (jd_broker_daemon_t *broker,
                                 jd_target_client_options_t *options)
{
  options->may_write = may_write;
  options->on_reply = on_reply;
  options->on_health = on_health;
  options->context = broker;
}

/* Returns a hello acknowledgement with the broker's clock and whether it is draining. */
static jd_message_t
hello_ack (const jd_broker_daemon_t *broker)
{
  jd_message_t message = { .type = JD_MESSAGE_HELLO_ACK };
  jd_hello_ack_t *ack = &message.hello_ack;
  g_strlcpy (ack->member, broker->options.member, sizeof (ack->member));
  ack->incarnation = jd_node_incarnation (broker->node);
  ack->broker_clock_us = jd_node_now_us (broker->node);
  ack->draining = broker->phase != JD_BROKER_RUNNING || broker->is_draining;
  return message;
}

/* Notifies all entries whether this broker is shutting down or draining. */
void
jd_broker_work_announce (jd_broker_daemon_t *broker)
{
  const jd_message_t message = hello_ack (broker);
  jd_broker_entries_broadcast (broker->entries, &message, jd_node_now_us (broker->node));
}

/* Handles a hello: replies with the broker's clock and, on a new connection, with the
 * states of the owned targets. */
static void
on_hello (jd_broker_daemon_t *broker, const jd_peer_origin_t *origin,
          const jd_hello_t *hello)
{
  int64_t now_us = jd_node_now_us (broker->node);
  gboolean is_new_connection = FALSE;
  uint64_t entry = jd_broker_entries_on_hello (broker->entries, origin, hello, now_us,
                                               &is_new_connection);
  const jd_message_t message = hello_ack (broker);
  jd_broker_entries_send (broker->entries, entry, &message, now_us);
  /* Hellos are repeated; entries on an existing connection receive the periodic
   * reports. */
  if (is_new_connection)
    jd_broker_report_to (broker, entry, now_us);
}

/* Refuses all attempts of a batch with a code, as not run. */
static void
refuse_work (jd_broker_daemon_t *broker, const jd_peer_origin_t *origin,
             const jd_work_t *work, jd_result_code_t code)
{
  jd_work_outcome_t *outcomes = g_new0 (jd_work_outcome_t, work->item_count);
  for (uint32_t i = 0; i < work->item_count; i++)
    {
      outcomes[i] = (jd_work_outcome_t){ .attempt_id = work->items[i].attempt_id,
                                         .code = code,
                                         .ran = JD_RAN_NO };
      memcpy (outcomes[i].target, work->items[i].target, sizeof (outcomes[i].target));
      memcpy (outcomes[i].shard, work->items[i].shard, sizeof (outcomes[i].shard));
      log_outcome (work->query_id, &outcomes[i]);
    }
  const jd_message_t message = { .type = JD_MESSAGE_WORK_RESULT,
                                 .work_result = { .query_id = work->query_id,
                                                  .broker_clock_us =
                                                      jd_node_now_us (broker->node),
                                                  .outcome_count = work->item_count,
                                                  .outcomes = outcomes } };
  jd_counter_add (broker->counts.refused_items, work->item_count);
  if (!jd_peer_link_reply (jd_node_link (broker->node), origin, &message))
    jd_counter_add (broker->counts.lost_results, 1);
  g_free (outcomes);
}

/* Handles a batch of attempts. The batch is refused if its sender has sent no hello to
 * this process, or if it is addressed to an earlier process at this address, because its
 * deadlines are then not in this process's clock. */
static void
on_work (jd_broker_daemon_t *broker, const jd_peer_origin_t *origin,
         jd_message_t *message)
{
  jd_work_t *work = &message->work;
  int64_t now_us = jd_node_now_us (broker->node);
  jd_counter_add (broker->counts.work_messages, 1);
  jd_counter_add (broker->counts.work_items, work->item_count);
  uint64_t entry =
      jd_broker_entries_find (broker->entries, origin, message->sender, now_us);
  if (broker->phase >= JD_BROKER_REFUSING || broker->is_draining)
    {
      refuse_work (broker, origin, work, JD_SHUTTING_DOWN);
      return;
    }
  gboolean is_for_other_incarnation =
      work->receiver_incarnation &&
      work->receiver_incarnation != jd_node_incarnation (broker->node);
  if (entry == 0 || is_for_other_incarnation)
    {
      refuse_work (broker, origin, work, JD_NOT_OWNER);
      const jd_message_t ack = hello_ack (broker);
      jd_peer_link_reply (jd_node_link (broker->node), origin, &ack);
      return;
    }
  jd_broker_core_on_work (broker->core, entry, work, now_us);
  message->work = (jd_work_t){ 0 };
}

/* Handles the cancellation of some attempts of an entry. */
static void
on_cancel (jd_broker_daemon_t *broker, const jd_peer_origin_t *origin,
           const jd_message_t *message)
{
  int64_t now_us = jd_node_now_us (broker->node);
  uint64_t entry =
      jd_broker_entries_find (broker->entries, origin, message->sender, now_us);
  jd_counter_add (broker->counts.cancels, message->cancel.attempt_count);
  if (entry != 0)
    jd_broker_core_on_cancel (broker->core, entry, message->cancel.attempt_ids,
                              message->cancel.attempt_count, now_us);
}

/* Handles a message from an entry; messages of other types are ignored. */
void
jd_broker_work_on_message (jd_broker_daemon_t *broker, const jd_peer_origin_t *origin,
                           jd_message_t *message)
{
  if (message->type == JD_MESSAGE_HELLO)
    on_hello (broker, origin, &message->hello);
  else if (message->type == JD_MESSAGE_WORK)
    on_work (broker, origin, message);
  else if (message->type == JD_MESSAGE_CANCEL)
    on_cancel (broker, origin, message);
}
