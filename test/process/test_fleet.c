#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "base/result_code.h"
#include "support/fleet_load.h"
#include "support/test_main.h"

/* docs/design.md 4.10: maximum time until a change of zones, targets or keys applies. */
#define CHANGE_BOUND_US (4 * JD_US_PER_S)

/* Counts over the records of a load. */
typedef struct summary
{
  uint32_t sent;
  uint32_t ok;
  uint32_t incomplete;
  uint32_t partial;
  uint32_t outcome_unknown;
  uint32_t wrong_ran; /* Edits whose "ran" disagrees with the targets' executions. */
  double worst_coverage;
} summary_t;

static jd_fleet_t
make_fleet (uint32_t entries, uint32_t brokers)
{
  return (jd_fleet_t){ .entries_per_zone = entries,
                       .brokers_per_zone = brokers,
                       .shard_count = 4,
                       .rate_per_s = 10000,
                       .burst = 20000 };
}

/* Returns TRUE if the "ran" of an edit's answer agrees with the executions at the
 * targets. */
static gboolean
ran_agrees_with_executions (jd_fleet_t *fleet, const jd_load_record_t *record)
{
  int executions = jd_fleet_execution_count (fleet, record->text);
  if (strcmp (record->ran, "no") == 0)
    return executions == 0;
  if (strcmp (record->ran, "yes") == 0)
    return executions == 1;
  return executions <= 1;
}

/* Stops and frees a load and returns its counts. Prints the counts, and each result other
 * than JD_OK with its time in ms, except JD_RATE_LIMITED if the rate limit is low. */
static summary_t
summarise (jd_fleet_t *fleet, jd_load_t *load)
{
  const jd_load_record_t *records;
  uint32_t count = jd_load_stop (load, &records);
  summary_t sum = { .worst_coverage = 1 };
  for (uint32_t i = 0; i < count; i++)
    {
      const jd_load_record_t *record = &records[i];
      if (!record->sent_us)
        continue;
      sum.sent++;
      sum.incomplete += record->is_incomplete;
      sum.ok += !record->is_incomplete && record->code == JD_OK;
      sum.partial += record->code == JD_PARTIAL;
      sum.outcome_unknown += strcmp (record->ran, "unknown") == 0;
      if (record->code != JD_OK &&
          (record->code != JD_RATE_LIMITED || fleet->rate_per_s > 1000))
        printf ("%s@%d ", jd_result_name ((jd_result_code_t)record->code),
                (int)((record->sent_us - records[0].sent_us) / JD_US_PER_MS));
      if (record->is_edit)
        sum.wrong_ran += !ran_agrees_with_executions (fleet, record);
      else if (record->code == JD_OK || record->code == JD_PARTIAL)
        sum.worst_coverage = MIN (sum.worst_coverage, record->coverage);
    }
  printf ("sent=%u ok=%u cut=%u partial=%u unknown=%u worst_coverage=%.2f ", sum.sent,
          sum.ok, sum.incomplete, sum.partial, sum.outcome_unknown, sum.worst_coverage);
  jd_load_free (load);
  return sum;
}

/* Sends a request that must be refused; checks the status, the code, and that the answer
 * has "ran" set to "no" and a message. */
static void
expect_refusal (const jd_fleet_process_t *entry, const char *method, const char *path,
                const char *header, const char *body, long status, jd_result_code_t code)
{
  char *url = g_strdup_printf ("http://127.0.0.1:%u%s", entry->http_port, path);
  jd_http_reply_t reply = jd_http_call (method, url, header, body, 5000);
  CU_ASSERT_EQUAL (reply.status, status);
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (reply.json, "code")), code);
  const char *ran = json_string_value (json_object_get (reply.json, "ran"));
  CU_ASSERT (ran && strcmp (ran, "no") == 0);
  const char *message = json_string_value (json_object_get (reply.json, "message"));
  CU_ASSERT (message && *message);
  jd_http_reply_clear (&reply);
  g_free (url);
}

/* Guards against invalid input that is answered with a wrong code, is executed, or
 * crashes a daemon. */
