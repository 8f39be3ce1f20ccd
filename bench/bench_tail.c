/* Tail latency, extra load and goodput of the routing policies, in a discrete-event
 * simulation of real entry and broker cores over model targets. The same seed gives all
 * policies the same arrivals and, for each request, shard and replica, the same service
 * time.
 * Usage: bench_tail [tail|bound|overload|cold] [QUERIES] [SEED] [TABLE], where TABLE (1
 * to 4) selects one table of the part "tail". */

#include <gsl/gsl_cdf.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "model/tier.h"

#define ENTRIES 9
#define BROKERS 9
#define REPLICAS 2
#define SLOTS 2
#define DEADLINE_MS 60

/* Network time from the caller to the entry and back; see docs/design.md section 1.6. */
#define CALLER_ROUND_TRIP_US 2000

/* Service times are lognormal. */
#define SERVICE_MEDIAN_US 3000.0
#define SERVICE_SIGMA 0.35

/* Stragglers: single slow requests, and periods in which a whole target is slow. */
typedef struct straggler_model
{
  const char *name;
  double slow_request_fraction; /* Of all requests. */
  double slow_request_factor;   /* On the service time. */
  double slow_target_fraction;  /* Of the periods of a target. */
  double slow_target_factor;    /* On the service time. */
  int64_t slow_period_us;       /* Length of one period, slow or not. */
} straggler_model_t;

static const straggler_model_t straggler_models[] = {
  { "slow targets", 0.0, 1.0, 0.002, 6.0, 30 * JD_US_PER_MS },
  { "slow requests", 0.005, 10.0, 0.0, 1.0, JD_US_PER_S },
};

/* One way of choosing replicas and of sending extra attempts. */
typedef struct policy
{
  const char *name;
  jd_replica_policy_t replica_policy;
  jd_hedge_mode_t hedge_mode;
  gboolean allow_busy_refusal;
  gboolean uses_oracle;    /* Chooses by a plan of every slot; see choose_oracle (). */
  gboolean plans_by_start; /* The oracle ignores the service time of the new request. */
} policy_t;

static const policy_t policies[] = {
  { "random", JD_REPLICA_RANDOM, JD_HEDGE_NONE, FALSE, FALSE },
  { "round robin", JD_REPLICA_ROUND_ROBIN, JD_HEDGE_NONE, FALSE, FALSE },
  { "least in flight", JD_REPLICA_LEAST_IN_FLIGHT, JD_HEDGE_NONE, FALSE, FALSE },
  { "fixed 10 ms hedge", JD_REPLICA_LEAST_IN_FLIGHT, JD_HEDGE_FIXED, FALSE, FALSE },
  { "no hedge", JD_REPLICA_EARLIEST, JD_HEDGE_NONE, TRUE, FALSE },
  { "no bounce", JD_REPLICA_EARLIEST, JD_HEDGE_QUANTILE, FALSE, FALSE },
  { "least and bounce", JD_REPLICA_LEAST_IN_FLIGHT, JD_HEDGE_QUANTILE, TRUE, FALSE },
  { "chosen", JD_REPLICA_EARLIEST, JD_HEDGE_QUANTILE, TRUE, FALSE },
  { "known queues", JD_REPLICA_EARLIEST, JD_HEDGE_NONE, FALSE, TRUE, TRUE },
  { "oracle", JD_REPLICA_EARLIEST, JD_HEDGE_NONE, FALSE, TRUE, FALSE },
};

#define POLICY_COUNT ((int)(sizeof (policies) / sizeof (policies[0])))
#define POLICY_CHOSEN (POLICY_COUNT - 3)
#define POLICY_ORACLE (POLICY_COUNT - 1)

/* One search of a caller, with its resubmissions after a refusal. */
typedef struct call
{
  uint32_t number;
  uint32_t submissions;
  int64_t arrived_us; /* Simulation time of the first submission. */
} call_t;

