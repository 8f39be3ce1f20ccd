#include "support/fleet.h"

#include <signal.h>
#include <string.h>

#include "support/child.h"
#include "support/free_port.h"

static const char *const zone_names[JD_FLEET_ZONES] = { "a", "b" };

/* Aborts the test if the platform stand-in does not accept the record. */
void
jd_fleet_publish (jd_fleet_t *fleet, const char *record, const char *text)
{
  char *url = g_strdup_printf ("http://127.0.0.1:%u/v1/records/%s",
                               jd_platform_port (fleet->platform), record);
  jd_http_reply_t reply = jd_http_call ("PUT", url, NULL, text, 3000);
  if (reply.status / 100 != 2)
    g_error ("record %s is not published: HTTP status %ld, expected 2xx", record,
             reply.status);
  jd_http_reply_clear (&reply);
  g_free (url);
}

void
jd_fleet_set_platform_faults (jd_fleet_t *fleet, const char *json)
{
  char *url =
      g_strdup_printf ("http://127.0.0.1:%u/faults", jd_platform_port (fleet->platform));
  jd_http_reply_t reply = jd_http_call ("POST", url, NULL, json, 3000);
  jd_http_reply_clear (&reply);
  g_free (url);
}

/* Appends a voting-only member at the address of the other zone's first process if the
 * group has two members, so that the group keeps a quorum when one of them fails. */
static void
append_voting_only_member (jd_fleet_t *fleet, GString *text, uint32_t zone,
                           gboolean is_entry)
{
  uint32_t member_count = is_entry ? fleet->entries_per_zone : fleet->brokers_per_zone;
  char *name =
      g_strdup_printf ("%s-%s-0", zone_names[1 - zone], is_entry ? "entry" : "broker");
  if (member_count == 2)
    g_string_append_printf (text,
                            ",{\"name\":\"%s-%s-witness\",\"address\":\"127.0.0.1:%u\","
                            "\"witness\":true}",
                            zone_names[zone], is_entry ? "entry" : "broker",
                            jd_fleet_process (fleet, name)->peer_port);
  g_free (name);
}

/* Appends the groups of one role, one per zone. */
static void
append_groups (jd_fleet_t *fleet, GString *text, gboolean is_entry)
{
  for (uint32_t zone = 0; zone < JD_FLEET_ZONES; zone++)
    {
      const char *role = is_entry ? "entry" : "broker";
      const char *separator = "";
      g_string_append_printf (text,
                              "%s{\"name\":\"%s-%s\",\"zone\":\"%s\",\"role\":\"%s\","
                              "\"seats\":[",
                              is_entry && zone == 0 ? "" : ",", zone_names[zone], role,
                              zone_names[zone], role);
      for (uint32_t i = 0; i < fleet->process_count; i++)
        {
          const jd_fleet_process_t *process = &fleet->processes[i];
          if (process->is_entry != is_entry ||
              strcmp (process->zone, zone_names[zone]) != 0)
            continue;
          g_string_append_printf (text,
                                  "%s{\"name\":\"%s\",\"address\":\"127.0.0.1:%u\"}",
                                  separator, process->name, process->peer_port);
          separator = ",";
        }
      append_voting_only_member (fleet, text, zone, is_entry);
      g_string_append (text, "]}");
    }
}

static void
append_target (jd_fleet_t *fleet, GString *text, uint32_t zone, uint32_t index)
{
  g_string_append_printf (text,
                          "%s{\"id\":\"%s%u\",\"address\":\"127.0.0.1:%u\","
                          "\"zone\":\"%s\"}",
                          zone ? "," : "", zone_names[zone], index,
                          jd_target_port (fleet->targets[zone][index]), zone_names[zone]);
}

