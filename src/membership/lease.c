#include "membership/lease.h"

#include <string.h>

#include "base/invariant.h"
#include "membership/lease_voter.h"
#include "membership/quorum.h"

/* The last acknowledgements of one member of the cell. */
typedef struct vote
{
  int64_t sent_us;                  /* Latest heartbeat that it acknowledged. */
  int64_t viewed_us;                /* Latest one that it acknowledged with views. */
  gboolean gone[JD_CELL_MAX_SEATS]; /* Seats that those views report as gone. */
} vote_t;

struct jd_lease
{
  jd_lease_settings_t settings;
  jd_name_t seat;
  uint64_t incarnation;
  jd_seat_state_t state;
  jd_lease_send_t send;
  void *context;
  jd_lease_voter_t voter;
  vote_t votes[JD_CELL_MAX_SEATS];
  int64_t last_sent_us;
  int64_t next_heartbeat_us;
  int64_t held_since_us;   /* JD_LEASE_NEVER without a lease. */
  int64_t held_until_us;   /* A quorum of any acknowledgements. */
  int64_t usable_until_us; /* A quorum of acknowledgements with views. */
  int64_t gone_until_us[JD_CELL_MAX_SEATS];
  int64_t usable_from_us; /* No use before, after a change of the seats. */
};

/* Drops all acknowledgements and with them the lease. */
static void
reset_votes (jd_lease_t *lease)
{
  for (uint32_t i = 0; i < JD_CELL_MAX_SEATS; i++)
    {
      lease->votes[i] =
          (vote_t){ .sent_us = JD_LEASE_NEVER, .viewed_us = JD_LEASE_NEVER };
      lease->gone_until_us[i] = JD_LEASE_NEVER;
    }
  lease->held_since_us = JD_LEASE_NEVER;
  lease->held_until_us = JD_LEASE_NEVER;
  lease->usable_until_us = JD_LEASE_NEVER;
}

/* Returns a lease that is not held yet. The first heartbeats go out at the first tick. */
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
  g_strlcpy (lease->seat, options->seat, sizeof (lease->seat));
  jd_lease_voter_init (&lease->voter, &options->settings, now_us);
  jd_lease_voter_set_seats (&lease->voter, options->seats, options->seat_count, now_us);
  reset_votes (lease);
  return lease;
}

/* Frees a lease; NULL is allowed. */
void
jd_lease_free (jd_lease_t *lease)
{
  g_free (lease);
}

/* Notes a lease that ended since the last event, also when it ended during a pause of
 * the process and acknowledgements arrive only now. */
static void
expire (jd_lease_t *lease, int64_t now_us)
{
  if (now_us >= lease->held_until_us)
    lease->held_since_us = JD_LEASE_NEVER;
}

/* Returns the end of the support that an acknowledged heartbeat gives. */
static int64_t
support_until_us (const jd_lease_t *lease, int64_t sent_us)
{
  return sent_us == JD_LEASE_NEVER ? JD_LEASE_NEVER
                                   : sent_us + lease->settings.lease_duration_us;
}

/* Computes until when a quorum reports a seat as gone. */
static int64_t
compute_gone_until_us (const jd_lease_t *lease, uint32_t seat)
{
  int64_t until_us[JD_CELL_MAX_SEATS];
  uint32_t count = lease->voter.seat_count;
  for (uint32_t i = 0; i < count; i++)
    {
      const vote_t *vote = &lease->votes[i];
      until_us[i] =
          vote->gone[seat] ? support_until_us (lease, vote->viewed_us) : JD_LEASE_NEVER;
    }
  return jd_quorum_until_us (until_us, count);
}

/* Computes all times that depend on acknowledgements. */
static void
recompute (jd_lease_t *lease, int64_t now_us)
{
  int64_t held_us[JD_CELL_MAX_SEATS];
  int64_t usable_us[JD_CELL_MAX_SEATS];
  uint32_t count = lease->voter.seat_count;
  for (uint32_t i = 0; i < count; i++)
    {
      held_us[i] = support_until_us (lease, lease->votes[i].sent_us);
      usable_us[i] = support_until_us (lease, lease->votes[i].viewed_us);
      lease->gone_until_us[i] = compute_gone_until_us (lease, i);
    }
  lease->held_until_us = jd_quorum_until_us (held_us, count);
  lease->usable_until_us = jd_quorum_until_us (usable_us, count);
  if (now_us < lease->held_until_us && lease->held_since_us == JD_LEASE_NEVER)
    lease->held_since_us = now_us;
}