/* One simulation of one policy at one load. */
typedef struct run
{
  jd_model_fleet_t *fleet;
  uint64_t seed;
  const straggler_model_t *stragglers;
  jd_philox_t arrivals;
  double mean_gap_us;
  uint32_t query_count;
  uint32_t next_number;
  uint32_t caller_retries;
  call_t *calls;
  gboolean plans_by_start;
  uint32_t planned_call; /* The call that the oracle is planning. */
  int64_t *slot_free_us; /* Plan of the oracle, by target and slot. */
  uint32_t warmup_calls; /* First calls, which the results exclude. */
  double *latencies_ms;
  uint32_t latency_count;
  double coverage_sum;
  uint32_t full_count;
  uint32_t partial_count;
  uint32_t refused_count;
  int64_t refusal_us_sum;
  uint64_t warmup_first_attempts;
  uint64_t warmup_extra_attempts;
} run_t;

/* Result of one simulation. */
typedef struct summary
{
  double p50_ms;
  double p99_ms;
  double p999_ms;
  double coverage;
  double extra_fraction; /* Extra attempts per first attempt. */
  double goodput_per_s;  /* Full answers. */
  double refused_fraction;
  double refusal_ms;         /* Mean time from arrival to the last refusal. */
  double messages_per_query; /* Work messages. */
} summary_t;

/* Returns a random number in (0, 1) that depends on the arguments only. */
static double
random_unit (uint64_t seed, uint64_t stream, uint64_t counter)
{
  jd_philox_t state = { .seed = seed, .stream = stream, .counter = counter };
  jd_rng_t rng = jd_philox_rng (&state);
  return (jd_rng_unit (&rng) * 0.999999) + 5e-7;
}

/* Returns TRUE if a target is in a slow period. */
static gboolean
is_slow (const run_t *run, uint32_t target, int64_t now_us)
{
  const straggler_model_t *model = run->stragglers;
  uint64_t period = (uint64_t)(now_us / model->slow_period_us);
  return model->slow_target_fraction > 0 &&
         random_unit (run->seed, 1000 + target, period) < model->slow_target_fraction;
}

/* Returns the service time of a call at a target. */
static int64_t
draw_service_time_us (const run_t *run, uint32_t number, uint32_t target, int64_t now_us)
{
  const straggler_model_t *model = run->stragglers;
  uint64_t stream = 100000 + target;
  double time_us = SERVICE_MEDIAN_US *
                   exp (SERVICE_SIGMA * gsl_cdf_ugaussian_Pinv (random_unit (
                                            run->seed, stream, 2 * (uint64_t)number)));
  if (random_unit (run->seed, stream, 2 * (uint64_t)number + 1) <
      model->slow_request_fraction)
    time_us *= model->slow_request_factor;
  if (is_slow (run, target, now_us))
    time_us *= model->slow_target_factor;
  return (int64_t)time_us;
}

/* Fleet callback: returns the service time of a request. */
static int64_t
service_us (void *context, const jd_model_request_t *request)
{
  const run_t *run = context;
  uint32_t target = (uint32_t)(request->target - run->fleet->targets);
  uint32_t number = (uint32_t)g_ascii_strtoull (request->text, NULL, 10);
  return draw_service_time_us (run, number, target, jd_sim_now_us (run->fleet->sim));
}

/* Fleet callback: this simulation does not count executions. */
static void
on_execute (void *context, const jd_model_request_t *request, uint32_t load,
            uint32_t capacity)
{
}

/* Returns the one-way delay from the entry of the planned call to a target. */
static int64_t
entry_to_target_us (const run_t *run, uint32_t target)
{
  const jd_model_network_t *network = &run->fleet->options.network;
  uint32_t entry = run->planned_call % ENTRIES;
  gboolean local = entry % 3 == run->fleet->targets[target].zone;
  return (local ? network->same_zone_hop_us : network->cross_zone_hop_us) +
         network->target_hop_us;
}

/* Returns the slot of a target that becomes free first in the plan of the oracle. */
static int64_t *
earliest_slot (const run_t *run, uint32_t target)
{
  int64_t *slots = &run->slot_free_us[(gsize)target * SLOTS];
  return slots[0] <= slots[1] ? &slots[0] : &slots[1];
}

/* The oracle: chooses the replica at which the request ends first (or starts first, if it
 * ignores the service time of the new request), by the true service times and a plan of
 * every slot. */
