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
  JD_TARGET_JOB_ARRIVING, /* Connection set-up or a frozen process delays it. */
  JD_TARGET_JOB_WAITING,  /* In the queue for a slot. */
  JD_TARGET_JOB_RUNNING,  /* Holds a slot. */
  JD_TARGET_JOB_ENDED,    /* Replied or closed. */
} jd_target_job_state_t;

/* One search, fetch or edit in the target; a g_rc_box with one reference for itself until
 * it ends and one for each pending timer. */
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

/* Event counts of one target, shown at GET /executions. */
typedef struct jd_target_counts
{
  uint64_t arrived;
  uint64_t finished;
  uint64_t shed;
  uint64_t failed;    /* 500 replies. */
  uint64_t overloads; /* Cold starts that got more than they could bear. */
  uint64_t dropped;   /* Past their deadline. */
  uint64_t cancelled;
  uint64_t closed;  /* By a fault, without a reply. */
  uint64_t crossed; /* Replies with the content of another request. */
  uint64_t silent;  /* Requests on silent connections. */
  uint64_t over_connection_limit;
  uint64_t connection_setups;
  uint64_t wrong_snapshot;
  uint64_t arrived_draining; /* Since draining was switched on. */
  uint64_t arrived_cold;
  uint64_t peak_running;
} jd_target_counts_t;

/* What /health and /load report. */
typedef struct jd_target_report
{
  int64_t time_us;
  uint32_t running;
  uint32_t waiting;
  gboolean cold;
  gboolean failing;
  gboolean draining;
} jd_target_report_t;

/* One target. The lock guards everything below it; it is taken before any lock of the
 * HTTP server and of the timers. */
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
  GHashTable *jobs; /* Request id -> job that has not ended. */
  int64_t cold_until_us;
  int64_t cold_left; /* Requests until the target is warm. */
  int64_t failing_until_us;
  int64_t frozen_until_us;
  uint64_t silent_before; /* Connections below this number never answer again. */
  char *last_id;          /* Latest finished request, for crossed replies. */
  char *last_body;
  GQueue reports; /* Earlier jd_target_report_t, oldest first. */
};
