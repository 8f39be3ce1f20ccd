#pragma once

#include <ev.h>

#include "membership/peer_table.h"
#include "membership/record_feed.h"

/* Keeps the published records current. One host of each zone reads the platform's store
 * and the others copy from a host with newer records. A reader whose store fails copies,
 * and a host without a peer to copy from reads the store. */
typedef struct jd_record_source jd_record_source_t;

/* Limits that may change at run time. */
typedef struct jd_record_source_limits
{
  int64_t change_limit_us;  /* Time within which a change has to be in force. */
  double max_removed_share; /* Share of the records that may vanish at a time; 1: all. */
  int64_t store_stable_us;  /* Time after an outage until the store is trusted again. */
  int64_t drain_limit_us;   /* Time within which a removed target must get no more
                               requests. */
} jd_record_source_limits_t;

typedef struct jd_record_source_options
{
  struct ev_loop *loop;
  jd_record_feed_t *feed;
  jd_peer_table_t *peers;
  uint16_t peer_port;
  bool is_first_start; /* All hosts start for the first time and know nothing yet. */
  int64_t heartbeat_interval_us; /* Time between two writes of a target's record. */
  jd_record_source_limits_t limits;
  /* Starts a read of the store, each call of which may take call_limit_us. Its end is
   * reported to jd_record_source_on_store_read. */
  void (*read_store) (void *context, int64_t call_limit_us);
  void *store_context;
  /* Called when records have changed and after each successful read of the store, so that
   * the owner sends its new state to its peers. */
  void (*on_changed) (void *context);
  void *context;
} jd_record_source_options_t;

jd_record_source_t *jd_record_source_new (const jd_record_source_options_t *options);
void jd_record_source_free (jd_record_source_t *source);
void jd_record_source_on_store_read (jd_record_source_t *source, bool success,
                                     int64_t requested_us);
void jd_record_source_on_new_generation (jd_record_source_t *source);
void jd_record_source_apply_limits (jd_record_source_t *source,
                                    const jd_record_source_limits_t *limits);
void jd_record_source_on_peer_state (jd_record_source_t *source);
bool jd_record_source_is_current (const jd_record_source_t *source, int64_t now_us);
bool jd_record_source_reads_store (const jd_record_source_t *source, int64_t now_us);
bool jd_record_source_store_failed (const jd_record_source_t *source, int64_t now_us);
GString *jd_record_source_render (const jd_record_feed_t *feed, int64_t after,
                                  int64_t now_us);
