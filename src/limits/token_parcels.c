#include "limits/token_parcels.h"

#include <string.h>

/* Adds an amount; it joins the last parcel when that expires at the same time. Returns
 * false when the list is full. */
bool
jd_token_parcels_add (jd_token_parcels_t *parcels, int64_t amount_microtokens,
                      int64_t expires_at_us)
{
  jd_token_parcel_t *last = parcels->count ? &parcels->items[parcels->count - 1] : NULL;
  if (last && last->expires_at_us == expires_at_us)
    {
      last->amount_microtokens += amount_microtokens;
      parcels->total_microtokens += amount_microtokens;
      return true;
    }
  if (parcels->count == JD_TOKEN_PARCELS_MAX)
    return false;
  uint32_t at = parcels->count++;
  for (; at > 0 && parcels->items[at - 1].expires_at_us > expires_at_us; at--)
    parcels->items[at] = parcels->items[at - 1];
  parcels->items[at] = (jd_token_parcel_t){ amount_microtokens, expires_at_us };
  parcels->total_microtokens += amount_microtokens;
  return true;
}

/* Returns the expiry of the earliest parcel, INT64_MAX without one. */
int64_t
jd_token_parcels_first_expiry_us (const jd_token_parcels_t *parcels)
{
  return parcels->count ? parcels->items[0].expires_at_us : INT64_MAX;
}

/* Removes the earliest parcel and returns its amount. */
int64_t
jd_token_parcels_pop (jd_token_parcels_t *parcels)
{
  if (parcels->count == 0)
    return 0;
  int64_t amount = parcels->items[0].amount_microtokens;
  parcels->count--;
  memmove (parcels->items, parcels->items + 1,
           parcels->count * sizeof (parcels->items[0]));
  parcels->total_microtokens -= amount;
  return amount;
}

/* Takes up to an amount, earliest parcels first. Returns what was taken. */
int64_t
jd_token_parcels_take (jd_token_parcels_t *parcels, int64_t amount_microtokens)
{
  int64_t taken = 0;
  while (parcels->count > 0 && taken < amount_microtokens)
    {
      jd_token_parcel_t *first = &parcels->items[0];
      int64_t rest = amount_microtokens - taken;
      if (first->amount_microtokens > rest)
        {
          first->amount_microtokens -= rest;
          parcels->total_microtokens -= rest;
          return amount_microtokens;
        }
      taken += jd_token_parcels_pop (parcels);
    }
  return taken;
}
