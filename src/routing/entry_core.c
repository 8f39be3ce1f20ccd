#include "routing/entry_core.h"

#include <inttypes.h>

#include "base/clock.h"
#include "routing/query.h"

struct jd_entry_core
{
  jd_query_env_t env;
  GHashTable *services; /* name -> jd_service_view_t */
  GHashTable *queries;  /* query id -> jd_query_t */
  GSequence *timers;    /* jd_query_t, ordered by timer_us */
  uint64_t next_query_id;
};

/* Returns the settings of docs/design.md for an entry in the given zone. The zone string
 * must stay valid as long as the settings are in use. */
jd_entry_settings_t
jd_entry_settings_default (const char *zone)
{
  return (jd_entry_settings_t){
    .zone = zone,
    .hedge_min_delay_us = JD_US_PER_MS,
    .status_ttl_us = 2 * JD_US_PER_S,
    .zone_ramp_up_us = 10 * JD_US_PER_S,
    .allow_busy_refusal = TRUE,
    .shed_early = TRUE,
    .check_snapshot = TRUE,
  };
}

/* Frees a service; running queries hold their own reference to its shard map. */
static void
free_service (gpointer pointer)
{
  jd_service_view_t *service = pointer;
  jd_shard_map_unref (service->map);
  g_free (service);
}

/* Creates a core without services. Copies the settings, the zone name of the planner and
 * the callbacks. Free it with jd_entry_core_free. */
jd_entry_core_t *
jd_entry_core_new (const jd_entry_settings_t *settings,
                   const jd_entry_callbacks_t *callbacks, jd_rng_t rng, uint64_t first_id)
{
  jd_entry_core_t *core = g_new0 (jd_entry_core_t, 1);
  jd_query_env_t *env = &core->env;
  env->settings = *settings;
  env->callbacks = *callbacks;
  env->planner = (jd_planner_t){ .policy = settings->replica_policy,
                                 .chooser = settings->chooser,
                                 .chooser_context = settings->chooser_context,
                                 .rng = rng,
                                 .status_ttl_us = settings->status_ttl_us,
                                 .zone_ramp_up_us = settings->zone_ramp_up_us };
  g_strlcpy (env->planner.zone, settings->zone, sizeof (env->planner.zone));
  jd_target_table_init (&env->targets);
  env->attempts = g_hash_table_new (g_int64_hash, g_int64_equal);
  env->next_attempt_id = first_id;
  core->next_query_id = first_id;
  core->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_service);
  core->queries = g_hash_table_new (g_int64_hash, g_int64_equal);
  core->timers = g_sequence_new (NULL);
  return core;
}

/* Frees the core and its running queries, which end without an answer. */
void
jd_entry_core_free (jd_entry_core_t *core)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, core->queries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      jd_query_free (value);
      g_hash_table_iter_remove (&iter);
    }
  g_hash_table_destroy (core->queries);
  g_hash_table_destroy (core->services);
  g_hash_table_destroy (core->env.attempts);
  jd_target_table_clear (&core->env.targets);
  g_sequence_free (core->timers);
  g_free (core);
}

/* Orders queries by the time of their next tick. */
static gint
compare_timers (gconstpointer a, gconstpointer b, gpointer data)
{
  const jd_query_t *left = a;
  const jd_query_t *right = b;
  return (left->timer_us > right->timer_us) - (left->timer_us < right->timer_us);
}

/* Delivers the answer of a finished query and frees the query. With shed_early, the
 * overload of the query also adapts the query limit of the service. */
static void
deliver_answer (jd_entry_core_t *core, jd_query_t *query, int64_t now_us)
{
  if (core->env.settings.shed_early)
    jd_overload_guard_leave (&query->service->guard, jd_query_overload_fraction (query),
                             now_us - query->started_us, now_us);
  jd_answer_t answer;
  jd_query_fill_answer (query, &answer);
  if (query->timer)
    g_sequence_remove (query->timer);
  g_hash_table_remove (core->queries, &query->id);
  core->env.callbacks.finish (core->env.callbacks.context, &answer);
  jd_query_free (query);
}

/* Delivers the answer of a finished query, which frees the query, or updates the timer
 * of a running one. */
