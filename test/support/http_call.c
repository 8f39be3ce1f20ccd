#include "support/http_call.h"

#include <curl/curl.h>
#include <glib.h>

/* CURLOPT_WRITEFUNCTION: appends received bytes to the GString in context. */
static size_t
append_bytes (char *bytes, size_t size, size_t count, void *context)
{
  g_string_append_len (context, bytes, (gssize)(size * count));
  return size * count;
}

/* The caller clears the reply with jd_http_reply_clear, also if status is 0. */
jd_http_reply_t
jd_http_call (const char *method, const char *url, const char *header, const char *body,
              long timeout_ms)
{
  GString *headers = g_string_new (NULL);
  GString *content = g_string_new (NULL);
  struct curl_slist *header_list = header ? curl_slist_append (NULL, header) : NULL;
  CURL *easy = curl_easy_init ();
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, timeout_ms);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, header_list);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, append_bytes);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, headers);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_bytes);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, content);
  if (body)
    curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body);
  if (method)
    curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
  jd_http_reply_t reply = { 0 };
  if (curl_easy_perform (easy) == CURLE_OK)
    curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &reply.status);
  curl_easy_getinfo (easy, CURLINFO_TOTAL_TIME, &reply.seconds);
  curl_easy_cleanup (easy);
  curl_slist_free_all (header_list);
  reply.headers = g_string_free (headers, FALSE);
  reply.body = g_string_free (content, FALSE);
  reply.json = json_loads (reply.body, JSON_DECODE_ANY, NULL);
  return reply;
}

/* The caller clears the reply with jd_http_reply_clear. */
jd_http_reply_t
jd_http_get (const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  char *url = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  jd_http_reply_t reply = jd_http_call (NULL, url, NULL, NULL, 5000);
  g_free (url);
  return reply;
}

/* Frees the content of the reply, not the reply itself, and sets it to zero. */
void
jd_http_reply_clear (jd_http_reply_t *reply)
{
  g_free (reply->headers);
  g_free (reply->body);
  json_decref (reply->json);
  *reply = (jd_http_reply_t){ 0 };
}
