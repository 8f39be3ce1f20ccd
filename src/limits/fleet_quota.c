#include "limits/fleet_quota.h"

#include <math.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/rng.h"
#include "base/table_turn.h"

/* The platform tolerates 25 % more than the rate over its window. Admitting 8 % more than
 * the rate avoids refusing requests of tenants that are within it. */
#define RATE_MARGIN 0.08
/* The platform counts a tenant's requests over some seconds and tolerates a number beyond
 * its cap. Hosts add this part of that number to the burst, because a small tenant that
 * is within its cap over seconds often exceeds its burst within one. The rest covers
 * admissions that hosts have not reported to each other yet. */
#define SLACK_PART 0.2
/* Time constant for smoothing the demand. */
#define DEMAND_WINDOW_US (JD_US_PER_S)
/* A host without a heartbeat or report for REPORT_TIMEOUT_US, or for
 * REPORT_TIMEOUT_INTERVALS of its heartbeats if that is longer, is silent. It may be
 * partitioned and still serve, until it is removed after PEER_EXPIRY_US. It is assumed to
 * go on admitting as before, and to admit its part of what was left of the rate, because
 * the demand may have risen there. */
#define REPORT_TIMEOUT_US (500 * JD_US_PER_MS)
#define REPORT_TIMEOUT_INTERVALS 1.5
#define PEER_EXPIRY_US (20 * JD_US_PER_S)
/* A silent host may have admitted this many requests more than was assumed. Hosts with
 * few requests would otherwise be charged by chance for one more than the mean, and those
 * with none send no report that says so. */
#define RETURN_TOKENS 2.0
/* Time constant for smoothing the admitted rate that a silent host is assumed to have.
 * The assumption holds for up to PEER_EXPIRY_US, so with a shorter time constant, a short
 * burst before the silence would reduce the tokens of the other hosts for that long. */
#define ADMITTED_RATE_WINDOW_US (5 * JD_US_PER_S)
/* Reports of other hosts arrive up to 1000 times a second; the peers of a tenant are
 * scanned no more often than this. */
#define PEER_SCAN_INTERVAL_US (200 * JD_US_PER_MS)
/* Minimum assumed demand, which keeps shares finite. */
#define DEMAND_MIN_PER_S 0.1
/* If the demand is below this part of the rate, hosts need not divide the rate. */
#define DIVIDED_DEMAND_RATIO 0.8
/* Minimum capacity of the bucket of one host's share, in tokens. While a tenant's demand
 * is below its rate, it lets a host with few requests serve the first one. With greater
 * demand it is the fraction of requests that can be admitted, times RESERVE_MARGIN for
 * uneven arrival. */
#define LOCAL_RESERVE_TOKENS 1.0
#define LOCAL_RESERVE_MIN_TOKENS 0.2
#define RESERVE_MARGIN 1.3
/* Delay until other hosts receive an admission: the 25 ms for which admissions are
 * batched, the network delay, and the queue of a busy host. */
#define REPORT_LAG_S 0.06
/* If the level is above this part of the burst, hosts do not divide the rate. */
#define UNDIVIDED_LEVEL_RATIO 0.9
/* Part of the burst that a restarted host assumes to be left. */
#define RESTART_BURST_RATIO 0.5
/* After this time a restarted host has received reports from all other hosts. */
#define RESTART_SYNC_US (JD_US_PER_S / 2)
/* Hosts that have not received each other's reports yet admit too much together. They
 * compensate for it within the window in which the platform counts, 5 s on these sites;
 * debt beyond this many seconds of the rate is forgiven. */
#define MAX_DEBT_S 4.0
#define HASH_SEED UINT64_C (0x71)

/* Last heartbeat of another host. */
typedef struct jd_quota_host
{
  uint64_t incarnation;
  int64_t last_heartbeat_us;
} jd_quota_host_t;

