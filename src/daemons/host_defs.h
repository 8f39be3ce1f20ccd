#pragma once

#include "base/counters.h"
#include "base/latency_histogram.h"
#include "daemons/host.h"
#include "limits/fleet_quota.h"
#include "routing/fanout.h"
#include "transport/caller_server.h"
#include "daemons/record_source.h"
#include "transport/peer_gossip.h"

/* How a request ended, for counters. */
typedef enum jd_host_end
{
  JD_HOST_END_SERVED,
  JD_HOST_END_PARTIAL,
  JD_HOST_END_TARGET_FAILURE, /* The failure of a target was passed on. */
  JD_HOST_END_NOT_RUN,
  JD_HOST_END_FAILED,
  JD_HOST_END_TIMED_OUT,
  JD_HOST_END_CALLER_LEFT,
  JD_HOST_END_RATE_LIMITED,
  JD_HOST_END_REJECTED, /* Bad request, unknown route or key. */
  JD_HOST_END_OVERLOADED,
  JD_HOST_END_COUNT,
} jd_host_end_t;

/* Kinds of requests and groups of ends in latency metrics. */
typedef enum jd_host_kind
{
  JD_HOST_KIND_SEARCH, /* Scattered over shards. */
  JD_HOST_KIND_FETCH,  /* One target; may be repeated. */
  JD_HOST_KIND_EDIT,   /* One target; runs once at most. */
  JD_HOST_KIND_COUNT,
} jd_host_kind_t;

typedef enum jd_host_group
{
  JD_HOST_GROUP_SERVED,
  JD_HOST_GROUP_PARTIAL,
  JD_HOST_GROUP_REFUSED, /* It has not run. */
  JD_HOST_GROUP_FAILED,  /* Failed, late, or its caller has left. */
  JD_HOST_GROUP_COUNT,
} jd_host_group_t;

/* Phases of a request. None waits for the rate of its tenant: it is rejected at once. */
typedef enum jd_host_phase
{
  JD_HOST_PHASE_CONNECTION, /* An attempt waits for a connection. */
  JD_HOST_PHASE_TARGET,     /* From its send to the whole answer of the target. */
  JD_HOST_PHASE_ANSWER,     /* From the last part that counts to the answer. */
  JD_HOST_PHASE_COUNT,
} jd_host_phase_t;

/* Latencies since the start of the process. */
typedef struct jd_host_metrics
{
  jd_latency_histogram_t requests[JD_HOST_KIND_COUNT][JD_HOST_GROUP_COUNT];
  jd_latency_histogram_t phases[JD_HOST_PHASE_COUNT];
  GHashTable *attempts; /* zone of the target -> jd_latency_histogram_t */
} jd_host_metrics_t;

struct jd_host
{
  struct ev_loop *loop;
  jd_host_platform_t platform;
  char *name;
  char *zone;
  uint32_t ip;
  uint64_t incarnation;
  int64_t stop_grace_us;
  uint32_t retry_slack;
  int64_t retry_window_us;
  jd_extra_shares_t extra_shares;
  bool first_start;
  int64_t started_us;
  uint32_t cold_slack;
  uint32_t max_requests;

  jd_caller_server_t *callers;
  jd_caller_server_t *readiness;
  jd_caller_server_t *peer_server;
  jd_caller_server_t *metrics;
  jd_replica_registry_t *registry;
  jd_replica_links_t *links;
  jd_record_feed_t *feed;
  jd_peer_table_t *peers;
  jd_peer_gossip_t *gossip;
  jd_fleet_quota_t *quota;
  jd_route_table_t *routes; /* NULL until a configuration is known. */
  uint32_t hosts;
  uint32_t rank;
  jd_record_source_t *source;
  uint32_t salt;
  GQueue requests; /* jd_request_t */

  bool cut_off; /* It reaches too few targets to take requests. */
  int64_t unreached_since_us;
  bool stopping;
  int64_t stop_us;
  ev_timer stop_timer;
  ev_timer upkeep;

  jd_counters_t *counters;
  jd_counter_t *ends[JD_HOST_END_COUNT];
  jd_counter_t *hedges;
  jd_counter_t *retries;
  jd_host_metrics_t latencies;
};

/* Largest number of hosts assumed while no other host has been heard. */
#define JD_HOSTS_UNHEARD 12

const char *jd_host_end_name (jd_host_end_t end);
void jd_host_take_request (void *context, jd_caller_t *caller,
                           const jd_http_reader_t *reader);
void jd_host_caller_gone (void *context, jd_caller_t *caller);
void jd_host_answer_peer (void *context, jd_caller_t *caller,
                          const jd_http_reader_t *reader);
void jd_host_answer_readiness (void *context, jd_caller_t *caller,
                               const jd_http_reader_t *reader);
void jd_host_answer_metrics (void *context, jd_caller_t *caller,
                             const jd_http_reader_t *reader);
void jd_host_metrics_init (jd_host_metrics_t *metrics);
void jd_host_metrics_clear (jd_host_metrics_t *metrics);
void jd_host_metrics_request (jd_host_metrics_t *metrics, const jd_route_t *route,
                              jd_host_end_t end, int64_t elapsed_us);
void jd_host_metrics_phase (jd_host_metrics_t *metrics, jd_host_phase_t phase,
                            int64_t elapsed_us);
void jd_host_metrics_attempt (jd_host_metrics_t *metrics, const char *zone,
                              int64_t elapsed_us);
