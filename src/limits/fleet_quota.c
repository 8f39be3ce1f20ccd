#include "limits/fleet_quota.h"

#include <math.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/rng.h"

/* The platform tolerates a quarter more than the rate over its window. Admitting a
 * little more than the rate keeps requests within it from being refused. */
#define RATE_MARGIN 0.08
/* Demand is smoothed over about this time. */
#define DEMAND_WINDOW_US (JD_US_PER_S)
/* A host that is silent for longer than this is assumed to go on as it last told, because
 * it may be cut off and still serve. */
#define SILENCE_US (1500 * JD_US_PER_MS)
#define SILENCE_MAX_US (20 * JD_US_PER_S)
/* What a silent host admits is estimated over this time. It is assumed for many seconds,
 * so a chance burst in a shorter one would cost the others their tokens. */
#define SILENCE_WINDOW_US (5 * JD_US_PER_S)
/* Reports of others come up to a thousand times a second; the hosts behind a tenant's
 * bucket are looked through no more often than this for them. */
#define SURVEY_US (200 * JD_US_PER_MS)
/* Demand that is assumed at least, which keeps shares finite. */
#define DEMAND_MIN_PER_S 0.1
/* Below this part of the rate, hosts need not divide it. */
#define PRESSURE 0.8
/* Reserve of one host's share while a tenant asks for less than its rate, so that a host
 * that is seldom asked serves its first request. With greater demand the reserve is the
 * part of requests that may pass, with RESERVE_MARGIN for uneven arrival. */
#define LOCAL_RESERVE 1.0
#define LOCAL_RESERVE_MIN 0.2
#define RESERVE_MARGIN 1.3
/* Hosts hear of each other's admissions within about this time: the 25 ms for which they
 * are collected, the way, and the queue of a busy host. */
#define REPORT_LAG_S 0.06
/* Above this part of its burst a tenant is not divided among hosts. */
#define FULL_SHARE 0.9
/* Part of a burst that a restarted host assumes to be left. */
#define RESTART_BURST_SHARE 0.5
/* A restarted host has heard of all others after about this time. */
#define RESTART_US (JD_US_PER_S / 2)
/* Hosts that have not heard of each other yet admit too much together. They make up for
 * it within the window in which the platform counts, 5 s on these sites; older debt is
 * forgiven. */
#define DEBT_S 4.0
#define HASH_SEED UINT64_C (0x71)

/* Another host, as last heard. */
typedef struct jd_quota_host
{
  uint64_t incarnation;
  int64_t heard_us;
} jd_quota_host_t;

/* What another host told of a tenant. */
typedef struct jd_quota_peer
{
  const jd_quota_host_t *host;
  uint64_t incarnation;
  uint64_t admitted;
  double admitted_per_s; /* Smoothed over SILENCE_WINDOW_US. */
  double demand_per_s;
  int64_t told_us;
} jd_quota_peer_t;

typedef struct jd_quota_tenant
{
  uint64_t hash;
  double rate_per_s;
  double burst;
  double level;       /* Fleet-wide tokens as this host sees them. */
  double local_level; /* Tokens of this host's share. */
  int64_t level_us;   /* Up to when the level was filled. */
  int64_t local_us;   /* Up to when the local level was filled. */
  uint64_t admitted;
  uint64_t reported; /* Value of admitted in the last report. */
  double demand_per_s;
  double others_per_s; /* Demand at other hosts, as of the last survey. */
  double silent_per_s; /* Assumed to be admitted by silent hosts. */
  int64_t surveyed_us;
  double recent_per_s; /* Admitted by this host, smoothed as demand_per_s. */
  int64_t demand_us;
  GHashTable *peers; /* host -> jd_quota_peer_t */
} jd_quota_tenant_t;

struct jd_fleet_quota
{
  GHashTable *hosts; /* host -> jd_quota_host_t; never removed */
  jd_philox_t random;
  GHashTable *by_hash; /* tenant hash -> jd_quota_tenant_t */
  bool first_start;
  int64_t started_us; /* Time of the first use; 0 before it. */
};

/* Frees a tenant's state. */
static void
free_tenant (gpointer data)
{
  jd_quota_tenant_t *tenant = data;
  g_hash_table_destroy (tenant->peers);
  g_free (tenant);
}

/* Creates a limiter without tenants. first_start is FALSE when the system ran before, so
 * that tenants may have used their bursts already. */
jd_fleet_quota_t *
jd_fleet_quota_new (bool first_start)
{
  jd_fleet_quota_t *quota = g_new0 (jd_fleet_quota_t, 1);
  quota->first_start = first_start;
  quota->hosts = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  quota->by_hash = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_tenant);
  return quota;
}

