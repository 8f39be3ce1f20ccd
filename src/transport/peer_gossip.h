#pragma once

#include <ev.h>

#include "limits/fleet_quota.h"
#include "membership/peer_table.h"
#include "routing/extra_reports.h"
#include "routing/rejection_reports.h"
#include "routing/target_hints.h"

/* Sends and receives the UDP datagrams in which hosts report their state, the requests
 * that they admitted for tenants, their extra attempts and the health of targets. */
typedef struct jd_peer_gossip jd_peer_gossip_t;

typedef struct jd_peer_gossip_options
{
  struct ev_loop *loop;
  const char *address; /* "IP:port" of this host. */
  uint16_t port;       /* The same on all hosts. */
  double interval_s;
  jd_peer_table_t *peers;
  jd_fleet_quota_t *quota;
  jd_replica_registry_t *registry;
  /* Fills in the state that this host reports, except for its sequence. */
  void (*fill_state) (void *context, jd_peer_state_t *state);
  /* A state message was received; the set of live hosts may have changed. */
  void (*on_state_received) (void *context);
  void *context;
} jd_peer_gossip_options_t;

/* Messages to other hosts since the start. */
typedef struct jd_peer_gossip_counts
{
  uint64_t sent; /* Includes forwarded ones. */
  uint64_t forwarded;
  uint64_t sent_bytes;
} jd_peer_gossip_counts_t;

jd_peer_gossip_t *jd_peer_gossip_new (const jd_peer_gossip_options_t *options,
                                      GError **error);
void jd_peer_gossip_free (jd_peer_gossip_t *gossip);
void jd_peer_gossip_send_state (jd_peer_gossip_t *gossip);
void jd_peer_gossip_schedule_admissions (jd_peer_gossip_t *gossip);
jd_peer_gossip_counts_t jd_peer_gossip_counts (const jd_peer_gossip_t *gossip);
