#pragma once

#include "config/record.h"

typedef enum jd_service_kind
{
  JD_SERVICE_FAN_OUT, /* A request goes to a replica of every shard. */
  JD_SERVICE_SINGLE,  /* The service has a single shard. */
} jd_service_kind_t;

/* A target, which serves one replica of a shard. */
typedef struct jd_target_record
{
  char *id;
  char *address; /* "IP:port" */
  char *zone;
  uint32_t slots;
  uint32_t connections;
} jd_target_record_t;

typedef struct jd_shard_record
{
  char *id;
  uint64_t weight; /* Number of documents, at least 1. */
  jd_target_record_t *targets;
  uint32_t target_count;
} jd_shard_record_t;

/* A published service with its shard map. Immutable and reference counted. */
typedef struct jd_service_record
{
  jd_record_head_t head;
  char *name;
  jd_service_kind_t kind;
  gboolean needs_no_key; /* Callers need no key. */
  char **organisations;  /* NULL-terminated; NULL if all organisations may use it. */
  uint32_t deadline_ms;
  double hedge_quantile;
  double hedge_budget;
  uint64_t map_version;
  jd_shard_record_t *shards;
  uint32_t shard_count;
  uint64_t total_weight;
} jd_service_record_t;

jd_service_record_t *jd_service_record_parse (const char *name, const char *text,
                                              size_t length, GError **error);
jd_service_record_t *jd_service_record_ref (jd_service_record_t *record);
void jd_service_record_unref (jd_service_record_t *record);
gboolean jd_service_record_allows (const jd_service_record_t *record,
                                   const char *organisation);
