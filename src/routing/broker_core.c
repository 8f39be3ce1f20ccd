#include "routing/broker_core.h"

#include "base/clock.h"
#include "base/invariant.h"
#include "routing/broker_target.h"

struct jd_broker_core
{
  jd_broker_settings_t settings;
  jd_broker_callbacks_t callbacks;
  jd_broker_counts_t counts;
  GHashTable *targets;     /* name -> jd_broker_target_t */
  GPtrArray *owned;        /* jd_broker_target_t; only owned targets have work */
  GHashTable *by_handle;   /* handle -> jd_broker_attempt_t, all attempts */
  GHashTable *unanswered;  /* attempt_key_t -> jd_broker_attempt_t without an outcome */
  GHashTable *recent_keys; /* attempt_key_t -> deadline in us, to detect duplicates */
  GPtrArray *running;      /* jd_broker_attempt_t that hold a slot */
  GPtrArray *batches_to_flush; /* jd_broker_batch_t with outcomes to send */
  uint64_t next_handle;
  int64_t next_purge_us;
};

/* Identity of an attempt among the attempts of all entries. */
typedef struct attempt_key
{
  uint64_t entry;
  uint64_t attempt_id;
} attempt_key_t;

/* GHashFunc for attempt_key_t. */
static guint
key_hash (gconstpointer pointer)
{
  const attempt_key_t *key = pointer;
  uint64_t mixed = (key->entry ^ (key->attempt_id * UINT64_C (0x9e3779b97f4a7c15)));
  return (guint)(mixed ^ (mixed >> 32));
}

/* GEqualFunc for attempt_key_t. */
static gboolean
key_equal (gconstpointer a, gconstpointer b)
{
  const attempt_key_t *left = a;
  const attempt_key_t *right = b;
  return left->entry == right->entry && left->attempt_id == right->attempt_id;
}

/* Allocates a key; the caller owns it. */
static attempt_key_t *
key_new (uint64_t entry, uint64_t attempt_id)
{
  attempt_key_t *key = g_new (attempt_key_t, 1);
  *key = (attempt_key_t){ .entry = entry, .attempt_id = attempt_id };
  return key;
}

/* Returns the default settings, which docs/design.md explains. */
jd_broker_settings_t
jd_broker_settings_default (void)
{
  return (jd_broker_settings_t){
    .max_queue_length = 64,
    .release_margin_us = 20 * JD_US_PER_MS,
    .work_bound_us = 500 * JD_US_PER_MS,
    .deadline_bound_us = 60 * JD_US_PER_S,
    .infer_cold = TRUE,
  };
}

/* Creates a core without targets. Copies settings and callbacks. */
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
  core->unanswered = g_hash_table_new_full (key_hash, key_equal, g_free, NULL);
  core->recent_keys = g_hash_table_new_full (key_hash, key_equal, g_free, g_free);
  core->running = g_ptr_array_new ();
  core->batches_to_flush = g_ptr_array_new ();
  core->next_handle = 1;
  return core;
}

/* Adds a batch to those that the next flush sends, unless it is there already. */
static void
mark_for_flush (jd_broker_core_t *core, jd_broker_batch_t *batch)
{
  if (batch->flush_pending)
    return;
  batch->flush_pending = TRUE;
  g_ptr_array_add (core->batches_to_flush, batch);
}

/* Drops one reference to a batch. Frees it with the last one, unless a flush is pending,
 * which frees it then. */
static void
release_batch (jd_broker_batch_t *batch)
{
  batch->open_count--;
  if (batch->open_count == 0 && !batch->flush_pending)
    jd_broker_batch_free (batch);
}

/* Frees an attempt and its reference to the batch. It must not be queued, running or
 * unanswered any more. */
static void
free_attempt (jd_broker_core_t *core, jd_broker_attempt_t *attempt)
{
  g_hash_table_remove (core->by_handle, &attempt->handle);
  release_batch (attempt->batch);
  g_free (attempt);
}

