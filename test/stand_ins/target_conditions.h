#pragma once

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#define JD_TARGET_MAX_SNAPSHOTS 8

/* Behaviour of a target stand-in. The flags set the initial values; POST /faults changes
 * the fields that its JSON object names, and GET /faults returns all of them. */
typedef struct jd_target_conditions
{
  /* Service time: log-normal, plus straggle_ms with straggle_probability. */
  double latency_median_us;
  double latency_sigma;
  double latency_factor;
  double straggle_probability;
  double straggle_ms;

  int64_t slots;
  int64_t queue;       /* Maximum number of requests that wait for a slot. */
  int64_t other_load;  /* Slots in use by other clients; counted in X-In-Flight. */
  int64_t connections; /* Further connections are closed without a reply. */
  int64_t connection_setup_us;

  /* A cold start lasts for cold_ms and until cold_requests requests are finished. */
  int64_t cold_ms;
  int64_t cold_requests;
  int64_t cold_capacity; /* More requests at once overload a cold target. */
  double cold_slowdown;
  int64_t cold_fail_ms; /* After an overload all requests fail for this long. */

  gboolean crossed_reply;    /* Answers with the content of another request. */
  gboolean close_after_read; /* Closes the connection without running the request. */
  gboolean close_after_run;  /* Runs the request, then closes without a reply. */
  gboolean shed;             /* Refuses every request with 503. */
  gboolean fail;             /* Answers every request with 500. */
  gboolean draining;

  gboolean health_lies;  /* /health always reports warm, not draining, ok. */
  gboolean load_lies;    /* /load and X-In-Flight always report 0. */
  int64_t report_lag_ms; /* /health and /load report the state of this long ago. */

  uint64_t snapshots[JD_TARGET_MAX_SNAPSHOTS]; /* Newest first, 0 after the last one. */
} jd_target_conditions_t;

jd_target_conditions_t jd_target_conditions_default (void);
/* Applies the known fields of a JSON object and ignores the others. If a field has the
 * wrong type, sets the error, changes nothing and returns FALSE. */
gboolean jd_target_conditions_apply (jd_target_conditions_t *conditions, json_t *object,
                                     GError **error);
json_t *jd_target_conditions_to_json (const jd_target_conditions_t *conditions);
gboolean jd_target_conditions_has_snapshot (const jd_target_conditions_t *conditions,
                                            uint64_t snapshot);