/* Publishes fan-out service "desk" and single service "studio". */
static void
publish_services (jd_fleet_t *fleet)
{
  GString *text = g_string_new (
      "{\"schema_version\":1,\"record_version\":1,\"name\":\"desk\",\"kind\":\"fan_out\","
      "\"deadline_ms\":500,\"slots\":2,\"connections\":25,\"hedge_quantile\":0.95,"
      "\"hedge_budget\":0.025,\"map_version\":1,\"shards\":[");
  for (uint32_t i = 0; i < fleet->shard_count; i++)
    {
      g_string_append_printf (text, "%s{\"id\":\"s%u\",\"weight\":%u,\"targets\":[",
                              i ? "," : "", i, 100 * (i + 1));
      for (uint32_t zone = 0; zone < JD_FLEET_ZONES; zone++)
        append_target (fleet, text, zone, i);
      g_string_append (text, "]}");
    }
  g_string_append (text, "]}");
  jd_fleet_publish (fleet, "service.desk", text->str);
  g_string_assign (text, "{\"schema_version\":1,\"record_version\":1,\"name\":\"studio\","
                         "\"kind\":\"single\",\"deadline_ms\":400,\"slots\":6,"
                         "\"connections\":50,\"map_version\":1,\"shards\":["
                         "{\"id\":\"all\",\"weight\":1,\"targets\":[");
  for (uint32_t zone = 0; zone < JD_FLEET_ZONES; zone++)
    append_target (fleet, text, zone, fleet->shard_count);
  g_string_append (text, "]}]}");
  jd_fleet_publish (fleet, "service.studio", text->str);
  g_string_free (text, TRUE);
}

/* Publishes the fleet, organisation, key and service records. */
static void
publish_records (jd_fleet_t *fleet)
{
  GString *text = g_string_new (
      "{\"schema_version\":1,\"record_version\":1,\"zones\":[{\"name\":\"a\",\"weight\":"
      "0.5},"
      "{\"name\":\"b\",\"weight\":0.5}],\"shares_per_zone\":12,\"cells\":[");
  append_groups (fleet, text, TRUE);
  append_groups (fleet, text, FALSE);
  g_string_append (text, "]}");
  jd_fleet_publish (fleet, "fleet", text->str);
  g_string_printf (text,
                   "{\"schema_version\":1,\"record_version\":1,\"organisations\":["
                   "{\"id\":\"school\",\"rate_per_s\":%f,\"burst\":%f}]}",
                   fleet->rate_per_s, fleet->burst);
  jd_fleet_publish (fleet, "organisations", text->str);
  char *digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, "fleet-key", -1);
  g_string_printf (
      text,
      "{\"schema_version\":1,\"record_version\":1,\"keys\":[{\"digest\":\"%s\","
      "\"organisation\":\"school\",\"state\":\"valid\"}]}",
      digest);
  jd_fleet_publish (fleet, "keys", text->str);
  g_free (digest);
  g_string_free (text, TRUE);
  publish_services (fleet);
}

static void
start_stand_ins (jd_fleet_t *fleet)
{
  fleet->timers = jd_timer_queue_new ();
  fleet->executions = jd_execution_log_new ();
  const jd_platform_options_t platform_options = { .ip = "127.0.0.1",
                                                   .max_reads_per_second = 2000,
                                                   .timers = fleet->timers };
  fleet->platform = jd_platform_new (&platform_options, NULL);
  for (uint32_t zone = 0; zone < JD_FLEET_ZONES; zone++)
    for (uint32_t i = 0; i <= fleet->shard_count; i++)
      {
        char *id = g_strdup_printf ("%s%u", zone_names[zone], i);
        const jd_target_options_t options = { .id = id,
                                              .zone = zone_names[zone],
                                              .ip = "127.0.0.1",
                                              .seed = 1,
                                              .stream = zone * JD_FLEET_TARGETS + i,
                                              .conditions =
                                                  jd_target_conditions_default (),
                                              .timers = fleet->timers,
                                              .executions = fleet->executions };
        fleet->targets[zone][i] = jd_target_new (&options, NULL);
        g_free (id);
      }
}

