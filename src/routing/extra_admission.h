#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Decides whether a search is admitted while shards are scarce. A shard is scarce if all
 * of its targets reject a part of the requests although they have free slots: each part
 * then needs extra attempts, of which all hosts together have a limited number. Searches
 * that cannot complete within it use extra attempts for nothing, so fewer are admitted,
 * and those are completed. */

/* One part of a search. */
typedef struct jd_part_need
{
  double extra_attempts; /* That the part needs on average beyond the first one. */
  double available; /* Extra attempts that this host has, or can borrow at its rank. */
  uint32_t attempts_max; /* Most attempts at the part; 0: no limit. */
} jd_part_need_t;

/* Rank of a search among those that compete for extra attempts. */
typedef enum jd_extra_rank
{
  JD_EXTRA_RANK_URGENT, /* No route over the shard is more urgent. */
  JD_EXTRA_RANK_NORMAL,
  JD_EXTRA_RANK_OPTIONAL, /* The answer is good enough without it. */
} jd_extra_rank_t;

bool jd_extra_admission_is_scarce (double extra_attempts);
double jd_extra_admission_limit_share (jd_extra_rank_t rank);
double jd_extra_admission_expected_parts (const jd_part_need_t *parts,
                                          uint32_t part_count);
