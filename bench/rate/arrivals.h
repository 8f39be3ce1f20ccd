#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define BENCH_ENTRIES 9
#define BENCH_ENTRIES_PER_ZONE 3
#define BENCH_ORGANISATIONS 8

/* Rates and bursts of the organisations of one site, in tokens. */
typedef struct bench_site
{
  const char *name;
  int64_t one_way_us;
  double rates[BENCH_ORGANISATIONS];
  double burst_s; /* Burst as seconds of the rate. */
} bench_site_t;

/* One request. Its id is its position plus 1. */
typedef struct bench_arrival
{
  int64_t at_us;
  uint16_t entry;
  uint16_t organisation;
} bench_arrival_t;

typedef struct bench_traffic
{
  uint64_t seed;
  double load;     /* Mean demand as part of the rate. */
  bool bursty;     /* Requests come in phases instead of evenly. */
  bool skewed;     /* All requests of an organisation come to one entry. */
  double flooding; /* Demand of organisation 0 as multiple of its rate; 0: as others. */
  int64_t from_us;
  int64_t until_us;
  int64_t loss_at_us; /* Entry 0 is lost; INT64_MAX for never. */
} bench_traffic_t;

GArray *bench_arrivals_new (const bench_site_t *site, const bench_traffic_t *traffic);