/* State of another host for one tenant, from its reports. */
typedef struct jd_quota_peer
{
  const jd_quota_host_t *host;
  uint64_t incarnation;
  uint64_t admitted;
  double admitted_per_s; /* Smoothed over ADMITTED_RATE_WINDOW_US. */
  double demand_per_s;
  int64_t last_report_us;
} jd_quota_peer_t;

typedef struct jd_quota_tenant
{
  uint64_t hash;
  double rate_per_s;
  double burst;
  double level;             /* Estimated tokens left in the bucket of the whole fleet. */
  double local_level;       /* Tokens left in the bucket of this host's share. */
  int64_t level_updated_us; /* Time up to which level was refilled. */
  int64_t local_level_updated_us; /* Time up to which local_level was refilled. */
  uint64_t admitted;
  uint64_t reported; /* Value of admitted in the last sent report. */
  double demand_per_s;
  double others_per_s;       /* Demand at other hosts at the last scan of the peers. */
  double heard_others_per_s; /* Of these, at hosts that are not silent. */
  double silent_hosts_admitted_per_s; /* Assumed for silent hosts. */
  double calm_admitted_per_s;         /* By all hosts, when none was silent last. */
  double left_per_s; /* Part of one host in what was left of the rate then. */
  int64_t peers_scanned_us;
  double local_admitted_per_s;  /* Admitted by this host, smoothed like demand_per_s. */
  double steady_admitted_per_s; /* The same, smoothed over ADMITTED_RATE_WINDOW_US. */
  int64_t demand_updated_us;
  GHashTable *peers; /* host -> jd_quota_peer_t */
} jd_quota_tenant_t;

/* The other hosts that may serve. */
typedef struct jd_quota_presence
{
  uint32_t known;
  uint32_t silent; /* Of them. */
} jd_quota_presence_t;

struct jd_fleet_quota
{
  GHashTable *hosts;            /* host -> jd_quota_host_t; never removed */
  jd_quota_presence_t presence; /* As of presence_us. */
  int64_t presence_us;
  jd_philox_t random;
  GHashTable *by_hash; /* tenant hash -> jd_quota_tenant_t */
  bool first_start;
  int64_t report_timeout_us;
  double extra_burst;
  int64_t started_us; /* When the first tenant was added; 0 before. */
  guint next_report;  /* First tenant of the next reports, see jd_table_turn_visit (). */
};

/* Frees a tenant's state. */
static void
free_tenant (gpointer data)
{
  jd_quota_tenant_t *tenant = data;
  g_hash_table_destroy (tenant->peers);
  g_free (tenant);
}

/* Creates a limiter without tenants. first_start is FALSE if the system ran before,
 * because tenants may then have used their bursts already. */
jd_fleet_quota_t *
jd_fleet_quota_new (bool first_start)
{
  jd_fleet_quota_t *quota = g_new0 (jd_fleet_quota_t, 1);
  quota->first_start = first_start;
  jd_fleet_quota_set_interval (quota, 0);
  quota->hosts = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  quota->by_hash = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_tenant);
  return quota;
}

/* Sets the interval at which hosts send heartbeats, which grows with the fleet. */
void
jd_fleet_quota_set_interval (jd_fleet_quota_t *quota, int64_t interval_us)
{
  quota->report_timeout_us =
      MAX (REPORT_TIMEOUT_US, (int64_t)(REPORT_TIMEOUT_INTERVALS * (double)interval_us));
}

/* Frees a limiter. */
void
jd_fleet_quota_free (jd_fleet_quota_t *quota)
{
  g_hash_table_destroy (quota->by_hash);
  g_hash_table_destroy (quota->hosts);
  g_free (quota);
}

