#include "report/series.h"

#include <stdio.h>

#define BAR_LENGTH 20

/* Creates an empty series for a load; name must outlive it. */
report_series_t *
report_series_new (const char *name, const jd_search_load_t *load)
{
  report_series_t *series = g_new0 (report_series_t, 1);
  series->name = name;
  series->organisation_count = MAX (load->organisations, 1);
  series->second_count = MIN (load->duration_ms / 1000 + 1, REPORT_SECONDS_MAX);
  for (guint32 i = 0; i < series->second_count; i++)
    series->seconds[i].latencies_ms = g_array_new (FALSE, FALSE, sizeof (guint32));
  series->total.latencies_ms = g_array_new (FALSE, FALSE, sizeof (guint32));
  return series;
}

void
report_series_free (report_series_t *series)
{
  for (guint32 i = 0; i < series->second_count; i++)
    g_array_free (series->seconds[i].latencies_ms, TRUE);
  g_array_free (series->total.latencies_ms, TRUE);
  g_free (series);
}

/* Adds the end of a search to the results of a second or of the whole simulation. Counts
 * every refusal, and otherwise only the last attempt of a caller. */
static void
record_end (report_second_t *second, const jd_search_end_t *end)
{
  second->refusals += end->refused;
  if (!end->is_last)
    return;
  second->callers++;
  second->callers_by_organisation[end->organisation]++;
  second->abandoned += end->abandoned;
  if (!end->answered)
    return;
  second->served += end->in_objective;
  second->served_by_organisation[end->organisation] += end->in_objective;
  second->late += !end->in_objective;
  second->coverage_sum += (double)end->answered_parts / end->parts;
  g_array_append_val (second->latencies_ms, end->latency_ms);
}

/* Load callback: adds the end of a search to the second in which its caller first sent
 * it, and to the total. */
void
report_series_record (void *context, const jd_search_end_t *end)
{
  report_series_t *series = context;
  guint32 second = end->first_sent_ms / 1000;
  if (second < series->second_count)
    record_end (&series->seconds[second], end);
  record_end (&series->total, end);
}

static int
compare_uint32 (gconstpointer a, gconstpointer b)
{
  guint32 left = *(const guint32 *)a, right = *(const guint32 *)b;
  return (left > right) - (left < right);
}

/* Returns a quantile of the latencies of answered searches, or 0 if there are none. Sorts
 * the latencies. */
static guint32
quantile_ms (const report_second_t *second, double quantile)
{
  guint count = second->latencies_ms->len;
  if (count == 0)
    return 0;
  g_array_sort (second->latencies_ms, compare_uint32);
  guint index = MIN ((guint)(quantile * count), count - 1);
  return g_array_index (second->latencies_ms, guint32, index);
}

/* Returns part divided by whole, or 1 if whole is 0. */
static double
share (guint32 part, guint32 whole)
{
  return whole > 0 ? (double)part / whole : 1.0;
}

/* Returns the lowest share of served callers among the organisations. */
static double
worst_share (const report_series_t *series, const report_second_t *second)
{
  double worst = 1.0;
  for (guint32 i = 0; i < series->organisation_count; i++)
    worst = MIN (worst, share (second->served_by_organisation[i],
                               second->callers_by_organisation[i]));
  return worst;
}

static void
print_columns (const report_series_t *series, const report_second_t *second)
{
  guint32 answered = second->served + second->late;
  printf ("%7u %6.3f %6.3f %6u %6u %8.3f %8u %6.3f", second->callers,
          share (second->served, second->callers), share (second->late, second->callers),
          quantile_ms (second, 0.5), quantile_ms (second, 0.99),
          answered > 0 ? second->coverage_sum / answered : 0.0, second->refusals,
          worst_share (series, second));
}

/* Prints one line for the whole simulation. */
void
report_series_print_line (const report_series_t *series)
{
  printf ("%-10s", series->name);
  print_columns (series, &series->total);
  printf ("\n");
}

/* Prints a line for each second with callers, with a bar that shows the share served
 * within the objective. */
void
report_series_print (const report_series_t *series)
{
  printf ("\n%s\n%-10scallers served   late p50 ms p99 ms coverage refusals  worst\n",
          series->name, "second");
  for (guint32 i = 0; i < series->second_count; i++)
    {
      const report_second_t *second = &series->seconds[i];
      if (second->callers == 0)
        continue;
      printf ("%-10u", i);
      print_columns (series, second);
      char bar[BAR_LENGTH + 1] = { 0 };
      guint32 filled =
          (guint32)(share (second->served, second->callers) * BAR_LENGTH + 0.5);
      for (guint32 k = 0; k < BAR_LENGTH; k++)
        bar[k] = k < filled ? '#' : '.';
      printf ("  %s\n", bar);
    }
}
