#include "transport/replica_links.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/log_event.h"
#include "routing/connection_share.h"

#define READ_BYTES (16 * 1024)
#define MAINTENANCE_INTERVAL_S 0.1
/* Zones are under 2 ms apart and a target takes up to 6 ms to accept. A lost opening
 * packet is sent again after a second or more, which a new attempt beats. */
#define CONNECT_TIMEOUT_US (300 * JD_US_PER_MS)
/* The kernel gives up on bytes that are not acknowledged for this long. */
#define USER_TIMEOUT_MS 2000
/* A kept connection is not used this close to the end of the idle time that the target
 * states, so that a request does not cross its close. */
#define IDLE_MARGIN_US (400 * JD_US_PER_MS)
#define REPLY_HEAD_LIMIT_BYTES (64 * 1024)
/* A connection that the target ends within this time, without a request on it, is one
 * beyond those that it accepts. */
#define SHORT_LIFE_US (150 * JD_US_PER_MS)
/* How long no further one is opened then. */
#define EXCESS_PAUSE_US (250 * JD_US_PER_MS)
/* A connection that is not kept open closes when it is idle for this long, so that other
 * hosts can connect. */
#define SPARE_IDLE_US (2 * JD_US_PER_S)
/* Before any host was heard, connections are opened for requests only. */
#define WARM_UP_US (800 * JD_US_PER_MS)
/* Skips this many answers of other requests before the connection is given up. */
#define STRAY_REPLIES_MAX 3

typedef enum jd_connection_state
{
  CONNECTION_OPENING,
  CONNECTION_IDLE,
  CONNECTION_BUSY,
} jd_connection_state_t;

typedef struct jd_link jd_link_t;

typedef struct jd_connection
{
  jd_link_t *link;
  GList node; /* In link->connections. */
  ev_io io;
  int fd;
  jd_connection_state_t state;
  jd_http_reader_t reader;
  GString *output;
  size_t output_sent;
  jd_exchange_t *exchange;
  int64_t opened_us;
  int64_t state_us;      /* When the state began. */
  int64_t heard_us;      /* When bytes last arrived. */
  int64_t idle_limit_us; /* Idle time that the target stated; 0 if none. */
  uint32_t strays;
  bool close_after;
} jd_connection_t;

/* All connections to one replica. */
struct jd_link
{
  jd_replica_links_t *links;
  jd_replica_t *replica;
  GList node; /* In links->all. */
  GQueue connections;
  GQueue waiting; /* Exchanges without a connection. */
  uint32_t opening;
  int64_t open_after_us; /* No connection is opened before. */
  bool retired;
};

struct jd_exchange
{
  jd_link_t *link;
  jd_connection_t *connection; /* NULL while waiting. */
  GList node;                  /* In link->waiting. */
  jd_outgoing_t *outgoing;
  jd_exchange_owner_t owner; /* on_done is NULL once cancelled. */
  int64_t queued_us;
  int64_t sent_us;
  int64_t usual_us;
  int64_t linger_until_us; /* 0 while it is wanted. */
};

struct jd_replica_links
{
  jd_replica_links_options_t options;
  GQueue all; /* jd_link_t */
  ev_timer maintenance;
  int64_t started_us;
  uint32_t hosts;
  uint32_t open;
  uint64_t opened_total;
};

static void serve_waiting (jd_link_t *link);
static void on_connection_io (struct ev_loop *loop, ev_io *io, int events);

/* Creates a request that attempts share. */
jd_outgoing_t *
jd_outgoing_new (const char *id)
{
  jd_outgoing_t *outgoing = g_new0 (jd_outgoing_t, 1);
  outgoing->references = 1;
  outgoing->id = g_strdup (id);
  outgoing->head = g_string_new (NULL);
  outgoing->body = g_string_new (NULL);
  return outgoing;
}