static void
deliver_or_reschedule (jd_entry_core_t *core, jd_query_t *query, int64_t now_us)
{
  if (query->finished)
    {
      deliver_answer (core, query, now_us);
      return;
    }
  int64_t wake_us = jd_query_wake_us (query);
  if (query->timer && query->timer_us == wake_us)
    return;
  if (query->timer)
    g_sequence_remove (query->timer);
  query->timer_us = wake_us;
  query->timer = g_sequence_insert_sorted (core->timers, query, compare_timers, NULL);
}

/* Returns the service with this name; adds it without a shard map if it is unknown. */
static jd_service_view_t *
find_or_add_service (jd_entry_core_t *core, const char *name)
{
  jd_service_view_t *service = g_hash_table_lookup (core->services, name);
  if (service)
    return service;
  service = g_new0 (jd_service_view_t, 1);
  g_strlcpy (service->name, name, sizeof (service->name));
  g_hash_table_insert (core->services, service->name, service);
  return service;
}

/* Replaces the shard map of a service; a deleted service has none. */
void
jd_entry_core_on_service (jd_entry_core_t *core, const jd_service_record_t *record)
{
  jd_service_view_t *service = find_or_add_service (core, record->name);
  jd_shard_map_unref (service->map);
  service->map = NULL;
  if (!record->head.deleted)
    service->map = jd_shard_map_new (record, &core->env.targets, &service->latency);
}

/* Updates whether a zone is drained. A restored zone gets its load gradually over
 * zone_ramp_up_us. */
void
jd_entry_core_on_zone_state (jd_entry_core_t *core, const char *name, gboolean drained,
                             int64_t now_us)
{
  jd_zone_view_t *zone = jd_target_table_zone (&core->env.targets, name);
  if (zone->drained && !drained)
    zone->restored_us = now_us;
  zone->drained = drained;
}

/* Updates whether a target is leaving; a leaving target gets no new work. Ignores an
 * unknown target. */
void
jd_entry_core_set_leaving (jd_entry_core_t *core, const char *id, gboolean leaving)
{
  jd_entry_target_t *target = jd_target_table_find (&core->env.targets, id);
  if (target)
    target->leaving = leaving;
}

/* Updates the clock of a broker, by which deadlines in messages to it are converted. */
void
jd_entry_core_on_broker_clock (jd_entry_core_t *core, const char *name,
                               int64_t broker_clock_us, int64_t now_us)
{
  jd_broker_view_set_clock (jd_target_table_broker (&core->env.targets, name),
                            broker_clock_us, now_us);
}

/* Handles a target_state message, which names all targets that the broker owns. */
void
jd_entry_core_on_target_state (jd_entry_core_t *core, const char *name,
                               int64_t broker_clock_us, const jd_target_status_t *list,
                               uint32_t count, int64_t now_us)
{
  jd_broker_view_t *broker = jd_target_table_broker (&core->env.targets, name);
  jd_broker_view_set_clock (broker, broker_clock_us, now_us);
  jd_target_table_report (&core->env.targets, broker, list, count, now_us);
}

/* Returns the ids of the open attempts at a broker, in no particular order. The caller
 * must sort them, so that a run does not depend on the order of a hash table. */
static GArray *
attempt_ids_at_broker (jd_entry_core_t *core, const jd_broker_view_t *broker)
{
  GArray *ids = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, core->env.attempts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const jd_query_attempt_t *attempt = value;
      if (attempt->broker == broker)
        g_array_append_val (ids, attempt->id);
    }
  return ids;
}

/* Orders attempt ids in ascending order. */
static gint
compare_ids (gconstpointer a, gconstpointer b)
{
  uint64_t left = *(const uint64_t *)a;
  uint64_t right = *(const uint64_t *)b;
  return (left > right) - (left < right);
}

/* Fails all attempts at a disconnected broker. Its targets have no owner until another
 * broker reports them. */
