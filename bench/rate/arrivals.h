#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define BENCH_ENTRIES 9
#define BENCH_ENTRIES_PER_ZONE 3
#define BENCH_ORGANISATIONS 8

/* Network delay of one site, and the rate and burst of its organisations in tokens. */
typedef struct bench_site
{
  const char *name;
  int64_t one_way_us; /* Network delay; the rate limiter has half of it within a zone. */
  double rates[BENCH_ORGANISATIONS]; /* Per second. */
  double burst_s;                    /* Burst divided by the rate. */
} bench_site_t;

/* One request. Its request id is its position in the array plus 1. */
typedef struct bench_arrival
{
  int64_t at_us;
  uint16_t entry;
  uint16_t organisation;
} bench_arrival_t;

typedef struct bench_traffic
{
  uint64_t seed;
  double load; /* Mean demand divided by the rate. */
  bool bursty; /* Requests come in on and off phases instead of evenly. */
  bool skewed; /* All requests of an organisation reach one entry. */
  /* Demand of organisation 0 divided by its rate; 0: organisation 0 has the same load as
   * the others. */
  double flood_factor;
  int64_t from_us;
  int64_t until_us;
  int64_t loss_at_us; /* When entry 0 fails; INT64_MAX: never. */
} bench_traffic_t;

GArray *bench_arrivals_new (const bench_site_t *site, const bench_traffic_t *traffic);
