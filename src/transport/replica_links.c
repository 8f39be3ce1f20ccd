#include "transport/replica_links.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/log_event.h"
#include "base/rng.h"
#include "routing/connection_share.h"
#include "routing/connection_upkeep.h"

#define READ_BYTES (16 * 1024)
#define MAINTENANCE_INTERVAL_S 0.1
/* Zones are under 2 ms apart and a target takes up to 6 ms to accept a connection. The
 * kernel repeats a lost SYN only after a second or more; a new attempt is faster. */
#define CONNECT_TIMEOUT_US (300 * JD_US_PER_MS)
/* The kernel closes a connection whose sent bytes are not acknowledged for this long. */
#define TCP_USER_TIMEOUT_MS 2000
/* An idle connection is not used for this long before the idle timeout that the target
 * states, so that the target does not close it while a request is on the way. */
#define IDLE_MARGIN_US (400 * JD_US_PER_MS)
#define REPLY_HEAD_LIMIT_BYTES (64 * 1024)
/* A target that closes a connection within this time, without a request on it, is assumed
 * to have reached its connection limit. */
#define OVER_LIMIT_CLOSE_US (150 * JD_US_PER_MS)
/* No connection to such a target is opened for this long. */
#define OVER_LIMIT_PAUSE_US (250 * JD_US_PER_MS)
/* A connection that need not be kept open is closed after this idle time, so that other
 * hosts can connect. */
#define SPARE_IDLE_TIMEOUT_US (2 * JD_US_PER_S)
/* The same if the targets accept fewer connections than there are hosts. */
#define SCARCE_IDLE_TIMEOUT_US (200 * JD_US_PER_MS)
/* During this time after the start the number of hosts, and so the connection quota of
 * this host, is not determined yet. Connections are opened for waiting requests only. */
#define WARM_UP_US (800 * JD_US_PER_MS)
/* This lasts longer while the number of hosts changes, but not beyond WARM_UP_MAX_US. */
#define HOST_COUNT_SETTLED_US (400 * JD_US_PER_MS)
#define WARM_UP_MAX_US (3 * JD_US_PER_S)
/* Interim responses and answers to other requests that are skipped on a connection before
 * it is closed. */
#define SKIPPED_REPLIES_MAX 3

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
  uint64_t serial; /* Unique among the connections of this process. */
  jd_connection_state_t state;
  jd_http_reader_t reader;
  GString *output;
  size_t output_sent;
  jd_exchange_t *exchange;
  int64_t opened_us;
  int64_t state_since_us;   /* Time of the last change of state. */
  int64_t last_received_us; /* Time of the last bytes; before the first, of opening. */
  int64_t idle_limit_us;    /* Idle timeout that the target stated; 0 if none. */
  uint32_t skipped_replies;
  bool close_after_answer;
  bool was_reset; /* Reported by a failed send; a read reports an orderly close then. */
  jd_byte_holder_t held;
} jd_connection_t;

/* All connections to one replica. */
struct jd_link
{
  jd_replica_links_t *links;
  jd_replica_t *replica;
  GList node; /* In links->all. */
  GQueue connections;
  GQueue waiting; /* Exchanges that wait for a connection. */
  uint32_t opening_count;
  int64_t open_after_us;         /* No connection is opened before this time. */
  jd_connection_upkeep_t upkeep; /* Of connections that no request waits for. */
  int64_t idle_limit_us;         /* Last idle timeout that the target stated; 0: none. */
  bool retired;
};

struct jd_exchange
{
  jd_link_t *link;
  jd_connection_t *connection; /* NULL while the exchange waits. */
  GList node;                  /* In link->waiting. */
  jd_outgoing_request_t *outgoing;
  jd_exchange_owner_t owner; /* on_done is NULL after cancellation. */
  int64_t queued_us;
  int64_t sent_us;
  int64_t typical_latency_us;
  int64_t linger_until_us; /* End of the wait for the answer if cancelled; else 0. */
};

struct jd_replica_links
{
  jd_replica_links_options_t options;
  GQueue all; /* jd_link_t */
  ev_timer maintenance;
  int64_t started_us;
  uint32_t host_count;
  int64_t host_count_changed_us;
  uint32_t open_count;
  uint64_t opened_total;
  uint64_t refused_total;
  jd_philox_t random;
};

static void start_waiting_exchanges (jd_link_t *link);
static void on_connection_io (struct ev_loop *loop, ev_io *io, int events);

/* Creates an empty request with one reference. The id is copied. */
jd_outgoing_request_t *
jd_outgoing_request_new (const char *id)
{
  jd_outgoing_request_t *outgoing = g_new0 (jd_outgoing_request_t, 1);
  outgoing->references = 1;
  jd_answer_match_init (&outgoing->match, id);
  outgoing->head = g_string_new (NULL);
  outgoing->body = g_string_new (NULL);
  return outgoing;
}

/* Releases a reference; the last one frees the request. NULL is allowed. */
void
jd_outgoing_request_unref (jd_outgoing_request_t *outgoing)
{
  if (!outgoing || --outgoing->references > 0)
    return;
  jd_answer_match_clear (&outgoing->match);
  g_string_free (outgoing->head, TRUE);
  g_string_free (outgoing->body, TRUE);
  g_free (outgoing);
}

/* Updates the connection and attempt counts by which a replica is chosen. */
static void
update_replica_counts (jd_link_t *link)
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

