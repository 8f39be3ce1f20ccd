#pragma once

#include "routing/replica_registry.h"

/* One host's report to the others of answers of a target that rejects requests although
 * it has free slots. */
typedef struct jd_rejection_report
{
  uint32_t target_hash;
  jd_rejection_count_t count;
} jd_rejection_report_t;

uint32_t jd_rejection_reports_collect (jd_replica_registry_t *registry,
                                       jd_rejection_report_t *reports, uint32_t max);
uint32_t jd_rejection_reports_pending (jd_replica_registry_t *registry);
void jd_rejection_reports_apply (jd_replica_registry_t *registry,
                                 const jd_rejection_report_t *reports, uint32_t count,
                                 int64_t now_us);
