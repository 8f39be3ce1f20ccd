#pragma once

#include "routing/entry_core.h"
#include "model/model_target.h"

/* Records requests, executions at targets and answers of a run, and checks them against
 * the rules of docs/design.md section 1.2. */
typedef struct jd_query_history jd_query_history_t;

jd_query_history_t *jd_query_history_new (void);
void jd_query_history_free (jd_query_history_t *history);
/* Adds a request over a map with the given shards; returns its number, which is the
 * user pointer of the request. Its text is "r" and the number. */
uint32_t jd_query_history_request (jd_query_history_t *history, jd_work_kind_t kind,
                                   uint32_t limit, uint32_t shard_count);
/* An execution began at a target that then ran load requests of at most capacity. */
void jd_query_history_executed (jd_query_history_t *history, const char *text,
                                uint32_t shard, uint64_t snapshot, uint32_t load,
                                uint32_t capacity);
void jd_query_history_answered (jd_query_history_t *history, const jd_answer_t *answer);
/* Checks the whole run. Returns one text "rule: details" per violation. */
GPtrArray *jd_query_history_check (jd_query_history_t *history);
uint32_t jd_query_history_answers (const jd_query_history_t *history,
                                   jd_result_code_t code);
