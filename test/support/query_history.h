#pragma once

#include "routing/entry_core.h"
#include "model/model_target.h"

/* Records the requests, answers and executions at targets of a run, and checks them
 * against the rules of docs/design.md section 1.2. */
typedef struct jd_query_history jd_query_history_t;

jd_query_history_t *jd_query_history_new (void);
void jd_query_history_free (jd_query_history_t *history);
/* Adds a request for a map with shard_count shards. Returns its number; the caller sets
 * it as user pointer of the request and sends the text "r" followed by the number. */
uint32_t jd_query_history_add_request (jd_query_history_t *history, jd_work_kind_t kind,
                                       uint32_t limit, uint32_t shard_count);
/* Records the start of an execution at a target, which then runs load requests; more than
 * capacity are a violation of cold_limit. */
void jd_query_history_add_execution (jd_query_history_t *history, const char *text,
                                     uint32_t shard, uint64_t snapshot, uint32_t load,
                                     uint32_t capacity);
void jd_query_history_add_answer (jd_query_history_t *history, const jd_answer_t *answer);
/* Checks the whole run. Returns one text "rule: details" per violation; the history owns
 * the array. */
GPtrArray *jd_query_history_check (jd_query_history_t *history);
uint32_t jd_query_history_answer_count (const jd_query_history_t *history,
                                        jd_result_code_t code);
