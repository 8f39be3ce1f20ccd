#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/name.h"

/* An entry to which token requests may be sent. */
typedef struct jd_token_peer
{
  jd_name_t name;
  bool same_zone;
  int32_t owned_shares; /* Of its zone; -1 when unknown. */
} jd_token_peer_t;

/* The peers of this process. Indices are valid until the peers are replaced. */
typedef struct jd_token_peers
{
  jd_token_peer_t *items;
  uint32_t count;
} jd_token_peers_t;

int32_t jd_token_peers_find (const jd_token_peers_t *peers, const char *name);
