#include "membership/lease_voter.h"
#include "membership/quorum.h"

#include "base/clock.h"
#include "membership/ownership.h"
#include "support/test_main.h"

#define MS JD_US_PER_MS

static const char *const members[] = { "a", "b", "c" };

static gboolean
receive_heartbeat (jd_lease_voter_t *voter, uint64_t incarnation, jd_member_state_t state,
                   int64_t now_us)
{
  gboolean state_changed;
  jd_heartbeat_t heartbeat = { .member = "b",
                               .incarnation = incarnation,
                               .state = state };
  return jd_lease_voter_on_heartbeat (voter, &heartbeat, now_us, &state_changed);
}

static jd_member_state_t
state_of_b (const jd_lease_voter_t *voter, int64_t now_us)
{
  jd_member_view_t views[JD_GROUP_MAX_MEMBERS] = { 0 };
  CU_ASSERT_EQUAL (jd_lease_voter_views (voter, now_us, views), 3);
  return views[1].state;
}

/* Guards against a takeover while an older incarnation still works, because a newer one
 * that never worked was released (seed 100004 of test_lease_ownership). */
static void
release_applies_to_one_incarnation_only (void)
{
  jd_lease_settings_t settings = jd_lease_settings_default ();
  jd_lease_voter_t voter;
  jd_lease_voter_init (&voter, &settings, 0);
  jd_lease_voter_set_members (&voter, members, 3, 0);
  CU_ASSERT (receive_heartbeat (&voter, 5, JD_MEMBER_ACTIVE, 5000 * MS));
  CU_ASSERT (receive_heartbeat (&voter, 7, JD_MEMBER_RELEASED, 5100 * MS));
  CU_ASSERT_EQUAL (state_of_b (&voter, 5100 * MS), JD_MEMBER_DRAINING);
  CU_ASSERT (!receive_heartbeat (&voter, 5, JD_MEMBER_ACTIVE, 5200 * MS));
  CU_ASSERT_EQUAL (state_of_b (&voter, 7199 * MS), JD_MEMBER_DRAINING);
  CU_ASSERT_EQUAL (state_of_b (&voter, 7200 * MS), JD_MEMBER_RELEASED);
}

/* Guards against votes of a member that lost the record of its acknowledgements in a
 * restart, and against a replacement process that is refused for ever because its slow
 * wall clock gives it a lower incarnation. */
static void
restarted_member_does_not_vote_at_first (void)
{
  jd_lease_settings_t settings = jd_lease_settings_default ();
  jd_lease_voter_t voter;
  jd_member_view_t views[JD_GROUP_MAX_MEMBERS];
  jd_lease_voter_init (&voter, &settings, 0);
  jd_lease_voter_set_members (&voter, members, 3, 0);
  CU_ASSERT (!receive_heartbeat (&voter, 7, JD_MEMBER_ACTIVE, 899 * MS));
  CU_ASSERT (receive_heartbeat (&voter, 7, JD_MEMBER_ACTIVE, 900 * MS));
  CU_ASSERT_EQUAL (jd_lease_voter_views (&voter, 1699 * MS, views), 0);
  CU_ASSERT_EQUAL (jd_lease_voter_views (&voter, 1700 * MS, views), 3);
  CU_ASSERT (!receive_heartbeat (&voter, 5, JD_MEMBER_ACTIVE, 2600 * MS));
  CU_ASSERT (receive_heartbeat (&voter, 5, JD_MEMBER_ACTIVE, 2601 * MS));
}

/* Guards against two disjoint quorums, which could each grant a lease. */
static void
two_quorums_share_a_member (void)
{
  const int64_t never = JD_QUORUM_NEVER;
  CU_ASSERT_EQUAL (jd_quorum_until_us ((int64_t[]){ 5, never }, 2), 5);
  CU_ASSERT_EQUAL (jd_quorum_until_us ((int64_t[]){ never, 5 }, 2), never);
  CU_ASSERT_EQUAL (jd_quorum_until_us ((int64_t[]){ 9, 5, 7 }, 3), 7);
  CU_ASSERT_EQUAL (jd_quorum_until_us ((int64_t[]){ 1, 9, 8, 7 }, 4), 7);
  CU_ASSERT_EQUAL (jd_quorum_until_us ((int64_t[]){ 9, 8, 1, 0 }, 4), 8);
  CU_ASSERT_EQUAL (jd_quorum_until_us ((int64_t[]){ never, 9, 8, never }, 4), never);
}

/* Stores the heartbeat of the only member of a group for the test to pass back to it. */
static void
store_heartbeat (void *context, const char *to_member, const jd_heartbeat_t *heartbeat)
{
  *(jd_heartbeat_t *)context = *heartbeat;
}

/* Guards against two users of a resource that moves to this group: the previous group may
 * use it until it has the new fleet record, so this group must wait. */
static void
moved_resource_is_not_used_at_once (void)
{
  const char *const groups[] = { "one", "two" };
  const char *resource =
      g_str_equal (jd_ownership_choose (groups, 2, "r0"), "two") ? "r0" : "r1";
  jd_heartbeat_t heartbeat;
  jd_heartbeat_ack_t ack;
  jd_lease_options_t options = { .member = "a",
                                 .incarnation = 1,
                                 .members = members,
                                 .member_count = 1,
                                 .settings = jd_lease_settings_default (),
                                 .send = store_heartbeat,
                                 .context = &heartbeat };
  CU_ASSERT_STRING_EQUAL (jd_ownership_choose (groups, 2, resource), "two");
  jd_lease_t *lease = jd_lease_new (&options, 0);
  jd_ownership_t *ownership = jd_ownership_new (lease, "one");
  jd_ownership_set_groups (ownership, groups, 2, 0);
  for (int64_t now_us = 0; now_us <= 20000 * MS; now_us += 100 * MS)
    {
      jd_lease_tick (lease, now_us);
      if (jd_lease_on_heartbeat (lease, &heartbeat, now_us, &ack))
        jd_lease_on_ack (lease, &ack, now_us);
      if (now_us == 10000 * MS)
        jd_ownership_set_groups (ownership, groups, 1, now_us);
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
    { "release applies to one incarnation only",
      release_applies_to_one_incarnation_only },
    { "restarted member does not vote at first",
      restarted_member_does_not_vote_at_first },
    { "two quorums share a member", two_quorums_share_a_member },
    { "moved resource is not used at once", moved_resource_is_not_used_at_once },
  };
  return JD_TEST_RUN ("lease", cases);
}
