#include "transport/peer_link.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <zmq.h>

/* Most messages that one poll delivers, so that the caller's timers and other sockets are
 * served under overload, too. */
#define MESSAGES_PER_POLL 128
/* An edit has a body of up to 16 MB. A receiver closes the connection when a message is
 * longer, which would break off all other work on it, so a sender refuses it before. */
#define MAX_MESSAGE_BYTES (INT64_C (64) * 1024 * 1024)
#define QUEUE_MESSAGES 1000
/* 1,200 nodes with two processes each, with room for replaced addresses. */
#define MAX_SOCKETS 4096
/* A silent connection is dropped within one interval and one time-out. */
#define HEARTBEAT_INTERVAL_MS 500
#define HEARTBEAT_TIMEOUT_MS 1000
#define HANDSHAKE_TIMEOUT_MS 1000
#define RECONNECT_MS 20
#define RECONNECT_MAX_MS 500

/* One ZeroMQ socket: the bound ROUTER, or the DEALER of one peer address. */
typedef struct jd_peer_socket
{
  jd_peer_link_t *link;
  void *socket;        /* NULL once forgotten. */
  char address[64];    /* Empty for the ROUTER. */
  gboolean is_pending; /* In the list of sockets to read. */
  jd_event_watch_t *watch;
} jd_peer_socket_t;

struct jd_peer_link
{
  jd_peer_link_options_t options;
  void *zmq;
  jd_event_poll_t *poll;
  jd_peer_socket_t *router;
  GHashTable *by_address; /* address -> jd_peer_socket_t */
  /* Sockets that may have messages. The descriptor of a ZeroMQ socket shows only
   * commands that no call has handled yet, so a socket must also be read after each
   * send, before the thread waits. */
  GQueue pending;
  GPtrArray *forgotten; /* Freed at the end of a poll. */
  uint64_t dropped;
};

/* Returns the error domain of the link. */
GQuark
jd_peer_link_error_quark (void)
{
  return g_quark_from_static_string ("jd-peer-link-error-quark");
}

/* Marks a socket to be read before the next wait. */
static void
mark_pending (jd_peer_socket_t *peer)
{
  if (peer->is_pending || !peer->socket)
    return;
  peer->is_pending = TRUE;
  g_queue_push_tail (&peer->link->pending, peer);
}

/* Ready callback of a ZeroMQ descriptor. */
static void
on_socket_ready (void *context, uint32_t events)
{
  mark_pending (context);
}

/* Sets one integer option. */
static void
set_option (void *socket, int option, int value)
{
  if (zmq_setsockopt (socket, option, &value, sizeof (value)) != 0)
    g_warning ("event=socket_option_failed option=%d errno=%d", option, zmq_errno ());
}

