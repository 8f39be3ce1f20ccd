#include <gsl/gsl_fit.h>
#include <gsl/gsl_statistics.h>
#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "config/config_store.h"
#include "membership/lease.h"
#include "routing/broker_core.h"
#include "routing/entry_core.h"
#include "transport/wire.h"

/* Prints the slopes on which docs/CAPACITY-entry-broker.md is based: at least four sizes
 * each, with the straight line that GSL fits, the standard error of its slope, and R
 * squared. */

#define MAX_POINTS 8
#define SHARDS_PER_BROKER 6
#define HITS_PER_TARGET 10
#define ROUNDS 15

/* Values y of one quantity against sizes x. */
typedef struct series
{
  const char *name;
  const char *per;
  const char *unit;
  size_t count;
  double x[MAX_POINTS];
  double y[MAX_POINTS];
} series_t;

/* Returns the CPU time of this process in microseconds. */
static double
cpu_us (void)
{
  struct timespec now;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

/* Returns the bytes in use on the heap. */
static double
heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();
  return (double)info.uordblks + (double)info.hblkhd;
}

static void
add_point (series_t *series, double x, double y)
{
  series->x[series->count] = x;
  series->y[series->count] = y;
  series->count++;
}

/* Prints the points and the fitted line of a series. */
static void
print_series (const series_t *series)
{
  double intercept, slope, cov00, cov01, cov11, sum_of_squares;
  gsl_fit_linear (series->x, 1, series->y, 1, series->count, &intercept, &slope, &cov00,
                  &cov01, &cov11, &sum_of_squares);
  double total = gsl_stats_tss (series->y, 1, series->count);
  printf ("| %s | %s | %s |", series->name, series->unit, series->per);
  for (size_t i = 0; i < series->count; i++)
    printf (" %.0f: %.1f%s", series->x[i], series->y[i],
            i + 1 < series->count ? "," : "");
  printf (" | %.2f | %.3f ± %.3f | %.4f |\n", intercept, slope, sqrt (cov11),
          total > 0 ? 1 - sum_of_squares / total : 1);
}

/* Returns the text of a service record with the given number of shards, each with two
 * targets; the caller frees it. */
