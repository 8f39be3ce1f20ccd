#include "base/result_code.h"

#include <stddef.h>

/* Client libraries automatically retry a request only after status 429 or 503, so an edit
 * gets these only if it was refused and did not run. An edit with an unknown outcome gets
 * 504, which client libraries do not retry for POST. */
static const jd_result_info_t result_table[] = {
  { JD_OK, "ok", 200, "" },
  { JD_PARTIAL, "partial", 200, "Some shards did not answer in time; see coverage." },
  { JD_BAD_REQUEST, "bad_request", 400, "Correct the parameter named in the message." },
  { JD_BAD_JSON, "bad_json", 400, "Send a JSON object as the request body." },
  { JD_BODY_TOO_LARGE, "body_too_large", 413, "Send a smaller body." },
  { JD_UNKNOWN_SERVICE, "unknown_service", 404, "Use the name of a published service." },
  { JD_UNKNOWN_ROUTE, "unknown_route", 404, "See docs/OPERATIONS.md for the routes." },
  { JD_METHOD_NOT_ALLOWED, "method_not_allowed", 405, "Use the method of this route." },
  { JD_HEADERS_TOO_LARGE, "headers_too_large", 431,
    "Send a shorter path and fewer headers." },
  { JD_KEY_MISSING, "key_missing", 401, "Send the key in the X-Api-Key header." },
  { JD_KEY_UNKNOWN, "key_unknown", 401, "Use a key that is published." },
  { JD_KEY_REVOKED, "key_revoked", 401, "Ask the organisation for a new key." },
  { JD_KEY_STATE_STALE, "key_state_stale", 503,
    "This host cannot confirm that the key is still valid; use another host." },
  { JD_NOT_ALLOWED, "not_allowed", 403, "The organisation may not use this service." },
  { JD_RATE_LIMITED, "rate_limited", 429, "Send fewer requests or wait and repeat." },
  { JD_OVERLOADED, "overloaded", 503, "Wait and repeat." },
  { JD_SHUTTING_DOWN, "shutting_down", 503, "Repeat at another host." },
  { JD_ZONE_DRAINED, "zone_out", 503, "Repeat at a host of another availability zone." },
  { JD_NO_CONFIGURATION, "no_configuration", 503,
    "This host has no configuration yet; repeat at another host." },
  { JD_NO_TARGET, "no_target", 503, "No target of the shard is in service." },
  { JD_TARGET_SHED, "target_shed", 503, "The target refused for load; wait and repeat." },
  { JD_TARGET_ERROR, "target_error", 502, "The target failed." },
  { JD_TARGET_UNREACHABLE, "target_unreachable", 503, "The target did not accept work." },
  { JD_SNAPSHOT_UNAVAILABLE, "snapshot_unavailable", 503, "No common snapshot." },
  { JD_NOT_OWNER, "not_owner", 503, "The target is changing its broker; repeat." },
  { JD_CROSSED_REPLY, "crossed_reply", 502, "The target answered another request." },
  { JD_ENTRY_NOT_FOUND, "entry_not_found", 404, "Use the id of an existing entry." },
  { JD_CANCELLED, "cancelled", 503, "The request was cancelled before it ran." },
  { JD_TARGET_BUSY, "target_busy", 503, "The target is busy; use another replica." },
  { JD_DEADLINE_EXCEEDED, "deadline_exceeded", 504, "Allow more time." },
  { JD_OUTCOME_UNKNOWN, "outcome_unknown", 504,
    "The request may have run; read the entry before sending it again." },
  { JD_INTERNAL, "internal", 500, "See the log of this host." },
};

#define RESULT_TABLE_COUNT (sizeof (result_table) / sizeof (result_table[0]))

/* Returns the table row of a code, or the row of JD_INTERNAL for an unknown code. */
const jd_result_info_t *
jd_result_info (jd_result_code_t code)
{
  for (size_t i = 0; i < RESULT_TABLE_COUNT; i++)
    {
      if (result_table[i].code == code)
        return &result_table[i];
    }
  return &result_table[RESULT_TABLE_COUNT - 1];
}

/* Returns the name of a code in log lines and HTTP responses. */
const char *
jd_result_name (jd_result_code_t code)
{
  return jd_result_info (code)->name;
}

/* Returns "no", "yes" or "unknown", the values of the "ran" field of a response. */
const char *
jd_ran_name (jd_ran_t ran)
{
  static const char *const names[] = { "no", "yes", "unknown" };
  return names[ran <= JD_RAN_UNKNOWN ? ran : JD_RAN_UNKNOWN];
}

/* Returns the whole table and its number of rows; tests compare it with
 * docs/errors.md. */
const jd_result_info_t *
jd_result_table (uint32_t *count)
{
  *count = (uint32_t)RESULT_TABLE_COUNT;
  return result_table;
}
