#include "transport/caller_server.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/log_event.h"
#include "transport/socket_address.h"

/* Reading stops while a caller has this many bytes pending beyond its running request. */
#define PIPELINED_LIMIT_BYTES ((size_t)64 * 1024)
#define READ_BYTES ((size_t)16 * 1024)
#define LISTEN_BACKLOG 1024
/* Memory for output that a connection keeps once the output is sent. */
#define RETAINED_OUTPUT_BYTES ((size_t)64 * 1024)
#define TIMEOUT_CHECK_INTERVAL_S 0.5
/* Limits the connections accepted per wake-up, so that a burst of them does not delay the
 * running requests. */
#define ACCEPTS_PER_WAKEUP_MAX 32
/* Pause of accepting connections while the process has no free descriptor or memory for
 * one. They wait in the backlog of the listener meanwhile. */
#define ACCEPT_PAUSE_S 0.1
/* How long input is read and discarded after the last answer. A close with unread bytes
 * would reset the connection, and the caller could lose the answer. */
#define LINGER_US (2 * JD_US_PER_S)
/* A request that starts within this time after its connection was accepted is the reason
 * why the connection was opened. */
#define OPENED_FOR_REQUEST_US (10 * JD_US_PER_MS)
/* Sent if uploads need too much memory. The requests that run then end within about one
 * latency objective of the stated sites. */
#define UPLOAD_RETRY_FIELD "Retry-After: 0.1\r\n"
#define DEFAULT_HEAD_BYTES (64 * 1024)
#define DEFAULT_BODY_BYTES (1024 * 1024)
#define DEFAULT_HEAD_TIMEOUT_US (10 * JD_US_PER_S)
#define DEFAULT_IDLE_TIMEOUT_US (60 * JD_US_PER_S)

struct jd_caller
{
  jd_caller_server_t *server;
  GList link; /* In server->callers. */
  ev_io io;
  int fd;
  jd_http_reader_t reader;
  GString *pipelined; /* Bytes received after the end of the running request. */
  GString *output;
  size_t output_sent;
  int64_t phase_started_us; /* Start of the message, of the idle time or of closing. */
  int64_t accepted_us;      /* 0 once a request was received. */
  jd_caller_path_t path;    /* Of the last request. */
  jd_byte_holder_t held;
  void *user_data;
  bool busy;              /* A request has been read and is not answered yet. */
  bool is_reading_paused; /* Until the running request is answered. */
  bool closing; /* Discard input; close the write side once the output is sent. */
  bool write_closed;
  bool continue_sent;
  bool aborted;        /* Close the connection once the output is sent, in any state. */
  bool handling_input; /* Input is being handled; output is sent afterwards. */
};

struct jd_caller_server
{
  struct ev_loop *loop;
  jd_caller_handler_t handler;
  jd_caller_limits_t limits;
  ev_io listener;
  ev_timer accept_timer; /* Active while accepting is paused. */
  ev_timer timeout_timer;
  int listen_fd;
  GQueue callers;
  jd_byte_budget_t *budget; /* NULL: no limit. */
  bool closes_after_answer;
};

/* Returns the standard reason phrase of a status, or "Status" for an unknown one. */
const char *
jd_http_reason (uint32_t status)
{
  switch (status)
    {
#define XX(number, name, text)                                                           \
  case number:                                                                           \
    return #text;
      HTTP_STATUS_MAP (XX)
#undef XX
    default:
      return "Status";
    }
}

/* Closes a connection and frees it. Calls on_disconnect if its request is unanswered. */
static void
caller_close (jd_caller_t *caller)
{
  jd_caller_server_t *server = caller->server;
  if (caller->busy)
    {
      caller->busy = false;
      server->handler.on_disconnect (server->handler.context, caller);
    }
  ev_io_stop (server->loop, &caller->io);
  close (caller->fd);
  g_queue_unlink (&server->callers, &caller->link);
  jd_byte_budget_set (server->budget, &caller->held, 0);
  jd_http_reader_clear (&caller->reader);
  g_string_free (caller->pipelined, TRUE);
  g_string_free (caller->output, TRUE);
  g_free (caller);
}

