#include "load_report.h"

#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

/* Latencies count from the scheduled time of a request, so late starts raise them.
 * A report with a higher share of late starts comes with a warning. */
#define MAX_START_LAG_US 5000.0
#define MAX_LATE_SHARE 0.01

/* One row of the report. */
typedef struct report_row
{
  const char *name;
  load_tally_t tally;
  double quantiles_ms[3];
  double coverage;
} report_row_t;

static const double quantiles[] = { 0.5, 0.99, 0.999 };

/* Adds a tally to a sum. */
static void
tally_add (load_tally_t *sum, const load_tally_t *tally)
{
  sum->sent += tally->sent;
  for (int i = 0; i < LOAD_OUTCOMES; i++)
    sum->outcomes[i] += tally->outcomes[i];
  sum->unknown_edits += tally->unknown_edits;
  sum->coverage_sum += tally->coverage_sum;
  sum->coverage_count += tally->coverage_count;
  if (tally->latencies_us->len > 0)
    g_array_append_vals (sum->latencies_us, tally->latencies_us->data,
                         tally->latencies_us->len);
}

/* Adds up the tallies of all workers for the organisations from first to end - 1. The
 * caller frees the latencies of the row. */
static report_row_t
make_row (const load_plan_t *plan, const load_worker_t *workers, const char *name,
          uint32_t first, uint32_t end)
{
  report_row_t row = { .name = name };
  row.tally.latencies_us = g_array_new (FALSE, FALSE, sizeof (double));
  for (uint32_t i = 0; i < plan->worker_count; i++)
    {
      for (uint32_t k = first; k < end; k++)
        tally_add (&row.tally, &workers[i].tallies[k]);
    }
  GArray *latencies = row.tally.latencies_us;
  double *values = (double *)(void *)latencies->data;
  if (latencies->len > 0)
    gsl_sort (values, 1, latencies->len);
  for (int i = 0; i < 3 && latencies->len > 0; i++)
    row.quantiles_ms[i] =
        gsl_stats_quantile_from_sorted_data (values, 1, latencies->len, quantiles[i]) /
        1000.0;
  if (row.tally.coverage_count > 0)
    row.coverage = row.tally.coverage_sum / (double)row.tally.coverage_count;
  return row;
}

/* Prints a row as one JSON line. */
static void
print_json (const report_row_t *row)
{
  const load_tally_t *tally = &row->tally;
  json_t *object = json_pack ("{s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:f, s:f, s:f, s:f}",
                              "organisation", row->name, "sent", (json_int_t)tally->sent,
                              "ok", (json_int_t)tally->outcomes[LOAD_OK], "partial",
                              (json_int_t)tally->outcomes[LOAD_PARTIAL], "refused",
                              (json_int_t)tally->outcomes[LOAD_REFUSED], "failed",
                              (json_int_t)tally->outcomes[LOAD_FAILED], "unknown_edits",
                              (json_int_t)tally->unknown_edits, "p50_ms",
                              row->quantiles_ms[0], "p99_ms", row->quantiles_ms[1],
                              "p999_ms", row->quantiles_ms[2], "coverage", row->coverage);
  char *text = json_dumps (object, JSON_COMPACT);
  printf ("%s\n", text);
  free (text);
  json_decref (object);
}

static void
print_text (const report_row_t *row)
{
  const load_tally_t *tally = &row->tally;
  printf ("%-16s %9" G_GUINT64_FORMAT " %9" G_GUINT64_FORMAT " %8" G_GUINT64_FORMAT
          " %8" G_GUINT64_FORMAT " %8" G_GUINT64_FORMAT " %8" G_GUINT64_FORMAT
          " %8.2f %8.2f %8.2f %8.4f\n",
          row->name, (guint64)tally->sent, (guint64)tally->outcomes[LOAD_OK],
          (guint64)tally->outcomes[LOAD_PARTIAL], (guint64)tally->outcomes[LOAD_REFUSED],
          (guint64)tally->outcomes[LOAD_FAILED], (guint64)tally->unknown_edits,
          row->quantiles_ms[0], row->quantiles_ms[1], row->quantiles_ms[2],
          row->coverage);
}

/* Prints one row per organisation and one for all of them, as a table or as JSON lines,
 * with durations in milliseconds. */
void
load_report_print (const load_plan_t *plan, const load_worker_t *workers,
                   gboolean as_json)
{
  if (!as_json)
    printf ("%-16s %9s %9s %8s %8s %8s %8s %8s %8s %8s %8s\n", "organisation", "sent",
            "ok", "partial", "refused", "failed", "unknown", "p50 ms", "p99 ms",
            "p99.9 ms", "coverage");
  uint32_t count = plan->organisations->len;
  for (uint32_t i = 0; i <= count; i++)
    {
      const char *name = "(all)";
      if (i < count)
        name = g_array_index (plan->organisations, load_organisation_t, i).id;
      report_row_t row =
          make_row (plan, workers, name, i < count ? i : 0, i < count ? i + 1 : count);
      if (as_json)
        print_json (&row);
      else
        print_text (&row);
      g_array_free (row.tally.latencies_us, TRUE);
    }
}

/* Checks that the workers sent every request and started nearly all of them on time.
 * Otherwise prints a warning on standard error and returns FALSE. */
gboolean
load_report_check_rate (const load_plan_t *plan, const load_worker_t *workers)
{
  uint64_t sent = 0;
  uint64_t late_starts = 0;
  uint64_t not_sent = 0;
  for (uint32_t i = 0; i < plan->worker_count; i++)
    {
      const GArray *lags = workers[i].start_lags_us;
      sent += lags->len;
      not_sent += workers[i].not_sent;
      for (guint k = 0; k < lags->len; k++)
        late_starts += g_array_index (lags, double, k) > MAX_START_LAG_US ? 1 : 0;
    }
  gboolean rate_kept =
      not_sent == 0 && (double)late_starts <= MAX_LATE_SHARE * (double)sent;
  if (!rate_kept)
    fprintf (stderr,
             "warning: the offered rate was not kept: %" G_GUINT64_FORMAT
             " requests were not sent (in-flight limit), %" G_GUINT64_FORMAT
             " of %" G_GUINT64_FORMAT
             " sent requests started more than %.0f ms behind schedule\n",
             (guint64)not_sent, (guint64)late_starts, (guint64)sent,
             MAX_START_LAG_US / 1000.0);
  return rate_kept;
}
