#pragma once

#include <stdint.h>

#include "base/name.h"

/* Tokens are counted in millionths, so that shares of a rate need no rounding. */
#define JD_MICROTOKENS INT64_C (1000000)

typedef struct jd_token_ask
{
  jd_name_t organisation;
  uint64_t nonce;
  int64_t amount_microtokens;
  int64_t asked_at_us;      /* Clock of the asker; echoed by the grant. */
  int64_t held_microtokens; /* Of the asker; 0 when requests wait there. */
} jd_token_ask_t;

typedef struct jd_token_grant
{
  jd_name_t organisation;
  uint64_t nonce;
  int64_t amount_microtokens;
  int64_t echoed_asked_at_us;
  int64_t left_microtokens; /* What the giver still holds. */
} jd_token_grant_t;
