#include "base/clock.h"
#include "support/gossip_world.h"
#include "support/test_main.h"

#define MS JD_US_PER_MS
#define SPREAD_BOUND_US (4 * JD_US_PER_S)
#define KEYS "\"keys\":[]"
#define ZONES "\"zones\":[{\"name\":\"a\",\"state\":\"%s\"}]"

static uint64_t first_seed = 1;
static uint64_t seed_count = 10;

/* Returns the body of a service; a padded one is longer than what is pushed unasked. */
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
publish_service (gossip_world_t *world, const char *name, gboolean is_long)
{
  char *body = service_body (name, is_long);
  char *record = g_strconcat ("service.", name, NULL);
  gossip_world_publish (world, record, body);
  g_free (record);
  g_free (body);
}

static gossip_world_t *
new_running_world (uint64_t seed, uint32_t count)
{
  gossip_world_t *world = gossip_world_new (seed, count);
  gossip_world_publish (world, "keys", KEYS);
  publish_service (world, "short", FALSE);
  publish_service (world, "long", TRUE);
  gossip_world_catch_up (world);
  for (uint32_t i = 0; i < count; i++)
    gossip_world_start (world, i);
  sim_network_run_until (world->network, 5 * JD_US_PER_S);
  return world;
}

static uint32_t
below (gossip_world_t *world, uint32_t bound)
{
  return (uint32_t)jd_rng_below (&world->rng, bound);
}

static void
split (gossip_world_t *world)
{
  gboolean one_way = below (world, 3) == 0;
  uint32_t border = below (world, world->count);
  for (uint32_t i = 0; i < world->count; i++)
    {
      for (uint32_t j = 0; j < world->count; j++)
        sim_network_cut (world->network, i, j,
                         one_way ? i < border && j >= border
                                 : (i < border) != (j < border));
    }
}

static void
set_quality (gossip_world_t *world)
{
  sim_faults_t faults = { .delay_us = (int64_t)(1 + below (world, 100)) * MS,
                          .loss = 0.3 * jd_rng_unit (&world->rng),
                          .duplicate = 0.2 * jd_rng_unit (&world->rng),
                          .slow = 0.3 * jd_rng_unit (&world->rng),
                          .slow_us = below (world, 5000) * MS };
  sim_network_set_faults (world->network, &faults);
}

static void
publish_something (gossip_world_t *world)
{
  static const char *const states[] = { "in", "out" };
  uint32_t kind = below (world, 5);
  if (kind == 0)
    gossip_world_publish (world, "keys", KEYS);
  else if (kind == 1)
    publish_service (world, "long", TRUE);
  else if (kind == 2)
    publish_service (world, "short", FALSE);
  else if (kind == 3)
    gossip_world_publish (world, "service.short", NULL);
  else
    {
      char *body = g_strdup_printf (ZONES, states[below (world, 2)]);
      gossip_world_publish (world, "zones", body);
      g_free (body);
    }
}

static void
inject_fault (gossip_world_t *world)
{
  uint32_t id = below (world, world->count);
  uint32_t kind = below (world, 11);
  if (kind == 0)
    split (world);
  else if (kind == 1)
    sim_network_heal (world->network);
  else if (kind == 2)
    set_quality (world);
  else if (kind == 3)
    gossip_world_start (world, id);
  else if (kind == 4)
    sim_network_pause (world->network, id, (int64_t)below (world, 4000) * MS);
  else if (kind == 5)
    world->processes[id].platform_cut = !world->processes[id].platform_cut;
  else if (kind == 6)
    gossip_world_catch_up (world);
  else
    publish_something (world);
}

/* Ends all faults; returns the number of records that did not reach all processes. */
static uint32_t
count_missing_after_healing (gossip_world_t *world)
{
  const sim_faults_t none = { .delay_us = MS };
  uint32_t missing = 0;
  sim_network_heal (world->network);
  sim_network_set_faults (world->network, &none);
  gossip_world_catch_up (world);
  for (uint32_t i = 0; i < world->count; i++)
    world->processes[i].platform_cut = FALSE;
  /* Pauses and slow messages may last 5 s longer. */
  sim_network_run_until (world->network,
                         sim_network_now_us (world->network) + 5 * JD_US_PER_S);
  for (uint32_t i = 0; i < world->record_count; i++)
    missing += gossip_world_spread_us (world, &world->records[i], SPREAD_BOUND_US) < 0;
  return missing;
}