/* Frees the core and everything in it without sending any outcome. */
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
  for (uint32_t i = 0; i < core->batches_to_flush->len; i++)
    jd_broker_batch_free (g_ptr_array_index (core->batches_to_flush, i));
  g_hash_table_destroy (core->targets);
  g_ptr_array_free (core->owned, TRUE);
  g_hash_table_destroy (core->by_handle);
  g_hash_table_destroy (core->unanswered);
  g_hash_table_destroy (core->recent_keys);
  g_ptr_array_free (core->running, TRUE);
  g_ptr_array_free (core->batches_to_flush, TRUE);
  g_free (core);
}

/* Returns the target with this name, or NULL. */
static jd_broker_target_t *
find_target (const jd_broker_core_t *core, const char *name)
{
  return g_hash_table_lookup (core->targets, name);
}

/* Adds an outcome to a batch, which takes ownership of the hits. */
static void
add_outcome (jd_broker_core_t *core, jd_broker_batch_t *batch,
             const jd_work_outcome_t *outcome)
{
  g_array_append_val (batch->outcomes, *outcome);
  mark_for_flush (core, batch);
}

/* Sets the limit and the load of the target in each collected outcome to their values at
 * now_us. */
static void
set_target_loads (jd_broker_core_t *core, jd_broker_batch_t *batch, int64_t now_us)
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

/* Adds the outcome of an item that was not queued: not run, with the given code. */
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
    core->counts.refused_busy++;
  else if (code == JD_NOT_OWNER)
    core->counts.refused_not_owner++;
  else if (code == JD_DEADLINE_EXCEEDED)
    core->counts.expired++;
  else
    core->counts.refused_target++;
  add_outcome (core, batch, &outcome);
}

/* Adds the outcome of an attempt to its batch, at most once per attempt. Takes
 * ownership of the hits of reply, which may be NULL. The attempt may hold its slot
 * afterwards. */
static void
answer_attempt (jd_broker_core_t *core, jd_broker_attempt_t *attempt,
                jd_result_code_t code, jd_ran_t ran, jd_target_reply_t *reply,
                int64_t now_us)
{
  attempt_key_t key = { attempt->batch->entry, attempt->attempt_id };
  if (!g_hash_table_remove (core->unanswered, &key))
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

/* Ends a queued attempt as not run and frees it. */
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

/* Releases the slot of a running attempt and frees the attempt. */
static void
end_running (jd_broker_core_t *core, jd_broker_attempt_t *attempt)
{
  g_ptr_array_remove_fast (core->running, attempt);
  jd_target_gate_release (&attempt->target->gate);
  free_attempt (core, attempt);
}

/* Raises peak_in_flight of each running attempt of a target to its current load. */
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

/* Removes an attempt from its queue and passes it to the target client. */
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

/* Returns TRUE if work is unlikely to finish by its deadline because less than three
 * quarters of the expected service time is left. If started, it would occupy a slot that
 * other work could use in time. */
static gboolean
cannot_finish_in_time (const jd_broker_target_t *target, int64_t deadline_us,
                       int64_t now_us)
{
  return now_us + jd_target_gate_expected_us (&target->gate, now_us) * 3 / 4 >=
         deadline_us;
}

/* Starts queued attempts of a target in order while its gate admits them, and refuses
 * those that cannot run or cannot finish in time. */
static void
process_queue (jd_broker_core_t *core, jd_broker_target_t *target, int64_t now_us)
{
  jd_result_code_t refusal = jd_broker_target_check_usable (target, now_us);
  int64_t deadline_us = 0;
  jd_broker_attempt_t *first;
  while ((first = jd_broker_queue_peek (target->queue, &deadline_us)) != NULL)
    {
      if (refusal != JD_OK)
        refuse_queued (core, first, refusal, now_us);
      else if (cannot_finish_in_time (target, deadline_us, now_us))
        refuse_queued (core, first, JD_DEADLINE_EXCEEDED, now_us);
      else if (jd_target_gate_admits (&target->gate, now_us))
        start_attempt (core, first, now_us);
      else
        break;
    }
}

/* Adds a published target, or applies its new limits and starts what they allow. */
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
          jd_broker_target_new (name, &settings, core->settings.max_queue_length, now_us);
      g_hash_table_insert (core->targets, target->name, target);
      return;
    }
  jd_target_gate_set_limits (&target->gate, slots, connections);
  process_queue (core, target, now_us);
}

