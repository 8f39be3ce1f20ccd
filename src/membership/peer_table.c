#include "membership/peer_table.h"

#include <string.h>

#include "base/clock.h"
#include "base/log_event.h"
#include "membership/record_revision.h"

/* A host is live for this long after its last message, or for LIVE_INTERVALS intervals of
 * its messages if that is longer, so that one may be lost. */
#define LIVE_US (4 * JD_US_PER_S)
#define LIVE_INTERVALS 2.5
/* A host is counted when limits are divided among hosts for this long after its last
 * message, or for SHARE_HOLD_INTERVALS intervals, because it may be unreachable from here
 * and still serve, or may be restarting. */
#define SHARE_HOLD_US (12 * JD_US_PER_S)
#define SHARE_HOLD_INTERVALS 4.0
/* A silent host is removed from the table after this time. */
#define REMOVE_AFTER_US (60 * JD_US_PER_S)
/* An address that another host has listed, and that sends no message itself, is removed
 * after this time; it is listed again if the host lives. */
#define UNHEARD_REMOVE_AFTER_US (20 * JD_US_PER_S)
/* Such addresses beyond this number are ignored, so that damaged messages cannot fill the
 * table. A host that lives sends messages itself. */
#define UNHEARD_MAX 512
/* Interval of messages to a silent host. */
#define RETRY_INTERVAL_US (2 * JD_US_PER_S)
/* The same for hosts that were never heard, while no host is live: after a restart of all
 * hosts the seeds may start a moment later than this host. */
#define FIRST_CONTACT_INTERVAL_US (200 * JD_US_PER_MS)
/* A host that has sent fewer messages since its start may still lack what others know.
 * It sends them every 0.25 s at first. */
#define ESTABLISHED_MESSAGES 12

struct jd_peer_table
{
  uint32_t own_ip;
  char *own_zone;
  GHashTable *by_ip;       /* ip -> jd_peer_t */
  int64_t live_us;         /* A host is live for this long after its last message. */
  int64_t share_hold_us;   /* It counts when limits are divided for this long. */
  uint32_t unheard_count;  /* Hosts that are no seeds and have sent no message. */
  int64_t newest_as_of_us; /* Latest time at which the records of a host were current. */
};

/* Creates an empty table for a host; own_ip is in host byte order. */
jd_peer_table_t *
jd_peer_table_new (uint32_t own_ip, const char *own_zone)
{
  jd_peer_table_t *table = g_new0 (jd_peer_table_t, 1);
  table->own_ip = own_ip;
  table->own_zone = g_strdup (own_zone);
  table->by_ip = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  jd_peer_table_set_interval (table, 0);
  return table;
}

/* Sets the interval at which hosts send their state, which grows with the fleet. */
void
jd_peer_table_set_interval (jd_peer_table_t *table, int64_t interval_us)
{
  table->live_us = MAX (LIVE_US, (int64_t)(LIVE_INTERVALS * (double)interval_us));
  table->share_hold_us =
      MAX (SHARE_HOLD_US, (int64_t)(SHARE_HOLD_INTERVALS * (double)interval_us));
}

/* Returns the availability zone of this host, owned by the table. */
const char *
jd_peer_table_own_zone (const jd_peer_table_t *table)
{
  return table->own_zone;
}

/* Frees a table; NULL is not allowed. */
void
jd_peer_table_free (jd_peer_table_t *table)
{
  g_hash_table_destroy (table->by_ip);
  g_free (table->own_zone);
  g_free (table);
}

/* Returns the host with an address, or NULL. */
static jd_peer_t *
find_peer (const jd_peer_table_t *table, uint32_t ip)
{
  return g_hash_table_lookup (table->by_ip, GUINT_TO_POINTER (ip));
}

/* Inserts a host that is not in the table. */
static jd_peer_t *
insert_peer (jd_peer_table_t *table, uint32_t ip)
{
  jd_peer_t *peer = g_new0 (jd_peer_t, 1);
  peer->state.ip = ip;
  g_hash_table_insert (table->by_ip, GUINT_TO_POINTER (ip), peer);
  return peer;
}

/* Adds a host of which another one has told the address. Returns FALSE if it is in the
 * table already, is this host or has address 0, or if too many such hosts have sent no
 * message. */
bool
jd_peer_table_add (jd_peer_table_t *table, uint32_t ip, int64_t now_us)
{
  if (ip == table->own_ip || ip == 0 || find_peer (table, ip) ||
      table->unheard_count >= UNHEARD_MAX)
    return false;
  insert_peer (table, ip)->added_us = now_us;
  table->unheard_count++;
  return true;
}

