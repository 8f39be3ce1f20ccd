#pragma once

#include <stdatomic.h>
#include <stdint.h>

/* Registry of named metric counters. Names are in lower case with dots, for example
 * broker.open_attempts. */
typedef struct jd_counters jd_counters_t;

/* A counter lives as long as its registry, so callers may keep the pointer. */
typedef struct jd_counter
{
  _Atomic uint64_t value;
} jd_counter_t;

jd_counters_t *jd_counters_new (void);
void jd_counters_free (jd_counters_t *counters);
jd_counter_t *jd_counters_get (jd_counters_t *counters, const char *name);
char *jd_counters_render (jd_counters_t *counters);
void jd_counter_add (jd_counter_t *counter, uint64_t amount);
void jd_counter_set (jd_counter_t *counter, uint64_t value);
uint64_t jd_counter_value (const jd_counter_t *counter);