/* Marks a target as leaving, or as published again. Unknown targets are ignored. */
void
jd_broker_core_set_leaving (jd_broker_core_t *core, const char *name, gboolean leaving,
                            int64_t now_us)
{
  jd_broker_target_t *target = find_target (core, name);
  if (!target)
    return;
  target->leaving = leaving;
  process_queue (core, target, now_us);
}

/* Applies a change of ownership. A target that was not owned without interruption counts
 * as cold, because another broker may have used it in between. */
void
jd_broker_core_on_owned (jd_broker_core_t *core, const char *name, gboolean owned,
                         int64_t owned_until_us, int64_t now_us)
{
  jd_broker_target_t *target = find_target (core, name);
  if (!target)
    return;
  gboolean ownership_valid = target->owned && now_us < target->owned_until_us;
  if (owned && !ownership_valid)
    jd_target_gate_set_cold (&target->gate, now_us);
  if (owned && !target->owned)
    g_ptr_array_add (core->owned, target);
  else if (!owned && target->owned)
    g_ptr_array_remove (core->owned, target);
  target->owned = owned;
  target->owned_until_us = owned_until_us;
  process_queue (core, target, now_us);
}

/* Applies the state that the health endpoint of a target reported. */
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
  process_queue (core, target, now_us);
}

/* Stores the key of an attempt until its deadline, after which the attempt would be
 * refused anyway. A duplicate must not run an edit a second time, nor run an attempt that
 * was reported as not run. */
static void
store_key (jd_broker_core_t *core, const attempt_key_t *key, int64_t deadline_us)
{
  int64_t *stored = g_new (int64_t, 1);
  *stored = deadline_us;
  g_hash_table_insert (core->recent_keys, key_new (key->entry, key->attempt_id), stored);
}

/* Returns JD_OK if an item may be queued for its target, else the code of the refusal.
 * target is NULL if this broker has no such target. */
static jd_result_code_t
check_item (const jd_broker_core_t *core, const jd_broker_target_t *target,
            const jd_work_t *work, int64_t now_us)
{
  int64_t deadline_us = work->deadline_us;
  if (!target)
    return JD_NOT_OWNER;
  jd_result_code_t refusal = jd_broker_target_check_usable (target, now_us);
  if (refusal != JD_OK)
    return refusal;
  if (cannot_finish_in_time (target, deadline_us, now_us) ||
      deadline_us > now_us + core->settings.deadline_bound_us)
    return JD_DEADLINE_EXCEEDED;
  if (jd_broker_target_estimate_us (target, deadline_us, now_us) > deadline_us)
    return JD_OVERLOADED;
  if (work->busy_wait_count &&
      jd_broker_target_wait_count (target, now_us) >= work->busy_wait_count)
    return JD_TARGET_BUSY;
  return JD_OK;
}

/* Queues one item of a batch or refuses it. Duplicates are counted and ignored. */
static void
enqueue_item (jd_broker_core_t *core, jd_broker_batch_t *batch,
              const jd_work_item_t *item, int64_t now_us)
{
  attempt_key_t key = { batch->entry, item->attempt_id };
  if (g_hash_table_contains (core->recent_keys, &key))
    {
      core->counts.duplicates++;
      return;
    }
  store_key (core, &key, batch->work.deadline_us);
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
  g_hash_table_insert (core->unanswered, key_new (key.entry, key.attempt_id), attempt);
  process_queue (core, target, now_us);
}

