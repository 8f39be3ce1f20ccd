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
uint32_t
jd_connection_share_replicas (uint32_t max_connections, uint32_t hosts, uint32_t replicas)
{
  if (max_connections == 0 || planned (max_connections) >= hosts)
    return replicas;
  uint32_t fitting =
      (uint32_t)((uint64_t)planned (max_connections) * replicas / MAX (hosts, 1));
  return MIN (MAX (fitting, REPLICAS_MIN), replicas);
}

/* Returns how many connections to one target a host may hold, 1 at least. */
uint32_t
jd_connection_share_limit (uint32_t max_connections, uint32_t hosts, uint32_t replicas)
{
  if (max_connections == 0)
    return HOST_MAX;
  uint32_t held = jd_connection_share_replicas (max_connections, hosts, replicas);
  uint64_t sharers = ((uint64_t)MAX (hosts, 1) * held + replicas - 1) / MAX (replicas, 1);
  uint32_t limit = (uint32_t)(planned (max_connections) / MAX (sharers, 1));
  return CLAMP (limit, 1, HOST_MAX);
}

/* Takes up to wanted replicas of one kind, starting at a place that the rank rotates, so
 * that each replica gets an even number of hosts. Returns how many were taken. */
static uint32_t
mark_kind (const bool *is_local, bool kind, uint32_t count, uint32_t wanted,
           uint32_t rank, bool *included)
{
  uint32_t of_kind = 0;
  for (uint32_t i = 0; i < count; i++)
    of_kind += is_local[i] == kind;
  if (of_kind == 0)
    return 0;
  uint32_t place = 0, taken = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      if (is_local[i] != kind)
        continue;
      included[i] = (place + of_kind - rank % of_kind) % of_kind < wanted;
      taken += included[i];
      place++;
    }
  return taken;
}

/* Decides to which replicas of a service the host of a rank connects. Those of its own
 * zone come first, but one of another zone is always among them, because a zone can be
 * lost. */
void
jd_connection_share_mark (const bool *is_local, uint32_t count, uint32_t held,
                          uint32_t rank, bool *included)
{
  uint32_t near = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      near += is_local[i];
      included[i] = held >= count;
    }
  if (held >= count)
    return;
  uint32_t far_least = near < count && held > 1 ? 1 : 0;
  uint32_t taken = mark_kind (is_local, true, count, held - far_least, rank, included);
  mark_kind (is_local, false, count, held - taken, rank, included);
}