static int32_t
choose_oracle (void *context, const jd_shard_t *shard, const int32_t *index,
               uint32_t count)
{
  run_t *run = context;
  int64_t now_us = jd_sim_now_us (run->fleet->sim);
  int32_t best = index[0];
  int64_t best_end_us = INT64_MAX;
  int64_t best_free_us = 0;
  uint32_t best_target = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      const char *id = shard->replicas[index[i]]->id;
      uint32_t target = (uint32_t)g_ascii_strtoull (id + 1, NULL, 10);
      int64_t arrive_us = now_us + entry_to_target_us (run, target);
      int64_t start_us = MAX (arrive_us, *earliest_slot (run, target));
      int64_t free_us =
          start_us + draw_service_time_us (run, run->planned_call, target, start_us);
      int64_t end_us =
          (run->plans_by_start ? start_us : free_us) + entry_to_target_us (run, target);
      if (end_us >= best_end_us)
        continue;
      best = index[i];
      best_end_us = end_us;
      best_free_us = free_us;
      best_target = target;
    }
  *earliest_slot (run, best_target) = best_free_us;
  return best;
}

static void submit_call (void *context, void *data);

/* Adds a finished call to the results, unless it is part of the warmup. */
static void
record_call (run_t *run, const call_t *call, const jd_answer_t *answer)
{
  if (call->number < run->warmup_calls)
    return;
  int64_t now_us = jd_sim_now_us (run->fleet->sim);
  if (answer->ran == JD_RAN_NO)
    {
      run->refused_count++;
      run->refusal_us_sum += now_us - call->arrived_us;
      return;
    }
  run->latencies_ms[run->latency_count++] =
      (double)(now_us - call->arrived_us + CALLER_ROUND_TRIP_US) / 1000.0;
  run->coverage_sum += answer->coverage;
  if (answer->code == JD_OK)
    run->full_count++;
  else
    run->partial_count++;
}

/* Fleet callback: an answer. A refused caller resubmits its search after 50 ms, at most
 * caller_retries times. */
static void
on_answer (void *context, uint32_t entry, const jd_answer_t *answer)
{
  run_t *run = context;
  call_t *call = &run->calls[GPOINTER_TO_UINT (answer->user_data)];
  if (answer->ran == JD_RAN_NO && call->submissions <= run->caller_retries)
    {
      jd_sim_schedule (run->fleet->sim,
                       jd_sim_now_us (run->fleet->sim) + 50 * JD_US_PER_MS, submit_call,
                       run, call, NULL);
      return;
    }
  record_call (run, call, answer);
}

/* Event: a call, new or resubmitted, reaches an entry. */
static void
submit_call (void *context, void *data)
{
  run_t *run = context;
  call_t *call = data;
  char text[24];
  g_snprintf (text, sizeof (text), "%u", call->number);
  run->planned_call = call->number;
  if (call->submissions++ == 0)
    call->arrived_us = jd_sim_now_us (run->fleet->sim);
  jd_request_t request = { .kind = JD_WORK_SEARCH,
                           .service = "desk",
                           .text = text,
                           .limit = 10,
                           .user_data = GUINT_TO_POINTER (call->number) };
  jd_model_fleet_submit (run->fleet, call->number % ENTRIES, &request);
}

/* Event: the next arrival of the Poisson process; schedules the one after it. */
static void
on_arrival (void *context, void *data)
{
  run_t *run = context;
  call_t *call = &run->calls[run->next_number];
  call->number = run->next_number++;
  submit_call (run, call);
  if (call->number == run->warmup_calls)
    jd_model_fleet_attempt_counts (run->fleet, &run->warmup_first_attempts,
                                   &run->warmup_extra_attempts);
  if (run->next_number == run->query_count)
    return;
  jd_rng_t rng = jd_philox_rng (&run->arrivals);
  double gap_us = -log (1.0 - jd_rng_unit (&rng)) * run->mean_gap_us;
  jd_sim_schedule (run->fleet->sim, jd_sim_now_us (run->fleet->sim) + (int64_t)gap_us,
                   on_arrival, run, NULL, NULL);
}

