#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "support/host_lab.h"
#include "support/test_main.h"

#define SHARDS 4U
#define STUDIO (size_t) (2U * SHARDS) /* Index of the first target of studio. */

/* Returns a request; free with g_free. */
static char *
request_text (const char *method, const char *target, const char *id, const char *fields)
{
  const char *body = strcmp (method, "POST") == 0 ? "text" : "";
  return g_strdup_printf ("%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\n"
                          "X-Deadline-Ms: 1500\r\n%sContent-Length: %zu\r\n\r\n%s",
                          method, target, id, fields, strlen (body), body);
}

static jd_lab_reply_t *
call (jd_host_lab_t *lab, uint32_t host, const char *method, const char *target,
      const char *id, const char *fields)
{
  char *text = request_text (method, target, id, fields);
  jd_lab_reply_t *reply = jd_host_lab_call (lab, host, text);
  g_free (text);
  return reply;
}

/* Returns the status of a call. */
static uint32_t
status_of (jd_host_lab_t *lab, uint32_t host, const char *target, const char *fields)
{
  static uint32_t count;
  char id[32];
  g_snprintf (id, sizeof (id), "status-%u", count++);
  jd_lab_reply_t *reply = call (lab, host, "GET", target, id, fields);
  uint32_t status = reply->status;
  jd_lab_reply_free (reply);
  return status;
}

/* Waits up to some seconds until a call has a status. */
static bool
wait_status (jd_host_lab_t *lab, uint32_t host, const char *target, const char *fields,
             uint32_t status, double seconds)
{
  int64_t end_us = jd_monotonic_us () + (int64_t)(seconds * (double)JD_US_PER_S);
  while (jd_monotonic_us () < end_us)
    {
      if (status_of (lab, host, target, fields) == status)
        return true;
      jd_host_lab_run (lab, 0.05);
    }
  return false;
}

/* Guards against a search whose parts, coverage or order are not those of the shards, and
 * against a request that changes on its way or shows its key. */
static void
search_merges_all_shards (void)
{
  jd_host_lab_t lab = { 0 };
  jd_host_lab_open (&lab, 2, SHARDS);
  CU_ASSERT_TRUE_FATAL (jd_host_lab_wait_ready (&lab, 0, 5.0));
  CU_ASSERT_TRUE (
      wait_status (&lab, 0, "/search/a%2Fb%00c?x=%20&y", JD_LAB_KEY, 200, 5.0));
  jd_lab_reply_t *reply =
      call (&lab, 0, "GET", "/search/a%2Fb%00c?x=%20&y", "s-1", JD_LAB_KEY);
  CU_ASSERT_EQUAL (reply->status, 200);
  CU_ASSERT_STRING_EQUAL (reply->missing, "0");
  char **signatures = g_strsplit (reply->signatures, ",", -1);
  CU_ASSERT_EQUAL (g_strv_length (signatures), SHARDS);
  g_strfreev (signatures);
  CU_ASSERT_EQUAL (reply->body->len, (size_t)4 * 16);
  for (size_t i = 1; i < 4; i++)
    CU_ASSERT_TRUE (
        memcmp (reply->body->str + 16 * (i - 1), reply->body->str + 16 * i, 16) >= 0);
  uint32_t runs = 0;
  for (uint32_t i = 0; i < STUDIO; i++)
    {
      runs += jd_shard_target_runs (lab.targets[i].target, "s-1");
      CU_ASSERT_FALSE (jd_shard_target_saw_key (lab.targets[i].target));
      const char *target = jd_shard_target_last_target (lab.targets[i].target);
      CU_ASSERT_TRUE (!target || strcmp (target, "/search/a%2Fb%00c?x=%20&y") == 0);
      const char *tenant = jd_shard_target_last_tenant (lab.targets[i].target);
      CU_ASSERT_TRUE (!tenant || strcmp (tenant, "school") == 0);
    }
  CU_ASSERT_TRUE (runs >= SHARDS);
  jd_lab_reply_free (reply);
  jd_host_lab_close (&lab);
}

