#include "routing/target_gate.h"

#include <stdlib.h>

#include "base/clock.h"
#include "base/invariant.h"

/* The counts of the normal latency are halved at this many replies, so that newer replies
 * have more weight. */
#define NORMAL_MAX_REPLIES 512

/* The median of fewer replies is too unreliable to use. */
#define NORMAL_MIN_REPLIES 8

/* While the normal latency is unknown, a window whose median is at least this fraction of
 * the previous median shows that the target no longer gets faster. */
#define STEADY_FRACTION 0.8

/* Consecutive normal windows before the limit doubles. With a single window,
 * 1 request in 6,000 is admitted too early, at a target within 3% of being warm
 * (bench_tail cold 0 2). */
#define WINDOWS_PER_STEP 2

/* Weight of a new service time in the mean of a cold phase. */
#define COLD_WEIGHT 0.2

/* Assumed service time of a stopped attempt, as a multiple of the time that it ran. */
#define STOPPED_TIME_FACTOR 1.5

/* Half-life of the mean service time of a cold phase while no attempt ends. */
#define COLD_HALF_LIFE_US (50 * JD_US_PER_MS)

/* Estimates of one boot time differ by network delay and clock drift. The slack exceeds
 * that difference and is shorter than any restart. */
#define BOOT_TIME_SLACK_US (400 * JD_US_PER_MS)

/* Returns the default thresholds for a target with the given published limits. */
jd_gate_settings_t
jd_gate_settings_default (uint32_t slots, uint32_t connections)
{
  return (jd_gate_settings_t){
    .slots = slots,
    .connections = connections,
    .connection_reserve = 2,
    .slow_replies_until_cold = 4,
    .normal_factor = 1.1,
    .slow_factor = 4.0,
    .silence_limit_us = 500 * JD_US_PER_MS,
    .backoff_min_us = 10 * JD_US_PER_MS,
    .backoff_max_us = 200 * JD_US_PER_MS,
    .infer_cold = TRUE,
  };
}

/* Returns the limit of a warm target: its slots or its unreserved connections, whichever
 * are fewer, and at least 1. */
static uint32_t
ceiling_of (const jd_target_gate_t *gate)
{
  const jd_gate_settings_t *settings = &gate->settings;
  uint32_t usable = settings->connections > settings->connection_reserve
                        ? settings->connections - settings->connection_reserve
                        : 1;
  return MAX (1, MIN (settings->slots, usable));
}

/* Initializes a gate. A target starts cold. */
void
jd_target_gate_init (jd_target_gate_t *gate, const jd_gate_settings_t *settings,
                     int64_t now_us)
{
  *gate = (jd_target_gate_t){ .settings = *settings };
  jd_target_gate_set_cold (gate, now_us);
}

/* Applies new published limits. A warm target uses a raised limit at once, a cold one
 * reaches it by its ramp-up. */
void
jd_target_gate_set_limits (jd_target_gate_t *gate, uint32_t slots, uint32_t connections)
{
  gate->settings.slots = slots;
  gate->settings.connections = connections;
  uint32_t ceiling = ceiling_of (gate);
  gate->limit = gate->cold ? MIN (gate->limit, ceiling) : ceiling;
}

/* Starts a cold phase, in which the limit begins at 1. */
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
  gate->consecutive_slow_replies = 0;
  gate->window_count = 0;
  gate->consecutive_normal_windows = 0;
  gate->previous_median_us = 0;
  gate->cold_mean_us = 0;
  gate->cold_since_us = now_us;
}

/* Applies the cold flag of the health endpoint. Only a change to cold has an effect,
 * because the endpoint lags and may report cold long after the target is warm. */
void
jd_target_gate_set_health (jd_target_gate_t *gate, gboolean cold, int64_t now_us)
{
  if (cold && !gate->health_cold)
    jd_target_gate_set_cold (gate, now_us);
  gate->health_cold = cold;
}

/* Returns how many attempts may be in flight now, at least 1. */
uint32_t
jd_target_gate_limit (const jd_target_gate_t *gate, int64_t now_us)
{
  if (!gate->settings.infer_cold)
    return ceiling_of (gate);
  /* The target may have restarted since its last reply. */
  if (now_us - gate->last_alive_us >
      gate->settings.silence_limit_us + gate->normal_median_us)
    return 1;
  return gate->limit > gate->foreign_in_flight ? gate->limit - gate->foreign_in_flight
                                               : 1;
}

/* Returns the expected service time: for a cold target its recent mean, which may be many
 * times the normal median, else the normal median. The mean is halved per
 * COLD_HALF_LIFE_US without an update. Otherwise a target that gets no work because it is
 * slow could never show that it has become faster. */
