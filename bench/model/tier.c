#include "model/tier.h"

#include <string.h>

#include "base/clock.h"

/* Time between the loss of a target by one broker and its use by the next one; more
 * than work_bound and the release margin of the broker core together. */
#define TAKEOVER_US (700 * JD_US_PER_MS)
#define LEASE_US (800 * JD_US_PER_MS)

typedef struct jd_tier_entry
{
  jd_tier_t *tier;
  uint32_t index;
  jd_entry_core_t *core;
  int64_t clock_offset_us;
  int64_t paused_until_us;
  int64_t wake_us;
} jd_tier_entry_t;

typedef struct jd_tier_broker
{
  jd_tier_t *tier;
  uint32_t index;
  char name[16];
  jd_broker_core_t *core;
  int64_t clock_offset_us;
  int64_t paused_until_us;
  int64_t wake_us;
  GHashTable *target_of; /* handle -> jd_model_target_t, until its end */
} jd_tier_broker_t;

/* A message or reply on its way; which fields are used depends on the event. */
typedef struct jd_parcel
{
  jd_tier_entry_t *entry;
  jd_tier_broker_t *broker;
  jd_work_t work;
  jd_work_result_t result;
  GArray *states;      /* jd_target_status_t */
  GArray *attempt_ids; /* uint64_t */
  int64_t clock_us;
  uint64_t handle;
  jd_target_reply_t reply;
  jd_model_request_t *request;
  jd_model_target_t *target;
} jd_parcel_t;

/* Frees a parcel with everything in it. */
static void
parcel_free (void *pointer)
{
  jd_parcel_t *parcel = pointer;
  jd_work_outcome_t holder = { .hit_count = parcel->reply.hit_count,
                               .hits = parcel->reply.hits };
  jd_work_outcome_clear (&holder);
  jd_work_clear (&parcel->work);
  jd_work_result_clear (&parcel->result);
  if (parcel->states)
    g_array_free (parcel->states, TRUE);
  if (parcel->attempt_ids)
    g_array_free (parcel->attempt_ids, TRUE);
  if (parcel->request)
    jd_model_request_free (parcel->request);
  g_free (parcel);
}

/* Makes an empty parcel between an entry and a broker. */
static jd_parcel_t *
parcel_new (jd_tier_entry_t *entry, jd_tier_broker_t *broker)
{
  jd_parcel_t *parcel = g_new0 (jd_parcel_t, 1);
  parcel->entry = entry;
  parcel->broker = broker;
  return parcel;
}

static int64_t
entry_now_us (const jd_tier_entry_t *entry)
{
  return jd_sim_now_us (entry->tier->sim) + entry->clock_offset_us;
}

static int64_t
broker_now_us (const jd_tier_broker_t *broker)
{
  return jd_sim_now_us (broker->tier->sim) + broker->clock_offset_us;
}

/* Returns the delay of a message between an entry and a broker. */
static int64_t
delay_us (jd_tier_t *tier, const jd_parcel_t *parcel)
{
  const jd_tier_network_t *network = &tier->options.network;
  uint32_t zones = tier->options.zones;
  gboolean local = parcel->entry->index % zones == parcel->broker->index % zones;
  int64_t delay = local ? network->zone_hop_us : network->hop_us;
  if (network->jitter_us)
    delay += (int64_t)jd_rng_below (&tier->rng, (uint64_t)network->jitter_us);
  if (network->late > 0 && jd_rng_unit (&tier->rng) < network->late)
    delay += (int64_t)jd_rng_below (&tier->rng, (uint64_t)network->late_us);
  return delay;
}

/* Sends a parcel over the network; it may be lost. */
static void
post (jd_tier_t *tier, jd_parcel_t *parcel, jd_sim_callback_t deliver)
{
  double loss = tier->options.network.loss;
  if (loss > 0 && jd_rng_unit (&tier->rng) < loss)
    {
      parcel_free (parcel);
      return;
    }
  jd_sim_at (tier->sim, jd_sim_now_us (tier->sim) + delay_us (tier, parcel), deliver,
             tier, parcel, parcel_free);
}

