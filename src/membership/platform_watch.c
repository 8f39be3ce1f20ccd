#include "membership/platform_watch.h"

/* Returns the first entry group of a zone, or NULL if the zone has none. */
static const jd_group_record_t *
first_entry_group (const jd_fleet_record_t *fleet, const char *zone)
{
  for (uint32_t i = 0; i < fleet->group_count; i++)
    {
      const jd_group_record_t *group = &fleet->groups[i];
      if (group->role == JD_ROLE_ENTRY && g_str_equal (group->zone, zone))
        return group;
    }
  return NULL;
}

/* Returns TRUE if a member is one of the first JD_PLATFORM_WATCHERS_PER_ZONE live members
 * of the first entry group of its zone, so that the rate of reads from the platform grows
 * with the number of zones, not of processes. The member itself counts as live. is_down
 * is called only for a member of that group: other processes need no list of live
 * members. */
gboolean
jd_platform_watch_is_watcher (const jd_fleet_record_t *fleet, const char *member,
                              jd_member_is_down_t is_down, void *context)
{
  const jd_group_record_t *own_group = jd_fleet_record_group_of_member (fleet, member);
  if (!own_group || first_entry_group (fleet, own_group->zone) != own_group)
    return FALSE;
  uint32_t live_before = 0;
  for (uint32_t i = 0; i < own_group->member_count; i++)
    {
      if (g_str_equal (own_group->members[i].name, member))
        return live_before < JD_PLATFORM_WATCHERS_PER_ZONE;
      live_before += is_down (context, own_group->members[i].name) ? 0 : 1;
    }
  return FALSE;
}