/* Guards against requests that run without a key or on an unknown route, and against
 * changes of the configuration that are not in force within 3 s. */
static void
keys_and_routes_follow_the_configuration (void)
{
  jd_host_lab_t lab = { 0 };
  jd_host_lab_open (&lab, 2, SHARDS);
  CU_ASSERT_TRUE_FATAL (jd_host_lab_wait_ready (&lab, 0, 5.0));
  CU_ASSERT_TRUE (wait_status (&lab, 0, "/fetch/1", JD_LAB_KEY, 200, 5.0));
  CU_ASSERT_EQUAL (status_of (&lab, 0, "/fetch/1", ""), 401);
  CU_ASSERT_EQUAL (status_of (&lab, 0, "/fetch/1", "Authorization: Token other\r\n"),
                   401);
  CU_ASSERT_EQUAL (status_of (&lab, 0, "/nowhere/", JD_LAB_KEY), 404);
  lab.has_key = false;
  jd_host_lab_publish_routes (&lab);
  CU_ASSERT_TRUE (wait_status (&lab, 0, "/fetch/1", JD_LAB_KEY, 401, 3.0));
  CU_ASSERT_TRUE (wait_status (&lab, 1, "/fetch/1", JD_LAB_KEY, 401, 3.0));
  jd_host_lab_close (&lab);
}

/* Guards against targets that get requests more than 3 s after they are published as
 * leaving, and against forged or unreadable entries that are used or do harm. */
static void
published_targets_are_followed (void)
{
  jd_host_lab_t lab = { 0 };
  jd_host_lab_open (&lab, 2, SHARDS);
  CU_ASSERT_TRUE_FATAL (jd_host_lab_wait_ready (&lab, 0, 5.0));
  jd_published_store_put (lab.store, "servers/forged", "{\"service\":\"studio\"}");
  jd_published_store_put (lab.store, "servers/worse", "\xff\xfe not json");
  jd_published_store_put (lab.store, "servers/x",
                          "{\"service\":7,\"address\":[],\"zone\":null,\"state\":1}");
  CU_ASSERT_TRUE (wait_status (&lab, 0, "/fetch/1", JD_LAB_KEY, 200, 5.0));
  jd_host_lab_publish_target (&lab, STUDIO, "draining");
  jd_host_lab_run (&lab, 3.0);
  uint32_t before = jd_shard_target_total_runs (lab.targets[STUDIO].target);
  for (int i = 0; i < 20; i++)
    CU_ASSERT_EQUAL (status_of (&lab, i % 2, "/fetch/1", JD_LAB_KEY), 200);
  CU_ASSERT_EQUAL (jd_shard_target_total_runs (lab.targets[STUDIO].target), before);
  jd_host_lab_publish_target (&lab, STUDIO + 1, NULL);
  jd_host_lab_run (&lab, 3.0);
  jd_lab_reply_t *reply = call (&lab, 0, "GET", "/fetch/1", "none-left", JD_LAB_KEY);
  CU_ASSERT_EQUAL (reply->status, 503);
  CU_ASSERT_PTR_NOT_NULL (reply->retry_after);
  jd_lab_reply_free (reply);
  jd_host_lab_close (&lab);
}

/* Guards against hosts that stop to serve, or miss changes for good, while the store is
 * away, answers with failures or forgets its history. */
