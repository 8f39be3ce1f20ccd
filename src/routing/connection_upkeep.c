#include "routing/connection_upkeep.h"

#include <glib.h>

#include "base/clock.h"

/* Answers the load of a large fleet of which each host rarely needs each target: if all
 * hosts opened their connections at once, and again whenever targets close idle ones,
 * targets would spend their slots on connections, reach their limit and reset most of
 * them. */

/* A connection is kept for the next request of this host if one was sent, or the service
 * was named, less than this long ago. */
#define EXPECTED_REQUEST_US (30 * JD_US_PER_S)
/* A new service that no configuration names is often named some seconds later. This is
 * about the idle timeout of a target, so one connection is opened and not renewed. */
#define EXPECTED_NAMING_US (9 * JD_US_PER_S)
/* Each new connection takes a slot of the target for up to 6 ms. Connections of all hosts
 * are spread so that they take a small part of its slots. */
#define SPREAD_PER_HOST_US (10 * JD_US_PER_MS)
/* Wait after a refused connection, doubled with each further one. */
#define REFUSAL_WAIT_US (500 * JD_US_PER_MS)
#define REFUSAL_DOUBLINGS_MAX 3U

/* Returns TRUE if this host is likely to send a request to the service soon, so that
 * connections to its targets are worth keeping open. */
bool
jd_service_use_expects_requests (const jd_service_use_t *use, int64_t now_us)
{
  if (use->named_us == 0)
    return use->seen_us > 0 && now_us - use->seen_us < EXPECTED_NAMING_US;
  return now_us - MAX (use->named_us, use->last_request_us) < EXPECTED_REQUEST_US;
}

/* Returns TRUE if a connection that this host wants and does not have should be opened
 * now. The first call plans it within a time that grows with the number of hosts; draw is
 * a random number from 0 to 1. */
bool
jd_connection_upkeep_is_due (jd_connection_upkeep_t *upkeep, uint32_t hosts, double draw,
                             int64_t now_us)
{
  if (upkeep->open_at_us == 0)
    upkeep->open_at_us =
        now_us + (int64_t)(draw * (double)hosts * (double)SPREAD_PER_HOST_US);
  return now_us >= upkeep->open_at_us;
}

/* Records that a connection reached its idle timeout. The next one is due at once: the
 * times of hosts differ already, and requests should not find a gap. */
void
jd_connection_upkeep_expired (jd_connection_upkeep_t *upkeep, int64_t now_us)
{
  upkeep->open_at_us = now_us;
}

/* Records that a connection is being opened. */
void
jd_connection_upkeep_opened (jd_connection_upkeep_t *upkeep)
{
  upkeep->open_at_us = 0;
}

/* Records that a connection was refused, failed, or was closed at once, and delays the
 * next one by a random part of a wait that doubles with each refusal. */
void
jd_connection_upkeep_refused (jd_connection_upkeep_t *upkeep, double draw, int64_t now_us)
{
  int64_t wait_us = REFUSAL_WAIT_US << MIN (upkeep->refusals, REFUSAL_DOUBLINGS_MAX);
  upkeep->refusals++;
  upkeep->open_at_us = now_us + wait_us / 2 + (int64_t)(draw * (double)wait_us / 2.0);
}

/* Records that a connection has served a request. */
void
jd_connection_upkeep_served (jd_connection_upkeep_t *upkeep)
{
  upkeep->refusals = 0;
}
