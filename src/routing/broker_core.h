#pragma once

#include "routing/broker_defs.h"

/* State machine of a broker: it decides when each attempt starts at its target. It does
 * no I/O: it acts through the callbacks. All calls come from one thread, and now_us never
 * decreases. Outcomes are collected until jd_broker_core_flush, so that outcomes of one
 * query that become ready in one iteration of the event loop share a message. */
typedef struct jd_broker_core jd_broker_core_t;

jd_broker_settings_t jd_broker_settings_default (void);
jd_broker_core_t *jd_broker_core_new (const jd_broker_settings_t *settings,
                                      const jd_broker_callbacks_t *callbacks);
void jd_broker_core_free (jd_broker_core_t *core);

/* Adds a published target, which is not owned yet, or changes its limits. */
void jd_broker_core_set_target (jd_broker_core_t *core, const char *target,
                                uint32_t slots, uint32_t connections, int64_t now_us);
/* Sets whether a target is leaving or no longer published; it then gets no new work. */
void jd_broker_core_set_leaving (jd_broker_core_t *core, const char *target,
                                 gboolean leaving, int64_t now_us);
/* Sets the ownership of a target. It expires at owned_until_us, a time of the clock of
 * this process, without a further call. */
void jd_broker_core_on_owned (jd_broker_core_t *core, const char *target, gboolean owned,
                              int64_t owned_until_us, int64_t now_us);
void jd_broker_core_on_health (jd_broker_core_t *core, const char *target,
                               const jd_target_health_t *health, int64_t now_us);

/* Moves the contents out of work. entry identifies the sending process. */
void jd_broker_core_on_work (jd_broker_core_t *core, uint64_t entry, jd_work_t *work,
                             int64_t now_us);
void jd_broker_core_on_cancel (jd_broker_core_t *core, uint64_t entry,
                               const uint64_t *attempt_ids, uint32_t count,
                               int64_t now_us);
/* Returns TRUE if the first byte of an attempt may be written now. After FALSE the
 * attempt has ended as not run, and the caller must drop it. */
gboolean jd_broker_core_may_write (jd_broker_core_t *core, uint64_t handle,
                                   int64_t now_us);
/* Handles the end of an attempt at its target. Takes ownership of the hits. */
void jd_broker_core_on_reply (jd_broker_core_t *core, uint64_t handle,
                              jd_target_reply_t *reply, int64_t now_us);

/* Ends overdue attempts and starts queued ones. Must be called at
 * jd_broker_core_next_wake_us at the latest. */
void jd_broker_core_tick (jd_broker_core_t *core, int64_t now_us);
/* Sends the collected outcomes. Call at the end of each iteration of the event loop. */
void jd_broker_core_flush (jd_broker_core_t *core, int64_t now_us);
int64_t jd_broker_core_next_wake_us (const jd_broker_core_t *core, int64_t now_us);

/* Appends the jd_target_status_t of each owned target to states. */
void jd_broker_core_target_states (const jd_broker_core_t *core, int64_t now_us,
                                   GArray *states);
/* Returns how many attempts are queued or hold a slot. A draining broker may exit only
 * when this is 0. */
uint32_t jd_broker_core_open_count (const jd_broker_core_t *core);
const jd_broker_counts_t *jd_broker_core_counts (const jd_broker_core_t *core);
