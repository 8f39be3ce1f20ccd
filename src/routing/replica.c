#include "routing/replica.h"

#include <math.h>

#include "base/clock.h"
#include "base/log_event.h"

/* Weight of a new observation; the average covers about the last five. */
#define SMOOTHING 0.25
/* Half-life of observations. They decay so that a replica that gets no requests is tried
 * again. */
#define OBSERVATION_HALF_LIFE_US (2 * JD_US_PER_S)
#define LATENCY_RATIO_MAX 20.0
/* Failures in a row after which a replica is ejected. */
#define FAILURES_TO_EJECT 3
#define EJECTION_FIRST_US (250 * JD_US_PER_MS)
#define EJECTION_MAX_US (2 * JD_US_PER_S)
/* An abandoned attempt counts as a failure if it ran for this multiple of the typical
 * latency and for STUCK_MIN_US: the replica is stuck. */
#define STUCK_FACTOR 6
#define STUCK_MIN_US (200 * JD_US_PER_MS)

/* Adds a reference and returns the replica. */
jd_replica_t *
jd_replica_ref (jd_replica_t *replica)
{
  replica->references++;
  return replica;
}

/* An answer that takes POOR_FACTOR times the typical latency is poor; a failed attempt
 * counts as one of FAILED_FACTOR times the typical latency. */
#define POOR_FACTOR 2.5
#define FAILED_FACTOR 5.0
/* Targets pause for up to 150 ms now and then. A hint about a target is sent to other
 * hosts after poor answers to two requests that were sent too far apart to be delayed by
 * the same pause, or after one attempt that took longer than a pause and at least
 * STUCK_FACTOR times the typical latency: the length of long requests varies by more than
 * a pause. */
#define POOR_INTERVAL_MIN_US (200 * JD_US_PER_MS)
#define POOR_INTERVAL_MAX_US (2 * JD_US_PER_S)
#define SINGLE_POOR_MIN_US (250 * JD_US_PER_MS)
/* Minimum interval between two hints about the same target. */
#define HINT_INTERVAL_US (500 * JD_US_PER_MS)

/* Drops a reference to a pool; the last one frees it. */
void
jd_replica_pool_unref (jd_replica_pool_t *pool)
{
  if (--pool->references > 0)
    return;
  g_ptr_array_free (pool->replicas, TRUE);
  g_free (pool->service);
  g_free (pool);
}

/* Drops a reference, if replica is not NULL; the last one frees the replica. */
void
jd_replica_unref (jd_replica_t *replica)
{
  if (!replica || --replica->references > 0)
    return;
  jd_replica_pool_unref (replica->pool);
  jd_target_notice_unref (replica->notice);
  g_free (replica->id);
  g_free (replica->zone);
  g_free (replica);
}

/* Returns TRUE if the published records allow requests to the replica. */
static bool
is_published_for_use (const jd_replica_t *replica)
{
  return !replica->removed && !replica->draining && !replica->zone_drained;
}

/* Returns whether new requests may be sent to the replica, by the published records and
 * by what the target said about itself. Ejection is not taken into account. */
jd_target_access_t
jd_replica_access (const jd_replica_t *replica, int64_t now_us)
{
  if (!is_published_for_use (replica))
    return JD_TARGET_ACCESS_CLOSED;
  return jd_target_notice_access (replica->notice, replica->drain_limit_us, now_us);
}

/* Returns the time until new requests may be sent to the replica, 0 if they may now;
 * INT64_MAX if no end of the present state is known. Ejection is not taken into account.
 */
int64_t
jd_replica_open_in_us (const jd_replica_t *replica, int64_t now_us)
{
  if (!is_published_for_use (replica))
    return INT64_MAX;
  return jd_target_notice_open_in_us (replica->notice, replica->drain_limit_us, now_us);
}

/* Returns TRUE if new requests may be sent to the replica and there is no reason to avoid
 * it. */
bool
jd_replica_is_usable (const jd_replica_t *replica, int64_t now_us)
{
  return replica->ejected_until_us <= now_us &&
         jd_replica_access (replica, now_us) == JD_TARGET_ACCESS_OPEN;
}

/* Decays the observations by their age. */
static void
decay_observations (jd_replica_t *replica, int64_t now_us)
{
  int64_t age_us = now_us - replica->updated_us;
  replica->updated_us = now_us;
  if (age_us <= 0)
    return;
  double keep = exp2 (-(double)age_us / (double)OBSERVATION_HALF_LIFE_US);
  replica->latency_ratio = 1.0 + (replica->latency_ratio - 1.0) * keep;
  replica->failure_share *= keep;
}

/* Ejects the replica from the choice of targets for a time that doubles with each
 * ejection in a row, up to EJECTION_MAX_US. */
static void
eject (jd_replica_t *replica, const char *cause, int64_t now_us)
{
  int64_t duration_us = EJECTION_FIRST_US << MIN (replica->ejections, 3);
  duration_us = MIN (duration_us, EJECTION_MAX_US);
  replica->ejections++;
  replica->ejected_until_us = now_us + duration_us;
  jd_log_event (G_LOG_LEVEL_INFO, "target_ejected",
                "target=%s service=%s cause=%s failures=%u for_ms=%" G_GINT64_FORMAT,
                replica->id, replica->pool->service, cause, replica->consecutive_failures,
                duration_us / JD_US_PER_MS);
}

/* Returns the expected latency of the replica relative to the typical latency, from the
 * observations of this host and from hints of other hosts. */