/* Gives a reference back; the last one frees the request. */
void
jd_outgoing_unref (jd_outgoing_t *outgoing)
{
  if (!outgoing || --outgoing->references > 0)
    return;
  g_free (outgoing->id);
  g_string_free (outgoing->head, TRUE);
  g_string_free (outgoing->body, TRUE);
  g_free (outgoing);
}

/* Updates what the choice of replicas sees of the link. */
static void
refresh_replica (jd_link_t *link)
{
  jd_replica_t *replica = link->replica;
  uint32_t idle = 0;
  uint32_t busy = link->waiting.length;
  int64_t oldest_us = 0;
  for (GList *item = link->connections.head; item; item = item->next)
    {
      const jd_connection_t *connection = item->data;
      if (connection->state == CONNECTION_IDLE)
        idle++;
      if (connection->state != CONNECTION_BUSY)
        continue;
      busy++;
      if (oldest_us == 0 || connection->exchange->sent_us < oldest_us)
        oldest_us = connection->exchange->sent_us;
    }
  replica->idle_connections = idle;
  replica->in_flight = busy;
  replica->oldest_sent_us = oldest_us;
}

/* Ends an exchange and tells its owner. */
static void
finish_exchange (jd_exchange_t *exchange, const jd_exchange_result_t *result)
{
  jd_link_t *link = exchange->link;
  int64_t now_us = jd_monotonic_us ();
  refresh_replica (link);
  if (result->arrived)
    jd_replica_observe (link->replica, result->outcome, result->elapsed_us,
                        exchange->usual_us, now_us);
  jd_exchange_owner_t owner = exchange->owner;
  jd_outgoing_unref (exchange->outgoing);
  g_free (exchange);
  if (owner.on_done)
    owner.on_done (owner.context, owner.tag, link->replica, result);
}

/* Frees a link that is retired and unused. */
static void
free_link_if_done (jd_link_t *link)
{
  if (!link->retired || link->connections.length > 0 || link->waiting.length > 0)
    return;
  g_queue_unlink (&link->links->all, &link->node);
  link->replica->link = NULL;
  jd_replica_unref (link->replica);
  g_free (link);
}

/* Closes a connection and frees it; its exchange must have ended or been taken off. */
static void
close_connection (jd_connection_t *connection)
{
  jd_link_t *link = connection->link;
  ev_io_stop (link->links->options.loop, &connection->io);
  close (connection->fd);
  if (connection->state == CONNECTION_OPENING)
    link->opening--;
  link->links->open--;
  g_queue_unlink (&link->connections, &connection->node);
  jd_http_reader_clear (&connection->reader);
  g_string_free (connection->output, TRUE);
  g_free (connection);
  refresh_replica (link);
}

/* Sets which socket events wake the connection. */
static void
watch (jd_connection_t *connection, int events)
{
  struct ev_loop *loop = connection->link->links->options.loop;
  if (connection->io.events == events && ev_is_active (&connection->io))
    return;
  ev_io_stop (loop, &connection->io);
  ev_io_set (&connection->io, connection->fd, events);
  ev_io_start (loop, &connection->io);
}

/* Closes a connection whose exchange failed after it was sent. */
static void
fail_connection (jd_connection_t *connection, jd_replica_outcome_t outcome)
{
  jd_link_t *link = connection->link;
  jd_exchange_t *exchange = connection->exchange;
  int64_t now_us = jd_monotonic_us ();
  bool is_excess = !exchange && connection->heard_us == connection->opened_us &&
                   now_us - connection->opened_us < SHORT_LIFE_US;
  connection->exchange = NULL;
  if (exchange)
    connection->state = CONNECTION_IDLE; /* For the refresh only. */
  close_connection (connection);
  if (is_excess)
    {
      link->open_after_us = now_us + EXCESS_PAUSE_US;
      if (link->connections.length == 0)
        jd_replica_observe (link->replica, JD_REPLICA_UNREACHABLE, 0, 0, now_us);
    }
  if (exchange)
    {
      jd_exchange_result_t result = {
        .outcome = outcome,
        .may_have_run = true,
        .arrived = true,
        .elapsed_us = now_us - exchange->sent_us,
      };
      finish_exchange (exchange, &result);
    }
  serve_waiting (link);
  free_link_if_done (link);
}

