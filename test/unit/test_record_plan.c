#include "membership/record_plan.h"

#include "base/clock.h"
#include "support/test_main.h"

#define SECOND_US JD_US_PER_S
#define LIMIT_US (3 * SECOND_US)
#define OWN_IP 100U
#define REVISION 10

/* Receives a message of a host that has just read the store. */
static void
receive_reader (jd_peer_table_t *peers, uint32_t ip, const char *zone, uint64_t sequence,
                int64_t now_us)
{
  jd_peer_state_t state = { .ip = ip,
                            .incarnation = 7,
                            .sequence = sequence,
                            .reads_store = true,
                            .feed_revision = REVISION + 1,
                            .changed_revision = REVISION + 1,
                            .tombstones_since = 1 };
  g_strlcpy (state.zone, zone, sizeof (state.zone));
  jd_peer_table_update (peers, &state, now_us);
}

/* Guards against a copy that hides an old configuration: hosts of other zones are lost
 * one after the other, each with newer records than the one before, and a copy from one
 * of them is always running. The store is read in time whatever their number. */
static void
running_copy_delays_no_read (void)
{
  jd_record_budget_t budget = jd_record_budget_new (LIMIT_US);
  for (uint32_t lost = 0; lost <= 8; lost++)
    {
      jd_peer_table_t *peers = jd_peer_table_new (OWN_IP, "a");
      jd_record_view_t view = { .revision = REVISION,
                                .as_of_us = SECOND_US,
                                .is_copying = lost > 0 };
      receive_reader (peers, 1, "a", 1, SECOND_US);
      int64_t now_us = SECOND_US, read_us = 0;
      while (read_us == 0 && now_us < 20 * SECOND_US)
        {
          for (uint32_t i = 1; i <= lost; i++)
            {
              int64_t heard_us = SECOND_US + i * budget.own_read_max_us / 4;
              if (now_us >= heard_us)
                receive_reader (peers, 1 + i, "b", 1, heard_us);
            }
          jd_record_plan_t plan = jd_record_plan_choose (&budget, peers, &view, now_us);
          if (plan.starts_read)
            read_us = now_us;
          now_us += plan.next_step_in_us;
        }
      CU_ASSERT_TRUE (read_us >= SECOND_US + budget.own_read_min_us);
      CU_ASSERT_TRUE (read_us <= SECOND_US + budget.own_read_max_us);
      jd_peer_table_free (peers);
    }
}

/* Guards against a read of the store that hangs until the limit has passed: a read that
 * hangs at the latest moment leaves time for another one. */
static void
hanging_read_is_repeated_within_the_limit (void)
{
  jd_record_budget_t budget = jd_record_budget_new (LIMIT_US);
  jd_peer_table_t *peers = jd_peer_table_new (OWN_IP, "a");
  jd_record_view_t view = { .revision = REVISION, .as_of_us = SECOND_US };
  int64_t now_us = SECOND_US + budget.own_read_max_us;
  jd_record_plan_t plan = jd_record_plan_choose (&budget, peers, &view, now_us);
  CU_ASSERT_TRUE (plan.starts_read && plan.is_own_read_due);
  view.store_failed = true;
  int64_t failed_us = now_us + plan.read_limit_us;
  view.read_again_us = jd_record_plan_read_again_us (&budget, &view, now_us, failed_us);
  CU_ASSERT_EQUAL (view.read_again_us, failed_us);
  plan = jd_record_plan_choose (&budget, peers, &view, failed_us);
  CU_ASSERT_TRUE (plan.starts_read);
  CU_ASSERT_TRUE (failed_us + plan.read_limit_us <= SECOND_US + LIMIT_US);
  jd_peer_table_free (peers);
}

