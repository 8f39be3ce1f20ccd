#include "daemons/entry_routing.h"

#include <string.h>

#include "base/log_event.h"

#define HELLO_INTERVAL_US (200 * JD_US_PER_MS)
/* Three target states of a broker missed in a row; a process that was killed is noticed
 * earlier, because its connection refuses sends. */
#define BROKER_SILENCE_US (700 * JD_US_PER_MS)

/* What this entry knows about one broker beside the core. */
typedef struct broker
{
  jd_name_t seat;
  uint64_t incarnation; /* 0 until it has answered a hello. */
  int64_t heard_us;
  GArray *targets; /* jd_target_status_t of its last report. */
} broker_t;

struct jd_entry_routing
{
  jd_entry_routing_options_t options;
  jd_entry_core_t *core;
  GHashTable *brokers;         /* seat -> broker_t */
  GHashTable *leaving_targets; /* ids that the hosts record names, or NULL */
  GHashTable *zones_out;       /* names that the zones record names, or NULL */
  int64_t hello_us;
  gboolean has_targets;
};

/* Frees one broker. */
static void
free_broker (gpointer data)
{
  broker_t *broker = data;
  g_array_free (broker->targets, TRUE);
  g_free (broker);
}

/* Returns the entry of a broker and adds it on first use. */
static broker_t *
find_broker (jd_entry_routing_t *routing, const char *seat)
{
  broker_t *broker = g_hash_table_lookup (routing->brokers, seat);
  if (broker)
    return broker;
  broker = g_new0 (broker_t, 1);
  g_strlcpy (broker->seat, seat, sizeof (broker->seat));
  broker->targets = g_array_new (FALSE, TRUE, sizeof (jd_target_status_t));
  g_hash_table_insert (routing->brokers, broker->seat, broker);
  return broker;
}

/* Logs the placement of one batch. */
static void
log_route (const char *broker, const jd_work_t *work, gboolean sent)
{
  GString *targets = g_string_new (NULL);
  for (uint32_t i = 0; i < work->item_count; i++)
    g_string_append_printf (targets, "%s%s", i ? "," : "", work->items[i].target);
  static const char *const kinds[] = { "search", "fetch", "edit" };
  jd_log_event (G_LOG_LEVEL_INFO, "route",
                "query=%016" G_GINT64_MODIFIER "x kind=%s service=%s organisation=%s "
                "broker=%s snapshot=%" G_GUINT64_FORMAT " sent=%d targets=%s",
                (guint64)work->query_id, kinds[work->kind], work->service,
                *work->organisation ? work->organisation : "-", broker,
                (guint64)work->snapshot, sent, targets->str);
  g_string_free (targets, TRUE);
}

/* Work callback of the core. */
static gboolean
send_work (void *context, const char *broker, const jd_work_t *work)
{
  jd_entry_routing_t *routing = context;
  jd_message_t message = { .type = JD_MESSAGE_WORK, .work = *work };
  message.work.receiver_incarnation = find_broker (routing, broker)->incarnation;
  gboolean sent = jd_node_send (routing->options.node, broker, &message);
  log_route (broker, work, sent);
  return sent;
}

/* Cancel callback of the core. A cancellation that is lost only costs work. */
static void
send_cancel (void *context, const char *broker, const uint64_t *attempt_ids,
             uint32_t count)
{
  jd_entry_routing_t *routing = context;
  jd_message_t message = {
    .type = JD_MESSAGE_CANCEL,
    .cancel = { .attempt_count = count, .attempt_ids = (uint64_t *)attempt_ids },
  };
  jd_node_send (routing->options.node, broker, &message);
}

/* Finish callback of the core. */
static void
on_finish (void *context, const jd_answer_t *answer)
{
  jd_entry_routing_t *routing = context;
  routing->options.finish (routing->options.context, answer);
}

/* Creates a routing that knows no services. */
jd_entry_routing_t *
jd_entry_routing_new (const jd_entry_routing_options_t *options)
{
  jd_entry_routing_t *routing = g_new0 (jd_entry_routing_t, 1);
  routing->options = *options;
  routing->brokers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_broker);
  jd_entry_settings_t settings = jd_entry_settings_default (options->zone);
  jd_entry_callbacks_t callbacks = {
    .send_work = send_work,
    .send_cancel = send_cancel,
    .finish = on_finish,
    .context = routing,
  };
  routing->core = jd_entry_core_new (&settings, &callbacks, jd_node_rng (options->node),
                                     jd_entropy () << 32);
  return routing;
}

/* Frees the routing. Running requests get no answer. */
void
jd_entry_routing_free (jd_entry_routing_t *routing)
{
  if (!routing)
    return;
  jd_entry_core_free (routing->core);
  g_hash_table_destroy (routing->brokers);
  if (routing->leaving_targets)
    g_hash_table_unref (routing->leaving_targets);
  if (routing->zones_out)
    g_hash_table_unref (routing->zones_out);
  g_free (routing);
}

/* Returns the core, for requests of callers. */
jd_entry_core_t *
jd_entry_routing_core (jd_entry_routing_t *routing)
{
  return routing->core;
}

