#include "membership/peer_table.h"

#include "base/clock.h"
#include "support/test_main.h"

#define SECOND JD_US_PER_S

static jd_peer_state_t
state_of (uint32_t ip, const char *zone, uint64_t sequence, bool reads)
{
  jd_peer_state_t state = { .ip = ip,
                            .incarnation = 7,
                            .sequence = sequence,
                            .reads_store = reads,
                            .changed_revision = 10,
                            .feed_revision = 10,
                            .traces_since = 1 };
  g_strlcpy (state.zone, zone, sizeof (state.zone));
  g_snprintf (state.name, sizeof (state.name), "host-%u", ip);
  return state;
}

static void
hear (jd_peer_table_t *table, uint32_t ip, const char *zone, uint64_t sequence,
      bool reads, int64_t now_us)
{
  jd_peer_state_t state = state_of (ip, zone, sequence, reads);
  jd_peer_table_hear (table, &state, now_us);
}

/* Guards against shares of limits that grow at once when hosts fall silent, because
 * hosts that are cut off may still serve. */
static void
silent_hosts_count_for_a_while (void)
{
  jd_peer_table_t *table = jd_peer_table_new (5, "a");
  hear (table, 1, "a", 1, false, SECOND);
  hear (table, 9, "b", 1, false, SECOND);
  CU_ASSERT_EQUAL (jd_peer_table_hosts (table, 2 * SECOND), 3);
  CU_ASSERT_EQUAL (jd_peer_table_rank (table, 2 * SECOND), 1);
  uint32_t ips[8];
  CU_ASSERT_EQUAL (jd_peer_table_live (table, ips, 8, 6 * SECOND), 0);
  CU_ASSERT_EQUAL (jd_peer_table_hosts (table, 6 * SECOND), 3);
  CU_ASSERT_EQUAL (jd_peer_table_hosts (table, 60 * SECOND), 1);
  jd_peer_table_free (table);
}

/* Guards against old messages that overwrite newer ones, and against a restarted host
 * whose count starts anew being ignored. */
static void
overtaken_messages_are_ignored (void)
{
  jd_peer_table_t *table = jd_peer_table_new (5, "a");
  jd_peer_state_t state = state_of (1, "a", 4, false);
  CU_ASSERT_TRUE (jd_peer_table_hear (table, &state, SECOND));
  CU_ASSERT_FALSE (jd_peer_table_hear (table, &state, SECOND));
  state.sequence = 3;
  CU_ASSERT_FALSE (jd_peer_table_hear (table, &state, SECOND));
  state.incarnation = 3;
  state.sequence = 1;
  CU_ASSERT_TRUE (jd_peer_table_hear (table, &state, SECOND));
  jd_peer_table_free (table);
}

/* Guards against every host reading the store, against none doing so, and against a
 * returning host that takes over from one that reads. */
static void
one_host_of_a_zone_reads (void)
{
  jd_peer_table_t *table = jd_peer_table_new (5, "a");
  CU_ASSERT_TRUE (jd_peer_table_should_read (table, false, SECOND));
  hear (table, 9, "a", 1, true, SECOND);
  CU_ASSERT_FALSE (jd_peer_table_should_read (table, false, SECOND));
  CU_ASSERT_TRUE (jd_peer_table_should_read (table, true, SECOND));
  hear (table, 1, "a", 1, true, SECOND);
  CU_ASSERT_FALSE (jd_peer_table_should_read (table, true, SECOND));
  CU_ASSERT_TRUE (jd_peer_table_should_read (table, false, 10 * SECOND));
  jd_peer_table_free (table);
}

/* Guards against copies from far hosts or of everything where a near host can tell the
 * changes, and against copies from hosts whose knowledge is old. */
static void
near_host_that_tells_changes_is_copied (void)
{
  jd_peer_table_t *table = jd_peer_table_new (5, "a");
  CU_ASSERT_PTR_NULL (jd_peer_table_best_source (table, 10, SECOND));
  hear (table, 1, "b", 1, true, SECOND);
  CU_ASSERT_EQUAL (jd_peer_table_best_source (table, 10, SECOND)->state.ip, 1);
  hear (table, 2, "a", 1, true, SECOND);
  CU_ASSERT_EQUAL (jd_peer_table_best_source (table, 10, SECOND)->state.ip, 2);
  jd_peer_state_t state = state_of (2, "a", 2, true);
  state.traces_since = 11;
  jd_peer_table_hear (table, &state, SECOND);
  CU_ASSERT_EQUAL (jd_peer_table_best_source (table, 10, SECOND)->state.ip, 1);
  state = state_of (1, "b", 2, true);
  state.feed_age_us = 30 * SECOND;
  jd_peer_table_hear (table, &state, SECOND);
  CU_ASSERT_EQUAL (jd_peer_table_best_source (table, 10, SECOND)->state.ip, 2);
  jd_peer_table_free (table);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "silent hosts count for a while", silent_hosts_count_for_a_while },
    { "overtaken messages", overtaken_messages_are_ignored },
    { "one host of a zone reads", one_host_of_a_zone_reads },
    { "source of copies", near_host_that_tells_changes_is_copied },
  };
  return JD_TEST_RUN ("peer_table", cases);
}
