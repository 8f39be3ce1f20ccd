#include "base/hash.h"

#include <string.h>
#include <xxhash.h>

/* Returns the xxHash64 of a string. */
uint64_t
jd_hash_text (const char *text, uint64_t seed)
{
  return XXH64 (text, strlen (text), seed);
}

/* Returns a hash of an ordered pair of strings, used as the score in rendezvous
 * hashing. */
uint64_t
jd_hash_pair (const char *first, const char *second)
{
  return jd_hash_text (second, jd_hash_text (first, 0));
}
