#include "stand_ins/target_faults.h"

#include <string.h>

#include "base/clock.h"
#include "stand_ins/target_model.h"
#include "stand_ins/target_reply.h"

/* Applies the fields of POST /faults that are not conditions. next_connection is the
 * number of the next connection. Needs the target's lock. */
static void
apply_actions (jd_target_t *target, json_t *object, uint64_t next_connection)
{
  int64_t now_us = g_get_monotonic_time ();
  const json_t *silent = json_object_get (object, "silent_connections");
  if (silent)
    target->first_answering_connection = json_is_true (silent) ? next_connection : 0;
  const json_t *freeze = json_object_get (object, "freeze_ms");
  if (freeze)
    target->frozen_until_us =
        now_us + (int64_t)(json_number_value (freeze) * (double)JD_US_PER_MS);
  if (json_is_true (json_object_get (object, "restart")))
    jd_target_restart (target, now_us);
  const json_t *cold = json_object_get (object, "cold");
  if (json_is_true (cold))
    jd_target_begin_cold_start (target, now_us);
  else if (cold)
    jd_target_end_cold_start (target);
}

/* POST /faults. */
static void
post_faults (jd_target_t *target, jd_http_request_t *request)
{
  json_error_t json_error;
  json_t *object = json_loads (jd_http_request_body (request, NULL), 0, &json_error);
  if (!json_is_object (object))
    {
      json_decref (object);
      jd_http_request_reply (request, 400, NULL, 0,
                             "{\"error\":\"body is not a JSON object\"}");
      return;
    }
  uint64_t next_connection = jd_http_server_next_connection_sequence (target->server);
  GError *error = NULL;
  g_mutex_lock (&target->lock);
  jd_target_record_report (target, g_get_monotonic_time ());
  gboolean was_draining = target->conditions.draining;
  if (jd_target_conditions_apply (&target->conditions, object, &error))
    {
      apply_actions (target, object, next_connection);
      if (target->conditions.draining && !was_draining)
        target->counts.arrived_draining = 0;
      jd_target_reply_json (target, request, 200, json_pack ("{s:b}", "applied", 1));
    }
  else
    jd_target_reply_json (target, request, 400,
                          json_pack ("{s:s}", "error", error->message));
  g_mutex_unlock (&target->lock);
  g_clear_error (&error);
  json_decref (object);
}

/* GET /faults. */
static void
get_faults (jd_target_t *target, jd_http_request_t *request)
{
  g_mutex_lock (&target->lock);
  int64_t now_us = g_get_monotonic_time ();
  json_t *body = jd_target_conditions_to_json (&target->conditions);
  json_object_set_new (body, "cold", json_boolean (jd_target_is_cold (target, now_us)));
  json_object_set_new (body, "silent_connections",
                       json_boolean (target->first_answering_connection > 0));
  int64_t frozen_us = MAX (target->frozen_until_us - now_us, 0);
  json_object_set_new (body, "freeze_ms",
                       json_real ((double)frozen_us / (double)JD_US_PER_MS));
  jd_target_reply_json (target, request, 200, body);
  g_mutex_unlock (&target->lock);
}

static json_t *
counts_to_json (const jd_target_counts_t *counts)
{
  const struct
  {
    const char *name;
    uint64_t value;
  } rows[] = {
    { "arrived", counts->arrived },
    { "finished", counts->finished },
    { "shed", counts->shed },
    { "failed", counts->failed },
    { "overloads", counts->overloads },
    { "dropped", counts->dropped },
    { "cancelled", counts->cancelled },
    { "closed", counts->closed },
    { "crossed", counts->crossed },
    { "silent", counts->silent },
    { "over_connection_limit", counts->over_connection_limit },
    { "connection_setups", counts->connection_setups },
    { "wrong_snapshot", counts->wrong_snapshot },
    { "arrived_draining", counts->arrived_draining },
    { "arrived_cold", counts->arrived_cold },
    { "peak_running", counts->peak_running },
  };
  json_t *object = json_object ();
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    json_object_set_new (object, rows[i].name, json_integer ((json_int_t)rows[i].value));
  return object;
}

/* GET /executions. */
static void
get_executions (jd_target_t *target, jd_http_request_t *request)
{
  json_t *body = jd_execution_log_to_json (target->executions);
  g_mutex_lock (&target->lock);
  json_object_set_new (body, "target", json_string (target->id));
  json_object_set_new (body, "zone", json_string (target->zone));
  json_object_set_new (body, "counts", counts_to_json (&target->counts));
  jd_target_reply_json (target, request, 200, body);
  g_mutex_unlock (&target->lock);
}

/* Routes the requests of the test interface. */
gboolean
jd_target_handle_test_request (jd_target_t *target, jd_http_request_t *request)
{
  const char *path = jd_http_request_path (request);
  gboolean get = strcmp (jd_http_request_method (request), "GET") == 0;
  gboolean post = strcmp (jd_http_request_method (request), "POST") == 0;
  if (get && strcmp (path, "/faults") == 0)
    get_faults (target, request);
  else if (post && strcmp (path, "/faults") == 0)
    post_faults (target, request);
  else if (get && strcmp (path, "/executions") == 0)
    get_executions (target, request);
  else
    return FALSE;
  return TRUE;
}
