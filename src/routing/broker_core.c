#include "routing/broker_core.h"

#include "base/clock.h"
#include "base/invariant.h"
#include "routing/broker_target.h"

struct jd_broker_core
{
  jd_broker_settings_t settings;
  jd_broker_callbacks_t callbacks;
  jd_broker_counts_t counts;
  GHashTable *targets;   /* name -> jd_broker_target_t */
  GPtrArray *owned;      /* targets; only these have work */
  GHashTable *by_handle; /* handle -> attempt, all attempts */
  GHashTable *by_key;    /* (entry, attempt id) -> attempt, until answered */
  GHashTable *seen;      /* (entry, attempt id) -> deadline in microseconds */
  GPtrArray *running;    /* attempts that hold a slot */
  GPtrArray *ready;      /* batches with outcomes to send */
  uint64_t next_handle;
  int64_t purge_at_us;
};

/* Identity of an attempt over all entries. */
typedef struct attempt_key
{
  uint64_t entry;
  uint64_t attempt_id;
} attempt_key_t;

/* Hash callback of attempt_key_t. */
static guint
key_hash (gconstpointer pointer)
{
  const attempt_key_t *key = pointer;
  uint64_t mixed = (key->entry ^ (key->attempt_id * UINT64_C (0x9e3779b97f4a7c15)));
  return (guint)(mixed ^ (mixed >> 32));
}

/* Equality callback of attempt_key_t. */
static gboolean
key_equal (gconstpointer a, gconstpointer b)
{
  const attempt_key_t *left = a;
  const attempt_key_t *right = b;
  return left->entry == right->entry && left->attempt_id == right->attempt_id;
}

/* Makes a key to store in a table. */
static attempt_key_t *
key_new (uint64_t entry, uint64_t attempt_id)
{
  attempt_key_t *key = g_new (attempt_key_t, 1);
  *key = (attempt_key_t){ .entry = entry, .attempt_id = attempt_id };
  return key;
}

/* Returns the defaults of docs/design.md. */
jd_broker_settings_t
jd_broker_settings_default (void)
{
  return (jd_broker_settings_t){
    .queue_length = 64,
    .release_margin_us = 20 * JD_US_PER_MS,
    .work_bound_us = 500 * JD_US_PER_MS,
    .deadline_bound_us = 60 * JD_US_PER_S,
    .infer_cold = TRUE,
  };
}

/* Makes a core without targets. */
jd_broker_core_t *
jd_broker_core_new (const jd_broker_settings_t *settings,
                    const jd_broker_callbacks_t *callbacks)
{
  jd_broker_core_t *core = g_new0 (jd_broker_core_t, 1);
  core->settings = *settings;
  core->callbacks = *callbacks;
  core->targets = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                         (GDestroyNotify)jd_broker_target_free);
  core->owned = g_ptr_array_new ();
  core->by_handle = g_hash_table_new (g_int64_hash, g_int64_equal);
  core->by_key = g_hash_table_new_full (key_hash, key_equal, g_free, NULL);
  core->seen = g_hash_table_new_full (key_hash, key_equal, g_free, g_free);
  core->running = g_ptr_array_new ();
  core->ready = g_ptr_array_new ();
  core->next_handle = 1;
  return core;
}

/* Lists a batch for the next flush. */
static void
list_batch (jd_broker_core_t *core, jd_broker_batch_t *batch)
{
  if (batch->listed)
    return;
  batch->listed = TRUE;
  g_ptr_array_add (core->ready, batch);
}

/* Frees a batch that has no attempts left and nothing to send. */
static void
release_batch (jd_broker_batch_t *batch)
{
  batch->open_count--;
  if (batch->open_count == 0 && !batch->listed)
    jd_broker_batch_free (batch);
}

/* Forgets an attempt. */
static void
free_attempt (jd_broker_core_t *core, jd_broker_attempt_t *attempt)
{
  g_hash_table_remove (core->by_handle, &attempt->handle);
  release_batch (attempt->batch);
  g_free (attempt);
}

