#include "config/service_record.h"

#include "config/record_reader.h"

#define RECORD_PREFIX "service."
#define MAX_SHARDS 10000
#define MAX_TARGETS_PER_SHARD 64
#define MAX_ORGANISATIONS 10000
#define MAX_SLOTS 10000
#define MAX_CONNECTIONS 100000
/* Work that starts before a lease expires may run for the work bound of the lease
 * (500 ms), so no deadline may be longer. */
#define MAX_DEADLINE_MS 500
/* The sum of all weights must stay far below 2^64. */
#define MAX_WEIGHT (UINT64_C (1) << 40)
#define DEFAULT_HEDGE_QUANTILE 0.95
#define DEFAULT_HEDGE_BUDGET 0.025

static const char *const top_fields[] = { "name",           "kind",         "open",
                                          "organisations",  "deadline_ms",  "slots",
                                          "connections",    "map_version",  "shards",
                                          "hedge_quantile", "hedge_budget", NULL };
static const char *const shard_fields[] = { "id", "weight", "targets", NULL };
static const char *const target_fields_v1[] = { "id", "address", "zone", NULL };
static const char *const target_fields_v2[] = { "id",    "address",     "zone",
                                                "slots", "connections", NULL };
static const char *const service_kinds[] = { "fan_out", "single", NULL };

/* Values of the service that its targets inherit, and sets of the names and addresses
 * read so far, which must be unique in a service. */
typedef struct target_context
{
  uint32_t schema_version;
  uint32_t slots;
  uint32_t connections;
  GHashTable *shards;
  GHashTable *targets;
  GHashTable *addresses;
} target_context_t;

/* Reads one target. From schema version 2 on it may override the slots and connections of
 * the service. */
static void
read_target (jd_record_reader_t *reader, json_t *object, target_context_t *context,
             jd_target_record_t *target)
{
  gboolean has_own_limits = context->schema_version >= 2;
  jd_record_reader_check_fields (reader, object,
                                 has_own_limits ? target_fields_v2 : target_fields_v1);
  target->id = jd_record_reader_name (reader, object, "id");
  target->address = jd_record_reader_address (reader, object, "address");
  target->zone = jd_record_reader_name (reader, object, "zone");
  target->slots = context->slots;
  target->connections = context->connections;
  if (has_own_limits)
    {
      target->slots = (uint32_t)jd_record_reader_integer_or (reader, object, "slots", 1,
                                                             MAX_SLOTS, context->slots);
      target->connections = (uint32_t)jd_record_reader_integer_or (
          reader, object, "connections", 1, MAX_CONNECTIONS, context->connections);
    }
  jd_record_reader_check_unique (reader, context->targets, "id", target->id);
  jd_record_reader_check_unique (reader, context->addresses, "address", target->address);
}

/* Reads one shard with its targets. */
static void
read_shard (jd_record_reader_t *reader, json_t *object, target_context_t *context,
            jd_shard_record_t *shard)
{
  jd_record_reader_check_fields (reader, object, shard_fields);
  shard->id = jd_record_reader_name (reader, object, "id");
  shard->weight = jd_record_reader_integer (reader, object, "weight", 1, MAX_WEIGHT);
  jd_record_reader_check_unique (reader, context->shards, "id", shard->id);
  json_t *targets =
      jd_record_reader_array (reader, object, "targets", 1, MAX_TARGETS_PER_SHARD);
  shard->target_count = (uint32_t)json_array_size (targets);
  shard->targets = g_new0 (jd_target_record_t, shard->target_count);
  for (uint32_t i = 0; i < shard->target_count; i++)
    {
      jd_reader_mark_t mark = jd_record_reader_enter (reader, "targets", i);
      read_target (reader, json_array_get (targets, i), context, &shard->targets[i]);
      jd_record_reader_leave (reader, mark);
    }
}

/* Reads all shards and sums their weights. A service of kind "single" has one shard. */
static void
read_shards (jd_record_reader_t *reader, json_t *object, target_context_t *context,
             jd_service_record_t *record)
{
  size_t max = record->kind == JD_SERVICE_SINGLE ? 1 : MAX_SHARDS;
  json_t *shards = jd_record_reader_array (reader, object, "shards", 1, max);
  record->shard_count = (uint32_t)json_array_size (shards);
  record->shards = g_new0 (jd_shard_record_t, record->shard_count);
  for (uint32_t i = 0; i < record->shard_count; i++)
    {
      jd_reader_mark_t mark = jd_record_reader_enter (reader, "shards", i);
      read_shard (reader, json_array_get (shards, i), context, &record->shards[i]);
      jd_record_reader_leave (reader, mark);
      record->total_weight += record->shards[i].weight;
    }
}

/* Reads the list of organisations that may use the service. Without the field all
 * organisations may. */
static void
read_organisations (jd_record_reader_t *reader, json_t *object,
                    jd_service_record_t *record)
{
  if (!json_object_get (object, "organisations"))
    return;
  json_t *array =
      jd_record_reader_array (reader, object, "organisations", 0, MAX_ORGANISATIONS);
  size_t count = json_array_size (array);
  GHashTable *ids = g_hash_table_new (g_str_hash, g_str_equal);
  record->organisations = g_new0 (char *, count + 1);
  for (size_t i = 0; i < count; i++)
    {
      jd_reader_mark_t mark = jd_record_reader_enter (reader, "organisations", i);
      const char *id = json_string_value (json_array_get (array, i));
      if (!id || !jd_record_is_name (id))
        jd_record_reader_set_error (reader, NULL, "must be the id of an organisation");
      record->organisations[i] = g_strdup (id ? id : "");
      jd_record_reader_check_unique (reader, ids, NULL, record->organisations[i]);
      jd_record_reader_leave (reader, mark);
    }
  g_hash_table_unref (ids);
}

