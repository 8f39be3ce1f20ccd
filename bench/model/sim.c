#include "model/sim.h"

typedef struct sim_event
{
  int64_t time_us;
  uint64_t sequence; /* Orders events of the same time. */
  jd_sim_callback_t callback;
  void *context;
  void *data;
  GDestroyNotify free_data;
} sim_event_t;

struct jd_sim
{
  GArray *heap; /* sim_event_t; a binary heap with the earliest event at index 0. */
  int64_t now_us;
  uint64_t next_sequence;
};

/* Creates a simulation that starts at one second, so that no valid time is 0. */
jd_sim_t *
jd_sim_new (void)
{
  jd_sim_t *sim = g_new0 (jd_sim_t, 1);
  sim->heap = g_array_new (FALSE, FALSE, sizeof (sim_event_t));
  sim->now_us = 1000000;
  return sim;
}

/* Frees the simulation and the data of events that did not run. */
void
jd_sim_free (jd_sim_t *sim)
{
  for (guint i = 0; i < sim->heap->len; i++)
    {
      sim_event_t *event = &g_array_index (sim->heap, sim_event_t, i);
      if (event->free_data)
        event->free_data (event->data);
    }
  g_array_free (sim->heap, TRUE);
  g_free (sim);
}

/* Returns the current simulation time. */
int64_t
jd_sim_now_us (const jd_sim_t *sim)
{
  return sim->now_us;
}

/* Returns TRUE if a runs before b. */
static gboolean
is_before (const sim_event_t *a, const sim_event_t *b)
{
  return a->time_us < b->time_us ||
         (a->time_us == b->time_us && a->sequence < b->sequence);
}

/* Schedules a callback; a time in the past means now. */
void
jd_sim_schedule (jd_sim_t *sim, int64_t time_us, jd_sim_callback_t callback,
                 void *context, void *data, GDestroyNotify free_data)
{
  sim_event_t event = {
    MAX (time_us, sim->now_us), sim->next_sequence++, callback, context, data, free_data
  };
  g_array_append_val (sim->heap, event);
  sim_event_t *heap = (sim_event_t *)(void *)sim->heap->data;
  guint i = sim->heap->len - 1;
  for (; i > 0 && is_before (&event, &heap[(i - 1) / 2]); i = (i - 1) / 2)
    heap[i] = heap[(i - 1) / 2];
  heap[i] = event;
}

/* Removes the earliest event from the heap, which must not be empty, and returns it. */
static sim_event_t
pop_event (jd_sim_t *sim)
{
  sim_event_t *heap = (sim_event_t *)(void *)sim->heap->data;
  sim_event_t first = heap[0];
  sim_event_t last = heap[sim->heap->len - 1];
  g_array_set_size (sim->heap, sim->heap->len - 1);
  guint count = sim->heap->len;
  guint i = 0;
  while (2 * i + 1 < count)
    {
      guint child = 2 * i + 1;
      if (child + 1 < count && is_before (&heap[child + 1], &heap[child]))
        child++;
      if (!is_before (&heap[child], &last))
        break;
      heap[i] = heap[child];
      i = child;
    }
  if (count > 0)
    heap[i] = last;
  return first;
}

/* Runs all events up to and including until_us and advances the clock to that time. */
void
jd_sim_run (jd_sim_t *sim, int64_t until_us)
{
  while (sim->heap->len > 0 &&
         g_array_index (sim->heap, sim_event_t, 0).time_us <= until_us)
    {
      sim_event_t event = pop_event (sim);
      sim->now_us = event.time_us;
      event.callback (event.context, event.data);
    }
  sim->now_us = MAX (sim->now_us, until_us);
}