/* Frees the core and everything in it without answering. */
void
jd_broker_core_free (jd_broker_core_t *core)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, core->by_handle);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      jd_broker_attempt_t *attempt = value;
      g_hash_table_iter_remove (&iter);
      release_batch (attempt->batch);
      g_free (attempt);
    }
  for (uint32_t i = 0; i < core->ready->len; i++)
    jd_broker_batch_free (g_ptr_array_index (core->ready, i));
  g_hash_table_destroy (core->targets);
  g_ptr_array_free (core->owned, TRUE);
  g_hash_table_destroy (core->by_handle);
  g_hash_table_destroy (core->by_key);
  g_hash_table_destroy (core->seen);
  g_ptr_array_free (core->running, TRUE);
  g_ptr_array_free (core->ready, TRUE);
  g_free (core);
}

/* Returns the target with this name, or NULL. */
static jd_broker_target_t *
find_target (const jd_broker_core_t *core, const char *name)
{
  return g_hash_table_lookup (core->targets, name);
}

/* Adds the outcome of an attempt to its batch. */
static void
add_outcome (jd_broker_core_t *core, jd_broker_batch_t *batch,
             const jd_work_outcome_t *outcome)
{
  g_array_append_val (batch->outcomes, *outcome);
  list_batch (core, batch);
}

/* Writes the present load of each target into the collected outcomes. */
static void
fill_loads (jd_broker_core_t *core, jd_broker_batch_t *batch, int64_t now_us)
{
  for (uint32_t i = 0; i < batch->outcomes->len; i++)
    {
      jd_work_outcome_t *outcome = &g_array_index (batch->outcomes, jd_work_outcome_t, i);
      const jd_broker_target_t *target = find_target (core, outcome->target);
      if (!target)
        continue;
      outcome->target_limit = jd_target_gate_limit (&target->gate, now_us);
      outcome->target_load =
          target->gate.in_flight + jd_broker_queue_length (target->queue);
    }
}

/* Answers an attempt that did not run and was not started. */
static void
refuse_item (jd_broker_core_t *core, jd_broker_batch_t *batch, const jd_work_item_t *item,
             jd_result_code_t code)
{
  jd_work_outcome_t outcome = { .attempt_id = item->attempt_id,
                                .code = code,
                                .ran = JD_RAN_NO };
  g_strlcpy (outcome.target, item->target, sizeof (outcome.target));
  g_strlcpy (outcome.shard, item->shard, sizeof (outcome.shard));
  if (code == JD_OVERLOADED)
    core->counts.refused_overload++;
  else if (code == JD_TARGET_BUSY)
    core->counts.bounced++;
  else if (code == JD_NOT_OWNER)
    core->counts.refused_not_owner++;
  else if (code == JD_DEADLINE_EXCEEDED)
    core->counts.expired++;
  else
    core->counts.refused_target++;
  add_outcome (core, batch, &outcome);
}

/* Sends the outcome of an attempt, once. The attempt may keep its slot afterwards. */
static void
answer_attempt (jd_broker_core_t *core, jd_broker_attempt_t *attempt,
                jd_result_code_t code, jd_ran_t ran, jd_target_reply_t *reply,
                int64_t now_us)
{
  attempt_key_t key = { attempt->batch->entry, attempt->attempt_id };
  if (!g_hash_table_remove (core->by_key, &key))
    return;
  JD_INVARIANT (true_not_run,
                ran != JD_RAN_NO || attempt->state != JD_ATTEMPT_WRITTEN || reply);
  gboolean started = attempt->state != JD_ATTEMPT_QUEUED;
  jd_work_outcome_t outcome = {
    .attempt_id = attempt->attempt_id,
    .code = code,
    .ran = ran,
    .service_us = started ? now_us - attempt->started_us : 0,
    .queue_us = (started ? attempt->started_us : now_us) - attempt->arrived_us,
  };
  g_strlcpy (outcome.target, attempt->target->name, sizeof (outcome.target));
  g_strlcpy (outcome.shard, attempt->shard, sizeof (outcome.shard));
  if (reply)
    {
      outcome.snapshot = reply->snapshot;
      outcome.hit_count = reply->hit_count;
      outcome.hits = reply->hits;
      reply->hit_count = 0;
      reply->hits = NULL;
    }
  add_outcome (core, attempt->batch, &outcome);
}

