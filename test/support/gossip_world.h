#pragma once

#include "membership/config_gossip.h"
#include "support/sim_network.h"

/* Simulates processes that gossip records over a simulated network, and a platform with
 * two replicas, the second of which lags behind the first. */
#define GOSSIP_RECORDS_MAX 64
#define GOSSIP_VERSIONS_MAX 256
#define GOSSIP_WATCHERS 2

typedef struct gossip_record
{
  char name[64];
  uint64_t versions[2]; /* Current version at each platform replica. */
  char *texts[2];
  int64_t replicated_us[GOSSIP_VERSIONS_MAX]; /* By version: when both replicas had it. */
  uint64_t deleted_at;                        /* Version that deleted it; 0: none. */
} gossip_record_t;

typedef struct gossip_process
{
  struct gossip_sim *sim;
  jd_philox_t philox;
  jd_config_store_t *store; /* NULL: the process is down. */
  jd_config_gossip_t *gossip;
  int64_t next_listing_us;
  gboolean is_platform_unreachable;
  uint64_t last_versions[GOSSIP_RECORDS_MAX]; /* By record: version at the last check. */
} gossip_process_t;

typedef struct gossip_sim
{
  jd_philox_t philox;
  jd_rng_t rng;
  sim_network_t *network;
  uint32_t process_count;
  gossip_process_t *processes;
  char **addresses;
  gossip_record_t records[GOSSIP_RECORDS_MAX];
  uint32_t record_count;
  uint64_t wire_bytes;    /* Estimated size of all messages in msgpack. */
  uint64_t listing_count; /* Listings read from the platform. */
  uint64_t violation_count;
} gossip_sim_t;

gossip_sim_t *gossip_sim_new (uint64_t seed, uint32_t count);
void gossip_sim_free (gossip_sim_t *sim);
void gossip_sim_start_process (gossip_sim_t *sim, uint32_t id);
void gossip_sim_stop_process (gossip_sim_t *sim, uint32_t id);
gossip_record_t *gossip_sim_publish (gossip_sim_t *sim, const char *name,
                                     const char *body);
void gossip_sim_sync_replicas (gossip_sim_t *sim);
int64_t gossip_sim_propagation_us (gossip_sim_t *sim, const gossip_record_t *record,
                                   int64_t limit_us);
