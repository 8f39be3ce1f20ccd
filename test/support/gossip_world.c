#include "support/gossip_world.h"

#include <string.h>

#include "base/clock.h"

typedef enum kind
{
  KIND_DIGEST,
  KIND_PUSH,
  KIND_ASK,
} kind_t;

typedef struct packet
{
  kind_t kind;
  gboolean is_answer;
  int64_t age_us;
  uint32_t count; /* Entries of a digest, bytes of a push; they follow. */
  jd_name_t record;
} packet_t;

static void
send_packet (gossip_process_t *process, const jd_gossip_route_t *to, packet_t packet,
             const void *payload, gsize size, gsize wire_bytes)
{
  gossip_world_t *world = process->world;
  uint32_t from = (uint32_t)(process - world->processes);
  uint32_t target = to->address ? (uint32_t)g_ascii_strtoull (to->address + 1, NULL, 10)
                                : *(const uint32_t *)to->origin;
  packet.is_answer = to->address == NULL;
  GByteArray *bytes = g_byte_array_new ();
  g_byte_array_append (bytes, (const guint8 *)&packet, sizeof (packet));
  if (size > 0)
    g_byte_array_append (bytes, payload, (guint)size);
  world->wire_bytes += wire_bytes;
  sim_network_send (world->network, from, target, g_byte_array_free_to_bytes (bytes));
}

/* Sizes of the messages in msgpack: 4 bytes of array, type and version; names with one
 * byte of length, numbers with up to 9 bytes. */
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
send_ask (void *context, const jd_gossip_route_t *to, const jd_record_ask_t *ask)
{
  packet_t packet = { .kind = KIND_ASK };
  memcpy (packet.record, ask->record, sizeof (packet.record));
  send_packet (context, to, packet, NULL, 0, strlen (ask->record) + 5);
}

static uint32_t
id_of (const gossip_process_t *process)
{
  return (uint32_t)(process - process->world->processes);
}

/* Odd processes read the lagging replica. */
static int
replica_of (const gossip_process_t *process)
{
  return (int)(id_of (process) % 2);
}

static void
fetch (void *context, const char *record)
{
  gossip_process_t *process = context;
  gossip_world_t *world = process->world;
  int64_t local_us = sim_network_local_us (world->network, id_of (process));
  for (uint32_t i = 0; i < world->record_count; i++)
    {
      const char *text = world->records[i].texts[replica_of (process)];
      if (text && strcmp (world->records[i].name, record) == 0)
        jd_config_gossip_on_record (process->gossip, record, text, strlen (text),
                                    local_us, NULL);
    }
}

/* Checks that no version went down, that deleted records stay deleted, and that the
 * platform age of the keys is not too low. */
static void
check_process (gossip_process_t *process)
{
  gossip_world_t *world = process->world;
  int64_t now_us = sim_network_now_us (world->network);
  int64_t local_us = sim_network_local_us (world->network, id_of (process));
  int64_t age_us = jd_config_gossip_platform_age_us (process->gossip, local_us);
  for (uint32_t i = 0; i < world->record_count; i++)
    {
      const gossip_record_t *record = &world->records[i];
      uint64_t version = jd_config_store_version (process->store, record->name);
      if (version < process->seen[i])
        world->violations++;
      process->seen[i] = version;
      int64_t newer_us = record->everywhere_us[version + 1];
      if (strcmp (record->name, "keys") == 0 && age_us != JD_PLATFORM_AGE_NEVER &&
          newer_us > 0 && now_us - age_us > newer_us + 50 * JD_US_PER_MS)
        world->violations++;
      if (record->deleted_at == 0 || version < record->deleted_at)
        continue;
      jd_service_record_t *service =
          jd_config_store_service (process->store, strchr (record->name, '.') + 1);
      world->violations += service ? 1 : 0;
      jd_service_record_unref (service);
    }
}

static void
on_message (void *context, uint32_t id, uint32_t from, GBytes *bytes)
{
  gossip_world_t *world = context;
  gossip_process_t *process = &world->processes[id];
  if (!process->store)
    return;
  int64_t local_us = sim_network_local_us (world->network, id);
  const packet_t *packet = g_bytes_get_data (bytes, NULL);
  jd_gossip_route_t route = { .origin = &from };
  if (packet->is_answer)
    route.address = world->addresses[from];
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
      jd_record_ask_t ask;
      memcpy (ask.record, packet->record, sizeof (ask.record));
      jd_config_gossip_on_ask (process->gossip, &route, &ask);
    }
  check_process (process);
}

/* Lists the records of the platform. */
static void
read_platform (gossip_process_t *process, int64_t local_us)
{
  gossip_world_t *world = process->world;
  jd_digest_entry_t entries[GOSSIP_RECORDS_MAX];
  if (process->platform_cut)
    {
      jd_config_gossip_on_platform_failure (process->gossip, local_us);
      return;
    }
  world->listings++;
  for (uint32_t i = 0; i < world->record_count; i++)
    {
      entries[i] =
          (jd_digest_entry_t){ .version =
                                   world->records[i].versions[replica_of (process)] };
      memcpy (entries[i].record, world->records[i].name, sizeof (entries[i].record));
    }
  jd_config_gossip_on_listing (process->gossip, entries, world->record_count, local_us,
                               local_us);
}

