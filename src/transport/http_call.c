#include "transport/http_call.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"

#define READ_BYTES (64 * 1024)
#define HEAD_LIMIT_BYTES (16 * 1024)
/* A connection that has been idle for longer is not reused: it may have lost its path
 * without a reset, and the call would wait until its time limit. Regular reads of the
 * store are at most 2 s apart. */
#define IDLE_REUSE_MAX_US (3 * JD_US_PER_S)

struct jd_http_client
{
  struct ev_loop *loop;
  struct sockaddr_in address;
  char host[32];
  ev_io io;
  ev_timer timeout;
  int fd; /* -1 if there is no connection. */
  bool connected;
  bool reused;            /* The connection has completed an earlier call. */
  int64_t last_answer_us; /* End of that call. */
  bool busy;
  char *target;
  GString *output;
  size_t output_sent;
  jd_http_reader_t reader;
  jd_http_call_done_t done;
  void *context;
};

static void on_io (struct ev_loop *loop, ev_io *io, int events);
static void on_timeout (struct ev_loop *loop, ev_timer *timer, int events);

/* Returns the name of an outcome as log lines state it. */
const char *
jd_http_call_outcome_name (jd_http_call_outcome_t outcome)
{
  static const char *const names[] = {
    [JD_HTTP_CALL_ANSWERED] = "answered",
    [JD_HTTP_CALL_UNREACHABLE] = "unreachable",
    [JD_HTTP_CALL_TIMED_OUT] = "timeout",
    [JD_HTTP_CALL_MALFORMED] = "malformed",
  };
  return names[outcome];
}

/* Creates a client without a server address, which must be set before the first call. An
 * answer with a larger body than the limit is malformed. */
jd_http_client_t *
jd_http_client_new (struct ev_loop *loop, uint32_t body_limit_bytes)
{
  jd_http_client_t *client = g_new0 (jd_http_client_t, 1);
  client->loop = loop;
  client->fd = -1;
  client->output = g_string_new (NULL);
  jd_http_reader_init (&client->reader, HTTP_RESPONSE, HEAD_LIMIT_BYTES,
                       body_limit_bytes);
  ev_init (&client->io, on_io);
  client->io.data = client;
  ev_init (&client->timeout, on_timeout);
  client->timeout.data = client;
  return client;
}

/* Closes the connection, if there is one. */
static void
disconnect (jd_http_client_t *client)
{
  if (client->fd < 0)
    return;
  ev_io_stop (client->loop, &client->io);
  close (client->fd);
  client->fd = -1;
  client->connected = false;
  client->reused = false;
}

/* Frees a client. A running call is dropped without its callback. */
void
jd_http_client_free (jd_http_client_t *client)
{
  disconnect (client);
  ev_timer_stop (client->loop, &client->timeout);
  jd_http_reader_clear (&client->reader);
  g_string_free (client->output, TRUE);
  g_free (client->target);
  g_free (client);
}

/* Sets the address of the server. A connection to another address is closed, unless a
 * call is running. */
void
jd_http_client_set_address (jd_http_client_t *client, const struct sockaddr_in *address)
{
  if (client->address.sin_addr.s_addr == address->sin_addr.s_addr &&
      client->address.sin_port == address->sin_port)
    return;
  if (!client->busy)
    disconnect (client);
  client->address = *address;
  char ip[INET_ADDRSTRLEN] = "";
  inet_ntop (AF_INET, &address->sin_addr, ip, sizeof (ip));
  g_snprintf (client->host, sizeof (client->host), "%s:%u", ip,
              ntohs (address->sin_port));
}

/* Returns TRUE while a call is running. */
bool
jd_http_client_is_busy (const jd_http_client_t *client)
{
  return client->busy;
}

/* Ends the running call and reports its outcome. The connection is kept only after a
 * whole answer that allows reuse. */
static void
finish_call (jd_http_client_t *client, jd_http_call_outcome_t outcome)
{
  ev_timer_stop (client->loop, &client->timeout);
  client->busy = false;
  bool keep_open = outcome == JD_HTTP_CALL_ANSWERED && client->reader.keep_alive;
  if (!keep_open)
    disconnect (client);
  client->reused = keep_open;
  client->last_answer_us = jd_monotonic_us ();
  client->done (client->context, outcome,
                outcome == JD_HTTP_CALL_ANSWERED ? &client->reader : NULL);
}

