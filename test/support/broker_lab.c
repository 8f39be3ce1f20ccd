#include "support/broker_lab.h"

#include <signal.h>
#include <string.h>

#include "support/child.h"
#include "support/free_port.h"
#include "support/http_call.h"

static int64_t
now_us (void)
{
  const jd_clock_t clock = jd_clock_system ();
  return jd_clock_now_us (&clock);
}

/* Returns the index of the broker with an address; the last index if none matches. */
static uint32_t
broker_index (const jd_broker_fixture_t *fixture, const char *address)
{
  uint32_t broker = 0;
  while (broker + 1 < fixture->broker_count &&
         strcmp (fixture->addresses[broker], address) != 0)
    broker++;
  return broker;
}

/* Records the outcomes of attempts and counts repeated ones. */
static void
record_outcomes (jd_broker_fixture_t *fixture, const jd_work_result_t *result)
{
  for (uint32_t i = 0; i < result->outcome_count; i++)
    {
      const jd_work_outcome_t *outcome = &result->outcomes[i];
      jd_broker_fixture_attempt_t *attempt =
          &fixture->attempts[outcome->attempt_id % JD_BROKER_FIXTURE_MAX_ATTEMPTS];
      fixture->duplicate_outcomes += attempt->has_ended ? 1 : 0;
      attempt->has_ended = TRUE;
      attempt->code = outcome->code;
      attempt->ran = outcome->ran;
    }
}

/* Callback of the peer link; updates the state of the broker that sent the message. */
static void
on_message (void *context, const jd_peer_origin_t *origin, jd_message_t *message)
{
  jd_broker_fixture_t *fixture = context;
  uint32_t broker = broker_index (fixture, origin->address);
  if (message->type == JD_MESSAGE_HELLO_ACK)
    {
      fixture->clock_offset_us[broker] = message->hello_ack.broker_clock_us - now_us ();
      fixture->is_draining[broker] = message->hello_ack.draining;
    }
  else if (message->type == JD_MESSAGE_TARGET_STATE)
    {
      fixture->state_received_us[broker] = now_us ();
      fixture->owned_targets[broker] = 0;
      for (uint32_t i = 0; i < message->target_state.target_count; i++)
        /* The target ids are t0 and t1. */
        if (message->target_state.targets[i].snapshot_count > 0)
          fixture->owned_targets[broker] |=
              1U << (message->target_state.targets[i].target[1] - '0');
    }
  else if (message->type == JD_MESSAGE_WORK_RESULT)
    record_outcomes (fixture, &message->work_result);
}

void
jd_broker_fixture_publish (const jd_broker_fixture_t *fixture, const char *name,
                           const char *text)
{
  char *url = g_strdup_printf ("http://127.0.0.1:%u/v1/records/%s",
                               jd_platform_port (fixture->platform), name);
  jd_http_reply_t reply = jd_http_call ("PUT", url, NULL, text, 3000);
  jd_http_reply_clear (&reply);
  g_free (url);
}

/* Publishes the fleet record with all brokers and the record of service "desk". */
static void
publish_records (const jd_broker_fixture_t *fixture)
{
  GString *record = g_string_new (
      "{\"schema_version\":1,\"record_version\":1,\"zones\":[{\"name\":\"a\","
      "\"weight\":1.0}],\"shares_per_zone\":1,\"cells\":[{\"name\":\"a-b\","
      "\"zone\":\"a\",\"role\":\"broker\",\"seats\":[");
  for (uint32_t i = 0; i < fixture->broker_count; i++)
    g_string_append_printf (record, "%s{\"name\":\"b%u\",\"address\":\"%s\"}",
                            i ? "," : "", i, fixture->addresses[i]);
  g_string_append (record, "]}]}");
  jd_broker_fixture_publish (fixture, "fleet", record->str);
  g_string_assign (record,
                   "{\"schema_version\":1,\"record_version\":1,\"name\":\"desk\","
                   "\"kind\":\"fan_out\",\"open\":true,\"deadline_ms\":60,\"slots\":2,"
                   "\"connections\":25,\"hedge_quantile\":0.95,\"hedge_budget\":0.025,"
                   "\"map_version\":1,\"shards\":[");
  for (uint32_t i = 0; i < JD_BROKER_FIXTURE_TARGETS; i++)
    g_string_append_printf (record,
                            "%s{\"id\":\"s%u\",\"weight\":1,\"targets\":[{\"id\":\"t%u\","
                            "\"address\":\"127.0.0.1:%u\",\"zone\":\"a\"}]}",
                            i ? "," : "", i, i, jd_target_port (fixture->targets[i]));
  g_string_append (record, "]}");
  jd_broker_fixture_publish (fixture, "service.desk", record->str);
  g_string_free (record, TRUE);
}