/* Frees an exchange, which has left its link, and reports the result to its owner unless
 * it was cancelled. The owner may start other exchanges. */
static void
finish_exchange (jd_exchange_t *exchange, const jd_exchange_result_t *result)
{
  jd_link_t *link = exchange->link;
  int64_t now_us = jd_monotonic_us ();
  update_replica_counts (link);
  if (result->was_sent)
    jd_replica_observe (link->replica, result->outcome, result->elapsed_us,
                        exchange->typical_latency_us, now_us);
  jd_exchange_owner_t owner = exchange->owner;
  jd_outgoing_request_unref (exchange->outgoing);
  g_free (exchange);
  if (owner.on_done)
    owner.on_done (owner.context, owner.tag, link->replica, result);
}

/* Frees a link without connections and waiting exchanges. Only the maintenance timer and
 * jd_replica_links_free () may call this: an owner that is told the result of an exchange
 * may cancel others, so code further up the stack may be using any link. */
static void
free_link (jd_link_t *link)
{
  g_queue_unlink (&link->links->all, &link->node);
  link->replica->link = NULL;
  jd_replica_unref (link->replica);
  g_free (link);
}

/* Updates the bytes that a connection holds in the budget. */
static void
update_held_bytes (jd_connection_t *connection)
{
  jd_byte_budget_t *budget = connection->link->links->options.budget;
  jd_byte_budget_protect (budget, &connection->held,
                          connection->exchange &&
                              connection->exchange->outgoing->runs_once);
  jd_byte_budget_set (budget, &connection->held,
                      jd_http_reader_held_bytes (&connection->reader));
}

/* Closes a connection and frees it. Its exchange must have been detached before. */
static void
close_connection (jd_connection_t *connection)
{
  jd_link_t *link = connection->link;
  ev_io_stop (link->links->options.loop, &connection->io);
  close (connection->fd);
  if (connection->state == CONNECTION_OPENING)
    link->opening_count--;
  link->links->open_count--;
  g_queue_unlink (&link->connections, &connection->node);
  jd_byte_budget_set (link->links->options.budget, &connection->held, 0);
  jd_http_reader_clear (&connection->reader);
  g_string_free (connection->output, TRUE);
  g_free (connection);
  update_replica_counts (link);
}

/* Sets the socket events that trigger on_connection_io (). */
static void
set_watched_events (jd_connection_t *connection, int events)
{
  struct ev_loop *loop = connection->link->links->options.loop;
  if (connection->io.events == events && ev_is_active (&connection->io))
    return;
  ev_io_stop (loop, &connection->io);
  ev_io_set (&connection->io, connection->fd, events);
  ev_io_start (loop, &connection->io);
}

/* Ends all exchanges that wait for a connection with the outcome, as not sent. */
static void
fail_waiting_exchanges (jd_link_t *link, jd_replica_outcome_t outcome)
{
  /* The owners may cancel exchanges and add new ones meanwhile. */
  for (guint left = link->waiting.length; left > 0 && link->waiting.head; left--)
    {
      jd_exchange_t *exchange = link->waiting.head->data;
      g_queue_unlink (&link->waiting, &exchange->node);
      jd_exchange_result_t result = { .outcome = outcome };
      finish_exchange (exchange, &result);
    }
}

/* Returns a random number from 0 to 1. */
static double
draw_unit (jd_replica_links_t *links)
{
  jd_rng_t rng = jd_philox_rng (&links->random);
  return jd_rng_unit (&rng);
}

/* Records what a target said about itself in an answer whose head is complete, also if
 * nobody waits for the answer any more. An answer with status 421 is of another target.
 */
static void
record_target_notice (jd_link_t *link, const jd_http_reader_t *reader, int64_t now_us)
{
  uint32_t status = reader->parser.status_code;
  if (!reader->head_complete || status < 200 || status == 421)
    return;
  jd_replica_t *replica = link->replica;
  const char *leaving =
      jd_http_reader_value (reader, link->links->options.fields.leaving);
  if (leaving && strcmp (leaving, "1") == 0 &&
      jd_target_notice_set_leaving (replica->notice, now_us))
    jd_log_event (G_LOG_LEVEL_INFO, "target_leaving",
                  "target=%s service=%s born_ms=%" G_GINT64_FORMAT
                  " drain_limit_ms=%" G_GINT64_FORMAT,
                  replica->id, replica->pool->service, replica->born_ms,
                  replica->drain_limit_us / JD_US_PER_MS);
  const char *pause = jd_http_reader_value (reader, "Retry-After");
  if (status != 503 || !pause)
    return;
  int64_t duration_us = 0;
  if (!jd_target_notice_parse_pause (pause, &duration_us))
    {
      jd_log_event (G_LOG_LEVEL_INFO, "pause_unreadable", "target=%s service=%s",
                    replica->id, replica->pool->service);
      return;
    }
  if (jd_target_notice_set_pause (replica->notice, duration_us, draw_unit (link->links),
                                  now_us))
    jd_log_event (G_LOG_LEVEL_INFO, "target_paused",
                  "target=%s service=%s asked_ms=%" G_GINT64_FORMAT
                  " for_ms=%" G_GINT64_FORMAT,
                  replica->id, replica->pool->service, duration_us / JD_US_PER_MS,
                  (replica->notice->return_at_us - now_us) / JD_US_PER_MS);
}

