#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Decides how many of a route's requests are admitted while its targets have more than
 * they can do. It answers bursts beyond what the targets serve: when all requests are
 * taken, all come late or lack too many parts; when the excess is rejected at once, the
 * others are served in time. All zero admits everything. */
typedef struct jd_admission_gate
{
  double rejected_share; /* Of the requests that come; 0: none. */
  double credit;         /* Requests to be rejected by that share. */
  double service_us;     /* Time of an answer from a target without a queue. */
  uint32_t answers;      /* Since the share was adapted. */
  uint32_t pressed;      /* Those of targets with a long queue. */
  int64_t adapted_us;
} jd_admission_gate_t;

/* One answer of a target that tells its load. */
typedef struct jd_admission_sign
{
  uint32_t waiting;   /* Requests in its queue. */
  uint32_t elsewhere; /* In the shortest queue of the service's other targets. */
  uint32_t slots;
  int64_t elapsed_us;
  int64_t objective_us; /* Of the route. */
} jd_admission_sign_t;

double jd_admission_gate_share (const jd_admission_gate_t *gate, int64_t now_us);
bool jd_admission_gate_admits (jd_admission_gate_t *gate, double rejected_share);
void jd_admission_gate_learn (jd_admission_gate_t *gate, const jd_admission_sign_t *sign,
                              int64_t now_us);
