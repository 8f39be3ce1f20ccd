#include "config/config_store.h"

#include <string.h>
#include <xxhash.h>

#include "base/log_event.h"
#include "config/record_reader.h"

#define SERVICE_PREFIX "service."

typedef void *(*parse_record_t) (const char *name, const char *text, size_t length,
                                 GError **error);
typedef void (*unref_record_t) (void *record);

/* A type of records with its functions. */
typedef struct record_kind
{
  const char *name; /* Name of the record; a prefix of names if it ends in a dot. */
  parse_record_t parse;
  unref_record_t unref;
} record_kind_t;

static const record_kind_t record_kinds[] = {
  { "fleet", (parse_record_t)jd_fleet_record_parse,
    (unref_record_t)jd_fleet_record_unref },
  { "organisations", (parse_record_t)jd_organisation_record_parse,
    (unref_record_t)jd_organisation_record_unref },
  { "keys", (parse_record_t)jd_key_record_parse, (unref_record_t)jd_key_record_unref },
  { "zones", (parse_record_t)jd_zone_state_record_parse,
    (unref_record_t)jd_zone_state_record_unref },
  { "hosts", (parse_record_t)jd_host_state_record_parse,
    (unref_record_t)jd_host_state_record_unref },
  { SERVICE_PREFIX, (parse_record_t)jd_service_record_parse,
    (unref_record_t)jd_service_record_unref },
};

/* The current version of a record. */
typedef struct entry
{
  const record_kind_t *kind;
  char *text;
  size_t length;
  uint64_t version;
  uint64_t content_hash;
  gboolean deleted;
  void *record; /* The parsed record, an atomic reference-counted box. */
} entry_t;

struct jd_config_store
{
  GMutex lock;                /* Protects all fields. A thread that holds it acquires no
                               * other lock and parses nothing. */
  GHashTable *entries;        /* name -> entry_t */
  GHashTable *refused_hashes; /* name -> hash of the last refused text, logged once */
  uint64_t generation;
};

/* Frees an entry and drops its reference to the record; readers may hold others. */
static void
free_entry (gpointer data)
{
  entry_t *entry = data;
  entry->kind->unref (entry->record);
  g_free (entry->text);
  g_free (entry);
}

/* Creates an empty store. */
jd_config_store_t *
jd_config_store_new (void)
{
  jd_config_store_t *store = g_new0 (jd_config_store_t, 1);
  g_mutex_init (&store->lock);
  store->entries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_entry);
  store->refused_hashes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return store;
}

/* Frees a store; NULL is allowed. */
void
jd_config_store_free (jd_config_store_t *store)
{
  if (!store)
    return;
  g_hash_table_unref (store->entries);
  g_hash_table_unref (store->refused_hashes);
  g_mutex_clear (&store->lock);
  g_free (store);
}

/* Returns the type of a record by the name of the record, NULL if it is unknown. */
static const record_kind_t *
find_kind (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (record_kinds); i++)
    {
      if (g_str_equal (record_kinds[i].name, name))
        return g_str_has_suffix (name, ".") ? NULL : &record_kinds[i];
      if (g_str_has_suffix (record_kinds[i].name, ".") &&
          g_str_has_prefix (name, record_kinds[i].name))
        return &record_kinds[i];
    }
  return NULL;
}

/* Returns a hash of the content of a record, which does not depend on white space and the
 * order of fields. */
static uint64_t
hash_content (json_t *object)
{
  char *canonical = json_dumps (object, JSON_COMPACT | JSON_SORT_KEYS);
  uint64_t hash = XXH64 (canonical, strlen (canonical), 0);
  free (canonical);
  return hash;
}

/* Compares an offered record with the current one. Returns JD_ADOPTION_ADOPTED if the
 * offered version is higher, but does not store it. The caller holds the lock. */
static jd_adoption_t
compare_offer_locked (jd_config_store_t *store, const char *name, uint64_t version,
                      uint64_t content_hash)
{
  const entry_t *entry = g_hash_table_lookup (store->entries, name);
  if (!entry || version > entry->version)
    return JD_ADOPTION_ADOPTED;
  if (version < entry->version)
    return JD_ADOPTION_OLDER;
  return content_hash == entry->content_hash ? JD_ADOPTION_CURRENT : JD_ADOPTION_CONFLICT;
}

/* Compares an offered record with the current one, like compare_offer_locked (). */
static jd_adoption_t
compare_offer (jd_config_store_t *store, const char *name, uint64_t version,
               uint64_t content_hash)
{
  g_mutex_lock (&store->lock);
  jd_adoption_t result = compare_offer_locked (store, name, version, content_hash);
  g_mutex_unlock (&store->lock);
  return result;
}

