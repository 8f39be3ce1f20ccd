#include "daemons/host_request.h"

#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log_event.h"

/* Time that the remaining attempts of a search may run after the answer. It exceeds the
 * pauses of targets, 120 and 150 ms, so that their connections stay open. */
#define LINGER_US (300 * JD_US_PER_MS)
/* Deadline of a request whose caller states none. */
#define DEFAULT_DEADLINE_US (10 * JD_US_PER_S)
/* Retry-After times of rejected requests. The minimum is short because another host or
 * replica can often serve the request at once; a configuration takes longer to arrive.
 * The unknown time is for requests whose targets are gone until a record changes. */
#define RETRY_AFTER_MIN_US (30 * JD_US_PER_MS)
#define RETRY_AFTER_UNKNOWN_US (500 * JD_US_PER_MS)
#define RETRY_AFTER_NO_CONFIGURATION_US (250 * JD_US_PER_MS)
#define RETRY_AFTER_MAX_US (5 * JD_US_PER_S)
/* Retry-After time of a request rejected for load, in latency objectives of its route.
 * The targets empty the queues that caused the rejection within one objective. */
#define RETRY_AFTER_OVERLOAD_OBJECTIVES 1
/* Retry-After time of a request rejected because its shards are scarce, in latency
 * objectives of its route. The bound on extra attempts is refilled steadily, so the
 * callers return spread over the range. */
#define RETRY_AFTER_SCARCE_OBJECTIVES_MIN 1.0
#define RETRY_AFTER_SCARCE_OBJECTIVES_MAX 3.0
#define KEY_BYTES_MAX 512
/* Bytes of a text of the caller in a log line. */
#define LOGGED_TEXT_MAX 48
/* Missing parts that are logged for one answer. */
#define MISSING_PARTS_LOGGED_MAX 4

/* Returns the name of an end for log lines and metrics. */
const char *
jd_host_end_name (jd_host_end_t end)
{
  static const char *const names[JD_HOST_END_COUNT] = {
    [JD_HOST_END_SERVED] = "served",
    [JD_HOST_END_PARTIAL] = "partial",
    [JD_HOST_END_TARGET_FAILURE] = "target_failure",
    [JD_HOST_END_NOT_RUN] = "not_run",
    [JD_HOST_END_FAILED] = "failed",
    [JD_HOST_END_TIMED_OUT] = "timed_out",
    [JD_HOST_END_STOPPED] = "stopped",
    [JD_HOST_END_CALLER_LEFT] = "caller_left",
    [JD_HOST_END_RATE_LIMITED] = "rate_limited",
    [JD_HOST_END_REJECTED] = "rejected",
    [JD_HOST_END_OVERLOADED] = "overloaded",
  };
  return names[end];
}

/* Returns the name of an outcome for log lines. */
static const char *
outcome_name (jd_replica_outcome_t outcome)
{
  static const char *const names[] = {
    [JD_REPLICA_OK] = "ok",
    [JD_REPLICA_SHED] = "shed",
    [JD_REPLICA_REJECTED] = "rejected",
    [JD_REPLICA_ERROR] = "error",
    [JD_REPLICA_BROKEN] = "broken",
    [JD_REPLICA_UNREACHABLE] = "unreachable",
    [JD_REPLICA_TIMED_OUT] = "timeout",
    [JD_REPLICA_ABANDONED] = "abandoned",
    [JD_REPLICA_REPLACED] = "replaced",
    [JD_REPLICA_PAUSED] = "paused",
  };
  return names[outcome];
}

/* Why a request is not admitted, and how it is answered. */
typedef struct jd_rejection
{
  uint32_t status;
  jd_host_end_t end;
  const char *cause;
  const char *tenant;     /* NULL until the key has been checked. */
  int64_t retry_after_us; /* 0: the answer has no Retry-After. */
} jd_rejection_t;

/* Copies the key of a request to `key` of KEY_BYTES_MAX bytes. Returns FALSE without one.
 */
static bool
read_key (const jd_host_t *host, const jd_http_reader_t *reader, char *key)
{
  const jd_host_fields_t *fields = &host->platform.fields;
  const char *value = jd_http_reader_value (reader, fields->key);
  size_t scheme_len = strlen (fields->key_scheme);
  if (!value || g_ascii_strncasecmp (value, fields->key_scheme, scheme_len) != 0 ||
      value[scheme_len] != ' ')
    return false;
  const char *text = value + scheme_len;
  text += strspn (text, " ");
  if (g_strlcpy (key, text, KEY_BYTES_MAX) >= KEY_BYTES_MAX)
    return false;
  g_strchomp (key);
  return true;
}

