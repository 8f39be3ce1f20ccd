#include "membership/store_contact.h"

#include <string.h>

#include "base/clock.h"
#include "support/test_main.h"

#define GAP_US (2400 * JD_US_PER_MS)

typedef struct jd_fleet
{
  jd_peer_table_t *peers;
  jd_store_contact_t contact;
  jd_own_contact_t own;
  uint64_t sequence;
} jd_fleet_t;

static jd_fleet_t
new_fleet (void)
{
  return (jd_fleet_t){ .peers = jd_peer_table_new (1, "a"),
                       .contact = { .max_gap_us = GAP_US,
                                    .stable_us = 4 * JD_US_PER_S,
                                    .hold_us = 2900 * JD_US_PER_MS } };
}

/* Receives a message of a host whose records were current at a time. */
static void
hear (jd_fleet_t *fleet, uint32_t ip, const char *zone, int64_t as_of_ms,
      bool store_failed, int64_t now_ms)
{
  jd_peer_state_t state = {
    .ip = ip,
    .incarnation = 1,
    .sequence = ++fleet->sequence,
    .reads_store = !store_failed,
    .store_failed = store_failed,
    .feed_revision = 1,
    .feed_age_us = (now_ms - as_of_ms) * JD_US_PER_MS,
  };
  g_strlcpy (state.zone, zone, sizeof (state.zone));
  jd_peer_table_update (fleet->peers, &state, now_ms * JD_US_PER_MS);
  jd_store_contact_note (&fleet->contact, fleet->peers, &fleet->own,
                         now_ms * JD_US_PER_MS);
}

/* Returns TRUE if this host judges that the store was lost. */
static bool
was_lost (jd_fleet_t *fleet, int64_t now_ms)
{
  jd_store_contact_note (&fleet->contact, fleet->peers, &fleet->own,
                         now_ms * JD_US_PER_MS);
  return jd_store_contact_hold_until_us (&fleet->contact, &fleet->own,
                                         now_ms * JD_US_PER_MS) > 0;
}

/* Guards against removals that are held although the store served all the time: this host
 * lost those from which it copies, or was cut off itself (review/12, review/15). */
static void
store_that_others_read_was_not_lost (void)
{
  jd_fleet_t fleet = new_fleet ();
  fleet.own.as_of_us = JD_US_PER_S;
  CU_ASSERT_FALSE (was_lost (&fleet, 1000));
  hear (&fleet, 2, "a", 1000, true, 3000);
  hear (&fleet, 3, "b", 3300, false, 3300);
  fleet.own.failed_us = 4 * JD_US_PER_S;
  hear (&fleet, 3, "b", 5600, false, 5600);
  CU_ASSERT_FALSE (was_lost (&fleet, 6000));
  jd_peer_table_free (fleet.peers);
}

/* Guards against the loss of live targets whose records expired in an outage: hosts that
 * copy do not read in it themselves, and hear of its end from others. */
static void
outage_that_two_hosts_noticed_was_one (void)
{
  jd_fleet_t fleet = new_fleet ();
  fleet.own.as_of_us = JD_US_PER_S;
  for (int64_t now_ms = 1000; now_ms <= 4000; now_ms += 500)
    {
      hear (&fleet, 2, "a", 1000, now_ms >= 2500, now_ms);
      CU_ASSERT_FALSE (was_lost (&fleet, now_ms));
      hear (&fleet, 3, "b", 1000, now_ms >= 4000, now_ms);
      CU_ASSERT_EQUAL (was_lost (&fleet, now_ms), now_ms >= 4000);
    }
  hear (&fleet, 2, "a", 4500, false, 4500);
  CU_ASSERT_TRUE (was_lost (&fleet, 4500));
  /* Records that were read after it may lack what has not returned yet. */
  fleet.own.as_of_us = 4500 * JD_US_PER_MS;
  hear (&fleet, 2, "a", 6000, false, 6000);
  CU_ASSERT_TRUE (was_lost (&fleet, 7300));
  CU_ASSERT_FALSE (was_lost (&fleet, 7400));
  jd_peer_table_free (fleet.peers);
}

/* Guards against an outage that is never noticed because its second witness is heard only
 * after its end. */
