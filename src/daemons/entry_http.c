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
#define CALLER_LIMIT_DEFAULT 10
#define CALLER_LIMIT_MAX 1000
#define CALLER_TEXT_MAX_BYTES 1024
/* The loop answers at the deadline; this only guards against a fault in the loop. */
#define ANSWER_GRACE_US (5 * JD_US_PER_S)
/* Longest path and header fields of a request. */
#define HEAD_MAX_BYTES ((size_t)32 * 1024)
/* The HTTP library answers a head that does not fit its memory with a page of its own. A
 * connection's memory is only touched as far as it is used, so it is well above the limit
 * that gets a numbered error. */
#define CONNECTION_MEMORY_BYTES ((intptr_t)1024 * 1024)
#define SERVICES_PREFIX "/v1/services"

struct jd_entry_http
{
  jd_entry_http_options_t options;
  struct _u_instance instance;
  struct sockaddr_in address;
  uint64_t id_base;
  _Atomic uint64_t next_id;
  gint active;
  gint closing;
  gint refusing;
};

/* Returns whether a name can be that of a service. */
static gboolean
is_name (const char *name)
{
  size_t length = name ? strlen (name) : 0;
  return length > 0 && length < JD_NAME_SIZE;
}

/* Sends a JSON answer with the status of its code. */
static void
respond (jd_entry_http_t *http, struct _u_response *response,
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
  if (g_atomic_int_get (&http->closing))
    u_map_put (response->map_header, "Connection", "close");
  char *counter = g_strdup_printf ("entry.answers.%s", info->name);
  jd_counter_add (jd_counters_get (http->options.counters, counter), 1);
  g_free (counter);
}

/* Refuses a request that did not run. */
static void
refuse (jd_entry_http_t *http, struct _u_response *response,
        const jd_caller_request_t *request, jd_result_code_t code, const char *detail)
{
  jd_caller_answer_t answer = { .code = code, .ran = JD_RAN_NO };
  respond (http, response, request, &answer, detail);
}

/* Reads an optional whole number from the query string into value. Returns FALSE when it
 * is outside min to max. */
static gboolean
read_number (const struct _u_request *http_request, const char *name, gint64 min,
             gint64 max, gint64 *value)
{
  const char *text = u_map_get (http_request->map_url, name);
  if (!text)
    return TRUE;
  char *end = NULL;
  *value = g_ascii_strtoll (text, &end, 10);
  return end != text && *end == '\0' && *value >= min && *value <= max;
}

/* Reads limit and timeout_ms; returns NULL or what is wrong. */
static const char *
read_parameters (jd_entry_http_t *http, const struct _u_request *http_request,
                 jd_caller_request_t *request)
{
  gint64 limit = CALLER_LIMIT_DEFAULT;
  gint64 timeout_ms = 0;
  if (!read_number (http_request, "limit", 1, CALLER_LIMIT_MAX, &limit))
    return "limit must be a whole number from 1 to 1000.";
  if (!read_number (http_request, "timeout_ms", CALLER_TIMEOUT_MIN_MS,
                    CALLER_TIMEOUT_MAX_MS, &timeout_ms))
    return "timeout_ms must be a whole number from 1 to 10000.";
  request->limit = (uint32_t)limit;
  if (timeout_ms > 0)
    request->deadline_us = request->received_us + timeout_ms * JD_US_PER_MS;
  return NULL;
}

/* Takes the query text of a search. */
static const char *
read_search (const struct _u_request *http_request, jd_caller_request_t *request)
{
  const char *text = u_map_get (http_request->map_url, "q");
  if (!text || !*text || strlen (text) > CALLER_TEXT_MAX_BYTES)
    return "q must have 1 to 1024 bytes.";
  request->text = g_strdup (text);
  return NULL;
}

/* Takes the entry id of a fetch or an edit, and the body of an edit. */
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

