#pragma once

#include <glib.h>
#include <stdint.h>

#include "membership/lease_defs.h"

/* End of the validity of a vote that a member has not given. */
#define JD_QUORUM_NEVER INT64_MIN

gboolean jd_quorum_is_reached (const gboolean *is_marked, uint32_t count);
int64_t jd_quorum_until_us (const int64_t *until_us, uint32_t count);
