#pragma once

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "routing/cold_share.h"
#include "routing/extra_pool.h"
#include "routing/hedge_budget.h"

typedef struct jd_replica_pool jd_replica_pool_t;

/* How an attempt at a replica ended, as far as its health is concerned. */
typedef enum jd_replica_outcome
{
  JD_REPLICA_OK,
  JD_REPLICA_SHED,        /* It did not run the request. */
  JD_REPLICA_ERROR,       /* It answered with a failure of its own. */
  JD_REPLICA_BROKEN,      /* The connection ended, or the bytes were no answer. */
  JD_REPLICA_UNREACHABLE, /* No connection could be opened. */
  JD_REPLICA_TIMED_OUT,   /* No answer in the time that was given. */
  JD_REPLICA_ABANDONED,   /* The request was withdrawn while the answer was due. */
  JD_REPLICA_REPLACED,    /* Another target has the address. */
} jd_replica_outcome_t;

/* What is published of one target. */
typedef struct jd_replica_spec
{
  const char *id;
  const char *service;
  const char *zone;
  struct sockaddr_in address;
  int64_t born_ms;      /* Wall-clock start of the target; 0 if it is not known. */
  int64_t cold_left_us; /* How much longer it is slow after its start. */
  uint32_t slots;       /* Requests that it runs at a time. */
  bool draining;
} jd_replica_spec_t;

/* One target as this host sees it: what is published and what its answers tell. */
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
  bool removed; /* No longer published; gets nothing new. */
  bool local_zone;
  bool evacuated; /* Its zone gets nothing new. */
  bool in_share;  /* Its connections have room for this host by plan. */
  bool preferred; /* A connection is kept open to it, for requests to come. */

  double slowness;      /* Smoothed latency relative to that of its peers; 1 is usual. */
  int64_t poor_sent_us; /* Send time of the first of its recent poor answers; 0: none. */
  int64_t good_us;      /* Time of its last good answer to this host. */
  double told_slowness; /* As hosts that saw it tell; 1 is usual. */
  int64_t told_us;
  double hint;          /* Slowness to tell other hosts; 0: nothing to tell. */
  int64_t hinted_us;    /* When they were last told. */
  uint32_t id_hash;     /* Names it in messages between hosts. */
  double failure_share; /* Smoothed share of failed attempts. */
  int64_t updated_us;   /* Time of the last change of slowness or failure_share. */
  uint32_t consecutive_failures;
  int64_t ejected_until_us;
  uint32_t ejections; /* In a row, for the length of the next one. */
  bool unreachable;   /* The last attempt to connect failed. */
  uint32_t in_flight; /* Attempts of this host that run or wait for a connection. */
  uint32_t idle_connections;
  int64_t oldest_sent_us; /* Send time of its oldest running attempt; 0 for none. */
  uint32_t reported_busy; /* Running and waiting requests that it reported. */
  uint32_t own_at_report; /* Attempts of this host among them. */
  int64_t reported_at_us;
  jd_cold_share_t cold; /* Requests that this host may send it while it is cold. */
  void *link;           /* Connections; owned by the transport. */
} jd_replica_t;

/* All replicas of one service. */
struct jd_replica_pool
{
  uint32_t references;
  char *service;
  GPtrArray *replicas;      /* jd_replica_t */
  uint32_t max_connections; /* Of one target, from all hosts. */
  double cold_per_s;        /* Requests a second that a cold target bears; 0: no limit. */
  jd_hedge_budget_t extra;  /* Attempts beyond the first of each request. */
  jd_extra_pool_t shared;   /* The same of all hosts. */
  uint32_t service_hash;    /* Names it in messages between hosts. */
};

jd_replica_t *jd_replica_ref (jd_replica_t *replica);
void jd_replica_unref (jd_replica_t *replica);
void jd_replica_pool_unref (jd_replica_pool_t *pool);
bool jd_replica_is_usable (const jd_replica_t *replica, int64_t now_us);
void jd_replica_observe (jd_replica_t *replica, jd_replica_outcome_t outcome,
                         int64_t elapsed_us, int64_t usual_us, int64_t now_us);
double jd_replica_slowness (const jd_replica_t *replica, int64_t now_us);
void jd_replica_report (jd_replica_t *replica, uint32_t running, uint32_t waiting,
                        uint32_t slots, int64_t now_us);
