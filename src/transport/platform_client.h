#pragma once

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/counters.h"
#include "base/rng.h"

/* Reads the published records from the platform and watches them in its own thread. The
 * client reads all records once at the start. After that it watches them all with one
 * long-polling request (GET /v1/records?watch_after=V&wait_ms=W). */
typedef struct jd_platform_client jd_platform_client_t;

typedef struct jd_platform_client_options
{
  const char *base_url; /* "http://IP:port" */
  gboolean watch;       /* FALSE: read once; see jd_platform_client_set_watching. */

  /* 0 selects the default, which is given at each member. */
  uint32_t connect_timeout_ms; /* 500 */
  uint32_t total_timeout_ms;   /* 2000; a watch request adds watch_wait_ms */
  uint32_t watch_wait_ms;      /* 1000; also paces the reads of the host list */
  uint32_t min_backoff_ms;     /* 1000; smaller values only in tests */
  uint32_t max_backoff_ms;     /* 8000 */

  jd_clock_t clock;
  jd_rng_t rng;            /* Used by the client's thread only. */
  jd_counters_t *counters; /* platform.reads, platform.errors; or NULL. */

  /* The callbacks run in the client's thread, and never after jd_platform_client_free. */
  void (*on_record) (void *context, const char *name, const char *text, size_t length);
  /* All records passed to on_record were the platform's newest at sent_us, the time when
   * the confirming request was sent. Called after the on_record calls of that state. */
  void (*on_confirmed) (void *context, int64_t sent_us);
  /* Called when the reply to GET /v1/hosts has changed; NULL: hosts are not read. */
  void (*on_hosts) (void *context, const char *text, size_t length);
  void *context;
} jd_platform_client_options_t;

jd_platform_client_t *
jd_platform_client_new (const jd_platform_client_options_t *options);
/* Aborts a running request and joins the thread. Must not be called from a callback. */
void jd_platform_client_free (jd_platform_client_t *client);
/* Starts or stops the watch; a new watch starts with a comparison of all records. May be
 * called from any thread. */
void jd_platform_client_set_watching (jd_platform_client_t *client, gboolean watching);
/* Returns the sent_us of the last on_confirmed, or -1 if there was none. May be called
 * from any thread. */
int64_t jd_platform_client_confirmed_us (jd_platform_client_t *client);
