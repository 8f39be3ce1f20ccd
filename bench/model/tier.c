#include "model/tier.h"

#include <string.h>

#include "base/clock.h"

/* Time between the release of a target by one broker and its use by the next one; longer
 * than work_bound_us and release_margin_us of the broker core together, so that all
 * attempts of the old owner have ended. */
#define TAKEOVER_DELAY_US (700 * JD_US_PER_MS)
#define LEASE_DURATION_US (800 * JD_US_PER_MS)

typedef struct jd_model_entry
{
  jd_model_fleet_t *fleet;
  uint32_t index;
  jd_entry_core_t *core;
  int64_t clock_offset_us; /* Own clock less simulation time. */
  int64_t paused_until_us; /* Simulation time. */
  int64_t wake_us;         /* Simulation time of the next timer; INT64_MAX: none. */
} jd_model_entry_t;

typedef struct jd_model_broker
{
  jd_model_fleet_t *fleet;
  uint32_t index;
  char name[16];
  jd_broker_core_t *core;
  int64_t clock_offset_us;       /* Own clock less simulation time. */
  int64_t paused_until_us;       /* Simulation time. */
  int64_t wake_us;               /* Simulation time of the next timer; INT64_MAX: none. */
  GHashTable *targets_by_handle; /* Of running attempts: handle -> jd_model_target_t */
} jd_model_broker_t;

/* A message or reply in transit; which fields are used depends on the event. */
typedef struct jd_model_message
{
  jd_model_entry_t *entry;
  jd_model_broker_t *broker;
  jd_work_t work;
  jd_work_result_t result;
  GArray *states;      /* jd_target_status_t */
  GArray *attempt_ids; /* uint64_t */
  int64_t clock_us;    /* Own clock of the broker that sent the states. */
  uint64_t handle;
  jd_target_reply_t reply;
  jd_model_request_t *request;
  jd_model_target_t *target;
} jd_model_message_t;

/* Frees a message with everything in it. */
static void
message_free (void *pointer)
{
  jd_model_message_t *message = pointer;
  jd_work_outcome_t outcome = { .hit_count = message->reply.hit_count,
                                .hits = message->reply.hits };
  jd_work_outcome_clear (&outcome);
  jd_work_clear (&message->work);
  jd_work_result_clear (&message->result);
  if (message->states)
    g_array_free (message->states, TRUE);
  if (message->attempt_ids)
    g_array_free (message->attempt_ids, TRUE);
  if (message->request)
    jd_model_request_free (message->request);
  g_free (message);
}

/* Creates an empty message between an entry and a broker. */
static jd_model_message_t *
message_new (jd_model_entry_t *entry, jd_model_broker_t *broker)
{
  jd_model_message_t *message = g_new0 (jd_model_message_t, 1);
  message->entry = entry;
  message->broker = broker;
  return message;
}

static int64_t
entry_now_us (const jd_model_entry_t *entry)
{
  return jd_sim_now_us (entry->fleet->sim) + entry->clock_offset_us;
}

static int64_t
broker_now_us (const jd_model_broker_t *broker)
{
  return jd_sim_now_us (broker->fleet->sim) + broker->clock_offset_us;
}

/* Returns the delay of a message between an entry and a broker. */
static int64_t
delay_us (jd_model_fleet_t *fleet, const jd_model_message_t *message)
{
  const jd_model_network_t *network = &fleet->options.network;
  uint32_t zones = fleet->options.zones;
  gboolean local = message->entry->index % zones == message->broker->index % zones;
  int64_t delay = local ? network->same_zone_hop_us : network->cross_zone_hop_us;
  if (network->max_jitter_us)
    delay += (int64_t)jd_rng_below (&fleet->rng, (uint64_t)network->max_jitter_us);
  if (network->late_fraction > 0 && jd_rng_unit (&fleet->rng) < network->late_fraction)
    delay += (int64_t)jd_rng_below (&fleet->rng, (uint64_t)network->max_late_us);
  return delay;
}