/* Handles a work message. The batch has a reference of its own until every item is
 * queued or refused. */
void
jd_broker_core_on_work (jd_broker_core_t *core, uint64_t entry, jd_work_t *work,
                        int64_t now_us)
{
  jd_broker_batch_t *batch = jd_broker_batch_new (entry, work);
  batch->open_count = 1;
  for (uint32_t i = 0; i < batch->work.item_count; i++)
    enqueue_item (core, batch, &batch->work.items[i], now_us);
  release_batch (batch);
}

/* Cancels a running search or fetch without an outcome. It holds its slot until the
 * target confirms, or until the release margin after the deadline has passed. */
static void
cancel_running (jd_broker_core_t *core, jd_broker_attempt_t *attempt)
{
  attempt_key_t key = { attempt->batch->entry, attempt->attempt_id };
  g_hash_table_remove (core->unanswered, &key);
  attempt->state = JD_ATTEMPT_HELD;
  core->callbacks.cancel_attempt (core->callbacks.context, attempt->handle);
}

/* Cancels attempts. Queued attempts end as not run. Running edits continue, because the
 * caller needs their actual outcome. */
void
jd_broker_core_on_cancel (jd_broker_core_t *core, uint64_t entry,
                          const uint64_t *attempt_ids, uint32_t count, int64_t now_us)
{
  for (uint32_t i = 0; i < count; i++)
    {
      attempt_key_t key = { entry, attempt_ids[i] };
      jd_broker_attempt_t *attempt = g_hash_table_lookup (core->unanswered, &key);
      if (!attempt)
        continue;
      if (attempt->state == JD_ATTEMPT_QUEUED)
        refuse_queued (core, attempt, JD_CANCELLED, now_us);
      else if (attempt->batch->work.kind != JD_WORK_EDIT)
        cancel_running (core, attempt);
    }
}

/* Checks ownership and deadline again, because the process may have been paused between
 * the start of the attempt and its first byte. */
gboolean
jd_broker_core_may_write (jd_broker_core_t *core, uint64_t handle, int64_t now_us)
{
  jd_broker_attempt_t *attempt = g_hash_table_lookup (core->by_handle, &handle);
  if (!attempt)
    return FALSE;
  jd_broker_target_t *target = attempt->target;
  jd_result_code_t refusal = jd_broker_target_check_usable (target, now_us);
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

/* Result of an attempt that is reported to the entry for a kind of reply. */
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
  [JD_REPLY_WRONG_REQUEST_ID] = { JD_CROSSED_REPLY, JD_RAN_UNKNOWN },
  [JD_REPLY_NOT_SENT] = { JD_TARGET_UNREACHABLE, JD_RAN_NO },
  [JD_REPLY_BROKEN] = { JD_TARGET_ERROR, JD_RAN_UNKNOWN },
  [JD_REPLY_TIMEOUT] = { JD_DEADLINE_EXCEEDED, JD_RAN_UNKNOWN },
  [JD_REPLY_CANCEL_CONFIRMED] = { JD_CANCELLED, JD_RAN_UNKNOWN },
};

/* Returns TRUE if an attempt without a reply ran much longer than is normal for its
 * target. While the normal latency is unknown, the attempt must have run for at least
 * half of the time from its arrival to its deadline: an attempt that started shortly
 * before its deadline does not show that the target is slow. */
static gboolean
was_slow (const jd_broker_attempt_t *attempt, int64_t now_us)
{
  const jd_target_gate_t *gate = &attempt->target->gate;
  int64_t ran_us = now_us - attempt->started_us;
  if (!gate->normal_median_us)
    return 2 * ran_us >= attempt->deadline_us - attempt->arrived_us;
  return (double)ran_us > gate->settings.slow_factor * (double)gate->normal_median_us;
}

