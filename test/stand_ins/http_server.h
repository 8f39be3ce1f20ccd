#pragma once

#include <glib.h>
#include <stdint.h>

/* An HTTP/1.1 server on one address: libmicrohttpd with one epoll thread. Any thread may
 * answer a request later, so that waiting requests need no threads of their own. */
typedef struct jd_http_server jd_http_server_t;

/* One received request. Exactly one call of jd_http_request_reply or
 * jd_http_request_close ends it; it must not be used after that call. */
typedef struct jd_http_request jd_http_request_t;

typedef void (*jd_http_request_handler_t) (void *context, jd_http_request_t *request);

/* One reply header. The server copies the name and the value. */
typedef struct jd_http_header
{
  const char *name;
  const char *value;
} jd_http_header_t;

/* Binds an IPv4 address; port 0 selects a free port. */
jd_http_server_t *jd_http_server_new (const char *ip, uint16_t port,
                                      jd_http_request_handler_t handler, void *context,
                                      GError **error);
uint16_t jd_http_server_port (const jd_http_server_t *server);
uint32_t jd_http_server_connection_count (jd_http_server_t *server);
/* Returns the sequence number of the next accepted connection; the first one is 1. */
uint64_t jd_http_server_next_connection_sequence (jd_http_server_t *server);
/* Refuses further requests; the caller may still answer requests it already has. */
void jd_http_server_stop (jd_http_server_t *server);
/* Closes the connections of all unanswered requests and frees the server. */
void jd_http_server_free (jd_http_server_t *server);

const char *jd_http_request_method (const jd_http_request_t *request);
const char *jd_http_request_path (const jd_http_request_t *request);
/* Return a text of the request, or NULL; it is valid until the request ends. */
const char *jd_http_request_header (jd_http_request_t *request, const char *name);
const char *jd_http_request_argument (jd_http_request_t *request, const char *name);
int64_t jd_http_request_integer_argument (jd_http_request_t *request, const char *name,
                                          int64_t fallback);
const char *jd_http_request_body (const jd_http_request_t *request, size_t *length_bytes);
/* Return the sequence number of the connection and the position of the request on it;
 * both start at 1. */
uint64_t jd_http_request_connection_sequence (const jd_http_request_t *request);
uint64_t jd_http_request_number_on_connection (const jd_http_request_t *request);

void jd_http_request_reply (jd_http_request_t *request, uint32_t status,
                            const jd_http_header_t *headers, uint32_t header_count,
                            const char *body);
/* Closes the connection without a reply. */
void jd_http_request_close (jd_http_request_t *request);
