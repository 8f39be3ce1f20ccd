#include "membership/config_gossip.h"

#include <string.h>

#include "base/clock.h"
#include "base/log_event.h"
#include "membership/gossip_digest.h"
#include "membership/gossip_peers.h"

#define MAX_FANOUT 16
/* Requests that are remembered: those of about 15 s. */
#define MAX_REQUESTS 32
/* The record whose confirmation the platform age is about. */
#define KEYS_RECORD "keys"

/* A record that was asked for and has not come yet. */
typedef struct pending_ask
{
  uint64_t version;
  int64_t asked_us;
} pending_ask_t;

/* A request that was sent. An answer counts from the time of its own request, whatever
 * the network delayed or repeated. */
typedef struct request
{
  uint64_t nonce;
  int64_t sent_us;
} request_t;

struct jd_config_gossip
{
  jd_config_store_t *store;
  char *own_address;
  jd_gossip_settings_t settings;
  jd_gossip_hooks_t hooks;
  jd_gossip_peers_t peers;
  jd_gossip_digest_t digest;
  request_t requests[MAX_REQUESTS];
  uint32_t next_request;
  GHashTable *pending;   /* record name -> pending_ask_t */
  GHashTable *conflicts; /* record name -> version whose conflict was logged */
  GHashTable *fetches;   /* record name -> listed version, being read from the platform */
  GHashTable *refusals;  /* record name -> listed version that was refused */
  int64_t started_us;
  int64_t next_exchange_us;
  int64_t next_poll_us;
  int64_t confirmed_us; /* Last confirmation by the platform; INT64_MIN: never. */
  gboolean platform_listed;
  gboolean platform_failed;
  gboolean joined;
};

/* Returns the settings of the design page. */
jd_gossip_settings_t
jd_gossip_settings_default (void)
{
  return (jd_gossip_settings_t){
    .exchange_interval_us = 500 * JD_US_PER_MS,
    .join_interval_us = 100 * JD_US_PER_MS,
    .join_timeout_us = 2 * JD_US_PER_S,
    .ask_timeout_us = 300 * JD_US_PER_MS,
    .poll_age_us = 5 * JD_US_PER_S,
    .push_fanout = 4,
    .join_peers = 3,
    .push_max_bytes = 4096,
  };
}

/* Returns a process that has no peers and has not joined. */
jd_config_gossip_t *
jd_config_gossip_new (const jd_gossip_options_t *options, int64_t now_us)
{
  jd_config_gossip_t *gossip = g_new0 (jd_config_gossip_t, 1);
  gossip->store = options->store;
  gossip->own_address = g_strdup (options->own_address);
  gossip->settings = options->settings;
  gossip->settings.push_fanout = MIN (options->settings.push_fanout, MAX_FANOUT);
  gossip->hooks = options->hooks;
  gossip->pending = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  gossip->conflicts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  gossip->fetches = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  gossip->refusals = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  gossip->started_us = now_us;
  gossip->next_exchange_us = now_us;
  gossip->next_poll_us = now_us + options->settings.poll_age_us;
  gossip->confirmed_us = INT64_MIN;
  jd_gossip_peers_init (&gossip->peers, &options->rng);
  jd_gossip_digest_init (&gossip->digest, options->store);
  return gossip;
}

/* Frees a process's gossip state; NULL is allowed. */
void
jd_config_gossip_free (jd_config_gossip_t *gossip)
{
  if (!gossip)
    return;
  jd_gossip_peers_clear (&gossip->peers);
  jd_gossip_digest_clear (&gossip->digest);
  g_hash_table_unref (gossip->pending);
  g_hash_table_unref (gossip->conflicts);
  g_hash_table_unref (gossip->fetches);
  g_hash_table_unref (gossip->refusals);
  g_free (gossip->own_address);
  g_free (gossip);
}

/* Replaces the peers: first those of the settings, then all seats of the fleet. */
void
jd_config_gossip_set_peers (jd_config_gossip_t *gossip, const char *const *addresses,
                            uint32_t count)
{
  jd_gossip_peers_set (&gossip->peers, gossip->own_address, addresses, count);
}

