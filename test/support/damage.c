#include "support/damage.h"

#include <glib.h>
#include <string.h>

/* Returns the number of corrupted inputs to test: JACKDAW_FUZZ_ROUNDS if it is set,
 * otherwise default_rounds. */
uint64_t
jd_corruption_rounds (uint64_t default_rounds)
{
  const char *text = g_getenv ("JACKDAW_FUZZ_ROUNDS");
  return text ? g_ascii_strtoull (text, NULL, 10) : default_rounds;
}

/* Overwrites bytes at random offsets with random characters of alphabet, or with random
 * bytes if alphabet is NULL. An offset may be drawn more than once. */
void
jd_corrupt_bytes (char *data, size_t size, uint64_t changes, const char *alphabet,
                  const jd_rng_t *rng)
{
  for (uint64_t i = 0; i < changes; i++)
    data[jd_rng_below (rng, size)] = alphabet
                                         ? alphabet[jd_rng_below (rng, strlen (alphabet))]
                                         : (char)jd_rng_below (rng, 256);
}
