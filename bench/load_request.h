#pragma once

#include <curl/curl.h>
#include <jansson.h>

#include "base/rng.h"
#include "load_defs.h"

/* One request of a worker. The worker reuses the object and its curl handle. */
typedef struct load_request
{
  CURL *easy;
  struct curl_slist *headers;
  GString *answer;

  uint32_t organisation; /* Index in the plan. */
  jd_work_kind_t kind;
  const char *entry_url;
  char *text; /* Query or entry id. */
  char *body; /* Of an edit; else NULL. */

  /* Monotonic clock. */
  int64_t scheduled_us;
  int64_t call_us;   /* When the request was sent. */
  int64_t return_us; /* When the transfer ended. */

  /* The answer. */
  long status; /* HTTP status; 0: no answer. */
  load_outcome_t outcome;
  json_int_t code; /* -1: the answer has none. */
  char ran[8];
  double coverage;
  json_int_t snapshot;
} load_request_t;

load_request_t *load_request_new (void);
void load_request_free (load_request_t *request);
void load_request_draw (load_request_t *request, const load_plan_t *plan,
                        const jd_rng_t *rng, uint32_t worker, uint64_t number);
void load_request_finish (load_request_t *request, CURLcode result);
json_t *load_request_to_json (const load_request_t *request, const load_plan_t *plan);