/* Answers a queued attempt as not run and forgets it. */
static void
refuse_queued (jd_broker_core_t *core, jd_broker_attempt_t *attempt,
               jd_result_code_t code, int64_t now_us)
{
  jd_broker_queue_remove (attempt->target->queue, attempt);
  if (code == JD_DEADLINE_EXCEEDED)
    core->counts.expired++;
  answer_attempt (core, attempt, code, JD_RAN_NO, NULL, now_us);
  free_attempt (core, attempt);
}

/* Frees the slot of a running attempt and forgets the attempt. */
static void
end_running (jd_broker_core_t *core, jd_broker_attempt_t *attempt)
{
  g_ptr_array_remove_fast (core->running, attempt);
  jd_target_gate_release (&attempt->target->gate);
  free_attempt (core, attempt);
}

/* Raises the peak of every running attempt of a target to its present load. */
static void
raise_peaks (jd_broker_core_t *core, const jd_broker_target_t *target)
{
  for (uint32_t i = 0; i < core->running->len; i++)
    {
      jd_broker_attempt_t *attempt = g_ptr_array_index (core->running, i);
      if (attempt->target == target)
        attempt->peak_in_flight = MAX (attempt->peak_in_flight, target->gate.in_flight);
    }
}

/* Takes a queued attempt out of the queue and hands it to the target client. */
static void
start_attempt (jd_broker_core_t *core, jd_broker_attempt_t *attempt, int64_t now_us)
{
  jd_broker_target_t *target = attempt->target;
  jd_broker_queue_remove (target->queue, attempt);
  JD_INVARIANT (target_leave, !target->leaving && !target->draining);
  jd_target_gate_start (&target->gate, now_us);
  attempt->state = JD_ATTEMPT_STARTED;
  attempt->started_us = now_us;
  attempt->deadline_us =
      MIN (attempt->deadline_us, now_us + core->settings.work_bound_us);
  g_ptr_array_add (core->running, attempt);
  raise_peaks (core, target);
  core->counts.started++;
  jd_broker_start_t start = {
    .handle = attempt->handle,
    .target = target->name,
    .shard = attempt->shard,
    .work = &attempt->batch->work,
    .deadline_us = attempt->deadline_us,
  };
  core->callbacks.start_attempt (core->callbacks.context, &start);
}

/* Returns whether queued work can hardly end in time: three quarters of the expected
 * service time must be left. Starting it would take the slot from work that can. */
static gboolean
is_hopeless (const jd_broker_target_t *target, int64_t deadline_us, int64_t now_us)
{
  return now_us + jd_target_gate_expected_us (&target->gate, now_us) * 3 / 4 >=
         deadline_us;
}

/* Ends expired work of a target and starts what its gate admits. */
static void
pump (jd_broker_core_t *core, jd_broker_target_t *target, int64_t now_us)
{
  jd_result_code_t refusal = jd_broker_target_usable (target, now_us);
  int64_t deadline_us = 0;
  jd_broker_attempt_t *first;
  while ((first = jd_broker_queue_peek (target->queue, &deadline_us)) != NULL)
    {
      if (refusal != JD_OK)
        refuse_queued (core, first, refusal, now_us);
      else if (is_hopeless (target, deadline_us, now_us))
        refuse_queued (core, first, JD_DEADLINE_EXCEEDED, now_us);
      else if (jd_target_gate_admits (&target->gate, now_us))
        start_attempt (core, first, now_us);
      else
        break;
    }
}

