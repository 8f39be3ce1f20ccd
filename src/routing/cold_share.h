#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Rate limit of all hosts together for a cold target. It prevents every host from sending
 * requests to a new target at once, as soon as the target is published. */
typedef struct jd_cold_limit
{
  double
      requests_per_s;  /* Requests a second that the target can serve, from all hosts. */
  double burst;        /* Burst of requests that it can serve beyond that rate. */
  uint32_t hosts;      /* Hosts that send requests to it. */
  uint32_t host_index; /* Index of this host among them for this target, from 0. */
} jd_cold_limit_t;

/* This host's part of that rate limit, as numbered grants of one request each. */
typedef struct jd_cold_quota
{
  bool started;            /* The target is cold and its rate limit is known. */
  double issued_grants;    /* Grants issued to this host so far, as a real number. */
  double rate_per_us;      /* Growth of issued_grants. */
  double grant_lifetime;   /* A grant this far below issued_grants has expired. */
  int64_t last_used_grant; /* Number of the last used grant. */
  int64_t updated_us;
} jd_cold_quota_t;

void jd_cold_quota_set_limit (jd_cold_quota_t *quota, const jd_cold_limit_t *limit,
                              int64_t now_us);
void jd_cold_quota_reset (jd_cold_quota_t *quota);
bool jd_cold_quota_has_grant (const jd_cold_quota_t *quota, int64_t now_us);
void jd_cold_quota_use_grant (jd_cold_quota_t *quota, int64_t now_us);
