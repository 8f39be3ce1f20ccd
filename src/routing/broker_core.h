#pragma once

#include "routing/broker_defs.h"

/* The broker's decisions: which work starts at which target and when. A pure state
 * machine; all calls come from one thread with a time that never goes back. Actions go
 * out through the callbacks; outcomes are collected and sent by jd_broker_core_flush, so
 * that outcomes of one query that end in one round of the event loop share a message. */
typedef struct jd_broker_core jd_broker_core_t;

jd_broker_settings_t jd_broker_settings_default (void);
jd_broker_core_t *jd_broker_core_new (const jd_broker_settings_t *settings,
                                      const jd_broker_callbacks_t *callbacks);
void jd_broker_core_free (jd_broker_core_t *core);

/* Adds a published target or changes its limits. It is not owned at first. */
void jd_broker_core_set_target (jd_broker_core_t *core, const char *target,
                                uint32_t slots, uint32_t connections, int64_t now_us);
/* A target that is no longer published or is leaving gets no new work. */
void jd_broker_core_set_leaving (jd_broker_core_t *core, const char *target,
                                 gboolean leaving, int64_t now_us);
/* Ownership of a target until a time of the own clock, which ends by itself. */
void jd_broker_core_on_owned (jd_broker_core_t *core, const char *target, gboolean owned,
                              int64_t valid_until_us, int64_t now_us);
void jd_broker_core_on_health (jd_broker_core_t *core, const char *target,
                               const jd_target_health_t *health, int64_t now_us);

/* Takes the contents of the work; entry identifies the sending process. */
void jd_broker_core_on_work (jd_broker_core_t *core, uint64_t entry, jd_work_t *work,
                             int64_t now_us);
void jd_broker_core_on_cancel (jd_broker_core_t *core, uint64_t entry,
                               const uint64_t *attempt_ids, uint32_t count,
                               int64_t now_us);
/* TRUE when the first byte of an attempt may be written now. On FALSE the core has
 * ended the attempt as not run, and the caller forgets it. */
gboolean jd_broker_core_may_write (jd_broker_core_t *core, uint64_t handle,
                                   int64_t now_us);
/* The end of an attempt at the target; takes the hits. */
void jd_broker_core_on_reply (jd_broker_core_t *core, uint64_t handle,
                              jd_target_reply_t *reply, int64_t now_us);

/* Ends what is overdue and starts what may start. Call at jd_broker_core_next_wake_us. */
void jd_broker_core_tick (jd_broker_core_t *core, int64_t now_us);
/* Sends the collected outcomes. Call at the end of each round of the event loop. */
void jd_broker_core_flush (jd_broker_core_t *core, int64_t now_us);
int64_t jd_broker_core_next_wake_us (const jd_broker_core_t *core, int64_t now_us);

/* Appends a jd_target_status_t of each owned target to the array. */
void jd_broker_core_target_states (const jd_broker_core_t *core, int64_t now_us,
                                   GArray *states);
/* Attempts that are queued or running; 0 when a draining broker may exit. */
uint32_t jd_broker_core_open_count (const jd_broker_core_t *core);
const jd_broker_counts_t *jd_broker_core_counts (const jd_broker_core_t *core);