/* Returns the mean service time of a straggler model. */
static double
mean_service_us (const straggler_model_t *model)
{
  double mean_us = SERVICE_MEDIAN_US * exp (SERVICE_SIGMA * SERVICE_SIGMA / 2);
  mean_us *= 1.0 + model->slow_request_fraction * (model->slow_request_factor - 1.0);
  return mean_us *
         (1.0 + model->slow_target_fraction * (model->slow_target_factor - 1.0));
}

/* Returns the options of a fleet with a policy. The run is the context of the oracle; if
 * it is NULL, the oracle is not used. */
static jd_model_fleet_options_t
fleet_options (uint64_t seed, uint32_t shards, int policy, run_t *run)
{
  jd_model_fleet_options_t options = {
    .seed = seed,
    .entries = ENTRIES,
    .brokers = BROKERS,
    .zones = 3,
    .shards = shards,
    .replicas = REPLICAS,
    .slots = SLOTS,
    .report_interval_us = 50 * JD_US_PER_MS,
    .deadline_ms = DEADLINE_MS,
    .hedge_quantile = 0.95,
    .hedge_budget = 0.025,
    .network = { .cross_zone_hop_us = 500,
                 .same_zone_hop_us = 100,
                 .max_jitter_us = 50,
                 .target_hop_us = 100 },
    .entry = jd_entry_settings_default (""),
    .broker = jd_broker_settings_default (),
  };
  jd_entry_settings_t *entry = &options.entry;
  entry->replica_policy = policies[policy].replica_policy;
  entry->hedge_mode = policies[policy].hedge_mode;
  entry->hedge_fixed_delay_us = 10 * JD_US_PER_MS;
  entry->allow_busy_refusal = policies[policy].allow_busy_refusal;
  if (run && policies[policy].uses_oracle)
    {
      run->plans_by_start = policies[policy].plans_by_start;
      entry->chooser = choose_oracle;
      entry->chooser_context = run;
    }
  return options;
}

/* Returns the result of a simulation; sorts its latencies. */
static summary_t
summarise (run_t *run)
{
  uint64_t first = 0;
  uint64_t extra = 0;
  jd_model_fleet_attempt_counts (run->fleet, &first, &extra);
  first -= run->warmup_first_attempts;
  extra -= run->warmup_extra_attempts;
  gsl_sort (run->latencies_ms, 1, run->latency_count);
  const double *sorted = run->latencies_ms;
  uint32_t count = run->latency_count;
  uint32_t counted = run->query_count - run->warmup_calls;
  return (summary_t){
    .p50_ms = gsl_stats_quantile_from_sorted_data (sorted, 1, count, 0.5),
    .p99_ms = gsl_stats_quantile_from_sorted_data (sorted, 1, count, 0.99),
    .p999_ms = gsl_stats_quantile_from_sorted_data (sorted, 1, count, 0.999),
    .coverage = count ? run->coverage_sum / count : 0,
    .extra_fraction = first ? (double)extra / (double)first : 0,
    .goodput_per_s = run->full_count / (counted * run->mean_gap_us / 1e6),
    .refused_fraction = (double)run->refused_count / counted,
    .messages_per_query = (double)run->fleet->work_messages / run->query_count,
    .refusal_ms = run->refused_count
                      ? (double)run->refusal_us_sum / 1000.0 / run->refused_count
                      : 0,
  };
}

/* Simulates one policy at a load, which is a fraction of the slot capacity. */
static summary_t
simulate_policy (uint64_t seed, const straggler_model_t *model, uint32_t shards,
                 int policy, double load, uint32_t queries, uint32_t caller_retries)
{
  run_t run = { .seed = seed,
                .stragglers = model,
                .arrivals = { .seed = seed, .stream = 3 },
                .mean_gap_us = mean_service_us (model) / (load * REPLICAS * SLOTS),
                .query_count = queries,
                .caller_retries = caller_retries,
                .warmup_calls = queries / 5 };
  run.calls = g_new0 (call_t, queries);
  run.latencies_ms = g_new0 (double, queries);
  run.slot_free_us = g_new0 (int64_t, (gsize)shards * REPLICAS * SLOTS);
  jd_model_fleet_options_t options = fleet_options (seed, shards, policy, &run);
  jd_model_fleet_hooks_t hooks = { service_us, on_execute, on_answer, &run };
  run.fleet = jd_model_fleet_new (&options, &hooks);
  int64_t start_us = jd_sim_now_us (run.fleet->sim) + 200 * JD_US_PER_MS;
  jd_sim_schedule (run.fleet->sim, start_us, on_arrival, &run, NULL, NULL);
  int64_t length_us = (int64_t)(run.mean_gap_us * queries * 1.1) + JD_US_PER_S;
  jd_sim_run (run.fleet->sim, start_us + length_us);
  summary_t summary = summarise (&run);
  jd_model_fleet_free (run.fleet);
  g_free (run.calls);
  g_free (run.latencies_ms);
  g_free (run.slot_free_us);
  return summary;
}

