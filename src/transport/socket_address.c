#include "transport/socket_address.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "config/settings.h"

/* Parses "IP:port" with a numeric IPv4 address. Returns FALSE, possibly with address
 * changed, if the text is anything else. */
bool
jd_socket_parse_address (const char *text, struct sockaddr_in *address)
{
  if (!jd_settings_is_address (text))
    return false;
  const char *colon = strrchr (text, ':');
  char ip[INET_ADDRSTRLEN];
  g_strlcpy (ip, text, MIN (sizeof (ip), (size_t)(colon - text) + 1));
  *address = (struct sockaddr_in){
    .sin_family = AF_INET,
    .sin_port = htons ((uint16_t)g_ascii_strtoull (colon + 1, NULL, 10)),
  };
  return inet_pton (AF_INET, ip, &address->sin_addr) == 1;
}

/* Opens a non-blocking socket of the type (SOCK_STREAM or SOCK_DGRAM) that is bound to
 * "IP:port", and listens on it if backlog is above 0. Returns the descriptor, which the
 * caller closes, or -1 and sets error. */
int
jd_socket_listen (const char *text, int type, int backlog, GError **error)
{
  struct sockaddr_in address;
  if (!jd_socket_parse_address (text, &address))
    {
      g_set_error (error, JD_SETTINGS_ERROR, 0,
                   "\"%s\" is not an IPv4 address and a port", text);
      return -1;
    }
  int fd = socket (AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int on = 1;
  if (fd >= 0)
    setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof (on));
  if (fd < 0 || bind (fd, (struct sockaddr *)&address, sizeof (address)) != 0 ||
      (backlog > 0 && listen (fd, backlog) != 0))
    {
      g_set_error (error, JD_SETTINGS_ERROR, 0, "cannot listen on %s: %s", text,
                   g_strerror (errno));
      if (fd >= 0)
        close (fd);
      return -1;
    }
  return fd;
}
