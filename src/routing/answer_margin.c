#include "routing/answer_margin.h"

#include <glib.h>

#include "base/clock.h"

/* Assumed while the round trip is unknown; callers on the stated sites are up to 3 ms
 * away. */
#define UNKNOWN_ROUND_TRIP_US (6 * JD_US_PER_MS)
/* A greater measured round trip includes a wait that the answer will not have. */
#define ROUND_TRIP_MAX_US (50 * JD_US_PER_MS)
/* Time beside the path: timers of a host with an eighth of a core are up to 3 ms late, a
 * request waits as long to be read, and the 4 kB of an answer with many signatures take
 * 2 ms on a link of 20 Mbit/s. */
#define SEND_US (8 * JD_US_PER_MS)

/* Returns how long before the end of the latency objective, counted from the arrival of
 * the request at this host, an answer has to leave so that its caller receives it within
 * the objective. The caller's time starts when it sends the request or, for a new
 * connection, when it opens it: one round trip earlier. */
int64_t
jd_answer_margin_us (const jd_caller_path_t *path)
{
  int64_t round_trip_us = path->round_trip_us > 0
                              ? MIN (path->round_trip_us, ROUND_TRIP_MAX_US)
                              : UNKNOWN_ROUND_TRIP_US;
  return (path->is_new ? 2 : 1) * round_trip_us + SEND_US;
}
