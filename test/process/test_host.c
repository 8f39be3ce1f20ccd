#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "support/host_lab.h"
#include "support/test_main.h"

#define SHARDS 4U
#define STUDIO (size_t) (2U * SHARDS) /* Index of the first target of service studio. */

/* Returns the text of a request with a deadline of 1500 ms; free with g_free. */
static char *
request_text (const char *method, const char *target, const char *id, const char *fields)
{
  const char *body = strcmp (method, "POST") == 0 ? "text" : "";
  return g_strdup_printf ("%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\n"
                          "X-Deadline-Ms: 1500\r\n%sContent-Length: %zu\r\n\r\n%s",
                          method, target, id, fields, strlen (body), body);
}

static jd_host_fixture_reply_t *
call (jd_host_fixture_t *fixture, uint32_t host, const char *method, const char *target,
      const char *id, const char *fields)
{
  char *text = request_text (method, target, id, fields);
  jd_host_fixture_reply_t *reply = jd_host_fixture_call (fixture, host, text);
  g_free (text);
  return reply;
}

static uint32_t
status_of (jd_host_fixture_t *fixture, uint32_t host, const char *target,
           const char *fields)
{
  static uint32_t count;
  char id[32];
  g_snprintf (id, sizeof (id), "status-%u", count++);
  jd_host_fixture_reply_t *reply = call (fixture, host, "GET", target, id, fields);
  uint32_t status = reply->status;
  jd_host_fixture_reply_free (reply);
  return status;
}

/* Repeats a GET until it gets `status`. Returns FALSE if none does within `seconds`. */
static bool
wait_for_status (jd_host_fixture_t *fixture, uint32_t host, const char *target,
                 const char *fields, uint32_t status, double seconds)
{
  int64_t end_us = jd_monotonic_us () + (int64_t)(seconds * (double)JD_US_PER_S);
  while (jd_monotonic_us () < end_us)
    {
      if (status_of (fixture, host, target, fields) == status)
        return true;
      jd_host_fixture_run (fixture, 0.05);
    }
  return false;
}

/* Guards against an answer without the part of some shard, with a wrong count of missing
 * shards or with records out of order, and against targets that receive a changed path,
 * the caller's key or another tenant. */
static void
search_merges_all_shards (void)
{
  jd_host_fixture_t fixture = { 0 };
  jd_host_fixture_open (&fixture, 2, SHARDS);
  CU_ASSERT_TRUE_FATAL (jd_host_fixture_wait_ready (&fixture, 0, 5.0));
  CU_ASSERT_TRUE (wait_for_status (&fixture, 0, "/search/a%2Fb%00c?x=%20&y",
                                   JD_HOST_FIXTURE_KEY, 200, 5.0));
  jd_host_fixture_reply_t *reply =
      call (&fixture, 0, "GET", "/search/a%2Fb%00c?x=%20&y", "s-1", JD_HOST_FIXTURE_KEY);
  CU_ASSERT_EQUAL (reply->status, 200);
  CU_ASSERT_STRING_EQUAL (reply->missing_parts, "0");
  char **stamps = g_strsplit (reply->stamps, ",", -1);
  CU_ASSERT_EQUAL (g_strv_length (stamps), SHARDS);
  g_strfreev (stamps);
  CU_ASSERT_EQUAL (reply->body->len, (size_t)4 * 16);
  for (size_t i = 1; i < 4; i++)
    CU_ASSERT_TRUE (
        memcmp (reply->body->str + 16 * (i - 1), reply->body->str + 16 * i, 16) >= 0);
  uint32_t runs = 0;
  for (uint32_t i = 0; i < STUDIO; i++)
    {
      runs += jd_shard_target_run_count (fixture.targets[i].target, "s-1");
      CU_ASSERT_FALSE (jd_shard_target_received_key (fixture.targets[i].target));
      const char *target =
          jd_shard_target_last_request_target (fixture.targets[i].target);
      CU_ASSERT_TRUE (!target || strcmp (target, "/search/a%2Fb%00c?x=%20&y") == 0);
      const char *tenant = jd_shard_target_last_tenant (fixture.targets[i].target);
      CU_ASSERT_TRUE (!tenant || strcmp (tenant, "school") == 0);
    }
  CU_ASSERT_TRUE (runs >= SHARDS);
  jd_host_fixture_reply_free (reply);
  jd_host_fixture_close (&fixture);
}

/* Guards against requests that run without a valid key or on an unknown route, and
 * against hosts that apply a configuration later than 3 s after it is published. */
static void
configuration_applies_to_keys_and_routes (void)
{
  jd_host_fixture_t fixture = { 0 };
  jd_host_fixture_open (&fixture, 2, SHARDS);
  CU_ASSERT_TRUE_FATAL (jd_host_fixture_wait_ready (&fixture, 0, 5.0));
  CU_ASSERT_TRUE (
      wait_for_status (&fixture, 0, "/fetch/1", JD_HOST_FIXTURE_KEY, 200, 5.0));
  CU_ASSERT_EQUAL (status_of (&fixture, 0, "/fetch/1", ""), 401);
  CU_ASSERT_EQUAL (status_of (&fixture, 0, "/fetch/1", "Authorization: Token other\r\n"),
                   401);
  CU_ASSERT_EQUAL (status_of (&fixture, 0, "/nowhere/", JD_HOST_FIXTURE_KEY), 404);
  fixture.has_key = false;
  jd_host_fixture_publish_config (&fixture);
  CU_ASSERT_TRUE (
      wait_for_status (&fixture, 0, "/fetch/1", JD_HOST_FIXTURE_KEY, 401, 3.0));
  CU_ASSERT_TRUE (
      wait_for_status (&fixture, 1, "/fetch/1", JD_HOST_FIXTURE_KEY, 401, 3.0));
  jd_host_fixture_close (&fixture);
}

