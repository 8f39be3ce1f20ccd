#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Tells which attempt an answer belongs to. All attempts of a request carry the same id,
 * and so do late copies of their answers. On a connection that carried an earlier attempt
 * of the request, such a copy cannot be told from the answer to the next one, so each
 * connection carries at most one attempt of a request. */
typedef struct jd_answer_match
{
  char *request_id;
  GArray *connections; /* uint64_t: serial numbers of those that carried an attempt. */
} jd_answer_match_t;

/* What the id in an answer says about its sender's request. */
typedef enum jd_answer_owner
{
  JD_ANSWER_OWN,     /* It answers the request. */
  JD_ANSWER_OTHER,   /* It answers another request. */
  JD_ANSWER_UNKNOWN, /* It carries no id. */
} jd_answer_owner_t;

void jd_answer_match_init (jd_answer_match_t *match, const char *request_id);
void jd_answer_match_clear (jd_answer_match_t *match);
bool jd_answer_match_may_use (const jd_answer_match_t *match, uint64_t connection);
void jd_answer_match_use (jd_answer_match_t *match, uint64_t connection);
jd_answer_owner_t jd_answer_match_owner (const jd_answer_match_t *match,
                                         const char *answer_id);
