#include "routing/replica_choice.h"

#include "base/clock.h"

/* A load report tells little once its requests have finished. */
#define REPORT_LIFE_US (150 * JD_US_PER_MS)
/* A running attempt this many times older than usual marks a paused target. */
#define STALL_FACTOR 3
#define STALL_MIN_US (20 * JD_US_PER_MS)
/* What a paused target is expected to need on top; sites state pauses of 120 and 150 ms.
 */
#define STALL_COST_US (100 * JD_US_PER_MS)
/* Opening a connection takes up to 6 ms on these sites. */
#define CONNECT_COST_US (6 * JD_US_PER_MS)
/* Zones are up to 1.4 ms apart, and traffic between them has a price. */
#define FAR_COST_US (3 * JD_US_PER_MS)
/* A replica beyond this host's share of connections is asked when the others are much
 * worse; its target may refuse the connection. */
#define BEYOND_SHARE_COST_US (25 * JD_US_PER_MS)
/* What a failed attempt costs: noticing it and asking another target. */
#define FAILURE_COST_US (80 * JD_US_PER_MS)
#define COLD_FACTOR 1.6
/* Ties are broken within this span. */
#define TIE_SPAN_US 256

/* Estimates how many requests the replica has, from its last report and from this
 * host's own attempts since. */
static double
estimate_busy (const jd_replica_t *replica, int64_t now_us)
{
  double busy = replica->in_flight;
  int64_t age_us = now_us - replica->reported_at_us;
  if (replica->reported_at_us == 0 || age_us >= REPORT_LIFE_US)
    return busy;
  double others = (double)replica->reported_busy - (double)replica->own_at_report;
  if (others > 0.0)
    busy += others * (1.0 - (double)age_us / (double)REPORT_LIFE_US);
  return busy;
}

/* Returns how long an attempt is expected to take at a replica, with the costs of
 * failures and distance expressed in microseconds. */
int64_t
jd_replica_expected_us (const jd_replica_t *replica, const jd_replica_need_t *need,
                        int64_t now_us)
{
  int64_t usual_us = need->usual_us;
  double service_us = (double)usual_us * jd_replica_slowness (replica, now_us);
  if (replica->cold_until_us > now_us)
    service_us *= COLD_FACTOR;
  double slots = MAX (replica->slots, 1);
  double busy = estimate_busy (replica, now_us);
  double cost_us = service_us;
  if (busy + 1.0 > slots)
    cost_us += service_us * (busy + 1.0 - slots) / slots;
  else
    cost_us += service_us * 0.1 * busy / slots; /* Prefers the emptier of two. */
  cost_us += replica->failure_share * (double)FAILURE_COST_US;
  if (replica->oldest_sent_us > 0 &&
      now_us - replica->oldest_sent_us > MAX (STALL_MIN_US, STALL_FACTOR * usual_us))
    cost_us += (double)STALL_COST_US;
  if (replica->idle_connections == 0)
    cost_us += (double)CONNECT_COST_US;
  if (!replica->in_share)
    cost_us += (double)BEYOND_SHARE_COST_US;
  if (!replica->local_zone)
    cost_us += (double)FAR_COST_US;
  return (int64_t)cost_us;
}

/* Returns how many requests wait at a replica as it last told; 0 if that is not known or
 * too old. */
uint32_t
jd_replica_waiting (const jd_replica_t *replica, int64_t now_us)
{
  if (replica->reported_at_us == 0 || now_us - replica->reported_at_us >= REPORT_LIFE_US)
    return 0;
  return replica->reported_busy - MIN (replica->reported_busy, replica->slots);
}

/* Returns how many requests wait at the best of the other replicas of a replica's
 * service; UINT32_MAX when there is no other to use. */
uint32_t
jd_replica_shortest_queue (const jd_replica_t *replica, int64_t now_us)
{
  uint32_t shortest = UINT32_MAX;
  for (guint i = 0; i < replica->pool->replicas->len; i++)
    {
      const jd_replica_t *other = replica->pool->replicas->pdata[i];
      if (other != replica && jd_replica_is_usable (other, now_us))
        shortest = MIN (shortest, jd_replica_waiting (other, now_us));
    }
  return shortest;
}

/* TRUE when one more request is expected to run at once. */
bool
jd_replica_has_room (const jd_replica_t *replica, int64_t now_us)
{
  return estimate_busy (replica, now_us) + 1.0 <= (double)MAX (replica->slots, 1);
}

/* TRUE when the attempt was made at this replica before. */
static bool
was_tried (const jd_replica_need_t *need, const jd_replica_t *replica)
{
  for (uint32_t i = 0; i < need->tried_count; i++)
    {
      if (need->tried[i] == replica)
        return true;
    }
  return false;
}

/* TRUE when a cold replica gets nothing more from this host for now. */
static bool
is_cold_and_full (const jd_replica_t *replica, int64_t now_us)
{
  return replica->cold_until_us > now_us && replica->pool->cold_per_s > 0.0 &&
         !jd_cold_share_allows (&replica->cold, now_us);
}

/* Returns the cheapest untried replica among those in use or, with ejected, among those
 * left out for failed answers as well; NULL when there is none. */
static jd_replica_t *
choose_among (const jd_replica_pool_t *pool, const jd_replica_need_t *need, bool ejected,
              int64_t now_us)
{
  jd_replica_t *best = NULL;
  int64_t best_us = INT64_MAX;
  for (guint i = 0; i < pool->replicas->len; i++)
    {
      jd_replica_t *replica = pool->replicas->pdata[i];
      int64_t at_us = ejected && !replica->unreachable ? INT64_MAX : now_us;
      if (!jd_replica_is_usable (replica, at_us) || was_tried (need, replica) ||
          is_cold_and_full (replica, now_us))
        continue;
      uint32_t tie = (need->salt + i * 97U) % TIE_SPAN_US;
      int64_t cost_us = jd_replica_expected_us (replica, need, now_us) + tie;
      if (cost_us < best_us)
        {
          best_us = cost_us;
          best = replica;
        }
    }
  return best;
}

/* Returns the untried usable replica that is expected to answer first, or NULL. One that
 * was left out for failed answers is better than none; an unreachable one is not. */
jd_replica_t *
jd_replica_choose (const jd_replica_pool_t *pool, const jd_replica_need_t *need,
                   int64_t now_us)
{
  jd_replica_t *best = choose_among (pool, need, false, now_us);
  return best ? best : choose_among (pool, need, true, now_us);
}
