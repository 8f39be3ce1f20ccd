#include "daemons/host_defs.h"

#include "base/clock.h"
#include "base/log_event.h"

/* Names of kinds and groups of ends in metrics. */
static const char *const kind_names[JD_HOST_KIND_COUNT] = {
  [JD_HOST_KIND_SEARCH] = "search",
  [JD_HOST_KIND_FETCH] = "fetch",
  [JD_HOST_KIND_EDIT] = "edit",
};
static const char *const group_names[JD_HOST_GROUP_COUNT] = {
  [JD_HOST_GROUP_SERVED] = "served",
  [JD_HOST_GROUP_PARTIAL] = "partial",
  [JD_HOST_GROUP_REFUSED] = "refused",
  [JD_HOST_GROUP_FAILED] = "failed",
};

static const char *const phase_names[JD_HOST_PHASE_COUNT] = {
  [JD_HOST_PHASE_CONNECTION] = "connection",
  [JD_HOST_PHASE_TARGET] = "target",
  [JD_HOST_PHASE_ANSWER] = "answer",
};

/* Returns the kind under which a route is counted. */
static jd_host_kind_t
kind_of (const jd_route_t *route)
{
  if (route->kind == JD_ROUTE_SCATTER)
    return JD_HOST_KIND_SEARCH;
  return route->idempotent ? JD_HOST_KIND_FETCH : JD_HOST_KIND_EDIT;
}

/* Returns the group under which an end is counted. */
static jd_host_group_t
group_of (jd_host_end_t end)
{
  switch (end)
    {
    case JD_HOST_END_SERVED:
      return JD_HOST_GROUP_SERVED;
    case JD_HOST_END_PARTIAL:
      return JD_HOST_GROUP_PARTIAL;
    case JD_HOST_END_NOT_RUN:
      return JD_HOST_GROUP_REFUSED;
    default:
      return JD_HOST_GROUP_FAILED;
    }
}

