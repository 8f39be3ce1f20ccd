#include "support/search_load.h"

#include <math.h>

#include "base/clock.h"
#include "base/rng.h"
#include "routing/fanout.h"
#include "routing/target_hints.h"
#include "support/search_callers.h"

#define SEARCHES_MAX 8192
#define HOSTS_MAX 32
#define HINTS_MAX 256
/* Hosts tell each other of targets this often, as on the platform. */
#define HINTS_EVERY_MS 100
/* A host closes the connection of an attempt that is not wanted any more after this. */
#define LINGER_US (300 * JD_US_PER_MS)

typedef struct jd_load_target
{
  jd_replica_t *replicas[HOSTS_MAX]; /* As each host sees it. */
  int64_t pause_offset_us;
  double speed;
  bool dead;
  GQueue running; /* jd_load_attempt_t */
  GQueue waiting;
  GQueue shed; /* Refused with the next step. */
} jd_load_target_t;

typedef struct jd_load_world jd_load_world_t;

typedef struct jd_load_search
{
  jd_load_world_t *world;
  uint32_t host;
  jd_fanout_t *fanout;
  int64_t start_us;
  int64_t first_us; /* When the caller first sent it. */
  int64_t leave_us; /* When the caller leaves; 0: it stays. */
  uint32_t organisation;
  uint32_t retries_left;
  bool is_told; /* Its end. */
  int64_t wake_us;
  int64_t end_us; /* 0 while it runs. */
  jd_fanout_verdict_t verdict;
  uint32_t open_attempts;
} jd_load_search_t;

/* A caller that will send a search. */
typedef struct jd_load_arrival
{
  int64_t due_us;
  int64_t first_us;
  uint32_t organisation;
  uint32_t retries_left;
  bool leaves;
} jd_load_arrival_t;

typedef struct jd_load_attempt
{
  jd_load_search_t *search;
  uint32_t part;
  uint32_t number;
  int64_t sent_us;
  int64_t work_us;
  bool fails;
} jd_load_attempt_t;

/* What one host believes. */
typedef struct jd_load_host
{
  jd_replica_registry_t *registry;
  jd_route_table_t *table;
  jd_route_t *route;
} jd_load_host_t;

struct jd_load_world
{
  const jd_search_load_t *load;
  jd_load_host_t hosts[HOSTS_MAX];
  uint32_t host_count;
  jd_load_target_t *targets;
  jd_load_search_t *searches;
  jd_search_callers_t *callers;
  GQueue returning; /* jd_load_arrival_t: callers that try again. */
  jd_philox_t random;
  int64_t now_us;
  jd_search_result_t result;
};

static void
ignore_replica (void *context, jd_replica_t *replica)
{
}

/* Draws the work of one attempt: log-normal with a spread of 0.35. */
static int64_t
draw_work_us (jd_load_world_t *world, double mean_ms)
{
  jd_rng_t rng = jd_philox_rng (&world->random);
  double sum = 0.0;
  for (int i = 0; i < 12; i++)
    sum += jd_rng_unit (&rng);
  return (int64_t)(mean_ms * exp (0.35 * (sum - 6.0) - 0.06) * (double)JD_US_PER_MS);
}

static jd_load_target_t *
target_of (jd_load_world_t *world, const jd_replica_t *replica)
{
  return &world->targets[g_ascii_strtoull (replica->id + 1, NULL, 10)];
}

/* Counts a host's attempts at a target. */
static void
count_attempts (const GQueue *queue, uint32_t host, bool runs, jd_replica_t *replica)
{
  for (GList *item = queue->head; item; item = item->next)
    {
      const jd_load_attempt_t *attempt = item->data;
      if (attempt->search->host != host)
        continue;
      replica->in_flight++;
      if (runs &&
          (replica->oldest_sent_us == 0 || attempt->sent_us < replica->oldest_sent_us))
        replica->oldest_sent_us = attempt->sent_us;
    }
}

