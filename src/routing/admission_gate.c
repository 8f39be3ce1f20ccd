#include "routing/admission_gate.h"

#include <glib.h>

#include "base/clock.h"

/* A queue is long when it takes this share of the objective: with the work itself and a
 * hedge, what waits there comes late. */
#define LONG_QUEUE_SHARE 0.5
/* Targets that pause, are slow or are lost have long queues too. They are a few, which
 * the choice of targets avoids; of overload, more than this share of answers tells. */
#define PRESSED_SHARE 0.25
/* The share is adapted this often: an answer takes 15 to 100 ms under load. */
#define ADAPT_US (100 * JD_US_PER_MS)
#define ANSWERS_MIN 10
/* Most by which the admitted share falls at a time, and by how much it rises. */
#define FALL_MAX 0.4
#define RISE 0.04
#define REJECTED_MAX 0.95
/* Without news for this long the load is not known, so all are admitted. */
#define NEWS_LIFE_US JD_US_PER_S
/* Weight of a new service time. */
#define SMOOTHING 0.05

/* Adapts the share of rejected requests to the answers since the last time. */
static void
adapt (jd_admission_gate_t *gate, int64_t now_us)
{
  double pressed = (double)gate->pressed / gate->answers;
  double admitted = 1.0 - gate->rejected_share;
  if (pressed > PRESSED_SHARE)
    admitted *= 1.0 - FALL_MAX * (pressed - PRESSED_SHARE) / (1.0 - PRESSED_SHARE);
  else
    admitted += RISE;
  gate->rejected_share = CLAMP (1.0 - admitted, 0.0, REJECTED_MAX);
  gate->answers = gate->pressed = 0;
  gate->adapted_us = now_us;
}

/* Returns the share of requests to reject; 0 while the load is not known. */
double
jd_admission_gate_share (const jd_admission_gate_t *gate, int64_t now_us)
{
  return now_us - gate->adapted_us > NEWS_LIFE_US ? 0.0 : gate->rejected_share;
}

/* Decides about a request of which a share is to be rejected. Rejections are spread
 * evenly. */
bool
jd_admission_gate_admits (jd_admission_gate_t *gate, double rejected_share)
{
  if (rejected_share <= 0.0)
    {
      gate->credit = 0.0;
      return true;
    }
  gate->credit += MIN (rejected_share, REJECTED_MAX);
  if (gate->credit < 1.0)
    return true;
  gate->credit -= 1.0;
  return false;
}

/* Learns from an answer, also one that rejects the request for load. */
void
jd_admission_gate_learn (jd_admission_gate_t *gate, const jd_admission_sign_t *sign,
                         int64_t now_us)
{
  double slots = MAX (sign->slots, 1);
  if (now_us - gate->adapted_us > NEWS_LIFE_US)
    {
      gate->rejected_share = 0.0;
      gate->answers = gate->pressed = 0;
      gate->adapted_us = now_us;
    }
  if (sign->waiting == 0)
    gate->service_us += (gate->service_us > 0.0 ? SMOOTHING : 1.0) *
                        ((double)sign->elapsed_us - gate->service_us);
  /* A target in trouble has a long queue while another one can serve. */
  double queue_us = gate->service_us * MIN (sign->waiting, sign->elsewhere) / slots;
  gate->answers++;
  gate->pressed += queue_us > LONG_QUEUE_SHARE * (double)sign->objective_us;
  if (gate->answers >= ANSWERS_MIN && now_us - gate->adapted_us >= ADAPT_US)
    adapt (gate, now_us);
}
