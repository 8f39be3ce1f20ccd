#include "transport/target_exchange.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "transport/target_body.h"

/* Replies of several targets are sent to the entry in one message, which has a maximum
 * length. */
#define MAX_BODY_BYTES ((size_t)4 * 1024 * 1024)
#define DEADLINE_PREFIX "X-Deadline-Ms: "
/* The number is padded to this width, so that write_deadline can replace it in place. */
#define DEADLINE_DIGITS 9

/* Writes the remaining time into the prepared header right before the header is sent,
 * because connecting may have used up a part of it. */
static void
write_deadline (jd_target_exchange_t *exchange, int64_t now_us)
{
  int64_t left_ms = (exchange->deadline_us - now_us) / JD_US_PER_MS;
  g_snprintf (exchange->deadline_header, sizeof (DEADLINE_PREFIX) + DEADLINE_DIGITS,
              DEADLINE_PREFIX "%*" G_GINT64_FORMAT, DEADLINE_DIGITS,
              CLAMP (left_ms, 0, 999999999));
}

/* curl callback: a connection is ready and nothing of the request has been written. curl
 * calls it again before it repeats a request because a keep-alive connection broke. A
 * read may be repeated until its deadline. An edit must not, or it could run twice. */
static int
on_before_write (void *context, char *primary_ip, char *local_ip, int primary_port,
                 int local_port)
{
  jd_target_exchange_t *exchange = context;
  int64_t now_us = jd_clock_now_us (&exchange->clock);
  if (exchange->was_written)
    {
      if (exchange->work_kind == JD_WORK_EDIT || now_us >= exchange->deadline_us)
        return CURL_PREREQFUNC_ABORT;
    }
  else if (!exchange->may_write (exchange->context, exchange->handle))
    {
      exchange->is_report_suppressed = TRUE;
      return CURL_PREREQFUNC_ABORT;
    }
  exchange->was_written = TRUE;
  write_deadline (exchange, now_us);
  return CURL_PREREQFUNC_OK;
}

/* Discards the headers of an earlier response, such as "100 Continue". */
static void
reset_reply (jd_target_exchange_t *exchange)
{
  exchange->has_request_id = FALSE;
  exchange->has_wrong_request_id = FALSE;
  exchange->is_shed = FALSE;
  exchange->reply = (jd_target_reply_t){ .uptime_us = -1, .in_flight = -1 };
}

/* Parses a decimal header value; returns the fallback if it is invalid or above max. */
static int64_t
read_number (const char *value, int64_t max, int64_t fallback)
{
  guint64 number = 0;
  if (!g_ascii_string_to_unsigned (value, 10, 0, (guint64)max, &number, NULL))
    return fallback;
  return (int64_t)number;
}

/* Stores one header of a reply; unknown headers are ignored. */
static void
apply_header (jd_target_exchange_t *exchange, const char *name, const char *value)
{
  jd_target_reply_t *reply = &exchange->reply;
  if (g_ascii_strcasecmp (name, "X-Request-Id") == 0)
    {
      exchange->has_request_id = TRUE;
      if (strcmp (value, exchange->request_id) != 0)
        exchange->has_wrong_request_id = TRUE;
    }
  else if (g_ascii_strcasecmp (name, "X-Snapshot") == 0)
    reply->snapshot = (uint64_t)read_number (value, INT64_MAX, 0);
  else if (g_ascii_strcasecmp (name, "X-Boot-Id") == 0)
    reply->boot_id = jd_hash_text (value, 0) | 1; /* 0 means that it is not reported. */
  else if (g_ascii_strcasecmp (name, "X-Uptime-Ms") == 0)
    reply->uptime_us = read_number (value, INT64_MAX / JD_US_PER_MS, -1);
  else if (g_ascii_strcasecmp (name, "X-In-Flight") == 0)
    reply->in_flight = (int32_t)read_number (value, INT32_MAX, -1);
  else if (g_ascii_strcasecmp (name, "X-Draining") == 0)
    reply->draining = strcmp (value, "1") == 0;
  else if (g_ascii_strcasecmp (name, "X-Shed") == 0)
    exchange->is_shed = strcmp (value, "1") == 0;
}

/* Checks the request id at the end of the headers of a response. The reply to work must
 * repeat its X-Request-Id, so that the reply to another request is never used for this
 * one. Returns FALSE if the connection must be closed. */
static gboolean
check_request_id (jd_target_exchange_t *exchange)
{
  if (jd_target_exchange_status (exchange) < 200)
    return TRUE;
  if (exchange->kind == JD_EXCHANGE_WORK && !exchange->has_request_id)
    exchange->has_wrong_request_id = TRUE;
  return !exchange->has_wrong_request_id;
}

/* curl callback: one header line, not null-terminated. Returning anything but its length
 * makes curl abort the transfer and close the connection. */
