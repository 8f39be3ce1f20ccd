#pragma once

#include "base/rng.h"
#include "membership/peer_table.h"

/* A host to which this host sends a message that is meant for all hosts. */
typedef struct jd_peer_receiver
{
  uint32_t ip;
  bool is_relay; /* It forwards the message to the other hosts of its zone. */
} jd_peer_receiver_t;

uint32_t jd_peer_spread_choose (const jd_peer_table_t *table, const jd_rng_t *rng,
                                jd_peer_receiver_t *receivers, uint32_t max,
                                int64_t now_us);