/* Guards against targets that receive requests more than 3 s after their record is
 * published as draining or is removed, and against forged or unreadable records that a
 * host uses or that stop it from serving. */
static void
hosts_apply_published_targets (void)
{
  jd_host_fixture_t fixture = { 0 };
  jd_host_fixture_open (&fixture, 2, SHARDS);
  CU_ASSERT_TRUE_FATAL (jd_host_fixture_wait_ready (&fixture, 0, 5.0));
  jd_published_store_put (fixture.store, "servers/forged", "{\"service\":\"studio\"}");
  jd_published_store_put (fixture.store, "servers/worse", "\xff\xfe not json");
  jd_published_store_put (fixture.store, "servers/x",
                          "{\"service\":7,\"address\":[],\"zone\":null,\"state\":1}");
  CU_ASSERT_TRUE (
      wait_for_status (&fixture, 0, "/fetch/1", JD_HOST_FIXTURE_KEY, 200, 5.0));
  jd_host_fixture_publish_target (&fixture, STUDIO, "draining");
  jd_host_fixture_run (&fixture, 3.0);
  uint32_t before = jd_shard_target_total_run_count (fixture.targets[STUDIO].target);
  for (int i = 0; i < 20; i++)
    CU_ASSERT_EQUAL (status_of (&fixture, i % 2, "/fetch/1", JD_HOST_FIXTURE_KEY), 200);
  CU_ASSERT_EQUAL (jd_shard_target_total_run_count (fixture.targets[STUDIO].target),
                   before);
  jd_host_fixture_publish_target (&fixture, STUDIO + 1, NULL);
  jd_host_fixture_run (&fixture, 3.0);
  jd_host_fixture_reply_t *reply =
      call (&fixture, 0, "GET", "/fetch/1", "none-left", JD_HOST_FIXTURE_KEY);
  CU_ASSERT_EQUAL (reply->status, 503);
  CU_ASSERT_PTR_NOT_NULL (reply->retry_after);
  jd_host_fixture_reply_free (reply);
  jd_host_fixture_close (&fixture);
}

/* Publishes odd records of targets and odd items around them. The names are distributed
 * over the pages of a full read. */
static void
publish_odd_records (jd_host_fixture_t *fixture)
{
  static const char *const numbers[] = {
    "1e300", "1e400", "9223372036854775808", "-1", "\"1\"", "[]", "null", "1.5",
  };
  static const char *const addresses[] = {
    "127.0.0.1:0",           "127.0.0.1:65536", "127.0.0.1:99999999999", "127.0.0.1:-1",
    "127.0.0.1:8080:1",      "127.0.0.1",       "999.0.0.1:80",          ":",
    "127.0.0.1:8080\\u0000", "\xff\xfe:80",
  };
  GString *nested = g_string_new (NULL);
  for (int i = 0; i < 100000; i++)
    g_string_append_c (nested, '[');
  for (int i = 0; i < 100000; i++)
    g_string_append_c (nested, ']');
  for (size_t i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      char *key = g_strdup_printf ("servers/i-%zu-odd-a", i % 8);
      char *value = g_strdup_printf (
          "{\"service\":\"studio\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\",\"slots\":%"
          "s,"
          "\"state\":\"ready\",\"coldLeftMs\":%s,\"seq\":%s,\"born\":%s}",
          numbers[i], numbers[i], numbers[i], numbers[i]);
      jd_published_store_put (fixture->store, key, value);
      g_free (value);
      value = g_strdup_printf (
          "{\"key\":\"servers/odd\",\"value\":\"e30=\",\"revision\":%s}", numbers[i]);
      g_free (key);
      key = g_strdup_printf ("servers/i-%zu-odd-b", i % 8);
      jd_published_store_put_item (fixture->store, key, value);
      g_free (value);
      g_free (key);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (addresses); i++)
    {
      char *key = g_strdup_printf ("servers/i-%zu-odd-c", i % 8);
      char *value = g_strdup_printf (
          "{\"service\":\"studio\",\"address\":\"%s\",\"zone\":\"a\",\"slots\":2,"
          "\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1,\"born\":1}",
          addresses[i]);
      jd_published_store_put (fixture->store, key, value);
      g_free (value);
      g_free (key);
    }
  jd_published_store_put (fixture->store, "servers/i-1-odd-d", nested->str);
  jd_published_store_put_item (fixture->store, "servers/i-2-odd-d", nested->str);
  jd_published_store_put_item (fixture->store, "servers/i-3-odd-d",
                               "{\"key\":\"servers/x\\u0000\",\"revision\":1}");
  g_string_free (nested, TRUE);
}

/* Guards against odd records, and odd items in the lists of the store, that end a host or
 * keep it from following the others: nested too deeply, with numbers that are too large,
 * with ports out of range, with bytes that are no text. */
