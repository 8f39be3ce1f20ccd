#pragma once

#include <glib.h>
#include <stdint.h>

#include "routing/work_defs.h"

typedef enum load_outcome
{
  LOAD_OK,
  LOAD_PARTIAL,
  LOAD_REFUSED, /* The answer reports that the request did not run. */
  LOAD_FAILED,  /* Any other answer, or none. */
  LOAD_OUTCOMES,
} load_outcome_t;

/* The callers of one organisation. */
typedef struct load_organisation
{
  char *id;
  char *key; /* API key; empty: requests carry no key. */
  double rate_per_s;
} load_organisation_t;

/* Requests to send, their rate and their destinations. */
typedef struct load_plan
{
  char **entries; /* Base URLs of the entries, NULL-terminated. */
  uint32_t entry_count;
  GArray *organisations; /* load_organisation_t */
  double rate_per_s;     /* Sum over all organisations. */
  double mix[3];         /* Share of each jd_work_kind_t; the shares add up to 1. */
  const char *search_service;
  const char *entry_service; /* Service of fetches and edits. */
  int64_t duration_us;
  int64_t begin_us;       /* Start of all workers on the monotonic clock. */
  uint32_t timeout_ms;    /* Of searches. */
  uint32_t limit;         /* Maximum number of hits per search. */
  uint32_t in_flight_max; /* Maximum number of requests in flight per worker. */
  uint32_t worker_count;
  uint64_t seed;
} load_plan_t;

/* Results of one worker for one organisation. */
typedef struct load_tally
{
  uint64_t sent;
  uint64_t outcomes[LOAD_OUTCOMES];
  uint64_t unknown_edits; /* Failed edits that may have run. */
  double coverage_sum;    /* Of searches that ended as LOAD_OK or LOAD_PARTIAL. */
  uint64_t coverage_count;
  /* double; from the scheduled time to the end of the answer, LOAD_OK and LOAD_PARTIAL
   * only. */
  GArray *latencies_us;
} load_tally_t;
