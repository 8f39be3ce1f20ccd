#include "routing/rejection_reports.h"

typedef struct jd_rejection_list
{
  jd_rejection_report_t *reports;
  uint32_t max;
  uint32_t count;
  int64_t now_us;
} jd_rejection_list_t;

/* Registry visitor: adds the unreported answers of a replica to the list. Returns FALSE
 * without room for them. */
static bool
collect_report (void *context, void *value)
{
  jd_rejection_list_t *list = context;
  jd_replica_t *replica = value;
  jd_rejection_count_t count;
  if (list->count == list->max && replica->rejections.unreported_rejections > 0)
    return false;
  if (!jd_rejection_rate_collect_report (&replica->rejections, &count))
    return true;
  list->reports[list->count++] =
      (jd_rejection_report_t){ .target_hash = replica->id_hash, .count = count };
  return true;
}

/* Fills reports with the answers, to this host, of targets that rejected some of its
 * requests, and returns the number of elements. Targets beyond max come first in the
 * next call. */
uint32_t
jd_rejection_reports_collect (jd_replica_registry_t *registry,
                              jd_rejection_report_t *reports, uint32_t max)
{
  jd_rejection_list_t list = { .reports = reports, .max = max };
  jd_replica_registry_collect (registry, JD_REGISTRY_REPORT_REJECTIONS, collect_report,
                               &list);
  return list.count;
}

/* Registry visitor: adds the unreported rejections of a replica to a count. */
static void
count_pending (void *context, jd_replica_t *replica)
{
  *(uint32_t *)context += replica->rejections.unreported_rejections;
}

/* Returns the number of rejections that the other hosts do not know yet. */
uint32_t
jd_rejection_reports_pending (jd_replica_registry_t *registry)
{
  uint32_t pending = 0;
  jd_replica_registry_each (registry, count_pending, &pending);
  return pending;
}

/* Registry visitor: applies the reports about a replica. */
static void
apply_report (void *context, jd_replica_t *replica)
{
  const jd_rejection_list_t *list = context;
  if (!replica->pool->learns_rejections)
    return;
  for (uint32_t i = 0; i < list->count; i++)
    {
      if (list->reports[i].target_hash == replica->id_hash)
        jd_rejection_rate_apply_report (&replica->rejections, &list->reports[i].count,
                                        list->now_us);
    }
}

/* Applies the reports that another host has sent. Those about unknown targets are
 * ignored. */
void
jd_rejection_reports_apply (jd_replica_registry_t *registry,
                            const jd_rejection_report_t *reports, uint32_t count,
                            int64_t now_us)
{
  jd_rejection_list_t list = { .reports = (jd_rejection_report_t *)reports,
                               .count = count,
                               .now_us = now_us };
  if (count > 0)
    jd_replica_registry_each (registry, apply_report, &list);
}
