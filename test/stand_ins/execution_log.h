#pragma once

#include <jansson.h>
#include <stdint.h>

/* The edited entries of all target stand-ins in one process, and the number of executions
 * of every edit. Safe to use from any thread. */
typedef struct jd_execution_log jd_execution_log_t;

jd_execution_log_t *jd_execution_log_new (void);
void jd_execution_log_free (jd_execution_log_t *log);

/* Executes an edit: stores the body as the content of the entry and counts the execution.
 * Returns the new revision of the entry. */
uint64_t jd_execution_log_edit (jd_execution_log_t *log, const char *entry,
                                const char *request_id, const char *body);
/* Returns the content of an entry and sets its revision (0 if no edit changed it); free
 * the content with g_free. */
char *jd_execution_log_fetch (jd_execution_log_t *log, const char *entry,
                              uint64_t *revision);
/* {"requests": {request id: executions}, "bodies": {edit body: executions}} */
json_t *jd_execution_log_to_json (jd_execution_log_t *log);
