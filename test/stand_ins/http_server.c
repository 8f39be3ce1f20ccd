#include "stand_ins/http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <string.h>

#include "stand_ins/stand_in_run.h"

/* Exceeds the largest record (1 MiB) plus headers. */
#define MAX_BODY_BYTES ((size_t)4 * 1024 * 1024)
#define MAX_CONNECTIONS 2000U
#define LISTEN_BACKLOG 1024U

struct jd_http_server
{
  struct MHD_Daemon *daemon;
  jd_http_request_handler_t handler;
  void *context;
  uint16_t port;
  GMutex handler_lock;    /* Held while the handler runs, so that stop can wait for it. */
  GMutex lock;            /* Guards the fields below. */
  GHashTable *unanswered; /* Set of requests that have no reply yet. */
  uint64_t next_connection_sequence;
  uint32_t open_connections;
  gboolean stopping;
};

typedef struct http_connection
{
  uint64_t sequence;
  uint64_t request_count;
} http_connection_t;

struct jd_http_request
{
  gint references; /* One of libmicrohttpd, one of the handler until the end. */
  jd_http_server_t *server;
  struct MHD_Connection *connection;
  char *method;
  char *path;
  GString *body;
  uint64_t connection_sequence;
  uint64_t number;
  GMutex lock; /* Guards the fields below. */
  gboolean suspended;
  gboolean answered;
  struct MHD_Response *response; /* NULL if answered: close without a reply. */
  uint32_t status;
};

/* Callback of libmicrohttpd: a connection was opened or closed. */
static void
on_connection (void *context, struct MHD_Connection *connection, void **socket_context,
               enum MHD_ConnectionNotificationCode code)
{
  jd_http_server_t *server = context;
  g_mutex_lock (&server->lock);
  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      http_connection_t *state = g_new0 (http_connection_t, 1);
      state->sequence = server->next_connection_sequence++;
      server->open_connections++;
      *socket_context = state;
    }
  else
    {
      server->open_connections--;
      g_free (*socket_context);
      *socket_context = NULL;
    }
  g_mutex_unlock (&server->lock);
}

/* Releases one reference; the last release frees the request. */
static void
request_unref (jd_http_request_t *request)
{
  if (!g_atomic_int_dec_and_test (&request->references))
    return;
  if (request->response)
    MHD_destroy_response (request->response);
  g_mutex_clear (&request->lock);
  g_string_free (request->body, TRUE);
  g_free (request->method);
  g_free (request->path);
  g_free (request);
}

/* Callback of libmicrohttpd: it no longer uses a request. Releases its reference. */
static void
on_completed (void *context, struct MHD_Connection *connection, void **request_context,
              enum MHD_RequestTerminationCode code)
{
  if (*request_context)
    request_unref (*request_context);
  *request_context = NULL;
}

/* Creates a request after its headers have been received; the reference is
 * libmicrohttpd's. */