/* Initializes the reader of a connection with the present limits. */
static void
init_reader (jd_caller_t *caller)
{
  const jd_caller_limits_t *limits = &caller->server->limits;
  jd_http_reader_init (&caller->reader, HTTP_REQUEST, limits->head_bytes,
                       limits->body_bytes);
}

/* Returns the bytes that a connection holds: its request, what the caller has sent behind
 * it, and answers that the caller has not read. */
uint64_t
jd_caller_held_bytes (const jd_caller_t *caller)
{
  return jd_http_reader_held_bytes (&caller->reader) + caller->pipelined->allocated_len +
         caller->output->allocated_len;
}

/* Updates the bytes that a connection holds in the budget. */
static void
update_held_bytes (jd_caller_t *caller)
{
  /* A target may have run a request that was passed to the handler. */
  jd_byte_budget_protect (caller->server->budget, &caller->held, caller->busy);
  jd_byte_budget_set (caller->server->budget, &caller->held,
                      jd_caller_held_bytes (caller));
}

/* Waits for input unless too many bytes are pending, and for write space if output is
 * pending. */
static void
update_watched_events (jd_caller_t *caller)
{
  int events = 0;
  caller->is_reading_paused &= caller->busy;
  if (caller->pipelined->len < PIPELINED_LIMIT_BYTES && !caller->is_reading_paused)
    events |= EV_READ;
  if (caller->output->len > caller->output_sent)
    events |= EV_WRITE;
  if ((caller->io.events & (EV_READ | EV_WRITE)) == events && ev_is_active (&caller->io))
    return;
  ev_io_stop (caller->server->loop, &caller->io);
  ev_io_set (&caller->io, caller->fd, events);
  if (events)
    ev_io_start (caller->server->loop, &caller->io);
}

/* Sends pending output, as far as the socket accepts it. Returns FALSE if the connection
 * was closed and freed. */
static bool
flush_output (jd_caller_t *caller)
{
  while (caller->output_sent < caller->output->len)
    {
      ssize_t sent = send (caller->fd, caller->output->str + caller->output_sent,
                           caller->output->len - caller->output_sent, MSG_NOSIGNAL);
      if (sent < 0 && errno == EINTR)
        continue;
      if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        return true;
      if (sent < 0)
        {
          jd_log_event (G_LOG_LEVEL_DEBUG, "caller_write_failed", "error=%s",
                        g_strerror (errno));
          caller_close (caller);
          return false;
        }
      caller->output_sent += (size_t)sent;
    }
  if (caller->output->allocated_len > RETAINED_OUTPUT_BYTES)
    {
      g_string_free (caller->output, TRUE);
      caller->output = g_string_new (NULL);
    }
  g_string_truncate (caller->output, 0);
  caller->output_sent = 0;
  if (caller->aborted)
    {
      caller_close (caller);
      return false;
    }
  if (caller->closing && !caller->write_closed)
    {
      shutdown (caller->fd, SHUT_WR);
      caller->write_closed = true;
    }
  return true;
}

/* Queues an error status with header fields ("Name: value\r\n" lines) for a request that
 * is not read to its end, and marks the connection for closing. */
static void
refuse_request (jd_caller_t *caller, uint32_t status, const char *fields,
                const char *reason)
{
  jd_log_event (G_LOG_LEVEL_INFO, "request_unreadable", "status=%u reason=%s", status,
                reason);
  caller->closing = true;
  caller->busy = false;
  caller->phase_started_us = jd_monotonic_us ();
  g_string_append_printf (
      caller->output,
      "HTTP/1.1 %u %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status,
      jd_http_reason (status), fields);
}

/* Queues 100 Continue, once per request, if the caller waits for it before it sends the
 * body. */
