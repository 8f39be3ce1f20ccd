#include "limits/admission.h"

#include <glib.h>

/* Initializes an empty queue of at most limit requests. */
void
jd_admission_queue_init (jd_admission_queue_t *queue, uint32_t limit)
{
  *queue = (jd_admission_queue_t){ .limit = limit };
  queue->items = g_new0 (jd_waiting_request_t, limit ? limit : 1);
}

/* Frees the queue's memory. Requests that still wait get no decision. */
void
jd_admission_queue_clear (jd_admission_queue_t *queue)
{
  g_clear_pointer (&queue->items, g_free);
  queue->count = 0;
}

/* Returns the request at a position counted from the front. */
static jd_waiting_request_t *
request_at (const jd_admission_queue_t *queue, uint32_t position)
{
  return &queue->items[(queue->first + position) % queue->limit];
}

/* Appends a request. Returns FALSE if the queue is full. */
bool
jd_admission_queue_push (jd_admission_queue_t *queue, jd_waiting_request_t request)
{
  if (queue->count == queue->limit)
    return false;
  *request_at (queue, queue->count++) = request;
  return true;
}

/* Removes the first request. Returns FALSE if the queue is empty. */
bool
jd_admission_queue_pop (jd_admission_queue_t *queue, jd_waiting_request_t *request)
{
  if (queue->count == 0)
    return false;
  *request = *request_at (queue, 0);
  queue->first = (queue->first + 1) % queue->limit;
  queue->count--;
  return true;
}

/* Removes the request at a position and keeps the order of the others. */
static void
remove_at (jd_admission_queue_t *queue, uint32_t position)
{
  for (uint32_t i = position; i + 1 < queue->count; i++)
    *request_at (queue, i) = *request_at (queue, i + 1);
  queue->count--;
}

/* Removes one request whose wait has expired. Returns FALSE if there is none. */
bool
jd_admission_queue_pop_expired (jd_admission_queue_t *queue, int64_t now_us,
                                jd_waiting_request_t *request)
{
  for (uint32_t i = 0; i < queue->count; i++)
    {
      if (request_at (queue, i)->expires_at_us > now_us)
        continue;
      *request = *request_at (queue, i);
      remove_at (queue, i);
      return true;
    }
  return false;
}

/* Removes a request that its caller has abandoned. Returns FALSE if the request is not in
 * the queue. */
bool
jd_admission_queue_remove (jd_admission_queue_t *queue, uint64_t request_id)
{
  for (uint32_t i = 0; i < queue->count; i++)
    {
      if (request_at (queue, i)->request_id != request_id)
        continue;
      remove_at (queue, i);
      return true;
    }
  return false;
}

/* Returns the earliest expiry time of the waiting requests, or INT64_MAX if the queue is
 * empty. */
int64_t
jd_admission_queue_first_expiry_us (const jd_admission_queue_t *queue)
{
  int64_t first_us = INT64_MAX;
  for (uint32_t i = 0; i < queue->count; i++)
    {
      if (request_at (queue, i)->expires_at_us < first_us)
        first_us = request_at (queue, i)->expires_at_us;
    }
  return first_us;
}