static char *
service_text (const char *name, uint32_t shards)
{
  GString *text = g_string_new (NULL);
  g_string_append_printf (text,
                          "{\"schema_version\":1,\"record_version\":1,\"name\":\"%s\","
                          "\"kind\":\"fan_out\",\"open\":false,\"deadline_ms\":60,"
                          "\"slots\":2,\"connections\":25,\"hedge_quantile\":0.95,"
                          "\"hedge_budget\":0.025,\"map_version\":1,\"shards\":[",
                          name);
  for (uint32_t i = 0; i < shards; i++)
    g_string_append_printf (
        text,
        "%s{\"id\":\"s%u\",\"weight\":1000,\"targets\":["
        "{\"id\":\"%s-t%ua\",\"address\":\"127.0.%u.%u:9001\",\"zone\":\"a\"},"
        "{\"id\":\"%s-t%ub\",\"address\":\"127.0.%u.%u:9002\",\"zone\":\"b\"}]}",
        i ? "," : "", i, name, i, i / 250, i % 250 + 1, name, i, i / 250, i % 250 + 1);
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

static jd_service_record_t *
service_record (uint32_t shards)
{
  char *text = service_text ("desk", shards);
  GError *error = NULL;
  jd_service_record_t *record =
      jd_service_record_parse ("service.desk", text, strlen (text), &error);
  g_free (text);
  if (!record)
    g_error ("%s", error->message);
  return record;
}

/* Returns a successful outcome of a work item with the given number of hits. */
static jd_work_outcome_t
new_outcome (const jd_work_item_t *item, uint64_t snapshot, uint32_t hits)
{
  jd_work_outcome_t outcome = { .attempt_id = item->attempt_id,
                                .code = JD_OK,
                                .ran = JD_RAN_YES,
                                .snapshot = snapshot,
                                .service_us = 4000,
                                .hit_count = hits };
  g_strlcpy (outcome.target, item->target, sizeof (outcome.target));
  g_strlcpy (outcome.shard, item->shard, sizeof (outcome.shard));
  outcome.hits = g_new0 (jd_hit_t, hits);
  for (uint32_t i = 0; i < hits; i++)
    outcome.hits[i] = (jd_hit_t){ .id = g_strdup_printf ("%s-%u", item->shard, i),
                                  .score = (double)(hits - i),
                                  .body = g_strdup ("{\"title\":\"a phrase of the usual "
                                                    "length\"}") };
  return outcome;
}

/* A batch that the entry core sent, encoded as on the wire. */
typedef struct sent_work
{
  jd_name_t broker;
  void *bytes;
  size_t length;
} sent_work_t;

typedef struct entry_run
{
  GArray *sent; /* sent_work_t */
  uint64_t finished;
  double bytes_out;
  double bytes_in;
} entry_run_t;

static gboolean
capture_work (void *context, const char *broker, const jd_work_t *work)
{
  entry_run_t *run = context;
  sent_work_t sent = { 0 };
  g_strlcpy (sent.broker, broker, sizeof (sent.broker));
  jd_message_t message = { .type = JD_MESSAGE_WORK,
                           .sender = "a-entry-0",
                           .work = *work };
  sent.bytes = jd_wire_encode (&message, &sent.length);
  run->bytes_out += (double)sent.length;
  g_array_append_val (run->sent, sent);
  return TRUE;
}

static void
ignore_cancel (void *context, const char *broker, const uint64_t *ids, uint32_t count)
{
}

static void
count_complete_query (void *context, const jd_answer_t *answer)
{
  entry_run_t *run = context;
  if (answer->code == JD_OK)
    run->finished++;
}

/* Reports to the core that each broker owns the targets of SHARDS_PER_BROKER shards. */
static void
report_targets (jd_entry_core_t *core, uint32_t shards, int64_t now_us)
{
  for (uint32_t first = 0; first < shards; first += SHARDS_PER_BROKER)
    {
      jd_target_status_t states[2 * SHARDS_PER_BROKER] = { 0 };
      uint32_t count = 0;
      for (uint32_t i = first; i < shards && i < first + SHARDS_PER_BROKER; i++)
        for (int replica = 0; replica < 2; replica++, count++)
          {
            g_snprintf (states[count].target, JD_NAME_SIZE, "desk-t%u%c", i,
                        'a' + replica);
            states[count].limit = 2;
            states[count].snapshot_count = 1;
            states[count].snapshots[0] = 1;
          }
      char broker[JD_NAME_SIZE];
      g_snprintf (broker, sizeof (broker), "broker-%u", first / SHARDS_PER_BROKER);
      jd_entry_core_on_broker_clock (core, broker, now_us, now_us);
      jd_entry_core_on_target_state (core, broker, now_us, states, count, now_us);
    }
}

/* Answers one captured batch through the codec and frees its bytes. Returns the CPU time
 * in microseconds of building the answer: that is work of the broker, which the caller
 * subtracts. */
static double
answer_batch (jd_entry_core_t *core, entry_run_t *run, sent_work_t *sent, uint32_t hits,
              int64_t now_us)
{
  double begin_us = cpu_us ();
  jd_message_t work;
  if (!jd_wire_decode (sent->bytes, sent->length, &work, NULL))
    g_error ("a captured batch does not decode");
  jd_work_outcome_t *outcomes = g_new0 (jd_work_outcome_t, work.work.item_count);
  for (uint32_t i = 0; i < work.work.item_count; i++)
    outcomes[i] = new_outcome (&work.work.items[i], work.work.snapshot, hits);
  jd_message_t reply = { .type = JD_MESSAGE_WORK_RESULT,
                         .work_result = { .query_id = work.work.query_id,
                                          .broker_clock_us = now_us,
                                          .outcome_count = work.work.item_count,
                                          .outcomes = outcomes } };
  size_t length;
  void *bytes = jd_wire_encode (&reply, &length);
  run->bytes_in += (double)length;
  jd_message_clear (&reply);
  jd_message_clear (&work);
  double broker_cpu_us = cpu_us () - begin_us;
  jd_message_t received;
  if (!jd_wire_decode (bytes, length, &received, NULL))
    g_error ("an encoded result does not decode");
  jd_entry_core_on_work_result (core, sent->broker, &received.work_result, now_us);
  jd_message_clear (&received);
  g_free (bytes);
  g_free (sent->bytes);
  return broker_cpu_us;
}

/* Cost of one query at the entry, and the heap size of the entry core. */
typedef struct entry_cost
{
  double cpu_us;
  double bytes_out;
  double bytes_in;
  double heap_bytes;
} entry_cost_t;

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;
  return (x > y) - (x < y);
}

