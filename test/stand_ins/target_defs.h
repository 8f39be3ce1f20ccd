#pragma once

#include <glib.h>
#include <stdint.h>

#include "base/rng.h"
#include "stand_ins/execution_log.h"
#include "stand_ins/http_server.h"
#include "stand_ins/target_conditions.h"
#include "stand_ins/timer_queue.h"

typedef struct jd_target jd_target_t;

typedef enum jd_target_job_kind
{
  JD_TARGET_SEARCH,
  JD_TARGET_FETCH,
  JD_TARGET_EDIT,
} jd_target_job_kind_t;

typedef enum jd_target_job_state
{
  JD_TARGET_JOB_ARRIVING, /* Delayed by connection set-up or a frozen process. */
  JD_TARGET_JOB_WAITING,  /* Queued for a slot. */
  JD_TARGET_JOB_RUNNING,  /* Holds a slot. */
  JD_TARGET_JOB_ENDED,    /* Answered, or its connection was closed. */
} jd_target_job_state_t;

/* One search, fetch or edit in the target. It is a g_rc_box: the target holds one
 * reference until the job ends, and each pending timer holds one. */
typedef struct jd_target_job
{
  jd_target_t *target;
  jd_http_request_t *request;
  jd_target_job_kind_t kind;
  jd_target_job_state_t state;
  char *request_id;
  char *shard;
  char *text; /* Query or entry id. */
  char *body;
  uint64_t snapshot;
  uint32_t limit;
  int64_t deadline_us; /* 0: none. */
} jd_target_job_t;

/* Event counts of one target, returned by GET /executions. */
typedef struct jd_target_counts
{
  uint64_t arrived;
  uint64_t finished;
  uint64_t shed;
  uint64_t failed;    /* 500 replies. */
  uint64_t overloads; /* Cold starts in which the load exceeded cold_capacity. */
  uint64_t dropped;   /* Requests whose deadline passed. */
  uint64_t cancelled;
  uint64_t closed;  /* Connections that a fault closed without a reply. */
  uint64_t crossed; /* Replies that carried the content of another request. */
  uint64_t silent;  /* Unanswered requests on silent connections. */
  uint64_t over_connection_limit;
  uint64_t connection_setups;
  uint64_t wrong_snapshot;
  uint64_t arrived_draining; /* Since draining was last set. */
  uint64_t arrived_cold;
  uint64_t peak_running;
} jd_target_counts_t;

/* State that /health and /load report. */
typedef struct jd_target_report
{
  int64_t time_us; /* When the state was current. */
  uint32_t running;
  uint32_t waiting;
  gboolean cold;
  gboolean failing;
  gboolean draining;
} jd_target_report_t;

/* One target. The lock guards the members below it. Lock order: this lock before the
 * locks of the HTTP server and of the timers. */
struct jd_target
{
  char *id;
  char *zone;
  jd_timer_queue_t *timers;
  jd_execution_log_t *executions;
  jd_http_server_t *server;

  GMutex lock;
  jd_target_conditions_t conditions;
  jd_target_counts_t counts;
  jd_philox_t random;
  uint64_t boot_id;
  int64_t boot_us;
  uint32_t running;
  GQueue waiting;   /* jd_target_job_t, oldest first. */
  GHashTable *jobs; /* Request id -> job that has not ended; not owned. */
  int64_t cold_until_us;
  int64_t cold_requests_left; /* Requests to finish before the target is warm. */
  int64_t failing_until_us;
  int64_t frozen_until_us;
  /* Requests on connections below this number get no answer; 0: there are none. */
  uint64_t first_answering_connection;
  char *last_request_id; /* Latest finished request; crossed replies repeat it. */
  char *last_body;
  GQueue reports; /* Earlier jd_target_report_t, oldest first. */
};