/* Returns the tenant of the key in a request, or NULL without a valid key. */
static const jd_tenant_t *
find_tenant (const jd_host_t *host, const jd_http_reader_t *reader)
{
  char key[KEY_BYTES_MAX];
  return read_key (host, reader, key) ? jd_route_table_tenant (host->routes, key) : NULL;
}

/* Returns the length of the path, without the query, at the start of the reader's text.
 */
static size_t
path_length (const jd_http_reader_t *reader)
{
  return MIN (strcspn (reader->text->str, "?"), reader->request_target_len);
}

/* Logs what decided that a request is denied for good, which its caller does not repeat.
 * The key is logged as a hash, the query not at all. */
static void
log_denied (const jd_host_t *host, const jd_http_reader_t *reader, const char *id,
            const char *cause)
{
  char key[KEY_BYTES_MAX] = "";
  bool has_key = read_key (host, reader, key);
  const char *authority = jd_http_reader_value (reader, "Host");
  jd_log_event (G_LOG_LEVEL_INFO, "request_denied",
                "id=%s cause=%s authority=%.*s path=%.*s key_hash=%08x keys=%u routes=%u",
                id, cause, LOGGED_TEXT_MAX, authority ? authority : "-",
                (int)MIN (path_length (reader), LOGGED_TEXT_MAX), reader->text->str,
                has_key ? (uint32_t)jd_hash_text (key, 0) : 0,
                host->routes ? g_hash_table_size (host->routes->by_key) : 0,
                host->routes ? host->routes->routes->len : 0);
}

/* Logs and counts the rejection of a request, and answers it. */
static void
reject (jd_host_t *host, jd_caller_t *caller, const jd_http_reader_t *reader,
        const jd_rejection_t *rejection)
{
  const char *id = jd_http_reader_value (reader, host->platform.fields.request_id);
  jd_counter_add (host->end_counters[rejection->end], 1);
  if (rejection->end == JD_HOST_END_REJECTED)
    log_denied (host, reader, id ? id : "-", rejection->cause);
  jd_log_event (
      G_LOG_LEVEL_INFO, "request_rejected",
      "id=%s status=%u cause=%s tenant=%s retry_after_ms=%" G_GINT64_FORMAT
      " config=%" G_GINT64_FORMAT " config_age_ms=%" G_GINT64_FORMAT,
      id ? id : "-", rejection->status, rejection->cause,
      rejection->tenant ? rejection->tenant : "-",
      rejection->retry_after_us / JD_US_PER_MS, host->routes ? host->routes->version : 0,
      (jd_monotonic_us () - jd_record_feed_as_of_us (host->feed)) / JD_US_PER_MS);
  jd_caller_answer_status (caller, rejection->status,
                           MIN (rejection->retry_after_us, RETRY_AFTER_MAX_US));
}

/* Rejects a request for which the configuration has no route or key. Its caller does not
 * repeat it after 404 or 401, so these are for a host whose configuration is current; the
 * route or key may be newer than the one of a host that is cut off. */
static void
deny (jd_host_t *host, jd_caller_t *caller, const jd_http_reader_t *reader,
      uint32_t status, const char *cause)
{
  jd_rejection_t rejection = { .status = status,
                               .end = JD_HOST_END_REJECTED,
                               .cause = cause };
  if (!jd_record_source_is_current (host->record_source, jd_monotonic_us ()))
    rejection = (jd_rejection_t){ .status = 503,
                                  .end = JD_HOST_END_NOT_RUN,
                                  .cause = "configuration_old",
                                  .retry_after_us = RETRY_AFTER_NO_CONFIGURATION_US };
  reject (host, caller, reader, &rejection);
}

/* Rejects a request above the rate limit of its tenant, and logs the quota's state. */
static void
reject_above_rate (jd_host_t *host, jd_caller_t *caller, const jd_http_reader_t *reader,
                   const char *tenant, int64_t retry_after_us, int64_t now_us)
{
  const char *id = jd_http_reader_value (reader, host->platform.fields.request_id);
  jd_quota_status_t view = jd_fleet_quota_status (host->quota, tenant, now_us);
  jd_log_event (G_LOG_LEVEL_INFO, "rate_exceeded",
                "id=%s tenant=%s rate_per_s=%.1f level=%.2f local_level=%.2f "
                "demand_per_s=%.2f others_per_s=%.2f hosts=%u",
                id ? id : "-", tenant, view.rate_per_s, view.level, view.local_level,
                view.demand_per_s, view.other_hosts_demand_per_s, host->host_count);
  reject (host, caller, reader,
          &(jd_rejection_t){ .status = 429,
                             .end = JD_HOST_END_RATE_LIMITED,
                             .cause = "beyond_rate",
                             .tenant = tenant,
                             .retry_after_us = retry_after_us });
}

