#pragma once

#include "base/rng.h"
#include "limits/organisation_limit.h"
#include "limits/token_defs.h"
#include "limits/token_peer.h"

/* Enforces the rate and burst of all organisations in one entry process, together with
 * its peers (docs/design.md, 4.3). It does no I/O and reads no clock. All calls must come
 * from one thread.
 *
 * Times are readings of one monotonic clock. An admission counts at the reading that was
 * passed with the call that made it. The on_token calls only store messages; the next
 * tick handles them. The reading of that tick must be taken after the last message was
 * passed in: with a reading from before a pause of the process, expired tokens would be
 * accepted.
 *
 * An entry makes these calls:
 * - on an adopted organisations or fleet record: set_organisations;
 * - on a change of members or of known share owners: set_peers, in large fleets with at
 *   most 16 peers, some of them in other zones;
 * - on each renewal of the lease and each change of ownership: set_shares with the time
 *   until which the lease is valid, and with 0 shares on loss of the lease. If the lease
 *   ends without a call, the limiter discards the tokens itself;
 * - on each request: request; after WAITING the decided callback follows;
 * - on messages: on_token_ask or on_token_grant for each, then one tick with a new
 *   reading;
 * - at next_wakeup_us, which changes with every call: tick;
 * - before work is passed to the transport: drop the work if the clock is past the
 *   reading of its admission by work_bound or more;
 * - on shutdown: set_shares with 0, then ticks until the clock reaches release_at_us;
 *   then the lease may announce the release. */
typedef struct jd_rate_limiter jd_rate_limiter_t;

/* Callbacks. None may call a function of the limiter. */
typedef struct jd_rate_actions
{
  void (*send_token_request) (void *context, const char *peer,
                              const jd_token_request_t *token_request);
  void (*send_grant) (void *context, const char *peer, const jd_token_grant_t *grant);
  /* Reports the decision on a waiting request. An admission counts at decided_at_us. */
  void (*decided) (void *context, uint64_t request_id, bool admitted,
                   int64_t decided_at_us);
  void *context;
} jd_rate_actions_t;

typedef struct jd_organisation_rate
{
  const char *name;
  jd_share_rate_t share; /* Of this process's zone; see jd_share_rate_of. */
} jd_organisation_rate_t;

jd_rate_limiter_t *jd_rate_limiter_new (const jd_rate_settings_t *settings,
                                        const jd_rate_actions_t *actions, jd_rng_t rng);
void jd_rate_limiter_free (jd_rate_limiter_t *limiter);

void jd_rate_limiter_set_organisations (jd_rate_limiter_t *limiter, int64_t now_us,
                                        const jd_organisation_rate_t *rates,
                                        uint32_t count);
void jd_rate_limiter_set_peers (jd_rate_limiter_t *limiter, int64_t now_us,
                                const jd_token_peer_t *peers, uint32_t count);
void jd_rate_limiter_set_shares (jd_rate_limiter_t *limiter, int64_t now_us,
                                 uint32_t owned_shares, int64_t valid_until_us);

jd_admission_t jd_rate_limiter_request (jd_rate_limiter_t *limiter, int64_t now_us,
                                        uint64_t request_id, const char *organisation,
                                        int64_t deadline_us);
bool jd_rate_limiter_cancel (jd_rate_limiter_t *limiter, uint64_t request_id,
                             const char *organisation);

void jd_rate_limiter_on_token_request (jd_rate_limiter_t *limiter, const char *from,
                                       const jd_token_request_t *token_request);
void jd_rate_limiter_on_token_grant (jd_rate_limiter_t *limiter, const char *from,
                                     const jd_token_grant_t *grant);
void jd_rate_limiter_tick (jd_rate_limiter_t *limiter, int64_t now_us);
int64_t jd_rate_limiter_next_wakeup_us (const jd_rate_limiter_t *limiter);

int64_t jd_rate_limiter_release_at_us (const jd_rate_limiter_t *limiter);
jd_organisation_limit_t *jd_rate_limiter_find (const jd_rate_limiter_t *limiter,
                                               const char *organisation);
uint32_t jd_rate_limiter_organisation_count (const jd_rate_limiter_t *limiter);
bool jd_rate_limiter_status (jd_rate_limiter_t *limiter, int64_t now_us, uint32_t index,
                             jd_rate_status_t *status);