/* Sends a heartbeat to all seats of the cell. */
static void
send_heartbeats (jd_lease_t *lease, int64_t now_us)
{
  jd_heartbeat_t heartbeat = { .incarnation = lease->incarnation,
                               .sent_at_us = now_us,
                               .state = lease->state };
  g_strlcpy (heartbeat.seat, lease->seat, sizeof (heartbeat.seat));
  lease->last_sent_us = now_us;
  lease->next_heartbeat_us = now_us + lease->settings.heartbeat_interval_us;
  for (uint32_t i = 0; i < lease->voter.seat_count; i++)
    lease->send (lease->context, lease->voter.seats[i].name, &heartbeat);
}

/* Sends heartbeats when they are due. Call at jd_lease_next_tick_us or more often. */
void
jd_lease_tick (jd_lease_t *lease, int64_t now_us)
{
  expire (lease, now_us);
  if (now_us >= lease->next_heartbeat_us)
    send_heartbeats (lease, now_us);
}

/* Takes a heartbeat that came to the address of this process. Returns TRUE with an
 * acknowledgement, which goes back to its sender over the same connection. */
gboolean
jd_lease_on_heartbeat (jd_lease_t *lease, const jd_heartbeat_t *heartbeat, int64_t now_us,
                       jd_heartbeat_ack_t *ack)
{
  gboolean state_changed = FALSE;
  expire (lease, now_us);
  gboolean accepted =
      jd_lease_voter_hear (&lease->voter, heartbeat, now_us, &state_changed);
  if (accepted)
    {
      *ack = (jd_heartbeat_ack_t){ .from_incarnation = lease->incarnation,
                                   .to_incarnation = heartbeat->incarnation,
                                   .echoed_sent_at_us = heartbeat->sent_at_us };
      g_strlcpy (ack->from_seat, lease->seat, sizeof (ack->from_seat));
      g_strlcpy (ack->to_seat, heartbeat->seat, sizeof (ack->to_seat));
      ack->view_count = jd_lease_voter_views (&lease->voter, now_us, ack->views);
    }
  /* Collects new views at once, so that a released seat is taken over fast. */
  if (state_changed && strcmp (heartbeat->seat, lease->seat) != 0)
    send_heartbeats (lease, now_us);
  return accepted;
}

/* Returns TRUE when an acknowledgement lists exactly the seats that this process knows,
 * in the same order. Quorums of different lists need not have a member in common. */
static gboolean
has_same_seats (const jd_lease_t *lease, const jd_heartbeat_ack_t *ack)
{
  if (ack->view_count != lease->voter.seat_count)
    return FALSE;
  for (uint32_t i = 0; i < ack->view_count; i++)
    {
      if (strcmp (ack->views[i].seat, lease->voter.seats[i].name) != 0)
        return FALSE;
    }
  return TRUE;
}

/* Keeps the views of an acknowledgement. */
static void
take_views (jd_lease_t *lease, vote_t *vote, const jd_heartbeat_ack_t *ack)
{
  vote->viewed_us = ack->echoed_sent_at_us;
  for (uint32_t i = 0; i < ack->view_count; i++)
    {
      const jd_seat_view_t *view = &ack->views[i];
      vote->gone[i] = view->state == JD_SEAT_RELEASED ||
                      view->unacknowledged_us >= lease->settings.takeover_threshold_us;
    }
}

/* Takes an acknowledgement of one of this process's heartbeats. */
void
jd_lease_on_ack (jd_lease_t *lease, const jd_heartbeat_ack_t *ack, int64_t now_us)
{
  expire (lease, now_us);
  int member = jd_lease_voter_index (&lease->voter, ack->from_seat);
  if (member < 0 || strcmp (ack->to_seat, lease->seat) != 0 ||
      ack->to_incarnation != lease->incarnation ||
      ack->echoed_sent_at_us > lease->last_sent_us)
    return;
  if (ack->view_count > 0 && !has_same_seats (lease, ack))
    return;
  vote_t *vote = &lease->votes[member];
  vote->sent_us = MAX (vote->sent_us, ack->echoed_sent_at_us);
  if (ack->view_count > 0 && ack->echoed_sent_at_us >= vote->viewed_us)
    take_views (lease, vote, ack);
  recompute (lease, now_us);
}

