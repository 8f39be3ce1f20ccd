#include "daemons/host_defs.h"

#include "base/clock.h"
#include "base/log_event.h"

/* A target counts as rejecting above this share of rejected requests. */
#define REJECTING_SHARE_MIN 0.1

/* Label values of kinds of requests, classes of ends and phases in metrics. */
static const char *const kind_names[JD_HOST_KIND_COUNT] = {
  [JD_HOST_KIND_SEARCH] = "search",
  [JD_HOST_KIND_FETCH] = "fetch",
  [JD_HOST_KIND_EDIT] = "edit",
};
static const char *const class_names[JD_HOST_END_CLASS_COUNT] = {
  [JD_HOST_END_CLASS_SERVED] = "served",
  [JD_HOST_END_CLASS_PARTIAL] = "partial",
  [JD_HOST_END_CLASS_REFUSED] = "refused",
  [JD_HOST_END_CLASS_FAILED] = "failed",
};

static const char *const phase_names[JD_HOST_PHASE_COUNT] = {
  [JD_HOST_PHASE_CONNECTION] = "connection",
  [JD_HOST_PHASE_TARGET] = "target",
  [JD_HOST_PHASE_ANSWER] = "answer",
};

/* Returns the kind under which metrics record the requests of a route. */
static jd_host_kind_t
kind_of (const jd_route_t *route)
{
  if (route->kind == JD_ROUTE_SCATTER)
    return JD_HOST_KIND_SEARCH;
  return route->idempotent ? JD_HOST_KIND_FETCH : JD_HOST_KIND_EDIT;
}

/* Returns the class under which metrics record an end. */
static jd_host_end_class_t
class_of (jd_host_end_t end)
{
  switch (end)
    {
    case JD_HOST_END_SERVED:
      return JD_HOST_END_CLASS_SERVED;
    case JD_HOST_END_PARTIAL:
      return JD_HOST_END_CLASS_PARTIAL;
    case JD_HOST_END_NOT_RUN:
      return JD_HOST_END_CLASS_REFUSED;
    default:
      return JD_HOST_END_CLASS_FAILED;
    }
}

