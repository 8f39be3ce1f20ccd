#pragma once

#include <ev.h>

#include "limits/fleet_quota.h"
#include "membership/peer_table.h"
#include "routing/extra_reports.h"
#include "routing/target_hints.h"

/* Datagrams in which hosts tell each other about themselves and their tenants' use. */
typedef struct jd_peer_gossip jd_peer_gossip_t;

typedef struct jd_peer_gossip_options
{
  struct ev_loop *loop;
  const char *address; /* Own "IP:port". */
  uint16_t port;       /* The same on all hosts. */
  double interval_s;
  jd_peer_table_t *peers;
  jd_fleet_quota_t *quota;
  jd_replica_registry_t *registry;
  /* Fills in what this host tells of itself. */
  void (*fill_state) (void *context, jd_peer_state_t *state);
  /* Something was heard that may change who is alive. */
  void (*on_heard) (void *context);
  void *context;
} jd_peer_gossip_options_t;

jd_peer_gossip_t *jd_peer_gossip_new (const jd_peer_gossip_options_t *options,
                                      GError **error);
void jd_peer_gossip_free (jd_peer_gossip_t *gossip);
void jd_peer_gossip_send_now (jd_peer_gossip_t *gossip);
void jd_peer_gossip_note_admission (jd_peer_gossip_t *gossip);