/* Rejects a request because the targets of its route are overloaded, and logs the state
 * of the admission gate. */
static void
reject_for_overload (jd_host_t *host, jd_caller_t *caller, const jd_http_reader_t *reader,
                     const jd_route_t *route, double rejected_share)
{
  const char *id = jd_http_reader_value (reader, host->platform.fields.request_id);
  const jd_admission_gate_t *gate = &route->latency->gate;
  jd_log_event (G_LOG_LEVEL_INFO, "targets_overloaded",
                "id=%s route=%s priority=%d rejected_share=%.2f own_share=%.2f "
                "service_ms=%.1f usual_ms=%.1f "
                "adapted_age_ms=%" G_GINT64_FORMAT,
                id ? id : "-", route->name, route->priority, rejected_share,
                gate->rejected_share, gate->service_us / (double)JD_US_PER_MS,
                route->latency->median_us / (double)JD_US_PER_MS,
                (jd_monotonic_us () - gate->share_updated_us) / JD_US_PER_MS);
  reject (host, caller, reader,
          &(jd_rejection_t){ .status = 503,
                             .end = JD_HOST_END_OVERLOADED,
                             .cause = "targets_overloaded",
                             .retry_after_us = MAX (RETRY_AFTER_OVERLOAD_OBJECTIVES *
                                                        route->objective_us,
                                                    RETRY_AFTER_MIN_US) });
}

/* Frees a request that has ended, and removes it from the running requests. */
static void
request_free (jd_request_t *request)
{
  jd_host_t *host = request->host;
  ev_timer_stop (host->loop, &request->timer);
  g_queue_unlink (&host->requests, &request->node);
  jd_fanout_free (request->fanout);
  jd_outgoing_request_unref (request->outgoing);
  jd_route_table_unref (request->table);
  jd_top_records_free (request->top_records);
  if (request->reply_fields)
    g_string_free (request->reply_fields, TRUE);
  if (request->reply_body)
    g_string_free (request->reply_body, TRUE);
  if (request->signatures)
    g_string_free (request->signatures, TRUE);
  g_free (request->exchanges);
  g_free (request);
}

/* Cancels the attempts that still run. Those of a search may finish within LINGER_US,
 * because they are short and a cancelled attempt costs its connection; other work is
 * stopped at once. */
static void
cancel_attempts (jd_request_t *request)
{
  bool may_linger = request->route->kind == JD_ROUTE_SCATTER;
  uint32_t count = request->fanout->part_count * JD_FANOUT_ATTEMPTS_MAX;
  for (uint32_t i = 0; i < count; i++)
    {
      jd_exchange_t *exchange = request->exchanges[i];
      request->exchanges[i] = NULL;
      if (exchange)
        jd_exchange_cancel (exchange, may_linger ? LINGER_US : 0);
    }
}

/* Logs the missing parts of an answer, up to MISSING_PARTS_LOGGED_MAX, each with the
 * target of its last attempt. */
static void
log_missing_parts (const jd_request_t *request, int64_t now_us)
{
  uint32_t logged_count = 0;
  for (uint32_t i = 0;
       i < request->fanout->part_count && logged_count < MISSING_PARTS_LOGGED_MAX; i++)
    {
      const jd_fanout_part_t *part = &request->fanout->parts[i];
      if (part->done)
        continue;
      logged_count++;
      const jd_fanout_attempt_t *last =
          part->attempt_count > 0 ? &part->attempts[part->attempt_count - 1] : NULL;
      jd_log_event (
          G_LOG_LEVEL_INFO, "part_missing",
          "id=%s part=%u service=%s replicas=%u attempts=%u running=%u target=%s "
          "waited_ms=%.1f tokens=%.1f",
          request->outgoing->match.request_id, i, part->pool->service,
          part->pool->replicas->len, part->attempt_count, part->running_attempts,
          last ? last->replica->id : "-",
          last ? (double)(now_us - last->started_us) / (double)JD_US_PER_MS : 0.0,
          part->pool->host_budget.tokens);
    }
}

