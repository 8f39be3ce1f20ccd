#include "daemons/entry_daemon.h"

#include <string.h>

#include "base/log_event.h"
#include "daemons/entry_http.h"
#include "daemons/entry_limits.h"
#include "daemons/entry_routing.h"
#include "daemons/loop_inbox.h"
#include "daemons/stop_signal.h"

#define MAX_POLL_MS 50
/* After this process announces that it has released its shares, it keeps sending
 * heartbeats for this long, so that the announcement reaches the other members. */
#define RELEASE_LINGER_US (300 * JD_US_PER_MS)
/* Minimum duration of PHASE_REFUSING, so that requests that were already on the wire when
 * it began are answered with a refusal. */
#define REFUSE_MIN_US (200 * JD_US_PER_MS)

/* Phases of a graceful shutdown. */
typedef enum shutdown_phase
{
  PHASE_RUNNING,
  PHASE_NOTICE,    /* Serves all requests; health is 503 and answers close connections. */
  PHASE_REFUSING,  /* Refuses new requests; running requests finish. */
  PHASE_RELEASING, /* Waits until granted tokens expire, then announces the release. */
  PHASE_DONE,
} shutdown_phase_t;

typedef struct entry_daemon
{
  jd_entry_daemon_options_t options;
  jd_clock_t clock;
  jd_config_store_t *store;
  jd_counters_t *counters;
  jd_node_t *node;
  jd_loop_inbox_t *inbox;
  jd_entry_limits_t *limits;
  jd_entry_routing_t *routing;
  jd_entry_http_t *http;
  GHashTable *waiting_requests; /* request id -> jd_caller_request_t; need a token. */
  GHashTable *running_requests; /* request id -> jd_caller_request_t */
  jd_stop_signal_t stop_signal;
  shutdown_phase_t phase;
  int64_t phase_until_us;
  int64_t phase_since_us;
  gint health; /* jd_result_code_t; read by HTTP threads. */
} entry_daemon_t;

/* Logs the result of a request and sets its answer, which takes ownership of the hits. */
static void
answer_request (jd_caller_request_t *request, jd_caller_answer_t result, int64_t now_us)
{
  static const char *const kinds[] = { "search", "fetch", "edit" };
  jd_log_event (G_LOG_LEVEL_INFO, "request",
                "request=%016" G_GINT64_MODIFIER "x kind=%s service=%s organisation=%s "
                "result=%s ran=%s coverage=%.4f snapshot=%" G_GUINT64_FORMAT
                " duration_us=%" G_GINT64_FORMAT,
                (guint64)request->id, kinds[request->kind], request->service,
                *request->access.organisation ? request->access.organisation : "-",
                jd_result_name (result.code), jd_ran_name (result.ran), result.coverage,
                (guint64)result.snapshot, now_us - request->received_us);
  jd_caller_request_answer (request, result);
}

/* Answers a request that did not run with an error code. */
static void
refuse_request (jd_caller_request_t *request, jd_result_code_t code, int64_t now_us)
{
  answer_request (request, (jd_caller_answer_t){ .code = code, .ran = JD_RAN_NO },
                  now_us);
}

/* Returns copies of hits, because the core frees its hits after the finish callback. */
static jd_hit_t *
copy_hits (const jd_hit_t *hits, uint32_t count)
{
  jd_hit_t *copies = g_new0 (jd_hit_t, count);
  for (uint32_t i = 0; i < count; i++)
    copies[i] = (jd_hit_t){ .id = g_strdup (hits[i].id),
                            .score = hits[i].score,
                            .body = g_strdup (hits[i].body) };
  return copies;
}

/* Finish callback of the routing: answers the caller. */
static void
on_finish (void *context, const jd_answer_t *finished)
{
  entry_daemon_t *daemon = context;
  jd_caller_request_t *request = finished->user_data;
  jd_caller_answer_t result = {
    .code = finished->code,
    .ran = finished->ran,
    .coverage = finished->coverage,
    .snapshot = finished->snapshot,
    .hit_count = finished->hit_count,
    .hits = copy_hits (finished->hits, finished->hit_count),
  };
  answer_request (request, result, jd_clock_now_us (&daemon->clock));
  g_hash_table_remove (daemon->running_requests, &request->id);
}

