#include "membership/peer_spread.h"

#include <string.h>

/* Answers the load of a large fleet: traffic between zones is billed, and a message that
 * goes to each host of the other zones costs as many copies as they have hosts. A copy to
 * one host of each zone costs as many as there are zones. */

/* Zones of up to this many live hosts get the message directly, because a relay would
 * save little and could fail. */
#define DIRECT_HOSTS_MAX 4U
/* The hosts of further zones get the message directly. */
#define RELAYED_ZONES_MAX 32U

typedef struct jd_zone_relay
{
  const char *zone;
  uint32_t host_count;
  uint32_t candidate_count; /* Hosts that are not leaving. */
  uint32_t relay_ip;
  uint32_t first_ips[DIRECT_HOSTS_MAX];
} jd_zone_relay_t;

typedef struct jd_spread
{
  const jd_rng_t *rng;
  const char *own_zone;
  jd_zone_relay_t zones[RELAYED_ZONES_MAX];
  uint32_t zone_count;
  jd_peer_receiver_t *receivers;
  uint32_t count;
  uint32_t max;
} jd_spread_t;

/* Adds a receiver, unless there are max of them. */
static void
add_receiver (jd_spread_t *spread, uint32_t ip, bool is_relay)
{
  if (spread->count < spread->max)
    spread->receivers[spread->count++] =
        (jd_peer_receiver_t){ .ip = ip, .is_relay = is_relay };
}

/* Returns the entry of another zone, or NULL if there is no room for it. */
static jd_zone_relay_t *
find_zone (jd_spread_t *spread, const char *zone)
{
  for (uint32_t i = 0; i < spread->zone_count; i++)
    {
      if (strcmp (spread->zones[i].zone, zone) == 0)
        return &spread->zones[i];
    }
  if (spread->zone_count == RELAYED_ZONES_MAX)
    return NULL;
  jd_zone_relay_t *added = &spread->zones[spread->zone_count++];
  added->zone = zone;
  return added;
}

/* Peer table visitor: adds a host of the own zone, and counts one of another zone. */
static void
visit_peer (void *context, const jd_peer_t *peer)
{
  jd_spread_t *spread = context;
  jd_zone_relay_t *zone = strcmp (peer->state.zone, spread->own_zone) == 0
                              ? NULL
                              : find_zone (spread, peer->state.zone);
  if (!zone)
    {
      add_receiver (spread, peer->state.ip, false);
      return;
    }
  if (zone->host_count < DIRECT_HOSTS_MAX)
    zone->first_ips[zone->host_count] = peer->state.ip;
  zone->host_count++;
  /* Each candidate is chosen with the same probability. */
  if (!peer->state.leaving && jd_rng_below (spread->rng, ++zone->candidate_count) == 0)
    zone->relay_ip = peer->state.ip;
}

/* Chooses the hosts to which a message for all live hosts is sent: the hosts of this
 * zone, and a random one of each other zone, which forwards it there. The relay is
 * another one for each message, so that a host which is frozen or cut off loses few of
 * them. Writes at most max receivers and returns their number. */
uint32_t
jd_peer_spread_choose (const jd_peer_table_t *table, const jd_rng_t *rng,
                       jd_peer_receiver_t *receivers, uint32_t max, int64_t now_us)
{
  jd_spread_t spread = { .rng = rng,
                         .own_zone = jd_peer_table_own_zone (table),
                         .receivers = receivers,
                         .max = max };
  jd_peer_table_each_live (table, visit_peer, &spread, now_us);
  for (uint32_t i = 0; i < spread.zone_count; i++)
    {
      const jd_zone_relay_t *zone = &spread.zones[i];
      if (zone->host_count > DIRECT_HOSTS_MAX && zone->candidate_count > 0)
        {
          add_receiver (&spread, zone->relay_ip, true);
          continue;
        }
      for (uint32_t k = 0; k < MIN (zone->host_count, DIRECT_HOSTS_MAX); k++)
        add_receiver (&spread, zone->first_ips[k], false);
    }
  return spread.count;
}
