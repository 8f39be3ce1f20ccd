#pragma once

#include "membership/lease.h"

/* Decides which member owns a resource: a target for brokers, a rate share for entries. A
 * resource name may be any text that is the same in all processes. Not thread safe; does
 * not own the lease, which must outlive it. */
typedef struct jd_ownership jd_ownership_t;

jd_ownership_t *jd_ownership_new (jd_lease_t *lease, const char *own_group);
void jd_ownership_free (jd_ownership_t *ownership);

/* Sets the groups of the own role and zone in the published fleet. */
void jd_ownership_set_groups (jd_ownership_t *ownership, const char *const *groups,
                              uint32_t count, int64_t now_us);

/* Sets the members of the own group that are voting-only: they own no resources. */
void jd_ownership_set_voting_only (jd_ownership_t *ownership, const char *const *members,
                                   uint32_t count);

int64_t jd_ownership_valid_until_us (jd_ownership_t *ownership, const char *resource,
                                     int64_t now_us);
gboolean jd_ownership_owns (jd_ownership_t *ownership, const char *resource,
                            int64_t now_us);

const char *jd_ownership_choose (const char *const *names, uint32_t count,
                                 const char *resource);
