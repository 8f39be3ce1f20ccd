#include "membership/config_gossip.h"

#include <string.h>

#include "base/clock.h"
#include "base/log_event.h"
#include "membership/gossip_digest.h"
#include "membership/gossip_peers.h"

#define MAX_FANOUT 16
/* The last digest requests, whose answers update the platform age: about 15 s of
 * requests. */
#define MAX_DIGEST_REQUESTS 32
/* The platform age is the time since the platform confirmed this record. */
#define KEYS_RECORD "keys"

/* A record that was requested from a peer and has not arrived yet. */
typedef struct pending_request
{
  uint64_t version;
  int64_t requested_us;
} pending_request_t;

/* A digest request that was sent. The platform age in an answer counts from the time of
 * the request with the same nonce, because the network may delay or duplicate answers. */
typedef struct digest_request
{
  uint64_t nonce;
  int64_t sent_us;
} digest_request_t;

struct jd_config_gossip
{
  jd_config_store_t *store;
  char *own_address;
  jd_gossip_settings_t settings;
  jd_gossip_hooks_t hooks;
  jd_gossip_peers_t peers;
  jd_gossip_digest_t digest;
  digest_request_t digest_requests[MAX_DIGEST_REQUESTS];
  uint32_t next_digest_request;
  GHashTable *pending_requests; /* record name -> pending_request_t */
  GHashTable *logged_conflicts; /* record name -> version whose conflict was logged */
  GHashTable *platform_reads;   /* record name -> listed version that is being read */
  GHashTable *refused_versions; /* record name -> listed version that was refused */
  int64_t started_us;
  int64_t next_exchange_us;
  int64_t next_poll_us;
  int64_t keys_confirmed_us; /* Last confirmation by the platform; INT64_MIN: never. */
  gboolean platform_listed;
  gboolean platform_read_failed;
  gboolean joined;
};

/* Returns the settings that docs/design.md states. */
jd_gossip_settings_t
jd_gossip_settings_default (void)
{
  return (jd_gossip_settings_t){
    .exchange_interval_us = 500 * JD_US_PER_MS,
    .join_interval_us = 100 * JD_US_PER_MS,
    .join_timeout_us = 2 * JD_US_PER_S,
    .record_request_timeout_us = 300 * JD_US_PER_MS,
    .poll_age_us = 5 * JD_US_PER_S,
    .push_fanout = 4,
    .join_answer_count = 3,
    .push_max_bytes = 4096,
  };
}

/* Creates the gossip state of a process that has no peers and has not joined. The store
 * must outlive it. Free with jd_config_gossip_free. */
jd_config_gossip_t *
jd_config_gossip_new (const jd_gossip_options_t *options, int64_t now_us)
{
  jd_config_gossip_t *gossip = g_new0 (jd_config_gossip_t, 1);
  gossip->store = options->store;
  gossip->own_address = g_strdup (options->own_address);
  gossip->settings = options->settings;
  gossip->settings.push_fanout = MIN (options->settings.push_fanout, MAX_FANOUT);
  gossip->hooks = options->hooks;
  gossip->pending_requests =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  gossip->logged_conflicts =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  gossip->platform_reads =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  gossip->refused_versions =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  gossip->started_us = now_us;
  gossip->next_exchange_us = now_us;
  gossip->next_poll_us = now_us + options->settings.poll_age_us;
  gossip->keys_confirmed_us = INT64_MIN;
  jd_gossip_peers_init (&gossip->peers, &options->rng);
  jd_gossip_digest_init (&gossip->digest, options->store);
  return gossip;
}

/* Frees the gossip state of a process; NULL is allowed. */
void
jd_config_gossip_free (jd_config_gossip_t *gossip)
{
  if (!gossip)
    return;
  jd_gossip_peers_clear (&gossip->peers);
  jd_gossip_digest_clear (&gossip->digest);
  g_hash_table_unref (gossip->pending_requests);
  g_hash_table_unref (gossip->logged_conflicts);
  g_hash_table_unref (gossip->platform_reads);
  g_hash_table_unref (gossip->refused_versions);
  g_free (gossip->own_address);
  g_free (gossip);
}

