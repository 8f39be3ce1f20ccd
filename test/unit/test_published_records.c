#include "published_records.h"

#include <string.h>

#include "base/rng.h"
#include "support/damage.h"
#include "support/test_main.h"

static const char valid_config[] =
    "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"A.example\",\"prefix\":"
    "\"/s/\",\"routeKind\":\"unsafe\",\"timeoutMs\":800,\"targetLatencyMs\":120,"
    "\"priority\":1,\"gather\":[\"s1\",\"s2\"],\"maxAttempts\":2,\"topK\":20,"
    "\"minCoverage\":0.89,\"public\":false},{\"name\":\"r2\",\"host\":\"a.example\","
    "\"prefix\":\"/w/\",\"routeKind\":\"unsafe\",\"split\":[{\"service\":\"x\","
    "\"weight\":3},{\"service\":\"y\",\"weight\":1}],\"maxAttempts\":1}],\"services\":"
    "[{\"name\":\"s1\",\"maxConns\":26,\"coldStartS\":3.0,\"coldPerS\":4}],\"limits\":"
    "{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
    "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"k1\",\"k2\"],"
    "\"priority\":1,\"ratePerS\":41,\"burst\":42}]}";

static void
ignore_replica (void *context, jd_replica_t *replica)
{
}

static jd_replica_registry_t *
new_registry (void)
{
  jd_replica_events_t events = { ignore_replica, ignore_replica, NULL };
  return jd_replica_registry_new ("a", &events);
}

/* Guards against a published field that is decoded into the wrong member or unit. A
 * scattered route is always idempotent, whatever its routeKind is. */
