#pragma once

#include <ev.h>

#include "limits/byte_budget.h"
#include "routing/answer_match.h"
#include "routing/replica.h"
#include "transport/http_reader.h"

/* The connections from this host to all targets. A connection carries one request at a
 * time. An exchange is one attempt: a request and its answer. It waits in a queue while
 * all connections to its target are busy. */
typedef struct jd_replica_links jd_replica_links_t;
typedef struct jd_exchange jd_exchange_t;

/* Names of the header fields in requests to targets and in their answers. */
typedef struct jd_target_fields
{
  const char *request_id;
  const char *deadline_ms;        /* Remaining time for the request, in milliseconds. */
  const char *expected_target_id; /* Id of the only target that may run the request. */
  const char *signature; /* Present in each answer of a target that ran the request. */
  const char *not_run;   /* Present if the target did not run the request. */
  const char *load;      /* "running,waiting,slots" */
  const char *cold_ms;   /* Remaining time for which the target is cold. */
  const char *leaving;   /* "1" in each answer of a target that is leaving. */
} jd_target_fields_t;

/* The bytes of a request to targets; shared by all attempts for one caller request. */
typedef struct jd_outgoing_request
{
  uint32_t references;
  jd_answer_match_t match;
  GString *head; /* Request line and header fields; each line ends with \r\n. */
  GString *body;
  bool is_head_method;
  bool runs_once;      /* Not idempotent: it may be sent to one target only. */
  int64_t deadline_us; /* Time at which the caller stops waiting. */
} jd_outgoing_request_t;

typedef struct jd_exchange_result
{
  jd_replica_outcome_t outcome;
  bool may_have_run; /* FALSE only if the target cannot have run the request. */
  bool was_sent;     /* The request was sent on a connection. */
  const jd_http_reader_t *reply; /* NULL if no whole answer was received. */
  int64_t elapsed_us;            /* Since the request was sent. */
  int64_t connection_wait_us;    /* Time spent in the queue; set with a whole answer. */
} jd_exchange_result_t;

typedef struct jd_exchange_owner
{
  void (*on_done) (void *context, uint32_t tag, jd_replica_t *replica,
                   const jd_exchange_result_t *result);
  void *context;
  uint32_t tag;
} jd_exchange_owner_t;

typedef struct jd_replica_links_options
{
  struct ev_loop *loop;
  jd_target_fields_t fields;
  uint32_t reply_body_limit_bytes;
  jd_byte_budget_t *budget; /* For incomplete answers; NULL: no limit. */
} jd_replica_links_options_t;

jd_outgoing_request_t *jd_outgoing_request_new (const char *id);
void jd_outgoing_request_unref (jd_outgoing_request_t *outgoing);

jd_replica_links_t *jd_replica_links_new (const jd_replica_links_options_t *options);
void jd_replica_links_free (jd_replica_links_t *links);
void jd_replica_links_set_host_count (jd_replica_links_t *links, uint32_t host_count);
void jd_replica_links_add (jd_replica_links_t *links, jd_replica_t *replica);
void jd_replica_links_retire (jd_replica_links_t *links, jd_replica_t *replica);
jd_exchange_t *jd_replica_links_send (jd_replica_links_t *links, jd_replica_t *replica,
                                      jd_outgoing_request_t *outgoing,
                                      int64_t typical_latency_us,
                                      const jd_exchange_owner_t *owner);
void jd_exchange_cancel (jd_exchange_t *exchange, int64_t linger_us);
bool jd_exchange_was_sent (const jd_exchange_t *exchange);
uint32_t jd_replica_links_open_count (const jd_replica_links_t *links);
uint64_t jd_replica_links_opened_total (const jd_replica_links_t *links);
uint64_t jd_replica_links_refused_total (const jd_replica_links_t *links);
