#include "routing/stop_plan.h"

#include "base/clock.h"

/* Time before the end of the grace period at which the process exits; it would be killed
 * at the end. */
#define EXIT_MARGIN_US (400 * JD_US_PER_MS)
/* Time before the exit for the answers to leave. A host with an eighth of a core sends
 * some hundreds of them in this time. */
#define ANSWER_TIME_US (300 * JD_US_PER_MS)
/* Shares of a short grace period that both margins may take. */
#define EXIT_MARGIN_SHARE 4
#define ANSWER_TIME_SHARE 4
/* Ratio of the time that must be left for a request that is not idempotent to that for
 * others: its caller cannot repeat it if the answer does not arrive. */
#define EDIT_TIME_FACTOR 2

/* Returns the plan of a stop that started at started_us. */
jd_stop_plan_t
jd_stop_plan_new (int64_t started_us, int64_t grace_us)
{
  int64_t exit_margin_us = MIN (EXIT_MARGIN_US, grace_us / EXIT_MARGIN_SHARE);
  int64_t answer_time_us = MIN (ANSWER_TIME_US, grace_us / ANSWER_TIME_SHARE);
  int64_t exit_by_us = started_us + grace_us - exit_margin_us;
  return (jd_stop_plan_t){ .answer_by_us = exit_by_us - answer_time_us,
                           .exit_by_us = exit_by_us };
}

/* Returns the time that a request of the route needs: its latency objective or, if that
 * is longer, the time that its attempts take at present. */
static int64_t
needed_us (const jd_route_t *route)
{
  int64_t attempt_us = route->latency ? (int64_t)route->latency->high_us : 0;
  int64_t typical_us = MAX (route->objective_us, attempt_us);
  return route->idempotent ? typical_us : EDIT_TIME_FACTOR * typical_us;
}

/* Returns TRUE if a request that was not sent to a target yet can be answered in time by
 * the stopping host, or reaches its own deadline before. Otherwise another host serves it
 * better. */
bool
jd_stop_plan_may_send (const jd_stop_plan_t *plan, const jd_route_t *route,
                       int64_t deadline_us, int64_t now_us)
{
  return MIN (deadline_us, now_us + needed_us (route)) <= plan->answer_by_us;
}

/* Returns TRUE if a running request is to be answered now: at the end of the stop or,
 * if it was not sent yet, once it can no longer be answered in time. */
bool
jd_stop_plan_ends_request (const jd_stop_plan_t *plan, const jd_route_t *route,
                           int64_t deadline_us, bool was_sent, int64_t now_us)
{
  if (now_us >= plan->answer_by_us)
    return true;
  return !was_sent && !jd_stop_plan_may_send (plan, route, deadline_us, now_us);
}
