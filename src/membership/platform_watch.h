#pragma once

#include "config/fleet_record.h"

/* Number of processes of a zone that watch the platform. */
#define JD_PLATFORM_WATCHERS_PER_ZONE 2

/* Returns TRUE for a seat that is dead or leaving. */
typedef gboolean (*jd_seat_is_gone_t) (void *context, const char *seat);

gboolean jd_platform_watch_is_watcher (const jd_fleet_record_t *fleet, const char *seat,
                                       jd_seat_is_gone_t is_gone, void *context);
