#include "config/config_store.h"

#include <string.h>
#include <xxhash.h>

#include "base/log_event.h"
#include "config/record_reader.h"

#define SERVICE_PREFIX "service."

typedef void *(*parse_record_t) (const char *name, const char *text, size_t length,
                                 GError **error);
typedef void (*unref_record_t) (void *record);

/* A type of record with its parser. */
typedef struct record_kind
{
  const char *name; /* The whole name, or the prefix when it ends in a dot. */
  parse_record_t parse;
  unref_record_t unref;
} record_kind_t;

static const record_kind_t kinds[] = {
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

/* One record in force. */
typedef struct entry
{
  const record_kind_t *kind;
  char *text;
  size_t length;
  uint64_t version;
  uint64_t content_hash;
  gboolean deleted;
  void *record; /* Atomic reference-counted box of the type of the kind. */
} entry_t;

struct jd_config_store
{
  GMutex lock;          /* Guards all fields; taken last and never held while parsing. */
  GHashTable *entries;  /* name -> entry_t */
  GHashTable *reported; /* name -> hash of the text last refused, to log it once */
  uint64_t generation;
};

/* Frees one entry; readers may still hold references to its record. */
static void
free_entry (gpointer data)
{
  entry_t *entry = data;
  entry->kind->unref (entry->record);
  g_free (entry->text);
  g_free (entry);
}

/* Returns an empty store. */
jd_config_store_t *
jd_config_store_new (void)
{
  jd_config_store_t *store = g_new0 (jd_config_store_t, 1);
  g_mutex_init (&store->lock);
  store->entries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_entry);
  store->reported = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return store;
}

/* Frees a store; NULL is allowed. */
void
jd_config_store_free (jd_config_store_t *store)
{
  if (!store)
    return;
  g_hash_table_unref (store->entries);
  g_hash_table_unref (store->reported);
  g_mutex_clear (&store->lock);
  g_free (store);
}

/* Returns the type of a record by its name, or NULL. */
static const record_kind_t *
kind_of (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      if (g_str_equal (kinds[i].name, name))
        return g_str_has_suffix (name, ".") ? NULL : &kinds[i];
      if (g_str_has_suffix (kinds[i].name, ".") && g_str_has_prefix (name, kinds[i].name))
        return &kinds[i];
    }
  return NULL;
}

/* Hashes the content of a record, so that layout and order of fields do not count. */
static uint64_t
hash_content (json_t *object)
{
  char *canonical = json_dumps (object, JSON_COMPACT | JSON_SORT_KEYS);
  uint64_t hash = XXH64 (canonical, strlen (canonical), 0);
  free (canonical);
  return hash;
}

/* Compares an offer with the version in force; JD_ADOPTION_ADOPTED means that it is
 * higher. Caller holds the lock. */
static jd_adoption_t
compare_locked (jd_config_store_t *store, const char *name, uint64_t version,
                uint64_t content_hash)
{
  const entry_t *entry = g_hash_table_lookup (store->entries, name);
  if (!entry || version > entry->version)
    return JD_ADOPTION_ADOPTED;
  if (version < entry->version)
    return JD_ADOPTION_OLDER;
  return content_hash == entry->content_hash ? JD_ADOPTION_CURRENT : JD_ADOPTION_CONFLICT;
}

/* Compares an offer with the version in force. */
static jd_adoption_t
compare (jd_config_store_t *store, const char *name, uint64_t version,
         uint64_t content_hash)
{
  g_mutex_lock (&store->lock);
  jd_adoption_t result = compare_locked (store, name, version, content_hash);
  g_mutex_unlock (&store->lock);
  return result;
}

/* Puts a parsed entry in force unless another thread has adopted the same or a higher
 * version meanwhile. Takes the entry. */
static jd_adoption_t
adopt (jd_config_store_t *store, const char *name, entry_t *entry)
{
  g_mutex_lock (&store->lock);
  jd_adoption_t result =
      compare_locked (store, name, entry->version, entry->content_hash);
  if (result == JD_ADOPTION_ADOPTED)
    {
      g_hash_table_replace (store->entries, g_strdup (name), entry);
      g_hash_table_remove (store->reported, name);
      store->generation++;
    }
  g_mutex_unlock (&store->lock);
  if (result != JD_ADOPTION_ADOPTED)
    free_entry (entry);
  return result;
}

/* Returns TRUE when an offer has the same bytes as the text in force, which saves the
 * parsing of repeated offers. */
static gboolean
is_same_text (jd_config_store_t *store, const char *name, const char *text, size_t length)
{
  g_mutex_lock (&store->lock);
  const entry_t *entry = g_hash_table_lookup (store->entries, name);
  gboolean same =
      entry && entry->length == length && memcmp (entry->text, text, length) == 0;
  g_mutex_unlock (&store->lock);
  return same;
}

