#pragma once

#include <stdbool.h>
#include <stdint.h>

/* A request that waits for a token. */
typedef struct jd_waiting_request
{
  uint64_t request_id;
  int64_t expires_at_us;
} jd_waiting_request_t;

/* Bounded FIFO queue of the waiting requests of one organisation. */
typedef struct jd_admission_queue
{
  jd_waiting_request_t *items; /* Ring buffer of limit items. */
  uint32_t limit;
  uint32_t first;
  uint32_t count;
} jd_admission_queue_t;

void jd_admission_queue_init (jd_admission_queue_t *queue, uint32_t limit);
void jd_admission_queue_clear (jd_admission_queue_t *queue);
bool jd_admission_queue_push (jd_admission_queue_t *queue, jd_waiting_request_t request);
bool jd_admission_queue_pop (jd_admission_queue_t *queue, jd_waiting_request_t *request);
bool jd_admission_queue_pop_expired (jd_admission_queue_t *queue, int64_t now_us,
                                     jd_waiting_request_t *request);
bool jd_admission_queue_remove (jd_admission_queue_t *queue, uint64_t request_id);
int64_t jd_admission_queue_first_expiry_us (const jd_admission_queue_t *queue);