/* Returns TRUE if the target wants no requests or its zone is evacuated. This holds for
 * the exchanges that wait for a connection to it too. */
static bool
wants_no_requests (const jd_link_t *link, int64_t now_us)
{
  const jd_replica_t *replica = link->replica;
  return replica->zone_drained ||
         jd_target_notice_access (replica->notice, INT64_MAX, now_us) ==
             JD_TARGET_ACCESS_CLOSED;
}

/* Ends the exchanges that wait for a connection to a target that wants no requests, so
 * that they are sent to others. */
static void
release_waiting_exchanges (jd_link_t *link)
{
  if (link->waiting.head && wants_no_requests (link, jd_monotonic_us ()))
    fail_waiting_exchanges (link, JD_REPLICA_PAUSED);
}

/* Counts a connection that was refused, failed to open or was closed at once, and delays
 * the next one that no request waits for. */
static void
record_refusal (jd_link_t *link, int64_t now_us)
{
  link->links->refused_total++;
  jd_connection_upkeep_refused (&link->upkeep, draw_unit (link->links), now_us);
}

/* Closes an open connection that failed. Its exchange, if any, ends with the outcome as
 * one that the target may have run. No other exchange ends, so jd_exchange_cancel () may
 * call this. */
static void
fail_connection (jd_connection_t *connection, jd_replica_outcome_t outcome)
{
  jd_link_t *link = connection->link;
  jd_exchange_t *exchange = connection->exchange;
  int64_t now_us = jd_monotonic_us ();
  bool is_over_limit = !exchange &&
                       connection->last_received_us == connection->opened_us &&
                       now_us - connection->opened_us < OVER_LIMIT_CLOSE_US;
  connection->exchange = NULL;
  if (exchange)
    {
      connection->state = CONNECTION_IDLE; /* A busy connection always has an exchange. */
      record_target_notice (link, &connection->reader, now_us);
    }
  close_connection (connection);
  if (!exchange && !is_over_limit)
    jd_connection_upkeep_expired (&link->upkeep, now_us);
  if (is_over_limit)
    {
      link->open_after_us = now_us + OVER_LIMIT_PAUSE_US;
      record_refusal (link, now_us);
      if (link->connections.length == 0)
        jd_replica_observe (link->replica, JD_REPLICA_UNREACHABLE, 0, 0, now_us);
    }
  if (exchange)
    {
      jd_exchange_result_t result = {
        .outcome = outcome,
        .may_have_run = true,
        .was_sent = true,
        .elapsed_us = now_us - exchange->sent_us,
      };
      finish_exchange (exchange, &result);
    }
  start_waiting_exchanges (link);
}

/* Budget callback: ends a connection whose answer takes too much memory. */
static void
cut_connection (void *context)
{
  jd_connection_t *connection = context;
  const jd_link_t *link = connection->link;
  jd_log_event (G_LOG_LEVEL_WARNING, "reply_cut",
                "target=%s service=%s bytes=%" G_GUINT64_FORMAT " held=%" G_GUINT64_FORMAT
                " limit=%" G_GUINT64_FORMAT,
                link->replica->id, link->replica->pool->service, connection->held.bytes,
                link->links->options.budget->held_bytes,
                link->links->options.budget->limit_bytes);
  fail_connection (connection, JD_REPLICA_BROKEN);
}

/* Returns TRUE if a connection of the link may carry the exchange, now or later. */
static bool
has_usable_connection (const jd_link_t *link, const jd_exchange_t *exchange)
{
  for (const GList *item = link->connections.head; item; item = item->next)
    {
      const jd_connection_t *connection = item->data;
      if (jd_answer_match_may_use (&exchange->outgoing->match, connection->serial))
        return true;
    }
  return false;
}

/* Handles a connection that could not be opened. Waiting exchanges that no other
 * connection to the replica may carry fail. */
static void
fail_connect (jd_connection_t *connection, const char *cause)
{
  jd_link_t *link = connection->link;
  jd_log_event (G_LOG_LEVEL_INFO, "target_unreachable", "target=%s service=%s cause=%s",
                link->replica->id, link->replica->pool->service, cause);
  close_connection (connection);
  int64_t now_us = jd_monotonic_us ();
  record_refusal (link, now_us);
  jd_replica_observe (link->replica, JD_REPLICA_UNREACHABLE, 0, 0, now_us);
  /* The owners may cancel exchanges and add new ones meanwhile. */
  for (guint left = link->waiting.length; left > 0 && link->waiting.head; left--)
    {
      jd_exchange_t *exchange = link->waiting.head->data;
      g_queue_unlink (&link->waiting, &exchange->node);
      if (has_usable_connection (link, exchange))
        {
          g_queue_push_tail_link (&link->waiting, &exchange->node);
          continue;
        }
      jd_exchange_result_t result = { .outcome = JD_REPLICA_UNREACHABLE };
      finish_exchange (exchange, &result);
    }
}

/* Sends pending output, as far as the socket accepts it. The next read reports a failed
 * connection. */
