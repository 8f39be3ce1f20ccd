#include "stand_ins/target_server.h"

#include <curl/curl.h>
#include <string.h>

#include "stand_ins/target_documents.h"
#include "support/http_call.h"
#include "support/test_main.h"

/* A target that serves in this process. */
typedef struct fixture
{
  jd_timer_queue_t *timers;
  jd_execution_log_t *executions;
  jd_target_t *target;
  char *url;
} fixture_t;

/* Starts a target on a free port; faults is the body of a POST /faults. */
static fixture_t
fixture_start (const char *faults)
{
  fixture_t fixture = { .timers = jd_timer_queue_new (),
                        .executions = jd_execution_log_new () };
  jd_target_options_t options = { .id = "t0",
                                  .ip = "127.0.0.1",
                                  .conditions = jd_target_conditions_default (),
                                  .timers = fixture.timers,
                                  .executions = fixture.executions };
  json_t *object = json_loads (faults, 0, NULL);
  CU_ASSERT_TRUE (jd_target_conditions_apply (&options.conditions, object, NULL));
  json_decref (object);
  fixture.target = jd_target_new (&options, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture.target);
  fixture.url = g_strdup_printf ("http://127.0.0.1:%u", jd_target_port (fixture.target));
  return fixture;
}

static void
fixture_stop (fixture_t *fixture)
{
  jd_target_stop (fixture->target);
  jd_timer_queue_free (fixture->timers);
  jd_target_free (fixture->target);
  jd_execution_log_free (fixture->executions);
  g_free (fixture->url);
}

/* Sends a request and returns the status of its reply, 0 without a reply. */
static long
call_status (const fixture_t *fixture, const char *path, const char *header,
             const char *body)
{
  char *url = g_strconcat (fixture->url, path, NULL);
  jd_http_reply_t reply = jd_http_call (NULL, url, header, body, 3000);
  long status = reply.status;
  jd_http_reply_clear (&reply);
  g_free (url);
  return status;
}

/* Returns one of the counts of GET /executions. */
static json_int_t
count_of (const fixture_t *fixture, const char *name)
{
  jd_http_reply_t reply = jd_http_get ("%s/executions", fixture->url);
  json_int_t count =
      json_integer_value (json_object_get (json_object_get (reply.json, "counts"), name));
  jd_http_reply_clear (&reply);
  return count;
}

/* A call in its own thread. */
typedef struct parallel_call
{
  const fixture_t *fixture;
  const char *path;
  const char *header;
  const char *body;
  long status;
  GThread *thread;
} parallel_call_t;

static gpointer
run_call (gpointer data)
{
  parallel_call_t *call = data;
  call->status = call_status (call->fixture, call->path, call->header, call->body);
  return NULL;
}

/* Runs all calls in parallel. Returns how many had the given status. */
static int
run_parallel (parallel_call_t *calls, int count, long status)
{
  int matching = 0;
  for (int i = 0; i < count; i++)
    calls[i].thread = g_thread_new ("call", run_call, &calls[i]);
  for (int i = 0; i < count; i++)
    {
      g_thread_join (calls[i].thread);
      matching += calls[i].status == status;
    }
  return matching;
}

/* Guards against hits that differ from jd_documents_search, by which other tests compute
 * the expected answers, and against an answer for a snapshot that the target does not
 * have. */
static void
search_returns_the_computed_hits (void)
{
  fixture_t fixture = fixture_start ("{\"snapshots\":[4,3]}");
  jd_http_reply_t reply =
      jd_http_get ("%s/search?shard=s1&snapshot=3&q=a%%20b&limit=5", fixture.url);
  jd_document_hit_t hits[5];
  CU_ASSERT_EQUAL (jd_documents_search ("s1", 3, "a b", 5, hits), 5);
  json_t *array = json_object_get (reply.json, "hits");
  CU_ASSERT_EQUAL_FATAL (json_array_size (array), 5);
  for (size_t i = 0; i < 5; i++)
    {
      const json_t *hit = json_array_get (array, i);
      CU_ASSERT_STRING_EQUAL (json_string_value (json_object_get (hit, "id")),
                              hits[i].id);
      CU_ASSERT_EQUAL (json_real_value (json_object_get (hit, "score")), hits[i].score);
    }
  CU_ASSERT_PTR_NOT_NULL (strstr (reply.headers, "X-Snapshot: 3"));
  jd_http_reply_clear (&reply);
  CU_ASSERT_EQUAL (call_status (&fixture, "/search?shard=s1&snapshot=9&q=a", NULL, NULL),
                   409);
  fixture_stop (&fixture);
}

