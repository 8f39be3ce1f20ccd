#pragma once

#include <ev.h>

#include "config/host_settings.h"
#include "membership/record_feed.h"
#include "routing/replica_registry.h"
#include "routing/route_table.h"
#include "transport/replica_links.h"

/* One host of the tier: it takes requests of callers and sends them to targets. */
typedef struct jd_host jd_host_t;

/* Names of header fields that callers, targets and this host exchange. */
typedef struct jd_host_fields
{
  jd_target_fields_t target;
  const char *request_id;
  const char *deadline_ms;     /* How long the caller waits, in milliseconds. */
  const char *tenant;          /* Tells targets whose key came with the request. */
  const char *key;             /* Carries the key. */
  const char *key_scheme;      /* Word before the key. */
  const char *part_signatures; /* Signatures of the parts in an answer. */
  const char *missing_parts;   /* Number of shards that an answer leaves out. */
} jd_host_fields_t;

/* What the adapter of a platform provides. */
typedef struct jd_host_platform
{
  jd_host_fields_t fields;
  jd_feed_events_t feed;
  const char *readiness_path;
  /* Starts to read the published records of the store; jd_host_store_read is called at
   * the end, later. */
  void (*read_store) (void *context);
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
void jd_host_set_routes (jd_host_t *host, jd_route_table_t *table);
void jd_host_store_read (jd_host_t *host, bool success, int64_t asked_us);