/* Logs and counts the end of a request. `status` is 0 if no answer is sent. */
static void
record_end (jd_request_t *request, jd_host_end_t end, uint32_t status)
{
  jd_host_t *host = request->host;
  const jd_fanout_t *fanout = request->fanout;
  int64_t now_us = jd_monotonic_us ();
  if (end != JD_HOST_END_SERVED && end != JD_HOST_END_CALLER_LEFT)
    log_missing_parts (request, now_us);
  jd_counter_add (host->end_counters[end], 1);
  jd_counter_add (host->hedge_counter, fanout->hedges);
  jd_counter_add (host->retry_counter, fanout->retries);
  jd_host_metrics_record_request (&host->latencies, request->route, end,
                                  now_us - request->arrived_us);
  jd_log_event (
      G_LOG_LEVEL_INFO, "request_done",
      "id=%s route=%s tenant=%s end=%s status=%u ms=%.1f parts=%u/%u lost=%u hedges=%u "
      "retries=%u partial_at_ms=%.1f left_ms=%" G_GINT64_FORMAT
      " config=%" G_GINT64_FORMAT " config_age_ms=%" G_GINT64_FORMAT " usual_ms=%.1f",
      request->outgoing->match.request_id, request->route->name,
      request->tenant ? request->tenant : "-", jd_host_end_name (end), status,
      (double)(now_us - request->arrived_us) / (double)JD_US_PER_MS, fanout->done_count,
      fanout->part_count, fanout->lost_count, fanout->hedges, fanout->retries,
      (double)(fanout->early_us - fanout->start_us) / (double)JD_US_PER_MS,
      (fanout->deadline_us - now_us) / JD_US_PER_MS, request->table->version,
      (now_us - jd_record_feed_as_of_us (host->feed)) / JD_US_PER_MS,
      request->route->latency->median_us / (double)JD_US_PER_MS);
}

/* Answers a scattered request with the merged records of the parts received so far. */
static void
send_scattered_answer (jd_request_t *request)
{
  const jd_host_fields_t *names = &request->host->platform.fields;
  GString *fields = g_string_new (NULL);
  GString *body = g_string_new (NULL);
  g_string_append_printf (fields, "%s: %s\r\n%s: %s\r\n%s: %u\r\n", names->request_id,
                          request->outgoing->match.request_id, names->part_signatures,
                          request->signatures->str, names->missing_parts,
                          request->fanout->part_count - request->fanout->done_count);
  jd_top_records_render (request->top_records, body);
  jd_caller_answer (request->caller, 200, fields, body->str, body->len);
  g_string_free (fields, TRUE);
  g_string_free (body, TRUE);
}

/* Returns the Retry-After time of a request that no target can get at present: the time
 * until one can. */
static int64_t
not_run_retry_after_us (const jd_fanout_t *fanout)
{
  int64_t servable_in_us = jd_fanout_servable_in_us (fanout, jd_monotonic_us ());
  if (servable_in_us == INT64_MAX)
    return RETRY_AFTER_UNKNOWN_US;
  return CLAMP (servable_in_us, RETRY_AFTER_MIN_US, RETRY_AFTER_MAX_US);
}

/* Sends the answer for a verdict. A failure response is passed on if the target ran the
 * request, not if it refused it. */
static void
send_answer (jd_request_t *request, jd_fanout_verdict_t verdict)
{
  bool is_scattered = request->route->kind == JD_ROUTE_SCATTER;
  bool has_reply = request->reply_fields != NULL;
  switch (verdict)
    {
    case JD_FANOUT_COMPLETE:
    case JD_FANOUT_PARTIAL:
      record_end (request,
                  verdict == JD_FANOUT_COMPLETE ? JD_HOST_END_SERVED
                                                : JD_HOST_END_PARTIAL,
                  is_scattered ? 200 : request->reply_status);
      if (is_scattered)
        send_scattered_answer (request);
      else
        jd_caller_answer (request->caller, request->reply_status, request->reply_fields,
                          request->reply_body->str, request->reply_body->len);
      return;
    case JD_FANOUT_FAILED:
    case JD_FANOUT_TIMED_OUT:
    case JD_FANOUT_STOPPED:
      if (has_reply)
        {
          record_end (request, JD_HOST_END_TARGET_FAILURE, request->reply_status);
          jd_caller_answer (request->caller, request->reply_status, request->reply_fields,
                            request->reply_body->str, request->reply_body->len);
          return;
        }
      if (verdict == JD_FANOUT_FAILED)
        {
          record_end (request, JD_HOST_END_FAILED, 502);
          jd_caller_answer_status (request->caller, 502, 0);
          return;
        }
      record_end (request,
                  verdict == JD_FANOUT_STOPPED ? JD_HOST_END_STOPPED
                                               : JD_HOST_END_TIMED_OUT,
                  504);
      jd_caller_answer_status (request->caller, 504, 0);
      return;
    case JD_FANOUT_NOT_RUN:
      record_end (request, JD_HOST_END_NOT_RUN, 503);
      jd_caller_answer_status (request->caller, 503,
                               not_run_retry_after_us (request->fanout));
      return;
    }
}