/* Sets the options that both kinds of socket have. */
static void
set_common_options (void *socket)
{
  set_option (socket, ZMQ_LINGER, 0);
  set_option (socket, ZMQ_SNDHWM, QUEUE_MESSAGES);
  set_option (socket, ZMQ_RCVHWM, QUEUE_MESSAGES);
  set_option (socket, ZMQ_HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS);
  set_option (socket, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
  set_option (socket, ZMQ_HEARTBEAT_TTL, HEARTBEAT_INTERVAL_MS + HEARTBEAT_TIMEOUT_MS);
  set_option (socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS);
  set_option (socket, ZMQ_CONNECT_TIMEOUT, HANDSHAKE_TIMEOUT_MS);
  set_option (socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
  set_option (socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
  int64_t max_bytes = MAX_MESSAGE_BYTES;
  zmq_setsockopt (socket, ZMQ_MAXMSGSIZE, &max_bytes, sizeof (max_bytes));
}

/* Closes a socket; the structure stays valid until it is freed. */
static void
close_socket (jd_peer_socket_t *peer)
{
  if (!peer->socket)
    return;
  jd_event_poll_remove (peer->link->poll, peer->watch);
  zmq_close (peer->socket);
  peer->socket = NULL;
}

/* Creates a socket of a type and watches its descriptor. Returns NULL on failure. */
static jd_peer_socket_t *
open_socket (jd_peer_link_t *link, int type)
{
  void *socket = zmq_socket (link->zmq, type);
  if (!socket)
    return NULL;
  jd_peer_socket_t *peer = g_new0 (jd_peer_socket_t, 1);
  *peer = (jd_peer_socket_t){ .link = link, .socket = socket };
  set_common_options (socket);
  /* With IMMEDIATE nothing is queued for a connection that is not there, and what is
   * queued is dropped when the connection breaks. */
  set_option (socket, type == ZMQ_ROUTER ? ZMQ_ROUTER_MANDATORY : ZMQ_IMMEDIATE, 1);
  int fd = -1;
  size_t size = sizeof (fd);
  zmq_getsockopt (socket, ZMQ_FD, &fd, &size);
  peer->watch = jd_event_poll_add (link->poll, fd, EPOLLIN, on_socket_ready, peer);
  mark_pending (peer);
  return peer;
}

/* Binds the ROUTER. */
static gboolean
bind_router (jd_peer_link_t *link, const char *address, GError **error)
{
  link->router = open_socket (link, ZMQ_ROUTER);
  char *endpoint = g_strdup_printf ("tcp://%s", address);
  gboolean bound = link->router && zmq_bind (link->router->socket, endpoint) == 0;
  g_free (endpoint);
  if (!bound)
    g_set_error (error, JD_PEER_LINK_ERROR, JD_PEER_LINK_ERROR_BIND, "cannot bind %s: %s",
                 address, zmq_strerror (zmq_errno ()));
  return bound;
}

/* Creates the sockets of a process. */
jd_peer_link_t *
jd_peer_link_new (const jd_peer_link_options_t *options, GError **error)
{
  jd_peer_link_t *link = g_new0 (jd_peer_link_t, 1);
  link->options = *options;
  g_queue_init (&link->pending);
  link->forgotten = g_ptr_array_new_with_free_func (g_free);
  link->by_address = g_hash_table_new (g_str_hash, g_str_equal);
  link->zmq = zmq_ctx_new ();
  link->poll = jd_event_poll_new ();
  if (!link->zmq || !link->poll)
    g_set_error (error, JD_PEER_LINK_ERROR, JD_PEER_LINK_ERROR_RESOURCES,
                 "cannot create sockets: %s", g_strerror (errno));
  else
    {
      zmq_ctx_set (link->zmq, ZMQ_MAX_SOCKETS, MAX_SOCKETS);
      if (!options->bind_address || bind_router (link, options->bind_address, error))
        return link;
    }
  jd_peer_link_free (link);
  return NULL;
}

/* Closes all connections and drops what they queue. */
void
jd_peer_link_free (jd_peer_link_t *link)
{
  if (!link)
    return;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, link->by_address);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      close_socket (value);
      g_ptr_array_add (link->forgotten, value);
    }
  g_hash_table_destroy (link->by_address);
  if (link->router)
    {
      close_socket (link->router);
      g_ptr_array_add (link->forgotten, link->router);
    }
  g_queue_clear (&link->pending);
  g_ptr_array_unref (link->forgotten);
  jd_event_poll_free (link->poll);
  if (link->zmq)
    zmq_ctx_term (link->zmq);
  g_free (link);
}

/* Returns the DEALER of an address, connecting on first use, or NULL. */
static jd_peer_socket_t *
peer_of_address (jd_peer_link_t *link, const char *address)
{
  jd_peer_socket_t *peer = g_hash_table_lookup (link->by_address, address);
  if (peer || strlen (address) >= sizeof (peer->address))
    return peer;
  peer = open_socket (link, ZMQ_DEALER);
  if (!peer)
    return NULL;
  g_strlcpy (peer->address, address, sizeof (peer->address));
  g_hash_table_insert (link->by_address, peer->address, peer);
  char *endpoint = g_strdup_printf ("tcp://%s", address);
  if (zmq_connect (peer->socket, endpoint) != 0)
    g_warning ("event=connect_failed address=%s errno=%d", address, zmq_errno ());
  g_free (endpoint);
  return peer;
}

/* Encodes a message with the own seat as its sender. Returns NULL when it is too long. */
static void *
encode (const jd_peer_link_t *link, const jd_message_t *message, size_t *length_bytes)
{
  jd_message_t named = *message;
  const char *seat = link->options.seat;
  g_strlcpy (named.sender, seat ? seat : "", sizeof (named.sender));
  void *bytes = jd_wire_encode (&named, length_bytes);
  if (*length_bytes <= (size_t)MAX_MESSAGE_BYTES)
    return bytes;
  g_warning ("event=message_too_long type=%d length_bytes=%zu", (int)message->type,
             *length_bytes);
  g_free (bytes);
  return NULL;
}

/* Hands a message to a socket. The ROUTER needs the identity of the receiver as a first
 * frame; it must be followed by the body, so the body is encoded before. */
static gboolean
send_frames (jd_peer_socket_t *peer, const jd_peer_origin_t *receiver,
             const jd_message_t *message)
{
  size_t length_bytes;
  void *bytes = encode (peer->link, message, &length_bytes);
  gboolean sent = bytes != NULL;
  if (sent && receiver)
    sent = zmq_send (peer->socket, receiver->identity, receiver->identity_bytes,
                     ZMQ_SNDMORE | ZMQ_DONTWAIT) >= 0;
  if (sent)
    sent = zmq_send (peer->socket, bytes, length_bytes, ZMQ_DONTWAIT) >= 0;
  g_free (bytes);
  mark_pending (peer);
  return sent;
}

/* Sends to a peer without waiting. */
gboolean
jd_peer_link_send (jd_peer_link_t *link, const char *address, const jd_message_t *message)
{
  jd_peer_socket_t *peer = peer_of_address (link, address);
  return peer && send_frames (peer, NULL, message);
}

/* Answers over the connection of the sender; refused when that connection is gone. */
gboolean
jd_peer_link_reply (jd_peer_link_t *link, const jd_peer_origin_t *origin,
                    const jd_message_t *message)
{
  if (origin->identity_bytes == 0)
    {
      /* Only an existing DEALER has received something. */
      jd_peer_socket_t *peer = g_hash_table_lookup (link->by_address, origin->address);
      return peer && send_frames (peer, NULL, message);
    }
  return link->router && send_frames (link->router, origin, message);
}

/* Drops the connection to an address. */
void
jd_peer_link_forget (jd_peer_link_t *link, const char *address)
{
  jd_peer_socket_t *peer = g_hash_table_lookup (link->by_address, address);
  if (!peer)
    return;
  g_hash_table_remove (link->by_address, address);
  close_socket (peer);
  g_ptr_array_add (link->forgotten, peer);
}

/* Receives the frames of one message. Returns the number of frames, 0 when there is no
 * message; at most two frames are kept, the caller closes both. */
static int
receive_frames (void *socket, zmq_msg_t frames[2])
{
  int count = 0;
  for (gboolean more = TRUE; more; count++)
    {
      zmq_msg_t frame;
      zmq_msg_init (&frame);
      if (zmq_msg_recv (&frame, socket, ZMQ_DONTWAIT) < 0)
        {
          zmq_msg_close (&frame);
          break;
        }
      more = zmq_msg_more (&frame);
      if (count < 2)
        zmq_msg_move (&frames[count], &frame);
      zmq_msg_close (&frame);
    }
  return count;
}

/* Fills the origin from the frames. Returns the frame of the body, or NULL when the
 * message has not the form that our peers send. */
static zmq_msg_t *
split_frames (const jd_peer_socket_t *peer, zmq_msg_t frames[2], int count,
              jd_peer_origin_t *origin)
{
  *origin = (jd_peer_origin_t){ 0 };
  if (peer != peer->link->router)
    {
      memcpy (origin->address, peer->address, sizeof (origin->address));
      return count == 1 ? &frames[0] : NULL;
    }
  size_t identity_bytes = zmq_msg_size (&frames[0]);
  if (count != 2 || identity_bytes > sizeof (origin->identity))
    return NULL;
  memcpy (origin->identity, zmq_msg_data (&frames[0]), identity_bytes);
  origin->identity_bytes = (uint32_t)identity_bytes;
  return &frames[1];
}

/* Decodes a body and gives it to the receiver. */
static void
deliver (jd_peer_link_t *link, const jd_peer_origin_t *origin, zmq_msg_t *body)
{
  jd_message_t message;
  GError *error = NULL;
  if (!body ||
      !jd_wire_decode (zmq_msg_data (body), zmq_msg_size (body), &message, &error))
    {
      link->dropped++;
      g_debug ("event=message_dropped reason=\"%s\"", error ? error->message : "frames");
      g_clear_error (&error);
      return;
    }
  link->options.on_message (link->options.context, origin, &message);
  jd_message_clear (&message);
}

/* Reads a socket until it is empty or the budget is used. Returns the number of
 * messages; a socket that is not empty stays pending. */
static int
read_socket (jd_peer_socket_t *peer, int budget)
{
  int count = 0;
  while (peer->socket && count < budget)
    {
      zmq_msg_t frames[2];
      zmq_msg_init (&frames[0]);
      zmq_msg_init (&frames[1]);
      int frame_count = receive_frames (peer->socket, frames);
      jd_peer_origin_t origin;
      if (frame_count > 0)
        deliver (peer->link, &origin, split_frames (peer, frames, frame_count, &origin));
      zmq_msg_close (&frames[0]);
      zmq_msg_close (&frames[1]);
      if (frame_count == 0)
        return count;
      count++;
    }
  mark_pending (peer);
  return count;
}

/* Reads all pending sockets within the budget. */
static int
read_pending (jd_peer_link_t *link, int budget)
{
  int count = 0;
  while (count < budget && !g_queue_is_empty (&link->pending))
    {
      jd_peer_socket_t *peer = g_queue_pop_head (&link->pending);
      peer->is_pending = FALSE;
      count += read_socket (peer, budget - count);
    }
  return count;
}

/* Delivers what is there, waits for more only if that was nothing, and delivers again. */
int
jd_peer_link_poll (jd_peer_link_t *link, int timeout_ms)
{
  int count = read_pending (link, MESSAGES_PER_POLL);
  jd_event_poll_wait (link->poll, count > 0 ? 0 : timeout_ms);
  if (count < MESSAGES_PER_POLL)
    count += read_pending (link, MESSAGES_PER_POLL - count);
  for (guint i = 0; i < link->forgotten->len; i++)
    g_queue_remove (&link->pending, g_ptr_array_index (link->forgotten, i));
  g_ptr_array_set_size (link->forgotten, 0);
  return count;
}

/* Wakes the polling thread. */
void
jd_peer_link_wake (jd_peer_link_t *link)
{
  jd_event_poll_wake (link->poll);
}

/* Returns the poll, for other descriptors of the same thread. */
jd_event_poll_t *
jd_peer_link_event_poll (jd_peer_link_t *link)
{
  return link->poll;
}

/* Returns how many messages could not be decoded. */
uint64_t
jd_peer_link_dropped (const jd_peer_link_t *link)
{
  return link->dropped;
}