static void
store_outages_are_survived (void)
{
  static const jd_store_mood_t moods[] = { JD_STORE_SILENT, JD_STORE_UNAVAILABLE,
                                           JD_STORE_BUSY };
  jd_host_lab_t lab = { 0 };
  jd_host_lab_open (&lab, 1, SHARDS);
  CU_ASSERT_TRUE_FATAL (jd_host_lab_wait_ready (&lab, 0, 5.0));
  CU_ASSERT_TRUE (wait_status (&lab, 0, "/search/1", JD_LAB_KEY, 200, 5.0));
  for (size_t i = 0; i < G_N_ELEMENTS (moods); i++)
    {
      jd_published_store_set_mood (lab.store, moods[i]);
      jd_host_lab_run (&lab, 1.5);
      CU_ASSERT_EQUAL (status_of (&lab, 0, "/search/1", JD_LAB_KEY), 200);
      lab.has_key = !lab.has_key;
      jd_host_lab_publish_routes (&lab);
      jd_published_store_forget_history (lab.store);
      jd_published_store_set_mood (lab.store, JD_STORE_SERVES);
      CU_ASSERT_TRUE (
          wait_status (&lab, 0, "/search/1", JD_LAB_KEY, lab.has_key ? 200 : 401, 4.0));
      lab.has_key = true;
      jd_host_lab_publish_routes (&lab);
      CU_ASSERT_TRUE (wait_status (&lab, 0, "/search/1", JD_LAB_KEY, 200, 3.0));
    }
  jd_host_lab_close (&lab);
}

/* Guards against a host that has no records because the store turns it away, although
 * another host has them. */
static void
records_come_from_another_host (void)
{
  jd_host_lab_t lab = { 0 };
  jd_host_lab_open (&lab, 2, SHARDS);
  CU_ASSERT_TRUE_FATAL (jd_host_lab_wait_ready (&lab, 0, 5.0));
  jd_host_lab_stop_host (&lab, 1, SIGKILL);
  g_strlcpy (lab.store_address, "127.0.0.1:9", sizeof (lab.store_address));
  jd_host_lab_start_host (&lab, 1);
  CU_ASSERT_TRUE (jd_host_lab_wait_ready (&lab, 1, 5.0));
  CU_ASSERT_TRUE (wait_status (&lab, 1, "/search/1", JD_LAB_KEY, 200, 3.0));
  lab.has_key = false;
  jd_host_lab_publish_routes (&lab);
  CU_ASSERT_TRUE (wait_status (&lab, 1, "/search/1", JD_LAB_KEY, 401, 3.0));
  jd_host_lab_close (&lab);
}

/* Guards against edits that run twice, and against 503 for an edit that ran, under every
 * fault of targets. */
static void
edits_run_once_at_most (void)
{
  jd_host_lab_t lab = { 0 };
  jd_host_lab_open (&lab, 1, SHARDS);
  CU_ASSERT_TRUE_FATAL (jd_host_lab_wait_ready (&lab, 0, 5.0));
  CU_ASSERT_TRUE (wait_status (&lab, 0, "/fetch/1", JD_LAB_KEY, 200, 5.0));
  jd_shard_faults_t faults = { .shed_share = 0.3,
                               .error_share = 0.1,
                               .lose_share = 0.15,
                               .cut_share = 0.1,
                               .stray_share = 0.1,
                               .delay_us = 12000 };
  jd_shard_target_set_faults (lab.targets[STUDIO].target, &faults);
  jd_shard_target_set_faults (lab.targets[STUDIO + 1].target, &faults);
  uint32_t served = 0;
  for (int i = 0; i < 300; i++)
    {
      char id[16];
      g_snprintf (id, sizeof (id), "edit-%d", i);
      jd_lab_reply_t *reply = call (&lab, 0, "POST", "/edit/1", id, JD_LAB_KEY);
      uint32_t runs = jd_shard_target_runs (lab.targets[STUDIO].target, id) +
                      jd_shard_target_runs (lab.targets[STUDIO + 1].target, id);
      CU_ASSERT_TRUE (runs <= 1);
      CU_ASSERT_TRUE (reply->status != 503 || runs == 0);
      CU_ASSERT_TRUE (reply->status != 200 || runs == 1);
      if (reply->status == 200)
        CU_ASSERT_PTR_NOT_NULL (strstr (reply->signatures, id));
      served += reply->status == 200;
      jd_lab_reply_free (reply);
    }
  CU_ASSERT_TRUE (served > 100);
  jd_host_lab_close (&lab);
}

