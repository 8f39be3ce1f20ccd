#pragma once

#include <stdbool.h>
#include <stdint.h>

#define JD_TOKEN_TRANSFERS_MAX 64

typedef struct jd_token_transfer
{
  int64_t amount_microtokens;
  int64_t expires_at_us;
} jd_token_transfer_t;

/* Token transfers that have not expired, in order of expiry. A zeroed struct is empty. */
typedef struct jd_token_transfers
{
  jd_token_transfer_t items[JD_TOKEN_TRANSFERS_MAX];
  uint32_t count;
  int64_t total_microtokens;
} jd_token_transfers_t;

bool jd_token_transfers_add (jd_token_transfers_t *transfers, int64_t amount_microtokens,
                             int64_t expires_at_us);
int64_t jd_token_transfers_first_expiry_us (const jd_token_transfers_t *transfers);
int64_t jd_token_transfers_pop (jd_token_transfers_t *transfers);
int64_t jd_token_transfers_consume (jd_token_transfers_t *transfers,
                                    int64_t amount_microtokens);
