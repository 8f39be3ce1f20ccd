#pragma once

#include <glib.h>
#include <jansson.h>

#include "base/clock.h"
#include "base/counters.h"
#include "base/rng.h"
#include "config/config_store.h"
#include "membership/ownership.h"
#include "transport/peer_link.h"

/* The parts that the entry and the broker share: the member with its lease, the published
 * records, and the link to the other processes. All functions are for the event loop's
 * thread, except where stated. */
typedef struct jd_node jd_node_t;

typedef struct jd_node_callbacks
{
  /* Handles a message that is not about membership or records. */
  jd_peer_receive_t on_message;
  /* A new version of a record has become the current one. */
  void (*on_record) (void *context, const char *name);
  void *context;
} jd_node_callbacks_t;

typedef struct jd_node_options
{
  const char *member;
  const char *zone;
  jd_role_t role;
  const char *peer_address;    /* "IP:port" that the own ROUTER binds. */
  const char *bootstrap_peers; /* Addresses separated by commas, or NULL. */
  const char *platform_url;    /* NULL: records come from peers only. */
  jd_clock_t clock;
  jd_counters_t *counters;
  jd_config_store_t *store;
  jd_node_callbacks_t callbacks;
} jd_node_options_t;

jd_node_t *jd_node_new (const jd_node_options_t *options, GError **error);
void jd_node_free (jd_node_t *node);

/* Waits up to timeout_ms for messages, then handles those about membership and records
 * and passes the others to on_message. */
void jd_node_poll (jd_node_t *node, int timeout_ms);
/* Makes a poll return early. May be called in any thread. */
void jd_node_wake (jd_node_t *node);
int64_t jd_node_now_us (const jd_node_t *node);
jd_peer_link_t *jd_node_link (jd_node_t *node);
uint64_t jd_node_incarnation (const jd_node_t *node);
jd_rng_t jd_node_rng (jd_node_t *node);

/* Returns the current fleet record, or NULL. Valid until the next poll. */
const jd_fleet_record_t *jd_node_fleet (const jd_node_t *node);
/* Returns TRUE if the fleet record lists this member with its role and zone and the
 * process has the newest records that its peers and the platform reported. */
gboolean jd_node_is_listed (const jd_node_t *node);
/* Sends to a member of the fleet. FALSE means that nothing was sent. */
gboolean jd_node_send (jd_node_t *node, const char *member, const jd_message_t *message);
/* Returns the time until which this member owns a resource; in the past if not owned. */
int64_t jd_node_owned_until_us (jd_node_t *node, const char *resource);
int64_t jd_node_lease_until_us (jd_node_t *node);
/* Appends one JSON object for each member of the own group. */
void jd_node_status (jd_node_t *node, json_t *array);
/* Sets the state that the heartbeats of this member announce to its group. */
void jd_node_set_state (jd_node_t *node, jd_member_state_t state);
/* Makes this member active again after a drain, as a new incarnation in its group. */
void jd_node_reactivate (jd_node_t *node);
/* Returns the age of the last confirmation of the records by the platform, -1 if there
 * was none. May be called in any thread. */
int64_t jd_node_platform_age_us (jd_node_t *node);
