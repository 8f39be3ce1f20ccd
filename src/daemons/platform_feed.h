#pragma once

#include "base/rng.h"
#include "transport/platform_client.h"

/* Passes what the platform client reads in its own thread to the event loop. */
typedef struct jd_platform_feed jd_platform_feed_t;

typedef struct jd_platform_feed_options
{
  const char *url;
  jd_clock_t clock;
  jd_counters_t *counters;
  /* Called in the client's thread after each queued item; must wake the event loop, which
   * then calls jd_platform_feed_drain. */
  void (*wake) (void *wake_context);
  void *wake_context;
  /* The callbacks of the platform client, called by jd_platform_feed_drain. */
  void (*on_record) (void *context, const char *name, const char *text, size_t length);
  void (*on_confirmed) (void *context, int64_t sent_us);
  void (*on_hosts) (void *context, const char *text, size_t length);
  void *context;
} jd_platform_feed_options_t;

jd_platform_feed_t *jd_platform_feed_new (const jd_platform_feed_options_t *options);
void jd_platform_feed_free (jd_platform_feed_t *feed);
void jd_platform_feed_drain (jd_platform_feed_t *feed);
void jd_platform_feed_set_watching (jd_platform_feed_t *feed, gboolean watching);
