#include "membership/lease_voter.h"

#include <string.h>

/* Initializes a voter that has no members and has acknowledged nothing. */
void
jd_lease_voter_init (jd_lease_voter_t *voter, const jd_lease_settings_t *settings,
                     int64_t now_us)
{
  *voter = (jd_lease_voter_t){ .settings = *settings, .started_us = now_us };
}

/* Returns the index of a member in the group, or -1 if it is not in the group. */
int
jd_lease_voter_index (const jd_lease_voter_t *voter, const char *name)
{
  for (uint32_t i = 0; i < voter->member_count; i++)
    {
      if (strcmp (voter->members[i].name, name) == 0)
        return (int)i;
    }
  return -1;
}

/* Replaces the list of members. Keeps the entries of members that stay. A new member
 * counts as acknowledged now, because this voter has no observations of it before. */
void
jd_lease_voter_set_members (jd_lease_voter_t *voter, const char *const *names,
                            uint32_t count, int64_t now_us)
{
  jd_lease_voter_t old = *voter;
  voter->member_count = MIN (count, JD_GROUP_MAX_MEMBERS);
  for (uint32_t i = 0; i < voter->member_count; i++)
    {
      int old_index = jd_lease_voter_index (&old, names[i]);
      jd_lease_voter_member_t member = { .last_heartbeat_us = now_us,
                                         .last_acknowledged_us = now_us,
                                         .others_acknowledged_us = now_us };
      g_strlcpy (member.name, names[i], sizeof (member.name));
      voter->members[i] = old_index >= 0 ? old.members[old_index] : member;
    }
}

/* Returns TRUE if a heartbeat comes from an incarnation that may be acknowledged. A lower
 * incarnation than the last one is refused until the last one has sent no heartbeat for
 * longer than vote_memory_us, so that the two cannot use a resource at the same time. */
static gboolean
may_acknowledge (const jd_lease_voter_t *voter, const jd_lease_voter_member_t *member,
                 const jd_heartbeat_t *heartbeat, int64_t now_us)
{
  return heartbeat->incarnation >= member->incarnation ||
         now_us - member->last_heartbeat_us > voter->settings.vote_memory_us;
}

/* Handles a heartbeat. Returns TRUE if it is to be acknowledged. Sets state_changed to
 * TRUE if the member reported a new state, after which the caller sends heartbeats. */
gboolean
jd_lease_voter_on_heartbeat (jd_lease_voter_t *voter, const jd_heartbeat_t *heartbeat,
                             int64_t now_us, gboolean *state_changed)
{
  *state_changed = FALSE;
  int index = jd_lease_voter_index (voter, heartbeat->member);
  if (index < 0)
    return FALSE;
  jd_lease_voter_member_t *member = &voter->members[index];
  if (!may_acknowledge (voter, member, heartbeat, now_us))
    return FALSE;
  jd_member_state_t state = heartbeat->state;
  /* The state of one incarnation never decreases; heartbeats may arrive reordered. */
  if (heartbeat->incarnation == member->incarnation)
    state = MAX (state, member->state);
  else
    member->others_acknowledged_us = member->last_acknowledged_us;
  *state_changed = state != member->state;
  member->state = state;
  member->incarnation = heartbeat->incarnation;
  member->last_heartbeat_us = now_us;
  /* Acknowledgements by a previous process at this address may still count towards a
   * lease. */
  if (now_us - voter->started_us < voter->settings.vote_silence_us)
    return FALSE;
  member->last_acknowledged_us = now_us;
  return TRUE;
}

/* Returns the state of a member to report to the group. Another incarnation than the
 * released one may still hold a lease, so JD_MEMBER_RELEASED is reported only if no other
 * incarnation was acknowledged during takeover_threshold_us. */
static jd_member_state_t
reported_state (const jd_lease_voter_t *voter, const jd_lease_voter_member_t *member,
                int64_t now_us)
{
  if (member->state == JD_MEMBER_RELEASED &&
      now_us - member->others_acknowledged_us < voter->settings.takeover_threshold_us)
    return JD_MEMBER_DRAINING;
  return member->state;
}

/* Writes the views of an acknowledgement, at most JD_GROUP_MAX_MEMBERS, and returns their
 * number. It is 0 for vote_memory_us after the start, because a restart loses the record
 * of an incarnation that may still hold a lease. */
uint32_t
jd_lease_voter_views (const jd_lease_voter_t *voter, int64_t now_us,
                      jd_member_view_t *views)
{
  if (now_us - voter->started_us < voter->settings.vote_memory_us)
    return 0;
  for (uint32_t i = 0; i < voter->member_count; i++)
    {
      const jd_lease_voter_member_t *member = &voter->members[i];
      views[i] =
          (jd_member_view_t){ .unacknowledged_us = now_us - member->last_acknowledged_us,
                              .state = reported_state (voter, member, now_us) };
      g_strlcpy (views[i].member, member->name, sizeof (views[i].member));
    }
  return voter->member_count;
}
