#include "daemons/host_request.h"

#include <string.h>

#include "base/clock.h"
#include "base/log_event.h"

/* How long the losing attempt of an idempotent request may go on after the answer. It
 * outlasts the pauses of targets, 120 and 150 ms, so that connections are kept. */
#define LINGER_US (300 * JD_US_PER_MS)
/* Time limit of a request whose caller states none. */
#define DEFAULT_DEADLINE_US (10 * JD_US_PER_S)
/* When a rejected caller may return. Another host or replica often can serve it at once,
 * so the first is short; a configuration takes longer to arrive. */
#define RETRY_SOON_US (30 * JD_US_PER_MS)
#define RETRY_TARGET_US (500 * JD_US_PER_MS)
#define RETRY_UNREADY_US (250 * JD_US_PER_MS)
#define RETRY_MAX_US (5 * JD_US_PER_S)
/* In the objective of its route, the queues at the targets that a caller was rejected for
 * are done. */
#define RETRY_BUSY_OBJECTIVES 1
#define KEY_BYTES_MAX 512
/* Parts that the log names of one answer. */
#define MISSING_NOTED_MAX 4

/* Returns the name of an end in log lines and metrics. */
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
    [JD_HOST_END_CALLER_LEFT] = "caller_left",
    [JD_HOST_END_RATE_LIMITED] = "rate_limited",
    [JD_HOST_END_REJECTED] = "rejected",
    [JD_HOST_END_OVERLOADED] = "overloaded",
  };
  return names[end];
}

/* Returns the name of an outcome in log lines. */
static const char *
outcome_name (jd_replica_outcome_t outcome)
{
  static const char *const names[] = {
    [JD_REPLICA_OK] = "ok",
    [JD_REPLICA_SHED] = "shed",
    [JD_REPLICA_ERROR] = "error",
    [JD_REPLICA_BROKEN] = "broken",
    [JD_REPLICA_UNREACHABLE] = "unreachable",
    [JD_REPLICA_TIMED_OUT] = "timeout",
    [JD_REPLICA_ABANDONED] = "abandoned",
    [JD_REPLICA_REPLACED] = "replaced",
  };
  return names[outcome];
}

/* Why a request is not admitted. */
typedef struct jd_rejection
{
  uint32_t status;
  jd_host_end_t end;
  const char *cause;
  const char *tenant;     /* NULL while it is not known. */
  int64_t retry_after_us; /* 0: none is stated. */
} jd_rejection_t;

/* Answers a request before it was admitted. */
static void
reject (jd_host_t *host, jd_caller_t *caller, const jd_http_reader_t *reader,
        const jd_rejection_t *rejection)
{
  const char *id = jd_http_reader_value (reader, host->platform.fields.request_id);
  jd_counter_add (host->ends[rejection->end], 1);
  jd_log_event (
      G_LOG_LEVEL_INFO, "request_rejected",
      "id=%s status=%u cause=%s tenant=%s retry_after_ms=%" G_GINT64_FORMAT
      " config=%" G_GINT64_FORMAT " config_age_ms=%" G_GINT64_FORMAT,
      id ? id : "-", rejection->status, rejection->cause,
      rejection->tenant ? rejection->tenant : "-",
      rejection->retry_after_us / JD_US_PER_MS, host->routes ? host->routes->version : 0,
      (jd_monotonic_us () - jd_record_feed_as_of_us (host->feed)) / JD_US_PER_MS);
  jd_caller_answer_status (caller, rejection->status,
                           MIN (rejection->retry_after_us, RETRY_MAX_US));
}