/* Guards against a store that is asked without a pause while it refuses reads. */
static void
refused_reads_are_repeated_with_pauses (void)
{
  jd_record_budget_t budget = jd_record_budget_new (LIMIT_US);
  jd_peer_table_t *peers = jd_peer_table_new (OWN_IP, "a");
  jd_record_view_t view = { .revision = REVISION, .as_of_us = SECOND_US };
  uint32_t reads = 0;
  int64_t now_us = SECOND_US;
  while (now_us < SECOND_US + 2 * LIMIT_US)
    {
      jd_record_plan_t plan = jd_record_plan_choose (&budget, peers, &view, now_us);
      if (plan.starts_read)
        {
          reads++;
          view.store_failed = true;
          view.read_again_us =
              jd_record_plan_read_again_us (&budget, &view, now_us, now_us);
          CU_ASSERT_TRUE (view.read_again_us - now_us >= 200 * JD_US_PER_MS);
          plan = jd_record_plan_choose (&budget, peers, &view, now_us);
          CU_ASSERT_FALSE (plan.starts_read);
        }
      now_us += plan.next_step_in_us;
    }
  CU_ASSERT_TRUE (reads > 4 && reads <= 16);
  jd_peer_table_free (peers);
}

/* Guards against a reader that reads the store after each copy that fails: messages of
 * other hosts may offer copies many times a second. */
static void
reader_does_not_read_at_each_step (void)
{
  jd_record_budget_t budget = jd_record_budget_new (LIMIT_US);
  jd_peer_table_t *peers = jd_peer_table_new (OWN_IP, "a");
  jd_record_view_t view = { .revision = REVISION,
                            .as_of_us = SECOND_US,
                            .reads_store = true,
                            .needs_full_copy = true };
  uint32_t reads = 0;
  for (int64_t now_us = SECOND_US; now_us < 4 * SECOND_US; now_us += SECOND_US / 50)
    {
      jd_record_plan_t plan = jd_record_plan_choose (&budget, peers, &view, now_us);
      CU_ASSERT_TRUE (plan.is_reader);
      reads += plan.starts_read;
      if (plan.starts_read)
        view.as_of_us = now_us;
    }
  CU_ASSERT_TRUE (reads >= 3 && reads <= 10);
  jd_peer_table_free (peers);
}

/* Guards against hosts of a large zone that all read the store at one moment after the
 * loss of the host that read it for them. */
static void
own_reads_of_a_zone_are_spread (void)
{
  jd_record_budget_t budget = jd_record_budget_new (LIMIT_US);
  int64_t last_us = 0;
  for (uint32_t own = 1; own <= 240; own++)
    {
      jd_peer_table_t *peers = jd_peer_table_new (own, "a");
      for (uint32_t ip = 1; ip <= 240; ip++)
        {
          jd_peer_state_t state = { .ip = ip, .incarnation = 7, .sequence = 1 };
          g_strlcpy (state.zone, "a", sizeof (state.zone));
          jd_peer_table_update (peers, &state, SECOND_US);
        }
      receive_reader (peers, 500, "a", 1, SECOND_US);
      jd_record_view_t view = { .revision = REVISION + 1, .as_of_us = SECOND_US };
      int64_t now_us = SECOND_US + budget.own_read_min_us - 1;
      jd_record_plan_t plan = jd_record_plan_choose (&budget, peers, &view, now_us);
      CU_ASSERT_FALSE (plan.starts_read);
      int64_t read_us = now_us + plan.next_step_in_us;
      CU_ASSERT_TRUE (own <= 8 || read_us - last_us >= 500);
      last_us = read_us;
      jd_peer_table_free (peers);
    }
  CU_ASSERT_TRUE (last_us < SECOND_US + budget.own_read_max_us);
}

/* Guards against a copying host that reads the store although its sources work, against
 * one without records or sources that does not, and against a starting host that copies
 * from one lost source after the other and never reads. */
