#include "routing/replica.h"

#include <math.h>

#include "base/clock.h"
#include "base/log_event.h"

/* Weight of a new observation; about the last five count. */
#define SMOOTHING 0.25
/* Half-life of what was learned, so that a replica that gets no requests is tried again.
 */
#define MEMORY_HALF_LIFE_US (2 * JD_US_PER_S)
#define SLOWNESS_MAX 20.0
/* Failures in a row after which a replica is left out. */
#define FAILURES_TO_EJECT 3
#define EJECTION_FIRST_US (250 * JD_US_PER_MS)
#define EJECTION_MAX_US (2 * JD_US_PER_S)
/* A replica that answers this much later than usual when it is abandoned is stuck. */
#define STUCK_FACTOR 6
#define STUCK_MIN_US (200 * JD_US_PER_MS)

/* Takes one more reference. */
jd_replica_t *
jd_replica_ref (jd_replica_t *replica)
{
  replica->references++;
  return replica;
}

/* An answer that takes this many times the usual latency is poor; a failed one counts as
 * the second. */
#define POOR_FACTOR 2.5
#define FAILED_FACTOR 5.0
/* Targets pause for up to 150 ms now and then. Other hosts are told of a target after
 * poor answers to two requests that no such pause can have met both, or of one attempt
 * that took longer than a pause and STUCK_FACTOR times the usual latency: long requests
 * differ in length by more than a pause. */
#define POOR_APART_MIN_US (200 * JD_US_PER_MS)
#define POOR_APART_MAX_US (2 * JD_US_PER_S)
#define POOR_ALONE_US (250 * JD_US_PER_MS)
/* The same target is not told of again for this long. */
#define HINT_INTERVAL_US (500 * JD_US_PER_MS)

/* Gives a reference to a pool back; the last one frees it. */
void
jd_replica_pool_unref (jd_replica_pool_t *pool)
{
  if (--pool->references > 0)
    return;
  g_ptr_array_free (pool->replicas, TRUE);
  g_free (pool->service);
  g_free (pool);
}

/* Gives a reference back; the last one frees the replica. */
void
jd_replica_unref (jd_replica_t *replica)
{
  if (!replica || --replica->references > 0)
    return;
  jd_replica_pool_unref (replica->pool);
  g_free (replica->id);
  g_free (replica->zone);
  g_free (replica);
}

/* TRUE when new requests may be sent to the replica. */
bool
jd_replica_is_usable (const jd_replica_t *replica, int64_t now_us)
{
  return !replica->removed && !replica->draining && !replica->evacuated &&
         replica->ejected_until_us <= now_us;
}

/* Lets old observations fade. */
static void
fade (jd_replica_t *replica, int64_t now_us)
{
  int64_t age_us = now_us - replica->updated_us;
  replica->updated_us = now_us;
  if (age_us <= 0)
    return;
  double keep = exp2 (-(double)age_us / (double)MEMORY_HALF_LIFE_US);
  replica->slowness = 1.0 + (replica->slowness - 1.0) * keep;
  replica->failure_share *= keep;
}

/* Leaves the replica out for a while, longer each time in a row. */
static void
eject (jd_replica_t *replica, const char *cause, int64_t now_us)
{
  int64_t length_us = EJECTION_FIRST_US << MIN (replica->ejections, 3);
  length_us = MIN (length_us, EJECTION_MAX_US);
  replica->ejections++;
  replica->ejected_until_us = now_us + length_us;
  jd_log_event (G_LOG_LEVEL_INFO, "target_ejected",
                "target=%s service=%s cause=%s failures=%u for_ms=%" G_GINT64_FORMAT,
                replica->id, replica->pool->service, cause, replica->consecutive_failures,
                length_us / JD_US_PER_MS);
}

/* Returns the latency to expect of the replica relative to the usual one, from what this
 * host and others have seen. */
double
jd_replica_slowness (const jd_replica_t *replica, int64_t now_us)
{
  if (replica->told_us == 0)
    return replica->slowness;
  double keep =
      exp2 (-(double)MAX (now_us - replica->told_us, 0) / (double)MEMORY_HALF_LIFE_US);
  return MAX (replica->slowness, 1.0 + (replica->told_slowness - 1.0) * keep);
}

/* Notes a poor answer; a second one, or a very late one, is worth telling others. */
static void
note_poor (jd_replica_t *replica, double relative, int64_t elapsed_us, int64_t now_us)
{
  int64_t sent_us = now_us - elapsed_us;
  int64_t apart_us = sent_us - replica->poor_sent_us;
  bool is_second = replica->poor_sent_us > 0 && apart_us >= POOR_APART_MIN_US &&
                   apart_us <= POOR_APART_MAX_US;
  if (replica->poor_sent_us == 0 || apart_us > POOR_APART_MAX_US)
    replica->poor_sent_us = sent_us;
  bool is_enough_alone = elapsed_us >= POOR_ALONE_US && relative >= STUCK_FACTOR;
  if ((is_second || is_enough_alone) && now_us - replica->hinted_us >= HINT_INTERVAL_US)
    replica->hint = MAX (replica->hint, relative);
}

/* Notes a good answer. It overrides what others told of requests before it, and they are
 * told of it. */
static void
note_good (jd_replica_t *replica, int64_t elapsed_us, int64_t now_us)
{
  replica->good_us = now_us;
  replica->poor_sent_us = 0;
  replica->hint = 0.0;
  if (replica->told_us == 0 || now_us - elapsed_us <= replica->told_us)
    return;
  replica->told_us = 0;
  replica->hint = 1.0;
}

/* Learns from one finished attempt. usual_us is the usual latency of its kind of
 * request over all replicas, 0 while it is not known. */
void
jd_replica_observe (jd_replica_t *replica, jd_replica_outcome_t outcome,
                    int64_t elapsed_us, int64_t usual_us, int64_t now_us)
{
  fade (replica, now_us);
  double failed = 0.0;
  double relative =
      usual_us > 0 ? MIN ((double)elapsed_us / (double)usual_us, SLOWNESS_MAX) : 1.0;
  switch (outcome)
    {
    case JD_REPLICA_OK:
      replica->unreachable = false;
      replica->consecutive_failures = 0;
      replica->ejections = 0;
      replica->slowness += SMOOTHING * (relative - replica->slowness);
      break;
    case JD_REPLICA_ABANDONED:
      if (relative > replica->slowness)
        replica->slowness += SMOOTHING * (relative - replica->slowness);
      if (elapsed_us < STUCK_MIN_US || relative < STUCK_FACTOR)
        {
          if (relative >= POOR_FACTOR)
            note_poor (replica, relative, elapsed_us, now_us);
          return;
        }
      failed = 1.0;
      replica->consecutive_failures++;
      break;
    case JD_REPLICA_SHED:
      failed = 0.5; /* A full target is busy, not broken. */
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
  if (outcome == JD_REPLICA_OK && relative < POOR_FACTOR)
    note_good (replica, elapsed_us, now_us);
  else if (outcome != JD_REPLICA_SHED && outcome != JD_REPLICA_UNREACHABLE)
    note_poor (replica, MAX (relative, failed * FAILED_FACTOR), elapsed_us, now_us);
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

/* Takes the load that the replica reported with an answer. */
void
jd_replica_report (jd_replica_t *replica, uint32_t running, uint32_t waiting,
                   uint32_t slots, int64_t now_us)
{
  replica->reported_busy = running + waiting;
  replica->own_at_report = replica->in_flight;
  replica->reported_at_us = now_us;
  if (slots > 0)
    replica->slots = slots;
}
