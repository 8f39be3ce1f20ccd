#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "config/settings.h"
#include "load_plan.h"
#include "load_report.h"
#include "load_worker.h"

enum
{
  SETTING_ENTRIES,
  SETTING_ORGANISATIONS,
  SETTING_SEARCH_SERVICE,
  SETTING_ENTRY_SERVICE,
  SETTING_MIX,
  SETTING_DURATION_MS,
  SETTING_TIMEOUT_MS,
  SETTING_LIMIT,
  SETTING_THREADS,
  SETTING_IN_FLIGHT,
  SETTING_SEED,
  SETTING_HISTORY,
  SETTING_JSON,
  SETTING_TOTAL,
};

static jd_setting_t settings[SETTING_TOTAL] = {
  [SETTING_ENTRIES] = { .name = "entries",
                        .required = TRUE,
                        .help = "comma-separated base URLs of the entries" },
  [SETTING_ORGANISATIONS] = { .name = "organisations",
                              .required = TRUE,
                              .help = "ID:KEY:RATE,... with RATE in requests/s" },
  [SETTING_SEARCH_SERVICE] = { .name = "search-service",
                               .default_value = "desk",
                               .help = "service to which searches are sent" },
  [SETTING_ENTRY_SERVICE] = { .name = "entry-service",
                              .default_value = "studio",
                              .help = "service to which fetches and edits are sent" },
  [SETTING_MIX] = { .name = "mix",
                    .default_value = "1:0:0",
                    .help = "weights SEARCH:FETCH:EDIT" },
  [SETTING_DURATION_MS] = { .name = "duration-ms",
                            .type = JD_SETTING_INTEGER,
                            .default_value = "5000",
                            .min = 1,
                            .max = 3600000,
                            .help = "time during which requests are sent" },
  [SETTING_TIMEOUT_MS] = { .name = "timeout-ms",
                           .type = JD_SETTING_INTEGER,
                           .default_value = "1000",
                           .min = 1,
                           .max = 60000,
                           .help = "timeout_ms parameter of searches" },
  [SETTING_LIMIT] = { .name = "limit",
                      .type = JD_SETTING_INTEGER,
                      .default_value = "10",
                      .min = 1,
                      .max = 1000,
                      .help = "maximum number of hits per search" },
  [SETTING_THREADS] = { .name = "threads",
                        .type = JD_SETTING_INTEGER,
                        .default_value = "2",
                        .min = 1,
                        .max = 16,
                        .help = "number of worker threads" },
  [SETTING_IN_FLIGHT] = { .name = "in-flight",
                          .type = JD_SETTING_INTEGER,
                          .default_value = "500",
                          .min = 1,
                          .max = 2000,
                          .help = "maximum number of requests in flight per thread" },
  [SETTING_SEED] = { .name = "seed",
                     .type = JD_SETTING_INTEGER,
                     .default_value = "1",
                     .max = INT64_MAX,
                     .help = "seed of the arrival times and of the requests" },
  [SETTING_HISTORY] = { .name = "history", .help = "file for one JSON line per request" },
  [SETTING_JSON] = { .name = "json",
                     .type = JD_SETTING_FLAG,
                     .help = "print JSON lines instead of a table" },
};

static load_plan_t plan;

/* Parses the entries, organisations and mix into the plan; jd_settings_load calls it. */
static gboolean
check_plan (void *context, GError **error)
{
  return load_plan_read_entries (&plan, settings[SETTING_ENTRIES].text, error) &&
         load_plan_read_organisations (&plan, settings[SETTING_ORGANISATIONS].text,
                                       error) &&
         load_plan_read_mix (&plan, settings[SETTING_MIX].text, error);
}

/* Copies the remaining settings into the plan and sets its start to the current time. */
static void
complete_plan (void)
{
  plan.search_service = settings[SETTING_SEARCH_SERVICE].text;
  plan.entry_service = settings[SETTING_ENTRY_SERVICE].text;
  plan.duration_us = settings[SETTING_DURATION_MS].integer * JD_US_PER_MS;
  plan.timeout_ms = (uint32_t)settings[SETTING_TIMEOUT_MS].integer;
  plan.limit = (uint32_t)settings[SETTING_LIMIT].integer;
  plan.in_flight_max = (uint32_t)settings[SETTING_IN_FLIGHT].integer;
  plan.worker_count = (uint32_t)settings[SETTING_THREADS].integer;
  plan.seed = (uint64_t)settings[SETTING_SEED].integer;
  plan.begin_us = g_get_monotonic_time ();
}

/* Runs the workers and prints the report; returns the exit status. */
static int
run (void)
{
  GError *error = NULL;
  load_history_t *history = load_history_open (settings[SETTING_HISTORY].text, &error);
  if (error)
    {
      fprintf (stderr, "jackdaw-load: %s\n", error->message);
      g_clear_error (&error);
      return EXIT_FAILURE;
    }
  load_worker_t *workers = g_new0 (load_worker_t, plan.worker_count);
  for (uint32_t i = 0; i < plan.worker_count; i++)
    {
      workers[i] = (load_worker_t){ .plan = &plan, .history = history, .index = i };
      load_worker_start (&workers[i]);
    }
  for (uint32_t i = 0; i < plan.worker_count; i++)
    load_worker_join (&workers[i]);
  load_history_close (history);
  load_report_print (&plan, workers, settings[SETTING_JSON].given);
  load_report_check_rate (&plan, workers);
  for (uint32_t i = 0; i < plan.worker_count; i++)
    load_worker_clear (&workers[i]);
  g_free (workers);
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  jd_settings_program_t program = {
    .name = "jackdaw-load",
    .summary = "open-loop load generator for entries",
    .settings = settings,
    .setting_count = SETTING_TOTAL,
    .check = check_plan,
  };
  switch (jd_settings_load (&program, argc, argv))
    {
    case JD_SETTINGS_RUN:
      break;
    case JD_SETTINGS_EXIT_OK:
      return EXIT_SUCCESS;
    case JD_SETTINGS_EXIT_ERROR:
    default:
      return EXIT_FAILURE;
    }
  curl_global_init (CURL_GLOBAL_DEFAULT);
  complete_plan ();
  int status = run ();
  load_plan_clear (&plan);
  curl_global_cleanup ();
  return status;
}