/* Fanout action: cancels the remaining attempts and answers the caller. */
static void
on_finish (void *context, jd_fanout_verdict_t verdict)
{
  jd_request_t *request = context;
  int64_t begin_us = jd_monotonic_us ();
  jd_caller_set_data (request->caller, NULL);
  cancel_attempts (request);
  send_answer (request, verdict);
  jd_host_metrics_record_phase (&request->host->latencies, JD_HOST_PHASE_ANSWER,
                                jd_monotonic_us () - begin_us);
}

/* Runs the decisions of the fanout that are due and sets the timer to the next one. Frees
 * the request if it has ended. */
static void
run_fanout (jd_request_t *request)
{
  int64_t now_us = jd_monotonic_us ();
  int64_t wake_us = jd_fanout_tick (request->fanout, now_us);
  if (request->fanout->finished)
    {
      request_free (request);
      return;
    }
  ev_timer_stop (request->host->loop, &request->timer);
  ev_timer_set (&request->timer, (double)MAX (wake_us - now_us, 0) / (double)JD_US_PER_S,
                0.0);
  ev_timer_start (request->host->loop, &request->timer);
}

/* Timer callback: a decision of the fanout is due. */
static void
on_request_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  run_fanout (timer->data);
}

/* Stores the response of a target to a request to one service, in place of an earlier
 * one. */
static void
store_reply (jd_request_t *request, const jd_http_reader_t *reply)
{
  if (request->reply_fields)
    {
      g_string_free (request->reply_fields, TRUE);
      g_string_free (request->reply_body, TRUE);
    }
  request->reply_status = reply->parser.status_code;
  request->reply_fields = jd_request_forwarded_fields (reply);
  request->reply_body = g_string_new_len (reply->body->str, (gssize)reply->body->len);
}

/* Adds the part of one shard to the answer. Returns FALSE if the response is not a valid
 * part: it has no single signature, or its status is 300 or more. */
static bool
add_part (jd_request_t *request, const jd_http_reader_t *reply)
{
  const char *signature =
      jd_http_reader_value (reply, request->host->platform.fields.target.signature);
  if (!signature || reply->parser.status_code >= 300 || strchr (signature, ','))
    return false;
  jd_top_records_add (request->top_records, reply->body->str, reply->body->len);
  if (request->signatures->len > 0)
    g_string_append (request->signatures, ", ");
  g_string_append (request->signatures, signature);
  return true;
}

/* Link callback: processes the result of an attempt. */
static void
on_attempt_done (void *context, uint32_t tag, jd_replica_t *replica,
                 const jd_exchange_result_t *result)
{
  jd_request_t *request = context;
  jd_host_t *host = request->host;
  uint32_t part = tag / JD_FANOUT_ATTEMPTS_MAX;
  jd_replica_outcome_t outcome = result->outcome;
  int64_t now_us = jd_monotonic_us ();
  request->exchanges[tag] = NULL;
  if (outcome == JD_REPLICA_OK && jd_fanout_needs_part (request->fanout, part))
    {
      if (request->route->kind != JD_ROUTE_SCATTER)
        store_reply (request, result->reply);
      else if (!add_part (request, result->reply))
        outcome = JD_REPLICA_ERROR;
    }
  else if (outcome == JD_REPLICA_ERROR && request->route->kind != JD_ROUTE_SCATTER &&
           jd_http_reader_value (result->reply, host->platform.fields.target.signature))
    store_reply (request, result->reply);
  if (outcome == JD_REPLICA_OK)
    {
      jd_route_latency_record (request->route->latency, result->elapsed_us);
      jd_host_metrics_record_phase (&host->latencies, JD_HOST_PHASE_CONNECTION,
                                    result->connection_wait_us);
      jd_host_metrics_record_phase (&host->latencies, JD_HOST_PHASE_TARGET,
                                    result->elapsed_us);
      jd_host_metrics_record_attempt (&host->latencies, replica->zone,
                                      result->elapsed_us);
    }
  else
    jd_log_event (G_LOG_LEVEL_INFO, "attempt_failed",
                  "id=%s part=%u service=%s target=%s outcome=%s may_have_run=%d ms=%.1f",
                  request->outgoing->match.request_id, part, replica->pool->service,
                  replica->id, outcome_name (outcome), result->may_have_run,
                  (double)result->elapsed_us / (double)JD_US_PER_MS);
  jd_fanout_end_attempt (request->fanout, part, tag % JD_FANOUT_ATTEMPTS_MAX, outcome,
                         result->may_have_run, now_us);
  if (request->fanout->finished)
    request_free (request);
}

