#include "membership/peer_spread.h"

#include <string.h>

#include "base/clock.h"
#include "support/test_main.h"

#define HOSTS_MAX 1200U
#define FIRST_IP 1000U

/* A simulated fleet: hosts of several zones that know each other. */
typedef struct jd_spread_fleet
{
  uint32_t hosts;
  uint32_t zones;
  jd_peer_table_t *tables[HOSTS_MAX];
  bool cut[HOSTS_MAX]; /* Messages to and from the host are lost. */
  double loss;         /* Share of all messages that are lost. */
  jd_philox_t random;
  uint32_t zone_crossings; /* Messages between zones. */
} jd_spread_fleet_t;

static uint32_t
zone_of (const jd_spread_fleet_t *fleet, uint32_t host)
{
  return host % fleet->zones;
}

/* Tells each host of the states of all others at now_us. */
static void
open_fleet (jd_spread_fleet_t *fleet, int64_t now_us)
{
  for (uint32_t i = 0; i < fleet->hosts; i++)
    {
      char zone[8];
      g_snprintf (zone, sizeof (zone), "z%u", zone_of (fleet, i));
      fleet->tables[i] = jd_peer_table_new (FIRST_IP + i, zone);
      for (uint32_t k = 0; k < fleet->hosts; k++)
        {
          jd_peer_state_t state = { .ip = FIRST_IP + k, .incarnation = 1, .sequence = 1 };
          g_snprintf (state.zone, sizeof (state.zone), "z%u", zone_of (fleet, k));
          jd_peer_table_update (fleet->tables[i], &state, now_us);
        }
    }
}

static void
close_fleet (jd_spread_fleet_t *fleet)
{
  for (uint32_t i = 0; i < fleet->hosts; i++)
    jd_peer_table_free (fleet->tables[i]);
}

/* Delivers a message, unless it is lost. */
static bool
deliver (jd_spread_fleet_t *fleet, uint32_t from, uint32_t to)
{
  jd_rng_t rng = jd_philox_rng (&fleet->random);
  if (zone_of (fleet, from) != zone_of (fleet, to))
    fleet->zone_crossings++;
  return !fleet->cut[from] && !fleet->cut[to] && jd_rng_unit (&rng) >= fleet->loss;
}

/* Sends a message of a host to all others. Returns how many hosts that are not cut off
 * receive it. */
static uint32_t
spread_message (jd_spread_fleet_t *fleet, uint32_t from, int64_t now_us)
{
  static jd_peer_receiver_t receivers[HOSTS_MAX];
  static bool reached[HOSTS_MAX];
  uint32_t ips[HOSTS_MAX];
  jd_rng_t rng = jd_philox_rng (&fleet->random);
  memset (reached, 0, sizeof (reached));
  uint32_t count =
      jd_peer_spread_choose (fleet->tables[from], &rng, receivers, HOSTS_MAX, now_us);
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t to = receivers[i].ip - FIRST_IP;
      if (!deliver (fleet, from, to))
        continue;
      reached[to] = true;
      if (!receivers[i].is_relay)
        continue;
      uint32_t zone_count =
          jd_peer_table_zone_ips (fleet->tables[to], ips, HOSTS_MAX, now_us);
      for (uint32_t k = 0; k < zone_count; k++)
        reached[ips[k] - FIRST_IP] |= deliver (fleet, to, ips[k] - FIRST_IP);
    }
  uint32_t reached_count = 0;
  for (uint32_t i = 0; i < fleet->hosts; i++)
    reached_count += reached[i] && i != from;
  return reached_count;
}

/* Guards against traffic between zones that grows with the square of the fleet: each
 * message reaches all hosts, with one copy to each other zone. */