/* Frees a limiter. */
void
jd_fleet_quota_free (jd_fleet_quota_t *quota)
{
  g_hash_table_destroy (quota->by_hash);
  g_hash_table_destroy (quota->hosts);
  g_free (quota);
}

/* Returns the state of a tenant, which is created when needed. */
static jd_quota_tenant_t *
find (jd_fleet_quota_t *quota, uint64_t hash, int64_t now_us)
{
  jd_quota_tenant_t *tenant = g_hash_table_lookup (quota->by_hash, &hash);
  if (tenant)
    return tenant;
  if (quota->started_us == 0)
    quota->started_us = now_us;
  tenant = g_new0 (jd_quota_tenant_t, 1);
  tenant->hash = hash;
  tenant->level_us = now_us;
  tenant->local_us = now_us;
  tenant->demand_us = now_us;
  tenant->peers = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  g_hash_table_insert (quota->by_hash, &tenant->hash, tenant);
  return tenant;
}

/* Sets a tenant's rate and burst; a rate of 0 means no limit. */
void
jd_fleet_quota_set (jd_fleet_quota_t *quota, const char *name, double rate_per_s,
                    double burst, int64_t now_us)
{
  jd_quota_tenant_t *tenant = find (quota, jd_hash_text (name, HASH_SEED), now_us);
  bool is_first = tenant->rate_per_s <= 0.0;
  tenant->rate_per_s = rate_per_s;
  tenant->burst = MAX (burst, 1.0);
  if (is_first)
    {
      tenant->level =
          quota->first_start ? tenant->burst : tenant->burst * RESTART_BURST_SHARE;
      tenant->local_level = LOCAL_RESERVE;
    }
  tenant->level = MIN (tenant->level, tenant->burst);
}

/* Lets the smoothed demand of this host fade to now. */
static void
fade_demand (jd_quota_tenant_t *tenant, int64_t now_us)
{
  int64_t age_us = now_us - tenant->demand_us;
  if (age_us <= 0)
    return;
  double keep = exp (-(double)age_us / (double)DEMAND_WINDOW_US);
  tenant->demand_per_s *= keep;
  tenant->recent_per_s *= keep;
  tenant->demand_us = now_us;
}

/* Returns the part that is left of a rate that was smoothed over a window after a time.
 */
static double
faded (int64_t from_us, int64_t to_us, int64_t window_us)
{
  return exp (-(double)MAX (to_us - from_us, 0) / (double)window_us);
}

/* Returns what a silent host is assumed to have admitted since a time: it may be cut off
 * and go on as before. */
static double
assumed_admissions (const jd_quota_peer_t *peer, int64_t last_us, int64_t since_us,
                    int64_t now_us)
{
  double per_s = peer->admitted_per_s * faded (peer->told_us, last_us, SILENCE_WINDOW_US);
  int64_t from_us = MAX (since_us, last_us + SILENCE_US);
  return per_s * (double)MAX (now_us - from_us, 0) / (double)JD_US_PER_S;
}

/* Adds up what others ask for, and what silent ones are assumed to admit on average since
 * a time. Forgets processes that have ended or are silent for long. */
static void
survey_peers (jd_quota_tenant_t *tenant, int64_t since_us, int64_t now_us)
{
  double assumed = 0.0;
  GHashTableIter iter;
  gpointer value;
  tenant->others_per_s = 0.0;
  g_hash_table_iter_init (&iter, tenant->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const jd_quota_peer_t *peer = value;
      int64_t last_us = MAX (peer->host->heard_us, peer->told_us);
      int64_t silent_us = now_us - last_us;
      bool has_ended =
          peer->host->heard_us > 0 && peer->host->incarnation != peer->incarnation;
      if (has_ended || silent_us > SILENCE_MAX_US)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      bool is_silent = silent_us > SILENCE_US;
      tenant->others_per_s +=
          peer->demand_per_s *
          faded (peer->told_us, is_silent ? last_us : now_us, DEMAND_WINDOW_US);
      if (is_silent)
        assumed += assumed_admissions (peer, last_us, since_us, now_us);
    }
  double elapsed_s = (double)(now_us - since_us) / (double)JD_US_PER_S;
  tenant->silent_per_s = elapsed_s > 0.0 ? assumed / elapsed_s : 0.0;
  tenant->surveyed_us = now_us;
}

/* Fills the fleet-wide bucket up to now. What others admitted has to be taken out of a
 * bucket that is filled up to then: taken out of a full one later, it would cost tokens
 * that would have come back meanwhile. */
