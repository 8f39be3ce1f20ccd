#pragma once

#include <glib.h>
#include <stddef.h>

#include "routing/broker_defs.h"

/* Parses the body of a successful reply of a target into the hits of the reply. A fetch
 * yields one hit with the entry; an edit yields one hit with the unmodified confirmation
 * of the target. Returns FALSE if the body violates the target protocol; the reply then
 * has no hits. */
gboolean jd_target_body_parse_hits (jd_work_kind_t kind, const char *text,
                                    size_t length_bytes, jd_target_reply_t *reply);
/* Parses the body of a health reply. Returns FALSE if it has no valid "snapshots". */
gboolean jd_target_body_parse_health (const char *text, size_t length_bytes,
                                      jd_target_health_t *health);
/* Returns TRUE if the body of the reply to a cancellation confirms that the request was
 * stopped. */
gboolean jd_target_body_parse_cancelled (const char *text, size_t length_bytes);
