#pragma once

#include "stand_ins/target_defs.h"

/* Replies of a target. The caller of each function holds the target's lock. */

/* Runs the request of a job and sends the result, or injects the faults of replies. */
void jd_target_run_and_reply (jd_target_job_t *job);
/* Answers a job that did not run with an error status and a reason. */
void jd_target_reply_refusal (jd_target_job_t *job, uint32_t status, const char *reason);
/* Answers a request that has no job. Consumes the reference to the body. */
void jd_target_reply_json (jd_target_t *target, jd_http_request_t *request,
                           uint32_t status, json_t *body);
