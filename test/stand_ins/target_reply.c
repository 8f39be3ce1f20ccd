#include "stand_ins/target_reply.h"

#include <stdlib.h>

#include "base/clock.h"
#include "stand_ins/target_documents.h"

#define MAX_HEADERS 8U

/* The headers of one reply. */
typedef struct reply_head
{
  jd_http_header_t headers[MAX_HEADERS];
  uint32_t count;
  char numbers[MAX_HEADERS][32]; /* Texts that number headers point to. */
} reply_head_t;

static void
add_text (reply_head_t *head, const char *name, const char *value)
{
  head->headers[head->count++] = (jd_http_header_t){ .name = name, .value = value };
}

static void
add_number (reply_head_t *head, const char *name, uint64_t value)
{
  char *place = head->numbers[head->count];
  g_snprintf (place, sizeof (head->numbers[0]), "%" G_GUINT64_FORMAT, value);
  add_text (head, name, place);
}

/* Sets the headers that every reply has; request_id may be NULL. */
static void
fill_head (reply_head_t *head, const jd_target_t *target, const char *request_id)
{
  int64_t uptime_us = g_get_monotonic_time () - target->boot_us;
  int64_t in_flight =
      (int64_t)target->running + target->waiting.length + target->conditions.other_load;
  head->count = 0;
  if (request_id)
    add_text (head, "X-Request-Id", request_id);
  add_number (head, "X-Boot-Id", target->boot_id);
  add_number (head, "X-Uptime-Ms", (uint64_t)(uptime_us / JD_US_PER_MS));
  add_number (head, "X-In-Flight",
              target->conditions.load_lies ? 0 : (uint64_t)in_flight);
  add_text (head, "X-Draining", target->conditions.draining ? "1" : "0");
}

/* Sends a JSON body and consumes the reference to it. */
static void
send_json (jd_http_request_t *request, uint32_t status, const reply_head_t *head,
           json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT | JSON_REAL_PRECISION (17));
  jd_http_request_reply (request, status, head->headers, head->count, text);
  free (text);
  json_decref (body);
}

void
jd_target_reply_json (jd_target_t *target, jd_http_request_t *request, uint32_t status,
                      json_t *body)
{
  reply_head_t head;
  fill_head (&head, target, jd_http_request_header (request, "X-Request-Id"));
  send_json (request, status, &head, body);
}

/* A reply to a shed request carries X-Shed. */
void
jd_target_reply_refusal (jd_target_job_t *job, uint32_t status, const char *reason)
{
  reply_head_t head;
  fill_head (&head, job->target, job->request_id);
  if (status == 503)
    add_text (&head, "X-Shed", "1");
  json_t *body = json_pack ("{s:s, s:s}", "error", reason, "ran", "no");
  send_json (job->request, status, &head, body);
}

static json_t *
search_body (const jd_target_job_t *job, uint64_t snapshot)
{
  jd_document_hit_t hits[JD_DOCUMENT_MATCHES];
  uint32_t count =
      jd_documents_search (job->shard, snapshot, job->text, job->limit, hits);
  json_t *array = json_array ();
  for (uint32_t i = 0; i < count; i++)
    {
      json_t *body = json_pack ("{s:s}", "text", job->text);
      json_array_append_new (array, json_pack ("{s:s, s:f, s:o}", "id", hits[i].id,
                                               "score", hits[i].score, "body", body));
    }
  return json_pack ("{s:s, s:I, s:o}", "shard", job->shard, "snapshot",
                    (json_int_t)snapshot, "hits", array);
}

/* Applies an edit, if the job is one, and returns the entry. The stored body is returned
 * as JSON if it parses as JSON, else as a string. */
static json_t *
entry_body (const jd_target_job_t *job)
{
  jd_execution_log_t *log = job->target->executions;
  if (job->kind == JD_TARGET_EDIT)
    jd_execution_log_edit (log, job->text, job->request_id, job->body);
  uint64_t revision = 0;
  char *stored = jd_execution_log_fetch (log, job->text, &revision);
  json_t *body = json_loads (stored, JSON_DECODE_ANY, NULL);
  if (!body)
    body = json_string (stored);
  g_free (stored);
  return json_pack ("{s:s, s:I, s:o*}", "id", job->text, "revision", (json_int_t)revision,
                    "body", body);
}

/* Answers with the content of the previous request, or with that of a made-up request if
 * there is no previous one. */
static void
send_crossed (jd_target_job_t *job, reply_head_t *head)
{
  jd_target_t *target = job->target;
  target->counts.crossed++;
  fill_head (head, target, target->last_request_id ? target->last_request_id : "crossed");
  add_number (head, "X-Snapshot", target->conditions.snapshots[0]);
  jd_http_request_reply (job->request, 200, head->headers, head->count,
                         target->last_body ? target->last_body : "{\"hits\":[]}");
}

/* Stores a reply, so that a crossed reply can repeat it. */
static void
store_last_reply (jd_target_job_t *job, const json_t *body)
{
  jd_target_t *target = job->target;
  g_free (target->last_request_id);
  free (target->last_body);
  target->last_request_id = g_strdup (job->request_id);
  target->last_body = json_dumps (body, JSON_COMPACT | JSON_REAL_PRECISION (17));
}

/* Entry ids that start with "missing" do not exist for a fetch. */
void
jd_target_run_and_reply (jd_target_job_t *job)
{
  jd_target_t *target = job->target;
  uint64_t snapshot = job->snapshot ? job->snapshot : target->conditions.snapshots[0];
  gboolean is_missing =
      job->kind == JD_TARGET_FETCH && g_str_has_prefix (job->text, "missing");
  json_t *body = NULL;
  if (is_missing)
    body = json_pack ("{s:s}", "error", "no such entry");
  else
    body = job->kind == JD_TARGET_SEARCH ? search_body (job, snapshot) : entry_body (job);
  reply_head_t head;
  if (target->conditions.close_after_run)
    {
      target->counts.closed++;
      jd_http_request_close (job->request);
      json_decref (body);
    }
  else if (target->conditions.crossed_reply)
    {
      send_crossed (job, &head);
      store_last_reply (job, body);
      json_decref (body);
    }
  else
    {
      fill_head (&head, target, job->request_id);
      add_number (&head, "X-Snapshot", snapshot);
      store_last_reply (job, body);
      send_json (job->request, is_missing ? 404 : 200, &head, body);
    }
}
