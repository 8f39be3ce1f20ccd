#include <arpa/inet.h>
#include <stdio.h>

#include "base/clock.h"
#include "base/rng.h"
#include "routing/replica_choice.h"
#include "routing/replica_registry.h"
#include "support/test_main.h"

#define SEEDS 60
#define STEP_US (5 * JD_US_PER_MS)
#define STEPS 12000 /* One minute. */
#define TARGETS 5
#define ADDRESSES 7
#define DRAIN_LIMIT_US (3 * JD_US_PER_S)
#define ANSWER_DELAY_MAX_US (80 * JD_US_PER_MS)
#define PENDING_MAX 256
/* Requests that the rule on pauses allows, and the time after which it counts them. */
#define PAUSE_REQUESTS_MAX 2
#define PAUSE_GRACE_US (JD_US_PER_S / 2)

/* One process of a target, as the test knows it. */
typedef struct jd_sim_process
{
  int64_t born_ms;
  uint16_t port;
  bool runs;
  bool is_leaving;
  int64_t busy_until_us; /* Until then it answers 503 with a pause. */
  /* What this host has been told, and what it did since. */
  int64_t told_leaving_us;
  int64_t told_pause_us;
  int64_t told_pause_end_us;
  uint32_t requests_in_pause;
} jd_sim_process_t;

typedef struct jd_sim_answer
{
  jd_replica_t *replica; /* NULL: the entry is free. */
  uint32_t target;
  int64_t born_ms;
  int64_t due_us;
} jd_sim_answer_t;

typedef struct jd_sim
{
  jd_replica_registry_t *registry;
  jd_replica_pool_t *pool;
  jd_sim_process_t processes[TARGETS];
  jd_sim_answer_t answers[PENDING_MAX];
  jd_philox_t random;
  int64_t now_us;
  uint32_t sent, drain_violations, pause_violations, leaving_count, pause_count;
} jd_sim_t;

static uint32_t
draw_below (jd_sim_t *sim, uint32_t bound)
{
  jd_rng_t rng = jd_philox_rng (&sim->random);
  return (uint32_t)jd_rng_below (&rng, bound);
}

static double
draw_unit (jd_sim_t *sim)
{
  jd_rng_t rng = jd_philox_rng (&sim->random);
  return jd_rng_unit (&rng);
}

static void
ignore_replica (void *context, jd_replica_t *replica)
{
}

/* Publishes the record of a target's process, or one that is born_lag_ms older. */
static void
publish (jd_sim_t *sim, uint32_t target, int64_t born_lag_ms)
{
  const jd_sim_process_t *process = &sim->processes[target];
  char id[8];
  g_snprintf (id, sizeof (id), "t%u", target);
  jd_replica_spec_t spec = { .id = id,
                             .service = "desk",
                             .zone = target % 2 ? "a" : "b",
                             .slots = 2,
                             .born_ms = process->born_ms - born_lag_ms,
                             .address = { .sin_port = htons (process->port) } };
  jd_replica_registry_put (sim->registry, &spec, sim->now_us);
}

/* Starts a new process of a target at an address that another one may have used. */
static void
restart (jd_sim_t *sim, uint32_t target)
{
  jd_sim_process_t *process = &sim->processes[target];
  int64_t born_ms = MAX (process->born_ms + 1, sim->now_us / JD_US_PER_MS);
  *process = (jd_sim_process_t){ .born_ms = born_ms,
                                 .port = (uint16_t)(9000 + draw_below (sim, ADDRESSES)),
                                 .runs = true };
  publish (sim, target, 0);
}

/* Applies at most one random event to a target. */
static void
disturb (jd_sim_t *sim)
{
  uint32_t target = draw_below (sim, TARGETS);
  jd_sim_process_t *process = &sim->processes[target];
  char id[8];
  g_snprintf (id, sizeof (id), "t%u", target);
  switch (draw_below (sim, 400))
    {
    case 0:
      process->runs = false;
      break;
    case 1:
    case 2:
      restart (sim, target);
      break;
    case 3:
      process->is_leaving = true;
      break;
    case 4:
    case 5:
      process->busy_until_us = sim->now_us + draw_below (sim, 4000) * JD_US_PER_MS;
      break;
    case 6:
      jd_replica_registry_remove (sim->registry, id, sim->now_us);
      break;
    case 7:
      publish (sim, target, 0);
      break;
    case 8: /* A record from before this process reaches the host late. */
      publish (sim, target, 1 + draw_below (sim, 1000));
      break;
    default:
      break;
    }
}

/* Checks the two rules for a request that arrives at a process. */
static void
check_arrival (jd_sim_t *sim, jd_sim_process_t *process)
{
  if (process->told_leaving_us > 0 &&
      sim->now_us - process->told_leaving_us >= DRAIN_LIMIT_US)
    sim->drain_violations++;
  if (process->told_pause_end_us > sim->now_us &&
      sim->now_us - process->told_pause_us > PAUSE_GRACE_US &&
      ++process->requests_in_pause > PAUSE_REQUESTS_MAX)
    sim->pause_violations++;
}

