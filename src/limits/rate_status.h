#pragma once

#include <glib.h>
#include <stdint.h>

#include "base/name.h"
#include "limits/rate_share.h"

/* Status of one organisation in one process, as shown to operators. Amounts are
 * microtokens. */
typedef struct jd_rate_status
{
  jd_name_t organisation;
  int64_t held;      /* Own tokens, without received ones. */
  int64_t received;  /* Received from peers, not yet expired. */
  int64_t in_flight; /* Granted to peers and not yet expired. */
  int64_t capacity;
  int64_t generation_per_s;
  int64_t demand_per_s;
  uint32_t waiting;
  uint64_t admitted;
  uint64_t refused;
  uint64_t waited; /* Admitted or refused after a wait. */
  uint64_t token_requests_sent;
  uint64_t grants_sent;
  uint64_t grants_dropped;
  jd_token_totals_t totals;
} jd_rate_status_t;

void jd_rate_status_render (const jd_rate_status_t *status, GString *text);