static void
odd_records_do_not_stop_hosts (void)
{
  jd_host_fixture_t fixture = { 0 };
  jd_host_fixture_open (&fixture, 2, SHARDS);
  CU_ASSERT_TRUE_FATAL (jd_host_fixture_wait_ready (&fixture, 0, 5.0));
  CU_ASSERT_TRUE (
      wait_for_status (&fixture, 0, "/fetch/1", JD_HOST_FIXTURE_KEY, 200, 5.0));
  publish_odd_records (&fixture);
  fixture.has_key = false;
  jd_host_fixture_publish_config (&fixture);
  for (uint32_t host = 0; host < 2; host++)
    CU_ASSERT_TRUE (
        wait_for_status (&fixture, host, "/fetch/1", JD_HOST_FIXTURE_KEY, 401, 3.0));
  /* Now with a full read, on a host that is started among the odd records. */
  fixture.has_key = true;
  jd_host_fixture_publish_config (&fixture);
  jd_published_store_discard_history (fixture.store);
  CU_ASSERT_EQUAL (jd_host_fixture_stop_host (&fixture, 1, SIGTERM), 0);
  jd_host_fixture_start_host (&fixture, 1);
  CU_ASSERT_TRUE (jd_host_fixture_wait_ready (&fixture, 1, 5.0));
  for (uint32_t host = 0; host < 2; host++)
    {
      CU_ASSERT_TRUE (
          wait_for_status (&fixture, host, "/search/1", JD_HOST_FIXTURE_KEY, 200, 3.0));
      for (int i = 0; i < 10; i++)
        CU_ASSERT_EQUAL (status_of (&fixture, host, "/fetch/1", JD_HOST_FIXTURE_KEY),
                         200);
    }
  jd_host_fixture_close (&fixture);
}

/* Guards against a host that stops serving while the store is silent or answers with
 * failures, and against changes that it never applies when the store returns without its
 * history. */
static void
hosts_serve_during_store_outages (void)
{
  static const jd_store_mode_t store_faults[] = { JD_STORE_SILENT, JD_STORE_UNAVAILABLE,
                                                  JD_STORE_BUSY };
  jd_host_fixture_t fixture = { 0 };
  jd_host_fixture_open (&fixture, 1, SHARDS);
  CU_ASSERT_TRUE_FATAL (jd_host_fixture_wait_ready (&fixture, 0, 5.0));
  CU_ASSERT_TRUE (
      wait_for_status (&fixture, 0, "/search/1", JD_HOST_FIXTURE_KEY, 200, 5.0));
  for (size_t i = 0; i < G_N_ELEMENTS (store_faults); i++)
    {
      jd_published_store_set_mode (fixture.store, store_faults[i]);
      jd_host_fixture_run (&fixture, 1.5);
      CU_ASSERT_EQUAL (status_of (&fixture, 0, "/search/1", JD_HOST_FIXTURE_KEY), 200);
      fixture.has_key = !fixture.has_key;
      jd_host_fixture_publish_config (&fixture);
      jd_published_store_discard_history (fixture.store);
      jd_published_store_set_mode (fixture.store, JD_STORE_SERVES);
      CU_ASSERT_TRUE (wait_for_status (&fixture, 0, "/search/1", JD_HOST_FIXTURE_KEY,
                                       fixture.has_key ? 200 : 401, 4.0));
      fixture.has_key = true;
      jd_host_fixture_publish_config (&fixture);
      CU_ASSERT_TRUE (
          wait_for_status (&fixture, 0, "/search/1", JD_HOST_FIXTURE_KEY, 200, 3.0));
    }
  jd_host_fixture_close (&fixture);
}

/* Guards against a host that stays without records because it cannot reach the store,
 * although another host has them. */
static void
host_copies_records_from_another_host (void)
{
  jd_host_fixture_t fixture = { 0 };
  jd_host_fixture_open (&fixture, 2, SHARDS);
  CU_ASSERT_TRUE_FATAL (jd_host_fixture_wait_ready (&fixture, 0, 5.0));
  jd_host_fixture_stop_host (&fixture, 1, SIGKILL);
  g_strlcpy (fixture.store_address, "127.0.0.1:9", sizeof (fixture.store_address));
  jd_host_fixture_start_host (&fixture, 1);
  CU_ASSERT_TRUE (jd_host_fixture_wait_ready (&fixture, 1, 5.0));
  CU_ASSERT_TRUE (
      wait_for_status (&fixture, 1, "/search/1", JD_HOST_FIXTURE_KEY, 200, 3.0));
  fixture.has_key = false;
  jd_host_fixture_publish_config (&fixture);
  CU_ASSERT_TRUE (
      wait_for_status (&fixture, 1, "/search/1", JD_HOST_FIXTURE_KEY, 401, 3.0));
  jd_host_fixture_close (&fixture);
}

/* Guards against edits that run twice, against status 503 for an edit that ran and
 * against status 200 for one that did not, when targets refuse requests, fail, or lose,
 * truncate and mix up their answers. */
