#pragma once

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#define JD_TARGET_MAX_SNAPSHOTS 8

/* How a target stand-in behaves. Flags set the first values; POST /faults changes the
 * fields that its JSON object names, and GET /faults shows them all. */
typedef struct jd_target_conditions
{
  /* Service time: log-normal, and stragglers on top. */
  double latency_median_us;
  double latency_sigma;
  double latency_factor;
  double straggle_probability;
  double straggle_ms;

  int64_t slots;
  int64_t queue;       /* Requests that may wait for a slot. */
  int64_t other_load;  /* Slots taken by load from elsewhere; shown in X-In-Flight. */
  int64_t connections; /* More are closed without a reply. */
  int64_t connection_setup_us;

  int64_t cold_ms;       /* A cold start lasts this long... */
  int64_t cold_requests; /* ...and until this many requests are done. */
  int64_t cold_capacity; /* More at once while cold is an overload. */
  double cold_slowdown;
  int64_t cold_fail_ms; /* After an overload everything fails for this long. */

  gboolean crossed_reply;    /* Replies carry the content of another request. */
  gboolean close_after_read; /* Closes instead of working. */
  gboolean close_after_run;  /* Works, then closes instead of replying. */
  gboolean shed;             /* Sheds every request. */
  gboolean fail;             /* Answers every request with 500. */
  gboolean draining;

  gboolean health_lies;  /* /health always says: warm, not draining, good. */
  gboolean load_lies;    /* /load and X-In-Flight always say 0. */
  int64_t report_lag_ms; /* /health and /load show the state of this long ago. */

  uint64_t snapshots[JD_TARGET_MAX_SNAPSHOTS]; /* Held, newest first; 0 ends the list. */
} jd_target_conditions_t;

jd_target_conditions_t jd_target_conditions_default (void);
/* Applies the known fields of a JSON object. Returns FALSE with an error, and changes
 * nothing, when a field has the wrong type. Unknown fields are left to the caller. */
gboolean jd_target_conditions_apply (jd_target_conditions_t *conditions, json_t *object,
                                     GError **error);
json_t *jd_target_conditions_to_json (const jd_target_conditions_t *conditions);
gboolean jd_target_conditions_holds (const jd_target_conditions_t *conditions,
                                     uint64_t snapshot);
