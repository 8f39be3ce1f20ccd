#include "base/clock.h"
#include "support/gossip_world.h"
#include "support/test_main.h"

#define MS JD_US_PER_MS
#define PROPAGATION_LIMIT_US (4 * JD_US_PER_S) /* Objective of the design page. */
#define KEYS_BODY "\"keys\":[]"
#define ZONES_BODY_FORMAT "\"zones\":[{\"name\":\"a\",\"state\":\"%s\"}]"

static uint64_t first_seed = 1;
static uint64_t seed_count = 10;

/* Returns the body of a service record. A long one exceeds push_max_bytes, so that a
 * notice is sent instead of the record. */
static char *
service_body (const char *name, gboolean is_long)
{
  GString *shards = g_string_new (NULL);
  for (int i = 0; i < (is_long ? 80 : 1); i++)
    g_string_append_printf (shards,
                            "%s{\"id\":\"s%d\",\"weight\":1,\"targets\":[{\"id\":\"t%d\","
                            "\"address\":\"127.0.0.1:%d\",\"zone\":\"a\"}]}",
                            i ? "," : "", i, i, 9000 + i);
  char *body = g_strdup_printf ("\"name\":\"%s\",\"kind\":\"fan_out\",\"deadline_ms\":60,"
                                "\"slots\":2,\"connections\":25,\"map_version\":1,"
                                "\"shards\":[%s]",
                                name, shards->str);
  g_string_free (shards, TRUE);
  return body;
}

static void
publish_service (gossip_sim_t *sim, const char *name, gboolean is_long)
{
  char *body = service_body (name, is_long);
  char *record = g_strconcat ("service.", name, NULL);
  gossip_sim_publish (sim, record, body);
  g_free (record);
  g_free (body);
}

static gossip_sim_t *
new_running_sim (uint64_t seed, uint32_t process_count)
{
  gossip_sim_t *sim = gossip_sim_new (seed, process_count);
  gossip_sim_publish (sim, "keys", KEYS_BODY);
  publish_service (sim, "short", FALSE);
  publish_service (sim, "long", TRUE);
  gossip_sim_sync_replicas (sim);
  for (uint32_t i = 0; i < process_count; i++)
    gossip_sim_start_process (sim, i);
  sim_network_run_until (sim->network, 5 * JD_US_PER_S);
  return sim;
}

static uint32_t
random_below (gossip_sim_t *sim, uint32_t bound)
{
  return (uint32_t)jd_rng_below (&sim->rng, bound);
}

static void
partition_network (gossip_sim_t *sim)
{
  gboolean one_way = random_below (sim, 3) == 0;
  uint32_t second_side_start = random_below (sim, sim->process_count);
  for (uint32_t i = 0; i < sim->process_count; i++)
    {
      for (uint32_t j = 0; j < sim->process_count; j++)
        sim_network_set_blocked (sim->network, i, j,
                                 one_way ? i < second_side_start && j >= second_side_start
                                         : (i < second_side_start) !=
                                               (j < second_side_start));
    }
}

static void
set_random_link_faults (gossip_sim_t *sim)
{
  sim_faults_t faults = { .max_delay_us = (int64_t)(1 + random_below (sim, 100)) * MS,
                          .loss_fraction = 0.3 * jd_rng_unit (&sim->rng),
                          .duplicate_fraction = 0.2 * jd_rng_unit (&sim->rng),
                          .late_fraction = 0.3 * jd_rng_unit (&sim->rng),
                          .max_late_us = random_below (sim, 5000) * MS };
  sim_network_set_faults (sim->network, &faults);
}

static void
publish_random_record (gossip_sim_t *sim)
{
  static const char *const states[] = { "in", "out" };
  uint32_t kind = random_below (sim, 5);
  if (kind == 0)
    gossip_sim_publish (sim, "keys", KEYS_BODY);
  else if (kind == 1)
    publish_service (sim, "long", TRUE);
  else if (kind == 2)
    publish_service (sim, "short", FALSE);
  else if (kind == 3)
    gossip_sim_publish (sim, "service.short", NULL);
  else
    {
      char *body = g_strdup_printf (ZONES_BODY_FORMAT, states[random_below (sim, 2)]);
      gossip_sim_publish (sim, "zones", body);
      g_free (body);
    }
}

static void
inject_fault (gossip_sim_t *sim)
{
  uint32_t id = random_below (sim, sim->process_count);
  uint32_t kind = random_below (sim, 11);
  if (kind == 0)
    partition_network (sim);
  else if (kind == 1)
    sim_network_unblock_all (sim->network);
  else if (kind == 2)
    set_random_link_faults (sim);
  else if (kind == 3)
    gossip_sim_start_process (sim, id);
  else if (kind == 4)
    sim_network_pause (sim->network, id, (int64_t)random_below (sim, 4000) * MS);
  else if (kind == 5)
    sim->processes[id].is_platform_unreachable =
        !sim->processes[id].is_platform_unreachable;
  else if (kind == 6)
    gossip_sim_sync_replicas (sim);
  else
    publish_random_record (sim);
}

/* Ends all faults and returns the number of records that then do not reach all processes
 * within PROPAGATION_LIMIT_US. */
