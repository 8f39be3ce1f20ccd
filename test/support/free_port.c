#include "support/free_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

/* Free ports are looked for here, below the range of outgoing connections (32768 and up),
 * which would take them before the tested program listens. The demo uses 17000 and up. */
#define FIRST_PORT 20000
#define PORT_COUNT 12000

/* Returns a listening socket of a loopback port, or -1. */
static int
try_listen (uint16_t *port)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof (on));
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (*port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof (address);
  if (fd < 0 || bind (fd, (struct sockaddr *)&address, size) != 0 ||
      listen (fd, 128) != 0 || getsockname (fd, (struct sockaddr *)&address, &size) != 0)
    {
      close (fd);
      return -1;
    }
  *port = ntohs (address.sin_port);
  return fd;
}

/* Opens a listening socket; ends the test program when the system refuses. */
int
jd_test_listen (uint16_t *port)
{
  int fd = try_listen (port);
  if (fd < 0)
    abort ();
  return fd;
}

/* Finds a port by listening on it for a moment. Programs start at different places, and
 * one program gets no port twice; the test program ends when none is free. */
uint16_t
jd_test_free_port (void)
{
  static uint32_t next;
  if (next == 0)
    next = (uint32_t)getpid () * 37U;
  for (uint32_t tries = 0; tries < PORT_COUNT; tries++)
    {
      uint16_t port = (uint16_t)(FIRST_PORT + next++ % PORT_COUNT);
      int fd = try_listen (&port);
      if (fd < 0)
        continue;
      close (fd);
      return port;
    }
  abort ();
}
