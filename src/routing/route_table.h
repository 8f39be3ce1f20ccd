#pragma once

#include "routing/admission_gate.h"
#include "routing/replica_registry.h"

/* One service of a route. */
typedef struct jd_route_part
{
  jd_replica_pool_t *pool;
  double weight; /* Relative share of a weighted route's requests. */
  double credit; /* Requests due to the part by its weight. */
} jd_route_part_t;

typedef enum jd_route_kind
{
  JD_ROUTE_ONE,      /* One service. */
  JD_ROUTE_WEIGHTED, /* One of several services, by weight. */
  JD_ROUTE_SCATTER,  /* One replica of each of several shards. */
} jd_route_kind_t;

/* Observations of a route's attempts. Shared by all versions of the table that contain
 * the route. */
typedef struct jd_route_latency
{
  uint32_t references;
  double median_us;
  double high_us;         /* About the 90th percentile. */
  double recent_requests; /* Recent requests; older ones count less. */
  jd_admission_gate_t gate;
} jd_route_latency_t;

typedef struct jd_route
{
  char *name;
  char *host;
  char *prefix;
  jd_route_kind_t kind;
  bool idempotent;
  bool needs_no_key;     /* Requests need no key. */
  int64_t timeout_us;    /* Longest time that a caller waits. */
  int64_t objective_us;  /* Latency within which an answer has its full value. */
  int32_t priority;      /* 0 is the most urgent. */
  uint32_t max_attempts; /* Most replicas on which one request may run. */
  uint32_t top_k;
  double min_coverage;
  GArray *parts; /* jd_route_part_t */
  jd_route_latency_t *latency;
} jd_route_t;

#define JD_TENANT_NO_PRIORITY (-1)

typedef struct jd_tenant
{
  char *name;
  GPtrArray *keys;
  double rate_per_s; /* 0: no limit. */
  double burst;
  int32_t priority; /* Overrides that of a route unless JD_TENANT_NO_PRIORITY. */
} jd_tenant_t;

typedef struct jd_service_limits
{
  char *name;
  uint32_t max_connections;
  double cold_per_s;
} jd_service_limits_t;

/* One version of the configuration. A request keeps a reference to the version that it
 * started with. */
typedef struct jd_route_table
{
  uint32_t references;
  int64_t version;
  GPtrArray *routes;   /* jd_route_t */
  GPtrArray *tenants;  /* jd_tenant_t */
  GPtrArray *services; /* jd_service_limits_t */
  GHashTable *by_host; /* host -> GPtrArray of routes, longest prefix first */
  GHashTable *by_key;  /* key -> jd_tenant_t */
  bool has_tenants;
  uint32_t head_bytes;
  uint32_t body_bytes;
  int64_t head_timeout_us;
  int64_t idle_timeout_us;
} jd_route_table_t;

jd_route_table_t *jd_route_table_new (int64_t version);
jd_route_table_t *jd_route_table_ref (jd_route_table_t *table);
void jd_route_table_unref (jd_route_table_t *table);
jd_route_t *jd_route_table_add_route (jd_route_table_t *table, const char *name,
                                      const char *host, const char *prefix);
void jd_route_add_part (jd_route_t *route, jd_replica_pool_t *pool, double weight);
jd_tenant_t *jd_route_table_add_tenant (jd_route_table_t *table, const char *name);
jd_service_limits_t *jd_route_table_add_service (jd_route_table_t *table,
                                                 const char *name);
void jd_route_table_finish (jd_route_table_t *table, const jd_route_table_t *previous);
const jd_route_t *jd_route_table_match (const jd_route_table_t *table, const char *host,
                                        const char *target, size_t target_len);
const jd_tenant_t *jd_route_table_tenant (const jd_route_table_t *table, const char *key);
void jd_route_table_name_services (const jd_route_table_t *table,
                                   const jd_route_table_t *previous, int64_t now_us);
int32_t jd_route_priority (const jd_route_t *route, const jd_tenant_t *tenant);
int32_t jd_route_table_search_priority (const jd_route_table_t *table);
uint32_t jd_route_needed_parts (const jd_route_t *route, uint32_t count);
double jd_route_table_unreachable_share (jd_route_table_t *table);
double jd_route_table_rejected_share (const jd_route_table_t *table,
                                      const jd_route_t *route, const jd_tenant_t *tenant,
                                      int64_t now_us);
void jd_route_latency_record (jd_route_latency_t *latency, int64_t elapsed_us);