static uint32_t
count_missing_after_faults (gossip_sim_t *sim)
{
  const sim_faults_t none = { .max_delay_us = MS };
  uint32_t missing = 0;
  sim_network_unblock_all (sim->network);
  sim_network_set_faults (sim->network, &none);
  gossip_sim_sync_replicas (sim);
  for (uint32_t i = 0; i < sim->process_count; i++)
    sim->processes[i].is_platform_unreachable = FALSE;
  /* Pauses and late messages may last up to 5 s after the faults end. */
  sim_network_run_until (sim->network,
                         sim_network_now_us (sim->network) + 5 * JD_US_PER_S);
  for (uint32_t i = 0; i < sim->record_count; i++)
    missing +=
        gossip_sim_propagation_us (sim, &sim->records[i], PROPAGATION_LIMIT_US) < 0;
  return missing;
}

/* Guards, under random faults, against record versions that go back, deleted records that
 * return and a platform age (the time since the platform confirmed the keys record) that
 * is too low, all checked at every event, and against processes that still have different
 * records after the faults have ended. */
static void
versions_never_go_back_under_faults (void)
{
  for (uint64_t seed = first_seed; seed < first_seed + seed_count; seed++)
    {
      gossip_sim_t *sim = new_running_sim (seed, 2 + (uint32_t)(seed * 7 % 23));
      for (int i = 0; i < 120; i++)
        {
          int64_t gap_us = (int64_t)random_below (sim, 400) * MS;
          sim_network_run_until (sim->network,
                                 sim_network_now_us (sim->network) + gap_us);
          inject_fault (sim);
        }
      uint32_t missing = count_missing_after_faults (sim);
      CU_ASSERT_EQUAL (missing, 0);
      CU_ASSERT_EQUAL (sim->violation_count, 0);
      if (missing > 0 || sim->violation_count > 0)
        g_print ("FAILED seed=%u violations=%u missing=%u\n", (unsigned)seed,
                 (unsigned)sim->violation_count, missing);
      gossip_sim_free (sim);
    }
}

/* Guards against a restarted process that joins with the records of a stale platform
 * replica although its peers have newer ones. */
static void
restarted_process_is_not_rolled_back (void)
{
  gossip_sim_t *sim = new_running_sim (3, 8);
  for (int i = 0; i < 3; i++)
    gossip_sim_publish (sim, "keys", KEYS_BODY);
  sim_network_run_until (sim->network, 10 * JD_US_PER_S);
  /* Processes with an odd id read the lagging platform replica. */
  gossip_process_t *process = &sim->processes[3];
  CU_ASSERT_EQUAL (jd_config_store_version (process->store, "keys"), 4);
  gossip_sim_start_process (sim, 3);
  int64_t now_us = sim_network_now_us (sim->network);
  while (!jd_config_gossip_is_joined (process->gossip) && now_us < 15 * JD_US_PER_S)
    sim_network_run_until (sim->network, now_us += MS);
  CU_ASSERT (jd_config_gossip_is_joined (process->gossip));
  CU_ASSERT_EQUAL (jd_config_store_version (process->store, "keys"), 4);
  gossip_sim_free (sim);
}

/* Guards against slow gossip: short and long records must reach all processes within 4 s
 * although 1% of the messages are lost, and the platform age must never be too low. */
static void
records_reach_all_processes_within_4_s (void)
{
  static const uint32_t sizes[] = { 8, 80, 300 }; /* bench_gossip has 1,200. */
  for (uint32_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      const sim_faults_t faults = { .max_delay_us = 2 * MS, .loss_fraction = 0.01 };
      gossip_sim_t *sim = new_running_sim (i, sizes[i]);
      sim_network_set_faults (sim->network, &faults);
      char *body = service_body ("long", TRUE);
      const gossip_record_t *record = gossip_sim_publish (sim, "keys", KEYS_BODY);
      int64_t short_us = gossip_sim_propagation_us (sim, record, PROPAGATION_LIMIT_US);
      record = gossip_sim_publish (sim, "service.long", body);
      int64_t long_us = gossip_sim_propagation_us (sim, record, PROPAGATION_LIMIT_US);
      g_print ("processes=%u short=%dms long=%dms\n", sizes[i], (int)(short_us / MS),
               (int)(long_us / MS));
      CU_ASSERT (short_us >= 0);
      CU_ASSERT (long_us >= 0);
      CU_ASSERT_EQUAL (sim->violation_count, 0);
      g_free (body);
      gossip_sim_free (sim);
    }
}

/* With the arguments FIRST_SEED COUNT, runs only the first test, with these seeds. */
int
main (int argc, char **argv)
{
  const jd_test_case_t cases[] = {
    { "versions never go back under faults", versions_never_go_back_under_faults },
    { "restarted process is not rolled back", restarted_process_is_not_rolled_back },
    { "records reach all processes within 4 s", records_reach_all_processes_within_4_s },
  };
  if (argc == 3)
    {
      first_seed = g_ascii_strtoull (argv[1], NULL, 10);
      seed_count = g_ascii_strtoull (argv[2], NULL, 10);
      return jd_test_run ("config_gossip", cases, 1);
    }
  return JD_TEST_RUN ("config_gossip", cases);
}
