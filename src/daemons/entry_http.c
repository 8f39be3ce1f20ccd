#include "daemons/entry_http.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <string.h>
#include <ulfius.h>

#include "base/log_event.h"
#include "base/rng.h"
#include "daemons/answer_json.h"

#define CALLER_TIMEOUT_MIN_MS 1
#define CALLER_TIMEOUT_MAX_MS 10000
#define HIT_LIMIT_DEFAULT 10
#define HIT_LIMIT_MAX 1000
#define QUERY_TEXT_MAX_BYTES 1024
/* The event loop answers each request by its deadline. The worker thread of the request
 * waits this much longer, in case a fault in the event loop loses the answer. */
#define ANSWER_WAIT_GRACE_US (5 * JD_US_PER_S)
/* Maximum total size of the path and the header fields of a request. */
#define HEAD_MAX_BYTES ((size_t)32 * 1024)
/* If a request head does not fit this memory, the HTTP library answers with an error page
 * of its own instead of JSON with a result code. The memory is therefore well above
 * HEAD_MAX_BYTES; unused memory of a connection is never touched. */
#define CONNECTION_MEMORY_BYTES ((intptr_t)1024 * 1024)
#define SERVICES_PREFIX "/v1/services"

struct jd_entry_http
{
  jd_entry_http_options_t options;
  struct _u_instance instance;
  struct sockaddr_in address;
  uint64_t id_base;
  _Atomic uint64_t next_id;
  gint active_requests;
  gint closes_connections;
  gint refuses_requests;
};

/* Returns TRUE if name has a valid length for a service name. name may be NULL. */
static gboolean
is_service_name (const char *name)
{
  size_t length = name ? strlen (name) : 0;
  return length > 0 && length < JD_NAME_SIZE;
}

/* Sends a JSON answer with the HTTP status of its code and counts it. */
static void
send_answer (jd_entry_http_t *http, struct _u_response *response,
             const jd_caller_request_t *request, const jd_caller_answer_t *answer,
             const char *detail)
{
  const jd_result_info_t *info = jd_result_info (answer->code);
  char *text = jd_answer_json (request, answer, detail);
  ulfius_set_string_body_response (response, info->http_status, text);
  g_free (text);
  u_map_put (response->map_header, "Content-Type", "application/json");
  if (info->http_status == 429 || info->http_status == 503)
    u_map_put (response->map_header, "Retry-After", "1");
  if (g_atomic_int_get (&http->closes_connections))
    u_map_put (response->map_header, "Connection", "close");
  char *counter = g_strdup_printf ("entry.answers.%s", info->name);
  jd_counter_add (jd_counters_get (http->options.counters, counter), 1);
  g_free (counter);
}

/* Sends the error answer of a request that did not run. detail may be NULL. */
static void
refuse_request (jd_entry_http_t *http, struct _u_response *response,
                const jd_caller_request_t *request, jd_result_code_t code,
                const char *detail)
{
  jd_caller_answer_t answer = { .code = code, .ran = JD_RAN_NO };
  send_answer (http, response, request, &answer, detail);
}

/* Reads an optional integer parameter of the query string into value, which stays
 * unchanged if the parameter is absent. Returns FALSE if it is not an integer from min to
 * max. */
static gboolean
read_integer (const struct _u_request *http_request, const char *name, gint64 min,
              gint64 max, gint64 *value)
{
  const char *text = u_map_get (http_request->map_url, name);
  if (!text)
    return TRUE;
  char *end = NULL;
  *value = g_ascii_strtoll (text, &end, 10);
  return end != text && *end == '\0' && *value >= min && *value <= max;
}

/* Reads the parameters limit and timeout_ms. Returns NULL, or an error message. */
static const char *
read_parameters (jd_entry_http_t *http, const struct _u_request *http_request,
                 jd_caller_request_t *request)
{
  gint64 limit = HIT_LIMIT_DEFAULT;
  gint64 timeout_ms = 0;
  if (!read_integer (http_request, "limit", 1, HIT_LIMIT_MAX, &limit))
    return "limit must be a whole number from 1 to 1000.";
  if (!read_integer (http_request, "timeout_ms", CALLER_TIMEOUT_MIN_MS,
                     CALLER_TIMEOUT_MAX_MS, &timeout_ms))
    return "timeout_ms must be a whole number from 1 to 10000.";
  request->limit = (uint32_t)limit;
  if (timeout_ms > 0)
    request->deadline_us = request->received_us + timeout_ms * JD_US_PER_MS;
  return NULL;
}

/* Reads the query text of a search. Returns NULL, or an error message. */
static const char *
read_search (const struct _u_request *http_request, jd_caller_request_t *request)
{
  const char *text = u_map_get (http_request->map_url, "q");
  if (!text || !*text || strlen (text) > QUERY_TEXT_MAX_BYTES)
    return "q must have 1 to 1024 bytes.";
  request->text = g_strdup (text);
  return NULL;
}

