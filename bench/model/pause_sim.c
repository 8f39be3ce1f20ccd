#include "model/pause_sim.h"

#include <glib.h>
#include <math.h>

#include "base/clock.h"
#include "base/rng.h"
#include "routing/target_notice.h"

#define TARGETS_MAX 8
#define SLOTS_MAX 64
#define QUEUE_MAX 128
#define ATTEMPTS_MAX 2
/* Longest time that a refused caller waits before it tries again, once. */
#define CALLER_WAIT_MAX_US JD_US_PER_S
/* Length of the ramp, as a share of the pause; the same as the spread of hosts. */
#define RAMP_SHARE 0.5

typedef struct sim_target
{
  int64_t free_at_us[SLOTS_MAX]; /* Time at which a slot is free. */
  int64_t queue_us[QUEUE_MAX];   /* Arrival times of queued requests. */
  uint32_t queued;
  bool has_paused;
  uint32_t arrivals_in_window;
} sim_target_t;

typedef struct pause_sim
{
  const jd_pause_load_t *load;
  jd_pause_return_t policy;
  jd_philox_t random;
  int64_t now_us;
  sim_target_t targets[TARGETS_MAX];
  jd_target_notice_t **notices; /* hosts x targets */
  uint32_t *returning;          /* Callers that try again, by millisecond. */
  jd_pause_result_t result;
} pause_sim_t;

/* Returns a uniform draw from 0 to 1. */
static double
draw (pause_sim_t *sim)
{
  jd_rng_t rng = jd_philox_rng (&sim->random);
  return jd_rng_unit (&rng);
}

/* Returns the time that a target needs for the next request. */
static int64_t
service_time_us (pause_sim_t *sim, uint32_t index)
{
  bool is_slow = index == 0 && sim->now_us < sim->load->slow_until_ms * JD_US_PER_MS;
  double mean_ms = sim->load->service_ms * (is_slow ? sim->load->slow_factor : 1.0);
  return (int64_t)(-log (1.0 - draw (sim)) * mean_ms * (double)JD_US_PER_MS);
}

/* Counts an answered request by its duration. */
static void
count_answer (pause_sim_t *sim, int64_t arrived_us, int64_t answered_us)
{
  if (answered_us - arrived_us <= sim->load->objective_ms * JD_US_PER_MS)
    sim->result.in_objective++;
  else
    sim->result.late++;
}

/* Starts queued requests on the free slots of a target. */
static void
start_queued (pause_sim_t *sim, uint32_t index)
{
  sim_target_t *target = &sim->targets[index];
  for (uint32_t slot = 0; slot < sim->load->slots && target->queued > 0; slot++)
    {
      if (target->free_at_us[slot] > sim->now_us)
        continue;
      int64_t arrived_us = target->queue_us[0];
      target->queued--;
      for (uint32_t i = 0; i < target->queued; i++)
        target->queue_us[i] = target->queue_us[i + 1];
      target->free_at_us[slot] = sim->now_us + service_time_us (sim, index);
      count_answer (sim, arrived_us, target->free_at_us[slot]);
    }
}

/* Returns TRUE if a host may send a request to a target now. */
static bool
is_open (pause_sim_t *sim, const jd_target_notice_t *notice)
{
  if (jd_target_notice_access (notice, 0, sim->now_us) == JD_TARGET_ACCESS_CLOSED)
    return false;
  if (sim->policy != JD_PAUSE_RETURN_RAMP || notice->paused_until_us == 0)
    return true;
  double ramp_us = RAMP_SHARE * (double)(sim->load->pause_ms * JD_US_PER_MS);
  return draw (sim) < (double)(sim->now_us - notice->paused_until_us) / ramp_us;
}

/* Offers a request to a target. Returns FALSE if the target answers 503; the host then
 * pauses. */
static bool
offer (pause_sim_t *sim, uint32_t host, uint32_t index, bool is_repeated)
{
  sim_target_t *target = &sim->targets[index];
  jd_target_notice_t *notice = sim->notices[host * sim->load->targets + index];
  if (index == 0 && target->has_paused)
    target->arrivals_in_window++;
  start_queued (sim, index);
  if (target->queued < sim->load->queue_max)
    {
      /* A repeated request is late in any case. */
      target->queue_us[target->queued++] = is_repeated ? INT64_MIN / 2 : sim->now_us;
      start_queued (sim, index);
      return true;
    }
  double place = sim->policy == JD_PAUSE_RETURN_SPREAD ? draw (sim) : 0.0;
  jd_target_notice_set_pause (notice, sim->load->pause_ms * JD_US_PER_MS, place,
                              sim->now_us);
  target->has_paused = true;
  sim->result.shed++;
  return false;
}

