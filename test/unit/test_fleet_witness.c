#include <string.h>

#include "config/fleet_record.h"
#include "membership/ownership.h"
#include "support/test_main.h"

/* Parses a fleet of two zones whose cell a-broker has the given seats. */
static jd_fleet_record_t *
parse (const char *seats, GError **error)
{
  char *text = g_strdup_printf (
      "{\"schema_version\":1,\"record_version\":1,\"zones\":[{\"name\":\"a\"},"
      "{\"name\":\"b\"}],\"cells\":["
      "{\"name\":\"a-broker\",\"zone\":\"a\",\"role\":\"broker\",\"seats\":[%s]},"
      "{\"name\":\"b-broker\",\"zone\":\"b\",\"role\":\"broker\",\"seats\":["
      "{\"name\":\"b0\",\"address\":\"127.0.0.1:2\"}]}]}",
      seats);
  jd_fleet_record_t *record = jd_fleet_record_parse ("fleet", text, strlen (text), error);
  g_free (text);
  return record;
}

/* Guards against witnesses that cannot break a tie: in their own cell, at no listed
 * process, first in the list, or two of them. */
static void
bad_witnesses_are_refused (void)
{
  const char *const bad[] = {
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
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      GError *error = NULL;
      CU_ASSERT_PTR_NULL (parse (bad[i], &error));
      CU_ASSERT (error && strstr (error->message, "cells[0]"));
      g_clear_error (&error);
    }
  jd_fleet_record_t *good = parse ("{\"name\":\"a0\",\"address\":\"127.0.0.1:1\"},"
                                   "{\"name\":\"a1\",\"address\":\"127.0.0.1:3\"},"
                                   "{\"name\":\"w\",\"address\":\"127.0.0.1:2\","
                                   "\"witness\":true}",
                                   NULL);
  CU_ASSERT_FATAL (good != NULL);
  CU_ASSERT (good->cells[0].seats[2].witness);
  jd_fleet_record_unref (good);
}

/* Seats a0 (owner), a1 (killed at some time) and witness w, connected without loss. */
typedef struct cell
{
  jd_lease_t *leases[3];
  gboolean is_dead[3];
  int64_t now_us;
} cell_t;

typedef struct cell_seat
{
  cell_t *cell;
  int index;
} cell_seat_t;

static const char *const seat_names[] = { "a0", "a1", "w" };

static void
deliver (void *context, const char *to_seat, const jd_heartbeat_t *heartbeat)
{
  cell_seat_t *seat = context;
  cell_t *cell = seat->cell;
  jd_heartbeat_ack_t ack;
  for (int to = 0; to < 3; to++)
    {
      if (strcmp (to_seat, seat_names[to]) == 0 && !cell->is_dead[to] &&
          jd_lease_on_heartbeat (cell->leases[to], heartbeat, cell->now_us, &ack))
        jd_lease_on_ack (cell->leases[seat->index], &ack, cell->now_us);
    }
}

static void
run (cell_t *cell, int64_t duration_us)
{
  for (int64_t end_us = cell->now_us + duration_us; cell->now_us < end_us;
       cell->now_us += 10000)
    {
      for (int i = 0; i < 3; i++)
        if (!cell->is_dead[i] && jd_lease_next_tick_us (cell->leases[i]) <= cell->now_us)
          jd_lease_tick (cell->leases[i], cell->now_us);
    }
}

/* Guards against a zone of two hosts that serves nothing after the loss of the first
 * listed one, and against a witness that counts as a candidate. */
static void
survivor_of_two_takes_over (void)
{
  cell_t cell = { .now_us = 1000000 };
  cell_seat_t seats[3];
  for (int i = 0; i < 3; i++)
    {
      seats[i] = (cell_seat_t){ &cell, i };
      jd_lease_options_t options = { .seat = seat_names[i],
                                     .incarnation = 1,
                                     .seats = seat_names,
                                     .seat_count = 3,
                                     .settings = jd_lease_settings_default (),
                                     .send = deliver,
                                     .context = &seats[i] };
      cell.leases[i] = jd_lease_new (&options, cell.now_us);
    }
  jd_lease_set_state (cell.leases[2], JD_SEAT_RELEASED, cell.now_us);
  jd_ownership_t *survivor = jd_ownership_new (cell.leases[1], "a-broker");
  jd_ownership_set_witnesses (survivor, &seat_names[2], 1);
  run (&cell, 5000000);
  cell.is_dead[0] = TRUE;
  /* docs/design.md section 6: 2,200 ms and one heartbeat. */
  run (&cell, 2400000);
  for (int i = 0; i < 50; i++)
    {
      char resource[16];
      g_snprintf (resource, sizeof (resource), "t%d", i);
      CU_ASSERT (jd_ownership_owns (survivor, resource, cell.now_us));
    }
  jd_ownership_free (survivor);
  for (int i = 0; i < 3; i++)
    jd_lease_free (cell.leases[i]);
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "bad witnesses are refused", bad_witnesses_are_refused },
    { "survivor of two takes over", survivor_of_two_takes_over },
  };
  return JD_TEST_RUN ("fleet_witness", cases);
}
