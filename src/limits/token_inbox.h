#pragma once

#include <glib.h>

#include "base/name.h"
#include "limits/token_defs.h"

typedef struct jd_inbox_ask
{
  jd_name_t from;
  jd_token_ask_t ask;
} jd_inbox_ask_t;

typedef struct jd_inbox_grant
{
  jd_name_t from;
  jd_token_grant_t grant;
} jd_inbox_grant_t;

/* Messages that wait for a clock reading made after their receipt. */
typedef struct jd_token_inbox
{
  GArray *asks;
  GArray *grants;
  uint64_t dropped; /* More than the inbox holds. */
} jd_token_inbox_t;

void jd_token_inbox_init (jd_token_inbox_t *inbox);
void jd_token_inbox_clear (jd_token_inbox_t *inbox);
void jd_token_inbox_reset (jd_token_inbox_t *inbox);
void jd_token_inbox_put_ask (jd_token_inbox_t *inbox, const char *from,
                             const jd_token_ask_t *ask);
void jd_token_inbox_put_grant (jd_token_inbox_t *inbox, const char *from,
                               const jd_token_grant_t *grant);
uint32_t jd_token_inbox_count (const jd_token_inbox_t *inbox);