/* Guards against a search that fails or mixes answers when targets cut, lose and cross
 * their answers. */
static void
searches_survive_bad_answers (void)
{
  jd_host_lab_t lab = { 0 };
  jd_host_lab_open (&lab, 1, SHARDS);
  CU_ASSERT_TRUE_FATAL (jd_host_lab_wait_ready (&lab, 0, 5.0));
  CU_ASSERT_TRUE (wait_status (&lab, 0, "/search/1", JD_LAB_KEY, 200, 5.0));
  jd_shard_faults_t faults = {
    .cut_share = 0.03, .lose_share = 0.03, .stray_share = 0.1, .delay_us = 2000
  };
  for (uint32_t i = 0; i < STUDIO; i++)
    jd_shard_target_set_faults (lab.targets[i].target, &faults);
  uint32_t served = 0;
  for (int i = 0; i < 200; i++)
    {
      char id[16];
      g_snprintf (id, sizeof (id), "bad-%d", i);
      jd_lab_reply_t *reply = call (&lab, 0, "GET", "/search/1", id, JD_LAB_KEY);
      if (reply->status == 200)
        {
          char **signatures = g_strsplit (reply->signatures, ", ", -1);
          uint32_t count = g_strv_length (signatures);
          for (uint32_t s = 0; s < count; s++)
            CU_ASSERT_PTR_NOT_NULL (strstr (signatures[s], id));
          CU_ASSERT_EQUAL (count + atoi (reply->missing), SHARDS);
          CU_ASSERT_TRUE (count >= 3);
          g_strfreev (signatures);
          served++;
        }
      jd_lab_reply_free (reply);
    }
  CU_ASSERT_TRUE (served >= 180);
  jd_host_lab_close (&lab);
}

/* Guards against a host that stays ready, or lets callers wait, while it reaches no
 * target, and against one that does not return. */
static void
host_without_targets_leaves_the_rotation (void)
{
  jd_host_lab_t lab = { 0 };
  jd_host_lab_open (&lab, 1, SHARDS);
  CU_ASSERT_TRUE_FATAL (jd_host_lab_wait_ready (&lab, 0, 5.0));
  CU_ASSERT_TRUE (wait_status (&lab, 0, "/search/1", JD_LAB_KEY, 200, 5.0));
  for (uint32_t i = 0; i < lab.target_count; i++)
    {
      g_snprintf (lab.targets[i].published, sizeof (lab.targets[i].published),
                  "127.0.0.1:%u", i + 2);
      jd_host_lab_publish_target (&lab, i, "ready");
    }
  CU_ASSERT_TRUE (wait_status (&lab, 0, "/search/1", JD_LAB_KEY, 503, 3.0));
  for (int i = 0; i < 20 && jd_host_lab_ready_status (&lab, 0) == 200; i++)
    jd_host_lab_run (&lab, 0.1);
  CU_ASSERT_EQUAL (jd_host_lab_ready_status (&lab, 0), 503);
  int64_t start_us = jd_monotonic_us ();
  jd_lab_reply_t *reply = call (&lab, 0, "GET", "/search/1", "cut-off", JD_LAB_KEY);
  CU_ASSERT_EQUAL (reply->status, 503);
  CU_ASSERT_TRUE (reply->close);
  CU_ASSERT_PTR_NOT_NULL (reply->retry_after);
  CU_ASSERT_TRUE (jd_monotonic_us () - start_us < 100 * JD_US_PER_MS);
  jd_lab_reply_free (reply);
  for (uint32_t i = 0; i < lab.target_count; i++)
    {
      g_strlcpy (lab.targets[i].published, lab.targets[i].address,
                 sizeof (lab.targets[i].published));
      jd_host_lab_publish_target (&lab, i, "ready");
    }
  CU_ASSERT_TRUE (jd_host_lab_wait_ready (&lab, 0, 4.0));
  CU_ASSERT_TRUE (wait_status (&lab, 0, "/search/1", JD_LAB_KEY, 200, 3.0));
  jd_host_lab_close (&lab);
}