static void
send_continue (jd_caller_t *caller)
{
  const char *expect = jd_http_reader_value (&caller->reader, "Expect");
  if (caller->continue_sent || !expect ||
      g_ascii_strcasecmp (expect, "100-continue") != 0)
    return;
  caller->continue_sent = true;
  g_string_append (caller->output, "HTTP/1.1 100 Continue\r\n\r\n");
}

/* Updates the path of the caller for a complete request. The kernel measures the round
 * trip when the connection is opened. A connection is new if its first request was sent
 * with the end of the handshake, and not later on a connection opened in advance. */
static void
measure_path (jd_caller_t *caller)
{
  caller->path.is_new = false;
  if (caller->accepted_us == 0)
    return;
  struct tcp_info info = { 0 };
  socklen_t size = sizeof (info);
  if (getsockopt (caller->fd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0)
    caller->path.round_trip_us = info.tcpi_rtt;
  caller->path.is_new =
      caller->phase_started_us - caller->accepted_us <= OPENED_FOR_REQUEST_US;
  caller->accepted_us = 0;
}

/* Passes input to the reader, and a complete request to the handler. Stores input beyond
 * the running request until that request is answered. */
static void
handle_input (jd_caller_t *caller, const char *data, size_t size)
{
  if (caller->closing)
    return;
  if (caller->busy)
    {
      g_string_append_len (caller->pipelined, data, (gssize)size);
      return;
    }
  if (!caller->reader.started)
    caller->phase_started_us = jd_monotonic_us ();
  size_t used = 0;
  jd_http_progress_t progress = jd_http_reader_feed (&caller->reader, data, size, &used);
  switch (progress)
    {
    case JD_HTTP_MORE:
      if (caller->reader.head_complete)
        send_continue (caller);
      return;
    case JD_HTTP_HEAD_TOO_LARGE:
      refuse_request (caller, 431, "", "head_too_large");
      return;
    case JD_HTTP_BODY_TOO_LARGE:
      refuse_request (caller, 413, "", "body_too_large");
      return;
    case JD_HTTP_MALFORMED:
      refuse_request (caller, 400, "",
                      http_errno_name (HTTP_PARSER_ERRNO (&caller->reader.parser)));
      return;
    case JD_HTTP_COMPLETE:
      break;
    }
  if (used < size)
    g_string_append_len (caller->pipelined, data + used, (gssize)(size - used));
  caller->busy = true;
  measure_path (caller);
  caller->server->handler.on_request (caller->server->handler.context, caller,
                                      &caller->reader);
}

/* Handles the stored input while no request is running. */
static void
handle_pipelined_input (jd_caller_t *caller)
{
  while (!caller->busy && !caller->closing && caller->pipelined->len > 0)
    {
      GString *input = caller->pipelined;
      caller->pipelined = g_string_new (NULL);
      handle_input (caller, input->str, input->len);
      g_string_free (input, TRUE);
    }
}

/* Handles the stored input and sends the output. The connection may be freed. */
static void
process_pending (jd_caller_t *caller)
{
  caller->handling_input = true;
  handle_pipelined_input (caller);
  caller->handling_input = false;
  if (!flush_output (caller))
    return;
  update_held_bytes (caller);
  update_watched_events (caller);
}

/* Budget callback: rejects a request that is being received, and closes a connection
 * whose caller does not read its answers or sends more than it may have pending. */
static void
cut_caller (void *context)
{
  jd_caller_t *caller = context;
  const jd_byte_budget_t *budget = caller->server->budget;
  jd_log_event (G_LOG_LEVEL_WARNING, "caller_cut",
                "bytes=%" G_GUINT64_FORMAT " unsent=%zu held=%" G_GUINT64_FORMAT
                " limit=%" G_GUINT64_FORMAT,
                caller->held.bytes, caller->output->len - caller->output_sent,
                budget->held_bytes, budget->limit_bytes);
  if (caller->busy || caller->closing || !caller->reader.started)
    {
      caller_close (caller);
      return;
    }
  refuse_request (caller, 503, UPLOAD_RETRY_FIELD, "too_many_bytes");
  jd_http_reader_clear (&caller->reader);
  init_reader (caller);
  process_pending (caller);
}

/* Returns how many bytes are read at a time. Behind a running request it is one while
 * the budget has no room, which is enough to notice that the caller has left; reading
 * then pauses. */
static size_t
read_size (jd_caller_t *caller)
{
  /* The buffer doubles its size when it grows. */
  uint64_t growth_bytes = caller->pipelined->allocated_len + 2 * READ_BYTES;
  if (!caller->busy || jd_byte_budget_reads_behind (caller->server->budget, growth_bytes))
    return READ_BYTES;
  caller->is_reading_paused = true;
  return 1;
}

/* Event loop callback: reads input and sends output. */
static void
on_caller_io (struct ev_loop *loop, ev_io *io, int events)
{
  jd_caller_t *caller = io->data;
  if (events & EV_READ)
    {
      char data[READ_BYTES];
      ssize_t size = recv (caller->fd, data, read_size (caller), 0);
      if (size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR))
        {
          caller_close (caller);
          return;
        }
      if (size > 0)
        {
          caller->handling_input = true;
          handle_input (caller, data, (size_t)size);
          caller->handling_input = false;
        }
    }
  process_pending (caller);
}

