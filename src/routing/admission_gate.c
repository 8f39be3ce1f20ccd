#include "routing/admission_gate.h"

#include <glib.h>

#include "base/clock.h"

/* A queue is long if its waiting time exceeds this share of the latency objective: with
 * the service time and a hedge, a request at the end of the queue misses the objective.
 */
#define LONG_QUEUE_SHARE 0.5
/* Paused, slow or lost targets have long queues too, but they are few and the choice of
 * targets avoids them. Overload is assumed only above this share of answers from targets
 * with a long queue. */
#define OVERLOAD_ANSWER_SHARE 0.25
/* An answer takes 15 to 100 ms under load, so an update shows its effect only later. */
#define UPDATE_INTERVAL_US (100 * JD_US_PER_MS)
#define UPDATE_ANSWERS_MIN 10
/* Largest relative decrease of the admitted share in one update, and its absolute
 * increase in an update without overload. */
#define ADMITTED_DECREASE_MAX 0.4
#define ADMITTED_INCREASE 0.04
#define REJECTED_SHARE_MAX 0.95
/* Without an update for this long the load is unknown, and all requests are admitted. */
#define LOAD_TTL_US JD_US_PER_S
/* Weight of a new service time in the smoothed one. */
#define SERVICE_SMOOTHING 0.05

/* Updates the share of rejected requests from the answers since the last update. */
static void
update_rejected_share (jd_admission_gate_t *gate, int64_t now_us)
{
  double long_queue_share = (double)gate->long_queue_answers / gate->answers;
  double admitted_share = 1.0 - gate->rejected_share;
  if (long_queue_share > OVERLOAD_ANSWER_SHARE)
    admitted_share *= 1.0 - ADMITTED_DECREASE_MAX *
                                (long_queue_share - OVERLOAD_ANSWER_SHARE) /
                                (1.0 - OVERLOAD_ANSWER_SHARE);
  else
    admitted_share += ADMITTED_INCREASE;
  gate->rejected_share = CLAMP (1.0 - admitted_share, 0.0, REJECTED_SHARE_MAX);
  gate->answers = gate->long_queue_answers = 0;
  gate->share_updated_us = now_us;
}

/* Returns the share of requests to reject, 0 to 1; 0 while the load is unknown. */
double
jd_admission_gate_share (const jd_admission_gate_t *gate, int64_t now_us)
{
  return now_us - gate->share_updated_us > LOAD_TTL_US ? 0.0 : gate->rejected_share;
}

/* Returns TRUE if the next request is admitted when the given share of requests is to be
 * rejected. Rejections are spread evenly over the requests. */
bool
jd_admission_gate_admits (jd_admission_gate_t *gate, double rejected_share)
{
  if (rejected_share <= 0.0)
    {
      gate->rejection_credit = 0.0;
      return true;
    }
  gate->rejection_credit += MIN (rejected_share, REJECTED_SHARE_MAX);
  if (gate->rejection_credit < 1.0)
    return true;
  gate->rejection_credit -= 1.0;
  return false;
}

/* Updates the gate from an answer, including one that rejects the request for load. */
void
jd_admission_gate_record (jd_admission_gate_t *gate, const jd_admission_sample_t *sample,
                          int64_t now_us)
{
  double slots = MAX (sample->slots, 1);
  if (now_us - gate->share_updated_us > LOAD_TTL_US)
    {
      gate->rejected_share = 0.0;
      gate->answers = gate->long_queue_answers = 0;
      gate->share_updated_us = now_us;
    }
  if (sample->queue_length == 0)
    gate->service_us += (gate->service_us > 0.0 ? SERVICE_SMOOTHING : 1.0) *
                        ((double)sample->elapsed_us - gate->service_us);
  /* A faulty target has a long queue while another one has a short queue. */
  double queue_us =
      gate->service_us * MIN (sample->queue_length, sample->shortest_other_queue) / slots;
  gate->answers++;
  gate->long_queue_answers += queue_us > LONG_QUEUE_SHARE * (double)sample->objective_us;
  if (gate->answers >= UPDATE_ANSWERS_MIN &&
      now_us - gate->share_updated_us >= UPDATE_INTERVAL_US)
    update_rejected_share (gate, now_us);
}
