#pragma once

#include <glib.h>

#include "membership/lease_defs.h"
#include "membership/lease_settings.h"

/* What a member remembers about one seat of its cell. */
typedef struct jd_lease_voter_seat
{
  jd_name_t name;
  uint64_t incarnation; /* The one that is acknowledged; 0 when none was heard. */
  jd_seat_state_t state;
  int64_t heard_us;
  int64_t acknowledged_us; /* Start of the memory when nothing was acknowledged. */
  int64_t others_us;       /* The same for all incarnations but the present one. */
} jd_lease_voter_seat_t;

/* The acknowledging side of the lease: it answers heartbeats and reports its view. */
typedef struct jd_lease_voter
{
  jd_lease_settings_t settings;
  int64_t started_us;
  uint32_t seat_count;
  jd_lease_voter_seat_t seats[JD_CELL_MAX_SEATS];
} jd_lease_voter_t;

void jd_lease_voter_init (jd_lease_voter_t *voter, const jd_lease_settings_t *settings,
                          int64_t now_us);
void jd_lease_voter_set_seats (jd_lease_voter_t *voter, const char *const *seats,
                               uint32_t count, int64_t now_us);
int jd_lease_voter_index (const jd_lease_voter_t *voter, const char *seat);
gboolean jd_lease_voter_hear (jd_lease_voter_t *voter, const jd_heartbeat_t *heartbeat,
                              int64_t now_us, gboolean *state_changed);
uint32_t jd_lease_voter_views (const jd_lease_voter_t *voter, int64_t now_us,
                               jd_seat_view_t *views);