/* Ends all exchanges that wait for a connection; none of them was sent. */
static void
fail_waiting (jd_link_t *link, jd_replica_outcome_t outcome)
{
  GQueue failed = link->waiting;
  g_queue_init (&link->waiting);
  GList *next = NULL;
  for (GList *item = failed.head; item; item = next)
    {
      next = item->next;
      jd_exchange_result_t result = { .outcome = outcome };
      finish_exchange (item->data, &result);
    }
}

/* Handles a connection that could not be opened. */
static void
fail_opening (jd_connection_t *connection, const char *cause)
{
  jd_link_t *link = connection->link;
  jd_log_event (G_LOG_LEVEL_INFO, "target_unreachable", "target=%s service=%s cause=%s",
                link->replica->id, link->replica->pool->service, cause);
  close_connection (connection);
  jd_replica_observe (link->replica, JD_REPLICA_UNREACHABLE, 0, 0, jd_monotonic_us ());
  bool others = link->connections.length > 0;
  if (!others)
    fail_waiting (link, JD_REPLICA_UNREACHABLE);
  free_link_if_done (link);
}

/* Sends pending output. A failed connection shows with the next read. */
static void
flush_connection (jd_connection_t *connection)
{
  while (connection->output_sent < connection->output->len)
    {
      ssize_t sent =
          send (connection->fd, connection->output->str + connection->output_sent,
                connection->output->len - connection->output_sent, MSG_NOSIGNAL);
      if (sent < 0 && errno == EINTR)
        continue;
      if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        {
          watch (connection, EV_READ | EV_WRITE);
          return;
        }
      if (sent < 0)
        {
          /* The target may have answered, or rejected, before it closed. */
          watch (connection, EV_READ);
          connection->close_after = true;
          return;
        }
      connection->output_sent += (size_t)sent;
    }
  watch (connection, EV_READ);
}

/* Starts an exchange on an idle connection. */
static void
start_exchange (jd_connection_t *connection, jd_exchange_t *exchange)
{
  jd_link_t *link = connection->link;
  const jd_target_fields_t *fields = &link->links->options.fields;
  const jd_outgoing_t *outgoing = exchange->outgoing;
  int64_t now_us = jd_monotonic_us ();
  int64_t left_ms = MAX ((outgoing->deadline_us - now_us) / JD_US_PER_MS, 1);
  exchange->connection = connection;
  exchange->sent_us = now_us;
  connection->exchange = exchange;
  connection->state = CONNECTION_BUSY;
  connection->state_us = now_us;
  jd_http_reader_restart (&connection->reader);
  connection->reader.head_response = outgoing->is_head_method;
  GString *output = connection->output;
  g_string_truncate (output, 0);
  connection->output_sent = 0;
  g_string_append_len (output, outgoing->head->str, (gssize)outgoing->head->len);
  char line[256];
  int length =
      snprintf (line, sizeof (line), "%s: %" G_GINT64_FORMAT "\r\n%s: %s\r\n\r\n",
                fields->deadline_ms, left_ms, fields->expected_target, link->replica->id);
  g_string_append_len (output, line, MIN (length, (int)sizeof (line) - 1));
  g_string_append_len (output, outgoing->body->str, (gssize)outgoing->body->len);
  flush_connection (connection);
}

/* Returns the connection used last, of those that the target will not close soon. */
static jd_connection_t *
find_idle (jd_link_t *link, int64_t now_us)
{
  for (GList *item = link->connections.head; item; item = item->next)
    {
      jd_connection_t *connection = item->data;
      if (connection->state != CONNECTION_IDLE)
        continue;
      if (connection->idle_limit_us > 0 &&
          now_us - connection->state_us > connection->idle_limit_us - IDLE_MARGIN_US)
        continue;
      return connection;
    }
  return NULL;
}

