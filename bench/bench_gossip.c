#include <stdio.h>

#include "base/clock.h"
#include "support/gossip_world.h"

/* Prints, for several numbers of processes, how long a record takes to reach all
 * processes over a simulated network (1 ms to 2 ms one way, 1% of the messages lost), and
 * the messages and bytes that this costs. One round is an exchange interval of 500 ms.
 * Sizes are estimates of the msgpack encoding. */

#define SERVICES 24
#define CHANGES 5
#define LONG_KEYS 200
#define PROPAGATION_LIMIT_US (4 * JD_US_PER_S) /* Objective of docs/design.md. */
#define SERVICE_BODY                                                                     \
  "\"name\":\"s%d\",\"kind\":\"fan_out\",\"deadline_ms\":60,\"slots\":2,"                \
  "\"connections\":25,\"map_version\":1,\"shards\":[{\"id\":\"s0\",\"weight\":1,"        \
  "\"targets\":[{\"id\":\"t0\",\"address\":\"127.0.0.1:9000\",\"zone\":\"a\"}]}]"

/* Per process. */
typedef struct cost
{
  double messages;
  double bytes;
} cost_t;

/* Returns the body of a keys record with a number of keys; the caller frees it. */
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

/* Returns the messages and bytes sent per process since the totals in before, and sets
 * before to the current totals. */
static cost_t
cost_since (const gossip_sim_t *sim, cost_t *before)
{
  cost_t total = { .messages = (double)sim_network_sent_count (sim->network),
                   .bytes = (double)sim->wire_bytes };
  cost_t spent = { .messages = (total.messages - before->messages) / sim->process_count,
                   .bytes = (total.bytes - before->bytes) / sim->process_count };
  *before = total;
  return spent;
}

/* Returns the highest platform age of all processes in milliseconds: an upper bound of
 * the time since the platform last confirmed the keys of a process. */
static double
highest_age_ms (const gossip_sim_t *sim)
{
  int64_t highest_us = 0;
  for (uint32_t i = 0; i < sim->process_count; i++)
    {
      int64_t local_us = sim_network_local_us (sim->network, i);
      int64_t age_us =
          jd_config_gossip_platform_age_us (sim->processes[i].gossip, local_us);
      highest_us = MAX (highest_us, age_us);
    }
  return (double)highest_us / 1000;
}

/* Returns a simulation in which all processes run and have a short keys record and
 * SERVICES service records. Its time is 10 s. */
static gossip_sim_t *
new_sim (uint32_t count)
{
  gossip_sim_t *sim = gossip_sim_new (1, count);
  gossip_sim_publish (sim, "keys", "\"keys\":[]");
  for (int i = 0; i < SERVICES; i++)
    {
      char *name = g_strdup_printf ("service.s%d", i);
      char *body = g_strdup_printf (SERVICE_BODY, i);
      gossip_sim_publish (sim, name, body);
      g_free (name);
      g_free (body);
    }
  gossip_sim_sync_replicas (sim);
  for (uint32_t i = 0; i < count; i++)
    gossip_sim_start_process (sim, i);
  sim_network_run_until (sim->network, 10 * JD_US_PER_S);
  return sim;
}

/* Publishes the keys record CHANGES times, and prints the time until all processes have
 * it and the cost per change without the idle traffic. Returns FALSE if a change took
 * longer than PROPAGATION_LIMIT_US. */
static gboolean
measure_changes (gossip_sim_t *sim, const char *label, const char *body, cost_t idle)
{
  int64_t highest_us = 0;
  double sum_us = 0;
  cost_t before = { 0 };
  cost_since (sim, &before);
  int64_t start_us = sim_network_now_us (sim->network);
  for (int i = 0; i < CHANGES; i++)
    {
      const gossip_record_t *record = gossip_sim_publish (sim, "keys", body);
      int64_t propagation_us = gossip_sim_propagation_us (sim, record, 20 * JD_US_PER_S);
      /* -1: some process did not receive the record within 20 s. */
      highest_us = propagation_us < 0 ? INT64_MAX : MAX (highest_us, propagation_us);
      sum_us += (double)propagation_us;
    }
  double seconds = (double)(sim_network_now_us (sim->network) - start_us) / JD_US_PER_S;
  cost_t spent = cost_since (sim, &before);
  printf ("%6u %-9s %8.1f %8.0f %8.0f %9.1f %11.0f\n", sim->process_count, label,
          (double)highest_us / 500000, sum_us / CHANGES / 1000, (double)highest_us / 1000,
          (spent.messages - idle.messages * seconds) / CHANGES,
          (spent.bytes - idle.bytes * seconds) / CHANGES);
  return highest_us <= PROPAGATION_LIMIT_US;
}

/* Prints the idle traffic and the cost of changes for one number of processes. Returns
 * FALSE if a change took longer than PROPAGATION_LIMIT_US or the simulation found
 * violations. */
static gboolean
measure (uint32_t count)
{
  const sim_faults_t faults = { .max_delay_us = 2 * JD_US_PER_MS, .loss_fraction = 0.01 };
  gossip_sim_t *sim = new_sim (count);
  sim_network_set_faults (sim->network, &faults);
  cost_t before = { 0 };
  cost_since (sim, &before);
  uint64_t listings = sim->listing_count;
  sim_network_run_until (sim->network, 20 * JD_US_PER_S);
  cost_t idle = cost_since (sim, &before);
  idle = (cost_t){ idle.messages / 10, idle.bytes / 10 };
  double reads_per_s = (double)(sim->listing_count - listings) / 10;
  printf ("%6u idle: %.1f messages/s, %.0f bytes/s per process; %.1f reads/s of the "
          "platform; highest platform age %.0f ms\n",
          count, idle.messages, idle.bytes, reads_per_s, highest_age_ms (sim));
  char *long_body = keys_body (LONG_KEYS);
  char *short_body = keys_body (1);
  gboolean passed = measure_changes (sim, "short", short_body, idle);
  passed = measure_changes (sim, "long", long_body, idle) && passed;
  if (sim->violation_count > 0)
    printf ("violations: %u\n", (unsigned)sim->violation_count);
  passed = passed && sim->violation_count == 0;
  g_free (short_body);
  g_free (long_body);
  gossip_sim_free (sim);
  return passed;
}

int
main (void)
{
  static const uint32_t sizes[] = { 8, 80, 300, 1200 };
  printf ("short: 1 key, pushed; long: %d keys (about %d bytes), offered and requested\n",
          LONG_KEYS, LONG_KEYS * 111);
  printf (
      " procs record    rounds mean_ms   max_ms msgs/proc  bytes/proc (per change)\n");
  gboolean passed = TRUE;
  for (uint32_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    passed = measure (sizes[i]) && passed;
  return passed ? 0 : 1;
}
