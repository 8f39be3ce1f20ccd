#pragma once

#include <glib.h>
#include <stdint.h>

#include "routing/work_defs.h"

typedef enum load_outcome
{
  LOAD_OK,
  LOAD_PARTIAL,
  LOAD_REFUSED, /* The answer says that the request did not run. */
  LOAD_FAILED,  /* Every other answer, and none. */
  LOAD_OUTCOMES,
} load_outcome_t;

/* One organisation's callers. */
typedef struct load_organisation
{
  char *id;
  char *key; /* Empty: no key is sent. */
  double rate_per_s;
} load_organisation_t;

/* What is sent where. */
typedef struct load_plan
{
  char **entries; /* Base URLs, NULL-terminated. */
  uint32_t entry_count;
  GArray *organisations; /* load_organisation_t */
  double rate_per_s;     /* Of all organisations. */
  double mix[3];         /* Share of each jd_work_kind_t; the sum is 1. */
  const char *search_service;
  const char *entry_service; /* For fetches and edits. */
  int64_t duration_us;
  int64_t begin_us; /* Of all workers, monotonic. */
  uint32_t timeout_ms;
  uint32_t limit;
  uint32_t in_flight_max; /* Per worker. */
  uint32_t worker_count;
  uint64_t seed;
} load_plan_t;

/* What one worker has measured for one organisation. */
typedef struct load_tally
{
  uint64_t sent;
  uint64_t outcomes[LOAD_OUTCOMES];
  uint64_t unknown_edits; /* Edits whose outcome the answer does not tell. */
  double coverage_sum;    /* Of answered searches. */
  uint64_t coverage_count;
  GArray *latencies_us; /* double; scheduled time to whole answer, LOAD_OK and PARTIAL. */
} load_tally_t;
