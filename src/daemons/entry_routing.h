#pragma once

#include <jansson.h>

#include "daemons/node.h"
#include "routing/entry_core.h"

/* Connects the entry core to the brokers and to the published records of services, zones
 * and hosts. */
typedef struct jd_entry_routing jd_entry_routing_t;

typedef void (*jd_routing_finish_t) (void *context, const jd_answer_t *answer);

typedef struct jd_entry_routing_options
{
  jd_node_t *node;
  jd_config_store_t *store;
  jd_counters_t *counters;
  const char *member;
  const char *zone;
  jd_routing_finish_t finish;
  void *context;
} jd_entry_routing_options_t;

jd_entry_routing_t *jd_entry_routing_new (const jd_entry_routing_options_t *options);
void jd_entry_routing_free (jd_entry_routing_t *routing);

/* Call when the named record has a new current version. */
void jd_entry_routing_on_record (jd_entry_routing_t *routing, const char *name);
/* Handles messages of brokers. Returns FALSE for other messages. */
gboolean jd_entry_routing_on_message (jd_entry_routing_t *routing, jd_message_t *message);
jd_entry_core_t *jd_entry_routing_core (jd_entry_routing_t *routing);
/* Call after each poll of the node. */
void jd_entry_routing_tick (jd_entry_routing_t *routing);
int64_t jd_entry_routing_next_wakeup_us (const jd_entry_routing_t *routing);
/* Returns TRUE once any broker has reported targets. */
gboolean jd_entry_routing_has_targets (const jd_entry_routing_t *routing);
/* Appends one JSON object per broker, with an array of its targets, for /status. */
void jd_entry_routing_status (jd_entry_routing_t *routing, json_t *array);
