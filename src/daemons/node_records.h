#pragma once

#include "base/clock.h"
#include "base/counters.h"
#include "base/rng.h"
#include "config/config_store.h"
#include "membership/platform_watch.h"
#include "transport/peer_link.h"

/* The published records of one process: reads them from the platform and exchanges them
 * with its peers. All functions are for the event loop's thread, except where stated. */
typedef struct jd_node_records jd_node_records_t;

typedef struct jd_node_records_options
{
  const char *own_address;
  const char *bootstrap_peers; /* Addresses separated by commas, or NULL. */
  const char *platform_url;    /* NULL: records come from peers only. */
  const char *member;
  jd_clock_t clock;
  jd_rng_t rng;
  jd_counters_t *counters;
  jd_config_store_t *store;
  jd_peer_link_t *link;
  /* Wakes the event loop; called in the platform client's thread. */
  void (*wake) (void *context);
  /* A new version of a record has become the current one. */
  void (*on_record) (void *context, const char *name);
  jd_member_is_down_t is_member_down;
  void *context;
} jd_node_records_options_t;

jd_node_records_t *jd_node_records_new (const jd_node_records_options_t *options);
void jd_node_records_free (jd_node_records_t *records);

/* Handles the messages digest, record_push and record_request. Returns FALSE for others.
 */
gboolean jd_node_records_on_message (jd_node_records_t *records,
                                     const jd_peer_origin_t *origin,
                                     const jd_message_t *message);
/* Replaces the peers and the fleet record from which watchers are chosen. Takes a
 * reference to fleet. */
void jd_node_records_set_fleet (jd_node_records_t *records,
                                const jd_fleet_record_t *fleet);
void jd_node_records_tick (jd_node_records_t *records);
int64_t jd_node_records_next_tick_us (const jd_node_records_t *records);
/* Returns TRUE once the process has the newest versions that its peers and the platform
 * reported, so that it may serve. */
gboolean jd_node_records_is_joined (const jd_node_records_t *records);
/* Returns the age of the last confirmation of the keys record by the platform, -1 if
 * there was none. May be called in any thread. */
int64_t jd_node_records_age_us (jd_node_records_t *records);