/* Reads the entry id of a fetch or an edit, and the body of an edit. Returns JD_BAD_JSON
 * if the body is not a JSON object. */
static jd_result_code_t
read_entry (const struct _u_request *http_request, jd_caller_request_t *request)
{
  request->text = g_strdup (u_map_get (http_request->map_url, "id"));
  if (request->kind != JD_WORK_EDIT)
    return JD_OK;
  json_t *body =
      json_loadb (http_request->binary_body, http_request->binary_body_length, 0, NULL);
  if (!json_is_object (body))
    {
      json_decref (body);
      return JD_BAD_JSON;
    }
  json_decref (body);
  request->body_bytes = (uint32_t)http_request->binary_body_length;
  request->body = g_strndup (http_request->binary_body, http_request->binary_body_length);
  return JD_OK;
}

/* Checks the service and the API key, and sets the default deadline of the service. */
static jd_result_code_t
check_access (jd_entry_http_t *http, const struct _u_request *http_request,
              jd_caller_request_t *request)
{
  const jd_entry_http_options_t *options = &http->options;
  const char *service = u_map_get (http_request->map_url, "service");
  if (!is_service_name (service))
    return JD_UNKNOWN_SERVICE;
  g_strlcpy (request->service, service, sizeof (request->service));
  jd_access_request_t access = {
    .service = service,
    .key = u_map_get_case (http_request->map_header, "X-Api-Key"),
    .is_edit = request->kind == JD_WORK_EDIT,
    .key_age_us = options->key_age_us (options->context),
    .key_staleness_limit_us = options->key_staleness_limit_us,
  };
  jd_result_code_t code = jd_access_check (options->store, &access, &request->access);
  if (code != JD_OK)
    return code;
  jd_service_record_t *record = jd_config_store_service (options->store, service);
  if (!record)
    return JD_UNKNOWN_SERVICE;
  request->deadline_us =
      request->received_us + (int64_t)record->deadline_ms * JD_US_PER_MS;
  jd_service_record_unref (record);
  return JD_OK;
}

/* Submits a checked request to the event loop and sends its answer. */
static void
run_request (jd_entry_http_t *http, struct _u_response *response,
             jd_caller_request_t *request)
{
  http->options.submit (http->options.context, request);
  int64_t wait_us = request->deadline_us - jd_clock_now_us (&http->options.clock) +
                    ANSWER_WAIT_GRACE_US;
  if (jd_caller_request_wait (request, wait_us))
    {
      send_answer (http, response, request, &request->answer, NULL);
      return;
    }
  jd_log_event (G_LOG_LEVEL_CRITICAL, "answer_missing",
                "request=%016" G_GINT64_MODIFIER "x", (guint64)request->id);
  jd_caller_answer_t answer = { .code = JD_OUTCOME_UNKNOWN, .ran = JD_RAN_UNKNOWN };
  send_answer (http, response, request, &answer, NULL);
}

/* Sets the kind of a request from its route and method. Returns JD_METHOD_NOT_ALLOWED if
 * the route does not support the method. */
static jd_result_code_t
classify_request (const struct _u_request *http_request, gboolean is_search,
                  jd_work_kind_t *kind)
{
  gboolean is_get = strcmp (http_request->http_verb, "GET") == 0;
  gboolean is_post = strcmp (http_request->http_verb, "POST") == 0;
  *kind = is_search ? JD_WORK_SEARCH : is_post ? JD_WORK_EDIT : JD_WORK_FETCH;
  return is_get || (is_post && !is_search) ? JD_OK : JD_METHOD_NOT_ALLOWED;
}

/* Returns TRUE if the body exceeds the limit. ulfius truncates longer bodies, so that
 * Content-Length is checked too. */
static gboolean
has_large_body (const jd_entry_http_t *http, const struct _u_request *http_request)
{
  const char *content_length =
      u_map_get_case (http_request->map_header, "Content-Length");
  guint64 length = content_length ? g_ascii_strtoull (content_length, NULL, 10) : 0;
  return length > http->options.body_limit_bytes ||
         http_request->binary_body_length > http->options.body_limit_bytes;
}

/* Returns TRUE if the path and the header fields exceed HEAD_MAX_BYTES. */
static gboolean
has_large_head (const struct _u_request *http_request)
{
  const struct _u_map *fields = http_request->map_header;
  size_t size = strlen (http_request->http_url);
  for (int i = 0; i < fields->nb_values; i++)
    size += strlen (fields->keys[i]) + fields->lengths[i];
  return size > HEAD_MAX_BYTES;
}