/* Prints the latency table of one straggler model and fan-out. */
static void
print_tail (uint64_t seed, const straggler_model_t *model, uint32_t shards,
            uint32_t queries)
{
  const double loads[] = { 0.30, 0.60, 0.85 };
  printf ("\nstragglers: %s, %u shards, %u queries, seed %llu\n", model->name, shards,
          queries, (unsigned long long)seed);
  printf ("%-5s %-18s %8s %8s %8s %9s %9s %8s %8s %8s\n", "load", "policy", "p50 ms",
          "p99 ms", "p99.9 ms", "coverage", "extra", "refused", "messages", "p99/oracle");
  for (unsigned i = 0; i < sizeof (loads) / sizeof (loads[0]); i++)
    {
      summary_t results[POLICY_COUNT];
      for (int p = 0; p < POLICY_COUNT; p++)
        results[p] = simulate_policy (seed, model, shards, p, loads[i], queries, 0);
      for (int p = 0; p < POLICY_COUNT; p++)
        printf ("%4.0f%% %-18s %8.2f %8.2f %8.2f %9.6f %8.2f%% %7.2f%% %8.1f %8.2f\n",
                100 * loads[i], policies[p].name, results[p].p50_ms, results[p].p99_ms,
                results[p].p999_ms, results[p].coverage, 100 * results[p].extra_fraction,
                100 * results[p].refused_fraction, results[p].messages_per_query,
                results[p].p99_ms / results[POLICY_ORACLE].p99_ms);
      fflush (stdout);
    }
}

/* Prints full answers per second at loads up to three times the slot capacity. Refused
 * callers resubmit up to two times. */
static void
print_overload (uint64_t seed, uint32_t queries)
{
  const double loads[] = { 0.6, 0.8, 0.9, 1.0, 1.2, 1.5, 2.0, 3.0 };
  double peak = 0;
  printf ("\noverload: 20 shards, %u queries, seed %llu, 2 resubmissions per refused "
          "caller\n",
          queries, (unsigned long long)seed);
  printf ("%-6s %12s %8s %8s %9s %9s %9s %10s\n", "load", "full per s", "of peak",
          "p99 ms", "coverage", "extra", "refused", "refusal ms");
  for (unsigned i = 0; i < sizeof (loads) / sizeof (loads[0]); i++)
    {
      summary_t result = simulate_policy (seed, &straggler_models[0], 20, POLICY_CHOSEN,
                                          loads[i], queries, 2);
      peak = MAX (peak, result.goodput_per_s);
      printf ("%5.0f%% %12.1f %8.2f %8.2f %9.6f %8.2f%% %8.2f%% %10.2f\n", 100 * loads[i],
              result.goodput_per_s, result.goodput_per_s / peak, result.p99_ms,
              result.coverage, 100 * result.extra_fraction, 100 * result.refused_fraction,
              result.refusal_ms);
      fflush (stdout);
    }
}

/* Returns the probability that a service time is longer than time_us. */
static double
probability_longer (const straggler_model_t *model, double time_us)
{
  if (time_us <= 0)
    return 1.0;
  double typical =
      gsl_cdf_ugaussian_Q (log (time_us / SERVICE_MEDIAN_US) / SERVICE_SIGMA);
  double slow = gsl_cdf_ugaussian_Q (
      log (time_us / (SERVICE_MEDIAN_US * model->slow_request_factor)) / SERVICE_SIGMA);
  return (1 - model->slow_request_fraction) * typical +
         model->slow_request_fraction * slow;
}

