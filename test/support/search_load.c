#include "support/search_load.h"

#include <math.h>

#include "base/clock.h"
#include "base/rng.h"
#include "routing/extra_reports.h"
#include "routing/fanout.h"
#include "routing/rejection_reports.h"
#include "routing/target_hints.h"
#include "support/search_callers.h"

#define SEARCHES_MAX 8192
#define HOSTS_MAX 32
/* Round trip that hosts assume if a load states none; callers are 1 ms away. */
#define NEAR_ROUND_TRIP_US 2000
#define HINTS_MAX 256
/* Interval at which hosts exchange target hints and quota reports, as on the platform. */
#define HINT_INTERVAL_MS 100
/* Interval of state messages in a fleet of that size, which report extra attempts and
 * rejections. */
#define STATE_INTERVAL_MS 250
#define EXTRA_WINDOW_MS 10000
/* Windows in which the load of the replicas of a shard is compared, and the fewest first
 * attempts in one that count. */
#define BALANCE_WINDOW_MS 200
#define BALANCE_ATTEMPTS_MIN 6
/* Time after the end of a search until its host closes connections of open attempts. */
#define ABANDONED_CLOSE_DELAY_US (300 * JD_US_PER_MS)

typedef struct jd_load_target
{
  jd_replica_t *replicas[HOSTS_MAX]; /* State of the target at each host. */
  int64_t pause_offset_us;
  double work_factor;       /* Multiplies the work of its attempts. */
  double speed_factor;      /* The same, at all times; it reports this. */
  uint32_t window_attempts; /* First attempts in the present window. */
  bool dead;
  bool rejects; /* It rejects requests although it has free slots. */
  bool leaves;  /* It says so from leaving_from_ms of the load on. */
  /* When it first told each host; 0: not yet. Kept apart from the notices of the hosts,
   * which are under test. */
  int64_t told_leaving_us[HOSTS_MAX];
  int64_t asked_pause_until_us[HOSTS_MAX];
  GQueue running; /* jd_load_attempt_t */
  GQueue waiting;
  GQueue shed;     /* Will be refused in the next step. */
  GQueue rejected; /* The same, although it has a free slot. */
} jd_load_target_t;

typedef struct jd_load_sim jd_load_sim_t;

typedef struct jd_load_search
{
  jd_load_sim_t *sim;
  uint32_t host;
  jd_fanout_t *fanout;
  int64_t start_us;
  int64_t first_sent_us; /* When the caller first sent it. */
  int64_t leave_us;      /* When the caller leaves; 0: never. */
  uint32_t organisation;
  uint32_t retries_left;
  bool is_reported; /* The end has been reported. */
  int64_t wake_us;
  int64_t end_us; /* 0 while it runs. */
  jd_fanout_verdict_t verdict;
  uint32_t open_attempts;
} jd_load_search_t;