/* Replaces the peers. Callers pass the bootstrap peers of the settings at first, and the
 * members of the fleet later. */
void
jd_config_gossip_set_peers (jd_config_gossip_t *gossip, const char *const *addresses,
                            uint32_t count)
{
  jd_gossip_peers_set (&gossip->peers, gossip->own_address, addresses, count);
}

/* Returns an upper bound of the time since the platform last confirmed the current keys,
 * JD_PLATFORM_AGE_NEVER if it never did. */
int64_t
jd_config_gossip_platform_age_us (const jd_config_gossip_t *gossip, int64_t now_us)
{
  if (gossip->keys_confirmed_us == INT64_MIN)
    return JD_PLATFORM_AGE_NEVER;
  return MAX (now_us - gossip->keys_confirmed_us, 0);
}

/* Sends a digest with the given entries and the current platform age. */
static void
send_digest_entries (jd_config_gossip_t *gossip, const jd_gossip_route_t *to,
                     jd_digest_entry_t *entries, uint32_t count, int64_t now_us)
{
  int64_t age_us = jd_config_gossip_platform_age_us (gossip, now_us);
  jd_digest_t digest = { .platform_age_us = age_us == JD_PLATFORM_AGE_NEVER ? -1 : age_us,
                         .entry_count = count,
                         .entries = entries };
  gossip->hooks.send_digest (gossip->hooks.context, to, &digest);
}

/* Sends a digest that is a summary: the number of records and a hash over all of them. */
static void
send_summary (jd_config_gossip_t *gossip, const jd_gossip_route_t *to, uint64_t nonce,
              int64_t now_us)
{
  jd_digest_entry_t entries[] = { jd_gossip_digest_summary (&gossip->digest),
                                  jd_gossip_digest_nonce_entry (nonce) };
  send_digest_entries (gossip, to, entries, 2, now_us);
}

/* Sends a digest with the versions of all records. */
static void
send_full (jd_config_gossip_t *gossip, const jd_gossip_route_t *to, uint64_t nonce,
           int64_t now_us)
{
  GArray *entries = g_array_copy (gossip->digest.entries);
  jd_digest_entry_t nonce_entry = jd_gossip_digest_nonce_entry (nonce);
  g_array_append_val (entries, nonce_entry);
  send_digest_entries (gossip, to, (jd_digest_entry_t *)(void *)entries->data,
                       entries->len, now_us);
  g_array_unref (entries);
}

/* Sends the text of a record to a peer. */
static void
send_text (jd_config_gossip_t *gossip, const jd_gossip_route_t *to, const char *record,
           char *text)
{
  jd_record_push_t push = { .text = text, .length_bytes = (uint32_t)strlen (text) };
  g_strlcpy (push.record, record, sizeof (push.record));
  gossip->hooks.send_push (gossip->hooks.context, to, &push);
}

/* Sends a short record to a peer, or a notice of a long one, so that a peer that gets
 * notices from several processes transfers the record only once. */
static void
offer_record (jd_config_gossip_t *gossip, const jd_gossip_route_t *to, const char *record,
              int64_t now_us)
{
  char *text = jd_config_store_text (gossip->store, record);
  const jd_digest_entry_t *entry = jd_gossip_digest_find (&gossip->digest, record);
  if (text && strlen (text) <= gossip->settings.push_max_bytes)
    send_text (gossip, to, record, text);
  else if (entry)
    {
      jd_digest_entry_t notice[] = { jd_gossip_digest_notice_marker (), *entry };
      send_digest_entries (gossip, to, notice, 2, now_us);
    }
  g_free (text);
}

/* Sends a newly adopted version of a record, or a notice of it, to random peers. */
static void
push_to_random_peers (jd_config_gossip_t *gossip, const char *record, int64_t now_us)
{
  jd_gossip_peer_t *picked[MAX_FANOUT];
  uint32_t count =
      jd_gossip_peers_pick (&gossip->peers, picked, gossip->settings.push_fanout);
  for (uint32_t i = 0; i < count; i++)
    {
      jd_gossip_route_t to = { .address = picked[i]->address };
      offer_record (gossip, &to, record, now_us);
    }
}

