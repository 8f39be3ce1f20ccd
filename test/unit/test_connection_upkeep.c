#include "routing/connection_upkeep.h"

#include <arpa/inet.h>
#include <ev.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/rng.h"
#include "routing/replica_registry.h"
#include "support/loop_run.h"
#include "support/test_main.h"
#include "transport/replica_links.h"

#define TARGETS 40
#define SOON_US (150 * JD_US_PER_MS)

/* Real connections of one host to targets of which each has a service of its own. */
typedef struct jd_upkeep_fixture
{
  struct ev_loop *loop;
  jd_replica_registry_t *registry;
  jd_replica_links_t *links;
  int listener;
  struct sockaddr_in address;
} jd_upkeep_fixture_t;

static void
add_link (void *context, jd_replica_t *replica)
{
  jd_upkeep_fixture_t *fixture = context;
  jd_replica_links_add (fixture->links, replica);
}

static void
retire_link (void *context, jd_replica_t *replica)
{
  jd_upkeep_fixture_t *fixture = context;
  jd_replica_links_retire (fixture->links, replica);
}

/* Opens the fixture. All targets share one listener, which never answers. */
static void
open_fixture (jd_upkeep_fixture_t *fixture, uint32_t hosts)
{
  socklen_t size = sizeof (fixture->address);
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  fixture->address =
      (struct sockaddr_in){ .sin_family = AF_INET,
                            .sin_addr = { .s_addr = htonl (INADDR_LOOPBACK) } };
  CU_ASSERT_EQUAL_FATAL (
      bind (fixture->listener, (struct sockaddr *)&fixture->address, size), 0);
  CU_ASSERT_EQUAL_FATAL (listen (fixture->listener, 4 * TARGETS), 0);
  getsockname (fixture->listener, (struct sockaddr *)&fixture->address, &size);
  jd_replica_links_options_t options = {
    .loop = fixture->loop,
    .fields = { .leaving = "L", .load = "O", .cold_ms = "C" },
    .reply_body_limit_bytes = 1024,
  };
  jd_replica_events_t events = { add_link, retire_link, fixture };
  fixture->links = jd_replica_links_new (&options);
  fixture->registry = jd_replica_registry_new ("a", &events);
  jd_replica_links_set_host_count (fixture->links, hosts);
  jd_replica_registry_set_hosts (fixture->registry, hosts, 0);
}

/* Publishes TARGETS targets, which were seen at seen_us and are named since named_us. */
static void
publish_targets (jd_upkeep_fixture_t *fixture, int64_t seen_us, int64_t named_us)
{
  for (uint32_t i = 0; i < TARGETS; i++)
    {
      char id[16], service[16];
      g_snprintf (id, sizeof (id), "t%u", i);
      g_snprintf (service, sizeof (service), "s%u", i);
      jd_replica_spec_t spec = {
        .id = id, .service = service, .zone = "a", .address = fixture->address, .slots = 3
      };
      jd_replica_registry_put (fixture->registry, &spec, seen_us);
      jd_replica_pool_t *pool = jd_replica_registry_pool (fixture->registry, service);
      pool->use.named_us = named_us;
      jd_replica_pool_unref (pool);
    }
}

static void
close_fixture (jd_upkeep_fixture_t *fixture)
{
  jd_replica_links_free (fixture->links);
  jd_replica_registry_free (fixture->registry);
  close (fixture->listener);
  ev_loop_destroy (fixture->loop);
}

/* Guards against connections to targets that get no requests: on a fleet of 295 hosts,
 * most of 600,000 connections were to services that no configuration named. */
static void
unused_services_get_no_connections (void)
{
  jd_upkeep_fixture_t fixture = { 0 };
  open_fixture (&fixture, 3);
  publish_targets (&fixture, jd_monotonic_us () - 60 * JD_US_PER_S, 0);
  jd_test_run_loop (fixture.loop, 1.6);
  CU_ASSERT_EQUAL (jd_replica_links_opened_total (fixture.links), 0);
  close_fixture (&fixture);
}

/* Guards against all connections of a large fleet at the same moment. Those of one of 300
 * hosts are spread over 3 s; a host of a small fleet has all of its own at once. */