static void
refresh (jd_load_target_t *target, uint32_t host)
{
  jd_replica_t *replica = target->replicas[host];
  replica->in_flight = 0;
  replica->oldest_sent_us = 0;
  count_attempts (&target->running, host, true, replica);
  count_attempts (&target->waiting, host, false, replica);
}

/* Fanout action: queues an attempt at its target. */
static bool
send_attempt (void *context, uint32_t part, uint32_t number, jd_replica_t *replica)
{
  jd_load_search_t *search = context;
  jd_load_world_t *world = search->world;
  jd_load_target_t *target = target_of (world, replica);
  jd_rng_t rng = jd_philox_rng (&world->random);
  jd_load_attempt_t *attempt = g_new0 (jd_load_attempt_t, 1);
  attempt->search = search;
  attempt->part = part;
  attempt->number = number;
  attempt->sent_us = world->now_us;
  attempt->work_us =
      (int64_t)((double)draw_work_us (world, world->load->work_ms) *
                (world->now_us >= world->load->slow_from_ms * JD_US_PER_MS ? target->speed
                                                                           : 1.0));
  attempt->fails = jd_rng_unit (&rng) < world->load->fail_share;
  search->open_attempts++;
  if (number == 0)
    world->result.first_attempts++;
  else
    world->result.extra_attempts++;
  if (target->running.length < world->load->slots)
    g_queue_push_tail (&target->running, attempt);
  else if (world->load->queue == 0 || target->waiting.length < world->load->queue)
    g_queue_push_tail (&target->waiting, attempt);
  else
    g_queue_push_tail (&target->shed, attempt);
  refresh (target, search->host);
  return true;
}

/* Fanout action: the search is over. */
static void
finish_search (void *context, jd_fanout_verdict_t verdict)
{
  jd_load_search_t *search = context;
  search->end_us = search->world->now_us;
  search->verdict = verdict;
}

/* Ends an attempt and tells its search. */
static void
settle (jd_load_world_t *world, jd_load_target_t *target, jd_load_attempt_t *attempt,
        jd_replica_outcome_t outcome)
{
  int64_t elapsed_us = world->now_us - attempt->sent_us;
  jd_replica_report (target->replicas[attempt->search->host], target->running.length,
                     target->waiting.length, world->load->slots, world->now_us);
  jd_route_latency_t *latency = world->hosts[attempt->search->host].route->latency;
  jd_replica_observe (target->replicas[attempt->search->host], outcome, elapsed_us,
                      (int64_t)latency->median_us, world->now_us);
  if (outcome == JD_REPLICA_OK)
    jd_route_latency_record (latency, elapsed_us);
  attempt->search->open_attempts--;
  if (attempt->search->end_us == 0)
    jd_fanout_settle (attempt->search->fanout, attempt->part, attempt->number, outcome,
                      outcome != JD_REPLICA_SHED, world->now_us);
  g_free (attempt);
}

/* TRUE when a target drops an attempt: its connection was closed. */
static bool
is_withdrawn (const jd_load_world_t *world, const jd_load_attempt_t *attempt)
{
  int64_t end_us = attempt->search->end_us;
  return end_us > 0 && world->now_us - end_us >= LINGER_US;
}

/* Returns the next waiting attempt that is not withdrawn, or NULL. */
static jd_load_attempt_t *
next_waiting (jd_load_world_t *world, jd_load_target_t *target)
{
  jd_load_attempt_t *attempt = NULL;
  while ((attempt = g_queue_pop_head (&target->waiting)) && is_withdrawn (world, attempt))
    {
      attempt->search->open_attempts--;
      g_free (attempt);
    }
  return attempt;
}

/* Refuses the attempts for which a target has no room. */
static void
shed_attempts (jd_load_world_t *world, jd_load_target_t *target)
{
  for (guint i = target->shed.length; i > 0; i--)
    settle (world, target, g_queue_pop_head (&target->shed), JD_REPLICA_SHED);
}

