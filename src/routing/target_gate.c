#include "routing/target_gate.h"

#include <stdlib.h>

#include "base/clock.h"
#include "base/invariant.h"

/* The normal latency is relearned at half weight after this many replies. */
#define NORMAL_WINDOW 512

/* A median of fewer replies is not used. */
#define NORMAL_MIN_REPLIES 8

/* Without a learned latency, a window that is not faster than this fraction of the one
 * before shows that the target has stopped becoming faster. */
#define STEADY_FRACTION 0.8

/* Normal windows in a row before the limit doubles. One let 1 request in 6,000 through
 * to a target that was within 3% of being warm (bench_tail cold 0 2). */
#define NORMAL_WINDOWS 2

/* Weight of a new service time in the mean of a cold phase. */
#define COLD_WEIGHT 0.2
/* Assumed service time of an attempt that was stopped, in times that it ran. */
#define STOPPED_FACTOR 1.5

#define COLD_HALF_LIFE_US (50 * JD_US_PER_MS)

/* Two estimates of one boot time differ by network delay and clock drift, and by less
 * than any restart takes. */
#define BOOT_TIME_SLACK_US (400 * JD_US_PER_MS)

/* Returns the default thresholds for a target with the given published limits. */
jd_gate_settings_t
jd_gate_settings_default (uint32_t slots, uint32_t connections)
{
  return (jd_gate_settings_t){
    .slots = slots,
    .connections = connections,
    .connection_reserve = 2,
    .slow_run = 4,
    .near_factor = 1.1,
    .slow_factor = 4.0,
    .silence_us = 500 * JD_US_PER_MS,
    .backoff_min_us = 10 * JD_US_PER_MS,
    .backoff_max_us = 200 * JD_US_PER_MS,
    .infer_cold = TRUE,
  };
}

/* Returns the limit of a warm target: its slots, or its connections less the reserve. */
static uint32_t
ceiling_of (const jd_target_gate_t *gate)
{
  const jd_gate_settings_t *settings = &gate->settings;
  uint32_t usable = settings->connections > settings->connection_reserve
                        ? settings->connections - settings->connection_reserve
                        : 1;
  return MAX (1, MIN (settings->slots, usable));
}

/* Makes an empty gate; the first contact counts as a cold start. */
void
jd_target_gate_init (jd_target_gate_t *gate, const jd_gate_settings_t *settings,
                     int64_t now_us)
{
  *gate = (jd_target_gate_t){ .settings = *settings };
  jd_target_gate_set_cold (gate, now_us);
}

/* Takes new published limits. A raised limit is reached by the ramp of a cold target;
 * a warm one takes it at once. */
void
jd_target_gate_set_limits (jd_target_gate_t *gate, uint32_t slots, uint32_t connections)
{
  gate->settings.slots = slots;
  gate->settings.connections = connections;
  uint32_t ceiling = ceiling_of (gate);
  gate->limit = gate->cold ? MIN (gate->limit, ceiling) : ceiling;
}

/* Starts a cold phase: one attempt at a time. */
void
jd_target_gate_set_cold (jd_target_gate_t *gate, int64_t now_us)
{
  if (!gate->settings.infer_cold)
    {
      gate->limit = ceiling_of (gate);
      return;
    }
  gate->cold = TRUE;
  gate->limit = 1;
  gate->slow_count = 0;
  gate->window_count = 0;
  gate->normal_windows = 0;
  gate->last_window_us = 0;
  gate->cold_us = 0;
  gate->cold_since_us = now_us;
}

/* Takes the cold flag of the health endpoint. Only a change to cold counts, because
 * the endpoint lags and may stay cold long after the target is warm. */
void
jd_target_gate_set_health (jd_target_gate_t *gate, gboolean cold, int64_t now_us)
{
  if (cold && !gate->health_cold)
    jd_target_gate_set_cold (gate, now_us);
  gate->health_cold = cold;
}

/* Returns the most attempts that may be in flight now, at least 1. */
uint32_t
jd_target_gate_limit (const jd_target_gate_t *gate, int64_t now_us)
{
  if (!gate->settings.infer_cold)
    return ceiling_of (gate);
  /* The target may have restarted while nothing was sent to it. */
  if (now_us - gate->alive_us > gate->settings.silence_us + gate->median_us)
    return 1;
  return gate->limit > gate->foreign ? gate->limit - gate->foreign : 1;
}

/* Returns the service time to expect: the recent mean of a cold target, which may be
 * many times its learned median, else the median. The mean is halved for each
 * COLD_HALF_LIFE_US without an attempt, since a target that gets no work because it is
 * slow would else never show that it has become faster. */
