#pragma once

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "routing/broker_defs.h"
#include "transport/event_poll.h"

/* Requests to targets over HTTP with kept connections. Used from one thread, whose event
 * poll also waits for the sockets. */
typedef struct jd_target_client jd_target_client_t;

typedef struct jd_target_client_options
{
  jd_event_poll_t *poll;
  jd_clock_t clock;
  /* Start of every X-Request-Id: a text that no other process and no earlier start of
   * this one uses, since handles are unique in one process only. */
  const char *id_prefix;

  /* Called right before the first byte of an attempt. FALSE: nothing is written, and the
   * attempt is over without on_reply. */
  gboolean (*may_write) (void *context, uint64_t handle);
  /* The end of an attempt. One that ended without a whole reply and was cancelled then
   * may end again with JD_REPLY_CANCEL_CONFIRMED. The receiver may take the hits. */
  void (*on_reply) (void *context, uint64_t handle, jd_target_reply_t *reply);
  /* The end of a probe; health is NULL when the target gave no good answer. */
  void (*on_health) (void *context, const char *target, const jd_target_health_t *health);
  void *context;
} jd_target_client_options_t;

jd_target_client_t *jd_target_client_new (const jd_target_client_options_t *options);
void jd_target_client_free (jd_target_client_t *client);

/* Adds a target or changes its address and its most connections. */
void jd_target_client_set_target (jd_target_client_t *client, const char *target,
                                  const char *address, uint32_t connections);
/* Closes the kept connections of a target; running attempts end as usual. */
void jd_target_client_drop_target (jd_target_client_t *client, const char *target);

/* Takes an attempt; the content of the start is copied. It is sent by the next
 * jd_target_client_run, and every end is reported by such a run. */
void jd_target_client_start (jd_target_client_t *client, const jd_broker_start_t *start);
/* Ends an unsent attempt as not sent. Otherwise asks the target to stop; the attempt
 * ends with its reply or with the confirmation of the target. Also valid inside on_reply
 * for an attempt that ended without a whole reply. */
void jd_target_client_cancel (jd_target_client_t *client, uint64_t handle);
/* Reads the health of a target, unless such a read is still running. */
void jd_target_client_probe (jd_target_client_t *client, const char *target,
                             int64_t timeout_us);

/* Sends, handles time-outs and reports ends. Call after each poll. */
void jd_target_client_run (jd_target_client_t *client);
/* When jd_target_client_run must be called at the latest; INT64_MAX for never. */
int64_t jd_target_client_next_wake_us (const jd_target_client_t *client);
