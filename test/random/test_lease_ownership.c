#include <string.h>

#include "base/clock.h"
#include "membership/ownership.h"
#include "support/sim_network.h"
#include "support/test_main.h"

#define MS JD_US_PER_MS
#define GHOSTS 2 /* Second processes of seats that already have one. */
#define MAX_PROCESSES (JD_CELL_MAX_SEATS + GHOSTS)
#define RESOURCES 6
#define FAULT_TIME_US (15 * JD_US_PER_S)
#define DRAIN_TIME_US (300 * MS)

/* What is switched off to show that the check finds violations. */
typedef enum sabotage
{
  SABOTAGE_NONE,
  SABOTAGE_PLAIN_VIEW,      /* Ownership among the seats heard lately, without a lease. */
  SABOTAGE_SHORT_THRESHOLD, /* Takeover threshold of one lease and the margin. */
  SABOTAGE_NO_WAIT,         /* No takeover wait. */
  SABOTAGE_OWN_VOTE,        /* The own vote counts without the listed address. */
  SABOTAGE_DRAINING_GONE,   /* Draining seats are taken over while they work. */
  SABOTAGE_NO_MEMORY,       /* Members forget what they acknowledged. */
  SABOTAGE_COUNT,
} sabotage_t;

typedef struct message
{
  gboolean is_ack;
  jd_heartbeat_t heartbeat;
  jd_heartbeat_ack_t ack;
} message_t;

typedef struct process
{
  struct world *world;
  uint32_t seat;
  jd_lease_t *lease; /* NULL: down. */
  jd_ownership_t *ownership;
  int64_t draining_since_us;
  int64_t heard_us[JD_CELL_MAX_SEATS]; /* For SABOTAGE_PLAIN_VIEW. */
} process_t;

typedef struct use
{
  uint64_t incarnation;
  int64_t end_us;
  int64_t last_us;
} use_t;

typedef struct world
{
  jd_philox_t philox;
  jd_rng_t rng;
  sim_network_t *network;
  sabotage_t sabotage;
  jd_lease_settings_t settings;
  uint32_t seat_count;
  char names[JD_CELL_MAX_SEATS][JD_NAME_SIZE];
  const char *seats[JD_CELL_MAX_SEATS];
  uint32_t holder[JD_CELL_MAX_SEATS]; /* Process at the listed address of a seat. */
  process_t processes[MAX_PROCESSES];
  use_t uses[RESOURCES];
  uint64_t incarnations;
  uint32_t violations;
  uint64_t total_uses;
} world_t;

static uint64_t first_seed = 1;
static uint64_t seed_count = 40;

static void
send_heartbeat (void *context, const char *to_seat, const jd_heartbeat_t *heartbeat)
{
  process_t *process = context;
  world_t *world = process->world;
  message_t message = { .heartbeat = *heartbeat };
  uint32_t from = (uint32_t)(process - world->processes);
  for (uint32_t i = 0; i < world->seat_count; i++)
    {
      gboolean own = world->sabotage == SABOTAGE_OWN_VOTE && i == process->seat;
      if (strcmp (world->seats[i], to_seat) == 0)
        sim_network_send (world->network, from, own ? from : world->holder[i],
                          g_bytes_new (&message, sizeof (message)));
    }
}

static void
stop_process (process_t *process)
{
  jd_ownership_free (process->ownership);
  jd_lease_free (process->lease);
  process->ownership = NULL;
  process->lease = NULL;
}

/* Starts a process without state. A slow wall clock makes its incarnation lower than
 * that of its predecessor. */
static void
start_process (world_t *world, uint32_t id, uint32_t seat, gboolean slow_wall_clock)
{
  process_t *process = &world->processes[id];
  stop_process (process);
  *process = (process_t){ .world = world, .seat = seat };
  uint64_t now = (uint64_t)sim_network_now_us (world->network) + JD_US_PER_S * 100;
  sim_network_set_clock (world->network, id,
                         (int64_t)jd_rng_below (&world->rng, 1000000000),
                         600 * jd_rng_unit (&world->rng) - 300);
  if (slow_wall_clock)
    now -= jd_rng_below (&world->rng, 20 * JD_US_PER_S);
  jd_lease_options_t options = { .seat = world->seats[seat],
                                 .incarnation = (now << 12) + world->incarnations++,
                                 .seats = world->seats,
                                 .seat_count = world->seat_count,
                                 .settings = world->settings,
                                 .send = send_heartbeat,
                                 .context = process };
  process->lease = jd_lease_new (&options, sim_network_local_us (world->network, id));
  process->ownership = jd_ownership_new (process->lease, "cell");
  sim_network_wake_in (world->network, id, (int64_t)jd_rng_below (&world->rng, 20 * MS));
}

