#include "stand_ins/call_meter.h"

#include "base/clock.h"

#define SLOT_US (JD_US_PER_S / JD_CALL_METER_SLOTS)

/* Counts one call and updates the peak rate. now_us must not decrease between calls. */
void
jd_call_meter_add (jd_call_meter_t *meter, int64_t now_us)
{
  int64_t number = now_us / SLOT_US;
  int64_t slot = number % JD_CALL_METER_SLOTS;
  if (meter->slot_numbers[slot] != number)
    {
      meter->slot_numbers[slot] = number;
      meter->slot_counts[slot] = 0;
    }
  meter->slot_counts[slot]++;
  meter->total++;
  uint64_t rate = jd_call_meter_rate (meter, now_us);
  if (rate > meter->peak_per_s)
    meter->peak_per_s = rate;
}

/* Returns the number of calls in the last second, with a resolution of 50 ms. */
uint64_t
jd_call_meter_rate (const jd_call_meter_t *meter, int64_t now_us)
{
  int64_t oldest = now_us / SLOT_US - JD_CALL_METER_SLOTS;
  uint64_t rate = 0;
  for (int i = 0; i < JD_CALL_METER_SLOTS; i++)
    {
      if (meter->slot_numbers[i] > oldest)
        rate += meter->slot_counts[i];
    }
  return rate;
}
