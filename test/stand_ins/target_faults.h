#pragma once

#include "stand_ins/target_defs.h"

/* Answers requests to /faults and /executions. Returns FALSE for other requests, which
 * stay unanswered. */
gboolean jd_target_handle_test_request (jd_target_t *target, jd_http_request_t *request);
