#include "support/event_queue.h"

typedef struct entry
{
  int64_t at_us;
  uint64_t sequence;
  void *item;
} entry_t;

/* Frees an entry and its item unless that was popped. */
static void
free_entry (void *data)
{
  entry_t *entry = data;
  g_free (entry->item);
  g_free (entry);
}

/* Compares two entries. */
static gint
compare (gconstpointer a, gconstpointer b, gpointer context)
{
  const entry_t *left = a;
  const entry_t *right = b;
  if (left->at_us != right->at_us)
    return left->at_us < right->at_us ? -1 : 1;
  return left->sequence < right->sequence ? -1 : 1;
}

/* Prepares an empty queue. */
void
jd_event_queue_init (jd_event_queue_t *queue)
{
  *queue = (jd_event_queue_t){ .entries = g_sequence_new (free_entry) };
}

/* Frees the queue and its items. */
void
jd_event_queue_clear (jd_event_queue_t *queue)
{
  g_sequence_free (queue->entries);
}

/* Adds an item. */
void
jd_event_queue_push (jd_event_queue_t *queue, int64_t at_us, void *item)
{
  entry_t *entry = g_new (entry_t, 1);
  *entry = (entry_t){ at_us, queue->next_sequence++, item };
  g_sequence_insert_sorted (queue->entries, entry, compare, NULL);
}

/* Returns the time of the first item, INT64_MAX for an empty queue. */
int64_t
jd_event_queue_next_us (const jd_event_queue_t *queue)
{
  if (g_sequence_is_empty (queue->entries))
    return INT64_MAX;
  const entry_t *first = g_sequence_get (g_sequence_get_begin_iter (queue->entries));
  return first->at_us;
}

/* Removes the first item, which the caller then owns; NULL for an empty queue. */
void *
jd_event_queue_pop (jd_event_queue_t *queue)
{
  if (g_sequence_is_empty (queue->entries))
    return NULL;
  GSequenceIter *first = g_sequence_get_begin_iter (queue->entries);
  entry_t *entry = g_sequence_get (first);
  void *item = g_steal_pointer (&entry->item);
  g_sequence_remove (first);
  return item;
}
