#pragma once

#include "load_defs.h"
#include "load_history.h"

/* A thread that sends its share of the plan's rate on schedule, whether or not earlier
 * requests have been answered (open loop). */
typedef struct load_worker
{
  const load_plan_t *plan;
  load_history_t *history;
  uint32_t index;
  load_tally_t *tallies; /* One per organisation. */
  uint64_t not_sent;     /* Requests skipped because the in-flight limit was reached. */
  GArray *start_lags_us; /* double; delay of each start after its scheduled time. */
  GThread *thread;
} load_worker_t;

void load_worker_start (load_worker_t *worker);
void load_worker_join (load_worker_t *worker);
void load_worker_clear (load_worker_t *worker);