/* A search that a caller will send or retry. */
typedef struct jd_load_arrival
{
  int64_t send_at_us;
  int64_t first_sent_us;
  uint32_t organisation;
  uint32_t retries_left;
  bool leaves_early;
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

/* Routing state of one host. */
typedef struct jd_load_host
{
  jd_replica_registry_t *registry;
  jd_route_table_t *table;
  jd_route_t *route;
} jd_load_host_t;

struct jd_load_sim
{
  const jd_search_load_t *load;
  jd_load_host_t hosts[HOSTS_MAX];
  uint32_t host_count;
  jd_load_target_t *targets;
  GArray **extra_sent_ms; /* For each shard, when extra attempts at it were sent. */
  jd_load_search_t *searches;
  jd_search_callers_t *callers;
  GQueue retry_queue; /* jd_load_arrival_t: searches to be retried. */
  jd_philox_t random;
  int64_t now_us;
  jd_search_result_t result;
};

static void
ignore_replica (void *context, jd_replica_t *replica)
{
}

/* Draws the work of one attempt: log-normal with a standard deviation of 0.35 (of its
 * logarithm). The sum of 12 uniform numbers stands in for a normal one. */
static int64_t
draw_work_us (jd_load_sim_t *sim, double mean_ms)
{
  jd_rng_t rng = jd_philox_rng (&sim->random);
  double sum = 0.0;
  for (int i = 0; i < 12; i++)
    sum += jd_rng_unit (&rng);
  return (int64_t)(mean_ms * exp (0.35 * (sum - 6.0) - 0.06) * (double)JD_US_PER_MS);
}

static jd_load_target_t *
target_of (jd_load_sim_t *sim, const jd_replica_t *replica)
{
  return &sim->targets[g_ascii_strtoull (replica->id + 1, NULL, 10)];
}

/* Adds a host's attempts in a queue of a target to its replica, and updates the send time
 * of the oldest running one. */
static void
count_attempts (const GQueue *queue, uint32_t host, bool is_running,
                jd_replica_t *replica)
{
  for (GList *item = queue->head; item; item = item->next)
    {
      const jd_load_attempt_t *attempt = item->data;
      if (attempt->search->host != host)
        continue;
      replica->in_flight++;
      if (is_running &&
          (replica->oldest_sent_us == 0 || attempt->sent_us < replica->oldest_sent_us))
        replica->oldest_sent_us = attempt->sent_us;
    }
}

static void
update_attempt_counts (jd_load_target_t *target, uint32_t host)
{
  jd_replica_t *replica = target->replicas[host];
  replica->in_flight = 0;
  replica->oldest_sent_us = 0;
  count_attempts (&target->running, host, true, replica);
  count_attempts (&target->waiting, host, false, replica);
}

/* Returns TRUE if another replica of a target's shard runs nothing. */
static bool
has_idle_replica (const jd_load_sim_t *sim, const jd_load_target_t *target)
{
  uint32_t first = (uint32_t)(target - sim->targets) / sim->load->replicas;
  for (uint32_t i = 0; i < sim->load->replicas; i++)
    {
      const jd_load_target_t *other = &sim->targets[first * sim->load->replicas + i];
      if (other != target && !other->dead && other->running.length == 0)
        return true;
    }
  return false;
}

/* Fanout action: starts an attempt at its target, queues it, or sheds it if the queue is
 * full. */
static bool
send_attempt (void *context, uint32_t part, uint32_t number, jd_replica_t *replica)
{
  jd_load_search_t *search = context;
  jd_load_sim_t *sim = search->sim;
  jd_load_target_t *target = target_of (sim, replica);
  jd_rng_t rng = jd_philox_rng (&sim->random);
  jd_load_attempt_t *attempt = g_new0 (jd_load_attempt_t, 1);
  attempt->search = search;
  attempt->part = part;
  attempt->number = number;
  attempt->sent_us = sim->now_us;
  attempt->work_us = (int64_t)((double)draw_work_us (sim, sim->load->work_ms) *
                               (sim->now_us >= sim->load->slow_from_ms * JD_US_PER_MS
                                    ? target->work_factor
                                    : 1.0));
  attempt->fails = jd_rng_unit (&rng) < sim->load->fail_share;
  int64_t told_us = target->told_leaving_us[search->host];
  if (told_us > 0 && sim->now_us - told_us > replica->drain_limit_us)
    sim->result.attempts_after_leaving++;
  if (sim->now_us < target->asked_pause_until_us[search->host])
    sim->result.attempts_in_pauses++;
  attempt->work_us = (int64_t)((double)attempt->work_us * target->speed_factor);
  search->open_attempts++;
  if (number == 0)
    {
      sim->result.first_attempts++;
      target->window_attempts++;
    }
  else
    {
      uint32_t ms = (uint32_t)(sim->now_us / JD_US_PER_MS);
      sim->result.extra_attempts++;
      g_array_append_val (sim->extra_sent_ms[part], ms);
    }
  bool is_rejecting =
      target->rejects && sim->now_us >= sim->load->reject_from_ms * JD_US_PER_MS &&
      sim->now_us < (sim->load->reject_from_ms + sim->load->reject_for_ms) * JD_US_PER_MS;
  if (is_rejecting && jd_rng_unit (&rng) < sim->load->reject_share)
    g_queue_push_tail (&target->rejected, attempt);
  else if (target->running.length < sim->load->slots)
    g_queue_push_tail (&target->running, attempt);
  else if (sim->load->max_queue_length == 0 ||
           target->waiting.length < sim->load->max_queue_length)
    {
      g_queue_push_tail (&target->waiting, attempt);
      sim->result.waits_beside_idle += has_idle_replica (sim, target);
    }
  else
    g_queue_push_tail (&target->shed, attempt);
  update_attempt_counts (target, search->host);
  return true;
}

/* Fanout action: records the end of the search. */
static void
finish_search (void *context, jd_fanout_verdict_t verdict)
{
  jd_load_search_t *search = context;
  search->end_us = search->sim->now_us;
  search->verdict = verdict;
}

/* Applies what a target says about itself in an answer to a host. */
static void
apply_notice (jd_load_sim_t *sim, jd_load_target_t *target, uint32_t host,
              jd_replica_outcome_t outcome)
{
  jd_target_notice_t *notice = target->replicas[host]->notice;
  if (target->leaves && sim->now_us >= sim->load->leaving_from_ms * JD_US_PER_MS)
    {
      jd_target_notice_set_leaving (notice, sim->now_us);
      if (target->told_leaving_us[host] == 0)
        target->told_leaving_us[host] = sim->now_us;
    }
  if (outcome != JD_REPLICA_SHED || sim->load->pause_asked_ms == 0)
    return;
  int64_t pause_us = sim->load->pause_asked_ms * JD_US_PER_MS;
  jd_rng_t rng = jd_philox_rng (&sim->random);
  jd_target_notice_set_pause (notice, pause_us, jd_rng_unit (&rng), sim->now_us);
  target->asked_pause_until_us[host] = sim->now_us + pause_us;
}

/* Applies the outcome of an attempt to its replica and its search; frees the attempt. */
static void
end_attempt (jd_load_sim_t *sim, jd_load_target_t *target, jd_load_attempt_t *attempt,
             jd_replica_outcome_t outcome)
{
  int64_t elapsed_us = sim->now_us - attempt->sent_us;
  apply_notice (sim, target, attempt->search->host, outcome);
  jd_replica_record_load (target->replicas[attempt->search->host], target->running.length,
                          target->waiting.length, sim->load->slots, sim->now_us);
  jd_load_report_t report = {
    .running = target->running.length,
    .waiting = target->waiting.length,
    .slots = sim->load->slots,
    .work_percent =
        sim->load->uneven_speed ? (uint32_t)(target->speed_factor * 100.0) : 0,
  };
  if (sim->load->use_mean_load)
    jd_target_load_record (&target->replicas[attempt->search->host]->mean_load, &report,
                           sim->now_us);
  jd_route_latency_t *latency = sim->hosts[attempt->search->host].route->latency;
  jd_replica_observe (target->replicas[attempt->search->host], outcome, elapsed_us,
                      (int64_t)latency->median_us, sim->now_us);
  if (outcome == JD_REPLICA_OK)
    jd_route_latency_record (latency, elapsed_us);
  attempt->search->open_attempts--;
  if (attempt->search->end_us == 0)
    jd_fanout_end_attempt (
        attempt->search->fanout, attempt->part, attempt->number, outcome,
        outcome != JD_REPLICA_SHED && outcome != JD_REPLICA_REJECTED, sim->now_us);
  g_free (attempt);
}

/* Returns true if the attempt's host has closed its connection, so that the target drops
 * it. */
static bool
is_connection_closed (const jd_load_sim_t *sim, const jd_load_attempt_t *attempt)
{
  int64_t end_us = attempt->search->end_us;
  return end_us > 0 && sim->now_us - end_us >= ABANDONED_CLOSE_DELAY_US;
}

/* Dequeues the next waiting attempt whose connection is open, or returns NULL; frees
 * those whose connection is closed. */
static jd_load_attempt_t *
next_waiting (jd_load_sim_t *sim, jd_load_target_t *target)
{
  jd_load_attempt_t *attempt = NULL;
  while ((attempt = g_queue_pop_head (&target->waiting)) &&
         is_connection_closed (sim, attempt))
    {
      attempt->search->open_attempts--;
      g_free (attempt);
    }
  return attempt;
}

/* Refuses the attempts for which the queue of a target was full, and those that it
 * rejects for no reason. */
static void
shed_attempts (jd_load_sim_t *sim, jd_load_target_t *target)
{
  for (guint i = target->shed.length; i > 0; i--)
    end_attempt (sim, target, g_queue_pop_head (&target->shed), JD_REPLICA_SHED);
  for (guint i = target->rejected.length; i > 0; i--)
    end_attempt (sim, target, g_queue_pop_head (&target->rejected),
                 sim->load->learn_rejections ? JD_REPLICA_REJECTED : JD_REPLICA_SHED);
}

/* Advances the running attempts of a target by a millisecond, unless it pauses. */
static void
step_target (jd_load_sim_t *sim, jd_load_target_t *target)
{
  const jd_search_load_t *load = sim->load;
  int64_t pause_interval_us = load->pause_interval_ms * JD_US_PER_MS;
  shed_attempts (sim, target);
  if (target->dead ||
      (load->pause_ms > 0 && (sim->now_us + target->pause_offset_us) % pause_interval_us <
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
      jd_load_attempt_t *waiting = next_waiting (sim, target);
      if (waiting)
        g_queue_push_tail (&target->running, waiting);
      update_attempt_counts (target, attempt->search->host);
      end_attempt (sim, target, attempt,
                   attempt->fails ? JD_REPLICA_ERROR : JD_REPLICA_OK);
    }
}

/* Adds a target to the registry of a host and, as the first of its shard, to the route.
 * Returns its replica there, which the registry owns. */
static jd_replica_t *
add_target (jd_load_sim_t *sim, uint32_t host, uint32_t number)
{
  const jd_search_load_t *load = sim->load;
  char id[16], service[16];
  g_snprintf (id, sizeof (id), "t%u", number);
  g_snprintf (service, sizeof (service), "s%u", number / load->replicas);
  jd_replica_spec_t spec = {
    .id = id, .service = service, .zone = number % 2 ? "b" : "a", .slots = 2
  };
  jd_load_host_t *self = &sim->hosts[host];
  jd_replica_registry_put (self->registry, &spec, 1);
  jd_replica_pool_t *pool = jd_replica_registry_pool (self->registry, service);
  jd_replica_t *replica = NULL;
  for (guint k = 0; k < pool->replicas->len; k++)
    {
      jd_replica_t *listed = pool->replicas->pdata[k];
      if (g_strcmp0 (listed->id, id) == 0)
        replica = listed;
    }
  g_assert (replica);
  replica->idle_connections = 1;
  if (number % load->replicas == 0)
    jd_route_add_part (self->route, pool, 1.0);
  else
    jd_replica_pool_unref (pool);
  return replica;
}

/* Creates a host without targets. */
static void
create_host (jd_load_sim_t *sim, uint32_t host)
{
  jd_replica_events_t events = { ignore_replica, ignore_replica, NULL };
  const jd_search_load_t *load = sim->load;
  jd_load_host_t *self = &sim->hosts[host];
  self->registry = jd_replica_registry_new ("a", &events);
  jd_replica_registry_set_learns_rejections (self->registry, load->learn_rejections);
  self->table = jd_route_table_new (1);
  self->route = jd_route_table_add_route (self->table, "search", "h", "/");
  self->route->kind = JD_ROUTE_SCATTER;
  self->route->idempotent = true;
  self->route->max_attempts = load->single_attempt ? 1 : 2;
  self->route->min_coverage = load->min_coverage;
  self->route->objective_us = load->objective_ms * JD_US_PER_MS;
  self->route->timeout_us = load->deadline_ms * JD_US_PER_MS;
}

/* Creates targets, their services and the route over them. */
static void
create_sim (jd_load_sim_t *sim, const jd_search_load_t *load)
{
  jd_rng_t rng = jd_philox_rng (&sim->random);
  sim->load = load;
  sim->random.seed = load->seed;
  sim->host_count = CLAMP (load->hosts, 1, HOSTS_MAX);
  for (uint32_t h = 0; h < sim->host_count; h++)
    create_host (sim, h);
  uint32_t count = load->shards * load->replicas;
  sim->targets = g_new0 (jd_load_target_t, (gsize)count);
  for (uint32_t i = 0; i < count; i++)
    {
      jd_load_target_t *target = &sim->targets[i];
      for (uint32_t h = 0; h < sim->host_count; h++)
        target->replicas[h] = add_target (sim, h, i);
      /* At most one target of a shard is slow or leaves, so that with several replicas a
       * good one remains. */
      bool is_faulty_replica =
          i % load->replicas == (i / load->replicas) % load->replicas;
      bool is_slow =
          is_faulty_replica &&
          jd_rng_below (&rng, 100) < (uint64_t)load->slow_percent * load->replicas;
      target->work_factor = is_slow ? load->slow_factor : 1.0;
      target->speed_factor = load->uneven_speed ? 0.8 + 0.5 * jd_rng_unit (&rng) : 1.0;
      target->dead = i / load->replicas < load->dead_shards;
      if (load->rejecting_percent > 0)
        target->rejects = jd_rng_below (&rng, 100) < load->rejecting_percent;
      if (load->leaving_percent > 0)
        target->leaves =
            is_faulty_replica &&
            jd_rng_below (&rng, 100) < (uint64_t)load->leaving_percent * load->replicas;
      target->pause_offset_us =
          (int64_t)jd_rng_below (&rng, load->pause_interval_ms + 1) * JD_US_PER_MS;
    }
  for (uint32_t h = 0; h < sim->host_count; h++)
    jd_route_table_finish (sim->hosts[h].table, NULL);
  sim->searches = g_new0 (jd_load_search_t, SEARCHES_MAX);
  sim->extra_sent_ms = g_new0 (GArray *, load->shards);
  for (uint32_t i = 0; i < load->shards; i++)
    sim->extra_sent_ms[i] = g_array_new (FALSE, FALSE, sizeof (uint32_t));
}

/* Reports the end of a search, and schedules a retry if its caller has retries and time
 * left. */
static void
report_end (jd_load_sim_t *sim, jd_search_end_t *end, const jd_load_arrival_t *arrival,
            int64_t retry_after_us)
{
  const jd_search_load_t *load = sim->load;
  end->first_sent_ms = (uint32_t)(arrival->first_sent_us / JD_US_PER_MS);
  end->latency_ms = (uint32_t)((sim->now_us - arrival->first_sent_us) / JD_US_PER_MS);
  end->organisation = arrival->organisation;
  end->in_objective = end->answered && end->latency_ms <= load->objective_ms;
  int64_t send_at_us = sim->now_us + retry_after_us;
  end->is_last = end->answered || end->abandoned || arrival->retries_left == 0 ||
                 send_at_us - arrival->first_sent_us >= load->deadline_ms * JD_US_PER_MS;
  if (load->on_end)
    load->on_end (load->context, end);
  if (end->is_last)
    return;
  jd_load_arrival_t *next = g_new0 (jd_load_arrival_t, 1);
  *next = *arrival;
  next->send_at_us = send_at_us;
  next->retries_left--;
  g_queue_push_tail (&sim->retry_queue, next);
}

/* Returns the arrival that a retry of the search starts from. */
static jd_load_arrival_t
arrival_of (const jd_load_search_t *search)
{
  return (jd_load_arrival_t){
    .first_sent_us = search->first_sent_us,
    .organisation = search->organisation,
    .retries_left = search->retries_left,
    .leaves_early = search->leave_us > 0,
  };
}

/* Reports the end of a search that had been admitted. */
static void
report_fanout_end (jd_load_sim_t *sim, jd_load_search_t *search)
{
  jd_load_arrival_t arrival = arrival_of (search);
  jd_search_end_t end = {
    .parts = search->fanout->part_count,
    .answered_parts = search->fanout->done_count,
    .answered =
        search->verdict == JD_FANOUT_COMPLETE || search->verdict == JD_FANOUT_PARTIAL,
    .abandoned = search->leave_us > 0 && search->end_us >= search->leave_us,
  };
  search->is_reported = true;
  report_end (sim, &end, &arrival, 0);
}

/* Starts a search, unless the rate limit of its organisation or the admission gate of the
 * host refuses it. */
static void
start_search (jd_load_sim_t *sim, const jd_load_arrival_t *arrival)
{
  if (sim->result.searches >= SEARCHES_MAX)
    return;
  jd_rng_t rng = jd_philox_rng (&sim->random);
  uint32_t host = 0;
  if (sim->host_count > 1)
    host = (uint32_t)jd_rng_below (&rng, sim->host_count);
  int64_t retry_after_us = 0;
  if (!jd_search_callers_admit (sim->callers, arrival->organisation, host, sim->now_us,
                                &retry_after_us))
    {
      jd_search_end_t end = { .refused = true };
      report_end (sim, &end, arrival, retry_after_us);
      return;
    }
  jd_route_latency_t *latency = sim->hosts[host].route->latency;
  if (!sim->load->admit_all &&
      !jd_admission_gate_admits (&latency->gate,
                                 jd_admission_gate_share (&latency->gate, sim->now_us)))
    {
      jd_search_end_t end = { .refused = true };
      sim->result.refused_by_gate++;
      report_end (sim, &end, arrival, sim->load->objective_ms * JD_US_PER_MS);
      return;
    }
  jd_load_search_t *search = &sim->searches[sim->result.searches++];
  search->sim = sim;
  search->host = host;
  search->start_us = sim->now_us;
  search->first_sent_us = arrival->first_sent_us;
  search->organisation = arrival->organisation;
  search->retries_left = arrival->retries_left;
  if (arrival->leaves_early)
    search->leave_us = arrival->first_sent_us + sim->load->leave_ms * JD_US_PER_MS;
  const jd_route_t *route = sim->hosts[search->host].route;
  jd_fanout_request_t request = {
    .route = route,
    .parts = (jd_route_part_t *)(void *)route->parts->data,
    .part_count = route->parts->len,
    .deadline_us = sim->now_us + route->timeout_us,
    .caller_path = { .round_trip_us = sim->load->round_trip_us > 0
                                          ? sim->load->round_trip_us
                                          : NEAR_ROUND_TRIP_US,
                     .is_new = sim->load->new_connections },
    .salt = sim->result.searches * 977,
  };
  jd_fanout_actions_t actions = { .send = send_attempt,
                                  .finish = finish_search,
                                  .context = search };
  search->fanout = jd_fanout_new (&request, &actions, sim->now_us);
  if (sim->load->learn_rejections &&
      jd_fanout_expected_parts (search->fanout, sim->now_us) <
          search->fanout->needed_parts)
    {
      jd_search_end_t end = { .refused = true };
      jd_fanout_free (search->fanout);
      *search = (jd_load_search_t){ 0 };
      sim->result.searches--;
      sim->result.refused_as_scarce++;
      report_end (sim, &end, arrival, sim->load->objective_ms * JD_US_PER_MS);
      return;
    }
  jd_fanout_start (search->fanout, sim->now_us);
  search->wake_us = jd_fanout_tick (search->fanout, sim->now_us);
}

/* Delivers the target hints of each host to every other host. */
static void
exchange_hints (jd_load_sim_t *sim)
{
  for (uint32_t from = 0; from < sim->host_count; from++)
    {
      jd_target_hint_t hints[HINTS_MAX];
      uint32_t count = jd_target_hints_collect (sim->hosts[from].registry, hints,
                                                HINTS_MAX, sim->now_us);
      for (uint32_t to = 0; to < sim->host_count; to++)
        {
          if (to != from)
            jd_target_hints_apply (sim->hosts[to].registry, hints, count, sim->now_us);
        }
    }
}

/* Pool visitor: gives a host its share of the extra attempts at a shard. context is the
 * simulation. */
static void
refill_extra_budget (void *context, jd_replica_pool_t *pool)
{
  const jd_load_sim_t *sim = context;
  jd_extra_slack_t slack = { .slack = sim->load->extra_slack,
                             .window_us = EXTRA_WINDOW_MS * JD_US_PER_MS,
                             .hosts = sim->host_count,
                             .live_hosts = sim->host_count,
                             .has_full_window = true };
  jd_extra_shares_t shares = jd_extra_shares (&slack);
  jd_hedge_budget_set_slack (&pool->host_budget, shares.slack_per_s, shares.reserve);
  jd_hedge_budget_refill (&pool->host_budget, sim->now_us);
  jd_extra_budget_set_limit (&pool->shared_budget, shares.borrow_limit, slack.window_us);
  jd_extra_budget_set_window (&pool->shared_budget, shares.window_slack,
                              shares.requesting_hosts);
}

/* Delivers the state messages of each host to every other host: extra attempts, and
 * targets that reject requests. */
static void
exchange_states (jd_load_sim_t *sim)
{
  for (uint32_t from = 0; from < sim->host_count; from++)
    {
      jd_replica_registry_t *registry = sim->hosts[from].registry;
      jd_extra_report_t extras[HINTS_MAX];
      jd_rejection_report_t rejections[HINTS_MAX];
      uint32_t extra_count = jd_extra_reports_collect (registry, extras, HINTS_MAX);
      uint32_t rejection_count =
          jd_rejection_reports_collect (registry, rejections, HINTS_MAX);
      for (uint32_t to = 0; to < sim->host_count; to++)
        {
          if (to == from)
            continue;
          jd_extra_reports_apply (sim->hosts[to].registry, extras, extra_count,
                                  sim->now_us);
          jd_rejection_reports_apply (sim->hosts[to].registry, rejections,
                                      rejection_count, sim->now_us);
        }
      jd_replica_registry_each_pool (registry, refill_extra_budget, sim);
    }
}

/* Adds the balance of the shards in the last window to the sum of all windows; count is
 * their number. */
static void
measure_balance (jd_load_sim_t *sim, uint32_t *count)
{
  uint32_t replicas = sim->load->replicas;
  for (uint32_t shard = 0; shard < sim->load->shards; shard++)
    {
      uint32_t sum = 0, most = 0;
      for (uint32_t i = 0; i < replicas; i++)
        {
          jd_load_target_t *target = &sim->targets[shard * replicas + i];
          sum += target->window_attempts;
          most = MAX (most, target->window_attempts);
          target->window_attempts = 0;
        }
      if (sum < BALANCE_ATTEMPTS_MIN)
        continue;
      sim->result.busiest_over_mean += (double)most * replicas / sum;
      (*count)++;
    }
}

/* Returns the most extra attempts at a shard within EXTRA_WINDOW_MS, and frees the lists.
 */
static uint32_t
count_extra_attempts (jd_load_sim_t *sim)
{
  uint32_t most = 0;
  for (uint32_t i = 0; i < sim->load->shards; i++)
    {
      const GArray *sent_ms = sim->extra_sent_ms[i];
      guint first = 0;
      for (guint k = 0; k < sent_ms->len; k++)
        {
          while (g_array_index (sent_ms, uint32_t, k) -
                     g_array_index (sent_ms, uint32_t, first) >=
                 EXTRA_WINDOW_MS)
            first++;
          most = MAX (most, k - first + 1);
        }
      g_array_free (sim->extra_sent_ms[i], TRUE);
    }
  g_free (sim->extra_sent_ms);
  return most;
}

/* Ends a search that its caller has abandoned. */
static void
abandon_search (jd_load_sim_t *sim, jd_load_search_t *search)
{
  search->fanout->finished = true;
  search->end_us = sim->now_us;
  search->verdict = JD_FANOUT_TIMED_OUT;
}

/* Runs the timers of all open searches, and reports those that have ended. */
static void
step_searches (jd_load_sim_t *sim)
{
  uint32_t count = sim->result.searches;
  for (uint32_t i = 0; i < count; i++)
    {
      jd_load_search_t *search = &sim->searches[i];
      if (search->end_us == 0 && search->leave_us > 0 && search->leave_us <= sim->now_us)
        abandon_search (sim, search);
      if (search->end_us == 0)
        search->wake_us = jd_fanout_tick (search->fanout, sim->now_us);
      if (search->end_us > 0 && !search->is_reported)
        report_fanout_end (sim, search);
    }
}

/* Starts the searches of new callers, and the retries that are due. */
static void
step_callers (jd_load_sim_t *sim, uint32_t ms, const jd_rng_t *rng)
{
  const jd_search_load_t *load = sim->load;
  double searches_per_ms = jd_search_callers_searches_per_s (load, ms) / 1000.0;
  if (ms <= load->duration_ms && jd_rng_unit (rng) < searches_per_ms)
    {
      jd_load_arrival_t arrival = {
        .first_sent_us = sim->now_us,
        .organisation = jd_search_callers_pick_organisation (sim->callers, ms),
        .retries_left = load->retries,
        .leaves_early = jd_search_callers_leaves_early (sim->callers),
      };
      start_search (sim, &arrival);
    }
  /* A search that is refused again is appended to the queue and not looked at in this
   * step. */
  for (guint i = sim->retry_queue.length; i > 0; i--)
    {
      jd_load_arrival_t *arrival = g_queue_pop_head (&sim->retry_queue);
      if (arrival->send_at_us > sim->now_us)
        {
          g_queue_push_tail (&sim->retry_queue, arrival);
          continue;
        }
      start_search (sim, arrival);
      g_free (arrival);
    }
}

/* Resets the state of all targets at all hosts, so that hosts choose without it. */
static void
reset_target_state (jd_load_sim_t *sim)
{
  for (uint32_t i = 0; i < sim->load->shards * sim->load->replicas; i++)
    {
      for (uint32_t h = 0; h < sim->host_count; h++)
        {
          jd_replica_t *replica = sim->targets[i].replicas[h];
          replica->latency_ratio = 1.0;
          replica->failure_share = 0.0;
          replica->ejected_until_us = 0;
          replica->in_flight = 0;
          replica->oldest_sent_us = 0;
          replica->local_zone = true;
        }
    }
}

/* Returns the latency of one more attempt at a target now, with pauses. */
static int64_t
true_latency_us (const jd_load_sim_t *sim, const jd_load_target_t *target)
{
  const jd_search_load_t *load = sim->load;
  if (target->dead)
    return load->deadline_ms * JD_US_PER_MS;
  bool is_slow = sim->now_us >= load->slow_from_ms * JD_US_PER_MS;
  double work_us =
      load->work_ms * (double)JD_US_PER_MS * (is_slow ? target->work_factor : 1.0);
  uint32_t attempts_ahead = target->running.length + target->waiting.length;
  double wait_us = work_us * (1.0 + floor ((double)attempts_ahead / load->slots));
  int64_t pause_interval_us = load->pause_interval_ms * JD_US_PER_MS;
  int64_t since_pause_us =
      pause_interval_us ? (sim->now_us + target->pause_offset_us) % pause_interval_us : 0;
  int64_t pause_us = load->pause_ms * JD_US_PER_MS;
  if (since_pause_us < pause_us)
    wait_us += (double)(pause_us - since_pause_us);
  else if (pause_interval_us && since_pause_us + (int64_t)wait_us > pause_interval_us)
    wait_us += (double)pause_us;
  return (int64_t)wait_us;
}

/* Sets the latency ratio of all targets at all hosts from their true latency. */
static void
set_true_target_state (jd_load_sim_t *sim)
{
  for (uint32_t i = 0; i < sim->load->shards * sim->load->replicas; i++)
    {
      const jd_load_target_t *target = &sim->targets[i];
      int64_t wait_us = true_latency_us (sim, target);
      for (uint32_t h = 0; h < sim->host_count; h++)
        {
          double typical_latency_us = sim->hosts[h].route->latency->median_us;
          target->replicas[h]->latency_ratio =
              (double)wait_us / MAX (typical_latency_us, 1.0);
          target->replicas[h]->in_flight = 0;
          target->replicas[h]->oldest_sent_us = 0;
        }
    }
}

/* Computes the result from all searches, and frees their fanouts. */
static void
compute_result (jd_load_sim_t *sim)
{
  jd_search_result_t *result = &sim->result;
  for (uint32_t i = 0; i < result->searches; i++)
    {
      const jd_load_search_t *search = &sim->searches[i];
      int64_t took_us = search->end_us - search->start_us;
      bool answered = search->end_us > 0 && (search->verdict == JD_FANOUT_COMPLETE ||
                                             search->verdict == JD_FANOUT_PARTIAL);
      result->answered += answered;
      const jd_route_t *route = sim->hosts[search->host].route;
      int64_t path_us =
          (sim->load->new_connections ? 2 : 1) * (int64_t)sim->load->round_trip_us;
      result->in_objective += answered && took_us + path_us <= route->objective_us;
      result->complete += answered && search->verdict == JD_FANOUT_COMPLETE;
      result->missed_deadlines +=
          search->end_us == 0 || took_us > route->timeout_us + JD_US_PER_MS;
      for (uint32_t p = 0; p < search->fanout->part_count; p++)
        result->max_attempts_per_part =
            MAX (result->max_attempts_per_part, search->fanout->parts[p].attempt_count);
      jd_fanout_free (search->fanout);
    }
}

/* Simulates a load in steps of 1 ms until all searches have reached their deadline. */
jd_search_result_t
jd_search_load_run (const jd_search_load_t *load)
{
  jd_load_sim_t sim = { 0 };
  create_sim (&sim, load);
  sim.callers = jd_search_callers_new (load, sim.host_count);
  jd_rng_t rng = jd_philox_rng (&sim.random);
  uint32_t balance_count = 0;
  for (uint32_t ms = 1; ms <= load->duration_ms + load->deadline_ms + 2; ms++)
    {
      sim.now_us = ms * JD_US_PER_MS;
      if (load->oracle)
        set_true_target_state (&sim);
      if (load->ignore_target_state)
        reset_target_state (&sim);
      step_callers (&sim, ms, &rng);
      for (uint32_t i = 0; i < load->shards * load->replicas; i++)
        step_target (&sim, &sim.targets[i]);
      step_searches (&sim);
      if (load->send_hints && ms % HINT_INTERVAL_MS == 0)
        exchange_hints (&sim);
      if (ms % BALANCE_WINDOW_MS == 0)
        measure_balance (&sim, &balance_count);
      if (load->extra_slack > 0 && ms % STATE_INTERVAL_MS == 1)
        exchange_states (&sim);
      if (ms % HINT_INTERVAL_MS == 0)
        jd_search_callers_exchange_reports (sim.callers, sim.now_us);
    }
  compute_result (&sim);
  sim.result.busiest_over_mean /= MAX (balance_count, 1);
  sim.result.max_extra_attempts = count_extra_attempts (&sim);
  for (uint32_t i = 0; i < load->shards * load->replicas; i++)
    {
      g_queue_clear_full (&sim.targets[i].running, g_free);
      g_queue_clear_full (&sim.targets[i].waiting, g_free);
      g_queue_clear_full (&sim.targets[i].shed, g_free);
      g_queue_clear_full (&sim.targets[i].rejected, g_free);
    }
  for (uint32_t h = 0; h < sim.host_count; h++)
    {
      jd_route_table_unref (sim.hosts[h].table);
      jd_replica_registry_free (sim.hosts[h].registry);
    }
  g_queue_clear_full (&sim.retry_queue, g_free);
  jd_search_callers_free (sim.callers);
  g_free (sim.targets);
  g_free (sim.searches);
  return sim.result;
}
