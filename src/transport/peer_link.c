#include "transport/peer_link.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <zmq.h>

/* Bounds the messages that one poll delivers, so that the caller's timers and other
 * sockets are served under overload, too. */
#define MAX_MESSAGES_PER_POLL 128
/* An edit has a body of up to 16 MB. A receiver closes the connection on a message above
 * this limit, which would abort all other work on it, so the sender rejects it first. */
#define MAX_MESSAGE_BYTES (INT64_C (64) * 1024 * 1024)
#define MAX_QUEUED_MESSAGES 1000
/* 1,200 nodes with two processes each, plus spare sockets for replaced addresses. */
#define MAX_ZMQ_SOCKETS 4096
/* A silent connection is closed within one interval plus one time-out. */
#define HEARTBEAT_INTERVAL_MS 500
#define HEARTBEAT_TIMEOUT_MS 1000
#define HANDSHAKE_TIMEOUT_MS 1000
#define RECONNECT_MIN_MS 20
#define RECONNECT_MAX_MS 500

/* One ZeroMQ socket: the bound ROUTER, or the DEALER of one peer address. */
typedef struct jd_peer_socket
{
  jd_peer_link_t *link;
  void *socket;        /* NULL after it is closed. */
  char address[64];    /* Empty for the ROUTER. */
  gboolean is_pending; /* Is in jd_peer_link.pending. */
  jd_event_watch_t *watch;
} jd_peer_socket_t;

struct jd_peer_link
{
  jd_peer_link_options_t options;
  void *zmq;
  jd_event_poll_t *poll;
  jd_peer_socket_t *router;
  GHashTable *by_address; /* address -> jd_peer_socket_t */
  /* Sockets that may have messages. The descriptor of a ZeroMQ socket is edge-triggered:
   * it signals only events that no call on the socket has processed yet, and a send
   * processes them, too. So each socket is read after a send, before the thread waits. */
  GQueue pending;
  GPtrArray *closed_sockets; /* Freed at the end of jd_peer_link_poll. */
  uint64_t dropped;
};

/* Error domain of jd_peer_link_new. */
GQuark
jd_peer_link_error_quark (void)
{
  return g_quark_from_static_string ("jd-peer-link-error-quark");
}

/* Queues an open socket to be read before the next wait. */
static void
mark_pending (jd_peer_socket_t *peer)
{
  if (peer->is_pending || !peer->socket)
    return;
  peer->is_pending = TRUE;
  g_queue_push_tail (&peer->link->pending, peer);
}

/* Ready callback of the descriptor of a ZeroMQ socket. */
static void
on_socket_ready (void *context, uint32_t events)
{
  mark_pending (context);
}

/* Sets an integer option; a failure is only logged. */
static void
set_option (void *socket, int option, int value)
{
  if (zmq_setsockopt (socket, option, &value, sizeof (value)) != 0)
    g_warning ("event=socket_option_failed option=%d errno=%d", option, zmq_errno ());
}