/* Runs queries over the given number of shards and returns the cost of one, with the
 * median CPU time of ROUNDS rounds. `hits` is the number of hits per target in the
 * answers of the brokers. */
static entry_cost_t
measure_entry (uint32_t shards, uint32_t hits)
{
  entry_run_t run = { .sent = g_array_new (FALSE, TRUE, sizeof (sent_work_t)) };
  jd_philox_t philox = { .seed = 7 };
  jd_entry_settings_t settings = jd_entry_settings_default ("a");
  jd_entry_callbacks_t callbacks = { .send_work = capture_work,
                                     .send_cancel = ignore_cancel,
                                     .finish = count_complete_query,
                                     .context = &run };
  malloc_trim (0);
  double heap_before = heap_bytes ();
  jd_entry_core_t *core =
      jd_entry_core_new (&settings, &callbacks, jd_philox_rng (&philox), 1);
  jd_service_record_t *record = service_record (shards);
  jd_entry_core_on_service (core, record);
  jd_service_record_unref (record);
  int64_t now_us = JD_US_PER_S;
  report_targets (core, shards, now_us);
  double heap_after = heap_bytes ();
  const uint32_t queries = 8000 / shards + 4;
  double samples[ROUNDS];
  for (int round = 0; round < ROUNDS; round++)
    {
      double broker_cpu_us = 0;
      double begin_us = cpu_us ();
      for (uint32_t i = 0; i < queries; i++)
        {
          now_us += 1000;
          jd_request_t request = { .kind = JD_WORK_SEARCH,
                                   .service = "desk",
                                   .organisation = "hospital",
                                   .text = "phrase",
                                   .limit = 10 };
          jd_entry_core_submit (core, &request, now_us);
          for (guint j = 0; j < run.sent->len; j++)
            broker_cpu_us +=
                answer_batch (core, &run, &g_array_index (run.sent, sent_work_t, j), hits,
                              now_us + 500);
          g_array_set_size (run.sent, 0);
          report_targets (core, 0, now_us);
        }
      samples[round] = (cpu_us () - begin_us - broker_cpu_us) / queries;
      report_targets (core, shards, now_us);
    }
  uint64_t expected = (uint64_t)queries * ROUNDS;
  if (run.finished != expected)
    g_error ("%u shards: %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT " queries complete",
             shards, (guint64)run.finished, (guint64)expected);
  qsort (samples, ROUNDS, sizeof (samples[0]), compare_doubles);
  entry_cost_t cost = { .cpu_us = samples[ROUNDS / 2],
                        .bytes_out = run.bytes_out / (double)expected,
                        .bytes_in = run.bytes_in / (double)expected,
                        .heap_bytes = heap_after - heap_before };
  jd_entry_core_free (core);
  g_array_free (run.sent, TRUE);
  return cost;
}

/* Prints CPU time, bytes and memory of an entry against the shards of a query. */
static void
print_entry_slopes (void)
{
  const uint32_t sizes[] = { 20, 60, 180, 540, 970 };
  series_t cpu = { "entry, per query", "target", "CPU us" };
  series_t work_bytes = { "entry to brokers, per query", "target", "bytes" };
  series_t answer_bytes = { "brokers to entry, per query, not merged", "target",
                            "bytes" };
  series_t merged_cpu = { "entry, per query, merged by brokers", "target", "CPU us" };
  series_t merged_answer_bytes = { "brokers to entry, per query, merged by brokers",
                                   "target", "bytes" };
  series_t heap = { "entry state", "shard (2 targets)", "bytes" };
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      entry_cost_t cost = measure_entry (sizes[i], HITS_PER_TARGET);
      add_point (&cpu, sizes[i], cost.cpu_us);
      add_point (&work_bytes, sizes[i], cost.bytes_out);
      add_point (&answer_bytes, sizes[i], cost.bytes_in);
      add_point (&heap, sizes[i], cost.heap_bytes);
      /* A broker that sends only the best 10 hits of its 6 targets sends about 2 per
       * target. */
      cost = measure_entry (sizes[i], HITS_PER_TARGET / 5);
      add_point (&merged_answer_bytes, sizes[i], cost.bytes_in);
      add_point (&merged_cpu, sizes[i], cost.cpu_us);
    }
  print_series (&cpu);
  print_series (&merged_cpu);
  print_series (&work_bytes);
  print_series (&answer_bytes);
  print_series (&merged_answer_bytes);
  print_series (&heap);
}