/* Adds a host of the settings, which stays in the table although it is silent. */
void
jd_peer_table_add_seed (jd_peer_table_t *table, uint32_t ip)
{
  if (ip == table->own_ip || ip == 0)
    return;
  jd_peer_t *peer = find_peer (table, ip);
  if (!peer)
    peer = insert_peer (table, ip);
  else if (!peer->is_seed && peer->last_message_us == 0)
    table->unheard_count--;
  peer->is_seed = true;
}

/* Updates the state of a host from its message and adds the host if it is new. Returns
 * FALSE for a message of this host or with address 0, and for one of the same incarnation
 * that is not newer than the last one. */
bool
jd_peer_table_update (jd_peer_table_t *table, const jd_peer_state_t *state,
                      int64_t now_us)
{
  if (state->ip == table->own_ip || state->ip == 0)
    return false;
  jd_peer_t *peer = find_peer (table, state->ip);
  bool has_state = peer && peer->last_message_us > 0;
  if (peer && !has_state && !peer->is_seed)
    table->unheard_count--;
  if (!peer)
    peer = insert_peer (table, state->ip);
  if (has_state && state->incarnation == peer->state.incarnation &&
      state->sequence <= peer->state.sequence)
    return false;
  if (!has_state || now_us - peer->last_message_us > table->live_us ||
      state->incarnation != peer->state.incarnation ||
      state->leaving != peer->state.leaving)
    jd_log_event (G_LOG_LEVEL_INFO, "peer_seen",
                  "peer=%s zone=%s leaving=%d incarnation=%" G_GUINT64_FORMAT
                  " silent_ms=%" G_GINT64_FORMAT,
                  state->name, state->zone, state->leaving, state->incarnation,
                  has_state ? (now_us - peer->last_message_us) / JD_US_PER_MS : 0);
  /* A host that was cut off itself tells of failed reads when it is back. */
  bool is_back = !has_state || state->incarnation != peer->state.incarnation ||
                 now_us - peer->last_message_us > table->live_us / 2;
  peer->state = *state;
  peer->last_message_us = now_us;
  if (state->store_failed && !is_back)
    peer->store_failed_us = now_us;
  table->newest_as_of_us =
      MAX (table->newest_as_of_us, now_us - MAX (state->feed_age_us, 0));
  return true;
}

/* Removes hosts whose last message is older than REMOVE_AFTER_US, and hosts that are no
 * seeds and have sent none for UNHEARD_REMOVE_AFTER_US. A seed that falls silent is kept
 * as one that sent none. */
void
jd_peer_table_expire (jd_peer_table_t *table, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->by_ip);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      jd_peer_t *peer = value;
      if (peer->last_message_us == 0)
        {
          if (!peer->is_seed && now_us - peer->added_us > UNHEARD_REMOVE_AFTER_US)
            {
              table->unheard_count--;
              g_hash_table_iter_remove (&iter);
            }
          continue;
        }
      if (now_us - peer->last_message_us <= REMOVE_AFTER_US)
        continue;
      jd_log_event (G_LOG_LEVEL_INFO, "peer_lost",
                    "peer=%s zone=%s silent_ms=%" G_GINT64_FORMAT, peer->state.name,
                    peer->state.zone, (now_us - peer->last_message_us) / JD_US_PER_MS);
      if (peer->is_seed)
        peer->last_message_us = 0;
      else
        g_hash_table_iter_remove (&iter);
    }
}

/* Returns TRUE if the last message of a host is recent enough. */
static bool
is_live (const jd_peer_table_t *table, const jd_peer_t *peer, int64_t now_us)
{
  return peer->last_message_us > 0 && now_us - peer->last_message_us <= table->live_us;
}

/* Returns TRUE if a live host has this address. */
bool
jd_peer_table_is_live (const jd_peer_table_t *table, uint32_t ip, int64_t now_us)
{
  const jd_peer_t *peer = find_peer (table, ip);
  return peer && is_live (table, peer, now_us);
}

/* Calls visit for each live host. */
void
jd_peer_table_each_live (const jd_peer_table_t *table,
                         void (*visit) (void *context, const jd_peer_t *peer),
                         void *context, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->by_ip);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (is_live (table, value, now_us))
        visit (context, value);
    }
}

/* Returns the number of other hosts whose last message is at most max_silence_us old and
 * whose address is at most last_ip. */
