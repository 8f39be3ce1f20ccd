#include "support/gossip_world.h"

#include <string.h>

#include "base/clock.h"

typedef enum packet_kind
{
  KIND_DIGEST,
  KIND_PUSH,
  KIND_RECORD_REQUEST,
} packet_kind_t;

typedef struct packet
{
  packet_kind_t kind;
  gboolean is_answer;
  int64_t age_us;
  uint32_t count; /* Number of digest entries or push bytes that follow the packet. */
  jd_name_t record;
} packet_t;

static void
send_packet (gossip_process_t *process, const jd_gossip_route_t *to, packet_t packet,
             const void *payload, gsize size, gsize wire_bytes)
{
  gossip_sim_t *sim = process->sim;
  uint32_t from = (uint32_t)(process - sim->processes);
  uint32_t target = to->address ? (uint32_t)g_ascii_strtoull (to->address + 1, NULL, 10)
                                : *(const uint32_t *)to->origin;
  packet.is_answer = to->address == NULL;
  GByteArray *bytes = g_byte_array_new ();
  g_byte_array_append (bytes, (const guint8 *)&packet, sizeof (packet));
  if (size > 0)
    g_byte_array_append (bytes, payload, (guint)size);
  sim->wire_bytes += wire_bytes;
  sim_network_send (sim->network, from, target, g_byte_array_free_to_bytes (bytes));
}

/* Estimates the size in msgpack: 4 bytes for array, type and version; 1 length byte per
 * name; up to 9 bytes per number. */
static void
send_digest (void *context, const jd_gossip_route_t *to, const jd_digest_t *digest)
{
  gsize wire_bytes = 16;
  for (uint32_t i = 0; i < digest->entry_count; i++)
    wire_bytes += strlen (digest->entries[i].record) + 14;
  packet_t packet = { .kind = KIND_DIGEST,
                      .age_us = digest->platform_age_us,
                      .count = digest->entry_count };
  send_packet (context, to, packet, digest->entries,
               digest->entry_count * sizeof (jd_digest_entry_t), wire_bytes);
}

static void
send_push (void *context, const jd_gossip_route_t *to, const jd_record_push_t *push)
{
  packet_t packet = { .kind = KIND_PUSH, .count = push->length_bytes };
  memcpy (packet.record, push->record, sizeof (packet.record));
  send_packet (context, to, packet, push->text, push->length_bytes,
               push->length_bytes + strlen (push->record) + 10);
}

static void
send_record_request (void *context, const jd_gossip_route_t *to,
                     const jd_record_request_t *request)
{
  packet_t packet = { .kind = KIND_RECORD_REQUEST };
  memcpy (packet.record, request->record, sizeof (packet.record));
  send_packet (context, to, packet, NULL, 0, strlen (request->record) + 5);
}

static uint32_t
process_id (const gossip_process_t *process)
{
  return (uint32_t)(process - process->sim->processes);
}

/* Processes with an odd id read the lagging replica. */
static int
replica_index (const gossip_process_t *process)
{
  return (int)(process_id (process) % 2);
}

static void
fetch_record (void *context, const char *record)
{
  gossip_process_t *process = context;
  gossip_sim_t *sim = process->sim;
  int64_t local_us = sim_network_local_us (sim->network, process_id (process));
  for (uint32_t i = 0; i < sim->record_count; i++)
    {
      const char *text = sim->records[i].texts[replica_index (process)];
      if (text && strcmp (sim->records[i].name, record) == 0)
        jd_config_gossip_on_record (process->gossip, record, text, strlen (text),
                                    local_us, NULL);
    }
}

/* Counts a violation if a version decreased, if a deleted record is present again, or if
 * the platform age of the keys is too low: a version that is newer than the process's
 * version was at both replicas more than 50 ms before the time of that age. */
static void
check_process (gossip_process_t *process)
{
  gossip_sim_t *sim = process->sim;
  int64_t now_us = sim_network_now_us (sim->network);
  int64_t local_us = sim_network_local_us (sim->network, process_id (process));
  int64_t age_us = jd_config_gossip_platform_age_us (process->gossip, local_us);
  for (uint32_t i = 0; i < sim->record_count; i++)
    {
      const gossip_record_t *record = &sim->records[i];
      uint64_t version = jd_config_store_version (process->store, record->name);
      if (version < process->last_versions[i])
        sim->violation_count++;
      process->last_versions[i] = version;
      int64_t newer_replicated_us = record->replicated_us[version + 1];
      if (strcmp (record->name, "keys") == 0 && age_us != JD_PLATFORM_AGE_NEVER &&
          newer_replicated_us > 0 &&
          now_us - age_us > newer_replicated_us + 50 * JD_US_PER_MS)
        sim->violation_count++;
      if (record->deleted_at == 0 || version < record->deleted_at)
        continue;
      jd_service_record_t *service =
          jd_config_store_service (process->store, strchr (record->name, '.') + 1);
      sim->violation_count += service ? 1 : 0;
      jd_service_record_unref (service);
    }
}