typedef struct broker_run
{
  GArray *handles;
  uint64_t outcomes;
} broker_run_t;

static void
capture_start (void *context, const jd_broker_start_t *start)
{
  broker_run_t *run = context;
  g_array_append_val (run->handles, start->handle);
}

static void
ignore_attempt_cancel (void *context, uint64_t handle)
{
}

static void
count_outcomes (void *context, uint64_t entry, const jd_work_result_t *result)
{
  broker_run_t *run = context;
  jd_message_t message = { .type = JD_MESSAGE_WORK_RESULT, .work_result = *result };
  size_t length;
  g_free (jd_wire_encode (&message, &length));
  run->outcomes += result->outcome_count;
}

/* Returns a batch with one item for each target of the broker; the caller clears it. */
static jd_work_t
new_batch (uint32_t targets, uint64_t query, int64_t deadline_us)
{
  jd_work_t work = { .query_id = query,
                     .kind = JD_WORK_SEARCH,
                     .organisation = "hospital",
                     .service = "desk",
                     .snapshot = 1,
                     .map_version = 1,
                     .deadline_us = deadline_us,
                     .limit = 10,
                     .text = g_strdup ("phrase"),
                     .item_count = targets,
                     .items = g_new0 (jd_work_item_t, targets) };
  for (uint32_t i = 0; i < targets; i++)
    {
      work.items[i].attempt_id = query * 1000 + i;
      g_snprintf (work.items[i].target, JD_NAME_SIZE, "t%u", i);
      g_snprintf (work.items[i].shard, JD_NAME_SIZE, "s%u", i);
    }
  return work;
}

/* Answers all attempts that the core started and that it may still send. */
static void
answer_attempts (jd_broker_core_t *core, broker_run_t *run, int64_t now_us)
{
  for (guint i = 0; i < run->handles->len; i++)
    {
      uint64_t handle = g_array_index (run->handles, uint64_t, i);
      if (!jd_broker_core_may_write (core, handle, now_us))
        continue;
      jd_work_item_t item = { .shard = "s" };
      jd_work_outcome_t hits = new_outcome (&item, 1, HITS_PER_TARGET);
      jd_target_reply_t reply = { .kind = JD_REPLY_OK,
                                  .snapshot = 1,
                                  .boot_id = 1,
                                  .uptime_us = now_us,
                                  .in_flight = 1,
                                  .hit_count = hits.hit_count,
                                  .hits = hits.hits };
      jd_broker_core_on_reply (core, handle, &reply, now_us + 2000);
    }
  g_array_set_size (run->handles, 0);
}

/* Returns the median CPU time of the broker core in microseconds for one batch over its
 * targets, without the HTTP requests to them. */
static double
measure_broker (uint32_t targets)
{
  broker_run_t run = { .handles = g_array_new (FALSE, FALSE, sizeof (uint64_t)) };
  jd_broker_settings_t settings = jd_broker_settings_default ();
  jd_broker_callbacks_t callbacks = { .start_attempt = capture_start,
                                      .cancel_attempt = ignore_attempt_cancel,
                                      .send_outcomes = count_outcomes,
                                      .context = &run };
  jd_broker_core_t *core = jd_broker_core_new (&settings, &callbacks);
  int64_t now_us = JD_US_PER_S;
  for (uint32_t i = 0; i < targets; i++)
    {
      char target[JD_NAME_SIZE];
      g_snprintf (target, sizeof (target), "t%u", i);
      jd_broker_core_set_target (core, target, 2, 25, now_us);
    }
  double samples[ROUNDS];
  uint64_t query = 1;
  for (int round = 0; round < ROUNDS; round++)
    {
      double begin_us = cpu_us ();
      for (int i = 0; i < 200; i++, query++)
        {
          now_us += 10 * JD_US_PER_MS;
          for (uint32_t j = 0; j < targets && i % 20 == 0; j++)
            {
              char target[JD_NAME_SIZE];
              g_snprintf (target, sizeof (target), "t%u", j);
              jd_broker_core_on_owned (core, target, TRUE, now_us + JD_US_PER_S, now_us);
            }
          jd_work_t work = new_batch (targets, query, now_us + 60 * JD_US_PER_MS);
          jd_broker_core_on_work (core, 1, &work, now_us);
          jd_work_clear (&work);
          jd_broker_core_tick (core, now_us);
          answer_attempts (core, &run, now_us);
          jd_broker_core_flush (core, now_us + 2000);
        }
      samples[round] = (cpu_us () - begin_us) / 200;
    }
  qsort (samples, ROUNDS, sizeof (samples[0]), compare_doubles);
  if (run.outcomes == 0)
    g_error ("the broker core sent no outcomes");
  jd_broker_core_free (core);
  g_array_free (run.handles, TRUE);
  return samples[ROUNDS / 2];
}

