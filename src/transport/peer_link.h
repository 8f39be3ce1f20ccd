#pragma once

#include <glib.h>
#include <stdint.h>

#include "transport/event_poll.h"
#include "transport/wire.h"

#define JD_PEER_LINK_ERROR (jd_peer_link_error_quark ())
GQuark jd_peer_link_error_quark (void);

typedef enum jd_peer_link_error
{
  JD_PEER_LINK_ERROR_BIND,
  JD_PEER_LINK_ERROR_RESOURCES,
} jd_peer_link_error_t;

/* The ZeroMQ sockets of one process: one bound ROUTER and one DEALER per peer address.
 * Used from one thread only; jd_peer_link_wake may be called from any. */
typedef struct jd_peer_link jd_peer_link_t;

/* Sender of a received message. A reply goes back over the same connection. */
typedef struct jd_peer_origin
{
  uint8_t identity[64]; /* ROUTER identity; unused if a DEALER received the message. */
  uint32_t identity_bytes;
  char address[64]; /* Peer address of that DEALER; empty if the ROUTER did. */
} jd_peer_origin_t;

typedef void (*jd_peer_receive_t) (void *context, const jd_peer_origin_t *origin,
                                   jd_message_t *message);

typedef struct jd_peer_link_options
{
  const char *member;       /* Member name sent as the sender; NULL for an empty name. */
  const char *bind_address; /* "IP:port"; NULL for no ROUTER. */
  jd_peer_receive_t on_message; /* May move the content out and zero the message. */
  void *context;
} jd_peer_link_options_t;

jd_peer_link_t *jd_peer_link_new (const jd_peer_link_options_t *options, GError **error);
void jd_peer_link_free (jd_peer_link_t *link);

/* Sends to the ROUTER at an address and connects on first use. Never blocks. Returns
 * FALSE if the socket did not accept the message (no connection, queue full or message
 * too long); the message then never arrives, so the caller may send it elsewhere. */
gboolean jd_peer_link_send (jd_peer_link_t *link, const char *address,
                            const jd_message_t *message);
/* Replies to the sender of a received message; FALSE means the same as for
 * jd_peer_link_send. */
gboolean jd_peer_link_reply (jd_peer_link_t *link, const jd_peer_origin_t *origin,
                             const jd_message_t *message);
/* Closes the connection to an address and drops its queued messages. */
void jd_peer_link_disconnect (jd_peer_link_t *link, const char *address);

/* Waits up to timeout_ms for messages or a wake-up and delivers the received messages, up
 * to a bound. If messages are left, the next call does not wait. Returns the number of
 * messages read. */
int jd_peer_link_poll (jd_peer_link_t *link, int timeout_ms);
/* Makes jd_peer_link_poll in another thread return early. */
void jd_peer_link_wake (jd_peer_link_t *link);
/* Returns the event poll that jd_peer_link_poll waits on, for other descriptors of the
 * same thread. The link keeps ownership. */
jd_event_poll_t *jd_peer_link_event_poll (jd_peer_link_t *link);
/* Returns the number of messages that were dropped because decoding failed. */
uint64_t jd_peer_link_dropped (const jd_peer_link_t *link);