/* Offers the text of a record to the store, and sends the record to random peers if the
 * store adopts it and the process has joined. */
static jd_adoption_t
offer_to_store (jd_config_gossip_t *gossip, const char *record, const char *text,
                size_t length, int64_t now_us, GError **error)
{
  jd_adoption_t result =
      jd_config_store_offer (gossip->store, record, text, length, error);
  jd_gossip_digest_refresh (&gossip->digest);
  g_hash_table_remove (gossip->pending_requests, record);
  if (result == JD_ADOPTION_ADOPTED && gossip->joined)
    push_to_random_peers (gossip, record, now_us);
  return result;
}

/* Drops record requests that were not answered in time. */
static void
expire_record_requests (jd_config_gossip_t *gossip, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, gossip->pending_requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const pending_request_t *request = value;
      if (now_us - request->requested_us >= gossip->settings.record_request_timeout_us)
        g_hash_table_iter_remove (&iter);
    }
}

/* Returns TRUE if the platform has listed its records and all newer ones were read. */
static gboolean
has_platform_answered (const jd_config_gossip_t *gossip)
{
  return gossip->platform_listed && g_hash_table_size (gossip->platform_reads) == 0;
}

/* Returns TRUE if the process has received enough answers to serve. Answers of peers are
 * required beside the platform's, unless the peers do not answer, because a stale replica
 * of the platform must not roll a restarted process back to older records. */
static gboolean
has_enough_answers (const jd_config_gossip_t *gossip, int64_t now_us)
{
  uint32_t answered_count = jd_gossip_peers_answered_count (&gossip->peers);
  uint32_t required_answers =
      MIN (gossip->settings.join_answer_count, gossip->peers.list->len);
  gboolean platform_answered = has_platform_answered (gossip);
  if (!platform_answered && answered_count == 0)
    return FALSE;
  if (g_hash_table_size (gossip->pending_requests) > 0)
    return FALSE;
  if (now_us - gossip->started_us >= gossip->settings.join_timeout_us)
    return TRUE;
  return answered_count >= required_answers &&
         (platform_answered || gossip->platform_read_failed);
}

/* Sets the joined state once enough answers have arrived. */
static void
try_join (jd_config_gossip_t *gossip, int64_t now_us)
{
  if (gossip->joined || !has_enough_answers (gossip, now_us))
    return;
  gossip->joined = TRUE;
  jd_log_event (G_LOG_LEVEL_INFO, "config_joined",
                "peers_answered=%u platform=%d records=%u",
                jd_gossip_peers_answered_count (&gossip->peers),
                has_platform_answered (gossip), gossip->digest.entries->len);
}

/* Sends a digest request to one random peer. */
static void
start_digest_exchange (jd_config_gossip_t *gossip, int64_t now_us)
{
  jd_gossip_peer_t *peer;
  gossip->next_exchange_us =
      now_us + (gossip->joined ? gossip->settings.exchange_interval_us
                               : gossip->settings.join_interval_us);
  if (jd_gossip_peers_pick (&gossip->peers, &peer, 1) == 0)
    return;
  digest_request_t *request =
      &gossip->digest_requests[gossip->next_digest_request++ % MAX_DIGEST_REQUESTS];
  *request = (digest_request_t){ .nonce = jd_rng_next (&gossip->peers.rng) | 1,
                                 .sent_us = now_us };
  jd_gossip_route_t to = { .address = peer->address };
  send_summary (gossip, &to, request->nonce, now_us);
}

/* Drops expired record requests, joins if possible, and starts a digest exchange if one
 * is due. Call at jd_config_gossip_next_tick_us or more often. */
void
jd_config_gossip_tick (jd_config_gossip_t *gossip, int64_t now_us)
{
  jd_gossip_digest_refresh (&gossip->digest);
  expire_record_requests (gossip, now_us);
  try_join (gossip, now_us);
  if (now_us >= gossip->next_exchange_us)
    start_digest_exchange (gossip, now_us);
}

