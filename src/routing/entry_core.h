#pragma once

#include "routing/query_defs.h"

/* The entry's decisions: snapshot and replica choice, hedged requests, merge and
 * outcomes. A pure state machine; all calls come from one thread with a time that never
 * goes back. Actions go out through the callbacks, which must not call back into the
 * core. */
typedef struct jd_entry_core jd_entry_core_t;

jd_entry_settings_t jd_entry_settings_default (const char *zone);
/* first_id starts the query and attempt ids; take random high bits, so that ids differ
 * between incarnations. */
jd_entry_core_t *jd_entry_core_new (const jd_entry_settings_t *settings,
                                    const jd_entry_callbacks_t *callbacks, jd_rng_t rng,
                                    uint64_t first_id);
/* Running queries end without an answer. */
void jd_entry_core_free (jd_entry_core_t *core);

/* A new service record; queries that run keep their shard map. */
void jd_entry_core_on_service (jd_entry_core_t *core, const jd_service_record_t *record);
void jd_entry_core_on_zone_state (jd_entry_core_t *core, const char *zone, gboolean out,
                                  int64_t now_us);
void jd_entry_core_set_leaving (jd_entry_core_t *core, const char *target,
                                gboolean leaving);
/* The clock of a broker, from hello_ack; work_result and target_state have it too. */
void jd_entry_core_on_broker_clock (jd_entry_core_t *core, const char *broker,
                                    int64_t broker_clock_us, int64_t now_us);
/* The list names all targets that the broker owns. */
void jd_entry_core_on_target_state (jd_entry_core_t *core, const char *broker,
                                    int64_t broker_clock_us,
                                    const jd_target_status_t *list, uint32_t count,
                                    int64_t now_us);
/* The connection is gone or the broker has a new incarnation. */
void jd_entry_core_on_broker_lost (jd_entry_core_t *core, const char *broker,
                                   int64_t now_us);

/* Starts a request and returns its query id; the answer comes through finish, perhaps
 * before this returns. */
uint64_t jd_entry_core_submit (jd_entry_core_t *core, const jd_request_t *request,
                               int64_t now_us);
/* Stops a request, for example because its key was revoked or its caller has gone. An
 * edit that was handed over ends when its outcome is known, at the latest at its
 * deadline. */
void jd_entry_core_cancel (jd_entry_core_t *core, uint64_t query_id,
                           jd_result_code_t code, int64_t now_us);
/* Takes the hits of the outcomes that are used. */
void jd_entry_core_on_work_result (jd_entry_core_t *core, const char *broker,
                                   jd_work_result_t *result, int64_t now_us);

/* Acts on the time. Call at jd_entry_core_next_wake_us at the latest. */
void jd_entry_core_tick (jd_entry_core_t *core, int64_t now_us);
int64_t jd_entry_core_next_wake_us (const jd_entry_core_t *core); /* INT64_MAX: none. */

/* Requests without an answer; 0 when a draining entry may exit. */
uint32_t jd_entry_core_open_count (const jd_entry_core_t *core);
const jd_entry_counts_t *jd_entry_core_counts (const jd_entry_core_t *core);
/* Text for /explain: snapshot and replica that a search would use now. Free with
 * g_free; NULL for an unknown service. */
char *jd_entry_core_explain (jd_entry_core_t *core, const char *service, int64_t now_us);
/* First and extra requests of a service so far; FALSE for an unknown one. */
gboolean jd_entry_core_load (const jd_entry_core_t *core, const char *service,
                             uint64_t *first_requests, uint64_t *extra_requests);