/* Submits an admitted request to the core. */
static void
start_request (entry_daemon_t *daemon, jd_caller_request_t *request)
{
  jd_request_t submitted = {
    .kind = request->kind,
    .service = request->service,
    .organisation = request->access.organisation,
    .text = request->text,
    .body = request->body,
    .body_bytes = request->body_bytes,
    .limit = request->limit,
    .deadline_us = request->deadline_us,
    .user_data = request,
  };
  g_hash_table_insert (daemon->running_requests, &request->id,
                       jd_caller_request_ref (request));
  uint64_t query_id = jd_entry_core_submit (jd_entry_routing_core (daemon->routing),
                                            &submitted, jd_clock_now_us (&daemon->clock));
  /* The core may have finished the request already; the caller's reference keeps the
   * request alive. */
  request->query_id = query_id;
}

/* Runs in the event loop for each new request: starts it if its organisation has a token,
 * refuses it, or stores it until the limiter decides. Drops the reference of submit. */
static void
admit_request (void *context, void *argument)
{
  entry_daemon_t *daemon = context;
  jd_caller_request_t *request = argument;
  jd_admission_t admission = JD_ADMISSION_ADMITTED;
  if (*request->access.organisation)
    admission = jd_entry_limits_request_token (
        daemon->limits, request->id, request->access.organisation, request->deadline_us);
  if (admission == JD_ADMISSION_ADMITTED)
    start_request (daemon, request);
  else if (admission == JD_ADMISSION_REFUSED)
    refuse_request (request, JD_RATE_LIMITED, jd_clock_now_us (&daemon->clock));
  else
    g_hash_table_insert (daemon->waiting_requests, &request->id,
                         jd_caller_request_ref (request));
  jd_caller_request_unref (request);
}

/* Decision callback of the limits: starts or refuses a waiting request. */
static void
on_decided (void *context, uint64_t request_id, bool admitted)
{
  entry_daemon_t *daemon = context;
  jd_caller_request_t *request =
      g_hash_table_lookup (daemon->waiting_requests, &request_id);
  if (!request)
    return;
  jd_caller_request_ref (request);
  g_hash_table_remove (daemon->waiting_requests, &request_id);
  if (admitted)
    start_request (daemon, request);
  else
    refuse_request (request, JD_RATE_LIMITED, jd_clock_now_us (&daemon->clock));
  jd_caller_request_unref (request);
}

/* Submit callback of the HTTP server; may be called from any thread. */
static void
submit_request (void *context, jd_caller_request_t *request)
{
  entry_daemon_t *daemon = context;
  if (jd_loop_inbox_post (daemon->inbox, admit_request, daemon,
                          jd_caller_request_ref (request)))
    return;
  refuse_request (request, JD_SHUTTING_DOWN, jd_clock_now_us (&daemon->clock));
  jd_caller_request_unref (request);
}

/* Refuses the requests whose key was revoked while they waited for a token. */
static void
refuse_waiting_requests_of_revoked_keys (entry_daemon_t *daemon, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, daemon->waiting_requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      jd_caller_request_t *request = value;
      if (jd_access_still_valid (daemon->store, &request->access))
        continue;
      jd_entry_limits_cancel (daemon->limits, request->id, request->access.organisation);
      refuse_request (request, JD_KEY_REVOKED, now_us);
      g_hash_table_iter_remove (&iter);
    }
}

/* Cancels the running requests whose key was revoked. */
static void
cancel_running_requests_of_revoked_keys (entry_daemon_t *daemon, int64_t now_us)
{
  GArray *query_ids = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, daemon->running_requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const jd_caller_request_t *request = value;
      if (!jd_access_still_valid (daemon->store, &request->access))
        g_array_append_val (query_ids, request->query_id);
    }
  for (guint i = 0; i < query_ids->len; i++)
    jd_entry_core_cancel (jd_entry_routing_core (daemon->routing),
                          g_array_index (query_ids, uint64_t, i), JD_KEY_REVOKED, now_us);
  g_array_free (query_ids, TRUE);
}

/* Record callback of the node: applies a new version of a record. */
static void
on_record (void *context, const char *name)
{
  entry_daemon_t *daemon = context;
  if (strcmp (name, "fleet") == 0 || strcmp (name, "organisations") == 0)
    jd_entry_limits_reload (daemon->limits);
  if (strcmp (name, "keys") == 0)
    {
      int64_t now_us = jd_clock_now_us (&daemon->clock);
      refuse_waiting_requests_of_revoked_keys (daemon, now_us);
      cancel_running_requests_of_revoked_keys (daemon, now_us);
    }
  jd_entry_routing_on_record (daemon->routing, name);
}

/* Message callback of the node. */
static void
on_message (void *context, const jd_peer_origin_t *origin, jd_message_t *message)
{
  entry_daemon_t *daemon = context;
  if (!jd_entry_limits_on_message (daemon->limits, message))
    jd_entry_routing_on_message (daemon->routing, message);
}

