#pragma once

#include <glib.h>

#include "base/rng.h"

/* A process with which this process exchanges digests. */
typedef struct jd_gossip_peer
{
  char *address;
  int64_t requested_us; /* Not used. */
  gboolean answered;    /* The peer has answered at least one request. */
} jd_gossip_peer_t;

typedef struct jd_gossip_peers
{
  GPtrArray *list;   /* of jd_gossip_peer_t */
  GHashTable *index; /* address -> jd_gossip_peer_t */
  jd_rng_t rng;
} jd_gossip_peers_t;

void jd_gossip_peers_init (jd_gossip_peers_t *peers, const jd_rng_t *rng);
void jd_gossip_peers_clear (jd_gossip_peers_t *peers);
void jd_gossip_peers_set (jd_gossip_peers_t *peers, const char *own_address,
                          const char *const *addresses, uint32_t count);
jd_gossip_peer_t *jd_gossip_peers_find (const jd_gossip_peers_t *peers,
                                        const char *address);
uint32_t jd_gossip_peers_pick (jd_gossip_peers_t *peers, jd_gossip_peer_t **picked,
                               uint32_t count);
uint32_t jd_gossip_peers_answered_count (const jd_gossip_peers_t *peers);
