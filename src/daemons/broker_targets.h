#pragma once

#include <glib.h>
#include <stdint.h>

#include "base/counters.h"
#include "config/config_store.h"
#include "daemons/node.h"
#include "routing/broker_core.h"
#include "transport/target_client.h"

/* The published targets of the broker's zone that rendezvous hashing assigns to its
 * group. Passes their limits, addresses, ownership and health to the broker core and to
 * the target client. */
typedef struct jd_broker_targets jd_broker_targets_t;

typedef struct jd_broker_targets_options
{
  const char *member;
  const char *zone;
  jd_config_store_t *store;
  jd_broker_core_t *core;
  jd_target_client_t *client;
  jd_node_t *node;
  jd_counters_t *counters;
} jd_broker_targets_options_t;

jd_broker_targets_t *jd_broker_targets_new (const jd_broker_targets_options_t *options);
void jd_broker_targets_free (jd_broker_targets_t *targets);

/* Applies the current service and host records. */
void jd_broker_targets_reload (jd_broker_targets_t *targets, int64_t now_us);
/* Renews the ownership of every target and probes the owned ones that are due for it. */
void jd_broker_targets_tick (jd_broker_targets_t *targets, int64_t now_us);
int64_t jd_broker_targets_next_tick_us (const jd_broker_targets_t *targets);
/* Applies the result of a health probe; health is NULL if the probe failed. */
void jd_broker_targets_on_health (jd_broker_targets_t *targets, const char *target,
                                  const jd_target_health_t *health, int64_t now_us);
uint32_t jd_broker_targets_owned_count (const jd_broker_targets_t *targets);
