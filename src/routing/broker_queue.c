#include "routing/broker_queue.h"

typedef struct queue_entry
{
  int64_t deadline_us;
  void *item;
} queue_entry_t;

/* Array sorted by descending deadline, so that the first item is the last element. With a
 * few dozen items, moving memory costs less than following the links of a tree. */
struct jd_broker_queue
{
  GArray *entries;
  uint32_t max_length;
};

/* Creates an empty queue for at most max_length items. */
jd_broker_queue_t *
jd_broker_queue_new (uint32_t max_length)
{
  jd_broker_queue_t *queue = g_new0 (jd_broker_queue_t, 1);
  queue->entries = g_array_new (FALSE, FALSE, sizeof (queue_entry_t));
  queue->max_length = max_length;
  return queue;
}

/* Frees the queue, but not its items. */
void
jd_broker_queue_free (jd_broker_queue_t *queue)
{
  g_array_free (queue->entries, TRUE);
  g_free (queue);
}

/* Returns the array element at index, which must be in range. */
static queue_entry_t *
entry_at (const jd_broker_queue_t *queue, uint32_t index)
{
  return &g_array_index (queue->entries, queue_entry_t, index);
}

/* Returns the index at which to insert a new item with this deadline: below, and so
 * served after, all items with the same or an earlier deadline. */
static uint32_t
insert_index (const jd_broker_queue_t *queue, int64_t deadline_us)
{
  uint32_t low = 0;
  uint32_t high = queue->entries->len;
  while (low < high)
    {
      uint32_t mid = low + (high - low) / 2;
      if (entry_at (queue, mid)->deadline_us > deadline_us)
        low = mid + 1;
      else
        high = mid;
    }
  return low;
}

/* Adds an item. Returns FALSE if the queue is full. */
gboolean
jd_broker_queue_push (jd_broker_queue_t *queue, int64_t deadline_us, void *item)
{
  if (queue->entries->len >= queue->max_length)
    return FALSE;
  queue_entry_t entry = { .deadline_us = deadline_us, .item = item };
  g_array_insert_val (queue->entries, insert_index (queue, deadline_us), entry);
  return TRUE;
}

/* Returns the item to serve first without removing it, or NULL if the queue is empty. */
void *
jd_broker_queue_peek (jd_broker_queue_t *queue, int64_t *deadline_us)
{
  if (queue->entries->len == 0)
    return NULL;
  queue_entry_t *first = entry_at (queue, queue->entries->len - 1);
  if (deadline_us)
    *deadline_us = first->deadline_us;
  return first->item;
}

/* Removes an item. Returns FALSE if it is not in the queue. */
gboolean
jd_broker_queue_remove (jd_broker_queue_t *queue, const void *item)
{
  for (uint32_t i = queue->entries->len; i > 0; i--)
    {
      if (entry_at (queue, i - 1)->item != item)
        continue;
      g_array_remove_index (queue->entries, i - 1);
      return TRUE;
    }
  return FALSE;
}

/* Returns the number of queued items. */
uint32_t
jd_broker_queue_length (const jd_broker_queue_t *queue)
{
  return queue->entries->len;
}

/* Returns how many items would be served before a new one with this deadline. */
uint32_t
jd_broker_queue_ahead (const jd_broker_queue_t *queue, int64_t deadline_us)
{
  return queue->entries->len - insert_index (queue, deadline_us);
}
