#pragma once

#include <stdint.h>

/* How hosts return to a target after the pause that it asked for. */
typedef enum jd_pause_return
{
  JD_PAUSE_RETURN_AT_ONCE,
  JD_PAUSE_RETURN_SPREAD, /* Each host at a time of its own; what jackdaw-host does. */
  JD_PAUSE_RETURN_RAMP,   /* With a share of its requests that grows over time. */
  JD_PAUSE_RETURN_COUNT,
} jd_pause_return_t;

/* A load on the targets of one service, of which the first is overloaded for a while: it
 * gets less done, and answers 503 with a pause while its queue is full. */
typedef struct jd_pause_load
{
  uint64_t seed;
  uint32_t hosts;
  uint32_t targets;
  uint32_t slots;
  uint32_t queue_max;
  double requests_per_s; /* Of all hosts together. */
  double service_ms;
  double slow_factor;
  int64_t slow_until_ms; /* From the start. */
  int64_t pause_ms;
  int64_t objective_ms;
  int64_t duration_ms;
} jd_pause_load_t;

typedef struct jd_pause_result
{
  uint32_t requests;
  uint32_t in_objective;
  uint32_t late;
  uint32_t refused;         /* No target took the request. */
  uint32_t shed;            /* Answers 503 of targets. */
  uint32_t peak_per_100_ms; /* Most arrivals at the first target after its first pause. */
} jd_pause_result_t;

jd_pause_load_t jd_pause_load (uint32_t targets, double requests_per_s, int64_t pause_ms,
                               uint64_t seed);
jd_pause_result_t jd_pause_sim_run (const jd_pause_load_t *load,
                                    jd_pause_return_t policy);
