#pragma once

#include "config/fleet_record.h"

/* Number of processes per zone that watch the platform. */
#define JD_PLATFORM_WATCHERS_PER_ZONE 2

/* Returns TRUE if a member is down or leaving. */
typedef gboolean (*jd_member_is_down_t) (void *context, const char *member);

gboolean jd_platform_watch_is_watcher (const jd_fleet_record_t *fleet, const char *member,
                                       jd_member_is_down_t is_down, void *context);
