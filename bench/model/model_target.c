#include "model/model_target.h"

#include "base/hash.h"

#define MAX_HITS_PER_SHARD 2

/* Factor on the service time of a target that has just started. */
#define COLD_SLOWDOWN_FACTOR 6.0

/* Initializes the target as warm and without snapshots. The caller sets the other
 * fields and keeps sim valid while the target exists. */
void
jd_model_target_init (jd_model_target_t *target, jd_sim_t *sim,
                      const jd_model_hooks_t *hooks)
{
  target->sim = sim;
  target->hooks = *hooks;
  target->generation = 1;
  target->replies_since_start = 1000000;
  target->started_us = jd_sim_now_us (sim) - 1000000;
  target->running = g_ptr_array_new ();
}

/* Frees what the target owns; running requests are freed by their events. */
void
jd_model_target_clear (jd_model_target_t *target)
{
  g_ptr_array_free (target->running, TRUE);
}

void
jd_model_request_free (void *pointer)
{
  jd_model_request_t *request = pointer;
  g_free (request->text);
  g_free (request);
}

/* Returns the progress of the target from cold (0) to warm (1). */
static double
warm_fraction (const jd_model_target_t *target)
{
  if (target->cold_replies == 0 || target->replies_since_start >= target->cold_replies)
    return 1.0;
  return (double)target->replies_since_start / target->cold_replies;
}

/* Returns how many requests the target can run at a time in its current state. */
uint32_t
jd_model_target_capacity (const jd_model_target_t *target)
{
  return 1 + (uint32_t)(warm_fraction (target) * (target->slots - 1));
}

/* Returns the factor on the service time in the current state; 1 when warm. */
double
jd_model_target_slowdown (const jd_model_target_t *target)
{
  return 1.0 + (COLD_SLOWDOWN_FACTOR - 1.0) * (1.0 - warm_fraction (target));
}

/* Returns the score of the best hit of a shard for a text. */
double
jd_model_hit_score (const char *text, const char *shard)
{
  return (double)(jd_hash_pair (text, shard) % 1000000);
}

/* Adds the hits of a search. Their ids contain text, shard, snapshot and rank. */
static void
add_hits (const jd_model_request_t *request, jd_target_reply_t *reply)
{
  uint32_t count = MIN (MAX_HITS_PER_SHARD, request->limit);
  reply->hits = g_new0 (jd_hit_t, MAX (count, 1));
  reply->hit_count = count;
  for (uint32_t i = 0; i < count; i++)
    {
      reply->hits[i].id =
          g_strdup_printf ("%s/%s/%" G_GUINT64_FORMAT "/%u", request->text,
                           request->shard, reply->snapshot, i);
      reply->hits[i].score = jd_model_hit_score (request->text, request->shard) - i;
      reply->hits[i].body = g_strdup ("{}");
    }
}

/* Sends the reply to a request, with the headers that describe the target. */
static void
send_reply (jd_model_target_t *target, const jd_model_request_t *request,
            jd_reply_kind_t kind, uint64_t snapshot)
{
  jd_target_reply_t reply = {
    .kind = kind,
    .snapshot = snapshot,
    .boot_id = target->hides_boot_and_uptime ? 0 : target->generation,
    .uptime_us = target->hides_boot_and_uptime
                     ? -1
                     : jd_sim_now_us (target->sim) - target->started_us,
    .in_flight = (int32_t)target->running->len + 1,
  };
  if (kind == JD_REPLY_OK && request->kind != JD_WORK_EDIT)
    add_hits (request, &reply);
  target->hooks.on_reply (target->hooks.context, request, &reply);
}

/* Event: the service time of a request ends, or its deadline passes. */
static void
on_service_end (void *context, void *data)
{
  jd_model_target_t *target = context;
  jd_model_request_t *request = data;
  if (!request->ended)
    {
      g_ptr_array_remove (target->running, request);
      if (jd_sim_now_us (target->sim) < request->deadline_us && !target->silent)
        {
          target->replies_since_start++;
          send_reply (target, request, JD_REPLY_OK, request->snapshot);
        }
    }
  jd_model_request_free (request);
}

/* Sets the snapshot of a search to the newest one if the search names none (0) or the
 * target ignores it. Returns TRUE if the target holds the snapshot. */
static gboolean
resolve_snapshot (const jd_model_target_t *target, jd_model_request_t *request)
{
  if (request->snapshot == 0 || target->ignores_snapshot)
    request->snapshot = target->snapshots[0];
  for (uint32_t i = 0; i < JD_MODEL_SNAPSHOTS; i++)
    {
      if (target->snapshots[i] == request->snapshot)
        return TRUE;
    }
  return FALSE;
}

/* Refuses the request if the target is down or does not hold its snapshot; otherwise
 * starts it, also beyond the capacity. A running target drops a request past its deadline
 * without a reply. */
void
jd_model_target_receive (jd_model_target_t *target, jd_model_request_t *request)
{
  int64_t now_us = jd_sim_now_us (target->sim);
  if (target->down || now_us >= request->deadline_us)
    {
      if (target->down)
        send_reply (target, request, JD_REPLY_NOT_SENT, 0);
      jd_model_request_free (request);
      return;
    }
  if (request->kind == JD_WORK_SEARCH && !resolve_snapshot (target, request))
    {
      send_reply (target, request, JD_REPLY_NO_SNAPSHOT, 0);
      jd_model_request_free (request);
      return;
    }
  uint32_t capacity = jd_model_target_capacity (target);
  g_ptr_array_add (target->running, request);
  target->hooks.on_execute (target->hooks.context, request, target->running->len,
                            capacity);
  double slowdown = jd_model_target_slowdown (target);
  double service_us =
      (double)target->hooks.service_time_us (target->hooks.context, request) * slowdown;
  jd_sim_schedule (target->sim, MIN (now_us + (int64_t)service_us, request->deadline_us),
                   on_service_end, target, request, jd_model_request_free);
}

/* Stops a request without a reply. Returns TRUE if it was running. */
gboolean
jd_model_target_cancel (jd_model_target_t *target, uint32_t broker, uint64_t handle)
{
  for (guint i = 0; i < target->running->len; i++)
    {
      jd_model_request_t *request = g_ptr_array_index (target->running, i);
      if (request->handle != handle || request->broker != broker)
        continue;
      request->ended = TRUE;
      g_ptr_array_remove_index (target->running, i);
      return TRUE;
    }
  return FALSE;
}

/* Stops or starts the target. Requests that still run end with
 * JD_REPLY_BROKEN, or without a reply if the target is silent. */
void
jd_model_target_set_down (jd_model_target_t *target, gboolean down)
{
  if (target->down && !down)
    {
      target->generation++;
      target->replies_since_start = 0;
      target->started_us = jd_sim_now_us (target->sim);
    }
  target->down = down;
  while (target->running->len > 0)
    {
      jd_model_request_t *request = g_ptr_array_index (target->running, 0);
      request->ended = TRUE;
      g_ptr_array_remove_index (target->running, 0);
      if (!target->silent)
        send_reply (target, request, JD_REPLY_BROKEN, 0);
    }
}