/* Makes a parsed record the current one, unless another thread has adopted the same or a
 * higher version in the meantime. Takes ownership of the entry. */
static jd_adoption_t
adopt_entry (jd_config_store_t *store, const char *name, entry_t *entry)
{
  g_mutex_lock (&store->lock);
  jd_adoption_t result =
      compare_offer_locked (store, name, entry->version, entry->content_hash);
  if (result == JD_ADOPTION_ADOPTED)
    {
      g_hash_table_replace (store->entries, g_strdup (name), entry);
      g_hash_table_remove (store->refused_hashes, name);
      store->generation++;
    }
  g_mutex_unlock (&store->lock);
  if (result != JD_ADOPTION_ADOPTED)
    free_entry (entry);
  return result;
}

/* Returns TRUE if the offered text has the same bytes as the current text, so that
 * repeated offers need not be parsed. */
static gboolean
is_current_text (jd_config_store_t *store, const char *name, const char *text,
                 size_t length)
{
  g_mutex_lock (&store->lock);
  const entry_t *entry = g_hash_table_lookup (store->entries, name);
  gboolean is_same =
      entry && entry->length == length && memcmp (entry->text, text, length) == 0;
  g_mutex_unlock (&store->lock);
  return is_same;
}

/* Parses an offered record and adopts it if it is valid and its version is higher.
 * Sets an error for an invalid or conflicting one. */
static jd_adoption_t
parse_and_adopt (jd_config_store_t *store, const char *name, const char *text,
                 size_t length, GError **error)
{
  const record_kind_t *kind = find_kind (name);
  if (!kind || !jd_record_is_name (name))
    {
      g_set_error (error, JD_RECORD_ERROR, JD_RECORD_ERROR_FIELD,
                   "%s: unknown type of record", name);
      return JD_ADOPTION_INVALID;
    }
  jd_record_head_t head;
  json_t *object = jd_record_parse (name, text, length, &head, error);
  if (!object)
    return JD_ADOPTION_INVALID;
  uint64_t content_hash = hash_content (object);
  json_decref (object);
  jd_adoption_t result = compare_offer (store, name, head.record_version, content_hash);
  if (result == JD_ADOPTION_CONFLICT)
    g_set_error (error, JD_RECORD_ERROR, JD_RECORD_ERROR_FIELD,
                 "%s: record_version: %" G_GUINT64_FORMAT
                 " is already in use with different content",
                 name, head.record_version);
  if (result != JD_ADOPTION_ADOPTED)
    return result;
  void *record = kind->parse (name, text, length, error);
  if (!record)
    return JD_ADOPTION_INVALID;
  entry_t *entry = g_new0 (entry_t, 1);
  entry->kind = kind;
  entry->text = g_strndup (text, length);
  entry->length = length;
  entry->version = head.record_version;
  entry->content_hash = content_hash;
  entry->deleted = head.deleted;
  entry->record = record;
  return adopt_entry (store, name, entry);
}

/* Returns TRUE if the last refused text of this record was another one, and stores the
 * hash of this one, so that an offer that peers repeat is logged once. For an unknown
 * type of record it stores no hash, because the number of such names is unbounded. */
static gboolean
is_first_refusal (jd_config_store_t *store, const char *name, const char *text,
                  size_t length)
{
  if (!find_kind (name))
    return TRUE;
  uint64_t hash = XXH64 (text, length, 0);
  g_mutex_lock (&store->lock);
  const uint64_t *last_hash = g_hash_table_lookup (store->refused_hashes, name);
  gboolean is_new = !last_hash || *last_hash != hash;
  if (is_new)
    g_hash_table_replace (store->refused_hashes, g_strdup (name),
                          g_memdup2 (&hash, sizeof (hash)));
  g_mutex_unlock (&store->lock);
  return is_new;
}

/* Logs the refusal of an offered text, once if the offer is repeated. */
static void
log_refusal (jd_config_store_t *store, const char *name, const char *text, size_t length,
             jd_adoption_t result, const GError *reason)
{
  if (!is_first_refusal (store, name, text, length))
    return;
  char *quoted = jd_log_quote (reason->message);
  jd_log_event (G_LOG_LEVEL_CRITICAL, "record_refused", "record=%s conflict=%d reason=%s",
                name, result == JD_ADOPTION_CONFLICT, quoted);
  g_free (quoted);
}

/* Adopts the text of a record if it is valid and its version is higher. An invalid or
 * conflicting one is logged, sets an error and leaves the current record as it is. */