/* Returns the state of a tenant, creating it if needed. */
static jd_quota_tenant_t *
find_tenant (jd_fleet_quota_t *quota, uint64_t hash, int64_t now_us)
{
  jd_quota_tenant_t *tenant = g_hash_table_lookup (quota->by_hash, &hash);
  if (tenant)
    return tenant;
  if (quota->started_us == 0)
    quota->started_us = now_us;
  tenant = g_new0 (jd_quota_tenant_t, 1);
  tenant->hash = hash;
  tenant->level_updated_us = now_us;
  tenant->local_level_updated_us = now_us;
  tenant->demand_updated_us = now_us;
  tenant->peers = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  g_hash_table_insert (quota->by_hash, &tenant->hash, tenant);
  return tenant;
}

/* Sets how many requests beyond a tenant's cap the platform tolerates. Applies to the
 * tenants that are set afterwards. */
void
jd_fleet_quota_set_slack (jd_fleet_quota_t *quota, double slack)
{
  quota->extra_burst = slack * SLACK_PART;
}

/* Sets a tenant's rate and burst. A rate of 0 means no limit. */
void
jd_fleet_quota_set (jd_fleet_quota_t *quota, const char *name, double rate_per_s,
                    double burst, int64_t now_us)
{
  jd_quota_tenant_t *tenant = find_tenant (quota, jd_hash_text (name, HASH_SEED), now_us);
  bool is_new = tenant->rate_per_s <= 0.0;
  tenant->rate_per_s = rate_per_s;
  tenant->burst = MAX (burst, 1.0) + quota->extra_burst;
  if (is_new)
    {
      tenant->level =
          quota->first_start ? tenant->burst : tenant->burst * RESTART_BURST_RATIO;
      tenant->local_level = LOCAL_RESERVE_TOKENS;
    }
  tenant->level = MIN (tenant->level, tenant->burst);
}

/* Decays the smoothed demand and admitted rate of this host to now_us. */
static void
decay_demand (jd_quota_tenant_t *tenant, int64_t now_us)
{
  int64_t age_us = now_us - tenant->demand_updated_us;
  if (age_us <= 0)
    return;
  double decay = exp (-(double)age_us / (double)DEMAND_WINDOW_US);
  tenant->demand_per_s *= decay;
  tenant->local_admitted_per_s *= decay;
  tenant->steady_admitted_per_s *=
      exp (-(double)age_us / (double)ADMITTED_RATE_WINDOW_US);
  tenant->demand_updated_us = now_us;
}

/* Returns the factor by which a rate smoothed over window_us decays from from_us to
 * to_us. */
static double
decay_factor (int64_t from_us, int64_t to_us, int64_t window_us)
{
  return exp (-(double)MAX (to_us - from_us, 0) / (double)window_us);
}

/* Returns the rate at which a host admitted requests when it was last heard. */
static double
last_admitted_per_s (const jd_quota_peer_t *peer, int64_t last_us)
{
  return peer->admitted_per_s *
         decay_factor (peer->last_report_us, last_us, ADMITTED_RATE_WINDOW_US);
}

/* Returns the number of other hosts that were heard in the last PEER_EXPIRY_US. They are
 * counted for all tenants together. */
static jd_quota_presence_t
count_hosts (jd_fleet_quota_t *quota, int64_t now_us)
{
  if (now_us - quota->presence_us < PEER_SCAN_INTERVAL_US)
    return quota->presence;
  jd_quota_presence_t presence = { 0 };
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, quota->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      int64_t silence_us = now_us - ((const jd_quota_host_t *)value)->last_heartbeat_us;
      presence.known += silence_us <= PEER_EXPIRY_US;
      presence.silent +=
          silence_us <= PEER_EXPIRY_US && silence_us > quota->report_timeout_us;
    }
  quota->presence = presence;
  quota->presence_us = now_us;
  return presence;
}

/* Sums up the demand at other hosts, and the rate at which silent hosts are assumed to
 * admit requests now. Removes peers whose process was replaced or that have been silent
 * for longer than PEER_EXPIRY_US. */
