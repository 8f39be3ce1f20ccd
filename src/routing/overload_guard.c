#include "routing/overload_guard.h"

/* Overload of a fraction x of the attempts multiplies the limit by LOWER_FACTOR -
 * LOWER_SEVERE * x: by 0.92 at few attempts, by 0.5 at all of them, so that a sudden
 * overload ends within a few query durations. */
#define LOWER_FACTOR 0.92
#define LOWER_SEVERE 0.42

/* Minimum fraction of overloaded attempts of a query that counts as overload, so that one
 * busy or cold target does not limit the whole service. */
#define MIN_OVERLOAD 0.1

/* One query duration without overload raises the limit by this factor. With overload in
 * about one of six query durations the limit stays level. */
#define RAISE_FACTOR 1.02

/* Lowest limit, in concurrent queries. */
#define MIN_LIMIT 2.0

/* Above this limit the overload is over, and the guard removes the limit. */
#define NO_LIMIT_ABOVE 4096.0

/* Admits a query and returns TRUE, or returns FALSE if the limit is reached. */
gboolean
jd_overload_guard_enter (jd_overload_guard_t *guard)
{
  if (guard->limit > 0 && guard->running >= guard->limit)
    {
      guard->refused++;
      return FALSE;
    }
  guard->running++;
  return TRUE;
}

/* Handles the end of a query and adapts the limit, at most once per query duration: the
 * queries that end next started under the old limit and observed the same load. The limit
 * is raised only if at least 80% of it is in use, because otherwise nothing shows that
 * the targets could serve more. */
void
jd_overload_guard_leave (jd_overload_guard_t *guard, double overload, int64_t time_us,
                         int64_t now_us)
{
  uint32_t running = guard->running--;
  guard->max_overload = MAX (guard->max_overload, overload);
  gboolean overloaded = guard->max_overload >= MIN_OVERLOAD;
  if (now_us - guard->limit_changed_us < time_us || (guard->limit <= 0 && !overloaded))
    return;
  double factor = LOWER_FACTOR - LOWER_SEVERE * MIN (1.0, guard->max_overload);
  if (overloaded)
    guard->limit = MAX (MIN_LIMIT, factor * (guard->limit > 0 ? guard->limit : running));
  else if (running + 1 >= 0.8 * guard->limit)
    guard->limit *= RAISE_FACTOR;
  if (guard->limit > NO_LIMIT_ABOVE)
    guard->limit = 0;
  guard->limit_changed_us = now_us;
  guard->max_overload = 0;
}
