#pragma once

#include <glib.h>
#include <stdint.h>

/* The broker process: owns targets of its availability zone and sends work to them. */
typedef struct jd_broker_daemon jd_broker_daemon_t;

typedef struct jd_broker_daemon_options
{
  const char *member;
  const char *zone;
  const char *peer_address;    /* "IP:port" that entries and other brokers connect to. */
  const char *bootstrap_peers; /* Addresses separated by commas, or NULL. */
  const char *platform_url;    /* NULL: records come from peers only. */
  uint16_t http_port;
  int64_t shutdown_limit_us;
} jd_broker_daemon_options_t;

/* SIGTERM and SIGINT must be blocked in all threads, because the daemon reads them from a
 * signalfd. The strings in the options must outlive the daemon. */
jd_broker_daemon_t *jd_broker_daemon_new (const jd_broker_daemon_options_t *options,
                                          GError **error);
/* Runs the event loop until a graceful shutdown has ended. */
void jd_broker_daemon_run (jd_broker_daemon_t *broker);
void jd_broker_daemon_free (jd_broker_daemon_t *broker);