static void
connections_of_large_fleets_are_spread (void)
{
  static const struct
  {
    uint32_t hosts;
    uint64_t opened_min, opened_max; /* 1.6 s after the start. */
  } cases[] = { { 3, TARGETS, TARGETS }, { 300, 1, TARGETS * 2 / 3 } };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      jd_upkeep_fixture_t fixture = { 0 };
      int64_t now_us = jd_monotonic_us ();
      open_fixture (&fixture, cases[i].hosts);
      publish_targets (&fixture, now_us, now_us);
      jd_test_run_loop (fixture.loop, 1.6);
      uint64_t opened = jd_replica_links_opened_total (fixture.links);
      CU_ASSERT_TRUE (opened >= cases[i].opened_min && opened <= cases[i].opened_max);
      jd_test_run_loop (fixture.loop, 3.0);
      CU_ASSERT_EQUAL (jd_replica_links_opened_total (fixture.links), TARGETS);
      close_fixture (&fixture);
    }
}

/* Guards against a service whose requests wait for connections, or whose connections are
 * renewed for ever without requests. */
static void
requests_are_expected_after_use (void)
{
  const int64_t now_us = 100 * JD_US_PER_S;
  static const struct
  {
    int64_t seen_s, named_s, last_request_s;
    bool expected;
  } cases[] = {
    { 95, 0, 0, true },   { 60, 0, 0, false },  { 10, 90, 0, true },
    { 10, 20, 0, false }, { 10, 20, 95, true }, { 10, 20, 40, false },
    { 0, 0, 0, false },   { 10, 0, 99, false },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      jd_service_use_t use = {
        .seen_us = cases[i].seen_s * JD_US_PER_S,
        .named_us = cases[i].named_s * JD_US_PER_S,
        .last_request_us = cases[i].last_request_s * JD_US_PER_S,
      };
      CU_ASSERT_EQUAL (jd_service_use_expects_requests (&use, now_us), cases[i].expected);
    }
}

/* Simulates 295 hosts that open a connection each to a target with 3 slots, of which each
 * connection takes one for 6 ms, and that resets connections while more than 20 wait.
 * Returns the number of connections that it reset until all hosts are connected. */
static uint32_t
simulate_resets (bool is_spread, uint64_t seed)
{
  enum
  {
    HOSTS = 295,
    WAITING_MAX = 20,
  };
  jd_connection_upkeep_t upkeep[HOSTS] = { { 0 } };
  bool connected[HOSTS] = { false };
  jd_philox_t random = { .seed = seed };
  jd_rng_t rng = jd_philox_rng (&random);
  uint32_t resets = 0, open = 0;
  double waiting = 0.0;
  for (int64_t now_us = 1; open < HOSTS && now_us < 60 * JD_US_PER_S;
       now_us += JD_US_PER_MS)
    {
      waiting = MAX (waiting - 0.5, 0.0);
      for (uint32_t i = 0; i < HOSTS; i++)
        {
          if (connected[i] ||
              !jd_connection_upkeep_is_due (&upkeep[i], is_spread ? HOSTS : 0,
                                            jd_rng_unit (&rng), now_us))
            continue;
          jd_connection_upkeep_opened (&upkeep[i]);
          if (waiting < WAITING_MAX)
            {
              waiting += 1.0;
              connected[i] = true;
              open++;
              continue;
            }
          resets++;
          jd_connection_upkeep_refused (&upkeep[i], jd_rng_unit (&rng), now_us);
        }
    }
  CU_ASSERT_EQUAL (open, HOSTS);
  return resets;
}

/* Guards against targets that reset most connections of a fleet which starts. */
static void
spread_connections_are_accepted (void)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      CU_ASSERT_EQUAL (simulate_resets (true, seed), 0);
      CU_ASSERT_TRUE (simulate_resets (false, seed) > 200);
    }
}

/* Guards against a gap of seconds after each idle timeout in a large fleet, in which a
 * search has to open most of its connections. */
static void
expired_connections_are_renewed_at_once (void)
{
  jd_connection_upkeep_t upkeep = { 0 };
  int64_t now_us = 10 * JD_US_PER_S;
  CU_ASSERT_FALSE (jd_connection_upkeep_is_due (&upkeep, 300, 0.9, now_us));
  jd_connection_upkeep_opened (&upkeep);
  jd_connection_upkeep_expired (&upkeep, now_us);
  CU_ASSERT_TRUE (jd_connection_upkeep_is_due (&upkeep, 300, 0.9, now_us));
  jd_connection_upkeep_refused (&upkeep, 0.9, now_us);
  CU_ASSERT_FALSE (jd_connection_upkeep_is_due (&upkeep, 300, 0.9, now_us));
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "unused services get no connections", unused_services_get_no_connections },
    { "connections of large fleets are spread", connections_of_large_fleets_are_spread },
    { "requests are expected after use", requests_are_expected_after_use },
    { "expired connections are renewed at once",
      expired_connections_are_renewed_at_once },
    { "spread connections are accepted", spread_connections_are_accepted },
  };
  return JD_TEST_RUN ("connection_upkeep", cases);
}
