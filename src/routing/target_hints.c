#include "routing/target_hints.h"

#include "base/clock.h"

/* What a host has seen of a target itself goes before what others tell for this long: a
 * target may be slow or lost for some hosts only. */
#define OWN_SIGHT_US JD_US_PER_S

typedef struct jd_hint_list
{
  jd_target_hint_t *hints;
  uint32_t max;
  uint32_t count;
  int64_t now_us;
} jd_hint_list_t;

/* Registry visitor: takes a replica's hint into the list. */
static void
collect_hint (void *context, jd_replica_t *replica)
{
  jd_hint_list_t *list = context;
  if (replica->hint <= 0.0 || list->count == list->max)
    return;
  list->hints[list->count++] = (jd_target_hint_t){
    .target_hash = replica->id_hash,
    .slowness = replica->hint,
  };
  replica->hint = 0.0;
  replica->hinted_us = list->now_us;
}

/* Fills in what other hosts should know of targets; returns the number of hints. Each is
 * told once. */
uint32_t
jd_target_hints_collect (jd_replica_registry_t *registry, jd_target_hint_t *hints,
                         uint32_t max, int64_t now_us)
{
  jd_hint_list_t list = { .hints = hints, .max = max, .now_us = now_us };
  jd_replica_registry_each (registry, collect_hint, &list);
  return list.count;
}

/* Registry visitor: takes the hint about a replica, if there is one. */
static void
take_hint (void *context, jd_replica_t *replica)
{
  const jd_hint_list_t *list = context;
  for (uint32_t i = 0; i < list->count; i++)
    {
      const jd_target_hint_t *hint = &list->hints[i];
      if (hint->target_hash != replica->id_hash)
        continue;
      if (hint->slowness <= 1.0)
        replica->told_us = 0;
      else if (list->now_us - replica->good_us >= OWN_SIGHT_US)
        {
          replica->told_slowness = hint->slowness;
          replica->told_us = list->now_us;
        }
    }
}

/* Takes what another host tells of targets. */
void
jd_target_hints_take (jd_replica_registry_t *registry, const jd_target_hint_t *hints,
                      uint32_t count, int64_t now_us)
{
  jd_hint_list_t list = { .hints = (jd_target_hint_t *)hints,
                          .count = count,
                          .now_us = now_us };
  if (count > 0)
    jd_replica_registry_each (registry, take_hint, &list);
}
