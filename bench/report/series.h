#pragma once

#include <glib.h>

#include "support/search_load.h"

/* Loads last at most 60 s; the last callers of such a load are in second 60. */
#define REPORT_SECONDS_MAX 61
#define REPORT_ORGANISATIONS_MAX 64

/* Results of the callers that first sent their search in one second. */
typedef struct report_second
{
  guint32 callers;
  guint32 served; /* Answered within the latency objective. */
  guint32 late;   /* Answered later than the latency objective. */
  guint32 abandoned;
  guint32 refusals;     /* Refused searches; one caller may have several. */
  double coverage_sum;  /* Over answered searches. */
  GArray *latencies_ms; /* guint32, of answered searches. */
  guint32 callers_by_organisation[REPORT_ORGANISATIONS_MAX];
  guint32 served_by_organisation[REPORT_ORGANISATIONS_MAX];
} report_second_t;

/* Results of the callers over time in one simulation of a load. */
typedef struct report_series
{
  const char *name;
  guint32 organisation_count;
  guint32 second_count;
  report_second_t seconds[REPORT_SECONDS_MAX];
  report_second_t total;
} report_series_t;

report_series_t *report_series_new (const char *name, const jd_search_load_t *load);
void report_series_free (report_series_t *series);
void report_series_record (void *context, const jd_search_end_t *end);
void report_series_print_line (const report_series_t *series);
void report_series_print (const report_series_t *series);
