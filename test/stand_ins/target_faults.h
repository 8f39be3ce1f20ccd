#pragma once

#include "stand_ins/target_defs.h"

/* Serves /faults and /executions; returns FALSE for other paths. */
gboolean jd_target_handle_faults (jd_target_t *target, jd_http_request_t *request);