static size_t
on_header (char *bytes, size_t size, size_t count, void *context)
{
  jd_target_exchange_t *exchange = context;
  size_t length = size * count;
  if (length >= 5 && memcmp (bytes, "HTTP/", 5) == 0)
    {
      reset_reply (exchange);
      return length;
    }
  if (length <= 2)
    return check_request_id (exchange) ? length : 0;
  char *line = g_strndup (bytes, length);
  char *colon = strchr (line, ':');
  if (colon)
    {
      *colon = '\0';
      apply_header (exchange, line, g_strstrip (colon + 1));
    }
  g_free (line);
  return length;
}

/* curl callback: appends a part of the body; returns 0 to abort if it is too long. */
static size_t
on_body (char *bytes, size_t size, size_t count, void *context)
{
  jd_target_exchange_t *exchange = context;
  size_t length = size * count;
  if (exchange->body->len + length > MAX_BODY_BYTES)
    return 0;
  g_string_append_len (exchange->body, bytes, (gssize)length);
  return length;
}

/* Appends a header line. Returns the copy that curl sends, owned by exchange->headers. */
static char *
add_header (jd_target_exchange_t *exchange, const char *line)
{
  struct curl_slist *header = curl_slist_append (exchange->headers, line);
  if (!header)
    g_error ("event=out_of_memory");
  exchange->headers = header;
  while (header->next)
    header = header->next;
  return header->data;
}

/* Sets the options that all exchanges share; all headers must have been added. */
static void
set_common_options (jd_target_exchange_t *exchange, const char *url, int64_t timeout_us)
{
  CURL *easy = exchange->easy;
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, exchange);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)MAX (timeout_us / JD_US_PER_MS, 1));
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, exchange);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, exchange);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, exchange->headers);
}

/* Sets a POST body, which curl copies. The empty "Expect" header prevents curl from
 * waiting for "100 Continue" before it sends the body. */
static void
set_post (jd_target_exchange_t *exchange, const char *body, size_t length_bytes)
{
  add_header (exchange, "Expect:");
  add_header (exchange, "Content-Type: application/json");
  curl_easy_setopt (exchange->easy, CURLOPT_POST, 1L);
  curl_easy_setopt (exchange->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                    (curl_off_t)length_bytes);
  curl_easy_setopt (exchange->easy, CURLOPT_COPYPOSTFIELDS, body ? body : "");
}

/* Creates an exchange with only the X-Request-Id header. */
static jd_target_exchange_t *
exchange_new (const jd_exchange_options_t *options, jd_exchange_kind_t kind,
              uint64_t handle)
{
  jd_target_exchange_t *exchange = g_new0 (jd_target_exchange_t, 1);
  exchange->kind = kind;
  exchange->handle = handle;
  exchange->clock = options->clock;
  exchange->may_write = options->may_write;
  exchange->context = options->context;
  exchange->request_id = g_strdup (options->request_id);
  exchange->body = g_string_new (NULL);
  g_strlcpy (exchange->target, options->target, sizeof (exchange->target));
  exchange->easy = curl_easy_init ();
  if (!exchange->easy)
    g_error ("event=out_of_memory");
  reset_reply (exchange);
  char *line = g_strdup_printf ("X-Request-Id: %s", options->request_id);
  add_header (exchange, line);
  g_free (line);
  return exchange;
}

/* Returns the URL of work; free with g_free. */
static char *
work_url (const char *address, const jd_broker_start_t *start)
{
  const jd_work_t *work = start->work;
  char *text = g_uri_escape_string (work->text ? work->text : "", NULL, FALSE);
  char *url = NULL;
  if (work->kind == JD_WORK_SEARCH)
    {
      char *shard = g_uri_escape_string (start->shard, NULL, FALSE);
      GString *query = g_string_new (NULL);
      g_string_printf (query, "http://%s/search?shard=%s&q=%s&limit=%u", address, shard,
                       text, work->limit);
      if (work->snapshot != 0)
        g_string_append_printf (query, "&snapshot=%" G_GUINT64_FORMAT,
                                (guint64)work->snapshot);
      g_free (shard);
      url = g_string_free (query, FALSE);
    }
  else
    url = g_strdup_printf ("http://%s/entries/%s", address, text);
  g_free (text);
  return url;
}

/* Returns FALSE if the text has control characters, which could end its header line and
 * inject another header. */
static gboolean
is_header_value (const char *text)
{
  for (; *text; text++)
    {
      if (g_ascii_iscntrl (*text))
        return FALSE;
    }
  return TRUE;
}

/* Creates a search, fetch or edit. Returns NULL if the organisation is no valid header
 * value. */
