#pragma once

#include "stand_ins/target_defs.h"

/* Slots, queue, cold start and faults of one target. All functions need the target's
 * lock, unless they say otherwise. */

/* Takes a new job and answers its request at once or later. Takes the lock itself. */
void jd_target_submit (jd_target_job_t *job, gboolean new_connection);
/* Drops a job; returns FALSE when no such request is in the target. */
gboolean jd_target_cancel (jd_target_t *target, const char *request_id);
/* Starts a new cold start. */
void jd_target_make_cold (jd_target_t *target, int64_t now_us);
void jd_target_make_warm (jd_target_t *target);
/* Acts as after a restart of the process: new boot id, cold if so configured. */
void jd_target_reboot (jd_target_t *target, int64_t now_us);
gboolean jd_target_is_cold (const jd_target_t *target, int64_t now_us);
jd_target_report_t jd_target_report_now (const jd_target_t *target, int64_t now_us);
/* Remembers the present state for lagging reports. */
void jd_target_sample (jd_target_t *target, int64_t now_us);
/* The report that is shown now, with the configured lag. */
jd_target_report_t jd_target_report_shown (jd_target_t *target, int64_t now_us);
