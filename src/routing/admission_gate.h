#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Decides which share of a route's requests is admitted while its targets are overloaded.
 * If every request of a burst is admitted, all answers are late or lack too many parts;
 * if the excess is rejected at once, the admitted requests are answered in time. A zeroed
 * gate admits everything. */
typedef struct jd_admission_gate
{
  double rejected_share;       /* Share of new requests to reject; 0: none. */
  double rejection_credit;     /* Rejections due by that share and not yet made. */
  double service_us;           /* Smoothed answer time of targets without a queue. */
  uint32_t answers;            /* Answers since the last update of the share. */
  uint32_t long_queue_answers; /* Those from targets with a long queue. */
  int64_t share_updated_us;    /* Time of the last update of the share. */
} jd_admission_gate_t;

/* The load that a target reports with one answer. */
typedef struct jd_admission_sample
{
  uint32_t queue_length;         /* Requests in the target's queue. */
  uint32_t shortest_other_queue; /* Requests in the shortest queue of the service's other
                                    targets. */
  uint32_t slots;                /* Requests that the target runs at a time. */
  int64_t elapsed_us;
  int64_t objective_us; /* Latency objective of the route. */
} jd_admission_sample_t;

double jd_admission_gate_share (const jd_admission_gate_t *gate, int64_t now_us);
bool jd_admission_gate_admits (jd_admission_gate_t *gate, double rejected_share);
void jd_admission_gate_record (jd_admission_gate_t *gate,
                               const jd_admission_sample_t *sample, int64_t now_us);