/* Adds a published target or changes its limits. */
void
jd_broker_core_set_target (jd_broker_core_t *core, const char *name, uint32_t slots,
                           uint32_t connections, int64_t now_us)
{
  jd_broker_target_t *target = find_target (core, name);
  if (!target)
    {
      jd_gate_settings_t settings = jd_gate_settings_default (slots, connections);
      settings.infer_cold = core->settings.infer_cold;
      target =
          jd_broker_target_new (name, &settings, core->settings.queue_length, now_us);
      g_hash_table_insert (core->targets, target->name, target);
      return;
    }
  jd_target_gate_set_limits (&target->gate, slots, connections);
  pump (core, target, now_us);
}

/* Marks a target as leaving, or as published again. */
void
jd_broker_core_set_leaving (jd_broker_core_t *core, const char *name, gboolean leaving,
                            int64_t now_us)
{
  jd_broker_target_t *target = find_target (core, name);
  if (!target)
    return;
  target->leaving = leaving;
  pump (core, target, now_us);
}

/* Takes the state of the ownership. A target whose ownership was interrupted counts as
 * cold, because another broker may have used it in between. */
void
jd_broker_core_on_owned (jd_broker_core_t *core, const char *name, gboolean owned,
                         int64_t valid_until_us, int64_t now_us)
{
  jd_broker_target_t *target = find_target (core, name);
  if (!target)
    return;
  gboolean held = target->owned && now_us < target->valid_until_us;
  if (owned && !held)
    jd_target_gate_set_cold (&target->gate, now_us);
  if (owned && !target->owned)
    g_ptr_array_add (core->owned, target);
  else if (!owned && target->owned)
    g_ptr_array_remove (core->owned, target);
  target->owned = owned;
  target->valid_until_us = valid_until_us;
  pump (core, target, now_us);
}

/* Takes a reading of the health endpoint. */
void
jd_broker_core_on_health (jd_broker_core_t *core, const char *name,
                          const jd_target_health_t *health, int64_t now_us)
{
  jd_broker_target_t *target = find_target (core, name);
  if (!target)
    return;
  target->health = *health;
  target->health.snapshot_count = MIN (health->snapshot_count, 4);
  target->draining = health->draining;
  jd_target_gate_set_health (&target->gate, health->cold, now_us);
  pump (core, target, now_us);
}

/* Remembers an attempt until its deadline, after which it would be refused anyway. A
 * second copy must neither run an edit twice nor run what was refused as not run. */
static void
remember (jd_broker_core_t *core, const attempt_key_t *key, int64_t deadline_us)
{
  int64_t *stored = g_new (int64_t, 1);
  *stored = deadline_us;
  g_hash_table_insert (core->seen, key_new (key->entry, key->attempt_id), stored);
}

/* Returns JD_OK when an item may wait for its target, else the code of the refusal. */
static jd_result_code_t
check_item (const jd_broker_core_t *core, const jd_broker_target_t *target,
            const jd_work_t *work, int64_t now_us)
{
  int64_t deadline_us = work->deadline_us;
  if (!target)
    return JD_NOT_OWNER;
  jd_result_code_t refusal = jd_broker_target_usable (target, now_us);
  if (refusal != JD_OK)
    return refusal;
  if (is_hopeless (target, deadline_us, now_us) ||
      deadline_us > now_us + core->settings.deadline_bound_us)
    return JD_DEADLINE_EXCEEDED;
  if (jd_broker_target_estimate_us (target, deadline_us, now_us) > deadline_us)
    return JD_OVERLOADED;
  if (work->bounce_at && jd_broker_target_wait (target, now_us) >= work->bounce_at)
    return JD_TARGET_BUSY;
  return JD_OK;
}