int64_t
jd_target_gate_expected_us (const jd_target_gate_t *gate, int64_t now_us)
{
  if (!gate->cold || gate->cold_mean_us <= 0)
    return gate->normal_median_us;
  int64_t halvings = (now_us - gate->cold_mean_updated_us) / COLD_HALF_LIFE_US;
  int64_t cold_mean_us = (int64_t)gate->cold_mean_us >> MIN (MAX (halvings, 0), 32);
  return MAX (cold_mean_us, gate->normal_median_us);
}

/* Adds a service time to the weighted mean of the cold phase. */
static void
record_cold_service_time (jd_target_gate_t *gate, int64_t service_us, int64_t now_us)
{
  gate->cold_mean_updated_us = now_us;
  double weight = gate->cold_mean_us > 0 ? COLD_WEIGHT : 1.0;
  gate->cold_mean_us += weight * ((double)service_us - gate->cold_mean_us);
}

/* Returns TRUE if one more attempt may start now. */
gboolean
jd_target_gate_admits (const jd_target_gate_t *gate, int64_t now_us)
{
  return now_us >= gate->blocked_until_us &&
         gate->in_flight < jd_target_gate_limit (gate, now_us);
}

/* Occupies a slot for an attempt. jd_target_gate_admits must be TRUE. */
void
jd_target_gate_start (jd_target_gate_t *gate, int64_t now_us)
{
  JD_INVARIANT (cold_limit, gate->in_flight < jd_target_gate_limit (gate, now_us));
  gate->in_flight++;
}

/* Releases the slot of an attempt. */
void
jd_target_gate_release (jd_target_gate_t *gate)
{
  JD_INVARIANT (cold_limit, gate->in_flight > 0);
  gate->in_flight--;
}

/* Returns TRUE if a reply comes from another boot of the target than earlier replies, by
 * its boot id or its uptime. Updates the known boot id and boot time. */
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
      /* A delay of the reply makes the boot time appear later, so the earliest is
       * closest. */
      if (!gate->boot_time_us || restarted || boot_time_us < gate->boot_time_us)
        gate->boot_time_us = boot_time_us;
    }
  return restarted;
}

/* Updates the load from other sources with a reported load. The smallest of the last
 * three reports is used, because one report may cross with the end of an attempt of this
 * broker. */
static void
update_foreign_load (jd_target_gate_t *gate, const jd_gate_sample_t *sample)
{
  if (sample->reported_in_flight < 0)
    return;
  uint32_t reported = (uint32_t)sample->reported_in_flight;
  uint32_t foreign_in_flight =
      reported > sample->peak_in_flight ? reported - sample->peak_in_flight : 0;
  gate->foreign_samples[gate->next_foreign_sample++ % 3] = foreign_in_flight;
  gate->foreign_in_flight = MIN (
      gate->foreign_samples[0], MIN (gate->foreign_samples[1], gate->foreign_samples[2]));
}

/* Adds a service time of a warm target to its normal latency. The median is recomputed
 * with each reply below 32 replies, then with every 16th. */
static void
record_normal_latency (jd_target_gate_t *gate, int64_t service_us)
{
  jd_latency_histogram_record (&gate->normal_latency, service_us);
  if (gate->normal_latency.total >= NORMAL_MAX_REPLIES)
    jd_latency_histogram_halve (&gate->normal_latency);
  if (gate->normal_latency.total >= NORMAL_MIN_REPLIES &&
      (gate->normal_latency.total < 32 || gate->normal_latency.total % 16 == 0))
    gate->normal_median_us =
        jd_latency_histogram_quantile_us (&gate->normal_latency, 0.5);
}

/* qsort callback for int64_t service times, in ascending order. */
static int
compare_times (const void *a, const void *b)
{
  int64_t left = *(const int64_t *)a;
  int64_t right = *(const int64_t *)b;
  return (left > right) - (left < right);
}

/* Returns TRUE if the median of a full window shows that the target is warm at the
 * current limit. Empties the window. */
static gboolean
is_window_normal (jd_target_gate_t *gate)
{
  qsort (gate->window_service_us, JD_GATE_WINDOW_REPLIES,
         sizeof (gate->window_service_us[0]), compare_times);
  int64_t median_us = gate->window_service_us[JD_GATE_WINDOW_REPLIES / 2];
  int64_t previous_us = gate->previous_median_us;
  gate->previous_median_us = median_us;
  gate->window_count = 0;
  if (gate->normal_median_us)
    return (double)median_us <=
           gate->settings.normal_factor * (double)gate->normal_median_us;
  return previous_us && (double)median_us >= STEADY_FRACTION * (double)previous_us;
}

/* Records a reply of a cold target. Doubles the limit after WINDOWS_PER_STEP consecutive
 * normal windows, and ends the cold phase at the ceiling. Only attempts that started in
 * this cold phase and ran at the current limit count. */
