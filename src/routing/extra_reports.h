#pragma once

#include "routing/replica_registry.h"

/* One host's report to the others of its extra attempts at a service. */
typedef struct jd_extra_report
{
  uint32_t service_hash;
  uint32_t count; /* Extra attempts since the last report. */
} jd_extra_report_t;

uint32_t jd_extra_reports_collect (jd_replica_registry_t *registry,
                                   jd_extra_report_t *reports, uint32_t max);
void jd_extra_reports_apply (jd_replica_registry_t *registry,
                             const jd_extra_report_t *reports, uint32_t count,
                             int64_t now_us);