static void
decodes_valid_configuration (void)
{
  jd_replica_registry_t *registry = new_registry ();
  GError *error = NULL;
  jd_route_table_t *table =
      jd_platform_decode_routes (registry, valid_config, strlen (valid_config), &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (table);
  g_assert (table != NULL);
  jd_route_table_finish (table, NULL);
  const jd_route_t *scatter = jd_route_table_match (table, "a.example", "/s/1", 4);
  const jd_route_t *weighted = jd_route_table_match (table, "a.example", "/w/1", 4);
  CU_ASSERT_PTR_NOT_NULL_FATAL (scatter);
  CU_ASSERT_PTR_NOT_NULL_FATAL (weighted);
  g_assert (scatter != NULL && weighted != NULL);
  CU_ASSERT_EQUAL (table->version, 7);
  CU_ASSERT_EQUAL (scatter->kind, JD_ROUTE_SCATTER);
  CU_ASSERT_TRUE (scatter->idempotent);
  CU_ASSERT_EQUAL (scatter->timeout_us, 800000);
  CU_ASSERT_EQUAL (scatter->objective_us, 120000);
  CU_ASSERT_EQUAL (scatter->top_k, 20);
  CU_ASSERT_EQUAL (scatter->priority, 1);
  CU_ASSERT_EQUAL (weighted->priority, 0);
  CU_ASSERT_EQUAL (jd_route_table_tenant (table, "k1")->priority, 1);
  CU_ASSERT_EQUAL (weighted->kind, JD_ROUTE_WEIGHTED);
  CU_ASSERT_FALSE (weighted->idempotent);
  CU_ASSERT_EQUAL (table->head_bytes, 16384);
  CU_ASSERT_EQUAL (table->idle_timeout_us, 15000000);
  CU_ASSERT_STRING_EQUAL (jd_route_table_tenant (table, "k2")->name, "t1");
  CU_ASSERT_DOUBLE_EQUAL (jd_route_table_tenant (table, "k1")->rate_per_s, 41.0, 0.001);
  jd_route_table_unref (table);
  jd_replica_registry_free (registry);
}

/* Guards against a configuration that is refused because of an unreadable rank. */
static void
ignores_unreadable_ranks (void)
{
  static const char *const ranks[] = { "null", "\"high\"", "-1", "[]" };
  for (size_t i = 0; i < G_N_ELEMENTS (ranks); i++)
    {
      jd_replica_registry_t *registry = new_registry ();
      GString *text = g_string_new (valid_config);
      char *field = g_strdup_printf ("\"priority\":%s", ranks[i]);
      g_string_replace (text, "\"priority\":1", field, 0);
      jd_route_table_t *table =
          jd_platform_decode_routes (registry, text->str, text->len, NULL);
      CU_ASSERT_PTR_NOT_NULL_FATAL (table);
      jd_route_table_finish (table, NULL);
      CU_ASSERT_EQUAL (jd_route_table_match (table, "a.example", "/s/1", 4)->priority, 0);
      CU_ASSERT_EQUAL (jd_route_table_tenant (table, "k1")->priority,
                       JD_TENANT_NO_PRIORITY);
      jd_route_table_unref (table);
      g_string_free (text, TRUE);
      g_free (field);
      jd_replica_registry_free (registry);
    }
}

/* Guards against an invalid configuration that is accepted, and against an error message
 * that does not name the invalid field. */
static void
refuses_invalid_configurations (void)
{
  static const struct
  {
    const char *from, *to, *expected_in_error;
  } cases[] = {
    { "\"version\":7", "\"version\":\"7\"", "version" },
    { "\"host\":\"A.example\"", "\"host\":5", "host" },
    { "\"prefix\":\"/s/\"", "\"prefix\":\"s/\"", "prefix" },
    { "\"timeoutMs\":800", "\"timeoutMs\":-1", "numbers" },
    { "\"timeoutMs\":800", "\"timeoutMs\":1e300", "numbers" },
    { "\"topK\":20", "\"topK\":1e300", "numbers" },
    { "\"minCoverage\":0.89", "\"minCoverage\":1.5", "numbers" },
    { "\"maxConns\":26", "\"maxConns\":1e300", "services" },
    { "\"gather\":[\"s1\",\"s2\"]", "\"gather\":[\"s1\",2]", "services" },
    { "\"weight\":3", "\"weight\":\"many\"", "services" },
    { "\"name\":\"t1\",", "", "tenants" },
    { "\"tenants\":[", "\"tenants\":{},\"x\":[", "tenants" },
    { "\"maxBodyBytes\":262144", "\"maxBodyBytes\":[]", "limits" },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      jd_replica_registry_t *registry = new_registry ();
      GString *text = g_string_new (valid_config);
      g_string_replace (text, cases[i].from, cases[i].to, 1);
      GError *error = NULL;
      CU_ASSERT_PTR_NULL (
          jd_platform_decode_routes (registry, text->str, text->len, &error));
      CU_ASSERT_PTR_NOT_NULL_FATAL (error);
      g_assert (error != NULL);
      CU_ASSERT_PTR_NOT_NULL (strstr (error->message, cases[i].expected_in_error));
      g_clear_error (&error);
      g_string_free (text, TRUE);
      jd_replica_registry_free (registry);
    }
}

/* Guards against a configuration whose list of tenants is empty, so that no key is valid,
 * and that opens all routes to any key or none. */
static void
routes_are_open_only_without_tenants (void)
{
  static const struct
  {
    const char *tenants;
    bool has_tenants;
  } cases[] = {
    { "", false },
    { ",\"tenants\":null", false },
    { ",\"tenants\":[]", true },
    { ",\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[]}]", true },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      jd_replica_registry_t *registry = new_registry ();
      char *text = g_strdup_printf ("{\"version\":1,\"routes\":[]%s}", cases[i].tenants);
      jd_route_table_t *table =
          jd_platform_decode_routes (registry, text, strlen (text), NULL);
      CU_ASSERT_PTR_NOT_NULL_FATAL (table);
      g_assert (table != NULL);
      CU_ASSERT_EQUAL (table->has_tenants, cases[i].has_tenants);
      jd_route_table_unref (table);
      g_free (text);
      jd_replica_registry_free (registry);
    }
}

/* Guards against a crash on a corrupt configuration, and against a refusal without an
 * error. */
static void
decodes_corrupt_configurations_without_crash (void)
{
  jd_philox_t state = { .seed = 21 };
  jd_rng_t rng = jd_philox_rng (&state);
  uint64_t rounds = jd_corruption_rounds (3000);
  char text[sizeof (valid_config)];
  for (uint64_t round = 0; round < rounds; round++)
    {
      memcpy (text, valid_config, sizeof (text));
      jd_corrupt_bytes (text, sizeof (text) - 1, 1 + jd_rng_below (&rng, 4),
                        "0123456789{}[]\",:truefalsn-eE.\\ ", &rng);
      jd_replica_registry_t *registry = new_registry ();
      GError *error = NULL;
      jd_route_table_t *table =
          jd_platform_decode_routes (registry, text, sizeof (text) - 1, &error);
      CU_ASSERT_TRUE ((table == NULL) == (error != NULL));
      jd_route_table_unref (table);
      g_clear_error (&error);
      jd_replica_registry_free (registry);
    }
}

#define TARGET_RECORD                                                                    \
  "{\"service\":\"s1\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"version\":\"v1\","   \
  "\"slots\":2,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":7,\"born\":1791186600000}"

static void
apply_target (jd_replica_registry_t *registry, const char *key, const char *text)
{
  jd_platform_apply_target (registry, key, text, strlen (text));
}

/* Guards against an odd record that names a target, removes another one or ends the
 * process: numbers that are too large or negative, ports out of range, wrong types. */
static void
odd_target_records_name_no_target (void)
{
  static const struct
  {
    const char *from, *to;
  } cases[] = {
    { "10.0.0.1:80", "10.0.0.1:0" },
    { "10.0.0.1:80", "10.0.0.1:65536" },
    { "10.0.0.1:80", "10.0.0.1:99999999999" },
    { "10.0.0.1:80", "10.0.0.1:-1" },
    { "10.0.0.1:80", "10.0.0.1:80\\u0000" },
    { "10.0.0.1:80", "\xff\xfe" },
    { "\"slots\":2", "\"slots\":1e400" },
    { "\"slots\":2", "\"slots\":-1" },
    { "\"slots\":2", "\"slots\":[]" },
    { "\"coldLeftMs\":0", "\"coldLeftMs\":1e300" },
    { "\"coldLeftMs\":0", "\"coldLeftMs\":9223372036854775808" },
    { "\"coldLeftMs\":0", "\"coldLeftMs\":-1" },
    { "\"seq\":7", "\"seq\":9223372036854775808" },
    { "\"seq\":7", "\"seq\":\"7\"" },
    { "\"born\":1791186600000", "\"born\":1e300" },
    { "\"born\":1791186600000", "\"born\":9223372036854775808" },
    { "\"born\":1791186600000", "\"born\":-1" },
    { "\"state\":\"ready\"", "\"state\":\"busy\"" },
    { "\"service\":\"s1\"", "\"service\":{}" },
    { "{", "[" },
  };
  jd_replica_registry_t *registry = new_registry ();
  apply_target (registry, "servers/good", TARGET_RECORD);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      GString *text = g_string_new (TARGET_RECORD);
      CU_ASSERT_EQUAL (g_string_replace (text, cases[i].from, cases[i].to, 1), 1);
      apply_target (registry, "servers/odd", text->str);
      CU_ASSERT_EQUAL (jd_replica_registry_count (registry), 1);
      g_string_free (text, TRUE);
    }
  jd_replica_registry_free (registry);
}

