#include "routing/connection_share.h"

#include <glib.h>

/* Percentage of a target's connections that is divided among the hosts. The rest is for
 * connections that are being replaced and for hosts that are not known yet. */
#define DIVIDED_PERCENT 88
/* One host gains nothing from more connections to a target than the target has slots. */
#define HOST_CONNECTIONS_MAX 16
/* Each host connects to at least this many replicas, so that it can switch to another. */
#define REPLICAS_MIN 2

/* Returns how many connections to one target are divided among the hosts, 1 at least. */
static uint32_t
divided_connections (uint32_t max_connections)
{
  return MAX (max_connections * DIVIDED_PERCENT / 100, 1);
}

/* Returns to how many of a service's replicas one host connects: to all of them if each
 * target has a connection for each host, otherwise to as many as the connections of all
 * replicas allow, but to two at least. max_connections 0 means no limit. */
uint32_t
jd_connection_quota_replicas (uint32_t max_connections, uint32_t hosts, uint32_t replicas)
{
  if (max_connections == 0 || divided_connections (max_connections) >= hosts)
    return replicas;
  uint32_t affordable = (uint32_t)((uint64_t)divided_connections (max_connections) *
                                   replicas / MAX (hosts, 1));
  return MIN (MAX (affordable, REPLICAS_MIN), replicas);
}

/* Returns how many connections to one target a host may hold, 1 at least.
 * max_connections 0 means no limit. */
uint32_t
jd_connection_quota_limit (uint32_t max_connections, uint32_t hosts, uint32_t replicas)
{
  if (max_connections == 0)
    return HOST_CONNECTIONS_MAX;
  uint32_t held = jd_connection_quota_replicas (max_connections, hosts, replicas);
  uint64_t hosts_per_replica =
      ((uint64_t)MAX (hosts, 1) * held + replicas - 1) / MAX (replicas, 1);
  uint32_t limit =
      (uint32_t)(divided_connections (max_connections) / MAX (hosts_per_replica, 1));
  return CLAMP (limit, 1, HOST_CONNECTIONS_MAX);
}

/* Returns TRUE if a host may keep an idle connection to a service. If its targets accept
 * fewer connections than there are hosts, which is so for the last target of a service in
 * a large fleet, only the first hosts by rank may. The others open connections for their
 * requests only, so that targets accept those. Add a number of the service to the rank,
 * so that these are other hosts for each service. */
bool
jd_connection_quota_keeps_idle (uint32_t max_connections, uint32_t hosts,
                                uint32_t replicas, uint32_t rank)
{
  uint64_t keepers = (uint64_t)divided_connections (max_connections) * replicas;
  return max_connections == 0 || keepers >= hosts || rank % MAX (hosts, 1) < keepers;
}

/* Marks up to wanted replicas whose is_local equals kind, starting at an index that
 * depends on the host's rank, so that hosts are spread evenly over the replicas. Returns
 * the number of marked replicas. */
static uint32_t
mark_replicas (const bool *is_local, bool kind, uint32_t count, uint32_t wanted,
               uint32_t rank, bool *included)
{
  uint32_t kind_count = 0;
  for (uint32_t i = 0; i < count; i++)
    kind_count += is_local[i] == kind;
  if (kind_count == 0)
    return 0;
  uint32_t kind_index = 0, marked_count = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      if (is_local[i] != kind)
        continue;
      included[i] = (kind_index + kind_count - rank % kind_count) % kind_count < wanted;
      marked_count += included[i];
      kind_index++;
    }
  return marked_count;
}

/* Decides to which replicas of a service the host with the given rank connects. It
 * prefers replicas in its own zone, but always includes one in another zone, because a
 * zone can be lost. is_local and included have count elements. */
void
jd_connection_quota_select (const bool *is_local, uint32_t count, uint32_t held,
                            uint32_t rank, bool *included)
{
  uint32_t local_count = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      local_count += is_local[i];
      included[i] = held >= count;
    }
  if (held >= count)
    return;
  uint32_t remote_min = local_count < count && held > 1 ? 1 : 0;
  uint32_t marked_count =
      mark_replicas (is_local, true, count, held - remote_min, rank, included);
  mark_replicas (is_local, false, count, held - marked_count, rank, included);
}