/* Sends a message over the network, which may lose it. Takes ownership of the message. */
static void
send_message (jd_model_fleet_t *fleet, jd_model_message_t *message,
              jd_sim_callback_t deliver)
{
  double loss = fleet->options.network.loss_fraction;
  if (loss > 0 && jd_rng_unit (&fleet->rng) < loss)
    {
      message_free (message);
      return;
    }
  jd_sim_schedule (fleet->sim, jd_sim_now_us (fleet->sim) + delay_us (fleet, message),
                   deliver, fleet, message, message_free);
}

/* Returns TRUE if the network duplicates the next message. */
static gboolean
is_duplicated (jd_model_fleet_t *fleet)
{
  double duplicate = fleet->options.network.duplicate_fraction;
  return duplicate > 0 && jd_rng_unit (&fleet->rng) < duplicate;
}

/* Reschedules an event of a paused process to the end of the pause. Returns TRUE if the
 * process is paused. */
static gboolean
postpone_if_paused (jd_model_fleet_t *fleet, int64_t paused_until_us,
                    jd_sim_callback_t callback, void *context, void *data,
                    GDestroyNotify free_data)
{
  if (jd_sim_now_us (fleet->sim) >= paused_until_us)
    return FALSE;
  jd_sim_schedule (fleet->sim, paused_until_us, callback, context, data, free_data);
  return TRUE;
}

/* Event: the timer of an entry. */
static void
wake_entry (void *context, void *data)
{
  jd_model_entry_t *entry = context;
  if (postpone_if_paused (entry->fleet, entry->paused_until_us, wake_entry, entry, NULL,
                          NULL))
    return;
  /* This timer is obsolete: an earlier one has run since and scheduled a later one. */
  if (entry->wake_us > jd_sim_now_us (entry->fleet->sim))
    return;
  entry->wake_us = INT64_MAX;
  jd_entry_core_tick (entry->core, entry_now_us (entry));
  int64_t wake_us = jd_entry_core_next_wake_us (entry->core);
  if (wake_us == INT64_MAX)
    return;
  entry->wake_us = wake_us - entry->clock_offset_us;
  jd_sim_schedule (entry->fleet->sim, entry->wake_us, wake_entry, entry, NULL, NULL);
}

/* Finishes an event of an entry: schedules its timer if it is due earlier than before. */
static void
finish_entry_event (jd_model_entry_t *entry)
{
  int64_t wake_us = jd_entry_core_next_wake_us (entry->core);
  if (wake_us == INT64_MAX || wake_us - entry->clock_offset_us >= entry->wake_us)
    return;
  entry->wake_us = wake_us - entry->clock_offset_us;
  jd_sim_schedule (entry->fleet->sim, entry->wake_us, wake_entry, entry, NULL, NULL);
}

/* Event: the timer of a broker. */
static void
wake_broker (void *context, void *data)
{
  jd_model_broker_t *broker = context;
  if (postpone_if_paused (broker->fleet, broker->paused_until_us, wake_broker, broker,
                          NULL, NULL))
    return;
  if (broker->wake_us > jd_sim_now_us (broker->fleet->sim))
    return;
  broker->wake_us = INT64_MAX;
  jd_broker_core_tick (broker->core, broker_now_us (broker));
  jd_broker_core_flush (broker->core, broker_now_us (broker));
  int64_t wake_us = jd_broker_core_next_wake_us (broker->core, broker_now_us (broker));
  if (wake_us == INT64_MAX)
    return;
  broker->wake_us =
      MAX (wake_us - broker->clock_offset_us, jd_sim_now_us (broker->fleet->sim) + 100);
  jd_sim_schedule (broker->fleet->sim, broker->wake_us, wake_broker, broker, NULL, NULL);
}

/* Finishes an event of a broker: sends outcomes and schedules its timer if it is due
 * earlier than before. */
static void
finish_broker_event (jd_model_broker_t *broker)
{
  int64_t now_us = broker_now_us (broker);
  jd_broker_core_flush (broker->core, now_us);
  int64_t wake_us = jd_broker_core_next_wake_us (broker->core, now_us);
  if (wake_us == INT64_MAX || wake_us - broker->clock_offset_us >= broker->wake_us)
    return;
  broker->wake_us = wake_us - broker->clock_offset_us;
  jd_sim_schedule (broker->fleet->sim, broker->wake_us, wake_broker, broker, NULL, NULL);
}

