#include "limits/token_peer.h"

#include <string.h>

/* Returns the index of the named peer, or -1 if it is unknown. */
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
