#include "transport/peer_link.h"

#include <string.h>

#include "base/clock.h"
#include "support/free_port.h"
#include "support/relay.h"
#include "support/test_main.h"

/* A peer link and the messages that it received. */
typedef struct endpoint
{
  jd_peer_link_t *link;
  char address[64];
  uint64_t received;       /* Number of messages. */
  uint64_t last_id;        /* Incarnation of the last hello; 0 after another message. */
  gboolean replies;        /* Sends each message back. */
  jd_peer_origin_t origin; /* Sender of the last message. */
} endpoint_t;

/* Records a message and sends it back if the endpoint replies. */
static void
on_message (void *context, const jd_peer_origin_t *origin, jd_message_t *message)
{
  endpoint_t *endpoint = context;
  endpoint->received++;
  endpoint->last_id = message->type == JD_MESSAGE_HELLO ? message->hello.incarnation : 0;
  endpoint->origin = *origin;
  if (endpoint->replies)
    CU_ASSERT (jd_peer_link_reply (endpoint->link, origin, message));
}

/* Opens an endpoint that is bound to a port and replies, or for port 0 an endpoint that
 * is not bound and does not reply. */
static void
open_endpoint (endpoint_t *endpoint, uint16_t port)
{
  *endpoint = (endpoint_t){ .replies = port != 0 };
  g_snprintf (endpoint->address, sizeof (endpoint->address), "127.0.0.1:%u", port);
  const jd_peer_link_options_t options = { .bind_address =
                                               port ? endpoint->address : NULL,
                                           .on_message = on_message,
                                           .context = endpoint };
  GError *error = NULL;
  endpoint->link = jd_peer_link_new (&options, &error);
  if (error)
    g_printerr ("%s\n", error->message);
  CU_ASSERT_PTR_NOT_NULL_FATAL (endpoint->link);
}

/* Sends a hello with an id as its incarnation. */
static gboolean
send_id (endpoint_t *endpoint, const char *address, uint64_t id)
{
  const jd_message_t message = { .type = JD_MESSAGE_HELLO,
                                 .hello = { .member = "s", .incarnation = id } };
  return jd_peer_link_send (endpoint->link, address, &message);
}

/* Polls both endpoints until *value reaches wanted; returns FALSE after 5 s. */
static gboolean
poll_until (endpoint_t *first, endpoint_t *second, const uint64_t *value, uint64_t wanted)
{
  const jd_clock_t clock = jd_clock_system ();
  int64_t deadline_us = jd_clock_now_us (&clock) + 5 * JD_US_PER_S;
  while (*value < wanted && jd_clock_now_us (&clock) < deadline_us)
    {
      jd_peer_link_poll (first->link, 1);
      if (second)
        jd_peer_link_poll (second->link, 1);
    }
  return *value >= wanted;
}

/* Sends until the socket accepts a message; returns FALSE after 2,500 attempts, which
 * take about 5 s. */
static gboolean
send_until_accepted (endpoint_t *first, endpoint_t *second, const char *address,
                     uint64_t id)
{
  for (int i = 0; i < 2500; i++)
    {
      if (send_id (first, address, id))
        return TRUE;
      jd_peer_link_poll (first->link, 1);
      if (second)
        jd_peer_link_poll (second->link, 1);
    }
  return FALSE;
}

/* Guards against a refused message that arrives later: an entry sends a refused message
 * to another broker, so an edit would run twice. Also checks send and reply. */
static void
refused_sends_never_arrive (void)
{
  uint16_t port = jd_test_free_port ();
  endpoint_t entry;
  endpoint_t broker;
  open_endpoint (&entry, 0);
  char address[64];
  g_snprintf (address, sizeof (address), "127.0.0.1:%u", port);
  for (int i = 0; i < 20; i++)
    {
      CU_ASSERT_FALSE (send_id (&entry, address, 1));
      jd_peer_link_poll (entry.link, 5);
    }
  open_endpoint (&broker, port);
  CU_ASSERT (send_until_accepted (&entry, &broker, address, 2));
  CU_ASSERT (poll_until (&entry, &broker, &entry.received, 1));
  CU_ASSERT_EQUAL (broker.received, 1);
  CU_ASSERT_EQUAL (broker.last_id, 2);
  CU_ASSERT_EQUAL (entry.last_id, 2);
  CU_ASSERT_STRING_EQUAL (entry.origin.address, address);
  jd_peer_link_free (entry.link);
  jd_peer_link_free (broker.link);
}

/* Thread function: wakes a link after 50 ms. */
static void *
wake_later (void *context)
{
  g_usleep (50000);
  jd_peer_link_wake (context);
  return NULL;
}

/* Guards against a poll that ignores a wake-up, so that the result of a worker thread is
 * delayed until the next timer. */
static void
wake_up_ends_a_poll (void)
{
  endpoint_t endpoint;
  open_endpoint (&endpoint, 0);
  jd_peer_link_poll (endpoint.link, 0);
  const jd_clock_t clock = jd_clock_system ();
  int64_t start_us = jd_clock_now_us (&clock);
  GThread *thread = g_thread_new ("wake", wake_later, endpoint.link);
  jd_peer_link_poll (endpoint.link, 10000);
  CU_ASSERT (jd_clock_now_us (&clock) - start_us < 5 * JD_US_PER_S);
  g_thread_join (thread);
  jd_peer_link_free (endpoint.link);
}