/* Event: work reaches a broker. */
static void
deliver_work (void *context, void *data)
{
  jd_model_message_t *message = data;
  jd_model_broker_t *broker = message->broker;
  if (postpone_if_paused (context, broker->paused_until_us, deliver_work, context, data,
                          message_free))
    return;
  jd_broker_core_on_work (broker->core, message->entry->index, &message->work,
                          broker_now_us (broker));
  finish_broker_event (broker);
  message_free (message);
}

/* Event: a cancellation reaches a broker. */
static void
deliver_cancel (void *context, void *data)
{
  jd_model_message_t *message = data;
  jd_model_broker_t *broker = message->broker;
  if (postpone_if_paused (context, broker->paused_until_us, deliver_cancel, context, data,
                          message_free))
    return;
  jd_broker_core_on_cancel (broker->core, message->entry->index,
                            (uint64_t *)(void *)message->attempt_ids->data,
                            message->attempt_ids->len, broker_now_us (broker));
  finish_broker_event (broker);
  message_free (message);
}

/* Event: outcomes reach an entry. */
static void
deliver_result (void *context, void *data)
{
  jd_model_message_t *message = data;
  jd_model_entry_t *entry = message->entry;
  if (postpone_if_paused (context, entry->paused_until_us, deliver_result, context, data,
                          message_free))
    return;
  jd_entry_core_on_work_result (entry->core, message->broker->name, &message->result,
                                entry_now_us (entry));
  finish_entry_event (entry);
  message_free (message);
}

/* Event: the target states of a broker reach an entry. */
static void
deliver_states (void *context, void *data)
{
  jd_model_message_t *message = data;
  jd_model_entry_t *entry = message->entry;
  if (postpone_if_paused (context, entry->paused_until_us, deliver_states, context, data,
                          message_free))
    return;
  jd_entry_core_on_target_state (entry->core, message->broker->name, message->clock_us,
                                 (jd_target_status_t *)(void *)message->states->data,
                                 message->states->len, entry_now_us (entry));
  finish_entry_event (entry);
  message_free (message);
}

/* Returns a deep copy of a work message. */
static jd_work_t
copy_work (const jd_work_t *work)
{
  jd_work_t copy = *work;
  copy.text = g_strdup (work->text);
  copy.body = work->body ? g_memdup2 (work->body, work->body_bytes) : NULL;
  copy.items = g_memdup2 (work->items, work->item_count * sizeof (*work->items));
  return copy;
}

/* Returns a deep copy of a result message. */
static jd_work_result_t
copy_result (const jd_work_result_t *result)
{
  jd_work_result_t copy = *result;
  copy.outcomes =
      g_memdup2 (result->outcomes, result->outcome_count * sizeof (*result->outcomes));
  for (uint32_t i = 0; i < copy.outcome_count; i++)
    {
      jd_work_outcome_t *outcome = &copy.outcomes[i];
      outcome->hits = g_memdup2 (outcome->hits, outcome->hit_count * sizeof (jd_hit_t));
      for (uint32_t h = 0; h < outcome->hit_count; h++)
        {
          outcome->hits[h].id = g_strdup (outcome->hits[h].id);
          outcome->hits[h].body = g_strdup (outcome->hits[h].body);
        }
    }
  return copy;
}

/* Returns the broker with a name of the form "b0". */
static jd_model_broker_t *
find_broker (jd_model_fleet_t *fleet, const char *name)
{
  return &fleet->brokers[g_ascii_strtoull (name + 1, NULL, 10)];
}

/* Entry callback: sends work. */
static gboolean
send_work (void *context, const char *name, const jd_work_t *work)
{
  jd_model_entry_t *entry = context;
  jd_model_fleet_t *fleet = entry->fleet;
  fleet->work_messages++;
  for (uint32_t copies = is_duplicated (fleet) ? 2 : 1; copies > 0; copies--)
    {
      jd_model_message_t *message = message_new (entry, find_broker (fleet, name));
      message->work = copy_work (work);
      send_message (fleet, message, deliver_work);
    }
  return TRUE;
}

