#pragma once

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/counters.h"
#include "config/config_store.h"
#include "daemons/caller_request.h"

/* The HTTP side of the entry: checks callers' requests and hands them to the event loop.
 * Callbacks run in worker threads. */
typedef struct jd_entry_http jd_entry_http_t;

typedef struct jd_entry_http_options
{
  uint16_t port;
  const char *bind_address;
  uint32_t body_limit_bytes;
  int64_t key_staleness_limit_us;
  jd_config_store_t *store;
  jd_counters_t *counters;
  jd_clock_t clock;
  void *context;
  /* Takes a reference to the request and answers it later. */
  void (*submit) (void *context, jd_caller_request_t *request);
  /* Age of the last confirmation of the keys in microseconds, -1 for never. */
  int64_t (*key_age_us) (void *context);
  /* JSON texts of the operator routes; free with g_free. */
  char *(*status_json) (void *context);
  char *(*explain_json) (void *context, const char *service, const char *query);
  /* JD_OK or the reason why this host should get no new callers. */
  jd_result_code_t (*health) (void *context);
} jd_entry_http_options_t;

jd_entry_http_t *jd_entry_http_start (const jd_entry_http_options_t *options,
                                      GError **error);
/* From now on answers ask callers to close their connections. */
void jd_entry_http_announce_close (jd_entry_http_t *http);
/* From now on requests are refused as JD_SHUTTING_DOWN. */
void jd_entry_http_refuse (jd_entry_http_t *http);
/* Number of requests that have been received and not yet answered. */
uint32_t jd_entry_http_active (jd_entry_http_t *http);
void jd_entry_http_stop (jd_entry_http_t *http);
