#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Limits each tenant to its rate over all hosts. Hosts report to each other how much they
 * have admitted; between reports each host admits its share of the demand. */
typedef struct jd_fleet_quota jd_fleet_quota_t;

/* One host's report about one tenant to the other hosts. */
typedef struct jd_quota_report
{
  uint64_t tenant_hash;
  uint64_t admitted;     /* Requests admitted since the start of the host's process. */
  double demand_per_s;   /* Requests that arrived, whether admitted or not. */
  double admitted_per_s; /* Requests admitted, smoothed over about the last second. */
} jd_quota_report_t;

/* State of a tenant's limit on one host, for request traces. */
typedef struct jd_quota_status
{
  double rate_per_s;
  double level;       /* Tokens left in the bucket of the whole fleet. */
  double local_level; /* Tokens left in the bucket of this host's share. */
  double demand_per_s;
  double other_hosts_demand_per_s; /* Demand at all other hosts. */
} jd_quota_status_t;

jd_fleet_quota_t *jd_fleet_quota_new (bool first_start);
void jd_fleet_quota_free (jd_fleet_quota_t *quota);
void jd_fleet_quota_set_interval (jd_fleet_quota_t *quota, int64_t interval_us);
void jd_fleet_quota_set_slack (jd_fleet_quota_t *quota, double slack);
void jd_fleet_quota_set (jd_fleet_quota_t *quota, const char *tenant, double rate_per_s,
                         double burst, int64_t now_us);
bool jd_fleet_quota_admit (jd_fleet_quota_t *quota, const char *tenant, uint32_t hosts,
                           int64_t now_us, int64_t *retry_after_us);
jd_quota_status_t jd_fleet_quota_status (jd_fleet_quota_t *quota, const char *tenant,
                                         int64_t now_us);
void jd_fleet_quota_apply_report (jd_fleet_quota_t *quota, uint64_t host,
                                  uint64_t incarnation, const jd_quota_report_t *report,
                                  int64_t now_us);
void jd_fleet_quota_record_heartbeat (jd_fleet_quota_t *quota, uint64_t host,
                                      uint64_t incarnation, int64_t now_us);
bool jd_fleet_quota_has_host (const jd_fleet_quota_t *quota, uint64_t host,
                              uint64_t incarnation);
bool jd_fleet_quota_has_unreported (jd_fleet_quota_t *quota);
uint32_t jd_fleet_quota_reports (jd_fleet_quota_t *quota, jd_quota_report_t *reports,
                                 uint32_t max, int64_t now_us);