/* Initializes zeroed metrics; jd_host_metrics_clear frees what they hold. */
void
jd_host_metrics_init (jd_host_metrics_t *metrics)
{
  metrics->attempts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

/* Frees the histograms of attempts; the structure itself belongs to its owner. */
void
jd_host_metrics_clear (jd_host_metrics_t *metrics)
{
  g_hash_table_destroy (metrics->attempts);
}

/* Records the time from the arrival of an admitted request to its end. */
void
jd_host_metrics_record_request (jd_host_metrics_t *metrics, const jd_route_t *route,
                                jd_host_end_t end, int64_t elapsed_us)
{
  jd_latency_histogram_record (&metrics->requests[kind_of (route)][class_of (end)],
                               elapsed_us);
}

/* Records the duration of a phase of a request. */
void
jd_host_metrics_record_phase (jd_host_metrics_t *metrics, jd_host_phase_t phase,
                              int64_t elapsed_us)
{
  jd_latency_histogram_record (&metrics->phases[phase], elapsed_us);
}

/* Records the time that a target in a zone took for a successful response. */
void
jd_host_metrics_record_attempt (jd_host_metrics_t *metrics, const char *zone,
                                int64_t elapsed_us)
{
  jd_latency_histogram_t *histogram = g_hash_table_lookup (metrics->attempts, zone);
  if (!histogram)
    {
      histogram = g_new0 (jd_latency_histogram_t, 1);
      g_hash_table_insert (metrics->attempts, g_strdup (zone), histogram);
    }
  jd_latency_histogram_record (histogram, elapsed_us);
}

/* Appends the quantiles of a histogram in seconds and its count, or nothing if empty. */
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

/* Appends the latencies of requests, phases and attempts in Prometheus text format. */
static void
append_latencies (GString *text, const jd_host_metrics_t *metrics)
{
  char labels[128];
  g_string_append (text, "# TYPE jackdaw_request_seconds summary\n");
  for (uint32_t kind = 0; kind < JD_HOST_KIND_COUNT; kind++)
    {
      for (uint32_t end_class = 0; end_class < JD_HOST_END_CLASS_COUNT; end_class++)
        {
          g_snprintf (labels, sizeof (labels), "kind=\"%s\",end=\"%s\"", kind_names[kind],
                      class_names[end_class]);
          append_latency (text, "jackdaw_request_seconds", labels,
                          &metrics->requests[kind][end_class]);
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

/* Counts of targets with a fault. */
typedef struct jd_target_fault_counts
{
  uint32_t hinted;    /* A hint of another host applies to the target. */
  uint32_t rejecting; /* It rejects requests although it has free slots. */
  uint32_t ejected;   /* This host has ejected the target. */
  int64_t now_us;
} jd_target_fault_counts_t;

/* Registry visitor: adds a target to the counts of faults that apply to it. */
static void
count_target_faults (void *context, jd_replica_t *replica)
{
  jd_target_fault_counts_t *counts = context;
  counts->hinted += replica->hint_received_us > 0;
  counts->rejecting += jd_rejection_rate_share (&replica->rejections, counts->now_us) >
                       REJECTING_SHARE_MIN;
  counts->ejected += replica->ejected_until_us > counts->now_us;
}

/* Targets listed by name in the metrics, for each state. */
#define NOTICES_LISTED_MAX 64

/* Lists targets that told this host that they are leaving or paused. */
typedef struct jd_notice_list
{
  GString *text;
  uint32_t leaving;
  uint32_t paused;
  int64_t now_us;
} jd_notice_list_t;

/* Appends a gauge in seconds with the id of a target as label. */
static void
append_target_seconds (GString *text, const char *name, const jd_replica_t *replica,
                       int64_t time_us)
{
  g_string_append_printf (text, "%s{target=\"%s\"} %.3f\n", name, replica->id,
                          (double)time_us / (double)JD_US_PER_S);
}

/* Registry visitor: adds what a target said about itself to the list. */
static void
list_notice (void *context, jd_replica_t *replica)
{
  jd_notice_list_t *list = context;
  const jd_target_notice_t *notice = replica->notice;
  if (notice->leaving_since_us != 0 && list->leaving++ < NOTICES_LISTED_MAX)
    append_target_seconds (list->text, "jackdaw_target_leaving_seconds", replica,
                           list->now_us - notice->leaving_since_us);
  if (notice->return_at_us > list->now_us && list->paused++ < NOTICES_LISTED_MAX)
    {
      append_target_seconds (list->text, "jackdaw_target_paused_seconds", replica,
                             list->now_us - notice->paused_since_us);
      append_target_seconds (list->text, "jackdaw_target_pause_left_seconds", replica,
                             notice->return_at_us - list->now_us);
    }
}

/* Appends the counts of live hosts and of messages to them. */
static void
append_peer_messages (GString *text, const jd_host_t *host, int64_t now_us)
{
  jd_peer_gossip_counts_t counts = jd_peer_gossip_counts (host->gossip);
  g_string_append_printf (text,
                          "jackdaw_hosts_live %u\n"
                          "jackdaw_peer_messages_sent_total %" G_GUINT64_FORMAT "\n"
                          "jackdaw_peer_messages_forwarded_total %" G_GUINT64_FORMAT "\n"
                          "jackdaw_peer_bytes_sent_total %" G_GUINT64_FORMAT "\n",
                          jd_peer_table_live_count (host->peers, now_us) + 1, counts.sent,
                          counts.forwarded, counts.sent_bytes);
}

/* Metrics server callback: answers with all metrics in the Prometheus text format. */
void
jd_host_answer_metrics (void *context, jd_caller_t *caller,
                        const jd_http_reader_t *reader)
{
  jd_host_t *host = context;
  jd_target_fault_counts_t faults = { .now_us = jd_monotonic_us () };
  char *counters = jd_counters_render (host->counters);
  GString *text = g_string_new (counters);
  g_free (counters);
  append_latencies (text, &host->latencies);
  jd_replica_registry_each (host->registry, count_target_faults, &faults);
  jd_notice_list_t notices = { .text = text, .now_us = faults.now_us };
  jd_replica_registry_each (host->registry, list_notice, &notices);
  int64_t held_until_us = jd_record_feed_removals_held_until_us (host->feed);
  g_string_append_printf (
      text,
      "jackdaw_requests_running %u\njackdaw_hosts %u\njackdaw_targets %u\n"
      "jackdaw_targets_told_of %u\njackdaw_targets_left_out %u\n"
      "jackdaw_targets_leaving %u\njackdaw_targets_paused %u\n"
      "jackdaw_targets_rejecting %u\n"
      "jackdaw_held_bytes %" G_GUINT64_FORMAT
      "\njackdaw_held_bytes_limit %" G_GUINT64_FORMAT "\n"
      "jackdaw_target_connections %u\njackdaw_target_connections_opened_total "
      "%" G_GUINT64_FORMAT "\njackdaw_target_connections_refused_total "
      "%" G_GUINT64_FORMAT "\njackdaw_caller_connections %u\n"
      "jackdaw_configuration_version %" G_GINT64_FORMAT "\n"
      "jackdaw_records_age_seconds %.3f\njackdaw_reads_store %d\n"
      "jackdaw_removals_held %d\njackdaw_removed_records_held %u\n"
      "jackdaw_store_generation %u\n"
      "jackdaw_log_lines_lost_total %" G_GUINT64_FORMAT "\n",
      host->requests.length, host->host_count, jd_replica_registry_count (host->registry),
      faults.hinted, faults.ejected, notices.leaving, notices.paused, faults.rejecting,
      host->byte_budget.held_bytes, host->byte_budget.limit_bytes,
      jd_replica_links_open_count (host->links),
      jd_replica_links_opened_total (host->links),
      jd_replica_links_refused_total (host->links),
      jd_caller_server_connection_count (host->caller_server),
      host->routes ? host->routes->version : 0,
      (double)(faults.now_us - jd_record_feed_as_of_us (host->feed)) /
          (double)JD_US_PER_S,
      jd_record_source_reads_store (host->record_source, faults.now_us),
      held_until_us > faults.now_us, jd_record_feed_held_count (host->feed),
      jd_record_revision_generation (jd_record_feed_revision (host->feed)),
      (guint64)jd_log_lost_lines ());
  append_peer_messages (text, host, faults.now_us);
  GString *fields = g_string_new ("Content-Type: text/plain; version=0.0.4\r\n");
  jd_caller_answer (caller, 200, fields, text->str, text->len);
  g_string_free (fields, TRUE);
  g_string_free (text, TRUE);
}