typedef struct jd_drain_count
{
  uint32_t open;
  uint32_t answered;
  uint32_t cut;
} jd_drain_count_t;

static void
count_drained (void *context, const jd_lab_reply_t *reply)
{
  jd_drain_count_t *count = context;
  count->open--;
  if (reply->status == 200)
    count->answered++;
  else
    count->cut++;
}

/* Guards against requests that a graceful stop cuts, and against a stopping host that
 * counts as ready. */
static void
graceful_stop_cuts_nothing (void)
{
  jd_host_lab_t lab = { 0 };
  jd_drain_count_t count = { 0 };
  jd_host_lab_open (&lab, 1, SHARDS);
  CU_ASSERT_TRUE_FATAL (jd_host_lab_wait_ready (&lab, 0, 5.0));
  CU_ASSERT_TRUE (wait_status (&lab, 0, "/search/1", JD_LAB_KEY, 200, 5.0));
  for (uint32_t i = 0; i < lab.target_count; i++)
    {
      jd_shard_faults_t faults = { .delay_us = 30000 };
      jd_shard_target_set_faults (lab.targets[i].target, &faults);
    }
  for (int i = 0; i < 100; i++)
    {
      char id[16];
      g_snprintf (id, sizeof (id), "drain-%d", i);
      char *text = request_text ("GET", "/fetch/1", id, JD_LAB_KEY);
      jd_host_lab_call_async (&lab, 0, text, 5.0, count_drained, &count);
      count.open++;
      g_free (text);
      if (i == 50)
        kill (lab.hosts[0].pid, SIGTERM);
      if (i == 60)
        CU_ASSERT_EQUAL (jd_host_lab_ready_status (&lab, 0), 503);
      jd_host_lab_run (&lab, 0.01);
    }
  CU_ASSERT_EQUAL (jd_host_lab_stop_host (&lab, 0, SIGTERM), 0);
  CU_ASSERT_EQUAL (count.answered, 100);
  CU_ASSERT_EQUAL (count.cut, 0);
  jd_host_lab_close (&lab);
}

/* Guards against one caller that is served beyond its rate, and against a refusal without
 * a time to return. */
static void
rate_is_kept (void)
{
  jd_host_lab_t lab = { .rate_per_s = 10.0 };
  jd_host_lab_open (&lab, 1, SHARDS);
  CU_ASSERT_TRUE_FATAL (jd_host_lab_wait_ready (&lab, 0, 5.0));
  uint32_t served = 0, limited = 0;
  int64_t end_us = jd_monotonic_us () + 3 * JD_US_PER_S;
  while (jd_monotonic_us () < end_us)
    {
      jd_lab_reply_t *reply = call (&lab, 0, "GET", "/fetch/1", "rate", JD_LAB_KEY);
      served += reply->status == 200;
      limited += reply->status == 429;
      if (reply->status == 429)
        CU_ASSERT_PTR_NOT_NULL (reply->retry_after);
      jd_lab_reply_free (reply);
    }
  CU_ASSERT_TRUE (limited > 0);
  CU_ASSERT_TRUE (served <= (10 * 3 + 10) * 1.25 + 20);
  jd_host_lab_close (&lab);
}

/* Sends edits one after the other; returns how many were rejected. A rejected one has not
 * run and says when to come back. */
static uint32_t
send_edits (jd_host_lab_t *lab, uint32_t count)
{
  static uint32_t number;
  uint32_t rejected = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      char id[32];
      g_snprintf (id, sizeof (id), "busy-%u", number++);
      jd_lab_reply_t *reply = call (lab, 0, "POST", "/edit/1", id, JD_LAB_KEY);
      uint32_t runs = jd_shard_target_runs (lab->targets[STUDIO].target, id) +
                      jd_shard_target_runs (lab->targets[STUDIO + 1].target, id);
      CU_ASSERT_TRUE (reply->status == 200 || reply->status == 503);
      CU_ASSERT_EQUAL (runs, reply->status == 200 ? 1 : 0);
      CU_ASSERT_TRUE (reply->status == 200 || reply->retry_after != NULL);
      rejected += reply->status == 503;
      jd_lab_reply_free (reply);
    }
  return rejected;
}