static void
outage_counts_after_its_end (void)
{
  for (int64_t late_ms = 100; late_ms <= 1500; late_ms += 1400)
    {
      jd_fleet_t fleet = new_fleet ();
      fleet.own.as_of_us = JD_US_PER_S;
      for (int64_t now_ms = 1000; now_ms <= 4000; now_ms += 500)
        {
          hear (&fleet, 2, "a", 1000, now_ms >= 2500, now_ms);
          hear (&fleet, 4, "b", 1000, false, now_ms);
        }
      hear (&fleet, 3, "b", 4000, false, 4000);
      fleet.own.as_of_us = 4000 * JD_US_PER_MS;
      CU_ASSERT_FALSE (was_lost (&fleet, 4000));
      hear (&fleet, 4, "b", 1000, true, 4000 + late_ms);
      CU_ASSERT_EQUAL (was_lost (&fleet, 4000 + late_ms), late_ms < 1000);
      jd_peer_table_free (fleet.peers);
    }
}

/* Guards against hosts that were cut off, and say so when they are back, while the hosts
 * that read the store are lost: nothing was wrong with the store. */
static void
hosts_that_are_back_tell_of_no_outage (void)
{
  jd_fleet_t fleet = new_fleet ();
  fleet.own.as_of_us = 5 * JD_US_PER_S;
  hear (&fleet, 2, "a", 1000, false, 1000);
  hear (&fleet, 3, "b", 1000, false, 1000);
  hear (&fleet, 2, "a", 1000, true, 6900);
  hear (&fleet, 3, "b", 1000, true, 7000);
  CU_ASSERT_FALSE (was_lost (&fleet, 8000));
  jd_peer_table_free (fleet.peers);
}

/* Guards against an outage that a lone host, or a fleet of one zone, never notices, and
 * against a hold that lasts until after the store is trusted again. */
static void
one_failed_host_counts_in_one_zone (void)
{
  jd_fleet_t fleet = new_fleet ();
  fleet.own = (jd_own_contact_t){ .as_of_us = JD_US_PER_S };
  CU_ASSERT_FALSE (was_lost (&fleet, 1000));
  CU_ASSERT_FALSE (was_lost (&fleet, 5000));
  fleet.own.failed_us = 5 * JD_US_PER_S;
  fleet.own.failed_start_us = 3800 * JD_US_PER_MS;
  CU_ASSERT_TRUE (was_lost (&fleet, 5000));
  CU_ASSERT_EQUAL (
      jd_store_contact_hold_until_us (&fleet.contact, &fleet.own, 5 * JD_US_PER_S),
      7700 * JD_US_PER_MS);
  jd_peer_table_free (fleet.peers);
}

/* Guards against short outages, in which no record expires, and hosts without records. */
static void
short_outages_do_not_count (void)
{
  jd_fleet_t fleet = new_fleet ();
  CU_ASSERT_FALSE (was_lost (&fleet, 9000));
  fleet.own = (jd_own_contact_t){ .as_of_us = 9 * JD_US_PER_S,
                                  .failed_us = 11 * JD_US_PER_S,
                                  .failed_start_us = 10 * JD_US_PER_S };
  CU_ASSERT_FALSE (was_lost (&fleet, 11300));
  CU_ASSERT_TRUE (was_lost (&fleet, 11500));
  jd_peer_table_free (fleet.peers);
}

/* Guards against removals that are held because of an outage long ago, when the hosts
 * that read the store are lost later. */
static void
later_gap_is_not_the_former_outage (void)
{
  jd_fleet_t fleet = new_fleet ();
  fleet.own = (jd_own_contact_t){ .as_of_us = JD_US_PER_S,
                                  .failed_us = 4 * JD_US_PER_S,
                                  .failed_start_us = 3 * JD_US_PER_S };
  CU_ASSERT_FALSE (was_lost (&fleet, 1000));
  CU_ASSERT_TRUE (was_lost (&fleet, 4000));
  fleet.own.as_of_us = 20 * JD_US_PER_S;
  CU_ASSERT_FALSE (was_lost (&fleet, 23000));
  fleet.own.as_of_us = 24 * JD_US_PER_S;
  CU_ASSERT_FALSE (was_lost (&fleet, 24000));
  jd_peer_table_free (fleet.peers);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "store that others read was not lost", store_that_others_read_was_not_lost },
    { "outage that two hosts noticed was one", outage_that_two_hosts_noticed_was_one },
    { "outage counts after its end", outage_counts_after_its_end },
    { "hosts that are back tell of no outage", hosts_that_are_back_tell_of_no_outage },
    { "one failed host counts in one zone", one_failed_host_counts_in_one_zone },
    { "short outages do not count", short_outages_do_not_count },
    { "later gap is not the former outage", later_gap_is_not_the_former_outage },
  };
  return JD_TEST_RUN ("store_contact", cases);
}