/* Entry callback: sends a cancellation. */
static void
send_cancel (void *context, const char *name, const uint64_t *ids, uint32_t count)
{
  jd_model_entry_t *entry = context;
  jd_model_message_t *message = message_new (entry, find_broker (entry->fleet, name));
  message->attempt_ids = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_array_append_vals (message->attempt_ids, ids, count);
  send_message (entry->fleet, message, deliver_cancel);
}

/* Entry callback: forwards an answer to the user of the fleet. */
static void
on_finish (void *context, const jd_answer_t *answer)
{
  jd_model_entry_t *entry = context;
  jd_model_fleet_t *fleet = entry->fleet;
  fleet->hooks.on_answer (fleet->hooks.context, entry->index, answer);
}

/* Broker callback: sends outcomes. */
static void
send_outcomes (void *context, uint64_t entry, const jd_work_result_t *result)
{
  jd_model_broker_t *broker = context;
  jd_model_fleet_t *fleet = broker->fleet;
  for (uint32_t copies = is_duplicated (fleet) ? 2 : 1; copies > 0; copies--)
    {
      jd_model_message_t *message = message_new (&fleet->entries[entry], broker);
      message->result = copy_result (result);
      send_message (fleet, message, deliver_result);
    }
}

/* Event: a request reaches its target, which takes ownership of it. */
static void
deliver_request (void *context, void *data)
{
  jd_model_message_t *message = data;
  jd_model_request_t *request = message->request;
  message->request = NULL;
  message_free (message);
  jd_model_target_receive (request->target, request);
}

/* Event: a broker writes a request to its connection, unless the core no longer permits
 * it. */
static void
write_request (void *context, void *data)
{
  jd_model_fleet_t *fleet = context;
  jd_model_message_t *message = data;
  jd_model_broker_t *broker = message->broker;
  if (postpone_if_paused (fleet, broker->paused_until_us, write_request, context, data,
                          message_free))
    return;
  if (!jd_broker_core_may_write (broker->core, message->handle, broker_now_us (broker)))
    {
      finish_broker_event (broker);
      message_free (message);
      return;
    }
  jd_sim_schedule (fleet->sim,
                   jd_sim_now_us (fleet->sim) + fleet->options.network.target_hop_us,
                   deliver_request, fleet, message, message_free);
}

/* Returns the target with a name of the form "t0". */
static jd_model_target_t *
find_target (jd_model_fleet_t *fleet, const char *name)
{
  return &fleet->targets[g_ascii_strtoull (name + 1, NULL, 10)];
}

/* Broker callback: schedules the write of an attempt. */
static void
start_attempt (void *context, const jd_broker_start_t *start)
{
  jd_model_broker_t *broker = context;
  jd_model_fleet_t *fleet = broker->fleet;
  jd_model_message_t *message = message_new (NULL, broker);
  message->handle = start->handle;
  jd_model_request_t *request = g_new0 (jd_model_request_t, 1);
  message->request = request;
  request->target = find_target (fleet, start->target);
  g_hash_table_insert (broker->targets_by_handle,
                       g_memdup2 (&start->handle, sizeof (start->handle)),
                       request->target);
  request->handle = start->handle;
  request->broker = broker->index;
  request->kind = start->work->kind;
  request->text = g_strdup (start->work->text);
  g_strlcpy (request->shard, start->shard, sizeof (request->shard));
  request->snapshot = start->work->snapshot;
  request->limit = start->work->limit;
  request->deadline_us = start->deadline_us - broker->clock_offset_us;
  jd_sim_schedule (fleet->sim, jd_sim_now_us (fleet->sim), write_request, fleet, message,
                   message_free);
}