/* Reports the end of an attempt to the gate of its target, at most once per attempt. */
static void
report_to_gate (jd_broker_attempt_t *attempt, const jd_target_reply_t *reply,
                int64_t now_us)
{
  /* The target client closes the connection of a cancelled attempt, so this end does not
   * show a failure of the target. */
  gboolean closed_by_us =
      attempt->state == JD_ATTEMPT_HELD &&
      (reply->kind == JD_REPLY_NOT_SENT || reply->kind == JD_REPLY_BROKEN);
  if (attempt->gate_recorded || closed_by_us)
    return;
  attempt->gate_recorded = TRUE;
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
    case JD_REPLY_WRONG_REQUEST_ID:
    case JD_REPLY_NOT_SENT:
    case JD_REPLY_BROKEN:
      sample.event = JD_GATE_FAILED;
      break;
    case JD_REPLY_TIMEOUT:
      if (!was_slow (attempt, now_us))
        {
          jd_target_gate_record_stopped (&attempt->target->gate, sample.service_us,
                                         now_us);
          return;
        }
      sample.event = JD_GATE_TIMEOUT;
      break;
    case JD_REPLY_NO_SNAPSHOT:
      sample.event = JD_GATE_NOT_EXECUTED;
      break;
    case JD_REPLY_OK:
    case JD_REPLY_NOT_FOUND:
      break;
    }
  jd_target_gate_record (&attempt->target->gate, &sample, now_us);
}

/* Frees the hits of a reply whose ownership no outcome has taken. */
static void
free_reply_hits (jd_target_reply_t *reply)
{
  jd_work_outcome_t holder = { .hit_count = reply->hit_count, .hits = reply->hits };
  jd_work_outcome_clear (&holder);
  reply->hits = NULL;
  reply->hit_count = 0;
}

/* Cancels an attempt without a valid reply and holds its slot, because the target may
 * still work on it. */
static void
hold_slot (jd_broker_core_t *core, jd_broker_attempt_t *attempt)
{
  attempt->state = JD_ATTEMPT_HELD;
  core->callbacks.cancel_attempt (core->callbacks.context, attempt->handle);
}

/* Returns TRUE if the target may still work on an attempt after a reply of this kind. */
static gboolean
may_still_run (const jd_broker_attempt_t *attempt, jd_reply_kind_t kind)
{
  return attempt->state == JD_ATTEMPT_WRITTEN &&
         (kind == JD_REPLY_TIMEOUT || kind == JD_REPLY_BROKEN ||
          kind == JD_REPLY_WRONG_REQUEST_ID);
}

/* Handles the end of an attempt. Replies to unknown handles are counted and dropped. */
void
jd_broker_core_on_reply (jd_broker_core_t *core, uint64_t handle,
                         jd_target_reply_t *reply, int64_t now_us)
{
  jd_broker_attempt_t *attempt = g_hash_table_lookup (core->by_handle, &handle);
  if (!attempt || attempt->state == JD_ATTEMPT_QUEUED)
    {
      core->counts.unknown_replies++;
      free_reply_hits (reply);
      return;
    }
  jd_broker_target_t *target = attempt->target;
  report_to_gate (attempt, reply, now_us);
  if (reply->draining)
    target->draining = TRUE;
  const reply_meaning_t *meaning = &reply_meanings[reply->kind];
  answer_attempt (core, attempt, meaning->code, meaning->ran, reply, now_us);
  free_reply_hits (reply);
  if (may_still_run (attempt, reply->kind))
    hold_slot (core, attempt);
  else if (attempt->state == JD_ATTEMPT_HELD &&
           (reply->kind == JD_REPLY_TIMEOUT || reply->kind == JD_REPLY_BROKEN))
    ; /* end_overdue releases the slot after the deadline. */
  else
    end_running (core, attempt);
  process_queue (core, target, now_us);
}

