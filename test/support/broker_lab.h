#pragma once

#include <sys/types.h>

#include "base/clock.h"
#include "stand_ins/platform_server.h"
#include "stand_ins/target_server.h"
#include "transport/peer_link.h"

#define JD_LAB_TARGETS 2
#define JD_LAB_BROKERS 3
#define JD_LAB_MAX_WORK 4096

/* What is known of one attempt that the lab's entry has sent. */
typedef struct jd_lab_work
{
  jd_work_kind_t kind;
  gboolean is_sent;
  gboolean has_ended;
  jd_result_code_t code;
  jd_ran_t ran;
} jd_lab_work_t;

/* Broker processes with a platform and targets in this process, and an entry that is a
 * bare peer link. Targets are "t0" and "t1"; brokers are "b0", "b1" and so on. */
typedef struct jd_lab
{
  jd_timer_queue_t *timers;
  jd_execution_log_t *executions;
  jd_platform_t *platform;
  jd_target_t *targets[JD_LAB_TARGETS];
  uint32_t broker_count;
  pid_t brokers[JD_LAB_BROKERS];
  char addresses[JD_LAB_BROKERS][32];
  uint16_t http_ports[JD_LAB_BROKERS];

  jd_peer_link_t *link;
  int64_t next_hello_us;
  int64_t clock_offset_us[JD_LAB_BROKERS]; /* Broker clock minus own clock. */
  int64_t state_us[JD_LAB_BROKERS];        /* Time of the latest target state; 0: none. */
  uint32_t owned[JD_LAB_BROKERS];          /* Bit I: target I. */
  gboolean is_draining[JD_LAB_BROKERS];
  jd_lab_work_t work[JD_LAB_MAX_WORK]; /* By attempt id. */
  uint64_t work_count;
  uint64_t duplicate_ends;
} jd_lab_t;

/* Starts everything and waits until the targets are owned; FALSE after 10 s. */
gboolean jd_lab_start (jd_lab_t *lab, uint32_t broker_count);
void jd_lab_stop (jd_lab_t *lab);
/* Starts a broker again after its process has ended. */
void jd_lab_restart (jd_lab_t *lab, uint32_t broker);
/* Publishes a record. */
void jd_lab_publish (const jd_lab_t *lab, const char *name, const char *text);
/* Handles messages for a time and sends hellos. */
void jd_lab_run (jd_lab_t *lab, int64_t duration_ms);
/* Sends one attempt to a broker; returns its id. */
uint64_t jd_lab_send (jd_lab_t *lab, uint32_t broker, uint32_t target,
                      jd_work_kind_t kind, int64_t timeout_ms);
/* Runs until an attempt has ended; FALSE after 5 s. */
gboolean jd_lab_wait (jd_lab_t *lab, uint64_t id);
/* The broker that reports to own a target, -1 for none. */
int jd_lab_owner (const jd_lab_t *lab, uint32_t target);
/* How often the edit with an attempt id was executed. */
int jd_lab_executions (jd_lab_t *lab, uint64_t id);
/* POST /faults of a target. */
void jd_lab_fault (jd_lab_t *lab, uint32_t target, const char *json);
