#include "stand_ins/timer_queue.h"

#include <glib.h>

typedef struct due_timer
{
  int64_t due_us;
  uint64_t sequence; /* Timers that are due at the same time run in this order. */
  jd_timer_callback_t callback;
  void *data;
} due_timer_t;

struct jd_timer_queue
{
  GThread *thread;
  GMutex lock; /* Guards the fields below. */
  GCond changed;
  GArray *heap; /* Binary heap of timers, earliest first. */
  uint64_t next_sequence;
  gboolean stopping;
};

/* Returns TRUE if the timer at the first index runs before the one at the second. */
static gboolean
heap_before (const GArray *heap, guint first, guint second)
{
  const due_timer_t *a = &g_array_index (heap, due_timer_t, first);
  const due_timer_t *b = &g_array_index (heap, due_timer_t, second);
  if (a->due_us != b->due_us)
    return a->due_us < b->due_us;
  return a->sequence < b->sequence;
}

static void
heap_swap (GArray *heap, guint first, guint second)
{
  due_timer_t swapped = g_array_index (heap, due_timer_t, first);
  g_array_index (heap, due_timer_t, first) = g_array_index (heap, due_timer_t, second);
  g_array_index (heap, due_timer_t, second) = swapped;
}

static void
heap_push (GArray *heap, due_timer_t timer)
{
  g_array_append_val (heap, timer);
  guint index = heap->len - 1;
  while (index > 0 && heap_before (heap, index, (index - 1) / 2))
    {
      heap_swap (heap, index, (index - 1) / 2);
      index = (index - 1) / 2;
    }
}

/* Removes and returns the earliest timer; the heap must not be empty. */
static due_timer_t
heap_pop (GArray *heap)
{
  due_timer_t top = g_array_index (heap, due_timer_t, 0);
  heap_swap (heap, 0, heap->len - 1);
  g_array_set_size (heap, heap->len - 1);
  guint index = 0;
  for (;;)
    {
      guint earliest = index;
      for (guint child = 2 * index + 1; child <= 2 * index + 2 && child < heap->len;
           child++)
        {
          if (heap_before (heap, child, earliest))
            earliest = child;
        }
      if (earliest == index)
        return top;
      heap_swap (heap, index, earliest);
      index = earliest;
    }
}

/* Thread function: waits until the earliest timer is due and runs it without the lock.
 * Once the queue is stopping, it runs the remaining timers at once and returns. */
static gpointer
run_timers (gpointer data)
{
  jd_timer_queue_t *queue = data;
  g_mutex_lock (&queue->lock);
  while (!queue->stopping || queue->heap->len > 0)
    {
      if (queue->heap->len == 0)
        {
          g_cond_wait (&queue->changed, &queue->lock);
          continue;
        }
      int64_t due_us = g_array_index (queue->heap, due_timer_t, 0).due_us;
      if (!queue->stopping && due_us > g_get_monotonic_time ())
        {
          g_cond_wait_until (&queue->changed, &queue->lock, due_us);
          continue;
        }
      due_timer_t timer = heap_pop (queue->heap);
      g_mutex_unlock (&queue->lock);
      timer.callback (timer.data);
      g_mutex_lock (&queue->lock);
    }
  g_mutex_unlock (&queue->lock);
  return NULL;
}

jd_timer_queue_t *
jd_timer_queue_new (void)
{
  jd_timer_queue_t *queue = g_new0 (jd_timer_queue_t, 1);
  g_mutex_init (&queue->lock);
  g_cond_init (&queue->changed);
  queue->heap = g_array_new (FALSE, FALSE, sizeof (due_timer_t));
  queue->thread = g_thread_new ("timers", run_timers, queue);
  return queue;
}

/* Schedules a callback for a time of the monotonic clock. */
void
jd_timer_queue_add (jd_timer_queue_t *queue, int64_t due_us, jd_timer_callback_t callback,
                    void *data)
{
  g_mutex_lock (&queue->lock);
  due_timer_t timer = { .due_us = due_us,
                        .sequence = queue->next_sequence++,
                        .callback = callback,
                        .data = data };
  heap_push (queue->heap, timer);
  /* The thread has to wait for a shorter time only if this timer is the earliest one. */
  if (g_array_index (queue->heap, due_timer_t, 0).sequence == timer.sequence)
    g_cond_signal (&queue->changed);
  g_mutex_unlock (&queue->lock);
}

void
jd_timer_queue_free (jd_timer_queue_t *queue)
{
  if (!queue)
    return;
  g_mutex_lock (&queue->lock);
  queue->stopping = TRUE;
  g_cond_signal (&queue->changed);
  g_mutex_unlock (&queue->lock);
  g_thread_join (queue->thread);
  g_array_free (queue->heap, TRUE);
  g_cond_clear (&queue->changed);
  g_mutex_clear (&queue->lock);
  g_free (queue);
}