/* Returns TRUE when a list has the same seats in the same order. */
static gboolean
is_same_list (const jd_lease_t *lease, const char *const *seats, uint32_t count)
{
  if (count != lease->voter.seat_count)
    return FALSE;
  for (uint32_t i = 0; i < count; i++)
    {
      if (strcmp (lease->voter.seats[i].name, seats[i]) != 0)
        return FALSE;
    }
  return TRUE;
}

/* Takes the seats of a new fleet record. Another list ends the lease, and no resource is
 * used until all members must have the new list: a quorum of the old one need not meet
 * one of the new one (a b of a b c d, and c d of b c d). */
void
jd_lease_set_seats (jd_lease_t *lease, const char *const *seats, uint32_t count,
                    int64_t now_us)
{
  uint32_t kept = MIN (count, JD_CELL_MAX_SEATS);
  if (is_same_list (lease, seats, kept))
    return;
  jd_lease_voter_set_seats (&lease->voter, seats, kept, now_us);
  reset_votes (lease);
  lease->usable_from_us = now_us + JD_FLEET_CHANGE_WAIT_US;
  lease->next_heartbeat_us = now_us;
}

/* Moves to a later state and tells the cell at once. JD_SEAT_RELEASED is allowed only
 * after the last work on owned resources has ended. */
void
jd_lease_set_state (jd_lease_t *lease, jd_seat_state_t state, int64_t now_us)
{
  if (state <= lease->state)
    return;
  expire (lease, now_us);
  lease->state = state;
  send_heartbeats (lease, now_us);
}

/* Returns to work after JD_SEAT_DRAINING or JD_SEAT_RELEASED with a new, higher
 * incarnation, as after a restart. */
void
jd_lease_reactivate (jd_lease_t *lease, uint64_t incarnation, int64_t now_us)
{
  lease->incarnation = MAX (incarnation, lease->incarnation + 1);
  lease->state = JD_SEAT_ACTIVE;
  reset_votes (lease);
  lease->next_heartbeat_us = now_us;
}

/* Returns when the next tick is due. */
int64_t
jd_lease_next_tick_us (const jd_lease_t *lease)
{
  return lease->next_heartbeat_us;
}

/* Returns TRUE while a quorum acknowledges this process. */
gboolean
jd_lease_is_held (const jd_lease_t *lease, int64_t now_us)
{
  return lease->held_since_us != JD_LEASE_NEVER && now_us < lease->held_until_us;
}

/* Returns the time before which work on owned resources may begin, JD_LEASE_NEVER when
 * it may not begin now. Ask again right before each write to a target. */
int64_t
jd_lease_valid_until_us (const jd_lease_t *lease, int64_t now_us)
{
  if (lease->state == JD_SEAT_RELEASED || !jd_lease_is_held (lease, now_us))
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

/* Returns the time before which a seat counts as dead for takeover, unless newer views
 * say otherwise; JD_LEASE_NEVER when it does not. */
int64_t
jd_lease_gone_until_us (const jd_lease_t *lease, uint32_t seat_index)
{
  return seat_index < lease->voter.seat_count ? lease->gone_until_us[seat_index]
                                              : JD_LEASE_NEVER;
}

/* Returns the state of this process. */
jd_seat_state_t
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

/* Returns the number of seats of the cell. */
uint32_t
jd_lease_seat_count (const jd_lease_t *lease)
{
  return lease->voter.seat_count;
}

/* Returns the name of a seat of the cell. */
const char *
jd_lease_seat_name (const jd_lease_t *lease, uint32_t seat_index)
{
  return lease->voter.seats[seat_index].name;
}

/* Returns the seat of this process. */
const char *
jd_lease_own_seat (const jd_lease_t *lease)
{
  return lease->seat;
}
