#pragma once

#include "membership/lease.h"

/* Decides which seat owns a resource: a target for broker seats, a rate share for entry
 * seats. Resources are named by any text that is the same at all processes. Not thread
 * safe; uses the lease without owning it. */
typedef struct jd_ownership jd_ownership_t;

jd_ownership_t *jd_ownership_new (jd_lease_t *lease, const char *cell);
void jd_ownership_free (jd_ownership_t *ownership);

/* Cells of the own role and zone in the published fleet. */
void jd_ownership_set_cells (jd_ownership_t *ownership, const char *const *cells,
                             uint32_t count, int64_t now_us);

/* Seats of the own cell that vote but never own anything. */
void jd_ownership_set_witnesses (jd_ownership_t *ownership, const char *const *seats,
                                 uint32_t count);

int64_t jd_ownership_valid_until_us (jd_ownership_t *ownership, const char *resource,
                                     int64_t now_us);
gboolean jd_ownership_owns (jd_ownership_t *ownership, const char *resource,
                            int64_t now_us);

const char *jd_ownership_choose (const char *const *names, uint32_t count,
                                 const char *resource);
