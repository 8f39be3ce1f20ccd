#include "routing/extra_reports.h"

typedef struct report_list
{
  jd_extra_report_t *reports;
  uint32_t max;
  uint32_t count;
  int64_t now_us;
} report_list_t;

/* Registry visitor: adds a service's unreported extra attempts (hedges and retries) to
 * the list. Returns FALSE without room for them. */
static bool
collect_report (void *context, void *value)
{
  report_list_t *list = context;
  jd_replica_pool_t *pool = value;
  if (pool->shared_budget.unreported == 0)
    return true;
  if (list->count == list->max)
    return false;
  list->reports[list->count++] = (jd_extra_report_t){
    .service_hash = pool->service_hash,
    .count = jd_extra_budget_collect_report (&pool->shared_budget),
  };
  return true;
}

/* Fills reports with this host's unreported extra attempts, one element for each service,
 * and returns the number of elements. Services beyond max come first in the next call. */
uint32_t
jd_extra_reports_collect (jd_replica_registry_t *registry, jd_extra_report_t *reports,
                          uint32_t max)
{
  report_list_t list = { .reports = reports, .max = max };
  jd_replica_registry_collect (registry, JD_REGISTRY_REPORT_EXTRAS, collect_report,
                               &list);
  return list.count;
}

/* Registry visitor: adds the extra attempts that another host reported for a service to
 * the budget that the hosts share. */
static void
apply_report (void *context, jd_replica_pool_t *pool)
{
  const report_list_t *list = context;
  for (uint32_t i = 0; i < list->count; i++)
    {
      if (list->reports[i].service_hash == pool->service_hash)
        jd_extra_budget_apply_report (&pool->shared_budget, list->reports[i].count,
                                      list->now_us);
    }
}

/* Adds the extra attempts that another host reported to the shared budgets. */
void
jd_extra_reports_apply (jd_replica_registry_t *registry, const jd_extra_report_t *reports,
                        uint32_t count, int64_t now_us)
{
  report_list_t list = { .reports = (jd_extra_report_t *)reports,
                         .count = count,
                         .now_us = now_us };
  if (count > 0)
    jd_replica_registry_each_pool (registry, apply_report, &list);
}