/* Returns the time since the platform last confirmed the keys in force, as far as this
 * process knows; never too low. */
int64_t
jd_config_gossip_platform_age_us (const jd_config_gossip_t *gossip, int64_t now_us)
{
  if (gossip->confirmed_us == INT64_MIN)
    return JD_PLATFORM_AGE_NEVER;
  return MAX (now_us - gossip->confirmed_us, 0);
}

/* Sends a digest with the given entries. */
static void
send_entries (jd_config_gossip_t *gossip, const jd_gossip_route_t *to,
              jd_digest_entry_t *entries, uint32_t count, int64_t now_us)
{
  int64_t age_us = jd_config_gossip_platform_age_us (gossip, now_us);
  jd_digest_t digest = { .platform_age_us = age_us == JD_PLATFORM_AGE_NEVER ? -1 : age_us,
                         .entry_count = count,
                         .entries = entries };
  gossip->hooks.send_digest (gossip->hooks.context, to, &digest);
}

/* Sends the hash over all records. */
static void
send_summary (jd_config_gossip_t *gossip, const jd_gossip_route_t *to, uint64_t nonce,
              int64_t now_us)
{
  jd_digest_entry_t entries[] = { jd_gossip_digest_summary (&gossip->digest),
                                  jd_gossip_digest_echo (nonce) };
  send_entries (gossip, to, entries, 2, now_us);
}

/* Sends all versions. */
static void
send_full (jd_config_gossip_t *gossip, const jd_gossip_route_t *to, uint64_t nonce,
           int64_t now_us)
{
  GArray *entries = g_array_copy (gossip->digest.entries);
  jd_digest_entry_t echo = jd_gossip_digest_echo (nonce);
  g_array_append_val (entries, echo);
  send_entries (gossip, to, (jd_digest_entry_t *)(void *)entries->data, entries->len,
                now_us);
  g_array_unref (entries);
}

/* Sends the text of a record. */
static void
send_text (jd_config_gossip_t *gossip, const jd_gossip_route_t *to, const char *record,
           char *text)
{
  jd_record_push_t push = { .text = text, .length_bytes = (uint32_t)strlen (text) };
  g_strlcpy (push.record, record, sizeof (push.record));
  gossip->hooks.send_push (gossip->hooks.context, to, &push);
}

/* Gives a record to a peer: a short one at once, a long one as a notice, so that a peer
 * that hears of it from several sides transfers it once. */
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
      send_entries (gossip, to, notice, 2, now_us);
    }
  g_free (text);
}

/* Tells random peers about a version that has just been adopted. */
static void
spread (jd_config_gossip_t *gossip, const char *record, int64_t now_us)
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

/* Offers a text to the store and spreads it when it is adopted. */
static jd_adoption_t
offer (jd_config_gossip_t *gossip, const char *record, const char *text, size_t length,
       int64_t now_us, GError **error)
{
  jd_adoption_t result =
      jd_config_store_offer (gossip->store, record, text, length, error);
  jd_gossip_digest_refresh (&gossip->digest);
  g_hash_table_remove (gossip->pending, record);
  if (result == JD_ADOPTION_ADOPTED && gossip->joined)
    spread (gossip, record, now_us);
  return result;
}

/* Drops asks that were not answered in time. */
static void
expire_asks (jd_config_gossip_t *gossip, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, gossip->pending);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const pending_ask_t *ask = value;
      if (now_us - ask->asked_us >= gossip->settings.ask_timeout_us)
        g_hash_table_iter_remove (&iter);
    }
}

/* Returns TRUE when the platform has listed its records and all newer ones were read. */
static gboolean
has_platform_answered (const jd_config_gossip_t *gossip)
{
  return gossip->platform_listed && g_hash_table_size (gossip->fetches) == 0;
}

/* Returns TRUE when the process has heard enough to serve. A stale platform replica must
 * not take a restarted process back to older records, so peers are heard, too, unless
 * they do not answer. */