static void
on_message (void *context, uint32_t id, uint32_t from, GBytes *bytes)
{
  gossip_sim_t *sim = context;
  gossip_process_t *process = &sim->processes[id];
  if (!process->store)
    return;
  int64_t local_us = sim_network_local_us (sim->network, id);
  const packet_t *packet = g_bytes_get_data (bytes, NULL);
  jd_gossip_route_t route = { .origin = &from };
  if (packet->is_answer)
    route.address = sim->addresses[from];
  if (packet->kind == KIND_DIGEST)
    {
      jd_digest_t digest = { packet->age_us, packet->count,
                             g_memdup2 (packet + 1,
                                        packet->count * sizeof (jd_digest_entry_t)) };
      jd_config_gossip_on_digest (process->gossip, &route, &digest, local_us);
      g_free (digest.entries);
    }
  else if (packet->kind == KIND_PUSH)
    {
      jd_record_push_t push = { .length_bytes = packet->count,
                                .text = (char *)(packet + 1) };
      memcpy (push.record, packet->record, sizeof (push.record));
      jd_config_gossip_on_push (process->gossip, &push, local_us);
    }
  else
    {
      jd_record_request_t request;
      memcpy (request.record, packet->record, sizeof (request.record));
      jd_config_gossip_on_record_request (process->gossip, &route, &request);
    }
  check_process (process);
}

/* Applies a platform listing, or a platform failure if the platform is unreachable. */
static void
read_platform (gossip_process_t *process, int64_t local_us)
{
  gossip_sim_t *sim = process->sim;
  jd_digest_entry_t entries[GOSSIP_RECORDS_MAX];
  if (process->is_platform_unreachable)
    {
      jd_config_gossip_on_platform_failure (process->gossip, local_us);
      return;
    }
  sim->listing_count++;
  for (uint32_t i = 0; i < sim->record_count; i++)
    {
      entries[i] =
          (jd_digest_entry_t){ .version =
                                   sim->records[i].versions[replica_index (process)] };
      memcpy (entries[i].record, sim->records[i].name, sizeof (entries[i].record));
    }
  jd_config_gossip_on_listing (process->gossip, entries, sim->record_count, local_us,
                               local_us);
}

static void
on_wake (void *context, uint32_t id)
{
  gossip_sim_t *sim = context;
  gossip_process_t *process = &sim->processes[id];
  if (!process->store)
    return;
  int64_t local_us = sim_network_local_us (sim->network, id);
  jd_config_gossip_tick (process->gossip, local_us);
  gboolean is_due = local_us >= process->next_listing_us;
  if (is_due || jd_config_gossip_should_poll (process->gossip, local_us))
    read_platform (process, local_us);
  if (is_due)
    process->next_listing_us = id < GOSSIP_WATCHERS ? local_us + JD_US_PER_S : INT64_MAX;
  check_process (process);
  int64_t next_us =
      MIN (jd_config_gossip_next_tick_us (process->gossip), process->next_listing_us);
  sim_network_wake_in (sim->network, id, next_us - local_us + 1);
}

/* Starts or restarts a process without state and with all others as its peers. */
void
gossip_sim_start_process (gossip_sim_t *sim, uint32_t id)
{
  gossip_process_t *process = &sim->processes[id];
  gossip_sim_stop_process (sim, id);
  memset (process->last_versions, 0, sizeof (process->last_versions));
  process->philox.stream = id;
  process->philox.seed = jd_rng_next (&sim->rng);
  sim_network_set_clock (sim->network, id, (int64_t)jd_rng_below (&sim->rng, 1000000000),
                         600 * jd_rng_unit (&sim->rng) - 300);
  int64_t local_us = sim_network_local_us (sim->network, id);
  process->store = jd_config_store_new ();
  process->next_listing_us = local_us;
  jd_gossip_options_t options = { .store = process->store,
                                  .own_address = sim->addresses[id],
                                  .rng = jd_philox_rng (&process->philox),
                                  .settings = jd_gossip_settings_default (),
                                  .hooks = { send_digest, send_push, send_record_request,
                                             fetch_record, process } };
  process->gossip = jd_config_gossip_new (&options, local_us);
  jd_config_gossip_set_peers (process->gossip, (const char *const *)sim->addresses,
                              sim->process_count);
  sim_network_wake_in (sim->network, id,
                       (int64_t)jd_rng_below (&sim->rng, 500 * JD_US_PER_MS));
}

