#pragma once

#include <glib.h>

#include "membership/lease_defs.h"
#include "membership/lease_settings.h"

/* State of one member of the group, as the voter has observed it. */
typedef struct jd_lease_voter_member
{
  jd_name_t name;
  uint64_t incarnation; /* The last accepted one; 0 before the first heartbeat. */
  jd_member_state_t state;
  int64_t last_heartbeat_us;
  int64_t last_acknowledged_us;   /* At first the time of the entry's creation. */
  int64_t others_acknowledged_us; /* Last acknowledgement of another incarnation. */
} jd_lease_voter_member_t;

/* The acknowledging side of the lease: it decides which heartbeats to acknowledge and
 * reports its view of the group's members. Has no I/O and no clock. */
typedef struct jd_lease_voter
{
  jd_lease_settings_t settings;
  int64_t started_us;
  uint32_t member_count;
  jd_lease_voter_member_t members[JD_GROUP_MAX_MEMBERS];
} jd_lease_voter_t;

void jd_lease_voter_init (jd_lease_voter_t *voter, const jd_lease_settings_t *settings,
                          int64_t now_us);
void jd_lease_voter_set_members (jd_lease_voter_t *voter, const char *const *names,
                                 uint32_t count, int64_t now_us);
int jd_lease_voter_index (const jd_lease_voter_t *voter, const char *name);
gboolean jd_lease_voter_on_heartbeat (jd_lease_voter_t *voter,
                                      const jd_heartbeat_t *heartbeat, int64_t now_us,
                                      gboolean *state_changed);
uint32_t jd_lease_voter_views (const jd_lease_voter_t *voter, int64_t now_us,
                               jd_member_view_t *views);
