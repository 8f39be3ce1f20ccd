#include "config/config_store.h"

#include <string.h>

#include "support/test_main.h"

#define HEAD(schema, version) "{\"schema_version\":" schema ",\"record_version\":" version
#define TARGET(id, port, more_fields)                                                    \
  "{\"id\":\"" id "\",\"address\":\"127.0.0.1:" port "\",\"zone\":\"a\"" more_fields "}"
#define SERVICE(schema, version, kind, deadline, shards, more_fields)                    \
  HEAD (schema, version)                                                                 \
  ",\"name\":\"desk\",\"kind\":\"" kind "\",\"deadline_ms\":" deadline                   \
  ",\"slots\":2,\"connections\":25,\"map_version\":1,\"shards\":[" shards                \
  "]" more_fields "}"
#define SHARD(id, weight, targets)                                                       \
  "{\"id\":\"" id "\",\"weight\":" weight ",\"targets\":[" targets "]}"
#define MEMBER(name, port) "{\"name\":\"" name "\",\"address\":\"127.0.0.1:" port "\"}"
#define FLEET(zones, zone, members)                                                      \
  HEAD ("1", "1")                                                                        \
  ",\"zones\":[" zones "],\"cells\":[{\"name\":\"c\",\"zone\":\"" zone                   \
  "\",\"role\":\"entry\",\"seats\":[" members "]}]}"
#define DIGEST "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define KEY "{\"digest\":\"" DIGEST "\",\"organisation\":\"h\",\"state\":\"valid\"}"
#define ORGANISATION(id) "{\"id\":\"" id "\",\"rate_per_s\":1,\"burst\":1}"
#define GOOD_SHARD SHARD ("s0", "1", TARGET ("t0", "1", ""))

/* Offers the text of a record and returns the result. Checks that an error is set if and
 * only if the record is refused. Stores a copy of the error message, "" without an error,
 * in *message, which may be NULL. */
static jd_adoption_t
offer_text (jd_config_store_t *store, const char *name, const char *text, char **message)
{
  GError *error = NULL;
  jd_adoption_t result = jd_config_store_offer (store, name, text, strlen (text), &error);
  gboolean is_refused = result == JD_ADOPTION_INVALID || result == JD_ADOPTION_CONFLICT;
  CU_ASSERT_EQUAL (is_refused, error != NULL);
  if (message)
    *message = g_strdup (error ? error->message : "");
  g_clear_error (&error);
  return result;
}

/* Returns a new reference to the active record of service "desk"; aborts if there is
 * none. */
static jd_service_record_t *
get_desk_service (jd_config_store_t *store)
{
  jd_service_record_t *record = jd_config_store_service (store, "desk");
  g_assert (record);
  return record;
}

/* Guards against activating an invalid record, and against an error message that
 * does not start with the path of the invalid value. */
