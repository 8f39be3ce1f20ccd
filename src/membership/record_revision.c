#include "membership/record_revision.h"

#include "base/invariant.h"

#define NUMBER_BITS 44

/* Returns the position of a revision number, at most JD_REVISION_NUMBER_MAX, in a
 * generation of the store, at most JD_REVISION_GENERATION_MAX. */
int64_t
jd_record_revision (uint32_t generation, int64_t number)
{
  JD_INVARIANT (revision_in_range, generation <= JD_REVISION_GENERATION_MAX &&
                                       number >= 0 && number <= JD_REVISION_NUMBER_MAX);
  return (int64_t)generation << NUMBER_BITS | number;
}

/* Returns the generation of a position; 0 if the position is negative, which stands for
 * none. */
uint32_t
jd_record_revision_generation (int64_t revision)
{
  return revision < 0 ? 0 : (uint32_t)(revision >> NUMBER_BITS);
}

/* Returns the revision number of a position within its generation. */
int64_t
jd_record_revision_number (int64_t revision)
{
  return revision < 0 ? revision : revision & JD_REVISION_NUMBER_MAX;
}