static void
flush_output (jd_connection_t *connection)
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
          set_watched_events (connection, EV_READ | EV_WRITE);
          return;
        }
      if (sent < 0)
        {
          /* The target may have answered before it closed; read that answer first. EPIPE
           * says that an orderly close arrived before the reset. */
          set_watched_events (connection, EV_READ);
          connection->close_after_answer = true;
          connection->was_reset = errno != EPIPE;
          return;
        }
      connection->output_sent += (size_t)sent;
    }
  set_watched_events (connection, EV_READ);
}

/* Sends the request of an exchange on an idle connection. */
static void
start_exchange (jd_connection_t *connection, jd_exchange_t *exchange)
{
  jd_link_t *link = connection->link;
  const jd_target_fields_t *fields = &link->links->options.fields;
  jd_outgoing_request_t *outgoing = exchange->outgoing;
  int64_t now_us = jd_monotonic_us ();
  int64_t remaining_ms = MAX ((outgoing->deadline_us - now_us) / JD_US_PER_MS, 1);
  jd_answer_match_use (&outgoing->match, connection->serial);
  exchange->connection = connection;
  exchange->sent_us = now_us;
  connection->exchange = exchange;
  connection->state = CONNECTION_BUSY;
  connection->state_since_us = now_us;
  jd_http_reader_restart (&connection->reader);
  connection->reader.answers_head_request = outgoing->is_head_method;
  GString *output = connection->output;
  g_string_truncate (output, 0);
  connection->output_sent = 0;
  g_string_append_len (output, outgoing->head->str, (gssize)outgoing->head->len);
  char line[256];
  int length = snprintf (
      line, sizeof (line), "%s: %" G_GINT64_FORMAT "\r\n%s: %s\r\n\r\n",
      fields->deadline_ms, remaining_ms, fields->expected_target_id, link->replica->id);
  g_string_append_len (output, line, MIN (length, (int)sizeof (line) - 1));
  g_string_append_len (output, outgoing->body->str, (gssize)outgoing->body->len);
  flush_output (connection);
}

/* Returns the most recently used idle connection that may carry an attempt of a request
 * and that the target will not close soon, or NULL. */
static jd_connection_t *
find_idle_connection (jd_link_t *link, const jd_outgoing_request_t *outgoing,
                      int64_t now_us)
{
  for (GList *item = link->connections.head; item; item = item->next)
    {
      jd_connection_t *connection = item->data;
      if (connection->state != CONNECTION_IDLE)
        continue;
      if (connection->idle_limit_us > 0 && now_us - connection->state_since_us >
                                               connection->idle_limit_us - IDLE_MARGIN_US)
        continue;
      if (jd_answer_match_may_use (&outgoing->match, connection->serial))
        return connection;
    }
  return NULL;
}

/* Returns the connection quota of this host at the replica. */
static uint32_t
connection_limit (const jd_link_t *link)
{
  const jd_replica_pool_t *pool = link->replica->pool;
  return jd_connection_quota_limit (pool->max_connections, link->links->host_count,
                                    MAX (pool->replicas->len, 1));
}

/* Starts to open a connection to the replica. */
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
  unsigned int timeout_ms = TCP_USER_TIMEOUT_MS;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof (on));
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof (timeout_ms));
  jd_connection_t *connection = g_new0 (jd_connection_t, 1);
  connection->link = link;
  connection->fd = fd;
  connection->node.data = connection;
  connection->output = g_string_new (NULL);
  connection->held = (jd_byte_holder_t){ .cut = cut_connection, .context = connection };
  connection->state = CONNECTION_OPENING;
  connection->state_since_us = jd_monotonic_us ();
  connection->last_received_us = connection->state_since_us;
  connection->idle_limit_us = link->idle_limit_us;
  jd_http_reader_init (&connection->reader, HTTP_RESPONSE, REPLY_HEAD_LIMIT_BYTES,
                       link->links->options.reply_body_limit_bytes);
  ev_io_init (&connection->io, on_connection_io, fd, EV_WRITE);
  connection->io.data = connection;
  g_queue_push_tail_link (&link->connections, &connection->node);
  link->opening_count++;
  link->links->open_count++;
  connection->serial = ++link->links->opened_total;
  jd_connection_upkeep_opened (&link->upkeep);
  int result = connect (fd, (const struct sockaddr *)&link->replica->address,
                        sizeof (link->replica->address));
  if (result != 0 && errno != EINPROGRESS)
    {
      /* Let the next maintenance report the timeout, so that on_done is not called from
       * within jd_replica_links_send (). */
      connection->state_since_us = 0;
      return;
    }
  ev_io_start (link->links->options.loop, &connection->io);
}

/* Returns the number of idle connections of a link. */
static uint32_t
count_idle (const jd_link_t *link)
{
  uint32_t count = 0;
  for (const GList *item = link->connections.head; item; item = item->next)
    count += ((const jd_connection_t *)item->data)->state == CONNECTION_IDLE;
  return count;
}

/* Closes the idle connection that was used least recently, if there is one. */
static void
close_oldest_idle_connection (jd_link_t *link)
{
  for (GList *item = link->connections.tail; item; item = item->prev)
    {
      jd_connection_t *connection = item->data;
      if (connection->state != CONNECTION_IDLE)
        continue;
      close_connection (connection);
      return;
    }
}

/* Opens one more connection if exchanges still wait and the quota allows it. An idle
 * connection that none of them may use gives way to a new one. */