/* Adds a process with free ports to the list, without starting it. */
static void
add_process (jd_fleet_t *fleet, uint32_t zone, gboolean is_entry, uint32_t number)
{
  jd_fleet_process_t *process = &fleet->processes[fleet->process_count++];
  *process = (jd_fleet_process_t){ .is_entry = is_entry,
                                   .peer_port = jd_test_free_port (),
                                   .http_port = jd_test_free_port () };
  g_strlcpy (process->zone, zone_names[zone], sizeof (process->zone));
  g_snprintf (process->name, sizeof (process->name), "%s-%s-%u", zone_names[zone],
              is_entry ? "entry" : "broker", number);
}

static void
start_process (jd_fleet_t *fleet, jd_fleet_process_t *process)
{
  char *arguments[] = {
    g_strdup_printf ("--seat=%s", process->name),
    g_strdup_printf ("--zone=%s", process->zone),
    g_strdup_printf ("--peer-address=127.0.0.1:%u", process->peer_port),
    g_strdup_printf ("--http-port=%u", process->http_port),
    g_strdup_printf ("--platform=http://127.0.0.1:%u",
                     jd_platform_port (fleet->platform)),
    g_strdup ("--log-level=error"),
    process->is_entry && fleet->key_staleness_limit_ms
        ? g_strdup_printf ("--key-staleness-limit-ms=%" G_GINT64_FORMAT,
                           fleet->key_staleness_limit_ms)
        : NULL,
    NULL,
  };
  process->pid = jd_child_start (process->is_entry ? "jackdaw-entry" : "jackdaw-broker",
                                 (const char *const *)arguments);
  for (int i = 0; arguments[i]; i++)
    g_free (arguments[i]);
}

/* Returns TRUE if an entry is healthy and answers a search with full coverage. */
static gboolean
is_ready (jd_fleet_t *fleet, const jd_fleet_process_t *entry)
{
  jd_http_reply_t health = jd_http_get ("http://127.0.0.1:%u/healthz", entry->http_port);
  gboolean ready = health.status == 200;
  jd_http_reply_clear (&health);
  if (!ready)
    return FALSE;
  jd_http_reply_t reply = jd_fleet_search (fleet, entry);
  ready = reply.status == 200 &&
          json_number_value (json_object_get (reply.json, "coverage")) == 1.0;
  jd_http_reply_clear (&reply);
  return ready;
}

gboolean
jd_fleet_start (jd_fleet_t *fleet)
{
  start_stand_ins (fleet);
  for (uint32_t zone = 0; zone < JD_FLEET_ZONES; zone++)
    {
      for (uint32_t i = 0; i < fleet->entries_per_zone; i++)
        add_process (fleet, zone, TRUE, i);
      for (uint32_t i = 0; i < fleet->brokers_per_zone; i++)
        add_process (fleet, zone, FALSE, i);
    }
  publish_records (fleet);
  for (uint32_t i = 0; i < fleet->process_count; i++)
    start_process (fleet, &fleet->processes[i]);
  uint32_t ready = 0;
  for (int checks = 0; checks < 150 && ready < fleet->process_count; checks++)
    {
      const jd_fleet_process_t *process = &fleet->processes[ready];
      if (!process->is_entry || is_ready (fleet, process))
        ready++;
      else
        g_usleep (100 * JD_US_PER_MS);
    }
  return ready == fleet->process_count;
}

static void
for_all_targets (jd_fleet_t *fleet, void (*call) (jd_target_t *target))
{
  for (uint32_t zone = 0; zone < JD_FLEET_ZONES; zone++)
    for (uint32_t i = 0; i <= fleet->shard_count; i++)
      call (fleet->targets[zone][i]);
}

