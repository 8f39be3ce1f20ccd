#pragma once

#include <glib.h>
#include <stddef.h>

#include "routing/broker_defs.h"

/* Reads the body of a successful reply of a target into the hits of the reply. A fetch
 * and an edit give one hit: the entry, or the confirmation as the target wrote it.
 * Returns FALSE when the body is not as published; the reply then has no hits. */
gboolean jd_target_body_hits (jd_work_kind_t kind, const char *text, size_t length_bytes,
                              jd_target_reply_t *reply);
/* Reads the body of a health reply. */
gboolean jd_target_body_health (const char *text, size_t length_bytes,
                                jd_target_health_t *health);
/* TRUE when the body of a cancellation says that the request was stopped. */
gboolean jd_target_body_cancelled (const char *text, size_t length_bytes);
