#include "limits/token_parcels.h"

#include <string.h>

/* Adds a transfer, or adds its amount to the last transfer if both expire at the same
 * time. The list is ordered by expiry time. Returns FALSE if it is full. */
bool
jd_token_transfers_add (jd_token_transfers_t *transfers, int64_t amount_microtokens,
                        int64_t expires_at_us)
{
  jd_token_transfer_t *last =
      transfers->count ? &transfers->items[transfers->count - 1] : NULL;
  if (last && last->expires_at_us == expires_at_us)
    {
      last->amount_microtokens += amount_microtokens;
      transfers->total_microtokens += amount_microtokens;
      return true;
    }
  if (transfers->count == JD_TOKEN_TRANSFERS_MAX)
    return false;
  uint32_t at = transfers->count++;
  for (; at > 0 && transfers->items[at - 1].expires_at_us > expires_at_us; at--)
    transfers->items[at] = transfers->items[at - 1];
  transfers->items[at] = (jd_token_transfer_t){ amount_microtokens, expires_at_us };
  transfers->total_microtokens += amount_microtokens;
  return true;
}

/* Returns the earliest expiry time, or INT64_MAX if there are no transfers. */
int64_t
jd_token_transfers_first_expiry_us (const jd_token_transfers_t *transfers)
{
  return transfers->count ? transfers->items[0].expires_at_us : INT64_MAX;
}

/* Removes the transfer that expires first and returns its amount, 0 if there is none. */
int64_t
jd_token_transfers_pop (jd_token_transfers_t *transfers)
{
  if (transfers->count == 0)
    return 0;
  int64_t amount = transfers->items[0].amount_microtokens;
  transfers->count--;
  memmove (transfers->items, transfers->items + 1,
           transfers->count * sizeof (transfers->items[0]));
  transfers->total_microtokens -= amount;
  return amount;
}

/* Consumes up to amount_microtokens, from the transfers that expire first. Returns the
 * consumed amount. */
int64_t
jd_token_transfers_consume (jd_token_transfers_t *transfers, int64_t amount_microtokens)
{
  int64_t consumed = 0;
  while (transfers->count > 0 && consumed < amount_microtokens)
    {
      jd_token_transfer_t *first = &transfers->items[0];
      int64_t rest = amount_microtokens - consumed;
      if (first->amount_microtokens > rest)
        {
          first->amount_microtokens -= rest;
          transfers->total_microtokens -= rest;
          return amount_microtokens;
        }
      consumed += jd_token_transfers_pop (transfers);
    }
  return consumed;
}
