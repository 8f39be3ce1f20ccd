#include "membership/config_gossip.h"

#include <string.h>

#include "membership/platform_watch.h"
#include "support/test_main.h"

#define S INT64_C (1000000)

/* Keeps the last digest that was sent. */
typedef struct outbox
{
  jd_digest_entry_t entries[4];
  jd_digest_t digest;
} outbox_t;

static void
keep_digest (void *context, const jd_gossip_route_t *to, const jd_digest_t *digest)
{
  outbox_t *outbox = context;
  outbox->digest = *digest;
  outbox->digest.entries = outbox->entries;
  memcpy (outbox->entries, digest->entries,
          digest->entry_count * sizeof (jd_digest_entry_t));
}

/* Guards against a platform age that is too low, because a late answer was counted from
 * a newer request (seed 100754 of test_config_gossip): a revoked key would live on. */
static void
late_answer_counts_from_its_request (void)
{
  const char *const peers[] = { "p" };
  const jd_gossip_route_t from = { .address = "p" };
  outbox_t outbox = { 0 };
  jd_philox_t philox = { .seed = 1 };
  jd_config_store_t *store = jd_config_store_new ();
  jd_gossip_options_t options = { .store = store,
                                  .own_address = "me",
                                  .rng = jd_philox_rng (&philox),
                                  .settings = jd_gossip_settings_default (),
                                  .hooks = { .send_digest = keep_digest,
                                             .context = &outbox } };
  jd_config_gossip_t *gossip = jd_config_gossip_new (&options, 0);
  jd_config_gossip_set_peers (gossip, peers, 1);
  jd_config_gossip_tick (gossip, 1 * S);
  outbox_t first = outbox;
  first.digest.entries = first.entries;
  first.digest.platform_age_us = 0;
  jd_config_gossip_tick (gossip, 5 * S);
  jd_config_gossip_on_digest (gossip, &from, &first.digest, 6 * S);
  CU_ASSERT_EQUAL (jd_config_gossip_platform_age_us (gossip, 6 * S), 5 * S);
  jd_config_gossip_on_digest (gossip, &from, &first.digest, 7 * S);
  CU_ASSERT_EQUAL (jd_config_gossip_platform_age_us (gossip, 7 * S), 6 * S);
  outbox.digest.platform_age_us = S;
  jd_config_gossip_on_digest (gossip, &from, &outbox.digest, 7 * S);
  CU_ASSERT_EQUAL (jd_config_gossip_platform_age_us (gossip, 7 * S), 3 * S);
  jd_config_gossip_free (gossip);
  jd_config_store_free (store);
}

static gboolean
is_same_seat (void *context, const char *seat)
{
  return g_strcmp0 (context, seat) == 0;
}

/* Guards against a zone that no process watches the platform for, and against one where
 * all do. */
static void
two_seats_of_a_zone_watch (void)
{
  static char names[4][8] = { "s0", "s1", "s2", "s3" };
  jd_seat_record_t first[] = { { names[0], names[0] },
                               { names[1], names[1] },
                               { names[2], names[2] } };
  jd_seat_record_t second[] = { { names[3], names[3] } };
  jd_cell_record_t cells[] = { { names[0], names[0], JD_ROLE_ENTRY, first, 3 },
                               { names[1], names[0], JD_ROLE_ENTRY, second, 1 } };
  jd_fleet_record_t fleet = { .cells = cells, .cell_count = 2 };
  CU_ASSERT (jd_platform_watch_is_watcher (&fleet, "s0", is_same_seat, NULL));
  CU_ASSERT (jd_platform_watch_is_watcher (&fleet, "s1", is_same_seat, NULL));
  CU_ASSERT (!jd_platform_watch_is_watcher (&fleet, "s2", is_same_seat, NULL));
  CU_ASSERT (jd_platform_watch_is_watcher (&fleet, "s2", is_same_seat, names[0]));
  CU_ASSERT (!jd_platform_watch_is_watcher (&fleet, "s3", is_same_seat, names[0]));
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "late answer counts from its request", late_answer_counts_from_its_request },
    { "two seats of a zone watch", two_seats_of_a_zone_watch },
  };
  return JD_TEST_RUN ("config_gossip_unit", cases);
}