/* Rejects a request of a tenant that asks for more than its rate. */
static void
reject_beyond_rate (jd_host_t *host, jd_caller_t *caller, const jd_http_reader_t *reader,
                    const char *tenant, int64_t retry_after_us, int64_t now_us)
{
  const char *id = jd_http_reader_value (reader, host->platform.fields.request_id);
  jd_quota_view_t view = jd_fleet_quota_view (host->quota, tenant, now_us);
  jd_log_event (G_LOG_LEVEL_INFO, "rate_exceeded",
                "id=%s tenant=%s rate_per_s=%.1f level=%.2f local_level=%.2f "
                "demand_per_s=%.2f others_per_s=%.2f hosts=%u",
                id ? id : "-", tenant, view.rate_per_s, view.level, view.local_level,
                view.demand_per_s, view.others_per_s, host->hosts);
  reject (host, caller, reader,
          &(jd_rejection_t){ .status = 429,
                             .end = JD_HOST_END_RATE_LIMITED,
                             .cause = "beyond_rate",
                             .tenant = tenant,
                             .retry_after_us = retry_after_us });
}

/* Rejects a request because the targets of its route have more than they can do. */
static void
reject_for_load (jd_host_t *host, jd_caller_t *caller, const jd_http_reader_t *reader,
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
                (jd_monotonic_us () - gate->adapted_us) / JD_US_PER_MS);
  reject (host, caller, reader,
          &(jd_rejection_t){
              .status = 503,
              .end = JD_HOST_END_OVERLOADED,
              .cause = "targets_overloaded",
              .retry_after_us =
                  MAX (RETRY_BUSY_OBJECTIVES * route->objective_us, RETRY_SOON_US) });
}

/* Frees a request that has ended. */
static void
request_free (jd_request_t *request)
{
  jd_host_t *host = request->host;
  ev_timer_stop (host->loop, &request->timer);
  g_queue_unlink (&host->requests, &request->node);
  jd_fanout_free (request->fanout);
  jd_outgoing_unref (request->outgoing);
  jd_route_table_unref (request->table);
  jd_top_records_free (request->records);
  if (request->fields)
    g_string_free (request->fields, TRUE);
  if (request->body)
    g_string_free (request->body, TRUE);
  if (request->signatures)
    g_string_free (request->signatures, TRUE);
  g_free (request->exchanges);
  g_free (request);
}

/* Withdraws the attempts that still run. A part of a search is short, and its
 * connection is worth keeping; other work is stopped at once. */
static void
withdraw_attempts (jd_request_t *request)
{
  bool lingers = request->route->kind == JD_ROUTE_SCATTER;
  uint32_t count = request->fanout->part_count * JD_FANOUT_TRIES_MAX;
  for (uint32_t i = 0; i < count; i++)
    {
      jd_exchange_t *exchange = request->exchanges[i];
      request->exchanges[i] = NULL;
      if (exchange)
        jd_exchange_cancel (exchange, lingers ? LINGER_US : 0);
    }
}

/* Logs the parts that an answer lacks, with the last target that was asked for each. */
static void
note_missing_parts (const jd_request_t *request, int64_t now_us)
{
  uint32_t noted = 0;
  for (uint32_t i = 0; i < request->fanout->part_count && noted < MISSING_NOTED_MAX; i++)
    {
      const jd_fanout_part_t *part = &request->fanout->parts[i];
      if (part->done)
        continue;
      noted++;
      const jd_fanout_attempt_t *last =
          part->attempt_count > 0 ? &part->attempts[part->attempt_count - 1] : NULL;
      jd_log_event (
          G_LOG_LEVEL_INFO, "part_missing",
          "id=%s part=%u service=%s replicas=%u attempts=%u running=%u target=%s "
          "waited_ms=%.1f tokens=%.1f",
          request->outgoing->id, i, part->pool->service, part->pool->replicas->len,
          part->attempt_count, part->running, last ? last->replica->id : "-",
          last ? (double)(now_us - last->started_us) / (double)JD_US_PER_MS : 0.0,
          part->pool->extra.tokens);
    }
}