/* Guards against a crash on corrupt records of targets, and against other targets that
 * are changed by them. */
static void
corrupt_target_records_do_no_harm (void)
{
  jd_philox_t state = { .seed = 22 };
  jd_rng_t rng = jd_philox_rng (&state);
  uint64_t rounds = jd_corruption_rounds (3000);
  char text[sizeof (TARGET_RECORD)];
  jd_replica_registry_t *registry = new_registry ();
  apply_target (registry, "servers/good", TARGET_RECORD);
  for (uint64_t round = 0; round < rounds; round++)
    {
      memcpy (text, TARGET_RECORD, sizeof (text));
      jd_corrupt_bytes (text, sizeof (text) - 1, 1 + jd_rng_below (&rng, 4),
                        round % 2 ? NULL : "0123456789{}[]\",:truefalsn-eE.\\ ", &rng);
      jd_platform_apply_target (registry, "servers/odd", text, sizeof (text) - 1);
      GBytes *before = g_bytes_new_static (TARGET_RECORD, sizeof (TARGET_RECORD) - 1);
      GBytes *after = g_bytes_new_static (text, sizeof (text) - 1);
      jd_platform_is_heartbeat (registry, "servers/odd", before, after);
      g_bytes_unref (before);
      g_bytes_unref (after);
      CU_ASSERT_TRUE (jd_replica_registry_count (registry) <= 2);
      CU_ASSERT_TRUE (jd_replica_registry_count (registry) >= 1);
    }
  jd_replica_registry_free (registry);
}

#define ENTRY(fields)                                                                    \
  "{\"service\":\"s\",\"zone\":\"a\",\"address\":\"127.0.0.1:9\",\"slots\":2,\"born\":"  \
  "5," fields "}"
#define READY "\"state\":\"ready\""

/* Applies a record and returns TRUE if the next one is taken for a heartbeat. */
static bool
is_heartbeat (const char *before, const char *after)
{
  jd_replica_registry_t *registry = new_registry ();
  GBytes *before_bytes = g_bytes_new (before, strlen (before));
  GBytes *after_bytes = g_bytes_new (after, strlen (after));
  jd_platform_apply_target (registry, "servers/i", before, strlen (before));
  bool result =
      jd_platform_is_heartbeat (registry, "servers/i", before_bytes, after_bytes);
  g_bytes_unref (before_bytes);
  g_bytes_unref (after_bytes);
  jd_replica_registry_free (registry);
  return result;
}

/* Guards against a heartbeat of a target that is copied to all hosts as a change, and
 * against a change of a target that is ignored as a heartbeat. */
