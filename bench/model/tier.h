#pragma once

#include "routing/broker_core.h"
#include "routing/entry_core.h"
#include "model/model_target.h"

/* Delays and faults of the messages between entries and brokers. Loss, duplicate and late
 * are fractions of the messages. */
typedef struct jd_model_network
{
  int64_t cross_zone_hop_us; /* One way between two zones. */
  int64_t same_zone_hop_us;  /* One way inside a zone. */
  int64_t
      max_jitter_us; /* Upper bound of a uniform delay that is added to each message. */
  double loss_fraction;
  double duplicate_fraction;
  double
      late_fraction; /* Delayed by up to max_late_us, so that messages overtake others. */
  int64_t max_late_us;
  int64_t target_hop_us; /* One way between a broker and its target. */
} jd_model_network_t;

typedef struct jd_model_fleet_options
{
  uint64_t seed;
  uint32_t entries;
  uint32_t brokers; /* Broker i is in zone i % zones. */
  uint32_t zones;
  uint32_t shards;
  uint32_t replicas;
  uint32_t slots;
  uint32_t cold_replies; /* See jd_model_target_t. */
  int64_t report_interval_us;
  uint32_t deadline_ms;
  double hedge_quantile;
  double hedge_budget;
  jd_model_network_t network;
  jd_entry_settings_t entry;
  jd_broker_settings_t broker;
} jd_model_fleet_options_t;

typedef struct jd_model_fleet jd_model_fleet_t;

/* Callbacks of a simulated fleet; see jd_model_hooks_t. */
typedef struct jd_model_fleet_hooks
{
  int64_t (*service_time_us) (void *context, const jd_model_request_t *request);
  void (*on_execute) (void *context, const jd_model_request_t *request, uint32_t load,
                      uint32_t capacity);
  void (*on_answer) (void *context, uint32_t entry, const jd_answer_t *answer);
  void *context;
} jd_model_fleet_hooks_t;

/* A simulated fleet: entry cores, broker cores and model targets of one service, "desk",
 * over a network in memory. Processes can be paused; targets can restart and move to
 * another broker. */
struct jd_model_fleet
{
  jd_sim_t *sim;
  jd_philox_t philox;
  jd_rng_t rng;
  jd_model_fleet_options_t options;
  jd_model_fleet_hooks_t hooks;
  struct jd_model_entry *entries;
  struct jd_model_broker *brokers;
  jd_model_target_t *targets; /* Replica r of shard s has index s * replicas + r. */
  uint32_t target_count;
  uint64_t map_version;
  uint64_t work_messages; /* Sent by entries, without network duplicates. */
};

jd_model_fleet_t *jd_model_fleet_new (const jd_model_fleet_options_t *options,
                                      const jd_model_fleet_hooks_t *hooks);
void jd_model_fleet_free (jd_model_fleet_t *fleet);
uint64_t jd_model_fleet_submit (jd_model_fleet_t *fleet, uint32_t entry,
                                const jd_request_t *request);
void jd_model_fleet_cancel (jd_model_fleet_t *fleet, uint32_t entry, uint64_t query_id);
/* Publishes a new shard map with the first shard_count shards to all entries. */
void jd_model_fleet_publish_map (jd_model_fleet_t *fleet, uint32_t shard_count);
/* Stop the event handling of a process for a time; its messages wait. */
void jd_model_fleet_pause_entry (jd_model_fleet_t *fleet, uint32_t entry,
                                 int64_t duration_us);
void jd_model_fleet_pause_broker (jd_model_fleet_t *fleet, uint32_t broker,
                                  int64_t duration_us);
/* Moves a target to another broker, which owns it after the takeover delay. Does nothing
 * while the target has no owner. */
void jd_model_fleet_move_target (jd_model_fleet_t *fleet, uint32_t target,
                                 uint32_t broker);
/* Returns the limit that the owner of a target applies to it now; 0 without an owner. */
uint32_t jd_model_fleet_target_limit (const jd_model_fleet_t *fleet, uint32_t target);
uint64_t jd_model_shard_weight (uint32_t shard);
const jd_entry_counts_t *jd_model_fleet_entry_counts (const jd_model_fleet_t *fleet,
                                                      uint32_t entry);
/* Sets the numbers of first and extra attempts of all entries. */
void jd_model_fleet_attempt_counts (const jd_model_fleet_t *fleet, uint64_t *first,
                                    uint64_t *extra);
