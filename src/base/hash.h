#pragma once

#include <stdint.h>

uint64_t jd_hash_text (const char *text, uint64_t seed);
uint64_t jd_hash_pair (const char *first, const char *second);
