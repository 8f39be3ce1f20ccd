#include "membership/lease.h"

#include <string.h>

#include "base/invariant.h"
#include "membership/lease_voter.h"
#include "membership/quorum.h"

/* The last acknowledgements from one member of the group. */
typedef struct vote
{
  int64_t sent_us;   /* Send time of the latest heartbeat that it acknowledged. */
  int64_t viewed_us; /* Send time of the latest one that it acknowledged with views. */
  gboolean down[JD_GROUP_MAX_MEMBERS]; /* Members that those views report as down. */
} vote_t;

struct jd_lease
{
  jd_lease_settings_t settings;
  jd_name_t own_name;
  uint64_t incarnation;
  jd_member_state_t state;
  jd_lease_send_t send;
  void *context;
  jd_lease_voter_t voter;
  vote_t votes[JD_GROUP_MAX_MEMBERS];
  int64_t last_sent_us;
  int64_t next_heartbeat_us;
  int64_t held_since_us;   /* JD_LEASE_NEVER if no lease is held. */
  int64_t held_until_us;   /* End of a quorum of acknowledgements. */
  int64_t usable_until_us; /* End of a quorum of acknowledgements with views. */
  int64_t down_until_us[JD_GROUP_MAX_MEMBERS];
  int64_t usable_from_us; /* No use before this time, after a change of the members. */
};

/* Discards all acknowledgements, which ends the lease. */
static void
reset_votes (jd_lease_t *lease)
{
  for (uint32_t i = 0; i < JD_GROUP_MAX_MEMBERS; i++)
    {
      lease->votes[i] =
          (vote_t){ .sent_us = JD_LEASE_NEVER, .viewed_us = JD_LEASE_NEVER };
      lease->down_until_us[i] = JD_LEASE_NEVER;
    }
  lease->held_since_us = JD_LEASE_NEVER;
  lease->held_until_us = JD_LEASE_NEVER;
  lease->usable_until_us = JD_LEASE_NEVER;
}

/* Creates a lease that is not held yet. The first tick sends the first heartbeats. Free
 * with jd_lease_free. */
jd_lease_t *
jd_lease_new (const jd_lease_options_t *options, int64_t now_us)
{
  jd_lease_t *lease = g_new0 (jd_lease_t, 1);
  lease->settings = options->settings;
  lease->incarnation = options->incarnation;
  lease->send = options->send;
  lease->context = options->context;
  lease->next_heartbeat_us = now_us;
  lease->last_sent_us = JD_LEASE_NEVER;
  lease->usable_from_us = JD_LEASE_NEVER;
  g_strlcpy (lease->own_name, options->member, sizeof (lease->own_name));
  jd_lease_voter_init (&lease->voter, &options->settings, now_us);
  jd_lease_voter_set_members (&lease->voter, options->members, options->member_count,
                              now_us);
  reset_votes (lease);
  return lease;
}

/* Frees a lease; NULL is allowed. */
void
jd_lease_free (jd_lease_t *lease)
{
  g_free (lease);
}

/* Clears held_since_us if the lease ended since the last event. Events call it before
 * they apply acknowledgements: a lease may have ended while the process was paused, and
 * acknowledgements that arrive afterwards must not continue it. */
static void
expire_lease (jd_lease_t *lease, int64_t now_us)
{
  if (now_us >= lease->held_until_us)
    lease->held_since_us = JD_LEASE_NEVER;
}

/* Returns until when the acknowledgement of a heartbeat supports the lease, given the
 * send time of the heartbeat. */
static int64_t
support_until_us (const jd_lease_t *lease, int64_t sent_us)
{
  return sent_us == JD_LEASE_NEVER ? JD_LEASE_NEVER
                                   : sent_us + lease->settings.lease_duration_us;
}

/* Returns until when a quorum reports a member as down. */
static int64_t
compute_down_until_us (const jd_lease_t *lease, uint32_t member_index)
{
  int64_t until_us[JD_GROUP_MAX_MEMBERS];
  uint32_t count = lease->voter.member_count;
  for (uint32_t i = 0; i < count; i++)
    {
      const vote_t *vote = &lease->votes[i];
      until_us[i] = vote->down[member_index] ? support_until_us (lease, vote->viewed_us)
                                             : JD_LEASE_NEVER;
    }
  return jd_quorum_until_us (until_us, count);
}

