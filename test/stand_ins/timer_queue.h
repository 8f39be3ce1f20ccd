#pragma once

#include <stdint.h>

/* Runs callbacks at given times of the monotonic clock, in a thread of the queue. */
typedef struct jd_timer_queue jd_timer_queue_t;

typedef void (*jd_timer_callback_t) (void *data);

jd_timer_queue_t *jd_timer_queue_new (void);
/* Schedules one run of a callback. Safe to call from any thread, also from a callback. */
void jd_timer_queue_add (jd_timer_queue_t *queue, int64_t due_us,
                         jd_timer_callback_t callback, void *data);
/* Runs the remaining callbacks at once, so that they can release their data, then stops
 * the thread and frees the queue. */
void jd_timer_queue_free (jd_timer_queue_t *queue);