static jd_http_request_t *
request_new (jd_http_server_t *server, struct MHD_Connection *connection,
             const char *path, const char *method)
{
  jd_http_request_t *request = g_new0 (jd_http_request_t, 1);
  request->references = 1;
  request->server = server;
  request->connection = connection;
  request->method = g_strdup (method);
  request->path = g_strdup (path);
  request->body = g_string_new (NULL);
  g_mutex_init (&request->lock);
  const union MHD_ConnectionInfo *info =
      MHD_get_connection_info (connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  http_connection_t *state = info ? info->socket_context : NULL;
  if (state)
    {
      request->connection_sequence = state->sequence;
      request->number = ++state->request_count;
    }
  return request;
}

/* Marks a request as answered and releases the handler's reference. A response of NULL
 * closes the connection. A suspended connection resumes in the server's thread, which
 * sends the reply. */
static void
request_end (jd_http_request_t *request, struct MHD_Response *response, uint32_t status)
{
  jd_http_server_t *server = request->server;
  g_mutex_lock (&server->lock);
  g_hash_table_remove (server->unanswered, request);
  g_mutex_unlock (&server->lock);
  g_mutex_lock (&request->lock);
  request->answered = TRUE;
  request->response = response;
  request->status = status;
  struct MHD_Connection *resumed = request->suspended ? request->connection : NULL;
  g_mutex_unlock (&request->lock);
  if (resumed)
    MHD_resume_connection (resumed);
  request_unref (request);
}

/* Passes a complete request to the handler; suspends the connection if the handler has
 * not answered when it returns. */
static void
request_dispatch (jd_http_request_t *request)
{
  jd_http_server_t *server = request->server;
  g_mutex_lock (&server->handler_lock);
  g_mutex_lock (&server->lock);
  gboolean stopping = server->stopping;
  if (!stopping)
    g_hash_table_add (server->unanswered, request);
  g_mutex_unlock (&server->lock);
  if (stopping)
    request->answered = TRUE;
  else
    {
      g_atomic_int_inc (&request->references);
      server->handler (server->context, request);
    }
  g_mutex_unlock (&server->handler_lock);
  g_mutex_lock (&request->lock);
  if (!request->answered)
    {
      MHD_suspend_connection (request->connection);
      request->suspended = TRUE;
    }
  g_mutex_unlock (&request->lock);
}

/* Access handler of libmicrohttpd, which calls it for the headers, for each piece of the
 * body, at the end of the body, and again after the connection was resumed. */
static enum MHD_Result
on_access (void *context, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *upload_data,
           size_t *upload_data_size, void **request_context)
{
  jd_http_request_t *request = *request_context;
  if (!request)
    {
      *request_context = request_new (context, connection, url, method);
      return MHD_YES;
    }
  if (*upload_data_size > 0)
    {
      if (request->body->len + *upload_data_size > MAX_BODY_BYTES)
        return MHD_NO;
      g_string_append_len (request->body, upload_data, (gssize)*upload_data_size);
      *upload_data_size = 0;
      return MHD_YES;
    }
  if (!request->suspended)
    request_dispatch (request);
  g_mutex_lock (&request->lock);
  gboolean answered = request->answered;
  g_mutex_unlock (&request->lock);
  if (!answered)
    return MHD_YES;
  if (!request->response)
    return MHD_NO;
  return MHD_queue_response (connection, request->status, request->response);
}

/* Binds the address and starts libmicrohttpd; returns FALSE with an error if it fails. */
static gboolean
server_start (jd_http_server_t *server, const char *ip, uint16_t port, GError **error)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (port) };
  if (inet_pton (AF_INET, ip, &address.sin_addr) != 1)
    {
      g_set_error (error, JD_STAND_IN_ERROR, 0, "not a numeric IPv4 address: %s", ip);
      return FALSE;
    }
  server->daemon = MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, port, NULL, NULL,
      on_access, server, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address,
      MHD_OPTION_NOTIFY_CONNECTION, on_connection, server, MHD_OPTION_NOTIFY_COMPLETED,
      on_completed, server, MHD_OPTION_CONNECTION_LIMIT, MAX_CONNECTIONS,
      MHD_OPTION_LISTEN_BACKLOG_SIZE, LISTEN_BACKLOG, MHD_OPTION_END);
  if (!server->daemon)
    {
      g_set_error (error, JD_STAND_IN_ERROR, 0, "cannot listen on %s:%u", ip, port);
      return FALSE;
    }
  const union MHD_DaemonInfo *info =
      MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_BIND_PORT);
  server->port = info && info->port ? info->port : port;
  return TRUE;
}

/* Creates and starts a server; returns NULL with an error if it cannot listen. The
 * handler runs in the server's thread. */
jd_http_server_t *
jd_http_server_new (const char *ip, uint16_t port, jd_http_request_handler_t handler,
                    void *context, GError **error)
{
  jd_http_server_t *server = g_new0 (jd_http_server_t, 1);
  server->handler = handler;
  server->context = context;
  server->next_connection_sequence = 1;
  server->unanswered = g_hash_table_new (NULL, NULL);
  g_mutex_init (&server->handler_lock);
  g_mutex_init (&server->lock);
  if (server_start (server, ip, port, error))
    return server;
  jd_http_server_free (server);
  return NULL;
}