jd_adoption_t
jd_config_store_offer (jd_config_store_t *store, const char *name, const char *text,
                       size_t length, GError **error)
{
  GError *reason = NULL;
  if (is_current_text (store, name, text, length))
    return JD_ADOPTION_CURRENT;
  jd_adoption_t result = parse_and_adopt (store, name, text, length, &reason);
  if (reason)
    {
      log_refusal (store, name, text, length, result, reason);
      g_propagate_error (error, reason);
    }
  if (result == JD_ADOPTION_ADOPTED)
    jd_log_event (G_LOG_LEVEL_INFO, "record_adopted",
                  "record=%s version=%" G_GUINT64_FORMAT, name,
                  jd_config_store_version (store, name));
  return result;
}

/* Returns the current version, 0 if there is none. Deleted records have one too. */
uint64_t
jd_config_store_version (jd_config_store_t *store, const char *name)
{
  g_mutex_lock (&store->lock);
  const entry_t *entry = g_hash_table_lookup (store->entries, name);
  uint64_t version = entry ? entry->version : 0;
  g_mutex_unlock (&store->lock);
  return version;
}

/* Returns a number that increases with every adoption. */
uint64_t
jd_config_store_generation (jd_config_store_t *store)
{
  g_mutex_lock (&store->lock);
  uint64_t generation = store->generation;
  g_mutex_unlock (&store->lock);
  return generation;
}

/* Returns a copy of the current text, NULL if there is none; free with g_free. */
char *
jd_config_store_text (jd_config_store_t *store, const char *name)
{
  g_mutex_lock (&store->lock);
  const entry_t *entry = g_hash_table_lookup (store->entries, name);
  char *text = entry ? g_strdup (entry->text) : NULL;
  g_mutex_unlock (&store->lock);
  return text;
}

/* Compares two names for g_ptr_array_sort (). */
static gint
compare_names (gconstpointer first, gconstpointer second)
{
  return g_strcmp0 (*(char *const *)first, *(char *const *)second);
}

/* Returns the sorted names of all records, including deleted ones; free with
 * g_strfreev. */
char **
jd_config_store_names (jd_config_store_t *store)
{
  GPtrArray *names = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer name;
  g_mutex_lock (&store->lock);
  g_hash_table_iter_init (&iter, store->entries);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    g_ptr_array_add (names, g_strdup (name));
  g_mutex_unlock (&store->lock);
  g_ptr_array_sort (names, compare_names);
  g_ptr_array_add (names, NULL);
  return (char **)g_ptr_array_free (names, FALSE);
}

/* Calls visit with each record, including deleted ones, in no particular order. visit
 * must not call the store, whose lock is held. */
void
jd_config_store_each (jd_config_store_t *store, jd_config_store_visit_t visit,
                      void *context)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  g_mutex_lock (&store->lock);
  g_hash_table_iter_init (&iter, store->entries);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const entry_t *entry = value;
      visit (context, name, entry->version, entry->content_hash);
    }
  g_mutex_unlock (&store->lock);
}

/* Returns a new reference to the current record, NULL if there is none or it is
 * deleted. */
static void *
get_record (jd_config_store_t *store, const char *name)
{
  g_mutex_lock (&store->lock);
  const entry_t *entry = g_hash_table_lookup (store->entries, name);
  void *record =
      entry && !entry->deleted ? g_atomic_rc_box_acquire (entry->record) : NULL;
  g_mutex_unlock (&store->lock);
  return record;
}

/* Returns a new reference to the current fleet, or NULL. */
jd_fleet_record_t *
jd_config_store_fleet (jd_config_store_t *store)
{
  return get_record (store, "fleet");
}

/* Returns a new reference to the current organisations, or NULL. */
jd_organisation_record_t *
jd_config_store_organisations (jd_config_store_t *store)
{
  return get_record (store, "organisations");
}

/* Returns a new reference to the current keys, or NULL. */
jd_key_record_t *
jd_config_store_keys (jd_config_store_t *store)
{
  return get_record (store, "keys");
}

/* Returns a new reference to the current zone states, or NULL. */
jd_zone_state_record_t *
jd_config_store_zones (jd_config_store_t *store)
{
  return get_record (store, "zones");
}

/* Returns a new reference to the current host states, or NULL. */
jd_host_state_record_t *
jd_config_store_hosts (jd_config_store_t *store)
{
  return get_record (store, "hosts");
}

/* Returns a new reference to the current record of a service, or NULL. service is the
 * name of the record without its prefix. */
jd_service_record_t *
jd_config_store_service (jd_config_store_t *store, const char *service)
{
  char *name = g_strconcat (SERVICE_PREFIX, service, NULL);
  jd_service_record_t *record = get_record (store, name);
  g_free (name);
  return record;
}
