#pragma once

#include <sys/types.h>

#include "base/clock.h"
#include "stand_ins/platform_server.h"
#include "stand_ins/target_server.h"
#include "support/http_call.h"

#define JD_FLEET_ZONES 2
#define JD_FLEET_MAX_SHARDS 20
/* Targets per zone: one replica of each shard of service "desk", then one target of
 * "studio". */
#define JD_FLEET_TARGETS (JD_FLEET_MAX_SHARDS + 1)
#define JD_FLEET_MAX_GROUP_MEMBERS 3
#define JD_FLEET_KEY "X-Api-Key: fleet-key"

/* One daemon of the fleet. */
typedef struct jd_fleet_process
{
  char name[32];
  char zone[2];
  gboolean is_entry;
  pid_t pid; /* 0: not running. */
  uint16_t peer_port;
  uint16_t http_port;
} jd_fleet_process_t;

/* Starts entry and broker processes in two zones. The platform and target stand-ins run
 * in this process. Organisation "school" has the key fleet-key. The members before timers
 * are options; set them before jd_fleet_start (). */
typedef struct jd_fleet
{
  uint32_t entries_per_zone;
  uint32_t brokers_per_zone;
  uint32_t shard_count;
  double rate_per_s;
  double burst;
  int64_t key_staleness_limit_ms; /* 0: the default of the entry daemon. */

  jd_timer_queue_t *timers;
  jd_execution_log_t *executions;
  jd_platform_t *platform;
  jd_target_t *targets[JD_FLEET_ZONES][JD_FLEET_TARGETS];
  jd_fleet_process_t processes[JD_FLEET_ZONES * 2 * JD_FLEET_MAX_GROUP_MEMBERS];
  uint32_t process_count;
} jd_fleet_t;

/* Starts the stand-ins and daemons and waits until every entry answers with full
 * coverage; returns FALSE after 150 checks at intervals of 100 ms. */
gboolean jd_fleet_start (jd_fleet_t *fleet);
/* Kills all processes that still run. Returns how many had already exited although no
 * jd_fleet_end_process () call ended them. */
uint32_t jd_fleet_stop (jd_fleet_t *fleet);
jd_fleet_process_t *jd_fleet_process (jd_fleet_t *fleet, const char *name);
/* Sends a signal to a process, waits up to 15 s for its end and returns its exit
 * status. */
int jd_fleet_end_process (jd_fleet_t *fleet, const char *name, int signal);
void jd_fleet_publish (jd_fleet_t *fleet, const char *record, const char *text);
void jd_fleet_set_platform_faults (jd_fleet_t *fleet, const char *json);
/* Sends a search of service "desk" to an entry. */
jd_http_reply_t jd_fleet_search (jd_fleet_t *fleet, const jd_fleet_process_t *entry);
/* Sends an edit of the item id of service "studio" to an entry; the body is
 * {"text": text}. */
jd_http_reply_t jd_fleet_edit (jd_fleet_t *fleet, const jd_fleet_process_t *entry,
                               const char *id, const char *text);
/* Returns how often the targets executed the edit with this text. */
int jd_fleet_execution_count (jd_fleet_t *fleet, const char *text);
/* Sends a JSON object of fault settings to POST /faults of all targets. */
void jd_fleet_set_target_faults (jd_fleet_t *fleet, const char *json);
/* Returns the number of requests that have arrived at the targets of a zone. */
uint64_t jd_fleet_zone_request_count (jd_fleet_t *fleet, uint32_t zone);