/* Starts to open a connection. Returns FALSE if that fails immediately. */
static bool
start_connect (jd_http_client_t *client)
{
  client->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (client->fd < 0)
    return false;
  int on = 1;
  setsockopt (client->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof (on));
  int result = connect (client->fd, (const struct sockaddr *)&client->address,
                        sizeof (client->address));
  if (result != 0 && errno != EINPROGRESS)
    {
      close (client->fd);
      client->fd = -1;
      return false;
    }
  ev_io_set (&client->io, client->fd, EV_WRITE);
  ev_io_start (client->loop, &client->io);
  return true;
}

/* Sends the rest of the request, as far as the socket accepts it. */
static void
flush_output (jd_http_client_t *client)
{
  while (client->output_sent < client->output->len)
    {
      ssize_t sent = send (client->fd, client->output->str + client->output_sent,
                           client->output->len - client->output_sent, MSG_NOSIGNAL);
      if (sent < 0 && errno == EINTR)
        continue;
      if (sent < 0)
        break; /* The next read reports a failed connection. */
      client->output_sent += (size_t)sent;
    }
  int events = client->output_sent < client->output->len ? EV_READ | EV_WRITE : EV_READ;
  ev_io_stop (client->loop, &client->io);
  ev_io_set (&client->io, client->fd, events);
  ev_io_start (client->loop, &client->io);
}

/* Repeats the call on a new connection if a reused connection was closed before the first
 * byte of the answer. This is safe because the GET requests of this client only read.
 * Returns FALSE if the call is not repeated. */
static bool
retry_on_new_connection (jd_http_client_t *client)
{
  bool retry = client->reused && !client->reader.started;
  disconnect (client);
  client->output_sent = 0;
  return retry && start_connect (client);
}

/* Event loop callback: completes the connect, sends the request and reads the answer. */
static void
on_io (struct ev_loop *loop, ev_io *io, int events)
{
  jd_http_client_t *client = io->data;
  if (!client->connected && (events & EV_WRITE))
    {
      int error = 0;
      socklen_t size = sizeof (error);
      getsockopt (client->fd, SOL_SOCKET, SO_ERROR, &error, &size);
      if (error != 0)
        {
          finish_call (client, JD_HTTP_CALL_UNREACHABLE);
          return;
        }
      client->connected = true;
    }
  if (events & EV_WRITE)
    flush_output (client);
  if (!(events & EV_READ))
    return;
  char data[READ_BYTES];
  ssize_t size = recv (client->fd, data, sizeof (data), 0);
  if (size < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (!client->busy)
    {
      disconnect (client);
      return;
    }
  if (size <= 0)
    {
      if (size == 0 && client->reader.started &&
          jd_http_reader_on_close (&client->reader) == JD_HTTP_COMPLETE)
        finish_call (client, JD_HTTP_CALL_ANSWERED);
      else if (!retry_on_new_connection (client))
        finish_call (client, JD_HTTP_CALL_UNREACHABLE);
      return;
    }
  size_t used = 0;
  jd_http_progress_t progress =
      jd_http_reader_feed (&client->reader, data, (size_t)size, &used);
  if (progress == JD_HTTP_MORE)
    return;
  finish_call (client, progress == JD_HTTP_COMPLETE && used == (size_t)size
                           ? JD_HTTP_CALL_ANSWERED
                           : JD_HTTP_CALL_MALFORMED);
}

/* Timer callback: ends a call that reached its timeout, or whose connection could not be
 * opened. */
static void
on_timeout (struct ev_loop *loop, ev_timer *timer, int events)
{
  jd_http_client_t *client = timer->data;
  finish_call (client, JD_HTTP_CALL_TIMED_OUT);
}

/* Starts a GET request. done is called once, never from within this function. No other
 * call may be running. */
void
jd_http_client_get (jd_http_client_t *client, const char *target, int64_t timeout_us,
                    jd_http_call_done_t done, void *context)
{
  client->busy = true;
  client->done = done;
  client->context = context;
  jd_http_reader_restart (&client->reader);
  g_string_printf (client->output, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target,
                   client->host);
  client->output_sent = 0;
  ev_timer_set (&client->timeout, (double)timeout_us / (double)JD_US_PER_S, 0.0);
  ev_timer_start (client->loop, &client->timeout);
  if (jd_monotonic_us () - client->last_answer_us > IDLE_REUSE_MAX_US)
    disconnect (client);
  if (client->fd >= 0)
    {
      flush_output (client);
      return;
    }
  if (!start_connect (client)) /* The timer calls done, never this function. */
    {
      ev_timer_stop (client->loop, &client->timeout);
      ev_timer_set (&client->timeout, 0.0, 0.0);
      ev_timer_start (client->loop, &client->timeout);
    }
}