static gboolean
has_heard_enough (const jd_config_gossip_t *gossip, int64_t now_us)
{
  uint32_t answered = jd_gossip_peers_answered (&gossip->peers);
  uint32_t wanted = MIN (gossip->settings.join_peers, gossip->peers.list->len);
  gboolean has_platform = has_platform_answered (gossip);
  if (!has_platform && answered == 0)
    return FALSE;
  if (g_hash_table_size (gossip->pending) > 0)
    return FALSE;
  if (now_us - gossip->started_us >= gossip->settings.join_timeout_us)
    return TRUE;
  return answered >= wanted && (has_platform || gossip->platform_failed);
}

/* Moves to the joined state when enough was heard. */
static void
try_join (jd_config_gossip_t *gossip, int64_t now_us)
{
  if (gossip->joined || !has_heard_enough (gossip, now_us))
    return;
  gossip->joined = TRUE;
  jd_log_event (G_LOG_LEVEL_INFO, "config_joined",
                "peers_answered=%u platform=%d records=%u",
                jd_gossip_peers_answered (&gossip->peers), has_platform_answered (gossip),
                gossip->digest.entries->len);
}

/* Asks one random peer for its digest. */
static void
start_exchange (jd_config_gossip_t *gossip, int64_t now_us)
{
  jd_gossip_peer_t *peer;
  gossip->next_exchange_us =
      now_us + (gossip->joined ? gossip->settings.exchange_interval_us
                               : gossip->settings.join_interval_us);
  if (jd_gossip_peers_pick (&gossip->peers, &peer, 1) == 0)
    return;
  request_t *request = &gossip->requests[gossip->next_request++ % MAX_REQUESTS];
  *request =
      (request_t){ .nonce = jd_rng_next (&gossip->peers.rng) | 1, .sent_us = now_us };
  jd_gossip_route_t to = { .address = peer->address };
  send_summary (gossip, &to, request->nonce, now_us);
}

/* Starts an exchange when it is due. Call at jd_config_gossip_next_tick_us or more
 * often. */
void
jd_config_gossip_tick (jd_config_gossip_t *gossip, int64_t now_us)
{
  jd_gossip_digest_refresh (&gossip->digest);
  expire_asks (gossip, now_us);
  try_join (gossip, now_us);
  if (now_us >= gossip->next_exchange_us)
    start_exchange (gossip, now_us);
}

/* Returns when the next tick is due. */
int64_t
jd_config_gossip_next_tick_us (const jd_config_gossip_t *gossip)
{
  return gossip->next_exchange_us;
}

/* Asks for a record unless this version was asked for lately. */
static void
ask_for (jd_config_gossip_t *gossip, const jd_gossip_route_t *to,
         const jd_digest_entry_t *entry, int64_t now_us)
{
  const pending_ask_t *pending = g_hash_table_lookup (gossip->pending, entry->record);
  if (pending && pending->version >= entry->version &&
      now_us - pending->asked_us < gossip->settings.ask_timeout_us)
    return;
  pending_ask_t *ask = g_new0 (pending_ask_t, 1);
  *ask = (pending_ask_t){ .version = entry->version, .asked_us = now_us };
  g_hash_table_replace (gossip->pending, g_strdup (entry->record), ask);
  jd_record_ask_t message;
  g_strlcpy (message.record, entry->record, sizeof (message.record));
  gossip->hooks.send_ask (gossip->hooks.context, to, &message);
}

/* Remembers a version of a record in one of the tables. */
static void
remember_version (GHashTable *versions, const char *record, uint64_t version)
{
  g_hash_table_replace (versions, g_strdup (record),
                        g_memdup2 (&version, sizeof (version)));
}

/* Returns TRUE when a table has this version of a record. */
static gboolean
has_version (GHashTable *versions, const char *record, uint64_t version)
{
  const uint64_t *known = g_hash_table_lookup (versions, record);
  return known && *known == version;
}

/* Logs once per version that a peer has other content under the same version. */
static void
log_conflict (jd_config_gossip_t *gossip, const jd_digest_entry_t *entry)
{
  if (has_version (gossip->conflicts, entry->record, entry->version))
    return;
  remember_version (gossip->conflicts, entry->record, entry->version);
  jd_log_event (G_LOG_LEVEL_CRITICAL, "record_conflict",
                "record=%s version=%" G_GUINT64_FORMAT, entry->record, entry->version);
}