static void
edits_run_at_most_once (void)
{
  jd_host_fixture_t fixture = { 0 };
  jd_host_fixture_open (&fixture, 1, SHARDS);
  CU_ASSERT_TRUE_FATAL (jd_host_fixture_wait_ready (&fixture, 0, 5.0));
  CU_ASSERT_TRUE (
      wait_for_status (&fixture, 0, "/fetch/1", JD_HOST_FIXTURE_KEY, 200, 5.0));
  jd_shard_faults_t faults = { .shed_share = 0.3,
                               .error_share = 0.1,
                               .close_without_answer_share = 0.15,
                               .truncate_share = 0.1,
                               .extra_answer_share = 0.1,
                               .delay_us = 12000 };
  jd_shard_target_set_faults (fixture.targets[STUDIO].target, &faults);
  jd_shard_target_set_faults (fixture.targets[STUDIO + 1].target, &faults);
  uint32_t served = 0;
  for (int i = 0; i < 300; i++)
    {
      char id[16];
      g_snprintf (id, sizeof (id), "edit-%d", i);
      jd_host_fixture_reply_t *reply =
          call (&fixture, 0, "POST", "/edit/1", id, JD_HOST_FIXTURE_KEY);
      uint32_t runs = jd_shard_target_run_count (fixture.targets[STUDIO].target, id) +
                      jd_shard_target_run_count (fixture.targets[STUDIO + 1].target, id);
      CU_ASSERT_TRUE (runs <= 1);
      CU_ASSERT_TRUE (reply->status != 503 || runs == 0);
      CU_ASSERT_TRUE (reply->status != 200 || runs == 1);
      if (reply->status == 200)
        CU_ASSERT_PTR_NOT_NULL (strstr (reply->stamps, id));
      served += reply->status == 200;
      jd_host_fixture_reply_free (reply);
    }
  CU_ASSERT_TRUE (served > 100);
  jd_host_fixture_close (&fixture);
}

/* Guards against a search that fails, or merges the answer to another request, when
 * targets truncate, lose and mix up their answers. */
static void
searches_tolerate_faulty_answers (void)
{
  jd_host_fixture_t fixture = { 0 };
  jd_host_fixture_open (&fixture, 1, SHARDS);
  CU_ASSERT_TRUE_FATAL (jd_host_fixture_wait_ready (&fixture, 0, 5.0));
  CU_ASSERT_TRUE (
      wait_for_status (&fixture, 0, "/search/1", JD_HOST_FIXTURE_KEY, 200, 5.0));
  jd_shard_faults_t faults = { .truncate_share = 0.03,
                               .close_without_answer_share = 0.03,
                               .extra_answer_share = 0.1,
                               .delay_us = 2000 };
  for (uint32_t i = 0; i < STUDIO; i++)
    jd_shard_target_set_faults (fixture.targets[i].target, &faults);
  uint32_t served = 0;
  for (int i = 0; i < 200; i++)
    {
      char id[16];
      g_snprintf (id, sizeof (id), "bad-%d", i);
      jd_host_fixture_reply_t *reply =
          call (&fixture, 0, "GET", "/search/1", id, JD_HOST_FIXTURE_KEY);
      if (reply->status == 200)
        {
          char **stamps = g_strsplit (reply->stamps, ", ", -1);
          uint32_t count = g_strv_length (stamps);
          for (uint32_t s = 0; s < count; s++)
            CU_ASSERT_PTR_NOT_NULL (strstr (stamps[s], id));
          CU_ASSERT_EQUAL (count + atoi (reply->missing_parts), SHARDS);
          CU_ASSERT_TRUE (count >= 3);
          g_strfreev (stamps);
          served++;
        }
      jd_host_fixture_reply_free (reply);
    }
  CU_ASSERT_TRUE (served >= 180);
  jd_host_fixture_close (&fixture);
}

/* Guards against a host that stays ready or lets callers wait while it reaches no target,
 * and against one that is not ready again when targets are reachable. */
static void
host_without_reachable_targets_is_not_ready (void)
{
  jd_host_fixture_t fixture = { 0 };
  jd_host_fixture_open (&fixture, 1, SHARDS);
  CU_ASSERT_TRUE_FATAL (jd_host_fixture_wait_ready (&fixture, 0, 5.0));
  CU_ASSERT_TRUE (
      wait_for_status (&fixture, 0, "/search/1", JD_HOST_FIXTURE_KEY, 200, 5.0));
  for (uint32_t i = 0; i < fixture.target_count; i++)
    {
      g_snprintf (fixture.targets[i].published_address,
                  sizeof (fixture.targets[i].published_address), "127.0.0.1:%u", i + 2);
      jd_host_fixture_publish_target (&fixture, i, "ready");
    }
  CU_ASSERT_TRUE (
      wait_for_status (&fixture, 0, "/search/1", JD_HOST_FIXTURE_KEY, 503, 3.0));
  for (int i = 0; i < 20 && jd_host_fixture_ready_status (&fixture, 0) == 200; i++)
    jd_host_fixture_run (&fixture, 0.1);
  CU_ASSERT_EQUAL (jd_host_fixture_ready_status (&fixture, 0), 503);
  int64_t start_us = jd_monotonic_us ();
  jd_host_fixture_reply_t *reply =
      call (&fixture, 0, "GET", "/search/1", "cut-off", JD_HOST_FIXTURE_KEY);
  CU_ASSERT_EQUAL (reply->status, 503);
  CU_ASSERT_TRUE (reply->closes_connection);
  CU_ASSERT_PTR_NOT_NULL (reply->retry_after);
  CU_ASSERT_TRUE (jd_monotonic_us () - start_us < 100 * JD_US_PER_MS);
  jd_host_fixture_reply_free (reply);
  for (uint32_t i = 0; i < fixture.target_count; i++)
    {
      g_strlcpy (fixture.targets[i].published_address, fixture.targets[i].address,
                 sizeof (fixture.targets[i].published_address));
      jd_host_fixture_publish_target (&fixture, i, "ready");
    }
  CU_ASSERT_TRUE (jd_host_fixture_wait_ready (&fixture, 0, 4.0));
  CU_ASSERT_TRUE (
      wait_for_status (&fixture, 0, "/search/1", JD_HOST_FIXTURE_KEY, 200, 3.0));
  jd_host_fixture_close (&fixture);
}

