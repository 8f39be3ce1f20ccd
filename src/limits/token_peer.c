#include "limits/token_peer.h"

#include <string.h>

/* Returns the position of a peer, -1 when it is unknown. */
int32_t
jd_token_peers_find (const jd_token_peers_t *peers, const char *name)
{
  for (uint32_t i = 0; i < peers->count; i++)
    {
      if (strcmp (peers->items[i].name, name) == 0)
        return (int32_t)i;
    }
  return -1;
}