void
jd_entry_core_on_broker_lost (jd_entry_core_t *core, const char *name, int64_t now_us)
{
  jd_broker_view_t *broker = jd_target_table_broker (&core->env.targets, name);
  jd_target_table_disconnect_broker (&core->env.targets, broker);
  g_autoptr (GArray) ids = attempt_ids_at_broker (core, broker);
  g_array_sort (ids, compare_ids);
  for (uint32_t i = 0; i < ids->len; i++)
    {
      /* The failure of an earlier attempt in this loop may have finished the query of
       * this one, which frees the attempt. */
      jd_query_attempt_t *attempt =
          g_hash_table_lookup (core->env.attempts, &g_array_index (ids, uint64_t, i));
      if (!attempt)
        continue;
      jd_query_t *query = attempt->query;
      jd_query_on_broker_lost (query, attempt, now_us);
      deliver_or_reschedule (core, query, now_us);
    }
}

/* Delivers the answer of a request that is not started; nothing ran. */
static void
reject_request (jd_entry_core_t *core, uint64_t query_id, const jd_request_t *request,
                jd_result_code_t code)
{
  jd_answer_t answer = {
    .query_id = query_id, .user_data = request->user_data, .code = code, .ran = JD_RAN_NO
  };
  core->env.callbacks.finish (core->env.callbacks.context, &answer);
}

/* Starts a request. Rejects it if the service is unknown, if it is a fetch or edit on a
 * service with several shards, or if the overload guard is at its limit. */
uint64_t
jd_entry_core_submit (jd_entry_core_t *core, const jd_request_t *request, int64_t now_us)
{
  uint64_t query_id = core->next_query_id++;
  core->env.counts.queries++;
  jd_service_view_t *service = g_hash_table_lookup (core->services, request->service);
  if (!service || !service->map)
    {
      reject_request (core, query_id, request, JD_UNKNOWN_SERVICE);
      return query_id;
    }
  gboolean single = service->map->shard_count == 1;
  if (request->kind != JD_WORK_SEARCH && !single)
    {
      reject_request (core, query_id, request, JD_BAD_REQUEST);
      return query_id;
    }
  if (core->env.settings.shed_early && !jd_overload_guard_enter (&service->guard))
    {
      reject_request (core, query_id, request, JD_OVERLOADED);
      return query_id;
    }
  jd_query_t *query = jd_query_new (&core->env, service, query_id, request, now_us);
  g_hash_table_insert (core->queries, &query->id, query);
  jd_query_start (query, now_us);
  deliver_or_reschedule (core, query, now_us);
  return query_id;
}

/* Stops a request with the given code. Ignores an unknown query id. */
void
jd_entry_core_cancel (jd_entry_core_t *core, uint64_t query_id, jd_result_code_t code,
                      int64_t now_us)
{
  jd_query_t *query = g_hash_table_lookup (core->queries, &query_id);
  if (!query)
    return;
  jd_query_cancel (query, code, now_us);
  deliver_or_reschedule (core, query, now_us);
}

/* Returns the open attempt that an outcome belongs to. Returns NULL, and counts the
 * outcome, if the attempt is unknown (late or repeated) or its query, target or shard
 * differs. */
static jd_query_attempt_t *
find_attempt_of_outcome (jd_entry_core_t *core, const jd_work_result_t *result,
                         const jd_work_outcome_t *outcome)
{
  jd_query_attempt_t *attempt =
      g_hash_table_lookup (core->env.attempts, &outcome->attempt_id);
  if (!attempt)
    {
      core->env.counts.unknown_outcomes++;
      return NULL;
    }
  const jd_shard_t *shard = &attempt->query->map->shards[attempt->shard];
  if (attempt->query->id == result->query_id &&
      g_str_equal (outcome->target, attempt->target->id) &&
      g_str_equal (outcome->shard, shard->id))
    return attempt;
  core->env.counts.crossed_outcomes++;
  return NULL;
}

/* Handles the outcomes of one message and updates the clock of the broker. Hits that are
 * used move out of the result. */
void
jd_entry_core_on_work_result (jd_entry_core_t *core, const char *broker,
                              jd_work_result_t *result, int64_t now_us)
{
  jd_entry_core_on_broker_clock (core, broker, result->broker_clock_us, now_us);
  for (uint32_t i = 0; i < result->outcome_count; i++)
    {
      jd_work_outcome_t *outcome = &result->outcomes[i];
      jd_query_attempt_t *attempt = find_attempt_of_outcome (core, result, outcome);
      if (!attempt)
        continue;
      jd_query_t *query = attempt->query;
      jd_query_on_outcome (query, attempt, outcome, now_us);
      deliver_or_reschedule (core, query, now_us);
    }
}