/* Sets what both targets of service studio say about themselves. */
static void
set_studio_notices (jd_host_fixture_t *fixture, const jd_shard_notice_t *notice)
{
  for (size_t i = STUDIO; i < STUDIO + 2; i++)
    jd_shard_target_set_notice (fixture->targets[i].target, notice);
}

/* Returns how many requests the targets of service studio ran. */
static uint32_t
studio_runs (const jd_host_fixture_t *fixture)
{
  return jd_shard_target_total_run_count (fixture->targets[STUDIO].target) +
         jd_shard_target_total_run_count (fixture->targets[STUDIO + 1].target);
}

/* Checks that jackdawctl lists both targets of service studio as leaving, with the time
 * since they said so, which is over three seconds ago. */
static void
check_targets_command (const jd_host_fixture_t *fixture)
{
  const char *directory = g_getenv ("JACKDAW_BUILD_DIR");
  char *line = g_strdup_printf ("%s/jackdawctl targets --metrics=http://%s:%u/metrics",
                                directory ? directory : "build", fixture->hosts[0].ip,
                                fixture->hosts[0].metrics_port);
  char *output = NULL;
  CU_ASSERT_TRUE_FATAL (g_spawn_command_line_sync (line, &output, NULL, NULL, NULL));
  for (size_t i = STUDIO; i < STUDIO + 2; i++)
    {
      char *start =
          g_strdup_printf ("target=%s state=leaving age_s=", fixture->targets[i].id);
      const char *found = strstr (output, start);
      CU_ASSERT_PTR_NOT_NULL_FATAL (found);
      CU_ASSERT_TRUE (g_ascii_strtod (found + strlen (start), NULL) > 3.0);
      g_free (start);
    }
  g_free (output);
  g_free (line);
}

/* Guards against requests to a target that says in its answers that it is leaving, while
 * its record still says that it is ready: others are used at once, as the last one it is
 * used until the drain limit of 3 s, and after that callers are rejected at once. A new
 * process under the same id is used again; the return of the old record changes nothing.
 */
static void
leaving_targets_get_no_requests (void)
{
  jd_host_fixture_t fixture = { 0 };
  jd_host_fixture_open (&fixture, 1, SHARDS);
  CU_ASSERT_TRUE_FATAL (jd_host_fixture_wait_ready (&fixture, 0, 5.0));
  CU_ASSERT_TRUE (
      wait_for_status (&fixture, 0, "/fetch/1", JD_HOST_FIXTURE_KEY, 200, 5.0));
  jd_shard_notice_t notice = { .says_leaving = true };
  jd_shard_target_set_notice (fixture.targets[STUDIO].target, &notice);
  uint32_t before = jd_shard_target_total_run_count (fixture.targets[STUDIO].target);
  for (int i = 0; i < 40; i++)
    CU_ASSERT_EQUAL (status_of (&fixture, 0, "/fetch/1", JD_HOST_FIXTURE_KEY), 200);
  CU_ASSERT_TRUE (jd_shard_target_total_run_count (fixture.targets[STUDIO].target) <=
                  before + 1);
  set_studio_notices (&fixture, &notice);
  int64_t told_us = jd_monotonic_us ();
  CU_ASSERT_EQUAL (status_of (&fixture, 0, "/fetch/1", JD_HOST_FIXTURE_KEY), 200);
  CU_ASSERT_EQUAL (status_of (&fixture, 0, "/fetch/1", JD_HOST_FIXTURE_KEY), 200);
  int64_t waited_us = jd_monotonic_us () - told_us;
  jd_host_fixture_run (&fixture, 3.2 - (double)waited_us / (double)JD_US_PER_S);
  jd_host_fixture_publish_target (&fixture, STUDIO, NULL);
  jd_host_fixture_run (&fixture, 1.5);
  jd_host_fixture_publish_target (&fixture, STUDIO, "ready");
  jd_host_fixture_run (&fixture, 1.5);
  before = studio_runs (&fixture);
  int64_t start_us = jd_monotonic_us ();
  jd_host_fixture_reply_t *reply =
      call (&fixture, 0, "GET", "/fetch/1", "all-left", JD_HOST_FIXTURE_KEY);
  CU_ASSERT_EQUAL (reply->status, 503);
  CU_ASSERT_PTR_NOT_NULL (reply->retry_after);
  CU_ASSERT_TRUE (jd_monotonic_us () - start_us < 100 * JD_US_PER_MS);
  jd_host_fixture_reply_free (reply);
  CU_ASSERT_EQUAL (studio_runs (&fixture), before);
  check_targets_command (&fixture);
  notice.says_leaving = false;
  set_studio_notices (&fixture, &notice);
  jd_host_fixture_restart_target (&fixture, STUDIO);
  CU_ASSERT_TRUE (
      wait_for_status (&fixture, 0, "/fetch/1", JD_HOST_FIXTURE_KEY, 200, 3.0));
  jd_host_fixture_close (&fixture);
}

static void
count_arrival (void *context, jd_shard_target_t *target,
               const jd_shard_arrival_t *arrival)
{
  (*(uint32_t *)context)++;
}

/* Guards against requests to a target during the pause that it asked for, against callers
 * that wait although all targets of a service are paused, and against a Retry-After that
 * names an earlier time than the end of the pause. */
