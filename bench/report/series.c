#include "report/series.h"

#include <stdio.h>

#define BAR_WIDTH 20

/* Creates an empty series for a play of a load. */
report_series_t *
report_series_new (const char *name, const jd_search_load_t *load)
{
  report_series_t *series = g_new0 (report_series_t, 1);
  series->name = name;
  series->organisations = MAX (load->organisations, 1);
  series->seconds = MIN (load->duration_ms / 1000 + 1, REPORT_SECONDS_MAX);
  for (guint32 i = 0; i < series->seconds; i++)
    series->at[i].took_ms = g_array_new (FALSE, FALSE, sizeof (guint32));
  series->whole.took_ms = g_array_new (FALSE, FALSE, sizeof (guint32));
  return series;
}

/* Frees a series. */
void
report_series_free (report_series_t *series)
{
  for (guint32 i = 0; i < series->seconds; i++)
    g_array_free (series->at[i].took_ms, TRUE);
  g_array_free (series->whole.took_ms, TRUE);
  g_free (series);
}

/* Adds the end of a search to a second. */
static void
add (report_second_t *second, const jd_search_end_t *end)
{
  second->refusals += end->refused;
  if (!end->is_last)
    return;
  second->callers++;
  second->callers_of[end->organisation]++;
  second->left += end->left;
  if (!end->answered)
    return;
  second->served += end->in_objective;
  second->served_of[end->organisation] += end->in_objective;
  second->late += !end->in_objective;
  second->coverage += (double)end->parts_in / end->parts;
  g_array_append_val (second->took_ms, end->took_ms);
}

/* Load callback: takes the end of a search. */
void
report_series_note (void *context, const jd_search_end_t *end)
{
  report_series_t *series = context;
  guint32 second = end->first_ms / 1000;
  if (second < series->seconds)
    add (&series->at[second], end);
  add (&series->whole, end);
}

static int
compare (gconstpointer a, gconstpointer b)
{
  guint32 left = *(const guint32 *)a, right = *(const guint32 *)b;
  return (left > right) - (left < right);
}

/* Returns a quantile of the times of answered searches, 0 without any. */
static guint32
quantile_ms (const report_second_t *second, double quantile)
{
  guint count = second->took_ms->len;
  if (count == 0)
    return 0;
  g_array_sort (second->took_ms, compare);
  guint place = MIN ((guint)(quantile * count), count - 1);
  return g_array_index (second->took_ms, guint32, place);
}

static double
share (guint32 part, guint32 whole)
{
  return whole > 0 ? (double)part / whole : 1.0;
}

/* Returns the share served of the organisation that is served worst. */
static double
worst_share (const report_series_t *series, const report_second_t *second)
{
  double worst = 1.0;
  for (guint32 i = 0; i < series->organisations; i++)
    worst = MIN (worst, share (second->served_of[i], second->callers_of[i]));
  return worst;
}

static void
print_figures (const report_series_t *series, const report_second_t *second)
{
  guint32 answered = second->served + second->late;
  printf ("%7u %6.3f %6.3f %6u %6u %8.3f %8u %6.3f", second->callers,
          share (second->served, second->callers), share (second->late, second->callers),
          quantile_ms (second, 0.5), quantile_ms (second, 0.99),
          answered > 0 ? second->coverage / answered : 0.0, second->refusals,
          worst_share (series, second));
}

/* Prints one line for the whole play. */
void
report_series_print_line (const report_series_t *series)
{
  printf ("%-10s", series->name);
  print_figures (series, &series->whole);
  printf ("\n");
}

/* Prints a line a second, with a bar of the share that was served within the objective.
 */
void
report_series_print (const report_series_t *series)
{
  printf ("\n%s\n%-10scallers served   late    p50    p99 coverage refusals  worst\n",
          series->name, "second");
  for (guint32 i = 0; i < series->seconds; i++)
    {
      const report_second_t *second = &series->at[i];
      if (second->callers == 0)
        continue;
      printf ("%-10u", i);
      print_figures (series, second);
      char bar[BAR_WIDTH + 1] = { 0 };
      guint32 length =
          (guint32)(share (second->served, second->callers) * BAR_WIDTH + 0.5);
      for (guint32 k = 0; k < BAR_WIDTH; k++)
        bar[k] = k < length ? '#' : '.';
      printf ("  %s\n", bar);
    }
}