static void
open_for_waiting_exchanges (jd_link_t *link, int64_t now_us)
{
  if (link->retired || link->waiting.length <= link->opening_count ||
      now_us < link->open_after_us)
    return;
  if (link->connections.length >= connection_limit (link))
    close_oldest_idle_connection (link);
  if (link->connections.length < connection_limit (link))
    open_connection (link);
}

/* Starts waiting exchanges on idle connections, unless the target wants none; the timer
 * ends them then. Opens one more connection if that is not enough. */
static void
start_waiting_exchanges (jd_link_t *link)
{
  int64_t now_us = jd_monotonic_us ();
  if (link->waiting.head && wants_no_requests (link, now_us))
    {
      update_replica_counts (link);
      return;
    }
  uint32_t idle_count = link->waiting.head ? count_idle (link) : 0;
  GList *next = NULL;
  for (GList *item = link->waiting.head; item && idle_count > 0; item = next)
    {
      next = item->next;
      jd_exchange_t *exchange = item->data;
      jd_connection_t *connection =
          find_idle_connection (link, exchange->outgoing, now_us);
      if (!connection)
        continue;
      g_queue_unlink (&link->waiting, &exchange->node);
      start_exchange (connection, exchange);
      idle_count--;
    }
  open_for_waiting_exchanges (link, now_us);
  update_replica_counts (link);
}

/* Reads the load that an answer reports; only targets on shared machines report the speed
 * of their machine. Returns FALSE if the answer reports none. */
static bool
read_load (const jd_target_fields_t *fields, const jd_http_reader_t *reader,
           jd_load_report_t *load)
{
  const char *text = jd_http_reader_value (reader, fields->load);
  *load = (jd_load_report_t){ 0 };
  return text && sscanf (text, "%u,%u,%u,%u", &load->running, &load->waiting,
                         &load->slots, &load->work_percent) >= 3;
}

/* Records the load and the cold state that a target reports in its answer. */
static void
record_target_load (jd_link_t *link, const jd_http_reader_t *reader, int64_t now_us)
{
  const jd_target_fields_t *fields = &link->links->options.fields;
  jd_load_report_t load;
  if (read_load (fields, reader, &load))
    {
      jd_replica_record_load (link->replica, load.running, load.waiting, load.slots,
                              now_us);
      if (link->replica->pool->uses_mean_load)
        jd_target_load_record (&link->replica->mean_load, &load, now_us);
    }
  int64_t cold_ms = 0;
  if (jd_http_reader_number (reader, fields->cold_ms, &cold_ms) && cold_ms > 0)
    link->replica->cold_until_us = now_us + cold_ms * JD_US_PER_MS;
}

/* Returns TRUE if a target rejected a request although it reports a free slot. One that
 * asks for a pause says that it is in trouble. */
static bool
is_rejected_while_free (const jd_target_fields_t *fields, const jd_http_reader_t *reader)
{
  jd_load_report_t load;
  return reader->parser.status_code == 503 && read_load (fields, reader, &load) &&
         load.running < load.slots && load.waiting == 0 &&
         !jd_http_reader_value (reader, "Retry-After");
}

/* Sets the outcome of a whole answer and whether the target may have run the request. */
static void
classify_answer (const jd_link_t *link, const jd_http_reader_t *reader,
                 jd_exchange_result_t *result)
{
  const jd_target_fields_t *fields = &link->links->options.fields;
  uint32_t status = reader->parser.status_code;
  bool states_not_run = jd_http_reader_value (reader, fields->not_run) != NULL;
  if (status == 421)
    result->outcome = JD_REPLICA_REPLACED;
  else if (states_not_run && (status == 503 || status == 429 || status == 400))
    result->outcome =
        link->replica->pool->learns_rejections && is_rejected_while_free (fields, reader)
            ? JD_REPLICA_REJECTED
            : JD_REPLICA_SHED;
  else if (status >= 500 ||
           (status < 300 && !jd_http_reader_value (reader, fields->signature)))
    result->outcome = JD_REPLICA_ERROR;
  else
    result->outcome = JD_REPLICA_OK;
  result->may_have_run = result->outcome != JD_REPLICA_SHED &&
                         result->outcome != JD_REPLICA_REJECTED &&
                         result->outcome != JD_REPLICA_REPLACED;
}

/* Records the idle timeout that a target states in "Keep-Alive: timeout=SECONDS". */
static void
record_idle_limit (jd_connection_t *connection)
{
  const char *value = jd_http_reader_value (&connection->reader, "Keep-Alive");
  const char *timeout = value ? strstr (value, "timeout=") : NULL;
  if (!timeout)
    return;
  connection->idle_limit_us =
      (int64_t)g_ascii_strtoull (timeout + strlen ("timeout="), NULL, 10) * JD_US_PER_S;
  connection->link->idle_limit_us = connection->idle_limit_us;
}

/* Returns TRUE if the answer carries the id of another request. */
static bool
is_answer_to_other_request (const jd_connection_t *connection)
{
  const char *id = jd_http_reader_value (
      &connection->reader, connection->link->links->options.fields.request_id);
  return jd_answer_match_owner (&connection->exchange->outgoing->match, id) ==
         JD_ANSWER_OTHER;
}

/* Ends the exchange of a connection whose reader holds a whole answer. The connection is
 * kept unless either side closes it, bytes beyond the answer were received, a part of the
 * request is unsent, or the replica was retired or replaced. */
