#pragma once

#include <glib.h>

#include "base/name.h"
#include "limits/token_defs.h"

typedef struct jd_inbox_token_request
{
  jd_name_t from;
  jd_token_request_t token_request;
} jd_inbox_token_request_t;

typedef struct jd_inbox_grant
{
  jd_name_t from;
  jd_token_grant_t grant;
} jd_inbox_grant_t;

/* Received messages that have to be handled with a clock reading made after their
 * receipt. */
typedef struct jd_token_inbox
{
  GArray *token_requests;
  GArray *grants;
  uint64_t dropped; /* Messages received while the inbox was full. */
} jd_token_inbox_t;

void jd_token_inbox_init (jd_token_inbox_t *inbox);
void jd_token_inbox_clear (jd_token_inbox_t *inbox);
void jd_token_inbox_reset (jd_token_inbox_t *inbox);
void jd_token_inbox_put_request (jd_token_inbox_t *inbox, const char *from,
                                 const jd_token_request_t *token_request);
void jd_token_inbox_put_grant (jd_token_inbox_t *inbox, const char *from,
                               const jd_token_grant_t *grant);
uint32_t jd_token_inbox_count (const jd_token_inbox_t *inbox);
