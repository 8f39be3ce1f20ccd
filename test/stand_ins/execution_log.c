#include "stand_ins/execution_log.h"

#include <glib.h>

/* Content of an entry after its last edit. */
typedef struct stored_entry
{
  char *body;
  uint64_t revision;
} stored_entry_t;

struct jd_execution_log
{
  GMutex lock;          /* Guards the tables. */
  GHashTable *entries;  /* Entry id -> stored_entry_t, for edited entries. */
  GHashTable *requests; /* Request id -> number of executions. */
  GHashTable *bodies;   /* Edit body -> number of executions; shows an edit that ran
                         * again under another request id. */
};

static void
entry_free (gpointer data)
{
  stored_entry_t *entry = data;
  g_free (entry->body);
  g_free (entry);
}

jd_execution_log_t *
jd_execution_log_new (void)
{
  jd_execution_log_t *log = g_new0 (jd_execution_log_t, 1);
  g_mutex_init (&log->lock);
  log->entries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, entry_free);
  log->requests = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  log->bodies = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return log;
}

void
jd_execution_log_free (jd_execution_log_t *log)
{
  if (!log)
    return;
  g_hash_table_destroy (log->entries);
  g_hash_table_destroy (log->requests);
  g_hash_table_destroy (log->bodies);
  g_mutex_clear (&log->lock);
  g_free (log);
}

static void
increment_count (GHashTable *table, const char *key)
{
  guint count = GPOINTER_TO_UINT (g_hash_table_lookup (table, key));
  g_hash_table_replace (table, g_strdup (key), GUINT_TO_POINTER (count + 1));
}

/* Stores a copy of the body and counts the execution under its id and its body. */
uint64_t
jd_execution_log_edit (jd_execution_log_t *log, const char *entry, const char *request_id,
                       const char *body)
{
  g_mutex_lock (&log->lock);
  increment_count (log->requests, request_id);
  increment_count (log->bodies, body);
  stored_entry_t *stored = g_hash_table_lookup (log->entries, entry);
  if (!stored)
    {
      stored = g_new0 (stored_entry_t, 1);
      g_hash_table_insert (log->entries, g_strdup (entry), stored);
    }
  g_free (stored->body);
  stored->body = g_strdup (body);
  uint64_t revision = ++stored->revision;
  g_mutex_unlock (&log->lock);
  return revision;
}

/* Returns the stored content, or generated content for an entry without an edit. */
char *
jd_execution_log_fetch (jd_execution_log_t *log, const char *entry, uint64_t *revision)
{
  g_mutex_lock (&log->lock);
  const stored_entry_t *stored = g_hash_table_lookup (log->entries, entry);
  *revision = stored ? stored->revision : 0;
  char *body =
      stored ? g_strdup (stored->body) : g_strdup_printf ("{\"text\":\"%s\"}", entry);
  g_mutex_unlock (&log->lock);
  return body;
}

/* Returns one table of counts as a JSON object. */
static json_t *
counts_to_json (GHashTable *table)
{
  json_t *object = json_object ();
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&iter, table);
  while (g_hash_table_iter_next (&iter, &key, &value))
    json_object_set_new (object, key, json_integer (GPOINTER_TO_UINT (value)));
  return object;
}

/* Returns the counts of all executions as a new JSON object. */
json_t *
jd_execution_log_to_json (jd_execution_log_t *log)
{
  g_mutex_lock (&log->lock);
  json_t *object = json_object ();
  json_object_set_new (object, "requests", counts_to_json (log->requests));
  json_object_set_new (object, "bodies", counts_to_json (log->bodies));
  g_mutex_unlock (&log->lock);
  return object;
}
