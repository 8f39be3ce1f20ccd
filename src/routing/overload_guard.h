#pragma once

#include <glib.h>
#include <stdint.h>

/* Limits the queries of one service that an entry runs at a time. Brokers refuse single
 * attempts; under overload that would leave a hole in nearly every fan-out answer. The
 * guard refuses whole queries instead, before any message, so that the admitted ones
 * are complete. The limit grows slowly while there is no sign of overload and falls by a
 * fraction on a sign. All zero is a guard without a limit so far. */
typedef struct jd_overload_guard
{
  double limit; /* 0: not set, because no overload was seen. */
  uint32_t running;
  int64_t adapted_us;
  double overload; /* Worst since then. */
  uint64_t refused;
} jd_overload_guard_t;

/* Returns FALSE when a new query must be refused; else counts it in. */
gboolean jd_overload_guard_enter (jd_overload_guard_t *guard);
/* Counts a query out. overload is the fraction of its attempts that were refused for
 * load or waited too long, time_us is how long it ran. */
void jd_overload_guard_leave (jd_overload_guard_t *guard, double overload,
                              int64_t time_us, int64_t now_us);
