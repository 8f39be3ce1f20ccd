#pragma once

#include "rate/arrivals.h"

typedef enum bench_scheme
{
  BENCH_STATIC,    /* Every entry enforces a ninth of rate and burst. */
  BENCH_FULL,      /* Every entry enforces the full rate and burst. */
  BENCH_ONE_OWNER, /* One owner per organisation gives grants that expire. */
  BENCH_CHOSEN,
  BENCH_SCHEMES,
} bench_scheme_t;

typedef enum bench_result
{
  BENCH_UNDECIDED = 0, /* Lost with its entry. */
  BENCH_ADMITTED = 1,
  BENCH_REFUSED = 2,
} bench_result_t;

/* What one scheme did with all arrivals. */
typedef struct bench_run
{
  uint8_t *results;       /* Of each arrival, bench_result_t. */
  int64_t *decided_at_us; /* Of each arrival. */
  uint64_t messages;
} bench_run_t;

const char *bench_scheme_name (bench_scheme_t scheme);
bench_run_t bench_run_scheme (bench_scheme_t scheme, const bench_site_t *site,
                              const bench_traffic_t *traffic, const GArray *arrivals);
void bench_run_clear (bench_run_t *run);
void bench_run_buckets (bench_run_t *run, const bench_site_t *site,
                        const GArray *arrivals, double part);
void bench_run_one_owner (bench_run_t *run, const bench_site_t *site,
                          const bench_traffic_t *traffic, const GArray *arrivals);
void bench_run_chosen (bench_run_t *run, const bench_site_t *site,
                       const bench_traffic_t *traffic, const GArray *arrivals);