/* The rule of SABOTAGE_PLAIN_VIEW. */
static gboolean
owns_by_plain_view (const process_t *process, const char *resource, int64_t local_us)
{
  const world_t *world = process->world;
  const char *alive[JD_CELL_MAX_SEATS];
  uint32_t count = 0;
  for (uint32_t i = 0; i < world->seat_count; i++)
    {
      if (i == process->seat ||
          (process->heard_us[i] && local_us - process->heard_us[i] < 900 * MS))
        alive[count++] = world->seats[i];
    }
  return jd_ownership_choose (alive, count, resource) == world->seats[process->seat];
}

/* Returns TRUE when a process may begin a write now. While it drains it still works on
 * requests accepted before. */
static gboolean
may_use (process_t *process, const char *resource, int64_t local_us)
{
  if (process->world->sabotage == SABOTAGE_PLAIN_VIEW)
    return owns_by_plain_view (process, resource, local_us);
  if (jd_lease_state (process->lease) == JD_SEAT_DRAINING &&
      local_us - process->draining_since_us > DRAIN_TIME_US)
    return FALSE;
  return local_us < jd_ownership_valid_until_us (process->ownership, resource, local_us);
}

/* Begins work on every resource that the process may use, and counts a violation when
 * work of another process may still be running. */
static void
use_resources (process_t *process, int64_t local_us)
{
  world_t *world = process->world;
  int64_t now_us = sim_network_now_us (world->network);
  uint64_t incarnation = jd_lease_incarnation (process->lease);
  for (uint32_t i = 0; i < RESOURCES; i++)
    {
      char resource[8];
      g_snprintf (resource, sizeof (resource), "r%u", i);
      if (!may_use (process, resource, local_us))
        continue;
      use_t *use = &world->uses[i];
      if (use->incarnation != incarnation && use->end_us > now_us)
        world->violations++;
      *use = (use_t){ incarnation, now_us + world->settings.work_bound_us, now_us };
      world->total_uses++;
    }
}

static void
on_wake (void *context, uint32_t id)
{
  world_t *world = context;
  process_t *process = &world->processes[id];
  if (!process->lease)
    return;
  int64_t local_us = sim_network_local_us (world->network, id);
  jd_lease_tick (process->lease, local_us);
  use_resources (process, local_us);
  sim_network_wake_in (world->network, id,
                       10 * MS + (int64_t)jd_rng_below (&world->rng, 20 * MS));
}

static void
on_message (void *context, uint32_t id, uint32_t from, GBytes *bytes)
{
  world_t *world = context;
  process_t *process = &world->processes[id];
  const message_t *message = g_bytes_get_data (bytes, NULL);
  if (!process->lease)
    return;
  int64_t local_us = sim_network_local_us (world->network, id);
  message_t reply = { .is_ack = TRUE };
  if (message->is_ack)
    {
      jd_lease_on_ack (process->lease, &message->ack, local_us);
      process->heard_us[world->processes[from].seat] = local_us;
    }
  else
    {
      jd_heartbeat_t heartbeat = message->heartbeat;
      if (world->sabotage == SABOTAGE_DRAINING_GONE &&
          heartbeat.state == JD_SEAT_DRAINING)
        heartbeat.state = JD_SEAT_RELEASED;
      if (jd_lease_on_heartbeat (process->lease, &heartbeat, local_us, &reply.ack))
        sim_network_send (world->network, id, from, g_bytes_new (&reply, sizeof (reply)));
    }
  use_resources (process, local_us);
}

