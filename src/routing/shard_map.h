#pragma once

#include "config/service_record.h"
#include "routing/target_table.h"

/* One shard and its replicas, which have their current state in the target table. */
typedef struct jd_shard
{
  jd_name_t id;
  uint64_t weight;
  uint32_t replica_count;
  jd_entry_target_t **replicas; /* Elements are owned by the target table. */
} jd_shard_t;

/* Shard map of a service. A query holds a reference to the map that it started with. */
typedef struct jd_shard_map
{
  uint32_t references;
  jd_name_t service;
  jd_service_kind_t kind;
  uint64_t map_version;
  uint64_t total_weight;
  int64_t deadline_us; /* Default time limit of a query. */
  double hedge_quantile;
  double hedge_budget;
  uint32_t shard_count;
  jd_shard_t *shards;
  jd_latency_tracker_t *latency; /* Over all targets; lives as long as the entry core. */
} jd_shard_map_t;

jd_shard_map_t *jd_shard_map_new (const jd_service_record_t *record,
                                  jd_target_table_t *targets,
                                  jd_latency_tracker_t *latency);
jd_shard_map_t *jd_shard_map_ref (jd_shard_map_t *map);
void jd_shard_map_unref (jd_shard_map_t *map);