/* Fanout action: sends an attempt to a replica. Returns FALSE if it cannot be sent. */
static bool
on_send (void *context, uint32_t part, uint32_t attempt, jd_replica_t *replica)
{
  jd_request_t *request = context;
  uint32_t tag = part * JD_FANOUT_ATTEMPTS_MAX + attempt;
  jd_exchange_owner_t owner = { .on_done = on_attempt_done,
                                .context = request,
                                .tag = tag };
  if (attempt > 0)
    jd_log_event (G_LOG_LEVEL_INFO, "attempt_added",
                  "id=%s part=%u attempt=%u service=%s target=%s zone=%s slowness=%.2f "
                  "failures=%.2f tokens=%.1f ms=%.1f",
                  request->outgoing->match.request_id, part, attempt + 1,
                  replica->pool->service, replica->id, replica->zone,
                  jd_replica_latency_ratio (replica, jd_monotonic_us ()),
                  replica->failure_share, replica->pool->host_budget.tokens,
                  (double)(jd_monotonic_us () - request->arrived_us) /
                      (double)JD_US_PER_MS);
  jd_exchange_t *exchange =
      jd_replica_links_send (request->host->links, replica, request->outgoing,
                             (int64_t)request->route->latency->median_us, &owner);
  request->exchanges[tag] = exchange;
  return exchange != NULL;
}

/* Fanout action: returns TRUE if a running attempt was sent to its target. */
static bool
on_check_sent (void *context)
{
  const jd_request_t *request = context;
  uint32_t count = request->fanout->part_count * JD_FANOUT_ATTEMPTS_MAX;
  for (uint32_t i = 0; i < count; i++)
    {
      if (request->exchanges[i] && jd_exchange_was_sent (request->exchanges[i]))
        return true;
    }
  return false;
}

/* Chooses the service of a weighted route by smooth weighted round robin, so that this
 * host's requests are split by the weights as closely as whole requests allow. */
static const jd_route_part_t *
choose_weighted (const jd_route_t *route)
{
  jd_route_part_t *best = NULL;
  double total = 0.0;
  for (guint i = 0; i < route->parts->len; i++)
    {
      jd_route_part_t *part = &g_array_index (route->parts, jd_route_part_t, i);
      part->credit += part->weight;
      total += part->weight;
      if (!best || part->credit > best->credit)
        best = part;
    }
  if (best)
    best->credit -= total;
  return best;
}

/* Returns the rank of a request among those that need extra attempts at its shards. */
static jd_extra_rank_t
extra_rank (const jd_route_table_t *table, const jd_route_t *route,
            const jd_tenant_t *tenant)
{
  int32_t priority = jd_route_priority (route, tenant);
  return priority <= jd_route_table_search_priority (table) ? JD_EXTRA_RANK_URGENT
                                                            : JD_EXTRA_RANK_NORMAL;
}

/* Rejects a search before anything is sent if its shards are so scarce that too few parts
 * can be expected to be answered with the extra attempts that are left. Returns TRUE if
 * it did. */