/* Asks for what a peer has newer. */
static void
take_entries (jd_config_gossip_t *gossip, const jd_gossip_route_t *from,
              const jd_digest_entry_t *entries, uint32_t count, int64_t now_us)
{
  for (uint32_t i = 0; i < count; i++)
    {
      const jd_digest_entry_t *own =
          jd_gossip_digest_find (&gossip->digest, entries[i].record);
      if (!own || own->version < entries[i].version)
        ask_for (gossip, from, &entries[i], now_us);
      else if (own->version == entries[i].version &&
               own->content_hash != entries[i].content_hash)
        log_conflict (gossip, &entries[i]);
    }
}

/* Offers what a peer with the given versions lacks or has older. */
static void
offer_missing (jd_config_gossip_t *gossip, const jd_gossip_route_t *to,
               const jd_digest_t *digest, int64_t now_us)
{
  GHashTable *theirs = g_hash_table_new (g_str_hash, g_str_equal);
  for (uint32_t i = 0; i < digest->entry_count; i++)
    g_hash_table_insert (theirs, digest->entries[i].record, &digest->entries[i]);
  for (guint i = 0; i < gossip->digest.entries->len; i++)
    {
      const jd_digest_entry_t *own =
          &g_array_index (gossip->digest.entries, jd_digest_entry_t, i);
      const jd_digest_entry_t *their = g_hash_table_lookup (theirs, own->record);
      if (!their || their->version < own->version)
        offer_record (gossip, to, own->record, now_us);
    }
  g_hash_table_unref (theirs);
}

/* Returns TRUE when the keys in force here are the ones that a peer's confirmation is
 * about, or newer. */
static gboolean
has_keys_of (const jd_config_gossip_t *gossip, const jd_digest_t *digest)
{
  const jd_digest_entry_t *own = jd_gossip_digest_find (&gossip->digest, KEYS_RECORD);
  for (uint32_t i = 0; i < digest->entry_count; i++)
    {
      const jd_digest_entry_t *their = &digest->entries[i];
      if (strcmp (their->record, KEYS_RECORD) == 0)
        return own && (own->version > their->version ||
                       (own->version == their->version &&
                        own->content_hash == their->content_hash));
    }
  return TRUE;
}

/* Takes the platform age of an answer, counted from the request, because the time that
 * the answer was on its way is unknown. */
static void
take_age (jd_config_gossip_t *gossip, uint64_t nonce, const jd_digest_t *digest)
{
  for (uint32_t i = 0; i < MAX_REQUESTS; i++)
    {
      const request_t *request = &gossip->requests[i];
      if (nonce != 0 && request->nonce == nonce && digest->platform_age_us >= 0)
        gossip->confirmed_us =
            MAX (gossip->confirmed_us, request->sent_us - digest->platform_age_us);
    }
}

/* Returns TRUE when a summary matches the records in force. */
static gboolean
is_same_summary (const jd_config_gossip_t *gossip, const jd_digest_t *digest)
{
  jd_digest_entry_t own = jd_gossip_digest_summary (&gossip->digest);
  return digest->entries[0].version == own.version &&
         digest->entries[0].content_hash == own.content_hash;
}

/* Handles the answer of a peer to our summary. */
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
        take_age (gossip, nonce, digest);
    }
  else
    {
      if (has_keys_of (gossip, digest))
        take_age (gossip, nonce, digest);
      take_entries (gossip, from, digest->entries, digest->entry_count, now_us);
      offer_missing (gossip, from, digest, now_us);
    }
  try_join (gossip, now_us);
}

/* Answers a peer's digest: with a summary when nothing differs, else with all versions.
 * A process that has not joined yet cannot tell what is newest and does not answer. */
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