/* Logs and counts the end of a request. */
static void
note_end (jd_request_t *request, jd_host_end_t end, uint32_t status)
{
  jd_host_t *host = request->host;
  const jd_fanout_t *fanout = request->fanout;
  int64_t now_us = jd_monotonic_us ();
  if (end != JD_HOST_END_SERVED && end != JD_HOST_END_CALLER_LEFT)
    note_missing_parts (request, now_us);
  jd_counter_add (host->ends[end], 1);
  jd_counter_add (host->hedges, fanout->hedges);
  jd_counter_add (host->retries, fanout->retries);
  jd_host_metrics_request (&host->latencies, request->route, end,
                           now_us - request->arrived_us);
  jd_log_event (
      G_LOG_LEVEL_INFO, "request_done",
      "id=%s route=%s tenant=%s end=%s status=%u ms=%.1f parts=%u/%u lost=%u hedges=%u "
      "retries=%u left_ms=%" G_GINT64_FORMAT " config=%" G_GINT64_FORMAT
      " config_age_ms=%" G_GINT64_FORMAT " usual_ms=%.1f",
      request->outgoing->id, request->route->name,
      request->tenant ? request->tenant : "-", jd_host_end_name (end), status,
      (double)(now_us - request->arrived_us) / (double)JD_US_PER_MS, fanout->done_count,
      fanout->part_count, fanout->lost_count, fanout->hedges, fanout->retries,
      (fanout->deadline_us - now_us) / JD_US_PER_MS, request->table->version,
      (now_us - jd_record_feed_as_of_us (host->feed)) / JD_US_PER_MS,
      request->route->latency->median_us / (double)JD_US_PER_MS);
}

/* Sends the answer of a scattered request. */
static void
answer_scattered (jd_request_t *request)
{
  const jd_host_fields_t *names = &request->host->platform.fields;
  GString *fields = g_string_new (NULL);
  GString *body = g_string_new (NULL);
  g_string_append_printf (fields, "%s: %s\r\n%s: %s\r\n%s: %u\r\n", names->request_id,
                          request->outgoing->id, names->part_signatures,
                          request->signatures->str, names->missing_parts,
                          request->fanout->part_count - request->fanout->done_count);
  jd_top_records_render (request->records, body);
  jd_caller_answer (request->caller, 200, fields, body->str, body->len);
  g_string_free (fields, TRUE);
  g_string_free (body, TRUE);
}

/* Sends the answer that a verdict asks for. A failure that a target gave is passed on
 * unless it was a refusal. */
static void
answer (jd_request_t *request, jd_fanout_verdict_t verdict)
{
  bool is_scattered = request->route->kind == JD_ROUTE_SCATTER;
  bool has_reply = request->fields != NULL;
  switch (verdict)
    {
    case JD_FANOUT_COMPLETE:
    case JD_FANOUT_PARTIAL:
      note_end (request,
                verdict == JD_FANOUT_COMPLETE ? JD_HOST_END_SERVED : JD_HOST_END_PARTIAL,
                is_scattered ? 200 : request->status);
      if (is_scattered)
        answer_scattered (request);
      else
        jd_caller_answer (request->caller, request->status, request->fields,
                          request->body->str, request->body->len);
      return;
    case JD_FANOUT_FAILED:
    case JD_FANOUT_TIMED_OUT:
      if (has_reply)
        {
          note_end (request, JD_HOST_END_TARGET_FAILURE, request->status);
          jd_caller_answer (request->caller, request->status, request->fields,
                            request->body->str, request->body->len);
          return;
        }
      if (verdict == JD_FANOUT_FAILED)
        {
          note_end (request, JD_HOST_END_FAILED, 502);
          jd_caller_answer_status (request->caller, 502, 0);
          return;
        }
      note_end (request, JD_HOST_END_TIMED_OUT, 504);
      jd_caller_answer_status (request->caller, 504, 0);
      return;
    case JD_FANOUT_NOT_RUN:
      note_end (request, JD_HOST_END_NOT_RUN, 503);
      jd_caller_answer_status (
          request->caller, 503,
          CLAMP (jd_fanout_servable_in_us (request->fanout, jd_monotonic_us ()),
                 RETRY_SOON_US, RETRY_TARGET_US));
      return;
    }
}