/* Guards against requests that are taken although the targets of their route are
 * overloaded, that are rejected after it, and against rejected ones that run. */
static void
excess_for_overloaded_targets_is_rejected (void)
{
  jd_host_lab_t lab = { 0 };
  jd_host_lab_open (&lab, 1, SHARDS);
  CU_ASSERT_TRUE_FATAL (jd_host_lab_wait_ready (&lab, 0, 5.0));
  CU_ASSERT_TRUE (wait_status (&lab, 0, "/edit/1", JD_LAB_KEY, 200, 5.0));
  CU_ASSERT_EQUAL (send_edits (&lab, 30), 0);
  /* 200 requests of 3 ms on 2 slots take 300 ms; the objective is 200 ms. */
  jd_shard_faults_t busy = { .delay_us = 3000, .waiting = 200 };
  jd_shard_faults_t calm = { .delay_us = 3000 };
  for (size_t i = STUDIO; i < STUDIO + 2; i++)
    jd_shard_target_set_faults (lab.targets[i].target, &busy);
  CU_ASSERT_TRUE (send_edits (&lab, 300) >= 100);
  jd_lab_reply_t *reply = jd_host_lab_metrics (&lab, 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (reply->body->str, "{end=\"overloaded\"} "));
  CU_ASSERT_PTR_NULL (strstr (reply->body->str, "{end=\"overloaded\"} 0\n"));
  jd_lab_reply_free (reply);
  for (size_t i = STUDIO; i < STUDIO + 2; i++)
    jd_shard_target_set_faults (lab.targets[i].target, &calm);
  jd_host_lab_run (&lab, 1.2);
  CU_ASSERT_EQUAL (send_edits (&lab, 100), 0);
  jd_host_lab_close (&lab);
}

/* Guards against metrics that do not tell kinds of requests, their ends and the zones of
 * targets apart, and against an address that serves none. */
static void
metrics_tell_kinds_and_zones (void)
{
  jd_host_lab_t lab = { 0 };
  jd_host_lab_open (&lab, 1, SHARDS);
  CU_ASSERT_TRUE_FATAL (jd_host_lab_wait_ready (&lab, 0, 5.0));
  for (int i = 0; i < 3; i++)
    CU_ASSERT_EQUAL (status_of (&lab, 0, "/search/1", JD_LAB_KEY), 200);
  jd_lab_reply_t *reply = jd_host_lab_metrics (&lab, 0);
  CU_ASSERT_EQUAL (reply->status, 200);
  static const char *const expected[] = {
    "jackdaw_request_seconds_count{kind=\"search\",end=\"served\"} 3\n",
    "jackdaw_requests_total{end=\"served\"} 3\n",
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
  jd_lab_reply_free (reply);
  jd_host_lab_close (&lab);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "search merges all shards", search_merges_all_shards },
    { "keys and routes", keys_and_routes_follow_the_configuration },
    { "published targets", published_targets_are_followed },
    { "store outages", store_outages_are_survived },
    { "records come from another host", records_come_from_another_host },
    { "edits run once at most", edits_run_once_at_most },
    { "searches survive bad answers", searches_survive_bad_answers },
    { "graceful stop", graceful_stop_cuts_nothing },
    { "host without targets", host_without_targets_leaves_the_rotation },
    { "rate is kept", rate_is_kept },
    { "excess for overloaded targets", excess_for_overloaded_targets_is_rejected },
    { "metrics tell kinds and zones", metrics_tell_kinds_and_zones },
  };
  return JD_TEST_RUN ("host", cases);
}
