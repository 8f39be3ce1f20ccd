#pragma once

#include <jansson.h>
#include <stdint.h>

/* The entries of one process of target stand-ins and a count of every executed edit.
 * Safe from any thread. */
typedef struct jd_execution_log jd_execution_log_t;

jd_execution_log_t *jd_execution_log_new (void);
void jd_execution_log_free (jd_execution_log_t *log);

/* Executes an edit: stores the body as the entry's content and counts the execution.
 * Returns the new revision of the entry. */
uint64_t jd_execution_log_edit (jd_execution_log_t *log, const char *entry,
                                const char *request_id, const char *body);
/* Returns the content of an entry and its revision (0 when it was never edited); free
 * with g_free. */
char *jd_execution_log_fetch (jd_execution_log_t *log, const char *entry,
                              uint64_t *revision);
/* {"requests": {request id: executions}, "bodies": {edit body: executions}} */
json_t *jd_execution_log_to_json (jd_execution_log_t *log);
