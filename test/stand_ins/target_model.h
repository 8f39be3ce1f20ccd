#pragma once

#include "stand_ins/target_defs.h"

/* Slots, queue, cold start and faults of one target. The caller of each function holds
 * the target's lock, except where stated. */

/* Submits a job, whose reference passes to the target, and answers its request at once or
 * later. Acquires the lock itself. */
void jd_target_submit (jd_target_job_t *job, gboolean new_connection);
/* Answers a job that has not ended with 499 and ends it. Returns FALSE if there is no job
 * with this request id. */
gboolean jd_target_cancel (jd_target_t *target, const char *request_id);
void jd_target_begin_cold_start (jd_target_t *target, int64_t now_us);
void jd_target_end_cold_start (jd_target_t *target);
/* Simulates a restart of the process: new boot id, uptime 0, and a cold start if the
 * conditions have one. Jobs in the target continue. */
void jd_target_restart (jd_target_t *target, int64_t now_us);
gboolean jd_target_is_cold (const jd_target_t *target, int64_t now_us);
jd_target_report_t jd_target_current_report (const jd_target_t *target, int64_t now_us);
/* Stores the current state for delayed reports. */
void jd_target_record_report (jd_target_t *target, int64_t now_us);
/* Returns the report that clients get now: the current state, or the one report_lag_ms
 * ago. */
jd_target_report_t jd_target_visible_report (jd_target_t *target, int64_t now_us);
