#include "stand_ins/target_server.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "stand_ins/target_faults.h"
#include "stand_ins/target_model.h"
#include "stand_ins/target_reply.h"

#define DEFAULT_LIMIT 10

/* Returns the deadline of a request, or 0 when it has none. */
static int64_t
deadline_of (jd_http_request_t *request)
{
  const char *text = jd_http_request_header (request, "X-Deadline-Ms");
  if (!text)
    return 0;
  double remaining_us = g_ascii_strtod (text, NULL) * (double)JD_US_PER_MS;
  return g_get_monotonic_time () + (int64_t)MAX (remaining_us, 0);
}

/* Creates a job from a request for work and submits it. */
static void
handle_work (jd_target_t *target, jd_http_request_t *request, jd_target_job_kind_t kind,
             const char *text)
{
  const char *id = jd_http_request_header (request, "X-Request-Id");
  const char *shard = jd_http_request_argument (request, "shard");
  jd_target_job_t *job = g_rc_box_new0 (jd_target_job_t);
  job->target = target;
  job->request = request;
  job->kind = kind;
  job->request_id = id ? g_strdup (id) : g_strdup_printf ("none-%p", (void *)job);
  job->shard = g_strdup (shard ? shard : "");
  job->text = g_strdup (text ? text : "");
  job->body = g_strdup (jd_http_request_body (request, NULL));
  job->snapshot = (uint64_t)jd_http_request_integer (request, "snapshot", 0);
  job->limit = (uint32_t)jd_http_request_integer (request, "limit", DEFAULT_LIMIT);
  job->deadline_us = deadline_of (request);
  jd_target_submit (job, jd_http_request_number (request) == 1);
}

/* POST /cancel/{request_id}. */
static void
handle_cancel (jd_target_t *target, jd_http_request_t *request, const char *request_id)
{
  g_mutex_lock (&target->lock);
  gboolean cancelled = jd_target_cancel (target, request_id);
  json_t *body = json_pack ("{s:b, s:s}", "cancelled", cancelled, "ran",
                            cancelled ? "no" : "unknown");
  jd_target_reply_json (target, request, 200, body);
  g_mutex_unlock (&target->lock);
}

/* Renders the held snapshots. */
static json_t *
held_snapshots (const jd_target_t *target)
{
  json_t *all = jd_target_conditions_to_json (&target->conditions);
  json_t *snapshots = json_incref (json_object_get (all, "snapshots"));
  json_decref (all);
  return snapshots;
}

/* GET /health: 200 with the state, 500 while failing. */
static void
handle_health (jd_target_t *target, jd_http_request_t *request)
{
  g_mutex_lock (&target->lock);
  int64_t now_us = g_get_monotonic_time ();
  jd_target_report_t report = jd_target_report_shown (target, now_us);
  if (target->conditions.health_lies)
    report = (jd_target_report_t){ .time_us = now_us };
  json_t *body =
      json_pack ("{s:s, s:b, s:b, s:I, s:o}", "status", report.failing ? "failing" : "ok",
                 "cold", report.cold, "draining", report.draining, "uptime_ms",
                 (json_int_t)((now_us - target->boot_us) / JD_US_PER_MS), "snapshots",
                 held_snapshots (target));
  jd_target_reply_json (target, request, report.failing ? 500 : 200, body);
  g_mutex_unlock (&target->lock);
}

/* GET /load: slots, running and waiting requests. */
static void
handle_load (jd_target_t *target, jd_http_request_t *request)
{
  uint32_t connections = jd_http_server_connections (target->server);
  g_mutex_lock (&target->lock);
  jd_target_report_t report = jd_target_report_shown (target, g_get_monotonic_time ());
  if (target->conditions.load_lies)
    report = (jd_target_report_t){ 0 };
  json_t *body =
      json_pack ("{s:i, s:i, s:I, s:i}", "in_flight", (int)report.running, "queued",
                 (int)report.waiting, "slots", (json_int_t)target->conditions.slots,
                 "connections", (int)connections);
  jd_target_reply_json (target, request, 200, body);
  g_mutex_unlock (&target->lock);
}

