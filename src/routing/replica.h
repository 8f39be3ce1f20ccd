#pragma once

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "routing/cold_share.h"
#include "routing/connection_upkeep.h"
#include "routing/extra_pool.h"
#include "routing/hedge_budget.h"
#include "routing/rejection_rate.h"
#include "routing/target_load.h"
#include "routing/target_notice.h"

typedef struct jd_replica_pool jd_replica_pool_t;

/* Outcome of an attempt at a replica, as it counts for the replica's health. */
typedef enum jd_replica_outcome
{
  JD_REPLICA_OK,
  JD_REPLICA_SHED,     /* The replica refused the request and did not run it. */
  JD_REPLICA_REJECTED, /* The same, although it reports a free slot. */
  JD_REPLICA_ERROR,    /* The replica answered with an error of its own. */
  JD_REPLICA_BROKEN,   /* The connection ended, or the bytes were not a valid answer. */
  JD_REPLICA_UNREACHABLE, /* No connection could be opened. */
  JD_REPLICA_TIMED_OUT,   /* No answer arrived before the timeout. */
  JD_REPLICA_ABANDONED,   /* The request was cancelled before the answer arrived. */
  JD_REPLICA_REPLACED,    /* Another target now uses the address. */
  JD_REPLICA_PAUSED,      /* Not sent, because the target wants none meanwhile. */
} jd_replica_outcome_t;

/* The published entry of one target. */
typedef struct jd_replica_spec
{
  const char *id;
  const char *service;
  const char *zone;
  struct sockaddr_in address;
  int64_t born_ms;      /* Wall-clock start time of the target; 0: unknown. */
  int64_t cold_left_us; /* Remaining time of its cold start. */
  uint32_t slots;       /* Requests that it runs at a time; 0: unknown. */
  bool draining;
} jd_replica_spec_t;

/* One target: its published entry and this host's observations of it. */
typedef struct jd_replica
{
  uint32_t references;
  jd_replica_pool_t *pool;
  char *id;
  char *zone;
  struct sockaddr_in address;
  int64_t born_ms;
  int64_t cold_until_us;
  uint32_t slots;
  bool draining;
  bool removed;               /* No longer published; gets no new requests. */
  jd_target_notice_t *notice; /* What the target said about itself. */
  int64_t drain_limit_us;     /* Time for which a leaving target may still be used. */
  bool local_zone;
  bool zone_drained;        /* Its zone gets no new requests. */
  bool in_connection_quota; /* This host has a connection quota at it. */
  bool keeps_connection;    /* A connection to it is kept open for future requests. */

  double latency_ratio;       /* Smoothed latency relative to the typical latency of the
                                 requests. */
  int64_t first_poor_sent_us; /* Send time of the first recent slow or failed attempt; 0:
                                 none. */
  int64_t last_good_us;       /* Time of its last good answer to this host. */
  double hint_latency_ratio;  /* Relative latency by the last hint of another host. */
  int64_t hint_received_us;  /* Time at which that hint was received; 0: none is valid. */
  double pending_hint_ratio; /* Relative latency to send to other hosts; 0: nothing to
                                send. */
  int64_t hint_sent_us;      /* Time at which a hint was last sent to them. */
  uint32_t id_hash;          /* Identifies it in messages between hosts. */
  double failure_share;      /* Smoothed share of failed attempts. */
  int64_t updated_us; /* Time of the last change of latency_ratio or failure_share. */
  uint32_t consecutive_failures;
  int64_t ejected_until_us;
  uint32_t ejections; /* Ejections in a row; set the length of the next one. */
  bool unreachable;   /* The last attempt to connect failed. */
  uint32_t in_flight; /* This host's attempts that run or wait for a connection. */
  uint32_t idle_connections;
  int64_t oldest_sent_us;     /* Send time of its oldest running attempt; 0: none. */
  uint32_t reported_requests; /* Running and waiting requests in its last load report. */
  uint32_t own_attempts_at_report; /* Attempts of this host among them. */
  int64_t reported_at_us;          /* Time of that load report; 0: none. */
  jd_target_load_t mean_load;      /* From its load reports, over seconds. */
  jd_rejection_rate_t rejections;  /* Rejected requests while it had free slots. */
  jd_cold_quota_t
      cold_quota; /* Requests that this host may send to it while it is cold. */
  void *link;     /* Connections; owned by the transport. */
} jd_replica_t;

/* All replicas of one service. */
struct jd_replica_pool
{
  uint32_t references;
  char *service;
  GPtrArray *replicas;      /* jd_replica_t */
  bool keeps_idle;          /* This host may keep idle connections to its targets. */
  uint32_t max_connections; /* Limit of one target, for all hosts together; 0: none. */
  double cold_per_s; /* Requests a second that a cold target can serve; 0: no limit. */
  jd_hedge_budget_t host_budget;   /* This host's budget of extra attempts. */
  jd_extra_budget_t shared_budget; /* Extra attempts of all hosts. */
  bool uses_mean_load;             /* The mean load of its targets enters the choice. */
  bool learns_rejections; /* Rejections of targets with free slots are told apart. */
  jd_service_use_t use;   /* Whether requests of this host are expected. */
  uint32_t service_hash;  /* Identifies the service in messages between hosts. */
};

jd_replica_t *jd_replica_ref (jd_replica_t *replica);
void jd_replica_unref (jd_replica_t *replica);
void jd_replica_pool_unref (jd_replica_pool_t *pool);
jd_target_access_t jd_replica_access (const jd_replica_t *replica, int64_t now_us);
int64_t jd_replica_open_in_us (const jd_replica_t *replica, int64_t now_us);
bool jd_replica_is_usable (const jd_replica_t *replica, int64_t now_us);
void jd_replica_observe (jd_replica_t *replica, jd_replica_outcome_t outcome,
                         int64_t elapsed_us, int64_t typical_latency_us, int64_t now_us);
double jd_replica_latency_ratio (const jd_replica_t *replica, int64_t now_us);
void jd_replica_record_load (jd_replica_t *replica, uint32_t running, uint32_t waiting,
                             uint32_t slots, int64_t now_us);