static void
complete_exchange (jd_connection_t *connection, bool has_extra_bytes)
{
  jd_link_t *link = connection->link;
  jd_exchange_t *exchange = connection->exchange;
  int64_t now_us = jd_monotonic_us ();
  jd_exchange_result_t result = {
    .was_sent = true,
    .reply = &connection->reader,
    .elapsed_us = now_us - exchange->sent_us,
    .connection_wait_us = exchange->sent_us - exchange->queued_us,
  };
  classify_answer (link, &connection->reader, &result);
  record_idle_limit (connection);
  bool keep_open = connection->reader.keep_alive && !has_extra_bytes &&
                   !connection->close_after_answer &&
                   connection->output_sent == connection->output->len && !link->retired &&
                   result.outcome != JD_REPLICA_REPLACED;
  connection->exchange = NULL;
  connection->state = CONNECTION_IDLE;
  connection->state_since_us = now_us;
  record_target_load (link, &connection->reader, now_us);
  record_target_notice (link, &connection->reader, now_us);
  jd_connection_upkeep_served (&link->upkeep);
  if (keep_open)
    {
      /* Use the most recent connection first, so that spare ones reach their idle
       * timeout. */
      g_queue_unlink (&link->connections, &connection->node);
      g_queue_push_head_link (&link->connections, &connection->node);
    }
  /* The owner reads the answer from the reader and may start other exchanges meanwhile.
   * The opening state keeps them off this connection. */
  connection->state = CONNECTION_OPENING;
  link->opening_count++;
  finish_exchange (exchange, &result);
  link->opening_count--;
  connection->state = CONNECTION_IDLE;
  jd_http_reader_restart (&connection->reader);
  update_held_bytes (connection);
  if (!keep_open)
    close_connection (connection);
  release_waiting_exchanges (link);
  start_waiting_exchanges (link);
}

/* Handles bytes received from a target. The connection may be freed afterwards. */
static void
handle_input (jd_connection_t *connection, const char *data, size_t size)
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
        {
          update_held_bytes (connection);
          return;
        }
      if (progress != JD_HTTP_COMPLETE)
        {
          fail_connection (connection, JD_REPLICA_BROKEN);
          return;
        }
      data += used;
      size -= used;
      bool is_interim = connection->reader.parser.status_code < 200;
      if (!is_interim && !is_answer_to_other_request (connection))
        {
          complete_exchange (connection, size > 0);
          return;
        }
      if (!is_interim)
        {
          jd_log_event (G_LOG_LEVEL_INFO, "reply_of_other_request", "id=%s target=%s",
                        connection->exchange->outgoing->match.request_id,
                        connection->link->replica->id);
          record_target_notice (connection->link, &connection->reader,
                                jd_monotonic_us ());
          connection->close_after_answer = true;
        }
      if (++connection->skipped_replies > SKIPPED_REPLIES_MAX ||
          !connection->reader.keep_alive)
        {
          fail_connection (connection, JD_REPLICA_BROKEN);
          return;
        }
      jd_http_reader_restart (&connection->reader);
      connection->reader.answers_head_request =
          connection->exchange->outgoing->is_head_method;
    }
}

/* Handles the end of the input. An orderly close completes an answer without a stated
 * length, a reset does not. The connection is freed. */
static void
handle_close (jd_connection_t *connection)
{
  if (connection->state == CONNECTION_BUSY && connection->reader.started &&
      !connection->was_reset &&
      jd_http_reader_on_close (&connection->reader) == JD_HTTP_COMPLETE &&
      !is_answer_to_other_request (connection))
    {
      connection->close_after_answer = true;
      complete_exchange (connection, false);
      return;
    }
  fail_connection (connection, JD_REPLICA_BROKEN);
}

/* Handles the result of a connect. */
static void
handle_connect_result (jd_connection_t *connection)
{
  jd_link_t *link = connection->link;
  int error = 0;
  socklen_t size = sizeof (error);
  getsockopt (connection->fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0)
    {
      fail_connect (connection, g_strerror (error));
      return;
    }
  int64_t now_us = jd_monotonic_us ();
  link->opening_count--;
  connection->state = CONNECTION_IDLE;
  connection->opened_us = now_us;
  connection->state_since_us = now_us;
  connection->last_received_us = now_us;
  set_watched_events (connection, EV_READ);
  if (link->replica->unreachable)
    {
      jd_log_event (G_LOG_LEVEL_INFO, "target_reachable", "target=%s service=%s",
                    link->replica->id, link->replica->pool->service);
      link->replica->unreachable = false;
      link->replica->ejected_until_us = 0;
      link->replica->consecutive_failures = 0;
    }
  start_waiting_exchanges (link);
}