/* Queues one item of a batch or refuses it. */
static void
take_item (jd_broker_core_t *core, jd_broker_batch_t *batch, const jd_work_item_t *item,
           int64_t now_us)
{
  attempt_key_t key = { batch->entry, item->attempt_id };
  if (g_hash_table_contains (core->seen, &key))
    {
      core->counts.duplicates++;
      return;
    }
  remember (core, &key, batch->work.deadline_us);
  jd_broker_target_t *target = find_target (core, item->target);
  jd_result_code_t refusal = check_item (core, target, &batch->work, now_us);
  if (refusal != JD_OK)
    {
      refuse_item (core, batch, item, refusal);
      return;
    }
  jd_broker_attempt_t *attempt = g_new0 (jd_broker_attempt_t, 1);
  attempt->handle = core->next_handle;
  attempt->attempt_id = item->attempt_id;
  attempt->batch = batch;
  attempt->target = target;
  attempt->arrived_us = now_us;
  attempt->deadline_us = batch->work.deadline_us;
  g_strlcpy (attempt->shard, item->shard, sizeof (attempt->shard));
  if (!jd_broker_queue_push (target->queue, attempt->deadline_us, attempt))
    {
      g_free (attempt);
      refuse_item (core, batch, item, JD_OVERLOADED);
      return;
    }
  core->next_handle++;
  batch->open_count++;
  g_hash_table_insert (core->by_handle, &attempt->handle, attempt);
  g_hash_table_insert (core->by_key, key_new (key.entry, key.attempt_id), attempt);
  pump (core, target, now_us);
}

/* Takes a work message and its contents. */
void
jd_broker_core_on_work (jd_broker_core_t *core, uint64_t entry, jd_work_t *work,
                        int64_t now_us)
{
  jd_broker_batch_t *batch = jd_broker_batch_new (entry, work);
  batch->open_count = 1;
  for (uint32_t i = 0; i < batch->work.item_count; i++)
    take_item (core, batch, &batch->work.items[i], now_us);
  release_batch (batch);
}

/* Stops a running attempt of a search or fetch. Its slot is freed when the target
 * confirms, or after the deadline. */
static void
cancel_running (jd_broker_core_t *core, jd_broker_attempt_t *attempt)
{
  attempt_key_t key = { attempt->batch->entry, attempt->attempt_id };
  g_hash_table_remove (core->by_key, &key);
  attempt->state = JD_ATTEMPT_HELD;
  core->callbacks.cancel_attempt (core->callbacks.context, attempt->handle);
}

/* Cancels attempts. Queued ones are dropped, running edits are left to finish, since
 * the caller needs their true outcome. */
void
jd_broker_core_on_cancel (jd_broker_core_t *core, uint64_t entry,
                          const uint64_t *attempt_ids, uint32_t count, int64_t now_us)
{
  for (uint32_t i = 0; i < count; i++)
    {
      attempt_key_t key = { entry, attempt_ids[i] };
      jd_broker_attempt_t *attempt = g_hash_table_lookup (core->by_key, &key);
      if (!attempt)
        continue;
      if (attempt->state == JD_ATTEMPT_QUEUED)
        refuse_queued (core, attempt, JD_CANCELLED, now_us);
      else if (attempt->batch->work.kind != JD_WORK_EDIT)
        cancel_running (core, attempt);
    }
}

/* Checks ownership and deadline again right before the first byte. A process that was
 * paused since the start of the attempt must not write. */
gboolean
jd_broker_core_may_write (jd_broker_core_t *core, uint64_t handle, int64_t now_us)
{
  jd_broker_attempt_t *attempt = g_hash_table_lookup (core->by_handle, &handle);
  if (!attempt)
    return FALSE;
  jd_broker_target_t *target = attempt->target;
  jd_result_code_t refusal = jd_broker_target_usable (target, now_us);
  if (refusal == JD_OK && now_us >= attempt->deadline_us)
    refusal = JD_DEADLINE_EXCEEDED;
  if (refusal == JD_OK && attempt->state == JD_ATTEMPT_STARTED)
    {
      attempt->state = JD_ATTEMPT_WRITTEN;
      return TRUE;
    }
  core->counts.stopped_before_write++;
  answer_attempt (core, attempt, refusal == JD_OK ? JD_CANCELLED : refusal, JD_RAN_NO,
                  NULL, now_us);
  end_running (core, attempt);
  return FALSE;
}