/* Returns how many connections this host may hold to the replica. */
static uint32_t
connection_limit (const jd_link_t *link)
{
  const jd_replica_pool_t *pool = link->replica->pool;
  return jd_connection_share_limit (pool->max_connections, link->links->hosts,
                                    MAX (pool->replicas->len, 1));
}

/* Opens one more connection. */
static void
open_connection (jd_link_t *link)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    {
      jd_log_event (G_LOG_LEVEL_WARNING, "socket_failed", "target=%s error=%s",
                    link->replica->id, g_strerror (errno));
      return;
    }
  int on = 1;
  unsigned int timeout_ms = USER_TIMEOUT_MS;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof (on));
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof (timeout_ms));
  jd_connection_t *connection = g_new0 (jd_connection_t, 1);
  connection->link = link;
  connection->fd = fd;
  connection->node.data = connection;
  connection->output = g_string_new (NULL);
  connection->state = CONNECTION_OPENING;
  connection->state_us = jd_monotonic_us ();
  connection->heard_us = connection->state_us;
  jd_http_reader_init (&connection->reader, HTTP_RESPONSE, REPLY_HEAD_LIMIT_BYTES,
                       link->links->options.reply_body_limit_bytes);
  ev_io_init (&connection->io, on_connection_io, fd, EV_WRITE);
  connection->io.data = connection;
  g_queue_push_tail_link (&link->connections, &connection->node);
  link->opening++;
  link->links->open++;
  link->links->opened_total++;
  int result = connect (fd, (const struct sockaddr *)&link->replica->address,
                        sizeof (link->replica->address));
  if (result != 0 && errno != EINPROGRESS)
    {
      /* Left to the next maintenance, so that no owner is called from its own send. */
      connection->state_us = 0;
      return;
    }
  ev_io_start (link->links->options.loop, &connection->io);
}

/* Gives waiting exchanges to idle connections and opens connections for the rest. */
static void
serve_waiting (jd_link_t *link)
{
  while (link->waiting.head)
    {
      jd_connection_t *connection = find_idle (link, jd_monotonic_us ());
      if (!connection)
        break;
      jd_exchange_t *exchange = link->waiting.head->data;
      g_queue_unlink (&link->waiting, &exchange->node);
      start_exchange (connection, exchange);
    }
  if (!link->retired && link->waiting.length > link->opening &&
      link->connections.length < connection_limit (link) &&
      jd_monotonic_us () >= link->open_after_us)
    open_connection (link);
  else
    refresh_replica (link);
}

/* Reads the load and cold state that a target reports with its answer. */
static void
take_report (jd_link_t *link, const jd_http_reader_t *reader, int64_t now_us)
{
  const jd_target_fields_t *fields = &link->links->options.fields;
  const char *load = jd_http_reader_value (reader, fields->load);
  unsigned int running = 0, waiting = 0, slots = 0;
  if (load && sscanf (load, "%u,%u,%u", &running, &waiting, &slots) == 3)
    jd_replica_report (link->replica, running, waiting, slots, now_us);
  int64_t cold_ms = 0;
  if (jd_http_reader_number (reader, fields->cold_ms, &cold_ms) && cold_ms > 0)
    link->replica->cold_until_us = now_us + cold_ms * JD_US_PER_MS;
}

/* Says what a whole answer means for the replica and the request. */
static void
classify (const jd_target_fields_t *fields, const jd_http_reader_t *reader,
          jd_exchange_result_t *result)
{
  uint32_t status = reader->parser.status_code;
  bool says_not_run = jd_http_reader_value (reader, fields->not_run) != NULL;
  if (status == 421)
    result->outcome = JD_REPLICA_REPLACED;
  else if (says_not_run && (status == 503 || status == 429 || status == 400))
    result->outcome = JD_REPLICA_SHED;
  else if (status >= 500 ||
           (status < 300 && !jd_http_reader_value (reader, fields->signature)))
    result->outcome = JD_REPLICA_ERROR;
  else
    result->outcome = JD_REPLICA_OK;
  result->may_have_run =
      result->outcome != JD_REPLICA_SHED && result->outcome != JD_REPLICA_REPLACED;
}

