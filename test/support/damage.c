#include "support/damage.h"

#include <glib.h>
#include <string.h>

/* Returns the number of damaged inputs to try: the usual one, or what
 * JACKDAW_FUZZ_ROUNDS asks for. */
uint64_t
jd_damage_rounds (uint64_t usual)
{
  const char *text = g_getenv ("JACKDAW_FUZZ_ROUNDS");
  return text ? g_ascii_strtoull (text, NULL, 10) : usual;
}

/* Puts random bytes, or characters of an alphabet, at random places. */
void
jd_damage_bytes (char *data, size_t size, uint64_t changes, const char *alphabet,
                 const jd_rng_t *rng)
{
  for (uint64_t i = 0; i < changes; i++)
    data[jd_rng_below (rng, size)] = alphabet
                                         ? alphabet[jd_rng_below (rng, strlen (alphabet))]
                                         : (char)jd_rng_below (rng, 256);
}