/* Event: the reply of a target reaches its broker. */
static void
deliver_reply (void *context, void *data)
{
  jd_model_message_t *message = data;
  jd_model_broker_t *broker = message->broker;
  if (postpone_if_paused (context, broker->paused_until_us, deliver_reply, context, data,
                          message_free))
    return;
  jd_broker_core_on_reply (broker->core, message->handle, &message->reply,
                           broker_now_us (broker));
  g_hash_table_remove (broker->targets_by_handle, &message->handle);
  finish_broker_event (broker);
  message_free (message);
}

/* Sends a reply to a broker; takes ownership of its hits. */
static void
send_reply (jd_model_fleet_t *fleet, uint32_t broker, uint64_t handle,
            jd_target_reply_t *reply)
{
  jd_model_message_t *message = message_new (NULL, &fleet->brokers[broker]);
  message->handle = handle;
  message->reply = *reply;
  jd_sim_schedule (fleet->sim,
                   jd_sim_now_us (fleet->sim) + fleet->options.network.target_hop_us,
                   deliver_reply, fleet, message, message_free);
}

/* Target callback: sends the reply to the broker. */
static void
on_target_reply (void *context, const jd_model_request_t *request,
                 jd_target_reply_t *reply)
{
  send_reply (context, request->broker, request->handle, reply);
}

/* Event: a cancellation reaches a target. A silent or down target does not confirm it. */
static void
deliver_target_cancel (void *context, void *data)
{
  jd_model_message_t *message = data;
  if (!message->target->silent && !message->target->down)
    {
      jd_model_target_cancel (message->target, message->broker->index, message->handle);
      jd_target_reply_t reply = { .kind = JD_REPLY_CANCEL_CONFIRMED,
                                  .uptime_us = -1,
                                  .in_flight = -1 };
      send_reply (context, message->broker->index, message->handle, &reply);
    }
  message_free (message);
}

/* Broker callback: sends a cancellation. A request in transit arrives before it, because
 * both have the same delay. */
static void
cancel_attempt (void *context, uint64_t handle)
{
  jd_model_broker_t *broker = context;
  jd_model_fleet_t *fleet = broker->fleet;
  jd_model_message_t *message = message_new (NULL, broker);
  message->handle = handle;
  message->target = g_hash_table_lookup (broker->targets_by_handle, &handle);
  jd_sim_schedule (fleet->sim,
                   jd_sim_now_us (fleet->sim) + fleet->options.network.target_hop_us,
                   deliver_target_cancel, fleet, message, message_free);
}

/* Target callback: returns the service time. */
static int64_t
on_service_us (void *context, const jd_model_request_t *request)
{
  jd_model_fleet_t *fleet = context;
  return fleet->hooks.service_time_us (fleet->hooks.context, request);
}

/* Target callback: a request starts to run. */
static void
on_execute (void *context, const jd_model_request_t *request, uint32_t load,
            uint32_t capacity)
{
  jd_model_fleet_t *fleet = context;
  fleet->hooks.on_execute (fleet->hooks.context, request, load, capacity);
}

/* Renews the ownership of the targets of a broker and passes their health to its core. */
static void
refresh_targets (jd_model_broker_t *broker)
{
  jd_model_fleet_t *fleet = broker->fleet;
  int64_t now_us = broker_now_us (broker);
  for (uint32_t i = 0; i < fleet->target_count; i++)
    {
      const jd_model_target_t *target = &fleet->targets[i];
      if (target->owner != broker->index)
        continue;
      jd_target_health_t health = { .snapshot_count = JD_MODEL_SNAPSHOTS };
      memcpy (health.snapshots, target->snapshots, sizeof (target->snapshots));
      jd_broker_core_on_owned (broker->core, target->name, TRUE,
                               now_us + LEASE_DURATION_US, now_us);
      if (!target->down)
        jd_broker_core_on_health (broker->core, target->name, &health, now_us);
    }
}

