#include "support/free_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

/* Opens a listening socket; ends the test program when the system refuses. */
int
jd_test_listen (uint16_t *port)
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
    abort ();
  *port = ntohs (address.sin_port);
  return fd;
}

/* Finds a port by binding port 0 and closing the socket again. */
uint16_t
jd_test_free_port (void)
{
  uint16_t port = 0;
  close (jd_test_listen (&port));
  return port;
}