/* Calls set for the members that are only in one of two sets of names. */
static void
for_difference (GHashTable *before, GHashTable *after,
                void (*set) (jd_entry_routing_t *routing, const char *name, gboolean on),
                jd_entry_routing_t *routing)
{
  GHashTableIter iter;
  gpointer name;
  if (before)
    {
      g_hash_table_iter_init (&iter, before);
      while (g_hash_table_iter_next (&iter, &name, NULL))
        if (!after || !g_hash_table_contains (after, name))
          set (routing, name, FALSE);
    }
  if (!after)
    return;
  g_hash_table_iter_init (&iter, after);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (!before || !g_hash_table_contains (before, name))
      set (routing, name, TRUE);
}

/* Takes a zone out of service or back in. */
static void
set_zone_out (jd_entry_routing_t *routing, const char *zone, gboolean out)
{
  jd_log_event (G_LOG_LEVEL_INFO, "zone_state", "zone=%s state=%s", zone,
                out ? "out" : "in");
  jd_entry_core_on_zone_state (routing->core, zone, out,
                               jd_node_now_us (routing->options.node));
}

/* Marks a target as leaving or not. */
static void
set_target_leaving (jd_entry_routing_t *routing, const char *target, gboolean leaving)
{
  jd_log_event (G_LOG_LEVEL_INFO, "target_state", "target=%s leaving=%d", target,
                leaving);
  jd_entry_core_set_leaving (routing->core, target, leaving);
}

/* Takes the zones record in force. */
static void
reload_zones (jd_entry_routing_t *routing)
{
  jd_zone_state_record_t *record = jd_config_store_zones (routing->options.store);
  GHashTable *after = record ? g_hash_table_ref (record->zones_out) : NULL;
  for_difference (routing->zones_out, after, set_zone_out, routing);
  if (routing->zones_out)
    g_hash_table_unref (routing->zones_out);
  routing->zones_out = after;
  if (record)
    jd_zone_state_record_unref (record);
}

/* Takes the hosts record in force. */
static void
reload_hosts (jd_entry_routing_t *routing)
{
  jd_host_state_record_t *record = jd_config_store_hosts (routing->options.store);
  GHashTable *after = record ? g_hash_table_ref (record->leaving_targets) : NULL;
  for_difference (routing->leaving_targets, after, set_target_leaving, routing);
  if (routing->leaving_targets)
    g_hash_table_unref (routing->leaving_targets);
  routing->leaving_targets = after;
  if (record)
    jd_host_state_record_unref (record);
}

/* Takes a record that has come into force. */
void
jd_entry_routing_on_record (jd_entry_routing_t *routing, const char *name)
{
  if (strcmp (name, "zones") == 0)
    reload_zones (routing);
  else if (strcmp (name, "hosts") == 0)
    reload_hosts (routing);
  if (!g_str_has_prefix (name, "service."))
    return;
  jd_service_record_t *service =
      jd_config_store_service (routing->options.store, name + strlen ("service."));
  if (!service)
    return;
  jd_entry_core_on_service (routing->core, service);
  jd_service_record_unref (service);
}

/* Notes a sign of life. A new incarnation has forgotten the work of the old one. */
static broker_t *
hear_broker (jd_entry_routing_t *routing, const char *seat, int64_t now_us)
{
  broker_t *broker = find_broker (routing, seat);
  broker->heard_us = now_us;
  return broker;
}

/* Takes the answer to a hello. */
static void
on_hello_ack (jd_entry_routing_t *routing, const jd_hello_ack_t *ack, int64_t now_us)
{
  broker_t *broker = hear_broker (routing, ack->seat, now_us);
  if (broker->incarnation && broker->incarnation != ack->incarnation)
    jd_entry_core_on_broker_lost (routing->core, ack->seat, now_us);
  broker->incarnation = ack->incarnation;
  jd_entry_core_on_broker_clock (routing->core, ack->seat, ack->broker_clock_us, now_us);
}

/* Takes the report of a broker about its targets. */
static void
on_target_state (jd_entry_routing_t *routing, const char *seat,
                 const jd_target_state_t *state, int64_t now_us)
{
  broker_t *broker = hear_broker (routing, seat, now_us);
  g_array_set_size (broker->targets, 0);
  g_array_append_vals (broker->targets, state->targets, state->target_count);
  routing->has_targets |= state->target_count > 0;
  jd_entry_core_on_target_state (routing->core, seat, state->broker_clock_us,
                                 state->targets, state->target_count, now_us);
}

/* Takes messages of brokers. */
gboolean
jd_entry_routing_on_message (jd_entry_routing_t *routing, jd_message_t *message)
{
  int64_t now_us = jd_node_now_us (routing->options.node);
  switch (message->type)
    {
    case JD_MESSAGE_HELLO_ACK:
      on_hello_ack (routing, &message->hello_ack, now_us);
      return TRUE;
    case JD_MESSAGE_TARGET_STATE:
      on_target_state (routing, message->sender, &message->target_state, now_us);
      return TRUE;
    case JD_MESSAGE_WORK_RESULT:
      hear_broker (routing, message->sender, now_us);
      jd_entry_core_on_work_result (routing->core, message->sender, &message->work_result,
                                    now_us);
      return TRUE;
    default:
      return FALSE;
    }
}