/* Lets a target work for a millisecond, unless it pauses. */
static void
step_target (jd_load_world_t *world, jd_load_target_t *target)
{
  const jd_search_load_t *load = world->load;
  int64_t every_us = load->pause_every_ms * JD_US_PER_MS;
  shed_attempts (world, target);
  if (target->dead ||
      (load->pause_ms > 0 && (world->now_us + target->pause_offset_us) % every_us <
                                 load->pause_ms * JD_US_PER_MS))
    return;
  GList *next = NULL;
  for (GList *item = target->running.head; item; item = next)
    {
      next = item->next;
      jd_load_attempt_t *attempt = item->data;
      attempt->work_us -= JD_US_PER_MS;
      if (attempt->work_us > 0)
        continue;
      g_queue_delete_link (&target->running, item);
      jd_load_attempt_t *waiting = next_waiting (world, target);
      if (waiting)
        g_queue_push_tail (&target->running, waiting);
      refresh (target, attempt->search->host);
      settle (world, target, attempt, attempt->fails ? JD_REPLICA_ERROR : JD_REPLICA_OK);
    }
}

/* Adds a target to what a host knows; returns it as that host sees it. */
static jd_replica_t *
add_target (jd_load_world_t *world, uint32_t host, uint32_t number)
{
  const jd_search_load_t *load = world->load;
  char id[16], service[16];
  g_snprintf (id, sizeof (id), "t%u", number);
  g_snprintf (service, sizeof (service), "s%u", number / load->replicas);
  jd_replica_spec_t spec = {
    .id = id, .service = service, .zone = number % 2 ? "b" : "a", .slots = 2
  };
  jd_load_host_t *self = &world->hosts[host];
  jd_replica_registry_put (self->registry, &spec, 1);
  jd_replica_pool_t *pool = jd_replica_registry_pool (self->registry, service);
  jd_replica_t *replica = NULL;
  for (guint k = 0; k < pool->replicas->len; k++)
    {
      jd_replica_t *known = pool->replicas->pdata[k];
      if (g_strcmp0 (known->id, id) == 0)
        replica = known;
    }
  g_assert (replica);
  replica->idle_connections = 1;
  if (number % load->replicas == 0)
    jd_route_add_part (self->route, pool, 1.0);
  else
    jd_replica_pool_unref (pool);
  return replica;
}

/* Creates a host that knows no targets. */
static void
create_host (jd_load_world_t *world, uint32_t host)
{
  jd_replica_events_t events = { ignore_replica, ignore_replica, NULL };
  const jd_search_load_t *load = world->load;
  jd_load_host_t *self = &world->hosts[host];
  self->registry = jd_replica_registry_new ("a", &events);
  self->table = jd_route_table_new (1);
  self->route = jd_route_table_add_route (self->table, "search", "h", "/");
  self->route->kind = JD_ROUTE_SCATTER;
  self->route->idempotent = true;
  self->route->max_attempts = load->single ? 1 : 2;
  self->route->min_coverage = load->min_coverage;
  self->route->objective_us = load->objective_ms * JD_US_PER_MS;
  self->route->timeout_us = load->deadline_ms * JD_US_PER_MS;
}

/* Creates targets, their services and the route over them. */
static void
create_world (jd_load_world_t *world, const jd_search_load_t *load)
{
  jd_rng_t rng = jd_philox_rng (&world->random);
  world->load = load;
  world->random.seed = load->seed;
  world->host_count = CLAMP (load->hosts, 1, HOSTS_MAX);
  for (uint32_t h = 0; h < world->host_count; h++)
    create_host (world, h);
  uint32_t count = load->shards * load->replicas;
  world->targets = g_new0 (jd_load_target_t, (gsize)count);
  for (uint32_t i = 0; i < count; i++)
    {
      jd_load_target_t *target = &world->targets[i];
      for (uint32_t h = 0; h < world->host_count; h++)
        target->replicas[h] = add_target (world, h, i);
      /* At most one of a shard's targets is slow, so that a quick one is left. */
      bool may_be_slow = i % load->replicas == (i / load->replicas) % load->replicas;
      bool is_slow = may_be_slow && jd_rng_below (&rng, 100) <
                                        (uint64_t)load->slow_percent * load->replicas;
      target->speed = is_slow ? load->slow_factor : 1.0;
      target->dead = i / load->replicas < load->dead_shards;
      target->pause_offset_us =
          (int64_t)jd_rng_below (&rng, load->pause_every_ms + 1) * JD_US_PER_MS;
    }
  for (uint32_t h = 0; h < world->host_count; h++)
    jd_route_table_finish (world->hosts[h].table, NULL);
  world->searches = g_new0 (jd_load_search_t, SEARCHES_MAX);
}

