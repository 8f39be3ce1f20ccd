#include "transport/platform_http.h"

#include <curl/curl.h>
#include <stdatomic.h>
#include <stdbool.h>

#include "base/clock.h"

#define MAX_POLL_MS 1000

struct jd_platform_http
{
  CURLM *multi; /* Lets another thread wake the wait for the transfer. */
  CURL *easy;
  atomic_bool is_interrupted;
  atomic_bool is_woken;
};

/* Where on_body writes the body of the running transfer. */
typedef struct body_sink
{
  GString *body;
  size_t limit_bytes;
} body_sink_t;

/* curl callback: stores the first limit_bytes of a body and drops the rest. */
static size_t
on_body (char *bytes, size_t size, size_t count, void *context)
{
  body_sink_t *sink = context;
  size_t remaining_bytes = sink->limit_bytes - sink->body->len;
  g_string_append_len (sink->body, bytes, (gssize)MIN (size * count, remaining_bytes));
  return size * count;
}

/* Ignores proxy settings of the environment and allows only the http scheme. */
jd_platform_http_t *
jd_platform_http_new (uint32_t connect_timeout_ms)
{
  curl_global_init (CURL_GLOBAL_DEFAULT);
  jd_platform_http_t *http = g_new0 (jd_platform_http_t, 1);
  http->multi = curl_multi_init ();
  http->easy = curl_easy_init ();
  g_assert (http->multi && http->easy);
  curl_easy_setopt (http->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (http->easy, CURLOPT_PROXY, "");
  curl_easy_setopt (http->easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (http->easy, CURLOPT_CONNECTTIMEOUT_MS, (long)connect_timeout_ms);
  curl_easy_setopt (http->easy, CURLOPT_WRITEFUNCTION, on_body);
  return http;
}

/* Frees the connection; no request or sleep may be running. */
void
jd_platform_http_free (jd_platform_http_t *http)
{
  if (!http)
    return;
  curl_easy_cleanup (http->easy);
  curl_multi_cleanup (http->multi);
  g_free (http);
}

/* Runs the added transfer to its end; returns FALSE if it failed or was interrupted. */
static gboolean
run_transfer (jd_platform_http_t *http)
{
  int running_transfers = 1;
  while (running_transfers > 0)
    {
      if (atomic_load (&http->is_interrupted) ||
          curl_multi_perform (http->multi, &running_transfers) != CURLM_OK)
        return FALSE;
      if (running_transfers > 0)
        curl_multi_poll (http->multi, NULL, 0, MAX_POLL_MS, NULL);
    }
  int queued_messages = 0;
  const CURLMsg *message = curl_multi_info_read (http->multi, &queued_messages);
  return message && message->msg == CURLMSG_DONE && message->data.result == CURLE_OK;
}

/* Runs one request at a time: the curl easy handle is reused to keep the connection. */
long
jd_platform_http_get (jd_platform_http_t *http, const char *url, uint32_t timeout_ms,
                      size_t limit_bytes, GString *body)
{
  body_sink_t sink = { .body = body, .limit_bytes = limit_bytes };
  g_string_truncate (body, 0);
  curl_easy_setopt (http->easy, CURLOPT_URL, url);
  curl_easy_setopt (http->easy, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
  curl_easy_setopt (http->easy, CURLOPT_WRITEDATA, &sink);
  long status = 0;
  if (curl_multi_add_handle (http->multi, http->easy) != CURLM_OK)
    return 0;
  if (run_transfer (http))
    curl_easy_getinfo (http->easy, CURLINFO_RESPONSE_CODE, &status);
  curl_multi_remove_handle (http->multi, http->easy);
  return status;
}

/* Sleeps. A wake-up that arrived before the sleep ends a wakeable sleep immediately. */
void
jd_platform_http_sleep (jd_platform_http_t *http, int64_t duration_us,
                        gboolean is_wakeable)
{
  int64_t end_us = g_get_monotonic_time () + duration_us;
  while (!atomic_load (&http->is_interrupted) &&
         !(is_wakeable && atomic_exchange (&http->is_woken, false)))
    {
      int64_t remaining_us = end_us - g_get_monotonic_time ();
      if (remaining_us <= 0)
        return;
      int64_t remaining_ms = (remaining_us + JD_US_PER_MS - 1) / JD_US_PER_MS;
      curl_multi_poll (http->multi, NULL, 0, (int)MIN (remaining_ms, MAX_POLL_MS), NULL);
    }
}

/* Ends the running and all later requests and sleeps; this cannot be undone. */
void
jd_platform_http_interrupt (jd_platform_http_t *http)
{
  atomic_store (&http->is_interrupted, true);
  curl_multi_wakeup (http->multi);
}

/* Ends a wakeable sleep. The wake-up is stored until a wakeable sleep consumes it. */
void
jd_platform_http_wake (jd_platform_http_t *http)
{
  atomic_store (&http->is_woken, true);
  curl_multi_wakeup (http->multi);
}
