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
  uint8_t identity[64]; /* ROUTER identity; length 0 for a reply on our DEALER. */
  uint32_t identity_bytes;
  char address[64]; /* Peer address of our DEALER, else empty. */
} jd_peer_origin_t;

typedef void (*jd_peer_receive_t) (void *context, const jd_peer_origin_t *origin,
                                   jd_message_t *message);

typedef struct jd_peer_link_options
{
  const char *seat;             /* Sender of all messages; NULL: none is named. */
  const char *bind_address;     /* "IP:port"; NULL to bind nothing. */
  jd_peer_receive_t on_message; /* May take the content and leave the message empty. */
  void *context;
} jd_peer_link_options_t;

jd_peer_link_t *jd_peer_link_new (const jd_peer_link_options_t *options, GError **error);
void jd_peer_link_free (jd_peer_link_t *link);

/* Sends to the ROUTER at an address, connecting on first use. Returns FALSE when nothing
 * was handed to the socket (no connection or queue full); the message is then certain
 * not to arrive. */
gboolean jd_peer_link_send (jd_peer_link_t *link, const char *address,
                            const jd_message_t *message);
/* Answers the sender of a received message, with the same promise. */
gboolean jd_peer_link_reply (jd_peer_link_t *link, const jd_peer_origin_t *origin,
                             const jd_message_t *message);
/* Closes the connection to an address and drops what it still queues. */
void jd_peer_link_forget (jd_peer_link_t *link, const char *address);

/* Waits up to timeout_ms for messages or a wake-up and delivers those that are there, up
 * to a bound; the next call then returns at once. Returns the number delivered. */
int jd_peer_link_poll (jd_peer_link_t *link, int timeout_ms);
/* Makes a poll in another thread return early. */
void jd_peer_link_wake (jd_peer_link_t *link);
/* Other descriptors watched here are served by jd_peer_link_poll on the same thread. */
jd_event_poll_t *jd_peer_link_event_poll (jd_peer_link_t *link);
/* Number of messages dropped because they could not be decoded. */
uint64_t jd_peer_link_dropped (const jd_peer_link_t *link);