void
gossip_sim_stop_process (gossip_sim_t *sim, uint32_t id)
{
  gossip_process_t *process = &sim->processes[id];
  jd_config_gossip_free (process->gossip);
  jd_config_store_free (process->store);
  process->gossip = NULL;
  process->store = NULL;
}

gossip_sim_t *
gossip_sim_new (uint64_t seed, uint32_t count)
{
  gossip_sim_t *sim = g_new0 (gossip_sim_t, 1);
  sim_handlers_t handlers = { on_message, on_wake, sim };
  sim->philox.seed = seed;
  sim->rng = jd_philox_rng (&sim->philox);
  sim->network = sim_network_new (count, &sim->rng, &handlers);
  sim->process_count = count;
  sim->processes = g_new0 (gossip_process_t, count);
  sim->addresses = g_new0 (char *, count + 1);
  for (uint32_t i = 0; i < count; i++)
    {
      sim->processes[i].sim = sim;
      sim->addresses[i] = g_strdup_printf ("p%u", i);
    }
  return sim;
}

void
gossip_sim_free (gossip_sim_t *sim)
{
  for (uint32_t i = 0; i < sim->process_count; i++)
    gossip_sim_stop_process (sim, i);
  for (uint32_t i = 0; i < sim->record_count; i++)
    {
      g_free (sim->records[i].texts[0]);
      g_free (sim->records[i].texts[1]);
    }
  sim_network_free (sim->network);
  g_strfreev (sim->addresses);
  g_free (sim->processes);
  g_free (sim);
}

/* Publishes the next version of a record at the first replica, whose watchers fetch it at
 * once. The body holds the members after schema_version and record_version; NULL deletes
 * the record. */
gossip_record_t *
gossip_sim_publish (gossip_sim_t *sim, const char *name, const char *body)
{
  uint32_t i = 0;
  while (i < sim->record_count && strcmp (sim->records[i].name, name) != 0)
    i++;
  sim->record_count = MAX (sim->record_count, i + 1);
  gossip_record_t *record = &sim->records[i];
  g_strlcpy (record->name, name, sizeof (record->name));
  g_free (record->texts[0]);
  record->versions[0]++;
  record->deleted_at = body ? 0 : record->versions[0];
  record->texts[0] =
      g_strdup_printf ("{\"schema_version\":1,\"record_version\":%u,%s}",
                       (unsigned)record->versions[0], body ? body : "\"deleted\":true");
  for (uint32_t id = 0; id < MIN (GOSSIP_WATCHERS, sim->process_count); id += 2)
    {
      gossip_process_t *process = &sim->processes[id];
      if (process->store && !process->is_platform_unreachable)
        fetch_record (process, name);
    }
  return record;
}

/* Copies all records from the first replica to the lagging one. */
void
gossip_sim_sync_replicas (gossip_sim_t *sim)
{
  for (uint32_t i = 0; i < sim->record_count; i++)
    {
      gossip_record_t *record = &sim->records[i];
      for (uint64_t v = record->versions[1] + 1; v <= record->versions[0]; v++)
        record->replicated_us[v] = sim_network_now_us (sim->network);
      record->versions[1] = record->versions[0];
      g_free (record->texts[1]);
      record->texts[1] = g_strdup (record->texts[0]);
    }
}

/* Runs the simulation until all running processes have the published version of a record.
 * Returns the time that this took, in steps of 5 ms; -1 if it took longer than
 * limit_us. */
int64_t
gossip_sim_propagation_us (gossip_sim_t *sim, const gossip_record_t *record,
                           int64_t limit_us)
{
  int64_t start_us = sim_network_now_us (sim->network);
  for (int64_t elapsed_us = 0; elapsed_us <= limit_us; elapsed_us += 5 * JD_US_PER_MS)
    {
      sim_network_run_until (sim->network, start_us + elapsed_us);
      gboolean is_everywhere = TRUE;
      for (uint32_t i = 0; is_everywhere && i < sim->process_count; i++)
        is_everywhere = !sim->processes[i].store ||
                        jd_config_store_version (sim->processes[i].store, record->name) ==
                            record->versions[0];
      if (is_everywhere)
        return elapsed_us;
    }
  return -1;
}
