#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/name.h"

/* What a host reports about itself in its heartbeats to other hosts. */
typedef struct jd_peer_state
{
  uint32_t ip;          /* IPv4 address in host byte order; identifies the host. */
  uint64_t incarnation; /* Random for each start of its process. */
  uint64_t sequence;    /* Increases with each message of an incarnation. */
  jd_name_t name;
  jd_name_t zone;
  bool leaving;          /* The host is shutting down. */
  bool reads_store;      /* The host reads the platform's store itself, successfully. */
  bool store_failed;     /* It cannot read the store and got no newer records since. */
  int64_t feed_revision; /* Revision up to which its published records are complete. */
  int64_t changed_revision; /* Revision of the last change that matters to hosts. */
  int64_t tombstones_since; /* Revision after which it has tombstones of all removals. */
  int64_t feed_age_us;      /* Age of its records when the message was sent. */
} jd_peer_state_t;

typedef struct jd_peer
{
  jd_peer_state_t state;
  int64_t
      last_message_us;  /* Time of the last message; 0 while only the address is known. */
  int64_t last_send_us; /* Time of the last message to the host; 0 for none. */
  int64_t added_us;
  int64_t copy_failed_us;  /* Time at which a copy from the host last failed; 0: never. */
  int64_t store_failed_us; /* Time of its last message that told of a failed read of the
                              store, while it was heard without a gap; 0: none. */
  bool is_seed;            /* An address of the settings, which stays. */
} jd_peer_t;

/* What a host copies records for. */
typedef enum jd_source_need
{
  JD_SOURCE_FOR_CHANGES,    /* To keep its records current. */
  JD_SOURCE_FOR_ALL_RECORDS /* Once after its start, for what the store may lack. */
} jd_source_need_t;

/* The other hosts of the fleet, with the last state that each reported. */
typedef struct jd_peer_table jd_peer_table_t;

jd_peer_table_t *jd_peer_table_new (uint32_t own_ip, const char *own_zone);
void jd_peer_table_free (jd_peer_table_t *table);
bool jd_peer_table_add (jd_peer_table_t *table, uint32_t ip, int64_t now_us);
void jd_peer_table_add_seed (jd_peer_table_t *table, uint32_t ip);
bool jd_peer_table_update (jd_peer_table_t *table, const jd_peer_state_t *state,
                           int64_t now_us);
void jd_peer_table_expire (jd_peer_table_t *table, int64_t now_us);
uint32_t jd_peer_table_host_count (const jd_peer_table_t *table, int64_t now_us);
uint32_t jd_peer_table_rank (const jd_peer_table_t *table, int64_t now_us);
void jd_peer_table_set_interval (jd_peer_table_t *table, int64_t interval_us);
const char *jd_peer_table_own_zone (const jd_peer_table_t *table);
bool jd_peer_table_is_live (const jd_peer_table_t *table, uint32_t ip, int64_t now_us);
void jd_peer_table_each_live (const jd_peer_table_t *table,
                              void (*visit) (void *context, const jd_peer_t *peer),
                              void *context, int64_t now_us);
uint32_t jd_peer_table_live_ips (const jd_peer_table_t *table, uint32_t *ips,
                                 uint32_t max, int64_t now_us);
uint32_t jd_peer_table_zone_ips (const jd_peer_table_t *table, uint32_t *ips,
                                 uint32_t max, int64_t now_us);
uint32_t jd_peer_table_live_count (const jd_peer_table_t *table, int64_t now_us);
uint32_t jd_peer_table_due_ips (jd_peer_table_t *table, uint32_t *ips, uint32_t max,
                                int64_t now_us);
uint32_t jd_peer_table_zone_rank (const jd_peer_table_t *table, uint32_t *hosts,
                                  int64_t now_us);
bool jd_peer_table_should_read (const jd_peer_table_t *table, bool reads_store_now,
                                int64_t max_age_us, int64_t now_us);
uint32_t jd_peer_table_count_store_failures (const jd_peer_table_t *table,
                                             int64_t since_us);
int64_t jd_peer_table_newest_as_of_us (const jd_peer_table_t *table);
bool jd_peer_table_has_other_zone (const jd_peer_table_t *table, int64_t now_us);
void jd_peer_table_copy_failed (jd_peer_table_t *table, uint32_t ip, int64_t now_us);
bool jd_peer_is_established (const jd_peer_t *peer);
const jd_peer_t *jd_peer_table_best_source (const jd_peer_table_t *table,
                                            jd_source_need_t need, int64_t own_revision,
                                            int64_t max_age_us, int64_t now_us);
