#pragma once

#include "base/counters.h"
#include "base/latency_histogram.h"
#include "daemons/host.h"
#include "limits/byte_budget.h"
#include "limits/fleet_quota.h"
#include "routing/fanout.h"
#include "routing/stop_plan.h"
#include "transport/caller_server.h"
#include "daemons/record_source.h"
#include "transport/peer_gossip.h"

/* How a request ended. Each end has a counter. */
typedef enum jd_host_end
{
  JD_HOST_END_SERVED,
  JD_HOST_END_PARTIAL,
  JD_HOST_END_TARGET_FAILURE, /* The failure response of a target was passed on. */
  JD_HOST_END_NOT_RUN,
  JD_HOST_END_FAILED,
  JD_HOST_END_TIMED_OUT,
  JD_HOST_END_STOPPED, /* The host stopped while a target may have run the request. */
  JD_HOST_END_CALLER_LEFT,
  JD_HOST_END_RATE_LIMITED,
  JD_HOST_END_REJECTED, /* Bad request, unknown route or key. */
  JD_HOST_END_OVERLOADED,
  JD_HOST_END_COUNT,
} jd_host_end_t;

/* Kinds of requests in latency metrics. */
typedef enum jd_host_kind
{
  JD_HOST_KIND_SEARCH, /* Scattered over all shards. */
  JD_HOST_KIND_FETCH,  /* One target, idempotent: may run more than once. */
  JD_HOST_KIND_EDIT,   /* One target, runs at most once. */
  JD_HOST_KIND_COUNT,
} jd_host_kind_t;

/* Classes of ends in latency metrics. */
typedef enum jd_host_end_class
{
  JD_HOST_END_CLASS_SERVED,
  JD_HOST_END_CLASS_PARTIAL,
  JD_HOST_END_CLASS_REFUSED, /* The request did not run. */
  JD_HOST_END_CLASS_FAILED,  /* Failed, timed out, or the caller disconnected. */
  JD_HOST_END_CLASS_COUNT,
} jd_host_end_class_t;

/* Phases of a request in latency metrics. There is no phase for a wait for the rate limit
 * of the tenant: a request above the limit is rejected at once. */
typedef enum jd_host_phase
{
  JD_HOST_PHASE_CONNECTION, /* An attempt waits for a connection to its target. */
  JD_HOST_PHASE_TARGET,     /* From the send of an attempt to the complete response. */
  JD_HOST_PHASE_ANSWER,     /* From the last part that is used to the answer. */
  JD_HOST_PHASE_COUNT,
} jd_host_phase_t;

/* Latency histograms since the start of the process. */
typedef struct jd_host_metrics
{
  jd_latency_histogram_t requests[JD_HOST_KIND_COUNT][JD_HOST_END_CLASS_COUNT];
  jd_latency_histogram_t phases[JD_HOST_PHASE_COUNT];
  GHashTable *attempts; /* Zone of the target -> jd_latency_histogram_t. */
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
  jd_byte_budget_t byte_budget; /* Of all connections to targets and callers. */
  ev_prepare budget_check;

  jd_caller_server_t *caller_server;
  jd_caller_server_t *readiness_server;
  jd_caller_server_t *peer_server;
  jd_caller_server_t *metrics_server;
  jd_replica_registry_t *registry;
  jd_replica_links_t *links;
  jd_record_feed_t *feed;
  jd_peer_table_t *peers;
  jd_peer_gossip_t *gossip;
  jd_fleet_quota_t *quota;
  jd_route_table_t *routes; /* NULL until a configuration has arrived. */
  uint32_t host_count;      /* Includes this host. */
  uint32_t rank;            /* Position of this host among them, by IP address. */
  jd_record_source_t *record_source;
  uint32_t salt;
  GQueue requests; /* Running requests (jd_request_t). */

  bool too_few_reachable; /* Too few targets are reachable; the host is not ready. */
  int64_t unreachable_since_us; /* 0 while enough targets are reachable. */
  bool stopping;
  int64_t stop_started_us;
  jd_stop_plan_t stop_plan; /* Set while stopping. */
  ev_timer stop_timer;
  ev_timer maintenance_timer;

  jd_counters_t *counters;
  jd_counter_t *end_counters[JD_HOST_END_COUNT];
  jd_counter_t *hedge_counter;
  jd_counter_t *retry_counter;
  jd_counter_t *scarce_counter; /* Searches rejected because their shards are scarce. */
  jd_host_metrics_t latencies;
};

/* Assumed number of hosts, the largest expected, until another host sends a message. */
#define JD_ASSUMED_HOST_COUNT 12

const char *jd_host_end_name (jd_host_end_t end);
void jd_host_on_request (void *context, jd_caller_t *caller,
                         const jd_http_reader_t *reader);
void jd_host_on_disconnect (void *context, jd_caller_t *caller);
void jd_host_end_requests (jd_host_t *host, int64_t now_us);
void jd_host_answer_peer (void *context, jd_caller_t *caller,
                          const jd_http_reader_t *reader);
void jd_host_answer_readiness (void *context, jd_caller_t *caller,
                               const jd_http_reader_t *reader);
void jd_host_answer_metrics (void *context, jd_caller_t *caller,
                             const jd_http_reader_t *reader);
void jd_host_metrics_init (jd_host_metrics_t *metrics);
void jd_host_metrics_clear (jd_host_metrics_t *metrics);
void jd_host_metrics_record_request (jd_host_metrics_t *metrics, const jd_route_t *route,
                                     jd_host_end_t end, int64_t elapsed_us);
void jd_host_metrics_record_phase (jd_host_metrics_t *metrics, jd_host_phase_t phase,
                                   int64_t elapsed_us);
void jd_host_metrics_record_attempt (jd_host_metrics_t *metrics, const char *zone,
                                     int64_t elapsed_us);