/* Guards against a target that admits more requests than slots and queue places: 2 slots
 * and 1 queue place admit 3 of 8 simultaneous requests. */
static void
requests_beyond_slots_and_queue_are_shed (void)
{
  fixture_t fixture = fixture_start (
      "{\"slots\":2,\"queue\":1,\"latency_median_us\":400000,\"latency_sigma\":0}");
  parallel_call_t calls[8];
  for (int i = 0; i < 8; i++)
    calls[i] = (parallel_call_t){ .fixture = &fixture, .path = "/search?shard=s&q=a" };
  CU_ASSERT_EQUAL (run_parallel (calls, 8, 503), 5);
  CU_ASSERT_EQUAL (count_of (&fixture, "shed"), 5);
  CU_ASSERT_EQUAL (count_of (&fixture, "peak_running"), 2);
  fixture_stop (&fixture);
}

/* Guards against a cold start without a load limit: 2 simultaneous requests exceed the
 * capacity of 1 and both fail. After the failing period, 2 requests one at a time end the
 * cold start, and 2 simultaneous ones succeed. */
static void
cold_start_fails_above_its_capacity (void)
{
  fixture_t fixture = fixture_start (
      "{\"cold_requests\":2,\"cold_fail_ms\":200,\"latency_median_us\":50000}");
  parallel_call_t calls[2];
  for (int i = 0; i < 2; i++)
    calls[i] = (parallel_call_t){ .fixture = &fixture, .path = "/search?shard=s&q=a" };
  CU_ASSERT_EQUAL (run_parallel (calls, 2, 500), 2);
  CU_ASSERT_EQUAL (count_of (&fixture, "overloads"), 1);
  CU_ASSERT_EQUAL (call_status (&fixture, "/health", NULL, NULL), 500);
  g_usleep (250000);
  for (int i = 0; i < 2; i++)
    CU_ASSERT_EQUAL (call_status (&fixture, "/search?shard=s&q=a", NULL, NULL), 200);
  CU_ASSERT_EQUAL (run_parallel (calls, 2, 200), 2);
  fixture_stop (&fixture);
}

/* Guards against edits that run after their deadline or their cancellation, and against
 * edits that run without being counted. */
static void
edits_run_once_or_not_at_all (void)
{
  fixture_t fixture = fixture_start ("{\"latency_median_us\":300000,\"slots\":4}");
  CU_ASSERT_EQUAL (call_status (&fixture, "/entries/e", "X-Request-Id: r1", "\"one\""),
                   200);
  CU_ASSERT_EQUAL (call_status (&fixture, "/entries/e", "X-Deadline-Ms: 20", "\"two\""),
                   504);
  parallel_call_t edit = { .fixture = &fixture,
                           .path = "/entries/e",
                           .header = "X-Request-Id: r3",
                           .body = "\"three\"" };
  edit.thread = g_thread_new ("call", run_call, &edit);
  g_usleep (100000);
  CU_ASSERT_EQUAL (call_status (&fixture, "/cancel/r3", NULL, ""), 200);
  g_thread_join (edit.thread);
  CU_ASSERT_EQUAL (edit.status, 499);
  jd_http_reply_t reply = jd_http_get ("%s/executions", fixture.url);
  json_t *requests = json_object_get (reply.json, "requests");
  CU_ASSERT_EQUAL (json_object_size (requests), 1);
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (requests, "r1")), 1);
  jd_http_reply_clear (&reply);
  fixture_stop (&fixture);
}

