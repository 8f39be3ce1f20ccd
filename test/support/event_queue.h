#pragma once

#include <glib.h>
#include <stdint.h>

/* Items in order of time, then of insertion. Owns its items, which are from g_malloc. */
typedef struct jd_event_queue
{
  GSequence *entries;
  uint64_t next_sequence;
} jd_event_queue_t;

void jd_event_queue_init (jd_event_queue_t *queue);
void jd_event_queue_clear (jd_event_queue_t *queue);
void jd_event_queue_push (jd_event_queue_t *queue, int64_t at_us, void *item);
int64_t jd_event_queue_next_us (const jd_event_queue_t *queue);
void *jd_event_queue_pop (jd_event_queue_t *queue);
