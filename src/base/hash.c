#include "base/hash.h"

#include <string.h>
#include <xxhash.h>

/* Hashes a text with xxHash64. */
uint64_t
jd_hash_text (const char *text, uint64_t seed)
{
  return XXH64 (text, strlen (text), seed);
}

/* Hashes an ordered pair of texts; used for rendezvous hashing. */
uint64_t
jd_hash_pair (const char *first, const char *second)
{
  return jd_hash_text (second, jd_hash_text (first, 0));
}
