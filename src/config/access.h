#pragma once

#include "base/name.h"
#include "base/result_code.h"
#include "config/config_store.h"

/* Hex digits of a SHA-256 digest and the terminating NUL. */
#define JD_DIGEST_SIZE 65

/* The request whose access is checked. */
typedef struct jd_access_request
{
  const char *service;
  const char *key; /* NULL if the caller sent none. */
  gboolean is_edit;
  int64_t key_age_us; /* Time since the keys were last confirmed; -1 if never. */
  int64_t key_staleness_limit_us;
} jd_access_request_t;

/* The organisation and key with which a request was admitted. */
typedef struct jd_access
{
  jd_name_t organisation;      /* Empty on open services. */
  char digest[JD_DIGEST_SIZE]; /* Digest of the key; empty on open services. */
} jd_access_t;

jd_result_code_t jd_access_check (jd_config_store_t *store,
                                  const jd_access_request_t *request,
                                  jd_access_t *access);
gboolean jd_access_still_valid (jd_config_store_t *store, const jd_access_t *access);
