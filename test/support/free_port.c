#include "support/free_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

/* Range of the ports that are handed out. It lies below the range of outgoing connections
 * (32768 and up), which could occupy a port before the tested program listens on it, and
 * above the ports of the demo (17000 and up). */
#define FIRST_PORT 20000
#define PORT_COUNT 12000

/* Listens on the loopback port *port (0: any) and sets it to the bound one. Returns the
 * socket, or -1 if the port cannot be used. */
static int
try_listen (uint16_t *port)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int enabled = 1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof (enabled));
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

/* Aborts the test program if the port cannot be used. The caller closes the socket. */
int
jd_test_listen (uint16_t *port)
{
  int fd = try_listen (port);
  if (fd < 0)
    abort ();
  return fd;
}

/* Tests whether a port is free by listening on it briefly. The search starts at an offset
 * that depends on the process id, and continues after the last returned port, so that
 * programs that run at the same time rarely get the same port, and one program gets a
 * port again only after PORT_COUNT others. Aborts the test program if no port is free. */
uint16_t
jd_test_free_port (void)
{
  static uint32_t next_offset;
  if (next_offset == 0)
    next_offset = (uint32_t)getpid () * 37U;
  for (uint32_t attempts = 0; attempts < PORT_COUNT; attempts++)
    {
      uint16_t port = (uint16_t)(FIRST_PORT + next_offset++ % PORT_COUNT);
      int fd = try_listen (&port);
      if (fd < 0)
        continue;
      close (fd);
      return port;
    }
  abort ();
}
