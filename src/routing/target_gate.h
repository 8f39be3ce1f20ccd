#pragma once

#include <glib.h>
#include <stdint.h>

#include "base/latency_histogram.h"

/* Replies of a cold target that are judged together. A median of 12 is steady enough to
 * tell a slowdown by a third from the usual spread, and costs 12 service times per step.
 */
#define JD_GATE_WINDOW 12

/* Limits and thresholds of one target. */
typedef struct jd_gate_settings
{
  uint32_t slots;
  uint32_t connections;
  uint32_t connection_reserve; /* Connections kept for health reads and cancellations. */
  uint32_t slow_run;           /* Slow replies in a row that count as a cold start. */
  double near_factor;          /* Normal: a median up to this many learned medians. */
  double slow_factor;          /* From this many medians on a reply counts as slow. */
  int64_t silence_us; /* Without a reply for this long, one attempt checks the boot id. */
  int64_t backoff_min_us; /* First pause after a shed reply or a failure. */
  int64_t backoff_max_us;
  gboolean infer_cold; /* FALSE only in tests that show what the inference prevents. */
} jd_gate_settings_t;

typedef enum jd_gate_event
{
  JD_GATE_OK,
  JD_GATE_ALIVE, /* Reply without work, whose time says nothing. */
  JD_GATE_SHED,
  JD_GATE_FAILED,  /* Error reply or broken connection. */
  JD_GATE_TIMEOUT, /* No reply before the deadline of the attempt. */
} jd_gate_event_t;

/* What the end of one attempt tells about its target. */
typedef struct jd_gate_sample
{
  jd_gate_event_t event;
  int64_t started_us;
  int64_t service_us;
  uint32_t peak_in_flight;    /* Most own attempts in flight during this one. */
  uint64_t boot_id;           /* 0: not reported. */
  int64_t uptime_us;          /* -1: not reported. */
  int32_t reported_in_flight; /* All sources, including this attempt; -1: not reported. */
} jd_gate_sample_t;

/* Admission to one target. Pure state; the owner of the target counts every attempt in
 * and out. */
typedef struct jd_target_gate
{
  jd_gate_settings_t settings;
  jd_latency_histogram_t normal; /* Service times while warm. */
  int64_t median_us;             /* Of normal; 0 while unknown. */
  uint32_t normal_windows;       /* In a row at the present limit. */
  double cold_us;         /* Recent mean service time of this cold phase; 0: none. */
  int64_t cold_at_us;     /* Time of the last change of cold_us. */
  int64_t last_window_us; /* Median of the window before; 0: none. */
  int64_t window_us[JD_GATE_WINDOW]; /* Service times at the present limit. */
  uint32_t window_count;
  uint32_t in_flight;
  uint32_t limit; /* Cold-start limit; equal to the ceiling when warm. */
  uint32_t slow_count;
  uint32_t failure_count; /* Shed replies and failures in a row. */
  uint32_t foreign;       /* Attempts of other sources at the target. */
  uint32_t foreign_samples[3];
  uint32_t foreign_next;
  uint64_t boot_id;
  int64_t boot_time_us; /* Own clock minus reported uptime; 0: unknown. */
  int64_t cold_since_us;
  int64_t alive_us; /* Latest time at which the target is known to have been up. */
  int64_t blocked_until_us;
  gboolean cold;
  gboolean health_cold;
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
/* Service time to expect from the next attempt; 0 while nothing is known. */
int64_t jd_target_gate_expected_us (const jd_target_gate_t *gate, int64_t now_us);
void jd_target_gate_start (jd_target_gate_t *gate, int64_t now_us);
void jd_target_gate_release (jd_target_gate_t *gate);
/* An attempt that was stopped after this time without a reply. */
void jd_target_gate_stopped (jd_target_gate_t *gate, int64_t ran_us, int64_t now_us);
void jd_target_gate_sample (jd_target_gate_t *gate, const jd_gate_sample_t *sample,
                            int64_t now_us);