static void
paused_targets_get_no_requests (void)
{
  jd_host_fixture_t fixture = { 0 };
  uint32_t arrivals = 0;
  jd_host_fixture_open (&fixture, 1, SHARDS);
  CU_ASSERT_TRUE_FATAL (jd_host_fixture_wait_ready (&fixture, 0, 5.0));
  CU_ASSERT_TRUE (
      wait_for_status (&fixture, 0, "/fetch/1", JD_HOST_FIXTURE_KEY, 200, 5.0));
  for (size_t i = STUDIO; i < STUDIO + 2; i++)
    jd_shard_target_set_observer (fixture.targets[i].target, count_arrival, &arrivals);
  jd_shard_notice_t notice = { .is_paused = true, .pause = "tomorrow" };
  set_studio_notices (&fixture, &notice);
  for (int i = 0; i < 4; i++)
    {
      uint32_t before = arrivals;
      CU_ASSERT_EQUAL (status_of (&fixture, 0, "/fetch/1", JD_HOST_FIXTURE_KEY), 503);
      CU_ASSERT_TRUE (arrivals > before);
    }
  notice.pause = "1.5";
  set_studio_notices (&fixture, &notice);
  int64_t start_us = jd_monotonic_us ();
  for (int i = 0; i < 2; i++) /* A request need not reach both targets. */
    CU_ASSERT_EQUAL (status_of (&fixture, 0, "/fetch/1", JD_HOST_FIXTURE_KEY), 503);
  arrivals = 0;
  while (jd_monotonic_us () - start_us < 1400 * JD_US_PER_MS)
    {
      int64_t sent_us = jd_monotonic_us ();
      int64_t left_us = start_us + 1500 * JD_US_PER_MS - sent_us;
      jd_host_fixture_reply_t *reply =
          call (&fixture, 0, "GET", "/fetch/1", "paused", JD_HOST_FIXTURE_KEY);
      CU_ASSERT_EQUAL (reply->status, 503);
      CU_ASSERT_PTR_NOT_NULL_FATAL (reply->retry_after);
      /* The host names the end of the pause as of the time at which it answers. */
      double least_us = (double)(left_us - (jd_monotonic_us () - sent_us));
      CU_ASSERT_TRUE (g_ascii_strtod (reply->retry_after, NULL) * (double)JD_US_PER_S >=
                      MAX (least_us, 0.0) - (double)JD_US_PER_MS);
      CU_ASSERT_TRUE (jd_monotonic_us () - sent_us < 100 * JD_US_PER_MS);
      jd_host_fixture_reply_free (reply);
      jd_host_fixture_run (&fixture, 0.05);
    }
  CU_ASSERT_EQUAL (arrivals, 0);
  notice = (jd_shard_notice_t){ 0 };
  set_studio_notices (&fixture, &notice);
  CU_ASSERT_TRUE (
      wait_for_status (&fixture, 0, "/fetch/1", JD_HOST_FIXTURE_KEY, 200, 2.0));
  jd_host_fixture_close (&fixture);
}

typedef struct jd_stop_counts
{
  uint32_t running;
  uint32_t served_ok;
  uint32_t not_served;
} jd_stop_counts_t;

static void
count_reply (void *context, const jd_host_fixture_reply_t *reply)
{
  jd_stop_counts_t *count = context;
  count->running--;
  if (reply->status == 200)
    count->served_ok++;
  else
    count->not_served++;
}

/* Guards against a graceful stop that ends requests without an answer, and against a
 * stopping host that is ready. */
static void
graceful_stop_answers_all_requests (void)
{
  jd_host_fixture_t fixture = { 0 };
  jd_stop_counts_t count = { 0 };
  jd_host_fixture_open (&fixture, 1, SHARDS);
  CU_ASSERT_TRUE_FATAL (jd_host_fixture_wait_ready (&fixture, 0, 5.0));
  CU_ASSERT_TRUE (
      wait_for_status (&fixture, 0, "/search/1", JD_HOST_FIXTURE_KEY, 200, 5.0));
  for (uint32_t i = 0; i < fixture.target_count; i++)
    {
      jd_shard_faults_t faults = { .delay_us = 30000 };
      jd_shard_target_set_faults (fixture.targets[i].target, &faults);
    }
  for (int i = 0; i < 100; i++)
    {
      char id[16];
      g_snprintf (id, sizeof (id), "drain-%d", i);
      char *text = request_text ("GET", "/fetch/1", id, JD_HOST_FIXTURE_KEY);
      jd_host_fixture_call_async (&fixture, 0, text, 5.0, count_reply, &count);
      count.running++;
      g_free (text);
      if (i == 50)
        kill (fixture.hosts[0].pid, SIGTERM);
      if (i == 60)
        CU_ASSERT_EQUAL (jd_host_fixture_ready_status (&fixture, 0), 503);
      jd_host_fixture_run (&fixture, 0.01);
    }
  CU_ASSERT_EQUAL (jd_host_fixture_stop_host (&fixture, 0, SIGTERM), 0);
  CU_ASSERT_EQUAL (count.served_ok, 100);
  CU_ASSERT_EQUAL (count.not_served, 0);
  jd_host_fixture_close (&fixture);
}

/* Guards against a tenant that is served above its rate limit, and against status 429
 * without Retry-After. */
