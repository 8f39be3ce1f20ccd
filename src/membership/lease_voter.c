#include "membership/lease_voter.h"

#include <string.h>

/* Starts a member without any memory. */
void
jd_lease_voter_init (jd_lease_voter_t *voter, const jd_lease_settings_t *settings,
                     int64_t now_us)
{
  *voter = (jd_lease_voter_t){ .settings = *settings, .started_us = now_us };
}

/* Returns the index of a seat in its cell, -1 for other seats. */
int
jd_lease_voter_index (const jd_lease_voter_t *voter, const char *seat)
{
  for (uint32_t i = 0; i < voter->seat_count; i++)
    {
      if (strcmp (voter->seats[i].name, seat) == 0)
        return (int)i;
    }
  return -1;
}

/* Replaces the list of seats. Memory of seats that stay is kept; a new seat counts as
 * acknowledged now, because nothing is known about the time before. */
void
jd_lease_voter_set_seats (jd_lease_voter_t *voter, const char *const *seats,
                          uint32_t count, int64_t now_us)
{
  jd_lease_voter_t old = *voter;
  voter->seat_count = MIN (count, JD_CELL_MAX_SEATS);
  for (uint32_t i = 0; i < voter->seat_count; i++)
    {
      int known = jd_lease_voter_index (&old, seats[i]);
      jd_lease_voter_seat_t seat = { .heard_us = now_us,
                                     .acknowledged_us = now_us,
                                     .others_us = now_us };
      g_strlcpy (seat.name, seats[i], sizeof (seat.name));
      voter->seats[i] = known >= 0 ? old.seats[known] : seat;
    }
}

/* Returns TRUE when a heartbeat comes from the incarnation to acknowledge. A lower one
 * is refused until the higher one has been silent for the vote memory: long enough that
 * no use of a resource by the higher one can overlap with one by the lower. */
static gboolean
is_acceptable (const jd_lease_voter_t *voter, const jd_lease_voter_seat_t *seat,
               const jd_heartbeat_t *heartbeat, int64_t now_us)
{
  return heartbeat->incarnation >= seat->incarnation ||
         now_us - seat->heard_us > voter->settings.vote_memory_us;
}

/* Takes a heartbeat. Returns TRUE when it is to be acknowledged. state_changed tells
 * whether the seat has a new state, which the other members should hear about soon. */
gboolean
jd_lease_voter_hear (jd_lease_voter_t *voter, const jd_heartbeat_t *heartbeat,
                     int64_t now_us, gboolean *state_changed)
{
  *state_changed = FALSE;
  int index = jd_lease_voter_index (voter, heartbeat->seat);
  if (index < 0)
    return FALSE;
  jd_lease_voter_seat_t *seat = &voter->seats[index];
  if (!is_acceptable (voter, seat, heartbeat, now_us))
    return FALSE;
  jd_seat_state_t state = heartbeat->state;
  /* States of one incarnation only go up; heartbeats may be reordered. */
  if (heartbeat->incarnation == seat->incarnation)
    state = MAX (state, seat->state);
  else
    seat->others_us = seat->acknowledged_us;
  *state_changed = state != seat->state;
  seat->state = state;
  seat->incarnation = heartbeat->incarnation;
  seat->heard_us = now_us;
  /* A predecessor at the same address may have given votes that still count. */
  if (now_us - voter->started_us < voter->settings.vote_silence_us)
    return FALSE;
  seat->acknowledged_us = now_us;
  return TRUE;
}

/* Returns the state of a seat as others should see it. The release of one incarnation
 * says nothing about another one that may still hold a lease, so it counts only when no
 * other one was acknowledged for the takeover threshold. */
static jd_seat_state_t
visible_state (const jd_lease_voter_t *voter, const jd_lease_voter_seat_t *seat,
               int64_t now_us)
{
  if (seat->state == JD_SEAT_RELEASED &&
      now_us - seat->others_us < voter->settings.takeover_threshold_us)
    return JD_SEAT_DRAINING;
  return seat->state;
}

/* Writes the views of an acknowledgement and returns their number. It is 0 while the
 * member may have forgotten, in a restart, an incarnation that still holds a lease. */
uint32_t
jd_lease_voter_views (const jd_lease_voter_t *voter, int64_t now_us,
                      jd_seat_view_t *views)
{
  if (now_us - voter->started_us < voter->settings.vote_memory_us)
    return 0;
  for (uint32_t i = 0; i < voter->seat_count; i++)
    {
      const jd_lease_voter_seat_t *seat = &voter->seats[i];
      views[i] = (jd_seat_view_t){ .unacknowledged_us = now_us - seat->acknowledged_us,
                                   .state = visible_state (voter, seat, now_us) };
      g_strlcpy (views[i].seat, seat->name, sizeof (views[i].seat));
    }
  return voter->seat_count;
}
