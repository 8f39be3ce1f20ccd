#pragma once

#include <jansson.h>

#include "daemons/node.h"
#include "limits/rate_limiter.h"

/* Connects the rate limiter to the published organisations, the rate shares that this
 * entry owns, and the other entries. */
typedef struct jd_entry_limits jd_entry_limits_t;

/* Called once with the decision on a request that waited for a token. */
typedef void (*jd_limit_decided_t) (void *context, uint64_t request_id, bool admitted);

jd_entry_limits_t *jd_entry_limits_new (jd_node_t *node, jd_config_store_t *store,
                                        const char *member, const char *zone,
                                        jd_counters_t *counters,
                                        jd_limit_decided_t decided, void *context);
void jd_entry_limits_free (jd_entry_limits_t *limits);

/* Call when the fleet or the organisations record changes. */
void jd_entry_limits_reload (jd_entry_limits_t *limits);
jd_admission_t jd_entry_limits_request_token (jd_entry_limits_t *limits,
                                              uint64_t request_id,
                                              const char *organisation,
                                              int64_t deadline_us);
void jd_entry_limits_cancel (jd_entry_limits_t *limits, uint64_t request_id,
                             const char *organisation);
/* Handles token messages of peers. Returns FALSE for other messages. */
gboolean jd_entry_limits_on_message (jd_entry_limits_t *limits,
                                     const jd_message_t *message);
/* Call after each poll of the node. */
void jd_entry_limits_tick (jd_entry_limits_t *limits);
int64_t jd_entry_limits_next_wakeup_us (const jd_entry_limits_t *limits);
/* Releases all shares, for a shutdown. Returns when the tokens granted to peers have
 * expired; other entries may own the shares from then on. */
int64_t jd_entry_limits_release_shares (jd_entry_limits_t *limits);
/* Appends one JSON object per organisation for the /status route. */
void jd_entry_limits_status (jd_entry_limits_t *limits, json_t *array);
uint32_t jd_entry_limits_owned_shares (const jd_entry_limits_t *limits);
