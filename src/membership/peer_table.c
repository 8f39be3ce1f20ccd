#include "membership/peer_table.h"

#include <string.h>

#include "base/clock.h"
#include "base/log_event.h"

/* A host that was heard this recently is alive; several messages may be lost. */
#define LIVE_US (4 * JD_US_PER_S)
/* A host counts for shares of limits for this long after it was last heard, because it
 * may be cut off and still serve, or be restarted. */
#define COUNTED_US (12 * JD_US_PER_S)
/* After this time a silent host is forgotten. */
#define FORGET_US (60 * JD_US_PER_S)
/* Silent hosts are tried again this often. */
#define RETRY_US (2 * JD_US_PER_S)
/* Knowledge of records that is older than this is not worth copying. */
#define SOURCE_AGE_MAX_US (2500 * JD_US_PER_MS)

struct jd_peer_table
{
  uint32_t own_ip;
  char *own_zone;
  GHashTable *by_ip; /* ip -> jd_peer_t */
};

/* Creates the table of a host. */
jd_peer_table_t *
jd_peer_table_new (uint32_t own_ip, const char *own_zone)
{
  jd_peer_table_t *table = g_new0 (jd_peer_table_t, 1);
  table->own_ip = own_ip;
  table->own_zone = g_strdup (own_zone);
  table->by_ip = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  return table;
}

/* Frees a table. */
void
jd_peer_table_free (jd_peer_table_t *table)
{
  g_hash_table_destroy (table->by_ip);
  g_free (table->own_zone);
  g_free (table);
}

/* Adds a host that is known by its address only; TRUE when it is new. */
bool
jd_peer_table_learn (jd_peer_table_t *table, uint32_t ip)
{
  if (ip == table->own_ip || ip == 0 ||
      g_hash_table_contains (table->by_ip, GUINT_TO_POINTER (ip)))
    return false;
  jd_peer_t *peer = g_new0 (jd_peer_t, 1);
  peer->state.ip = ip;
  g_hash_table_insert (table->by_ip, GUINT_TO_POINTER (ip), peer);
  return true;
}

/* Takes what a host tells about itself. FALSE for messages that were overtaken. */
bool
jd_peer_table_hear (jd_peer_table_t *table, const jd_peer_state_t *state, int64_t now_us)
{
  if (state->ip == table->own_ip || state->ip == 0)
    return false;
  jd_peer_table_learn (table, state->ip);
  jd_peer_t *peer = g_hash_table_lookup (table->by_ip, GUINT_TO_POINTER (state->ip));
  bool is_known = peer->heard_us > 0;
  if (is_known && state->incarnation == peer->state.incarnation &&
      state->sequence <= peer->state.sequence)
    return false;
  if (!is_known || now_us - peer->heard_us > LIVE_US ||
      state->incarnation != peer->state.incarnation ||
      state->leaving != peer->state.leaving)
    jd_log_event (G_LOG_LEVEL_INFO, "peer_seen",
                  "peer=%s zone=%s leaving=%d incarnation=%" G_GUINT64_FORMAT
                  " silent_ms=%" G_GINT64_FORMAT,
                  state->name, state->zone, state->leaving, state->incarnation,
                  is_known ? (now_us - peer->heard_us) / JD_US_PER_MS : 0);
  peer->state = *state;
  peer->heard_us = now_us;
  return true;
}

/* Forgets hosts that have been silent for long. */
void
jd_peer_table_expire (jd_peer_table_t *table, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->by_ip);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const jd_peer_t *peer = value;
      if (peer->heard_us == 0 || now_us - peer->heard_us <= FORGET_US)
        continue;
      jd_log_event (G_LOG_LEVEL_INFO, "peer_lost",
                    "peer=%s zone=%s silent_ms=%" G_GINT64_FORMAT, peer->state.name,
                    peer->state.zone, (now_us - peer->heard_us) / JD_US_PER_MS);
      g_hash_table_iter_remove (&iter);
    }
}

/* TRUE while a host is heard. */
static bool
is_live (const jd_peer_t *peer, int64_t now_us)
{
  return peer->heard_us > 0 && now_us - peer->heard_us <= LIVE_US;
}

