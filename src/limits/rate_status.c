#include "limits/rate_status.h"

#include <inttypes.h>

#include "limits/token_defs.h"

/* Appends " key=amount" in tokens with three decimal places, rounded down. */
static void
append_tokens (GString *text, const char *key, int64_t amount)
{
  int64_t thousandths = amount / (JD_MICROTOKENS / 1000);
  g_string_append_printf (text, " %s=%" PRId64 ".%03" PRId64, key, thousandths / 1000,
                          thousandths % 1000);
}

/* Appends one line of key=value pairs. Token amounts are in tokens, not microtokens. */
void
jd_rate_status_render (const jd_rate_status_t *status, GString *text)
{
  g_string_append_printf (text, "organisation=%s", status->organisation);
  append_tokens (text, "held", status->held);
  append_tokens (text, "received", status->received);
  append_tokens (text, "in_flight", status->in_flight);
  append_tokens (text, "capacity", status->capacity);
  append_tokens (text, "generation_per_s", status->generation_per_s);
  append_tokens (text, "demand_per_s", status->demand_per_s);
  append_tokens (text, "discarded", status->totals.discarded);
  g_string_append_printf (
      text, " waiting=%u admitted=%" PRIu64 " refused=%" PRIu64 " waited=%" PRIu64,
      status->waiting, status->admitted, status->refused, status->waited);
  g_string_append_printf (
      text, " asks_sent=%" PRIu64 " grants_sent=%" PRIu64 " grants_dropped=%" PRIu64 "\n",
      status->token_requests_sent, status->grants_sent, status->grants_dropped);
}