/* Sends a hello to every broker of the fleet. */
static void
send_hellos (jd_entry_routing_t *routing)
{
  jd_node_t *node = routing->options.node;
  const jd_fleet_record_t *fleet = jd_node_fleet (node);
  jd_message_t message = { .type = JD_MESSAGE_HELLO,
                           .hello = { .incarnation = jd_node_incarnation (node) } };
  g_strlcpy (message.hello.seat, routing->options.seat, sizeof (message.hello.seat));
  for (uint32_t i = 0; fleet && i < fleet->cell_count; i++)
    {
      const jd_cell_record_t *cell = &fleet->cells[i];
      for (uint32_t j = 0; cell->role == JD_ROLE_BROKER && j < cell->seat_count; j++)
        {
          if (!cell->seats[j].witness)
            jd_node_send (node, cell->seats[j].name, &message);
        }
    }
}

/* Tells the core about brokers that have become silent. */
static void
drop_silent_brokers (jd_entry_routing_t *routing, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, routing->brokers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      broker_t *broker = value;
      if (broker->heard_us == 0 || now_us - broker->heard_us < BROKER_SILENCE_US)
        continue;
      jd_log_event (G_LOG_LEVEL_WARNING, "broker_lost",
                    "broker=%s silent_ms=%" G_GINT64_FORMAT, broker->seat,
                    (now_us - broker->heard_us) / JD_US_PER_MS);
      broker->heard_us = 0;
      g_array_set_size (broker->targets, 0);
      jd_entry_core_on_broker_lost (routing->core, broker->seat, now_us);
    }
}

/* Copies the counts of the core to the metric counters. */
static void
publish_counts (jd_entry_routing_t *routing)
{
  const jd_entry_counts_t *counts = jd_entry_core_counts (routing->core);
  const struct
  {
    const char *name;
    uint64_t value;
  } values[] = {
    { "entry.queries", counts->queries },
    { "entry.attempts", counts->attempts },
    { "entry.hedges", counts->hedges },
    { "entry.retries", counts->retries },
    { "entry.replans", counts->replans },
    { "entry.messages", counts->messages },
    { "entry.unknown_outcomes", counts->unknown_outcomes },
    { "entry.crossed_outcomes", counts->crossed_outcomes },
    { "entry.foreign_snapshots", counts->foreign_snapshots },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (values); i++)
    jd_counter_set (jd_counters_get (routing->options.counters, values[i].name),
                    values[i].value);
}

/* Sends hellos when they are due and runs the core. */
void
jd_entry_routing_tick (jd_entry_routing_t *routing)
{
  int64_t now_us = jd_node_now_us (routing->options.node);
  if (now_us - routing->hello_us >= HELLO_INTERVAL_US)
    {
      routing->hello_us = now_us;
      send_hellos (routing);
      drop_silent_brokers (routing, now_us);
      publish_counts (routing);
    }
  jd_entry_core_tick (routing->core, jd_node_now_us (routing->options.node));
}

/* Returns when the core or a hello is due. */
int64_t
jd_entry_routing_next_wakeup_us (const jd_entry_routing_t *routing)
{
  int64_t hello_us = routing->hello_us + HELLO_INTERVAL_US;
  return MIN (hello_us, jd_entry_core_next_wake_us (routing->core));
}

/* Returns whether any broker has reported a target. */
gboolean
jd_entry_routing_has_targets (const jd_entry_routing_t *routing)
{
  return routing->has_targets;
}

/* Returns one target as operators see it. */
static json_t *
target_json (const jd_target_status_t *status)
{
  json_t *snapshots = json_array ();
  for (uint32_t i = 0; i < status->snapshot_count; i++)
    json_array_append_new (snapshots, json_integer ((json_int_t)status->snapshots[i]));
  json_t *object = json_object ();
  json_object_set_new (object, "target", json_string (status->target));
  json_object_set_new (object, "limit", json_integer (status->limit));
  json_object_set_new (object, "in_flight", json_integer (status->in_flight));
  json_object_set_new (object, "queued", json_integer (status->queued));
  json_object_set_new (object, "cold", json_boolean (status->cold));
  json_object_set_new (object, "draining", json_boolean (status->draining));
  json_object_set_new (object, "snapshots", snapshots);
  return object;
}

/* Appends what is known of each broker. */
void
jd_entry_routing_status (jd_entry_routing_t *routing, json_t *array)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, routing->brokers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const broker_t *broker = value;
      json_t *targets = json_array ();
      for (uint32_t i = 0; i < broker->targets->len; i++)
        json_array_append_new (targets, target_json (&g_array_index (
                                            broker->targets, jd_target_status_t, i)));
      json_t *object = json_object ();
      json_object_set_new (object, "broker", json_string (broker->seat));
      json_object_set_new (object, "connected", json_boolean (broker->heard_us != 0));
      json_object_set_new (object, "targets", targets);
      json_array_append_new (array, object);
    }
}
