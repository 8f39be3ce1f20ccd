#include "routing/shard_map.h"

#include "base/clock.h"

/* Copies one shard of a record, and adds its replicas to the target table. */
static void
fill_shard (jd_shard_t *shard, const jd_shard_record_t *record,
            jd_target_table_t *targets)
{
  g_strlcpy (shard->id, record->id, sizeof (shard->id));
  shard->weight = record->weight;
  shard->replica_count = record->target_count;
  shard->replicas = g_new0 (jd_entry_target_t *, record->target_count);
  for (uint32_t i = 0; i < record->target_count; i++)
    shard->replicas[i] =
        jd_target_table_add (targets, record->targets[i].id, record->targets[i].zone);
}

/* Creates the map of a service record, with one reference. Adds its targets to the table,
 * which must live as long as the map, and so must latency. */
jd_shard_map_t *
jd_shard_map_new (const jd_service_record_t *record, jd_target_table_t *targets,
                  jd_latency_tracker_t *latency)
{
  jd_shard_map_t *map = g_new0 (jd_shard_map_t, 1);
  map->references = 1;
  g_strlcpy (map->service, record->name, sizeof (map->service));
  map->kind = record->kind;
  map->map_version = record->map_version;
  map->deadline_us = record->deadline_ms * JD_US_PER_MS;
  map->hedge_quantile = record->hedge_quantile;
  map->hedge_budget = record->hedge_budget;
  map->latency = latency;
  map->shard_count = record->shard_count;
  map->shards = g_new0 (jd_shard_t, record->shard_count);
  for (uint32_t i = 0; i < record->shard_count; i++)
    {
      fill_shard (&map->shards[i], &record->shards[i], targets);
      map->total_weight += record->shards[i].weight;
    }
  return map;
}

/* Adds a reference and returns the map. */
jd_shard_map_t *
jd_shard_map_ref (jd_shard_map_t *map)
{
  map->references++;
  return map;
}

/* Drops a reference and frees the map with the last one. The map may be NULL. */
void
jd_shard_map_unref (jd_shard_map_t *map)
{
  if (!map || --map->references > 0)
    return;
  for (uint32_t i = 0; i < map->shard_count; i++)
    g_free (map->shards[i].replicas);
  g_free (map->shards);
  g_free (map);
}
