#include "daemons/broker_daemon.h"

#include "base/log_event.h"
#include "base/rng.h"
#include "daemons/broker_defs.h"

/* Longest wait of the event loop. It bounds the delay of steps without a timer of their
 * own, such as the end of the shutdown. */
#define MAX_WAIT_US (100 * JD_US_PER_MS)
/* Duration of the first phase of the shutdown, in which the broker still accepts work
 * from entries that have not received the shutdown notice yet. */
#define ANNOUNCE_DURATION_US (100 * JD_US_PER_MS)
/* Duration of the last phase of the shutdown, in which the last messages are sent.
 * Sockets are closed without lingering, which drops unsent messages. */
#define RELEASE_DURATION_US (100 * JD_US_PER_MS)

/* Returns the event poll that the event loop waits on; the node owns it. */
static jd_event_poll_t *
event_poll (const jd_broker_daemon_t *broker)
{
  return jd_peer_link_event_poll (jd_node_link (broker->node));
}

/* Node callback: handles a message that is not about membership or records. */
static void
on_message (void *context, const jd_peer_origin_t *origin, jd_message_t *message)
{
  jd_broker_work_on_message (context, origin, message);
}

/* Node callback: schedules a reload, because the current version of a record changed. */
static void
on_record (void *context, const char *name)
{
  jd_broker_daemon_t *broker = context;
  broker->has_new_records = TRUE;
}

/* Starts a phase of the shutdown and logs it as name. */
static void
enter_phase (jd_broker_daemon_t *broker, jd_broker_phase_t phase, const char *name)
{
  broker->phase = phase;
  broker->phase_start_us = jd_node_now_us (broker->node);
  jd_log_event (G_LOG_LEVEL_INFO, "shutdown_phase", "phase=%s open_attempts=%u", name,
                jd_broker_core_open_count (broker->core));
}

/* Starts a graceful shutdown: notifies the entries and reports no target as owned. */
static void
begin_shutdown (jd_broker_daemon_t *broker)
{
  enter_phase (broker, JD_BROKER_ANNOUNCING, "announcing");
  broker->shutdown_start_us = broker->phase_start_us;
  broker->next_report_us = broker->phase_start_us;
  jd_operator_http_set_health (broker->http, JD_SHUTTING_DOWN);
  jd_broker_work_announce (broker);
}

/* Starts the next phase of the shutdown if the current one is complete. The member keeps
 * its targets while it drains, until no attempt runs, so that no other broker uses the
 * targets at the same time. */
static void
advance_shutdown (jd_broker_daemon_t *broker, int64_t now_us)
{
  int64_t elapsed_us = now_us - broker->phase_start_us;
  gboolean is_idle = jd_broker_core_open_count (broker->core) == 0;
  gboolean is_limit_reached =
      now_us - broker->shutdown_start_us >= broker->options.shutdown_limit_us;
  if (broker->phase == JD_BROKER_ANNOUNCING && elapsed_us >= ANNOUNCE_DURATION_US)
    {
      enter_phase (broker, JD_BROKER_REFUSING, "refusing");
      jd_node_set_state (broker->node, JD_MEMBER_DRAINING);
    }
  else if (broker->phase == JD_BROKER_REFUSING && is_idle)
    {
      enter_phase (broker, JD_BROKER_RELEASED, "released");
      jd_node_set_state (broker->node, JD_MEMBER_RELEASED);
    }
  else if (broker->phase == JD_BROKER_REFUSING && is_limit_reached)
    {
      jd_log_event (G_LOG_LEVEL_WARNING, "shutdown_limit_reached", "open_attempts=%u",
                    jd_broker_core_open_count (broker->core));
      enter_phase (broker, JD_BROKER_STOPPED, "stopped");
    }
  else if (broker->phase == JD_BROKER_RELEASED && elapsed_us >= RELEASE_DURATION_US)
    enter_phase (broker, JD_BROKER_STOPPED, "stopped");
}

/* Returns TRUE if the hosts record lists this member as draining. */
static gboolean
is_drain_published (const jd_broker_daemon_t *broker)
{
  jd_host_state_record_t *hosts = jd_config_store_hosts (broker->store);
  if (!hosts)
    return FALSE;
  gboolean draining =
      g_hash_table_contains (hosts->draining_members, broker->options.member);
  jd_host_state_record_unref (hosts);
  return draining;
}

