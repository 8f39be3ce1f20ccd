#pragma once

#include "base/clock.h"
#include "base/counters.h"
#include "base/rng.h"
#include "config/config_store.h"
#include "membership/platform_watch.h"
#include "transport/peer_link.h"

/* The published records of one process: reads them from the platform and exchanges them
 * with its peers. For the thread of the event loop, except where stated. */
typedef struct jd_node_records jd_node_records_t;

typedef struct jd_node_records_options
{
  const char *own_address;
  const char *bootstrap_peers; /* Addresses separated by commas, or NULL. */
  const char *platform_url;    /* NULL: records come from peers only. */
  const char *seat;
  jd_clock_t clock;
  jd_rng_t rng;
  jd_counters_t *counters;
  jd_config_store_t *store;
  jd_peer_link_t *link;
  /* Wakes the event loop; called in another thread. */
  void (*wake) (void *context);
  /* A record has come into force. */
  void (*on_record) (void *context, const char *name);
  jd_seat_is_gone_t is_gone;
  void *context;
} jd_node_records_options_t;

jd_node_records_t *jd_node_records_new (const jd_node_records_options_t *options);
void jd_node_records_free (jd_node_records_t *records);

/* Takes digest, record_push and record_ask. Returns FALSE for other messages. */
gboolean jd_node_records_on_message (jd_node_records_t *records,
                                     const jd_peer_origin_t *origin,
                                     const jd_message_t *message);
/* Takes the peers and the watchers of a fleet. */
void jd_node_records_set_fleet (jd_node_records_t *records,
                                const jd_fleet_record_t *fleet);
void jd_node_records_tick (jd_node_records_t *records);
int64_t jd_node_records_next_tick_us (const jd_node_records_t *records);
/* TRUE once the newest versions of peers and platform have been heard. */
gboolean jd_node_records_is_joined (const jd_node_records_t *records);
/* Age of the last confirmation of the keys, -1 for never; any thread. */
int64_t jd_node_records_age_us (jd_node_records_t *records);