uint32_t
jd_fleet_stop (jd_fleet_t *fleet)
{
  uint32_t exited_count = 0;
  for (uint32_t i = 0; i < fleet->process_count; i++)
    {
      jd_fleet_process_t *process = &fleet->processes[i];
      if (process->pid <= 0)
        continue;
      exited_count += jd_child_wait (process->pid, 0) != -1;
      kill (process->pid, SIGKILL);
      jd_child_wait (process->pid, 5000);
    }
  jd_platform_stop (fleet->platform);
  for_all_targets (fleet, jd_target_stop);
  jd_timer_queue_free (fleet->timers);
  jd_platform_free (fleet->platform);
  for_all_targets (fleet, jd_target_free);
  jd_execution_log_free (fleet->executions);
  return exited_count;
}

/* Returns the process with a member name; aborts the test if there is none. */
jd_fleet_process_t *
jd_fleet_process (jd_fleet_t *fleet, const char *name)
{
  for (uint32_t i = 0; i < fleet->process_count; i++)
    if (strcmp (fleet->processes[i].name, name) == 0)
      return &fleet->processes[i];
  g_error ("the fleet has no process named %s", name);
}

int
jd_fleet_end_process (jd_fleet_t *fleet, const char *name, int signal)
{
  jd_fleet_process_t *process = jd_fleet_process (fleet, name);
  kill (process->pid, signal);
  int status = jd_child_wait (process->pid, 15000);
  process->pid = 0;
  return status;
}

jd_http_reply_t
jd_fleet_search (jd_fleet_t *fleet, const jd_fleet_process_t *entry)
{
  char *url = g_strdup_printf (
      "http://127.0.0.1:%u/v1/services/desk/search?q=word&limit=5", entry->http_port);
  jd_http_reply_t reply = jd_http_call ("GET", url, JD_FLEET_KEY, NULL, 5000);
  g_free (url);
  return reply;
}

jd_http_reply_t
jd_fleet_edit (jd_fleet_t *fleet, const jd_fleet_process_t *entry, const char *id,
               const char *text)
{
  char *url = g_strdup_printf ("http://127.0.0.1:%u/v1/services/studio/entries/%s",
                               entry->http_port, id);
  char *body = g_strdup_printf ("{\"text\":\"%s\"}", text);
  jd_http_reply_t reply = jd_http_call ("POST", url, JD_FLEET_KEY, body, 5000);
  g_free (body);
  g_free (url);
  return reply;
}

int
jd_fleet_execution_count (jd_fleet_t *fleet, const char *text)
{
  json_t *log = jd_execution_log_to_json (fleet->executions);
  char *body = g_strdup_printf ("{\"text\":\"%s\"}", text);
  int count =
      (int)json_integer_value (json_object_get (json_object_get (log, "bodies"), body));
  g_free (body);
  json_decref (log);
  return count;
}

uint64_t
jd_fleet_zone_request_count (jd_fleet_t *fleet, uint32_t zone)
{
  uint64_t arrived = 0;
  for (uint32_t i = 0; i <= fleet->shard_count; i++)
    {
      jd_http_reply_t reply = jd_http_get ("http://127.0.0.1:%u/executions",
                                           jd_target_port (fleet->targets[zone][i]));
      arrived += (uint64_t)json_integer_value (
          json_object_get (json_object_get (reply.json, "counts"), "arrived"));
      jd_http_reply_clear (&reply);
    }
  return arrived;
}

void
jd_fleet_set_target_faults (jd_fleet_t *fleet, const char *json)
{
  for (uint32_t zone = 0; zone < JD_FLEET_ZONES; zone++)
    for (uint32_t i = 0; i <= fleet->shard_count; i++)
      {
        char *url = g_strdup_printf ("http://127.0.0.1:%u/faults",
                                     jd_target_port (fleet->targets[zone][i]));
        jd_http_reply_t reply = jd_http_call ("POST", url, NULL, json, 3000);
        jd_http_reply_clear (&reply);
        g_free (url);
      }
}
