#include "routing/cold_share.h"

#include <glib.h>
#include <math.h>

#include "base/clock.h"

/* Shortest TTL of a grant: a request rarely arrives exactly when its grant is issued. */
#define GRANT_TTL_MIN_US (100 * JD_US_PER_MS)

/* Returns the number of grants issued up to now_us, as a real number. */
static double
issued_grants_at (const jd_cold_quota_t *quota, int64_t now_us)
{
  return quota->issued_grants + quota->rate_per_us * (double)(now_us - quota->updated_us);
}

/* Returns the number of the oldest grant that is neither used nor expired; it may not be
 * issued yet. Grant N is issued when issued_grants reaches N and expires when
 * issued_grants is grant_lifetime higher. */
static int64_t
next_grant (const jd_cold_quota_t *quota, double issued_grants)
{
  return MAX (quota->last_used_grant + 1,
              (int64_t)floor (issued_grants - quota->grant_lifetime) + 1);
}

/* Sets the rate limit of a cold target. Each host starts at a different offset between
 * two grants, so that together they send requests at the target's rate and not all at the
 * same time. A grant expires after the time in which the burst is issued, so that grants
 * that the hosts leave unused do not add up to more than the burst. */
void
jd_cold_quota_set_limit (jd_cold_quota_t *quota, const jd_cold_limit_t *limit,
                         int64_t now_us)
{
  uint32_t hosts = MAX (limit->hosts, 1);
  double per_us = limit->requests_per_s / (double)JD_US_PER_S;
  double grant_ttl_us = MAX (limit->burst / per_us, (double)GRANT_TTL_MIN_US);
  if (!quota->started)
    *quota = (jd_cold_quota_t){
      .started = true,
      .issued_grants = (double)(limit->host_index % hosts) / (double)hosts,
    };
  else
    quota->issued_grants = issued_grants_at (quota, now_us);
  quota->updated_us = now_us;
  quota->rate_per_us = per_us / (double)hosts;
  quota->grant_lifetime = grant_ttl_us * quota->rate_per_us;
}

/* Discards the grants of a target that is no longer cold. */
void
jd_cold_quota_reset (jd_cold_quota_t *quota)
{
  quota->started = false;
}

/* Returns TRUE if this host may send a request to the cold target. */
bool
jd_cold_quota_has_grant (const jd_cold_quota_t *quota, int64_t now_us)
{
  if (!quota->started)
    return false;
  double issued_grants = issued_grants_at (quota, now_us);
  return (double)next_grant (quota, issued_grants) <= issued_grants;
}

/* Uses a grant for a request to the cold target. */
void
jd_cold_quota_use_grant (jd_cold_quota_t *quota, int64_t now_us)
{
  quota->last_used_grant = next_grant (quota, issued_grants_at (quota, now_us));
}