/* Checks a request and runs it or refuses it. The order of the checks decides which error
 * a caller receives if several apply: the one that helps the caller most comes first. */
static void
check_and_run (jd_entry_http_t *http, const struct _u_request *http_request,
               struct _u_response *response, jd_caller_request_t *request,
               gboolean is_search)
{
  jd_result_code_t code = classify_request (http_request, is_search, &request->kind);
  if (code == JD_OK && has_large_head (http_request))
    code = JD_HEADERS_TOO_LARGE;
  if (code == JD_OK && g_atomic_int_get (&http->refuses_requests))
    code = JD_SHUTTING_DOWN;
  if (code == JD_OK && strstr (http_request->http_url, "%00"))
    code = JD_BAD_REQUEST; /* A decoded NUL byte would truncate a name. */
  if (code == JD_OK && has_large_body (http, http_request))
    code = JD_BODY_TOO_LARGE;
  if (code == JD_OK)
    code = check_access (http, http_request, request);
  const char *detail = NULL;
  if (code == JD_OK)
    detail = read_parameters (http, http_request, request);
  if (code == JD_OK && !detail && is_search)
    detail = read_search (http_request, request);
  if (detail)
    code = JD_BAD_REQUEST;
  else if (code == JD_OK && !is_search)
    code = read_entry (http_request, request);
  if (code == JD_OK)
    run_request (http, response, request);
  else
    refuse_request (http, response, request, code, detail);
}

/* Handles a caller's request from its arrival to its answer. */
static int
serve_request (jd_entry_http_t *http, const struct _u_request *http_request,
               struct _u_response *response, gboolean is_search)
{
  g_atomic_int_inc (&http->active_requests);
  jd_caller_request_t *request = jd_caller_request_new ();
  request->id = http->id_base + atomic_fetch_add (&http->next_id, 1);
  request->received_us = jd_clock_now_us (&http->options.clock);
  check_and_run (http, http_request, response, request, is_search);
  jd_caller_request_unref (request);
  g_atomic_int_add (&http->active_requests, -1);
  return U_CALLBACK_COMPLETE;
}

/* Handles the search route. */
static int
on_search (const struct _u_request *request, struct _u_response *response, void *context)
{
  return serve_request (context, request, response, TRUE);
}

/* Handles the route of fetches and edits. */
static int
on_entry (const struct _u_request *request, struct _u_response *response, void *context)
{
  return serve_request (context, request, response, FALSE);
}

/* Handles requests that match no route. */
static int
on_unknown (const struct _u_request *http_request, struct _u_response *response,
            void *context)
{
  jd_caller_request_t *request = jd_caller_request_new ();
  refuse_request (context, response, request,
                  has_large_head (http_request) ? JD_HEADERS_TOO_LARGE : JD_UNKNOWN_ROUTE,
                  NULL);
  jd_caller_request_unref (request);
  return U_CALLBACK_COMPLETE;
}

/* Handles /healthz, the health check of the load balancer. */
static int
on_health (const struct _u_request *http_request, struct _u_response *response,
           void *context)
{
  jd_entry_http_t *http = context;
  jd_result_code_t code = g_atomic_int_get (&http->closes_connections)
                              ? JD_SHUTTING_DOWN
                              : http->options.health (http->options.context);
  char *text =
      g_strdup_printf ("{\"code\":%d,\"name\":\"%s\"}", code, jd_result_name (code));
  ulfius_set_string_body_response (response, code == JD_OK ? 200 : 503, text);
  u_map_put (response->map_header, "Content-Type", "application/json");
  g_free (text);
  return U_CALLBACK_COMPLETE;
}

/* Handles /counters, which lists the metric counters. */
static int
on_counters (const struct _u_request *http_request, struct _u_response *response,
             void *context)
{
  jd_entry_http_t *http = context;
  char *text = jd_counters_render (http->options.counters);
  ulfius_set_string_body_response (response, 200, text);
  u_map_put (response->map_header, "Content-Type", "text/plain");
  g_free (text);
  return U_CALLBACK_COMPLETE;
}

/* Sends the JSON text of an operator route and frees it. Sends status 404 if text is
 * NULL. */
static int
send_operator_answer (struct _u_response *response, char *text)
{
  ulfius_set_string_body_response (response, text ? 200 : 404, text ? text : "{}");
  u_map_put (response->map_header, "Content-Type", "application/json");
  g_free (text);
  return U_CALLBACK_COMPLETE;
}

/* Handles /status, the status of this host. */
static int
on_status (const struct _u_request *http_request, struct _u_response *response,
           void *context)
{
  jd_entry_http_t *http = context;
  return send_operator_answer (response,
                               http->options.status_json (http->options.context));
}

