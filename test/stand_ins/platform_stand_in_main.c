#include <stdio.h>
#include <stdlib.h>

#include "base/log_event.h"
#include "config/settings.h"
#include "stand_ins/platform_server.h"
#include "stand_ins/stand_in_run.h"

enum
{
  SETTING_IP,
  SETTING_PORT,
  SETTING_RECORDS,
  SETTING_HOSTS,
  SETTING_HOSTS_LAG_MS,
  SETTING_MAX_READS,
  SETTING_LOG_LEVEL,
  SETTING_TOTAL,
};

static jd_setting_t settings[SETTING_TOTAL] = {
  [SETTING_IP] = { .name = "ip",
                   .help = "address to bind",
                   .default_value = "127.0.0.1" },
  [SETTING_PORT] = { .name = "port",
                     .type = JD_SETTING_INTEGER,
                     .default_value = "0",
                     .max = 65535,
                     .help = "port to bind; 0: any free port" },
  [SETTING_RECORDS] = { .name = "records", .help = "directory of NAME.json files" },
  [SETTING_HOSTS] = { .name = "hosts",
                      .default_value = "{\"hosts\":[]}",
                      .help = "initial list of hosts as JSON" },
  [SETTING_HOSTS_LAG_MS] = { .name = "hosts-lag-ms",
                             .type = JD_SETTING_INTEGER,
                             .default_value = "2000",
                             .max = 600000,
                             .help =
                                 "milliseconds until readers get a new list of hosts" },
  [SETTING_MAX_READS] = { .name = "max-reads-per-second",
                          .type = JD_SETTING_INTEGER,
                          .default_value = "2000",
                          .min = 1,
                          .max = 1000000,
                          .help = "reads above this rate get 429" },
  [SETTING_LOG_LEVEL] = { .name = "log-level",
                          .default_value = "info",
                          .help = "debug, info, warning or error" },
};

/* Runs the platform until SIGTERM or SIGINT; returns the exit status. */
static int
run (void)
{
  jd_timer_queue_t *timers = jd_timer_queue_new ();
  jd_platform_options_t options = {
    .ip = settings[SETTING_IP].text,
    .port = (uint16_t)settings[SETTING_PORT].integer,
    .records_directory = settings[SETTING_RECORDS].text,
    .initial_hosts = settings[SETTING_HOSTS].text,
    .hosts_lag_ms = settings[SETTING_HOSTS_LAG_MS].integer,
    .max_reads_per_second = settings[SETTING_MAX_READS].integer,
    .timers = timers,
  };
  GError *error = NULL;
  jd_platform_t *platform = jd_platform_new (&options, &error);
  if (platform)
    {
      printf ("platform address=%s:%u\nready\n", options.ip, jd_platform_port (platform));
      fflush (stdout);
      jd_stand_in_wait_for_signal ();
      jd_platform_stop (platform);
    }
  else
    jd_log_event (G_LOG_LEVEL_CRITICAL, "start_failed", "error=\"%s\"", error->message);
  g_clear_error (&error);
  jd_timer_queue_free (timers);
  int status = platform ? EXIT_SUCCESS : EXIT_FAILURE;
  jd_platform_free (platform);
  return status;
}

int
main (int argc, char **argv)
{
  jd_settings_program_t program = {
    .name = "jackdaw-platform-stand-in",
    .summary = "configuration service for tests and the demo",
    .settings = settings,
    .setting_count = SETTING_TOTAL,
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
  jd_log_install ("platform-stand-in", NULL,
                  jd_stand_in_log_level (settings[SETTING_LOG_LEVEL].text));
  jd_stand_in_block_signals ();
  return run ();
}
