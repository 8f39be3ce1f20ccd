#include "load_request.h"

#include <string.h>

#define DISTINCT_QUERIES 1000
#define DISTINCT_ENTRIES 1000

/* curl write callback: appends a part of the body to the answer. */
static size_t
append_body (char *bytes, size_t size, size_t count, void *context)
{
  g_string_append_len (context, bytes, (gssize)(size * count));
  return size * count;
}

load_request_t *
load_request_new (void)
{
  load_request_t *request = g_new0 (load_request_t, 1);
  request->easy = curl_easy_init ();
  request->answer = g_string_new (NULL);
  return request;
}

/* Frees the request and its curl handle, which must not be in a multi handle. */
void
load_request_free (load_request_t *request)
{
  curl_easy_cleanup (request->easy);
  curl_slist_free_all (request->headers);
  g_string_free (request->answer, TRUE);
  g_free (request->text);
  g_free (request->body);
  g_free (request);
}

/* Returns a random kind with the probabilities of the mix. */
static jd_work_kind_t
draw_kind (const load_plan_t *plan, const jd_rng_t *rng)
{
  double unit = jd_rng_unit (rng);
  if (unit < plan->mix[JD_WORK_SEARCH])
    return JD_WORK_SEARCH;
  if (unit < plan->mix[JD_WORK_SEARCH] + plan->mix[JD_WORK_FETCH])
    return JD_WORK_FETCH;
  return plan->mix[JD_WORK_EDIT] > 0 ? JD_WORK_EDIT : JD_WORK_SEARCH;
}

/* Returns the index of a random organisation; probabilities are proportional to rates. */
static uint32_t
draw_organisation (const load_plan_t *plan, const jd_rng_t *rng)
{
  double point = jd_rng_unit (rng) * plan->rate_per_s;
  uint32_t last = plan->organisations->len - 1;
  for (uint32_t i = 0; i < last; i++)
    {
      point -= g_array_index (plan->organisations, load_organisation_t, i).rate_per_s;
      if (point < 0)
        return i;
    }
  return last;
}

/* Returns the URL of the request; the caller frees it with g_free. */
static char *
request_url (const load_request_t *request, const load_plan_t *plan)
{
  if (request->kind == JD_WORK_SEARCH)
    return g_strdup_printf ("%s/v1/services/%s/search?q=%s&limit=%u&timeout_ms=%u",
                            request->entry_url, plan->search_service, request->text,
                            plan->limit, plan->timeout_ms);
  return g_strdup_printf ("%s/v1/services/%s/entries/%s", request->entry_url,
                          plan->entry_service, request->text);
}

/* Sets the curl options of the request. */
static void
prepare_transfer (load_request_t *request, const load_plan_t *plan)
{
  CURL *easy = request->easy;
  curl_easy_reset (easy);
  char *url = request_url (request, plan);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  g_free (url);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_PRIVATE, request);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, 2L * plan->timeout_ms + 1000L);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, request->answer);
  curl_slist_free_all (request->headers);
  request->headers = curl_slist_append (NULL, "Expect:");
  const load_organisation_t *organisation =
      &g_array_index (plan->organisations, load_organisation_t, request->organisation);
  if (organisation->key[0])
    {
      char *header = g_strdup_printf ("X-Api-Key: %s", organisation->key);
      request->headers = curl_slist_append (request->headers, header);
      g_free (header);
    }
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, request->headers);
  if (!request->body)
    return;
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS, request->body);
  /* curl sends a request again if its reused connection turns out to be closed, which
   * could run an edit twice. */
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, 1L);
}

/* Fills the request with random values of the plan. The body of an edit is unique if
 * number is unique in the worker. */
void
load_request_draw (load_request_t *request, const load_plan_t *plan, const jd_rng_t *rng,
                   uint32_t worker, uint64_t number)
{
  g_free (request->text);
  g_clear_pointer (&request->body, g_free);
  g_string_truncate (request->answer, 0);
  request->organisation = draw_organisation (plan, rng);
  request->kind = draw_kind (plan, rng);
  request->entry_url = plan->entries[jd_rng_below (rng, plan->entry_count)];
  if (request->kind == JD_WORK_SEARCH)
    request->text = g_strdup_printf ("q%" G_GUINT64_FORMAT,
                                     (guint64)jd_rng_below (rng, DISTINCT_QUERIES));
  else
    request->text = g_strdup_printf ("e%" G_GUINT64_FORMAT,
                                     (guint64)jd_rng_below (rng, DISTINCT_ENTRIES));
  if (request->kind == JD_WORK_EDIT)
    request->body =
        g_strdup_printf ("{\"edit\":\"%" G_GUINT64_FORMAT "-%u-%" G_GUINT64_FORMAT "\"}",
                         (guint64)plan->seed, worker, (guint64)number);
  prepare_transfer (request, plan);
}

/* Returns the outcome by the code of the answer and its field `ran`. */
static load_outcome_t
classify (const load_request_t *request)
{
  if (request->status == 0 || request->code < 0)
    return LOAD_FAILED;
  if (request->code == JD_OK)
    return LOAD_OK;
  if (request->code == JD_PARTIAL)
    return LOAD_PARTIAL;
  return strcmp (request->ran, "no") == 0 ? LOAD_REFUSED : LOAD_FAILED;
}

/* Parses the answer when the transfer has ended with the given result. */
void
load_request_finish (load_request_t *request, CURLcode result)
{
  request->status = 0;
  request->code = -1;
  request->coverage = 0;
  request->snapshot = 0;
  g_strlcpy (request->ran, "unknown", sizeof (request->ran));
  if (result == CURLE_OK)
    {
      curl_easy_getinfo (request->easy, CURLINFO_RESPONSE_CODE, &request->status);
      json_t *root = json_loadb (request->answer->str, request->answer->len, 0, NULL);
      const json_t *code = json_object_get (root, "code");
      const char *ran = json_string_value (json_object_get (root, "ran"));
      if (json_is_integer (code))
        request->code = json_integer_value (code);
      if (ran)
        g_strlcpy (request->ran, ran, sizeof (request->ran));
      request->coverage = json_number_value (json_object_get (root, "coverage"));
      request->snapshot = json_integer_value (json_object_get (root, "snapshot"));
      json_decref (root);
    }
  request->outcome = classify (request);
}

/* Returns the request and its answer as an object for the history; the caller owns it. */
json_t *
load_request_to_json (const load_request_t *request, const load_plan_t *plan)
{
  static const char *const kinds[] = { "search", "fetch", "edit" };
  static const char *const outcomes[] = { "ok", "partial", "refused", "failed" };
  const load_organisation_t *organisation =
      &g_array_index (plan->organisations, load_organisation_t, request->organisation);
  json_t *object = json_pack (
      "{s:s, s:s, s:s, s:s, s:I, s:I, s:I, s:I, s:I, s:s, s:s, s:f, s:I}", "organisation",
      organisation->id, "kind", kinds[request->kind], "entry_url", request->entry_url,
      "text", request->text, "scheduled_us", (json_int_t)request->scheduled_us, "call_us",
      (json_int_t)request->call_us, "return_us", (json_int_t)request->return_us, "status",
      (json_int_t)request->status, "code", request->code, "ran", request->ran, "outcome",
      outcomes[request->outcome], "coverage", request->coverage, "snapshot",
      request->snapshot);
  if (request->body)
    json_object_set_new (object, "body", json_string (request->body));
  return object;
}
