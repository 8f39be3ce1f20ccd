#pragma once

#include <glib.h>
#include <stdint.h>

#include "config/access.h"
#include "routing/work_defs.h"

typedef struct jd_caller_answer
{
  jd_result_code_t code;
  jd_ran_t ran;
  double coverage;
  uint64_t snapshot;
  uint32_t hit_count;
  jd_hit_t *hits; /* Best first. */
} jd_caller_answer_t;

/* A caller's request, shared between an HTTP worker and the event loop. The worker fills
 * in the request before it passes it to the event loop, which sets the answer once. */
typedef struct jd_caller_request
{
  gint reference_count;

  uint64_t id;
  jd_work_kind_t kind;
  jd_name_t service;
  jd_access_t access;
  char *text; /* Query text of a search, entry id of a fetch or an edit. */
  char *body; /* NULL unless the request is an edit. */
  uint32_t body_bytes;
  uint32_t limit; /* Maximum number of hits. */
  int64_t received_us;
  int64_t deadline_us;
  uint64_t query_id; /* Assigned by the entry core; accessed by the event loop only. */

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
