#pragma once

#include <stdint.h>

/* Runs callbacks at given times of the monotonic clock in one thread of its own. */
typedef struct jd_timer_queue jd_timer_queue_t;

typedef void (*jd_timer_callback_t) (void *data);

jd_timer_queue_t *jd_timer_queue_new (void);
/* Adds a callback; each one runs once. Safe from any thread, also from a callback. */
void jd_timer_queue_add (jd_timer_queue_t *queue, int64_t due_us,
                         jd_timer_callback_t callback, void *data);
/* Stops the thread; callbacks that are not due yet run now, so that they can release
 * what they hold. */
void jd_timer_queue_free (jd_timer_queue_t *queue);