/* Returns whether the network repeats a message. */
static gboolean
is_duplicated (jd_tier_t *tier)
{
  double duplicate = tier->options.network.duplicate;
  return duplicate > 0 && jd_rng_unit (&tier->rng) < duplicate;
}

/* Puts off an event of a paused process. Returns whether it did. */
static gboolean
is_paused (jd_tier_t *tier, int64_t paused_until_us, jd_sim_callback_t callback,
           void *context, void *data, GDestroyNotify free_data)
{
  if (jd_sim_now_us (tier->sim) >= paused_until_us)
    return FALSE;
  jd_sim_at (tier->sim, paused_until_us, callback, context, data, free_data);
  return TRUE;
}

/* Event: the timer of an entry. */
static void
wake_entry (void *context, void *data)
{
  jd_tier_entry_t *entry = context;
  if (is_paused (entry->tier, entry->paused_until_us, wake_entry, entry, NULL, NULL))
    return;
  /* An earlier timer has set a later one since this one was scheduled. */
  if (entry->wake_us > jd_sim_now_us (entry->tier->sim))
    return;
  entry->wake_us = INT64_MAX;
  jd_entry_core_tick (entry->core, entry_now_us (entry));
  int64_t wake_us = jd_entry_core_next_wake_us (entry->core);
  if (wake_us == INT64_MAX)
    return;
  entry->wake_us = wake_us - entry->clock_offset_us;
  jd_sim_at (entry->tier->sim, entry->wake_us, wake_entry, entry, NULL, NULL);
}

/* Ends the handling of an event by an entry: sets its timer. */
static void
settle_entry (jd_tier_entry_t *entry)
{
  int64_t wake_us = jd_entry_core_next_wake_us (entry->core);
  if (wake_us == INT64_MAX || wake_us - entry->clock_offset_us >= entry->wake_us)
    return;
  entry->wake_us = wake_us - entry->clock_offset_us;
  jd_sim_at (entry->tier->sim, entry->wake_us, wake_entry, entry, NULL, NULL);
}

/* Event: the timer of a broker. */
static void
wake_broker (void *context, void *data)
{
  jd_tier_broker_t *broker = context;
  if (is_paused (broker->tier, broker->paused_until_us, wake_broker, broker, NULL, NULL))
    return;
  if (broker->wake_us > jd_sim_now_us (broker->tier->sim))
    return;
  broker->wake_us = INT64_MAX;
  jd_broker_core_tick (broker->core, broker_now_us (broker));
  jd_broker_core_flush (broker->core, broker_now_us (broker));
  int64_t wake_us = jd_broker_core_next_wake_us (broker->core, broker_now_us (broker));
  if (wake_us == INT64_MAX)
    return;
  broker->wake_us =
      MAX (wake_us - broker->clock_offset_us, jd_sim_now_us (broker->tier->sim) + 100);
  jd_sim_at (broker->tier->sim, broker->wake_us, wake_broker, broker, NULL, NULL);
}

/* Ends the handling of an event by a broker: sends outcomes and sets its timer. */
static void
settle_broker (jd_tier_broker_t *broker)
{
  int64_t now_us = broker_now_us (broker);
  jd_broker_core_flush (broker->core, now_us);
  int64_t wake_us = jd_broker_core_next_wake_us (broker->core, now_us);
  if (wake_us == INT64_MAX || wake_us - broker->clock_offset_us >= broker->wake_us)
    return;
  broker->wake_us = wake_us - broker->clock_offset_us;
  jd_sim_at (broker->tier->sim, broker->wake_us, wake_broker, broker, NULL, NULL);
}

/* Event: work reaches a broker. */
static void
deliver_work (void *context, void *data)
{
  jd_parcel_t *parcel = data;
  jd_tier_broker_t *broker = parcel->broker;
  if (is_paused (context, broker->paused_until_us, deliver_work, context, data,
                 parcel_free))
    return;
  jd_broker_core_on_work (broker->core, parcel->entry->index, &parcel->work,
                          broker_now_us (broker));
  settle_broker (broker);
  parcel_free (parcel);
}