static void
print_broker_slope (void)
{
  const uint32_t sizes[] = { 2, 6, 12, 24, 48 };
  series_t cpu = { "broker core and codec, per batch", "target", "CPU us" };
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    add_point (&cpu, sizes[i], measure_broker (sizes[i]));
  print_series (&cpu);
}

/* Prints the bytes of a target_state message against the number of targets. */
static void
print_target_state_slope (void)
{
  const uint32_t sizes[] = { 2, 6, 12, 24, 48 };
  series_t bytes = { "target_state message", "target", "bytes" };
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      jd_target_status_t *targets = g_new0 (jd_target_status_t, sizes[i]);
      for (uint32_t j = 0; j < sizes[i]; j++)
        {
          g_snprintf (targets[j].target, JD_NAME_SIZE, "interpreter-desk-%u", j);
          targets[j].limit = 2;
          targets[j].snapshot_count = 2;
          targets[j].snapshots[0] = 12;
          targets[j].snapshots[1] = 11;
        }
      jd_message_t message = { .type = JD_MESSAGE_TARGET_STATE,
                               .sender = "a-broker-0",
                               .target_state = { JD_US_PER_S * 3600, sizes[i],
                                                 targets } };
      size_t length;
      g_free (jd_wire_encode (&message, &length));
      g_free (targets);
      add_point (&bytes, sizes[i], (double)length);
    }
  print_series (&bytes);
}

/* Prints text size, memory and CPU time of adopting a service record against its number
 * of shards. */
static void
print_record_slopes (void)
{
  const uint32_t sizes[] = { 100, 400, 1600, 3150 };
  series_t heap = { "adopted service record", "shard (2 targets)", "bytes" };
  series_t cpu = { "adopting a service record", "shard (2 targets)", "CPU us" };
  series_t text_bytes = { "text of a service record", "shard (2 targets)", "bytes" };
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      char *text = service_text ("desk", sizes[i]);
      double samples[ROUNDS];
      double heap_used = 0;
      for (int round = 0; round < ROUNDS; round++)
        {
          double heap_before = heap_bytes ();
          double begin_us = cpu_us ();
          jd_config_store_t *store = jd_config_store_new ();
          if (jd_config_store_offer (store, "service.desk", text, strlen (text), NULL) !=
              JD_ADOPTION_ADOPTED)
            g_error ("the service record was not adopted");
          samples[round] = cpu_us () - begin_us;
          heap_used = heap_bytes () - heap_before;
          jd_config_store_free (store);
        }
      qsort (samples, ROUNDS, sizeof (samples[0]), compare_doubles);
      add_point (&heap, sizes[i], heap_used);
      add_point (&cpu, sizes[i], samples[ROUNDS / 2]);
      add_point (&text_bytes, sizes[i], (double)strlen (text));
      g_free (text);
    }
  print_series (&text_bytes);
  print_series (&heap);
  print_series (&cpu);
}

/* A group whose members receive messages immediately. Counts the messages that member 0
 * sends. */
typedef struct group_run
{
  jd_lease_t *leases[JD_GROUP_MAX_MEMBERS];
  jd_name_t names[JD_GROUP_MAX_MEMBERS];
  uint32_t member_count;
  int64_t now_us;
  double messages;
  double bytes;
} group_run_t;

