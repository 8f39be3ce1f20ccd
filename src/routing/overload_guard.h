#pragma once

#include <glib.h>
#include <stdint.h>

/* Limits the concurrent queries of one service at an entry. Brokers refuse single
 * attempts, which under overload would leave a shard missing in nearly every fan-out
 * answer. The guard refuses whole queries instead, before any message is sent, so that
 * the admitted ones are complete. The limit rises slowly without overload and falls by a
 * fraction on overload. A zeroed struct is a guard without a limit. */
typedef struct jd_overload_guard
{
  double limit; /* 0: no limit, because no overload was observed. */
  uint32_t running;
  int64_t limit_changed_us;
  double max_overload; /* Largest value since limit_changed_us. */
  uint64_t refused;
} jd_overload_guard_t;

/* Returns FALSE if a new query must be refused, else adds it to the running queries. */
gboolean jd_overload_guard_enter (jd_overload_guard_t *guard);
/* Handles the end of a query. overload is the fraction of its attempts that were refused
 * for load or waited too long, time_us is how long the query ran. */
void jd_overload_guard_leave (jd_overload_guard_t *guard, double overload,
                              int64_t time_us, int64_t now_us);