static void
scan_peers (jd_fleet_quota_t *quota, jd_quota_tenant_t *tenant, int64_t now_us)
{
  double admitted_per_s = tenant->steady_admitted_per_s, silent_per_s = 0.0;
  GHashTableIter iter;
  gpointer value;
  tenant->others_per_s = tenant->heard_others_per_s = 0.0;
  g_hash_table_iter_init (&iter, tenant->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const jd_quota_peer_t *peer = value;
      int64_t last_us = MAX (peer->host->last_heartbeat_us, peer->last_report_us);
      int64_t silence_us = now_us - last_us;
      bool is_replaced = peer->host->last_heartbeat_us > 0 &&
                         peer->host->incarnation != peer->incarnation;
      if (is_replaced || silence_us > PEER_EXPIRY_US)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      bool is_silent = silence_us > quota->report_timeout_us;
      double demand_per_s = peer->demand_per_s *
                            decay_factor (peer->last_report_us,
                                          is_silent ? last_us : now_us, DEMAND_WINDOW_US);
      double last_per_s = last_admitted_per_s (peer, is_silent ? last_us : now_us);
      tenant->others_per_s += demand_per_s;
      tenant->heard_others_per_s += is_silent ? 0.0 : demand_per_s;
      admitted_per_s += last_per_s;
      silent_per_s += is_silent ? last_per_s : 0.0;
    }
  jd_quota_presence_t presence = count_hosts (quota, now_us);
  if (presence.silent == 0)
    tenant->calm_admitted_per_s = admitted_per_s;
  double left_per_s =
      MAX (tenant->rate_per_s * (1.0 + RATE_MARGIN) - tenant->calm_admitted_per_s, 0.0);
  tenant->left_per_s = left_per_s / (presence.known + 1);
  tenant->silent_hosts_admitted_per_s =
      silent_per_s + tenant->left_per_s * presence.silent;
  tenant->peers_scanned_us = now_us;
}

/* Returns the rate that the hosts which hear each other may admit together; below 0 if
 * silent hosts exceed the tenant's rate. */
static double
heard_rate_per_s (const jd_quota_tenant_t *tenant)
{
  return tenant->rate_per_s * (1.0 + RATE_MARGIN) - tenant->silent_hosts_admitted_per_s;
}

/* Returns the burst that they may use together. The part that the platform tolerates
 * beyond it is not divided. */
static double
heard_burst (const jd_fleet_quota_t *quota, const jd_quota_tenant_t *tenant)
{
  double full_per_s = tenant->rate_per_s * (1.0 + RATE_MARGIN);
  if (full_per_s <= 0.0)
    return tenant->burst;
  double part = MAX (heard_rate_per_s (tenant), 0.0) / full_per_s;
  return MIN (tenant->burst * part + quota->extra_burst, tenant->burst);
}

/* Refills the bucket of the whole fleet up to now_us. Must be called before admissions of
 * other hosts are subtracted: if they were subtracted later from a full bucket, they
 * would cost tokens that would have been refilled in between. */
static void
refill (jd_fleet_quota_t *quota, jd_quota_tenant_t *tenant, int64_t now_us)
{
  int64_t since_us = tenant->level_updated_us;
  if (now_us <= since_us)
    return;
  if (now_us - tenant->peers_scanned_us >= PEER_SCAN_INTERVAL_US)
    scan_peers (quota, tenant, now_us);
  double elapsed_s = (double)(now_us - since_us) / (double)JD_US_PER_S;
  tenant->level_updated_us = now_us;
  tenant->level = MIN (tenant->level + heard_rate_per_s (tenant) * elapsed_s,
                       heard_burst (quota, tenant));
  tenant->level = MAX (tenant->level, -(tenant->burst + tenant->rate_per_s * MAX_DEBT_S));
}