/* Remembers the idle time that a target states in "Keep-Alive: timeout=SECONDS". */
static void
take_idle_limit (jd_connection_t *connection)
{
  const char *value = jd_http_reader_value (&connection->reader, "Keep-Alive");
  const char *timeout = value ? strstr (value, "timeout=") : NULL;
  if (timeout)
    connection->idle_limit_us =
        (int64_t)g_ascii_strtoull (timeout + strlen ("timeout="), NULL, 10) * JD_US_PER_S;
}

/* TRUE when a whole answer belongs to another request. */
static bool
is_stray (const jd_connection_t *connection)
{
  const char *id = jd_http_reader_value (
      &connection->reader, connection->link->links->options.fields.request_id);
  return id && strcmp (id, connection->exchange->outgoing->id) != 0;
}

/* Ends the exchange of a connection with the whole answer in its reader. The connection
 * is kept unless either side closes it or bytes beyond the answer arrived. */
static void
complete_exchange (jd_connection_t *connection, bool extra_bytes)
{
  jd_link_t *link = connection->link;
  jd_exchange_t *exchange = connection->exchange;
  int64_t now_us = jd_monotonic_us ();
  jd_exchange_result_t result = {
    .arrived = true,
    .reply = &connection->reader,
    .elapsed_us = now_us - exchange->sent_us,
    .waited_us = exchange->sent_us - exchange->queued_us,
  };
  classify (&link->links->options.fields, &connection->reader, &result);
  take_idle_limit (connection);
  bool keep = connection->reader.keep_alive && !extra_bytes && !connection->close_after &&
              connection->output_sent == connection->output->len && !link->retired &&
              result.outcome != JD_REPLICA_REPLACED;
  connection->exchange = NULL;
  connection->state = CONNECTION_IDLE;
  connection->state_us = now_us;
  take_report (link, &connection->reader, now_us);
  if (keep)
    {
      /* The connection used last is used next, so that spare ones can expire. */
      g_queue_unlink (&link->connections, &connection->node);
      g_queue_push_head_link (&link->connections, &connection->node);
    }
  /* The owner may start other exchanges; this connection is not free for them before
   * its reader has been read. */
  connection->state = CONNECTION_OPENING;
  link->opening++;
  finish_exchange (exchange, &result);
  link->opening--;
  connection->state = CONNECTION_IDLE;
  if (!keep)
    close_connection (connection);
  serve_waiting (link);
  free_link_if_done (link);
}

/* Handles bytes from a target. The connection may be gone afterwards. */
static void
take_bytes (jd_connection_t *connection, const char *data, size_t size)
{
  if (connection->state != CONNECTION_BUSY)
    {
      jd_log_event (G_LOG_LEVEL_INFO, "reply_unasked", "target=%s bytes=%zu",
                    connection->link->replica->id, size);
      fail_connection (connection, JD_REPLICA_BROKEN);
      return;
    }
  while (size > 0)
    {
      size_t used = 0;
      jd_http_progress_t progress =
          jd_http_reader_feed (&connection->reader, data, size, &used);
      if (progress == JD_HTTP_MORE)
        return;
      if (progress != JD_HTTP_COMPLETE)
        {
          fail_connection (connection, JD_REPLICA_BROKEN);
          return;
        }
      data += used;
      size -= used;
      bool is_interim = connection->reader.parser.status_code < 200;
      if (!is_interim && !is_stray (connection))
        {
          complete_exchange (connection, size > 0);
          return;
        }
      if (!is_interim)
        {
          jd_log_event (G_LOG_LEVEL_INFO, "reply_of_other_request", "id=%s target=%s",
                        connection->exchange->outgoing->id,
                        connection->link->replica->id);
          connection->close_after = true;
        }
      if (++connection->strays > STRAY_REPLIES_MAX || !connection->reader.keep_alive)
        {
          fail_connection (connection, JD_REPLICA_BROKEN);
          return;
        }
      jd_http_reader_restart (&connection->reader);
      connection->reader.head_response = connection->exchange->outgoing->is_head_method;
    }
}

