#pragma once

#include <ev.h>

#include "membership/peer_table.h"
#include "membership/record_feed.h"

/* Keeps the published records current: one host of each zone reads the platform's store,
 * the others copy from it, and each turns to the other way when its own fails. */
typedef struct jd_record_source jd_record_source_t;

typedef struct jd_record_source_options
{
  struct ev_loop *loop;
  jd_record_feed_t *feed;
  jd_peer_table_t *peers;
  uint16_t peer_port;
  int64_t interval_us;  /* Between two reads. */
  int64_t heartbeat_us; /* Between two writes of a target. */
  void (*read_store) (void *context);
  void *store_context;
  /* Records have changed; other hosts should hear of it. */
  void (*on_changed) (void *context);
  void *context;
} jd_record_source_options_t;

jd_record_source_t *jd_record_source_new (const jd_record_source_options_t *options);
void jd_record_source_free (jd_record_source_t *source);
void jd_record_source_store_read (jd_record_source_t *source, bool success,
                                  int64_t asked_us);
void jd_record_source_peer_heard (jd_record_source_t *source);
bool jd_record_source_reads_store (const jd_record_source_t *source, int64_t now_us);
GString *jd_record_source_render (const jd_record_feed_t *feed, int64_t after,
                                  int64_t now_us);