/* Returns the 99th percentile of a query that never waits for a slot, if each attempt
 * gets a hedge after a delay. Without a delay this is the faster of two attempts, as the
 * oracle chooses. */
static double
bound_p99_ms (const straggler_model_t *model, uint32_t shards, double delay_us)
{
  /* Round trip between zones and to the target. */
  const double network_us = 1200;
  double allowed = 1 - pow (0.99, 1.0 / shards);
  double time_us = network_us;
  for (double late = 1; late > allowed; time_us += 10)
    late = probability_longer (model, time_us - network_us) *
           probability_longer (model, time_us - network_us - delay_us);
  return (time_us + CALLER_ROUND_TRIP_US) / 1000.0;
}

/* Prints the lowest latency that hedges can reach: with idle targets, the same delay for
 * all attempts, and exactly 3% extra attempts. */
static void
print_bound (void)
{
  printf ("\nlower bound without queues, with 3%% extra requests\n");
  printf ("%-16s %-7s %10s %12s %12s %6s\n", "stragglers", "shards", "delay ms",
          "hedged p99", "oracle p99", "ratio");
  for (int i = 0; i < 4; i++)
    {
      const straggler_model_t *model = &straggler_models[i / 2];
      uint32_t shards = i % 2 ? 30 : 20;
      double delay_us = 0;
      while (probability_longer (model, delay_us) > 0.03)
        delay_us += 10;
      /* The hedge delay of an entry includes the network time, like the latency it
       * measures. */
      double hedged_ms = bound_p99_ms (model, shards, delay_us + 1200);
      double oracle_ms = bound_p99_ms (model, shards, 0);
      printf ("%-16s %-7u %10.2f %12.2f %12.2f %6.2f\n", model->name, shards,
              delay_us / 1000.0, hedged_ms, oracle_ms, hedged_ms / oracle_ms);
    }
}

/* One simulation of a target that starts cold under more load than its capacity. */
typedef struct cold_run
{
  jd_model_fleet_t *fleet;
  uint64_t seed;
  uint32_t number;
  uint32_t slots;
  uint32_t over_capacity;   /* Requests started beyond the capacity of the target. */
  int64_t slots_reached_us; /* Time at which the limit reached slots; 0: not yet. */
} cold_run_t;

/* Fleet callback: returns the service time of a warm target. */
static int64_t
cold_service_us (void *context, const jd_model_request_t *request)
{
  const cold_run_t *run = context;
  const run_t times = { .seed = run->seed, .stragglers = &straggler_models[1] };
  uint32_t number = (uint32_t)g_ascii_strtoull (request->text, NULL, 10);
  return draw_service_time_us (&times, number, 0, 0);
}

/* Fleet callback: counts requests started beyond the capacity. */
static void
cold_on_execute (void *context, const jd_model_request_t *request, uint32_t load,
                 uint32_t capacity)
{
  cold_run_t *run = context;
  run->over_capacity += load > capacity;
}

/* Fleet callback: this simulation does not count answers. */
static void
cold_on_answer (void *context, uint32_t entry, const jd_answer_t *answer)
{
}

/* Event: a call; the interval to the next one keeps all slots busy. */
static void
cold_on_arrival (void *context, void *data)
{
  cold_run_t *run = context;
  char text[24];
  g_snprintf (text, sizeof (text), "%u", run->number++);
  jd_request_t request = { .kind = JD_WORK_SEARCH, .service = "desk", .text = text };
  jd_model_fleet_submit (run->fleet, run->number % ENTRIES, &request);
  int64_t now_us = jd_sim_now_us (run->fleet->sim);
  if (!run->slots_reached_us && jd_model_fleet_target_limit (run->fleet, 0) == run->slots)
    run->slots_reached_us = now_us;
  int64_t gap_us = (int64_t)(SERVICE_MEDIAN_US / (1.5 * run->slots));
  jd_sim_schedule (run->fleet->sim, now_us + gap_us, cold_on_arrival, run, NULL, NULL);
}

