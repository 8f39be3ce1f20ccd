#include "membership/lease_voter.h"
#include "membership/quorum.h"

#include "base/clock.h"
#include "membership/ownership.h"
#include "support/test_main.h"

#define MS JD_US_PER_MS

static const char *const seats[] = { "a", "b", "c" };

static gboolean
hear (jd_lease_voter_t *voter, uint64_t incarnation, jd_seat_state_t state,
      int64_t now_us)
{
  gboolean changed;
  jd_heartbeat_t heartbeat = { .seat = "b", .incarnation = incarnation, .state = state };
  return jd_lease_voter_hear (voter, &heartbeat, now_us, &changed);
}

static jd_seat_state_t
state_of_b (const jd_lease_voter_t *voter, int64_t now_us)
{
  jd_seat_view_t views[JD_CELL_MAX_SEATS] = { 0 };
  CU_ASSERT_EQUAL (jd_lease_voter_views (voter, now_us, views), 3);
  return views[1].state;
}

/* Guards against a takeover from an older incarnation that still works, because a newer
 * one that never worked was released (seed 100004 of test_lease_ownership). */
static void
release_does_not_cover_other_incarnations (void)
{
  jd_lease_settings_t settings = jd_lease_settings_default ();
  jd_lease_voter_t voter;
  jd_lease_voter_init (&voter, &settings, 0);
  jd_lease_voter_set_seats (&voter, seats, 3, 0);
  CU_ASSERT (hear (&voter, 5, JD_SEAT_ACTIVE, 5000 * MS));
  CU_ASSERT (hear (&voter, 7, JD_SEAT_RELEASED, 5100 * MS));
  CU_ASSERT_EQUAL (state_of_b (&voter, 5100 * MS), JD_SEAT_DRAINING);
  CU_ASSERT (!hear (&voter, 5, JD_SEAT_ACTIVE, 5200 * MS));
  CU_ASSERT_EQUAL (state_of_b (&voter, 7199 * MS), JD_SEAT_DRAINING);
  CU_ASSERT_EQUAL (state_of_b (&voter, 7200 * MS), JD_SEAT_RELEASED);
}

/* Guards against votes of a restarted member that forgot what it acknowledged, and
 * against a replacement with a slow wall clock that is refused for ever. */
static void
restarted_member_votes_late (void)
{
  jd_lease_settings_t settings = jd_lease_settings_default ();
  jd_lease_voter_t voter;
  jd_seat_view_t views[JD_CELL_MAX_SEATS];
  jd_lease_voter_init (&voter, &settings, 0);
  jd_lease_voter_set_seats (&voter, seats, 3, 0);
  CU_ASSERT (!hear (&voter, 7, JD_SEAT_ACTIVE, 899 * MS));
  CU_ASSERT (hear (&voter, 7, JD_SEAT_ACTIVE, 900 * MS));
  CU_ASSERT_EQUAL (jd_lease_voter_views (&voter, 1699 * MS, views), 0);
  CU_ASSERT_EQUAL (jd_lease_voter_views (&voter, 1700 * MS, views), 3);
  CU_ASSERT (!hear (&voter, 5, JD_SEAT_ACTIVE, 2600 * MS));
  CU_ASSERT (hear (&voter, 5, JD_SEAT_ACTIVE, 2601 * MS));
}

/* Guards against two disjoint quorums. */
static void
quorums_meet (void)
{
  const int64_t never = JD_QUORUM_NEVER;
  CU_ASSERT_EQUAL (jd_quorum_until_us ((int64_t[]){ 5, never }, 2), 5);
  CU_ASSERT_EQUAL (jd_quorum_until_us ((int64_t[]){ never, 5 }, 2), never);
  CU_ASSERT_EQUAL (jd_quorum_until_us ((int64_t[]){ 9, 5, 7 }, 3), 7);
  CU_ASSERT_EQUAL (jd_quorum_until_us ((int64_t[]){ 1, 9, 8, 7 }, 4), 7);
  CU_ASSERT_EQUAL (jd_quorum_until_us ((int64_t[]){ 9, 8, 1, 0 }, 4), 8);
  CU_ASSERT_EQUAL (jd_quorum_until_us ((int64_t[]){ never, 9, 8, never }, 4), never);
}

/* Passes a heartbeat of the only seat of a cell back to it. */
static void
answer_self (void *context, const char *to_seat, const jd_heartbeat_t *heartbeat)
{
  *(jd_heartbeat_t *)context = *heartbeat;
}

/* Guards against a resource that is used at once after it moved to this cell, while the
 * old cell may not know the new fleet record. */
static void
moved_resource_waits (void)
{
  const char *const cells[] = { "one", "two" };
  const char *resource =
      g_str_equal (jd_ownership_choose (cells, 2, "r0"), "two") ? "r0" : "r1";
  jd_heartbeat_t heartbeat;
  jd_heartbeat_ack_t ack;
  jd_lease_options_t options = { .seat = "a",
                                 .incarnation = 1,
                                 .seats = seats,
                                 .seat_count = 1,
                                 .settings = jd_lease_settings_default (),
                                 .send = answer_self,
                                 .context = &heartbeat };
  CU_ASSERT_STRING_EQUAL (jd_ownership_choose (cells, 2, resource), "two");
  jd_lease_t *lease = jd_lease_new (&options, 0);
  jd_ownership_t *ownership = jd_ownership_new (lease, "one");
  jd_ownership_set_cells (ownership, cells, 2, 0);
  for (int64_t now_us = 0; now_us <= 20000 * MS; now_us += 100 * MS)
    {
      jd_lease_tick (lease, now_us);
      if (jd_lease_on_heartbeat (lease, &heartbeat, now_us, &ack))
        jd_lease_on_ack (lease, &ack, now_us);
      if (now_us == 10000 * MS)
        jd_ownership_set_cells (ownership, cells, 1, now_us);
      CU_ASSERT_EQUAL (jd_ownership_owns (ownership, resource, now_us),
                       now_us >= 14600 * MS);
    }
  jd_ownership_free (ownership);
  jd_lease_free (lease);
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "release does not cover other incarnations",
      release_does_not_cover_other_incarnations },
    { "restarted member votes late", restarted_member_votes_late },
    { "quorums meet", quorums_meet },
    { "moved resource waits", moved_resource_waits },
  };
  return JD_TEST_RUN ("lease", cases);
}