static void
tenant_rate_limit_is_enforced (void)
{
  jd_host_fixture_t fixture = { .school_rate_per_s = 10.0 };
  jd_host_fixture_open (&fixture, 1, SHARDS);
  CU_ASSERT_TRUE_FATAL (jd_host_fixture_wait_ready (&fixture, 0, 5.0));
  uint32_t served = 0, rejected_429 = 0;
  int64_t end_us = jd_monotonic_us () + 3 * JD_US_PER_S;
  while (jd_monotonic_us () < end_us)
    {
      jd_host_fixture_reply_t *reply =
          call (&fixture, 0, "GET", "/fetch/1", "rate", JD_HOST_FIXTURE_KEY);
      served += reply->status == 200;
      rejected_429 += reply->status == 429;
      if (reply->status == 429)
        CU_ASSERT_PTR_NOT_NULL (reply->retry_after);
      jd_host_fixture_reply_free (reply);
    }
  CU_ASSERT_TRUE (rejected_429 > 0);
  CU_ASSERT_TRUE (served <= (10 * 3 + 10) * 1.25 + 20);
  jd_host_fixture_close (&fixture);
}

/* Sends edits one after the other and returns the number of rejected ones. Checks that a
 * rejected edit did not run and that its answer has a Retry-After. */
static uint32_t
send_edits (jd_host_fixture_t *fixture, uint32_t count)
{
  static uint32_t number;
  uint32_t rejected = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      char id[32];
      g_snprintf (id, sizeof (id), "busy-%u", number++);
      jd_host_fixture_reply_t *reply =
          call (fixture, 0, "POST", "/edit/1", id, JD_HOST_FIXTURE_KEY);
      uint32_t runs = jd_shard_target_run_count (fixture->targets[STUDIO].target, id) +
                      jd_shard_target_run_count (fixture->targets[STUDIO + 1].target, id);
      CU_ASSERT_TRUE (reply->status == 200 || reply->status == 503);
      CU_ASSERT_EQUAL (runs, reply->status == 200 ? 1 : 0);
      CU_ASSERT_TRUE (reply->status == 200 || reply->retry_after != NULL);
      rejected += reply->status == 503;
      jd_host_fixture_reply_free (reply);
    }
  return rejected;
}

/* Guards against requests that are admitted while the targets of their route are
 * overloaded, against rejections after the overload, and against rejected requests that
 * run. */
static void
requests_to_overloaded_targets_are_rejected (void)
{
  jd_host_fixture_t fixture = { 0 };
  jd_host_fixture_open (&fixture, 1, SHARDS);
  CU_ASSERT_TRUE_FATAL (jd_host_fixture_wait_ready (&fixture, 0, 5.0));
  CU_ASSERT_TRUE (
      wait_for_status (&fixture, 0, "/edit/1", JD_HOST_FIXTURE_KEY, 200, 5.0));
  CU_ASSERT_EQUAL (send_edits (&fixture, 30), 0);
  /* 200 requests of 3 ms on 2 slots take 300 ms; the objective is 200 ms. */
  jd_shard_faults_t overloaded = { .delay_us = 3000, .reported_queue_length = 200 };
  jd_shard_faults_t not_overloaded = { .delay_us = 3000 };
  for (size_t i = STUDIO; i < STUDIO + 2; i++)
    jd_shard_target_set_faults (fixture.targets[i].target, &overloaded);
  CU_ASSERT_TRUE (send_edits (&fixture, 300) >= 100);
  jd_host_fixture_reply_t *reply = jd_host_fixture_metrics (&fixture, 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (reply->body->str, "{end=\"overloaded\"} "));
  CU_ASSERT_PTR_NULL (strstr (reply->body->str, "{end=\"overloaded\"} 0\n"));
  jd_host_fixture_reply_free (reply);
  for (size_t i = STUDIO; i < STUDIO + 2; i++)
    jd_shard_target_set_faults (fixture.targets[i].target, &not_overloaded);
  jd_host_fixture_run (&fixture, 1.2);
  CU_ASSERT_EQUAL (send_edits (&fixture, 100), 0);
  jd_host_fixture_close (&fixture);
}

/* Guards against metrics without labels for the kind and the end of requests and the zone
 * of targets, and against an address that serves no metrics. */
static void
metrics_have_kind_and_zone_labels (void)
{
  jd_host_fixture_t fixture = { 0 };
  jd_host_fixture_open (&fixture, 1, SHARDS);
  CU_ASSERT_TRUE_FATAL (jd_host_fixture_wait_ready (&fixture, 0, 5.0));
  for (int i = 0; i < 3; i++)
    CU_ASSERT_EQUAL (status_of (&fixture, 0, "/search/1", JD_HOST_FIXTURE_KEY), 200);
  jd_host_fixture_reply_t *reply = jd_host_fixture_metrics (&fixture, 0);
  CU_ASSERT_EQUAL (reply->status, 200);
  static const char *const expected[] = {
    "jackdaw_request_seconds_count{kind=\"search\",end=\"served\"} 3\n",
    "jackdaw_requests_total{end=\"served\"} 3\n",
    "jackdaw_hosts_live 1\n",
    "jackdaw_target_connections_refused_total 0\n",
    "jackdaw_peer_messages_forwarded_total 0\n",
    "jackdaw_phase_seconds{phase=\"connection\",quantile=\"0.99\"} ",
    "jackdaw_phase_seconds_count{phase=\"target\"} 1", /* 12 or more. */
    "jackdaw_phase_seconds_count{phase=\"answer\"} 3\n",
    "jackdaw_attempt_seconds{zone=\"a\",quantile=\"0.99\"} ",
    "jackdaw_log_lines_lost_total 0\n",
    "jackdaw_removals_held 0\n",
  };
  for (size_t i = 0; i < G_N_ELEMENTS (expected); i++)
    {
      CU_ASSERT_PTR_NOT_NULL (strstr (reply->body->str, expected[i]));
      if (!strstr (reply->body->str, expected[i]))
        printf ("missing: %sin:\n%s", expected[i], reply->body->str);
    }
  CU_ASSERT_PTR_NULL (strstr (reply->body->str, "kind=\"edit\""));
  jd_host_fixture_reply_free (reply);
  jd_host_fixture_close (&fixture);
}