/* Parses an offer and puts it in force when it is valid and higher. */
static jd_adoption_t
try_offer (jd_config_store_t *store, const char *name, const char *text, size_t length,
           GError **error)
{
  const record_kind_t *kind = kind_of (name);
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
  jd_adoption_t result = compare (store, name, head.record_version, content_hash);
  if (result == JD_ADOPTION_CONFLICT)
    g_set_error (error, JD_RECORD_ERROR, JD_RECORD_ERROR_FIELD,
                 "%s: record_version: %" G_GUINT64_FORMAT
                 " is in force with other content",
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
  return adopt (store, name, entry);
}

/* Returns TRUE when this text was not refused before, so that an offer that peers
 * repeat is logged once. Remembers known types only, whose number is bounded. */
static gboolean
is_new_refusal (jd_config_store_t *store, const char *name, const char *text,
                size_t length)
{
  if (!kind_of (name))
    return TRUE;
  uint64_t hash = XXH64 (text, length, 0);
  g_mutex_lock (&store->lock);
  const uint64_t *last = g_hash_table_lookup (store->reported, name);
  gboolean is_new = !last || *last != hash;
  if (is_new)
    g_hash_table_replace (store->reported, g_strdup (name),
                          g_memdup2 (&hash, sizeof (hash)));
  g_mutex_unlock (&store->lock);
  return is_new;
}

/* Logs a refused offer once. */
static void
log_refusal (jd_config_store_t *store, const char *name, const char *text, size_t length,
             jd_adoption_t result, const GError *reason)
{
  if (!is_new_refusal (store, name, text, length))
    return;
  char *quoted = jd_log_quote (reason->message);
  jd_log_event (G_LOG_LEVEL_CRITICAL, "record_refused", "record=%s conflict=%d reason=%s",
                name, result == JD_ADOPTION_CONFLICT, quoted);
  g_free (quoted);
}

/* Offers the text of a record. A refused one (invalid or in conflict) is logged and
 * leaves the record in force as it is. */
jd_adoption_t
jd_config_store_offer (jd_config_store_t *store, const char *name, const char *text,
                       size_t length, GError **error)
{
  GError *reason = NULL;
  if (is_same_text (store, name, text, length))
    return JD_ADOPTION_CURRENT;
  jd_adoption_t result = try_offer (store, name, text, length, &reason);
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

/* Returns the version in force, 0 when there is none. */
uint64_t
jd_config_store_version (jd_config_store_t *store, const char *name)
{
  g_mutex_lock (&store->lock);
  const entry_t *entry = g_hash_table_lookup (store->entries, name);
  uint64_t version = entry ? entry->version : 0;
  g_mutex_unlock (&store->lock);
  return version;
}

/* Returns a number that grows with every adoption. */
uint64_t
jd_config_store_generation (jd_config_store_t *store)
{
  g_mutex_lock (&store->lock);
  uint64_t generation = store->generation;
  g_mutex_unlock (&store->lock);
  return generation;
}

/* Returns a copy of the text in force, or NULL. */
char *
jd_config_store_text (jd_config_store_t *store, const char *name)
{
  g_mutex_lock (&store->lock);
  const entry_t *entry = g_hash_table_lookup (store->entries, name);
  char *text = entry ? g_strdup (entry->text) : NULL;
  g_mutex_unlock (&store->lock);
  return text;
}

/* Orders two names, for g_ptr_array_sort. */
static gint
compare_names (gconstpointer first, gconstpointer second)
{
  return g_strcmp0 (*(char *const *)first, *(char *const *)second);
}

/* Returns the sorted names of all records, including deleted ones. */
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

/* Calls back with every record, including deleted ones, in no order. The callback must
 * not use the store. */
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

/* Returns a new reference to a record in force, NULL when there is none or it is
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

/* Returns the fleet in force. */
jd_fleet_record_t *
jd_config_store_fleet (jd_config_store_t *store)
{
  return get_record (store, "fleet");
}

/* Returns the organisations in force. */
jd_organisation_record_t *
jd_config_store_organisations (jd_config_store_t *store)
{
  return get_record (store, "organisations");
}

/* Returns the keys in force. */
jd_key_record_t *
jd_config_store_keys (jd_config_store_t *store)
{
  return get_record (store, "keys");
}

/* Returns the zone states in force. */
jd_zone_state_record_t *
jd_config_store_zones (jd_config_store_t *store)
{
  return get_record (store, "zones");
}

/* Returns the host states in force. */
jd_host_state_record_t *
jd_config_store_hosts (jd_config_store_t *store)
{
  return get_record (store, "hosts");
}

/* Returns a service in force by its name without the prefix of the record. */
jd_service_record_t *
jd_config_store_service (jd_config_store_t *store, const char *service)
{
  char *name = g_strconcat (SERVICE_PREFIX, service, NULL);
  jd_service_record_t *record = get_record (store, name);
  g_free (name);
  return record;
}
