#include <string.h>

#include "base/clock.h"
#include "membership/ownership.h"
#include "support/sim_network.h"
#include "support/test_main.h"

#define MS JD_US_PER_MS
#define DUPLICATE_PROCESSES 2 /* For members that already have a process. */
#define MAX_PROCESSES (JD_GROUP_MAX_MEMBERS + DUPLICATE_PROCESSES)
#define RESOURCE_COUNT 6
#define FAULT_TIME_US (15 * JD_US_PER_S)
#define DRAIN_TIME_US (300 * MS)

/* Defects of the protocol that the test injects to show that the check finds them. */
typedef enum defect
{
  DEFECT_NONE,
  DEFECT_NO_LEASE,         /* Ownership among recently acknowledging members, no lease. */
  DEFECT_SHORT_THRESHOLD,  /* Takeover threshold of one lease plus the margin only. */
  DEFECT_NO_TAKEOVER_WAIT, /* No wait between winning the lease and the first use. */
  DEFECT_OWN_VOTE,         /* Own vote is cast even if the listed address differs. */
  DEFECT_DRAINING_RELEASED, /* Draining members are taken over while they still work. */
  DEFECT_NO_VOTE_MEMORY,    /* Members lose the record of what they acknowledged. */
  DEFECT_COUNT,
} defect_t;

typedef struct message
{
  gboolean is_ack;
  jd_heartbeat_t heartbeat;
  jd_heartbeat_ack_t ack;
} message_t;

typedef struct process
{
  struct sim *sim;
  uint32_t member_index;
  jd_lease_t *lease; /* NULL: the process does not run. */
  jd_ownership_t *ownership;
  int64_t draining_since_us;
  int64_t last_ack_us[JD_GROUP_MAX_MEMBERS]; /* For DEFECT_NO_LEASE. */
} process_t;

typedef struct resource_use
{
  uint64_t incarnation;
  int64_t work_end_us;
  int64_t begin_us;
} resource_use_t;

typedef struct sim
{
  jd_philox_t philox;
  jd_rng_t rng;
  sim_network_t *network;
  defect_t defect;
  jd_lease_settings_t settings;
  uint32_t member_count;
  char names[JD_GROUP_MAX_MEMBERS][JD_NAME_SIZE];
  const char *members[JD_GROUP_MAX_MEMBERS];
  uint32_t listed_process[JD_GROUP_MAX_MEMBERS]; /* Process at the address of a member. */
  process_t processes[MAX_PROCESSES];
  resource_use_t uses[RESOURCE_COUNT];
  uint64_t incarnation_count;
  uint32_t violations;
  uint64_t use_count;
} sim_t;

static uint64_t first_seed = 1;
static uint64_t seed_count = 40;

