#pragma once

#include "config/drain_record.h"

/* Which zones, targets and seats get no new work. Not thread safe. docs/design.md section
 * 4.10. */
typedef struct jd_drain jd_drain_t;

/* Time over which a returning zone goes back to its full part of the work. */
#define JD_ZONE_RAMP_US INT64_C (10000000)

jd_drain_t *jd_drain_new (const char *own_zone, int64_t zone_ramp_us);
void jd_drain_free (jd_drain_t *drain);

/* Events. Records may be NULL when there is none in force. */
void jd_drain_set_zones (jd_drain_t *drain, const jd_zone_state_record_t *record,
                         int64_t now_us);
void jd_drain_set_hosts (jd_drain_t *drain, jd_host_state_record_t *record);
void jd_drain_set_listed (jd_drain_t *drain, const char *const *leaving);
void jd_drain_set_reported (jd_drain_t *drain, const char *target, gboolean is_draining);

/* Queries. */
gboolean jd_drain_zone_is_out (const jd_drain_t *drain, const char *zone);
gboolean jd_drain_own_zone_is_out (const jd_drain_t *drain);
double jd_drain_zone_part (const jd_drain_t *drain, const char *zone, int64_t now_us);
gboolean jd_drain_zone_allows (const jd_drain_t *drain, const char *zone, double draw,
                               int64_t now_us);
gboolean jd_drain_target_allows (const jd_drain_t *drain, const char *target,
                                 const char *address);
gboolean jd_drain_seat_is_draining (const jd_drain_t *drain, const char *seat);
