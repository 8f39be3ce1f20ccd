#pragma once

#include <glib.h>

#include "support/search_load.h"

#define REPORT_SECONDS_MAX 61
#define REPORT_ORGANISATIONS_MAX 64

/* What callers got who came in one second. */
typedef struct report_second
{
  guint32 callers;
  guint32 served; /* Within the objective. */
  guint32 late;
  guint32 left;
  guint32 refusals; /* Answers, of which a caller may get several. */
  double coverage;  /* Sum over answered searches. */
  GArray *took_ms;  /* guint32, of answered ones. */
  guint32 callers_of[REPORT_ORGANISATIONS_MAX];
  guint32 served_of[REPORT_ORGANISATIONS_MAX];
} report_second_t;

/* What callers got over time in one play of a load. */
typedef struct report_series
{
  const char *name;
  guint32 organisations;
  guint32 seconds;
  report_second_t at[REPORT_SECONDS_MAX];
  report_second_t whole;
} report_series_t;

report_series_t *report_series_new (const char *name, const jd_search_load_t *load);
void report_series_free (report_series_t *series);
void report_series_note (void *context, const jd_search_end_t *end);
void report_series_print_line (const report_series_t *series);
void report_series_print (const report_series_t *series);
