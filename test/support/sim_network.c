#include "support/sim_network.h"

/* The delivery of a message, or the wake-up of a process if message is NULL. */
typedef struct event
{
  int64_t at_us;
  uint64_t sequence; /* Orders events of the same time. */
  uint32_t process;
  uint32_t from;
  uint64_t wake_number;
  GBytes *message;
} event_t;

typedef struct process
{
  int64_t offset_us;
  double rate_ppm;
  int64_t paused_until_us;
  uint64_t wake_number; /* Number of the latest wake-up; earlier ones are ignored. */
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
  guint8 *is_blocked; /* Indexed by from * process_count + to. */
  GArray *events;     /* Binary heap of event_t. */
};

sim_network_t *
sim_network_new (uint32_t process_count, const jd_rng_t *rng,
                 const sim_handlers_t *handlers)
{
  sim_network_t *network = g_new0 (sim_network_t, 1);
  network->rng = *rng;
  network->handlers = *handlers;
  network->faults.max_delay_us = 1000;
  network->process_count = process_count;
  network->processes = g_new0 (process_t, process_count);
  network->is_blocked = g_new0 (guint8, (gsize)process_count * process_count);
  network->events = g_array_new (FALSE, FALSE, sizeof (event_t));
  return network;
}

void
sim_network_free (sim_network_t *network)
{
  for (guint i = 0; i < network->events->len; i++)
    g_bytes_unref (g_array_index (network->events, event_t, i).message);
  g_array_unref (network->events);
  g_free (network->is_blocked);
  g_free (network->processes);
  g_free (network);
}

int64_t
sim_network_now_us (const sim_network_t *network)
{
  return network->now_us;
}

/* Returns the time on the clock of a process, which runs rate_ppm faster than now_us. */
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

/* Blocks or unblocks messages in one direction. Messages in transit still arrive. */
void
sim_network_set_blocked (sim_network_t *network, uint32_t from, uint32_t to,
                         gboolean is_blocked)
{
  network->is_blocked[(gsize)from * network->process_count + to] = is_blocked ? 1 : 0;
}

void
sim_network_unblock_all (sim_network_t *network)
{
  for (gsize i = 0; i < (gsize)network->process_count * network->process_count; i++)
    network->is_blocked[i] = 0;
}

/* Pauses a process; its messages and wake-ups are delivered when it resumes. */
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
push_event (sim_network_t *network, event_t event)
{
  g_array_append_val (network->events, event);
  event_t *heap = (event_t *)(void *)network->events->data;
  guint i = network->events->len - 1;
  for (; i > 0 && is_earlier (&event, &heap[(i - 1) / 2]); i = (i - 1) / 2)
    heap[i] = heap[(i - 1) / 2];
  heap[i] = event;
}

static event_t
pop_event (sim_network_t *network)
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
  int64_t min_delay_us = faults->max_delay_us / 2;
  int64_t delay_us =
      min_delay_us + (int64_t)jd_rng_below (&network->rng, (uint64_t)min_delay_us + 1);
  if (jd_rng_unit (&network->rng) < faults->late_fraction)
    delay_us += (int64_t)jd_rng_below (&network->rng, (uint64_t)faults->max_late_us + 1);
  push_event (network, (event_t){ .at_us = network->now_us + delay_us,
                                  .sequence = network->sequence++,
                                  .process = to,
                                  .from = from,
                                  .message = g_bytes_ref (message) });
}

/* Sends a message and takes ownership of the reference. A message from a process to
 * itself is never lost. */
void
sim_network_send (sim_network_t *network, uint32_t from, uint32_t to, GBytes *message)
{
  network->sent++;
  gboolean is_blocked = network->is_blocked[(gsize)from * network->process_count + to];
  gboolean is_lost =
      is_blocked || jd_rng_unit (&network->rng) < network->faults.loss_fraction;
  if (from == to || !is_lost)
    push_message (network, from, to, message);
  if (!is_blocked && jd_rng_unit (&network->rng) < network->faults.duplicate_fraction)
    push_message (network, from, to, message);
  g_bytes_unref (message);
}

/* Replaces the pending wake-up of a process; the delay is at least 1 us. */
void
sim_network_wake_in (sim_network_t *network, uint32_t process, int64_t delay_us)
{
  push_event (network,
              (event_t){ .at_us = network->now_us + MAX (delay_us, 1),
                         .sequence = network->sequence++,
                         .process = process,
                         .wake_number = ++network->processes[process].wake_number });
}

static void
handle_event (sim_network_t *network, event_t event)
{
  const process_t *p = &network->processes[event.process];
  if (p->paused_until_us > network->now_us)
    {
      event.at_us = p->paused_until_us;
      push_event (network, event);
      return;
    }
  if (event.message)
    {
      network->handlers.deliver (network->handlers.context, event.process, event.from,
                                 event.message);
      g_bytes_unref (event.message);
    }
  else if (event.wake_number == p->wake_number)
    network->handlers.wake (network->handlers.context, event.process);
}

/* Handles all events up to and including end_us. */
void
sim_network_run_until (sim_network_t *network, int64_t end_us)
{
  while (network->events->len > 0 &&
         g_array_index (network->events, event_t, 0).at_us <= end_us)
    {
      event_t event = pop_event (network);
      network->now_us = event.at_us;
      handle_event (network, event);
    }
  network->now_us = end_us;
}

/* Counts every call of sim_network_send (), also for a message that is lost. */
uint64_t
sim_network_sent_count (const sim_network_t *network)
{
  return network->sent;
}