static void
send_heartbeat (void *context, const char *to_member, const jd_heartbeat_t *heartbeat)
{
  process_t *process = context;
  sim_t *sim = process->sim;
  message_t message = { .heartbeat = *heartbeat };
  uint32_t from = (uint32_t)(process - sim->processes);
  for (uint32_t i = 0; i < sim->member_count; i++)
    {
      gboolean is_own_vote = sim->defect == DEFECT_OWN_VOTE && i == process->member_index;
      if (strcmp (sim->members[i], to_member) == 0)
        sim_network_send (sim->network, from, is_own_vote ? from : sim->listed_process[i],
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

/* Starts a process without state for a member. With a slow wall clock its incarnation may
 * be lower than that of the previous process. */
static void
start_process (sim_t *sim, uint32_t id, uint32_t member_index, gboolean slow_wall_clock)
{
  process_t *process = &sim->processes[id];
  stop_process (process);
  *process = (process_t){ .sim = sim, .member_index = member_index };
  uint64_t now = (uint64_t)sim_network_now_us (sim->network) + JD_US_PER_S * 100;
  sim_network_set_clock (sim->network, id, (int64_t)jd_rng_below (&sim->rng, 1000000000),
                         600 * jd_rng_unit (&sim->rng) - 300);
  if (slow_wall_clock)
    now -= jd_rng_below (&sim->rng, 20 * JD_US_PER_S);
  jd_lease_options_t options = { .member = sim->members[member_index],
                                 .incarnation = (now << 12) + sim->incarnation_count++,
                                 .members = sim->members,
                                 .member_count = sim->member_count,
                                 .settings = sim->settings,
                                 .send = send_heartbeat,
                                 .context = process };
  process->lease = jd_lease_new (&options, sim_network_local_us (sim->network, id));
  process->ownership = jd_ownership_new (process->lease, "cell");
  sim_network_wake_in (sim->network, id, (int64_t)jd_rng_below (&sim->rng, 20 * MS));
}

/* The ownership rule of DEFECT_NO_LEASE. */
static gboolean
owns_without_lease (const process_t *process, const char *resource, int64_t local_us)
{
  const sim_t *sim = process->sim;
  const char *live_members[JD_GROUP_MAX_MEMBERS];
  uint32_t count = 0;
  for (uint32_t i = 0; i < sim->member_count; i++)
    {
      if (i == process->member_index ||
          (process->last_ack_us[i] && local_us - process->last_ack_us[i] < 900 * MS))
        live_members[count++] = sim->members[i];
    }
  return jd_ownership_choose (live_members, count, resource) ==
         sim->members[process->member_index];
}

/* Returns TRUE if a process may begin work on a resource now. A draining process still
 * works on the requests that it accepted before, for DRAIN_TIME_US. */
static gboolean
may_use (process_t *process, const char *resource, int64_t local_us)
{
  if (process->sim->defect == DEFECT_NO_LEASE)
    return owns_without_lease (process, resource, local_us);
  if (jd_lease_state (process->lease) == JD_MEMBER_DRAINING &&
      local_us - process->draining_since_us > DRAIN_TIME_US)
    return FALSE;
  return local_us < jd_ownership_valid_until_us (process->ownership, resource, local_us);
}

/* Begins work on every resource that the process may use. Counts a violation if work of
 * another incarnation on the resource may still be running. */
static void
use_resources (process_t *process, int64_t local_us)
{
  sim_t *sim = process->sim;
  int64_t now_us = sim_network_now_us (sim->network);
  uint64_t incarnation = jd_lease_incarnation (process->lease);
  for (uint32_t i = 0; i < RESOURCE_COUNT; i++)
    {
      char resource[8];
      g_snprintf (resource, sizeof (resource), "r%u", i);
      if (!may_use (process, resource, local_us))
        continue;
      resource_use_t *last_use = &sim->uses[i];
      if (last_use->incarnation != incarnation && last_use->work_end_us > now_us)
        sim->violations++;
      *last_use =
          (resource_use_t){ incarnation, now_us + sim->settings.work_bound_us, now_us };
      sim->use_count++;
    }
}

static void
on_wake (void *context, uint32_t id)
{
  sim_t *sim = context;
  process_t *process = &sim->processes[id];
  if (!process->lease)
    return;
  int64_t local_us = sim_network_local_us (sim->network, id);
  jd_lease_tick (process->lease, local_us);
  use_resources (process, local_us);
  sim_network_wake_in (sim->network, id,
                       10 * MS + (int64_t)jd_rng_below (&sim->rng, 20 * MS));
}

static void
on_message (void *context, uint32_t id, uint32_t from, GBytes *bytes)
{
  sim_t *sim = context;
  process_t *process = &sim->processes[id];
  const message_t *message = g_bytes_get_data (bytes, NULL);
  if (!process->lease)
    return;
  int64_t local_us = sim_network_local_us (sim->network, id);
  message_t reply = { .is_ack = TRUE };
  if (message->is_ack)
    {
      jd_lease_on_ack (process->lease, &message->ack, local_us);
      process->last_ack_us[sim->processes[from].member_index] = local_us;
    }
  else
    {
      jd_heartbeat_t heartbeat = message->heartbeat;
      if (sim->defect == DEFECT_DRAINING_RELEASED &&
          heartbeat.state == JD_MEMBER_DRAINING)
        heartbeat.state = JD_MEMBER_RELEASED;
      if (jd_lease_on_heartbeat (process->lease, &heartbeat, local_us, &reply.ack))
        sim_network_send (sim->network, id, from, g_bytes_new (&reply, sizeof (reply)));
    }
  use_resources (process, local_us);
}

static sim_t *
new_sim (uint64_t seed, uint32_t member_count, defect_t defect)
{
  sim_t *sim = g_new0 (sim_t, 1);
  sim->philox = (jd_philox_t){ .seed = seed };
  sim->rng = jd_philox_rng (&sim->philox);
  sim->member_count = member_count;
  sim->defect = defect;
  sim->settings = jd_lease_settings_default ();
  if (defect == DEFECT_SHORT_THRESHOLD)
    sim->settings.takeover_threshold_us = 900 * MS;
  if (defect == DEFECT_NO_TAKEOVER_WAIT)
    sim->settings.takeover_wait_us = 0;
  if (defect == DEFECT_NO_VOTE_MEMORY)
    sim->settings.vote_memory_us = sim->settings.vote_silence_us = 0;
  sim_handlers_t handlers = { on_message, on_wake, sim };
  sim->network = sim_network_new (MAX_PROCESSES, &sim->rng, &handlers);
  for (uint32_t i = 0; i < member_count; i++)
    {
      g_snprintf (sim->names[i], JD_NAME_SIZE, "seat-%u", i);
      sim->members[i] = sim->names[i];
      sim->listed_process[i] = i;
    }
  for (uint32_t i = 0; i < member_count; i++)
    start_process (sim, i, i, FALSE);
  return sim;
}

static void
free_sim (sim_t *sim)
{
  for (uint32_t i = 0; i < MAX_PROCESSES; i++)
    stop_process (&sim->processes[i]);
  sim_network_free (sim->network);
  g_free (sim);
}

static uint32_t
random_below (sim_t *sim, uint32_t bound)
{
  return (uint32_t)jd_rng_below (&sim->rng, bound);
}

static uint32_t
random_process (sim_t *sim)
{
  uint32_t i = random_below (sim, sim->member_count + DUPLICATE_PROCESSES);
  return i < sim->member_count ? i : JD_GROUP_MAX_MEMBERS + i - sim->member_count;
}

/* Partitions all processes into two random sides. One in three partitions blocks only
 * one direction. */
static void
partition_network (sim_t *sim)
{
  uint32_t side_bits = random_below (sim, 1U << MAX_PROCESSES);
  gboolean one_way = random_below (sim, 3) == 0;
  for (uint32_t i = 0; i < MAX_PROCESSES; i++)
    {
      for (uint32_t j = 0; j < MAX_PROCESSES; j++)
        {
          gboolean from = side_bits >> i & 1;
          gboolean to = side_bits >> j & 1;
          sim_network_set_blocked (sim->network, i, j,
                                   one_way ? from && !to : from != to);
        }
    }
}

/* Starts a duplicate process for a random member, at the member's listed address or at
 * another one. */
static void
start_duplicate_process (sim_t *sim)
{
  uint32_t id = JD_GROUP_MAX_MEMBERS + random_below (sim, DUPLICATE_PROCESSES);
  uint32_t member_index = random_below (sim, sim->member_count);
  for (uint32_t i = 0; i < sim->member_count; i++)
    {
      if (sim->listed_process[i] == id)
        return;
    }
  if (random_below (sim, 2))
    sim->listed_process[member_index] = id;
  start_process (sim, id, member_index, random_below (sim, 8) == 0);
}

static void
set_random_link_faults (sim_t *sim)
{
  sim_faults_t faults = { .max_delay_us = (int64_t)(1 + random_below (sim, 20)) * MS };
  if (random_below (sim, 2))
    faults = (sim_faults_t){ .max_delay_us = (int64_t)(1 + random_below (sim, 200)) * MS,
                             .loss_fraction = 0.4 * jd_rng_unit (&sim->rng),
                             .duplicate_fraction = 0.3 * jd_rng_unit (&sim->rng),
                             .late_fraction = 0.5 * jd_rng_unit (&sim->rng),
                             .max_late_us = random_below (sim, 2500) * MS };
  sim_network_set_faults (sim->network, &faults);
}

/* Drains an active process, reactivates a released one, or releases a draining one if its
 * last work has ended. */
static void
advance_member_state (sim_t *sim, uint32_t id)
{
  process_t *process = &sim->processes[id];
  int64_t local_us = sim_network_local_us (sim->network, id);
  int64_t draining_us = local_us - process->draining_since_us;
  jd_member_state_t state = jd_lease_state (process->lease);
  if (state == JD_MEMBER_RELEASED)
    jd_lease_reactivate (process->lease, jd_lease_incarnation (process->lease) + 1,
                         local_us);
  else if (state == JD_MEMBER_ACTIVE)
    {
      process->draining_since_us = local_us;
      jd_lease_set_state (process->lease, JD_MEMBER_DRAINING, local_us);
    }
  else if (draining_us > DRAIN_TIME_US + sim->settings.work_bound_us + 10 * MS)
    jd_lease_set_state (process->lease, JD_MEMBER_RELEASED, local_us);
}

static void
inject_random_fault (sim_t *sim)
{
  uint32_t id = random_process (sim);
  process_t *process = &sim->processes[id];
  uint32_t kind = random_below (sim, 13);
  if (kind <= 1)
    partition_network (sim);
  else if (kind <= 3)
    sim_network_unblock_all (sim->network);
  else if (kind == 4)
    set_random_link_faults (sim);
  else if (kind == 5)
    start_duplicate_process (sim);
  else if (kind == 6)
    sim_network_set_blocked (sim->network, random_process (sim), id, TRUE);
  else if (!process->lease)
    return;
  else if (kind <= 8)
    sim_network_pause (sim->network, id, (int64_t)(50 + random_below (sim, 3000)) * MS);
  else if (kind == 9)
    start_process (sim, id, process->member_index, random_below (sim, 8) == 0);
  else if (kind == 10)
    stop_process (process);
  else
    advance_member_state (sim, id);
}

/* Ends all faults except pauses and leaves one running, active process per member, at its
 * listed address. */
static void
end_faults (sim_t *sim)
{
  const sim_faults_t none = { .max_delay_us = MS };
  sim_network_unblock_all (sim->network);
  sim_network_set_faults (sim->network, &none);
  for (uint32_t i = 0; i < MAX_PROCESSES; i++)
    {
      process_t *process = &sim->processes[i];
      gboolean is_listed =
          process->lease && sim->listed_process[process->member_index] == i;
      if (!is_listed || jd_lease_state (process->lease) != JD_MEMBER_ACTIVE)
        stop_process (process);
    }
  for (uint32_t i = 0; i < sim->member_count; i++)
    {
      if (!sim->processes[sim->listed_process[i]].lease)
        start_process (sim, sim->listed_process[i], i, FALSE);
    }
}

/* Runs the simulation until every resource has been used again and returns the time that
 * this took, or -1 if it takes longer than limit_us. */
static int64_t
run_until_all_used_us (sim_t *sim, int64_t limit_us)
{
  int64_t from_us = sim_network_now_us (sim->network);
  for (int64_t waited_us = 10 * MS; waited_us <= limit_us; waited_us += 10 * MS)
    {
      sim_network_run_until (sim->network, from_us + waited_us);
      uint32_t used = 0;
      for (uint32_t i = 0; i < RESOURCE_COUNT; i++)
        used += sim->uses[i].begin_us > from_us ? 1 : 0;
      if (used == RESOURCE_COUNT)
        return waited_us;
    }
  return -1;
}

/* Runs one seed with faults and returns the number of violations. Sets recovery_us to the
 * time from 6 s after the faults until all resources are in use, or to -1 if that takes
 * more than 5 s. Adds the number of uses to uses. */
static uint32_t
run_seed (uint64_t seed, defect_t defect, int64_t *recovery_us, uint64_t *uses)
{
  static const uint32_t sizes[] = { 1, 2, 3, 3, 4, 5, 9 };
  sim_t *sim = new_sim (seed, sizes[seed % G_N_ELEMENTS (sizes)], defect);
  uint32_t mean_gap_ms = 20 + random_below (sim, 600);
  while (sim_network_now_us (sim->network) < FAULT_TIME_US)
    {
      int64_t gap_us = (int64_t)(1 + random_below (sim, 2 * mean_gap_ms)) * MS;
      sim_network_run_until (sim->network, sim_network_now_us (sim->network) + gap_us);
      inject_random_fault (sim);
    }
  end_faults (sim);
  /* After the end of the faults, pauses may last up to 3 s and slow messages 2.7 s. */
  sim_network_run_until (sim->network, FAULT_TIME_US + 6 * JD_US_PER_S);
  *recovery_us = run_until_all_used_us (sim, 5 * JD_US_PER_S);
  uint32_t violations = sim->violations;
  *uses += sim->use_count;
  free_sim (sim);
  return violations;
}

/* Guards against two processes that use one resource at the same time under random
 * faults, and against a resource without an owner after the faults have ended. */
static void
no_resource_has_two_users_under_faults (void)
{
  uint64_t uses = 0;
  for (uint64_t seed = first_seed; seed < first_seed + seed_count; seed++)
    {
      int64_t recovery_us = -1;
      uint32_t violations = run_seed (seed, DEFECT_NONE, &recovery_us, &uses);
      CU_ASSERT_EQUAL (violations, 0);
      CU_ASSERT (recovery_us >= 0);
      if (violations > 0 || recovery_us < 0)
        g_print ("FAILED seed=%u violations=%u recovery_us=%d\n", (unsigned)seed,
                 violations, (int)recovery_us);
    }
  g_print ("seeds=%u uses=%u\n", (unsigned)seed_count, (unsigned)uses);
  CU_ASSERT (uses > 0);
}

/* Guards against a check that misses violations: each defect is injected in turn, and the
 * check must find a violation within 400 seeds. */
static void
check_finds_injected_defects (void)
{
  const char *const names[DEFECT_COUNT] = { "none",
                                            "no lease",
                                            "threshold of one lease",
                                            "no wait",
                                            "own vote without address",
                                            "draining counts as released",
                                            "no record of votes" };
  for (int defect = DEFECT_NO_LEASE; defect < DEFECT_COUNT; defect++)
    {
      uint32_t violations = 0;
      uint64_t uses = 0;
      uint64_t seed = 0;
      while (seed < 400 && violations == 0)
        {
          int64_t recovery_us;
          violations = run_seed (++seed, (defect_t)defect, &recovery_us, &uses);
        }
      g_print ("defect \"%s\": %u violations at seed %u\n", names[defect], violations,
               (unsigned)seed);
      CU_ASSERT (violations > 0);
    }
}

/* Guards against slow takeover: all resources must be in use 2.9 s after a cold start
 * (900 ms vote silence, 1,400 ms takeover wait, three heartbeats), 2.5 s after a crash,
 * and 400 ms after a graceful release. */
static void
takeover_takes_at_most_its_bounds (void)
{
  for (uint32_t member_count = 3; member_count <= JD_GROUP_MAX_MEMBERS; member_count++)
    {
      sim_t *sim = new_sim (member_count, member_count, DEFECT_NONE);
      int64_t cold_us = run_until_all_used_us (sim, 2900 * MS);
      sim_network_run_until (sim->network, 10 * JD_US_PER_S);
      uint32_t id = random_below (sim, member_count);
      stop_process (&sim->processes[id]);
      int64_t crash_us = run_until_all_used_us (sim, 2500 * MS);
      start_process (sim, id, id, FALSE);
      sim_network_run_until (sim->network, 20 * JD_US_PER_S);
      advance_member_state (sim, id);
      sim_network_run_until (sim->network, 21 * JD_US_PER_S);
      advance_member_state (sim, id);
      int64_t release_us = run_until_all_used_us (sim, 400 * MS);
      g_print ("seats=%u cold=%dms crash=%dms release=%dms\n", member_count,
               (int)(cold_us / MS), (int)(crash_us / MS), (int)(release_us / MS));
      CU_ASSERT (cold_us > 0);
      CU_ASSERT (crash_us > 0);
      CU_ASSERT (release_us > 0);
      CU_ASSERT_EQUAL (sim->violations, 0);
      free_sim (sim);
    }
}

/* Changes the list of members to a random one, which each process applies at a random
 * time within 4 s. */
static void
change_members (sim_t *sim)
{
  const char *new_members[JD_GROUP_MAX_MEMBERS];
  int64_t adopt_us[JD_GROUP_MAX_MEMBERS];
  int64_t start_us = sim_network_now_us (sim->network);
  memcpy (new_members, sim->members, sizeof (new_members));
  for (uint32_t i = JD_GROUP_MAX_MEMBERS - 1; i > 0; i--)
    {
      uint32_t j = random_below (sim, i + 1);
      const char *moved = new_members[i];
      new_members[i] = new_members[j];
      new_members[j] = moved;
    }
  uint32_t count = 2 + random_below (sim, 4);
  for (uint32_t i = 0; i < JD_GROUP_MAX_MEMBERS; i++)
    adopt_us[i] = start_us + random_below (sim, 4000) * MS;
  for (int64_t now_us = start_us; now_us <= start_us + 4000 * MS; now_us += 20 * MS)
    {
      sim_network_run_until (sim->network, now_us);
      for (uint32_t i = 0; i < JD_GROUP_MAX_MEMBERS; i++)
        {
          if (adopt_us[i] <= now_us)
            jd_lease_set_members (sim->processes[i].lease, new_members, count,
                                  sim_network_local_us (sim->network, i));
        }
    }
}

/* Guards against two owners of a resource, one by the old and one by the new list of
 * members, while processes get a new fleet record, and against resources without an owner
 * afterwards. */
static void
change_of_members_keeps_one_owner_per_resource (void)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      sim_t *sim = new_sim (seed, JD_GROUP_MAX_MEMBERS, DEFECT_NONE);
      for (int i = 0; i < 4; i++)
        {
          change_members (sim);
          CU_ASSERT (run_until_all_used_us (sim, 6000 * MS) > 0);
        }
      CU_ASSERT_EQUAL (sim->violations, 0);
      free_sim (sim);
    }
}

/* With the arguments FIRST_SEED COUNT, runs only the first test, with these seeds. */
int
main (int argc, char **argv)
{
  const jd_test_case_t cases[] = {
    { "no resource has two users under faults", no_resource_has_two_users_under_faults },
    { "takeover takes at most its bounds", takeover_takes_at_most_its_bounds },
    { "change of members keeps one owner per resource",
      change_of_members_keeps_one_owner_per_resource },
    { "check finds injected defects", check_finds_injected_defects },
  };
  if (argc == 3)
    {
      first_seed = g_ascii_strtoull (argv[1], NULL, 10);
      seed_count = g_ascii_strtoull (argv[2], NULL, 10);
      return jd_test_run ("lease_ownership", cases, 1);
    }
  return JD_TEST_RUN ("lease_ownership", cases);
}
