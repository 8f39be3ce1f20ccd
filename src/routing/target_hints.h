#pragma once

#include "routing/replica_registry.h"

/* A host's message to the others that a target is slow or fails, or has recovered. */
typedef struct jd_target_hint
{
  uint32_t target_hash;
  double latency_ratio; /* Latency relative to the typical latency; 1: recovered. */
} jd_target_hint_t;

uint32_t jd_target_hints_collect (jd_replica_registry_t *registry,
                                  jd_target_hint_t *hints, uint32_t max, int64_t now_us);
void jd_target_hints_apply (jd_replica_registry_t *registry,
                            const jd_target_hint_t *hints, uint32_t count,
                            int64_t now_us);