static void
on_wake (void *context, uint32_t id)
{
  gossip_world_t *world = context;
  gossip_process_t *process = &world->processes[id];
  if (!process->store)
    return;
  int64_t local_us = sim_network_local_us (world->network, id);
  jd_config_gossip_tick (process->gossip, local_us);
  gboolean is_due = local_us >= process->next_listing_us;
  if (is_due || jd_config_gossip_should_poll (process->gossip, local_us))
    read_platform (process, local_us);
  if (is_due)
    process->next_listing_us = id < GOSSIP_WATCHERS ? local_us + JD_US_PER_S : INT64_MAX;
  check_process (process);
  int64_t next_us =
      MIN (jd_config_gossip_next_tick_us (process->gossip), process->next_listing_us);
  sim_network_wake_in (world->network, id, next_us - local_us + 1);
}

/* Starts a process without state, with all others as its peers. */
void
gossip_world_start (gossip_world_t *world, uint32_t id)
{
  gossip_process_t *process = &world->processes[id];
  gossip_world_stop (world, id);
  memset (process->seen, 0, sizeof (process->seen));
  process->philox.stream = id;
  process->philox.seed = jd_rng_next (&world->rng);
  sim_network_set_clock (world->network, id,
                         (int64_t)jd_rng_below (&world->rng, 1000000000),
                         600 * jd_rng_unit (&world->rng) - 300);
  int64_t local_us = sim_network_local_us (world->network, id);
  process->store = jd_config_store_new ();
  process->next_listing_us = local_us;
  jd_gossip_options_t options = { .store = process->store,
                                  .own_address = world->addresses[id],
                                  .rng = jd_philox_rng (&process->philox),
                                  .settings = jd_gossip_settings_default (),
                                  .hooks = { send_digest, send_push, send_ask, fetch,
                                             process } };
  process->gossip = jd_config_gossip_new (&options, local_us);
  jd_config_gossip_set_peers (process->gossip, (const char *const *)world->addresses,
                              world->count);
  sim_network_wake_in (world->network, id,
                       (int64_t)jd_rng_below (&world->rng, 500 * JD_US_PER_MS));
}

void
gossip_world_stop (gossip_world_t *world, uint32_t id)
{
  gossip_process_t *process = &world->processes[id];
  jd_config_gossip_free (process->gossip);
  jd_config_store_free (process->store);
  process->gossip = NULL;
  process->store = NULL;
}

gossip_world_t *
gossip_world_new (uint64_t seed, uint32_t count)
{
  gossip_world_t *world = g_new0 (gossip_world_t, 1);
  sim_handlers_t handlers = { on_message, on_wake, world };
  world->philox.seed = seed;
  world->rng = jd_philox_rng (&world->philox);
  world->network = sim_network_new (count, &world->rng, &handlers);
  world->count = count;
  world->processes = g_new0 (gossip_process_t, count);
  world->addresses = g_new0 (char *, count + 1);
  for (uint32_t i = 0; i < count; i++)
    {
      world->processes[i].world = world;
      world->addresses[i] = g_strdup_printf ("p%u", i);
    }
  return world;
}

void
gossip_world_free (gossip_world_t *world)
{
  for (uint32_t i = 0; i < world->count; i++)
    gossip_world_stop (world, i);
  for (uint32_t i = 0; i < world->record_count; i++)
    {
      g_free (world->records[i].texts[0]);
      g_free (world->records[i].texts[1]);
    }
  sim_network_free (world->network);
  g_strfreev (world->addresses);
  g_free (world->processes);
  g_free (world);
}

/* Publishes the next version of a record at the first replica, where watchers see it at
 * once. The body is what follows the head; NULL deletes the record. */
gossip_record_t *
gossip_world_publish (gossip_world_t *world, const char *name, const char *body)
{
  uint32_t i = 0;
  while (i < world->record_count && strcmp (world->records[i].name, name) != 0)
    i++;
  world->record_count = MAX (world->record_count, i + 1);
  gossip_record_t *record = &world->records[i];
  g_strlcpy (record->name, name, sizeof (record->name));
  g_free (record->texts[0]);
  record->versions[0]++;
  record->deleted_at = body ? 0 : record->versions[0];
  record->texts[0] =
      g_strdup_printf ("{\"schema_version\":1,\"record_version\":%u,%s}",
                       (unsigned)record->versions[0], body ? body : "\"deleted\":true");
  for (uint32_t id = 0; id < MIN (GOSSIP_WATCHERS, world->count); id += 2)
    {
      gossip_process_t *process = &world->processes[id];
      if (process->store && !process->platform_cut)
        fetch (process, name);
    }
  return record;
}

/* Brings the lagging replica up to date. */
void
gossip_world_catch_up (gossip_world_t *world)
{
  for (uint32_t i = 0; i < world->record_count; i++)
    {
      gossip_record_t *record = &world->records[i];
      for (uint64_t v = record->versions[1] + 1; v <= record->versions[0]; v++)
        record->everywhere_us[v] = sim_network_now_us (world->network);
      record->versions[1] = record->versions[0];
      g_free (record->texts[1]);
      record->texts[1] = g_strdup (record->texts[0]);
    }
}

/* Returns how long it takes until all running processes have the published version of a
 * record, -1 when it takes longer than the limit. */
int64_t
gossip_world_spread_us (gossip_world_t *world, const gossip_record_t *record,
                        int64_t limit_us)
{
  int64_t from_us = sim_network_now_us (world->network);
  for (int64_t waited_us = 0; waited_us <= limit_us; waited_us += 5 * JD_US_PER_MS)
    {
      sim_network_run_until (world->network, from_us + waited_us);
      gboolean everywhere = TRUE;
      for (uint32_t i = 0; everywhere && i < world->count; i++)
        everywhere = !world->processes[i].store ||
                     jd_config_store_version (world->processes[i].store, record->name) ==
                         record->versions[0];
      if (everywhere)
        return waited_us;
    }
  return -1;
}
