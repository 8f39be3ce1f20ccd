#include "transport/peer_link.h"

#include <string.h>

#include "base/clock.h"
#include "support/free_port.h"
#include "support/relay.h"
#include "support/test_main.h"

/* One end of a test: a link, what it received, and the last sender. */
typedef struct end
{
  jd_peer_link_t *link;
  char address[64];
  uint64_t received;
  uint64_t last_id;
  gboolean replies;
  jd_peer_origin_t origin;
} end_t;

/* Receives a hello; answers it with an equal one when asked to. */
static void
on_message (void *context, const jd_peer_origin_t *origin, jd_message_t *message)
{
  end_t *end = context;
  end->received++;
  end->last_id = message->type == JD_MESSAGE_HELLO ? message->hello.incarnation : 0;
  end->origin = *origin;
  if (end->replies)
    CU_ASSERT (jd_peer_link_reply (end->link, origin, message));
}

/* Opens an end that is bound to a port, or to nothing for port 0. */
static void
open_end (end_t *end, uint16_t port)
{
  *end = (end_t){ .replies = port != 0 };
  g_snprintf (end->address, sizeof (end->address), "127.0.0.1:%u", port);
  const jd_peer_link_options_t options = { .bind_address = port ? end->address : NULL,
                                           .on_message = on_message,
                                           .context = end };
  GError *error = NULL;
  end->link = jd_peer_link_new (&options, &error);
  if (error)
    g_printerr ("%s\n", error->message);
  CU_ASSERT_PTR_NOT_NULL_FATAL (end->link);
}

/* Sends a hello with a number. */
static gboolean
send_id (end_t *end, const char *address, uint64_t id)
{
  const jd_message_t message = { .type = JD_MESSAGE_HELLO,
                                 .hello = { .seat = "s", .incarnation = id } };
  return jd_peer_link_send (end->link, address, &message);
}

/* Polls both ends until a value is reached or 5 s are over. */
static gboolean
poll_until (end_t *a, end_t *b, const uint64_t *value, uint64_t wanted)
{
  const jd_clock_t clock = jd_clock_system ();
  int64_t end_us = jd_clock_now_us (&clock) + 5 * JD_US_PER_S;
  while (*value < wanted && jd_clock_now_us (&clock) < end_us)
    {
      jd_peer_link_poll (a->link, 1);
      if (b)
        jd_peer_link_poll (b->link, 1);
    }
  return *value >= wanted;
}

/* Sends until the socket takes a message; TRUE within 5 s. */
static gboolean
send_until_taken (end_t *a, end_t *b, const char *address, uint64_t id)
{
  for (int i = 0; i < 2500; i++)
    {
      if (send_id (a, address, id))
        return TRUE;
      jd_peer_link_poll (a->link, 1);
      if (b)
        jd_peer_link_poll (b->link, 1);
    }
  return FALSE;
}

/* Guards against a refused send that arrives later: an entry retries it elsewhere, so
 * an edit would run twice. Also checks send and reply. */
static void
refused_sends_never_arrive (void)
{
  uint16_t port = jd_test_free_port ();
  end_t entry;
  end_t broker;
  open_end (&entry, 0);
  char address[64];
  g_snprintf (address, sizeof (address), "127.0.0.1:%u", port);
  for (int i = 0; i < 20; i++)
    {
      CU_ASSERT_FALSE (send_id (&entry, address, 1));
      jd_peer_link_poll (entry.link, 5);
    }
  open_end (&broker, port);
  CU_ASSERT (send_until_taken (&entry, &broker, address, 2));
  CU_ASSERT (poll_until (&entry, &broker, &entry.received, 1));
  CU_ASSERT_EQUAL (broker.received, 1);
  CU_ASSERT_EQUAL (broker.last_id, 2);
  CU_ASSERT_EQUAL (entry.last_id, 2);
  CU_ASSERT_STRING_EQUAL (entry.origin.address, address);
  jd_peer_link_free (entry.link);
  jd_peer_link_free (broker.link);
}

/* Thread that wakes a link after 50 ms. */
static void *
wake_later (void *context)
{
  g_usleep (50000);
  jd_peer_link_wake (context);
  return NULL;
}

/* Guards against a worker thread whose result waits for the next timer. */
static void
wake_ends_a_poll (void)
{
  end_t end;
  open_end (&end, 0);
  jd_peer_link_poll (end.link, 0);
  const jd_clock_t clock = jd_clock_system ();
  int64_t start_us = jd_clock_now_us (&clock);
  GThread *thread = g_thread_new ("wake", wake_later, end.link);
  jd_peer_link_poll (end.link, 10000);
  CU_ASSERT (jd_clock_now_us (&clock) - start_us < 5 * JD_US_PER_S);
  g_thread_join (thread);
  jd_peer_link_free (end.link);
}

