#pragma once

#include "routing/query.h"

/* Adds an attempt at a replica and puts it into the outbox of its broker. */
void jd_query_add_attempt (jd_query_t *query, uint32_t shard, uint32_t replica,
                           int64_t now_us);
/* Sends every outbox, one message per broker. Attempts that the transport certainly did
 * not send are appended to unsent; the query still owns them. */
void jd_query_send_attempts (jd_query_t *query, GPtrArray *unsent, int64_t now_us);
/* Removes an attempt from its query and frees it. */
void jd_query_free_attempt (jd_query_attempt_t *attempt);
/* Cancels and frees all attempts of a shard, or of all shards, with one message per
 * broker. */
void jd_query_cancel_shard (jd_query_t *query, uint32_t shard, int64_t now_us);
void jd_query_cancel_all (jd_query_t *query, int64_t now_us);