/* Returns TRUE if the connection closes after the answer to the present request: the
 * caller wants that, or jd_caller_server_set_close_after_answer () demands it. A demanded
 * close waits until the requests that were read behind the present one are answered. */
static bool
closes_after_answer (const jd_caller_t *caller)
{
  return !caller->reader.keep_alive ||
         (caller->server->closes_after_answer && caller->pipelined->len == 0);
}

/* Queues an answer with header fields ("Name: value\r\n" lines) and a body, and ends the
 * request. The connection may close afterwards, see closes_after_answer (). The
 * connection may be freed on return unless on_request is running. */
void
jd_caller_answer (jd_caller_t *caller, uint32_t status, const GString *fields,
                  const char *body, size_t body_bytes)
{
  bool no_body = status == 204 || status == 304;
  caller->busy = false;
  caller->user_data = NULL;
  if (closes_after_answer (caller))
    caller->closing = true;
  g_string_append_printf (caller->output, "HTTP/1.1 %u %s\r\n", status,
                          jd_http_reason (status));
  g_string_append_len (caller->output, fields->str, (gssize)fields->len);
  if (!no_body)
    g_string_append_printf (caller->output, "Content-Length: %zu\r\n", body_bytes);
  g_string_append (caller->output,
                   caller->closing ? "Connection: close\r\n\r\n" : "\r\n");
  if (!no_body && caller->reader.parser.method != HTTP_HEAD)
    g_string_append_len (caller->output, body, (gssize)body_bytes);
  jd_http_reader_restart (&caller->reader);
  caller->continue_sent = false;
  caller->phase_started_us = jd_monotonic_us ();
  if (!caller->handling_input)
    process_pending (caller);
}

/* Queues an answer without a body. A retry_after_us above 0 adds a Retry-After field. */
void
jd_caller_answer_status (jd_caller_t *caller, uint32_t status, int64_t retry_after_us)
{
  GString *fields = g_string_new (NULL);
  if (retry_after_us > 0)
    g_string_append_printf (fields, "Retry-After: %.3f\r\n",
                            (double)retry_after_us / (double)JD_US_PER_S);
  jd_caller_answer (caller, status, fields, "", 0);
  g_string_free (fields, TRUE);
}

/* Queues bytes without any framing while a request is running. Stand-ins use this to send
 * malformed answers. */
void
jd_caller_send_raw (jd_caller_t *caller, const char *data, size_t size)
{
  g_string_append_len (caller->output, data, (gssize)size);
}

/* Closes the connection once its pending output is sent, without an answer to its
 * request. */
