#pragma once

#include "routing/replica.h"

/* The properties of a request that the choice of a replica depends on. */
typedef struct jd_replica_criteria
{
  int64_t
      typical_latency_us; /* Typical latency of this kind of request, or an assumption. */
  const jd_replica_t *const *tried; /* Replicas that had an attempt already. */
  uint32_t tried_count;
  uint32_t salt; /* Breaks ties differently on each host and request. */
} jd_replica_criteria_t;

int64_t jd_replica_expected_latency_us (const jd_replica_t *replica,
                                        const jd_replica_criteria_t *criteria,
                                        int64_t now_us);
uint32_t jd_replica_queue_length (const jd_replica_t *replica, int64_t now_us);
uint32_t jd_replica_shortest_queue (const jd_replica_t *replica, int64_t now_us);
bool jd_replica_has_free_slot (const jd_replica_t *replica, int64_t now_us);
jd_replica_t *jd_replica_choose (const jd_replica_pool_t *pool,
                                 const jd_replica_criteria_t *criteria, int64_t now_us);
double jd_replica_pool_extra_attempts (const jd_replica_pool_t *pool, int64_t now_us);
