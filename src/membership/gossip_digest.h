#pragma once

#include <glib.h>

#include "config/config_store.h"
#include "membership/gossip_defs.h"

/* The first entry of a digest determines its kind. The last entry of a request and of its
 * answer holds the nonce of the request. */
typedef enum jd_digest_kind
{
  JD_DIGEST_FULL,    /* The versions of all records of the sender. */
  JD_DIGEST_SUMMARY, /* One entry with a hash over all records. */
  JD_DIGEST_NOTICE,  /* A marker entry, then the records that the sender offers. */
} jd_digest_kind_t;

/* Cache of the current versions as digest entries; valid until the store changes. */
typedef struct jd_gossip_digest
{
  jd_config_store_t *store;
  uint64_t generation; /* Generation of the store that the entries were built from. */
  uint64_t summary_hash;
  GArray *entries;   /* of jd_digest_entry_t */
  GHashTable *index; /* record name -> position in entries + 1 */
} jd_gossip_digest_t;

void jd_gossip_digest_init (jd_gossip_digest_t *digest, jd_config_store_t *store);
void jd_gossip_digest_clear (jd_gossip_digest_t *digest);
void jd_gossip_digest_refresh (jd_gossip_digest_t *digest);
const jd_digest_entry_t *jd_gossip_digest_find (const jd_gossip_digest_t *digest,
                                                const char *record);
jd_digest_kind_t jd_gossip_digest_kind (const jd_digest_t *digest);
jd_digest_entry_t jd_gossip_digest_summary (const jd_gossip_digest_t *digest);
jd_digest_entry_t jd_gossip_digest_notice_marker (void);
jd_digest_entry_t jd_gossip_digest_nonce_entry (uint64_t nonce);
uint64_t jd_gossip_digest_remove_nonce (jd_digest_t *digest);