/* Sends a request to the chosen replica. Its answer comes after a random delay. */
static void
send_request (jd_sim_t *sim)
{
  jd_replica_criteria_t criteria = { .typical_latency_us = 20 * JD_US_PER_MS,
                                     .salt = draw_below (sim, UINT32_MAX) };
  jd_replica_t *replica = jd_replica_choose (sim->pool, &criteria, sim->now_us);
  if (!replica)
    return;
  uint32_t target = (uint32_t)(replica->id[1] - '0');
  jd_sim_process_t *process = &sim->processes[target];
  sim->sent++;
  if (!process->runs || replica->address.sin_port != htons (process->port))
    {
      jd_replica_observe (replica, JD_REPLICA_UNREACHABLE, 0, 0, sim->now_us);
      return;
    }
  check_arrival (sim, process);
  for (uint32_t i = 0; i < PENDING_MAX; i++)
    {
      if (sim->answers[i].replica)
        continue;
      sim->answers[i] = (jd_sim_answer_t){
        .replica = jd_replica_ref (replica),
        .target = target,
        .born_ms = process->born_ms,
        .due_us = sim->now_us + draw_below (sim, ANSWER_DELAY_MAX_US),
      };
      return;
    }
}

/* Delivers an answer: the host records what the target says in it. */
static void
deliver (jd_sim_t *sim, const jd_sim_answer_t *answer)
{
  jd_sim_process_t *process = &sim->processes[answer->target];
  jd_target_notice_t *notice = answer->replica->notice;
  if (!process->runs || process->born_ms != answer->born_ms)
    return;
  if (process->is_leaving)
    {
      jd_target_notice_set_leaving (notice, sim->now_us);
      if (process->told_leaving_us == 0)
        process->told_leaving_us = sim->now_us;
      sim->leaving_count++;
    }
  int64_t pause_us = process->busy_until_us - sim->now_us;
  if (pause_us > 0)
    {
      jd_target_notice_set_pause (notice, pause_us, draw_unit (sim), sim->now_us);
      if (sim->now_us >= process->told_pause_end_us)
        {
          process->told_pause_us = sim->now_us;
          process->requests_in_pause = 0;
        }
      process->told_pause_end_us = sim->now_us + pause_us;
      sim->pause_count++;
    }
  jd_replica_observe (answer->replica, pause_us > 0 ? JD_REPLICA_SHED : JD_REPLICA_OK,
                      20 * JD_US_PER_MS, 20 * JD_US_PER_MS, sim->now_us);
}

/* Plays one minute of a host and five targets. */
static void
play (jd_sim_t *sim, uint64_t seed)
{
  jd_replica_events_t events = { ignore_replica, ignore_replica, NULL };
  *sim = (jd_sim_t){ .random = { .seed = seed }, .now_us = 100 * JD_US_PER_S };
  sim->registry = jd_replica_registry_new ("a", &events);
  jd_replica_registry_set_drain_limit (sim->registry, DRAIN_LIMIT_US);
  sim->pool = jd_replica_registry_pool (sim->registry, "desk");
  for (uint32_t i = 0; i < TARGETS; i++)
    restart (sim, i);
  for (uint32_t step = 0; step < STEPS; step++)
    {
      sim->now_us += STEP_US;
      disturb (sim);
      send_request (sim);
      for (uint32_t i = 0; i < PENDING_MAX; i++)
        {
          jd_sim_answer_t *answer = &sim->answers[i];
          if (!answer->replica || answer->due_us > sim->now_us)
            continue;
          deliver (sim, answer);
          jd_replica_unref (answer->replica);
          answer->replica = NULL;
        }
      jd_replica_registry_expire_notices (sim->registry, sim->now_us);
    }
  for (uint32_t i = 0; i < PENDING_MAX; i++)
    jd_replica_unref (sim->answers[i].replica);
  jd_replica_pool_unref (sim->pool);
  jd_replica_registry_free (sim->registry);
}

/* Guards against requests to a target later than the drain limit after it said that it is
 * leaving, and during a pause that it asked for, while targets are killed and restarted,
 * addresses are used again, and records are removed, return and arrive late. */
static void
told_targets_get_no_requests (void)
{
  uint32_t sent = 0, leaving_count = 0, pause_count = 0;
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      static jd_sim_t sim;
      play (&sim, seed);
      if (sim.drain_violations + sim.pause_violations > 0)
        printf ("seed %u: %u requests after the drain limit, %u in pauses\n",
                (unsigned)seed, sim.drain_violations, sim.pause_violations);
      CU_ASSERT_EQUAL (sim.drain_violations, 0);
      CU_ASSERT_EQUAL (sim.pause_violations, 0);
      sent += sim.sent;
      leaving_count += sim.leaving_count;
      pause_count += sim.pause_count;
    }
  /* The rules were put to the test. */
  CU_ASSERT_TRUE (sent > SEEDS * STEPS / 2);
  CU_ASSERT_TRUE (leaving_count > 10 * SEEDS);
  CU_ASSERT_TRUE (pause_count > 10 * SEEDS);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "told targets get no requests", told_targets_get_no_requests },
  };
  return JD_TEST_RUN ("target_notices", cases);
}