/* Returns the time at which the next tick is due. */
int64_t
jd_config_gossip_next_tick_us (const jd_config_gossip_t *gossip)
{
  return gossip->next_exchange_us;
}

/* Requests a record from a peer unless a request for this version or a newer one is
 * pending. */
static void
request_record (jd_config_gossip_t *gossip, const jd_gossip_route_t *to,
                const jd_digest_entry_t *entry, int64_t now_us)
{
  const pending_request_t *pending =
      g_hash_table_lookup (gossip->pending_requests, entry->record);
  if (pending && pending->version >= entry->version &&
      now_us - pending->requested_us < gossip->settings.record_request_timeout_us)
    return;
  pending_request_t *request = g_new0 (pending_request_t, 1);
  *request = (pending_request_t){ .version = entry->version, .requested_us = now_us };
  g_hash_table_replace (gossip->pending_requests, g_strdup (entry->record), request);
  jd_record_request_t message;
  g_strlcpy (message.record, entry->record, sizeof (message.record));
  gossip->hooks.send_record_request (gossip->hooks.context, to, &message);
}

/* Stores the version of a record in one of the tables from record name to version. */
static void
store_version (GHashTable *versions, const char *record, uint64_t version)
{
  g_hash_table_replace (versions, g_strdup (record),
                        g_memdup2 (&version, sizeof (version)));
}

/* Returns TRUE if a table from record name to version has this version of a record. */
static gboolean
has_version (GHashTable *versions, const char *record, uint64_t version)
{
  const uint64_t *stored_version = g_hash_table_lookup (versions, record);
  return stored_version && *stored_version == version;
}

/* Logs, once per version, that a peer has the same version of a record with different
 * content. */
static void
log_conflict (jd_config_gossip_t *gossip, const jd_digest_entry_t *entry)
{
  if (has_version (gossip->logged_conflicts, entry->record, entry->version))
    return;
  store_version (gossip->logged_conflicts, entry->record, entry->version);
  jd_log_event (G_LOG_LEVEL_CRITICAL, "record_conflict",
                "record=%s version=%" G_GUINT64_FORMAT, entry->record, entry->version);
}

/* Requests the records of which a peer has newer versions. */
static void
request_newer_records (jd_config_gossip_t *gossip, const jd_gossip_route_t *from,
                       const jd_digest_entry_t *entries, uint32_t count, int64_t now_us)
{
  for (uint32_t i = 0; i < count; i++)
    {
      const jd_digest_entry_t *own_entry =
          jd_gossip_digest_find (&gossip->digest, entries[i].record);
      if (!own_entry || own_entry->version < entries[i].version)
        request_record (gossip, from, &entries[i], now_us);
      else if (own_entry->version == entries[i].version &&
               own_entry->content_hash != entries[i].content_hash)
        log_conflict (gossip, &entries[i]);
    }
}

/* Offers the records that a peer lacks or has older according to its digest. */
static void
offer_newer_records (jd_config_gossip_t *gossip, const jd_gossip_route_t *to,
                     const jd_digest_t *digest, int64_t now_us)
{
  GHashTable *peer_entries = g_hash_table_new (g_str_hash, g_str_equal);
  for (uint32_t i = 0; i < digest->entry_count; i++)
    g_hash_table_insert (peer_entries, digest->entries[i].record, &digest->entries[i]);
  for (guint i = 0; i < gossip->digest.entries->len; i++)
    {
      const jd_digest_entry_t *own_entry =
          &g_array_index (gossip->digest.entries, jd_digest_entry_t, i);
      const jd_digest_entry_t *peer_entry =
          g_hash_table_lookup (peer_entries, own_entry->record);
      if (!peer_entry || peer_entry->version < own_entry->version)
        offer_record (gossip, to, own_entry->record, now_us);
    }
  g_hash_table_unref (peer_entries);
}

/* Returns TRUE if the current keys here are the ones that a peer's platform age refers
 * to, or newer, so that the age applies to this process, too. */