/* Guards against a peer that stays unreachable after its process was replaced, and
 * against a reply to the replaced one that is reported as sent. */
static void
restarted_peer_is_reached_again (void)
{
  uint16_t port = jd_test_free_port ();
  end_t entry;
  end_t broker;
  open_end (&entry, 0);
  open_end (&broker, port);
  CU_ASSERT (send_until_taken (&entry, &broker, broker.address, 1));
  CU_ASSERT (poll_until (&entry, &broker, &entry.received, 1));
  jd_peer_origin_t old_origin = broker.origin;
  jd_peer_link_free (broker.link);
  gboolean refused = FALSE;
  for (int i = 0; i < 1000 && !refused; i++)
    {
      refused = !send_id (&entry, broker.address, 2);
      jd_peer_link_poll (entry.link, 1);
    }
  CU_ASSERT (refused);
  open_end (&broker, port);
  CU_ASSERT (send_until_taken (&entry, &broker, broker.address, 3));
  CU_ASSERT (poll_until (&entry, &broker, &entry.received, 2));
  CU_ASSERT_EQUAL (broker.last_id, 3);
  const jd_message_t message = { .type = JD_MESSAGE_HELLO };
  CU_ASSERT_FALSE (jd_peer_link_reply (broker.link, &old_origin, &message));
  /* A refused reply must leave the ROUTER able to send others. */
  uint64_t before = entry.received;
  CU_ASSERT (jd_peer_link_reply (broker.link, &broker.origin, &message));
  CU_ASSERT (poll_until (&entry, &broker, &entry.received, before + 1));
  jd_peer_link_free (entry.link);
  jd_peer_link_free (broker.link);
}

/* Guards against queued work that reaches a peer after it was given up, and against an
 * unbounded queue for a peer that reads nothing. */
static void
forget_drops_queued_messages (void)
{
  end_t entry;
  end_t broker;
  open_end (&entry, 0);
  open_end (&broker, jd_test_free_port ());
  broker.replies = FALSE;
  CU_ASSERT (send_until_taken (&entry, &broker, broker.address, 1));
  CU_ASSERT (poll_until (&entry, &broker, &broker.received, 1));
  char *text = g_strnfill (65536, ' ');
  const jd_message_t push = { .type = JD_MESSAGE_RECORD_PUSH,
                              .record_push = { "keys", text, 65536 } };
  uint64_t taken = 1;
  while (taken < 10000 && jd_peer_link_send (entry.link, broker.address, &push))
    taken++;
  CU_ASSERT (taken < 10000);
  jd_peer_link_forget (entry.link, broker.address);
  for (int i = 0; i < 100; i++)
    jd_peer_link_poll (broker.link, 5);
  CU_ASSERT (broker.received < taken);
  CU_ASSERT (send_until_taken (&entry, &broker, broker.address, 7));
  CU_ASSERT (poll_until (&entry, &broker, &broker.last_id, 7));
  g_free (text);
  jd_peer_link_free (entry.link);
  jd_peer_link_free (broker.link);
}

/* Guards against work that goes into a silent connection for good while a new one would
 * work: after the heartbeat time-out sends are refused, then a new connection serves. */
static void
silent_connection_is_replaced (void)
{
  end_t entry;
  end_t broker;
  uint16_t port = jd_test_free_port ();
  open_end (&entry, 0);
  open_end (&broker, port);
  jd_relay_t *relay = jd_relay_new (port);
  char address[64];
  g_snprintf (address, sizeof (address), "127.0.0.1:%u", jd_relay_port (relay));
  CU_ASSERT (send_until_taken (&entry, &broker, address, 1));
  CU_ASSERT (poll_until (&entry, &broker, &entry.received, 1));
  jd_relay_silence (relay);
  const jd_clock_t clock = jd_clock_system ();
  int64_t end_us = jd_clock_now_us (&clock) + 8 * JD_US_PER_S;
  uint64_t before = entry.received;
  while (entry.received == before && jd_clock_now_us (&clock) < end_us)
    {
      send_id (&entry, address, 2);
      jd_peer_link_poll (entry.link, 10);
      jd_peer_link_poll (broker.link, 10);
    }
  CU_ASSERT (entry.received > before);
  jd_peer_link_free (entry.link);
  jd_peer_link_free (broker.link);
  jd_relay_free (relay);
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "refused sends never arrive", refused_sends_never_arrive },
    { "wake ends a poll", wake_ends_a_poll },
    { "restarted peer is reached again", restarted_peer_is_reached_again },
    { "forget drops queued messages", forget_drops_queued_messages },
    { "silent connection is replaced", silent_connection_is_replaced },
  };
  return JD_TEST_RUN ("peer_link", cases);
}