/* Ticks every query whose timer is due. */
void
jd_entry_core_tick (jd_entry_core_t *core, int64_t now_us)
{
  while (!g_sequence_is_empty (core->timers))
    {
      jd_query_t *query = g_sequence_get (g_sequence_get_begin_iter (core->timers));
      if (query->timer_us > now_us)
        return;
      jd_query_tick (query, now_us);
      deliver_or_reschedule (core, query, now_us);
    }
}

/* Returns the time of the next timer, or INT64_MAX if there is none. */
int64_t
jd_entry_core_next_wake_us (const jd_entry_core_t *core)
{
  if (g_sequence_is_empty (core->timers))
    return INT64_MAX;
  const jd_query_t *first = g_sequence_get (g_sequence_get_begin_iter (core->timers));
  return first->timer_us;
}

/* Returns the number of requests without an answer. */
uint32_t
jd_entry_core_open_count (const jd_entry_core_t *core)
{
  return g_hash_table_size (core->queries);
}

/* Returns the counts since the start; the core keeps ownership. */
const jd_entry_counts_t *
jd_entry_core_counts (const jd_entry_core_t *core)
{
  return &core->env.counts;
}

/* Appends one line per replica of a shard. Chooses with a copy of the planner, so that
 * its round robin does not advance. */
static void
explain_shard (jd_entry_core_t *core, const jd_shard_t *shard, uint64_t snapshot,
               int64_t now_us, GString *text)
{
  jd_planner_t planner = core->env.planner;
  int32_t chosen = jd_planner_choose_replica (&planner, shard, snapshot, 0, now_us);
  for (uint32_t r = 0; r < shard->replica_count; r++)
    {
      const jd_entry_target_t *target = shard->replicas[r];
      g_string_append_printf (
          text,
          "shard=%s target=%s zone=%s usable=%d chosen=%d owner=%s limit=%u "
          "in_flight=%u queued=%u cold=%u median_us=%" PRId64 "\n",
          shard->id, target->id, target->zone->name,
          jd_planner_is_usable (&planner, target, now_us), chosen == (int32_t)r,
          target->owner ? target->owner->name : "-", target->status.limit,
          target->status.in_flight, target->status.queued, target->status.cold,
          jd_latency_tracker_median_us (&target->latency));
    }
}

/* Returns the text for /explain, which the caller frees with g_free, or NULL for an
 * unknown or deleted service. */
char *
jd_entry_core_explain (jd_entry_core_t *core, const char *name, int64_t now_us)
{
  const jd_service_view_t *service = g_hash_table_lookup (core->services, name);
  if (!service || !service->map)
    return NULL;
  const jd_shard_map_t *map = service->map;
  jd_snapshot_choice_t choice =
      jd_planner_choose_snapshot (&core->env.planner, map, now_us);
  GString *text = g_string_new (NULL);
  g_string_append_printf (text,
                          "service=%s map_version=%" PRIu64 " snapshot=%" PRIu64
                          " weight=%" PRIu64 " total_weight=%" PRIu64 "\n",
                          name, map->map_version, choice.snapshot, choice.weight,
                          map->total_weight);
  for (uint32_t s = 0; s < map->shard_count; s++)
    explain_shard (core, &map->shards[s], choice.snapshot, now_us, text);
  return g_string_free (text, FALSE);
}

/* Returns the number of first and extra attempts of a service since the start; FALSE,
 * without a result, for an unknown service. */
gboolean
jd_entry_core_attempt_counts (const jd_entry_core_t *core, const char *name,
                              uint64_t *first_requests, uint64_t *extra_requests)
{
  const jd_service_view_t *service = g_hash_table_lookup (core->services, name);
  if (!service)
    return FALSE;
  *first_requests = service->budget.first_requests;
  *extra_requests = service->budget.extra_attempts;
  return TRUE;
}