/* Starts or ends a drain that operators have published. */
static void
set_draining (jd_broker_daemon_t *broker, gboolean draining, int64_t now_us)
{
  if (draining == broker->is_draining)
    return;
  broker->is_draining = draining;
  broker->has_released = FALSE;
  broker->next_report_us = now_us;
  jd_log_event (G_LOG_LEVEL_INFO, "seat_drain", "draining=%d open_attempts=%u", draining,
                jd_broker_core_open_count (broker->core));
  jd_operator_http_set_health (broker->http, draining ? JD_SHUTTING_DOWN : JD_OK);
  if (!draining)
    {
      jd_node_reactivate (broker->node);
      return;
    }
  jd_node_set_state (broker->node, JD_MEMBER_DRAINING);
  jd_broker_work_announce (broker);
}

/* Releases the targets to other brokers once a draining member runs no attempt. */
static void
release_when_idle (jd_broker_daemon_t *broker)
{
  if (!broker->is_draining || broker->has_released ||
      jd_broker_core_open_count (broker->core) > 0)
    return;
  broker->has_released = TRUE;
  jd_node_set_state (broker->node, JD_MEMBER_RELEASED);
}

/* Applies the records that were adopted since the last iteration of the event loop. The
 * health and the drain follow once the node has joined, which may be later than the last
 * record. */
static void
apply_records (jd_broker_daemon_t *broker, int64_t now_us)
{
  if (broker->has_new_records)
    {
      broker->has_new_records = FALSE;
      broker->has_unapplied_state = TRUE;
      jd_broker_targets_reload (broker->targets, now_us);
    }
  if (!broker->has_unapplied_state || broker->phase != JD_BROKER_RUNNING ||
      !jd_node_is_listed (broker->node))
    return;
  broker->has_unapplied_state = FALSE;
  jd_operator_http_set_health (broker->http,
                               broker->is_draining ? JD_SHUTTING_DOWN : JD_OK);
  set_draining (broker, is_drain_published (broker), now_us);
}

/* Returns the time until the earliest timer of all components, in milliseconds rounded
 * up. */
static int
poll_timeout_ms (const jd_broker_daemon_t *broker, int64_t now_us)
{
  int64_t wake_us = now_us + MAX_WAIT_US;
  wake_us = MIN (wake_us, jd_broker_core_next_wake_us (broker->core, now_us));
  wake_us = MIN (wake_us, jd_target_client_next_wake_us (broker->client));
  wake_us = MIN (wake_us, jd_broker_targets_next_tick_us (broker->targets));
  wake_us = MIN (wake_us, broker->next_report_us);
  if (broker->phase == JD_BROKER_ANNOUNCING)
    wake_us = MIN (wake_us, broker->phase_start_us + ANNOUNCE_DURATION_US);
  return wake_us <= now_us ? 0
                           : (int)((wake_us - now_us + JD_US_PER_MS - 1) / JD_US_PER_MS);
}

/* Runs one iteration of the event loop. The target client runs twice: first to pass ended
 * requests to the core, then to send the attempts that the core has started. */
static void
run_iteration (jd_broker_daemon_t *broker)
{
  jd_node_poll (broker->node, poll_timeout_ms (broker, jd_node_now_us (broker->node)));
  int64_t now_us = jd_node_now_us (broker->node);
  apply_records (broker, now_us);
  jd_broker_targets_tick (broker->targets, now_us);
  jd_target_client_run (broker->client);
  jd_broker_core_tick (broker->core, jd_node_now_us (broker->node));
  jd_target_client_run (broker->client);
  now_us = jd_node_now_us (broker->node);
  jd_broker_core_flush (broker->core, now_us);
  jd_broker_report_tick (broker, now_us);
  release_when_idle (broker);
  if (broker->stop.received && broker->phase == JD_BROKER_RUNNING)
    begin_shutdown (broker);
  if (broker->phase != JD_BROKER_RUNNING)
    advance_shutdown (broker, now_us);
}

/* Runs the event loop until a graceful shutdown has ended. */
void
jd_broker_daemon_run (jd_broker_daemon_t *broker)
{
  while (broker->phase != JD_BROKER_STOPPED)
    run_iteration (broker);
}

/* Creates the counters of the process. */
static void
create_counters (jd_broker_daemon_t *broker)
{
  broker->counters = jd_counters_new ();
  jd_counters_t *counters = broker->counters;
  broker->counts = (jd_broker_counters_t){
    .work_messages = jd_counters_get (counters, "broker.work_messages"),
    .work_items = jd_counters_get (counters, "broker.work_items"),
    .refused_items = jd_counters_get (counters, "broker.refused_shutdown_or_unknown"),
    .outcomes = jd_counters_get (counters, "broker.outcomes"),
    .lost_results = jd_counters_get (counters, "broker.results_undeliverable"),
    .cancels = jd_counters_get (counters, "broker.cancels"),
  };
}