/* Sets the options that ROUTER and DEALER sockets share. */
static void
set_common_options (void *socket)
{
  set_option (socket, ZMQ_LINGER, 0);
  set_option (socket, ZMQ_SNDHWM, MAX_QUEUED_MESSAGES);
  set_option (socket, ZMQ_RCVHWM, MAX_QUEUED_MESSAGES);
  set_option (socket, ZMQ_HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS);
  set_option (socket, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
  set_option (socket, ZMQ_HEARTBEAT_TTL, HEARTBEAT_INTERVAL_MS + HEARTBEAT_TIMEOUT_MS);
  set_option (socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS);
  set_option (socket, ZMQ_CONNECT_TIMEOUT, HANDSHAKE_TIMEOUT_MS);
  set_option (socket, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS);
  set_option (socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
  int64_t max_bytes = MAX_MESSAGE_BYTES;
  zmq_setsockopt (socket, ZMQ_MAXMSGSIZE, &max_bytes, sizeof (max_bytes));
}

/* Closes the ZeroMQ socket without lingering; the caller frees the structure later. */
static void
close_socket (jd_peer_socket_t *peer)
{
  if (!peer->socket)
    return;
  jd_event_poll_remove (peer->link->poll, peer->watch);
  zmq_close (peer->socket);
  peer->socket = NULL;
}

/* Creates a ZMQ_ROUTER or ZMQ_DEALER socket and watches its descriptor. Returns NULL on
 * failure. */
static jd_peer_socket_t *
open_socket (jd_peer_link_t *link, int type)
{
  void *socket = zmq_socket (link->zmq, type);
  if (!socket)
    return NULL;
  jd_peer_socket_t *peer = g_new0 (jd_peer_socket_t, 1);
  *peer = (jd_peer_socket_t){ .link = link, .socket = socket };
  set_common_options (socket);
  /* With ZMQ_IMMEDIATE a DEALER queues no message without an established connection and
   * drops its queue when the connection breaks. With ZMQ_ROUTER_MANDATORY a send to an
   * unknown identity fails instead of being dropped. */
  set_option (socket, type == ZMQ_ROUTER ? ZMQ_ROUTER_MANDATORY : ZMQ_IMMEDIATE, 1);
  int fd = -1;
  size_t size = sizeof (fd);
  zmq_getsockopt (socket, ZMQ_FD, &fd, &size);
  peer->watch = jd_event_poll_add (link->poll, fd, EPOLLIN, on_socket_ready, peer);
  mark_pending (peer);
  return peer;
}

/* Creates the ROUTER and binds it to "IP:port". */
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

/* Copies the options; the string options->member must outlive the link. */
jd_peer_link_t *
jd_peer_link_new (const jd_peer_link_options_t *options, GError **error)
{
  jd_peer_link_t *link = g_new0 (jd_peer_link_t, 1);
  link->options = *options;
  g_queue_init (&link->pending);
  link->closed_sockets = g_ptr_array_new_with_free_func (g_free);
  link->by_address = g_hash_table_new (g_str_hash, g_str_equal);
  link->zmq = zmq_ctx_new ();
  link->poll = jd_event_poll_new ();
  if (!link->zmq || !link->poll)
    g_set_error (error, JD_PEER_LINK_ERROR, JD_PEER_LINK_ERROR_RESOURCES,
                 "cannot create sockets: %s", g_strerror (errno));
  else
    {
      zmq_ctx_set (link->zmq, ZMQ_MAX_SOCKETS, MAX_ZMQ_SOCKETS);
      if (!options->bind_address || bind_router (link, options->bind_address, error))
        return link;
    }
  jd_peer_link_free (link);
  return NULL;
}

/* Closes all connections and drops their queued messages. */
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
      g_ptr_array_add (link->closed_sockets, value);
    }
  g_hash_table_destroy (link->by_address);
  if (link->router)
    {
      close_socket (link->router);
      g_ptr_array_add (link->closed_sockets, link->router);
    }
  g_queue_clear (&link->pending);
  g_ptr_array_unref (link->closed_sockets);
  jd_event_poll_free (link->poll);
  if (link->zmq)
    zmq_ctx_term (link->zmq);
  g_free (link);
}

/* Returns the DEALER of an address and connects it on first use. Returns NULL if the
 * address is too long or no socket can be created. */
static jd_peer_socket_t *
get_dealer (jd_peer_link_t *link, const char *address)
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

/* Encodes a message with this process's member name as its sender; free with g_free.
 * Returns NULL if the message exceeds MAX_MESSAGE_BYTES. */
static void *
encode_message (const jd_peer_link_t *link, const jd_message_t *message,
                size_t *length_bytes)
{
  jd_message_t outgoing = *message;
  const char *sender = link->options.member;
  g_strlcpy (outgoing.sender, sender ? sender : "", sizeof (outgoing.sender));
  void *bytes = jd_wire_encode (&outgoing, length_bytes);
  if (*length_bytes <= (size_t)MAX_MESSAGE_BYTES)
    return bytes;
  g_warning ("event=message_too_long type=%d length_bytes=%zu", (int)message->type,
             *length_bytes);
  g_free (bytes);
  return NULL;
}

/* Sends a message on a socket without blocking; returns FALSE if the socket did not
 * accept it. A ROUTER expects the identity of the receiver as the first frame. The body
 * must follow that frame, so the body is encoded first. */
