#pragma once

#include <stddef.h>
#include <stdint.h>

#include "base/rng.h"

uint64_t jd_corruption_rounds (uint64_t default_rounds);
void jd_corrupt_bytes (char *data, size_t size, uint64_t changes, const char *alphabet,
                       const jd_rng_t *rng);