/* Creates the metrics of a host. */
void
jd_host_metrics_init (jd_host_metrics_t *metrics)
{
  metrics->attempts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

/* Frees what the metrics hold. */
void
jd_host_metrics_clear (jd_host_metrics_t *metrics)
{
  g_hash_table_destroy (metrics->attempts);
}

/* Records the time that an admitted request took. */
void
jd_host_metrics_request (jd_host_metrics_t *metrics, const jd_route_t *route,
                         jd_host_end_t end, int64_t elapsed_us)
{
  jd_latency_histogram_record (&metrics->requests[kind_of (route)][group_of (end)],
                               elapsed_us);
}

/* Records the time that a phase of a request took. */
void
jd_host_metrics_phase (jd_host_metrics_t *metrics, jd_host_phase_t phase,
                       int64_t elapsed_us)
{
  jd_latency_histogram_record (&metrics->phases[phase], elapsed_us);
}

/* Records the time that a target of a zone took for a good answer. */
void
jd_host_metrics_attempt (jd_host_metrics_t *metrics, const char *zone, int64_t elapsed_us)
{
  jd_latency_histogram_t *histogram = g_hash_table_lookup (metrics->attempts, zone);
  if (!histogram)
    {
      histogram = g_new0 (jd_latency_histogram_t, 1);
      g_hash_table_insert (metrics->attempts, g_strdup (zone), histogram);
    }
  jd_latency_histogram_record (histogram, elapsed_us);
}

/* Appends the quantiles of a histogram, in seconds. */
static void
append_latency (GString *text, const char *name, const char *labels,
                const jd_latency_histogram_t *histogram)
{
  static const double quantiles[] = { 0.5, 0.9, 0.99 };
  if (histogram->total == 0)
    return;
  for (size_t i = 0; i < G_N_ELEMENTS (quantiles); i++)
    g_string_append_printf (
        text, "%s{%s,quantile=\"%g\"} %.6f\n", name, labels, quantiles[i],
        (double)jd_latency_histogram_quantile_us (histogram, quantiles[i]) /
            (double)JD_US_PER_S);
  g_string_append_printf (text, "%s_count{%s} %" G_GUINT64_FORMAT "\n", name, labels,
                          (guint64)histogram->total);
}

/* Appends all latencies. */
static void
append_latencies (GString *text, const jd_host_metrics_t *metrics)
{
  char labels[128];
  g_string_append (text, "# TYPE jackdaw_request_seconds summary\n");
  for (uint32_t kind = 0; kind < JD_HOST_KIND_COUNT; kind++)
    {
      for (uint32_t group = 0; group < JD_HOST_GROUP_COUNT; group++)
        {
          g_snprintf (labels, sizeof (labels), "kind=\"%s\",end=\"%s\"", kind_names[kind],
                      group_names[group]);
          append_latency (text, "jackdaw_request_seconds", labels,
                          &metrics->requests[kind][group]);
        }
    }
  g_string_append (text, "# TYPE jackdaw_phase_seconds summary\n");
  for (uint32_t phase = 0; phase < JD_HOST_PHASE_COUNT; phase++)
    {
      g_snprintf (labels, sizeof (labels), "phase=\"%s\"", phase_names[phase]);
      append_latency (text, "jackdaw_phase_seconds", labels, &metrics->phases[phase]);
    }
  g_string_append (text, "# TYPE jackdaw_attempt_seconds summary\n");
  GHashTableIter iter;
  gpointer zone, histogram;
  g_hash_table_iter_init (&iter, metrics->attempts);
  while (g_hash_table_iter_next (&iter, &zone, &histogram))
    {
      g_snprintf (labels, sizeof (labels), "zone=\"%s\"", (const char *)zone);
      append_latency (text, "jackdaw_attempt_seconds", labels, histogram);
    }
}

/* Counts of targets that others or this host found in trouble. */
typedef struct jd_trouble_counts
{
  uint32_t told;
  uint32_t ejected;
  int64_t now_us;
} jd_trouble_counts_t;

/* Registry visitor: counts a target that is in trouble. */
static void
count_trouble (void *context, jd_replica_t *replica)
{
  jd_trouble_counts_t *counts = context;
  counts->told += replica->told_us > 0;
  counts->ejected += replica->ejected_until_us > counts->now_us;
}

/* Metrics server callback. */
void
jd_host_answer_metrics (void *context, jd_caller_t *caller,
                        const jd_http_reader_t *reader)
{
  jd_host_t *host = context;
  jd_trouble_counts_t trouble = { .now_us = jd_monotonic_us () };
  char *counters = jd_counters_render (host->counters);
  GString *text = g_string_new (counters);
  g_free (counters);
  append_latencies (text, &host->latencies);
  jd_replica_registry_each (host->registry, count_trouble, &trouble);
  int64_t held_until_us = jd_record_feed_held_until_us (host->feed);
  g_string_append_printf (
      text,
      "jackdaw_requests_running %u\njackdaw_hosts %u\njackdaw_targets %u\n"
      "jackdaw_targets_told_of %u\njackdaw_targets_left_out %u\n"
      "jackdaw_target_connections %u\njackdaw_target_connections_opened_total "
      "%" G_GUINT64_FORMAT "\njackdaw_caller_connections %u\n"
      "jackdaw_configuration_version %" G_GINT64_FORMAT "\n"
      "jackdaw_records_age_seconds %.3f\njackdaw_reads_store %d\n"
      "jackdaw_removals_held %d\njackdaw_log_lines_lost_total %" G_GUINT64_FORMAT "\n",
      host->requests.length, host->hosts, jd_replica_registry_count (host->registry),
      trouble.told, trouble.ejected, jd_replica_links_open_count (host->links),
      jd_replica_links_opened_total (host->links), jd_caller_server_count (host->callers),
      host->routes ? host->routes->version : 0,
      (double)(trouble.now_us - jd_record_feed_as_of_us (host->feed)) /
          (double)JD_US_PER_S,
      jd_record_source_reads_store (host->source, trouble.now_us),
      held_until_us > trouble.now_us, (guint64)jd_log_lost_lines ());
  GString *fields = g_string_new ("Content-Type: text/plain; version=0.0.4\r\n");
  jd_caller_answer (caller, 200, fields, text->str, text->len);
  g_string_free (fields, TRUE);
  g_string_free (text, TRUE);
}
