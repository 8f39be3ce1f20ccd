#include "cli/cli_http.h"

#include <ulfius.h>

#define TIMEOUT_S 5UL

/* Sends one HTTP request with a timeout of 5 s. */
long
cli_http_call (const char *method, const char *base_url, const char *path,
               const char *body, char **response_body)
{
  struct _u_request request;
  struct _u_response response;
  *response_body = NULL;
  if (ulfius_init_request (&request) != U_OK)
    return 0;
  ulfius_init_response (&response);
  char *url = g_strconcat (base_url, path, NULL);
  ulfius_set_request_properties (&request, U_OPT_HTTP_VERB, method, U_OPT_HTTP_URL, url,
                                 U_OPT_TIMEOUT, TIMEOUT_S, U_OPT_NONE);
  if (body)
    ulfius_set_request_properties (&request, U_OPT_STRING_BODY, body, U_OPT_NONE);
  g_free (url);
  long status = 0;
  if (ulfius_send_http_request (&request, &response) == U_OK)
    {
      status = response.status;
      *response_body = g_strndup (response.binary_body ? response.binary_body : "",
                                  response.binary_body ? response.binary_body_length : 0);
    }
  ulfius_clean_request (&request);
  ulfius_clean_response (&response);
  return status;
}