static void
invalid_input_is_refused (void)
{
  jd_fleet_t fleet = make_fleet (1, 1);
  CU_ASSERT_FATAL (jd_fleet_start (&fleet));
  const jd_fleet_process_t *entry = jd_fleet_process (&fleet, "a-entry-0");
  const char *search = "/v1/services/desk/search?q=word";
  const char *edit = "/v1/services/studio/entries/e1";
  char *large = g_strnfill (3145728, 'x');
  char *padding = g_strnfill (70000, 'x');
  char *long_header = g_strconcat ("X-Padding: ", padding, NULL);
  char *long_path = g_strconcat ("/v1/services/desk/search?q=", padding, NULL);
  expect_refusal (entry, "GET", search, NULL, NULL, 401, JD_KEY_MISSING);
  expect_refusal (entry, "GET", search, "X-Api-Key: other", NULL, 401, JD_KEY_UNKNOWN);
  expect_refusal (entry, "DELETE", search, JD_FLEET_KEY, NULL, 405,
                  JD_METHOD_NOT_ALLOWED);
  expect_refusal (entry, "GET", "/v1/services/none/search?q=w", JD_FLEET_KEY, NULL, 404,
                  JD_UNKNOWN_SERVICE);
  expect_refusal (entry, "GET", "/v1/services/desk/search", JD_FLEET_KEY, NULL, 400,
                  JD_BAD_REQUEST);
  expect_refusal (entry, "GET", "/v1/services/desk/search?q=w&timeout_ms=0", JD_FLEET_KEY,
                  NULL, 400, JD_BAD_REQUEST);
  expect_refusal (entry, "GET", "/v1/services/desk/search?q=w&limit=1x", JD_FLEET_KEY,
                  NULL, 400, JD_BAD_REQUEST);
  expect_refusal (entry, "POST", edit, JD_FLEET_KEY, "{\"text\":", 400, JD_BAD_JSON);
  expect_refusal (entry, "POST", edit, JD_FLEET_KEY, "[1]", 400, JD_BAD_JSON);
  expect_refusal (entry, "POST", edit, JD_FLEET_KEY, large, 413, JD_BODY_TOO_LARGE);
  /* The HTTP library would answer these with an error page of its own, without a code. */
  expect_refusal (entry, "GET", search, long_header, NULL, 431, JD_HEADERS_TOO_LARGE);
  expect_refusal (entry, "GET", "/nothing", long_header, NULL, 431, JD_HEADERS_TOO_LARGE);
  expect_refusal (entry, "GET", long_path, JD_FLEET_KEY, NULL, 431, JD_HEADERS_TOO_LARGE);
  /* An id that is truncated at the zero byte would name another item. */
  expect_refusal (entry, "POST", "/v1/services/studio/entries/a%2Fb%00c", JD_FLEET_KEY,
                  "{\"text\":\"x\"}", 400, JD_BAD_REQUEST);
  expect_refusal (entry, "GET", "/v1/services/desk/search?q=a%00b", JD_FLEET_KEY, NULL,
                  400, JD_BAD_REQUEST);
  expect_refusal (entry, "GET", "/nothing", JD_FLEET_KEY, NULL, 404, JD_UNKNOWN_ROUTE);
  g_free (large);
  g_free (padding);
  g_free (long_header);
  g_free (long_path);
  jd_fleet_publish (&fleet, "service.desk",
                    "{\"schema_version\":9,\"record_version\":2}");
  jd_fleet_publish (&fleet, "zones", "not JSON");
  g_usleep (JD_US_PER_S);
  jd_http_reply_t reply = jd_fleet_search (&fleet, entry);
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (reply.json, "code")), JD_OK);
  CU_ASSERT_EQUAL (json_array_size (json_object_get (reply.json, "hits")), 5);
  jd_http_reply_clear (&reply);
  CU_ASSERT_EQUAL (jd_fleet_stop (&fleet), 0);
}

/* Guards against requests that get no complete answer because an entry or a broker shuts
 * down gracefully, and against edits whose "ran" is wrong during a shutdown. */
static void
graceful_shutdown_leaves_no_incomplete_answer (void)
{
  jd_fleet_t fleet = make_fleet (2, 2);
  CU_ASSERT_FATAL (jd_fleet_start (&fleet));
  jd_load_t *load = jd_load_start (&fleet, 6, 5, 2000);
  g_usleep (JD_US_PER_S);
  CU_ASSERT_EQUAL (jd_fleet_end_process (&fleet, "a-entry-0", SIGTERM), 0);
  g_usleep (JD_US_PER_S / 2);
  CU_ASSERT_EQUAL (jd_fleet_end_process (&fleet, "a-broker-0", SIGTERM), 0);
  g_usleep (JD_US_PER_S);
  summary_t sum = summarise (&fleet, load);
  CU_ASSERT (sum.sent > 200);
  CU_ASSERT_EQUAL (sum.incomplete, 0);
  CU_ASSERT_EQUAL (sum.outcome_unknown, 0);
  CU_ASSERT_EQUAL (sum.wrong_ran, 0);
  CU_ASSERT_EQUAL (sum.ok, sum.sent);
  CU_ASSERT_EQUAL (jd_fleet_stop (&fleet), 0);
}

/* Guards against lost or duplicate edits and false coverage when a broker is killed, and
 * against a zone whose targets get no requests afterwards. */
