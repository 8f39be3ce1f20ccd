#include "routing/overload_guard.h"

/* Signs of overload lower the limit by this factor when few attempts of a query showed
 * them, and by up to half when all did, so that a sudden overload ends in some query
 * times. */
#define LOWER_FACTOR 0.92
#define LOWER_SEVERE 0.42

/* One busy or cold target must not limit the whole service: at least this fraction of
 * the attempts of a query must show overload. */
#define MIN_OVERLOAD 0.1

/* The time of one query without a sign raises the limit by this factor: signs in about
 * one of six such times keep it level. */
#define RAISE_FACTOR 1.02

/* The guard never limits an entry to fewer queries. */
#define MIN_LIMIT 2.0

/* Above this the limit is taken away: the overload is over. */
#define FORGET_LIMIT 4096.0

/* Counts a query in, unless the limit is reached. */
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

/* Counts a query out and adapts the limit, at most once in the time of one query: the
 * queries that end next began under the old limit and show the same load. It is raised
 * only while it is in use, since otherwise nothing shows that the targets could take
 * more. */
void
jd_overload_guard_leave (jd_overload_guard_t *guard, double overload, int64_t time_us,
                         int64_t now_us)
{
  uint32_t running = guard->running--;
  guard->overload = MAX (guard->overload, overload);
  gboolean overloaded = guard->overload >= MIN_OVERLOAD;
  if (now_us - guard->adapted_us < time_us || (guard->limit <= 0 && !overloaded))
    return;
  double factor = LOWER_FACTOR - LOWER_SEVERE * MIN (1.0, guard->overload);
  if (overloaded)
    guard->limit = MAX (MIN_LIMIT, factor * (guard->limit > 0 ? guard->limit : running));
  else if (running + 1 >= 0.8 * guard->limit)
    guard->limit *= RAISE_FACTOR;
  if (guard->limit > FORGET_LIMIT)
    guard->limit = 0;
  guard->adapted_us = now_us;
  guard->overload = 0;
}
