#include "support/relay.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdatomic.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/free_port.h"

#define MAX_PAIRS 512

struct jd_relay
{
  uint16_t port;
  uint16_t target_port;
  int listener;
  int ends[MAX_PAIRS][2]; /* Accepted and connected side; -1 when closed. */
  int pair_count;
  _Atomic int silent_count;  /* The first pairs are silent. */
  _Atomic int one_way_count; /* Nothing passes back to the caller on the first pairs. */
  _Atomic int reset_wanted;
  _Atomic int delay_ms; /* Of all bytes. */
  _Atomic int stopped;
  GThread *thread;
};

/* Accepts one connection and connects its other side. */
static void
accept_pair (jd_relay_t *relay)
{
  int accepted = accept (relay->listener, NULL, NULL);
  int connected = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (relay->target_port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  if (relay->pair_count == MAX_PAIRS ||
      connect (connected, (struct sockaddr *)&address, sizeof (address)) != 0)
    {
      close (accepted);
      close (connected);
      return;
    }
  /* A new connection may not take the place of one that is silent or cut one way. */
  int place = MAX (relay->silent_count, relay->one_way_count);
  place = MAX (place, 0);
  while (place < relay->pair_count && relay->ends[place][0] >= 0)
    place++;
  relay->ends[place][0] = accepted;
  relay->ends[place][1] = connected;
  relay->pair_count = MAX (relay->pair_count, place + 1);
}

/* Moves bytes of one side to the other; closes both at the end. */
static void
forward (int ends[2], int side)
{
  char buffer[65536];
  ssize_t length = recv (ends[side], buffer, sizeof (buffer), 0);
  if (length > 0 && send (ends[!side], buffer, (size_t)length, MSG_NOSIGNAL) == length)
    return;
  close (ends[0]);
  close (ends[1]);
  ends[0] = ends[1] = -1;
}

/* Resets all present connections on both sides. */
static void
reset_pairs (jd_relay_t *relay)
{
  struct linger at_once = { .l_onoff = 1 };
  for (int i = 0; i < relay->pair_count; i++)
    {
      for (int side = 0; side < 2; side++)
        {
          if (relay->ends[i][side] < 0)
            continue;
          setsockopt (relay->ends[i][side], SOL_SOCKET, SO_LINGER, &at_once,
                      sizeof (at_once));
          close (relay->ends[i][side]);
          relay->ends[i][side] = -1;
        }
    }
  relay->silent_count = 0;
  relay->one_way_count = 0;
  relay->reset_wanted = 0;
}

/* Forwards until stopped. */
static void *
run (void *context)
{
  jd_relay_t *relay = context;
  while (!relay->stopped)
    {
      struct pollfd fds[1 + 2 * MAX_PAIRS] = { { relay->listener, POLLIN, 0 } };
      int first = MAX (relay->silent_count, 0);
      int count = relay->pair_count;
      for (int i = first; i < count; i++)
        {
          fds[1 + 2 * i] = (struct pollfd){ relay->ends[i][0], POLLIN, 0 };
          int answering = i < relay->one_way_count ? -1 : relay->ends[i][1];
          fds[2 + 2 * i] = (struct pollfd){ answering, POLLIN, 0 };
        }
      for (int i = 0; i < first; i++)
        fds[1 + 2 * i].fd = fds[2 + 2 * i].fd = -1;
      poll (fds, 1 + 2 * (nfds_t)count, 5);
      if (relay->delay_ms > 0)
        g_usleep ((gulong)relay->delay_ms * 1000);
      if (relay->reset_wanted)
        reset_pairs (relay);
      for (int i = first; i < count; i++)
        for (int side = 0; side < 2; side++)
          if (fds[1 + 2 * i + side].revents && relay->ends[i][side] >= 0)
            forward (relay->ends[i], side);
      if (fds[0].revents)
        accept_pair (relay);
      if (relay->silent_count < 0)
        relay->silent_count = relay->pair_count;
    }
  return NULL;
}

/* Starts a relay thread. */
jd_relay_t *
jd_relay_new (uint16_t target_port)
{
  jd_relay_t *relay = g_new0 (jd_relay_t, 1);
  relay->target_port = target_port;
  relay->listener = jd_test_listen (&relay->port);
  relay->thread = g_thread_new ("relay", run, relay);
  return relay;
}

/* Stops the thread and closes all connections. */
void
jd_relay_free (jd_relay_t *relay)
{
  relay->stopped = 1;
  g_thread_join (relay->thread);
  for (int i = 0; i < relay->pair_count; i++)
    for (int side = 0; side < 2; side++)
      if (relay->ends[i][side] >= 0)
        close (relay->ends[i][side]);
  close (relay->listener);
  g_free (relay);
}

/* Returns the port to connect to. */
uint16_t
jd_relay_port (const jd_relay_t *relay)
{
  return relay->port;
}

/* Silences what is connected now; returns when this holds. */
void
jd_relay_silence (jd_relay_t *relay)
{
  relay->silent_count = -1;
  while (relay->silent_count < 0)
    g_usleep (1000);
}

/* Cuts what is connected now in one direction: nothing comes back to the caller. */
void
jd_relay_cut_one_way (jd_relay_t *relay)
{
  relay->one_way_count = relay->pair_count;
}

/* Resets what is connected now. */
void
jd_relay_reset (jd_relay_t *relay)
{
  relay->reset_wanted = 1;
}

/* Delays all bytes from now on; 0 ends the delay. */
void
jd_relay_delay (jd_relay_t *relay, int delay_ms)
{
  relay->delay_ms = delay_ms;
}
