#include "routing/connection_share.h"

#include <glib.h>

/* Part of a target's connections that hosts plan with. The rest is for connections that
 * are being replaced, and for hosts that are not yet known. */
#define PLANNED_PERCENT 88
/* More connections than a target has slots to fill bring nothing to one host. */
#define HOST_MAX 16
/* A fleet of this many hosts or fewer is assumed to have room for all replicas. */
#define REPLICAS_MIN 2

/* Returns the connections that the plan gives to one target. */
static uint32_t
planned (uint32_t max_connections)
{
  return MAX (max_connections * PLANNED_PERCENT / 100, 1);
}

/* Returns to how many of a service's replicas one host connects. All of them when there
 * is a connection for each host; otherwise as many as the connections of all replicas
 * allow, but two at least, so that a host can turn to another. */
static uint32_t
replicas_per_host (uint32_t max_connections, uint32_t hosts, uint32_t replicas)
{
  if (max_connections == 0 || planned (max_connections) >= hosts)
    return replicas;
  uint32_t fitting
      = (uint32_t)((uint64_t)planned (max_connections) * replicas / MAX (hosts, 1));
  return MIN (MAX (fitting, REPLICAS_MIN), replicas);
}

/* Returns how many connections to one target a host may hold, 1 at least. */
uint32_t
jd_connection_share_limit (uint32_t max_connections, uint32_t hosts, uint32_t replicas)
{
  if (max_connections == 0)
    return HOST_MAX;
  uint32_t held = replicas_per_host (max_connections, hosts, replicas);
  uint64_t sharers = ((uint64_t)MAX (hosts, 1) * held + replicas - 1) / MAX (replicas, 1);
  uint32_t limit = (uint32_t)(planned (max_connections) / MAX (sharers, 1));
  return CLAMP (limit, 1, HOST_MAX);
}

/* TRUE when the host of a rank connects to the replica of an index. Consecutive ranks
 * start at different replicas, so each replica gets an even number of hosts. */
bool
jd_connection_share_includes (uint32_t max_connections, uint32_t hosts, uint32_t replicas,
                              uint32_t rank, uint32_t index)
{
  uint32_t held = replicas_per_host (max_connections, hosts, replicas);
  if (held >= replicas)
    return true;
  return (index + replicas - rank % replicas) % replicas < held;
}