/* Handles a connection that the target closed in order. */
static void
take_end (jd_connection_t *connection)
{
  if (connection->state == CONNECTION_BUSY && connection->reader.started &&
      jd_http_reader_end (&connection->reader) == JD_HTTP_COMPLETE &&
      !is_stray (connection))
    {
      connection->close_after = true;
      complete_exchange (connection, false);
      return;
    }
  fail_connection (connection, JD_REPLICA_BROKEN);
}

/* Handles the end of opening a connection. */
static void
take_opened (jd_connection_t *connection)
{
  jd_link_t *link = connection->link;
  int error = 0;
  socklen_t size = sizeof (error);
  getsockopt (connection->fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0)
    {
      fail_opening (connection, g_strerror (error));
      return;
    }
  int64_t now_us = jd_monotonic_us ();
  link->opening--;
  connection->state = CONNECTION_IDLE;
  connection->opened_us = now_us;
  connection->state_us = now_us;
  connection->heard_us = now_us;
  watch (connection, EV_READ);
  if (link->replica->unreachable)
    {
      jd_log_event (G_LOG_LEVEL_INFO, "target_reachable", "target=%s service=%s",
                    link->replica->id, link->replica->pool->service);
      link->replica->unreachable = false;
      link->replica->ejected_until_us = 0;
      link->replica->consecutive_failures = 0;
    }
  serve_waiting (link);
}

