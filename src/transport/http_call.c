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

struct jd_http_caller
{
  struct ev_loop *loop;
  struct sockaddr_in address;
  char host[32];
  ev_io io;
  ev_timer timeout;
  int fd; /* -1 without a connection. */
  bool connected;
  bool reused; /* The connection has carried a call before. */
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

/* Returns the name of an outcome in log lines. */
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

/* Creates a client; set its address before the first call. */
jd_http_caller_t *
jd_http_caller_new (struct ev_loop *loop, uint32_t body_limit_bytes)
{
  jd_http_caller_t *caller = g_new0 (jd_http_caller_t, 1);
  caller->loop = loop;
  caller->fd = -1;
  caller->output = g_string_new (NULL);
  jd_http_reader_init (&caller->reader, HTTP_RESPONSE, HEAD_LIMIT_BYTES,
                       body_limit_bytes);
  ev_init (&caller->io, on_io);
  caller->io.data = caller;
  ev_init (&caller->timeout, on_timeout);
  caller->timeout.data = caller;
  return caller;
}

/* Closes the connection. */
static void
disconnect (jd_http_caller_t *caller)
{
  if (caller->fd < 0)
    return;
  ev_io_stop (caller->loop, &caller->io);
  close (caller->fd);
  caller->fd = -1;
  caller->connected = false;
  caller->reused = false;
}

/* Frees a client; a running call ends without its callback. */
void
jd_http_caller_free (jd_http_caller_t *caller)
{
  disconnect (caller);
  ev_timer_stop (caller->loop, &caller->timeout);
  jd_http_reader_clear (&caller->reader);
  g_string_free (caller->output, TRUE);
  g_free (caller->target);
  g_free (caller);
}

/* Sets the server; a connection to another one is closed when no call runs. */
void
jd_http_caller_set_address (jd_http_caller_t *caller, const struct sockaddr_in *address)
{
  if (caller->address.sin_addr.s_addr == address->sin_addr.s_addr &&
      caller->address.sin_port == address->sin_port)
    return;
  if (!caller->busy)
    disconnect (caller);
  caller->address = *address;
  char ip[INET_ADDRSTRLEN] = "";
  inet_ntop (AF_INET, &address->sin_addr, ip, sizeof (ip));
  g_snprintf (caller->host, sizeof (caller->host), "%s:%u", ip,
              ntohs (address->sin_port));
}

/* TRUE while a call runs. */
bool
jd_http_caller_is_busy (const jd_http_caller_t *caller)
{
  return caller->busy;
}

/* Ends the running call. A connection is kept only after a whole answer. */
static void
finish (jd_http_caller_t *caller, jd_http_call_outcome_t outcome)
{
  ev_timer_stop (caller->loop, &caller->timeout);
  caller->busy = false;
  bool keep = outcome == JD_HTTP_CALL_ANSWERED && caller->reader.keep_alive;
  if (!keep)
    disconnect (caller);
  caller->reused = keep;
  caller->done (caller->context, outcome,
                outcome == JD_HTTP_CALL_ANSWERED ? &caller->reader : NULL);
}

/* Opens a connection; FALSE when that fails at once. */
static bool
connect_now (jd_http_caller_t *caller)
{
  caller->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (caller->fd < 0)
    return false;
  int on = 1;
  setsockopt (caller->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof (on));
  int result = connect (caller->fd, (const struct sockaddr *)&caller->address,
                        sizeof (caller->address));
  if (result != 0 && errno != EINPROGRESS)
    {
      close (caller->fd);
      caller->fd = -1;
      return false;
    }
  ev_io_set (&caller->io, caller->fd, EV_WRITE);
  ev_io_start (caller->loop, &caller->io);
  return true;
}

/* Sends what is left of the call. */
static void
flush_output (jd_http_caller_t *caller)
{
  while (caller->output_sent < caller->output->len)
    {
      ssize_t sent = send (caller->fd, caller->output->str + caller->output_sent,
                           caller->output->len - caller->output_sent, MSG_NOSIGNAL);
      if (sent < 0 && errno == EINTR)
        continue;
      if (sent < 0)
        break; /* A failed connection shows with the next read. */
      caller->output_sent += (size_t)sent;
    }
  int events = caller->output_sent < caller->output->len ? EV_READ | EV_WRITE : EV_READ;
  ev_io_stop (caller->loop, &caller->io);
  ev_io_set (&caller->io, caller->fd, events);
  ev_io_start (caller->loop, &caller->io);
}

/* Starts the call again on a new connection, when a kept one was closed before any byte
 * of the answer. GET calls of this client only read. */
static bool
retry_on_new_connection (jd_http_caller_t *caller)
{
  bool retry = caller->reused && !caller->reader.started;
  disconnect (caller);
  caller->output_sent = 0;
  return retry && connect_now (caller);
}

/* Event loop callback of the connection. */
static void
on_io (struct ev_loop *loop, ev_io *io, int events)
{
  jd_http_caller_t *caller = io->data;
  if (!caller->connected && (events & EV_WRITE))
    {
      int error = 0;
      socklen_t size = sizeof (error);
      getsockopt (caller->fd, SOL_SOCKET, SO_ERROR, &error, &size);
      if (error != 0)
        {
          finish (caller, JD_HTTP_CALL_UNREACHABLE);
          return;
        }
      caller->connected = true;
    }
  if (events & EV_WRITE)
    flush_output (caller);
  if (!(events & EV_READ))
    return;
  char data[READ_BYTES];
  ssize_t size = recv (caller->fd, data, sizeof (data), 0);
  if (size < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (!caller->busy)
    {
      disconnect (caller);
      return;
    }
  if (size <= 0)
    {
      if (size == 0 && caller->reader.started &&
          jd_http_reader_end (&caller->reader) == JD_HTTP_COMPLETE)
        finish (caller, JD_HTTP_CALL_ANSWERED);
      else if (!retry_on_new_connection (caller))
        finish (caller, JD_HTTP_CALL_UNREACHABLE);
      return;
    }
  size_t used = 0;
  jd_http_progress_t progress =
      jd_http_reader_feed (&caller->reader, data, (size_t)size, &used);
  if (progress == JD_HTTP_MORE)
    return;
  finish (caller, progress == JD_HTTP_COMPLETE && used == (size_t)size
                      ? JD_HTTP_CALL_ANSWERED
                      : JD_HTTP_CALL_MALFORMED);
}

/* Timer callback: the call takes too long. */
static void
on_timeout (struct ev_loop *loop, ev_timer *timer, int events)
{
  jd_http_caller_t *caller = timer->data;
  finish (caller, JD_HTTP_CALL_TIMED_OUT);
}

/* Starts a call. done is called later, once; no other call may run meanwhile. */
void
jd_http_caller_get (jd_http_caller_t *caller, const char *target, int64_t timeout_us,
                    jd_http_call_done_t done, void *context)
{
  caller->busy = true;
  caller->done = done;
  caller->context = context;
  jd_http_reader_restart (&caller->reader);
  g_string_printf (caller->output, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target,
                   caller->host);
  caller->output_sent = 0;
  ev_timer_set (&caller->timeout, (double)timeout_us / (double)JD_US_PER_S, 0.0);
  ev_timer_start (caller->loop, &caller->timeout);
  if (caller->fd >= 0)
    {
      flush_output (caller);
      return;
    }
  if (!connect_now (caller)) /* Reported by the timer, never from within this call. */
    {
      ev_timer_stop (caller->loop, &caller->timeout);
      ev_timer_set (&caller->timeout, 0.0, 0.0);
      ev_timer_start (caller->loop, &caller->timeout);
    }
}
