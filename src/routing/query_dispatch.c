#include "routing/query_dispatch.h"

#include "base/invariant.h"

/* Adds an attempt at a replica and puts it into the outbox of its broker. The owner of
 * the target must be known, and the shard must have a free element in attempts. The
 * query owns the attempt. */
void
jd_query_add_attempt (jd_query_t *query, uint32_t shard, uint32_t replica, int64_t now_us)
{
  jd_query_env_t *env = query->env;
  const jd_shard_t *map_shard = &query->map->shards[shard];
  jd_query_shard_t *state = &query->shards[shard];
  jd_query_attempt_t *attempt = g_new0 (jd_query_attempt_t, 1);
  attempt->id = env->next_attempt_id++;
  attempt->query = query;
  attempt->shard = shard;
  attempt->replica = replica;
  attempt->target = map_shard->replicas[replica];
  attempt->broker = attempt->target->owner;
  attempt->sent_us = now_us;
  attempt->target->own_in_flight++;
  state->tried_mask |= UINT32_C (1) << replica;
  state->attempts[state->attempts[0] ? 1 : 0] = attempt;
  g_hash_table_insert (env->attempts, &attempt->id, attempt);

  jd_work_item_t item = { .attempt_id = attempt->id };
  g_strlcpy (item.target, attempt->target->id, sizeof (item.target));
  g_strlcpy (item.shard, map_shard->id, sizeof (item.shard));
  g_array_append_val (attempt->broker->outbox, item);
}

/* Removes an attempt from its query and frees it. A later outcome of it counts as
 * unknown. */
void
jd_query_free_attempt (jd_query_attempt_t *attempt)
{
  jd_query_shard_t *state = &attempt->query->shards[attempt->shard];
  for (uint32_t i = 0; i < JD_SHARD_MAX_ATTEMPTS; i++)
    {
      if (state->attempts[i] == attempt)
        state->attempts[i] = NULL;
    }
  attempt->target->own_in_flight--;
  g_hash_table_remove (attempt->query->env->attempts, &attempt->id);
  g_free (attempt);
}

/* Hands the outbox of a broker to the transport. Returns FALSE if nothing was sent and
 * nothing will be sent. */
static gboolean
send_outbox (jd_query_t *query, jd_broker_view_t *broker, int64_t now_us)
{
  jd_query_env_t *env = query->env;
  jd_work_t work = {
    .query_id = query->id,
    .kind = query->kind,
    .snapshot = query->merge.snapshot,
    .map_version = query->map->map_version,
    .deadline_us = jd_broker_view_deadline (broker, query->deadline_us, now_us),
    .limit = query->limit,
    .busy_wait_count = query->busy_wait_count,
    .text = query->text,
    .body = query->body,
    .body_bytes = query->body_bytes,
    .item_count = broker->outbox->len,
    .items = (jd_work_item_t *)(void *)broker->outbox->data,
  };
  g_strlcpy (work.organisation, query->organisation, sizeof (work.organisation));
  g_strlcpy (work.service, query->map->service, sizeof (work.service));
  if (work.deadline_us < 0)
    return FALSE;
  if (query->kind == JD_WORK_EDIT)
    {
      JD_INVARIANT (at_most_once, !query->edit_handed_over || env->settings.retry_edits);
      query->edit_handed_over = TRUE;
    }
  if (env->callbacks.send_work (env->callbacks.context, broker->name, &work))
    {
      env->counts.attempts += work.item_count;
      env->counts.messages++;
      return TRUE;
    }
  query->edit_handed_over = FALSE;
  return FALSE;
}

/* Sends and empties the outbox of a broker. A broker that cannot be reached gets no more
 * work until its next report; its attempts are appended to unsent. */
static void
flush_outbox (jd_query_t *query, jd_broker_view_t *broker, GPtrArray *unsent,
              int64_t now_us)
{
  gboolean sent = send_outbox (query, broker, now_us);
  for (uint32_t i = 0; !sent && i < broker->outbox->len; i++)
    {
      const jd_work_item_t *item = &g_array_index (broker->outbox, jd_work_item_t, i);
      g_ptr_array_add (unsent,
                       g_hash_table_lookup (query->env->attempts, &item->attempt_id));
    }
  if (!sent)
    broker->connected = FALSE;
  g_array_set_size (broker->outbox, 0);
}

/* Sends the outbox of every broker that this query has attempts for, one message per
 * broker. Attempts that the transport certainly did not send are appended to unsent; the
 * query still owns them. */
void
jd_query_send_attempts (jd_query_t *query, GPtrArray *unsent, int64_t now_us)
{
  for (uint32_t s = 0; s < query->map->shard_count; s++)
    {
      for (uint32_t i = 0; i < JD_SHARD_MAX_ATTEMPTS; i++)
        {
          const jd_query_attempt_t *attempt = query->shards[s].attempts[i];
          if (attempt && attempt->broker->outbox->len > 0)
            flush_outbox (query, attempt->broker, unsent, now_us);
        }
    }
}

/* Moves the attempts of a shard to the cancel lists of their brokers and frees them;
 * appends brokers whose list was empty. An attempt that was sent longer ago than the
 * median latency counts with its age, as a lower bound of its latency: otherwise slow
 * attempts that lose against a hedge would be missing from the distribution. */
static void
collect_cancels (jd_query_t *query, uint32_t shard, GPtrArray *brokers, int64_t now_us)
{
  for (uint32_t i = 0; i < JD_SHARD_MAX_ATTEMPTS; i++)
    {
      jd_query_attempt_t *attempt = query->shards[shard].attempts[i];
      if (!attempt)
        continue;
      int64_t age_us = now_us - attempt->sent_us;
      if (age_us > jd_latency_tracker_median_us (&query->service->latency))
        {
          jd_latency_tracker_record (&attempt->target->latency, age_us, now_us);
          jd_latency_tracker_record (&query->service->latency, age_us, now_us);
        }
      if (attempt->broker->cancels->len == 0)
        g_ptr_array_add (brokers, attempt->broker);
      g_array_append_val (attempt->broker->cancels, attempt->id);
      if (query->ran == JD_RAN_NO)
        query->ran = JD_RAN_UNKNOWN;
      jd_query_free_attempt (attempt);
    }
}

/* Sends and empties the cancel lists of the given brokers, one message per broker. */
static void
send_cancels (jd_query_t *query, GPtrArray *brokers)
{
  const jd_entry_callbacks_t *callbacks = &query->env->callbacks;
  for (uint32_t i = 0; i < brokers->len; i++)
    {
      jd_broker_view_t *broker = g_ptr_array_index (brokers, i);
      callbacks->send_cancel (callbacks->context, broker->name,
                              (const uint64_t *)(void *)broker->cancels->data,
                              broker->cancels->len);
      g_array_set_size (broker->cancels, 0);
    }
}

/* Cancels and frees the attempts of one shard. */
void
jd_query_cancel_shard (jd_query_t *query, uint32_t shard, int64_t now_us)
{
  if (!query->shards[shard].attempts[0] && !query->shards[shard].attempts[1])
    return;
  g_autoptr (GPtrArray) brokers = g_ptr_array_new ();
  collect_cancels (query, shard, brokers, now_us);
  send_cancels (query, brokers);
}

/* Cancels and frees the attempts of all shards, with one message per broker. */
void
jd_query_cancel_all (jd_query_t *query, int64_t now_us)
{
  g_autoptr (GPtrArray) brokers = g_ptr_array_new ();
  for (uint32_t s = 0; s < query->map->shard_count; s++)
    collect_cancels (query, s, brokers, now_us);
  send_cancels (query, brokers);
}