static world_t *
new_world (uint64_t seed, uint32_t seat_count, sabotage_t sabotage)
{
  world_t *world = g_new0 (world_t, 1);
  world->philox = (jd_philox_t){ .seed = seed };
  world->rng = jd_philox_rng (&world->philox);
  world->seat_count = seat_count;
  world->sabotage = sabotage;
  world->settings = jd_lease_settings_default ();
  if (sabotage == SABOTAGE_SHORT_THRESHOLD)
    world->settings.takeover_threshold_us = 900 * MS;
  if (sabotage == SABOTAGE_NO_WAIT)
    world->settings.takeover_wait_us = 0;
  if (sabotage == SABOTAGE_NO_MEMORY)
    world->settings.vote_memory_us = world->settings.vote_silence_us = 0;
  sim_handlers_t handlers = { on_message, on_wake, world };
  world->network = sim_network_new (MAX_PROCESSES, &world->rng, &handlers);
  for (uint32_t i = 0; i < seat_count; i++)
    {
      g_snprintf (world->names[i], JD_NAME_SIZE, "seat-%u", i);
      world->seats[i] = world->names[i];
      world->holder[i] = i;
    }
  for (uint32_t i = 0; i < seat_count; i++)
    start_process (world, i, i, FALSE);
  return world;
}

static void
free_world (world_t *world)
{
  for (uint32_t i = 0; i < MAX_PROCESSES; i++)
    stop_process (&world->processes[i]);
  sim_network_free (world->network);
  g_free (world);
}

static uint32_t
below (world_t *world, uint32_t bound)
{
  return (uint32_t)jd_rng_below (&world->rng, bound);
}

static uint32_t
random_process (world_t *world)
{
  uint32_t i = below (world, world->seat_count + GHOSTS);
  return i < world->seat_count ? i : JD_CELL_MAX_SEATS + i - world->seat_count;
}

/* Splits all processes into two groups; one in three splits is one-way. */
static void
split (world_t *world)
{
  uint32_t sides = below (world, 1U << MAX_PROCESSES);
  gboolean one_way = below (world, 3) == 0;
  for (uint32_t i = 0; i < MAX_PROCESSES; i++)
    {
      for (uint32_t j = 0; j < MAX_PROCESSES; j++)
        {
          gboolean from = sides >> i & 1;
          gboolean to = sides >> j & 1;
          sim_network_cut (world->network, i, j, one_way ? from && !to : from != to);
        }
    }
}

/* Starts a second process for a seat, at its listed address or at another one. */
static void
start_ghost (world_t *world)
{
  uint32_t id = JD_CELL_MAX_SEATS + below (world, GHOSTS);
  uint32_t seat = below (world, world->seat_count);
  for (uint32_t i = 0; i < world->seat_count; i++)
    {
      if (world->holder[i] == id)
        return;
    }
  if (below (world, 2))
    world->holder[seat] = id;
  start_process (world, id, seat, below (world, 8) == 0);
}

static void
set_quality (world_t *world)
{
  sim_faults_t faults = { .delay_us = (int64_t)(1 + below (world, 20)) * MS };
  if (below (world, 2))
    faults = (sim_faults_t){ .delay_us = (int64_t)(1 + below (world, 200)) * MS,
                             .loss = 0.4 * jd_rng_unit (&world->rng),
                             .duplicate = 0.3 * jd_rng_unit (&world->rng),
                             .slow = 0.5 * jd_rng_unit (&world->rng),
                             .slow_us = below (world, 2500) * MS };
  sim_network_set_faults (world->network, &faults);
}

/* Drains a process, releases it when its last work has ended, or takes it back. */
static void
drain_or_release (world_t *world, uint32_t id)
{
  process_t *process = &world->processes[id];
  int64_t local_us = sim_network_local_us (world->network, id);
  int64_t drained_us = local_us - process->draining_since_us;
  jd_seat_state_t state = jd_lease_state (process->lease);
  if (state == JD_SEAT_RELEASED)
    jd_lease_reactivate (process->lease, jd_lease_incarnation (process->lease) + 1,
                         local_us);
  else if (state == JD_SEAT_ACTIVE)
    {
      process->draining_since_us = local_us;
      jd_lease_set_state (process->lease, JD_SEAT_DRAINING, local_us);
    }
  else if (drained_us > DRAIN_TIME_US + world->settings.work_bound_us + 10 * MS)
    jd_lease_set_state (process->lease, JD_SEAT_RELEASED, local_us);
}

static void
inject_fault (world_t *world)
{
  uint32_t id = random_process (world);
  process_t *process = &world->processes[id];
  uint32_t kind = below (world, 13);
  if (kind <= 1)
    split (world);
  else if (kind <= 3)
    sim_network_heal (world->network);
  else if (kind == 4)
    set_quality (world);
  else if (kind == 5)
    start_ghost (world);
  else if (kind == 6)
    sim_network_cut (world->network, random_process (world), id, TRUE);
  else if (!process->lease)
    return;
  else if (kind <= 8)
    sim_network_pause (world->network, id, (int64_t)(50 + below (world, 3000)) * MS);
  else if (kind == 9)
    start_process (world, id, process->seat, below (world, 8) == 0);
  else if (kind == 10)
    stop_process (process);
  else
    drain_or_release (world, id);
}