jd_target_exchange_t *
jd_target_exchange_work (const jd_exchange_options_t *options,
                         const jd_broker_start_t *start)
{
  const jd_work_t *work = start->work;
  if (!is_header_value (work->organisation))
    return NULL;
  jd_target_exchange_t *exchange =
      exchange_new (options, JD_EXCHANGE_WORK, start->handle);
  exchange->work_kind = work->kind;
  exchange->deadline_us = start->deadline_us;
  exchange->deadline_header = add_header (exchange, DEADLINE_PREFIX "         ");
  if (work->organisation[0])
    {
      char *line = g_strdup_printf ("X-Organisation: %s", work->organisation);
      add_header (exchange, line);
      g_free (line);
    }
  if (work->kind == JD_WORK_EDIT)
    {
      set_post (exchange, work->body, work->body_bytes);
      /* curl repeats a request on its own if a keep-alive connection breaks before the
       * reply, so each edit uses a new connection. */
      curl_easy_setopt (exchange->easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt (exchange->easy, CURLOPT_FORBID_REUSE, 1L);
    }
  curl_easy_setopt (exchange->easy, CURLOPT_PREREQFUNCTION, on_before_write);
  curl_easy_setopt (exchange->easy, CURLOPT_PREREQDATA, exchange);
  char *url = work_url (options->address, start);
  set_common_options (exchange, url, options->timeout_us);
  g_free (url);
  return exchange;
}

/* Creates a cancellation of the request whose id is options->request_id. */
jd_target_exchange_t *
jd_target_exchange_cancel (const jd_exchange_options_t *options, uint64_t handle)
{
  jd_target_exchange_t *exchange = exchange_new (options, JD_EXCHANGE_CANCEL, handle);
  set_post (exchange, NULL, 0);
  char *url =
      g_strdup_printf ("http://%s/cancel/%s", options->address, options->request_id);
  set_common_options (exchange, url, options->timeout_us);
  g_free (url);
  return exchange;
}

/* Creates a health probe; its reply may lack an X-Request-Id. */
jd_target_exchange_t *
jd_target_exchange_health (const jd_exchange_options_t *options)
{
  jd_target_exchange_t *exchange = exchange_new (options, JD_EXCHANGE_HEALTH, 0);
  char *url = g_strdup_printf ("http://%s/health", options->address);
  set_common_options (exchange, url, options->timeout_us);
  g_free (url);
  return exchange;
}

/* Frees an exchange, which must not be in a multi handle of curl. */
void
jd_target_exchange_free (jd_target_exchange_t *exchange)
{
  if (!exchange)
    return;
  jd_work_outcome_t cleared_outcome = { .hit_count = exchange->reply.hit_count,
                                        .hits = exchange->reply.hits };
  jd_work_outcome_clear (&cleared_outcome);
  curl_easy_cleanup (exchange->easy);
  curl_slist_free_all (exchange->headers);
  g_string_free (exchange->body, TRUE);
  g_free (exchange->request_id);
  g_free (exchange);
}

/* Returns the HTTP status, also after the end of the exchange, until it is freed. */
long
jd_target_exchange_status (const jd_target_exchange_t *exchange)
{
  long status = 0;
  curl_easy_getinfo (exchange->easy, CURLINFO_RESPONSE_CODE, &status);
  return status;
}

/* Maps the HTTP status and the body of a complete reply to a reply kind. */
static jd_reply_kind_t
kind_of_status (jd_target_exchange_t *exchange, long status)
{
  gboolean is_edit = exchange->work_kind == JD_WORK_EDIT;
  if (status >= 200 && status < 300)
    {
      gboolean has_valid_body =
          jd_target_body_parse_hits (exchange->work_kind, exchange->body->str,
                                     exchange->body->len, &exchange->reply);
      /* A 2xx status alone confirms an edit. */
      return has_valid_body || is_edit ? JD_REPLY_OK : JD_REPLY_ERROR;
    }
  if (status == 503 && exchange->is_shed)
    return JD_REPLY_SHED;
  if (status == 404 && exchange->work_kind != JD_WORK_SEARCH)
    return JD_REPLY_NOT_FOUND;
  if (status == 409 && exchange->work_kind == JD_WORK_SEARCH)
    return JD_REPLY_NO_SNAPSHOT;
  if (status == 499 && exchange->is_cancelled)
    return JD_REPLY_CANCEL_CONFIRMED;
  return JD_REPLY_ERROR;
}

/* Sets the reply kind. JD_REPLY_NOT_SENT is set only if curl never had a ready connection
 * for the request or may_write prevented the write. */
void
jd_target_exchange_finish (jd_target_exchange_t *exchange, CURLcode result)
{
  jd_target_reply_t *reply = &exchange->reply;
  if (!exchange->was_written)
    reply->kind = JD_REPLY_NOT_SENT;
  else if (exchange->has_wrong_request_id)
    {
      reset_reply (exchange); /* The headers belong to another request. */
      reply->kind = JD_REPLY_WRONG_REQUEST_ID;
    }
  else if (result == CURLE_OK)
    reply->kind = kind_of_status (exchange, jd_target_exchange_status (exchange));
  else if (result == CURLE_OPERATION_TIMEDOUT)
    reply->kind = JD_REPLY_TIMEOUT;
  else
    reply->kind = JD_REPLY_BROKEN;
}
