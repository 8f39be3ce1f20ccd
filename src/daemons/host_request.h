#pragma once

#include "daemons/host_defs.h"
#include "routing/top_records.h"

/* A request of a caller from its admission to its answer. */
typedef struct jd_request
{
  jd_host_t *host;
  GList node; /* In host->requests. */
  jd_caller_t *caller;
  jd_route_table_t *table; /* The version that the request started with. */
  const jd_route_t *route;
  const char *tenant; /* NULL without a key. */
  jd_outgoing_t *outgoing;
  jd_fanout_t *fanout;
  jd_exchange_t **exchanges; /* Running attempts, JD_FANOUT_TRIES_MAX a part. */
  ev_timer timer;
  int64_t arrived_us;

  /* Answer of a request to one service. */
  uint32_t status;
  GString *fields;
  GString *body;
  /* Answer of a scattered request. */
  jd_top_records_t *records;
  GString *signatures;
} jd_request_t;

GString *jd_request_answer_fields (const jd_http_reader_t *reply);
jd_outgoing_t *jd_request_outgoing (const jd_host_t *host, const jd_http_reader_t *reader,
                                    const jd_route_table_t *table, const char *tenant);
