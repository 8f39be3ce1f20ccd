#pragma once

#include <glib.h>
#include <stdint.h>

#include "routing/work_defs.h"

/* How an attempt at a target ended, as the target client observed it. */
typedef enum jd_reply_kind
{
  JD_REPLY_OK,
  JD_REPLY_NOT_FOUND,        /* The target has no entry with this id. */
  JD_REPLY_NO_SNAPSHOT,      /* The target lacks the snapshot; not executed. */
  JD_REPLY_SHED,             /* 503 with X-Shed; not executed. */
  JD_REPLY_ERROR,            /* Any other error status. */
  JD_REPLY_WRONG_REQUEST_ID, /* The reply has the X-Request-Id of another request. */
  JD_REPLY_NOT_SENT,         /* No byte of the request was written. */
  JD_REPLY_BROKEN,           /* The connection broke after the first byte was written. */
  JD_REPLY_TIMEOUT,          /* The client stopped waiting for a reply. */
  JD_REPLY_CANCEL_CONFIRMED, /* The target has stopped a cancelled attempt. */
} jd_reply_kind_t;

/* Reply of a target, with the values of its headers. */
typedef struct jd_target_reply
{
  jd_reply_kind_t kind;
  uint64_t snapshot;
  uint64_t boot_id;  /* 0: not reported. */
  int64_t uptime_us; /* -1: not reported. */
  int32_t in_flight; /* -1: not reported. */
  gboolean draining;
  uint32_t hit_count;
  jd_hit_t *hits; /* Best first; the core takes ownership. */
} jd_target_reply_t;

/* State that a target's health endpoint reports. It lags behind and may be wrong. */
typedef struct jd_target_health
{
  gboolean cold;
  gboolean draining;
  uint32_t snapshot_count;
  uint64_t snapshots[4]; /* Newest first. */
} jd_target_health_t;

/* An attempt that the target client has to send. The pointers stay valid until the client
 * reports the end of the attempt or the core calls cancel_attempt. */
typedef struct jd_broker_start
{
  uint64_t handle; /* Unique in this process; sent as X-Request-Id. */
  const char *target;
  const char *shard;
  const jd_work_t *work; /* Source of kind, organisation, snapshot, limit, text, body. */
  int64_t deadline_us;   /* Clock of this process. */
} jd_broker_start_t;

typedef struct jd_broker_callbacks
{
  /* Sends an attempt. Must call jd_broker_core_may_write right before the first byte. */
  void (*start_attempt) (void *context, const jd_broker_start_t *start);
  /* Sends the target a request to stop an attempt. Must report JD_REPLY_CANCEL_CONFIRMED
   * when the target has stopped. */
  void (*cancel_attempt) (void *context, uint64_t handle);
  /* Sends outcomes to an entry. The core keeps ownership of the result. */
  void (*send_outcomes) (void *context, uint64_t entry, const jd_work_result_t *result);
  void *context;
} jd_broker_callbacks_t;

typedef struct jd_broker_settings
{
  uint32_t max_queue_length; /* Maximum number of queued attempts per target. */
  int64_t release_margin_us; /* An attempt without a reply holds its slot this long past
                              its deadline. */
  int64_t work_bound_us; /* Maximum time from the start of an attempt to its deadline. */
  int64_t deadline_bound_us; /* Work with a deadline further in the future is refused. */
  gboolean infer_cold;       /* Limits targets that appear cold; FALSE only in tests. */
} jd_broker_settings_t;

/* Event counts since the start of the process. */
typedef struct jd_broker_counts
{
  uint64_t started;
  uint64_t refused_overload;
  uint64_t refused_busy; /* Refused as JD_TARGET_BUSY; the entry tries another replica. */
  uint64_t refused_not_owner;
  uint64_t refused_target;
  uint64_t expired;
  uint64_t duplicates;
  uint64_t unknown_replies;
  uint64_t stopped_before_write;
} jd_broker_counts_t;
