#include "support/query_history.h"

#include <inttypes.h>
#include <math.h>

#include "model/tier.h"

/* Maximum number of hits that a simulated target returns: MAX_HITS_PER_SHARD in
 * bench/model/model_target.c. */
#define HITS_PER_SHARD 2

typedef struct execution
{
  uint32_t shard;
  uint64_t snapshot;
} execution_t;

typedef struct answer_hit
{
  char *text;
  uint32_t shard;
  uint64_t snapshot;
  double score;
} answer_hit_t;

typedef struct history_request
{
  jd_work_kind_t kind;
  uint32_t limit;
  uint32_t shard_count;
  uint32_t answer_count;
  jd_answer_t answer; /* Without hits. */
  GArray *hits;       /* answer_hit_t */
  GArray *executions; /* execution_t */
} history_request_t;

struct jd_query_history
{
  GPtrArray *requests;   /* history_request_t */
  GPtrArray *violations; /* Texts "rule: details". */
};

static void
free_request (gpointer pointer)
{
  history_request_t *request = pointer;
  for (guint i = 0; i < request->hits->len; i++)
    g_free (g_array_index (request->hits, answer_hit_t, i).text);
  g_array_free (request->hits, TRUE);
  g_array_free (request->executions, TRUE);
  g_free (request);
}

jd_query_history_t *
jd_query_history_new (void)
{
  jd_query_history_t *history = g_new0 (jd_query_history_t, 1);
  history->requests = g_ptr_array_new_with_free_func (free_request);
  history->violations = g_ptr_array_new_with_free_func (g_free);
  return history;
}

void
jd_query_history_free (jd_query_history_t *history)
{
  g_ptr_array_free (history->requests, TRUE);
  g_ptr_array_free (history->violations, TRUE);
  g_free (history);
}

static void add_violation (jd_query_history_t *history, const char *rule,
                           const char *format, ...) G_GNUC_PRINTF (3, 4);

static void
add_violation (jd_query_history_t *history, const char *rule, const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  char *details = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  g_ptr_array_add (history->violations, g_strdup_printf ("%s: %s", rule, details));
  g_free (details);
}

uint32_t
jd_query_history_add_request (jd_query_history_t *history, jd_work_kind_t kind,
                              uint32_t limit, uint32_t shard_count)
{
  history_request_t *request = g_new0 (history_request_t, 1);
  request->kind = kind;
  request->limit = limit;
  request->shard_count = shard_count;
  request->hits = g_array_new (FALSE, TRUE, sizeof (answer_hit_t));
  request->executions = g_array_new (FALSE, TRUE, sizeof (execution_t));
  g_ptr_array_add (history->requests, request);
  return history->requests->len - 1;
}

void
jd_query_history_add_execution (jd_query_history_t *history, const char *text,
                                uint32_t shard, uint64_t snapshot, uint32_t load,
                                uint32_t capacity)
{
  if (load > capacity)
    add_violation (history, "cold_limit",
                   "%s is running request %u at a target with capacity %u", text, load,
                   capacity);
  uint64_t number = g_ascii_strtoull (text + 1, NULL, 10);
  history_request_t *request = g_ptr_array_index (history->requests, number);
  execution_t execution = { .shard = shard, .snapshot = snapshot };
  g_array_append_val (request->executions, execution);
}

/* The id of a hit has the form text/shard/snapshot/rank. */
static answer_hit_t
parse_hit (const jd_hit_t *hit)
{
  char **parts = g_strsplit (hit->id, "/", 4);
  answer_hit_t parsed = { .text = g_strdup (parts[0]), .score = hit->score };
  parsed.shard = (uint32_t)g_ascii_strtoull (parts[1] + 1, NULL, 10);
  parsed.snapshot = g_ascii_strtoull (parts[2], NULL, 10);
  g_strfreev (parts);
  return parsed;
}

void
jd_query_history_add_answer (jd_query_history_t *history, const jd_answer_t *answer)
{
  history_request_t *request =
      g_ptr_array_index (history->requests, GPOINTER_TO_UINT (answer->user_data));
  request->answer_count++;
  request->answer = *answer;
  request->answer.hits = NULL;
  for (uint32_t i = 0; i < answer->hit_count; i++)
    {
      answer_hit_t hit = parse_hit (&answer->hits[i]);
      g_array_append_val (request->hits, hit);
    }
}

/* Returns TRUE if a shard executed a request on the snapshot of the answer. */
static gboolean
has_execution (const history_request_t *request, uint32_t shard)
{
  for (guint i = 0; i < request->executions->len; i++)
    {
      const execution_t *execution = &g_array_index (request->executions, execution_t, i);
      if (execution->shard == shard && execution->snapshot == request->answer.snapshot)
        return TRUE;
    }
  return FALSE;
}

static uint32_t
count_hits (const history_request_t *request, uint32_t shard)
{
  uint32_t count = 0;
  for (guint i = 0; i < request->hits->len; i++)
    count += g_array_index (request->hits, answer_hit_t, i).shard == shard;
  return count;
}

/* Checks the coverage of a search against the executions; also against the hits if the
 * limit of the request is high enough for the hits of all shards. */