/* Takes a digest from a peer. */
void
jd_config_gossip_on_digest (jd_config_gossip_t *gossip, const jd_gossip_route_t *from,
                            const jd_digest_t *digest, int64_t now_us)
{
  jd_digest_t entries = *digest;
  uint64_t nonce = jd_gossip_digest_take_echo (&entries);
  jd_gossip_digest_refresh (&gossip->digest);
  if (jd_gossip_digest_kind (&entries) == JD_DIGEST_NOTICE)
    take_entries (gossip, from, entries.entries + 1, entries.entry_count - 1, now_us);
  else if (from->address)
    handle_answer (gossip, from, &entries, nonce, now_us);
  else
    answer_request (gossip, from, &entries, nonce, now_us);
}

/* Takes the text of a record from a peer. */
void
jd_config_gossip_on_push (jd_config_gossip_t *gossip, const jd_record_push_t *push,
                          int64_t now_us)
{
  offer (gossip, push->record, push->text, push->length_bytes, now_us, NULL);
  try_join (gossip, now_us);
}

/* Sends a record to a peer that asked for it. */
void
jd_config_gossip_on_ask (jd_config_gossip_t *gossip, const jd_gossip_route_t *from,
                         const jd_record_ask_t *ask)
{
  char *text = jd_config_store_text (gossip->store, ask->record);
  if (text)
    send_text (gossip, from, ask->record, text);
  g_free (text);
}

/* Reads a listed record from the platform when it is newer, is not being read and was not
 * refused before. */
static void
fetch_if_newer (jd_config_gossip_t *gossip, const jd_digest_entry_t *entry)
{
  if (entry->version <= jd_config_store_version (gossip->store, entry->record) ||
      has_version (gossip->fetches, entry->record, entry->version) ||
      has_version (gossip->refusals, entry->record, entry->version))
    return;
  remember_version (gossip->fetches, entry->record, entry->version);
  gossip->hooks.fetch (gossip->hooks.context, entry->record);
}

/* Takes the names and versions that the platform lists, and fetches newer records. The
 * listing confirms the keys when it has the version in force; a lower one comes from a
 * stale replica and confirms nothing. requested_us is when the request was sent. */
void
jd_config_gossip_on_listing (jd_config_gossip_t *gossip, const jd_digest_entry_t *entries,
                             uint32_t count, int64_t requested_us, int64_t now_us)
{
  uint64_t listed_keys = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      if (strcmp (entries[i].record, KEYS_RECORD) == 0)
        listed_keys = entries[i].version;
      fetch_if_newer (gossip, &entries[i]);
    }
  if (listed_keys == jd_config_store_version (gossip->store, KEYS_RECORD))
    gossip->confirmed_us = MAX (gossip->confirmed_us, requested_us);
  gossip->platform_listed = TRUE;
  try_join (gossip, now_us);
}

/* Takes the text of a record from the platform. A refused one is not read again. */
jd_adoption_t
jd_config_gossip_on_record (jd_config_gossip_t *gossip, const char *record,
                            const char *text, size_t length, int64_t now_us,
                            GError **error)
{
  jd_adoption_t result = offer (gossip, record, text, length, now_us, error);
  const uint64_t *listed = g_hash_table_lookup (gossip->fetches, record);
  if (listed && (result == JD_ADOPTION_INVALID || result == JD_ADOPTION_CONFLICT))
    remember_version (gossip->refusals, record, *listed);
  g_hash_table_remove (gossip->fetches, record);
  try_join (gossip, now_us);
  return result;
}

/* Notes that the platform or one of its records could not be read, so that joining does
 * not wait for it. */
void
jd_config_gossip_on_platform_failure (jd_config_gossip_t *gossip, int64_t now_us)
{
  gossip->platform_failed = TRUE;
  g_hash_table_remove_all (gossip->fetches);
  try_join (gossip, now_us);
}

/* Returns TRUE when the process may serve: it has heard the newest versions that peers
 * and platform gave it. */
gboolean
jd_config_gossip_is_joined (const jd_config_gossip_t *gossip)
{
  return gossip->joined;
}

/* Returns TRUE when this process should read the platform by itself, because neither
 * watchers nor peers have confirmed the keys for long. Spreads the reads of a cut-off
 * zone over one to two poll ages. */
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
