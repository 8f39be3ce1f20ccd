#include "limits/rate_counters.h"

#include "limits/token_defs.h"

/* Sets the counter rate.ORGANISATION.KEY. */
static void
set_counter (jd_counters_t *counters, const char *organisation, const char *key,
             uint64_t value)
{
  char *name = g_strdup_printf ("rate.%s.%s", organisation, key);
  jd_counter_set (jd_counters_get (counters, name), value);
  g_free (name);
}

/* Sets the counters of one organisation. Token amounts are rounded down to whole
 * tokens. */
static void
set_organisation (jd_counters_t *counters, const jd_rate_status_t *status)
{
  const char *name = status->organisation;
  set_counter (counters, name, "admitted", status->admitted);
  set_counter (counters, name, "refused", status->refused);
  set_counter (counters, name, "waited", status->waited);
  set_counter (counters, name, "waiting", status->waiting);
  set_counter (counters, name, "asks_sent", status->token_requests_sent);
  set_counter (counters, name, "grants_sent", status->grants_sent);
  set_counter (counters, name, "grants_dropped", status->grants_dropped);
  set_counter (counters, name, "tokens_held", (uint64_t)(status->held / JD_MICROTOKENS));
  set_counter (counters, name, "tokens_discarded",
               (uint64_t)(status->totals.discarded / JD_MICROTOKENS));
}

/* Copies the status of all organisations to the metric counters. Must be called before
 * the counters are rendered. */
void
jd_rate_counters_update (jd_rate_limiter_t *limiter, int64_t now_us,
                         jd_counters_t *counters)
{
  jd_rate_status_t status;
  for (uint32_t i = 0; jd_rate_limiter_status (limiter, now_us, i, &status); i++)
    set_organisation (counters, &status);
}
