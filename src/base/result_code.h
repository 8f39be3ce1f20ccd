#pragma once

#include <stdint.h>

/* Result codes of a request. The numbers are part of the HTTP interface and are never
 * reused; docs/errors.md has the same table. */
typedef enum jd_result_code
{
  JD_OK = 0,
  JD_PARTIAL = 1,

  JD_BAD_REQUEST = 100,
  JD_BAD_JSON = 101,
  JD_BODY_TOO_LARGE = 102,
  JD_UNKNOWN_SERVICE = 103,
  JD_UNKNOWN_ROUTE = 104,
  JD_METHOD_NOT_ALLOWED = 105,
  JD_HEADERS_TOO_LARGE = 106,
  JD_KEY_MISSING = 110,
  JD_KEY_UNKNOWN = 111,
  JD_KEY_REVOKED = 112,
  JD_KEY_STATE_STALE = 113,
  JD_NOT_ALLOWED = 114,

  JD_RATE_LIMITED = 200,
  JD_OVERLOADED = 201,
  JD_SHUTTING_DOWN = 202,
  JD_ZONE_DRAINED = 203,
  JD_NO_CONFIGURATION = 204,

  JD_NO_TARGET = 300,
  JD_TARGET_SHED = 301,
  JD_TARGET_ERROR = 302,
  JD_TARGET_UNREACHABLE = 303,
  JD_SNAPSHOT_UNAVAILABLE = 304,
  JD_NOT_OWNER = 305,
  JD_CROSSED_REPLY = 306,
  JD_ENTRY_NOT_FOUND = 307,
  JD_CANCELLED = 308,
  JD_TARGET_BUSY = 309,

  JD_DEADLINE_EXCEEDED = 400,
  JD_OUTCOME_UNKNOWN = 401,
  JD_INTERNAL = 500,
} jd_result_code_t;

/* Whether a target executed the request. */
typedef enum jd_ran
{
  JD_RAN_NO = 0,
  JD_RAN_YES = 1,
  JD_RAN_UNKNOWN = 2,
} jd_ran_t;

typedef struct jd_result_info
{
  jd_result_code_t code;
  const char *name;
  uint16_t http_status;
  const char *advice;
} jd_result_info_t;

const jd_result_info_t *jd_result_info (jd_result_code_t code);
const char *jd_result_name (jd_result_code_t code);
const char *jd_ran_name (jd_ran_t ran);
const jd_result_info_t *jd_result_table (uint32_t *count);
