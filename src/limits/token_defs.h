#pragma once

#include <stdint.h>

#include "base/name.h"

/* Microtokens per token. Amounts are in microtokens, so that shares of a rate need no
 * rounding to whole tokens. */
#define JD_MICROTOKENS INT64_C (1000000)

typedef struct jd_token_request
{
  jd_name_t organisation;
  uint64_t nonce;
  int64_t amount_microtokens;
  int64_t sent_at_us;       /* Clock of the requester; the grant echoes it. */
  int64_t held_microtokens; /* Own tokens of the requester; 0 if requests wait there. */
} jd_token_request_t;

typedef struct jd_token_grant
{
  jd_name_t organisation;
  uint64_t nonce;
  int64_t amount_microtokens;
  int64_t echoed_sent_at_us;
  int64_t remaining_microtokens; /* Own tokens left at the sender of the grant. */
} jd_token_grant_t;