/* Result of an attempt for the entry, per kind of reply. */
typedef struct reply_meaning
{
  jd_result_code_t code;
  jd_ran_t ran;
} reply_meaning_t;

static const reply_meaning_t reply_meanings[] = {
  [JD_REPLY_OK] = { JD_OK, JD_RAN_YES },
  [JD_REPLY_NOT_FOUND] = { JD_ENTRY_NOT_FOUND, JD_RAN_YES },
  [JD_REPLY_NO_SNAPSHOT] = { JD_SNAPSHOT_UNAVAILABLE, JD_RAN_NO },
  [JD_REPLY_SHED] = { JD_TARGET_SHED, JD_RAN_NO },
  [JD_REPLY_ERROR] = { JD_TARGET_ERROR, JD_RAN_UNKNOWN },
  [JD_REPLY_CROSSED] = { JD_CROSSED_REPLY, JD_RAN_UNKNOWN },
  [JD_REPLY_NOT_SENT] = { JD_TARGET_UNREACHABLE, JD_RAN_NO },
  [JD_REPLY_BROKEN] = { JD_TARGET_ERROR, JD_RAN_UNKNOWN },
  [JD_REPLY_TIMEOUT] = { JD_DEADLINE_EXCEEDED, JD_RAN_UNKNOWN },
  [JD_REPLY_CANCEL_CONFIRMED] = { JD_CANCELLED, JD_RAN_UNKNOWN },
};

/* Returns whether an attempt without a reply ran much longer than is normal for its
 * target; without a learned latency, for at least half of its time. Attempts that began
 * shortly before their deadline say nothing about the target. */
static gboolean
was_slow (const jd_broker_attempt_t *attempt, int64_t now_us)
{
  const jd_target_gate_t *gate = &attempt->target->gate;
  int64_t ran_us = now_us - attempt->started_us;
  if (!gate->median_us)
    return 2 * ran_us >= attempt->deadline_us - attempt->arrived_us;
  return (double)ran_us > gate->settings.slow_factor * (double)gate->median_us;
}

/* Tells the gate what the end of an attempt shows about the target. */
static void
sample_reply (jd_broker_attempt_t *attempt, const jd_target_reply_t *reply,
              int64_t now_us)
{
  /* The client closes the connection of a cancelled attempt itself. */
  gboolean closed_by_us =
      attempt->state == JD_ATTEMPT_HELD &&
      (reply->kind == JD_REPLY_NOT_SENT || reply->kind == JD_REPLY_BROKEN);
  if (attempt->sampled || closed_by_us)
    return;
  attempt->sampled = TRUE;
  jd_gate_sample_t sample = {
    .event = JD_GATE_OK,
    .started_us = attempt->started_us,
    .service_us = now_us - attempt->started_us,
    .peak_in_flight = attempt->peak_in_flight,
    .boot_id = reply->boot_id,
    .uptime_us = reply->uptime_us,
    .reported_in_flight = reply->in_flight,
  };
  switch (reply->kind)
    {
    case JD_REPLY_CANCEL_CONFIRMED:
      return;
    case JD_REPLY_SHED:
      sample.event = JD_GATE_SHED;
      break;
    case JD_REPLY_ERROR:
    case JD_REPLY_CROSSED:
    case JD_REPLY_NOT_SENT:
    case JD_REPLY_BROKEN:
      sample.event = JD_GATE_FAILED;
      break;
    case JD_REPLY_TIMEOUT:
      if (!was_slow (attempt, now_us))
        {
          jd_target_gate_stopped (&attempt->target->gate, sample.service_us, now_us);
          return;
        }
      sample.event = JD_GATE_TIMEOUT;
      break;
    case JD_REPLY_NO_SNAPSHOT:
      sample.event = JD_GATE_ALIVE;
      break;
    case JD_REPLY_OK:
    case JD_REPLY_NOT_FOUND:
      break;
    }
  jd_target_gate_sample (&attempt->target->gate, &sample, now_us);
}

