#include "config/key_record.h"

#include <string.h>

#include "config/record_reader.h"

#define MAX_KEYS 100000
/* Number of hex digits of a SHA-256 digest. */
#define DIGEST_LENGTH 64

static const char *const top_fields[] = { "keys", NULL };
static const char *const key_fields[] = { "digest", "organisation", "state", NULL };
static const char *const key_states[] = { "valid", "revoked", NULL };

/* Returns TRUE if a text is a digest in lower-case hex digits. */
static gboolean
is_digest (const char *text)
{
  return strlen (text) == DIGEST_LENGTH &&
         strspn (text, "0123456789abcdef") == DIGEST_LENGTH;
}

/* Frees a key; destroy function of the table of keys. */
static void
free_key (gpointer data)
{
  jd_key_t *key = data;
  g_free (key->digest);
  g_free (key->organisation);
  g_free (key);
}

/* Reads one key and adds it to the record. */
static void
read_key (jd_record_reader_t *reader, json_t *object, jd_key_record_t *record)
{
  jd_record_reader_check_fields (reader, object, key_fields);
  jd_key_t *key = g_new0 (jd_key_t, 1);
  key->digest = g_strdup (json_string_value (json_object_get (object, "digest")));
  key->organisation = jd_record_reader_name (reader, object, "organisation");
  key->revoked = jd_record_reader_choice (reader, object, "state", key_states, -1) == 1;
  if (!key->digest || !is_digest (key->digest))
    {
      jd_record_reader_set_error (reader, "digest", "must have %d lower-case hex digits",
                                  DIGEST_LENGTH);
      free_key (key);
      return;
    }
  if (!g_hash_table_replace (record->by_digest, key->digest, key))
    jd_record_reader_set_error (reader, "digest", "\"%s\" occurs twice", key->digest);
}

/* Reads all fields except the head. */
static void
read_keys (jd_record_reader_t *reader, json_t *object, jd_key_record_t *record)
{
  json_t *array = jd_record_reader_array (reader, object, "keys", 0, MAX_KEYS);
  for (size_t i = 0; i < json_array_size (array); i++)
    {
      jd_reader_mark_t mark = jd_record_reader_enter (reader, "keys", i);
      read_key (reader, json_array_get (array, i), record);
      jd_record_reader_leave (reader, mark);
    }
}

/* Parses a keys record; a deleted one is empty. Returns NULL with an error for an invalid
 * one. */
jd_key_record_t *
jd_key_record_parse (const char *name, const char *text, size_t length, GError **error)
{
  static const char *const no_fields[] = { NULL };
  jd_record_head_t head;
  jd_record_reader_t reader;
  json_t *object = jd_record_parse (name, text, length, &head, error);
  if (!object)
    return NULL;
  jd_key_record_t *record = g_atomic_rc_box_new0 (jd_key_record_t);
  record->head = head;
  record->by_digest = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_key);
  jd_record_reader_init (&reader, name, &head);
  jd_record_reader_check_fields (&reader, object, head.deleted ? no_fields : top_fields);
  if (!head.deleted)
    read_keys (&reader, object, record);
  json_decref (object);
  if (jd_record_reader_finish (&reader, error))
    return record;
  jd_key_record_unref (record);
  return NULL;
}

/* Returns a new reference. */
jd_key_record_t *
jd_key_record_ref (jd_key_record_t *record)
{
  return g_atomic_rc_box_acquire (record);
}

/* Frees the keys of a record. */
static void
clear_record (gpointer data)
{
  jd_key_record_t *record = data;
  g_hash_table_unref (record->by_digest);
}

/* Drops a reference; NULL is allowed. */
void
jd_key_record_unref (jd_key_record_t *record)
{
  if (record)
    g_atomic_rc_box_release_full (record, clear_record);
}

/* Returns the entry of a key, or NULL; the entry belongs to the record. key is the text
 * that the caller sent, not its digest. Revoked keys are returned too. */
const jd_key_t *
jd_key_record_find (const jd_key_record_t *record, const char *key)
{
  char *digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, key, -1);
  const jd_key_t *found = g_hash_table_lookup (record->by_digest, digest);
  g_free (digest);
  return found;
}