void
jd_caller_abort (jd_caller_t *caller)
{
  caller->aborted = true;
  if (!caller->handling_input)
    process_pending (caller);
}

/* Returns the network path of the running request. */
jd_caller_path_t
jd_caller_path (const jd_caller_t *caller)
{
  return caller->path;
}

/* Stores a pointer for the code that handles the request. It is cleared by the answer. */
void
jd_caller_set_data (jd_caller_t *caller, void *data)
{
  caller->user_data = data;
}

/* Returns the pointer that jd_caller_set_data () stored for the request, or NULL. */
void *
jd_caller_data (const jd_caller_t *caller)
{
  return caller->user_data;
}

/* Adds an accepted connection to the server, which owns the descriptor from now on. */
static void
caller_new (jd_caller_server_t *server, int fd)
{
  int on = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof (on));
  jd_caller_t *caller = g_new0 (jd_caller_t, 1);
  caller->server = server;
  caller->fd = fd;
  caller->pipelined = g_string_new (NULL);
  caller->output = g_string_new (NULL);
  caller->phase_started_us = jd_monotonic_us ();
  caller->accepted_us = caller->phase_started_us;
  caller->link.data = caller;
  caller->held = (jd_byte_holder_t){ .cut = cut_caller, .context = caller };
  init_reader (caller);
  ev_io_init (&caller->io, on_caller_io, fd, EV_READ);
  caller->io.data = caller;
  ev_io_start (server->loop, &caller->io);
  g_queue_push_tail_link (&server->callers, &caller->link);
}

/* Timer callback: accepts connections again. */
static void
on_accept_pause_over (struct ev_loop *loop, ev_timer *timer, int events)
{
  jd_caller_server_t *server = timer->data;
  ev_io_start (loop, &server->listener);
}

/* Logs why a connection could not be accepted, and pauses accepting: the listener stays
 * readable, so that the event loop would be woken without end. */
static void
pause_accepting (jd_caller_server_t *server, int error)
{
  jd_log_event (G_LOG_LEVEL_WARNING, "accept_failed", "error=%s", g_strerror (error));
  ev_io_stop (server->loop, &server->listener);
  ev_timer_set (&server->accept_timer, ACCEPT_PAUSE_S, 0.0);
  ev_timer_start (server->loop, &server->accept_timer);
}

/* Event loop callback: accepts connections. */
static void
on_accept (struct ev_loop *loop, ev_io *io, int events)
{
  jd_caller_server_t *server = io->data;
  for (uint32_t i = 0; i < ACCEPTS_PER_WAKEUP_MAX; i++)
    {
      int fd = accept4 (server->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0)
        {
          if (errno != EAGAIN && errno != ECONNABORTED && errno != EINTR)
            pause_accepting (server, errno);
          return;
        }
      caller_new (server, fd);
    }
}

/* Timer callback: closes connections that are idle for too long or that the caller did
 * not close after the last answer, and rejects requests that take too long to be
 * received. */
static void
on_timeout_check (struct ev_loop *loop, ev_timer *timer, int events)
{
  jd_caller_server_t *server = timer->data;
  int64_t now_us = jd_monotonic_us ();
  GList *next = NULL;
  for (GList *item = server->callers.head; item; item = next)
    {
      next = item->next;
      jd_caller_t *caller = item->data;
      int64_t age_us = now_us - caller->phase_started_us;
      if (caller->busy)
        continue;
      if (caller->closing)
        {
          if (age_us > LINGER_US)
            caller_close (caller);
          continue;
        }
      if (!caller->reader.started)
        {
          if (age_us > server->limits.idle_timeout_us)
            caller_close (caller);
          continue;
        }
      if (age_us >
          server->limits.head_timeout_us +
              (caller->reader.head_complete ? server->limits.idle_timeout_us : 0))
        {
          refuse_request (caller, 408, "", "request_timeout");
          caller->phase_started_us = now_us;
          process_pending (caller);
        }
    }
}

