#include "base/rng.h"

#include <Random123/philox.h>
#include <sys/random.h>

#include "base/clock.h"

/* Generator callback. Encrypts the counter, so each output depends only on the seed, the
 * stream and the position in the stream. */
static uint64_t
philox_next (void *context)
{
  jd_philox_t *state = context;
  philox4x32_ctr_t counter = {
    { (uint32_t)state->counter, (uint32_t)(state->counter >> 32), (uint32_t)state->stream,
      (uint32_t)(state->stream >> 32) }
  };
  philox4x32_key_t key = { { (uint32_t)state->seed, (uint32_t)(state->seed >> 32) } };
  philox4x32_ctr_t out = philox4x32 (counter, key);
  state->counter++;
  return ((uint64_t)out.v[0] << 32) | out.v[1];
}

/* Returns a generator that advances a Philox state, which must outlive it. */
jd_rng_t
jd_philox_rng (jd_philox_t *state)
{
  return (jd_rng_t){ .next = philox_next, .context = state };
}

/* Returns 64 random bits. */
uint64_t
jd_rng_next (const jd_rng_t *rng)
{
  return rng->next (rng->context);
}

/* Returns a random number in [0, bound), or 0 for a bound of 0. The modulo bias is below
 * 2^-32 for the bounds in use (under 2^32). */
uint64_t
jd_rng_below (const jd_rng_t *rng, uint64_t bound)
{
  return bound ? jd_rng_next (rng) % bound : 0;
}

/* Returns a random number in [0, 1). */
double
jd_rng_unit (const jd_rng_t *rng)
{
  return (double)(jd_rng_next (rng) >> 11) * 0x1.0p-53;
}

/* Returns a random seed from the operating system, or the wall-clock time if the system
 * provides none. */
uint64_t
jd_entropy (void)
{
  uint64_t value = 0;
  if (getrandom (&value, sizeof (value), 0) != (ssize_t)sizeof (value))
    value = (uint64_t)jd_wall_time_us ();
  return value;
}
