#pragma once

#include "routing/query.h"

/* Makes an attempt at a replica and puts it into the outbox of its broker. */
void jd_query_add_attempt (jd_query_t *query, uint32_t shard, uint32_t replica,
                           int64_t now_us);
/* Sends every outbox, one message per broker. Attempts that were certainly not sent are
 * appended to unsent. */
void jd_query_dispatch (jd_query_t *query, GPtrArray *unsent, int64_t now_us);
/* Forgets an attempt. */
void jd_query_drop_attempt (jd_query_attempt_t *attempt);
/* Cancels all attempts of a shard, or of all shards; one message per broker. */
void jd_query_cancel_shard (jd_query_t *query, uint32_t shard, int64_t now_us);
void jd_query_cancel_all (jd_query_t *query, int64_t now_us);