/* Searches of the test below, and the platform's window for extra attempts. */
#define SEARCHES 120
#define EXTRA_WINDOW_US (10 * JD_US_PER_S)

/* Guards against targets that get as many requests as others although they reject them
 * with free slots, and against searches that are started although their shards cannot
 * complete them within the bound on extra attempts. */
static void
rejecting_targets_are_avoided (void)
{
  jd_host_fixture_t fixture = { 0 };
  jd_host_fixture_open (&fixture, 1, SHARDS);
  CU_ASSERT_TRUE_FATAL (jd_host_fixture_wait_ready (&fixture, 0, 5.0));
  CU_ASSERT_TRUE (
      wait_for_status (&fixture, 0, "/search/1", JD_HOST_FIXTURE_KEY, 200, 5.0));
  const jd_shard_faults_t rejects = { .shed_share = 0.8,
                                      .sheds_while_free = true,
                                      .delay_us = 3000 };
  uint32_t arrivals = 0;
  /* The first target of the first shard is in the zone of the host, which prefers it. */
  jd_shard_target_set_faults (fixture.targets[0].target, &rejects);
  jd_shard_target_set_observer (fixture.targets[0].target, count_arrival, &arrivals);
  for (int i = 0; i < 40; i++)
    CU_ASSERT_EQUAL (status_of (&fixture, 0, "/search/1", JD_HOST_FIXTURE_KEY), 200);
  printf ("%u of 40 arrived ", arrivals);
  CU_ASSERT_TRUE (arrivals <= 10);
  const jd_shard_faults_t rejects_most = { .shed_share = 0.95,
                                           .sheds_while_free = true,
                                           .delay_us = 3000 };
  arrivals = 0;
  for (uint32_t i = 0; i < 2 * SHARDS; i++)
    {
      jd_shard_target_set_faults (fixture.targets[i].target, &rejects_most);
      jd_shard_target_set_observer (fixture.targets[i].target, count_arrival, &arrivals);
    }
  /* Once the host knows that, it rejects searches at once. It forgets within seconds
   * without answers, and then tries one. */
  uint32_t refused_count = 0;
  int64_t start_us = jd_monotonic_us ();
  for (int i = 0; i < SEARCHES; i++)
    refused_count += status_of (&fixture, 0, "/search/1", JD_HOST_FIXTURE_KEY) == 503;
  int64_t windows = 1 + (jd_monotonic_us () - start_us) / EXTRA_WINDOW_US;
  jd_host_fixture_reply_t *reply = jd_host_fixture_metrics (&fixture, 0);
  const char *scarce =
      strstr (reply->body->str, "jackdaw_searches_rejected_scarce_total ");
  CU_ASSERT_PTR_NOT_NULL_FATAL (scarce);
  g_assert (scarce != NULL);
  uint64_t scarce_count = g_ascii_strtoull (strchr (scarce, ' '), NULL, 10);
  printf ("%u refused, %" G_GUINT64_FORMAT " at once, %u arrivals in %" G_GINT64_FORMAT
          " windows ",
          refused_count, scarce_count, arrivals, windows);
  CU_ASSERT_TRUE (scarce_count >= 20);
  CU_ASSERT_TRUE (refused_count >= scarce_count);
  /* Each search that is started arrives at each shard once. Beyond that, the platform
   * allows a fifth of the searches, and retry-slack in each window. */
  uint64_t first_count = (SEARCHES - scarce_count) * SHARDS;
  CU_ASSERT_TRUE (arrivals <=
                  first_count + SHARDS * (SEARCHES / 5 + (uint64_t)windows * 58));
  CU_ASSERT_PTR_NOT_NULL (strstr (reply->body->str, "jackdaw_targets_rejecting "));
  jd_host_fixture_reply_free (reply);
  jd_host_fixture_close (&fixture);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "search merges all shards", search_merges_all_shards },
    { "a configuration applies to keys and routes",
      configuration_applies_to_keys_and_routes },
    { "hosts apply published targets", hosts_apply_published_targets },
    { "hosts serve during store outages", hosts_serve_during_store_outages },
    { "a host copies records from another host", host_copies_records_from_another_host },
    { "edits run at most once", edits_run_at_most_once },
    { "searches tolerate faulty answers", searches_tolerate_faulty_answers },
    { "odd records do not stop hosts", odd_records_do_not_stop_hosts },
    { "leaving targets get no requests", leaving_targets_get_no_requests },
    { "paused targets get no requests", paused_targets_get_no_requests },
    { "a graceful stop answers all requests", graceful_stop_answers_all_requests },
    { "a host without reachable targets is not ready",
      host_without_reachable_targets_is_not_ready },
    { "tenant rate limit is enforced", tenant_rate_limit_is_enforced },
    { "requests to overloaded targets are rejected",
      requests_to_overloaded_targets_are_rejected },
    { "rejecting targets are avoided", rejecting_targets_are_avoided },
    { "metrics have kind and zone labels", metrics_have_kind_and_zone_labels },
  };
  return JD_TEST_RUN ("host", cases);
}