/* Key age callback of the HTTP server; may be called from any thread. */
static int64_t
key_age_us (void *context)
{
  entry_daemon_t *daemon = context;
  return jd_node_platform_age_us (daemon->node);
}

/* Health callback of the HTTP server; may be called from any thread. */
static jd_result_code_t
get_health (void *context)
{
  entry_daemon_t *daemon = context;
  return (jd_result_code_t)g_atomic_int_get (&daemon->health);
}

/* An operator's request, which the event loop answers with a text. */
typedef struct operator_call
{
  const char *service; /* Set for /explain only. */
  char *text;          /* Set by the event loop; NULL if there is no answer. */
} operator_call_t;

/* Renders the JSON text of /status; runs in the event loop. */
static void
render_status (void *context, void *argument)
{
  entry_daemon_t *daemon = context;
  operator_call_t *call = argument;
  json_t *records = json_object ();
  char **names = jd_config_store_names (daemon->store);
  for (char **name = names; *name; name++)
    json_object_set_new (
        records, *name,
        json_integer ((json_int_t)jd_config_store_version (daemon->store, *name)));
  g_strfreev (names);
  json_t *organisations = json_array ();
  jd_entry_limits_status (daemon->limits, organisations);
  json_t *brokers = json_array ();
  jd_entry_routing_status (daemon->routing, brokers);
  json_t *members = json_array ();
  jd_node_status (daemon->node, members);
  int64_t now_us = jd_clock_now_us (&daemon->clock);
  json_t *object = json_object ();
  json_object_set_new (object, "seat", json_string (daemon->options.member));
  json_object_set_new (object, "zone", json_string (daemon->options.zone));
  json_object_set_new (object, "health",
                       json_string (jd_result_name ((jd_result_code_t)daemon->health)));
  json_object_set_new (object, "lease_held",
                       json_boolean (jd_node_lease_until_us (daemon->node) > now_us));
  json_object_set_new (object, "shares",
                       json_integer (jd_entry_limits_owned_shares (daemon->limits)));
  json_object_set_new (
      object, "platform_age_ms",
      json_integer (jd_node_platform_age_us (daemon->node) / JD_US_PER_MS));
  json_object_set_new (object, "running",
                       json_integer (g_hash_table_size (daemon->running_requests)));
  json_object_set_new (object, "records", records);
  json_object_set_new (object, "members", members);
  json_object_set_new (object, "organisations", organisations);
  json_object_set_new (object, "brokers", brokers);
  char *text = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  call->text = g_strdup (text);
  free (text);
}

/* Status callback of the HTTP server; waits for the event loop. */
static char *
status_json (void *context)
{
  entry_daemon_t *daemon = context;
  operator_call_t call = { 0 };
  jd_loop_inbox_call (daemon->inbox, render_status, daemon, &call);
  return call.text;
}

/* Renders the plan that the core would use for a search now; runs in the event loop. */
static void
render_explain (void *context, void *argument)
{
  entry_daemon_t *daemon = context;
  operator_call_t *call = argument;
  call->text = jd_entry_core_explain (jd_entry_routing_core (daemon->routing),
                                      call->service, jd_clock_now_us (&daemon->clock));
}

/* Explain callback of the HTTP server; waits for the event loop. Returns NULL for an
 * unknown service. */
static char *
explain_json (void *context, const char *service, const char *query)
{
  entry_daemon_t *daemon = context;
  operator_call_t call = { .service = service };
  jd_loop_inbox_call (daemon->inbox, render_explain, daemon, &call);
  if (!call.text)
    return NULL;
  json_t *object = json_object ();
  json_object_set_new (object, "service", json_string (service));
  json_object_set_new (object, "plan", json_string (call.text));
  char *text = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  g_free (call.text);
  call.text = g_strdup (text);
  free (text);
  return call.text;
}

/* Wake callback of the inbox; may be called from any thread. */
static void
wake_loop (void *context)
{
  entry_daemon_t *daemon = context;
  jd_node_wake (daemon->node);
}

/* Returns JD_OK, or the reason why the load balancer should send no requests to this
 * host. */
