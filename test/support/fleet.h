#pragma once

#include <sys/types.h>

#include "base/clock.h"
#include "stand_ins/platform_server.h"
#include "stand_ins/target_server.h"
#include "support/http_call.h"

#define JD_FLEET_ZONES 2
#define JD_FLEET_MAX_SHARDS 20
/* Per zone one replica of each shard of service "desk", then one target of "studio". */
#define JD_FLEET_TARGETS (JD_FLEET_MAX_SHARDS + 1)
#define JD_FLEET_SEATS 3
#define JD_FLEET_KEY "X-Api-Key: fleet-key"

/* One program of the fleet. */
typedef struct jd_fleet_process
{
  char name[32];
  char zone[2];
  gboolean is_entry;
  pid_t pid; /* 0: not running. */
  uint16_t peer_port;
  uint16_t http_port;
} jd_fleet_process_t;

/* Entry and broker processes of two zones, with a platform and targets in this process.
 * Organisation "school" has the key fleet-key. */
typedef struct jd_fleet
{
  uint32_t entries_per_zone;
  uint32_t brokers_per_zone;
  uint32_t shards;
  double rate_per_s;
  double burst;
  int64_t key_staleness_limit_ms; /* 0: the default of the entry. */

  jd_timer_queue_t *timers;
  jd_execution_log_t *executions;
  jd_platform_t *platform;
  jd_target_t *targets[JD_FLEET_ZONES][JD_FLEET_TARGETS];
  jd_fleet_process_t processes[JD_FLEET_ZONES * 2 * JD_FLEET_SEATS];
  uint32_t process_count;
} jd_fleet_t;

/* Starts everything and waits until every entry answers with full coverage; FALSE after
 * 15 s. The first members of the struct are its options. */
gboolean jd_fleet_start (jd_fleet_t *fleet);
/* Ends all processes that still run. Returns how many had ended without being asked. */
uint32_t jd_fleet_stop (jd_fleet_t *fleet);
jd_fleet_process_t *jd_fleet_process (jd_fleet_t *fleet, const char *name);
/* Sends a signal and forgets the process; returns its exit status. */
int jd_fleet_end (jd_fleet_t *fleet, const char *name, int signal);
void jd_fleet_publish (jd_fleet_t *fleet, const char *record, const char *text);
void jd_fleet_platform_fault (jd_fleet_t *fleet, const char *json);
/* Searches "desk" at an entry. */
jd_http_reply_t jd_fleet_search (jd_fleet_t *fleet, const jd_fleet_process_t *entry);
/* Edits an entry of "studio"; the body is {"text": text}. */
jd_http_reply_t jd_fleet_edit (jd_fleet_t *fleet, const jd_fleet_process_t *entry,
                               const char *id, const char *text);
/* How often the edit with this text was executed. */
int jd_fleet_executions (jd_fleet_t *fleet, const char *text);
/* POST /faults of all targets. */
void jd_fleet_target_fault (jd_fleet_t *fleet, const char *json);
/* Requests that the targets of a zone have got so far. */
uint64_t jd_fleet_zone_requests (jd_fleet_t *fleet, uint32_t zone);
