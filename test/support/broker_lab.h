#pragma once

#include <sys/types.h>

#include "base/clock.h"
#include "stand_ins/platform_server.h"
#include "stand_ins/target_server.h"
#include "transport/peer_link.h"

#define JD_BROKER_FIXTURE_TARGETS 2
#define JD_BROKER_FIXTURE_MAX_BROKERS 3
#define JD_BROKER_FIXTURE_MAX_ATTEMPTS 4096

/* One attempt that the fixture's entry has sent, and its outcome. */
typedef struct jd_broker_fixture_attempt
{
  jd_work_kind_t kind;
  gboolean is_sent;
  gboolean has_ended;
  jd_result_code_t code;
  jd_ran_t ran;
} jd_broker_fixture_attempt_t;

/* Starts broker processes. The platform and target stand-ins run in this process; the
 * entry is a peer link without an entry core. Targets are named "t0" and "t1"; brokers
 * are named "b0", "b1" and so on. */
typedef struct jd_broker_fixture
{
  jd_timer_queue_t *timers;
  jd_execution_log_t *executions;
  jd_platform_t *platform;
  jd_target_t *targets[JD_BROKER_FIXTURE_TARGETS];
  uint32_t broker_count;
  const char *bootstrap_peers; /* Addresses that brokers started from now on contact
                                  before they know the fleet; NULL: none. */
  pid_t brokers[JD_BROKER_FIXTURE_MAX_BROKERS];
  char addresses[JD_BROKER_FIXTURE_MAX_BROKERS][32];
  uint16_t http_ports[JD_BROKER_FIXTURE_MAX_BROKERS];

  jd_peer_link_t *link;
  int64_t next_hello_us;
  int64_t clock_offset_us[JD_BROKER_FIXTURE_MAX_BROKERS];   /* Broker clock minus local
                                                               clock. */
  int64_t state_received_us[JD_BROKER_FIXTURE_MAX_BROKERS]; /* Arrival of the latest
                                                target state; 0: none. */
  uint32_t
      owned_targets[JD_BROKER_FIXTURE_MAX_BROKERS]; /* Bit i: the broker owns target i. */
  gboolean is_draining[JD_BROKER_FIXTURE_MAX_BROKERS];
  jd_broker_fixture_attempt_t
      attempts[JD_BROKER_FIXTURE_MAX_ATTEMPTS]; /* Indexed by attempt id. */
  uint64_t attempt_count;
  uint64_t duplicate_outcomes;
} jd_broker_fixture_t;

/* Starts the stand-ins and brokers and waits until every target has an owner; returns
 * FALSE after 10 s. */
gboolean jd_broker_fixture_start (jd_broker_fixture_t *fixture, uint32_t broker_count);
void jd_broker_fixture_stop (jd_broker_fixture_t *fixture);
/* Starts a broker again after its process has ended. */
void jd_broker_fixture_start_broker (jd_broker_fixture_t *fixture, uint32_t broker);
/* Publishes a record at the platform stand-in. */
void jd_broker_fixture_publish (const jd_broker_fixture_t *fixture, const char *name,
                                const char *text);
/* Handles messages for duration_ms and sends a hello to each broker every 100 ms. */
void jd_broker_fixture_run (jd_broker_fixture_t *fixture, int64_t duration_ms);
/* Sends one attempt to a broker; returns its id. */
uint64_t jd_broker_fixture_send_attempt (jd_broker_fixture_t *fixture, uint32_t broker,
                                         uint32_t target, jd_work_kind_t kind,
                                         int64_t timeout_ms);
/* Runs until an attempt has ended; returns FALSE after about 5 s. */
gboolean jd_broker_fixture_wait_for_attempt (jd_broker_fixture_t *fixture, uint64_t id);
/* Returns the index of the broker that reports itself as owner of a target; -1: none. */
int jd_broker_fixture_owner (const jd_broker_fixture_t *fixture, uint32_t target);
/* Returns how often the targets executed the edit with an attempt id. */
int jd_broker_fixture_execution_count (jd_broker_fixture_t *fixture, uint64_t id);
/* Sends a JSON object of fault settings to POST /faults of a target. */
void jd_broker_fixture_set_target_faults (jd_broker_fixture_t *fixture, uint32_t target,
                                          const char *json);
