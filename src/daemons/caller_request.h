#pragma once

#include <glib.h>
#include <stdint.h>

#include "config/access.h"
#include "routing/work_defs.h"

/* The answer to a caller. */
typedef struct jd_caller_answer
{
  jd_result_code_t code;
  jd_ran_t ran;
  double coverage;
  uint64_t snapshot;
  uint32_t hit_count;
  jd_hit_t *hits; /* Best first. */
} jd_caller_answer_t;

/* One request of a caller on its way from an HTTP worker to the event loop and back. The
 * worker fills in the request before it hands it over; the loop sets the answer once. */
typedef struct jd_caller_request
{
  gint references;

  uint64_t id;
  jd_work_kind_t kind;
  jd_name_t service;
  jd_access_t access;
  char *text; /* Query text or entry id. */
  char *body; /* Body of an edit, else NULL. */
  uint32_t body_bytes;
  uint32_t limit;
  int64_t received_us;
  int64_t deadline_us;
  uint64_t query_id; /* Of the core; used by the loop only. */

  GMutex lock; /* Guards the members below; no other lock is taken while it is held. */
  GCond answered;
  gboolean has_answer;
  jd_caller_answer_t answer;
} jd_caller_request_t;

jd_caller_request_t *jd_caller_request_new (void);
jd_caller_request_t *jd_caller_request_ref (jd_caller_request_t *request);
void jd_caller_request_unref (jd_caller_request_t *request);
void jd_caller_request_answer (jd_caller_request_t *request, jd_caller_answer_t answer);
gboolean jd_caller_request_wait (jd_caller_request_t *request, int64_t timeout_us);