/* Guards against conditions of POST /faults that have no effect, and against a value of
 * the wrong type that is accepted. */
static void
posted_conditions_take_effect (void)
{
  fixture_t fixture = fixture_start ("{}");
  const char *search = "/search?shard=s&q=a";
  CU_ASSERT_EQUAL (call_status (&fixture, "/faults", NULL, "{\"shed\":true}"), 200);
  CU_ASSERT_EQUAL (call_status (&fixture, search, NULL, NULL), 503);
  CU_ASSERT_EQUAL (call_status (&fixture, "/faults", NULL, "{\"shed\":1}"), 400);
  call_status (&fixture, "/faults", NULL, "{\"shed\":false,\"close_after_read\":true}");
  CU_ASSERT_EQUAL (call_status (&fixture, search, NULL, NULL), 0);
  call_status (&fixture, "/faults", NULL,
               "{\"close_after_read\":false,\"crossed_reply\":true,\"freeze_ms\":200}");
  jd_http_reply_t reply = jd_http_get ("%s%s", fixture.url, search);
  CU_ASSERT (reply.seconds >= 0.15);
  CU_ASSERT_PTR_NOT_NULL (strstr (reply.headers, "X-Request-Id: crossed"));
  jd_http_reply_clear (&reply);
  fixture_stop (&fixture);
}

/* curl write callback that discards the body. */
static size_t
discard_body (char *bytes, size_t size, size_t count, void *context)
{
  return size * count;
}

/* Sends a search on the handle's connection if that is open. Returns TRUE if an answer
 * arrived within 300 ms. */
static gboolean
search_on_connection (const fixture_t *fixture, CURL *curl_handle)
{
  char *url = g_strconcat (fixture->url, "/search?shard=s&q=a", NULL);
  curl_easy_setopt (curl_handle, CURLOPT_URL, url);
  curl_easy_setopt (curl_handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl_handle, CURLOPT_PROXY, "");
  curl_easy_setopt (curl_handle, CURLOPT_TIMEOUT_MS, 300L);
  curl_easy_setopt (curl_handle, CURLOPT_WRITEFUNCTION, discard_body);
  gboolean answered = curl_easy_perform (curl_handle) == CURLE_OK;
  g_free (url);
  return answered;
}

/* Guards against a connection limit or a silence fault without effect, and against a
 * silence fault that also affects new connections instead of only the open ones. */
static void
connections_are_limited_and_open_ones_can_be_silent (void)
{
  fixture_t fixture = fixture_start ("{\"connections\":1}");
  CURL *curl_handle = curl_easy_init ();
  CU_ASSERT_TRUE (search_on_connection (&fixture, curl_handle));
  CU_ASSERT_EQUAL (call_status (&fixture, "/health", NULL, NULL), 0);
  CU_ASSERT_TRUE (search_on_connection (&fixture, curl_handle));
  CU_ASSERT_EQUAL (count_of (&fixture, "connection_setups"), 1);
  call_status (&fixture, "/faults", NULL,
               "{\"connections\":25,\"silent_connections\":true}");
  CU_ASSERT_FALSE (search_on_connection (&fixture, curl_handle));
  CU_ASSERT_EQUAL (call_status (&fixture, "/health", NULL, NULL), 200);
  CU_ASSERT_TRUE (search_on_connection (&fixture, curl_handle));
  CU_ASSERT_EQUAL (count_of (&fixture, "silent"), 1);
  curl_easy_cleanup (curl_handle);
  fixture_stop (&fixture);
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "search returns the computed hits", search_returns_the_computed_hits },
    { "requests beyond slots and queue are shed",
      requests_beyond_slots_and_queue_are_shed },
    { "cold start fails above its capacity", cold_start_fails_above_its_capacity },
    { "edits run once, or not at all after a deadline or a cancellation",
      edits_run_once_or_not_at_all },
    { "conditions of POST /faults take effect", posted_conditions_take_effect },
    { "connections are limited, and open ones can be made silent",
      connections_are_limited_and_open_ones_can_be_silent },
  };
  return JD_TEST_RUN ("target_stand_in", cases);
}
