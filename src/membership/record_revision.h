#pragma once

#include <glib.h>
#include <stdint.h>

/* Position of a change among all published records: the generation of the store, and the
 * store's revision number in it. A store that returns from an older copy of its records
 * starts a new generation and gives out revision numbers again. Packed into one number,
 * positions of a later generation are greater, whatever their revision numbers. */

/* Greatest revision number in a generation. At 10,000 changes a second it is reached
 * after 55 years. */
#define JD_REVISION_NUMBER_MAX ((INT64_C (1) << 44) - 1)
/* Greatest generation. With one a day it is reached after 1,400 years. */
#define JD_REVISION_GENERATION_MAX ((UINT32_C (1) << 19) - 1)

int64_t jd_record_revision (uint32_t generation, int64_t number);
uint32_t jd_record_revision_generation (int64_t revision);
int64_t jd_record_revision_number (int64_t revision);