/* Frees the hits of a reply that nobody waits for. */
static void
drop_hits (jd_target_reply_t *reply)
{
  jd_work_outcome_t holder = { .hit_count = reply->hit_count, .hits = reply->hits };
  jd_work_outcome_clear (&holder);
  reply->hits = NULL;
  reply->hit_count = 0;
}

/* Keeps the slot of an attempt without a reply until the target cannot be working on
 * it any more. */
static void
hold_slot (jd_broker_core_t *core, jd_broker_attempt_t *attempt)
{
  attempt->state = JD_ATTEMPT_HELD;
  core->callbacks.cancel_attempt (core->callbacks.context, attempt->handle);
}

/* Returns whether the target may still work on an attempt after such an end. */
static gboolean
keeps_slot (const jd_broker_attempt_t *attempt, jd_reply_kind_t kind)
{
  return attempt->state == JD_ATTEMPT_WRITTEN &&
         (kind == JD_REPLY_TIMEOUT || kind == JD_REPLY_BROKEN ||
          kind == JD_REPLY_CROSSED);
}

/* Takes the end of an attempt. Ends for unknown handles are dropped and counted. */
void
jd_broker_core_on_reply (jd_broker_core_t *core, uint64_t handle,
                         jd_target_reply_t *reply, int64_t now_us)
{
  jd_broker_attempt_t *attempt = g_hash_table_lookup (core->by_handle, &handle);
  if (!attempt || attempt->state == JD_ATTEMPT_QUEUED)
    {
      core->counts.unknown_replies++;
      drop_hits (reply);
      return;
    }
  jd_broker_target_t *target = attempt->target;
  sample_reply (attempt, reply, now_us);
  if (reply->draining)
    target->draining = TRUE;
  const reply_meaning_t *meaning = &reply_meanings[reply->kind];
  answer_attempt (core, attempt, meaning->code, meaning->ran, reply, now_us);
  drop_hits (reply);
  if (keeps_slot (attempt, reply->kind))
    hold_slot (core, attempt);
  else if (attempt->state == JD_ATTEMPT_HELD &&
           (reply->kind == JD_REPLY_TIMEOUT || reply->kind == JD_REPLY_BROKEN))
    ; /* The slot stays held until the deadline has passed. */
  else
    end_running (core, attempt);
  pump (core, target, now_us);
}

/* Ends a written attempt at its deadline. */
static void
time_out (jd_broker_core_t *core, jd_broker_attempt_t *attempt, int64_t now_us)
{
  jd_target_reply_t reply = { .kind = JD_REPLY_TIMEOUT,
                              .uptime_us = -1,
                              .in_flight = -1 };
  sample_reply (attempt, &reply, now_us);
  answer_attempt (core, attempt, JD_DEADLINE_EXCEEDED, JD_RAN_UNKNOWN, &reply, now_us);
  hold_slot (core, attempt);
}

/* Frees a slot whose attempt got no reply or confirmation in time. A target that has not
 * replied to a later attempt either falls back to one attempt at a time. */
static void
end_held (jd_broker_core_t *core, jd_broker_attempt_t *attempt, int64_t now_us)
{
  jd_target_reply_t reply = { .kind = JD_REPLY_TIMEOUT,
                              .uptime_us = -1,
                              .in_flight = -1 };
  if (attempt->target->gate.alive_us <= attempt->started_us)
    sample_reply (attempt, &reply, now_us);
  end_running (core, attempt);
}

/* Ends running attempts whose time is over. */
static void
end_overdue (jd_broker_core_t *core, int64_t now_us)
{
  for (uint32_t i = core->running->len; i > 0; i--)
    {
      jd_broker_attempt_t *attempt = g_ptr_array_index (core->running, i - 1);
      int64_t overdue_us = now_us - attempt->deadline_us;
      if (overdue_us >= core->settings.release_margin_us &&
          attempt->state == JD_ATTEMPT_HELD)
        end_held (core, attempt, now_us);
      else if (overdue_us >= 0 && attempt->state == JD_ATTEMPT_WRITTEN)
        time_out (core, attempt, now_us);
    }
}