/* Event: the target restarts; counts begin here. */
static void
restart_target (void *context, void *data)
{
  cold_run_t *run = context;
  run->slots_reached_us = 0;
  run->over_capacity = 0;
  jd_model_target_set_down (&run->fleet->targets[0], FALSE);
}

/* Returns the shortest time until the target is warm: it runs exactly as many requests as
 * its capacity all the time. */
static double
min_ramp_ms (uint32_t slots, uint32_t cold_replies)
{
  jd_model_target_t target = { .slots = slots, .cold_replies = cold_replies };
  double time_us = 0;
  for (; target.replies_since_start < cold_replies; target.replies_since_start++)
    {
      double slowdown = jd_model_target_slowdown (&target);
      time_us += mean_service_us (&straggler_models[1]) * slowdown /
                 jd_model_target_capacity (&target);
    }
  return time_us / 1000.0;
}

/* Prints the time until the limit of a target that restarts without notice reaches its
 * slots again. */
static void
print_cold (uint64_t seed)
{
  const uint32_t slots[] = { 2, 6 };
  const uint32_t replies[] = { 30, 100, 300 };
  printf ("\ncold target under 1.5 times its load, seed %llu\n",
          (unsigned long long)seed);
  printf ("%-6s %14s %10s %10s %6s %14s\n", "slots", "cold replies", "best ms", "ramp ms",
          "ratio", "over capacity");
  for (int i = 0; i < 6; i++)
    {
      cold_run_t run = { .seed = seed, .slots = slots[i / 3] };
      jd_model_fleet_options_t options = fleet_options (seed, 1, POLICY_CHOSEN, NULL);
      options.brokers = 1;
      options.zones = 1;
      options.replicas = 1;
      options.slots = run.slots;
      options.cold_replies = replies[i % 3];
      jd_model_fleet_hooks_t hooks = { cold_service_us, cold_on_execute, cold_on_answer,
                                       &run };
      run.fleet = jd_model_fleet_new (&options, &hooks);
      jd_sim_t *sim = run.fleet->sim;
      int64_t down_us = jd_sim_now_us (sim) + 3 * JD_US_PER_S;
      int64_t up_us = down_us + JD_US_PER_S;
      jd_sim_schedule (sim, jd_sim_now_us (sim) + 1000, cold_on_arrival, &run, NULL,
                       NULL);
      jd_sim_run (sim, down_us);
      jd_model_target_set_down (&run.fleet->targets[0], TRUE);
      jd_sim_schedule (sim, up_us, restart_target, &run, NULL, NULL);
      jd_sim_run (sim, up_us + 30 * JD_US_PER_S);
      double ramp_ms =
          run.slots_reached_us ? (double)(run.slots_reached_us - up_us) / 1000.0 : NAN;
      double best_ms = min_ramp_ms (run.slots, options.cold_replies);
      printf ("%-6u %14u %10.1f %10.1f %6.2f %14u\n", run.slots, options.cold_replies,
              best_ms, ramp_ms, ramp_ms / best_ms, run.over_capacity);
      jd_model_fleet_free (run.fleet);
    }
}

int
main (int argc, char **argv)
{
  const char *part = argc > 1 ? argv[1] : "all";
  uint32_t queries = argc > 2 ? (uint32_t)g_ascii_strtoull (argv[2], NULL, 10) : 20000;
  uint64_t seed = argc > 3 ? g_ascii_strtoull (argv[3], NULL, 10) : 1;
  gboolean all = g_str_equal (part, "all");
  uint64_t table = argc > 4 ? g_ascii_strtoull (argv[4], NULL, 10) : 0;
  for (unsigned t = 0; t < 4 && (all || g_str_equal (part, "tail")); t++)
    {
      if (table == 0 || table == t + 1)
        print_tail (seed, &straggler_models[t / 2], t % 2 ? 30 : 20, queries);
    }
  if (all || g_str_equal (part, "overload"))
    print_overload (seed, queries);
  if (all || g_str_equal (part, "bound"))
    print_bound ();
  if (all || g_str_equal (part, "cold"))
    print_cold (seed);
  return EXIT_SUCCESS;
}
