#include "routing/connection_share.h"

#include <glib.h>

#include "support/test_main.h"

/* Guards against targets that get more connections than they accept: over fleets of many
 * sizes, with replicas in three zones, no replica's hosts hold more together than its
 * limit, and each host holds two replicas at least, one of them outside its zone. Seen
 * with 86 hosts, 3 replicas and 65 connections, where targets reset 49,882. */
static void
hosts_together_stay_under_the_limit (void)
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
          jd_connection_share_limit (fleets[f].max_connections, hosts, count);
      uint32_t held =
          jd_connection_share_replicas (fleets[f].max_connections, hosts, count);
      uint32_t connections[8] = { 0 };
      for (uint32_t rank = 0; rank < hosts; rank++)
        {
          bool is_local[8], included[8];
          uint32_t zone = rank * 3 / hosts, kept = 0, far = 0;
          for (uint32_t i = 0; i < count; i++)
            is_local[i] = i % 3 == zone;
          jd_connection_share_mark (is_local, count, held, rank, included);
          for (uint32_t i = 0; i < count; i++)
            {
              connections[i] += included[i] ? limit : 0;
              kept += included[i];
              far += included[i] && !is_local[i];
            }
          CU_ASSERT_TRUE (kept >= MIN (count, 2));
          CU_ASSERT_TRUE (far >= 1);
        }
      for (uint32_t i = 0; i < count; i++)
        CU_ASSERT_TRUE (connections[i] <= fleets[f].max_connections);
    }
}

/* Guards against a host without connections where a service states no limit. */
static void
no_stated_limit (void)
{
  CU_ASSERT_TRUE (jd_connection_share_limit (0, 10, 3) >= 1);
  CU_ASSERT_EQUAL (jd_connection_share_replicas (0, 1000, 3), 3);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "hosts together stay under the limit", hosts_together_stay_under_the_limit },
    { "no stated limit", no_stated_limit },
  };
  return JD_TEST_RUN ("connection_share", cases);
}