static void
refuses_invalid_record_and_names_path (void)
{
  const struct
  {
    const char *name;
    const char *text;
    const char *message;
  } cases[] = {
    { "fleet", "{", "fleet: line 1: " },
    { "fleet", "[]", "fleet: line 1: must be an object" },
    { "fleet", HEAD ("1", "1") ",\"zones\":[],\"zones\":[]}", "fleet: line 1: " },
    { "fleet", HEAD ("3", "1") "}", "fleet: schema_version: must be 1 to 2, is 3" },
    { "fleet", HEAD ("1", "0") "}", "fleet: record_version: must be 1 to " },
    { "fleet", HEAD ("1", "1") "}", "fleet: zones: is missing" },
    { "fleet",
      FLEET ("{\"name\":\"a\",\"weight\":0.6},{\"name\":\"b\",\"weight\":0.6}", "a",
             MEMBER ("x", "1")),
      "fleet: zones: sum of weights must be at most 1, is 1.2" },
    { "fleet", FLEET ("{\"name\":\"a\"},{\"name\":\"a\"}", "a", MEMBER ("x", "1")),
      "fleet: zones[1].name: \"a\" occurs twice" },
    { "fleet", FLEET ("{\"name\":\"a\"}", "b", MEMBER ("x", "1")),
      "fleet: cells[0].zone: no zone is named \"b\"" },
    { "fleet", FLEET ("{\"name\":\"a\"}", "a", MEMBER ("x", "1") "," MEMBER ("x", "2")),
      "fleet: cells[0].seats[1].name: \"x\" occurs twice" },
    { "fleet", FLEET ("{\"name\":\"a\"}", "a", MEMBER ("x", "1") "," MEMBER ("y", "1")),
      "fleet: cells[0].seats[1].address: \"127.0.0.1:1\" occurs twice" },
    { "fleet", FLEET ("{\"name\":\"a\"}", "a", MEMBER ("x", "0")),
      "fleet: cells[0].seats[0].address: must be a numeric IPv4 address and a port" },
    { "organisations",
      HEAD ("1",
            "1") ",\"organisations\":[" ORGANISATION ("h") "," ORGANISATION ("h") "]}",
      "organisations: organisations[1].id: \"h\" occurs twice" },
    { "keys", HEAD ("1", "1") ",\"keys\":[" KEY "," KEY "]}",
      "keys: keys[1].digest: \"" DIGEST "\" occurs twice" },
    { "zones", HEAD ("1", "1") ",\"zones\":[{\"name\":\"a\",\"state\":\"off\"}]}",
      "zones: zones[0].state: must be one of in, out" },
    { "hosts", HEAD ("1", "1") ",\"hosts\":[]}", "hosts: hosts: unknown field" },
    { "service.desk",
      SERVICE ("1", "1", "fan_out", "60", SHARD ("s0", "-3", TARGET ("t0", "1", "")), ""),
      "service.desk: shards[0].weight: must be 1 to 1099511627776, is -3" },
    { "service.desk",
      SERVICE ("1", "1", "fan_out", "60",
               SHARD ("s0", "1", TARGET ("t0", "1", "") "," TARGET ("t0", "2", "")), ""),
      "service.desk: shards[0].targets[1].id: \"t0\" occurs twice" },
    { "service.desk",
      SERVICE ("1", "1", "fan_out", "60",
               SHARD ("s0", "1", TARGET ("t0", "1", ",\"slots\":3")), ""),
      "service.desk: shards[0].targets[0].slots: unknown field" },
    { "service.desk",
      SERVICE ("1", "1", "single", "60",
               GOOD_SHARD "," SHARD ("s1", "1", TARGET ("t1", "2", "")), ""),
      "service.desk: shards: must have 1 to 1 elements, has 2" },
    { "service.desk", SERVICE ("1", "1", "fan_out", "501", GOOD_SHARD, ""),
      "service.desk: deadline_ms: must be 1 to 500, is 501" },
    { "service.other", SERVICE ("1", "1", "fan_out", "60", GOOD_SHARD, ""),
      "service.other: name: the record must be named service.desk" },
    { "weather", HEAD ("1", "1") "}", "weather: unknown type of record" },
  };
  jd_config_store_t *store = jd_config_store_new ();
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *message = NULL;
      CU_ASSERT_EQUAL (offer_text (store, cases[i].name, cases[i].text, &message),
                       JD_ADOPTION_INVALID);
      CU_ASSERT (g_str_has_prefix (message, cases[i].message));
      if (!g_str_has_prefix (message, cases[i].message))
        g_print ("expected prefix \"%s\"\n got \"%s\"\n", cases[i].message, message);
      CU_ASSERT_EQUAL (jd_config_store_version (store, cases[i].name), 0);
      g_free (message);
    }
  jd_config_store_free (store);
}

/* Guards against a lower, conflicting or invalid version that replaces the record in
 * force, and against an older version that restores a deleted record. */
