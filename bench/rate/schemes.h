#pragma once

#include "rate/arrivals.h"

typedef enum bench_scheme
{
  BENCH_STATIC,       /* Every entry enforces a ninth of the rate and burst. */
  BENCH_FULL,         /* Every entry enforces the full rate and burst. */
  BENCH_ONE_OWNER,    /* One owner per organisation gives grants that expire. */
  BENCH_RATE_LIMITER, /* The rate limiter of src/limits, printed as "chosen". */
  BENCH_SCHEMES,
} bench_scheme_t;

typedef enum bench_result
{
  BENCH_UNDECIDED = 0, /* The request was lost with its entry. */
  BENCH_ADMITTED = 1,
  BENCH_REFUSED = 2,
} bench_result_t;

/* Results of one scheme for all arrivals. */
typedef struct bench_run
{
  uint8_t *results;       /* bench_result_t of each arrival. */
  int64_t *decided_at_us; /* Of each arrival. */
  uint64_t messages;      /* Sent between entries. */
} bench_run_t;

const char *bench_scheme_name (bench_scheme_t scheme);
bench_run_t bench_run_scheme (bench_scheme_t scheme, const bench_site_t *site,
                              const bench_traffic_t *traffic, const GArray *arrivals);
void bench_run_clear (bench_run_t *run);
void bench_run_buckets (bench_run_t *run, const bench_site_t *site,
                        const GArray *arrivals, double fraction);
void bench_run_one_owner (bench_run_t *run, const bench_site_t *site,
                          const bench_traffic_t *traffic, const GArray *arrivals);
void bench_run_rate_limiter (bench_run_t *run, const bench_site_t *site,
                             const bench_traffic_t *traffic, const GArray *arrivals);
