#include "membership/config_gossip.h"

#include <string.h>

#include "membership/platform_watch.h"
#include "support/test_main.h"

#define SECOND_US INT64_C (1000000)

/* The last digest that was sent. */
typedef struct sent_digest
{
  jd_digest_entry_t entries[4];
  jd_digest_t digest;
} sent_digest_t;

static void
store_sent_digest (void *context, const jd_gossip_route_t *to, const jd_digest_t *digest)
{
  sent_digest_t *sent = context;
  sent->digest = *digest;
  sent->digest.entries = sent->entries;
  memcpy (sent->entries, digest->entries,
          digest->entry_count * sizeof (jd_digest_entry_t));
}

/* Guards against a platform age that is too low because a late answer is counted from a
 * newer request (seed 100754 of test_config_gossip): a revoked key would stay valid. */
static void
platform_age_counts_from_request_of_late_answer (void)
{
  const char *const peers[] = { "p" };
  const jd_gossip_route_t from = { .address = "p" };
  sent_digest_t sent = { 0 };
  jd_philox_t philox = { .seed = 1 };
  jd_config_store_t *store = jd_config_store_new ();
  jd_gossip_options_t options = { .store = store,
                                  .own_address = "me",
                                  .rng = jd_philox_rng (&philox),
                                  .settings = jd_gossip_settings_default (),
                                  .hooks = { .send_digest = store_sent_digest,
                                             .context = &sent } };
  jd_config_gossip_t *gossip = jd_config_gossip_new (&options, 0);
  jd_config_gossip_set_peers (gossip, peers, 1);
  jd_config_gossip_tick (gossip, 1 * SECOND_US);
  sent_digest_t first_request = sent;
  first_request.digest.entries = first_request.entries;
  first_request.digest.platform_age_us = 0;
  jd_config_gossip_tick (gossip, 5 * SECOND_US);
  jd_config_gossip_on_digest (gossip, &from, &first_request.digest, 6 * SECOND_US);
  CU_ASSERT_EQUAL (jd_config_gossip_platform_age_us (gossip, 6 * SECOND_US),
                   5 * SECOND_US);
  jd_config_gossip_on_digest (gossip, &from, &first_request.digest, 7 * SECOND_US);
  CU_ASSERT_EQUAL (jd_config_gossip_platform_age_us (gossip, 7 * SECOND_US),
                   6 * SECOND_US);
  sent.digest.platform_age_us = SECOND_US;
  jd_config_gossip_on_digest (gossip, &from, &sent.digest, 7 * SECOND_US);
  CU_ASSERT_EQUAL (jd_config_gossip_platform_age_us (gossip, 7 * SECOND_US),
                   3 * SECOND_US);
  jd_config_gossip_free (gossip);
  jd_config_store_free (store);
}

static gboolean
is_down_member (void *context, const char *member)
{
  return g_strcmp0 (context, member) == 0;
}

/* Guards against a zone in which no process watches the platform, and against one in
 * which all processes do. */
static void
two_members_per_zone_watch_the_platform (void)
{
  static char names[4][8] = { "s0", "s1", "s2", "s3" };
  jd_member_record_t first_group[] = { { names[0], names[0] },
                                       { names[1], names[1] },
                                       { names[2], names[2] } };
  jd_member_record_t second_group[] = { { names[3], names[3] } };
  jd_group_record_t groups[] = { { names[0], names[0], JD_ROLE_ENTRY, first_group, 3 },
                                 { names[1], names[0], JD_ROLE_ENTRY, second_group, 1 } };
  jd_fleet_record_t fleet = { .groups = groups, .group_count = 2 };
  CU_ASSERT (jd_platform_watch_is_watcher (&fleet, "s0", is_down_member, NULL));
  CU_ASSERT (jd_platform_watch_is_watcher (&fleet, "s1", is_down_member, NULL));
  CU_ASSERT (!jd_platform_watch_is_watcher (&fleet, "s2", is_down_member, NULL));
  CU_ASSERT (jd_platform_watch_is_watcher (&fleet, "s2", is_down_member, names[0]));
  CU_ASSERT (!jd_platform_watch_is_watcher (&fleet, "s3", is_down_member, names[0]));
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "platform age counts from request of late answer",
      platform_age_counts_from_request_of_late_answer },
    { "two members per zone watch the platform",
      two_members_per_zone_watch_the_platform },
  };
  return JD_TEST_RUN ("config_gossip_unit", cases);
}
