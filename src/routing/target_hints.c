#include "routing/target_hints.h"

#include "base/clock.h"

/* A host's own good answers from a target override hints of other hosts for this long,
 * because a target may be slow or lost for some hosts only. */
#define LOCAL_OBSERVATION_TTL_US JD_US_PER_S

typedef struct jd_hint_list
{
  jd_target_hint_t *hints;
  uint32_t max;
  uint32_t count;
  int64_t now_us;
} jd_hint_list_t;

/* Registry visitor: moves a replica's pending hint to the list. Returns FALSE without
 * room for it. */
static bool
collect_hint (void *context, void *value)
{
  jd_hint_list_t *list = context;
  jd_replica_t *replica = value;
  if (replica->pending_hint_ratio <= 0.0)
    return true;
  if (list->count == list->max)
    return false;
  list->hints[list->count++] = (jd_target_hint_t){
    .target_hash = replica->id_hash,
    .latency_ratio = replica->pending_hint_ratio,
  };
  replica->pending_hint_ratio = 0.0;
  replica->hint_sent_us = list->now_us;
  return true;
}

/* Fills hints with the pending hints for the other hosts and returns their number. Each
 * hint is returned once; hints beyond max come first in the next call. */
uint32_t
jd_target_hints_collect (jd_replica_registry_t *registry, jd_target_hint_t *hints,
                         uint32_t max, int64_t now_us)
{
  jd_hint_list_t list = { .hints = hints, .max = max, .now_us = now_us };
  jd_replica_registry_collect (registry, JD_REGISTRY_REPORT_HINTS, collect_hint, &list);
  return list.count;
}

/* Registry visitor: applies the hints about a replica. A ratio of at most 1 means that
 * the target has recovered, and removes the hint received before. */
static void
apply_hint (void *context, jd_replica_t *replica)
{
  const jd_hint_list_t *list = context;
  for (uint32_t i = 0; i < list->count; i++)
    {
      const jd_target_hint_t *hint = &list->hints[i];
      if (hint->target_hash != replica->id_hash)
        continue;
      if (hint->latency_ratio <= 1.0)
        replica->hint_received_us = 0;
      else if (list->now_us - replica->last_good_us >= LOCAL_OBSERVATION_TTL_US)
        {
          replica->hint_latency_ratio = hint->latency_ratio;
          replica->hint_received_us = list->now_us;
        }
    }
}

/* Applies the hints that another host has sent. Hints about unknown targets are ignored.
 */
void
jd_target_hints_apply (jd_replica_registry_t *registry, const jd_target_hint_t *hints,
                       uint32_t count, int64_t now_us)
{
  jd_hint_list_t list = { .hints = (jd_target_hint_t *)hints,
                          .count = count,
                          .now_us = now_us };
  if (count > 0)
    jd_replica_registry_each (registry, apply_hint, &list);
}
