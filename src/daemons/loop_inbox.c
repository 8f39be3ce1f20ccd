#include "daemons/loop_inbox.h"

/* One posted call. If it has a waiter, the waiting thread owns the item, and done wakes
 * it; otherwise the inbox frees the item. */
typedef struct inbox_item
{
  jd_loop_call_t call;
  void *context;
  void *argument;
  gboolean has_waiter;
  gboolean done;
} inbox_item_t;

struct jd_loop_inbox
{
  void (*wake) (void *context);
  void *wake_context;
  GAsyncQueue *items;
  GMutex lock; /* Guards closed, and done of the items. The queue's own lock is taken
                  while it is held. */
  GCond item_done;
  gboolean closed;
};

/* Creates an empty inbox. wake is called in the posting thread after each post. */
jd_loop_inbox_t *
jd_loop_inbox_new (void (*wake) (void *context), void *context)
{
  jd_loop_inbox_t *inbox = g_new0 (jd_loop_inbox_t, 1);
  inbox->wake = wake;
  inbox->wake_context = context;
  inbox->items = g_async_queue_new ();
  g_mutex_init (&inbox->lock);
  g_cond_init (&inbox->item_done);
  return inbox;
}

/* Frees an inbox, whose calls must all have run; NULL is allowed. */
void
jd_loop_inbox_free (jd_loop_inbox_t *inbox)
{
  if (!inbox)
    return;
  g_async_queue_unref (inbox->items);
  g_mutex_clear (&inbox->lock);
  g_cond_clear (&inbox->item_done);
  g_free (inbox);
}

/* Queues an item and wakes the event loop. Returns FALSE if the inbox is closed. */
static gboolean
push (jd_loop_inbox_t *inbox, inbox_item_t *item)
{
  g_mutex_lock (&inbox->lock);
  gboolean open = !inbox->closed;
  if (open)
    g_async_queue_push (inbox->items, item);
  g_mutex_unlock (&inbox->lock);
  if (open)
    inbox->wake (inbox->wake_context);
  return open;
}

/* Queues a call without waiting for it. Returns FALSE if the inbox is closed. */
gboolean
jd_loop_inbox_post (jd_loop_inbox_t *inbox, jd_loop_call_t call, void *context,
                    void *argument)
{
  inbox_item_t item = { .call = call, .context = context, .argument = argument };
  inbox_item_t *queued = g_memdup2 (&item, sizeof (item));
  if (push (inbox, queued))
    return TRUE;
  g_free (queued);
  return FALSE;
}

/* Queues a call and waits until it has run. Returns FALSE if the inbox is closed. */
gboolean
jd_loop_inbox_call (jd_loop_inbox_t *inbox, jd_loop_call_t call, void *context,
                    void *argument)
{
  inbox_item_t item = {
    .call = call, .context = context, .argument = argument, .has_waiter = TRUE
  };
  if (!push (inbox, &item))
    return FALSE;
  g_mutex_lock (&inbox->lock);
  while (!item.done)
    g_cond_wait (&inbox->item_done, &inbox->lock);
  g_mutex_unlock (&inbox->lock);
  return TRUE;
}

/* Runs all queued calls in order. */
void
jd_loop_inbox_drain (jd_loop_inbox_t *inbox)
{
  inbox_item_t *item;
  while ((item = g_async_queue_try_pop (inbox->items)))
    {
      item->call (item->context, item->argument);
      if (!item->has_waiter)
        {
          g_free (item);
          continue;
        }
      g_mutex_lock (&inbox->lock);
      item->done = TRUE;
      g_cond_broadcast (&inbox->item_done);
      g_mutex_unlock (&inbox->lock);
    }
}

/* Refuses all later calls, then runs the queued ones. */
void
jd_loop_inbox_close (jd_loop_inbox_t *inbox)
{
  g_mutex_lock (&inbox->lock);
  inbox->closed = TRUE;
  g_mutex_unlock (&inbox->lock);
  jd_loop_inbox_drain (inbox);
}
