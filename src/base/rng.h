#pragma once

#include <stdint.h>

/* Source of 64-bit random numbers. */
typedef struct jd_rng
{
  uint64_t (*next) (void *context);
  void *context;
} jd_rng_t;

/* State of a counter-based generator (Random123 Philox 4x32). */
typedef struct jd_philox
{
  uint64_t seed;
  uint64_t stream;
  uint64_t counter;
} jd_philox_t;

jd_rng_t jd_philox_rng (jd_philox_t *state);
uint64_t jd_rng_next (const jd_rng_t *rng);
uint64_t jd_rng_below (const jd_rng_t *rng, uint64_t bound);
double jd_rng_unit (const jd_rng_t *rng);
uint64_t jd_entropy (void);