/* Ends all faults and gives every seat one running process. */
static void
end_faults (world_t *world)
{
  const sim_faults_t none = { .delay_us = MS };
  sim_network_heal (world->network);
  sim_network_set_faults (world->network, &none);
  for (uint32_t i = 0; i < MAX_PROCESSES; i++)
    {
      process_t *process = &world->processes[i];
      gboolean is_holder = process->lease && world->holder[process->seat] == i;
      if (!is_holder || jd_lease_state (process->lease) != JD_SEAT_ACTIVE)
        stop_process (process);
    }
  for (uint32_t i = 0; i < world->seat_count; i++)
    {
      if (!world->processes[world->holder[i]].lease)
        start_process (world, world->holder[i], i, FALSE);
    }
}

/* Returns when the last resource came into use after now, -1 if one did not within the
 * limit. */
static int64_t
wait_all_used_us (world_t *world, int64_t limit_us)
{
  int64_t from_us = sim_network_now_us (world->network);
  for (int64_t waited_us = 10 * MS; waited_us <= limit_us; waited_us += 10 * MS)
    {
      sim_network_run_until (world->network, from_us + waited_us);
      uint32_t used = 0;
      for (uint32_t i = 0; i < RESOURCES; i++)
        used += world->uses[i].last_us > from_us ? 1 : 0;
      if (used == RESOURCES)
        return waited_us;
    }
  return -1;
}

/* Runs one seed with faults and returns the number of violations. */
static uint32_t
run_seed (uint64_t seed, sabotage_t sabotage, int64_t *recovery_us, uint64_t *uses)
{
  static const uint32_t sizes[] = { 1, 2, 3, 3, 4, 5, 9 };
  world_t *world = new_world (seed, sizes[seed % G_N_ELEMENTS (sizes)], sabotage);
  uint32_t pace_ms = 20 + below (world, 600);
  while (sim_network_now_us (world->network) < FAULT_TIME_US)
    {
      int64_t gap_us = (int64_t)(1 + below (world, 2 * pace_ms)) * MS;
      sim_network_run_until (world->network,
                             sim_network_now_us (world->network) + gap_us);
      inject_fault (world);
    }
  end_faults (world);
  /* Pauses may last 3 s longer, slow messages 2.7 s. */
  sim_network_run_until (world->network, FAULT_TIME_US + 6 * JD_US_PER_S);
  *recovery_us = wait_all_used_us (world, 5 * JD_US_PER_S);
  uint32_t violations = world->violations;
  *uses += world->total_uses;
  free_world (world);
  return violations;
}

/* Guards against two processes that use one resource at the same time, under any mix of
 * faults, and against a resource that stays without an owner when they end. */
static void
no_resource_has_two_users (void)
{
  uint64_t uses = 0;
  for (uint64_t seed = first_seed; seed < first_seed + seed_count; seed++)
    {
      int64_t recovery_us = -1;
      uint32_t violations = run_seed (seed, SABOTAGE_NONE, &recovery_us, &uses);
      CU_ASSERT_EQUAL (violations, 0);
      CU_ASSERT (recovery_us >= 0);
      if (violations > 0 || recovery_us < 0)
        g_print ("FAILED seed=%u violations=%u recovery_us=%d\n", (unsigned)seed,
                 violations, (int)recovery_us);
    }
  g_print ("seeds=%u uses=%u\n", (unsigned)seed_count, (unsigned)uses);
  CU_ASSERT (uses > 0);
}

/* Guards against a check that finds nothing: each part of the mechanism is switched off
 * in turn, and violations must appear. */
static void
check_finds_sabotage (void)
{
  const char *const names[SABOTAGE_COUNT] = {
    "none",          "plain view", "threshold of one lease",
    "no wait",       "own vote",   "draining counts as gone",
    "no vote memory"
  };
  for (int sabotage = SABOTAGE_PLAIN_VIEW; sabotage < SABOTAGE_COUNT; sabotage++)
    {
      uint32_t violations = 0;
      uint64_t uses = 0;
      uint64_t seed = 0;
      while (seed < 400 && violations == 0)
        {
          int64_t recovery_us;
          violations = run_seed (++seed, (sabotage_t)sabotage, &recovery_us, &uses);
        }
      g_print ("sabotage \"%s\": %u violations at seed %u\n", names[sabotage], violations,
               (unsigned)seed);
      CU_ASSERT (violations > 0);
    }
}