static jd_result_code_t
current_health (entry_daemon_t *daemon)
{
  if (!jd_node_is_listed (daemon->node) ||
      !jd_entry_routing_has_targets (daemon->routing))
    return JD_NO_CONFIGURATION;
  jd_result_code_t code = JD_OK;
  jd_zone_state_record_t *zones = jd_config_store_zones (daemon->store);
  if (zones && g_hash_table_contains (zones->drained_zones, daemon->options.zone))
    code = JD_ZONE_DRAINED;
  if (zones)
    jd_zone_state_record_unref (zones);
  jd_host_state_record_t *hosts = jd_config_store_hosts (daemon->store);
  if (hosts && g_hash_table_contains (hosts->draining_members, daemon->options.member))
    code = JD_SHUTTING_DOWN;
  if (hosts)
    jd_host_state_record_unref (hosts);
  return code;
}

/* Starts a phase of the shutdown. until_us is its deadline, unused by PHASE_DONE. */
static void
enter_phase (entry_daemon_t *daemon, shutdown_phase_t phase, int64_t until_us,
             int64_t now_us)
{
  static const char *const names[] = { "running", "notice", "refusing", "releasing",
                                       "done" };
  jd_log_event (G_LOG_LEVEL_INFO, "shutdown", "phase=%s running=%u active=%u",
                names[phase], g_hash_table_size (daemon->running_requests),
                jd_entry_http_active_requests (daemon->http));
  daemon->phase = phase;
  daemon->phase_since_us = now_us;
  daemon->phase_until_us = until_us;
}

/* Starts the next phase of the shutdown if the current one is over. */
static void
advance_shutdown (entry_daemon_t *daemon, int64_t now_us)
{
  switch (daemon->phase)
    {
    case PHASE_RUNNING:
      if (!daemon->stop_signal.received)
        return;
      jd_entry_http_announce_close (daemon->http);
      enter_phase (daemon, PHASE_NOTICE, now_us + daemon->options.shutdown_notice_us,
                   now_us);
      break;
    case PHASE_NOTICE:
      if (now_us < daemon->phase_until_us)
        return;
      jd_entry_http_refuse_requests (daemon->http);
      jd_node_set_state (daemon->node, JD_MEMBER_DRAINING);
      enter_phase (daemon, PHASE_REFUSING, now_us + daemon->options.shutdown_limit_us,
                   now_us);
      break;
    case PHASE_REFUSING:
      if (now_us < daemon->phase_until_us &&
          (jd_entry_http_active_requests (daemon->http) > 0 ||
           now_us < daemon->phase_since_us + REFUSE_MIN_US))
        return;
      enter_phase (daemon, PHASE_RELEASING,
                   jd_entry_limits_release_shares (daemon->limits) + RELEASE_LINGER_US,
                   now_us);
      break;
    case PHASE_RELEASING:
      if (now_us >= daemon->phase_until_us - RELEASE_LINGER_US)
        jd_node_set_state (daemon->node, JD_MEMBER_RELEASED);
      if (now_us >= daemon->phase_until_us)
        enter_phase (daemon, PHASE_DONE, 0, now_us);
      break;
    case PHASE_DONE:
      break;
    }
}

/* Returns the timeout of the next poll, rounded up to whole milliseconds. */
static int
poll_timeout_ms (const entry_daemon_t *daemon)
{
  int64_t next_us = MIN (jd_entry_limits_next_wakeup_us (daemon->limits),
                         jd_entry_routing_next_wakeup_us (daemon->routing));
  int64_t now_us = jd_clock_now_us (&daemon->clock);
  if (next_us <= now_us)
    return 0;
  if (next_us - now_us >= MAX_POLL_MS * JD_US_PER_MS)
    return MAX_POLL_MS;
  return (int)((next_us - now_us + JD_US_PER_MS - 1) / JD_US_PER_MS);
}

/* Runs the event loop until the shutdown is complete. */
static void
run_loop (entry_daemon_t *daemon)
{
  while (daemon->phase != PHASE_DONE)
    {
      jd_node_poll (daemon->node, poll_timeout_ms (daemon));
      jd_loop_inbox_drain (daemon->inbox);
      jd_entry_limits_tick (daemon->limits);
      jd_entry_routing_tick (daemon->routing);
      g_atomic_int_set (&daemon->health, current_health (daemon));
      advance_shutdown (daemon, jd_clock_now_us (&daemon->clock));
    }
}

/* Creates a table of requests by id. It owns a reference to each request; the keys are
 * the id members of the requests. */
static GHashTable *
new_request_table (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                (GDestroyNotify)jd_caller_request_unref);
}

