#pragma once

#include "limits/rate_limiter.h"
#include "support/rate_history.h"

#define JD_FLEET_MAX_ZONES 5
#define JD_FLEET_MAX_ORGANISATIONS 16

/* One mechanism that is switched off, to show that the check finds it. */
typedef enum jd_fleet_fault
{
  JD_FLEET_SOUND,
  JD_FLEET_SENDER_DOES_NOT_COUNT,
  JD_FLEET_LATE_GRANTS_CREDITED,
  JD_FLEET_GRANTS_CREDITED_TWICE,
  JD_FLEET_NO_TAKEOVER_GAP,
  JD_FLEET_LEASE_END_IGNORED,
  JD_FLEET_RAISE_AT_ONCE,
  JD_FLEET_FAULTS,
} jd_fleet_fault_t;

typedef struct jd_fleet_organisation
{
  double rate_per_s;
  double burst;
} jd_fleet_organisation_t;

/* Probabilities: of messages per message, of the others per 50 ms step. */
typedef struct jd_fleet_trouble
{
  double lost;
  double repeated;
  double slow; /* Delayed by up to the transfer lifetime. */
  double late; /* Delayed by up to 1.5 s. */
  double paused;
  double restarted;
  double partitioned;
  int64_t longest_pause_us;
  bool reconfigured;
} jd_fleet_trouble_t;

typedef struct jd_rate_fleet_options
{
  uint64_t seed;
  uint32_t zones;
  uint32_t seats_per_zone;
  uint32_t peers_per_zone; /* That a process asks; 0 for all. */
  uint32_t organisation_count;
  jd_fleet_organisation_t organisations[JD_FLEET_MAX_ORGANISATIONS];
  jd_rate_settings_t settings;
  int64_t one_way_us; /* Between zones; half of it within one. */
  int64_t takeover_gap_us;
  double drift_ppm; /* Clocks run off by up to this. */
  jd_fleet_trouble_t trouble;
  jd_fleet_fault_t off; /* Mechanism switched off. */
  void (*decided) (void *context, uint64_t request_id, bool admitted, int64_t at_us);
  void *context;
} jd_rate_fleet_options_t;

typedef struct jd_rate_fleet jd_rate_fleet_t;

jd_rate_fleet_t *jd_rate_fleet_new (const jd_rate_fleet_options_t *options);
void jd_rate_fleet_free (jd_rate_fleet_t *fleet);
void jd_rate_fleet_request (jd_rate_fleet_t *fleet, int64_t at_us, uint32_t seat,
                            uint32_t organisation, uint64_t request_id);
void jd_rate_fleet_lose_host (jd_rate_fleet_t *fleet, uint32_t seat);
void jd_rate_fleet_run (jd_rate_fleet_t *fleet, int64_t until_us);
jd_rate_verdict_t jd_rate_fleet_check (jd_rate_fleet_t *fleet, uint32_t organisation,
                                       bool starts);
uint64_t jd_rate_fleet_messages (const jd_rate_fleet_t *fleet);