/* Event: a broker sends its target states to all entries, at each report interval. */
static void
send_report (void *context, void *data)
{
  jd_model_broker_t *broker = context;
  jd_model_fleet_t *fleet = broker->fleet;
  if (postpone_if_paused (fleet, broker->paused_until_us, send_report, broker, NULL,
                          NULL))
    return;
  refresh_targets (broker);
  for (uint32_t i = 0; i < fleet->options.entries; i++)
    {
      jd_model_message_t *message = message_new (&fleet->entries[i], broker);
      message->clock_us = broker_now_us (broker);
      message->states = g_array_new (FALSE, FALSE, sizeof (jd_target_status_t));
      jd_broker_core_target_states (broker->core, message->clock_us, message->states);
      send_message (fleet, message, deliver_states);
    }
  finish_broker_event (broker);
  jd_sim_schedule (fleet->sim,
                   jd_sim_now_us (fleet->sim) + fleet->options.report_interval_us,
                   send_report, broker, NULL, NULL);
}

/* Returns the weight of a shard. All weights differ, so that a test detects a sum over
 * the wrong shards. */
uint64_t
jd_model_shard_weight (uint32_t shard)
{
  return 1000 + 37 * (uint64_t)shard;
}

/* Fills in the published record of one shard. The caller frees id, targets and their
 * zones. */
static void
fill_shard (const jd_model_fleet_t *fleet, uint32_t shard, jd_shard_record_t *record)
{
  uint32_t replicas = fleet->options.replicas;
  record->id = g_strdup_printf ("s%u", shard);
  record->weight = jd_model_shard_weight (shard);
  record->target_count = replicas;
  record->targets = g_new0 (jd_target_record_t, replicas);
  for (uint32_t r = 0; r < replicas; r++)
    {
      jd_model_target_t *target = &fleet->targets[shard * replicas + r];
      record->targets[r].id = target->name;
      record->targets[r].zone = g_strdup_printf ("z%u", target->zone);
    }
}

/* Publishes a new shard map to all entries. */
void
jd_model_fleet_publish_map (jd_model_fleet_t *fleet, uint32_t shard_count)
{
  jd_service_record_t record = {
    .name = (char *)"desk",
    .kind = shard_count == 1 ? JD_SERVICE_SINGLE : JD_SERVICE_FAN_OUT,
    .deadline_ms = fleet->options.deadline_ms,
    .hedge_quantile = fleet->options.hedge_quantile,
    .hedge_budget = fleet->options.hedge_budget,
    .map_version = ++fleet->map_version,
    .shard_count = shard_count,
  };
  record.shards = g_new0 (jd_shard_record_t, shard_count);
  for (uint32_t s = 0; s < shard_count; s++)
    fill_shard (fleet, s, &record.shards[s]);
  for (uint32_t i = 0; i < fleet->options.entries; i++)
    jd_entry_core_on_service (fleet->entries[i].core, &record);
  for (uint32_t s = 0; s < shard_count; s++)
    {
      for (uint32_t r = 0; r < record.shards[s].target_count; r++)
        g_free (record.shards[s].targets[r].zone);
      g_free (record.shards[s].targets);
      g_free (record.shards[s].id);
    }
  g_free (record.shards);
}

/* Creates the targets, with the replicas of a shard in different zones as far as there
 * are enough. */
static void
create_targets (jd_model_fleet_t *fleet)
{
  const jd_model_fleet_options_t *options = &fleet->options;
  jd_model_hooks_t hooks = { on_service_us, on_execute, on_target_reply, fleet };
  fleet->target_count = options->shards * options->replicas;
  fleet->targets = g_new0 (jd_model_target_t, fleet->target_count);
  for (uint32_t i = 0; i < fleet->target_count; i++)
    {
      jd_model_target_t *target = &fleet->targets[i];
      target->shard = i / options->replicas;
      target->zone = (target->shard + i % options->replicas) % options->zones;
      uint32_t per_zone = MAX (1, options->brokers / options->zones);
      target->owner = target->zone + options->zones * (target->shard % per_zone);
      target->owner %= options->brokers;
      target->slots = options->slots;
      target->cold_replies = options->cold_replies;
      g_snprintf (target->name, sizeof (target->name), "t%u", i);
      jd_model_target_init (target, fleet->sim, &hooks);
      target->snapshots[0] = 2;
      target->snapshots[1] = 1;
    }
}

