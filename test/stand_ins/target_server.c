#include "stand_ins/target_server.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "stand_ins/target_faults.h"
#include "stand_ins/target_model.h"
#include "stand_ins/target_reply.h"

#define DEFAULT_LIMIT 10

/* Returns the deadline of a request in monotonic time, or 0 if it has none. */
static int64_t
request_deadline_us (jd_http_request_t *request)
{
  const char *text = jd_http_request_header (request, "X-Deadline-Ms");
  if (!text)
    return 0;
  double remaining_us = g_ascii_strtod (text, NULL) * (double)JD_US_PER_MS;
  return g_get_monotonic_time () + (int64_t)MAX (remaining_us, 0);
}

/* Creates the job of a search, a fetch or an edit and submits it. */
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
  job->snapshot = (uint64_t)jd_http_request_integer_argument (request, "snapshot", 0);
  job->limit =
      (uint32_t)jd_http_request_integer_argument (request, "limit", DEFAULT_LIMIT);
  job->deadline_us = request_deadline_us (request);
  jd_target_submit (job, jd_http_request_number_on_connection (request) == 1);
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

/* Returns a new JSON array of the snapshots that the target has. */
static json_t *
snapshots_of (const jd_target_t *target)
{
  json_t *all = jd_target_conditions_to_json (&target->conditions);
  json_t *snapshots = json_incref (json_object_get (all, "snapshots"));
  json_decref (all);
  return snapshots;
}

/* GET /health: status 200, or 500 while the target is failing. */
static void
handle_health (jd_target_t *target, jd_http_request_t *request)
{
  g_mutex_lock (&target->lock);
  int64_t now_us = g_get_monotonic_time ();
  jd_target_report_t report = jd_target_visible_report (target, now_us);
  if (target->conditions.health_lies)
    report = (jd_target_report_t){ .time_us = now_us };
  json_t *body =
      json_pack ("{s:s, s:b, s:b, s:I, s:o}", "status", report.failing ? "failing" : "ok",
                 "cold", report.cold, "draining", report.draining, "uptime_ms",
                 (json_int_t)((now_us - target->boot_us) / JD_US_PER_MS), "snapshots",
                 snapshots_of (target));
  jd_target_reply_json (target, request, report.failing ? 500 : 200, body);
  g_mutex_unlock (&target->lock);
}

/* GET /load */
static void
handle_load (jd_target_t *target, jd_http_request_t *request)
{
  uint32_t connections = jd_http_server_connection_count (target->server);
  g_mutex_lock (&target->lock);
  jd_target_report_t report = jd_target_visible_report (target, g_get_monotonic_time ());
  if (target->conditions.load_lies)
    report = (jd_target_report_t){ 0 };
  json_t *body =
      json_pack ("{s:i, s:i, s:I, s:i}", "in_flight", (int)report.running, "queued",
                 (int)report.waiting, "slots", (json_int_t)target->conditions.slots,
                 "connections", (int)connections);
  jd_target_reply_json (target, request, 200, body);
  g_mutex_unlock (&target->lock);
}

/* Routes the requests that are subject to limits and faults. Returns FALSE for an unknown
 * route. */
static gboolean
handle_service_request (jd_target_t *target, jd_http_request_t *request)
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

/* Closes a new connection that exceeds the limit, and leaves requests on silent
 * connections unanswered. Returns TRUE if the request must not be served. */
static gboolean
apply_connection_faults (jd_target_t *target, jd_http_request_t *request)
{
  uint32_t connections = jd_http_server_connection_count (target->server);
  g_mutex_lock (&target->lock);
  gboolean silent =
      jd_http_request_connection_sequence (request) < target->first_answering_connection;
  gboolean over_limit = jd_http_request_number_on_connection (request) == 1 &&
                        connections > target->conditions.connections;
  target->counts.silent += silent ? 1 : 0;
  target->counts.over_connection_limit += over_limit && !silent ? 1 : 0;
  g_mutex_unlock (&target->lock);
  /* A request on a silent connection stays unanswered until the server stops. */
  if (over_limit && !silent)
    jd_http_request_close (request);
  return silent || over_limit;
}

/* A request that arrived while the process was frozen. */
typedef struct delayed_request
{
  jd_target_t *target;
  jd_http_request_t *request;
} delayed_request_t;

/* Serves a request or answers 404. */
static void
serve (jd_target_t *target, jd_http_request_t *request)
{
  if (!handle_service_request (target, request))
    jd_http_request_reply (request, 404, NULL, 0, "{\"error\":\"no such route\"}");
}

/* Timer callback at the end of a freeze. */
static void
on_freeze_end (void *data)
{
  delayed_request_t *delayed = data;
  serve (delayed->target, delayed->request);
  g_free (delayed);
}

/* Request handler of the HTTP server. Test routes ignore all limits and faults. */
static void
handle_request (void *context, jd_http_request_t *request)
{
  jd_target_t *target = context;
  /* The lock also delays requests until jd_target_new has set target->server. */
  g_mutex_lock (&target->lock);
  int64_t frozen_until_us = target->frozen_until_us;
  g_mutex_unlock (&target->lock);
  if (jd_target_handle_test_request (target, request))
    return;
  if (apply_connection_faults (target, request))
    return;
  if (g_get_monotonic_time () >= frozen_until_us)
    {
      serve (target, request);
      return;
    }
  delayed_request_t *delayed = g_new (delayed_request_t, 1);
  *delayed = (delayed_request_t){ .target = target, .request = request };
  jd_timer_queue_add (target->timers, frozen_until_us, on_freeze_end, delayed);
}

/* Holds the lock until the server is set, because requests may arrive before that. */
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
  jd_target_restart (target, g_get_monotonic_time ());
  g_mutex_lock (&target->lock);
  target->server =
      jd_http_server_new (options->ip, options->port, handle_request, target, error);
  g_mutex_unlock (&target->lock);
  if (target->server)
    return target;
  jd_target_free (target);
  return NULL;
}

uint16_t
jd_target_port (const jd_target_t *target)
{
  return jd_http_server_port (target->server);
}

/* Also ends a freeze. */
void
jd_target_stop (jd_target_t *target)
{
  jd_http_server_stop (target->server);
  g_mutex_lock (&target->lock);
  target->frozen_until_us = 0;
  g_mutex_unlock (&target->lock);
}

/* The timer queue must have been freed before, because its timers refer to the target. */
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
  g_free (target->last_request_id);
  free (target->last_body);
  g_free (target->id);
  g_free (target->zone);
  g_free (target);
}