/* Binds the peer address and the operator port. On failure sets error and returns FALSE;
 * jd_broker_daemon_free releases what was opened. */
static gboolean
open_ports (jd_broker_daemon_t *broker, GError **error)
{
  const jd_node_options_t node = {
    .member = broker->options.member,
    .zone = broker->options.zone,
    .role = JD_ROLE_BROKER,
    .peer_address = broker->options.peer_address,
    .bootstrap_peers = broker->options.bootstrap_peers,
    .platform_url = broker->options.platform_url,
    .clock = jd_clock_system (),
    .counters = broker->counters,
    .store = broker->store,
    .callbacks = { .on_message = on_message, .on_record = on_record, .context = broker },
  };
  broker->node = jd_node_new (&node, error);
  if (!broker->node)
    return FALSE;
  if (!jd_stop_signal_init (&broker->stop, event_poll (broker)))
    {
      g_set_error (error, G_IO_CHANNEL_ERROR, G_IO_CHANNEL_ERROR_FAILED,
                   "cannot watch for SIGTERM and SIGINT");
      return FALSE;
    }
  broker->http =
      jd_operator_http_start (broker->options.http_port, broker->counters, error);
  return broker->http != NULL;
}

/* Creates the broker core, the target client and the table of targets. */
static void
create_core (jd_broker_daemon_t *broker)
{
  broker->entries = jd_broker_entries_new (jd_node_link (broker->node));
  const jd_broker_settings_t settings = jd_broker_settings_default ();
  const jd_broker_callbacks_t callbacks = jd_broker_work_core_callbacks (broker);
  broker->core = jd_broker_core_new (&settings, &callbacks);
  char *prefix = g_strdup_printf ("%s-%016" G_GINT64_MODIFIER "x", broker->options.member,
                                  jd_node_incarnation (broker->node));
  /* The prefix becomes part of HTTP headers and paths. */
  g_strcanon (prefix, G_CSET_A_2_Z G_CSET_a_2_z G_CSET_DIGITS "-_.", '_');
  jd_target_client_options_t client = {
    .poll = event_poll (broker),
    .clock = jd_clock_system (),
    .id_prefix = prefix,
  };
  jd_broker_work_client_callbacks (broker, &client);
  broker->client = jd_target_client_new (&client);
  g_free (prefix);
  const jd_broker_targets_options_t targets = {
    .member = broker->options.member,
    .zone = broker->options.zone,
    .store = broker->store,
    .core = broker->core,
    .client = broker->client,
    .node = broker->node,
    .counters = broker->counters,
  };
  broker->targets = jd_broker_targets_new (&targets);
}

/* Creates a broker that is ready to run. Returns NULL and sets error if it cannot bind a
 * port. */
jd_broker_daemon_t *
jd_broker_daemon_new (const jd_broker_daemon_options_t *options, GError **error)
{
  jd_broker_daemon_t *broker = g_new0 (jd_broker_daemon_t, 1);
  broker->options = *options;
  broker->stop.fd = -1;
  broker->reported_states = g_array_new (FALSE, FALSE, sizeof (jd_target_status_t));
  broker->store = jd_config_store_new ();
  create_counters (broker);
  if (!open_ports (broker, error))
    {
      jd_broker_daemon_free (broker);
      return NULL;
    }
  create_core (broker);
  jd_log_event (G_LOG_LEVEL_INFO, "started",
                "zone=%s peer_address=%s http_port=%u incarnation=%" G_GUINT64_FORMAT,
                options->zone, options->peer_address, options->http_port,
                jd_node_incarnation (broker->node));
  return broker;
}

/* Frees a broker and aborts its running attempts; NULL is allowed. */
void
jd_broker_daemon_free (jd_broker_daemon_t *broker)
{
  if (!broker)
    return;
  jd_operator_http_stop (broker->http);
  jd_broker_targets_free (broker->targets);
  jd_target_client_free (broker->client);
  if (broker->core)
    jd_broker_core_free (broker->core);
  jd_broker_entries_free (broker->entries);
  if (broker->node)
    jd_stop_signal_clear (&broker->stop, event_poll (broker));
  jd_node_free (broker->node);
  jd_config_store_free (broker->store);
  jd_counters_free (broker->counters);
  g_array_unref (broker->reported_states);
  g_free (broker);
}
