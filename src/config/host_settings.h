#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Settings of jackdaw-host, read from a key file; docs/OPERATIONS.md lists the keys. */
typedef struct jd_host_settings
{
  char *name;
  char *zone;
  char *ip;
  char *callers_address;
  char *readiness_address;
  char *metrics_address; /* NULL if no metrics are served. */
  uint16_t peer_port;
  char **seeds; /* "IP:port" of some hosts; NULL-terminated. */
  char *store_address;
  int64_t store_stable_us;  /* Time after an outage until the store is trusted again. */
  double max_removed_share; /* Share of the records that may vanish at a time before the
                               store is doubted, 0 to 1. */
  int64_t stop_grace_us;    /* Time between SIGTERM and SIGKILL. */
  int64_t drain_limit_us;   /* Time after which a leaving target must receive no new
                               requests. */
  int64_t heartbeat_interval_us; /* Interval between the heartbeats of a target in the
                                    store. */
  int64_t config_limit_us; /* Time after which all hosts must use a new configuration. */
  uint32_t retry_slack;    /* Extra attempts of all hosts that a service can handle. */
  int64_t retry_window_us; /* Time window in which extra attempts are counted. */
  double rate_slack;       /* Requests of a tenant that are tolerated beyond its cap. */
  bool uses_mean_load;     /* The mean load of targets that report their speed enters the
                              choice of targets. */
  bool learns_rejections;  /* Targets that reject requests although they have free slots
                              are told apart from full ones. */
  uint32_t cold_slack;     /* Requests that a cold target can handle beyond its rate. */
  bool first_start;        /* The whole system is starting for the first time. */
  uint32_t memory_mb;
  uint32_t max_descriptors;
  GLogLevelFlags log_level;
} jd_host_settings_t;

jd_host_settings_t *jd_host_settings_load (const char *path, GError **error);
void jd_host_settings_free (jd_host_settings_t *settings);