/* Fanout action: the request is over. */
static void
on_finish (void *context, jd_fanout_verdict_t verdict)
{
  jd_request_t *request = context;
  int64_t begin_us = jd_monotonic_us ();
  jd_caller_set_data (request->caller, NULL);
  withdraw_attempts (request);
  answer (request, verdict);
  jd_host_metrics_phase (&request->host->latencies, JD_HOST_PHASE_ANSWER,
                         jd_monotonic_us () - begin_us);
}

/* Sets the timer to the next time at which the fanout has to decide. Frees a request
 * that has ended. */
static void
advance (jd_request_t *request)
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

/* Timer callback of a request. */
static void
on_request_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  advance (timer->data);
}

/* Keeps the answer of a target to a request to one service. */
static void
keep_reply (jd_request_t *request, const jd_http_reader_t *reply)
{
  if (request->fields)
    {
      g_string_free (request->fields, TRUE);
      g_string_free (request->body, TRUE);
    }
  request->status = reply->parser.status_code;
  request->fields = jd_request_answer_fields (reply);
  request->body = g_string_new_len (reply->body->str, (gssize)reply->body->len);
}

/* Takes the part of one shard into the answer. FALSE when it is no part. */
static bool
take_part (jd_request_t *request, const jd_http_reader_t *reply)
{
  const char *signature =
      jd_http_reader_value (reply, request->host->platform.fields.target.signature);
  if (!signature || reply->parser.status_code >= 300 || strchr (signature, ','))
    return false;
  jd_top_records_add (request->records, reply->body->str, reply->body->len);
  if (request->signatures->len > 0)
    g_string_append (request->signatures, ", ");
  g_string_append (request->signatures, signature);
  return true;
}

/* Link callback: an attempt has ended. */
static void
on_attempt_done (void *context, uint32_t tag, jd_replica_t *replica,
                 const jd_exchange_result_t *result)
{
  jd_request_t *request = context;
  jd_host_t *host = request->host;
  uint32_t part = tag / JD_FANOUT_TRIES_MAX;
  jd_replica_outcome_t outcome = result->outcome;
  int64_t now_us = jd_monotonic_us ();
  request->exchanges[tag] = NULL;
  if (outcome == JD_REPLICA_OK && jd_fanout_wants (request->fanout, part))
    {
      if (request->route->kind != JD_ROUTE_SCATTER)
        keep_reply (request, result->reply);
      else if (!take_part (request, result->reply))
        outcome = JD_REPLICA_ERROR;
    }
  else if (outcome == JD_REPLICA_ERROR && request->route->kind != JD_ROUTE_SCATTER &&
           jd_http_reader_value (result->reply, host->platform.fields.target.signature))
    keep_reply (request, result->reply);
  if (outcome == JD_REPLICA_OK)
    {
      jd_route_latency_record (request->route->latency, result->elapsed_us);
      jd_host_metrics_phase (&host->latencies, JD_HOST_PHASE_CONNECTION,
                             result->waited_us);
      jd_host_metrics_phase (&host->latencies, JD_HOST_PHASE_TARGET, result->elapsed_us);
      jd_host_metrics_attempt (&host->latencies, replica->zone, result->elapsed_us);
    }
  else
    jd_log_event (G_LOG_LEVEL_INFO, "attempt_failed",
                  "id=%s part=%u service=%s target=%s outcome=%s may_have_run=%d ms=%.1f",
                  request->outgoing->id, part, replica->pool->service, replica->id,
                  outcome_name (outcome), result->may_have_run,
                  (double)result->elapsed_us / (double)JD_US_PER_MS);
  jd_fanout_settle (request->fanout, part, tag % JD_FANOUT_TRIES_MAX, outcome,
                    result->may_have_run, now_us);
  if (request->fanout->finished)
    request_free (request);
}

