#pragma once

#include <glib.h>
#include <stdint.h>

#include "transport/peer_link.h"

/* The entry processes that this broker has heard of. Each incarnation of an entry seat
 * has a number of its own, because attempt ids are unique in one incarnation only. */
typedef struct jd_broker_entries jd_broker_entries_t;

jd_broker_entries_t *jd_broker_entries_new (jd_peer_link_t *link);
void jd_broker_entries_free (jd_broker_entries_t *entries);

/* Takes a greeting; returns the number of the entry, and whether the greeting came on
 * another connection than the one before. */
uint64_t jd_broker_entries_on_hello (jd_broker_entries_t *entries,
                                     const jd_peer_origin_t *origin,
                                     const jd_hello_t *hello, int64_t now_us,
                                     gboolean *is_new_connection);
/* The number of the entry that sent a message, 0 when it has never greeted. After a
 * reconnection it is recognised by its seat. */
uint64_t jd_broker_entries_find (jd_broker_entries_t *entries,
                                 const jd_peer_origin_t *origin, const char *seat,
                                 int64_t now_us);
/* Sends to one entry. Returns FALSE when it cannot be reached. */
gboolean jd_broker_entries_send (jd_broker_entries_t *entries, uint64_t number,
                                 const jd_message_t *message, int64_t now_us);
/* Sends to all entries and forgets those that have not been reached for long. */
void jd_broker_entries_broadcast (jd_broker_entries_t *entries,
                                  const jd_message_t *message, int64_t now_us);
uint32_t jd_broker_entries_count (const jd_broker_entries_t *entries);