/* Forgets attempts whose deadline has passed. */
static void
purge_seen (jd_broker_core_t *core, int64_t now_us)
{
  if (now_us < core->purge_at_us)
    return;
  core->purge_at_us = now_us + 100 * JD_US_PER_MS;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, core->seen);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (*(int64_t *)value < now_us)
        g_hash_table_iter_remove (&iter);
    }
}

/* Ends what is overdue and starts what may start. */
void
jd_broker_core_tick (jd_broker_core_t *core, int64_t now_us)
{
  end_overdue (core, now_us);
  purge_seen (core, now_us);
  for (uint32_t i = 0; i < core->owned->len; i++)
    pump (core, g_ptr_array_index (core->owned, i), now_us);
}

/* Sends the collected outcomes of every batch. */
void
jd_broker_core_flush (jd_broker_core_t *core, int64_t now_us)
{
  for (uint32_t i = 0; i < core->ready->len; i++)
    {
      jd_broker_batch_t *batch = g_ptr_array_index (core->ready, i);
      jd_broker_batch_truncate (batch);
      fill_loads (core, batch, now_us);
      jd_work_result_t result = {
        .query_id = batch->work.query_id,
        .broker_clock_us = now_us,
        .outcome_count = batch->outcomes->len,
        .outcomes = (jd_work_outcome_t *)(void *)batch->outcomes->data,
      };
      core->callbacks.send_outcomes (core->callbacks.context, batch->entry, &result);
      for (uint32_t j = 0; j < batch->outcomes->len; j++)
        jd_work_outcome_clear (&result.outcomes[j]);
      g_array_set_size (batch->outcomes, 0);
      batch->listed = FALSE;
      if (batch->open_count == 0)
        jd_broker_batch_free (batch);
    }
  g_ptr_array_set_size (core->ready, 0);
}

/* Returns when tick must be called at the latest, or INT64_MAX. */
int64_t
jd_broker_core_next_wake_us (const jd_broker_core_t *core, int64_t now_us)
{
  int64_t wake_us = INT64_MAX;
  for (uint32_t i = 0; i < core->running->len; i++)
    {
      const jd_broker_attempt_t *attempt = g_ptr_array_index (core->running, i);
      int64_t margin_us =
          attempt->state == JD_ATTEMPT_HELD ? core->settings.release_margin_us : 0;
      if (attempt->state != JD_ATTEMPT_STARTED)
        wake_us = MIN (wake_us, attempt->deadline_us + margin_us);
    }
  for (uint32_t i = 0; i < core->owned->len; i++)
    {
      const jd_broker_target_t *target = g_ptr_array_index (core->owned, i);
      int64_t deadline_us = 0;
      if (!jd_broker_queue_peek (target->queue, &deadline_us))
        continue;
      wake_us =
          MIN (wake_us,
               deadline_us - jd_target_gate_expected_us (&target->gate, now_us) * 3 / 4);
      if (target->gate.blocked_until_us > now_us)
        wake_us = MIN (wake_us, target->gate.blocked_until_us);
    }
  return wake_us;
}

/* Appends the status of each owned target. */
void
jd_broker_core_target_states (const jd_broker_core_t *core, int64_t now_us,
                              GArray *states)
{
  for (uint32_t i = 0; i < core->owned->len; i++)
    {
      const jd_broker_target_t *target = g_ptr_array_index (core->owned, i);
      if (jd_broker_target_usable (target, now_us) == JD_NOT_OWNER)
        continue;
      jd_target_status_t status;
      jd_broker_target_status (target, now_us, &status);
      g_array_append_val (states, status);
    }
}

/* Returns the number of attempts that are queued or hold a slot. */
uint32_t
jd_broker_core_open_count (const jd_broker_core_t *core)
{
  return g_hash_table_size (core->by_handle);
}

/* Returns the counts since the start. */
const jd_broker_counts_t *
jd_broker_core_counts (const jd_broker_core_t *core)
{
  return &core->counts;
}