/* Event loop callback: completes the connect, sends output and reads input. */
static void
on_connection_io (struct ev_loop *loop, ev_io *io, int events)
{
  jd_connection_t *connection = io->data;
  if (connection->state == CONNECTION_OPENING)
    {
      handle_connect_result (connection);
      return;
    }
  /* Read first: a send would take the error of a reset connection from the socket. */
  if (!(events & EV_READ))
    {
      flush_output (connection);
      return;
    }
  char data[READ_BYTES];
  ssize_t size = recv (connection->fd, data, sizeof (data), 0);
  if (size < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (size < 0)
    fail_connection (connection, JD_REPLICA_BROKEN);
  else if (size == 0)
    handle_close (connection);
  else
    {
      connection->last_received_us = jd_monotonic_us ();
      handle_input (connection, data, (size_t)size);
    }
}

/* Starts an attempt at a replica, or returns NULL if the replica was retired. The
 * exchange holds a reference to outgoing. on_done of the owner is called once, never from
 * within this function, and not after jd_exchange_cancel (). The exchange is freed before
 * on_done. */
jd_exchange_t *
jd_replica_links_send (jd_replica_links_t *links, jd_replica_t *replica,
                       jd_outgoing_request_t *outgoing, int64_t typical_latency_us,
                       const jd_exchange_owner_t *owner)
{
  jd_link_t *link = replica->link;
  if (!link || link->retired)
    return NULL;
  jd_exchange_t *exchange = g_new0 (jd_exchange_t, 1);
  exchange->link = link;
  exchange->node.data = exchange;
  exchange->outgoing = outgoing;
  outgoing->references++;
  exchange->owner = *owner;
  exchange->typical_latency_us = typical_latency_us;
  int64_t now_us = jd_monotonic_us ();
  exchange->queued_us = now_us;
  replica->pool->use.last_request_us = now_us;
  if (replica->cold_until_us > now_us)
    jd_cold_quota_use_grant (&replica->cold_quota, now_us);
  jd_connection_t *idle = find_idle_connection (link, outgoing, now_us);
  if (idle && link->waiting.length == 0)
    {
      start_exchange (idle, exchange);
      update_replica_counts (link);
      return exchange;
    }
  g_queue_push_tail_link (&link->waiting, &exchange->node);
  start_waiting_exchanges (link);
  return exchange;
}

/* Cancels an exchange; no owner's on_done is called meanwhile, so that an owner may
 * cancel several exchanges one after the other. If the request was sent, the connection
 * waits up to linger_us for the answer, so that it can be kept; after that time it is
 * closed. */
void
jd_exchange_cancel (jd_exchange_t *exchange, int64_t linger_us)
{
  jd_link_t *link = exchange->link;
  exchange->owner.on_done = NULL;
  if (!exchange->connection)
    {
      g_queue_unlink (&link->waiting, &exchange->node);
      jd_outgoing_request_unref (exchange->outgoing);
      g_free (exchange);
      update_replica_counts (link);
      return;
    }
  if (linger_us <= 0)
    {
      fail_connection (exchange->connection, JD_REPLICA_ABANDONED);
      return;
    }
  exchange->linger_until_us = jd_monotonic_us () + linger_us;
}

/* Returns TRUE if the request was sent to the target, or a part of it; FALSE while it
 * waits for a connection. */
bool
jd_exchange_was_sent (const jd_exchange_t *exchange)
{
  return exchange->connection != NULL;
}

/* Closes the idle connections that received no bytes since since_us, at which an exchange
 * without an answer was sent. A device on the path may have dropped its state of these
 * connections too. */
static void
close_silent_connections (jd_link_t *link, int64_t since_us)
{
  GList *next = NULL;
  for (GList *item = link->connections.head; item; item = next)
    {
      next = item->next;
      jd_connection_t *connection = item->data;
      if (connection->state == CONNECTION_IDLE && connection->last_received_us < since_us)
        close_connection (connection);
    }
}

/* Returns TRUE if a connection to the replica should be kept open: this host uses the
 * replica, and the replica is preferred or no preferred replica of the pool is usable. */
static bool
should_keep_connection (const jd_replica_t *replica, int64_t now_us)
{
  if (!replica->in_connection_quota || !replica->pool->keeps_idle ||
      jd_replica_access (replica, now_us) == JD_TARGET_ACCESS_LAST_RESORT ||
      jd_replica_open_in_us (replica, now_us) == INT64_MAX)
    return false;
  if (replica->keeps_connection)
    return true;
  const GPtrArray *replicas = replica->pool->replicas;
  for (guint i = 0; i < replicas->len; i++)
    {
      const jd_replica_t *other = replicas->pdata[i];
      if (other->keeps_connection && jd_replica_is_usable (other, now_us))
        return false;
    }
  return true;
}

/* Closes a connection that reached a timeout, or whose exchange reached its deadline.
 * Returns FALSE if it did, because the list of connections has changed. */
static bool
maintain_connection (jd_connection_t *connection, int64_t now_us)
{
  int64_t age_us = now_us - connection->state_since_us;
  jd_link_t *link = connection->link;
  switch (connection->state)
    {
    case CONNECTION_OPENING:
      if (age_us <= CONNECT_TIMEOUT_US)
        return true;
      fail_connect (connection, "timeout");
      return false;
    case CONNECTION_IDLE:;
      int64_t spare_timeout_us = link->replica->pool->keeps_idle ? SPARE_IDLE_TIMEOUT_US
                                                                 : SCARCE_IDLE_TIMEOUT_US;
      if ((should_keep_connection (link->replica, now_us) || age_us < spare_timeout_us) &&
          (connection->idle_limit_us == 0 ||
           age_us <= connection->idle_limit_us - IDLE_MARGIN_US))
        return true;
      jd_connection_upkeep_expired (&link->upkeep, now_us);
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
  bool is_silent = connection->last_received_us < sent_us;
  if (is_silent)
    close_silent_connections (link, sent_us);
  fail_connection (connection, is_silent ? JD_REPLICA_TIMED_OUT : JD_REPLICA_ABANDONED);
  return false;
}

/* Timer callback: closes connections that reached a timeout, tries unreachable targets
 * again and keeps a connection open to each replica that should have one, so that
 * requests do not wait for a connect. Ends the exchanges that wait for a target that
 * wants none. Frees retired links that are no longer used. */
static void
on_maintenance (struct ev_loop *loop, ev_timer *timer, int events)
{
  jd_replica_links_t *links = timer->data;
  int64_t now_us = jd_monotonic_us ();
  bool is_warmed_up = now_us - links->started_us > WARM_UP_US &&
                      (now_us - links->host_count_changed_us > HOST_COUNT_SETTLED_US ||
                       now_us - links->started_us > WARM_UP_MAX_US);
  GList *next_link = NULL;
  for (GList *link_item = links->all.head; link_item; link_item = next_link)
    {
      /* Owners may start and cancel exchanges meanwhile, but no other link is freed. */
      next_link = link_item->next;
      jd_link_t *link = link_item->data;
      GList *item = link->connections.head;
      bool is_unchanged = true;
      while (item && is_unchanged)
        {
          GList *next = item->next;
          is_unchanged = maintain_connection (item->data, now_us);
          item = next;
        }
      release_waiting_exchanges (link);
      /* An exchange may wait for a new connection while others are idle. */
      if (link->waiting.head && link->opening_count == 0)
        start_waiting_exchanges (link);
      if (link->retired && link->connections.length == 0 && link->waiting.length == 0)
        {
          free_link (link);
          continue;
        }
      /* The next tick continues with a link that has changed. */
      if (!is_unchanged || link->retired)
        continue;
      jd_replica_t *replica = link->replica;
      bool keep_open = should_keep_connection (replica, now_us);
      bool may_connect = (!replica->unreachable || replica->ejected_until_us <= now_us) &&
                         jd_replica_access (replica, now_us) == JD_TARGET_ACCESS_OPEN;
      if (jd_target_notice_end_pause (replica->notice, now_us))
        jd_log_event (G_LOG_LEVEL_INFO, "target_pause_ended", "target=%s service=%s",
                      replica->id, replica->pool->service);
      if (link->connections.length == 0 && keep_open && may_connect && is_warmed_up &&
          now_us >= link->open_after_us &&
          jd_service_use_expects_requests (&replica->pool->use, now_us) &&
          jd_connection_upkeep_is_due (&link->upkeep, links->host_count,
                                       draw_unit (links), now_us))
        open_connection (link);
    }
}

/* Creates the connections, without any replica. The options are copied. */
jd_replica_links_t *
jd_replica_links_new (const jd_replica_links_options_t *options)
{
  jd_replica_links_t *links = g_new0 (jd_replica_links_t, 1);
  links->options = *options;
  links->host_count = 1;
  links->started_us = jd_monotonic_us ();
  links->random.seed = jd_entropy ();
  g_queue_init (&links->all);
  ev_timer_init (&links->maintenance, on_maintenance, MAINTENANCE_INTERVAL_S,
                 MAINTENANCE_INTERVAL_S);
  links->maintenance.data = links;
  ev_timer_start (options->loop, &links->maintenance);
  return links;
}

/* Frees an exchange without a call of on_done. */
static void
free_exchange (jd_exchange_t *exchange)
{
  jd_outgoing_request_unref (exchange->outgoing);
  g_free (exchange);
}

/* Closes all connections of a link, drops its exchanges and frees it. */
static void
close_link (jd_link_t *link)
{
  GList *next = NULL;
  for (GList *item = link->waiting.head; item; item = next)
    {
      next = item->next;
      free_exchange (item->data);
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
          free_exchange (exchange);
          connection->state = CONNECTION_IDLE;
        }
      close_connection (connection);
    }
  free_link (link);
}

/* Closes all connections and frees them; on_done is not called for running exchanges. */
void
jd_replica_links_free (jd_replica_links_t *links)
{
  ev_timer_stop (links->options.loop, &links->maintenance);
  GList *next = NULL;
  for (GList *item = links->all.head; item; item = next)
    {
      next = item->next;
      close_link (item->data);
    }
  g_free (links);
}

/* Sets the number of hosts that share the connections which targets accept. */
void
jd_replica_links_set_host_count (jd_replica_links_t *links, uint32_t host_count)
{
  if (host_count != links->host_count)
    links->host_count_changed_us = jd_monotonic_us ();
  links->host_count = MAX (host_count, 1);
}

/* Adds a replica, or cancels its retirement. The link holds a reference to it. */
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

/* Removes a replica that gets no new requests. Running exchanges continue, waiting ones
 * end as not sent, and the other connections are closed. */
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
  fail_waiting_exchanges (link, JD_REPLICA_REPLACED);
}

/* Returns the number of connections that are open or being opened. */
uint32_t
jd_replica_links_open_count (const jd_replica_links_t *links)
{
  return links->open_count;
}

/* Returns the number of connections opened since the start, failed ones included. */
uint64_t
jd_replica_links_opened_total (const jd_replica_links_t *links)
{
  return links->opened_total;
}

/* Returns the number of connections since the start that were refused, failed to open or
 * were closed at once. */
uint64_t
jd_replica_links_refused_total (const jd_replica_links_t *links)
{
  return links->refused_total;
}