static uint32_t
count_recent (const jd_peer_table_t *table, int64_t max_silence_us, uint32_t last_ip,
              int64_t now_us)
{
  uint32_t count = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->by_ip);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const jd_peer_t *peer = value;
      count += peer->last_message_us > 0 &&
               now_us - peer->last_message_us <= max_silence_us &&
               peer->state.ip <= last_ip;
    }
  return count;
}

/* Returns the number of hosts that may be serving, including this one. */
uint32_t
jd_peer_table_host_count (const jd_peer_table_t *table, int64_t now_us)
{
  return 1 + count_recent (table, table->share_hold_us, UINT32_MAX, now_us);
}

/* Returns the index of this host, from 0, among the hosts of jd_peer_table_host_count
 * ordered by address. */
uint32_t
jd_peer_table_rank (const jd_peer_table_t *table, int64_t now_us)
{
  return count_recent (table, table->share_hold_us, table->own_ip, now_us);
}

/* Returns the number of other hosts that are live. */
uint32_t
jd_peer_table_live_count (const jd_peer_table_t *table, int64_t now_us)
{
  return count_recent (table, table->live_us, UINT32_MAX, now_us);
}

/* Addresses that are being collected. */
typedef struct jd_ip_list
{
  uint32_t *ips;
  uint32_t count;
  uint32_t max;
  const char *zone; /* Only hosts of this zone; NULL: of all zones. */
} jd_ip_list_t;

/* Visitor: adds the address of a host to a list that is not full. */
static void
collect_ip (void *context, const jd_peer_t *peer)
{
  jd_ip_list_t *list = context;
  if (list->count < list->max &&
      (!list->zone || strcmp (peer->state.zone, list->zone) == 0))
    list->ips[list->count++] = peer->state.ip;
}

/* Writes the addresses of up to max live hosts to ips and returns their number. */
uint32_t
jd_peer_table_live_ips (const jd_peer_table_t *table, uint32_t *ips, uint32_t max,
                        int64_t now_us)
{
  jd_ip_list_t list = { .ips = ips, .max = max };
  jd_peer_table_each_live (table, collect_ip, &list, now_us);
  return list.count;
}

/* Writes the addresses of up to max other live hosts of this zone to ips and returns
 * their number. */
uint32_t
jd_peer_table_zone_ips (const jd_peer_table_t *table, uint32_t *ips, uint32_t max,
                        int64_t now_us)
{
  jd_ip_list_t list = { .ips = ips, .max = max, .zone = table->own_zone };
  jd_peer_table_each_live (table, collect_ip, &list, now_us);
  return list.count;
}

/* Writes the addresses to which the next message goes to ips and returns their number, at
 * most max: all live and new hosts, and silent ones every RETRY_INTERVAL_US, or more
 * often if they were never heard and no host is live. Records now_us as the time of the
 * last message to them. */
uint32_t
jd_peer_table_due_ips (jd_peer_table_t *table, uint32_t *ips, uint32_t max,
                       int64_t now_us)
{
  uint32_t count = 0;
  bool is_alone = jd_peer_table_live_count (table, now_us) == 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->by_ip);
  while (count < max && g_hash_table_iter_next (&iter, NULL, &value))
    {
      jd_peer_t *peer = value;
      bool was_heard = peer->last_message_us > 0;
      bool is_new = !was_heard && peer->last_send_us == 0;
      int64_t retry_interval_us =
          is_alone && !was_heard ? FIRST_CONTACT_INTERVAL_US : RETRY_INTERVAL_US;
      if (!is_new && !is_live (table, peer, now_us) &&
          now_us - peer->last_send_us < retry_interval_us)
        continue;
      peer->last_send_us = now_us;
      ips[count++] = peer->state.ip;
    }
  return count;
}

/* Returns TRUE if a live host of this zone is not leaving. */
static bool
is_zone_host (const jd_peer_table_t *table, const jd_peer_t *peer, int64_t now_us)
{
  return is_live (table, peer, now_us) && !peer->state.leaving &&
         strcmp (peer->state.zone, table->own_zone) == 0;
}

/* Returns the age of a host's records now, from its last message. */
static int64_t
records_age_us (const jd_peer_t *peer, int64_t now_us)
{
  return peer->state.feed_age_us + now_us - peer->last_message_us;
}

/* Returns the index of this host, from 0, among the live hosts of its zone ordered by
 * address, and writes their number to hosts, this one included. */
uint32_t
jd_peer_table_zone_rank (const jd_peer_table_t *table, uint32_t *hosts, int64_t now_us)
{
  uint32_t rank = 0;
  *hosts = 1;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->by_ip);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const jd_peer_t *peer = value;
      if (!is_zone_host (table, peer, now_us))
        continue;
      (*hosts)++;
      rank += peer->state.ip < table->own_ip;
    }
  return rank;
}