static gboolean
has_confirmed_keys (const jd_config_gossip_t *gossip, const jd_digest_t *digest)
{
  const jd_digest_entry_t *own_entry =
      jd_gossip_digest_find (&gossip->digest, KEYS_RECORD);
  for (uint32_t i = 0; i < digest->entry_count; i++)
    {
      const jd_digest_entry_t *peer_entry = &digest->entries[i];
      if (strcmp (peer_entry->record, KEYS_RECORD) == 0)
        return own_entry && (own_entry->version > peer_entry->version ||
                             (own_entry->version == peer_entry->version &&
                              own_entry->content_hash == peer_entry->content_hash));
    }
  return TRUE;
}

/* Applies the platform age of an answer. It counts from the time of the request, because
 * the transfer time of the answer is unknown and the age must never be too low. */
static void
apply_platform_age (jd_config_gossip_t *gossip, uint64_t nonce, const jd_digest_t *digest)
{
  for (uint32_t i = 0; i < MAX_DIGEST_REQUESTS; i++)
    {
      const digest_request_t *request = &gossip->digest_requests[i];
      if (nonce != 0 && request->nonce == nonce && digest->platform_age_us >= 0)
        gossip->keys_confirmed_us =
            MAX (gossip->keys_confirmed_us, request->sent_us - digest->platform_age_us);
    }
}

/* Returns TRUE if a received summary matches the current records. */
static gboolean
is_same_summary (const jd_config_gossip_t *gossip, const jd_digest_t *digest)
{
  jd_digest_entry_t own_entry = jd_gossip_digest_summary (&gossip->digest);
  return digest->entries[0].version == own_entry.version &&
         digest->entries[0].content_hash == own_entry.content_hash;
}

/* Handles a peer's answer to a digest request of this process. */
static void
handle_answer (jd_config_gossip_t *gossip, const jd_gossip_route_t *from,
               const jd_digest_t *digest, uint64_t nonce, int64_t now_us)
{
  jd_gossip_peer_t *peer = jd_gossip_peers_find (&gossip->peers, from->address);
  if (peer)
    peer->answered = TRUE;
  if (jd_gossip_digest_kind (digest) == JD_DIGEST_SUMMARY)
    {
      if (is_same_summary (gossip, digest))
        apply_platform_age (gossip, nonce, digest);
    }
  else
    {
      if (has_confirmed_keys (gossip, digest))
        apply_platform_age (gossip, nonce, digest);
      request_newer_records (gossip, from, digest->entries, digest->entry_count, now_us);
      offer_newer_records (gossip, from, digest, now_us);
    }
  try_join (gossip, now_us);
}

/* Answers a peer's digest request with a summary if all versions are equal, otherwise
 * with all versions. A process that has not joined does not answer, because it may not
 * have the newest versions. */
static void
answer_request (jd_config_gossip_t *gossip, const jd_gossip_route_t *from,
                const jd_digest_t *digest, uint64_t nonce, int64_t now_us)
{
  if (!gossip->joined)
    return;
  if (jd_gossip_digest_kind (digest) == JD_DIGEST_SUMMARY &&
      is_same_summary (gossip, digest))
    send_summary (gossip, from, nonce, now_us);
  else
    send_full (gossip, from, nonce, now_us);
}

/* Handles a digest from a peer: a notice, an answer to a request of this process, or a
 * request. */
void
jd_config_gossip_on_digest (jd_config_gossip_t *gossip, const jd_gossip_route_t *from,
                            const jd_digest_t *digest, int64_t now_us)
{
  jd_digest_t stripped = *digest;
  uint64_t nonce = jd_gossip_digest_remove_nonce (&stripped);
  jd_gossip_digest_refresh (&gossip->digest);
  if (jd_gossip_digest_kind (&stripped) == JD_DIGEST_NOTICE)
    request_newer_records (gossip, from, stripped.entries + 1, stripped.entry_count - 1,
                           now_us);
  else if (from->address)
    handle_answer (gossip, from, &stripped, nonce, now_us);
  else
    answer_request (gossip, from, &stripped, nonce, now_us);
}

/* Handles the text of a record from a peer. */
void
jd_config_gossip_on_push (jd_config_gossip_t *gossip, const jd_record_push_t *push,
                          int64_t now_us)
{
  offer_to_store (gossip, push->record, push->text, push->length_bytes, now_us, NULL);
  try_join (gossip, now_us);
}