static void
heartbeats_are_not_changes (void)
{
  const char *record = ENTRY (READY ",\"seq\":1,\"coldLeftMs\":900");
  CU_ASSERT_TRUE (is_heartbeat (record, ENTRY (READY ",\"seq\":2,\"coldLeftMs\":500")));
  CU_ASSERT_TRUE (is_heartbeat (record, ENTRY (READY ",\"seq\":2")));
  CU_ASSERT_FALSE (is_heartbeat (
      record, ENTRY ("\"state\":\"draining\",\"seq\":2,\"coldLeftMs\":500")));
  CU_ASSERT_FALSE (is_heartbeat (record, ENTRY (READY ",\"seq\":2,\"coldLeftMs\":3000")));
  CU_ASSERT_FALSE (
      is_heartbeat (record, ENTRY (READY ",\"seq\":2,\"coldLeftMs\":500,\"new\":1")));
  CU_ASSERT_FALSE (is_heartbeat (record, "not json"));
}

/* Guards against a target that is never used again: a valid record that follows one that
 * was refused is no heartbeat, and neither is a refused one after a valid one
 * (review/11). */
static void
odd_record_is_no_heartbeat (void)
{
  static const char *const odd[] = {
    ENTRY (READY),
    ENTRY (READY ",\"seq\":\"1\""),
    ENTRY (READY ",\"seq\":1.5"),
    ENTRY (READY ",\"seq\":1,\"coldLeftMs\":\"0\""),
    ENTRY (READY ",\"seq\":1,\"coldLeftMs\":-1"),
    ENTRY (READY ",\"seq\":1,\"coldLeftMs\":1e300"),
  };
  const char *valid = ENTRY (READY ",\"seq\":2");
  for (size_t i = 0; i < G_N_ELEMENTS (odd); i++)
    {
      CU_ASSERT_FALSE (is_heartbeat (odd[i], valid));
      CU_ASSERT_FALSE (is_heartbeat (valid, odd[i]));
      CU_ASSERT_TRUE (is_heartbeat (odd[i], odd[i]));
    }
}

/* Guards against a value from an older copy of the store that replaces a newer one, and
 * against a newer one that is taken for older. */
static void
writes_are_ordered_by_their_writers (void)
{
  static const struct
  {
    const char *key, *known, *listed;
    bool is_newer;
  } cases[] = {
    { "op/config", "{\"version\":7}", "{\"version\":5}", false },
    { "op/config", "{\"version\":7}", "{\"version\":7}", false },
    { "op/config", "{\"version\":7}", "{\"version\":9}", true },
    { "op/config", "{", "{\"version\":1}", true },
    { "servers/a", "{\"born\":5,\"seq\":9}", "{\"born\":5,\"seq\":8}", false },
    { "servers/a", "{\"born\":5,\"seq\":9}", "{\"born\":5,\"seq\":9}", false },
    { "servers/a", "{\"born\":5,\"seq\":9}", "{\"born\":5,\"seq\":10}", true },
    { "servers/a", "{\"born\":5,\"seq\":9}", "{\"born\":6,\"seq\":1}", true },
    { "servers/a", "{\"born\":5,\"seq\":9}", "{\"born\":4,\"seq\":99}", false },
    { "servers/a", "{\"seq\":9}", "{\"seq\":1}", true },
    { "servers/a", "{\"born\":5,\"seq\":9}", "{\"born\":5}", true },
    { "op/evacuate/a", "1", "1", true },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      GBytes *known = g_bytes_new_static (cases[i].known, strlen (cases[i].known));
      GBytes *listed = g_bytes_new_static (cases[i].listed, strlen (cases[i].listed));
      bool is_newer = jd_platform_record_is_newer (NULL, cases[i].key, known, listed);
      if (is_newer != cases[i].is_newer)
        printf ("case %zu ", i);
      CU_ASSERT_EQUAL (is_newer, cases[i].is_newer);
      g_bytes_unref (known);
      g_bytes_unref (listed);
    }
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "writes are ordered by their writers", writes_are_ordered_by_their_writers },
    { "decodes a valid configuration", decodes_valid_configuration },
    { "ignores unreadable ranks", ignores_unreadable_ranks },
    { "refuses invalid configurations", refuses_invalid_configurations },
    { "decodes corrupt configurations without a crash",
      decodes_corrupt_configurations_without_crash },
    { "odd target records name no target", odd_target_records_name_no_target },
    { "corrupt target records do no harm", corrupt_target_records_do_no_harm },
    { "routes are open only without tenants", routes_are_open_only_without_tenants },
    { "heartbeats are not changes", heartbeats_are_not_changes },
    { "odd record is no heartbeat", odd_record_is_no_heartbeat },
  };
  return JD_TEST_RUN ("published_records", cases);
}
