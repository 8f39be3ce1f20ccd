#pragma once

#include "daemons/host_defs.h"
#include "routing/top_records.h"

/* An admitted request of a caller, until its answer or the caller's disconnect. */
typedef struct jd_request
{
  jd_host_t *host;
  GList node; /* Link in host->requests. */
  jd_caller_t *caller;
  jd_route_table_t *table; /* Configuration version that the request started with. */
  const jd_route_t *route;
  const char *tenant; /* NULL without a key. Owned by `table`. */
  jd_outgoing_request_t *outgoing;
  jd_fanout_t *fanout;
  jd_exchange_t **exchanges; /* Running attempts, JD_FANOUT_ATTEMPTS_MAX for each part. */
  ev_timer timer;
  int64_t arrived_us;

  /* Response to a request to one service; fields and body are NULL until one arrives. */
  uint32_t reply_status;
  GString *reply_fields;
  GString *reply_body;
  /* Merged answer of a scattered request. */
  jd_top_records_t *top_records;
  GString *signatures;
} jd_request_t;

GString *jd_request_forwarded_fields (const jd_http_reader_t *reply);
jd_outgoing_request_t *jd_request_build_outgoing (const jd_host_t *host,
                                                  const jd_http_reader_t *reader,
                                                  const jd_route_table_t *table,
                                                  const char *tenant);