/* Event: a cancellation reaches a broker. */
static void
deliver_cancel (void *context, void *data)
{
  jd_parcel_t *parcel = data;
  jd_tier_broker_t *broker = parcel->broker;
  if (is_paused (context, broker->paused_until_us, deliver_cancel, context, data,
                 parcel_free))
    return;
  jd_broker_core_on_cancel (broker->core, parcel->entry->index,
                            (uint64_t *)(void *)parcel->attempt_ids->data,
                            parcel->attempt_ids->len, broker_now_us (broker));
  settle_broker (broker);
  parcel_free (parcel);
}

/* Event: outcomes reach an entry. */
static void
deliver_result (void *context, void *data)
{
  jd_parcel_t *parcel = data;
  jd_tier_entry_t *entry = parcel->entry;
  if (is_paused (context, entry->paused_until_us, deliver_result, context, data,
                 parcel_free))
    return;
  jd_entry_core_on_work_result (entry->core, parcel->broker->name, &parcel->result,
                                entry_now_us (entry));
  settle_entry (entry);
  parcel_free (parcel);
}

/* Event: a report of a broker reaches an entry. */
static void
deliver_states (void *context, void *data)
{
  jd_parcel_t *parcel = data;
  jd_tier_entry_t *entry = parcel->entry;
  if (is_paused (context, entry->paused_until_us, deliver_states, context, data,
                 parcel_free))
    return;
  jd_entry_core_on_target_state (entry->core, parcel->broker->name, parcel->clock_us,
                                 (jd_target_status_t *)(void *)parcel->states->data,
                                 parcel->states->len, entry_now_us (entry));
  settle_entry (entry);
  parcel_free (parcel);
}

/* Copies a work message. */
static jd_work_t
copy_work (const jd_work_t *work)
{
  jd_work_t copy = *work;
  copy.text = g_strdup (work->text);
  copy.body = work->body ? g_memdup2 (work->body, work->body_bytes) : NULL;
  copy.items = g_memdup2 (work->items, work->item_count * sizeof (*work->items));
  return copy;
}

/* Copies a result message. */
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

/* Returns the broker with this name. */
static jd_tier_broker_t *
find_broker (jd_tier_t *tier, const char *name)
{
  return &tier->brokers[g_ascii_strtoull (name + 1, NULL, 10)];
}

/* Entry callback: sends work. */
static gboolean
send_work (void *context, const char *name, const jd_work_t *work)
{
  jd_tier_entry_t *entry = context;
  jd_tier_t *tier = entry->tier;
  tier->work_messages++;
  for (uint32_t copies = is_duplicated (tier) ? 2 : 1; copies > 0; copies--)
    {
      jd_parcel_t *parcel = parcel_new (entry, find_broker (tier, name));
      parcel->work = copy_work (work);
      post (tier, parcel, deliver_work);
    }
  return TRUE;
}

/* Entry callback: sends a cancellation. */
static void
send_cancel (void *context, const char *name, const uint64_t *ids, uint32_t count)
{
  jd_tier_entry_t *entry = context;
  jd_parcel_t *parcel = parcel_new (entry, find_broker (entry->tier, name));
  parcel->attempt_ids = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_array_append_vals (parcel->attempt_ids, ids, count);
  post (entry->tier, parcel, deliver_cancel);
}

/* Entry callback: passes an answer on. */
static void
on_finish (void *context, const jd_answer_t *answer)
{
  jd_tier_entry_t *entry = context;
  jd_tier_t *tier = entry->tier;
  tier->hooks.on_answer (tier->hooks.context, entry->index, answer);
}

/* Broker callback: sends outcomes. */
static void
send_outcomes (void *context, uint64_t entry, const jd_work_result_t *result)
{
  jd_tier_broker_t *broker = context;
  jd_tier_t *tier = broker->tier;
  for (uint32_t copies = is_duplicated (tier) ? 2 : 1; copies > 0; copies--)
    {
      jd_parcel_t *parcel = parcel_new (&tier->entries[entry], broker);
      parcel->result = copy_result (result);
      post (tier, parcel, deliver_result);
    }
}

/* Event: a request reaches its target. */
static void
deliver_request (void *context, void *data)
{
  jd_parcel_t *parcel = data;
  jd_model_request_t *request = parcel->request;
  parcel->request = NULL;
  parcel_free (parcel);
  jd_model_target_receive (request->target, request);
}