static bool
reject_if_scarce (jd_request_t *request, const jd_http_reader_t *reader, int64_t now_us)
{
  const jd_fanout_t *fanout = request->fanout;
  if (request->route->kind != JD_ROUTE_SCATTER)
    return false;
  double expected_parts = jd_fanout_expected_parts (fanout, now_us);
  if (expected_parts >= (double)fanout->needed_parts)
    return false;
  jd_host_t *host = request->host;
  double draw = (double)(fanout->salt >> 8) / (double)(UINT32_MAX >> 8);
  double objectives =
      RETRY_AFTER_SCARCE_OBJECTIVES_MIN +
      draw * (RETRY_AFTER_SCARCE_OBJECTIVES_MAX - RETRY_AFTER_SCARCE_OBJECTIVES_MIN);
  jd_log_event (G_LOG_LEVEL_INFO, "shards_scarce",
                "id=%s route=%s expected_parts=%.1f needed=%u parts=%u rank=%d",
                request->outgoing->match.request_id, request->route->name, expected_parts,
                fanout->needed_parts, fanout->part_count, fanout->rank);
  jd_counter_add (host->scarce_counter, 1);
  reject (host, request->caller, reader,
          &(jd_rejection_t){
              .status = 503,
              .end = JD_HOST_END_OVERLOADED,
              .cause = "shards_scarce",
              .tenant = request->tenant,
              .retry_after_us =
                  MAX ((int64_t)(objectives * (double)request->route->objective_us),
                       RETRY_AFTER_MIN_US) });
  return true;
}

/* Starts the attempts of an admitted request. Answers 503 at once if too few parts have
 * a usable replica, or too few can be expected to be answered. */
static void
start_request (jd_host_t *host, jd_caller_t *caller, const jd_http_reader_t *reader,
               const jd_route_t *route, const jd_tenant_t *tenant, int64_t deadline_us,
               int64_t now_us)
{
  bool is_scattered = route->kind == JD_ROUTE_SCATTER;
  jd_request_t *request = g_new0 (jd_request_t, 1);
  request->host = host;
  request->node.data = request;
  request->caller = caller;
  request->table = jd_route_table_ref (host->routes);
  request->route = route;
  request->tenant = tenant ? tenant->name : NULL;
  request->arrived_us = now_us;
  request->outgoing =
      jd_request_build_outgoing (host, reader, host->routes, request->tenant);
  request->outgoing->deadline_us = deadline_us;
  request->outgoing->runs_once = !route->idempotent;
  const jd_route_part_t *parts = is_scattered
                                     ? (jd_route_part_t *)(void *)route->parts->data
                                     : choose_weighted (route);
  uint32_t part_count = is_scattered ? route->parts->len : 1;
  jd_fanout_request_t fanout_request = {
    .route = route,
    .parts = parts,
    .part_count = part_count,
    .deadline_us = deadline_us,
    .caller_path = jd_caller_path (caller),
    .salt = host->salt++ * 2654435761U,
    .rank = extra_rank (host->routes, route, tenant),
  };
  jd_fanout_actions_t actions = {
    .send = on_send, .is_sent = on_check_sent, .finish = on_finish, .context = request
  };
  request->fanout = jd_fanout_new (&fanout_request, &actions, now_us);
  request->exchanges = g_new0 (jd_exchange_t *, part_count * JD_FANOUT_ATTEMPTS_MAX);
  if (is_scattered)
    {
      request->top_records = jd_top_records_new (route->top_k);
      request->signatures = g_string_new (NULL);
    }
  ev_init (&request->timer, on_request_timer);
  request->timer.data = request;
  g_queue_push_tail_link (&host->requests, &request->node);
  jd_caller_set_data (caller, request);
  if (!jd_fanout_can_succeed (request->fanout, now_us))
    {
      jd_caller_set_data (caller, NULL);
      send_answer (request, JD_FANOUT_NOT_RUN);
      request_free (request);
      return;
    }
  if (reject_if_scarce (request, reader, now_us))
    {
      jd_caller_set_data (caller, NULL);
      request_free (request);
      return;
    }
  jd_fanout_start (request->fanout, now_us);
  run_fanout (request);
}

/* Returns the time that a request may take: that of the caller, but at most that of the
 * route. */
static int64_t
time_limit_us (const jd_host_t *host, const jd_http_reader_t *reader,
               const jd_route_t *route)
{
  int64_t limit_ms = 0;
  int64_t limit_us = DEFAULT_DEADLINE_US;
  if (jd_http_reader_number (reader, host->platform.fields.deadline_ms, &limit_ms))
    limit_us = MIN (limit_ms, G_MAXINT32) * JD_US_PER_MS;
  return route->timeout_us > 0 ? MIN (limit_us, route->timeout_us) : limit_us;
}

