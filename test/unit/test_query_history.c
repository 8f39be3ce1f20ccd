#include "support/query_history.h"

#include <string.h>

#include "support/test_main.h"

/* A history with at most one violation, and the rule that must be reported for it. */
typedef struct history_case
{
  const char *rule; /* NULL: no violation. */
  jd_work_kind_t kind;
  uint32_t limit;
  jd_answer_t answer;
  const char *hits[4];
  uint32_t executed_shards; /* Bit i is set if shard i executes the request. */
  uint32_t executions;      /* Number of executions per such shard. */
  uint32_t answer_count;
  uint32_t running_requests;
} history_case_t;

/* Records the history of a case with two shards; returns its violations, one a line. */
static char *
violations_of (const history_case_t *history_case)
{
  jd_query_history_t *history = jd_query_history_new ();
  jd_query_history_add_request (history, history_case->kind, history_case->limit, 2);
  for (uint32_t s = 0; s < 2; s++)
    {
      if (!(history_case->executed_shards & (1U << s)))
        continue;
      for (uint32_t i = 0; i < history_case->executions; i++)
        jd_query_history_add_execution (history, "r0", s, 7,
                                        history_case->running_requests, 2);
    }
  jd_hit_t hits[4] = { 0 };
  jd_answer_t answer = history_case->answer;
  answer.snapshot = 7;
  answer.hits = hits;
  for (; answer.hit_count < 4 && history_case->hits[answer.hit_count]; answer.hit_count++)
    {
      hits[answer.hit_count].id = (char *)history_case->hits[answer.hit_count];
      const char *shard = strstr (hits[answer.hit_count].id, "/s0/") ? "s0" : "s1";
      hits[answer.hit_count].score =
          jd_model_hit_score ("r0", shard) - (double)(answer.hit_count % 2);
    }
  for (uint32_t i = 0; i < history_case->answer_count; i++)
    jd_query_history_add_answer (history, &answer);
  GPtrArray *found = jd_query_history_check (history);
  GString *text = g_string_new (NULL);
  for (guint i = 0; i < found->len; i++)
    g_string_append_printf (text, "%s\n", (const char *)g_ptr_array_index (found, i));
  jd_query_history_free (history);
  return g_string_free (text, FALSE);
}

/* Coverage of shard 0 alone; the shards have weights 1000 and 1037. */
#define SHARD_0_COVERAGE (1000.0 / 2037.0)

/* Guards against a history check that misses a violation, or that reports one in a
 * correct run. */
static void
violations_of_each_rule_are_found (void)
{
  const jd_answer_t full = { .code = JD_OK, .ran = JD_RAN_YES, .coverage = 1.0 };
  const jd_answer_t half = { .code = JD_PARTIAL,
                             .ran = JD_RAN_YES,
                             .coverage = SHARD_0_COVERAGE };
  const jd_answer_t refused = { .code = JD_OVERLOADED, .ran = JD_RAN_NO };
  const jd_answer_t done = { .code = JD_OK, .ran = JD_RAN_YES };
  const history_case_t cases[] = {
    { NULL, JD_WORK_SEARCH, 9, half, { "r0/s0/7/0", "r0/s0/7/1" }, 1, 1, 1, 1 },
    { NULL, JD_WORK_EDIT, 0, done, { 0 }, 1, 1, 1, 2 },
    { "one_snapshot", JD_WORK_SEARCH, 9, half, { "r0/s0/7/0", "r0/s0/6/1" }, 1, 1, 1, 1 },
    { "whole_answer", JD_WORK_SEARCH, 9, half, { "r0/s0/7/0", "r5/s0/7/1" }, 1, 1, 1, 1 },
    { "whole_answer", JD_WORK_SEARCH, 9, full, { "r0/s0/7/0" }, 3, 1, 1, 1 },
    { "whole_answer", JD_WORK_EDIT, 0, done, { 0 }, 1, 1, 0, 1 },
    { "whole_answer", JD_WORK_EDIT, 0, done, { 0 }, 1, 1, 2, 1 },
    { "true_coverage", JD_WORK_SEARCH, 9, half, { "r0/s1/7/0" }, 3, 1, 1, 1 },
    { "true_coverage", JD_WORK_SEARCH, 1, half, { "r0/s0/7/0" }, 0, 1, 1, 1 },
    { "true_not_run", JD_WORK_EDIT, 0, refused, { 0 }, 1, 1, 1, 1 },
    { "at_most_once", JD_WORK_EDIT, 0, done, { 0 }, 1, 2, 1, 1 },
    { "cold_limit", JD_WORK_EDIT, 0, done, { 0 }, 1, 1, 1, 3 },
  };
  for (unsigned i = 0; i < sizeof (cases) / sizeof (cases[0]); i++)
    {
      char *found = violations_of (&cases[i]);
      if (cases[i].rule)
        CU_ASSERT_PTR_NOT_NULL (strstr (found, cases[i].rule));
      if (!cases[i].rule)
        CU_ASSERT_STRING_EQUAL (found, "");
      g_free (found);
    }
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "violations of each rule are found", violations_of_each_rule_are_found },
  };
  return JD_TEST_RUN ("query_history", cases);
}