/* Handles /explain, which shows the plan of a search without running it. */
static int
on_explain (const struct _u_request *http_request, struct _u_response *response,
            void *context)
{
  jd_entry_http_t *http = context;
  const char *service = u_map_get (http_request->map_url, "service");
  const char *query = u_map_get (http_request->map_url, "q");
  char *text = is_service_name (service)
                   ? http->options.explain_json (http->options.context, service,
                                                 query ? query : "")
                   : NULL;
  return send_operator_answer (response, text);
}

/* Registers all routes. The callbacks check the method, because ulfius answers an
 * unsupported method with 404. */
static void
add_routes (jd_entry_http_t *http)
{
  struct _u_instance *instance = &http->instance;
  ulfius_add_endpoint_by_val (instance, "*", SERVICES_PREFIX, "/:service/search", 0,
                              on_search, http);
  ulfius_add_endpoint_by_val (instance, "*", SERVICES_PREFIX, "/:service/entries/:id", 0,
                              on_entry, http);
  ulfius_add_endpoint_by_val (instance, "GET", NULL, "/healthz", 0, on_health, http);
  ulfius_add_endpoint_by_val (instance, "GET", NULL, "/counters", 0, on_counters, http);
  ulfius_add_endpoint_by_val (instance, "GET", NULL, "/status", 0, on_status, http);
  ulfius_add_endpoint_by_val (instance, "GET", NULL, "/explain", 0, on_explain, http);
  ulfius_set_default_endpoint (instance, on_unknown, http);
}

/* Starts the server with the options that ulfius sets by default and with
 * CONNECTION_MEMORY_BYTES. */
static gboolean
start_server (jd_entry_http_t *http)
{
  struct MHD_OptionItem options[] = {
    { .option = MHD_OPTION_NOTIFY_COMPLETED, .value = (intptr_t)mhd_request_completed },
    { .option = MHD_OPTION_URI_LOG_CALLBACK, .value = (intptr_t)ulfius_uri_logger },
    { .option = MHD_OPTION_SOCK_ADDR, .ptr_value = &http->address },
    { .option = MHD_OPTION_CONNECTION_MEMORY_LIMIT, .value = CONNECTION_MEMORY_BYTES },
    { .option = MHD_OPTION_END },
  };
  return ulfius_start_framework_with_mhd_options (&http->instance,
                                                  MHD_USE_THREAD_PER_CONNECTION |
                                                      MHD_USE_INTERNAL_POLLING_THREAD,
                                                  options) == U_OK;
}

/* Starts the HTTP server. Returns NULL with an error if it cannot listen on the
 * address. */
jd_entry_http_t *
jd_entry_http_start (const jd_entry_http_options_t *options, GError **error)
{
  jd_entry_http_t *http = g_new0 (jd_entry_http_t, 1);
  http->options = *options;
  /* The random high half keeps request ids distinct between incarnations. */
  http->id_base = jd_entropy () << 32;
  http->address.sin_family = AF_INET;
  http->address.sin_port = htons (options->port);
  gboolean ok =
      inet_pton (AF_INET, options->bind_address, &http->address.sin_addr) == 1 &&
      ulfius_init_instance (&http->instance, options->port, &http->address, NULL) == U_OK;
  if (ok)
    {
      /* ulfius keeps one byte more than the limit, so that a longer body is detected. */
      http->instance.max_post_body_size = (size_t)options->body_limit_bytes + 1;
      http->instance.allowed_post_processor = U_POST_PROCESS_NONE;
      add_routes (http);
      ok = start_server (http);
    }
  if (ok)
    return http;
  g_set_error (error, G_IO_CHANNEL_ERROR, G_IO_CHANNEL_ERROR_FAILED,
               "cannot listen on %s:%u", options->bind_address, options->port);
  g_free (http);
  return NULL;
}

/* Adds "Connection: close" to all answers from now on, so that callers reconnect to other
 * hosts. */
void
jd_entry_http_announce_close (jd_entry_http_t *http)
{
  g_atomic_int_set (&http->closes_connections, 1);
}

/* Refuses new requests as JD_SHUTTING_DOWN from now on. */
void
jd_entry_http_refuse_requests (jd_entry_http_t *http)
{
  g_atomic_int_set (&http->refuses_requests, 1);
}

/* Returns the number of requests that are not answered yet. */
uint32_t
jd_entry_http_active_requests (jd_entry_http_t *http)
{
  return (uint32_t)g_atomic_int_get (&http->active_requests);
}

/* Stops the server and frees it; http may be NULL. */
void
jd_entry_http_stop (jd_entry_http_t *http)
{
  if (!http)
    return;
  ulfius_stop_framework (&http->instance);
  ulfius_clean_instance (&http->instance);
  g_free (http);
}