/* Creates the brokers; each has a list of all targets and owns some of them. */
static void
create_brokers (jd_model_fleet_t *fleet)
{
  const jd_model_fleet_options_t *options = &fleet->options;
  fleet->brokers = g_new0 (jd_model_broker_t, options->brokers);
  for (uint32_t i = 0; i < options->brokers; i++)
    {
      jd_model_broker_t *broker = &fleet->brokers[i];
      jd_broker_callbacks_t callbacks = { start_attempt, cancel_attempt, send_outcomes,
                                          broker };
      broker->fleet = fleet;
      broker->index = i;
      g_snprintf (broker->name, sizeof (broker->name), "b%u", i);
      broker->clock_offset_us = (int64_t)jd_rng_below (&fleet->rng, 1000000000);
      broker->wake_us = INT64_MAX;
      broker->targets_by_handle =
          g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
      broker->core = jd_broker_core_new (&options->broker, &callbacks);
      for (uint32_t t = 0; t < fleet->target_count; t++)
        jd_broker_core_set_target (broker->core, fleet->targets[t].name, options->slots,
                                   25, broker_now_us (broker));
      jd_sim_schedule (fleet->sim, 0, send_report, broker, NULL, NULL);
    }
}

/* Creates the entries; entry i is in zone i % zones. */
static void
create_entries (jd_model_fleet_t *fleet)
{
  const jd_model_fleet_options_t *options = &fleet->options;
  fleet->entries = g_new0 (jd_model_entry_t, options->entries);
  for (uint32_t i = 0; i < options->entries; i++)
    {
      jd_model_entry_t *entry = &fleet->entries[i];
      jd_entry_callbacks_t callbacks = { send_work, send_cancel, on_finish, entry };
      char zone[16];
      g_snprintf (zone, sizeof (zone), "z%u", i % options->zones);
      jd_entry_settings_t settings = options->entry;
      settings.zone = zone;
      entry->fleet = fleet;
      entry->index = i;
      entry->clock_offset_us = (int64_t)jd_rng_below (&fleet->rng, 1000000000);
      entry->wake_us = INT64_MAX;
      entry->core = jd_entry_core_new (&settings, &callbacks, fleet->rng,
                                       (uint64_t)(i + 1) * 1000000000);
    }
}

/* Creates a fleet with running processes and warm targets. */
jd_model_fleet_t *
jd_model_fleet_new (const jd_model_fleet_options_t *options,
                    const jd_model_fleet_hooks_t *hooks)
{
  jd_model_fleet_t *fleet = g_new0 (jd_model_fleet_t, 1);
  fleet->sim = jd_sim_new ();
  fleet->philox = (jd_philox_t){ .seed = options->seed, .stream = 1 };
  fleet->rng = jd_philox_rng (&fleet->philox);
  fleet->options = *options;
  fleet->hooks = *hooks;
  create_targets (fleet);
  create_brokers (fleet);
  create_entries (fleet);
  jd_model_fleet_publish_map (fleet, options->shards);
  return fleet;
}

/* Frees the fleet. Requests without an answer get none. */
void
jd_model_fleet_free (jd_model_fleet_t *fleet)
{
  jd_sim_free (fleet->sim);
  for (uint32_t i = 0; i < fleet->options.entries; i++)
    jd_entry_core_free (fleet->entries[i].core);
  for (uint32_t i = 0; i < fleet->options.brokers; i++)
    {
      jd_broker_core_free (fleet->brokers[i].core);
      g_hash_table_destroy (fleet->brokers[i].targets_by_handle);
    }
  for (uint32_t i = 0; i < fleet->target_count; i++)
    jd_model_target_clear (&fleet->targets[i]);
  g_free (fleet->entries);
  g_free (fleet->brokers);
  g_free (fleet->targets);
  g_free (fleet);
}

/* Submits a request to an entry now. Returns its query id. */
uint64_t
jd_model_fleet_submit (jd_model_fleet_t *fleet, uint32_t index,
                       const jd_request_t *request)
{
  jd_model_entry_t *entry = &fleet->entries[index];
  uint64_t id = jd_entry_core_submit (entry->core, request, entry_now_us (entry));
  finish_entry_event (entry);
  return id;
}