/* Refuses a request. A caller that was not refused before tries again when the first
 * pause of the host ends. */
static void
refuse (pause_sim_t *sim, uint32_t host, bool is_repeated)
{
  const jd_pause_load_t *load = sim->load;
  int64_t wait_us = INT64_MAX;
  for (uint32_t i = 0; i < load->targets; i++)
    wait_us = MIN (wait_us, jd_target_notice_open_in_us (
                                sim->notices[host * load->targets + i], 0, sim->now_us));
  int64_t return_ms = (sim->now_us + MIN (wait_us, CALLER_WAIT_MAX_US)) / JD_US_PER_MS;
  if (is_repeated || return_ms >= load->duration_ms)
    sim->result.refused++;
  else
    sim->returning[return_ms]++;
}

/* Sends one request of a random host to up to ATTEMPTS_MAX targets. A repeated one is of
 * a caller that was refused before. */
static void
send_request (pause_sim_t *sim, bool is_repeated)
{
  const jd_pause_load_t *load = sim->load;
  uint32_t host = (uint32_t)(draw (sim) * load->hosts) % load->hosts;
  uint32_t first = (uint32_t)(draw (sim) * load->targets);
  uint32_t attempts = 0;
  sim->result.requests += !is_repeated;
  for (uint32_t i = 0; i < load->targets && attempts < ATTEMPTS_MAX; i++)
    {
      uint32_t index = (first + i) % load->targets;
      if (!is_open (sim, sim->notices[host * load->targets + index]))
        continue;
      attempts++;
      if (offer (sim, host, index, is_repeated))
        return;
    }
  refuse (sim, host, is_repeated);
}

/* Returns a load of 300 hosts on targets that serve 4,000 requests/s each; the first one
 * serves 1,000 for 6 of 15 s. requests_per_s is the load of one target. */
jd_pause_load_t
jd_pause_load (uint32_t targets, double requests_per_s, int64_t pause_ms, uint64_t seed)
{
  return (jd_pause_load_t){ .seed = seed,
                            .hosts = 300,
                            .targets = targets,
                            .slots = 40,
                            .queue_max = 80,
                            .requests_per_s = requests_per_s * targets,
                            .service_ms = 10.0,
                            .slow_factor = 4.0,
                            .slow_until_ms = 6000,
                            .pause_ms = pause_ms,
                            .objective_ms = 50,
                            .duration_ms = 15000 };
}

/* Plays a load with a way to return. The same seed gives the same result. */
jd_pause_result_t
jd_pause_sim_run (const jd_pause_load_t *load, jd_pause_return_t policy)
{
  pause_sim_t sim = { .load = load,
                      .policy = policy,
                      .random = { .seed = load->seed },
                      /* The notices take time 0 for none. */
                      .now_us = JD_US_PER_MS };
  g_assert (load->targets <= TARGETS_MAX && load->slots <= SLOTS_MAX &&
            load->queue_max <= QUEUE_MAX);
  const jd_target_process_t process = { .born_ms = 1 };
  uint32_t notice_count = load->hosts * load->targets;
  sim.notices = g_new (jd_target_notice_t *, notice_count);
  for (uint32_t i = 0; i < notice_count; i++)
    sim.notices[i] = jd_target_notice_new (&process);
  sim.returning = g_new0 (uint32_t, load->duration_ms);
  double due = 0.0;
  for (int64_t ms = 0; ms < load->duration_ms; ms++, sim.now_us += JD_US_PER_MS)
    {
      due += load->requests_per_s / 1000.0;
      uint32_t new_count = (uint32_t)due;
      due -= new_count;
      for (uint32_t i = 0; i < new_count; i++)
        send_request (&sim, false);
      for (uint32_t i = 0; i < sim.returning[ms]; i++)
        send_request (&sim, true);
      for (uint32_t i = 0; i < load->targets; i++)
        start_queued (&sim, i);
      sim_target_t *first = &sim.targets[0];
      if (ms % 100 == 99)
        {
          sim.result.peak_per_100_ms =
              MAX (sim.result.peak_per_100_ms, first->arrivals_in_window);
          first->arrivals_in_window = 0;
        }
    }
  for (uint32_t i = 0; i < notice_count; i++)
    jd_target_notice_unref (sim.notices[i]);
  g_free (sim.notices);
  g_free (sim.returning);
  return sim.result;
}