/* Guards against versions that go back, deleted records that return and a platform age
 * that is too low (checked at every event), under any mix of faults, and against
 * processes that stay different when they end. */
static void
versions_never_go_back (void)
{
  for (uint64_t seed = first_seed; seed < first_seed + seed_count; seed++)
    {
      gossip_world_t *world = new_running_world (seed, 2 + (uint32_t)(seed * 7 % 23));
      for (int i = 0; i < 120; i++)
        {
          int64_t gap_us = (int64_t)below (world, 400) * MS;
          sim_network_run_until (world->network,
                                 sim_network_now_us (world->network) + gap_us);
          inject_fault (world);
        }
      uint32_t missing = count_missing_after_healing (world);
      CU_ASSERT_EQUAL (missing, 0);
      CU_ASSERT_EQUAL (world->violations, 0);
      if (missing > 0 || world->violations > 0)
        g_print ("FAILED seed=%u violations=%u missing=%u\n", (unsigned)seed,
                 (unsigned)world->violations, missing);
      gossip_world_free (world);
    }
}

/* Guards against a restarted process that serves records from a stale replica while its
 * peers have newer ones. */
static void
restarted_process_is_not_rolled_back (void)
{
  gossip_world_t *world = new_running_world (3, 8);
  for (int i = 0; i < 3; i++)
    gossip_world_publish (world, "keys", KEYS);
  sim_network_run_until (world->network, 10 * JD_US_PER_S);
  gossip_process_t *process = &world->processes[3]; /* Reads the stale replica. */
  CU_ASSERT_EQUAL (jd_config_store_version (process->store, "keys"), 4);
  gossip_world_start (world, 3);
  int64_t now_us = sim_network_now_us (world->network);
  while (!jd_config_gossip_is_joined (process->gossip) && now_us < 15 * JD_US_PER_S)
    sim_network_run_until (world->network, now_us += MS);
  CU_ASSERT (jd_config_gossip_is_joined (process->gossip));
  CU_ASSERT_EQUAL (jd_config_store_version (process->store, "keys"), 4);
  gossip_world_free (world);
}

/* Guards against slow spreading: short and long records reach all processes within 4 s
 * although 1% of the messages are lost, and the keys stay confirmed. */
static void
spread_is_within_its_bound (void)
{
  static const uint32_t sizes[] = { 8, 80, 300 }; /* 1,200: bench_gossip. */
  for (uint32_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      const sim_faults_t faults = { .delay_us = 2 * MS, .loss = 0.01 };
      gossip_world_t *world = new_running_world (i, sizes[i]);
      sim_network_set_faults (world->network, &faults);
      char *body = service_body ("long", TRUE);
      const gossip_record_t *record = gossip_world_publish (world, "keys", KEYS);
      int64_t short_us = gossip_world_spread_us (world, record, SPREAD_BOUND_US);
      record = gossip_world_publish (world, "service.long", body);
      int64_t long_us = gossip_world_spread_us (world, record, SPREAD_BOUND_US);
      g_print ("processes=%u short=%dms long=%dms\n", sizes[i], (int)(short_us / MS),
               (int)(long_us / MS));
      CU_ASSERT (short_us >= 0);
      CU_ASSERT (long_us >= 0);
      CU_ASSERT_EQUAL (world->violations, 0);
      g_free (body);
      gossip_world_free (world);
    }
}

/* Arguments FIRST_SEED COUNT run the random part only, for long runs. */
int
main (int argc, char **argv)
{
  const jd_test_case_t cases[] = {
    { "versions never go back", versions_never_go_back },
    { "restarted process is not rolled back", restarted_process_is_not_rolled_back },
    { "spread is within its bound", spread_is_within_its_bound },
  };
  if (argc == 3)
    {
      first_seed = g_ascii_strtoull (argv[1], NULL, 10);
      seed_count = g_ascii_strtoull (argv[2], NULL, 10);
      return jd_test_run ("config_gossip", cases, 1);
    }
  return JD_TEST_RUN ("config_gossip", cases);
}
