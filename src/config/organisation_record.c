#include "config/organisation_record.h"

#include "config/record_reader.h"

#define MAX_ORGANISATIONS 10000
#define MAX_RATE_PER_S 1e6
#define MAX_BURST 1e7

static const char *const top_fields[] = { "organisations", NULL };
static const char *const organisation_fields[] = { "id", "rate_per_s", "burst",
                                                   "on_stale_keys", NULL };
static const char *const stale_key_policies[] = {
  "reads_only", "serve", "refuse", NULL
}; /* In the order of jd_stale_key_policy_t. */

/* Reads one organisation, whose id must not be in seen yet. */
static void
read_organisation (jd_record_reader_t *reader, json_t *object, GHashTable *seen,
                   jd_organisation_t *organisation)
{
  jd_record_reader_check_fields (reader, object, organisation_fields);
  organisation->id = jd_record_reader_name (reader, object, "id");
  organisation->rate_per_s =
      jd_record_reader_number (reader, object, "rate_per_s", 0, MAX_RATE_PER_S);
  organisation->burst = jd_record_reader_number (reader, object, "burst", 0, MAX_BURST);
  organisation->stale_key_policy = (jd_stale_key_policy_t)jd_record_reader_choice (
      reader, object, "on_stale_keys", stale_key_policies, JD_STALE_KEYS_READS_ONLY);
  jd_record_reader_check_unique (reader, seen, "id", organisation->id);
}

/* Reads all fields except the head. */
static void
read_organisations (jd_record_reader_t *reader, json_t *object,
                    jd_organisation_record_t *record)
{
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  json_t *array =
      jd_record_reader_array (reader, object, "organisations", 0, MAX_ORGANISATIONS);
  record->organisation_count = (uint32_t)json_array_size (array);
  record->organisations = g_new0 (jd_organisation_t, record->organisation_count);
  for (uint32_t i = 0; i < record->organisation_count; i++)
    {
      jd_reader_mark_t mark = jd_record_reader_enter (reader, "organisations", i);
      read_organisation (reader, json_array_get (array, i), seen,
                         &record->organisations[i]);
      jd_record_reader_leave (reader, mark);
    }
  g_hash_table_unref (seen);
}

/* Parses an organisations record; a deleted one is empty. Returns NULL with an error for
 * an invalid one. */
jd_organisation_record_t *
jd_organisation_record_parse (const char *name, const char *text, size_t length,
                              GError **error)
{
  static const char *const no_fields[] = { NULL };
  jd_record_head_t head;
  jd_record_reader_t reader;
  json_t *object = jd_record_parse (name, text, length, &head, error);
  if (!object)
    return NULL;
  jd_organisation_record_t *record = g_atomic_rc_box_new0 (jd_organisation_record_t);
  record->head = head;
  jd_record_reader_init (&reader, name, &head);
  jd_record_reader_check_fields (&reader, object, head.deleted ? no_fields : top_fields);
  if (!head.deleted)
    read_organisations (&reader, object, record);
  json_decref (object);
  if (jd_record_reader_finish (&reader, error))
    return record;
  jd_organisation_record_unref (record);
  return NULL;
}

/* Returns a new reference. */
jd_organisation_record_t *
jd_organisation_record_ref (jd_organisation_record_t *record)
{
  return g_atomic_rc_box_acquire (record);
}

/* Frees the organisations of a record. */
static void
clear_record (gpointer data)
{
  jd_organisation_record_t *record = data;
  for (uint32_t i = 0; i < record->organisation_count; i++)
    g_free (record->organisations[i].id);
  g_free (record->organisations);
}

/* Drops a reference; NULL is allowed. */
void
jd_organisation_record_unref (jd_organisation_record_t *record)
{
  if (record)
    g_atomic_rc_box_release_full (record, clear_record);
}

/* Returns the organisation with this id, or NULL. It belongs to the record. */
const jd_organisation_t *
jd_organisation_record_find (const jd_organisation_record_t *record, const char *id)
{
  for (uint32_t i = 0; i < record->organisation_count; i++)
    {
      if (g_str_equal (record->organisations[i].id, id))
        return &record->organisations[i];
    }
  return NULL;
}