int64_t
jd_target_gate_expected_us (const jd_target_gate_t *gate, int64_t now_us)
{
  if (!gate->cold || gate->cold_us <= 0)
    return gate->median_us;
  int64_t halvings = (now_us - gate->cold_at_us) / COLD_HALF_LIFE_US;
  int64_t cold_us = (int64_t)gate->cold_us >> MIN (MAX (halvings, 0), 32);
  return MAX (cold_us, gate->median_us);
}

/* Takes a service time of a cold target into the recent mean. */
static void
record_cold (jd_target_gate_t *gate, int64_t service_us, int64_t now_us)
{
  gate->cold_at_us = now_us;
  double weight = gate->cold_us > 0 ? COLD_WEIGHT : 1.0;
  gate->cold_us += weight * ((double)service_us - gate->cold_us);
}

/* Returns whether one more attempt may start now. */
gboolean
jd_target_gate_admits (const jd_target_gate_t *gate, int64_t now_us)
{
  return now_us >= gate->blocked_until_us &&
         gate->in_flight < jd_target_gate_limit (gate, now_us);
}

/* Counts an attempt in. */
void
jd_target_gate_start (jd_target_gate_t *gate, int64_t now_us)
{
  JD_INVARIANT (cold_limit, gate->in_flight < jd_target_gate_limit (gate, now_us));
  gate->in_flight++;
}

/* Frees the slot of an attempt. */
void
jd_target_gate_release (jd_target_gate_t *gate)
{
  JD_INVARIANT (cold_limit, gate->in_flight > 0);
  gate->in_flight--;
}

/* Returns whether a reply shows another process than the replies before it. */
static gboolean
is_restarted (jd_target_gate_t *gate, const jd_gate_sample_t *sample, int64_t now_us)
{
  gboolean restarted = FALSE;
  if (sample->boot_id)
    {
      restarted = gate->boot_id && gate->boot_id != sample->boot_id;
      gate->boot_id = sample->boot_id;
    }
  if (sample->uptime_us >= 0)
    {
      int64_t boot_time_us = now_us - sample->uptime_us;
      if (gate->boot_time_us && boot_time_us > gate->boot_time_us + BOOT_TIME_SLACK_US)
        restarted = TRUE;
      /* Delayed replies only ever make the boot time look later. */
      if (!gate->boot_time_us || restarted || boot_time_us < gate->boot_time_us)
        gate->boot_time_us = boot_time_us;
    }
  return restarted;
}

/* Takes the load that the target reports. The smallest of three reports counts, since
 * one report may have crossed with an end of an own attempt. */
static void
take_foreign_load (jd_target_gate_t *gate, const jd_gate_sample_t *sample)
{
  if (sample->reported_in_flight < 0)
    return;
  uint32_t reported = (uint32_t)sample->reported_in_flight;
  uint32_t foreign =
      reported > sample->peak_in_flight ? reported - sample->peak_in_flight : 0;
  gate->foreign_samples[gate->foreign_next++ % 3] = foreign;
  gate->foreign = MIN (gate->foreign_samples[0],
                       MIN (gate->foreign_samples[1], gate->foreign_samples[2]));
}

/* Learns the normal latency of a warm target. */
static void
learn_normal (jd_target_gate_t *gate, int64_t service_us)
{
  jd_latency_histogram_record (&gate->normal, service_us);
  if (gate->normal.total >= NORMAL_WINDOW)
    jd_latency_histogram_halve (&gate->normal);
  if (gate->normal.total >= NORMAL_MIN_REPLIES &&
      (gate->normal.total < 32 || gate->normal.total % 16 == 0))
    gate->median_us = jd_latency_histogram_quantile_us (&gate->normal, 0.5);
}

/* Orders service times. */
static int
compare_times (const void *a, const void *b)
{
  int64_t left = *(const int64_t *)a;
  int64_t right = *(const int64_t *)b;
  return (left > right) - (left < right);
}

/* Returns whether a full window of replies is normal, and empties it. */
static gboolean
judge_window (jd_target_gate_t *gate)
{
  qsort (gate->window_us, JD_GATE_WINDOW, sizeof (gate->window_us[0]), compare_times);
  int64_t median_us = gate->window_us[JD_GATE_WINDOW / 2];
  int64_t last_us = gate->last_window_us;
  gate->last_window_us = median_us;
  gate->window_count = 0;
  if (gate->median_us)
    return (double)median_us <= gate->settings.near_factor * (double)gate->median_us;
  return last_us && (double)median_us >= STEADY_FRACTION * (double)last_us;
}

