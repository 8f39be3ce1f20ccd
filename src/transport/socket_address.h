#pragma once

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

bool jd_socket_parse_address (const char *text, struct sockaddr_in *address);
int jd_socket_listen (const char *text, int type, int backlog, GError **error);