static void
check_coverage (jd_query_history_t *history, const history_request_t *request,
                uint32_t number)
{
  uint64_t total_weight = 0;
  uint64_t executed_weight = 0;
  uint64_t hit_weight = 0;
  for (uint32_t s = 0; s < request->shard_count; s++)
    {
      uint32_t hits = count_hits (request, s);
      total_weight += jd_model_shard_weight (s);
      executed_weight += has_execution (request, s) ? jd_model_shard_weight (s) : 0;
      hit_weight += hits ? jd_model_shard_weight (s) : 0;
      if (hits > HITS_PER_SHARD)
        add_violation (history, "whole_answer",
                       "r%u has %u hits of shard %u, more than a shard returns", number,
                       hits, s);
    }
  double covered_weight = request->answer.coverage * (double)total_weight;
  if (covered_weight > (double)executed_weight + 0.5)
    add_violation (history, "true_coverage",
                   "r%u reports covered weight %.1f, but executed weight is %" PRIu64
                   " only",
                   number, covered_weight, executed_weight);
  gboolean fits_all_hits = request->limit >= HITS_PER_SHARD * request->shard_count;
  if (fits_all_hits && fabs (covered_weight - (double)hit_weight) > 0.5)
    add_violation (history, "true_coverage",
                   "r%u reports covered weight %.1f, but has hits of weight %" PRIu64,
                   number, covered_weight, hit_weight);
}

/* Sorts scores in descending order. */
static gint
compare_scores (gconstpointer a, gconstpointer b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;
  return (left < right) - (left > right);
}

/* Checks that a complete answer has the hits with the best scores of all shards. */
static void
check_best_hits (jd_query_history_t *history, const history_request_t *request,
                 uint32_t number)
{
  char text[16];
  g_snprintf (text, sizeof (text), "r%u", number);
  GArray *scores = g_array_new (FALSE, FALSE, sizeof (double));
  for (uint32_t s = 0; s < request->shard_count; s++)
    {
      char shard[16];
      g_snprintf (shard, sizeof (shard), "s%u", s);
      for (uint32_t i = 0; i < MIN (HITS_PER_SHARD, request->limit); i++)
        {
          double score = jd_model_hit_score (text, shard) - i;
          g_array_append_val (scores, score);
        }
    }
  g_array_sort (scores, compare_scores);
  guint expected_count = MIN (scores->len, request->limit);
  if (request->hits->len != expected_count)
    add_violation (history, "whole_answer", "r%u has %u hits, expected %u", number,
                   request->hits->len, expected_count);
  for (guint i = 0; i < MIN (expected_count, request->hits->len); i++)
    {
      if (g_array_index (request->hits, answer_hit_t, i).score !=
          g_array_index (scores, double, i))
        add_violation (history, "whole_answer", "r%u has a wrong score at hit %u", number,
                       i);
    }
  g_array_free (scores, TRUE);
}

/* Checks that all hits belong to this request and to the snapshot of the answer. */
static void
check_hits (jd_query_history_t *history, const history_request_t *request,
            uint32_t number)
{
  char text[16];
  g_snprintf (text, sizeof (text), "r%u", number);
  for (guint i = 0; i < request->hits->len; i++)
    {
      const answer_hit_t *hit = &g_array_index (request->hits, answer_hit_t, i);
      if (!g_str_equal (hit->text, text))
        add_violation (history, "whole_answer", "r%u has a hit of request %s", number,
                       hit->text);
      if (hit->snapshot != request->answer.snapshot)
        add_violation (history, "one_snapshot",
                       "r%u of snapshot %" PRIu64 " has a hit of snapshot %" PRIu64,
                       number, request->answer.snapshot, hit->snapshot);
    }
}

/* Checks one request after the end of a run. */
static void
check_request (jd_query_history_t *history, const history_request_t *request,
               uint32_t number)
{
  const jd_answer_t *answer = &request->answer;
  guint executions = request->executions->len;
  if (request->answer_count != 1)
    {
      add_violation (history, "whole_answer", "r%u has %u answers, expected 1", number,
                     request->answer_count);
      return;
    }
  if (answer->ran == JD_RAN_NO && executions > 0)
    add_violation (history, "true_not_run",
                   "r%u is reported as not run but was executed %u times", number,
                   executions);
  if (answer->ran == JD_RAN_YES && executions == 0)
    add_violation (history, "true_not_run", "r%u is reported as run but was not executed",
                   number);
  if (request->kind == JD_WORK_EDIT && executions > 1)
    add_violation (history, "at_most_once",
                   "edit r%u was executed %u times, expected at most once", number,
                   executions);
  check_hits (history, request, number);
  if (request->kind != JD_WORK_SEARCH)
    return;
  check_coverage (history, request, number);
  if (answer->code == JD_OK)
    check_best_hits (history, request, number);
}

GPtrArray *
jd_query_history_check (jd_query_history_t *history)
{
  for (guint i = 0; i < history->requests->len; i++)
    check_request (history, g_ptr_array_index (history->requests, i), i);
  return history->violations;
}

/* Returns the number of requests with an answer of this code. */
uint32_t
jd_query_history_answer_count (const jd_query_history_t *history, jd_result_code_t code)
{
  uint32_t count = 0;
  for (guint i = 0; i < history->requests->len; i++)
    {
      const history_request_t *request = g_ptr_array_index (history->requests, i);
      count += request->answer_count > 0 && request->answer.code == code;
    }
  return count;
}