static void
messages_reach_all_hosts_with_one_copy_a_zone (void)
{
  static const struct
  {
    uint32_t hosts, zones, crossings;
  } fleets[] = { { 30, 5, 4 }, { 295, 6, 5 }, { 1200, 5, 4 } };
  for (size_t f = 0; f < G_N_ELEMENTS (fleets); f++)
    {
      jd_spread_fleet_t fleet = { .hosts = fleets[f].hosts, .zones = fleets[f].zones };
      open_fleet (&fleet, JD_US_PER_S);
      for (uint32_t from = 0; from < 20; from++)
        {
          fleet.zone_crossings = 0;
          CU_ASSERT_EQUAL (spread_message (&fleet, from, 2 * JD_US_PER_S),
                           fleet.hosts - 1);
          CU_ASSERT_EQUAL (fleet.zone_crossings, fleets[f].crossings);
        }
      close_fleet (&fleet);
    }
}

/* Guards against relays in small zones, where they save little and can fail. */
static void
small_zones_get_messages_directly (void)
{
  jd_spread_fleet_t fleet = { .hosts = 9, .zones = 3 };
  jd_peer_receiver_t receivers[HOSTS_MAX];
  open_fleet (&fleet, JD_US_PER_S);
  jd_rng_t rng = jd_philox_rng (&fleet.random);
  uint32_t count = jd_peer_spread_choose (fleet.tables[0], &rng, receivers, HOSTS_MAX,
                                          2 * JD_US_PER_S);
  CU_ASSERT_EQUAL (count, 8);
  for (uint32_t i = 0; i < count; i++)
    CU_ASSERT_FALSE (receivers[i].is_relay);
  close_fleet (&fleet);
}

/* Guards against a host that many messages need: with one host in ten silent and one
 * message in a hundred lost, living hosts still receive 85 in 100 messages. */
static void
silent_relays_lose_few_messages (void)
{
  jd_spread_fleet_t fleet = { .hosts = 295, .zones = 6, .loss = 0.01 };
  open_fleet (&fleet, JD_US_PER_S);
  uint32_t living = 0, received = 0, messages = 0;
  for (uint32_t i = 0; i < fleet.hosts; i++)
    {
      fleet.cut[i] = i % 10 == 7;
      living += !fleet.cut[i];
    }
  for (uint32_t from = 0; from < fleet.hosts; from++)
    {
      if (fleet.cut[from])
        continue;
      received += spread_message (&fleet, from, 2 * JD_US_PER_S);
      messages += living - 1;
    }
  CU_ASSERT_TRUE (received * 100 >= messages * 85);
  close_fleet (&fleet);
}

/* Guards against relays that are shutting down, while another host could do it. */
static void
leaving_hosts_are_no_relays (void)
{
  jd_spread_fleet_t fleet = { .hosts = 60, .zones = 2 };
  jd_peer_receiver_t receivers[HOSTS_MAX];
  open_fleet (&fleet, JD_US_PER_S);
  for (uint32_t i = 1; i + 2 < fleet.hosts; i += 2)
    {
      jd_peer_state_t state = {
        .ip = FIRST_IP + i, .incarnation = 1, .sequence = 2, .zone = "z1", .leaving = true
      };
      jd_peer_table_update (fleet.tables[0], &state, JD_US_PER_S);
    }
  jd_rng_t rng = jd_philox_rng (&fleet.random);
  for (uint32_t n = 0; n < 50; n++)
    {
      uint32_t count = jd_peer_spread_choose (fleet.tables[0], &rng, receivers, HOSTS_MAX,
                                              2 * JD_US_PER_S);
      CU_ASSERT_EQUAL (count, 30);
      CU_ASSERT_TRUE (receivers[count - 1].is_relay);
      CU_ASSERT_EQUAL (receivers[count - 1].ip, FIRST_IP + 59);
    }
  close_fleet (&fleet);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "messages reach all hosts with one copy a zone",
      messages_reach_all_hosts_with_one_copy_a_zone },
    { "small zones get messages directly", small_zones_get_messages_directly },
    { "silent relays lose few messages", silent_relays_lose_few_messages },
    { "leaving hosts are no relays", leaving_hosts_are_no_relays },
  };
  return JD_TEST_RUN ("peer_spread", cases);
}
