#pragma once

#include "stand_ins/call_meter.h"
#include "stand_ins/http_server.h"
#include "stand_ins/platform_hosts.h"
#include "stand_ins/platform_records.h"
#include "stand_ins/platform_server.h"

/* Whether and how the platform answers reads. */
typedef enum jd_platform_availability
{
  JD_PLATFORM_UP,
  JD_PLATFORM_REFUSES, /* 503 */
  JD_PLATFORM_HANGS,   /* Sends no answer; closes the connections when this state ends. */
  JD_PLATFORM_CLOSES,  /* Closes the connection. */
} jd_platform_availability_t;

/* Internal state of the platform stand-in. */
struct jd_platform
{
  jd_timer_queue_t *timers;
  jd_http_server_t *server;

  GMutex lock; /* Guards the fields below. */
  jd_platform_records_t *records;
  jd_platform_hosts_t *hosts;
  jd_platform_availability_t availability;
  jd_platform_view_t view;
  int64_t read_delay_ms;
  int64_t hosts_lag_ms;
  int64_t max_reads_per_second;
  jd_call_meter_t read_meter;
  uint64_t refused_reads;
  GList *watches;          /* jd_platform_watch_t */
  GList *hanging_requests; /* jd_http_request_t */
};
