#include "routing/replica_choice.h"

#include "base/clock.h"

/* A load report is outdated once its requests have finished. */
#define REPORT_TTL_US (150 * JD_US_PER_MS)
/* A target counts as paused while an attempt has run for STALL_MIN_US and for this
 * multiple of the typical latency. */
#define STALL_FACTOR 3
#define STALL_MIN_US (20 * JD_US_PER_MS)
/* Expected extra latency of a paused target; sites state pauses of 120 and 150 ms. */
#define STALL_COST_US (100 * JD_US_PER_MS)
/* Opening a connection takes up to 6 ms on these sites. */
#define CONNECT_COST_US (6 * JD_US_PER_MS)
/* Zones are up to 1.4 ms apart, and traffic between them has a price. */
#define OTHER_ZONE_COST_US (3 * JD_US_PER_MS)
/* A replica at which this host has no connection quota is used only if the others are
 * much worse, because its target may refuse the connection. */
#define NO_QUOTA_COST_US (25 * JD_US_PER_MS)
/* Time to detect a failed attempt and to send another one. */
#define FAILURE_COST_US (80 * JD_US_PER_MS)
/* Time to send another attempt after a rejection, and the worth of the extra attempt that
 * it uses up, which may be the last one of another request. */
#define REJECTION_COST_US (20 * JD_US_PER_MS)
#define COLD_FACTOR 1.6 /* Latency of a cold target relative to a warm one. */
/* A pseudo-random cost below this breaks ties. */
#define TIE_SPAN_US 256

/* Estimates how many requests the replica runs or queues, from its last load report and
 * this host's own attempts. The requests of other hosts in the report count less with its
 * age. */
static double
estimate_requests (const jd_replica_t *replica, int64_t now_us)
{
  double requests = replica->in_flight;
  int64_t age_us = now_us - replica->reported_at_us;
  if (replica->reported_at_us == 0 || age_us >= REPORT_TTL_US)
    return requests;
  double others =
      (double)replica->reported_requests - (double)replica->own_attempts_at_report;
  if (others > 0.0)
    requests += others * (1.0 - (double)age_us / (double)REPORT_TTL_US);
  return requests;
}

/* Returns the expected duration of an attempt at a replica in microseconds, including
 * the costs of failures and of distance. */
int64_t
jd_replica_expected_latency_us (const jd_replica_t *replica,
                                const jd_replica_criteria_t *criteria, int64_t now_us)
{
  int64_t typical_latency_us = criteria->typical_latency_us;
  double latency_ratio = jd_replica_latency_ratio (replica, now_us);
  double work_factor = jd_target_load_work_factor (&replica->mean_load, now_us);
  /* The latency of its answers has shown a part of its slowness already. */
  double slower = MAX (work_factor - MAX (latency_ratio, 1.0), 0.0);
  double service_us = (double)typical_latency_us * (latency_ratio + slower);
  if (replica->cold_until_us > now_us)
    service_us *= COLD_FACTOR;
  double slots = MAX (replica->slots, 1);
  double requests = estimate_requests (replica, now_us);
  double cost_us = service_us;
  if (requests + 1.0 > slots)
    cost_us += service_us * (requests + 1.0 - slots) / slots;
  else
    cost_us += service_us * 0.1 * requests / slots; /* Prefers the less loaded of two. */
  cost_us += jd_target_load_wait_us (&replica->mean_load, service_us, now_us);
  cost_us += replica->failure_share * (double)FAILURE_COST_US;
  cost_us += jd_rejection_rate_extra_attempts (
                 jd_rejection_rate_share (&replica->rejections, now_us)) *
             (double)REJECTION_COST_US;
  if (replica->oldest_sent_us > 0 &&
      now_us - replica->oldest_sent_us >
          MAX (STALL_MIN_US, STALL_FACTOR * typical_latency_us))
    cost_us += (double)STALL_COST_US;
  if (replica->idle_connections == 0)
    cost_us += (double)CONNECT_COST_US;
  if (!replica->in_connection_quota)
    cost_us += (double)NO_QUOTA_COST_US;
  if (!replica->local_zone)
    cost_us += (double)OTHER_ZONE_COST_US;
  return (int64_t)cost_us;
}

/* Returns how many requests are queued at a replica by its last load report; 0 if there
 * is none or it is outdated. */
uint32_t
jd_replica_queue_length (const jd_replica_t *replica, int64_t now_us)
{
  if (replica->reported_at_us == 0 || now_us - replica->reported_at_us >= REPORT_TTL_US)
    return 0;
  return replica->reported_requests - MIN (replica->reported_requests, replica->slots);
}

/* Returns the length of the shortest queue at the other replicas of a replica's service;
 * UINT32_MAX if none of them is usable. */