/* Counts a reply of a cold target and doubles the limit after a window of normal ones
 * at the present limit. */
static void
advance_ramp (jd_target_gate_t *gate, const jd_gate_sample_t *sample, int64_t now_us)
{
  record_cold (gate, sample->service_us, now_us);
  if (sample->started_us < gate->cold_since_us || sample->peak_in_flight < gate->limit)
    return;
  gate->window_us[gate->window_count++] = sample->service_us;
  if (gate->window_count < JD_GATE_WINDOW)
    return;
  gate->normal_windows = judge_window (gate) ? gate->normal_windows + 1 : 0;
  if (gate->normal_windows < NORMAL_WINDOWS)
    return;
  gate->normal_windows = 0;
  gate->limit = MIN (2 * gate->limit, ceiling_of (gate));
  if (gate->limit == ceiling_of (gate))
    gate->cold = FALSE;
}

/* Watches a warm target for a cold start that nothing announced. */
static void
watch_latency (jd_target_gate_t *gate, int64_t service_us, int64_t now_us)
{
  gboolean slow = gate->median_us && (double)service_us > gate->settings.slow_factor *
                                                              (double)gate->median_us;
  if (!slow)
    gate->slow_count = 0;
  else if (++gate->slow_count >= gate->settings.slow_run)
    {
      jd_target_gate_set_cold (gate, now_us);
      return;
    }
  learn_normal (gate, service_us);
}

/* Handles a shed reply or a failure: back to one attempt, after a pause that
 * doubles with each one in a row. */
static void
back_off (jd_target_gate_t *gate, int64_t now_us)
{
  jd_target_gate_set_cold (gate, now_us);
  int64_t pause_us = gate->settings.backoff_min_us << MIN (gate->failure_count, 10);
  gate->failure_count++;
  gate->blocked_until_us = now_us + MIN (pause_us, gate->settings.backoff_max_us);
}

/* Takes the time of an attempt that was stopped before it ended. It is a lower bound of
 * the service time; without it a target that has become slow would be given work that
 * has little time left, and would end none of it. */
void
jd_target_gate_stopped (jd_target_gate_t *gate, int64_t ran_us, int64_t now_us)
{
  if (!gate->cold || ran_us <= jd_target_gate_expected_us (gate, now_us) / 2)
    return;
  gate->cold_us = MAX (gate->cold_us, STOPPED_FACTOR * (double)ran_us);
  gate->cold_at_us = now_us;
}

/* Handles an attempt without a reply before its deadline. At one attempt at a time there
 * is nothing to lower, and the slot is held until the target has stopped, so a pause
 * would only lengthen a cold start: short deadlines are missed while it is slow. */
static void
take_timeout (jd_target_gate_t *gate, const jd_gate_sample_t *sample, int64_t now_us)
{
  if (!gate->cold || gate->limit > 1)
    jd_target_gate_set_cold (gate, now_us);
  jd_target_gate_stopped (gate, sample->service_us, now_us);
}

/* Takes the end of an attempt. Call before jd_target_gate_release. */
void
jd_target_gate_sample (jd_target_gate_t *gate, const jd_gate_sample_t *sample,
                       int64_t now_us)
{
  if (sample->event == JD_GATE_TIMEOUT)
    {
      take_timeout (gate, sample, now_us);
      return;
    }
  if (sample->event == JD_GATE_FAILED)
    {
      back_off (gate, now_us);
      return;
    }
  /* The reply may have waited in a socket while this process was paused, so it only
   * shows that the target was up after the attempt started. */
  gboolean silent = sample->started_us - gate->alive_us > gate->settings.silence_us;
  gate->alive_us = MAX (gate->alive_us, sample->started_us);
  gboolean proven = (gate->boot_id && gate->boot_id == sample->boot_id) ||
                    (gate->boot_time_us && sample->uptime_us >= 0);
  gboolean restarted = is_restarted (gate, sample, now_us);
  /* Also in a cold phase: windows from before a silent time may be of another boot. */
  if (restarted || (silent && !proven))
    jd_target_gate_set_cold (gate, now_us);
  take_foreign_load (gate, sample);
  if (sample->event == JD_GATE_SHED)
    {
      back_off (gate, now_us);
      return;
    }
  gate->failure_count = 0;
  if (sample->event == JD_GATE_ALIVE)
    return;
  if (gate->cold)
    advance_ramp (gate, sample, now_us);
  else
    watch_latency (gate, sample->service_us, now_us);
}