double
jd_replica_latency_ratio (const jd_replica_t *replica, int64_t now_us)
{
  if (replica->hint_received_us == 0)
    return replica->latency_ratio;
  double keep = exp2 (-(double)MAX (now_us - replica->hint_received_us, 0) /
                      (double)OBSERVATION_HALF_LIFE_US);
  return MAX (replica->latency_ratio, 1.0 + (replica->hint_latency_ratio - 1.0) * keep);
}

/* Records a poor answer. A second one, or a very late one, leads to a hint for the other
 * hosts. */
static void
record_poor_answer (jd_replica_t *replica, double latency_ratio, int64_t elapsed_us,
                    int64_t now_us)
{
  int64_t sent_us = now_us - elapsed_us;
  int64_t interval_us = sent_us - replica->first_poor_sent_us;
  bool is_second = replica->first_poor_sent_us > 0 &&
                   interval_us >= POOR_INTERVAL_MIN_US &&
                   interval_us <= POOR_INTERVAL_MAX_US;
  if (replica->first_poor_sent_us == 0 || interval_us > POOR_INTERVAL_MAX_US)
    replica->first_poor_sent_us = sent_us;
  bool is_single_sufficient =
      elapsed_us >= SINGLE_POOR_MIN_US && latency_ratio >= STUCK_FACTOR;
  if ((is_second || is_single_sufficient) &&
      now_us - replica->hint_sent_us >= HINT_INTERVAL_US)
    replica->pending_hint_ratio = MAX (replica->pending_hint_ratio, latency_ratio);
}

/* Records a good answer. If its request was sent after a hint about the replica was
 * received, it invalidates the hint, and the other hosts get a hint that the replica has
 * recovered. */
static void
record_good_answer (jd_replica_t *replica, int64_t elapsed_us, int64_t now_us)
{
  replica->last_good_us = now_us;
  replica->first_poor_sent_us = 0;
  replica->pending_hint_ratio = 0.0;
  if (replica->hint_received_us == 0 || now_us - elapsed_us <= replica->hint_received_us)
    return;
  replica->hint_received_us = 0;
  replica->pending_hint_ratio = 1.0;
}

/* Updates the health of the replica from one finished attempt. typical_latency_us is
 * that of its kind of request over all replicas, 0 while it is unknown. */
void
jd_replica_observe (jd_replica_t *replica, jd_replica_outcome_t outcome,
                    int64_t elapsed_us, int64_t typical_latency_us, int64_t now_us)
{
  decay_observations (replica, now_us);
  double failed = 0.0;
  double latency_ratio =
      typical_latency_us > 0
          ? MIN ((double)elapsed_us / (double)typical_latency_us, LATENCY_RATIO_MAX)
          : 1.0;
  switch (outcome)
    {
    case JD_REPLICA_OK:
      if (replica->pool->learns_rejections)
        jd_rejection_rate_record (&replica->rejections, false, now_us);
      replica->unreachable = false;
      replica->consecutive_failures = 0;
      replica->ejections = 0;
      replica->latency_ratio += SMOOTHING * (latency_ratio - replica->latency_ratio);
      break;
    case JD_REPLICA_ABANDONED:
      if (latency_ratio > replica->latency_ratio)
        replica->latency_ratio += SMOOTHING * (latency_ratio - replica->latency_ratio);
      if (elapsed_us < STUCK_MIN_US || latency_ratio < STUCK_FACTOR)
        {
          if (latency_ratio >= POOR_FACTOR)
            record_poor_answer (replica, latency_ratio, elapsed_us, now_us);
          return;
        }
      failed = 1.0;
      replica->consecutive_failures++;
      break;
    case JD_REPLICA_PAUSED:
      return; /* Nothing was sent. */
    case JD_REPLICA_REJECTED:
      jd_rejection_rate_record (&replica->rejections, true, now_us);
      return; /* Its answers are good otherwise. */
    case JD_REPLICA_SHED:
      failed = 0.5; /* A target that sheds load is busy, not faulty. */
      break;
    case JD_REPLICA_ERROR:
    case JD_REPLICA_BROKEN:
    case JD_REPLICA_TIMED_OUT:
    case JD_REPLICA_REPLACED:
    case JD_REPLICA_UNREACHABLE:
      failed = 1.0;
      replica->consecutive_failures++;
      break;
    }
  if (outcome == JD_REPLICA_OK && latency_ratio < POOR_FACTOR)
    record_good_answer (replica, elapsed_us, now_us);
  else if (outcome != JD_REPLICA_SHED && outcome != JD_REPLICA_UNREACHABLE)
    record_poor_answer (replica, MAX (latency_ratio, failed * FAILED_FACTOR), elapsed_us,
                        now_us);
  replica->failure_share += SMOOTHING * (failed - replica->failure_share);
  if (outcome == JD_REPLICA_UNREACHABLE || outcome == JD_REPLICA_REPLACED)
    {
      replica->unreachable = true;
      eject (replica, outcome == JD_REPLICA_REPLACED ? "replaced" : "unreachable",
             now_us);
    }
  else if (replica->consecutive_failures >= FAILURES_TO_EJECT)
    eject (replica, "failures", now_us);
}

/* Records the load that the replica reported with an answer. slots 0 means unknown. */
void
jd_replica_record_load (jd_replica_t *replica, uint32_t running, uint32_t waiting,
                        uint32_t slots, int64_t now_us)
{
  replica->reported_requests = running + waiting;
  replica->own_attempts_at_report = replica->in_flight;
  replica->reported_at_us = now_us;
  if (slots > 0)
    replica->slots = slots;
}
