#pragma once

#include <glib.h>
#include <stdint.h>

/* Settings of jackdaw-entry after checking. Texts must outlive the daemon. */
typedef struct jd_entry_daemon_options
{
  const char *seat;
  const char *zone;
  const char *peer_address;
  const char *bootstrap_peers; /* NULL: none */
  const char *platform_url;    /* NULL: none */
  const char *http_address;
  uint16_t http_port;
  uint32_t body_limit_bytes;
  int64_t key_staleness_limit_us;
  int64_t shutdown_notice_us; /* Time for the load balancer to turn away. */
  int64_t shutdown_limit_us;  /* Longest time for running requests after that. */
} jd_entry_daemon_options_t;

/* Runs until SIGTERM or SIGINT; returns the exit status of the process. */
int jd_entry_daemon_run (const jd_entry_daemon_options_t *options);