void
jd_broker_fixture_start_broker (jd_broker_fixture_t *fixture, uint32_t broker)
{
  char *arguments[] = {
    g_strdup_printf ("--seat=b%u", broker),
    g_strdup ("--zone=a"),
    g_strdup_printf ("--peer-address=%s", fixture->addresses[broker]),
    g_strdup_printf ("--http-port=%u", fixture->http_ports[broker]),
    g_strdup_printf ("--platform=http://127.0.0.1:%u",
                     jd_platform_port (fixture->platform)),
    g_strdup ("--log-level=warning"),
    fixture->bootstrap_peers
        ? g_strdup_printf ("--bootstrap-peers=%s", fixture->bootstrap_peers)
        : NULL,
    NULL,
  };
  fixture->brokers[broker] =
      jd_child_start ("jackdaw-broker", (const char *const *)arguments);
  for (int i = 0; arguments[i]; i++)
    g_free (arguments[i]);
}

static void
start_stand_ins (jd_broker_fixture_t *fixture)
{
  fixture->timers = jd_timer_queue_new ();
  fixture->executions = jd_execution_log_new ();
  const jd_platform_options_t platform_options = { .ip = "127.0.0.1",
                                                   .max_reads_per_second = 2000,
                                                   .timers = fixture->timers };
  fixture->platform = jd_platform_new (&platform_options, NULL);
  static const char *const ids[JD_BROKER_FIXTURE_TARGETS] = { "t0", "t1" };
  for (uint32_t i = 0; i < JD_BROKER_FIXTURE_TARGETS; i++)
    {
      const jd_target_options_t target_options = { .id = ids[i],
                                                   .zone = "a",
                                                   .ip = "127.0.0.1",
                                                   .seed = 1,
                                                   .stream = i,
                                                   .conditions =
                                                       jd_target_conditions_default (),
                                                   .timers = fixture->timers,
                                                   .executions = fixture->executions };
      fixture->targets[i] = jd_target_new (&target_options, NULL);
    }
}

gboolean
jd_broker_fixture_start (jd_broker_fixture_t *fixture, uint32_t broker_count)
{
  *fixture = (jd_broker_fixture_t){ .broker_count = broker_count };
  start_stand_ins (fixture);
  const jd_peer_link_options_t link_options = { .member = "e0",
                                                .on_message = on_message,
                                                .context = fixture };
  fixture->link = jd_peer_link_new (&link_options, NULL);
  for (uint32_t i = 0; i < broker_count; i++)
    {
      g_snprintf (fixture->addresses[i], sizeof (fixture->addresses[i]), "127.0.0.1:%u",
                  jd_test_free_port ());
      fixture->http_ports[i] = jd_test_free_port ();
    }
  publish_records (fixture);
  for (uint32_t i = 0; i < broker_count; i++)
    jd_broker_fixture_start_broker (fixture, i);
  for (int i = 0; i < 1000; i++)
    {
      jd_broker_fixture_run (fixture, 10);
      if (jd_broker_fixture_owner (fixture, 0) >= 0 &&
          jd_broker_fixture_owner (fixture, 1) >= 0)
        return TRUE;
    }
  return FALSE;
}

