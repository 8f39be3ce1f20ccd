#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/name.h"

/* An entry that may be asked for tokens. */
typedef struct jd_token_peer
{
  jd_name_t name;
  bool same_zone;
  int32_t owned_shares; /* Of its zone; -1 when unknown. */
} jd_token_peer_t;

/* The peers of this process. Their order is kept until they are set again. */
typedef struct jd_token_peers
{
  jd_token_peer_t *items;
  uint32_t count;
} jd_token_peers_t;

int32_t jd_token_peers_find (const jd_token_peers_t *peers, const char *name);
