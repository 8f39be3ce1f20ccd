#pragma once

#include <jansson.h>

#include "daemons/node.h"
#include "limits/rate_limiter.h"

/* Connects the rate limiter to the published organisations, the owned rate shares, and
 * the other entries. */
typedef struct jd_entry_limits jd_entry_limits_t;

/* The end of a wait for tokens. */
typedef void (*jd_limit_decided_t) (void *context, uint64_t request_id, bool admitted);

jd_entry_limits_t *jd_entry_limits_new (jd_node_t *node, jd_config_store_t *store,
                                        const char *seat, const char *zone,
                                        jd_counters_t *counters,
                                        jd_limit_decided_t decided, void *context);
void jd_entry_limits_free (jd_entry_limits_t *limits);

/* Takes the fleet and the organisations in force. */
void jd_entry_limits_reload (jd_entry_limits_t *limits);
jd_admission_t jd_entry_limits_request (jd_entry_limits_t *limits, uint64_t request_id,
                                        const char *organisation, int64_t deadline_us);
void jd_entry_limits_cancel (jd_entry_limits_t *limits, uint64_t request_id,
                             const char *organisation);
/* Takes token messages. Returns FALSE for other ones. */
gboolean jd_entry_limits_on_message (jd_entry_limits_t *limits,
                                     const jd_message_t *message);
/* Call after each poll of the node. */
void jd_entry_limits_tick (jd_entry_limits_t *limits);
int64_t jd_entry_limits_next_wakeup_us (const jd_entry_limits_t *limits);
/* Gives up all shares, for a shutdown. Returns when the tokens that were sent to peers
 * have expired, so that others may own the shares. */
int64_t jd_entry_limits_release (jd_entry_limits_t *limits);
/* Appends one JSON object per organisation. */
void jd_entry_limits_status (jd_entry_limits_t *limits, json_t *array);
uint32_t jd_entry_limits_owned_shares (const jd_entry_limits_t *limits);