/* Stops the brokers that still run, then the stand-ins. */
void
jd_broker_fixture_stop (jd_broker_fixture_t *fixture)
{
  for (uint32_t i = 0; i < fixture->broker_count; i++)
    {
      if (fixture->brokers[i] <= 0)
        continue;
      kill (fixture->brokers[i], SIGKILL);
      jd_child_wait (fixture->brokers[i], 5000);
    }
  jd_peer_link_free (fixture->link);
  jd_platform_stop (fixture->platform);
  for (uint32_t i = 0; i < JD_BROKER_FIXTURE_TARGETS; i++)
    jd_target_stop (fixture->targets[i]);
  jd_timer_queue_free (fixture->timers);
  jd_platform_free (fixture->platform);
  for (uint32_t i = 0; i < JD_BROKER_FIXTURE_TARGETS; i++)
    jd_target_free (fixture->targets[i]);
  jd_execution_log_free (fixture->executions);
}

void
jd_broker_fixture_run (jd_broker_fixture_t *fixture, int64_t duration_ms)
{
  int64_t end_us = now_us () + duration_ms * JD_US_PER_MS;
  do
    {
      if (now_us () >= fixture->next_hello_us)
        {
          const jd_message_t hello = { .type = JD_MESSAGE_HELLO,
                                       .hello = { .member = "e0", .incarnation = 1 } };
          for (uint32_t i = 0; i < fixture->broker_count; i++)
            jd_peer_link_send (fixture->link, fixture->addresses[i], &hello);
          fixture->next_hello_us = now_us () + 100 * JD_US_PER_MS;
        }
      jd_peer_link_poll (fixture->link, 1);
    }
  while (now_us () < end_us);
}

/* The body of the request is the attempt id, so that the targets count its executions
 * under that id. */
uint64_t
jd_broker_fixture_send_attempt (jd_broker_fixture_t *fixture, uint32_t broker,
                                uint32_t target, jd_work_kind_t kind, int64_t timeout_ms)
{
  uint64_t id = ++fixture->attempt_count;
  jd_work_item_t item = { .attempt_id = id };
  g_snprintf (item.target, sizeof (item.target), "t%u", target);
  g_snprintf (item.shard, sizeof (item.shard), "s%u", target);
  char *body = g_strdup_printf ("\"%u\"", (unsigned)id);
  const jd_message_t message = {
    .type = JD_MESSAGE_WORK,
    .work = { .query_id = id,
              .kind = kind,
              .service = "desk",
              .limit = 10,
              .deadline_us = now_us () + fixture->clock_offset_us[broker] +
                             timeout_ms * JD_US_PER_MS,
              .text = (char *)"lamp",
              .body = body,
              .body_bytes = (uint32_t)strlen (body),
              .item_count = 1,
              .items = &item },
  };
  fixture->attempts[id].kind = kind;
  fixture->attempts[id].is_sent =
      jd_peer_link_send (fixture->link, fixture->addresses[broker], &message);
  g_free (body);
  return id;
}

gboolean
jd_broker_fixture_wait_for_attempt (jd_broker_fixture_t *fixture, uint64_t id)
{
  for (int i = 0; i < 5000 && !fixture->attempts[id].has_ended; i++)
    jd_broker_fixture_run (fixture, 1);
  return fixture->attempts[id].has_ended;
}

/* Ignores target states that are older than 500 ms. */
int
jd_broker_fixture_owner (const jd_broker_fixture_t *fixture, uint32_t target)
{
  for (uint32_t i = 0; i < fixture->broker_count; i++)
    if ((fixture->owned_targets[i] & 1U << target) &&
        now_us () - fixture->state_received_us[i] < 500000)
      return (int)i;
  return -1;
}

int
jd_broker_fixture_execution_count (jd_broker_fixture_t *fixture, uint64_t id)
{
  char *body = g_strdup_printf ("\"%u\"", (unsigned)id);
  json_t *log = jd_execution_log_to_json (fixture->executions);
  json_int_t count =
      json_integer_value (json_object_get (json_object_get (log, "bodies"), body));
  json_decref (log);
  g_free (body);
  return (int)count;
}

void
jd_broker_fixture_set_target_faults (jd_broker_fixture_t *fixture, uint32_t target,
                                     const char *json)
{
  char *url = g_strdup_printf ("http://127.0.0.1:%u/faults",
                               jd_target_port (fixture->targets[target]));
  jd_http_reply_t reply = jd_http_call ("POST", url, NULL, json, 3000);
  jd_http_reply_clear (&reply);
  g_free (url);
}