/* Recomputes all times that depend on acknowledgements. */
static void
recompute_times (jd_lease_t *lease, int64_t now_us)
{
  int64_t held_us[JD_GROUP_MAX_MEMBERS];
  int64_t usable_us[JD_GROUP_MAX_MEMBERS];
  uint32_t count = lease->voter.member_count;
  for (uint32_t i = 0; i < count; i++)
    {
      held_us[i] = support_until_us (lease, lease->votes[i].sent_us);
      usable_us[i] = support_until_us (lease, lease->votes[i].viewed_us);
      lease->down_until_us[i] = compute_down_until_us (lease, i);
    }
  lease->held_until_us = jd_quorum_until_us (held_us, count);
  lease->usable_until_us = jd_quorum_until_us (usable_us, count);
  if (now_us < lease->held_until_us && lease->held_since_us == JD_LEASE_NEVER)
    lease->held_since_us = now_us;
}

/* Sends a heartbeat to all members of the group, this one included. */
static void
send_heartbeats (jd_lease_t *lease, int64_t now_us)
{
  jd_heartbeat_t heartbeat = { .incarnation = lease->incarnation,
                               .sent_at_us = now_us,
                               .state = lease->state };
  g_strlcpy (heartbeat.member, lease->own_name, sizeof (heartbeat.member));
  lease->last_sent_us = now_us;
  lease->next_heartbeat_us = now_us + lease->settings.heartbeat_interval_us;
  for (uint32_t i = 0; i < lease->voter.member_count; i++)
    lease->send (lease->context, lease->voter.members[i].name, &heartbeat);
}

/* Sends heartbeats when they are due. Call at jd_lease_next_tick_us or more often. */
void
jd_lease_tick (jd_lease_t *lease, int64_t now_us)
{
  expire_lease (lease, now_us);
  if (now_us >= lease->next_heartbeat_us)
    send_heartbeats (lease, now_us);
}

/* Handles a heartbeat that arrived at the address of this process. Returns TRUE and fills
 * ack if the caller has to send ack back over the same connection. */
gboolean
jd_lease_on_heartbeat (jd_lease_t *lease, const jd_heartbeat_t *heartbeat, int64_t now_us,
                       jd_heartbeat_ack_t *ack)
{
  gboolean state_changed = FALSE;
  expire_lease (lease, now_us);
  gboolean accepted =
      jd_lease_voter_on_heartbeat (&lease->voter, heartbeat, now_us, &state_changed);
  if (accepted)
    {
      *ack = (jd_heartbeat_ack_t){ .from_incarnation = lease->incarnation,
                                   .to_incarnation = heartbeat->incarnation,
                                   .echoed_sent_at_us = heartbeat->sent_at_us };
      g_strlcpy (ack->from_member, lease->own_name, sizeof (ack->from_member));
      g_strlcpy (ack->to_member, heartbeat->member, sizeof (ack->to_member));
      ack->view_count = jd_lease_voter_views (&lease->voter, now_us, ack->views);
    }
  /* New heartbeats collect new views at once, so that the resources of a released member
   * are taken over early. */
  if (state_changed && strcmp (heartbeat->member, lease->own_name) != 0)
    send_heartbeats (lease, now_us);
  return accepted;
}

/* Returns TRUE if an acknowledgement lists the same members as this process, in the same
 * order. Quorums of different lists need not have a member in common. */
static gboolean
has_same_members (const jd_lease_t *lease, const jd_heartbeat_ack_t *ack)
{
  if (ack->view_count != lease->voter.member_count)
    return FALSE;
  for (uint32_t i = 0; i < ack->view_count; i++)
    {
      if (strcmp (ack->views[i].member, lease->voter.members[i].name) != 0)
        return FALSE;
    }
  return TRUE;
}

/* Stores which members the views of an acknowledgement report as down. */
static void
store_views (jd_lease_t *lease, vote_t *vote, const jd_heartbeat_ack_t *ack)
{
  vote->viewed_us = ack->echoed_sent_at_us;
  for (uint32_t i = 0; i < ack->view_count; i++)
    {
      const jd_member_view_t *view = &ack->views[i];
      vote->down[i] = view->state == JD_MEMBER_RELEASED ||
                      view->unacknowledged_us >= lease->settings.takeover_threshold_us;
    }
}

/* Handles an acknowledgement of one of this process's heartbeats. Ignores one that is for
 * another process or incarnation, or that has another list of members. */
void
jd_lease_on_ack (jd_lease_t *lease, const jd_heartbeat_ack_t *ack, int64_t now_us)
{
  expire_lease (lease, now_us);
  int voter_index = jd_lease_voter_index (&lease->voter, ack->from_member);
  if (voter_index < 0 || strcmp (ack->to_member, lease->own_name) != 0 ||
      ack->to_incarnation != lease->incarnation ||
      ack->echoed_sent_at_us > lease->last_sent_us)
    return;
  if (ack->view_count > 0 && !has_same_members (lease, ack))
    return;
  vote_t *vote = &lease->votes[voter_index];
  vote->sent_us = MAX (vote->sent_us, ack->echoed_sent_at_us);
  if (ack->view_count > 0 && ack->echoed_sent_at_us >= vote->viewed_us)
    store_views (lease, vote, ack);
  recompute_times (lease, now_us);
}