static void
store_is_read_only_if_copies_do_not_suffice (void)
{
  jd_record_budget_t budget = jd_record_budget_new (LIMIT_US);
  jd_peer_table_t *peers = jd_peer_table_new (OWN_IP, "a");
  jd_record_view_t view = { .started_us = SECOND_US };
  jd_record_plan_t plan = jd_record_plan_choose (&budget, peers, &view, SECOND_US);
  CU_ASSERT_TRUE (plan.is_reader && plan.starts_read);
  CU_ASSERT_PTR_NULL (plan.source);
  receive_reader (peers, 1, "a", 1, SECOND_US);
  plan = jd_record_plan_choose (&budget, peers, &view, SECOND_US);
  CU_ASSERT_FALSE (plan.starts_read);
  CU_ASSERT_PTR_NOT_NULL (plan.source);
  view.is_copying = true;
  plan =
      jd_record_plan_choose (&budget, peers, &view, SECOND_US + budget.own_read_max_us);
  CU_ASSERT_TRUE (plan.starts_read);
  view = (jd_record_view_t){ .revision = REVISION, .as_of_us = SECOND_US };
  plan = jd_record_plan_choose (&budget, peers, &view, 2 * SECOND_US);
  CU_ASSERT_FALSE (plan.starts_read);
  CU_ASSERT_PTR_NOT_NULL (plan.source);
  CU_ASSERT_PTR_NOT_NULL (jd_record_plan_offer (&budget, peers, &view, 2 * SECOND_US));
  view.reads_store = true;
  CU_ASSERT_PTR_NULL (jd_record_plan_offer (&budget, peers, &view, 2 * SECOND_US));
  jd_peer_table_free (peers);
}

/* Guards against a host that starts while the store is behind and learns nothing of what
 * others know, because no other host reads the store, or because its source has just
 * started too. */
static void
starting_host_copies_from_any_established_host (void)
{
  jd_record_budget_t budget = jd_record_budget_new (LIMIT_US);
  jd_peer_table_t *peers = jd_peer_table_new (OWN_IP, "a");
  jd_record_view_t view = { .revision = REVISION,
                            .as_of_us = SECOND_US,
                            .started_us = SECOND_US,
                            .reads_store = true,
                            .needs_full_copy = true };
  receive_reader (peers, 1, "a", 1, SECOND_US);
  CU_ASSERT_PTR_NULL (jd_record_plan_offer (&budget, peers, &view, SECOND_US));
  jd_peer_state_t copier = { .ip = 2,
                             .incarnation = 7,
                             .sequence = 1000,
                             .zone = "b",
                             .feed_revision = REVISION,
                             .changed_revision = REVISION,
                             .tombstones_since = 1 };
  jd_peer_table_update (peers, &copier, SECOND_US);
  const jd_peer_t *source = jd_record_plan_offer (&budget, peers, &view, SECOND_US);
  CU_ASSERT_TRUE (source && source->state.ip == copier.ip);
  jd_record_plan_t plan = jd_record_plan_choose (&budget, peers, &view, SECOND_US);
  CU_ASSERT_TRUE (plan.source && plan.source->state.ip == copier.ip);
  /* Changes are copied from hosts that read the store only. */
  view.needs_full_copy = view.reads_store = false;
  source = jd_record_plan_offer (&budget, peers, &view, SECOND_US);
  CU_ASSERT_TRUE (source && source->state.ip == 1);
  jd_peer_table_free (peers);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "running copy delays no read", running_copy_delays_no_read },
    { "hanging read is repeated within the limit",
      hanging_read_is_repeated_within_the_limit },
    { "refused reads are repeated with pauses", refused_reads_are_repeated_with_pauses },
    { "reader does not read at each step", reader_does_not_read_at_each_step },
    { "own reads of a zone are spread", own_reads_of_a_zone_are_spread },
    { "store is read only if copies do not suffice",
      store_is_read_only_if_copies_do_not_suffice },
    { "starting host copies from any established host",
      starting_host_copies_from_any_established_host },
  };
  return JD_TEST_RUN ("record_plan", cases);
}
