#pragma once

#include <glib.h>
#include <stdint.h>

/* Bounded queue of work for one target, ordered by deadline, then by arrival. The caller
 * owns the items. */
typedef struct jd_broker_queue jd_broker_queue_t;

jd_broker_queue_t *jd_broker_queue_new (uint32_t max_length);
void jd_broker_queue_free (jd_broker_queue_t *queue);
/* Returns FALSE if the queue is full. */
gboolean jd_broker_queue_push (jd_broker_queue_t *queue, int64_t deadline_us, void *item);
/* Returns the first item and its deadline without removing it, or NULL if the queue is
 * empty. deadline_us may be NULL. */
void *jd_broker_queue_peek (jd_broker_queue_t *queue, int64_t *deadline_us);
gboolean jd_broker_queue_remove (jd_broker_queue_t *queue, const void *item);
uint32_t jd_broker_queue_length (const jd_broker_queue_t *queue);
/* Returns how many items would be served before a new one with this deadline. */
uint32_t jd_broker_queue_ahead (const jd_broker_queue_t *queue, int64_t deadline_us);
