#include <string.h>

#include "config/fleet_record.h"
#include "membership/ownership.h"
#include "support/test_main.h"

/* Parses a fleet of two zones in which the group a-broker has the given members. */
static jd_fleet_record_t *
parse_fleet (const char *members_json, GError **error)
{
  char *text = g_strdup_printf (
      "{\"schema_version\":1,\"record_version\":1,\"zones\":[{\"name\":\"a\"},"
      "{\"name\":\"b\"}],\"cells\":["
      "{\"name\":\"a-broker\",\"zone\":\"a\",\"role\":\"broker\",\"seats\":[%s]},"
      "{\"name\":\"b-broker\",\"zone\":\"b\",\"role\":\"broker\",\"seats\":["
      "{\"name\":\"b0\",\"address\":\"127.0.0.1:2\"}]}]}",
      members_json);
  jd_fleet_record_t *fleet = jd_fleet_record_parse ("fleet", text, strlen (text), error);
  g_free (text);
  return fleet;
}

/* Guards against voting-only members that cannot break a tie: one at the address of a
 * member of its own group, one at the address of no listed process, one that is first in
 * the list, two of them, or one whose flag is no boolean. */
static void
invalid_voting_only_members_are_refused (void)
{
  const char *const invalid_members[] = {
    "{\"name\":\"a0\",\"address\":\"127.0.0.1:1\"},"
    "{\"name\":\"w\",\"address\":\"127.0.0.1:1\",\"witness\":true}",
    "{\"name\":\"a0\",\"address\":\"127.0.0.1:1\"},"
    "{\"name\":\"w\",\"address\":\"127.0.0.1:9\",\"witness\":true}",
    "{\"name\":\"w\",\"address\":\"127.0.0.1:2\",\"witness\":true}",
    "{\"name\":\"a0\",\"address\":\"127.0.0.1:1\"},"
    "{\"name\":\"w\",\"address\":\"127.0.0.1:2\",\"witness\":true},"
    "{\"name\":\"v\",\"address\":\"127.0.0.1:2\",\"witness\":true}",
    "{\"name\":\"a0\",\"address\":\"127.0.0.1:1\",\"witness\":1}",
  };
  for (size_t i = 0; i < G_N_ELEMENTS (invalid_members); i++)
    {
      GError *error = NULL;
      CU_ASSERT_PTR_NULL (parse_fleet (invalid_members[i], &error));
      CU_ASSERT (error && strstr (error->message, "cells[0]"));
      g_clear_error (&error);
    }
  jd_fleet_record_t *valid_fleet =
      parse_fleet ("{\"name\":\"a0\",\"address\":\"127.0.0.1:1\"},"
                   "{\"name\":\"a1\",\"address\":\"127.0.0.1:3\"},"
                   "{\"name\":\"w\",\"address\":\"127.0.0.1:2\","
                   "\"witness\":true}",
                   NULL);
  CU_ASSERT_FATAL (valid_fleet != NULL);
  CU_ASSERT (valid_fleet->groups[0].members[2].voting_only);
  jd_fleet_record_unref (valid_fleet);
}

/* The members a0 (stopped by the test) and a1, and the voting-only member w, connected
 * without loss or delay. */
typedef struct group
{
  jd_lease_t *leases[3];
  gboolean is_stopped[3];
  int64_t now_us;
} group_t;

typedef struct group_member
{
  group_t *group;
  int index;
} group_member_t;

static const char *const member_names[] = { "a0", "a1", "w" };

static void
deliver_heartbeat (void *context, const char *to_member, const jd_heartbeat_t *heartbeat)
{
  group_member_t *sender = context;
  group_t *group = sender->group;
  jd_heartbeat_ack_t ack;
  for (int i = 0; i < 3; i++)
    {
      if (strcmp (to_member, member_names[i]) == 0 && !group->is_stopped[i] &&
          jd_lease_on_heartbeat (group->leases[i], heartbeat, group->now_us, &ack))
        jd_lease_on_ack (group->leases[sender->index], &ack, group->now_us);
    }
}

static void
run_group (group_t *group, int64_t duration_us)
{
  for (int64_t end_us = group->now_us + duration_us; group->now_us < end_us;
       group->now_us += 10000)
    {
      for (int i = 0; i < 3; i++)
        if (!group->is_stopped[i] &&
            jd_lease_next_tick_us (group->leases[i]) <= group->now_us)
          jd_lease_tick (group->leases[i], group->now_us);
    }
}

/* Guards against a zone of two hosts that serves nothing after the loss of the first
 * listed one, and against a voting-only member that counts as a candidate. */
static void
second_of_two_members_takes_over (void)
{
  group_t group = { .now_us = 1000000 };
  group_member_t members[3];
  for (int i = 0; i < 3; i++)
    {
      members[i] = (group_member_t){ &group, i };
      jd_lease_options_t options = { .member = member_names[i],
                                     .incarnation = 1,
                                     .members = member_names,
                                     .member_count = 3,
                                     .settings = jd_lease_settings_default (),
                                     .send = deliver_heartbeat,
                                     .context = &members[i] };
      group.leases[i] = jd_lease_new (&options, group.now_us);
    }
  jd_lease_set_state (group.leases[2], JD_MEMBER_RELEASED, group.now_us);
  jd_ownership_t *survivor = jd_ownership_new (group.leases[1], "a-broker");
  jd_ownership_set_voting_only (survivor, &member_names[2], 1);
  run_group (&group, 5000000);
  group.is_stopped[0] = TRUE;
  /* docs/design.md section 6: 2,200 ms and one heartbeat. */
  run_group (&group, 2400000);
  for (int i = 0; i < 50; i++)
    {
      char resource[16];
      g_snprintf (resource, sizeof (resource), "t%d", i);
      CU_ASSERT (jd_ownership_owns (survivor, resource, group.now_us));
    }
  jd_ownership_free (survivor);
  for (int i = 0; i < 3; i++)
    jd_lease_free (group.leases[i]);
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "invalid voting-only members are refused",
      invalid_voting_only_members_are_refused },
    { "second of two members takes over", second_of_two_members_takes_over },
  };
  return JD_TEST_RUN ("fleet_witness", cases);
}
