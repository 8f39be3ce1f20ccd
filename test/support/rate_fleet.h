#pragma once

#include "limits/rate_limiter.h"
#include "support/rate_history.h"

#define JD_FLEET_MAX_ZONES 5
#define JD_FLEET_MAX_ORGANISATIONS 16

/* A mechanism of the rate limiter that a run can switch off, to show that the check finds
 * the violations that result. */
typedef enum jd_fleet_mechanism
{
  JD_FLEET_MECHANISM_NONE,
  JD_FLEET_MECHANISM_SENT_GRANT_COUNTING,
  JD_FLEET_MECHANISM_LATE_GRANT_CHECK,
  JD_FLEET_MECHANISM_DUPLICATE_GRANT_CHECK,
  JD_FLEET_MECHANISM_TAKEOVER_GAP,
  JD_FLEET_MECHANISM_LEASE_END,
  JD_FLEET_MECHANISM_RAISE_DELAY,
  JD_FLEET_MECHANISM_COUNT,
} jd_fleet_mechanism_t;

typedef struct jd_fleet_organisation
{
  double rate_per_s;
  double burst;
} jd_fleet_organisation_t;

/* Injected faults. Probabilities of message faults are per message; those of process
 * faults and network partitions are per step of 50 ms. */
typedef struct jd_fleet_faults
{
  double loss_probability;
  double duplicate_probability;
  double slow_probability;  /* Delayed by up to transfer_ttl_us. */
  double late_probability;  /* Delayed by up to 1.5 s. */
  double pause_probability; /* Also per event at a process, divided by 50. */
  double
      restart_probability; /* Also the probability per renewal of giving up all shares. */
  double partition_probability;
  int64_t max_pause_us;
  bool changes_config; /* Rates and zone weights change during the run. */
} jd_fleet_faults_t;

typedef struct jd_rate_fleet_options
{
  uint64_t seed;
  uint32_t zones;
  uint32_t members_per_zone;
  uint32_t peers_per_zone; /* That a process sends token requests to; 0: all. */
  uint32_t organisation_count;
  jd_fleet_organisation_t organisations[JD_FLEET_MAX_ORGANISATIONS];
  jd_rate_settings_t settings;
  int64_t cross_zone_delay_us; /* Minimum message delay between zones; half of it within a
                                  zone. */
  int64_t takeover_gap_us;
  double max_drift_ppm; /* Maximum deviation of a clock's rate in either direction. */
  jd_fleet_faults_t faults;
  jd_fleet_mechanism_t disabled_mechanism; /* Mechanism that is switched off. */
  void (*on_decision) (void *context, uint64_t request_id, bool admitted, int64_t at_us);
  void *context;
} jd_rate_fleet_options_t;

typedef struct jd_rate_fleet jd_rate_fleet_t;

jd_rate_fleet_t *jd_rate_fleet_new (const jd_rate_fleet_options_t *options);
void jd_rate_fleet_free (jd_rate_fleet_t *fleet);
void jd_rate_fleet_request (jd_rate_fleet_t *fleet, int64_t at_us, uint32_t member,
                            uint32_t organisation, uint64_t request_id);
void jd_rate_fleet_end_member (jd_rate_fleet_t *fleet, uint32_t member);
void jd_rate_fleet_run (jd_rate_fleet_t *fleet, int64_t until_us);
jd_rate_check_result_t jd_rate_fleet_check (jd_rate_fleet_t *fleet, uint32_t organisation,
                                            bool checks_starts);
uint64_t jd_rate_fleet_message_count (const jd_rate_fleet_t *fleet);
