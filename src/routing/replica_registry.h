#pragma once

#include "base/table_turn.h"
#include "routing/replica.h"

/* All published targets, by id and by service. */
typedef struct jd_replica_registry jd_replica_registry_t;

typedef struct jd_replica_events
{
  /* Called when a replica may get requests from now on. */
  void (*on_added) (void *context, jd_replica_t *replica);
  /* Called when a replica gets no new requests from now on; running attempts continue. */
  void (*on_removed) (void *context, jd_replica_t *replica);
  void *context;
} jd_replica_events_t;

jd_replica_registry_t *jd_replica_registry_new (const char *local_zone,
                                                const jd_replica_events_t *events);
void jd_replica_registry_free (jd_replica_registry_t *registry);
jd_replica_pool_t *jd_replica_registry_pool (jd_replica_registry_t *registry,
                                             const char *service);
void jd_replica_registry_put (jd_replica_registry_t *registry,
                              const jd_replica_spec_t *spec, int64_t now_us);
bool jd_replica_registry_matches (const jd_replica_registry_t *registry,
                                  const jd_replica_spec_t *spec, int64_t now_us);
void jd_replica_registry_remove (jd_replica_registry_t *registry, const char *id,
                                 int64_t now_us);
void jd_replica_registry_set_zone_drained (jd_replica_registry_t *registry,
                                           const char *zone, bool drained);
void jd_replica_registry_set_drain_limit (jd_replica_registry_t *registry,
                                          int64_t drain_limit_us);
void jd_replica_registry_set_learns_rejections (jd_replica_registry_t *registry,
                                                bool learns_rejections);
void jd_replica_registry_set_uses_mean_load (jd_replica_registry_t *registry,
                                             bool uses_mean_load);
void jd_replica_registry_expire_notices (jd_replica_registry_t *registry, int64_t now_us);
void jd_replica_registry_set_hosts (jd_replica_registry_t *registry, uint32_t hosts,
                                    uint32_t rank);
/* What hosts report to each other about targets and services, a part in each message. */
typedef enum jd_registry_report
{
  JD_REGISTRY_REPORT_EXTRAS,     /* Of jd_replica_pool_t. */
  JD_REGISTRY_REPORT_REJECTIONS, /* Of jd_replica_t. */
  JD_REGISTRY_REPORT_HINTS,      /* Of jd_replica_t. */
  JD_REGISTRY_REPORT_COUNT,
} jd_registry_report_t;

void jd_replica_registry_collect (jd_replica_registry_t *registry,
                                  jd_registry_report_t report,
                                  jd_table_turn_visit_t visit, void *context);
void jd_replica_registry_each (jd_replica_registry_t *registry,
                               void (*visit) (void *context, jd_replica_t *replica),
                               void *context);
void jd_replica_registry_each_pool (jd_replica_registry_t *registry,
                                    void (*visit) (void *context,
                                                   jd_replica_pool_t *pool),
                                    void *context);
jd_replica_t *jd_replica_registry_find (const jd_replica_registry_t *registry,
                                        const char *id);
uint32_t jd_replica_registry_count (const jd_replica_registry_t *registry);