/* Fanout action: sends an attempt. */
static bool
on_send (void *context, uint32_t part, uint32_t attempt, jd_replica_t *replica)
{
  jd_request_t *request = context;
  uint32_t tag = part * JD_FANOUT_TRIES_MAX + attempt;
  jd_exchange_owner_t owner = { .on_done = on_attempt_done,
                                .context = request,
                                .tag = tag };
  if (attempt > 0)
    jd_log_event (
        G_LOG_LEVEL_INFO, "attempt_added",
        "id=%s part=%u attempt=%u service=%s target=%s zone=%s slowness=%.2f "
        "failures=%.2f tokens=%.1f ms=%.1f",
        request->outgoing->id, part, attempt + 1, replica->pool->service, replica->id,
        replica->zone, jd_replica_slowness (replica, jd_monotonic_us ()),
        replica->failure_share, replica->pool->extra.tokens,
        (double)(jd_monotonic_us () - request->arrived_us) / (double)JD_US_PER_MS);
  jd_exchange_t *exchange =
      jd_replica_links_send (request->host->links, replica, request->outgoing,
                             (int64_t)request->route->latency->median_us, &owner);
  request->exchanges[tag] = exchange;
  return exchange != NULL;
}

/* Chooses the service of a weighted route so that the shares of the requests of this host
 * follow the weights as closely as whole requests allow. */
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

/* Starts the attempts of an admitted request. */
static void
start_request (jd_host_t *host, jd_caller_t *caller, const jd_http_reader_t *reader,
               const jd_route_t *route, const char *tenant, int64_t deadline_us,
               int64_t now_us)
{
  bool is_scattered = route->kind == JD_ROUTE_SCATTER;
  jd_request_t *request = g_new0 (jd_request_t, 1);
  request->host = host;
  request->node.data = request;
  request->caller = caller;
  request->table = jd_route_table_ref (host->routes);
  request->route = route;
  request->tenant = tenant;
  request->arrived_us = now_us;
  request->outgoing = jd_request_outgoing (host, reader, host->routes, tenant);
  request->outgoing->deadline_us = deadline_us;
  const jd_route_part_t *parts = is_scattered
                                     ? (jd_route_part_t *)(void *)route->parts->data
                                     : choose_weighted (route);
  uint32_t part_count = is_scattered ? route->parts->len : 1;
  jd_fanout_request_t wanted = {
    .route = route,
    .parts = parts,
    .part_count = part_count,
    .deadline_us = deadline_us,
    .salt = host->salt++ * 2654435761U,
  };
  jd_fanout_actions_t actions = { .send = on_send,
                                  .finish = on_finish,
                                  .context = request };
  request->fanout = jd_fanout_new (&wanted, &actions, now_us);
  request->exchanges = g_new0 (jd_exchange_t *, part_count * JD_FANOUT_TRIES_MAX);
  if (is_scattered)
    {
      request->records = jd_top_records_new (route->top_k);
      request->signatures = g_string_new (NULL);
    }
  ev_init (&request->timer, on_request_timer);
  request->timer.data = request;
  g_queue_push_tail_link (&host->requests, &request->node);
  jd_caller_set_data (caller, request);
  if (!jd_fanout_can_succeed (request->fanout, now_us))
    {
      jd_caller_set_data (caller, NULL);
      answer (request, JD_FANOUT_NOT_RUN);
      request_free (request);
      return;
    }
  jd_fanout_start (request->fanout, now_us);
  advance (request);
}