static void
adopts_only_higher_versions (void)
{
  const char *name = "service.desk";
  jd_config_store_t *store = jd_config_store_new ();
  CU_ASSERT_EQUAL (
      offer_text (store, name, SERVICE ("1", "2", "fan_out", "60", GOOD_SHARD, ""), NULL),
      JD_ADOPTION_ADOPTED);
  CU_ASSERT_EQUAL (
      offer_text (store, name, SERVICE ("1", "1", "fan_out", "60", GOOD_SHARD, ""), NULL),
      JD_ADOPTION_OLDER);
  CU_ASSERT_EQUAL (offer_text (store, name,
                               SERVICE ("1", "2", "fan_out", " 60", GOOD_SHARD, ""),
                               NULL),
                   JD_ADOPTION_CURRENT);
  CU_ASSERT_EQUAL (
      offer_text (store, name, SERVICE ("1", "2", "fan_out", "61", GOOD_SHARD, ""), NULL),
      JD_ADOPTION_CONFLICT);
  CU_ASSERT_EQUAL (
      offer_text (store, name, SERVICE ("1", "3", "fan_out", "0", GOOD_SHARD, ""), NULL),
      JD_ADOPTION_INVALID);
  jd_service_record_t *record = get_desk_service (store);
  CU_ASSERT_EQUAL (record->head.record_version, 2);
  CU_ASSERT_EQUAL (record->deadline_ms, 60);
  CU_ASSERT_EQUAL (offer_text (store, name, HEAD ("1", "4") ",\"deleted\":true}", NULL),
                   JD_ADOPTION_ADOPTED);
  CU_ASSERT_PTR_NULL (jd_config_store_service (store, "desk"));
  CU_ASSERT_EQUAL (jd_config_store_version (store, name), 4);
  CU_ASSERT_EQUAL (
      offer_text (store, name, SERVICE ("1", "3", "fan_out", "60", GOOD_SHARD, ""), NULL),
      JD_ADOPTION_OLDER);
  CU_ASSERT_EQUAL (record->shard_count, 1); /* Readers can use a replaced record. */
  jd_service_record_unref (record);
  jd_config_store_free (store);
}

/* Guards against a record of schema version 2 that is refused because of an unknown
 * field, and against a target that gets the slots of the service instead of its own. */
static void
ignores_unknown_fields_in_schema_version_2 (void)
{
  jd_config_store_t *store = jd_config_store_new ();
  const char *text = SERVICE (
      "2", "1", "fan_out", "60",
      SHARD ("s0", "5",
             TARGET ("t0", "1", ",\"slots\":3,\"colour\":1") "," TARGET ("t1", "2", "")),
      ",\"owner\":\"x\",\"organisations\":[\"h\"]");
  CU_ASSERT_EQUAL (offer_text (store, "service.desk", text, NULL), JD_ADOPTION_ADOPTED);
  jd_service_record_t *record = get_desk_service (store);
  CU_ASSERT_EQUAL (record->shards[0].targets[0].slots, 3);
  CU_ASSERT_EQUAL (record->shards[0].targets[1].slots, 2);
  CU_ASSERT_EQUAL (record->total_weight, 5);
  CU_ASSERT (jd_service_record_allows (record, "h"));
  CU_ASSERT (!jd_service_record_allows (record, "g"));
  CU_ASSERT (!jd_service_record_allows (record, NULL));
  jd_service_record_unref (record);
  jd_config_store_free (store);
}

/* Guards against a key that is found by its digest instead of its text, and against a
 * revoked key or a drained zone that is not read as such. */
static void
reads_states_and_keys (void)
{
  jd_config_store_t *store = jd_config_store_new ();
  char *digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, "secret", -1);
  char *text = g_strdup_printf (HEAD ("1", "1") ",\"keys\":[{\"digest\":\"%s\","
                                                "\"organisation\":\"h\","
                                                "\"state\":\"revoked\"}]}",
                                digest);
  CU_ASSERT_EQUAL (offer_text (store, "keys", text, NULL), JD_ADOPTION_ADOPTED);
  CU_ASSERT_EQUAL (
      offer_text (store, "zones",
                  HEAD ("1", "1") ",\"zones\":[{\"name\":\"a\",\"state\":\"out\"}]}",
                  NULL),
      JD_ADOPTION_ADOPTED);
  jd_key_record_t *keys = jd_config_store_keys (store);
  const jd_key_t *key = jd_key_record_find (keys, "secret");
  CU_ASSERT (key && key->revoked);
  CU_ASSERT_PTR_NULL (jd_key_record_find (keys, digest));
  jd_zone_state_record_t *zones = jd_config_store_zones (store);
  CU_ASSERT (g_hash_table_contains (zones->drained_zones, "a"));
  jd_zone_state_record_unref (zones);
  jd_key_record_unref (keys);
  g_free (text);
  g_free (digest);
  jd_config_store_free (store);
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "refuses an invalid record and names the path of the value",
      refuses_invalid_record_and_names_path },
    { "adopts only higher versions", adopts_only_higher_versions },
    { "ignores unknown fields in schema version 2",
      ignores_unknown_fields_in_schema_version_2 },
    { "reads states and keys", reads_states_and_keys },
  };
  return JD_TEST_RUN ("config_store", cases);
}
