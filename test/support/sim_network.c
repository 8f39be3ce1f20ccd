#include "support/sim_network.h"

/* A message on its way, or a wake-up when there is none. */
typedef struct event
{
  int64_t at_us;
  uint64_t sequence; /* Keeps the order of events of one time. */
  uint32_t process;
  uint32_t from;
  uint64_t timer;
  GBytes *message;
} event_t;

typedef struct process
{
  int64_t offset_us;
  double rate_ppm;
  int64_t paused_until_us;
  uint64_t timer; /* Older wake-ups are void. */
} process_t;

struct sim_network
{
  jd_rng_t rng;
  sim_handlers_t handlers;
  sim_faults_t faults;
  int64_t now_us;
  uint64_t sequence;
  uint64_t sent;
  uint32_t process_count;
  process_t *processes;
  guint8 *cuts;   /* from * process_count + to */
  GArray *events; /* binary heap of event_t */
};

sim_network_t *
sim_network_new (uint32_t process_count, const jd_rng_t *rng,
                 const sim_handlers_t *handlers)
{
  sim_network_t *network = g_new0 (sim_network_t, 1);
  network->rng = *rng;
  network->handlers = *handlers;
  network->faults.delay_us = 1000;
  network->process_count = process_count;
  network->processes = g_new0 (process_t, process_count);
  network->cuts = g_new0 (guint8, (gsize)process_count * process_count);
  network->events = g_array_new (FALSE, FALSE, sizeof (event_t));
  return network;
}

void
sim_network_free (sim_network_t *network)
{
  for (guint i = 0; i < network->events->len; i++)
    g_bytes_unref (g_array_index (network->events, event_t, i).message);
  g_array_unref (network->events);
  g_free (network->cuts);
  g_free (network->processes);
  g_free (network);
}

int64_t
sim_network_now_us (const sim_network_t *network)
{
  return network->now_us;
}

/* Returns the time on the clock of one process. */
int64_t
sim_network_local_us (const sim_network_t *network, uint32_t process)
{
  const process_t *p = &network->processes[process];
  return p->offset_us + network->now_us +
         (int64_t)((double)network->now_us * p->rate_ppm * 1e-6);
}

void
sim_network_set_clock (sim_network_t *network, uint32_t process, int64_t offset_us,
                       double rate_ppm)
{
  network->processes[process].offset_us = offset_us;
  network->processes[process].rate_ppm = rate_ppm;
}

void
sim_network_set_faults (sim_network_t *network, const sim_faults_t *faults)
{
  network->faults = *faults;
}

/* Cuts off or restores one direction. Messages on their way still arrive. */
void
sim_network_cut (sim_network_t *network, uint32_t from, uint32_t to, gboolean cut)
{
  network->cuts[(gsize)from * network->process_count + to] = cut ? 1 : 0;
}

void
sim_network_heal (sim_network_t *network)
{
  for (gsize i = 0; i < (gsize)network->process_count * network->process_count; i++)
    network->cuts[i] = 0;
}

/* Pauses a process; what arrives meanwhile is delivered when it resumes. */
void
sim_network_pause (sim_network_t *network, uint32_t process, int64_t duration_us)
{
  process_t *p = &network->processes[process];
  p->paused_until_us = MAX (p->paused_until_us, network->now_us + duration_us);
}

static gboolean
is_earlier (const event_t *a, const event_t *b)
{
  return a->at_us != b->at_us ? a->at_us < b->at_us : a->sequence < b->sequence;
}

static void
push (sim_network_t *network, event_t event)
{
  g_array_append_val (network->events, event);
  event_t *heap = (event_t *)(void *)network->events->data;
  guint i = network->events->len - 1;
  for (; i > 0 && is_earlier (&event, &heap[(i - 1) / 2]); i = (i - 1) / 2)
    heap[i] = heap[(i - 1) / 2];
  heap[i] = event;
}

static event_t
pop (sim_network_t *network)
{
  event_t *heap = (event_t *)(void *)network->events->data;
  guint count = network->events->len - 1;
  event_t first = heap[0];
  event_t last = heap[count];
  guint i = 0;
  for (guint child = 1; child < count; child = 2 * i + 1)
    {
      if (child + 1 < count && is_earlier (&heap[child + 1], &heap[child]))
        child++;
      if (!is_earlier (&heap[child], &last))
        break;
      heap[i] = heap[child];
      i = child;
    }
  heap[i] = last;
  g_array_set_size (network->events, count);
  return first;
}

static void
push_message (sim_network_t *network, uint32_t from, uint32_t to, GBytes *message)
{
  const sim_faults_t *faults = &network->faults;
  int64_t half_us = faults->delay_us / 2;
  int64_t delay_us =
      half_us + (int64_t)jd_rng_below (&network->rng, (uint64_t)half_us + 1);
  if (jd_rng_unit (&network->rng) < faults->slow)
    delay_us += (int64_t)jd_rng_below (&network->rng, (uint64_t)faults->slow_us + 1);
  push (network, (event_t){ .at_us = network->now_us + delay_us,
                            .sequence = network->sequence++,
                            .process = to,
                            .from = from,
                            .message = g_bytes_ref (message) });
}

/* Sends a message and takes the reference. A process always reaches itself. */
void
sim_network_send (sim_network_t *network, uint32_t from, uint32_t to, GBytes *message)
{
  network->sent++;
  gboolean cut = network->cuts[(gsize)from * network->process_count + to];
  gboolean lost = cut || jd_rng_unit (&network->rng) < network->faults.loss;
  if (from == to || !lost)
    push_message (network, from, to, message);
  if (!cut && jd_rng_unit (&network->rng) < network->faults.duplicate)
    push_message (network, from, to, message);
  g_bytes_unref (message);
}

/* Replaces the wake-up of a process. */
void
sim_network_wake_in (sim_network_t *network, uint32_t process, int64_t delay_us)
{
  push (network, (event_t){ .at_us = network->now_us + MAX (delay_us, 1),
                            .sequence = network->sequence++,
                            .process = process,
                            .timer = ++network->processes[process].timer });
}

static void
handle (sim_network_t *network, event_t event)
{
  const process_t *p = &network->processes[event.process];
  if (p->paused_until_us > network->now_us)
    {
      event.at_us = p->paused_until_us;
      push (network, event);
      return;
    }
  if (event.message)
    {
      network->handlers.deliver (network->handlers.context, event.process, event.from,
                                 event.message);
      g_bytes_unref (event.message);
    }
  else if (event.timer == p->timer)
    network->handlers.wake (network->handlers.context, event.process);
}

/* Handles all events up to a time. */
void
sim_network_run_until (sim_network_t *network, int64_t until_us)
{
  while (network->events->len > 0 &&
         g_array_index (network->events, event_t, 0).at_us <= until_us)
    {
      event_t event = pop (network);
      network->now_us = event.at_us;
      handle (network, event);
    }
  network->now_us = until_us;
}

/* Returns the number of messages sent so far. */
uint64_t
sim_network_sent (const sim_network_t *network)
{
  return network->sent;
}
