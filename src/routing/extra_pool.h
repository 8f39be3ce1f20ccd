#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Extra attempts at one service by all hosts together, as far as this host has heard. The
 * platform bounds their sum in a window. A host whose own share of that is used up
 * borrows while the others leave most of it unused. All zero lends nothing. */
typedef struct jd_extra_pool
{
  double used; /* By all hosts in the window; older ones count less. */
  int64_t used_us;
  int64_t window_us;
  double borrow_limit; /* Nothing is lent once this many are used. */
  uint32_t untold;     /* Own ones that the others have not heard of. */
} jd_extra_pool_t;

/* What the platform bears beyond a part of the requests, and who shares it. */
typedef struct jd_extra_slack
{
  uint32_t slack; /* Extra requests of all hosts at a service in a window. */
  int64_t window_us;
  uint32_t hosts;    /* That may be serving. */
  uint32_t live;     /* Those that are heard, this one included. */
  bool knows_window; /* This host has heard of others for a whole window. */
} jd_extra_slack_t;

/* One host's shares of it. */
typedef struct jd_extra_shares
{
  double slack_per_s;
  double reserve; /* Most that is saved up. */
  double borrow_limit;
} jd_extra_shares_t;

jd_extra_shares_t jd_extra_shares (const jd_extra_slack_t *slack);
void jd_extra_pool_set_limit (jd_extra_pool_t *pool, double borrow_limit,
                              int64_t window_us);
bool jd_extra_pool_lends (const jd_extra_pool_t *pool, int64_t now_us);
void jd_extra_pool_note_own (jd_extra_pool_t *pool, int64_t now_us);
void jd_extra_pool_hear (jd_extra_pool_t *pool, uint32_t count, int64_t now_us);
uint32_t jd_extra_pool_tell (jd_extra_pool_t *pool);