uint32_t
jd_replica_shortest_queue (const jd_replica_t *replica, int64_t now_us)
{
  uint32_t shortest = UINT32_MAX;
  for (guint i = 0; i < replica->pool->replicas->len; i++)
    {
      const jd_replica_t *other = replica->pool->replicas->pdata[i];
      if (other != replica && jd_replica_is_usable (other, now_us))
        shortest = MIN (shortest, jd_replica_queue_length (other, now_us));
    }
  return shortest;
}

/* Returns TRUE if one more request is expected to run without queueing. */
bool
jd_replica_has_free_slot (const jd_replica_t *replica, int64_t now_us)
{
  return estimate_requests (replica, now_us) + 1.0 <= (double)MAX (replica->slots, 1);
}

/* Returns TRUE if the request already had an attempt at this replica. */
static bool
was_tried (const jd_replica_criteria_t *criteria, const jd_replica_t *replica)
{
  for (uint32_t i = 0; i < criteria->tried_count; i++)
    {
      if (criteria->tried[i] == replica)
        return true;
    }
  return false;
}

/* Returns TRUE if this host may not send a request to the replica now because the replica
 * is cold. */
static bool
is_cold_and_limited (const jd_replica_t *replica, int64_t now_us)
{
  return replica->cold_until_us > now_us && replica->pool->cold_per_s > 0.0 &&
         !jd_cold_quota_has_grant (&replica->cold_quota, now_us);
}

/* Replicas to choose from. */
typedef enum jd_choice_stage
{
  STAGE_USABLE,
  STAGE_LEAVING, /* Targets that said that they are leaving, within the drain limit. */
  STAGE_EJECTED, /* Replicas that were ejected for failed answers. */
} jd_choice_stage_t;

/* Returns TRUE if a replica may be chosen at a stage. Unreachable replicas never are. */
static bool
is_candidate (const jd_replica_t *replica, jd_choice_stage_t stage, int64_t now_us)
{
  jd_target_access_t access = jd_replica_access (replica, now_us);
  bool is_ejected = replica->ejected_until_us > now_us;
  switch (stage)
    {
    case STAGE_USABLE:
      return access == JD_TARGET_ACCESS_OPEN && !is_ejected;
    case STAGE_LEAVING:
      return access == JD_TARGET_ACCESS_LAST_RESORT && !is_ejected;
    case STAGE_EJECTED:
      return access != JD_TARGET_ACCESS_CLOSED && !replica->unreachable;
    }
  return false;
}

/* Returns the untried replica of a stage with the lowest expected duration, or NULL. */
static jd_replica_t *
choose_cheapest (const jd_replica_pool_t *pool, const jd_replica_criteria_t *criteria,
                 jd_choice_stage_t stage, int64_t now_us)
{
  jd_replica_t *best = NULL;
  int64_t best_cost_us = INT64_MAX;
  for (guint i = 0; i < pool->replicas->len; i++)
    {
      jd_replica_t *replica = pool->replicas->pdata[i];
      if (!is_candidate (replica, stage, now_us) || was_tried (criteria, replica) ||
          is_cold_and_limited (replica, now_us))
        continue;
      uint32_t tie = (criteria->salt + i * 97U) % TIE_SPAN_US;
      int64_t cost_us = jd_replica_expected_latency_us (replica, criteria, now_us) + tie;
      if (cost_us < best_cost_us)
        {
          best_cost_us = cost_us;
          best = replica;
        }
    }
  return best;
}

/* Returns the untried usable replica that is expected to answer first, or NULL. Only if
 * there is none, a leaving target is chosen, and after that a replica that was ejected
 * for failed answers; an unreachable one is never chosen. */
jd_replica_t *
jd_replica_choose (const jd_replica_pool_t *pool, const jd_replica_criteria_t *criteria,
                   int64_t now_us)
{
  jd_replica_t *best = NULL;
  for (int stage = STAGE_USABLE; !best && stage <= STAGE_EJECTED; stage++)
    best = choose_cheapest (pool, criteria, (jd_choice_stage_t)stage, now_us);
  return best;
}

/* Returns how many attempts beyond the first one a request to a service needs on average,
 * because its targets reject requests although they have free slots: that of the usable
 * target that rejects the fewest. */
double
jd_replica_pool_extra_attempts (const jd_replica_pool_t *pool, int64_t now_us)
{
  double lowest_share = 1.0;
  for (guint i = 0; i < pool->replicas->len; i++)
    {
      const jd_replica_t *replica = pool->replicas->pdata[i];
      if (jd_replica_is_usable (replica, now_us))
        lowest_share =
            MIN (lowest_share, jd_rejection_rate_share (&replica->rejections, now_us));
    }
  /* Without a usable target, other limits decide. */
  return lowest_share < 1.0 ? jd_rejection_rate_extra_attempts (lowest_share) : 0.0;
}