static void
killed_broker_keeps_answers_correct (void)
{
  jd_fleet_t fleet = make_fleet (1, 3);
  CU_ASSERT_FATAL (jd_fleet_start (&fleet));
  jd_load_t *load = jd_load_start (&fleet, 6, 3, 2000);
  g_usleep (JD_US_PER_S / 2);
  jd_fleet_end_process (&fleet, "a-broker-1", SIGKILL);
  g_usleep (3500 * JD_US_PER_MS);
  summary_t sum = summarise (&fleet, load);
  CU_ASSERT_EQUAL (sum.incomplete, 0);
  CU_ASSERT_EQUAL (sum.wrong_ran, 0);
  CU_ASSERT (sum.ok >= sum.sent * 9 / 10);
  uint64_t before = jd_fleet_zone_request_count (&fleet, 0);
  for (int i = 0; i < 40; i++)
    {
      jd_http_reply_t reply =
          jd_fleet_search (&fleet, jd_fleet_process (&fleet, "a-entry-0"));
      CU_ASSERT_EQUAL (json_number_value (json_object_get (reply.json, "coverage")), 1.0);
      jd_http_reply_clear (&reply);
    }
  uint64_t after = jd_fleet_zone_request_count (&fleet, 0);
  printf ("own_zone=%u ", (uint32_t)(after - before));
  CU_ASSERT (after > before);
  CU_ASSERT_EQUAL (jd_fleet_stop (&fleet), 0);
}

/* Guards against work that a paused broker executes after the answer has reported it as
 * not run, and against requests that wait for that broker until they time out. */
static void
paused_broker_is_avoided (void)
{
  jd_fleet_t fleet = make_fleet (1, 2);
  CU_ASSERT_FATAL (jd_fleet_start (&fleet));
  jd_load_t *load = jd_load_start (&fleet, 6, 3, 2000);
  g_usleep (JD_US_PER_S / 2);
  kill (jd_fleet_process (&fleet, "a-broker-0")->pid, SIGSTOP);
  g_usleep (2 * JD_US_PER_S);
  kill (jd_fleet_process (&fleet, "a-broker-0")->pid, SIGCONT);
  g_usleep (2 * JD_US_PER_S);
  summary_t sum = summarise (&fleet, load);
  CU_ASSERT_EQUAL (sum.incomplete, 0);
  CU_ASSERT_EQUAL (sum.wrong_ran, 0);
  CU_ASSERT (sum.ok >= sum.sent * 8 / 10);
  CU_ASSERT_EQUAL (jd_fleet_stop (&fleet), 0);
}

/* Guards against a drained zone that still gets requests, lost coverage while the zone is
 * drained, and a restored zone that gets no requests. */
static void
zone_is_drained_and_restored (void)
{
  jd_fleet_t fleet = make_fleet (1, 1);
  CU_ASSERT_FATAL (jd_fleet_start (&fleet));
  jd_load_t *load = jd_load_start (&fleet, 4, 5, 3000);
  g_usleep (JD_US_PER_S / 2);
  jd_fleet_publish (&fleet, "zones",
                    "{\"schema_version\":1,\"record_version\":1,\"zones\":["
                    "{\"name\":\"b\",\"state\":\"out\"}]}");
  g_usleep (CHANGE_BOUND_US);
  uint64_t after_bound = jd_fleet_zone_request_count (&fleet, 1);
  g_usleep (JD_US_PER_S);
  CU_ASSERT_EQUAL (jd_fleet_zone_request_count (&fleet, 1), after_bound);
  jd_http_reply_t health = jd_http_get (
      "http://127.0.0.1:%u/healthz", jd_fleet_process (&fleet, "b-entry-0")->http_port);
  CU_ASSERT_EQUAL (health.status, 503);
  jd_http_reply_clear (&health);
  jd_fleet_publish (&fleet, "zones",
                    "{\"schema_version\":1,\"record_version\":2,\"zones\":["
                    "{\"name\":\"b\",\"state\":\"in\"}]}");
  g_usleep (CHANGE_BOUND_US);
  CU_ASSERT (jd_fleet_zone_request_count (&fleet, 1) > after_bound);
  summary_t sum = summarise (&fleet, load);
  CU_ASSERT_EQUAL (sum.incomplete, 0);
  CU_ASSERT_EQUAL (sum.wrong_ran, 0);
  CU_ASSERT_EQUAL (sum.worst_coverage, 1.0);
  CU_ASSERT_EQUAL (jd_fleet_stop (&fleet), 0);
}

/* Guards against a revoked key that is still accepted, also from a caller that keeps
 * sending, and against an older record that undoes the revocation. */
