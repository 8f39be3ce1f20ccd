#pragma once

#include <stdbool.h>
#include <stdint.h>

#define JD_TOKEN_PARCELS_MAX 64

typedef struct jd_token_parcel
{
  int64_t amount_microtokens;
  int64_t expires_at_us;
} jd_token_parcel_t;

/* Amounts of tokens that expire, earliest first. All zero is empty. */
typedef struct jd_token_parcels
{
  jd_token_parcel_t items[JD_TOKEN_PARCELS_MAX];
  uint32_t count;
  int64_t total_microtokens;
} jd_token_parcels_t;

bool jd_token_parcels_add (jd_token_parcels_t *parcels, int64_t amount_microtokens,
                           int64_t expires_at_us);
int64_t jd_token_parcels_first_expiry_us (const jd_token_parcels_t *parcels);
int64_t jd_token_parcels_pop (jd_token_parcels_t *parcels);
int64_t jd_token_parcels_take (jd_token_parcels_t *parcels, int64_t amount_microtokens);
