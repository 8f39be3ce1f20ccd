#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Admissions of one organisation at all processes, and the bounds that they must keep. */
typedef struct jd_rate_history
{
  GArray *admissions; /* int64_t: simulated time in microseconds. */
  GArray *bounds;     /* jd_rate_bound_t in ascending order of from_us. */
} jd_rate_history_t;

typedef struct jd_rate_bound
{
  int64_t from_us;
  int64_t microtokens_per_s; /* Microtokens per second. */
  int64_t burst_microtokens; /* Microtokens. */
} jd_rate_bound_t;

typedef struct jd_rate_check_result
{
  bool is_within_bound;
  int64_t first_violation_us;     /* Time of the first admission over the bound. */
  int64_t max_excess_microtokens; /* Microtokens. */
} jd_rate_check_result_t;

void jd_rate_history_init (jd_rate_history_t *history);
void jd_rate_history_clear (jd_rate_history_t *history);
void jd_rate_history_add_bound (jd_rate_history_t *history, jd_rate_bound_t bound);
void jd_rate_history_add (jd_rate_history_t *history, int64_t at_us);
jd_rate_check_result_t jd_rate_history_check (jd_rate_history_t *history);