/* Tells of the end of a search, and lets its caller try again if it may. */
static void
tell_end (jd_load_world_t *world, jd_search_end_t *end, const jd_load_arrival_t *arrival,
          int64_t retry_after_us)
{
  const jd_search_load_t *load = world->load;
  end->first_ms = (uint32_t)(arrival->first_us / JD_US_PER_MS);
  end->took_ms = (uint32_t)((world->now_us - arrival->first_us) / JD_US_PER_MS);
  end->organisation = arrival->organisation;
  end->in_objective = end->answered && end->took_ms <= load->objective_ms;
  int64_t due_us = world->now_us + retry_after_us;
  end->is_last = end->answered || end->left || arrival->retries_left == 0 ||
                 due_us - arrival->first_us >= load->deadline_ms * JD_US_PER_MS;
  if (load->on_end)
    load->on_end (load->context, end);
  if (end->is_last)
    return;
  jd_load_arrival_t *next = g_new0 (jd_load_arrival_t, 1);
  *next = *arrival;
  next->due_us = due_us;
  next->retries_left--;
  g_queue_push_tail (&world->returning, next);
}

/* Returns what the caller of a search would send again. */
static jd_load_arrival_t
arrival_of (const jd_load_search_t *search)
{
  return (jd_load_arrival_t){
    .first_us = search->first_us,
    .organisation = search->organisation,
    .retries_left = search->retries_left,
    .leaves = search->leave_us > 0,
  };
}

/* Tells of a search that has ended. */
static void
note_end (jd_load_world_t *world, jd_load_search_t *search)
{
  jd_load_arrival_t arrival = arrival_of (search);
  jd_search_end_t end = {
    .parts = search->fanout->part_count,
    .parts_in = search->fanout->done_count,
    .answered =
        search->verdict == JD_FANOUT_COMPLETE || search->verdict == JD_FANOUT_PARTIAL,
    .left = search->leave_us > 0 && search->end_us >= search->leave_us,
  };
  search->is_told = true;
  tell_end (world, &end, &arrival, 0);
}

/* Starts a search, unless the rate of its organisation refuses it. */
static void
start_search (jd_load_world_t *world, const jd_load_arrival_t *arrival)
{
  if (world->result.searches >= SEARCHES_MAX)
    return;
  jd_rng_t rng = jd_philox_rng (&world->random);
  uint32_t host = 0;
  if (world->host_count > 1)
    host = (uint32_t)jd_rng_below (&rng, world->host_count);
  int64_t retry_after_us = 0;
  if (!jd_search_callers_admit (world->callers, arrival->organisation, host,
                                world->now_us, &retry_after_us))
    {
      jd_search_end_t end = { .refused = true };
      tell_end (world, &end, arrival, retry_after_us);
      return;
    }
  jd_route_latency_t *latency = world->hosts[host].route->latency;
  if (!world->load->unguarded &&
      !jd_admission_gate_admits (&latency->gate,
                                 jd_admission_gate_share (&latency->gate, world->now_us)))
    {
      jd_search_end_t end = { .refused = true };
      world->result.rejected++;
      tell_end (world, &end, arrival, world->load->objective_ms * JD_US_PER_MS);
      return;
    }
  jd_load_search_t *search = &world->searches[world->result.searches++];
  search->world = world;
  search->host = host;
  search->start_us = world->now_us;
  search->first_us = arrival->first_us;
  search->organisation = arrival->organisation;
  search->retries_left = arrival->retries_left;
  if (arrival->leaves)
    search->leave_us = arrival->first_us + world->load->leave_ms * JD_US_PER_MS;
  const jd_route_t *route = world->hosts[search->host].route;
  jd_fanout_request_t request = {
    .route = route,
    .parts = (jd_route_part_t *)(void *)route->parts->data,
    .part_count = route->parts->len,
    .deadline_us = world->now_us + route->timeout_us,
    .salt = world->result.searches * 977,
  };
  jd_fanout_actions_t actions = { .send = send_attempt,
                                  .finish = finish_search,
                                  .context = search };
  search->fanout = jd_fanout_new (&request, &actions, world->now_us);
  jd_fanout_start (search->fanout, world->now_us);
  search->wake_us = jd_fanout_tick (search->fanout, world->now_us);
}

