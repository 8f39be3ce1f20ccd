#pragma once

#include <stdint.h>

#define JD_CALL_METER_SLOTS 20

/* Counts calls and their rate over the last second, in a ring of time slots that
 * are numbered from time 0. A struct of zeros is an empty meter. */
typedef struct jd_call_meter
{
  uint64_t total;
  uint64_t peak_per_s;
  int64_t slot_numbers[JD_CALL_METER_SLOTS]; /* Slot that a count belongs to. */
  uint64_t slot_counts[JD_CALL_METER_SLOTS];
} jd_call_meter_t;

void jd_call_meter_add (jd_call_meter_t *meter, int64_t now_us);
uint64_t jd_call_meter_rate (const jd_call_meter_t *meter, int64_t now_us);
