#include "support/rate_history.h"

#include "base/clock.h"
#include "limits/token_defs.h"

void
jd_rate_history_init (jd_rate_history_t *history)
{
  history->admissions = g_array_new (FALSE, FALSE, sizeof (int64_t));
  history->bounds = g_array_new (FALSE, FALSE, sizeof (jd_rate_bound_t));
}

void
jd_rate_history_clear (jd_rate_history_t *history)
{
  g_array_unref (history->admissions);
  g_array_unref (history->bounds);
}

/* Adds a bound that applies from bound.from_us on; times must not decrease. The first
 * bound must be set before a check. */
void
jd_rate_history_add_bound (jd_rate_history_t *history, jd_rate_bound_t bound)
{
  g_array_append_val (history->bounds, bound);
}

/* Admissions may be added in any order. */
void
jd_rate_history_add (jd_rate_history_t *history, int64_t at_us)
{
  g_array_append_val (history->admissions, at_us);
}

/* Sorts times in ascending order. */
static gint
compare_times (gconstpointer a, gconstpointer b)
{
  int64_t left = *(const int64_t *)a;
  int64_t right = *(const int64_t *)b;
  return (left > right) - (left < right);
}

/* Returns the level of the virtual token bucket after elapsed_us, in millionths of a
 * microtoken, which avoids rounding. */
static __int128
refill (__int128 level, const jd_rate_bound_t *bound, int64_t elapsed_us)
{
  __int128 capacity = (__int128)bound->burst_microtokens * JD_US_PER_S;
  level += (__int128)bound->microtokens_per_s * elapsed_us;
  return level < capacity ? level : capacity;
}

/* Checks all time windows in one pass over the sorted admissions: the admissions of every
 * window are within rate * window + burst exactly if a token bucket of that rate and
 * burst, full at the start, never goes below zero. */
jd_rate_check_result_t
jd_rate_history_check (jd_rate_history_t *history)
{
  g_array_sort (history->admissions, compare_times);
  jd_rate_check_result_t verdict = { .is_within_bound = true };
  const jd_rate_bound_t *bounds = (const jd_rate_bound_t *)(void *)history->bounds->data;
  jd_rate_bound_t bound = bounds[0];
  guint next = 1;
  __int128 level = (__int128)bound.burst_microtokens * JD_US_PER_S;
  int64_t at_us = bound.from_us;
  for (guint i = 0; i < history->admissions->len; i++)
    {
      int64_t admitted_us = g_array_index (history->admissions, int64_t, i);
      for (; next < history->bounds->len && bounds[next].from_us <= admitted_us; next++)
        {
          level = refill (level, &bound, bounds[next].from_us - at_us);
          at_us = bounds[next].from_us;
          bound = bounds[next];
        }
      level = refill (level, &bound, admitted_us - at_us);
      at_us = admitted_us;
      level -= (__int128)JD_MICROTOKENS * JD_US_PER_S;
      int64_t excess = (int64_t)(-level / JD_US_PER_S);
      if (level >= 0)
        continue;
      if (verdict.is_within_bound)
        verdict.first_violation_us = admitted_us;
      verdict.is_within_bound = false;
      verdict.max_excess_microtokens = MAX (verdict.max_excess_microtokens, excess);
    }
  return verdict;
}
