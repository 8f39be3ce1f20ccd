#pragma once

#include <glib.h>

/* Sends one HTTP request with a timeout. body may be NULL. Returns the HTTP status, or 0
 * if no response arrived. *response_body receives the body of the response, or NULL; free
 * with g_free. */
long cli_http_call (const char *method, const char *base_url, const char *path,
                    const char *body, char **response_body);
