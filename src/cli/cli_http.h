#pragma once

#include <glib.h>

/* Makes one call with a time limit. Returns the HTTP status, or 0 without an answer; the
 * body goes to *answer and is freed with g_free. */
long cli_http_call (const char *method, const char *base_url, const char *path,
                    const char *body, char **answer);