/* Creates a server with default limits and no listener. */
jd_caller_server_t *
jd_caller_server_new (struct ev_loop *loop, const jd_caller_handler_t *handler)
{
  jd_caller_server_t *server = g_new0 (jd_caller_server_t, 1);
  server->loop = loop;
  server->handler = *handler;
  server->listen_fd = -1;
  server->limits = (jd_caller_limits_t){
    .head_bytes = DEFAULT_HEAD_BYTES,
    .body_bytes = DEFAULT_BODY_BYTES,
    .head_timeout_us = DEFAULT_HEAD_TIMEOUT_US,
    .idle_timeout_us = DEFAULT_IDLE_TIMEOUT_US,
  };
  g_queue_init (&server->callers);
  ev_init (&server->accept_timer, on_accept_pause_over);
  server->accept_timer.data = server;
  ev_timer_init (&server->timeout_timer, on_timeout_check, TIMEOUT_CHECK_INTERVAL_S,
                 TIMEOUT_CHECK_INTERVAL_S);
  server->timeout_timer.data = server;
  ev_timer_start (loop, &server->timeout_timer);
  return server;
}

/* Closes all connections, with on_disconnect for unanswered requests, and frees the
 * server. */
void
jd_caller_server_free (jd_caller_server_t *server)
{
  jd_caller_server_close_listener (server);
  ev_timer_stop (server->loop, &server->timeout_timer);
  GList *next = NULL;
  for (GList *item = server->callers.head; item; item = next)
    {
      next = item->next;
      caller_close (item->data);
    }
  g_free (server);
}

/* Sets the budget for the bytes of connections, before the first one is accepted. The
 * budget must outlive the server. */
void
jd_caller_server_set_budget (jd_caller_server_t *server, jd_byte_budget_t *budget)
{
  server->budget = budget;
}

/* Listens on "IP:port". Returns FALSE and sets error if that fails. */
bool
jd_caller_server_listen (jd_caller_server_t *server, const char *address, GError **error)
{
  server->listen_fd = jd_socket_listen (address, SOCK_STREAM, LISTEN_BACKLOG, error);
  if (server->listen_fd < 0)
    return false;
  ev_io_init (&server->listener, on_accept, server->listen_fd, EV_READ);
  server->listener.data = server;
  ev_io_start (server->loop, &server->listener);
  return true;
}

/* Sets the limits of new and open connections, also for requests that are being
 * received. */
void
jd_caller_server_set_limits (jd_caller_server_t *server, const jd_caller_limits_t *limits)
{
  server->limits = *limits;
  for (GList *item = server->callers.head; item; item = item->next)
    {
      jd_caller_t *caller = item->data;
      caller->reader.head_limit_bytes = limits->head_bytes;
      caller->reader.body_limit_bytes = limits->body_bytes;
    }
}

/* Sets whether each answer closes its connection, so that the caller's next connection
 * can reach another host. */
void
jd_caller_server_set_close_after_answer (jd_caller_server_t *server, bool closes)
{
  server->closes_after_answer = closes;
}

/* Closes the listener; open connections stay. */
void
jd_caller_server_close_listener (jd_caller_server_t *server)
{
  if (server->listen_fd < 0)
    return;
  ev_timer_stop (server->loop, &server->accept_timer);
  ev_io_stop (server->loop, &server->listener);
  close (server->listen_fd);
  server->listen_fd = -1;
}

/* Closes the connections that have neither a running request nor a part of a new one. */
void
jd_caller_server_close_idle (jd_caller_server_t *server)
{
  GList *next = NULL;
  for (GList *item = server->callers.head; item; item = next)
    {
      next = item->next;
      jd_caller_t *caller = item->data;
      if (!caller->busy && !caller->closing && !caller->reader.started)
        caller_close (caller);
    }
}

/* Returns the number of open connections. */
uint32_t
jd_caller_server_connection_count (const jd_caller_server_t *server)
{
  return server->callers.length;
}