/* Returns the tenant of the key that came with a request, or NULL. */
static const jd_tenant_t *
find_tenant (const jd_host_t *host, const jd_http_reader_t *reader)
{
  const jd_host_fields_t *fields = &host->platform.fields;
  const char *value = jd_http_reader_value (reader, fields->key);
  size_t scheme_len = strlen (fields->key_scheme);
  if (!value || g_ascii_strncasecmp (value, fields->key_scheme, scheme_len) != 0 ||
      value[scheme_len] != ' ')
    return NULL;
  const char *key = value + scheme_len;
  key += strspn (key, " ");
  char trimmed[KEY_BYTES_MAX];
  if (g_strlcpy (trimmed, key, sizeof (trimmed)) >= sizeof (trimmed))
    return NULL;
  return jd_route_table_tenant (host->routes, g_strchomp (trimmed));
}

/* Caller server callback: decides about a request and starts it. */
void
jd_host_take_request (void *context, jd_caller_t *caller, const jd_http_reader_t *reader)
{
  jd_host_t *host = context;
  const jd_host_fields_t *fields = &host->platform.fields;
  int64_t now_us = jd_monotonic_us ();
  const char *host_name = jd_http_reader_value (reader, "Host");
  const char *id = jd_http_reader_value (reader, fields->request_id);
  if (!host_name || jd_http_reader_count (reader, "Host") != 1 || !id || *id == '\0' ||
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
                                 .retry_after_us = RETRY_UNREADY_US });
      return;
    }
  size_t path_len = strcspn (reader->text->str, "?");
  const jd_route_t *route = jd_route_table_match (
      host->routes, host_name, reader->text->str, MIN (path_len, reader->target_len));
  if (!route)
    {
      reject (host, caller, reader,
              &(jd_rejection_t){
                  .status = 404, .end = JD_HOST_END_REJECTED, .cause = "no_route" });
      return;
    }
  route->latency->recent += 1.0;
  const jd_tenant_t *tenant = find_tenant (host, reader);
  if (!tenant && host->routes->has_tenants && !route->open)
    {
      reject (host, caller, reader,
              &(jd_rejection_t){
                  .status = 401, .end = JD_HOST_END_REJECTED, .cause = "unknown_key" });
      return;
    }
  if (host->requests.length >= host->max_requests)
    {
      reject (host, caller, reader,
              &(jd_rejection_t){ .status = 503,
                                 .end = JD_HOST_END_OVERLOADED,
                                 .cause = "too_many_requests",
                                 .retry_after_us = RETRY_SOON_US });
      return;
    }
  /* Before the rate of the tenant, which a rejected request must not use up. */
  double rejected_share =
      jd_route_table_rejected_share (host->routes, route, tenant, now_us);
  if (!jd_admission_gate_admits (&route->latency->gate, rejected_share))
    {
      reject_for_load (host, caller, reader, route, rejected_share);
      return;
    }
  int64_t retry_after_us = 0;
  if (tenant && !jd_fleet_quota_admit (host->quota, tenant->name, host->hosts, now_us,
                                       &retry_after_us))
    {
      reject_beyond_rate (host, caller, reader, tenant->name, retry_after_us, now_us);
      return;
    }
  if (tenant)
    jd_peer_gossip_note_admission (host->gossip);
  int64_t wait_ms = 0;
  int64_t wait_us = DEFAULT_DEADLINE_US;
  if (jd_http_reader_number (reader, fields->deadline_ms, &wait_ms))
    wait_us = MIN (wait_ms, G_MAXINT32) * JD_US_PER_MS;
  if (route->timeout_us > 0)
    wait_us = MIN (wait_us, route->timeout_us);
  start_request (host, caller, reader, route, tenant ? tenant->name : NULL,
                 now_us + wait_us, now_us);
}

/* Caller server callback: the caller left, so its work is withdrawn. */
void
jd_host_caller_gone (void *context, jd_caller_t *caller)
{
  jd_request_t *request = jd_caller_data (caller);
  if (!request)
    return;
  request->fanout->finished = true;
  withdraw_attempts (request);
  note_end (request, JD_HOST_END_CALLER_LEFT, 0);
  request_free (request);
}
