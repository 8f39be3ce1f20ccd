#include "support/relay.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdatomic.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/free_port.h"

#define PAIRS_MAX 512

struct jd_relay
{
  uint16_t port;
  uint16_t target_port;
  int listener;
  int sockets[PAIRS_MAX][2]; /* Accepted and connected socket; -1: closed. */
  int pair_count;
  /* The first pairs are silent; -1: the relay thread has to silence all present ones. */
  _Atomic int silent_count;
  _Atomic int blocked_replies_count; /* No replies pass on the first pairs. */
  _Atomic int reset_requested;
  _Atomic int delay_ms; /* Before each forwarding step; 0: none. */
  _Atomic int stopped;
  GThread *thread;
};

/* Accepts one connection and connects to the target for it. Closes both sockets if the
 * target refuses or the relay has PAIRS_MAX pairs. */
static void
accept_pair (jd_relay_t *relay)
{
  int accepted = accept (relay->listener, NULL, NULL);
  int connected = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (relay->target_port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  if (relay->pair_count == PAIRS_MAX ||
      connect (connected, (struct sockaddr *)&address, sizeof (address)) != 0)
    {
      close (accepted);
      close (connected);
      return;
    }
  /* The first slots are silent or pass no replies, so a new connection may not reuse
   * them. */
  int slot = MAX (relay->silent_count, relay->blocked_replies_count);
  slot = MAX (slot, 0);
  while (slot < relay->pair_count && relay->sockets[slot][0] >= 0)
    slot++;
  relay->sockets[slot][0] = accepted;
  relay->sockets[slot][1] = connected;
  relay->pair_count = MAX (relay->pair_count, slot + 1);
}

/* Forwards the bytes received on one side; closes both sides at the end of the stream or
 * if sending fails. */
static void
forward (int sockets[2], int side)
{
  char buffer[65536];
  ssize_t length = recv (sockets[side], buffer, sizeof (buffer), 0);
  if (length > 0 && send (sockets[!side], buffer, (size_t)length, MSG_NOSIGNAL) == length)
    return;
  close (sockets[0]);
  close (sockets[1]);
  sockets[0] = sockets[1] = -1;
}

/* Resets all present connections on both sides. With a linger time of zero, close sends
 * RST. */
static void
reset_pairs (jd_relay_t *relay)
{
  struct linger zero_linger = { .l_onoff = 1 };
  for (int i = 0; i < relay->pair_count; i++)
    {
      for (int side = 0; side < 2; side++)
        {
          if (relay->sockets[i][side] < 0)
            continue;
          setsockopt (relay->sockets[i][side], SOL_SOCKET, SO_LINGER, &zero_linger,
                      sizeof (zero_linger));
          close (relay->sockets[i][side]);
          relay->sockets[i][side] = -1;
        }
    }
  relay->silent_count = 0;
  relay->blocked_replies_count = 0;
  relay->reset_requested = 0;
}

/* Thread function: forwards until the relay is stopped. */
static void *
run_relay (void *context)
{
  jd_relay_t *relay = context;
  while (!relay->stopped)
    {
      struct pollfd fds[1 + 2 * PAIRS_MAX] = { { relay->listener, POLLIN, 0 } };
      int first_forwarded = MAX (relay->silent_count, 0);
      int count = relay->pair_count;
      for (int i = first_forwarded; i < count; i++)
        {
          fds[1 + 2 * i] = (struct pollfd){ relay->sockets[i][0], POLLIN, 0 };
          int reply_fd = i < relay->blocked_replies_count ? -1 : relay->sockets[i][1];
          fds[2 + 2 * i] = (struct pollfd){ reply_fd, POLLIN, 0 };
        }
      for (int i = 0; i < first_forwarded; i++)
        fds[1 + 2 * i].fd = fds[2 + 2 * i].fd = -1;
      poll (fds, 1 + 2 * (nfds_t)count, 5);
      if (relay->delay_ms > 0)
        g_usleep ((gulong)relay->delay_ms * 1000);
      if (relay->reset_requested)
        reset_pairs (relay);
      for (int i = first_forwarded; i < count; i++)
        for (int side = 0; side < 2; side++)
          if (fds[1 + 2 * i + side].revents && relay->sockets[i][side] >= 0)
            forward (relay->sockets[i], side);
      if (fds[0].revents)
        accept_pair (relay);
      if (relay->silent_count < 0)
        relay->silent_count = relay->pair_count;
    }
  return NULL;
}

/* Listens on a free port and starts the relay thread; free with jd_relay_free. */
jd_relay_t *
jd_relay_new (uint16_t target_port)
{
  jd_relay_t *relay = g_new0 (jd_relay_t, 1);
  relay->target_port = target_port;
  relay->listener = jd_test_listen (&relay->port);
  relay->thread = g_thread_new ("relay", run_relay, relay);
  return relay;
}

/* Stops the relay thread, closes all connections and frees the relay. */
void
jd_relay_free (jd_relay_t *relay)
{
  relay->stopped = 1;
  g_thread_join (relay->thread);
  for (int i = 0; i < relay->pair_count; i++)
    for (int side = 0; side < 2; side++)
      if (relay->sockets[i][side] >= 0)
        close (relay->sockets[i][side]);
  close (relay->listener);
  g_free (relay);
}

/* Returns the loopback port on which the relay listens. */
uint16_t
jd_relay_port (const jd_relay_t *relay)
{
  return relay->port;
}

/* Silences all present connections; returns once they are silent. */
void
jd_relay_silence (jd_relay_t *relay)
{
  relay->silent_count = -1;
  while (relay->silent_count < 0)
    g_usleep (1000);
}

/* Stops forwarding replies on all present connections; requests still pass. */
void
jd_relay_block_replies (jd_relay_t *relay)
{
  relay->blocked_replies_count = relay->pair_count;
}

/* Requests a reset of all present connections, silent ones included; the relay thread
 * carries it out. */
void
jd_relay_reset (jd_relay_t *relay)
{
  relay->reset_requested = 1;
}

/* Delays all bytes by at least delay_ms from now on; 0 ends the delay. */
void
jd_relay_set_delay (jd_relay_t *relay, int delay_ms)
{
  relay->delay_ms = delay_ms;
}