/* Returns TRUE if a list has the same members in the same order as the group. */
static gboolean
is_same_list (const jd_lease_t *lease, const char *const *members, uint32_t count)
{
  if (count != lease->voter.member_count)
    return FALSE;
  for (uint32_t i = 0; i < count; i++)
    {
      if (strcmp (lease->voter.members[i].name, members[i]) != 0)
        return FALSE;
    }
  return TRUE;
}

/* Applies the members of a new fleet record. A changed list ends the lease, and no
 * resource is used until all members must have the new list, because a quorum of the old
 * list and one of the new list may be disjoint (a b of a b c d, and c d of b c d). */
void
jd_lease_set_members (jd_lease_t *lease, const char *const *members, uint32_t count,
                      int64_t now_us)
{
  uint32_t new_count = MIN (count, JD_GROUP_MAX_MEMBERS);
  if (is_same_list (lease, members, new_count))
    return;
  jd_lease_voter_set_members (&lease->voter, members, new_count, now_us);
  reset_votes (lease);
  lease->usable_from_us = now_us + JD_FLEET_CHANGE_WAIT_US;
  lease->next_heartbeat_us = now_us;
}

/* Moves to a later state and sends it to the group at once. JD_MEMBER_RELEASED is allowed
 * only after the last work on owned resources has ended. */
void
jd_lease_set_state (jd_lease_t *lease, jd_member_state_t state, int64_t now_us)
{
  if (state <= lease->state)
    return;
  expire_lease (lease, now_us);
  lease->state = state;
  send_heartbeats (lease, now_us);
}

/* Returns from JD_MEMBER_DRAINING or JD_MEMBER_RELEASED to JD_MEMBER_ACTIVE with a higher
 * incarnation, as after a restart. */
void
jd_lease_reactivate (jd_lease_t *lease, uint64_t incarnation, int64_t now_us)
{
  lease->incarnation = MAX (incarnation, lease->incarnation + 1);
  lease->state = JD_MEMBER_ACTIVE;
  reset_votes (lease);
  lease->next_heartbeat_us = now_us;
}

/* Returns the time at which the next tick is due. */
int64_t
jd_lease_next_tick_us (const jd_lease_t *lease)
{
  return lease->next_heartbeat_us;
}

/* Returns TRUE while a quorum acknowledges this process. Resources may not be usable yet:
 * see jd_lease_valid_until_us. */
gboolean
jd_lease_is_held (const jd_lease_t *lease, int64_t now_us)
{
  return lease->held_since_us != JD_LEASE_NEVER && now_us < lease->held_until_us;
}

/* Returns the time before which work on owned resources may begin, or JD_LEASE_NEVER if
 * it may not begin now. Call again right before each write to a target. */
int64_t
jd_lease_valid_until_us (const jd_lease_t *lease, int64_t now_us)
{
  if (lease->state == JD_MEMBER_RELEASED || !jd_lease_is_held (lease, now_us))
    return JD_LEASE_NEVER;
  if (now_us - lease->held_since_us < lease->settings.takeover_wait_us ||
      now_us < lease->usable_from_us)
    return JD_LEASE_NEVER;
  int64_t until_us = MIN (lease->held_until_us, lease->usable_until_us);
  if (now_us >= until_us)
    return JD_LEASE_NEVER;
  JD_INVARIANT (single_owner,
                until_us <= lease->last_sent_us + lease->settings.lease_duration_us);
  return until_us;
}

/* Returns the time before which a member counts as down, so that its resources may be
 * taken over, unless newer views change that; JD_LEASE_NEVER if it is not down. */
int64_t
jd_lease_down_until_us (const jd_lease_t *lease, uint32_t member_index)
{
  return member_index < lease->voter.member_count ? lease->down_until_us[member_index]
                                                  : JD_LEASE_NEVER;
}

/* Returns the state of this process. */
jd_member_state_t
jd_lease_state (const jd_lease_t *lease)
{
  return lease->state;
}

/* Returns the incarnation of this process. */
uint64_t
jd_lease_incarnation (const jd_lease_t *lease)
{
  return lease->incarnation;
}

/* Returns the number of members of the group. */
uint32_t
jd_lease_member_count (const jd_lease_t *lease)
{
  return lease->voter.member_count;
}

/* Returns the name of a member of the group, valid until the members change. member_index
 * must be below jd_lease_member_count. */
const char *
jd_lease_member_name (const jd_lease_t *lease, uint32_t member_index)
{
  return lease->voter.members[member_index].name;
}

/* Returns the member name of this process, valid as long as the lease. */
const char *
jd_lease_own_member (const jd_lease_t *lease)
{
  return lease->own_name;
}
