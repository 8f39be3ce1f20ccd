#pragma once

#include <glib.h>

#include "base/rng.h"

/* The other processes that a process exchanges digests with. */
typedef struct jd_gossip_peer
{
  char *address;
  int64_t asked_us;  /* Oldest request without an answer; JD_GOSSIP_NOT_ASKED: none. */
  gboolean answered; /* Has answered at least once. */
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
uint32_t jd_gossip_peers_answered (const jd_gossip_peers_t *peers);