/* Refills the bucket of this host's share up to now_us. */
static void
refill_local (const jd_fleet_quota_t *quota, jd_quota_tenant_t *tenant, double share,
              double total_per_s, int64_t now_us)
{
  double min_capacity = CLAMP (RESERVE_MARGIN * tenant->rate_per_s / total_per_s,
                               LOCAL_RESERVE_MIN_TOKENS, LOCAL_RESERVE_TOKENS);
  double tokens = MAX (heard_rate_per_s (tenant), 0.0) * share *
                  (double)MAX (now_us - tenant->local_level_updated_us, 0) /
                  (double)JD_US_PER_S;
  tenant->local_level_updated_us = now_us;
  tenant->local_level = MIN (tenant->local_level + tokens,
                             MAX (heard_burst (quota, tenant) * share, min_capacity));
  /* If hosts saved up local tokens while the fleet's bucket is in debt, they would all
   * spend them the moment the debt ends, before they receive each other's reports. */
  if (tenant->level < 1.0)
    tenant->local_level = MIN (tenant->local_level, 0.0);
}

/* Adds an admitted request to the count and rate to report. */
static void
count_admitted (jd_quota_tenant_t *tenant)
{
  tenant->admitted++;
  tenant->local_admitted_per_s += (double)JD_US_PER_S / (double)DEMAND_WINDOW_US;
  tenant->steady_admitted_per_s += (double)JD_US_PER_S / (double)ADMITTED_RATE_WINDOW_US;
}

/* Returns TRUE if hosts have to divide the rate among them: either the tenant's demand is
 * near its rate, or unknown because no other host has reported, and may use up the burst
 * before hosts receive each other's reports; or this host has just been restarted and may
 * not have received the reports of all others. */
static bool
needs_local_token (const jd_fleet_quota_t *quota, const jd_quota_tenant_t *tenant,
                   double total_per_s, int64_t now_us)
{
  if (!quota->first_start && now_us - quota->started_us < RESTART_SYNC_US)
    return true;
  bool may_exceed_rate = total_per_s > tenant->rate_per_s * DIVIDED_DEMAND_RATIO ||
                         g_hash_table_size (tenant->peers) == 0;
  return may_exceed_rate &&
         tenant->level <= MIN (heard_burst (quota, tenant) * UNDIVIDED_LEVEL_RATIO,
                               total_per_s * REPORT_LAG_S);
}

/* Spends a token of this host's share and returns TRUE if there was one. A fraction of a
 * token admits a request with the same probability, because the share of one of many
 * hosts may stay below one token. */
static bool
spend_local_token (jd_fleet_quota_t *quota, jd_quota_tenant_t *tenant)
{
  jd_rng_t rng = jd_philox_rng (&quota->random);
  if (tenant->local_level < jd_rng_unit (&rng))
    return false;
  tenant->local_level -= 1.0;
  return true;
}

/* Decides whether to admit one request of a tenant. hosts is the number of hosts that may
 * serve. If the request is refused, *retry_after_us is set to the time until a token is
 * due, else to 0. */
bool
jd_fleet_quota_admit (jd_fleet_quota_t *quota, const char *name, uint32_t hosts,
                      int64_t now_us, int64_t *retry_after_us)
{
  jd_quota_tenant_t *tenant = find_tenant (quota, jd_hash_text (name, HASH_SEED), now_us);
  decay_demand (tenant, now_us);
  /* The demand before this request: counting the request itself would give hosts with few
   * requests too large a share. */
  double local_per_s = tenant->demand_per_s;
  tenant->demand_per_s += (double)JD_US_PER_S / (double)DEMAND_WINDOW_US;
  *retry_after_us = 0;
  if (tenant->rate_per_s <= 0.0)
    {
      count_admitted (tenant);
      return true;
    }
  refill (quota, tenant, now_us);
  double total_per_s = MAX (tenant->others_per_s + local_per_s, DEMAND_MIN_PER_S);
  double heard_per_s = MAX (tenant->heard_others_per_s + local_per_s, DEMAND_MIN_PER_S);
  double share = MAX (local_per_s / heard_per_s, 0.25 / MAX (hosts, 1));
  if (g_hash_table_size (tenant->peers) == 0)
    share = 1.0 / MAX (hosts, 1);
  refill_local (quota, tenant, share, total_per_s, now_us);
  if (tenant->level >= 1.0 && (!needs_local_token (quota, tenant, total_per_s, now_us) ||
                               spend_local_token (quota, tenant)))
    {
      tenant->level -= 1.0;
      count_admitted (tenant);
      return true;
    }
  double missing = MAX (1.0 - tenant->level, 1.0 - tenant->local_level);
  double rate_per_s = MAX (tenant->rate_per_s * share, 0.1);
  *retry_after_us = (int64_t)(MAX (missing, 0.1) / rate_per_s * (double)JD_US_PER_S);
  return false;
}

