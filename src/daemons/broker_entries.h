#pragma once

#include <glib.h>
#include <stdint.h>

#include "transport/peer_link.h"

/* The entry processes that have sent a hello to this broker. Each incarnation of an entry
 * has its own entry number, because attempt ids are unique in one incarnation only. */
typedef struct jd_broker_entries jd_broker_entries_t;

jd_broker_entries_t *jd_broker_entries_new (jd_peer_link_t *link);
void jd_broker_entries_free (jd_broker_entries_t *entries);

/* Records a hello and the connection it came on. Returns the entry number. Sets
 * *is_new_connection to TRUE if the last hello of this incarnation came on another
 * connection, or if this is its first. */
uint64_t jd_broker_entries_on_hello (jd_broker_entries_t *entries,
                                     const jd_peer_origin_t *origin,
                                     const jd_hello_t *hello, int64_t now_us,
                                     gboolean *is_new_connection);
/* Returns the number of the entry that sent a message, 0 if it has never sent a hello.
 * After a reconnection the sender is identified by its member name. */
uint64_t jd_broker_entries_find (jd_broker_entries_t *entries,
                                 const jd_peer_origin_t *origin, const char *member,
                                 int64_t now_us);
/* Sends to one entry. Returns FALSE if the entry cannot be reached. */
gboolean jd_broker_entries_send (jd_broker_entries_t *entries, uint64_t number,
                                 const jd_message_t *message, int64_t now_us);
/* Sends to all entries and removes those that have been unreachable for 30 s. */
void jd_broker_entries_broadcast (jd_broker_entries_t *entries,
                                  const jd_message_t *message, int64_t now_us);
uint32_t jd_broker_entries_count (const jd_broker_entries_t *entries);
