#include "stand_ins/shard_target.h"

#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/rng.h"
#include "transport/caller_server.h"

#define RECORD_BYTES 16
#define RECORD_COUNT 3

struct jd_shard_target
{
  struct ev_loop *loop;
  jd_caller_server_t *server;
  char *id;
  jd_shard_faults_t faults;
  jd_shard_notice_t notice;
  jd_shard_observer_t observer;
  void *observer_context;
  jd_philox_t random;
  GHashTable *runs; /* request id -> count */
  uint32_t total_runs;
  char *last_tenant;
  char *last_target;
  bool received_key;
};

/* A delayed answer; user data of its caller until it is sent. */
typedef struct jd_pending_answer
{
  ev_timer timer;
  jd_shard_target_t *target;
  jd_caller_t *caller;
  bool closes_without_answer;
  bool truncates_answer;
  char *request_id;
  uint32_t status;
} jd_pending_answer_t;

/* Builds a body of records in ascending order, each with a hash of the target's id. */
static GString *
render_body (const jd_shard_target_t *target)
{
  GString *body = g_string_new (NULL);
  for (int i = 0; i < RECORD_COUNT; i++)
    {
      char record[RECORD_BYTES + 1];
      snprintf (record, sizeof (record), "%c%015u", 'a' + i,
                (unsigned)g_str_hash (target->id));
      g_string_append_len (body, record, RECORD_BYTES);
    }
  return body;
}

/* Adds the field of a target that is leaving. */
static void
append_notice (const jd_shard_target_t *target, GString *fields)
{
  if (target->notice.says_leaving)
    g_string_append (fields, "Server-Leaving: 1\r\n");
}

static void
send_answer (jd_pending_answer_t *pending)
{
  jd_shard_target_t *target = pending->target;
  jd_caller_t *caller = pending->caller;
  GString *fields = g_string_new (NULL);
  g_string_append_printf (fields,
                          "X-Attempt-Id: %s\r\nX-Server-Stamp: %s.%s\r\n"
                          "X-Server-Load: 1,%u,2\r\nKeep-Alive: timeout=5\r\n",
                          pending->request_id, target->id, pending->request_id,
                          target->faults.reported_queue_length);
  append_notice (target, fields);
  GString *body = render_body (target);
  jd_caller_set_data (caller, NULL);
  jd_caller_answer (caller, pending->status, fields, body->str, body->len);
  g_string_free (fields, TRUE);
  g_string_free (body, TRUE);
}

static void
free_pending (jd_pending_answer_t *pending)
{
  ev_timer_stop (pending->target->loop, &pending->timer);
  g_free (pending->request_id);
  g_free (pending);
}

/* Sends raw bytes before the answer or in place of it. */
static void
send_raw (jd_caller_t *caller, const char *text)
{
  jd_caller_send_raw (caller, text, strlen (text));
}

static void
on_answer_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  jd_pending_answer_t *pending = timer->data;
  if (pending->truncates_answer)
    send_raw (pending->caller, "HTTP/1.1 200 OK\r\nX-Server-Stamp: cut\r\n"
                               "Content-Length: 48\r\n\r\nhalf");
  if (pending->closes_without_answer || pending->truncates_answer)
    {
      /* This calls on_disconnect, which frees the pending answer. */
      jd_caller_abort (pending->caller);
      return;
    }
  send_answer (pending);
  free_pending (pending);
}

static void
count_run (jd_shard_target_t *target, const char *id)
{
  gpointer count = g_hash_table_lookup (target->runs, id);
  g_hash_table_replace (target->runs, g_strdup (id),
                        GUINT_TO_POINTER (GPOINTER_TO_UINT (count) + 1));
  target->total_runs++;
}

/* Answers a request without running it. */
static void
refuse (const jd_shard_target_t *target, jd_caller_t *caller, uint32_t status)
{
  GString *fields = g_string_new ("X-Not-Executed: 1\r\n");
  append_notice (target, fields);
  if (target->faults.sheds_while_free)
    g_string_append (fields, "X-Server-Load: 0,0,2\r\n");
  if (status == 503 && target->notice.pause)
    g_string_append_printf (fields, "Retry-After: %s\r\n", target->notice.pause);
  jd_caller_answer (caller, status, fields, "", 0);
  g_string_free (fields, TRUE);
}

/* Runs a request and schedules its answer after the target's delay. A uniform
 * draw selects at most one of the faults. */
static void
run_request (jd_shard_target_t *target, jd_caller_t *caller, const char *id, double draw)
{
  const jd_shard_faults_t *faults = &target->faults;
  count_run (target, id);
  jd_pending_answer_t *pending = g_new0 (jd_pending_answer_t, 1);
  pending->target = target;
  pending->caller = caller;
  pending->request_id = g_strdup (id);
  pending->status = draw < faults->error_share ? 500 : 200;
  jd_caller_set_data (caller, pending);
  ev_timer_init (&pending->timer, on_answer_due,
                 (double)faults->delay_us / (double)JD_US_PER_S, 0.0);
  pending->timer.data = pending;
  draw -= faults->error_share;
  pending->closes_without_answer =
      draw >= 0.0 && draw < faults->close_without_answer_share;
  draw -= faults->close_without_answer_share;
  pending->truncates_answer = draw >= 0.0 && draw < faults->truncate_share;
  draw -= faults->truncate_share;
  if (draw >= 0.0 && draw < faults->extra_answer_share)
    send_raw (caller,
              "HTTP/1.1 200 OK\r\nX-Attempt-Id: of-another\r\nX-Server-Stamp: z\r\n"
              "Content-Length: 5\r\n\r\nstray");
  if (!faults->never_answers)
    ev_timer_start (target->loop, &pending->timer);
}

