#include "daemons/caller_request.h"

/* Creates an empty request with one reference. */
jd_caller_request_t *
jd_caller_request_new (void)
{
  jd_caller_request_t *request = g_new0 (jd_caller_request_t, 1);
  request->reference_count = 1;
  g_mutex_init (&request->lock);
  g_cond_init (&request->answered);
  return request;
}

/* Adds a reference; may be called from any thread. */
jd_caller_request_t *
jd_caller_request_ref (jd_caller_request_t *request)
{
  g_atomic_int_inc (&request->reference_count);
  return request;
}

/* Frees the hits of an answer and resets it. */
static void
clear_answer (jd_caller_answer_t *answer)
{
  jd_work_outcome_t outcome = { .hit_count = answer->hit_count, .hits = answer->hits };
  jd_work_outcome_clear (&outcome);
  *answer = (jd_caller_answer_t){ 0 };
}

/* Drops a reference and frees the request with the last one; may be called from any
 * thread. */
void
jd_caller_request_unref (jd_caller_request_t *request)
{
  if (!g_atomic_int_dec_and_test (&request->reference_count))
    return;
  clear_answer (&request->answer);
  g_free (request->text);
  g_free (request->body);
  g_cond_clear (&request->answered);
  g_mutex_clear (&request->lock);
  g_free (request);
}

/* Sets the answer, takes ownership of its hits, and wakes the waiting HTTP worker. A
 * second answer is freed without effect. */
void
jd_caller_request_answer (jd_caller_request_t *request, jd_caller_answer_t answer)
{
  g_mutex_lock (&request->lock);
  if (request->has_answer)
    clear_answer (&answer);
  else
    {
      request->answer = answer;
      request->has_answer = TRUE;
      g_cond_signal (&request->answered);
    }
  g_mutex_unlock (&request->lock);
}

/* Blocks until the answer is set. Returns FALSE if it is not set after timeout_us. */
gboolean
jd_caller_request_wait (jd_caller_request_t *request, int64_t timeout_us)
{
  int64_t end_us = g_get_monotonic_time () + timeout_us;
  g_mutex_lock (&request->lock);
  while (!request->has_answer)
    {
      if (!g_cond_wait_until (&request->answered, &request->lock, end_us))
        break;
    }
  gboolean has_answer = request->has_answer;
  g_mutex_unlock (&request->lock);
  return has_answer;
}
