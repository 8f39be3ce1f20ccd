#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "daemons/broker_defs.h"

#define REPORT_INTERVAL_US (200 * JD_US_PER_MS)
/* A change is reported immediately, but at least this long after the previous report. */
#define MIN_REPORT_INTERVAL_US (5 * JD_US_PER_MS)

/* Orders target states by target, so that two lists can be compared item by item. */
static int
compare_states (gconstpointer a, gconstpointer b)
{
  const jd_target_status_t *first = a;
  const jd_target_status_t *second = b;
  return strcmp (first->target, second->target);
}

/* Returns the states to report to entries, sorted by target: those of all owned targets,
 * or none during a shutdown or a drain. Free with g_array_unref. */
static GArray *
current_states (const jd_broker_daemon_t *broker, int64_t now_us)
{
  GArray *states = g_array_new (FALSE, FALSE, sizeof (jd_target_status_t));
  if (broker->phase == JD_BROKER_RUNNING && !broker->is_draining)
    jd_broker_core_target_states (broker->core, now_us, states);
  g_array_sort (states, compare_states);
  return states;
}

/* Returns TRUE if two sorted lists differ in anything but the load, which changes with
 * every attempt. */
static gboolean
has_changed (const GArray *before, const GArray *after)
{
  if (before->len != after->len)
    return TRUE;
  for (guint i = 0; i < after->len; i++)
    {
      const jd_target_status_t *old = &g_array_index (before, jd_target_status_t, i);
      const jd_target_status_t *new = &g_array_index (after, jd_target_status_t, i);
      if (strcmp (old->target, new->target) != 0 || old->limit != new->limit ||
          old->cold != new->cold || old->draining != new->draining ||
          old->snapshot_count != new->snapshot_count ||
          memcmp (old->snapshots, new->snapshots, sizeof (old->snapshots)) != 0)
        return TRUE;
    }
  return FALSE;
}

/* Returns a target state message that points into states; valid as long as states. */
static jd_message_t
state_message (const GArray *states, int64_t now_us)
{
  return (jd_message_t){ .type = JD_MESSAGE_TARGET_STATE,
                         .target_state = {
                             .broker_clock_us = now_us,
                             .target_count = states->len,
                             .targets = (jd_target_status_t *)(void *)states->data } };
}

/* Sends the current target states to one entry. */
void
jd_broker_report_to (jd_broker_daemon_t *broker, uint64_t entry, int64_t now_us)
{
  GArray *states = current_states (broker, now_us);
  const jd_message_t message = state_message (states, now_us);
  jd_broker_entries_send (broker->entries, entry, &message, now_us);
  g_array_unref (states);
}

/* Returns one target state as a new JSON object. */
static json_t *
state_json (const jd_target_status_t *state)
{
  json_t *snapshots = json_array ();
  for (uint32_t i = 0; i < state->snapshot_count; i++)
    json_array_append_new (snapshots, json_integer ((json_int_t)state->snapshots[i]));
  return json_pack ("{s:s, s:i, s:i, s:i, s:b, s:b, s:o}", "target", state->target,
                    "limit", (int)state->limit, "in_flight", (int)state->in_flight,
                    "queued", (int)state->queued, "cold", state->cold, "draining",
                    state->draining, "snapshots", snapshots);
}

/* Replaces the JSON text that operators read at /status. */
static void
publish_status (jd_broker_daemon_t *broker, const GArray *states, int64_t now_us)
{
  json_t *targets = json_array ();
  for (guint i = 0; i < states->len; i++)
    json_array_append_new (targets,
                           state_json (&g_array_index (states, jd_target_status_t, i)));
  json_t *root = json_pack (
      "{s:s, s:s, s:I, s:b, s:b, s:i, s:i, s:o}", "seat", broker->options.member, "zone",
      broker->options.zone, "incarnation", (json_int_t)jd_node_incarnation (broker->node),
      "draining", broker->phase != JD_BROKER_RUNNING || broker->is_draining, "lease_held",
      now_us < jd_node_lease_until_us (broker->node), "entries",
      (int)jd_broker_entries_count (broker->entries), "open_attempts",
      (int)jd_broker_core_open_count (broker->core), "targets", targets);
  char *text = json_dumps (root, JSON_COMPACT);
  jd_operator_http_set_status (broker->http, g_strdup (text ? text : "{}"));
  free (text);
  json_decref (root);
}

/* Copies the counts of the core, the entries and the peer link into the counters. */
static void
publish_counts (jd_broker_daemon_t *broker)
{
  const jd_broker_counts_t *counts = jd_broker_core_counts (broker->core);
  const struct
  {
    const char *name;
    uint64_t value;
  } values[] = {
    { "broker.attempts_started", counts->started },
    { "broker.refused_overload", counts->refused_overload },
    { "broker.refused_not_owner", counts->refused_not_owner },
    { "broker.refused_target", counts->refused_target },
    { "broker.expired", counts->expired },
    { "broker.duplicate_attempts", counts->duplicates },
    { "broker.unknown_replies", counts->unknown_replies },
    { "broker.stopped_before_write", counts->stopped_before_write },
    { "broker.open_attempts", jd_broker_core_open_count (broker->core) },
    { "broker.entries", jd_broker_entries_count (broker->entries) },
    { "broker.messages_dropped", jd_peer_link_dropped (jd_node_link (broker->node)) },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (values); i++)
    jd_counter_set (jd_counters_get (broker->counters, values[i].name), values[i].value);
}

/* Broadcasts the target states to all entries, and updates the status and the counters,
 * if the report interval has passed or a target has changed. */
void
jd_broker_report_tick (jd_broker_daemon_t *broker, int64_t now_us)
{
  gboolean is_due = now_us >= broker->next_report_us;
  int64_t last_report_us = broker->next_report_us - REPORT_INTERVAL_US;
  if (!is_due && now_us - last_report_us < MIN_REPORT_INTERVAL_US)
    return;
  GArray *states = current_states (broker, now_us);
  if (!is_due && !has_changed (broker->reported_states, states))
    {
      g_array_unref (states);
      return;
    }
  const jd_message_t message = state_message (states, now_us);
  jd_broker_entries_broadcast (broker->entries, &message, now_us);
  publish_status (broker, states, now_us);
  publish_counts (broker);
  g_array_unref (broker->reported_states);
  broker->reported_states = states;
  broker->next_report_us = now_us + REPORT_INTERVAL_US;
}