/* Lets hosts tell each other of targets. */
static void
tell_hints (jd_load_world_t *world)
{
  for (uint32_t from = 0; from < world->host_count; from++)
    {
      jd_target_hint_t hints[HINTS_MAX];
      uint32_t count = jd_target_hints_collect (world->hosts[from].registry, hints,
                                                HINTS_MAX, world->now_us);
      for (uint32_t to = 0; to < world->host_count; to++)
        {
          if (to != from)
            jd_target_hints_take (world->hosts[to].registry, hints, count, world->now_us);
        }
    }
}

/* Ends a search whose caller leaves. */
static void
let_leave (jd_load_world_t *world, jd_load_search_t *search)
{
  search->fanout->finished = true;
  search->end_us = world->now_us;
  search->verdict = JD_FANOUT_TIMED_OUT;
}

/* Wakes the searches that have to decide. */
static void
step_searches (jd_load_world_t *world)
{
  uint32_t count = world->result.searches;
  for (uint32_t i = 0; i < count; i++)
    {
      jd_load_search_t *search = &world->searches[i];
      if (search->end_us == 0 && search->leave_us > 0 &&
          search->leave_us <= world->now_us)
        let_leave (world, search);
      if (search->end_us == 0)
        search->wake_us = jd_fanout_tick (search->fanout, world->now_us);
      if (search->end_us > 0 && !search->is_told)
        note_end (world, search);
    }
}

/* Lets callers come: new ones, and those that try again. */
static void
step_callers (jd_load_world_t *world, uint32_t ms, const jd_rng_t *rng)
{
  const jd_search_load_t *load = world->load;
  double per_ms = jd_search_callers_per_s (load, ms) / 1000.0;
  if (ms <= load->duration_ms && jd_rng_unit (rng) < per_ms)
    {
      jd_load_arrival_t arrival = {
        .first_us = world->now_us,
        .organisation = jd_search_callers_pick (world->callers, ms),
        .retries_left = load->retries,
        .leaves = jd_search_callers_leaves (world->callers),
      };
      start_search (world, &arrival);
    }
  /* One that is refused again goes to the end of the queue. */
  for (guint i = world->returning.length; i > 0; i--)
    {
      jd_load_arrival_t *arrival = g_queue_pop_head (&world->returning);
      if (arrival->due_us > world->now_us)
        {
          g_queue_push_tail (&world->returning, arrival);
          continue;
        }
      start_search (world, arrival);
      g_free (arrival);
    }
}

/* Takes from all hosts what they know of targets. */
static void
forget_targets (jd_load_world_t *world)
{
  for (uint32_t i = 0; i < world->load->shards * world->load->replicas; i++)
    {
      for (uint32_t h = 0; h < world->host_count; h++)
        {
          jd_replica_t *replica = world->targets[i].replicas[h];
          replica->slowness = 1.0;
          replica->failure_share = 0.0;
          replica->ejected_until_us = 0;
          replica->in_flight = 0;
          replica->oldest_sent_us = 0;
          replica->local_zone = true;
        }
    }
}