/* Checks the key and the service and sets the deadline of the service. */
static jd_result_code_t
authorise (jd_entry_http_t *http, const struct _u_request *http_request,
           jd_caller_request_t *request)
{
  const jd_entry_http_options_t *options = &http->options;
  const char *service = u_map_get (http_request->map_url, "service");
  if (!is_name (service))
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

/* Hands a checked request to the loop and waits for its answer. */
static void
run (jd_entry_http_t *http, struct _u_response *response, jd_caller_request_t *request)
{
  http->options.submit (http->options.context, request);
  int64_t wait_us =
      request->deadline_us - jd_clock_now_us (&http->options.clock) + ANSWER_GRACE_US;
  if (jd_caller_request_wait (request, wait_us))
    {
      respond (http, response, request, &request->answer, NULL);
      return;
    }
  jd_log_event (G_LOG_LEVEL_CRITICAL, "answer_missing",
                "request=%016" G_GINT64_MODIFIER "x", (guint64)request->id);
  jd_caller_answer_t answer = { .code = JD_OUTCOME_UNKNOWN, .ran = JD_RAN_UNKNOWN };
  respond (http, response, request, &answer, NULL);
}

/* Returns the kind of a request from its route and method, or the refusal. */
static jd_result_code_t
classify (const struct _u_request *http_request, gboolean is_search, jd_work_kind_t *kind)
{
  gboolean get = strcmp (http_request->http_verb, "GET") == 0;
  gboolean post = strcmp (http_request->http_verb, "POST") == 0;
  *kind = is_search ? JD_WORK_SEARCH : post ? JD_WORK_EDIT : JD_WORK_FETCH;
  return get || (post && !is_search) ? JD_OK : JD_METHOD_NOT_ALLOWED;
}

/* Returns whether the body is larger than allowed. ulfius cuts longer bodies off, so the
 * announced length counts too. */
static gboolean
is_too_large (const jd_entry_http_t *http, const struct _u_request *http_request)
{
  const char *announced = u_map_get_case (http_request->map_header, "Content-Length");
  guint64 length = announced ? g_ascii_strtoull (announced, NULL, 10) : 0;
  return length > http->options.body_limit_bytes ||
         http_request->binary_body_length > http->options.body_limit_bytes;
}

/* Returns whether the path and header fields are longer than allowed. */
static gboolean
has_large_head (const struct _u_request *http_request)
{
  const struct _u_map *fields = http_request->map_header;
  size_t size = strlen (http_request->http_url);
  for (int i = 0; i < fields->nb_values; i++)
    size += strlen (fields->keys[i]) + fields->lengths[i];
  return size > HEAD_MAX_BYTES;
}

/* Checks a request in the order in which its refusals are useful to the caller. */
static void
serve_checked (jd_entry_http_t *http, const struct _u_request *http_request,
               struct _u_response *response, jd_caller_request_t *request,
               gboolean is_search)
{
  jd_result_code_t code = classify (http_request, is_search, &request->kind);
  if (code == JD_OK && has_large_head (http_request))
    code = JD_HEADERS_TOO_LARGE;
  if (code == JD_OK && g_atomic_int_get (&http->refusing))
    code = JD_SHUTTING_DOWN;
  if (code == JD_OK && strstr (http_request->http_url, "%00"))
    code = JD_BAD_REQUEST; /* A decoded zero byte would end a name early. */
  if (code == JD_OK && is_too_large (http, http_request))
    code = JD_BODY_TOO_LARGE;
  if (code == JD_OK)
    code = authorise (http, http_request, request);
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
    run (http, response, request);
  else
    refuse (http, response, request, code, detail);
}

/* Serves one caller's request from start to answer. */
static int
serve (jd_entry_http_t *http, const struct _u_request *http_request,
       struct _u_response *response, gboolean is_search)
{
  g_atomic_int_inc (&http->active);
  jd_caller_request_t *request = jd_caller_request_new ();
  request->id = http->id_base + atomic_fetch_add (&http->next_id, 1);
  request->received_us = jd_clock_now_us (&http->options.clock);
  serve_checked (http, http_request, response, request, is_search);
  jd_caller_request_unref (request);
  g_atomic_int_add (&http->active, -1);
  return U_CALLBACK_COMPLETE;
}

/* Route of searches. */
static int
on_search (const struct _u_request *request, struct _u_response *response, void *context)
{
  return serve (context, request, response, TRUE);
}

/* Route of fetches and edits. */
static int
on_entry (const struct _u_request *request, struct _u_response *response, void *context)
{
  return serve (context, request, response, FALSE);
}

/* Route for everything unknown. */
static int
on_unknown (const struct _u_request *http_request, struct _u_response *response,
            void *context)
{
  jd_caller_request_t *request = jd_caller_request_new ();
  refuse (context, response, request,
          has_large_head (http_request) ? JD_HEADERS_TOO_LARGE : JD_UNKNOWN_ROUTE, NULL);
  jd_caller_request_unref (request);
  return U_CALLBACK_COMPLETE;
}

/* Route of the load balancer's health check. */
static int
on_health (const struct _u_request *http_request, struct _u_response *response,
           void *context)
{
  jd_entry_http_t *http = context;
  jd_result_code_t code = g_atomic_int_get (&http->closing)
                              ? JD_SHUTTING_DOWN
                              : http->options.health (http->options.context);
  char *text =
      g_strdup_printf ("{\"code\":%d,\"name\":\"%s\"}", code, jd_result_name (code));
  ulfius_set_string_body_response (response, code == JD_OK ? 200 : 503, text);
  u_map_put (response->map_header, "Content-Type", "application/json");
  g_free (text);
  return U_CALLBACK_COMPLETE;
}

/* Route of the metric counters. */
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

/* Sends a JSON text of an operator route and frees it. */
static int
respond_operator (struct _u_response *response, char *text)
{
  ulfius_set_string_body_response (response, text ? 200 : 404, text ? text : "{}");
  u_map_put (response->map_header, "Content-Type", "application/json");
  g_free (text);
  return U_CALLBACK_COMPLETE;
}

/* Route of the host's own status. */
static int
on_status (const struct _u_request *http_request, struct _u_response *response,
           void *context)
{
  jd_entry_http_t *http = context;
  return respond_operator (response, http->options.status_json (http->options.context));
}

/* Route that says where a search would go and why. */
static int
on_explain (const struct _u_request *http_request, struct _u_response *response,
            void *context)
{
  jd_entry_http_t *http = context;
  const char *service = u_map_get (http_request->map_url, "service");
  const char *query = u_map_get (http_request->map_url, "q");
  char *text = is_name (service) ? http->options.explain_json (
                                       http->options.context, service, query ? query : "")
                                 : NULL;
  return respond_operator (response, text);
}

/* Registers all routes. The method is checked in the callbacks, because ulfius answers a
 * wrong one with 404. */
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

/* Starts ulfius as it would start itself, but with more memory for a connection. */
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

/* Starts the HTTP server; returns NULL with an error when the port cannot be bound. */
jd_entry_http_t *
jd_entry_http_start (const jd_entry_http_options_t *options, GError **error)
{
  jd_entry_http_t *http = g_new0 (jd_entry_http_t, 1);
  http->options = *options;
  /* The high half differs between incarnations, so that request ids never meet. */
  http->id_base = jd_entropy () << 32;
  http->address.sin_family = AF_INET;
  http->address.sin_port = htons (options->port);
  gboolean ok =
      inet_pton (AF_INET, options->bind_address, &http->address.sin_addr) == 1 &&
      ulfius_init_instance (&http->instance, options->port, &http->address, NULL) == U_OK;
  if (ok)
    {
      /* One byte more than allowed arrives, so that a longer body is noticed. */
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

/* Marks answers with "Connection: close", so that callers reconnect elsewhere. */
void
jd_entry_http_announce_close (jd_entry_http_t *http)
{
  g_atomic_int_set (&http->closing, 1);
}

/* Refuses requests from now on. */
void
jd_entry_http_refuse (jd_entry_http_t *http)
{
  g_atomic_int_set (&http->refusing, 1);
}

/* Returns the number of requests without an answer. */
uint32_t
jd_entry_http_active (jd_entry_http_t *http)
{
  return (uint32_t)g_atomic_int_get (&http->active);
}

/* Stops the server and frees it. */
void
jd_entry_http_stop (jd_entry_http_t *http)
{
  if (!http)
    return;
  ulfius_stop_framework (&http->instance);
  ulfius_clean_instance (&http->instance);
  g_free (http);
}
