#pragma once

#include "routing/route_table.h"

/* Times in the grace period of a stopping host. */
typedef struct jd_stop_plan
{
  int64_t answer_by_us; /* All requests are answered at this time. */
  int64_t exit_by_us;   /* The process ends, with or without open connections. */
} jd_stop_plan_t;

jd_stop_plan_t jd_stop_plan_new (int64_t started_us, int64_t grace_us);
bool jd_stop_plan_may_send (const jd_stop_plan_t *plan, const jd_route_t *route,
                            int64_t deadline_us, int64_t now_us);
bool jd_stop_plan_ends_request (const jd_stop_plan_t *plan, const jd_route_t *route,
                                int64_t deadline_us, bool was_sent, int64_t now_us);