/* Returns how long a target would take for one more attempt now. */
static int64_t
true_wait_us (const jd_load_world_t *world, const jd_load_target_t *target)
{
  const jd_search_load_t *load = world->load;
  if (target->dead)
    return load->deadline_ms * JD_US_PER_MS;
  bool is_slow = world->now_us >= load->slow_from_ms * JD_US_PER_MS;
  double work_us = load->work_ms * (double)JD_US_PER_MS * (is_slow ? target->speed : 1.0);
  uint32_t before = target->running.length + target->waiting.length;
  double wait_us = work_us * (1.0 + floor ((double)before / load->slots));
  int64_t every_us = load->pause_every_ms * JD_US_PER_MS;
  int64_t into_us = every_us ? (world->now_us + target->pause_offset_us) % every_us : 0;
  int64_t pause_us = load->pause_ms * JD_US_PER_MS;
  if (into_us < pause_us)
    wait_us += (double)(pause_us - into_us);
  else if (every_us && into_us + (int64_t)wait_us > every_us)
    wait_us += (double)pause_us;
  return (int64_t)wait_us;
}

/* Lets all hosts know the true state of all targets. */
static void
reveal_targets (jd_load_world_t *world)
{
  for (uint32_t i = 0; i < world->load->shards * world->load->replicas; i++)
    {
      const jd_load_target_t *target = &world->targets[i];
      int64_t wait_us = true_wait_us (world, target);
      for (uint32_t h = 0; h < world->host_count; h++)
        {
          double usual_us = world->hosts[h].route->latency->median_us;
          target->replicas[h]->slowness = (double)wait_us / MAX (usual_us, 1.0);
          target->replicas[h]->in_flight = 0;
          target->replicas[h]->oldest_sent_us = 0;
        }
    }
}

/* Sums up what callers got. */
static void
sum_up (jd_load_world_t *world)
{
  jd_search_result_t *result = &world->result;
  for (uint32_t i = 0; i < result->searches; i++)
    {
      const jd_load_search_t *search = &world->searches[i];
      int64_t took_us = search->end_us - search->start_us;
      bool answered = search->end_us > 0 && (search->verdict == JD_FANOUT_COMPLETE ||
                                             search->verdict == JD_FANOUT_PARTIAL);
      result->answered += answered;
      const jd_route_t *route = world->hosts[search->host].route;
      result->in_objective += answered && took_us <= route->objective_us;
      result->complete += answered && search->verdict == JD_FANOUT_COMPLETE;
      result->late_finals +=
          search->end_us == 0 || took_us > route->timeout_us + JD_US_PER_MS;
      for (uint32_t p = 0; p < search->fanout->part_count; p++)
        result->most_replicas =
            MAX (result->most_replicas, search->fanout->parts[p].attempt_count);
      jd_fanout_free (search->fanout);
    }
}

/* Plays a load and returns what callers got. */
jd_search_result_t
jd_search_load_play (const jd_search_load_t *load)
{
  jd_load_world_t world = { 0 };
  create_world (&world, load);
  world.callers = jd_search_callers_new (load, world.host_count);
  jd_rng_t rng = jd_philox_rng (&world.random);
  for (uint32_t ms = 1; ms <= load->duration_ms + load->deadline_ms + 2; ms++)
    {
      world.now_us = ms * JD_US_PER_MS;
      if (load->oracle)
        reveal_targets (&world);
      if (load->blind)
        forget_targets (&world);
      step_callers (&world, ms, &rng);
      for (uint32_t i = 0; i < load->shards * load->replicas; i++)
        step_target (&world, &world.targets[i]);
      step_searches (&world);
      if (load->tell_hints && ms % HINTS_EVERY_MS == 0)
        tell_hints (&world);
      if (ms % HINTS_EVERY_MS == 0)
        jd_search_callers_tell (world.callers, world.now_us);
    }
  sum_up (&world);
  for (uint32_t i = 0; i < load->shards * load->replicas; i++)
    {
      g_queue_clear_full (&world.targets[i].running, g_free);
      g_queue_clear_full (&world.targets[i].waiting, g_free);
      g_queue_clear_full (&world.targets[i].shed, g_free);
    }
  for (uint32_t h = 0; h < world.host_count; h++)
    {
      jd_route_table_unref (world.hosts[h].table);
      jd_replica_registry_free (world.hosts[h].registry);
    }
  g_queue_clear_full (&world.returning, g_free);
  jd_search_callers_free (world.callers);
  g_free (world.targets);
  g_free (world.searches);
  return world.result;
}