uint16_t
jd_http_server_port (const jd_http_server_t *server)
{
  return server->port;
}

uint32_t
jd_http_server_connection_count (jd_http_server_t *server)
{
  g_mutex_lock (&server->lock);
  uint32_t open_connections = server->open_connections;
  g_mutex_unlock (&server->lock);
  return open_connections;
}

uint64_t
jd_http_server_next_connection_sequence (jd_http_server_t *server)
{
  g_mutex_lock (&server->lock);
  uint64_t sequence = server->next_connection_sequence;
  g_mutex_unlock (&server->lock);
  return sequence;
}

/* Makes the server close the connection of every further request. The handler is not
 * running when this returns and is not called again. */
void
jd_http_server_stop (jd_http_server_t *server)
{
  g_mutex_lock (&server->handler_lock);
  g_mutex_lock (&server->lock);
  server->stopping = TRUE;
  g_mutex_unlock (&server->lock);
  g_mutex_unlock (&server->handler_lock);
}

/* Stops the server and closes the connections of unanswered requests. No thread may
 * answer a request from here on. */
void
jd_http_server_free (jd_http_server_t *server)
{
  if (!server)
    return;
  jd_http_server_stop (server);
  g_mutex_lock (&server->lock);
  GList *unanswered = g_hash_table_get_keys (server->unanswered);
  g_mutex_unlock (&server->lock);
  for (GList *item = unanswered; item; item = item->next)
    request_end (item->data, NULL, 0);
  g_list_free (unanswered);
  if (server->daemon)
    MHD_stop_daemon (server->daemon);
  g_hash_table_destroy (server->unanswered);
  g_mutex_clear (&server->lock);
  g_mutex_clear (&server->handler_lock);
  g_free (server);
}

/* Returns the method, such as "GET". */
const char *
jd_http_request_method (const jd_http_request_t *request)
{
  return request->method;
}

/* Returns the decoded path without the query. */
const char *
jd_http_request_path (const jd_http_request_t *request)
{
  return request->path;
}

/* Returns the value of a request header, or NULL if it is missing. */
const char *
jd_http_request_header (jd_http_request_t *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection, MHD_HEADER_KIND, name);
}

/* Returns a decoded query argument, or NULL if it is missing. */
const char *
jd_http_request_argument (jd_http_request_t *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection, MHD_GET_ARGUMENT_KIND, name);
}

/* Returns a query argument as a decimal number, or the fallback if it is missing. */
int64_t
jd_http_request_integer_argument (jd_http_request_t *request, const char *name,
                                  int64_t fallback)
{
  const char *text = jd_http_request_argument (request, name);
  return text ? g_ascii_strtoll (text, NULL, 10) : fallback;
}

/* Returns the body and its length. A zero byte, which the length does not include, ends
 * the body. length_bytes may be NULL. */
const char *
jd_http_request_body (const jd_http_request_t *request, size_t *length_bytes)
{
  if (length_bytes)
    *length_bytes = request->body->len;
  return request->body->str;
}

uint64_t
jd_http_request_connection_sequence (const jd_http_request_t *request)
{
  return request->connection_sequence;
}

uint64_t
jd_http_request_number_on_connection (const jd_http_request_t *request)
{
  return request->number;
}

/* Sends a reply and ends the request. The body is text, is copied, and may be NULL. */
void
jd_http_request_reply (jd_http_request_t *request, uint32_t status,
                       const jd_http_header_t *headers, uint32_t header_count,
                       const char *body)
{
  size_t length = body ? strlen (body) : 0;
  struct MHD_Response *response = MHD_create_response_from_buffer (
      length, body ? (void *)body : "", MHD_RESPMEM_MUST_COPY);
  for (uint32_t i = 0; i < header_count; i++)
    MHD_add_response_header (response, headers[i].name, headers[i].value);
  MHD_add_response_header (response, "Content-Type", "application/json");
  request_end (request, response, status);
}

void
jd_http_request_close (jd_http_request_t *request)
{
  request_end (request, NULL, 0);
}
