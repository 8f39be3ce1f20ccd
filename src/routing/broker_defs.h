#pragma once

#include <glib.h>
#include <stdint.h>

#include "routing/work_defs.h"

/* How an attempt at a target ended, as seen by the target client. */
typedef enum jd_reply_kind
{
  JD_REPLY_OK,
  JD_REPLY_NOT_FOUND,        /* The target has no such entry. */
  JD_REPLY_NO_SNAPSHOT,      /* The target does not hold the snapshot; did not run. */
  JD_REPLY_SHED,             /* 503 with X-Shed; did not run. */
  JD_REPLY_ERROR,            /* Any other error status. */
  JD_REPLY_CROSSED,          /* X-Request-Id of another request. */
  JD_REPLY_NOT_SENT,         /* Certain that no byte of the request was written. */
  JD_REPLY_BROKEN,           /* The connection broke after the first byte. */
  JD_REPLY_TIMEOUT,          /* The client gave up waiting. */
  JD_REPLY_CANCEL_CONFIRMED, /* The target has stopped working on a cancelled attempt. */
} jd_reply_kind_t;

/* The reply of a target with its headers. */
typedef struct jd_target_reply
{
  jd_reply_kind_t kind;
  uint64_t snapshot;
  uint64_t boot_id;  /* 0: not reported. */
  int64_t uptime_us; /* -1: not reported. */
  int32_t in_flight; /* -1: not reported. */
  gboolean draining;
  uint32_t hit_count;
  jd_hit_t *hits; /* Best first; the core takes them. */
} jd_target_reply_t;

/* What a target's health endpoint says. It lags and may mislead. */
typedef struct jd_target_health
{
  gboolean cold;
  gboolean draining;
  uint32_t snapshot_count;
  uint64_t snapshots[4]; /* Newest first. */
} jd_target_health_t;

/* An attempt to send to a target. Pointers stay valid until the core has got the end of
 * the attempt or has called cancel_attempt. */
typedef struct jd_broker_start
{
  uint64_t handle; /* Unique in this process; use it as X-Request-Id. */
  const char *target;
  const char *shard;
  const jd_work_t *work; /* Kind, organisation, snapshot, limit, text and body. */
  int64_t deadline_us;   /* Own clock. */
} jd_broker_start_t;

typedef struct jd_broker_callbacks
{
  /* Send an attempt. Call jd_broker_core_may_write right before the first byte. */
  void (*start_attempt) (void *context, const jd_broker_start_t *start);
  /* Ask the target to stop; report JD_REPLY_CANCEL_CONFIRMED when it has. */
  void (*cancel_attempt) (void *context, uint64_t handle);
  /* Send outcomes to an entry. The result stays owned by the core. */
  void (*send_outcomes) (void *context, uint64_t entry, const jd_work_result_t *result);
  void *context;
} jd_broker_callbacks_t;

typedef struct jd_broker_settings
{
  uint32_t queue_length;     /* Most attempts waiting for one target. */
  int64_t release_margin_us; /* After its deadline an attempt keeps its slot this long. */
  int64_t work_bound_us;     /* Longest time from start to deadline of an attempt. */
  int64_t deadline_bound_us; /* Work with a deadline further away is refused. */
  gboolean infer_cold;       /* FALSE only in tests. */
} jd_broker_settings_t;

/* Counts since the start of the process. */
typedef struct jd_broker_counts
{
  uint64_t started;
  uint64_t refused_overload;
  uint64_t bounced; /* Busy target, sent back for another replica. */
  uint64_t refused_not_owner;
  uint64_t refused_target;
  uint64_t expired;
  uint64_t duplicates;
  uint64_t unknown_replies;
  uint64_t stopped_before_write;
} jd_broker_counts_t;
