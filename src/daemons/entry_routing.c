#include "daemons/entry_routing.h"

#include <string.h>

#include "base/log_event.h"

#define HELLO_INTERVAL_US (200 * JD_US_PER_MS)
/* A broker counts as lost after this time without any message from it. It answers hellos
 * and sends its target state every 200 ms, so that it has missed three of each by then.
 * New work for a broker process that was killed fails earlier, because sends on its
 * closed connection fail. */
#define BROKER_SILENCE_LIMIT_US (700 * JD_US_PER_MS)

/* State of a broker in addition to what the core stores about it. */
typedef struct broker
{
  jd_name_t name;
  uint64_t incarnation;    /* 0 until the broker has answered a hello. */
  int64_t last_message_us; /* 0 while the broker is disconnected. */
  GArray *targets;         /* jd_target_status_t of its last target state. */
} broker_t;

struct jd_entry_routing
{
  jd_entry_routing_options_t options;
  jd_entry_core_t *core;
  GHashTable *brokers;         /* member name -> broker_t */
  GHashTable *leaving_targets; /* target ids in the hosts record, or NULL */
  GHashTable *drained_zones;   /* zone names in the zones record, or NULL */
  int64_t last_hello_us;
  gboolean has_targets;
};

/* Destroy function of the brokers table. */
static void
free_broker (gpointer data)
{
  broker_t *broker = data;
  g_array_free (broker->targets, TRUE);
  g_free (broker);
}

/* Returns the state of a broker, which is created on the first call. */
static broker_t *
find_broker (jd_entry_routing_t *routing, const char *member)
{
  broker_t *broker = g_hash_table_lookup (routing->brokers, member);
  if (broker)
    return broker;
  broker = g_new0 (broker_t, 1);
  g_strlcpy (broker->name, member, sizeof (broker->name));
  broker->targets = g_array_new (FALSE, TRUE, sizeof (jd_target_status_t));
  g_hash_table_insert (routing->brokers, broker->name, broker);
  return broker;
}

/* Logs the broker and the targets of a batch, and whether the batch was sent. */
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

/* Work callback of the core. Returns FALSE if the work cannot be sent. */
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

/* Cancel callback of the core. Send errors are ignored: a lost cancellation only wastes
 * work of the broker. */
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

/* Creates a routing without services, zones and hosts; records add them. */
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
  if (routing->drained_zones)
    g_hash_table_unref (routing->drained_zones);
  g_free (routing);
}

/* Returns the core, to which the daemon submits requests of callers. */
jd_entry_core_t *
jd_entry_routing_core (jd_entry_routing_t *routing)
{
  return routing->core;
}

/* Calls set with FALSE for each name that was removed from a set, and with TRUE for each
 * name that was added. Either set may be NULL, which is an empty set. */
static void
for_each_difference (GHashTable *old_names, GHashTable *new_names,
                     void (*set) (jd_entry_routing_t *routing, const char *name,
                                  gboolean is_listed),
                     jd_entry_routing_t *routing)
{
  GHashTableIter iter;
  gpointer name;
  if (old_names)
    {
      g_hash_table_iter_init (&iter, old_names);
      while (g_hash_table_iter_next (&iter, &name, NULL))
        if (!new_names || !g_hash_table_contains (new_names, name))
          set (routing, name, FALSE);
    }
  if (!new_names)
    return;
  g_hash_table_iter_init (&iter, new_names);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (!old_names || !g_hash_table_contains (old_names, name))
      set (routing, name, TRUE);
}

/* Drains or restores a zone. */
static void
set_zone_drained (jd_entry_routing_t *routing, const char *zone, gboolean drained)
{
  jd_log_event (G_LOG_LEVEL_INFO, "zone_state", "zone=%s state=%s", zone,
                drained ? "out" : "in");
  jd_entry_core_on_zone_state (routing->core, zone, drained,
                               jd_node_now_us (routing->options.node));
}

/* Sets whether a target is leaving. */
static void
set_target_leaving (jd_entry_routing_t *routing, const char *target, gboolean leaving)
{
  jd_log_event (G_LOG_LEVEL_INFO, "target_state", "target=%s leaving=%d", target,
                leaving);
  jd_entry_core_set_leaving (routing->core, target, leaving);
}

/* Applies the changes in the current zones record. */
static void
reload_zones (jd_entry_routing_t *routing)
{
  jd_zone_state_record_t *record = jd_config_store_zones (routing->options.store);
  GHashTable *new_names = record ? g_hash_table_ref (record->drained_zones) : NULL;
  for_each_difference (routing->drained_zones, new_names, set_zone_drained, routing);
  if (routing->drained_zones)
    g_hash_table_unref (routing->drained_zones);
  routing->drained_zones = new_names;
  if (record)
    jd_zone_state_record_unref (record);
}

/* Applies the changes in the current hosts record. */
static void
reload_hosts (jd_entry_routing_t *routing)
{
  jd_host_state_record_t *record = jd_config_store_hosts (routing->options.store);
  GHashTable *new_names = record ? g_hash_table_ref (record->leaving_targets) : NULL;
  for_each_difference (routing->leaving_targets, new_names, set_target_leaving, routing);
  if (routing->leaving_targets)
    g_hash_table_unref (routing->leaving_targets);
  routing->leaving_targets = new_names;
  if (record)
    jd_host_state_record_unref (record);
}

