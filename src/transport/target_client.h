#pragma once

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "routing/broker_defs.h"
#include "transport/event_poll.h"

/* Sends requests to targets over HTTP with keep-alive connections. Used from one thread,
 * whose event poll also waits for the sockets. */
typedef struct jd_target_client jd_target_client_t;

typedef struct jd_target_client_options
{
  jd_event_poll_t *poll;
  jd_clock_t clock;
  /* Prefix of every X-Request-Id. It must differ between processes and between restarts
   * of one process, because handles are unique only within one run of a process. */
  const char *id_prefix;

  /* Called right before the first byte of an attempt is written. If it returns FALSE,
   * nothing is written and the attempt ends without on_reply. */
  gboolean (*may_write) (void *context, uint64_t handle);
  /* Called when an attempt ends. An attempt that ended without a complete reply and was
   * cancelled inside on_reply may end a second time with JD_REPLY_CANCEL_CONFIRMED. The
   * callback may move the hits out of the reply. */
  void (*on_reply) (void *context, uint64_t handle, jd_target_reply_t *reply);
  /* Called when a probe ends; health is NULL if the target sent no valid reply. */
  void (*on_health) (void *context, const char *target, const jd_target_health_t *health);
  void *context;
} jd_target_client_options_t;

jd_target_client_t *jd_target_client_new (const jd_target_client_options_t *options);
void jd_target_client_free (jd_target_client_t *client);

/* Adds a target or changes its address and its maximum number of connections. */
void jd_target_client_set_target (jd_target_client_t *client, const char *target,
                                  const char *address, uint32_t max_connections);
/* Removes a target. Its connections are closed after its running attempts have ended. */
void jd_target_client_drop_target (jd_target_client_t *client, const char *target);

/* Queues an attempt and copies the content of start. The next jd_target_client_run sends
 * it; the end of an attempt is reported only inside jd_target_client_run. */
void jd_target_client_start (jd_target_client_t *client, const jd_broker_start_t *start);
/* Ends an unsent attempt with JD_REPLY_NOT_SENT. Otherwise sends a cancellation to the
 * target; the attempt ends with its own reply or with the target's confirmation of the
 * cancellation, whichever is first. May also be called inside on_reply for an attempt
 * that ended without a complete reply. */
void jd_target_client_cancel (jd_target_client_t *client, uint64_t handle);
/* Starts a health probe of a target unless one is still running. */
void jd_target_client_probe (jd_target_client_t *client, const char *target,
                             int64_t timeout_us);

/* Sends queued requests, handles time-outs and reports ended requests. Must be called
 * after each wait on the event poll. */
void jd_target_client_run (jd_target_client_t *client);
/* Returns the latest time at which jd_target_client_run must be called again; INT64_MAX
 * if there is none. */
int64_t jd_target_client_next_wake_us (const jd_target_client_t *client);