static void
revoked_key_is_refused (void)
{
  jd_fleet_t fleet = make_fleet (1, 1);
  CU_ASSERT_FATAL (jd_fleet_start (&fleet));
  const jd_fleet_process_t *entry = jd_fleet_process (&fleet, "b-entry-0");
  char *digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, "fleet-key", -1);
  char *text = g_strdup_printf ("{\"schema_version\":1,\"record_version\":2,\"keys\":[{"
                                "\"digest\":\"%s\",\"organisation\":\"school\","
                                "\"state\":\"revoked\"}]}",
                                digest);
  int64_t published_us = jd_load_now_us ();
  jd_fleet_publish (&fleet, "keys", text);
  int64_t refused_us = 0;
  for (int i = 0; i < 400 && !refused_us; i++)
    {
      jd_http_reply_t reply = jd_fleet_search (&fleet, entry);
      if (json_integer_value (json_object_get (reply.json, "code")) == JD_KEY_REVOKED)
        refused_us = jd_load_now_us ();
      jd_http_reply_clear (&reply);
      g_usleep (10 * JD_US_PER_MS);
    }
  CU_ASSERT_FATAL (refused_us > 0);
  CU_ASSERT (refused_us - published_us < CHANGE_BOUND_US);
  printf ("key refused after %d ms ", (int)((refused_us - published_us) / JD_US_PER_MS));
  jd_fleet_set_platform_faults (&fleet, "{\"stale\":\"older\"}");
  g_usleep (2 * JD_US_PER_S);
  jd_http_reply_t reply = jd_fleet_search (&fleet, entry);
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (reply.json, "code")),
                   JD_KEY_REVOKED);
  jd_http_reply_clear (&reply);
  g_free (digest);
  g_free (text);
  CU_ASSERT_EQUAL (jd_fleet_stop (&fleet), 0);
}

/* Guards against a platform outage that stops reads, and against edits with keys whose
 * state is older than the staleness limit (on_stale_keys is reads_only by default). */
static void
platform_outage_stops_edits_only (void)
{
  jd_fleet_t fleet = make_fleet (1, 1);
  fleet.key_staleness_limit_ms = 3000;
  CU_ASSERT_FATAL (jd_fleet_start (&fleet));
  const jd_fleet_process_t *entry = jd_fleet_process (&fleet, "a-entry-0");
  jd_fleet_set_platform_faults (&fleet, "{\"down\":\"close\"}");
  g_usleep (JD_US_PER_S / 2);
  jd_http_reply_t early = jd_fleet_edit (&fleet, entry, "e", "early");
  CU_ASSERT_EQUAL (early.status, 200);
  jd_http_reply_clear (&early);
  g_usleep (4 * JD_US_PER_S);
  jd_http_reply_t read = jd_fleet_search (&fleet, entry);
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (read.json, "code")), JD_OK);
  jd_http_reply_clear (&read);
  jd_http_reply_t edit = jd_fleet_edit (&fleet, entry, "e", "late");
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (edit.json, "code")),
                   JD_KEY_STATE_STALE);
  jd_http_reply_clear (&edit);
  CU_ASSERT_EQUAL (jd_fleet_execution_count (&fleet, "early"), 1);
  CU_ASSERT_EQUAL (jd_fleet_execution_count (&fleet, "late"), 0);
  CU_ASSERT_EQUAL (jd_fleet_stop (&fleet), 0);
}

/* Guards against an organisation that is admitted more than rate * window + burst times
 * at all entries together. */
static void
rate_limit_holds_at_all_entries (void)
{
  jd_fleet_t fleet = make_fleet (2, 1);
  fleet.rate_per_s = 40;
  fleet.burst = 20;
  CU_ASSERT_FATAL (jd_fleet_start (&fleet));
  int64_t start_us = jd_load_now_us ();
  jd_load_t *load = jd_load_start (&fleet, 8, 0, 1000);
  g_usleep (5 * JD_US_PER_S);
  summary_t sum = summarise (&fleet, load);
  double window_s = (double)(jd_load_now_us () - start_us) / JD_US_PER_S;
  uint32_t admitted = sum.ok + sum.partial;
  double allowed = fleet.rate_per_s * window_s + fleet.burst;
  printf ("admitted=%u allowed=%.0f ", admitted, allowed);
  CU_ASSERT (sum.sent > 2 * allowed);
  CU_ASSERT (admitted <= allowed);
  CU_ASSERT (admitted >= 0.8 * fleet.rate_per_s * 5);
  CU_ASSERT_EQUAL (jd_fleet_stop (&fleet), 0);
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "invalid input is refused", invalid_input_is_refused },
    { "requests get complete answers during a graceful shutdown",
      graceful_shutdown_leaves_no_incomplete_answer },
    { "edits and coverage stay correct when a broker is killed",
      killed_broker_keeps_answers_correct },
    { "requests avoid a paused broker", paused_broker_is_avoided },
    { "zone is drained and restored", zone_is_drained_and_restored },
    { "revoked key is refused", revoked_key_is_refused },
    { "platform outage stops edits only", platform_outage_stops_edits_only },
    { "rate limit holds at all entries together", rate_limit_holds_at_all_entries },
  };
  return JD_TEST_RUN ("fleet", cases);
}
