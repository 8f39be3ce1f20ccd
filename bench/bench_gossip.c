#include <stdio.h>

#include "base/clock.h"
#include "support/gossip_world.h"

/* Prints, for several numbers of processes, how fast a record spreads in a simulated
 * network (1 ms to 2 ms one way, 1% of the messages lost) and what it costs. One round
 * is an exchange interval of 500 ms. Sizes are estimates of the msgpack encoding. */

#define SERVICES 24
#define CHANGES 5
#define LONG_KEYS 200
#define SPREAD_BOUND_US (4 * JD_US_PER_S) /* The objective of the design page. */
#define SERVICE_BODY                                                                     \
  "\"name\":\"s%d\",\"kind\":\"fan_out\",\"deadline_ms\":60,\"slots\":2,"                \
  "\"connections\":25,\"map_version\":1,\"shards\":[{\"id\":\"s0\",\"weight\":1,"        \
  "\"targets\":[{\"id\":\"t0\",\"address\":\"127.0.0.1:9000\",\"zone\":\"a\"}]}]"

typedef struct cost
{
  double messages;
  double bytes;
} cost_t;

/* Returns the body of a keys record with the given number of keys. */
static char *
keys_body (int count)
{
  GString *body = g_string_new ("\"keys\":[");
  for (int i = 0; i < count; i++)
    g_string_append_printf (
        body, "%s{\"digest\":\"%064x\",\"organisation\":\"o%d\",\"state\":\"valid\"}",
        i ? "," : "", i, i % 8);
  g_string_append_c (body, ']');
  return g_string_free (body, FALSE);
}

/* Returns what was sent per process since an earlier reading, which it replaces. */
static cost_t
cost_since (const gossip_world_t *world, cost_t *before)
{
  cost_t now = { .messages = (double)sim_network_sent (world->network),
                 .bytes = (double)world->wire_bytes };
  cost_t spent = { .messages = (now.messages - before->messages) / world->count,
                   .bytes = (now.bytes - before->bytes) / world->count };
  *before = now;
  return spent;
}

/* Returns the highest platform age of all processes in milliseconds. */
static double
highest_age_ms (const gossip_world_t *world)
{
  int64_t highest_us = 0;
  for (uint32_t i = 0; i < world->count; i++)
    {
      int64_t local_us = sim_network_local_us (world->network, i);
      int64_t age_us =
          jd_config_gossip_platform_age_us (world->processes[i].gossip, local_us);
      highest_us = MAX (highest_us, age_us);
    }
  return (double)highest_us / 1000;
}

/* Returns a running world with a short keys record and many services. */
static gossip_world_t *
new_world (uint32_t count)
{
  gossip_world_t *world = gossip_world_new (1, count);
  gossip_world_publish (world, "keys", "\"keys\":[]");
  for (int i = 0; i < SERVICES; i++)
    {
      char *name = g_strdup_printf ("service.s%d", i);
      char *body = g_strdup_printf (SERVICE_BODY, i);
      gossip_world_publish (world, name, body);
      g_free (name);
      g_free (body);
    }
  gossip_world_catch_up (world);
  for (uint32_t i = 0; i < count; i++)
    gossip_world_start (world, i);
  sim_network_run_until (world->network, 10 * JD_US_PER_S);
  return world;
}

/* Publishes one record several times and prints time and cost per change, without the
 * exchanges that run anyway. Returns FALSE when the bound was missed. */
static gboolean
measure_changes (gossip_world_t *world, const char *label, const char *body, cost_t idle)
{
  int64_t highest_us = 0;
  double sum_us = 0;
  cost_t before = { 0 };
  cost_since (world, &before);
  int64_t start_us = sim_network_now_us (world->network);
  for (int i = 0; i < CHANGES; i++)
    {
      const gossip_record_t *record = gossip_world_publish (world, "keys", body);
      int64_t spread_us = gossip_world_spread_us (world, record, 20 * JD_US_PER_S);
      highest_us = spread_us < 0 ? INT64_MAX : MAX (highest_us, spread_us);
      sum_us += (double)spread_us;
    }
  double seconds = (double)(sim_network_now_us (world->network) - start_us) / JD_US_PER_S;
  cost_t spent = cost_since (world, &before);
  printf ("%6u %-9s %8.1f %8.0f %8.0f %9.1f %11.0f\n", world->count, label,
          (double)highest_us / 500000, sum_us / CHANGES / 1000, (double)highest_us / 1000,
          (spent.messages - idle.messages * seconds) / CHANGES,
          (spent.bytes - idle.bytes * seconds) / CHANGES);
  return highest_us <= SPREAD_BOUND_US;
}

/* Measures one number of processes. Returns FALSE when a check failed. */
static gboolean
measure (uint32_t count)
{
  const sim_faults_t faults = { .delay_us = 2 * JD_US_PER_MS, .loss = 0.01 };
  gossip_world_t *world = new_world (count);
  sim_network_set_faults (world->network, &faults);
  cost_t before = { 0 };
  cost_since (world, &before);
  uint64_t listings = world->listings;
  sim_network_run_until (world->network, 20 * JD_US_PER_S);
  cost_t idle = cost_since (world, &before);
  idle = (cost_t){ idle.messages / 10, idle.bytes / 10 };
  double reads = (double)(world->listings - listings) / 10;
  printf ("%6u idle: %.1f messages/s, %.0f bytes/s per process; %.1f reads/s of the "
          "platform; highest platform age %.0f ms\n",
          count, idle.messages, idle.bytes, reads, highest_age_ms (world));
  char *long_body = keys_body (LONG_KEYS);
  char *short_body = keys_body (1);
  gboolean is_good = measure_changes (world, "short", short_body, idle);
  is_good = measure_changes (world, "long", long_body, idle) && is_good;
  if (world->violations > 0)
    printf ("violations: %u\n", (unsigned)world->violations);
  is_good = is_good && world->violations == 0;
  g_free (short_body);
  g_free (long_body);
  gossip_world_free (world);
  return is_good;
}

int
main (void)
{
  static const uint32_t sizes[] = { 8, 80, 300, 1200 };
  printf ("short: 1 key, pushed; long: %d keys (about %d bytes), offered and asked for\n",
          LONG_KEYS, LONG_KEYS * 111);
  printf (
      " procs record    rounds mean_ms   max_ms msgs/proc  bytes/proc (per change)\n");
  gboolean is_good = TRUE;
  for (uint32_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    is_good = measure (sizes[i]) && is_good;
  return is_good ? 0 : 1;
}