/* Returns the state of a tenant's limit as of its last request. */
jd_quota_status_t
jd_fleet_quota_status (jd_fleet_quota_t *quota, const char *name, int64_t now_us)
{
  const jd_quota_tenant_t *tenant =
      find_tenant (quota, jd_hash_text (name, HASH_SEED), now_us);
  return (jd_quota_status_t){
    .rate_per_s = tenant->rate_per_s,
    .level = tenant->level,
    .local_level = tenant->local_level,
    .demand_per_s = tenant->demand_per_s,
    .other_hosts_demand_per_s = tenant->others_per_s,
  };
}

/* Returns the state of a host, creating it if needed. */
static jd_quota_host_t *
find_host (jd_fleet_quota_t *quota, uint64_t host)
{
  jd_quota_host_t *state = g_hash_table_lookup (quota->hosts, &host);
  if (state)
    return state;
  state = g_new0 (jd_quota_host_t, 1);
  g_hash_table_insert (quota->hosts, g_memdup2 (&host, sizeof (host)), state);
  return state;
}

/* Returns TRUE if a heartbeat of this process of a host has been received. */
bool
jd_fleet_quota_has_host (const jd_fleet_quota_t *quota, uint64_t host,
                         uint64_t incarnation)
{
  const jd_quota_host_t *state = g_hash_table_lookup (quota->hosts, &host);
  return state && state->last_heartbeat_us > 0 && state->incarnation == incarnation;
}

/* Records a heartbeat of a host. Must be called after its reports have been applied. */
void
jd_fleet_quota_record_heartbeat (jd_fleet_quota_t *quota, uint64_t host,
                                 uint64_t incarnation, int64_t now_us)
{
  jd_quota_host_t *state = find_host (quota, host);
  state->incarnation = incarnation;
  state->last_heartbeat_us = now_us;
}

/* Returns how many requests the host of a report admitted in about the last second. */
static double
recent_admissions (const jd_quota_report_t *report)
{
  return report->admitted_per_s * (double)DEMAND_WINDOW_US / (double)JD_US_PER_S;
}

/* Returns the state of a host's process for a tenant, creating it if needed. */
static jd_quota_peer_t *
find_peer (jd_fleet_quota_t *quota, jd_quota_tenant_t *tenant, uint64_t host,
           uint64_t incarnation, const jd_quota_report_t *report)
{
  jd_quota_peer_t *peer = g_hash_table_lookup (tenant->peers, &host);
  if (peer && peer->incarnation == incarnation)
    return peer;
  bool is_restarted = peer != NULL;
  peer = g_new0 (jd_quota_peer_t, 1);
  peer->host = find_host (quota, host);
  peer->incarnation = incarnation;
  /* A host whose heartbeats arrived sent no report of the tenant because it had admitted
   * nothing, and a new process counts from 0. If the host is new here, its admissions
   * from long ago no longer count. */
  if (!is_restarted && !jd_fleet_quota_has_host (quota, host, incarnation))
    {
      uint64_t recent = (uint64_t)ceil (recent_admissions (report));
      peer->admitted = report->admitted - MIN (recent, report->admitted);
    }
  g_hash_table_insert (tenant->peers, g_memdup2 (&host, sizeof (host)), peer);
  return peer;
}