/* Returns the number of other hosts that were heard within a time and have an address
 * up to some one. */
static uint32_t
count_heard (const jd_peer_table_t *table, int64_t within_us, uint32_t last_ip,
             int64_t now_us)
{
  uint32_t count = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->by_ip);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const jd_peer_t *peer = value;
      count += peer->heard_us > 0 && now_us - peer->heard_us <= within_us &&
               peer->state.ip <= last_ip;
    }
  return count;
}

/* Returns the number of hosts that may be serving, this one included. */
uint32_t
jd_peer_table_hosts (const jd_peer_table_t *table, int64_t now_us)
{
  return 1 + count_heard (table, COUNTED_US, UINT32_MAX, now_us);
}

/* Returns the place of this host among those counted, ordered by address. */
uint32_t
jd_peer_table_rank (const jd_peer_table_t *table, int64_t now_us)
{
  return count_heard (table, COUNTED_US, table->own_ip, now_us);
}

/* Returns the number of other hosts that are heard. */
uint32_t
jd_peer_table_live_count (const jd_peer_table_t *table, int64_t now_us)
{
  return count_heard (table, LIVE_US, UINT32_MAX, now_us);
}

/* Lists the addresses of live hosts; returns their number. */
uint32_t
jd_peer_table_live (const jd_peer_table_t *table, uint32_t *ips, uint32_t max,
                    int64_t now_us)
{
  uint32_t count = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->by_ip);
  while (count < max && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const jd_peer_t *peer = value;
      if (is_live (peer, now_us))
        ips[count++] = peer->state.ip;
    }
  return count;
}

/* Lists the addresses that get the next message: live hosts always, silent ones now and
 * then. Returns their number. */
uint32_t
jd_peer_table_due (jd_peer_table_t *table, uint32_t *ips, uint32_t max, int64_t now_us)
{
  uint32_t count = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->by_ip);
  while (count < max && g_hash_table_iter_next (&iter, NULL, &value))
    {
      jd_peer_t *peer = value;
      bool is_new = peer->heard_us == 0 && peer->tried_us == 0;
      if (!is_new && !is_live (peer, now_us) && now_us - peer->tried_us < RETRY_US)
        continue;
      peer->tried_us = now_us;
      ips[count++] = peer->state.ip;
    }
  return count;
}

/* TRUE when this host should read the store itself: no other live host of its zone does,
 * or both do and this one has the lower address. A host that returns does not take over
 * from one that reads, because those that follow would have to copy everything. */
bool
jd_peer_table_should_read (const jd_peer_table_t *table, bool reads_now, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->by_ip);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const jd_peer_t *peer = value;
      if (is_live (peer, now_us) && peer->state.reads_store && !peer->state.leaving &&
          strcmp (peer->state.zone, table->own_zone) == 0 &&
          (!reads_now || peer->state.ip < table->own_ip))
        return false;
    }
  return true;
}

/* Returns the host to copy records from, or NULL: one that reads the store, of this zone
 * if possible, and one that can tell single changes after own_revision if possible. */
const jd_peer_t *
jd_peer_table_best_source (const jd_peer_table_t *table, int64_t own_revision,
                           int64_t now_us)
{
  const jd_peer_t *best = NULL;
  int64_t best_cost_us = INT64_MAX;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->by_ip);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const jd_peer_t *peer = value;
      if (!is_live (peer, now_us) || peer->state.leaving || !peer->state.reads_store)
        continue;
      int64_t age_us = peer->state.feed_age_us + now_us - peer->heard_us;
      if (age_us > SOURCE_AGE_MAX_US)
        continue;
      bool is_near = strcmp (peer->state.zone, table->own_zone) == 0;
      bool tells_changes = own_revision >= peer->state.traces_since;
      int64_t cost_us = age_us / 4 + (is_near ? 0 : SOURCE_AGE_MAX_US) +
                        (tells_changes ? 0 : 2 * SOURCE_AGE_MAX_US);
      if (cost_us >= best_cost_us)
        continue;
      best = peer;
      best_cost_us = cost_us;
    }
  return best;
}
