#pragma once

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/counters.h"
#include "config/config_store.h"
#include "daemons/caller_request.h"

/* HTTP server of the entry: checks callers' requests and passes them to the event loop.
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
  /* Adds a reference to the request and answers it later. */
  void (*submit) (void *context, jd_caller_request_t *request);
  /* Returns the microseconds since the keys were last confirmed, or -1 if they never
   * were. */
  int64_t (*key_age_us) (void *context);
  /* Return the JSON texts of operator routes; freed with g_free, NULL for a 404. */
  char *(*status_json) (void *context);
  char *(*explain_json) (void *context, const char *service, const char *query);
  /* Returns JD_OK, or the reason why this host should receive no new requests. */
  jd_result_code_t (*health) (void *context);
} jd_entry_http_options_t;

jd_entry_http_t *jd_entry_http_start (const jd_entry_http_options_t *options,
                                      GError **error);
/* Adds "Connection: close" to all answers from now on. */
void jd_entry_http_announce_close (jd_entry_http_t *http);
/* Refuses new requests as JD_SHUTTING_DOWN from now on. */
void jd_entry_http_refuse_requests (jd_entry_http_t *http);
/* Returns the number of requests that were received and are not answered yet. */
uint32_t jd_entry_http_active_requests (jd_entry_http_t *http);
void jd_entry_http_stop (jd_entry_http_t *http);