/* Guards against a peer that stays unreachable after its process was replaced, and
 * against a reply to a closed connection that is reported as sent. */
static void
restarted_peer_is_reached_again (void)
{
  uint16_t port = jd_test_free_port ();
  endpoint_t entry;
  endpoint_t broker;
  open_endpoint (&entry, 0);
  open_endpoint (&broker, port);
  CU_ASSERT (send_until_accepted (&entry, &broker, broker.address, 1));
  CU_ASSERT (poll_until (&entry, &broker, &entry.received, 1));
  jd_peer_origin_t old_origin = broker.origin;
  jd_peer_link_free (broker.link);
  gboolean is_refused = FALSE;
  for (int i = 0; i < 1000 && !is_refused; i++)
    {
      is_refused = !send_id (&entry, broker.address, 2);
      jd_peer_link_poll (entry.link, 1);
    }
  CU_ASSERT (is_refused);
  open_endpoint (&broker, port);
  CU_ASSERT (send_until_accepted (&entry, &broker, broker.address, 3));
  CU_ASSERT (poll_until (&entry, &broker, &entry.received, 2));
  CU_ASSERT_EQUAL (broker.last_id, 3);
  const jd_message_t message = { .type = JD_MESSAGE_HELLO };
  CU_ASSERT_FALSE (jd_peer_link_reply (broker.link, &old_origin, &message));
  /* After a refused reply the ROUTER must still be able to send other replies. */
  uint64_t received_before = entry.received;
  CU_ASSERT (jd_peer_link_reply (broker.link, &broker.origin, &message));
  CU_ASSERT (poll_until (&entry, &broker, &entry.received, received_before + 1));
  jd_peer_link_free (entry.link);
  jd_peer_link_free (broker.link);
}

/* Guards against queued messages that reach a peer after the connection to it was closed,
 * and against an unbounded queue for a peer that does not read. */
static void
disconnect_drops_queued_messages (void)
{
  endpoint_t entry;
  endpoint_t broker;
  open_endpoint (&entry, 0);
  open_endpoint (&broker, jd_test_free_port ());
  broker.replies = FALSE;
  CU_ASSERT (send_until_accepted (&entry, &broker, broker.address, 1));
  CU_ASSERT (poll_until (&entry, &broker, &broker.received, 1));
  char *text = g_strnfill (65536, ' ');
  const jd_message_t push = { .type = JD_MESSAGE_RECORD_PUSH,
                              .record_push = { "keys", text, 65536 } };
  uint64_t accepted_count = 1;
  while (accepted_count < 10000 && jd_peer_link_send (entry.link, broker.address, &push))
    accepted_count++;
  CU_ASSERT (accepted_count < 10000);
  jd_peer_link_disconnect (entry.link, broker.address);
  for (int i = 0; i < 100; i++)
    jd_peer_link_poll (broker.link, 5);
  CU_ASSERT (broker.received < accepted_count);
  CU_ASSERT (send_until_accepted (&entry, &broker, broker.address, 7));
  CU_ASSERT (poll_until (&entry, &broker, &broker.last_id, 7));
  g_free (text);
  jd_peer_link_free (entry.link);
  jd_peer_link_free (broker.link);
}

/* Guards against sending on a silent connection forever while a new one would work: the
 * heartbeat timeout must close the silent connection, and a new one must deliver. */
static void
silent_connection_is_replaced (void)
{
  endpoint_t entry;
  endpoint_t broker;
  uint16_t port = jd_test_free_port ();
  open_endpoint (&entry, 0);
  open_endpoint (&broker, port);
  jd_relay_t *relay = jd_relay_new (port);
  char address[64];
  g_snprintf (address, sizeof (address), "127.0.0.1:%u", jd_relay_port (relay));
  CU_ASSERT (send_until_accepted (&entry, &broker, address, 1));
  CU_ASSERT (poll_until (&entry, &broker, &entry.received, 1));
  jd_relay_silence (relay);
  const jd_clock_t clock = jd_clock_system ();
  int64_t deadline_us = jd_clock_now_us (&clock) + 8 * JD_US_PER_S;
  uint64_t received_before = entry.received;
  while (entry.received == received_before && jd_clock_now_us (&clock) < deadline_us)
    {
      send_id (&entry, address, 2);
      jd_peer_link_poll (entry.link, 10);
      jd_peer_link_poll (broker.link, 10);
    }
  CU_ASSERT (entry.received > received_before);
  jd_peer_link_free (entry.link);
  jd_peer_link_free (broker.link);
  jd_relay_free (relay);
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "refused sends never arrive", refused_sends_never_arrive },
    { "wake-up ends a poll", wake_up_ends_a_poll },
    { "restarted peer is reached again", restarted_peer_is_reached_again },
    { "disconnect drops queued messages", disconnect_drops_queued_messages },
    { "silent connection is replaced", silent_connection_is_replaced },
  };
  return JD_TEST_RUN ("peer_link", cases);
}