/* Reads all fields except the head and the name. */
static void
read_service (jd_record_reader_t *reader, json_t *object, jd_service_record_t *record)
{
  target_context_t context = {
    .schema_version = record->head.schema_version,
    .slots = (uint32_t)jd_record_reader_integer (reader, object, "slots", 1, MAX_SLOTS),
    .connections = (uint32_t)jd_record_reader_integer (reader, object, "connections", 1,
                                                       MAX_CONNECTIONS),
    .shards = g_hash_table_new (g_str_hash, g_str_equal),
    .targets = g_hash_table_new (g_str_hash, g_str_equal),
    .addresses = g_hash_table_new (g_str_hash, g_str_equal),
  };
  record->kind = (jd_service_kind_t)jd_record_reader_choice (reader, object, "kind",
                                                             service_kinds, -1);
  record->needs_no_key = jd_record_reader_flag (reader, object, "open");
  record->deadline_ms = (uint32_t)jd_record_reader_integer (reader, object, "deadline_ms",
                                                            1, MAX_DEADLINE_MS);
  record->hedge_quantile = jd_record_reader_number_or (
      reader, object, "hedge_quantile", 0.5, 0.9999, DEFAULT_HEDGE_QUANTILE);
  record->hedge_budget = jd_record_reader_number_or (reader, object, "hedge_budget", 0, 1,
                                                     DEFAULT_HEDGE_BUDGET);
  record->map_version =
      jd_record_reader_integer (reader, object, "map_version", 1, INT64_MAX);
  read_organisations (reader, object, record);
  read_shards (reader, object, &context, record);
  g_hash_table_unref (context.shards);
  g_hash_table_unref (context.targets);
  g_hash_table_unref (context.addresses);
}

/* Reads the name of the service, which must match the name of the record. A deleted
 * record has no field for it, so it follows from the name of the record. */
static void
read_name (jd_record_reader_t *reader, const char *record_name, json_t *object,
           jd_service_record_t *record)
{
  if (record->head.deleted)
    record->name = g_strdup (g_str_has_prefix (record_name, RECORD_PREFIX)
                                 ? record_name + sizeof (RECORD_PREFIX) - 1
                                 : record_name);
  else
    record->name = jd_record_reader_name (reader, object, "name");
  char *expected = g_strconcat (RECORD_PREFIX, record->name, NULL);
  if (!g_str_equal (expected, record_name))
    jd_record_reader_set_error (reader, "name", "the record must be named %s", expected);
  g_free (expected);
}

/* Parses the record "service.NAME"; a deleted one has a name and no shards. Returns NULL
 * with an error for an invalid one. */
jd_service_record_t *
jd_service_record_parse (const char *name, const char *text, size_t length,
                         GError **error)
{
  static const char *const no_fields[] = { NULL };
  jd_record_head_t head;
  jd_record_reader_t reader;
  json_t *object = jd_record_parse (name, text, length, &head, error);
  if (!object)
    return NULL;
  jd_service_record_t *record = g_atomic_rc_box_new0 (jd_service_record_t);
  record->head = head;
  jd_record_reader_init (&reader, name, &head);
  jd_record_reader_check_fields (&reader, object, head.deleted ? no_fields : top_fields);
  read_name (&reader, name, object, record);
  if (!head.deleted)
    read_service (&reader, object, record);
  json_decref (object);
  if (jd_record_reader_finish (&reader, error))
    return record;
  jd_service_record_unref (record);
  return NULL;
}

/* Returns a new reference. */
jd_service_record_t *
jd_service_record_ref (jd_service_record_t *record)
{
  return g_atomic_rc_box_acquire (record);
}

/* Frees the targets and the id of a shard. */
static void
clear_shard (jd_shard_record_t *shard)
{
  for (uint32_t i = 0; i < shard->target_count; i++)
    {
      g_free (shard->targets[i].id);
      g_free (shard->targets[i].address);
      g_free (shard->targets[i].zone);
    }
  g_free (shard->targets);
  g_free (shard->id);
}

/* Frees the shards and texts of a record. */
static void
clear_record (gpointer data)
{
  jd_service_record_t *record = data;
  for (uint32_t i = 0; i < record->shard_count; i++)
    clear_shard (&record->shards[i]);
  g_free (record->shards);
  g_strfreev (record->organisations);
  g_free (record->name);
}

/* Drops a reference; NULL is allowed. */
void
jd_service_record_unref (jd_service_record_t *record)
{
  if (record)
    g_atomic_rc_box_release_full (record, clear_record);
}

/* Returns TRUE if an organisation may use the service. NULL stands for a caller without a
 * key, which may use only services that need no key. */
gboolean
jd_service_record_allows (const jd_service_record_t *record, const char *organisation)
{
  if (record->needs_no_key)
    return TRUE;
  if (!organisation)
    return FALSE;
  return !record->organisations ||
         g_strv_contains ((const char *const *)record->organisations, organisation);
}