/* Applies the new current version of a record. Other names than zones, hosts and services
 * are ignored. */
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

/* Records the time of a message from a broker and returns the state of the broker. */
static broker_t *
record_broker_message (jd_entry_routing_t *routing, const char *member, int64_t now_us)
{
  broker_t *broker = find_broker (routing, member);
  broker->last_message_us = now_us;
  return broker;
}

/* Handles the answer to a hello. A new incarnation of a broker does not have the work of
 * the old one, so that the core treats the old one as lost. */
static void
on_hello_ack (jd_entry_routing_t *routing, const jd_hello_ack_t *ack, int64_t now_us)
{
  broker_t *broker = record_broker_message (routing, ack->member, now_us);
  if (broker->incarnation && broker->incarnation != ack->incarnation)
    jd_entry_core_on_broker_lost (routing->core, ack->member, now_us);
  broker->incarnation = ack->incarnation;
  jd_entry_core_on_broker_clock (routing->core, ack->member, ack->broker_clock_us,
                                 now_us);
}

/* Handles the target state of a broker, which lists all of its targets. */
static void
on_target_state (jd_entry_routing_t *routing, const char *member,
                 const jd_target_state_t *state, int64_t now_us)
{
  broker_t *broker = record_broker_message (routing, member, now_us);
  g_array_set_size (broker->targets, 0);
  g_array_append_vals (broker->targets, state->targets, state->target_count);
  routing->has_targets |= state->target_count > 0;
  jd_entry_core_on_target_state (routing->core, member, state->broker_clock_us,
                                 state->targets, state->target_count, now_us);
}

/* Handles messages of brokers; returns FALSE for other messages. */
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
      record_broker_message (routing, message->sender, now_us);
      jd_entry_core_on_work_result (routing->core, message->sender, &message->work_result,
                                    now_us);
      return TRUE;
    default:
      return FALSE;
    }
}

/* Sends a hello to every broker of the fleet that is not a voting-only member. */
static void
send_hellos (jd_entry_routing_t *routing)
{
  jd_node_t *node = routing->options.node;
  const jd_fleet_record_t *fleet = jd_node_fleet (node);
  jd_message_t message = { .type = JD_MESSAGE_HELLO,
                           .hello = { .incarnation = jd_node_incarnation (node) } };
  g_strlcpy (message.hello.member, routing->options.member,
             sizeof (message.hello.member));
  for (uint32_t i = 0; fleet && i < fleet->group_count; i++)
    {
      const jd_group_record_t *group = &fleet->groups[i];
      for (uint32_t j = 0; group->role == JD_ROLE_BROKER && j < group->member_count; j++)
        {
          if (!group->members[j].voting_only)
            jd_node_send (node, group->members[j].name, &message);
        }
    }
}

/* Marks brokers as disconnected and reports them to the core as lost if they have sent no
 * message within BROKER_SILENCE_LIMIT_US. */
static void
disconnect_silent_brokers (jd_entry_routing_t *routing, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, routing->brokers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      broker_t *broker = value;
      if (broker->last_message_us == 0 ||
          now_us - broker->last_message_us < BROKER_SILENCE_LIMIT_US)
        continue;
      jd_log_event (G_LOG_LEVEL_WARNING, "broker_lost",
                    "broker=%s silent_ms=%" G_GINT64_FORMAT, broker->name,
                    (now_us - broker->last_message_us) / JD_US_PER_MS);
      broker->last_message_us = 0;
      g_array_set_size (broker->targets, 0);
      jd_entry_core_on_broker_lost (routing->core, broker->name, now_us);
    }
}

/* Sets the metric counters to the counts of the core. */
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

/* Sends hellos, checks for silent brokers and publishes the counts if HELLO_INTERVAL_US
 * has passed; runs the timers of the core. */
void
jd_entry_routing_tick (jd_entry_routing_t *routing)
{
  int64_t now_us = jd_node_now_us (routing->options.node);
  if (now_us - routing->last_hello_us >= HELLO_INTERVAL_US)
    {
      routing->last_hello_us = now_us;
      send_hellos (routing);
      disconnect_silent_brokers (routing, now_us);
      publish_counts (routing);
    }
  jd_entry_core_tick (routing->core, jd_node_now_us (routing->options.node));
}

/* Returns the time at which the core or the next hello is due. */
int64_t
jd_entry_routing_next_wakeup_us (const jd_entry_routing_t *routing)
{
  int64_t next_hello_us = routing->last_hello_us + HELLO_INTERVAL_US;
  return MIN (next_hello_us, jd_entry_core_next_wake_us (routing->core));
}

/* Returns TRUE once any broker has reported a target. */
gboolean
jd_entry_routing_has_targets (const jd_entry_routing_t *routing)
{
  return routing->has_targets;
}

/* Returns the JSON object of a target in /status. */
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

/* Appends a JSON object for each broker, with its last known state. */
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
      json_object_set_new (object, "broker", json_string (broker->name));
      json_object_set_new (object, "connected",
                           json_boolean (broker->last_message_us != 0));
      json_object_set_new (object, "targets", targets);
      json_array_append_new (array, object);
    }
}
