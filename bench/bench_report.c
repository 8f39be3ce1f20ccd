#include <stdio.h>
#include <stdlib.h>

#include "config/settings.h"
#include "support/load_scenario.h"
#include "report/series.h"

/* Plays a load against today's choice of targets and what it was weighed against, with
 * the same targets and callers, and prints what callers got over time. */

typedef struct variant
{
  const char *name;
  const char *meaning;
  bool tell_hints;
  bool oracle;
  bool blind;
  bool single;
  bool unguarded;
} variant_t;

static const variant_t variants[] = {
  { .name = "today", .meaning = "as jackdaw-host does it", .tell_hints = true },
  { .name = "open",
    .meaning = "all searches are admitted",
    .tell_hints = true,
    .unguarded = true },
  { .name = "alone", .meaning = "hosts do not tell each other of targets" },
  { .name = "single",
    .meaning = "no second attempts",
    .tell_hints = true,
    .single = true },
  { .name = "blind",
    .meaning = "targets in turn, no second attempts, all searches are admitted",
    .blind = true,
    .single = true,
    .unguarded = true },
  { .name = "oracle",
    .meaning = "hosts know when each target would answer",
    .tell_hints = true,
    .oracle = true },
};

static jd_setting_t settings[] = {
  { .name = "scenario", .required = TRUE, .help = "key file with the load" },
  { .name = "seed",
    .type = JD_SETTING_INTEGER,
    .default_value = "1",
    .min = 1,
    .max = G_MAXINT32,
    .help = "seed of callers and targets" },
};

/* Plays the load in one variant. */
static report_series_t *
play (const jd_search_load_t *scenario, const variant_t *variant, guint64 seed)
{
  jd_search_load_t load = *scenario;
  report_series_t *series = report_series_new (variant->name, &load);
  load.seed = seed;
  load.tell_hints = variant->tell_hints;
  load.oracle = variant->oracle;
  load.blind = variant->blind;
  load.single = variant->single;
  load.unguarded = variant->unguarded;
  load.on_end = report_series_note;
  load.context = series;
  jd_search_load_play (&load);
  return series;
}

int
main (int argc, char **argv)
{
  jd_settings_program_t program = {
    .name = "bench_report",
    .summary = "plays a load against ways of choosing targets, over time",
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
  printf ("%-10scallers served   late    p50    p99 coverage refusals  worst\n", "");
  for (size_t i = 0; i < G_N_ELEMENTS (variants); i++)
    {
      series[i] = play (&scenario, &variants[i], (guint64)settings[1].integer);
      report_series_print_line (series[i]);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (variants); i++)
    printf ("%s: %s\n", variants[i].name, variants[i].meaning);
  for (size_t i = 0; i < G_N_ELEMENTS (variants); i++)
    {
      report_series_print (series[i]);
      report_series_free (series[i]);
    }
  return EXIT_SUCCESS;
}
