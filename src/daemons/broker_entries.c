#include "daemons/broker_entries.h"

#include <string.h>

#include "base/clock.h"
#include "base/log_event.h"

/* Longer than any attempt may run, so that no outcome is lost because its entry was
 * removed. */
#define UNREACHABLE_TTL_US (30 * JD_US_PER_S)

/* One incarnation of an entry. */
typedef struct entry
{
  uint64_t number;
  jd_name_t member;
  uint64_t incarnation;
  jd_peer_origin_t origin; /* Latest connection. */
  int64_t last_message_us; /* Time of the latest message from or to the entry. */
} entry_t;

struct jd_broker_entries
{
  jd_peer_link_t *link;
  GHashTable *by_number;   /* Entry number -> entry_t. */
  GHashTable *by_identity; /* GBytes with the identity of a connection -> entry_t. */
  uint64_t next_number;
};

/* Creates an empty table. */
jd_broker_entries_t *
jd_broker_entries_new (jd_peer_link_t *link)
{
  jd_broker_entries_t *entries = g_new0 (jd_broker_entries_t, 1);
  entries->link = link;
  entries->by_number = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  entries->by_identity = g_hash_table_new_full (g_bytes_hash, g_bytes_equal,
                                                (GDestroyNotify)g_bytes_unref, NULL);
  entries->next_number = 1;
  return entries;
}

/* Frees the table; NULL is allowed. */
void
jd_broker_entries_free (jd_broker_entries_t *entries)
{
  if (!entries)
    return;
  g_hash_table_destroy (entries->by_identity);
  g_hash_table_destroy (entries->by_number);
  g_free (entries);
}

/* Returns the identity of a connection as a key; free with g_bytes_unref. */
static GBytes *
identity_key (const jd_peer_origin_t *origin)
{
  return g_bytes_new (origin->identity, origin->identity_bytes);
}

/* Returns the entry whose latest connection is origin, or NULL. */
static entry_t *
find_by_origin (const jd_broker_entries_t *entries, const jd_peer_origin_t *origin)
{
  GBytes *key = identity_key (origin);
  entry_t *entry = g_hash_table_lookup (entries->by_identity, key);
  g_bytes_unref (key);
  return entry;
}

/* Replaces the connection over which messages are sent to an entry. */
static void
set_origin (jd_broker_entries_t *entries, entry_t *entry, const jd_peer_origin_t *origin,
            int64_t now_us)
{
  GBytes *old = identity_key (&entry->origin);
  if (g_hash_table_lookup (entries->by_identity, old) == entry)
    g_hash_table_remove (entries->by_identity, old);
  g_bytes_unref (old);
  entry->origin = *origin;
  entry->last_message_us = now_us;
  g_hash_table_replace (entries->by_identity, identity_key (origin), entry);
}

/* Returns the entry with a member name and an incarnation, or NULL. Incarnation 0 selects
 * the latest one. */
static entry_t *
find_by_member (const jd_broker_entries_t *entries, const char *member,
                uint64_t incarnation)
{
  entry_t *best = NULL;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, entries->by_number);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      entry_t *entry = value;
      if (strcmp (entry->member, member) != 0)
        continue;
      if (incarnation != 0 && entry->incarnation != incarnation)
        continue;
      if (!best || entry->incarnation > best->incarnation)
        best = entry;
    }
  return best;
}

/* Records a hello and the connection on which it arrived; see the header. */
uint64_t
jd_broker_entries_on_hello (jd_broker_entries_t *entries, const jd_peer_origin_t *origin,
                            const jd_hello_t *hello, int64_t now_us,
                            gboolean *is_new_connection)
{
  /* Every entry sends several hellos a second, nearly always over the connection that is
   * already stored. */
  entry_t *entry = find_by_origin (entries, origin);
  *is_new_connection = !entry || entry->incarnation != hello->incarnation ||
                       strcmp (entry->member, hello->member) != 0;
  if (*is_new_connection)
    entry = find_by_member (entries, hello->member, hello->incarnation);
  if (!entry)
    {
      entry = g_new0 (entry_t, 1);
      entry->number = entries->next_number++;
      entry->incarnation = hello->incarnation;
      memcpy (entry->member, hello->member, sizeof (entry->member));
      g_hash_table_insert (entries->by_number, &entry->number, entry);
      jd_log_event (G_LOG_LEVEL_INFO, "entry_known",
                    "entry=%s incarnation=%" G_GUINT64_FORMAT, entry->member,
                    entry->incarnation);
    }
  set_origin (entries, entry, origin, now_us);
  return entry->number;
}

/* Returns the number of the entry that sent a message, 0 if it has never sent a hello. */
uint64_t
jd_broker_entries_find (jd_broker_entries_t *entries, const jd_peer_origin_t *origin,
                        const char *member, int64_t now_us)
{
  entry_t *entry = find_by_origin (entries, origin);
  if (!entry)
    {
      entry = find_by_member (entries, member, 0);
      if (entry)
        set_origin (entries, entry, origin, now_us);
    }
  if (!entry)
    return 0;
  entry->last_message_us = now_us;
  return entry->number;
}

/* Sends over the latest connection of an entry. Returns FALSE if that is closed. */
static gboolean
send_to (jd_broker_entries_t *entries, entry_t *entry, const jd_message_t *message,
         int64_t now_us)
{
  if (!jd_peer_link_reply (entries->link, &entry->origin, message))
    return FALSE;
  entry->last_message_us = now_us;
  return TRUE;
}

/* Sends to one entry. Returns FALSE if the number is unknown or the entry unreachable. */
gboolean
jd_broker_entries_send (jd_broker_entries_t *entries, uint64_t number,
                        const jd_message_t *message, int64_t now_us)
{
  entry_t *entry = g_hash_table_lookup (entries->by_number, &number);
  return entry && send_to (entries, entry, message, now_us);
}

/* Logs the removal of an entry and removes its connection. The caller removes the entry
 * from by_number. */
static void
remove_origin (jd_broker_entries_t *entries, entry_t *entry)
{
  jd_log_event (G_LOG_LEVEL_INFO, "entry_forgotten",
                "entry=%s incarnation=%" G_GUINT64_FORMAT, entry->member,
                entry->incarnation);
  GBytes *key = identity_key (&entry->origin);
  if (g_hash_table_lookup (entries->by_identity, key) == entry)
    g_hash_table_remove (entries->by_identity, key);
  g_bytes_unref (key);
}

/* Sends to all entries and removes those that have been unreachable for too long. */
void
jd_broker_entries_broadcast (jd_broker_entries_t *entries, const jd_message_t *message,
                             int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, entries->by_number);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      entry_t *entry = value;
      if (send_to (entries, entry, message, now_us) ||
          now_us - entry->last_message_us < UNREACHABLE_TTL_US)
        continue;
      remove_origin (entries, entry);
      g_hash_table_iter_remove (&iter);
    }
}

/* Returns the number of incarnations in the table. */
uint32_t
jd_broker_entries_count (const jd_broker_entries_t *entries)
{
  return g_hash_table_size (entries->by_number);
}