static void
advance_ramp (jd_target_gate_t *gate, const jd_gate_sample_t *sample, int64_t now_us)
{
  record_cold_service_time (gate, sample->service_us, now_us);
  if (sample->started_us < gate->cold_since_us || sample->peak_in_flight < gate->limit)
    return;
  gate->window_service_us[gate->window_count++] = sample->service_us;
  if (gate->window_count < JD_GATE_WINDOW_REPLIES)
    return;
  gate->consecutive_normal_windows =
      is_window_normal (gate) ? gate->consecutive_normal_windows + 1 : 0;
  if (gate->consecutive_normal_windows < WINDOWS_PER_STEP)
    return;
  gate->consecutive_normal_windows = 0;
  gate->limit = MIN (2 * gate->limit, ceiling_of (gate));
  if (gate->limit == ceiling_of (gate))
    gate->cold = FALSE;
}

/* Records a reply of a warm target. Starts a cold phase after slow_replies_until_cold
 * consecutive slow replies, which indicate a cold start that was not reported. */
static void
detect_cold_start (jd_target_gate_t *gate, int64_t service_us, int64_t now_us)
{
  gboolean slow =
      gate->normal_median_us &&
      (double)service_us > gate->settings.slow_factor * (double)gate->normal_median_us;
  if (!slow)
    gate->consecutive_slow_replies = 0;
  else if (++gate->consecutive_slow_replies >= gate->settings.slow_replies_until_cold)
    {
      jd_target_gate_set_cold (gate, now_us);
      return;
    }
  record_normal_latency (gate, service_us);
}

/* Handles a shed reply or a failure: limits the target to one attempt, after a backoff
 * that doubles with each consecutive one. */
static void
back_off (jd_target_gate_t *gate, int64_t now_us)
{
  jd_target_gate_set_cold (gate, now_us);
  int64_t backoff_us = gate->settings.backoff_min_us
                       << MIN (gate->consecutive_failures, 10);
  gate->consecutive_failures++;
  gate->blocked_until_us = now_us + MIN (backoff_us, gate->settings.backoff_max_us);
}

/* Raises the expected service time of a cold target by an attempt that was stopped before
 * it ended. Its run time is a lower bound of its service time. Without it, a target that
 * has become slow would be given work with little time left and would finish none. */
void
jd_target_gate_record_stopped (jd_target_gate_t *gate, int64_t ran_us, int64_t now_us)
{
  if (!gate->cold || ran_us <= jd_target_gate_expected_us (gate, now_us) / 2)
    return;
  gate->cold_mean_us = MAX (gate->cold_mean_us, STOPPED_TIME_FACTOR * (double)ran_us);
  gate->cold_mean_updated_us = now_us;
}

/* Handles an attempt without a reply before its deadline: limits the target to one
 * attempt. There is no backoff, because the broker holds the slot until the target has
 * stopped, and a cold target misses short deadlines anyway: a backoff would only prolong
 * the cold start. A cold phase at limit 1 continues, because the limit is minimal. */
static void
handle_timeout (jd_target_gate_t *gate, const jd_gate_sample_t *sample, int64_t now_us)
{
  if (!gate->cold || gate->limit > 1)
    jd_target_gate_set_cold (gate, now_us);
  jd_target_gate_record_stopped (gate, sample->service_us, now_us);
}

/* Handles the end of an attempt. Call before jd_target_gate_release. */
void
jd_target_gate_record (jd_target_gate_t *gate, const jd_gate_sample_t *sample,
                       int64_t now_us)
{
  if (sample->event == JD_GATE_TIMEOUT)
    {
      handle_timeout (gate, sample, now_us);
      return;
    }
  if (sample->event == JD_GATE_FAILED)
    {
      back_off (gate, now_us);
      return;
    }
  /* The reply may have been in the socket buffer while this process was paused, so it
   * only shows that the target was running after the attempt started. */
  gboolean silence_exceeded =
      sample->started_us - gate->last_alive_us > gate->settings.silence_limit_us;
  gate->last_alive_us = MAX (gate->last_alive_us, sample->started_us);
  gboolean boot_comparable = (gate->boot_id && gate->boot_id == sample->boot_id) ||
                             (gate->boot_time_us && sample->uptime_us >= 0);
  gboolean restarted = is_restarted (gate, sample, now_us);
  /* This restarts a cold phase too: windows before the silence may be of another boot. */
  if (restarted || (silence_exceeded && !boot_comparable))
    jd_target_gate_set_cold (gate, now_us);
  update_foreign_load (gate, sample);
  if (sample->event == JD_GATE_SHED)
    {
      back_off (gate, now_us);
      return;
    }
  gate->consecutive_failures = 0;
  if (sample->event == JD_GATE_NOT_EXECUTED)
    return;
  if (gate->cold)
    advance_ramp (gate, sample, now_us);
  else
    detect_cold_start (gate, sample->service_us, now_us);
}