/* Guards against slow takeover: all resources are in use 2.9 s after a cold start
 * (900 ms vote silence, 1,400 ms wait, three heartbeats), 2.5 s after a crash, and
 * 400 ms after a graceful release. */
static void
takeover_is_within_its_bounds (void)
{
  for (uint32_t seats = 3; seats <= JD_CELL_MAX_SEATS; seats++)
    {
      world_t *world = new_world (seats, seats, SABOTAGE_NONE);
      int64_t cold_us = wait_all_used_us (world, 2900 * MS);
      sim_network_run_until (world->network, 10 * JD_US_PER_S);
      uint32_t id = below (world, seats);
      stop_process (&world->processes[id]);
      int64_t crash_us = wait_all_used_us (world, 2500 * MS);
      start_process (world, id, id, FALSE);
      sim_network_run_until (world->network, 20 * JD_US_PER_S);
      drain_or_release (world, id);
      sim_network_run_until (world->network, 21 * JD_US_PER_S);
      drain_or_release (world, id);
      int64_t release_us = wait_all_used_us (world, 400 * MS);
      g_print ("seats=%u cold=%dms crash=%dms release=%dms\n", seats, (int)(cold_us / MS),
               (int)(crash_us / MS), (int)(release_us / MS));
      CU_ASSERT (cold_us > 0);
      CU_ASSERT (crash_us > 0);
      CU_ASSERT (release_us > 0);
      CU_ASSERT_EQUAL (world->violations, 0);
      free_world (world);
    }
}

/* Gives every process its own time, within 4 s, to take a random new list of seats. */
static void
change_seats (world_t *world)
{
  const char *list[JD_CELL_MAX_SEATS];
  int64_t adopt_us[JD_CELL_MAX_SEATS];
  int64_t start_us = sim_network_now_us (world->network);
  memcpy (list, world->seats, sizeof (list));
  for (uint32_t i = JD_CELL_MAX_SEATS - 1; i > 0; i--)
    {
      uint32_t j = below (world, i + 1);
      const char *moved = list[i];
      list[i] = list[j];
      list[j] = moved;
    }
  uint32_t count = 2 + below (world, 4);
  for (uint32_t i = 0; i < JD_CELL_MAX_SEATS; i++)
    adopt_us[i] = start_us + below (world, 4000) * MS;
  for (int64_t now_us = start_us; now_us <= start_us + 4000 * MS; now_us += 20 * MS)
    {
      sim_network_run_until (world->network, now_us);
      for (uint32_t i = 0; i < JD_CELL_MAX_SEATS; i++)
        {
          if (adopt_us[i] <= now_us)
            jd_lease_set_seats (world->processes[i].lease, list, count,
                                sim_network_local_us (world->network, i));
        }
    }
}

/* Guards against an owner by the old list of seats beside one by the new list while a new
 * fleet record spreads, and against resources without an owner afterwards. */
static void
seats_may_change (void)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      world_t *world = new_world (seed, JD_CELL_MAX_SEATS, SABOTAGE_NONE);
      for (int i = 0; i < 4; i++)
        {
          change_seats (world);
          CU_ASSERT (wait_all_used_us (world, 6000 * MS) > 0);
        }
      CU_ASSERT_EQUAL (world->violations, 0);
      free_world (world);
    }
}

/* Arguments FIRST_SEED COUNT run the random part only, for long runs. */
int
main (int argc, char **argv)
{
  const jd_test_case_t cases[] = {
    { "no resource has two users", no_resource_has_two_users },
    { "takeover is within its bounds", takeover_is_within_its_bounds },
    { "seats may change", seats_may_change },
    { "check finds sabotage", check_finds_sabotage },
  };
  if (argc == 3)
    {
      first_seed = g_ascii_strtoull (argv[1], NULL, 10);
      seed_count = g_ascii_strtoull (argv[2], NULL, 10);
      return jd_test_run ("lease_ownership", cases, 1);
    }
  return JD_TEST_RUN ("lease_ownership", cases);
}