static gboolean
send_frames (jd_peer_socket_t *peer, const jd_peer_origin_t *receiver,
             const jd_message_t *message)
{
  size_t length_bytes;
  void *bytes = encode_message (peer->link, message, &length_bytes);
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

/* Returns FALSE also if no socket can be created for the address. */
gboolean
jd_peer_link_send (jd_peer_link_t *link, const char *address, const jd_message_t *message)
{
  jd_peer_socket_t *peer = get_dealer (link, address);
  return peer && send_frames (peer, NULL, message);
}

/* Replies over the connection that the message came from; returns FALSE if that
 * connection is closed. */
gboolean
jd_peer_link_reply (jd_peer_link_t *link, const jd_peer_origin_t *origin,
                    const jd_message_t *message)
{
  if (origin->identity_bytes == 0)
    {
      /* A DEALER received the message; the reply must not open a new one. */
      jd_peer_socket_t *peer = g_hash_table_lookup (link->by_address, origin->address);
      return peer && send_frames (peer, NULL, message);
    }
  return link->router && send_frames (link->router, origin, message);
}

/* Closes the socket to an address. Its structure is freed by the next jd_peer_link_poll,
 * so this may be called inside on_message. */
void
jd_peer_link_disconnect (jd_peer_link_t *link, const char *address)
{
  jd_peer_socket_t *peer = g_hash_table_lookup (link->by_address, address);
  if (!peer)
    return;
  g_hash_table_remove (link->by_address, address);
  close_socket (peer);
  g_ptr_array_add (link->closed_sockets, peer);
}

/* Receives the frames of one message without blocking. Returns the number of frames, 0 if
 * there is no message. Keeps the first two frames; the caller closes both. */
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

/* Fills the origin from the frames. Returns the frame of the body, or NULL if the number
 * of frames or the length of the identity is invalid. */
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

/* Decodes a body and passes the message to on_message. Counts and drops the message if
 * the body is NULL or malformed. */
static void
deliver (jd_peer_link_t *link, const jd_peer_origin_t *origin, zmq_msg_t *body)
{
  jd_message_t message;
  GError *error = NULL;
  if (!body ||
      !jd_wire_decode (zmq_msg_data (body), zmq_msg_size (body), &message, &error))
    {
      link->dropped++;
      g_debug ("event=message_dropped reason=\"%s\"",
               error ? error->message : "invalid frames");
      g_clear_error (&error);
      return;
    }
  link->options.on_message (link->options.context, origin, &message);
  jd_message_clear (&message);
}

/* Reads up to max_messages from a socket. Returns the number of messages read; the socket
 * stays pending if it may have more. */
static int
read_socket (jd_peer_socket_t *peer, int max_messages)
{
  int count = 0;
  while (peer->socket && count < max_messages)
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

/* Reads up to max_messages from the pending sockets; returns the number read. */
static int
read_pending (jd_peer_link_t *link, int max_messages)
{
  int count = 0;
  while (count < max_messages && !g_queue_is_empty (&link->pending))
    {
      jd_peer_socket_t *peer = g_queue_pop_head (&link->pending);
      peer->is_pending = FALSE;
      count += read_socket (peer, max_messages - count);
    }
  return count;
}

/* Delivers the messages of pending sockets, waits for more only if there were none, and
 * delivers again. */
int
jd_peer_link_poll (jd_peer_link_t *link, int timeout_ms)
{
  int count = read_pending (link, MAX_MESSAGES_PER_POLL);
  jd_event_poll_wait (link->poll, count > 0 ? 0 : timeout_ms);
  if (count < MAX_MESSAGES_PER_POLL)
    count += read_pending (link, MAX_MESSAGES_PER_POLL - count);
  for (guint i = 0; i < link->closed_sockets->len; i++)
    g_queue_remove (&link->pending, g_ptr_array_index (link->closed_sockets, i));
  g_ptr_array_set_size (link->closed_sockets, 0);
  return count;
}

/* Ends the wait of jd_peer_link_poll. May be called from any thread. */
void
jd_peer_link_wake (jd_peer_link_t *link)
{
  jd_event_poll_wake (link->poll);
}

/* Returns the event poll of the link, which keeps ownership. */
jd_event_poll_t *
jd_peer_link_event_poll (jd_peer_link_t *link)
{
  return link->poll;
}

/* Counts messages with an invalid number of frames, too. */
uint64_t
jd_peer_link_dropped (const jd_peer_link_t *link)
{
  return link->dropped;
}