/* Cancels a request at its entry as if its key was revoked. */
void
jd_model_fleet_cancel (jd_model_fleet_t *fleet, uint32_t index, uint64_t query_id)
{
  jd_model_entry_t *entry = &fleet->entries[index];
  jd_entry_core_cancel (entry->core, query_id, JD_KEY_REVOKED, entry_now_us (entry));
  finish_entry_event (entry);
}

/* Pauses an entry. Its timers and messages are handled when it resumes. */
void
jd_model_fleet_pause_entry (jd_model_fleet_t *fleet, uint32_t entry, int64_t duration_us)
{
  fleet->entries[entry].paused_until_us = jd_sim_now_us (fleet->sim) + duration_us;
}

/* Pauses a broker. Its timers and messages are handled when it resumes. */
void
jd_model_fleet_pause_broker (jd_model_fleet_t *fleet, uint32_t broker,
                             int64_t duration_us)
{
  fleet->brokers[broker].paused_until_us = jd_sim_now_us (fleet->sim) + duration_us;
}

/* Event: a broker takes over a target. */
static void
take_over (void *context, void *data)
{
  jd_model_broker_t *broker = context;
  jd_model_target_t *target = data;
  target->owner = broker->index;
}

/* Moves a target: the current owner stops at once, or when its lease expires if it is
 * paused; the next one starts after the takeover delay. */
void
jd_model_fleet_move_target (jd_model_fleet_t *fleet, uint32_t index, uint32_t broker)
{
  jd_model_target_t *target = &fleet->targets[index];
  if (target->owner >= fleet->options.brokers)
    return;
  jd_model_broker_t *old_owner = &fleet->brokers[target->owner];
  int64_t now_us = jd_sim_now_us (fleet->sim);
  /* A paused owner cannot release the target; its lease has to expire first. */
  int64_t wait_us = TAKEOVER_DELAY_US;
  if (now_us < old_owner->paused_until_us)
    wait_us += LEASE_DURATION_US;
  else
    jd_broker_core_on_owned (old_owner->core, target->name, FALSE, 0,
                             broker_now_us (old_owner));
  finish_broker_event (old_owner);
  target->owner = UINT32_MAX;
  jd_sim_schedule (fleet->sim, now_us + wait_us, take_over, &fleet->brokers[broker],
                   target, NULL);
}

/* Returns the limit that the owner of a target applies to it now. */
uint32_t
jd_model_fleet_target_limit (const jd_model_fleet_t *fleet, uint32_t index)
{
  const jd_model_target_t *target = &fleet->targets[index];
  if (target->owner >= fleet->options.brokers)
    return 0;
  const jd_model_broker_t *broker = &fleet->brokers[target->owner];
  GArray *states = g_array_new (FALSE, FALSE, sizeof (jd_target_status_t));
  jd_broker_core_target_states (broker->core, broker_now_us (broker), states);
  uint32_t limit = 0;
  for (guint i = 0; i < states->len; i++)
    {
      const jd_target_status_t *state = &g_array_index (states, jd_target_status_t, i);
      if (g_str_equal (state->target, target->name))
        limit = state->limit;
    }
  g_array_free (states, TRUE);
  return limit;
}

/* Returns the counts of an entry, which owns them. */
const jd_entry_counts_t *
jd_model_fleet_entry_counts (const jd_model_fleet_t *fleet, uint32_t entry)
{
  return jd_entry_core_counts (fleet->entries[entry].core);
}

/* Sets the numbers of first and extra attempts of all entries. */
void
jd_model_fleet_attempt_counts (const jd_model_fleet_t *fleet, uint64_t *first,
                               uint64_t *extra)
{
  *first = 0;
  *extra = 0;
  for (uint32_t i = 0; i < fleet->options.entries; i++)
    {
      uint64_t entry_first = 0;
      uint64_t entry_extra = 0;
      jd_entry_core_attempt_counts (fleet->entries[i].core, "desk", &entry_first,
                                    &entry_extra);
      *first += entry_first;
      *extra += entry_extra;
    }
}
