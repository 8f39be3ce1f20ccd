#pragma once

#include <glib.h>
#include <jansson.h>

#include "base/clock.h"
#include "base/counters.h"
#include "base/rng.h"
#include "config/config_store.h"
#include "membership/ownership.h"
#include "transport/peer_link.h"

/* What the entry and the broker have in common: the seat with its lease, the published
 * records, and the link to the other processes. All functions but jd_node_wake are for
 * the thread of the event loop. */
typedef struct jd_node jd_node_t;

typedef struct jd_node_callbacks
{
  /* A message that is not about membership or records. */
  jd_peer_receive_t on_message;
  /* A record has come into force. */
  void (*on_record) (void *context, const char *name);
  void *context;
} jd_node_callbacks_t;

typedef struct jd_node_options
{
  const char *seat;
  const char *zone;
  jd_role_t role;
  const char *peer_address;    /* "IP:port" of the own ROUTER. */
  const char *bootstrap_peers; /* Addresses separated by commas, or NULL. */
  const char *platform_url;    /* NULL: records come from peers only. */
  jd_clock_t clock;
  jd_counters_t *counters;
  jd_config_store_t *store;
  jd_node_callbacks_t callbacks;
} jd_node_options_t;

jd_node_t *jd_node_new (const jd_node_options_t *options, GError **error);
void jd_node_free (jd_node_t *node);

/* Waits up to timeout_ms for messages and serves membership and records. */
void jd_node_poll (jd_node_t *node, int timeout_ms);
/* Makes a poll return early; any thread. */
void jd_node_wake (jd_node_t *node);
int64_t jd_node_now_us (const jd_node_t *node);
jd_peer_link_t *jd_node_link (jd_node_t *node);
uint64_t jd_node_incarnation (const jd_node_t *node);
jd_rng_t jd_node_rng (jd_node_t *node);

/* The fleet in force, or NULL. Valid until the next poll. */
const jd_fleet_record_t *jd_node_fleet (const jd_node_t *node);
/* TRUE when the own seat is listed in the fleet with the own role and zone. */
gboolean jd_node_is_listed (const jd_node_t *node);
/* Sends to a seat of the fleet. FALSE: certainly nothing was sent. */
gboolean jd_node_send (jd_node_t *node, const char *seat, const jd_message_t *message);
/* Time until which this seat owns a resource; in the past when it does not. */
int64_t jd_node_owned_until_us (jd_node_t *node, const char *resource);
int64_t jd_node_lease_until_us (jd_node_t *node);
/* Appends one JSON object per seat of the own cell. */
void jd_node_status (jd_node_t *node, json_t *array);
/* What the lease tells the other seats about this one. */
void jd_node_set_state (jd_node_t *node, jd_seat_state_t state);
/* Returns to work after a drain, as a new incarnation of the seat in its cell. */
void jd_node_reactivate (jd_node_t *node);
/* Age of the last confirmation of the records by the platform, -1 for never; any
 * thread. */
int64_t jd_node_platform_age_us (jd_node_t *node);
