#pragma once

#include <glib.h>
#include <stdint.h>

/* Work that waits for one target, nearest deadline first, then oldest first. Holds
 * pointers of the caller. */
typedef struct jd_broker_queue jd_broker_queue_t;

jd_broker_queue_t *jd_broker_queue_new (uint32_t max_length);
void jd_broker_queue_free (jd_broker_queue_t *queue);
/* Returns FALSE when the queue is full. */
gboolean jd_broker_queue_push (jd_broker_queue_t *queue, int64_t deadline_us, void *item);
/* Returns the first item, or NULL. */
void *jd_broker_queue_peek (jd_broker_queue_t *queue, int64_t *deadline_us);
gboolean jd_broker_queue_remove (jd_broker_queue_t *queue, const void *item);
uint32_t jd_broker_queue_length (const jd_broker_queue_t *queue);
/* Number of items that would go before one with this deadline. */
uint32_t jd_broker_queue_ahead (const jd_broker_queue_t *queue, int64_t deadline_us);
