#include <stdlib.h>

#include "base/clock.h"
#include "base/log_event.h"
#include "config/settings.h"
#include "daemons/entry_daemon.h"

/* Indexes into settings. */
enum
{
  SEAT,
  ZONE,
  PEER_ADDRESS,
  BOOTSTRAP_PEERS,
  PLATFORM,
  HTTP_ADDRESS,
  HTTP_PORT,
  BODY_LIMIT,
  KEY_STALENESS,
  SHUTDOWN_NOTICE,
  SHUTDOWN_LIMIT,
  LOG_LEVEL,
  SETTING_COUNT,
};

static jd_setting_t settings[SETTING_COUNT] = {
  [SEAT] = { .name = "seat",
             .help = "member name of this process in the fleet record",
             .required = TRUE },
  [ZONE] = { .name = "zone", .help = "availability zone of this host", .required = TRUE },
  [PEER_ADDRESS] = { .name = "peer-address",
                     .help = "IP:port on which other processes reach this one",
                     .required = TRUE },
  [BOOTSTRAP_PEERS] = { .name = "bootstrap-peers",
                        .help = "IP:port,... of peers to read records from at start" },
  [PLATFORM] = { .name = "platform", .help = "URL of the platform" },
  [HTTP_ADDRESS] = { .name = "http-address",
                     .help = "IP address to listen on for callers",
                     .default_value = "127.0.0.1" },
  [HTTP_PORT] = { .name = "http-port",
                  .help = "port to listen on for callers",
                  .type = JD_SETTING_INTEGER,
                  .required = TRUE,
                  .min = 1,
                  .max = 65535 },
  [BODY_LIMIT] = { .name = "body-limit-bytes",
                   .help = "maximum size of the body of an edit",
                   .type = JD_SETTING_INTEGER,
                   .default_value = "1048576",
                   .min = 1024,
                   .max = 16777216 },
  [KEY_STALENESS] = { .name = "key-staleness-limit-ms",
                      .help = "age of the keys from which on_stale_keys applies",
                      .type = JD_SETTING_INTEGER,
                      .default_value = "10000",
                      .min = 1000,
                      .max = 3600000 },
  [SHUTDOWN_NOTICE] = { .name = "shutdown-notice-ms",
                        .help = "time for the load balancer to stop sending requests",
                        .type = JD_SETTING_INTEGER,
                        .default_value = "1000",
                        .min = 0,
                        .max = 60000 },
  [SHUTDOWN_LIMIT] = { .name = "shutdown-limit-ms",
                       .help = "time limit for running requests at shutdown",
                       .type = JD_SETTING_INTEGER,
                       .default_value = "10000",
                       .min = 0,
                       .max = 600000 },
  [LOG_LEVEL] = { .name = "log-level",
                  .help = "error, warning, info or debug",
                  .default_value = "info" },
};

/* Checks the peer address, the log level, and that a source of records is set. */
static gboolean
check_settings (void *context, GError **error)
{
  GLogLevelFlags level;
  if (!jd_settings_is_address (settings[PEER_ADDRESS].text))
    g_set_error (error, JD_SETTINGS_ERROR, 0, "--peer-address: \"%s\" is not IP:port",
                 settings[PEER_ADDRESS].text);
  else if (!settings[PLATFORM].text && !settings[BOOTSTRAP_PEERS].text)
    g_set_error (error, JD_SETTINGS_ERROR, 0,
                 "--platform, --bootstrap-peers: at least one is required");
  else if (!jd_log_parse_level (settings[LOG_LEVEL].text, &level))
    g_set_error (error, JD_SETTINGS_ERROR, 0,
                 "--log-level: \"%s\" is not one of error, warning, info, debug",
                 settings[LOG_LEVEL].text);
  else
    return TRUE;
  return FALSE;
}

/* Loads the settings and runs the entry. */
int
main (int argc, char **argv)
{
  jd_settings_program_t program = {
    .name = "jackdaw-entry",
    .summary =
        "accepts callers' requests, sends them to the shards and merges the answers",
    .settings = settings,
    .setting_count = SETTING_COUNT,
    .check = check_settings,
  };
  jd_settings_outcome_t outcome = jd_settings_load (&program, argc, argv);
  if (outcome != JD_SETTINGS_RUN)
    return outcome == JD_SETTINGS_EXIT_OK ? EXIT_SUCCESS : EXIT_FAILURE;
  GLogLevelFlags level = G_LOG_LEVEL_INFO;
  jd_log_parse_level (settings[LOG_LEVEL].text, &level);
  jd_log_install ("jackdaw-entry", settings[SEAT].text, level);
  jd_entry_daemon_options_t options = {
    .member = settings[SEAT].text,
    .zone = settings[ZONE].text,
    .peer_address = settings[PEER_ADDRESS].text,
    .bootstrap_peers = settings[BOOTSTRAP_PEERS].text,
    .platform_url = settings[PLATFORM].text,
    .http_address = settings[HTTP_ADDRESS].text,
    .http_port = (uint16_t)settings[HTTP_PORT].integer,
    .body_limit_bytes = (uint32_t)settings[BODY_LIMIT].integer,
    .key_staleness_limit_us = settings[KEY_STALENESS].integer * JD_US_PER_MS,
    .shutdown_notice_us = settings[SHUTDOWN_NOTICE].integer * JD_US_PER_MS,
    .shutdown_limit_us = settings[SHUTDOWN_LIMIT].integer * JD_US_PER_MS,
  };
  return jd_entry_daemon_run (&options);
}