/* Event loop callback of a connection. */
static void
on_connection_io (struct ev_loop *loop, ev_io *io, int events)
{
  jd_connection_t *connection = io->data;
  if (connection->state == CONNECTION_OPENING)
    {
      take_opened (connection);
      return;
    }
  if (events & EV_WRITE)
    flush_connection (connection);
  if (!(events & EV_READ))
    return;
  char data[READ_BYTES];
  ssize_t size = recv (connection->fd, data, sizeof (data), 0);
  if (size < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (size < 0)
    fail_connection (connection, JD_REPLICA_BROKEN);
  else if (size == 0)
    take_end (connection);
  else
    {
      connection->heard_us = jd_monotonic_us ();
      take_bytes (connection, data, (size_t)size);
    }
}

/* Starts an attempt at a replica. on_done of the owner is called once, never from
 * within this call, unless the exchange is cancelled first. */
jd_exchange_t *
jd_replica_links_send (jd_replica_links_t *links, jd_replica_t *replica,
                       jd_outgoing_t *outgoing, int64_t usual_us,
                       const jd_exchange_owner_t *owner)
{
  jd_link_t *link = replica->link;
  if (!link)
    return NULL;
  jd_exchange_t *exchange = g_new0 (jd_exchange_t, 1);
  exchange->link = link;
  exchange->node.data = exchange;
  exchange->outgoing = outgoing;
  outgoing->references++;
  exchange->owner = *owner;
  exchange->usual_us = usual_us;
  int64_t now_us = jd_monotonic_us ();
  exchange->queued_us = now_us;
  if (replica->cold_until_us > now_us)
    jd_cold_share_use (&replica->cold, now_us);
  jd_connection_t *idle = find_idle (link, now_us);
  if (idle && link->waiting.length == 0)
    {
      start_exchange (idle, exchange);
      refresh_replica (link);
      return exchange;
    }
  g_queue_push_tail_link (&link->waiting, &exchange->node);
  serve_waiting (link);
  return exchange;
}

/* Withdraws an exchange: its owner hears no more of it. One that was sent may still be
 * answered for linger_us, which keeps its connection; then the connection is closed. */
void
jd_exchange_cancel (jd_exchange_t *exchange, int64_t linger_us)
{
  jd_link_t *link = exchange->link;
  exchange->owner.on_done = NULL;
  if (!exchange->connection)
    {
      g_queue_unlink (&link->waiting, &exchange->node);
      jd_outgoing_unref (exchange->outgoing);
      g_free (exchange);
      refresh_replica (link);
      free_link_if_done (link);
      return;
    }
  if (linger_us <= 0)
    {
      fail_connection (exchange->connection, JD_REPLICA_ABANDONED);
      return;
    }
  exchange->linger_until_us = jd_monotonic_us () + linger_us;
}

/* Closes the connections on which nothing was heard since an exchange that got no answer
 * was sent: something between the two ends may have lost track of them too. */
static void
close_silent (jd_link_t *link, int64_t since_us)
{
  GList *next = NULL;
  for (GList *item = link->connections.head; item; item = next)
    {
      next = item->next;
      jd_connection_t *connection = item->data;
      if (connection->state == CONNECTION_IDLE && connection->heard_us < since_us)
        close_connection (connection);
    }
}

/* TRUE when a connection to the replica is to be kept open: it is the preferred one, or
 * the preferred one cannot be used. */
static bool
is_kept (const jd_replica_t *replica, int64_t now_us)
{
  if (!replica->in_share || replica->evacuated || replica->draining)
    return false;
  if (replica->preferred)
    return true;
  const GPtrArray *replicas = replica->pool->replicas;
  for (guint i = 0; i < replicas->len; i++)
    {
      const jd_replica_t *other = replicas->pdata[i];
      if (other->preferred && jd_replica_is_usable (other, now_us))
        return false;
    }
  return true;
}

/* Closes a connection that is overdue; FALSE when the list of connections changed. */
static bool
maintain_connection (jd_connection_t *connection, int64_t now_us)
{
  int64_t age_us = now_us - connection->state_us;
  jd_link_t *link = connection->link;
  switch (connection->state)
    {
    case CONNECTION_OPENING:
      if (age_us <= CONNECT_TIMEOUT_US)
        return true;
      fail_opening (connection, "timeout");
      return false;
    case CONNECTION_IDLE:
      if ((is_kept (link->replica, now_us) || age_us < SPARE_IDLE_US) &&
          (connection->idle_limit_us == 0 ||
           age_us <= connection->idle_limit_us - IDLE_MARGIN_US))
        return true;
      close_connection (connection);
      return false;
    case CONNECTION_BUSY:
      break;
    }
  const jd_exchange_t *exchange = connection->exchange;
  if (exchange->linger_until_us == 0 && now_us < exchange->outgoing->deadline_us)
    return true;
  if (exchange->linger_until_us > now_us)
    return true;
  int64_t sent_us = exchange->sent_us;
  bool silent = connection->heard_us < sent_us;
  if (silent)
    close_silent (link, sent_us);
  fail_connection (connection, silent ? JD_REPLICA_TIMED_OUT : JD_REPLICA_ABANDONED);
  return false;
}

/* Timer callback: closes overdue connections, probes unreachable targets and keeps one
 * connection open to each target, so that requests need not wait for one. */
static void
on_maintenance (struct ev_loop *loop, ev_timer *timer, int events)
{
  jd_replica_links_t *links = timer->data;
  int64_t now_us = jd_monotonic_us ();
  bool warm = now_us - links->started_us > WARM_UP_US;
  GList *next_link = NULL;
  for (GList *at = links->all.head; at; at = next_link)
    {
      next_link = at->next;
      jd_link_t *link = at->data;
      GList *item = link->connections.head;
      bool alive = true;
      while (item && alive)
        {
          GList *next = item->next;
          alive = maintain_connection (item->data, now_us);
          item = next;
        }
      /* A changed link is looked at again with the next tick. */
      if (!alive || link->retired)
        continue;
      jd_replica_t *replica = link->replica;
      bool wanted = is_kept (replica, now_us);
      bool due = !replica->unreachable || replica->ejected_until_us <= now_us;
      if (link->connections.length == 0 && wanted && due && warm &&
          now_us >= link->open_after_us)
        open_connection (link);
    }
}

/* Creates the set of links. */
jd_replica_links_t *
jd_replica_links_new (const jd_replica_links_options_t *options)
{
  jd_replica_links_t *links = g_new0 (jd_replica_links_t, 1);
  links->options = *options;
  links->hosts = 1;
  links->started_us = jd_monotonic_us ();
  g_queue_init (&links->all);
  ev_timer_init (&links->maintenance, on_maintenance, MAINTENANCE_INTERVAL_S,
                 MAINTENANCE_INTERVAL_S);
  links->maintenance.data = links;
  ev_timer_start (options->loop, &links->maintenance);
  return links;
}

/* Frees an exchange without telling its owner. */
static void
drop_exchange (jd_exchange_t *exchange)
{
  jd_outgoing_unref (exchange->outgoing);
  g_free (exchange);
}

/* Closes all connections of a link and frees it. */
static void
free_link (jd_link_t *link)
{
  GList *next = NULL;
  for (GList *item = link->waiting.head; item; item = next)
    {
      next = item->next;
      drop_exchange (item->data);
    }
  g_queue_init (&link->waiting);
  for (GList *item = link->connections.head; item; item = next)
    {
      next = item->next;
      jd_connection_t *connection = item->data;
      jd_exchange_t *exchange = connection->exchange;
      connection->exchange = NULL;
      if (exchange)
        {
          drop_exchange (exchange);
          connection->state = CONNECTION_IDLE;
        }
      close_connection (connection);
    }
  link->retired = true;
  free_link_if_done (link);
}

/* Closes all connections. Owners of running exchanges hear nothing more. */
void
jd_replica_links_free (jd_replica_links_t *links)
{
  ev_timer_stop (links->options.loop, &links->maintenance);
  GList *next = NULL;
  for (GList *item = links->all.head; item; item = next)
    {
      next = item->next;
      free_link (item->data);
    }
  g_free (links);
}

/* Sets how many hosts share the connections that targets allow. */
void
jd_replica_links_set_hosts (jd_replica_links_t *links, uint32_t hosts)
{
  links->hosts = MAX (hosts, 1);
}

/* Starts to hold connections to a replica. */
void
jd_replica_links_add (jd_replica_links_t *links, jd_replica_t *replica)
{
  if (replica->link)
    {
      ((jd_link_t *)replica->link)->retired = false;
      return;
    }
  jd_link_t *link = g_new0 (jd_link_t, 1);
  link->links = links;
  link->replica = jd_replica_ref (replica);
  link->node.data = link;
  g_queue_init (&link->connections);
  g_queue_init (&link->waiting);
  replica->link = link;
  g_queue_push_tail_link (&links->all, &link->node);
}

/* Closes idle connections to a replica that gets nothing new. Running exchanges go on;
 * waiting ones end as not sent. */
void
jd_replica_links_retire (jd_replica_links_t *links, jd_replica_t *replica)
{
  jd_link_t *link = replica->link;
  if (!link)
    return;
  link->retired = true;
  GList *next = NULL;
  for (GList *item = link->connections.head; item; item = next)
    {
      next = item->next;
      jd_connection_t *connection = item->data;
      if (connection->state != CONNECTION_BUSY)
        close_connection (connection);
    }
  jd_replica_ref (replica);
  fail_waiting (link, JD_REPLICA_REPLACED);
  if (replica->link)
    free_link_if_done (link);
  jd_replica_unref (replica);
}

/* Returns the number of open connections. */
uint32_t
jd_replica_links_open_count (const jd_replica_links_t *links)
{
  return links->open;
}

/* Returns the number of connections that were opened since the start. */
uint64_t
jd_replica_links_opened_total (const jd_replica_links_t *links)
{
  return links->opened_total;
}
