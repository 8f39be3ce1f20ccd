#pragma once

#include <glib.h>
#include <stdint.h>

#include "base/latency_histogram.h"

/* Number of replies of a cold target whose median is compared with the normal latency.
 * The median of 12 varies little enough to distinguish a slowdown by a third from normal
 * variation, and each step of the ramp-up takes at least 12 service times. */
#define JD_GATE_WINDOW_REPLIES 12

/* Published limits and thresholds of one target. */
typedef struct jd_gate_settings
{
  uint32_t slots;
  uint32_t connections;
  uint32_t connection_reserve;      /* For health reads and cancellations. */
  uint32_t slow_replies_until_cold; /* Consecutive ones that show a cold start. */
  double normal_factor; /* A window is normal up to this multiple of the normal median. */
  double slow_factor;   /* A reply is slow above this multiple of the normal median. */
  int64_t silence_limit_us; /* After this time without a reply, the limit is 1 until a
                                reply shows the boot id. */
  int64_t backoff_min_us;   /* Backoff after the first shed reply or failure. */
  int64_t backoff_max_us;
  gboolean infer_cold; /* FALSE only in tests that show what the inference prevents. */
} jd_gate_settings_t;

typedef enum jd_gate_event
{
  JD_GATE_OK,
  JD_GATE_NOT_EXECUTED, /* Reply without execution; its service time is not used. */
  JD_GATE_SHED,
  JD_GATE_FAILED,  /* Error reply or broken connection. */
  JD_GATE_TIMEOUT, /* No reply before the deadline of the attempt. */
} jd_gate_event_t;

/* Observation of a target from the end of one attempt. */
typedef struct jd_gate_sample
{
  jd_gate_event_t event;
  int64_t started_us;
  int64_t service_us;
  uint32_t peak_in_flight;    /* Maximum of in_flight during this attempt. */
  uint64_t boot_id;           /* 0: not reported. */
  int64_t uptime_us;          /* -1: not reported. */
  int32_t reported_in_flight; /* From all sources, with this attempt; -1: not reported. */
} jd_gate_sample_t;

/* Admission control for one target: a concurrency limit that is 1 after a cold start and
 * doubles while the target replies at its normal latency, and a backoff after failures.
 * It does no I/O; the owner of the target reports the start and end of each attempt. */
typedef struct jd_target_gate
{
  jd_gate_settings_t settings;
  jd_latency_histogram_t normal_latency; /* Service times while warm. */
  int64_t normal_median_us;              /* Median of normal_latency; 0 while unknown. */
  uint32_t consecutive_normal_windows;   /* At the current limit. */
  double cold_mean_us; /* Weighted mean service time of this cold phase; 0: none. */
  int64_t cold_mean_updated_us; /* Time of the last update of cold_mean_us. */
  int64_t previous_median_us;   /* Median of the previous window; 0: none. */
  int64_t window_service_us[JD_GATE_WINDOW_REPLIES]; /* At the current limit. */
  uint32_t window_count;
  uint32_t in_flight;
  uint32_t limit; /* Ramp-up limit; equal to the ceiling while warm. */
  uint32_t consecutive_slow_replies;
  uint32_t consecutive_failures; /* Shed replies too. */
  uint32_t foreign_in_flight;  /* Attempts in flight at the target from other sources. */
  uint32_t foreign_samples[3]; /* From the last three reports. */
  uint32_t next_foreign_sample;
  uint64_t boot_id;
  int64_t boot_time_us; /* Local time minus reported uptime; 0: unknown. */
  int64_t cold_since_us;
  int64_t last_alive_us;    /* Latest time at which the target is known to have run. */
  int64_t blocked_until_us; /* End of the backoff. */
  gboolean cold;
  gboolean health_cold; /* Last report of the health endpoint. */
} jd_target_gate_t;

jd_gate_settings_t jd_gate_settings_default (uint32_t slots, uint32_t connections);
void jd_target_gate_init (jd_target_gate_t *gate, const jd_gate_settings_t *settings,
                          int64_t now_us);
void jd_target_gate_set_limits (jd_target_gate_t *gate, uint32_t slots,
                                uint32_t connections);
void jd_target_gate_set_cold (jd_target_gate_t *gate, int64_t now_us);
void jd_target_gate_set_health (jd_target_gate_t *gate, gboolean cold, int64_t now_us);
uint32_t jd_target_gate_limit (const jd_target_gate_t *gate, int64_t now_us);
gboolean jd_target_gate_admits (const jd_target_gate_t *gate, int64_t now_us);
/* Returns the expected service time of the next attempt; 0 while unknown. */
int64_t jd_target_gate_expected_us (const jd_target_gate_t *gate, int64_t now_us);
void jd_target_gate_start (jd_target_gate_t *gate, int64_t now_us);
void jd_target_gate_release (jd_target_gate_t *gate);
/* Records an attempt that was stopped after ran_us without a reply. */
void jd_target_gate_record_stopped (jd_target_gate_t *gate, int64_t ran_us,
                                    int64_t now_us);
void jd_target_gate_record (jd_target_gate_t *gate, const jd_gate_sample_t *sample,
                            int64_t now_us);
