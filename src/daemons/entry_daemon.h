#pragma once

#include <glib.h>
#include <stdint.h>

/* Checked settings of jackdaw-entry. The strings must outlive the daemon. */
typedef struct jd_entry_daemon_options
{
  const char *member;
  const char *zone;
  const char *peer_address;
  const char *bootstrap_peers; /* NULL if not set. */
  const char *platform_url;    /* NULL if not set. */
  const char *http_address;
  uint16_t http_port;
  uint32_t body_limit_bytes;
  int64_t key_staleness_limit_us;
  int64_t shutdown_notice_us; /* Time for the load balancer to stop sending requests. */
  int64_t shutdown_limit_us;  /* Time limit for running requests after that. */
} jd_entry_daemon_options_t;

/* Runs until SIGTERM or SIGINT; returns the exit status of the process. */
int jd_entry_daemon_run (const jd_entry_daemon_options_t *options);
