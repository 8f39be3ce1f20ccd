#pragma once

#include "routing/query_defs.h"

/* The decisions of an entry: it chooses snapshots and replicas, sends hedges, merges
 * outcomes and answers requests. A pure state machine: all calls come from one thread,
 * and now_us never decreases. Actions go out through the callbacks, which must not call
 * back into the core. */
typedef struct jd_entry_core jd_entry_core_t;

jd_entry_settings_t jd_entry_settings_default (const char *zone);
/* Query and attempt ids count up from first_id; its high bits must be random, so that
 * ids differ between incarnations. */
jd_entry_core_t *jd_entry_core_new (const jd_entry_settings_t *settings,
                                    const jd_entry_callbacks_t *callbacks, jd_rng_t rng,
                                    uint64_t first_id);
/* Running queries end without an answer. */
void jd_entry_core_free (jd_entry_core_t *core);

/* Replaces the record of a service; running queries keep their shard map. */
void jd_entry_core_on_service (jd_entry_core_t *core, const jd_service_record_t *record);
void jd_entry_core_on_zone_state (jd_entry_core_t *core, const char *zone,
                                  gboolean drained, int64_t now_us);
void jd_entry_core_set_leaving (jd_entry_core_t *core, const char *target,
                                gboolean leaving);
/* Updates the clock of a broker from hello_ack; work_result and target_state carry the
 * clock as well. */
void jd_entry_core_on_broker_clock (jd_entry_core_t *core, const char *broker,
                                    int64_t broker_clock_us, int64_t now_us);
/* The list must name all targets that the broker owns. */
void jd_entry_core_on_target_state (jd_entry_core_t *core, const char *broker,
                                    int64_t broker_clock_us,
                                    const jd_target_status_t *list, uint32_t count,
                                    int64_t now_us);
/* Handles a closed connection to a broker or a new incarnation of it. */
void jd_entry_core_on_broker_lost (jd_entry_core_t *core, const char *broker,
                                   int64_t now_us);

/* Starts a request and returns its query id. The finish callback delivers the answer,
 * possibly before this function returns. */
uint64_t jd_entry_core_submit (jd_entry_core_t *core, const jd_request_t *request,
                               int64_t now_us);
/* Stops a request, for example because its key was revoked or its caller disconnected.
 * An edit that was handed over ends with its outcome, or at its deadline. */
void jd_entry_core_cancel (jd_entry_core_t *core, uint64_t query_id,
                           jd_result_code_t code, int64_t now_us);
/* Handles the outcomes of a message; hits that are used move out of the result. */
void jd_entry_core_on_work_result (jd_entry_core_t *core, const char *broker,
                                   jd_work_result_t *result, int64_t now_us);

/* Handles all due timers. Call it at jd_entry_core_next_wake_us at the latest. */
void jd_entry_core_tick (jd_entry_core_t *core, int64_t now_us);
int64_t jd_entry_core_next_wake_us (const jd_entry_core_t *core); /* INT64_MAX: none. */

/* Returns the number of requests without an answer. A draining entry may exit when it is
 * 0. */
uint32_t jd_entry_core_open_count (const jd_entry_core_t *core);
const jd_entry_counts_t *jd_entry_core_counts (const jd_entry_core_t *core);
/* Returns the text for /explain: the snapshot and the replicas that a search would use
 * now. Free it with g_free. Returns NULL for an unknown service. */
char *jd_entry_core_explain (jd_entry_core_t *core, const char *service, int64_t now_us);
/* Returns the number of first and extra attempts of a service since the start; FALSE for
 * an unknown service. */
gboolean jd_entry_core_attempt_counts (const jd_entry_core_t *core, const char *service,
                                       uint64_t *first_requests,
                                       uint64_t *extra_requests);
