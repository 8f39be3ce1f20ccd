#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include "base/clock.h"
#include "base/log_event.h"
#include "base/name.h"
#include "config/settings.h"
#include "daemons/broker_daemon.h"
#include "daemons/stop_signal.h"

enum
{
  SETTING_SEAT,
  SETTING_ZONE,
  SETTING_PEER_ADDRESS,
  SETTING_HTTP_PORT,
  SETTING_PLATFORM,
  SETTING_BOOTSTRAP_PEERS,
  SETTING_LOG_LEVEL,
  SETTING_SHUTDOWN_LIMIT_MS,
  SETTING_COUNT,
};

static jd_setting_t settings[SETTING_COUNT] = {
  [SETTING_SEAT] = { .name = "seat",
                     .required = TRUE,
                     .help = "member name of this broker in the fleet record" },
  [SETTING_ZONE] = { .name = "zone",
                     .required = TRUE,
                     .help = "availability zone of this host" },
  [SETTING_PEER_ADDRESS] = { .name = "peer-address",
                             .required = TRUE,
                             .help =
                                 "IP:port that entries and other brokers connect to" },
  [SETTING_HTTP_PORT] = { .name = "http-port",
                          .type = JD_SETTING_INTEGER,
                          .required = TRUE,
                          .min = 1,
                          .max = 65535,
                          .help = "port on 127.0.0.1 for operators" },
  [SETTING_PLATFORM] = { .name = "platform",
                         .help = "URL of the platform, http://IP:port" },
  [SETTING_BOOTSTRAP_PEERS] = { .name = "bootstrap-peers",
                                .help = "IP:port of processes to get records from, "
                                        "separated by commas" },
  [SETTING_LOG_LEVEL] = { .name = "log-level",
                          .default_value = "info",
                          .help = "debug, info, warning or error" },
  [SETTING_SHUTDOWN_LIMIT_MS] = { .name = "shutdown-limit-ms",
                                  .type = JD_SETTING_INTEGER,
                                  .default_value = "10000",
                                  .min = 0,
                                  .max = 600000,
                                  .help = "time limit for running work after SIGTERM" },
};

static GLogLevelFlags log_level;

/* Checks the settings that no type or range covers, and parses the log level. */
static gboolean
check_settings (void *context, GError **error)
{
  const char *address = settings[SETTING_PEER_ADDRESS].text;
  const char *names[] = { settings[SETTING_SEAT].text, settings[SETTING_ZONE].text };
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      if (strlen (names[i]) >= JD_NAME_SIZE)
        {
          g_set_error (error, JD_SETTINGS_ERROR, 0, "name \"%s\" is longer than %d bytes",
                       names[i], JD_NAME_SIZE - 1);
          return FALSE;
        }
    }
  if (!jd_settings_is_address (address))
    {
      g_set_error (error, JD_SETTINGS_ERROR, 0,
                   "--peer-address: \"%s\" is not an IP address and a port", address);
      return FALSE;
    }
  const char *platform = settings[SETTING_PLATFORM].text;
  if (!platform && !settings[SETTING_BOOTSTRAP_PEERS].text)
    {
      g_set_error (error, JD_SETTINGS_ERROR, 0,
                   "--platform, --bootstrap-peers: at least one is required");
      return FALSE;
    }
  if (platform && !g_str_has_prefix (platform, "http://"))
    {
      g_set_error (error, JD_SETTINGS_ERROR, 0, "--platform: \"%s\" is not an http URL",
                   platform);
      return FALSE;
    }
  if (!jd_log_parse_level (settings[SETTING_LOG_LEVEL].text, &log_level))
    {
      g_set_error (error, JD_SETTINGS_ERROR, 0,
                   "--log-level: \"%s\" is not one of debug, info, warning, error",
                   settings[SETTING_LOG_LEVEL].text);
      return FALSE;
    }
  return TRUE;
}

/* Runs the broker until it has shut down; returns the exit status of the process. */
static int
run (void)
{
  const jd_broker_daemon_options_t options = {
    .member = settings[SETTING_SEAT].text,
    .zone = settings[SETTING_ZONE].text,
    .peer_address = settings[SETTING_PEER_ADDRESS].text,
    .bootstrap_peers = settings[SETTING_BOOTSTRAP_PEERS].text,
    .platform_url = settings[SETTING_PLATFORM].text,
    .http_port = (uint16_t)settings[SETTING_HTTP_PORT].integer,
    .shutdown_limit_us = settings[SETTING_SHUTDOWN_LIMIT_MS].integer * JD_US_PER_MS,
  };
  GError *error = NULL;
  jd_broker_daemon_t *broker = jd_broker_daemon_new (&options, &error);
  if (!broker)
    {
      fprintf (stderr, "jackdaw-broker: %s\n", error->message);
      g_error_free (error);
      return EXIT_FAILURE;
    }
  jd_broker_daemon_run (broker);
  jd_broker_daemon_free (broker);
  return EXIT_SUCCESS;
}

/* Reads the settings, blocks the stop signals before any thread starts, and runs the
 * broker. */
int
main (int argc, char **argv)
{
  jd_settings_program_t program = {
    .name = "jackdaw-broker",
    .summary = "owns targets of an availability zone and sends work to them",
    .settings = settings,
    .setting_count = SETTING_COUNT,
    .check = check_settings,
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
  jd_log_install ("jackdaw-broker", settings[SETTING_SEAT].text, log_level);
  jd_stop_signal_block ();
  curl_global_init (CURL_GLOBAL_DEFAULT);
  int status = run ();
  curl_global_cleanup ();
  return status;
}