/* Applies another host's report about one tenant. */
void
jd_fleet_quota_apply_report (jd_fleet_quota_t *quota, uint64_t host, uint64_t incarnation,
                             const jd_quota_report_t *report, int64_t now_us)
{
  jd_quota_tenant_t *tenant = find_tenant (quota, report->tenant_hash, now_us);
  /* Before find_peer (), because this may remove the state of the host's process: that of
   * a new one, as long as its heartbeat has not been recorded. */
  refill (quota, tenant, now_us);
  jd_quota_peer_t *peer = find_peer (quota, tenant, host, incarnation, report);
  int64_t last_us = MAX (peer->host->last_heartbeat_us, peer->last_report_us);
  bool was_silent =
      peer->last_report_us > 0 && now_us - last_us > quota->report_timeout_us;
  /* A report that arrives out of order has a smaller count and adds nothing. */
  uint64_t new_admissions =
      report->admitted > peer->admitted ? report->admitted - peer->admitted : 0;
  peer->admitted += new_admissions;
  double admitted = (double)new_admissions, charged = admitted;
  if (was_silent)
    {
      double assumed_per_s = last_admitted_per_s (peer, last_us) + tenant->left_per_s;
      double silence_s = (double)(now_us - last_us) / (double)JD_US_PER_S;
      /* After a long silence, only recent admissions count, or recent ones that were
       * assumed in vain: the tokens of older ones have been refilled since. */
      charged = CLAMP (admitted - assumed_per_s * silence_s - RETURN_TOKENS,
                       -assumed_per_s, recent_admissions (report));
      admitted = MIN (admitted, recent_admissions (report));
    }
  tenant->level -= charged;
  peer->admitted_per_s *=
      decay_factor (peer->last_report_us, now_us, ADMITTED_RATE_WINDOW_US);
  peer->admitted_per_s +=
      admitted * (double)JD_US_PER_S / (double)ADMITTED_RATE_WINDOW_US;
  peer->demand_per_s = report->demand_per_s;
  peer->last_report_us = now_us;
}

/* Returns TRUE if this host has admitted requests that it has not reported yet. */
bool
jd_fleet_quota_has_unreported (jd_fleet_quota_t *quota)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, quota->by_hash);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const jd_quota_tenant_t *tenant = value;
      if (tenant->admitted != tenant->reported)
        return true;
    }
  return false;
}

/* The reports of a message that is being filled. */
typedef struct jd_report_list
{
  jd_quota_report_t *reports;
  uint32_t count;
  uint32_t max;
  int64_t now_us;
} jd_report_list_t;

/* Table visitor: adds the report of a tenant that has admissions since the last report or
 * demand that is still decaying. Returns FALSE without room for it. */
static bool
add_report (void *context, void *value)
{
  jd_report_list_t *list = context;
  jd_quota_tenant_t *tenant = value;
  decay_demand (tenant, list->now_us);
  if (tenant->admitted == tenant->reported && tenant->demand_per_s < 0.05)
    return true;
  if (list->count == list->max)
    return false;
  tenant->reported = tenant->admitted;
  list->reports[list->count++] = (jd_quota_report_t){
    .tenant_hash = tenant->hash,
    .admitted = tenant->admitted,
    .demand_per_s = tenant->demand_per_s,
    .admitted_per_s = tenant->local_admitted_per_s,
  };
  return true;
}

/* Fills in this host's reports to the others, for tenants with admissions since the last
 * report or with demand that is still decaying. Those beyond max come first in the next
 * reports. Returns the number of reports. */
uint32_t
jd_fleet_quota_reports (jd_fleet_quota_t *quota, jd_quota_report_t *reports, uint32_t max,
                        int64_t now_us)
{
  jd_report_list_t list = { .reports = reports, .max = max, .now_us = now_us };
  quota->next_report =
      jd_table_turn_visit (quota->by_hash, quota->next_report, add_report, &list);
  return list.count;
}
