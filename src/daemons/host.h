#pragma once

#include <ev.h>

#include "config/host_settings.h"
#include "membership/record_feed.h"
#include "routing/replica_registry.h"
#include "routing/route_table.h"
#include "transport/replica_links.h"

/* A host of the query tier: accepts requests of callers and sends them to targets. */
typedef struct jd_host jd_host_t;

/* Names of the HTTP header fields that callers, targets and this host exchange. */
typedef struct jd_host_fields
{
  jd_target_fields_t target;
  const char *request_id;
  const char *deadline_ms;     /* Time that the caller waits, in milliseconds. */
  const char *tenant;          /* Tenant of the caller's key, sent to targets. */
  const char *key;             /* Carries the caller's key. */
  const char *key_scheme;      /* Scheme in front of the key. */
  const char *part_signatures; /* Signatures of the parts in the answer. */
  const char *missing_parts;   /* Number of shards missing from the answer. */
} jd_host_fields_t;

/* Provided by the platform adapter. */
typedef struct jd_host_platform
{
  jd_host_fields_t fields;
  jd_feed_events_t feed_events;
  const char *readiness_path;
  /* Starts an asynchronous read of the published records from the store. The adapter
   * calls jd_host_on_store_read when the read ends. */
  void (*read_store) (void *context, int64_t call_limit_us);
  void *store_context;
} jd_host_platform_t;

jd_host_t *jd_host_new (struct ev_loop *loop, const jd_host_settings_t *settings,
                        const jd_host_platform_t *platform, GError **error);
void jd_host_free (jd_host_t *host);
void jd_host_stop (jd_host_t *host);
bool jd_host_apply_settings (jd_host_t *host, const jd_host_settings_t *settings,
                             GError **error);

jd_replica_registry_t *jd_host_registry (jd_host_t *host);
jd_record_feed_t *jd_host_feed (jd_host_t *host);
void jd_host_on_new_generation (jd_host_t *host);
void jd_host_set_routes (jd_host_t *host, jd_route_table_t *table);
void jd_host_on_store_read (jd_host_t *host, bool success, int64_t requested_us);
