#pragma once

#include "base/clock.h"
#include "base/counters.h"
#include "config/config_store.h"
#include "daemons/broker_daemon.h"
#include "daemons/broker_entries.h"
#include "daemons/broker_targets.h"
#include "daemons/node.h"
#include "daemons/operator_http.h"
#include "daemons/stop_signal.h"
#include "routing/broker_core.h"
#include "transport/target_client.h"

/* Steps of a graceful shutdown. */
typedef enum jd_broker_phase
{
  JD_BROKER_RUNNING,
  JD_BROKER_ANNOUNCING, /* Entries are notified; work in transit is still accepted. */
  JD_BROKER_REFUSING,   /* New work is refused; running work finishes. */
  JD_BROKER_RELEASED,   /* No attempt runs; the last messages are sent. */
  JD_BROKER_STOPPED,
} jd_broker_phase_t;

/* Counters that the daemon updates itself; the core keeps its own counts. */
typedef struct jd_broker_counters
{
  jd_counter_t *work_messages;
  jd_counter_t *work_items;
  jd_counter_t *refused_items;
  jd_counter_t *outcomes;
  jd_counter_t *lost_results;
  jd_counter_t *cancels;
} jd_broker_counters_t;

/* State of the broker process. Only the event loop's thread uses it. */
struct jd_broker_daemon
{
  jd_broker_daemon_options_t options;
  jd_counters_t *counters;
  jd_broker_counters_t counts;
  jd_config_store_t *store;
  gboolean has_new_records;     /* Records were adopted since the last iteration. */
  gboolean has_unapplied_state; /* Health and drain do not follow the records yet. */
  jd_node_t *node;
  jd_stop_signal_t stop;
  jd_broker_core_t *core;
  jd_target_client_t *client;
  jd_broker_targets_t *targets;
  jd_broker_entries_t *entries;
  jd_operator_http_t *http;

  jd_broker_phase_t phase;
  gboolean is_draining;  /* The hosts record lists this member as draining. */
  gboolean has_released; /* The draining member has finished its work. */
  int64_t phase_start_us;
  int64_t shutdown_start_us;

  GArray *reported_states; /* jd_target_status_t, as last broadcast. */
  int64_t next_report_us;
};

/* broker_work.c: messages from entries, and the callbacks of the core and of the target
 * client. */
void jd_broker_work_on_message (jd_broker_daemon_t *broker,
                                const jd_peer_origin_t *origin, jd_message_t *message);
jd_broker_callbacks_t jd_broker_work_core_callbacks (jd_broker_daemon_t *broker);
void jd_broker_work_client_callbacks (jd_broker_daemon_t *broker,
                                      jd_target_client_options_t *options);
void jd_broker_work_announce (jd_broker_daemon_t *broker);

/* broker_report.c: target states for entries, and the status for operators. */
void jd_broker_report_tick (jd_broker_daemon_t *broker, int64_t now_us);
void jd_broker_report_to (jd_broker_daemon_t *broker, uint64_t entry, int64_t now_us);