/* Caller server callback: admits and starts a request, or rejects it. */
void
jd_host_on_request (void *context, jd_caller_t *caller, const jd_http_reader_t *reader)
{
  jd_host_t *host = context;
  const jd_host_fields_t *fields = &host->platform.fields;
  int64_t now_us = jd_monotonic_us ();
  const char *host_field = jd_http_reader_value (reader, "Host");
  const char *id = jd_http_reader_value (reader, fields->request_id);
  if (!host_field || jd_http_reader_count (reader, "Host") != 1 || !id || *id == '\0' ||
      reader->parser.method == HTTP_CONNECT)
    {
      reject (host, caller, reader,
              &(jd_rejection_t){
                  .status = 400, .end = JD_HOST_END_REJECTED, .cause = "bad_request" });
      return;
    }
  if (!host->routes)
    {
      reject (host, caller, reader,
              &(jd_rejection_t){ .status = 503,
                                 .end = JD_HOST_END_NOT_RUN,
                                 .cause = "no_configuration",
                                 .retry_after_us = RETRY_AFTER_NO_CONFIGURATION_US });
      return;
    }
  const jd_route_t *route = jd_route_table_match (
      host->routes, host_field, reader->text->str, path_length (reader));
  if (!route)
    {
      deny (host, caller, reader, 404, "no_route");
      return;
    }
  route->latency->recent_requests += 1.0;
  const jd_tenant_t *tenant = find_tenant (host, reader);
  if (!tenant && host->routes->has_tenants && !route->needs_no_key)
    {
      deny (host, caller, reader, 401, "unknown_key");
      return;
    }
  int64_t deadline_us = now_us + time_limit_us (host, reader, route);
  if (host->stopping &&
      !jd_stop_plan_may_send (&host->stop_plan, route, deadline_us, now_us))
    {
      reject (host, caller, reader,
              &(jd_rejection_t){ .status = 503,
                                 .end = JD_HOST_END_NOT_RUN,
                                 .cause = "stopping",
                                 .retry_after_us = RETRY_AFTER_MIN_US });
      return;
    }
  if (host->requests.length >= host->max_requests)
    {
      reject (host, caller, reader,
              &(jd_rejection_t){ .status = 503,
                                 .end = JD_HOST_END_OVERLOADED,
                                 .cause = "too_many_requests",
                                 .retry_after_us = RETRY_AFTER_MIN_US });
      return;
    }
  if (!jd_byte_budget_admits (&host->byte_budget, jd_caller_held_bytes (caller),
                              host->max_requests))
    {
      reject (host, caller, reader,
              &(jd_rejection_t){ .status = 503,
                                 .end = JD_HOST_END_OVERLOADED,
                                 .cause = "too_many_bytes",
                                 .retry_after_us = RETRY_AFTER_MIN_US });
      return;
    }
  /* This check precedes the tenant's rate limit, because a rejected request must not
   * count towards it. */
  double rejected_share =
      jd_route_table_rejected_share (host->routes, route, tenant, now_us);
  if (!jd_admission_gate_admits (&route->latency->gate, rejected_share))
    {
      reject_for_overload (host, caller, reader, route, rejected_share);
      return;
    }
  int64_t retry_after_us = 0;
  if (tenant && !jd_fleet_quota_admit (host->quota, tenant->name, host->host_count,
                                       now_us, &retry_after_us))
    {
      reject_above_rate (host, caller, reader, tenant->name, retry_after_us, now_us);
      return;
    }
  if (tenant)
    jd_peer_gossip_schedule_admissions (host->gossip);
  start_request (host, caller, reader, route, tenant, deadline_us, now_us);
}

/* Caller server callback: the caller disconnected, so its attempts are cancelled. */
void
jd_host_on_disconnect (void *context, jd_caller_t *caller)
{
  jd_request_t *request = jd_caller_data (caller);
  if (!request)
    return;
  request->fanout->finished = true;
  cancel_attempts (request);
  record_end (request, JD_HOST_END_CALLER_LEFT, 0);
  request_free (request);
}

/* Answers the requests of a stopping host that are due by its plan. */
void
jd_host_end_requests (jd_host_t *host, int64_t now_us)
{
  GList *next = NULL;
  for (GList *item = host->requests.head; item; item = next)
    {
      next = item->next;
      jd_request_t *request = item->data;
      bool was_sent = jd_fanout_may_have_run (request->fanout);
      if (!jd_stop_plan_ends_request (&host->stop_plan, request->route,
                                      request->fanout->deadline_us, was_sent, now_us))
        continue;
      jd_fanout_stop (request->fanout);
      request_free (request);
    }
}