/* Returns TRUE if this host should read the store itself: no other live host of its zone
 * does, not counting hosts that are leaving, hosts whose records are at least max_age_us
 * old, which may be lost, and, if this host reads the store now, hosts with a higher
 * address. A returning host does not take over from one that reads, because the hosts
 * that copy would then copy all records. */
bool
jd_peer_table_should_read (const jd_peer_table_t *table, bool reads_store_now,
                           int64_t max_age_us, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->by_ip);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const jd_peer_t *peer = value;
      if (is_zone_host (table, peer, now_us) && peer->state.reads_store &&
          records_age_us (peer, now_us) < max_age_us &&
          (!reads_store_now || peer->state.ip < table->own_ip))
        return false;
    }
  return true;
}

/* Returns the number of other hosts that have told of a failed read of the store since a
 * time. */
uint32_t
jd_peer_table_count_store_failures (const jd_peer_table_t *table, int64_t since_us)
{
  uint32_t count = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->by_ip);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += ((const jd_peer_t *)value)->store_failed_us > since_us;
  return count;
}

/* Returns the latest time at which the records of another host were current, by its
 * messages; 0 without one. */
int64_t
jd_peer_table_newest_as_of_us (const jd_peer_table_t *table)
{
  return table->newest_as_of_us;
}

/* Returns TRUE if a live host is in another zone. */
bool
jd_peer_table_has_other_zone (const jd_peer_table_t *table, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->by_ip);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const jd_peer_t *peer = value;
      if (is_live (table, peer, now_us) &&
          strcmp (peer->state.zone, table->own_zone) != 0)
        return true;
    }
  return false;
}

/* Records that a copy from a host failed. The host may be lost, so it is no source until
 * its next message. */
void
jd_peer_table_copy_failed (jd_peer_table_t *table, uint32_t ip, int64_t now_us)
{
  jd_peer_t *peer = find_peer (table, ip);
  if (peer)
    peer->copy_failed_us = now_us;
}

/* Returns TRUE if a host has run for long enough to know what others know. */
bool
jd_peer_is_established (const jd_peer_t *peer)
{
  return peer->state.sequence >= ESTABLISHED_MESSAGES;
}

/* Returns TRUE if records can be copied from a host: it is live, not leaving and has sent
 * a message since a copy from it failed. Changes are copied from hosts that read the
 * store, so that they pass through few hosts. What the store may lack is known to any
 * host that is established. */
static bool
is_source (const jd_peer_table_t *table, const jd_peer_t *peer, jd_source_need_t need,
           int64_t now_us)
{
  bool is_suited = need == JD_SOURCE_FOR_ALL_RECORDS ? jd_peer_is_established (peer)
                                                     : peer->state.reads_store;
  return is_suited && is_live (table, peer, now_us) && !peer->state.leaving &&
         peer->last_message_us > peer->copy_failed_us;
}

/* Returns the host to copy records from, or NULL if there is none: a source with records
 * at most max_age_us old, of no earlier generation of the store than this host's. Prefers
 * one of a later generation, then one that has all changes after own_revision, then one
 * of this zone, then one with more recent records. The result is valid until the table
 * changes. */
const jd_peer_t *
jd_peer_table_best_source (const jd_peer_table_t *table, jd_source_need_t need,
                           int64_t own_revision, int64_t max_age_us, int64_t now_us)
{
  const jd_peer_t *best = NULL;
  int64_t best_cost_us = INT64_MAX;
  uint32_t own_generation = jd_record_revision_generation (own_revision);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->by_ip);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const jd_peer_t *peer = value;
      if (!is_source (table, peer, need, now_us))
        continue;
      int64_t age_us = records_age_us (peer, now_us);
      uint32_t generation = jd_record_revision_generation (peer->state.feed_revision);
      if (age_us >= max_age_us || generation < own_generation)
        continue;
      bool is_same_zone = strcmp (peer->state.zone, table->own_zone) == 0;
      bool has_changes = need == JD_SOURCE_FOR_ALL_RECORDS ||
                         own_revision >= peer->state.tombstones_since;
      int64_t cost_us = age_us / 4 + (is_same_zone ? 0 : max_age_us) +
                        (has_changes ? 0 : 2 * max_age_us) -
                        (generation > own_generation ? 4 * max_age_us : 0);
      if (cost_us >= best_cost_us)
        continue;
      best = peer;
      best_cost_us = cost_us;
    }
  return best;
}
