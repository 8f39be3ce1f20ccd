#include "daemons/operator_http.h"

#include <arpa/inet.h>
#include <stdatomic.h>
#include <string.h>
#include <ulfius.h>

struct jd_operator_http
{
  struct _u_instance instance;
  struct sockaddr_in address;
  jd_counters_t *counters;
  _Atomic int health; /* jd_result_code_t */
  GMutex lock;        /* Guards status; no other lock is taken while it is held. */
  char *status;
};

/* GET /healthz: 200 if the process takes new work, else 503 with the reason. */
static int
on_health (const struct _u_request *request, struct _u_response *response, void *context)
{
  jd_operator_http_t *http = context;
  const jd_result_info_t *info = jd_result_info ((jd_result_code_t)http->health);
  char *text =
      g_strdup_printf ("{\"code\":%d,\"name\":\"%s\"}", (int)info->code, info->name);
  ulfius_set_string_body_response (response, info->code == JD_OK ? 200 : 503, text);
  u_map_put (response->map_header, "Content-Type", "application/json");
  g_free (text);
  return U_CALLBACK_COMPLETE;
}

/* GET /counters: the counters of the process as plain text. */
static int
on_counters (const struct _u_request *request, struct _u_response *response,
             void *context)
{
  jd_operator_http_t *http = context;
  char *text = jd_counters_render (http->counters);
  ulfius_set_string_body_response (response, 200, text);
  u_map_put (response->map_header, "Content-Type", "text/plain");
  g_free (text);
  return U_CALLBACK_COMPLETE;
}

/* GET /status: the JSON text that the event loop set last. */
static int
on_status (const struct _u_request *request, struct _u_response *response, void *context)
{
  jd_operator_http_t *http = context;
  g_mutex_lock (&http->lock);
  ulfius_set_string_body_response (response, 200, http->status);
  g_mutex_unlock (&http->lock);
  u_map_put (response->map_header, "Content-Type", "application/json");
  return U_CALLBACK_COMPLETE;
}

/* Starts to serve on 127.0.0.1. Health is JD_NO_CONFIGURATION until it is set. Returns
 * NULL and sets error if the port cannot be bound. counters must outlive the server. */
jd_operator_http_t *
jd_operator_http_start (uint16_t port, jd_counters_t *counters, GError **error)
{
  jd_operator_http_t *http = g_new0 (jd_operator_http_t, 1);
  http->counters = counters;
  http->health = JD_NO_CONFIGURATION;
  http->status = g_strdup ("{}");
  g_mutex_init (&http->lock);
  http->address = (struct sockaddr_in){ .sin_family = AF_INET,
                                        .sin_port = htons (port),
                                        .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  gboolean is_initialized =
      ulfius_init_instance (&http->instance, port, &http->address, NULL) == U_OK;
  if (is_initialized)
    {
      struct _u_instance *instance = &http->instance;
      ulfius_add_endpoint_by_val (instance, "GET", NULL, "/healthz", 0, on_health, http);
      ulfius_add_endpoint_by_val (instance, "GET", NULL, "/counters", 0, on_counters,
                                  http);
      ulfius_add_endpoint_by_val (instance, "GET", NULL, "/status", 0, on_status, http);
      if (ulfius_start_framework (instance) == U_OK)
        return http;
      ulfius_clean_instance (instance);
    }
  g_set_error (error, G_IO_CHANNEL_ERROR, G_IO_CHANNEL_ERROR_FAILED,
               "cannot listen on 127.0.0.1:%u", port);
  g_mutex_clear (&http->lock);
  g_free (http->status);
  g_free (http);
  return NULL;
}

/* Stops serving; NULL is allowed. */
void
jd_operator_http_stop (jd_operator_http_t *http)
{
  if (!http)
    return;
  ulfius_stop_framework (&http->instance);
  ulfius_clean_instance (&http->instance);
  g_mutex_clear (&http->lock);
  g_free (http->status);
  g_free (http);
}

/* Sets what /healthz answers: JD_OK or the reason why the process takes no new work. */
void
jd_operator_http_set_health (jd_operator_http_t *http, jd_result_code_t code)
{
  http->health = code;
}

/* Replaces the JSON text of /status. Takes ownership of text. */
void
jd_operator_http_set_status (jd_operator_http_t *http, char *text)
{
  g_mutex_lock (&http->lock);
  g_free (http->status);
  http->status = text;
  g_mutex_unlock (&http->lock);
}