/* Event: a broker writes a request to its connection. */
static void
write_request (void *context, void *data)
{
  jd_tier_t *tier = context;
  jd_parcel_t *parcel = data;
  jd_tier_broker_t *broker = parcel->broker;
  if (is_paused (tier, broker->paused_until_us, write_request, context, data,
                 parcel_free))
    return;
  if (!jd_broker_core_may_write (broker->core, parcel->handle, broker_now_us (broker)))
    {
      settle_broker (broker);
      parcel_free (parcel);
      return;
    }
  jd_sim_at (tier->sim, jd_sim_now_us (tier->sim) + tier->options.network.target_hop_us,
             deliver_request, tier, parcel, parcel_free);
}

/* Returns the target with this name. */
static jd_model_target_t *
find_target (jd_tier_t *tier, const char *name)
{
  return &tier->targets[g_ascii_strtoull (name + 1, NULL, 10)];
}

/* Broker callback: sends an attempt. */
static void
start_attempt (void *context, const jd_broker_start_t *start)
{
  jd_tier_broker_t *broker = context;
  jd_tier_t *tier = broker->tier;
  jd_parcel_t *parcel = parcel_new (NULL, broker);
  parcel->handle = start->handle;
  jd_model_request_t *request = g_new0 (jd_model_request_t, 1);
  parcel->request = request;
  request->target = find_target (tier, start->target);
  g_hash_table_insert (broker->target_of,
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
  jd_sim_at (tier->sim, jd_sim_now_us (tier->sim), write_request, tier, parcel,
             parcel_free);
}

/* Event: the reply of a target reaches its broker. */
static void
deliver_reply (void *context, void *data)
{
  jd_parcel_t *parcel = data;
  jd_tier_broker_t *broker = parcel->broker;
  if (is_paused (context, broker->paused_until_us, deliver_reply, context, data,
                 parcel_free))
    return;
  jd_broker_core_on_reply (broker->core, parcel->handle, &parcel->reply,
                           broker_now_us (broker));
  g_hash_table_remove (broker->target_of, &parcel->handle);
  settle_broker (broker);
  parcel_free (parcel);
}

/* Sends a reply on its way to a broker; takes the hits. */
static void
post_reply (jd_tier_t *tier, uint32_t broker, uint64_t handle, jd_target_reply_t *reply)
{
  jd_parcel_t *parcel = parcel_new (NULL, &tier->brokers[broker]);
  parcel->handle = handle;
  parcel->reply = *reply;
  jd_sim_at (tier->sim, jd_sim_now_us (tier->sim) + tier->options.network.target_hop_us,
             deliver_reply, tier, parcel, parcel_free);
}

/* Target callback: a reply. */
static void
on_target_reply (void *context, const jd_model_request_t *request,
                 jd_target_reply_t *reply)
{
  post_reply (context, request->broker, request->handle, reply);
}

/* Event: a cancellation reaches a target, which confirms it. */
static void
deliver_target_cancel (void *context, void *data)
{
  jd_parcel_t *parcel = data;
  if (!parcel->target->silent && !parcel->target->down)
    {
      jd_model_target_cancel (parcel->target, parcel->broker->index, parcel->handle);
      jd_target_reply_t reply = { .kind = JD_REPLY_CANCEL_CONFIRMED,
                                  .uptime_us = -1,
                                  .in_flight = -1 };
      post_reply (context, parcel->broker->index, parcel->handle, &reply);
    }
  parcel_free (parcel);
}

/* Broker callback: cancels an attempt. The request may still be on its way; the hop is
 * the same, so it arrives before the cancellation. */
static void
cancel_attempt (void *context, uint64_t handle)
{
  jd_tier_broker_t *broker = context;
  jd_tier_t *tier = broker->tier;
  jd_parcel_t *parcel = parcel_new (NULL, broker);
  parcel->handle = handle;
  parcel->target = g_hash_table_lookup (broker->target_of, &handle);
  jd_sim_at (tier->sim, jd_sim_now_us (tier->sim) + tier->options.network.target_hop_us,
             deliver_target_cancel, tier, parcel, parcel_free);
}

/* Target callback: service time. */
static int64_t
on_service_us (void *context, const jd_model_request_t *request)
{
  jd_tier_t *tier = context;
  return tier->hooks.service_us (tier->hooks.context, request);
}

/* Target callback: a request begins to run. */
static void
on_execute (void *context, const jd_model_request_t *request, uint32_t load,
            uint32_t capacity)
{
  jd_tier_t *tier = context;
  tier->hooks.on_execute (tier->hooks.context, request, load, capacity);
}

/* Reads the health of the targets of a broker and renews their ownership. */
static void
refresh_targets (jd_tier_broker_t *broker)
{
  jd_tier_t *tier = broker->tier;
  int64_t now_us = broker_now_us (broker);
  for (uint32_t i = 0; i < tier->target_count; i++)
    {
      const jd_model_target_t *target = &tier->targets[i];
      if (target->owner != broker->index)
        continue;
      jd_target_health_t health = { .snapshot_count = JD_MODEL_SNAPSHOTS };
      memcpy (health.snapshots, target->snapshots, sizeof (target->snapshots));
      jd_broker_core_on_owned (broker->core, target->name, TRUE, now_us + LEASE_US,
                               now_us);
      if (!target->down)
        jd_broker_core_on_health (broker->core, target->name, &health, now_us);
    }
}

/* Event: the regular report of a broker to all entries. */
static void
report (void *context, void *data)
{
  jd_tier_broker_t *broker = context;
  jd_tier_t *tier = broker->tier;
  if (is_paused (tier, broker->paused_until_us, report, broker, NULL, NULL))
    return;
  refresh_targets (broker);
  for (uint32_t i = 0; i < tier->options.entries; i++)
    {
      jd_parcel_t *parcel = parcel_new (&tier->entries[i], broker);
      parcel->clock_us = broker_now_us (broker);
      parcel->states = g_array_new (FALSE, FALSE, sizeof (jd_target_status_t));
      jd_broker_core_target_states (broker->core, parcel->clock_us, parcel->states);
      post (tier, parcel, deliver_states);
    }
  settle_broker (broker);
  jd_sim_at (tier->sim, jd_sim_now_us (tier->sim) + tier->options.report_interval_us,
             report, broker, NULL, NULL);
}

/* Returns the weight of a shard; all are different, so that a wrong sum shows. */
uint64_t
jd_tier_weight (uint32_t shard)
{
  return 1000 + 37 * (uint64_t)shard;
}

/* Fills in the published record of one shard. */
static void
fill_shard (const jd_tier_t *tier, uint32_t shard, jd_shard_record_t *record)
{
  uint32_t replicas = tier->options.replicas;
  record->id = g_strdup_printf ("s%u", shard);
  record->weight = jd_tier_weight (shard);
  record->target_count = replicas;
  record->targets = g_new0 (jd_target_record_t, replicas);
  for (uint32_t r = 0; r < replicas; r++)
    {
      jd_model_target_t *target = &tier->targets[shard * replicas + r];
      record->targets[r].id = target->name;
      record->targets[r].zone = g_strdup_printf ("z%u", target->zone);
    }
}

/* Publishes a new shard map to all entries. */
void
jd_tier_publish_map (jd_tier_t *tier, uint32_t shard_count)
{
  jd_service_record_t record = {
    .name = (char *)"desk",
    .kind = shard_count == 1 ? JD_SERVICE_SINGLE : JD_SERVICE_FAN_OUT,
    .deadline_ms = tier->options.deadline_ms,
    .hedge_quantile = tier->options.hedge_quantile,
    .hedge_budget = tier->options.hedge_budget,
    .map_version = ++tier->map_version,
    .shard_count = shard_count,
  };
  record.shards = g_new0 (jd_shard_record_t, shard_count);
  for (uint32_t s = 0; s < shard_count; s++)
    fill_shard (tier, s, &record.shards[s]);
  for (uint32_t i = 0; i < tier->options.entries; i++)
    jd_entry_core_on_service (tier->entries[i].core, &record);
  for (uint32_t s = 0; s < shard_count; s++)
    {
      for (uint32_t r = 0; r < record.shards[s].target_count; r++)
        g_free (record.shards[s].targets[r].zone);
      g_free (record.shards[s].targets);
      g_free (record.shards[s].id);
    }
  g_free (record.shards);
}

/* Makes the targets, with the replicas of a shard in different zones. */
static void
make_targets (jd_tier_t *tier)
{
  const jd_tier_options_t *options = &tier->options;
  jd_model_hooks_t hooks = { on_service_us, on_execute, on_target_reply, tier };
  tier->target_count = options->shards * options->replicas;
  tier->targets = g_new0 (jd_model_target_t, tier->target_count);
  for (uint32_t i = 0; i < tier->target_count; i++)
    {
      jd_model_target_t *target = &tier->targets[i];
      target->shard = i / options->replicas;
      target->zone = (target->shard + i % options->replicas) % options->zones;
      uint32_t per_zone = MAX (1, options->brokers / options->zones);
      target->owner = target->zone + options->zones * (target->shard % per_zone);
      target->owner %= options->brokers;
      target->slots = options->slots;
      target->cold_replies = options->cold_replies;
      g_snprintf (target->name, sizeof (target->name), "t%u", i);
      jd_model_target_init (target, tier->sim, &hooks);
      target->snapshots[0] = 2;
      target->snapshots[1] = 1;
    }
}

/* Makes the brokers; each knows all targets and owns some. */
static void
make_brokers (jd_tier_t *tier)
{
  const jd_tier_options_t *options = &tier->options;
  tier->brokers = g_new0 (jd_tier_broker_t, options->brokers);
  for (uint32_t i = 0; i < options->brokers; i++)
    {
      jd_tier_broker_t *broker = &tier->brokers[i];
      jd_broker_callbacks_t callbacks = { start_attempt, cancel_attempt, send_outcomes,
                                          broker };
      broker->tier = tier;
      broker->index = i;
      g_snprintf (broker->name, sizeof (broker->name), "b%u", i);
      broker->clock_offset_us = (int64_t)jd_rng_below (&tier->rng, 1000000000);
      broker->wake_us = INT64_MAX;
      broker->target_of =
          g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
      broker->core = jd_broker_core_new (&options->broker, &callbacks);
      for (uint32_t t = 0; t < tier->target_count; t++)
        jd_broker_core_set_target (broker->core, tier->targets[t].name, options->slots,
                                   25, broker_now_us (broker));
      jd_sim_at (tier->sim, 0, report, broker, NULL, NULL);
    }
}

/* Makes the entries. */
static void
make_entries (jd_tier_t *tier)
{
  const jd_tier_options_t *options = &tier->options;
  tier->entries = g_new0 (jd_tier_entry_t, options->entries);
  for (uint32_t i = 0; i < options->entries; i++)
    {
      jd_tier_entry_t *entry = &tier->entries[i];
      jd_entry_callbacks_t callbacks = { send_work, send_cancel, on_finish, entry };
      char zone[16];
      g_snprintf (zone, sizeof (zone), "z%u", i % options->zones);
      jd_entry_settings_t settings = options->entry;
      settings.zone = zone;
      entry->tier = tier;
      entry->index = i;
      entry->clock_offset_us = (int64_t)jd_rng_below (&tier->rng, 1000000000);
      entry->wake_us = INT64_MAX;
      entry->core = jd_entry_core_new (&settings, &callbacks, tier->rng,
                                       (uint64_t)(i + 1) * 1000000000);
    }
}

/* Makes a tier with its processes running and its targets warm. */
jd_tier_t *
jd_tier_new (const jd_tier_options_t *options, const jd_tier_hooks_t *hooks)
{
  jd_tier_t *tier = g_new0 (jd_tier_t, 1);
  tier->sim = jd_sim_new ();
  tier->philox = (jd_philox_t){ .seed = options->seed, .stream = 1 };
  tier->rng = jd_philox_rng (&tier->philox);
  tier->options = *options;
  tier->hooks = *hooks;
  make_targets (tier);
  make_brokers (tier);
  make_entries (tier);
  jd_tier_publish_map (tier, options->shards);
  return tier;
}

/* Frees the tier; requests without an answer get none. */
void
jd_tier_free (jd_tier_t *tier)
{
  jd_sim_free (tier->sim);
  for (uint32_t i = 0; i < tier->options.entries; i++)
    jd_entry_core_free (tier->entries[i].core);
  for (uint32_t i = 0; i < tier->options.brokers; i++)
    {
      jd_broker_core_free (tier->brokers[i].core);
      g_hash_table_destroy (tier->brokers[i].target_of);
    }
  for (uint32_t i = 0; i < tier->target_count; i++)
    jd_model_target_clear (&tier->targets[i]);
  g_free (tier->entries);
  g_free (tier->brokers);
  g_free (tier->targets);
  g_free (tier);
}

/* Submits a request at an entry now. */
uint64_t
jd_tier_submit (jd_tier_t *tier, uint32_t index, const jd_request_t *request)
{
  jd_tier_entry_t *entry = &tier->entries[index];
  uint64_t id = jd_entry_core_submit (entry->core, request, entry_now_us (entry));
  settle_entry (entry);
  return id;
}

/* Cancels a request at its entry. */
void
jd_tier_cancel (jd_tier_t *tier, uint32_t index, uint64_t query_id)
{
  jd_tier_entry_t *entry = &tier->entries[index];
  jd_entry_core_cancel (entry->core, query_id, JD_KEY_REVOKED, entry_now_us (entry));
  settle_entry (entry);
}

/* Pauses an entry. */
void
jd_tier_pause_entry (jd_tier_t *tier, uint32_t entry, int64_t duration_us)
{
  tier->entries[entry].paused_until_us = jd_sim_now_us (tier->sim) + duration_us;
}

/* Pauses a broker. Its timers and messages are handled when it resumes. */
void
jd_tier_pause_broker (jd_tier_t *tier, uint32_t broker, int64_t duration_us)
{
  tier->brokers[broker].paused_until_us = jd_sim_now_us (tier->sim) + duration_us;
}

/* Event: a broker takes over a target. */
static void
take_over (void *context, void *data)
{
  jd_tier_broker_t *broker = context;
  jd_model_target_t *target = data;
  target->owner = broker->index;
}

/* Moves a target: the present owner stops at once, the next one starts after the
 * takeover wait. */
void
jd_tier_move_target (jd_tier_t *tier, uint32_t index, uint32_t broker)
{
  jd_model_target_t *target = &tier->targets[index];
  if (target->owner >= tier->options.brokers)
    return;
  jd_tier_broker_t *present = &tier->brokers[target->owner];
  int64_t now_us = jd_sim_now_us (tier->sim);
  /* A paused owner learns of the loss late; its lease ends by itself. */
  int64_t wait_us = TAKEOVER_US;
  if (now_us < present->paused_until_us)
    wait_us += LEASE_US;
  else
    jd_broker_core_on_owned (present->core, target->name, FALSE, 0,
                             broker_now_us (present));
  settle_broker (present);
  target->owner = UINT32_MAX;
  jd_sim_at (tier->sim, now_us + wait_us, take_over, &tier->brokers[broker], target,
             NULL);
}

/* Returns the limit that the owner of a target applies to it now. */
uint32_t
jd_tier_target_limit (const jd_tier_t *tier, uint32_t index)
{
  const jd_model_target_t *target = &tier->targets[index];
  if (target->owner >= tier->options.brokers)
    return 0;
  const jd_tier_broker_t *broker = &tier->brokers[target->owner];
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

/* Returns the counts of an entry. */
const jd_entry_counts_t *
jd_tier_entry_counts (const jd_tier_t *tier, uint32_t entry)
{
  return jd_entry_core_counts (tier->entries[entry].core);
}

/* Returns first and extra requests over all entries. */
void
jd_tier_load (const jd_tier_t *tier, uint64_t *first, uint64_t *extra)
{
  *first = 0;
  *extra = 0;
  for (uint32_t i = 0; i < tier->options.entries; i++)
    {
      uint64_t entry_first = 0;
      uint64_t entry_extra = 0;
      jd_entry_core_load (tier->entries[i].core, "desk", &entry_first, &entry_extra);
      *first += entry_first;
      *extra += entry_extra;
    }
}
