#pragma once

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/counters.h"
#include "base/rng.h"

/* Reads the published records from the platform and watches them, in a thread of its
 * own. All records are read once at the start; after that one waiting call on the list
 * of records (GET /v1/records?watch_after=V&wait_ms=W) watches them all. */
typedef struct jd_platform_client jd_platform_client_t;

typedef struct jd_platform_client_options
{
  const char *base_url; /* "http://IP:port" */
  gboolean watch;       /* FALSE: only the first read; see set_watching. */

  /* 0 takes the default. */
  uint32_t connect_timeout_ms; /* 500 */
  uint32_t total_timeout_ms;   /* 2000, on top of the wait of a watch */
  uint32_t watch_wait_ms;      /* 1000; also the interval of reads of the host list */
  uint32_t retry_min_ms;       /* 1000; smaller values only in tests */
  uint32_t retry_max_ms;       /* 8000 */

  jd_clock_t clock;
  jd_rng_t rng;            /* Used by the client's thread only. */
  jd_counters_t *counters; /* platform.reads, platform.errors; or NULL. */

  /* Called in the client's thread, and never after jd_platform_client_free. */
  void (*on_record) (void *context, const char *name, const char *text, size_t length);
  /* All records were the platform's newest at sent_us, when the call that proved it was
   * sent. Follows the on_record calls of that state. */
  void (*on_confirmed) (void *context, int64_t sent_us);
  /* A new text of GET /v1/hosts; may be NULL. */
  void (*on_hosts) (void *context, const char *text, size_t length);
  void *context;
} jd_platform_client_options_t;

jd_platform_client_t *
jd_platform_client_new (const jd_platform_client_options_t *options);
/* Aborts a running call and joins the thread. Not from a callback. */
void jd_platform_client_free (jd_platform_client_t *client);
/* Begins or ends the watch; any thread. A new watch begins with a full comparison. */
void jd_platform_client_set_watching (jd_platform_client_t *client, gboolean watching);
/* Time of the last confirmation by the client's clock, or -1; any thread. */
int64_t jd_platform_client_confirmed_us (jd_platform_client_t *client);