/* Creates the parts of the daemon that need no network. */
static void
init_state (entry_daemon_t *daemon, const jd_entry_daemon_options_t *options)
{
  daemon->options = *options;
  daemon->clock = jd_clock_system ();
  daemon->store = jd_config_store_new ();
  daemon->counters = jd_counters_new ();
  daemon->waiting_requests = new_request_table ();
  daemon->running_requests = new_request_table ();
  daemon->health = JD_NO_CONFIGURATION;
  daemon->inbox = jd_loop_inbox_new (wake_loop, daemon);
}

/* Binds the peer address and creates the limits and the routing on top of the node. */
static gboolean
start_node (entry_daemon_t *daemon, GError **error)
{
  const jd_entry_daemon_options_t *options = &daemon->options;
  jd_node_options_t node = {
    .member = options->member,
    .zone = options->zone,
    .role = JD_ROLE_ENTRY,
    .peer_address = options->peer_address,
    .bootstrap_peers = options->bootstrap_peers,
    .platform_url = options->platform_url,
    .clock = daemon->clock,
    .counters = daemon->counters,
    .store = daemon->store,
    .callbacks = { .on_message = on_message, .on_record = on_record, .context = daemon },
  };
  daemon->node = jd_node_new (&node, error);
  if (!daemon->node)
    return FALSE;
  daemon->limits =
      jd_entry_limits_new (daemon->node, daemon->store, options->member, options->zone,
                           daemon->counters, on_decided, daemon);
  jd_entry_routing_options_t routing = {
    .node = daemon->node,
    .store = daemon->store,
    .counters = daemon->counters,
    .member = options->member,
    .zone = options->zone,
    .finish = on_finish,
    .context = daemon,
  };
  daemon->routing = jd_entry_routing_new (&routing);
  if (jd_stop_signal_init (&daemon->stop_signal,
                           jd_peer_link_event_poll (jd_node_link (daemon->node))))
    return TRUE;
  g_set_error (error, JD_PEER_LINK_ERROR, JD_PEER_LINK_ERROR_RESOURCES,
               "cannot watch for SIGTERM and SIGINT");
  return FALSE;
}

/* Starts the HTTP server for callers. */
static gboolean
start_http (entry_daemon_t *daemon, GError **error)
{
  jd_entry_http_options_t options = {
    .port = daemon->options.http_port,
    .bind_address = daemon->options.http_address,
    .body_limit_bytes = daemon->options.body_limit_bytes,
    .key_staleness_limit_us = daemon->options.key_staleness_limit_us,
    .store = daemon->store,
    .counters = daemon->counters,
    .clock = daemon->clock,
    .context = daemon,
    .submit = submit_request,
    .key_age_us = key_age_us,
    .status_json = status_json,
    .explain_json = explain_json,
    .health = get_health,
  };
  daemon->http = jd_entry_http_start (&options, error);
  return daemon->http != NULL;
}

/* Frees the members of the daemon. The inbox closes and the HTTP server stops first,
 * because its threads use the other members. */
static void
clear_daemon (entry_daemon_t *daemon)
{
  jd_loop_inbox_close (daemon->inbox);
  jd_entry_http_stop (daemon->http);
  jd_loop_inbox_free (daemon->inbox);
  jd_entry_routing_free (daemon->routing);
  jd_entry_limits_free (daemon->limits);
  if (daemon->node)
    jd_stop_signal_clear (&daemon->stop_signal,
                          jd_peer_link_event_poll (jd_node_link (daemon->node)));
  jd_node_free (daemon->node);
  g_hash_table_destroy (daemon->waiting_requests);
  g_hash_table_destroy (daemon->running_requests);
  jd_config_store_free (daemon->store);
  jd_counters_free (daemon->counters);
}

/* Runs the entry until a stop signal and the shutdown that follows. Returns EXIT_FAILURE
 * if the entry cannot start. */
int
jd_entry_daemon_run (const jd_entry_daemon_options_t *options)
{
  entry_daemon_t daemon = { 0 };
  GError *error = NULL;
  jd_stop_signal_block ();
  init_state (&daemon, options);
  gboolean ok = start_node (&daemon, &error) && start_http (&daemon, &error);
  if (ok)
    {
      jd_log_event (G_LOG_LEVEL_INFO, "started", "zone=%s http_port=%u peer_address=%s",
                    options->zone, options->http_port, options->peer_address);
      run_loop (&daemon);
      jd_log_event (G_LOG_LEVEL_INFO, "stopped", "zone=%s", options->zone);
    }
  else
    {
      char *reason = jd_log_quote (error->message);
      jd_log_event (G_LOG_LEVEL_CRITICAL, "start_failed", "reason=%s", reason);
      g_free (reason);
      g_error_free (error);
    }
  clear_daemon (&daemon);
  return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