static void
refill (jd_quota_tenant_t *tenant, int64_t now_us)
{
  int64_t since_us = tenant->level_us;
  if (now_us <= since_us)
    return;
  if (now_us - tenant->surveyed_us >= SURVEY_US)
    survey_peers (tenant, since_us, now_us);
  double per_s = tenant->rate_per_s * (1.0 + RATE_MARGIN) - tenant->silent_per_s;
  double elapsed_s = (double)(now_us - since_us) / (double)JD_US_PER_S;
  tenant->level_us = now_us;
  tenant->level = MIN (tenant->level + per_s * elapsed_s, tenant->burst);
  tenant->level = MAX (tenant->level, -(tenant->burst + tenant->rate_per_s * DEBT_S));
}

/* Fills the bucket of this host's share up to now. */
static void
refill_local (jd_quota_tenant_t *tenant, double share, double total_per_s, int64_t now_us)
{
  double reserve = CLAMP (RESERVE_MARGIN * tenant->rate_per_s / total_per_s,
                          LOCAL_RESERVE_MIN, LOCAL_RESERVE);
  double tokens = tenant->rate_per_s * (1.0 + RATE_MARGIN) * share *
                  (double)MAX (now_us - tenant->local_us, 0) / (double)JD_US_PER_S;
  tenant->local_us = now_us;
  tenant->local_level =
      MIN (tenant->local_level + tokens, MAX (tenant->burst * share, reserve));
  /* Shares saved up during a debt would all be used the moment that it ends, long before
   * hosts hear of it. */
  if (tenant->level < 1.0)
    tenant->local_level = MIN (tenant->local_level, 0.0);
}

/* Counts an admitted request. */
static void
note_admitted (jd_quota_tenant_t *tenant)
{
  tenant->admitted++;
  tenant->recent_per_s += (double)JD_US_PER_S / (double)DEMAND_WINDOW_US;
}

/* TRUE when hosts have to divide the rate among them: the tenant asks for about all of
 * it and may use up its burst before hosts hear of each other's admissions, or this host
 * has just been restarted and may not have heard of what the others admit. */
static bool
needs_local_token (const jd_fleet_quota_t *quota, const jd_quota_tenant_t *tenant,
                   double total_per_s, int64_t now_us)
{
  if (!quota->first_start && now_us - quota->started_us < RESTART_US)
    return true;
  bool pressed = total_per_s > tenant->rate_per_s * PRESSURE ||
                 g_hash_table_size (tenant->peers) == 0;
  return pressed &&
         tenant->level <= MIN (tenant->burst * FULL_SHARE, total_per_s * REPORT_LAG_S);
}

/* Takes a token of this host's share. A part of a token gives a request the same part of
 * a chance, because the share of one of many hosts may stay below one. */
static bool
take_local_token (jd_fleet_quota_t *quota, jd_quota_tenant_t *tenant)
{
  jd_rng_t rng = jd_philox_rng (&quota->random);
  if (tenant->local_level < jd_rng_unit (&rng))
    return false;
  tenant->local_level -= 1.0;
  return true;
}

/* Decides about one request of a tenant now. hosts is the number of hosts that may
 * serve; when refused, retry_after_us says when a token is due. */
bool
jd_fleet_quota_admit (jd_fleet_quota_t *quota, const char *name, uint32_t hosts,
                      int64_t now_us, int64_t *retry_after_us)
{
  jd_quota_tenant_t *tenant = find (quota, jd_hash_text (name, HASH_SEED), now_us);
  fade_demand (tenant, now_us);
  /* Demand up to this request: with the request itself, hosts that are seldom asked would
   * take too large a share. */
  double own_per_s = tenant->demand_per_s;
  tenant->demand_per_s += (double)JD_US_PER_S / (double)DEMAND_WINDOW_US;
  *retry_after_us = 0;
  if (tenant->rate_per_s <= 0.0)
    {
      note_admitted (tenant);
      return true;
    }
  refill (tenant, now_us);
  double total_per_s = MAX (tenant->others_per_s + own_per_s, DEMAND_MIN_PER_S);
  double share = MAX (own_per_s / total_per_s, 0.25 / MAX (hosts, 1));
  if (g_hash_table_size (tenant->peers) == 0)
    share = 1.0 / MAX (hosts, 1);
  refill_local (tenant, share, total_per_s, now_us);
  if (tenant->level >= 1.0 && (!needs_local_token (quota, tenant, total_per_s, now_us) ||
                               take_local_token (quota, tenant)))
    {
      tenant->level -= 1.0;
      note_admitted (tenant);
      return true;
    }
  double missing = MAX (1.0 - tenant->level, 1.0 - tenant->local_level);
  double rate_per_s = MAX (tenant->rate_per_s * share, 0.1);
  *retry_after_us = (int64_t)(MAX (missing, 0.1) / rate_per_s * (double)JD_US_PER_S);
  return false;
}