/* Routes of a target that are subject to its limits and faults. */
static gboolean
handle_service (jd_target_t *target, jd_http_request_t *request)
{
  const char *path = jd_http_request_path (request);
  gboolean get = strcmp (jd_http_request_method (request), "GET") == 0;
  gboolean post = strcmp (jd_http_request_method (request), "POST") == 0;
  if (get && strcmp (path, "/search") == 0)
    handle_work (target, request, JD_TARGET_SEARCH,
                 jd_http_request_argument (request, "q"));
  else if (get && g_str_has_prefix (path, "/entries/"))
    handle_work (target, request, JD_TARGET_FETCH, path + strlen ("/entries/"));
  else if (post && g_str_has_prefix (path, "/entries/"))
    handle_work (target, request, JD_TARGET_EDIT, path + strlen ("/entries/"));
  else if (post && g_str_has_prefix (path, "/cancel/"))
    handle_cancel (target, request, path + strlen ("/cancel/"));
  else if (get && strcmp (path, "/health") == 0)
    handle_health (target, request);
  else if (get && strcmp (path, "/load") == 0)
    handle_load (target, request);
  else
    return FALSE;
  return TRUE;
}

/* Ends or keeps requests of connections that are silent or over the limit; returns TRUE
 * when the request is served no further. */
static gboolean
connection_fails (jd_target_t *target, jd_http_request_t *request)
{
  uint32_t connections = jd_http_server_connections (target->server);
  g_mutex_lock (&target->lock);
  gboolean silent = jd_http_request_connection (request) < target->silent_before;
  gboolean over = jd_http_request_number (request) == 1 &&
                  connections > target->conditions.connections;
  target->counts.silent += silent ? 1 : 0;
  target->counts.over_connection_limit += over && !silent ? 1 : 0;
  g_mutex_unlock (&target->lock);
  /* A silent request stays unanswered until the server stops. */
  if (over && !silent)
    jd_http_request_close (request);
  return silent || over;
}

/* A request that came while the process was frozen. */
typedef struct held_request
{
  jd_target_t *target;
  jd_http_request_t *request;
} held_request_t;

/* Serves a request or answers 404. */
static void
serve (jd_target_t *target, jd_http_request_t *request)
{
  if (!handle_service (target, request))
    jd_http_request_reply (request, 404, NULL, 0, "{\"error\":\"no such route\"}");
}

/* Timer callback: the process goes on. */
static void
on_thaw (void *data)
{
  held_request_t *held = data;
  serve (held->target, held->request);
  g_free (held);
}

/* Request handler; test routes are served even when the target is at its limits. */
static void
handle_request (void *context, jd_http_request_t *request)
{
  jd_target_t *target = context;
  /* Waits until jd_target_new has set the server. */
  g_mutex_lock (&target->lock);
  int64_t frozen_until_us = target->frozen_until_us;
  g_mutex_unlock (&target->lock);
  if (jd_target_handle_faults (target, request))
    return;
  if (connection_fails (target, request))
    return;
  if (g_get_monotonic_time () >= frozen_until_us)
    {
      serve (target, request);
      return;
    }
  held_request_t *held = g_new (held_request_t, 1);
  *held = (held_request_t){ .target = target, .request = request };
  jd_timer_queue_add (target->timers, frozen_until_us, on_thaw, held);
}

/* Creates a target and starts to serve. */
jd_target_t *
jd_target_new (const jd_target_options_t *options, GError **error)
{
  jd_target_t *target = g_new0 (jd_target_t, 1);
  target->id = g_strdup (options->id);
  target->zone = g_strdup (options->zone);
  target->timers = options->timers;
  target->executions = options->executions;
  target->conditions = options->conditions;
  target->random = (jd_philox_t){ .seed = options->seed, .stream = options->stream };
  target->jobs = g_hash_table_new (g_str_hash, g_str_equal);
  g_queue_init (&target->waiting);
  g_queue_init (&target->reports);
  g_mutex_init (&target->lock);
  jd_target_reboot (target, g_get_monotonic_time ());
  g_mutex_lock (&target->lock);
  target->server =
      jd_http_server_new (options->ip, options->port, handle_request, target, error);
  g_mutex_unlock (&target->lock);
  if (target->server)
    return target;
  jd_target_free (target);
  return NULL;
}

/* Returns the port in use. */
uint16_t
jd_target_port (const jd_target_t *target)
{
  return jd_http_server_port (target->server);
}

/* Closes the connections of further requests. */
void
jd_target_stop (jd_target_t *target)
{
  jd_http_server_stop (target->server);
  g_mutex_lock (&target->lock);
  target->frozen_until_us = 0;
  g_mutex_unlock (&target->lock);
}

/* Frees a target. Its timers must have been freed before. */
void
jd_target_free (jd_target_t *target)
{
  if (!target)
    return;
  jd_http_server_free (target->server);
  g_hash_table_destroy (target->jobs);
  g_queue_clear (&target->waiting);
  g_queue_clear_full (&target->reports, g_free);
  g_mutex_clear (&target->lock);
  g_free (target->last_id);
  free (target->last_body);
  g_free (target->id);
  g_free (target->zone);
  g_free (target);
}