typedef struct group_member
{
  group_run_t *run;
  uint32_t index;
} group_member_t;

static double
wire_bytes (const jd_message_t *message)
{
  size_t length;
  g_free (jd_wire_encode (message, &length));
  return (double)length;
}

static void
deliver_heartbeat (void *context, const char *to_member, const jd_heartbeat_t *heartbeat)
{
  group_member_t *member = context;
  group_run_t *run = member->run;
  uint32_t to = 0;
  while (strcmp (run->names[to], to_member) != 0)
    to++;
  jd_message_t sent = { .type = JD_MESSAGE_HEARTBEAT, .heartbeat = *heartbeat };
  jd_message_t reply = { .type = JD_MESSAGE_HEARTBEAT_ACK };
  g_strlcpy (sent.sender, run->names[member->index], sizeof (sent.sender));
  g_strlcpy (reply.sender, to_member, sizeof (reply.sender));
  if (!run->leases[to])
    return;
  gboolean answered = jd_lease_on_heartbeat (run->leases[to], heartbeat, run->now_us,
                                             &reply.heartbeat_ack);
  if (member->index == 0)
    {
      run->messages++;
      run->bytes += wire_bytes (&sent);
    }
  if (!answered)
    return;
  /* Member 0 sends as many acknowledgements as it receives, so the ones that it
   * receives are counted. */
  if (member->index == 0)
    {
      run->messages++;
      run->bytes += wire_bytes (&reply);
    }
  jd_lease_on_ack (run->leases[member->index], &reply.heartbeat_ack, run->now_us);
}

/* Prints the lease traffic that one member sends and its CPU time against the size of the
 * group. */
static void
print_lease_slopes (void)
{
  const uint32_t sizes[] = { 3, 5, 7, 9 };
  const int seconds = 60;
  series_t messages = { "lease, sent per member", "member of the group", "messages/s" };
  series_t bytes = { "lease, sent per member", "member of the group", "bytes/s" };
  series_t cpu = { "lease and codec, per member", "member of the group", "CPU us/s" };
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      group_run_t run = { .member_count = sizes[i], .now_us = JD_US_PER_S };
      const char *names[JD_GROUP_MAX_MEMBERS];
      group_member_t members[JD_GROUP_MAX_MEMBERS];
      for (uint32_t j = 0; j < sizes[i]; j++)
        {
          g_snprintf (run.names[j], JD_NAME_SIZE, "a-broker-%u", j);
          names[j] = run.names[j];
          members[j] = (group_member_t){ &run, j };
        }
      for (uint32_t j = 0; j < sizes[i]; j++)
        {
          jd_lease_options_t options = { .member = names[j],
                                         .incarnation = 1,
                                         .members = names,
                                         .member_count = sizes[i],
                                         .settings = jd_lease_settings_default (),
                                         .send = deliver_heartbeat,
                                         .context = &members[j] };
          run.leases[j] = jd_lease_new (&options, run.now_us);
        }
      double begin_us = cpu_us ();
      for (int step = 0; step < seconds * 100; step++)
        {
          run.now_us += 10 * JD_US_PER_MS;
          for (uint32_t j = 0; j < sizes[i]; j++)
            if (jd_lease_next_tick_us (run.leases[j]) <= run.now_us)
              jd_lease_tick (run.leases[j], run.now_us);
        }
      add_point (&cpu, sizes[i], (cpu_us () - begin_us) / seconds / sizes[i]);
      if (!jd_lease_is_held (run.leases[0], run.now_us))
        g_error ("member 0 does not hold its lease");
      add_point (&messages, sizes[i], run.messages / seconds);
      add_point (&bytes, sizes[i], run.bytes / seconds);
      for (uint32_t j = 0; j < sizes[i]; j++)
        jd_lease_free (run.leases[j]);
    }
  print_series (&messages);
  print_series (&bytes);
  print_series (&cpu);
}

int
main (void)
{
  printf ("| what | unit | per | size: measured | at 0 | slope | R² |\n"
          "| --- | --- | --- | --- | --- | --- | --- |\n");
  print_entry_slopes ();
  print_broker_slope ();
  print_target_state_slope ();
  print_record_slopes ();
  print_lease_slopes ();
  return 0;
}
