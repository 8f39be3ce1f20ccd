#include "membership/gossip_digest.h"

#include <string.h>

#include "base/hash.h"

/* Names of entries that describe no record. They are not valid record names, so they
 * cannot be confused with one. */
#define SUMMARY_NAME "*"
#define NOTICE_NAME "+"
#define NONCE_NAME "?"

/* Builds the digest of a store, which must outlive the digest. */
void
jd_gossip_digest_init (jd_gossip_digest_t *digest, jd_config_store_t *store)
{
  *digest = (jd_gossip_digest_t){ .store = store, .generation = UINT64_MAX };
  digest->entries = g_array_new (FALSE, TRUE, sizeof (jd_digest_entry_t));
  digest->index = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  jd_gossip_digest_refresh (digest);
}

/* Frees the entries and the index, but not the digest itself. */
void
jd_gossip_digest_clear (jd_gossip_digest_t *digest)
{
  g_array_unref (digest->entries);
  g_hash_table_unref (digest->index);
}

/* Adds the entry of one record. The summary hash is a sum, so that it does not depend on
 * the order of the records. */
static void
add_record (void *context, const char *name, uint64_t version, uint64_t content_hash)
{
  jd_gossip_digest_t *digest = context;
  jd_digest_entry_t entry = { .version = version, .content_hash = content_hash };
  g_strlcpy (entry.record, name, sizeof (entry.record));
  g_array_append_val (digest->entries, entry);
  g_hash_table_replace (digest->index, g_strdup (name),
                        GUINT_TO_POINTER (digest->entries->len));
  digest->summary_hash += jd_hash_text (name, version ^ (content_hash << 1 | 1));
}

/* Rebuilds the entries if the store has changed since the last call. */
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
  jd_config_store_each (digest->store, add_record, digest);
}

/* Returns the entry of a record, valid until the next refresh; NULL if there is none. */
const jd_digest_entry_t *
jd_gossip_digest_find (const jd_gossip_digest_t *digest, const char *record)
{
  guint position = GPOINTER_TO_UINT (g_hash_table_lookup (digest->index, record));
  return position > 0 ? &g_array_index (digest->entries, jd_digest_entry_t, position - 1)
                      : NULL;
}

/* Returns the kind of a received digest; an empty digest is a full one. */
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

/* Returns the summary entry: the number of records as version, and a hash over all
 * records as content hash. */
jd_digest_entry_t
jd_gossip_digest_summary (const jd_gossip_digest_t *digest)
{
  return (jd_digest_entry_t){ .record = SUMMARY_NAME,
                              .version = digest->entries->len,
                              .content_hash = digest->summary_hash };
}

/* Returns the marker entry with which a notice begins. */
jd_digest_entry_t
jd_gossip_digest_notice_marker (void)
{
  return (jd_digest_entry_t){ .record = NOTICE_NAME };
}

/* Returns the entry with the nonce, which ends a digest request and its answer. */
jd_digest_entry_t
jd_gossip_digest_nonce_entry (uint64_t nonce)
{
  return (jd_digest_entry_t){ .record = NONCE_NAME, .version = nonce };
}

/* Removes the nonce entry at the end of a digest and returns the nonce, or 0 if there is
 * no such entry. */
uint64_t
jd_gossip_digest_remove_nonce (jd_digest_t *digest)
{
  if (digest->entry_count == 0 ||
      strcmp (digest->entries[digest->entry_count - 1].record, NONCE_NAME) != 0)
    return 0;
  digest->entry_count--;
  return digest->entries[digest->entry_count].version;
}
