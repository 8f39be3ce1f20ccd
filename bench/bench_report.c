#include <stdio.h>
#include <stdlib.h>

#include "config/settings.h"
#include "support/load_scenario.h"
#include "report/series.h"

/* Simulates one load under several ways of choosing targets, with the same targets and
 * callers, and prints the results of the callers over time. */

/* One way of choosing targets; the flags are those of jd_search_load_t. */
typedef struct variant
{
  const char *name;
  const char *description;
  bool sends_hints;
  bool uses_oracle;
  bool ignores_target_state;
  bool single_attempt;
  bool admits_all;
} variant_t;

static const variant_t variants[] = {
  { .name = "today", .description = "as in jackdaw-host", .sends_hints = true },
  { .name = "open",
    .description = "all searches are admitted",
    .sends_hints = true,
    .admits_all = true },
  { .name = "alone", .description = "hosts send each other no hints about targets" },
  { .name = "single",
    .description = "no second attempts",
    .sends_hints = true,
    .single_attempt = true },
  { .name = "blind",
    .description =
        "targets in round robin order, no second attempts, all searches are admitted",
    .ignores_target_state = true,
    .single_attempt = true,
    .admits_all = true },
  { .name = "oracle",
    .description = "hosts are given the time at which each target would answer",
    .sends_hints = true,
    .uses_oracle = true },
};

static jd_setting_t settings[] = {
  { .name = "scenario",
    .required = TRUE,
    .help = "path of the key file that describes the load" },
  { .name = "seed",
    .type = JD_SETTING_INTEGER,
    .default_value = "1",
    .min = 1,
    .max = G_MAXINT32,
    .help = "seed of the random numbers of callers and targets" },
};

/* Returns the results of the load in one variant; the caller frees them. */
static report_series_t *
simulate_variant (const jd_search_load_t *scenario, const variant_t *variant,
                  guint64 seed)
{
  jd_search_load_t load = *scenario;
  report_series_t *series = report_series_new (variant->name, &load);
  load.seed = seed;
  load.send_hints = variant->sends_hints;
  load.oracle = variant->uses_oracle;
  load.ignore_target_state = variant->ignores_target_state;
  load.single_attempt = variant->single_attempt;
  load.admit_all = variant->admits_all;
  load.on_end = report_series_record;
  load.context = series;
  jd_search_load_run (&load);
  return series;
}

int
main (int argc, char **argv)
{
  jd_settings_program_t program = {
    .name = "bench_report",
    .summary = "simulates a load under several ways of choosing targets",
    .settings = settings,
    .setting_count = G_N_ELEMENTS (settings),
  };
  jd_settings_outcome_t outcome = jd_settings_load (&program, argc, argv);
  if (outcome != JD_SETTINGS_RUN)
    return outcome == JD_SETTINGS_EXIT_OK ? EXIT_SUCCESS : EXIT_FAILURE;
  jd_search_load_t scenario;
  GError *error = NULL;
  if (!jd_load_scenario_read (settings[0].text, &scenario, &error))
    {
      g_printerr ("%s: %s\n", settings[0].text, error->message);
      g_clear_error (&error);
      return EXIT_FAILURE;
    }
  report_series_t *series[G_N_ELEMENTS (variants)];
  printf ("%-10scallers served   late p50 ms p99 ms coverage refusals  worst\n", "");
  for (size_t i = 0; i < G_N_ELEMENTS (variants); i++)
    {
      series[i] =
          simulate_variant (&scenario, &variants[i], (guint64)settings[1].integer);
      report_series_print_line (series[i]);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (variants); i++)
    printf ("%s: %s\n", variants[i].name, variants[i].description);
  for (size_t i = 0; i < G_N_ELEMENTS (variants); i++)
    {
      report_series_print (series[i]);
      report_series_free (series[i]);
    }
  return EXIT_SUCCESS;
}
