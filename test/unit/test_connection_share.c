#include "routing/connection_share.h"

#include <glib.h>

#include "support/test_main.h"

/* Guards against more connections to a target than it accepts: with 86 hosts, 3 replicas
 * and a limit of 65 connections, targets reset 49,882 connections. For fleets of several
 * sizes, with replicas in three zones, all hosts together stay within the limit of each
 * replica, and each host connects to at least two replicas, one of them outside its
 * zone. */
static void
hosts_together_stay_within_the_limit (void)
{
  static const struct
  {
    uint32_t hosts, replicas, max_connections;
  } fleets[] = { { 9, 2, 26 }, { 86, 3, 65 },  { 80, 3, 62 },
                 { 7, 2, 26 }, { 12, 5, 110 }, { 102, 3, 80 } };
  for (size_t f = 0; f < G_N_ELEMENTS (fleets); f++)
    {
      uint32_t hosts = fleets[f].hosts, count = fleets[f].replicas;
      uint32_t limit =
          jd_connection_quota_limit (fleets[f].max_connections, hosts, count);
      uint32_t held =
          jd_connection_quota_replicas (fleets[f].max_connections, hosts, count);
      uint32_t connections[8] = { 0 };
      for (uint32_t rank = 0; rank < hosts; rank++)
        {
          bool is_local[8], included[8];
          uint32_t zone = rank * 3 / hosts, replica_count = 0, remote_count = 0;
          for (uint32_t i = 0; i < count; i++)
            is_local[i] = i % 3 == zone;
          jd_connection_quota_select (is_local, count, held, rank, included);
          for (uint32_t i = 0; i < count; i++)
            {
              connections[i] += included[i] ? limit : 0;
              replica_count += included[i];
              remote_count += included[i] && !is_local[i];
            }
          CU_ASSERT_TRUE (replica_count >= MIN (count, 2));
          CU_ASSERT_TRUE (remote_count >= 1);
        }
      for (uint32_t i = 0; i < count; i++)
        CU_ASSERT_TRUE (connections[i] <= fleets[f].max_connections);
    }
}

/* Guards against idle connections of all hosts to the last target of a service, which
 * accepts fewer: targets reset 313,821 connections of 295 hosts after a sixth of the
 * targets had left (lamplight-search-large trouble-1). As many hosts as the targets
 * accept may keep one, and with enough room all of them. */
static void
few_targets_do_not_get_idle_connections_of_all_hosts (void)
{
  static const struct
  {
    uint32_t hosts, replicas, max_connections, keepers_min, keepers_max;
  } fleets[] = { { 295, 1, 175, 140, 175 },
                 { 295, 2, 175, 295, 295 },
                 { 1200, 2, 175, 280, 350 },
                 { 9, 1, 26, 9, 9 },
                 { 40, 1, 0, 40, 40 } };
  for (size_t f = 0; f < G_N_ELEMENTS (fleets); f++)
    {
      for (uint32_t service = 0; service < 5; service++)
        {
          uint32_t keepers = 0;
          for (uint32_t rank = 0; rank < fleets[f].hosts; rank++)
            keepers += jd_connection_quota_keeps_idle (
                fleets[f].max_connections, fleets[f].hosts, fleets[f].replicas,
                rank + service * 1000);
          CU_ASSERT_TRUE (keepers >= fleets[f].keepers_min &&
                          keepers <= fleets[f].keepers_max);
        }
    }
}

/* Guards against a host that opens no connections if a service has no limit. */
static void
service_without_a_limit (void)
{
  CU_ASSERT_TRUE (jd_connection_quota_limit (0, 10, 3) >= 1);
  CU_ASSERT_EQUAL (jd_connection_quota_replicas (0, 1000, 3), 3);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "hosts together stay within the limit", hosts_together_stay_within_the_limit },
    { "few targets do not get idle connections of all hosts",
      few_targets_do_not_get_idle_connections_of_all_hosts },
    { "service without a limit", service_without_a_limit },
  };
  return JD_TEST_RUN ("connection_share", cases);
}