/* Returns what decided about the last request of a tenant. */
jd_quota_view_t
jd_fleet_quota_view (jd_fleet_quota_t *quota, const char *name, int64_t now_us)
{
  const jd_quota_tenant_t *tenant = find (quota, jd_hash_text (name, HASH_SEED), now_us);
  return (jd_quota_view_t){
    .rate_per_s = tenant->rate_per_s,
    .level = tenant->level,
    .local_level = tenant->local_level,
    .demand_per_s = tenant->demand_per_s,
    .others_per_s = tenant->others_per_s,
  };
}

/* Returns what is known of a host, which is added when needed. */
static jd_quota_host_t *
find_host (jd_fleet_quota_t *quota, uint64_t host)
{
  jd_quota_host_t *known = g_hash_table_lookup (quota->hosts, &host);
  if (known)
    return known;
  known = g_new0 (jd_quota_host_t, 1);
  g_hash_table_insert (quota->hosts, g_memdup2 (&host, sizeof (host)), known);
  return known;
}

/* TRUE when a process of a host has been heard before. */
bool
jd_fleet_quota_knows_host (const jd_fleet_quota_t *quota, uint64_t host,
                           uint64_t incarnation)
{
  const jd_quota_host_t *known = g_hash_table_lookup (quota->hosts, &host);
  return known && known->heard_us > 0 && known->incarnation == incarnation;
}

/* Notes that a host was heard, after its reports were taken. */
void
jd_fleet_quota_note_host (jd_fleet_quota_t *quota, uint64_t host, uint64_t incarnation,
                          int64_t now_us)
{
  jd_quota_host_t *known = find_host (quota, host);
  known->incarnation = incarnation;
  known->heard_us = now_us;
}

/* Returns how many requests of a report were admitted in the last second or so. */
static double
recently_admitted (const jd_quota_report_t *report)
{
  return report->admitted_per_s * (double)DEMAND_WINDOW_US / (double)JD_US_PER_S;
}

/* Returns what a process of a host told of a tenant before, or an empty account. */
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
  /* A known host told nothing of the tenant because it had admitted nothing, and a new
   * process counts from 0. Of a host that is new here, what it admitted long ago no
   * longer counts. */
  if (!is_restarted && !jd_fleet_quota_knows_host (quota, host, incarnation))
    {
      uint64_t recent = (uint64_t)ceil (recently_admitted (report));
      peer->admitted = report->admitted - MIN (recent, report->admitted);
    }
  g_hash_table_insert (tenant->peers, g_memdup2 (&host, sizeof (host)), peer);
  return peer;
}

/* Takes what another host told of one tenant. */
void
jd_fleet_quota_take_report (jd_fleet_quota_t *quota, uint64_t host, uint64_t incarnation,
                            const jd_quota_report_t *report, int64_t now_us)
{
  jd_quota_tenant_t *tenant = find (quota, report->tenant_hash, now_us);
  jd_quota_peer_t *peer = find_peer (quota, tenant, host, incarnation, report);
  bool was_silent = peer->told_us > 0 &&
                    now_us - MAX (peer->host->heard_us, peer->told_us) > SILENCE_US;
  /* A report that was overtaken is older and counts less. */
  uint64_t news =
      report->admitted > peer->admitted ? report->admitted - peer->admitted : 0;
  peer->admitted += news;
  /* The tokens of what a host admitted in a long silence have come back since. */
  double admitted = was_silent ? MIN ((double)news, recently_admitted (report)) : news;
  refill (tenant, now_us);
  tenant->level -= admitted;
  peer->admitted_per_s *= faded (peer->told_us, now_us, SILENCE_WINDOW_US);
  peer->admitted_per_s += admitted * (double)JD_US_PER_S / (double)SILENCE_WINDOW_US;
  peer->demand_per_s = report->demand_per_s;
  peer->told_us = now_us;
}

/* TRUE when this host has admitted requests that it has not told of. */
bool
jd_fleet_quota_has_news (jd_fleet_quota_t *quota)
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

/* Fills in what this host tells the others: the tenants that asked for anything since
 * the last report, or whose demand is still fading. Returns the number of reports. */
uint32_t
jd_fleet_quota_reports (jd_fleet_quota_t *quota, jd_quota_report_t *reports, uint32_t max,
                        int64_t now_us)
{
  uint32_t count = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, quota->by_hash);
  while (count < max && g_hash_table_iter_next (&iter, NULL, &value))
    {
      jd_quota_tenant_t *tenant = value;
      fade_demand (tenant, now_us);
      if (tenant->admitted == tenant->reported && tenant->demand_per_s < 0.05)
        continue;
      tenant->reported = tenant->admitted;
      reports[count++] = (jd_quota_report_t){
        .tenant_hash = tenant->hash,
        .admitted = tenant->admitted,
        .demand_per_s = tenant->demand_per_s,
        .admitted_per_s = tenant->recent_per_s,
      };
    }
  return count;
}