/* Sends a record to the peer that requested it, if this process has it. */
void
jd_config_gossip_on_record_request (jd_config_gossip_t *gossip,
                                    const jd_gossip_route_t *from,
                                    const jd_record_request_t *request)
{
  char *text = jd_config_store_text (gossip->store, request->record);
  if (text)
    send_text (gossip, from, request->record, text);
  g_free (text);
}

/* Starts to read a listed record from the platform if it is newer than the current one,
 * is not being read already, and this version was not refused before. */
static void
read_from_platform_if_newer (jd_config_gossip_t *gossip, const jd_digest_entry_t *entry)
{
  if (entry->version <= jd_config_store_version (gossip->store, entry->record) ||
      has_version (gossip->platform_reads, entry->record, entry->version) ||
      has_version (gossip->refused_versions, entry->record, entry->version))
    return;
  store_version (gossip->platform_reads, entry->record, entry->version);
  gossip->hooks.fetch (gossip->hooks.context, entry->record);
}

/* Handles the names and versions that the platform lists, and reads newer records. The
 * listing confirms the keys if it has the version that is current here; a lower one
 * comes from a stale replica and confirms nothing. requested_us is the time of the list
 * request. */
void
jd_config_gossip_on_listing (jd_config_gossip_t *gossip, const jd_digest_entry_t *entries,
                             uint32_t count, int64_t requested_us, int64_t now_us)
{
  uint64_t listed_keys_version = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      if (strcmp (entries[i].record, KEYS_RECORD) == 0)
        listed_keys_version = entries[i].version;
      read_from_platform_if_newer (gossip, &entries[i]);
    }
  if (listed_keys_version == jd_config_store_version (gossip->store, KEYS_RECORD))
    gossip->keys_confirmed_us = MAX (gossip->keys_confirmed_us, requested_us);
  gossip->platform_listed = TRUE;
  try_join (gossip, now_us);
}

/* Handles the text of a record from the platform. Returns the result of the store and
 * sets error as jd_config_store_offer does. A refused version is not read again. */
jd_adoption_t
jd_config_gossip_on_record (jd_config_gossip_t *gossip, const char *record,
                            const char *text, size_t length, int64_t now_us,
                            GError **error)
{
  jd_adoption_t result = offer_to_store (gossip, record, text, length, now_us, error);
  const uint64_t *listed_version = g_hash_table_lookup (gossip->platform_reads, record);
  if (listed_version && (result == JD_ADOPTION_INVALID || result == JD_ADOPTION_CONFLICT))
    store_version (gossip->refused_versions, record, *listed_version);
  g_hash_table_remove (gossip->platform_reads, record);
  try_join (gossip, now_us);
  return result;
}

/* Handles a failed read of the platform or of one of its records: joining no longer waits
 * for the platform. */
void
jd_config_gossip_on_platform_failure (jd_config_gossip_t *gossip, int64_t now_us)
{
  gossip->platform_read_failed = TRUE;
  g_hash_table_remove_all (gossip->platform_reads);
  try_join (gossip, now_us);
}

/* Returns TRUE if the process may serve: it has the newest versions that its peers and
 * the platform reported. */
gboolean
jd_config_gossip_is_joined (const jd_config_gossip_t *gossip)
{
  return gossip->joined;
}

/* Returns TRUE if this process should poll the platform itself, because neither watchers
 * nor peers have confirmed the keys for poll_age_us. The polls of one process are one to
 * two times poll_age_us apart, at random, to spread the reads of a partitioned zone. */
gboolean
jd_config_gossip_should_poll (jd_config_gossip_t *gossip, int64_t now_us)
{
  if (now_us < gossip->next_poll_us ||
      jd_config_gossip_platform_age_us (gossip, now_us) < gossip->settings.poll_age_us)
    return FALSE;
  gossip->next_poll_us =
      now_us + gossip->settings.poll_age_us +
      (int64_t)jd_rng_below (&gossip->peers.rng,
                             (uint64_t)gossip->settings.poll_age_us + 1);
  return TRUE;
}
