#pragma once

#include "stand_ins/target_defs.h"

/* Replies of a target; all of them need the target's lock. */

/* Does the work of a job and sends its result. */
void jd_target_reply_work (jd_target_job_t *job);
/* Answers a job that did not run. */
void jd_target_reply_refusal (jd_target_job_t *job, uint32_t status, const char *reason);
/* Answers a request outside of the job queue; frees the body. */
void jd_target_reply_json (jd_target_t *target, jd_http_request_t *request,
                           uint32_t status, json_t *body);
