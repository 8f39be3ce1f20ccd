#pragma once

#include "stand_ins/call_meter.h"
#include "stand_ins/http_server.h"
#include "stand_ins/platform_hosts.h"
#include "stand_ins/platform_records.h"
#include "stand_ins/platform_server.h"

/* How the platform answers reads. */
typedef enum jd_platform_down
{
  JD_PLATFORM_UP,
  JD_PLATFORM_REFUSES, /* 503 */
  JD_PLATFORM_HANGS,   /* No answer as long as this lasts, then a closed connection. */
  JD_PLATFORM_CLOSES,  /* Closes the connection. */
} jd_platform_down_t;

/* The platform. The lock guards everything below it. */
struct jd_platform
{
  jd_timer_queue_t *timers;
  jd_http_server_t *server;

  GMutex lock;
  jd_platform_records_t *records;
  jd_platform_hosts_t *hosts;
  jd_platform_down_t down;
  jd_platform_view_t view;
  int64_t slow_ms;
  int64_t hosts_lag_ms;
  int64_t max_reads_per_second;
  jd_call_meter_t meter;
  uint64_t refused;
  GList *watches; /* jd_platform_watch_t */
  GList *hanging; /* jd_http_request_t */
};