static void
on_request (void *context, jd_caller_t *caller, const jd_http_reader_t *reader)
{
  jd_shard_target_t *target = context;
  const char *id = jd_http_reader_value (reader, "X-Attempt-Id");
  const char *expected = jd_http_reader_value (reader, "X-Expect-Instance");
  const char *tenant = jd_http_reader_value (reader, "X-Tenant");
  if (!id)
    {
      refuse (target, caller, 400);
      return;
    }
  if (expected && strcmp (expected, target->id) != 0)
    {
      refuse (target, caller, 421);
      return;
    }
  g_free (target->last_tenant);
  g_free (target->last_target);
  target->last_tenant = g_strdup (tenant);
  target->last_target = g_strndup (reader->text->str, reader->request_target_len);
  target->received_key |= jd_http_reader_value (reader, "Authorization") != NULL;
  jd_rng_t rng = jd_philox_rng (&target->random);
  double shed_share = target->notice.is_paused ? 1.0 : target->faults.shed_share;
  double draw = jd_rng_unit (&rng) - shed_share;
  jd_shard_arrival_t arrival = { .request_id = id,
                                 .tenant = tenant,
                                 .will_run = draw >= 0.0 };
  if (target->observer)
    target->observer (target->observer_context, target, &arrival);
  if (draw < 0.0)
    refuse (target, caller, 503);
  else
    run_request (target, caller, id, draw);
}

static void
on_disconnect (void *context, jd_caller_t *caller)
{
  jd_pending_answer_t *pending = jd_caller_data (caller);
  if (pending)
    free_pending (pending);
}

/* Starts a target that listens on "IP:port". Returns NULL if it cannot listen. The seed
 * determines which requests get a fault. */
jd_shard_target_t *
jd_shard_target_new (struct ev_loop *loop, const char *id, const char *address,
                     uint64_t seed)
{
  jd_shard_target_t *target = g_new0 (jd_shard_target_t, 1);
  jd_caller_handler_t handler = { .on_request = on_request,
                                  .on_disconnect = on_disconnect,
                                  .context = target };
  target->loop = loop;
  target->id = g_strdup (id);
  target->random.seed = seed;
  target->runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  target->server = jd_caller_server_new (loop, &handler);
  if (jd_caller_server_listen (target->server, address, NULL))
    return target;
  jd_shard_target_free (target);
  return NULL;
}

/* Closes all connections and frees a target. */
void
jd_shard_target_free (jd_shard_target_t *target)
{
  jd_caller_server_free (target->server);
  g_hash_table_destroy (target->runs);
  g_free (target->id);
  g_free (target->last_tenant);
  g_free (target->last_target);
  g_free (target);
}

/* Sets the faults of requests that arrive from now on. */
void
jd_shard_target_set_faults (jd_shard_target_t *target, const jd_shard_faults_t *faults)
{
  target->faults = *faults;
}

/* Sets what the target says about itself from now on. */
void
jd_shard_target_set_notice (jd_shard_target_t *target, const jd_shard_notice_t *notice)
{
  target->notice = *notice;
}

/* Sets the observer of arrivals, in place of an earlier one. Requests
 * without an id and requests that expect another target are not reported. */
void
jd_shard_target_set_observer (jd_shard_target_t *target, jd_shard_observer_t observer,
                              void *context)
{
  target->observer = observer;
  target->observer_context = context;
}

/* Changes the target's id, as a restart does. Requests that expect the former id get 421.
 */
void
jd_shard_target_set_id (jd_shard_target_t *target, const char *id)
{
  g_free (target->id);
  target->id = g_strdup (id);
}

/* Returns how often the target ran the request with this id. */
uint32_t
jd_shard_target_run_count (const jd_shard_target_t *target, const char *request_id)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (target->runs, request_id));
}

/* Returns how many requests the target ran. */
uint32_t
jd_shard_target_total_run_count (const jd_shard_target_t *target)
{
  return target->total_runs;
}

/* Returns the tenant of the last request, or NULL. */
const char *
jd_shard_target_last_tenant (const jd_shard_target_t *target)
{
  return target->last_tenant;
}

/* Returns the request target of the last request, or NULL. */
const char *
jd_shard_target_last_request_target (const jd_shard_target_t *target)
{
  return target->last_target;
}

/* Returns TRUE if a request with an Authorization field has arrived. */
bool
jd_shard_target_received_key (const jd_shard_target_t *target)
{
  return target->received_key;
}
