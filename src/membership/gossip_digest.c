#include "membership/gossip_digest.h"

#include <string.h>

#include "base/hash.h"

/* Names that no record can have. */
#define SUMMARY_NAME "*"
#define NOTICE_NAME "+"
#define ECHO_NAME "?"

/* Starts an empty digest of a store, which must outlive it. */
void
jd_gossip_digest_init (jd_gossip_digest_t *digest, jd_config_store_t *store)
{
  *digest = (jd_gossip_digest_t){ .store = store, .generation = UINT64_MAX };
  digest->entries = g_array_new (FALSE, TRUE, sizeof (jd_digest_entry_t));
  digest->index = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  jd_gossip_digest_refresh (digest);
}

/* Frees the entries. */
void
jd_gossip_digest_clear (jd_gossip_digest_t *digest)
{
  g_array_unref (digest->entries);
  g_hash_table_unref (digest->index);
}

/* Adds one record; the summary does not depend on the order. */
static void
add_entry (void *context, const char *name, uint64_t version, uint64_t content_hash)
{
  jd_gossip_digest_t *digest = context;
  jd_digest_entry_t entry = { .version = version, .content_hash = content_hash };
  g_strlcpy (entry.record, name, sizeof (entry.record));
  g_array_append_val (digest->entries, entry);
  g_hash_table_replace (digest->index, g_strdup (name),
                        GUINT_TO_POINTER (digest->entries->len));
  digest->summary_hash += jd_hash_text (name, version ^ (content_hash << 1 | 1));
}

/* Brings the entries up to date with the store. */
void
jd_gossip_digest_refresh (jd_gossip_digest_t *digest)
{
  uint64_t generation = jd_config_store_generation (digest->store);
  if (generation == digest->generation)
    return;
  digest->generation = generation;
  digest->summary_hash = 0;
  g_array_set_size (digest->entries, 0);
  g_hash_table_remove_all (digest->index);
  jd_config_store_each (digest->store, add_entry, digest);
}

/* Returns the entry of a record, or NULL. */
const jd_digest_entry_t *
jd_gossip_digest_find (const jd_gossip_digest_t *digest, const char *record)
{
  guint position = GPOINTER_TO_UINT (g_hash_table_lookup (digest->index, record));
  return position > 0 ? &g_array_index (digest->entries, jd_digest_entry_t, position - 1)
                      : NULL;
}

/* Returns the kind of a received digest. */
jd_digest_kind_t
jd_gossip_digest_kind (const jd_digest_t *digest)
{
  if (digest->entry_count == 0)
    return JD_DIGEST_FULL;
  if (strcmp (digest->entries[0].record, SUMMARY_NAME) == 0)
    return JD_DIGEST_SUMMARY;
  if (strcmp (digest->entries[0].record, NOTICE_NAME) == 0)
    return JD_DIGEST_NOTICE;
  return JD_DIGEST_FULL;
}

/* Returns the only entry of a summary: number of records and hash over all. */
jd_digest_entry_t
jd_gossip_digest_summary (const jd_gossip_digest_t *digest)
{
  return (jd_digest_entry_t){ .record = SUMMARY_NAME,
                              .version = digest->entries->len,
                              .content_hash = digest->summary_hash };
}

/* Returns the first entry of a notice. */
jd_digest_entry_t
jd_gossip_digest_notice_marker (void)
{
  return (jd_digest_entry_t){ .record = NOTICE_NAME };
}

/* Returns the last entry of a request or of its answer. */
jd_digest_entry_t
jd_gossip_digest_echo (uint64_t nonce)
{
  return (jd_digest_entry_t){ .record = ECHO_NAME, .version = nonce };
}

/* Removes the last entry of a request or an answer and returns its nonce, 0 when there is
 * none. */
uint64_t
jd_gossip_digest_take_echo (jd_digest_t *digest)
{
  if (digest->entry_count == 0 ||
      strcmp (digest->entries[digest->entry_count - 1].record, ECHO_NAME) != 0)
    return 0;
  digest->entry_count--;
  return digest->entries[digest->entry_count].version;
}
