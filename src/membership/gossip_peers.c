#include "membership/gossip_peers.h"

#include <string.h>

/* Frees one peer; a GDestroyNotify. */
static void
free_peer (gpointer data)
{
  jd_gossip_peer_t *peer = data;
  g_free (peer->address);
  g_free (peer);
}

/* Creates an empty set of peers; rng is copied. */
void
jd_gossip_peers_init (jd_gossip_peers_t *peers, const jd_rng_t *rng)
{
  peers->list = g_ptr_array_new_with_free_func (free_peer);
  peers->index = g_hash_table_new (g_str_hash, g_str_equal);
  peers->rng = *rng;
}

/* Frees all peers, but not the struct itself. */
void
jd_gossip_peers_clear (jd_gossip_peers_t *peers)
{
  g_hash_table_unref (peers->index);
  g_ptr_array_unref (peers->list);
}

/* Adds a peer. Copies the state of the same peer in the previous list, which is NULL for
 * a new peer. */
static void
add_peer (GPtrArray *list, GHashTable *index, const jd_gossip_peer_t *previous,
          const char *address)
{
  jd_gossip_peer_t *peer = g_new0 (jd_gossip_peer_t, 1);
  peer->address = g_strdup (address);
  peer->answered = previous && previous->answered;
  g_ptr_array_add (list, peer);
  g_hash_table_insert (index, peer->address, peer);
}

/* Replaces the list of peers. Skips the own address and duplicates. */
void
jd_gossip_peers_set (jd_gossip_peers_t *peers, const char *own_address,
                     const char *const *addresses, uint32_t count)
{
  GPtrArray *list = g_ptr_array_new_with_free_func (free_peer);
  GHashTable *index = g_hash_table_new (g_str_hash, g_str_equal);
  for (uint32_t i = 0; i < count; i++)
    {
      if (strcmp (addresses[i], own_address) != 0 &&
          !g_hash_table_contains (index, addresses[i]))
        add_peer (list, index, jd_gossip_peers_find (peers, addresses[i]), addresses[i]);
    }
  jd_gossip_peers_clear (peers);
  peers->list = list;
  peers->index = index;
}

/* Returns the peer with an address, or NULL. */
jd_gossip_peer_t *
jd_gossip_peers_find (const jd_gossip_peers_t *peers, const char *address)
{
  return g_hash_table_lookup (peers->index, address);
}

/* Writes up to count different random peers to picked and returns their number. Moves
 * them to the front of the list, whose order has no meaning. */
uint32_t
jd_gossip_peers_pick (jd_gossip_peers_t *peers, jd_gossip_peer_t **picked, uint32_t count)
{
  gpointer *list = peers->list->pdata;
  uint32_t total = peers->list->len;
  uint32_t picked_count = MIN (count, total);
  for (uint32_t i = 0; i < picked_count; i++)
    {
      uint32_t j = i + (uint32_t)jd_rng_below (&peers->rng, total - i);
      gpointer chosen = list[j];
      list[j] = list[i];
      list[i] = chosen;
      picked[i] = chosen;
    }
  return picked_count;
}

/* Returns the number of peers that have answered at least one request. */
uint32_t
jd_gossip_peers_answered_count (const jd_gossip_peers_t *peers)
{
  uint32_t answered_count = 0;
  for (guint i = 0; i < peers->list->len; i++)
    answered_count += ((jd_gossip_peer_t *)peers->list->pdata[i])->answered ? 1 : 0;
  return answered_count;
}
