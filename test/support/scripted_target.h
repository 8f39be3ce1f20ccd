#pragma once

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum jd_scripted_end
{
  JD_SCRIPTED_KEEP,  /* The connection stays open for the next request. */
  JD_SCRIPTED_CLOSE, /* An orderly close. */
  JD_SCRIPTED_RESET,
} jd_scripted_end_t;

/* What a target sends for a request. */
typedef struct jd_scripted_answer
{
  const char *text; /* "$ID" stands for the id of the request. */
  size_t cut_at;    /* Bytes of the text that are sent; SIZE_MAX: all. */
  const char
      *endless; /* Repeated behind the text until the peer closes; NULL: nothing. */
  jd_scripted_end_t end;
} jd_scripted_answer_t;

/* A target in the event loop of a test that sends the bytes it is told to, valid or not.
 * Requests have no body. */
typedef struct jd_scripted_target jd_scripted_target_t;

jd_scripted_target_t *jd_scripted_target_new (struct ev_loop *loop);
void jd_scripted_target_free (jd_scripted_target_t *target);
uint16_t jd_scripted_target_port (const jd_scripted_target_t *target);
void jd_scripted_target_set_answer (jd_scripted_target_t *target,
                                    const jd_scripted_answer_t *answer);
uint32_t jd_scripted_target_request_count (const jd_scripted_target_t *target);