/* Ends a written attempt at its deadline; it may have run. Holds its slot. */
static void
expire_written (jd_broker_core_t *core, jd_broker_attempt_t *attempt, int64_t now_us)
{
  jd_target_reply_t reply = { .kind = JD_REPLY_TIMEOUT,
                              .uptime_us = -1,
                              .in_flight = -1 };
  report_to_gate (attempt, &reply, now_us);
  answer_attempt (core, attempt, JD_DEADLINE_EXCEEDED, JD_RAN_UNKNOWN, &reply, now_us);
  hold_slot (core, attempt);
}

/* Releases the slot of an attempt that got no reply or confirmation in time. Reports a
 * timeout to the gate if the target has not replied to a later attempt either, which
 * limits the target to one attempt at a time. */
static void
release_held (jd_broker_core_t *core, jd_broker_attempt_t *attempt, int64_t now_us)
{
  jd_target_reply_t reply = { .kind = JD_REPLY_TIMEOUT,
                              .uptime_us = -1,
                              .in_flight = -1 };
  if (attempt->target->gate.last_alive_us <= attempt->started_us)
    report_to_gate (attempt, &reply, now_us);
  end_running (core, attempt);
}

/* Ends written attempts at their deadlines, and releases held slots release_margin_us
 * later. */
static void
end_overdue (jd_broker_core_t *core, int64_t now_us)
{
  for (uint32_t i = core->running->len; i > 0; i--)
    {
      jd_broker_attempt_t *attempt = g_ptr_array_index (core->running, i - 1);
      int64_t overdue_us = now_us - attempt->deadline_us;
      if (overdue_us >= core->settings.release_margin_us &&
          attempt->state == JD_ATTEMPT_HELD)
        release_held (core, attempt, now_us);
      else if (overdue_us >= 0 && attempt->state == JD_ATTEMPT_WRITTEN)
        expire_written (core, attempt, now_us);
    }
}

/* Removes the keys of attempts whose deadline has passed, at most every 100 ms. */
static void
remove_expired_keys (jd_broker_core_t *core, int64_t now_us)
{
  if (now_us < core->next_purge_us)
    return;
  core->next_purge_us = now_us + 100 * JD_US_PER_MS;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, core->recent_keys);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (*(int64_t *)value < now_us)
        g_hash_table_iter_remove (&iter);
    }
}

/* Ends overdue attempts, removes expired keys and starts queued attempts. */
void
jd_broker_core_tick (jd_broker_core_t *core, int64_t now_us)
{
  end_overdue (core, now_us);
  remove_expired_keys (core, now_us);
  for (uint32_t i = 0; i < core->owned->len; i++)
    process_queue (core, g_ptr_array_index (core->owned, i), now_us);
}

/* Sends one message per batch with collected outcomes, and frees batches that have no
 * attempts left. */
void
jd_broker_core_flush (jd_broker_core_t *core, int64_t now_us)
{
  for (uint32_t i = 0; i < core->batches_to_flush->len; i++)
    {
      jd_broker_batch_t *batch = g_ptr_array_index (core->batches_to_flush, i);
      jd_broker_batch_truncate (batch);
      set_target_loads (core, batch, now_us);
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
      batch->flush_pending = FALSE;
      if (batch->open_count == 0)
        jd_broker_batch_free (batch);
    }
  g_ptr_array_set_size (core->batches_to_flush, 0);
}

/* Returns when jd_broker_core_tick must be called at the latest, or INT64_MAX if no
 * attempt needs it. */
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

/* Appends the jd_target_status_t of each target whose ownership is valid. */
void
jd_broker_core_target_states (const jd_broker_core_t *core, int64_t now_us,
                              GArray *states)
{
  for (uint32_t i = 0; i < core->owned->len; i++)
    {
      const jd_broker_target_t *target = g_ptr_array_index (core->owned, i);
      if (jd_broker_target_check_usable (target, now_us) == JD_NOT_OWNER)
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

/* Returns the event counts, which the core owns. */
const jd_broker_counts_t *
jd_broker_core_counts (const jd_broker_core_t *core)
{
  return &core->counts;
}
